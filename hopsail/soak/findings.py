"""What is known of the requests with which rules were broken, as text for the folder of a soak. No I/O."""

from collections.abc import Iterable, Iterator

from ..standins.kept import MILLISECOND
from ..standins.records import Journal, Violation
from .history import History

MOST_OF_A_RULE = 10  # breaches of each rule that are told in full


def findings(
    violations: Iterable[Violation], journal: Journal, history: History, begin: int
) -> Iterator[str]:
    """Lines on each breach; times in ms since `begin`."""

    def at(time: int) -> str:
        return f"{(time - begin) / MILLISECOND:.1f}" if time else "-"

    told: dict[str, int] = {}
    for violation in violations:
        rule = violation.rule.value
        told[rule] = told.get(rule, 0) + 1
        if told[rule] > MOST_OF_A_RULE:
            continue
        yield f"{rule} {violation.attempt}: {violation.text}"
        yield from _lines_of_attempt(violation.attempt, journal, at)
    for address, times in history.ends.items():
        yield f"{address} got SIGTERM at {', '.join(map(at, times))}"
    for address, times in history.reloads.items():
        yield f"{address} got SIGHUP at {', '.join(map(at, times))}"
    for address, spans in [*history.troubles.items(), ("control planes", history.control_troubles)]:
        yield f"{address} in trouble {', '.join(f'{at(span.begin)} to {at(span.end)}' for span in spans)}"
    for version, time in history.versions.items():
        yield f"version {version} acknowledged at {at(time)}"


def _lines_of_attempt(attempt: str, journal: Journal, at) -> Iterator[str]:
    for one in journal.tries:
        if one.attempt == attempt:
            how = f"written at {at(one.written_at)}, kept connection: {one.kept}"
            yield f"  {at(one.sent_at)} sent to {one.taken_by}, {one.target}, {how}"
            yield f"  {at(one.ended_at)} ended: {one.status}, whole: {one.complete}, cut at {at(one.cut_at)}"
    for arrival in journal.arrivals:
        if arrival.attempt == attempt:
            yield f"  {at(arrival.at)} reaches {arrival.instance}: {arrival.status}"
    for run in journal.runs:
        if run.attempt == attempt:
            how = f"{run.sent_up_to} of {run.total}, complete: {run.complete}, broken off: {run.broken_off}"
            yield f"  {at(run.began_at)} begins as {run.identifier} on version {run.revision}: {how}"
