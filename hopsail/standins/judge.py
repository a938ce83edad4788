"""The judge: compares what hosts ran with what clients were told. No I/O.

It checks MIXED, UNASKED, TWICE, REFUSED and ORDER, and beside them what the records show of ROUTE, DRAIN,
STALE and WALL."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from .records import Journal, Rule, Run, Try, Violation

PROMISES = (408, 421, 429, 503)
MILLISECOND = 1_000_000


class Verdict(NamedTuple):
    """What was found; `served` of `tries` were answered with success and whole."""

    violations: list[Violation]
    tries: int
    served: int
    runs: int
    statuses: dict[int, int]
    cut_off: bool

    @property
    def by_rule(self) -> dict[str, int]:
        return dict(Counter(violation.rule.value for violation in self.violations))

    def lines(self, most: int = 20) -> list[str]:
        """The verdict as text."""
        head = f"{self.served} of {self.tries} tries served, {self.runs} runs, statuses {self.statuses}"
        found = [f"{one.rule.value} {one.attempt}: {one.text}" for one in self.violations[:most]]
        end = "records were cut off: no verdict" if self.cut_off else "no rule broken"
        return [head, *found, f"broken: {self.by_rule}" if self.violations else end]


def judge(
    journal: Journal, configurations: Iterable[dict] = (), isolated: Iterable[str] = (), drain_ms: int = 3000
) -> Verdict:
    """The verdict on a trial. `configurations` are all that were ever sent, `isolated` names of tenants."""
    tries = {one.attempt: one for one in journal.tries}
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        runs[run.attempt].append(run)
    found = [violation for one in journal.tries for violation in one.faults]
    for attempt, attempt_runs in runs.items():
        found += _check_runs(tries.get(attempt), attempt, attempt_runs)
    for one in journal.tries:
        found += _check_try(one, runs.get(one.attempt, []))
    found += _check_memory(journal.runs, set(isolated))
    found += _check_routes(journal.runs, list(configurations))
    found += _check_draining(journal, drain_ms)
    return Verdict(
        found,
        len(journal.tries),
        sum(one.served for one in journal.tries),
        len(journal.runs),
        dict(sorted(Counter(one.status for one in journal.tries).items())),
        journal.cut_off,
    )


def _check_runs(asked: Try | None, attempt: str, runs: list[Run]) -> Iterable[Violation]:
    """UNASKED and TWICE."""
    if asked is None:
        yield Violation(Rule.UNASKED, attempt, "no client sent that id")
        return
    for run in runs:
        sent = (asked.method, asked.target, asked.hostname, asked.body_digest)
        ran = (run.method, run.target, run.hostname, run.body_digest)
        if sent != ran:
            yield Violation(Rule.UNASKED, attempt, f"sent {sent}, ran {ran}")
        if run.tenant != asked.tenant:
            yield Violation(Rule.UNASKED, attempt, f"tenant {run.tenant!r}, not {asked.tenant!r}")
    if len(runs) > 1 and not asked.idempotent:
        yield Violation(Rule.TWICE, attempt, f"ran at {[run.instance for run in runs]}")


def _check_try(asked: Try, runs: list[Run]) -> Iterable[Violation]:
    """REFUSED, and MIXED and ORDER as far as they show only beside the hosts' records."""
    if asked.status in PROMISES and runs and not asked.idempotent:
        yield Violation(Rule.REFUSED, asked.attempt, f"{asked.status}, ran at {runs[0].instance}")
    if not 200 <= asked.status < 300:
        return
    known = {run.identifier: run for run in runs}
    stamped = known.get(asked.seal.rsplit(".", 3)[0])
    if stamped is None:
        yield Violation(Rule.MIXED, asked.attempt, f"no run has the stamp {asked.seal!r}")
    foreign = [run for run in asked.runs if run not in known]
    if foreign:
        yield Violation(Rule.MIXED, asked.attempt, f"pieces of other requests' runs: {foreign}")
    last = known.get(asked.runs[-1]) if asked.runs else stamped
    if asked.complete and last is not None and not _ended(last, runs):
        yield Violation(Rule.ORDER, asked.attempt, f"complete, but {last.identifier} did not end")


def _ended(last: Run, runs: list[Run]) -> bool:
    """Whether the run whose events came last has ended, or one that was resumed after its last token."""
    return last.complete or any(run.complete and run.resumed_after == last.sent_up_to for run in runs)


def _check_memory(runs: list[Run], isolated: set[str]) -> Iterable[Violation]:
    """STALE and WALL."""
    for run in runs:
        for maker in run.drew_on:
            if (maker.model, maker.revision) != (run.model, run.revision):
                yield Violation(Rule.STALE, run.attempt, f"version {run.revision} on parts of {maker}")
                break
        walled = [
            maker
            for maker in run.drew_on
            if maker.tenant != run.tenant and isolated & {maker.tenant, run.tenant}
        ]
        if walled:
            yield Violation(Rule.WALL, run.attempt, f"{run.tenant!r} on parts of {walled[0]}")


def _check_routes(runs: list[Run], configurations: list[dict]) -> Iterable[Violation]:
    """ROUTE: no configuration ever sent lets the service run the request."""
    if not configurations:
        return
    allowed: dict[tuple[str, str], bool] = {}
    for run in runs:
        key = (run.service, f"{run.hostname} {run.target}")
        if key not in allowed:
            services = (services_of(one, run.hostname, run.target) for one in configurations)
            allowed[key] = any(run.service in some for some in services)
        if not allowed[key]:
            yield Violation(Rule.ROUTE, run.attempt, f"{run.service} ran {run.hostname}{run.target}")


def services_of(configuration: dict, hostname: str, target: str) -> set[str]:
    """The services that a configuration lets run a request."""
    path = target.partition("?")[0]
    routes = [
        route
        for route in configuration["Routes"]
        if route["Hostname"] == hostname and path.startswith(route["PathPrefix"])
    ]
    if not routes:
        return set()
    route = max(routes, key=lambda one: len(one["PathPrefix"]))
    split = {item["Service"] for item in route.get("TrafficSplit") or () if item["Share"] > 0}
    return split | ({route["Service"]} if route.get("Service") else set())


def _check_draining(journal: Journal, drain_ms: int) -> Iterable[Violation]:
    """DRAIN, counted from when the list first showed it: later than the system learned of it."""
    for arrival in journal.arrivals:
        shown = arrival.draining_shown_at
        if shown is not None and arrival.status != 421 and arrival.at > shown + drain_ms * MILLISECOND:
            late = (arrival.at - shown) // MILLISECOND
            yield Violation(Rule.DRAIN, arrival.attempt, f"{arrival.instance} drains since {late} ms")
