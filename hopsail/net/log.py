"""Log lines: plain print to standard error, so many a second for each topic."""

import sys
from time import monotonic

PER_SECOND = 5  # lines of one topic: enough to see what goes on, too few to hold up the loop

_said: dict[str, list] = {}  # topic: [second, lines in it, lines left out]


def say(topic: str, text: str) -> None:
    second = int(monotonic())
    entry = _said.setdefault(topic, [second, 0, 0])
    if entry[0] != second:
        entry[0], entry[1] = second, 0
    entry[1] += 1
    if entry[1] > PER_SECOND:
        entry[2] += 1
        return
    more = f" ({entry[2]} more left out)" if entry[2] else ""
    entry[2] = 0
    try:
        print(f"hopsail: {topic}: {text}{more}", file=sys.stderr, flush=True)
    except OSError:
        pass  # a full or closed log must not take the balancer down
