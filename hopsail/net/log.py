"""Log lines: plain print to standard error, so many a second for each topic."""

import sys
import traceback
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
    line(topic, text + more)


def fault() -> None:
    """Tells of the exception that is being handled."""
    say("fault", traceback.format_exc())


def line(topic: str, text: str) -> None:
    """One line, whatever else was said this second."""
    try:
        print(f"hopsail: {topic}: {text}", file=sys.stderr, flush=True)
    except OSError:
        pass  # a full or closed log must not take the balancer down, nor keep it from its end
