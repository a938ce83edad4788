"""Roll-out of a model's new weights to its hosts, run by the single holder of the service's fence.

A host first disappears from the data planes' choice (PREPARING), is then ordered to load, and returns (DONE)
once its report shows the revision. An order without a clear answer may have been taken, so the report is
asked for before another is sent.
"""

from collections.abc import Iterable
from typing import Any

from hopsail.weights.actions import Action, Announce, AskReport, HostInfo, SendOrder
from hopsail.weights.load import HostLoad, LoadPhase
from hopsail.weights.model_hosts import ModelHosts
from hopsail.weights.named import NamedRevisions
from hopsail.weights.outbox import Outbox
from hopsail.weights.places import Places, held
from hopsail.weights.progress import Progress, Stage
from hopsail.weights.report import LoadReport, read_report
from hopsail.weights.retries import Retries
from hopsail.weights.rules import RolloutRules

__all__ = [
    "Action",
    "Announce",
    "AskReport",
    "FenceError",
    "HostInfo",
    "HostLoad",
    "LoadPhase",
    "Rollout",
    "RolloutRules",
    "SendOrder",
]

FAR_FUTURE = 1 << 62
MIN_STEP_NS = 1_000_000

STATUS_HELD = 200
STATUS_ACCEPTED = 202
STATUS_NOT_NAMED = 400
STATUS_UNDER_WAY = 409
STATUS_FENCED = 412


class FenceError(ValueError):
    """A fence was given that is not above the last one."""


class Rollout:
    """Brings the hosts of one model to the target revision while this process holds the fence."""

    def __init__(self, owner: str, rules: RolloutRules, model: str) -> None:
        self._rules = rules
        self.model = model
        self._held = False
        self._fence = 0
        self._fence_lost = False
        self._send_from = 0
        self._hosts = ModelHosts()
        self._places = Places(rules, self._hosts)
        self._retries = Retries(rules)
        self._progress: dict[str, Progress] = {}
        self._outbox = Outbox(owner, model)
        self._starts_from = 0
        self._next_reorder_at = 0
        self._due = FAR_FUTURE

    @property
    def fence(self) -> int:
        """The last fence held, 0 when there was none."""
        return self._fence

    @property
    def fence_lost(self) -> bool:
        """Whether a host has seen a higher fence; nothing is sent until a higher one is acquired."""
        return self._fence_lost

    @property
    def due(self) -> int:
        """When `step` is to be called next."""
        return self._due

    @property
    def loading(self) -> dict[str, LoadPhase]:
        """The hosts with a load under way, as last announced."""
        return {identifier: progress.announced for identifier, progress in self._progress.items()}

    @property
    def behind(self) -> int:
        """How many serving hosts do not hold the target yet."""
        return len(self._hosts.behind())

    def acquire(self, now: int, fence: int, previous_owner_other: bool) -> None:
        """Hold a new, higher fence; raises `FenceError`.

        `previous_owner_other` is true when another process held the last one and did not name this one as its
        successor, and also when that is not known (as after a start of this process).
        Orders are then sent only from `lease_ns` later. A wait that was not over is never shortened.
        """
        if fence <= self._fence:
            raise FenceError("a fence only rises")
        self._fence = fence
        self._fence_lost = False
        self._held = True
        if previous_owner_other:
            self._send_from = max(self._send_from, now + self._rules.lease_ns)
            self._clear()
        self._wake(now)

    def release(self, now: int) -> None:
        """Give up the fence; loads under way are left to the next holder."""
        self._held = False
        self._clear()
        self._wake(now)

    def may_send(self, now: int, lease_valid: bool) -> bool:
        """Whether an order may be sent now."""
        return self._held and lease_valid and not self._fence_lost and now >= self._send_from

    def update(self, now: int, hosts: Iterable[HostInfo], named: NamedRevisions) -> None:
        """Take the known hosts of the model and its named revisions, the newest of which is the target."""
        self._hosts.update(hosts, named)
        self._retries.keep(self._hosts)
        for identifier, progress in list(self._progress.items()):
            self._update_progress(identifier, progress)
        self._wake(now)

    def step(self, now: int, lease_valid: bool) -> list[Action]:
        """Return what is to be done now, in this order."""
        if self.may_send(now, lease_valid):
            for progress in list(self._progress.values()):
                self._advance(now, progress)
            self._start_hosts(now)
            self._due = self._next_due(now)
        else:
            self._due = self._next_look(now)
        return self._outbox.take()

    def order_answered(self, now: int, host: str, status: int | None, serial: int | None = None) -> None:
        """Take the status of an order (None: no answer); one that is no longer awaited is ignored."""
        progress = self._progress.get(host)
        if progress is None or not progress.expects(Stage.ORDERING, serial):
            return
        self._take_order_status(now, progress, status)
        self._wake(now)

    def report_answered(self, now: int, host: str, report: Any, serial: int | None = None) -> None:
        """Take a host's report as parsed JSON (None: no answer); one that is no longer awaited is ignored."""
        progress = self._progress.get(host)
        if progress is None or not progress.expects(Stage.ASKING, serial):
            return
        parsed = read_report(report, self.model)
        if parsed is None:
            progress.fail(now, self._rules)
        else:
            self._take_report(now, progress, parsed)
        self._wake(now)

    def _clear(self) -> None:
        self._progress = {}
        self._retries.clear()
        self._outbox.clear()

    def _wake(self, now: int) -> None:
        self._due = min(self._due, now)

    def _update_progress(self, identifier: str, progress: Progress) -> None:
        host = self._hosts.get(identifier)
        if host is None:
            del self._progress[identifier]
            return
        progress.host = host
        if host.revision >= progress.revision:
            self._finish(progress, host.revision)

    def _take_order_status(self, now: int, progress: Progress, status: int | None) -> None:
        if status == STATUS_ACCEPTED:
            self._accept(now, progress, self._rules.first_report_ns)
        elif status == STATUS_HELD:
            self._finish(progress, progress.revision)
        elif status == STATUS_UNDER_WAY:
            self._accept(now, progress, self._rules.report_period_ns)
        elif status == STATUS_NOT_NAMED:
            self._starts_from = now + self._rules.unnamed_retry_ns
            self._abandon(now, progress, self._rules.unnamed_retry_ns)
        else:
            self._fence_lost = self._fence_lost or status == STATUS_FENCED
            progress.fail(now, self._rules)

    def _accept(self, now: int, progress: Progress, report_after_ns: int) -> None:
        progress.accepted = True
        progress.failures = 0
        progress.wait(Stage.POLLING, now + report_after_ns)
        if progress.announced is not LoadPhase.LOADING:
            self._announce(now, progress, LoadPhase.LOADING)

    def _take_report(self, now: int, progress: Progress, report: LoadReport) -> None:
        if report.saturated:
            self._accept(now, progress, self._rules.report_period_ns)
        elif report.revision >= progress.revision:
            self._finish(progress, report.revision)
        elif now - progress.ordered_at < self._rules.report_age_ns:
            progress.wait(Stage.POLLING, now + self._rules.report_period_ns)
        else:
            self._order_again(now, progress)

    def _order_again(self, now: int, progress: Progress) -> None:
        """The host has not taken the order, or was restarted: it has the version it had."""
        progress.accepted = False
        pause = 0 if progress.orders == 1 else self._rules.back_off_ns(progress.orders)
        progress.wait(Stage.REORDERING, now + pause)

    def _advance(self, now: int, progress: Progress) -> None:
        if progress.is_hopeless(now, self._rules):
            self._abandon(now, progress, self._rules.retry_max_ns)
            return
        if now >= progress.place_ends(self._rules):
            progress.holds_place = False
        if now >= progress.renew_at:
            self._announce(now, progress, progress.announced)
        if now >= progress.due_at:
            self._end_stage(now, progress)

    def _end_stage(self, now: int, progress: Progress) -> None:
        if progress.stage is Stage.PREPARING:
            self._order(now, progress)
        elif progress.stage is Stage.REORDERING:
            self._reorder(now, progress)
        elif progress.stage is Stage.POLLING:
            self._ask(now, progress)
        else:
            progress.fail(now, self._rules)

    def _reorder(self, now: int, progress: Progress) -> None:
        if now < self._next_reorder_at:
            progress.due_at = self._next_reorder_at
            return
        self._next_reorder_at = now + self._rules.unnamed_retry_ns // self._places.limit(now)
        self._order(now, progress)

    def _order(self, now: int, progress: Progress) -> None:
        if progress.revision != self._hosts.target:
            progress.revision = self._hosts.target
            self._announce(now, progress, progress.announced)
        progress.orders += 1
        progress.ordered_at = now
        progress.await_answer(Stage.ORDERING, self._outbox.next_serial(), now, self._rules)
        self._outbox.order(progress.host, progress.revision, self._fence, progress.serial)

    def _ask(self, now: int, progress: Progress) -> None:
        progress.await_answer(Stage.ASKING, self._outbox.next_serial(), now, self._rules)
        self._outbox.ask(progress.host, progress.serial)

    def _finish(self, progress: Progress, revision: int) -> None:
        identifier = progress.host.identifier
        self._hosts.learn(identifier, revision)
        self._progress.pop(identifier, None)
        self._retries.forget(identifier)
        self._publish(identifier, LoadPhase.DONE, revision)

    def _abandon(self, now: int, progress: Progress, pause_ns: int) -> None:
        """Let the host be used again; begin anew after a pause, behind the others."""
        identifier = progress.host.identifier
        self._progress.pop(identifier, None)
        self._retries.failed(now, identifier, pause_ns)
        self._publish(identifier, LoadPhase.IDLE, progress.revision)

    def _announce(self, now: int, progress: Progress, phase: LoadPhase) -> None:
        progress.announced = phase
        progress.renew_at = now + self._rules.renew_ns
        self._publish(progress.host.identifier, phase, progress.revision)

    def _publish(self, identifier: str, phase: LoadPhase, revision: int) -> None:
        self._outbox.announce(identifier, phase, revision, self._fence)

    def _start_hosts(self, now: int) -> None:
        if now < self._starts_from:
            return
        waiting = self._hosts.behind(self._progress)
        loading = self._progress.values()
        limit = self._places.limit(now, waiting)
        free = limit - held(loading)
        if free <= 0 or not waiting:
            return
        ready = [host for host in waiting if self._retries.not_before(host.identifier) <= now]
        for host in sorted(ready, key=self._preference):
            if free > 0 and self._places.group_has_room(host.group, limit, loading):
                self._start(now, host)
                free -= 1

    def _start(self, now: int, host: HostInfo) -> None:
        progress = Progress(host, now, self._hosts.target, self._rules)
        self._progress[host.identifier] = progress
        self._announce(now, progress, LoadPhase.PREPARING)

    def _preference(self, host: HostInfo) -> tuple[int, int, bool, int, str]:
        """Begin with hosts that have not failed, whose time ends first, that perhaps load already, that are
        least busy."""
        failures = self._retries.failures(host.identifier)
        superseded_at = self._hosts.superseded_at(host)
        return (failures, superseded_at, not host.loading, host.in_flight, host.identifier)

    def _next_look(self, now: int) -> int:
        """Return when to look again while no order may be sent."""
        if not self._held or self._fence_lost:
            return FAR_FUTURE
        return max(self._send_from, now + self._rules.idle_ns)

    def _next_due(self, now: int) -> int:
        due = min((self._progress_due(progress) for progress in self._progress.values()), default=FAR_FUTURE)
        waiting = self._hosts.behind(self._progress)
        if waiting and held(self._progress.values()) < self._places.limit(now, waiting):
            earliest = min(self._retries.not_before(host.identifier) for host in waiting)
            due = min(due, max(earliest, self._starts_from))
        return max(due, now + MIN_STEP_NS)

    def _progress_due(self, progress: Progress) -> int:
        due = min(progress.due_at, progress.renew_at)
        place_ends = progress.place_ends(self._rules)
        return min(due, place_ends) if progress.holds_place else due
