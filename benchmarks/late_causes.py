"""Why requests for prompts missed their aim: folds data planes' lines into a table that sums to all of them.

    python3 -m benchmarks.late_causes LOG ...

A log holds lines that data planes started with `--log-late` have written (`hopsail.dataplane.late_log`),
other lines among them. Each request gets one cause: the first of `CAUSES` without which it would have been in
time, by the times that its line tells, else the one that took the longest. So the table sums to the lines
read. A process writes five lines a second at most; what was left out is told below the table."""

import argparse
import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path

MARK = re.compile(r"hopsail: late-request: (\{.*\})(?: \((\d+) more left out\))?\s*$")
LOAD_NEWS_MS = 3000.0  # news of a load of weights so recent tell that the host had one


class Cause(StrEnum):
    """What made a request late."""

    REFUSED = "refused"
    UNANSWERED = "ended without an answer"
    OWN_PART = "its own part takes longer than the aim to read"
    RETRY = "earlier attempts"
    GATE = "waiting at the gate"
    ASKING = "asking registrars"
    BACKLOG = "what the registrar told stood before it"
    SHARED_PART = "reading its shared part"
    LOST_PART = "an expected part was not there"
    LOAD = "its host loaded weights"
    UNSEEN = "nothing told it: steps, places, other prompts"


# In the order in which they are tried; each has a part of the time.
CAUSES = (
    Cause.RETRY,
    Cause.GATE,
    Cause.ASKING,
    Cause.BACKLOG,
    Cause.SHARED_PART,
    Cause.LOAD,
    Cause.LOST_PART,
    Cause.UNSEEN,
)


def read_lines(lines: Iterable[str]) -> tuple[list[dict], int]:
    """The requests told of, and how many lines were left out."""
    requests, left_out = [], 0
    for line in lines:
        found = MARK.search(line)
        if found:
            requests.append(json.loads(found[1]))
            left_out += int(found[2] or 0)
    return requests, left_out


def typical_rate(requests: list[dict]) -> float:
    """Tokens in a ms, the mean of all lines that tell a rate; 1 where none does."""
    rates = [request["rate"] for request in requests if request["rate"]]
    return sum(rates) / len(rates) if rates else 1.0


def times(request: dict, typical: float) -> dict[Cause, float]:
    """How long each cause held the request up (ms)."""
    rate = request["rate"] or typical
    unread_shared = max(0.0, request["reading"] - request["own_tokens"])
    expected = max(0, request["tokens"] - request["own_tokens"] - unread_shared)
    lost = max(0.0, expected - request["reported"])
    known = {
        Cause.RETRY: request["earlier"],
        Cause.GATE: request["gate"],
        Cause.ASKING: request["asking"],
        Cause.BACKLOG: (request["waiting"] or 0.0) / rate,
        Cause.SHARED_PART: unread_shared / rate,
    }
    left = request["took"] - sum(known.values()) - request["own_tokens"] / rate
    is_loading = request["load_age"] is not None and request["load_age"] < LOAD_NEWS_MS
    known[Cause.LOAD] = max(0.0, left) if is_loading else 0.0
    left -= known[Cause.LOAD]
    known[Cause.LOST_PART] = min(max(0.0, left), lost / rate)
    known[Cause.UNSEEN] = max(0.0, left - known[Cause.LOST_PART])
    return known


def cause_of(request: dict, typical: float) -> Cause:
    """The one cause that a request is counted under."""
    if request["end"] == "refused":
        return Cause.REFUSED
    if request["end"] == "unanswered":
        return Cause.UNANSWERED
    if request["own_tokens"] / (request["rate"] or typical) > request["aim"]:
        return Cause.OWN_PART
    held = times(request, typical)
    for cause in CAUSES:
        if held[cause] > 0 and request["took"] - held[cause] <= request["aim"]:
            return cause
    return max(CAUSES, key=held.__getitem__)


def table(requests: list[dict], left_out: int) -> Iterator[str]:
    """Requests by route and cause."""
    typical = typical_rate(requests)
    counted = Counter((request["route"], cause_of(request, typical)) for request in requests)
    routes = sorted({route for route, _ in counted})
    yield "| cause | " + " | ".join(routes) + " | all |"
    yield "| --- |" + " --- |" * (len(routes) + 1)
    for cause in Cause:
        numbers = [counted[route, cause] for route in routes]
        if any(numbers):
            yield f"| {cause.value} | " + " | ".join(map(str, [*numbers, sum(numbers)])) + " |"
    sums = [sum(counted[route, cause] for cause in Cause) for route in routes]
    yield "| all | " + " | ".join(map(str, [*sums, sum(sums)])) + " |"
    if left_out:
        yield f"\n{left_out} lines were left out by the processes."


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("log", nargs="+", type=Path)
    lines: list[str] = []
    for log in parser.parse_args().log:
        lines += log.read_text(errors="replace").splitlines()
    for line in table(*read_lines(lines)):
        print(line)


if __name__ == "__main__":
    main()
