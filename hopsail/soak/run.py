"""One soak from its first process to its verdict."""

import json
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from ..load.standstills import Heartbeat, merged, share
from ..standins.client import RouteLoad
from ..standins.fleet import SECOND, SHORT_PROMPT, Fleet, TrialError, loads_of
from ..standins.records import Violation
from ..standins.settings import BOUNDS
from .checks import Bounds, check_history, check_in_force, check_recovery
from .conductor import Conductor
from .connections import PersistentKeeper
from .desk import ROUTES, Desk
from .findings import findings
from .history import History
from .plan import Plan
from .tallies import TallyCaller, check_totals

LONGEST_ANSWER = 6 * SECOND
PROGRESS_S = 5
LAST_S = 9  # of the load, in which service must have recovered
LONGEST_TAIL_S = 60  # that the last steps and changes may take
STANDSTILLS, MOST_ENDS = 0.05, 6  # part of these seconds in which the soak's own process may stand; tries
LAST_ANSWERS_S = 8
MERGE_S = 3  # `MergeMs` of the deployments with tallies
LARGE_SHARE, LEAVE_SHARE = 0.02, 0.03  # of the requests: bodies of up to 300 kB, clients that leave half-way
FINDINGS = "findings.txt"  # in the soak's folder, when a rule was broken
LONG_TOKENS, LONG_WEIGHT = (300, 700, 1000), 0.1  # at 3.4 ms a token; beside 1 of a route's short ones


def long_loads() -> list[RouteLoad]:
    """Requests whose answers take seconds: they are under way whenever a process ends."""
    shared, own, _ = SHORT_PROMPT
    first = {load.prefix: load for load in loads_of(ROUTES)}
    return [
        load._replace(name=f"long {load.name}", shared=shared, own=own, generated=tokens, weight=LONG_WEIGHT)
        for load in first.values()
        for tokens in LONG_TOKENS
    ]


@dataclass
class Report:
    """What a soak has found; `first` names one request of each broken rule."""

    seed: int
    seconds: float
    processes: int
    requests: int = 0
    served: int = 0
    adds: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    passed_over: dict[str, int] = field(default_factory=dict)
    broken: dict[str, int] = field(default_factory=dict)
    first: dict[str, str] = field(default_factory=dict)

    def line(self) -> str:
        """The report as one line of JSON."""
        return json.dumps(asdict(self), sort_keys=True)


class Soak:
    """Use `play` once, and `close` whatever became of it."""

    def __init__(self, plan: Plan, folder: Path, per_second: float):
        shape = plan.shape
        self.plan, self.per_second = plan, per_second
        self.fleet = Fleet(folder, edges=shape.data_planes, cores=shape.control_planes, hosts=shape.hosts,
                           seed=str(plan.seed))  # fmt: skip
        operator = self.fleet.operator
        self.history = History(versions=operator.versions, configurations=operator.acknowledged)
        Heartbeat(self.fleet.loop, self.history.standstills.append, self.fleet.loop.now)
        self.desk = Desk(self.fleet, self.history)
        self.conductor = Conductor(self.fleet, plan, self.history, self.desk)
        self.tallies = TallyCaller(self.fleet.loop, operator, str(plan.seed))
        self.violations: list[Violation] = []
        self.began = time.monotonic()

    def play(self) -> Report:
        """The whole soak; TrialError when it can't go on."""
        fleet = self.fleet
        fleet.start()
        for process in fleet.edges:
            self.history.starts[process.machine.address].append(fleet.loop.now())
        self._first_configuration()
        fleet.wait_until_ready()
        fleet.client.keeper = PersistentKeeper(fleet.loop, fleet.client.random)
        fleet.client.routes = [*loads_of(ROUTES), *long_loads()]
        fleet.client.large_share, fleet.client.leave_share = LARGE_SHARE, LEAVE_SHARE
        fleet.client.start(self.per_second)
        self.desk.read_in_turn()
        self.tallies.add_in_turn()
        self.conductor.set_out()
        self._run_steps()
        self._recover()
        fleet.client.stop()
        fleet.run_until(lambda: fleet.client.open == 0, LAST_ANSWERS_S)
        self._check_configuration()
        self._check_tallies()
        return self.report()

    def _first_configuration(self) -> None:
        self.desk.change()
        self._wait(lambda: self.desk.idle, LONGEST_TAIL_S, "the first configuration has no answer")
        if not self.history.configurations:
            raise TrialError("the first configuration was not taken")

    def _wait(self, reached, seconds: float, otherwise: str) -> None:
        if not self.fleet.run_until(lambda: bool(self.conductor.errors) or reached(), seconds):
            raise TrialError(otherwise)
        if self.conductor.errors:
            raise ExceptionGroup("steps failed", self.conductor.errors)

    def _run_steps(self) -> None:
        until = self.fleet.loop.now() + self.plan.seconds * SECOND
        while self.fleet.loop.now() < until:
            end = min(until, self.fleet.loop.now() + PROGRESS_S * SECOND)
            self._wait(lambda end=end: self.fleet.loop.now() >= end, PROGRESS_S + 1, "the clock stands")
            self._tell_progress()

    def _tell_progress(self) -> None:
        client = self.fleet.client
        asked, served = sum(client.asked.values()), sum(client.served.values())
        up = sum(process.running for process in self.fleet.processes)
        took = time.monotonic() - self.began
        steps = sum(self.conductor.done.values())
        processes = f"{up} of {len(self.fleet.processes)} processes"
        requests = f"{served} of {asked} served, {client.open} open"
        print(f"{took:.0f} s: {steps} steps, {processes}, {requests}", file=sys.stderr, flush=True)

    def _recover(self) -> None:
        """After the last step all must be well again in `RecoveryS`; the last seconds of the load show it."""
        fleet, desk = self.fleet, self.desk
        self._wait(lambda: not self.conductor.under_way and desk.idle, LONGEST_TAIL_S, "steps have not ended")
        fleet.run(float(BOUNDS["RecoveryS"]))
        ready = fleet.ingress.ready
        begin = self._undisturbed_end()
        end = fleet.loop.now() - LONGEST_ANSWER  # what was sent later may not have been answered yet
        last = [one for one in fleet.journal.tries if begin <= one.sent_at <= end and not one.left]
        self.violations += check_recovery(last, ready, len(fleet.edges))
        self._tell_progress()

    def _undisturbed_end(self) -> int:
        """Goes on until stand-ins had a processor for a while; when that while began."""
        for _ in range(MOST_ENDS):
            begin = self.fleet.loop.now()
            self.fleet.run(LAST_S)
            if share(begin, self.fleet.loop.now(), merged(self.history.standstills)) <= STANDSTILLS:
                break
        return begin

    def _check_configuration(self) -> None:
        """What was acknowledged last must be in force, or what is unclear since."""
        answer = self.fleet.answered(self.fleet.operator.read)
        whole = answer.tree if answer.taken else None
        self.violations += check_in_force(whole, self.desk.may_be_in_force)

    def _check_tallies(self) -> None:
        """All that was acknowledged must be in every total, once the processes have had time to merge."""
        fleet, tallies = self.fleet, self.tallies
        tallies.stop()
        fleet.run_until(lambda: tallies.under_way == 0, LAST_ANSWERS_S)
        acknowledged = tallies.acknowledged
        fleet.run(MERGE_S)
        tallies.read_all()
        addresses = fleet.operator.addresses
        fleet.run_until(lambda: len(tallies.totals) == len(addresses), float(BOUNDS["RecoveryS"]))
        self.violations += check_totals(addresses, tallies.totals, acknowledged, tallies.sent)

    def report(self) -> Report:
        """The verdict until now."""
        fleet = self.fleet
        orders = [order for host in fleet.hosts for order in host.orders]
        bounds = Bounds(BOUNDS)
        found = [
            *fleet.verdict().violations,
            *check_history(fleet.journal, self.history, orders, bounds),
            *self.desk.violations,
            *self.violations,
        ]
        self._keep_findings(found)
        first: dict[str, str] = {}
        for one in found:
            first.setdefault(one.rule.value, f"{one.attempt} {one.text}".strip())
        return Report(
            seed=self.plan.seed,
            seconds=round(time.monotonic() - self.began, 1),
            processes=self.plan.shape.processes,
            requests=sum(fleet.client.asked.values()) if fleet.client else 0,
            served=sum(fleet.client.served.values()) if fleet.client else 0,
            adds=self.tallies.acknowledged,
            faults=dict(sorted(self.conductor.done.items())),
            passed_over=dict(sorted(self.conductor.passed_over.items())),
            broken=dict(Counter(one.rule.value for one in found)),
            first=first,
        )

    def _keep_findings(self, found: list[Violation]) -> None:
        if found:
            journal = self.fleet.journal
            begin = journal.tries[0].sent_at if journal.tries else 0
            lines = findings(found, journal, self.history, begin)
            (self.fleet.folder / FINDINGS).write_text("\n".join([*lines, ""]))

    def close(self) -> None:
        """Ends all processes, also those that are stopped."""
        self.conductor.release()
        self.desk.close()
        self.fleet.close()
