"""Roll-out of a model's new weights to its hosts, run by the single owner of the service's lease.

The data planes first stop choosing a host (PREPARING); it is then ordered to load, and is used again (DONE)
once its report shows the revision. An order without a clear answer may have been accepted, so the report is
requested before another order is sent.
"""

from collections.abc import Iterable

from hopsail.errors import HopsailError
from hopsail.weights.actions import Action, Announce, HostInfo, RequestReport, SendOrder
from hopsail.weights.capacity import LoadCapacity, used_slots
from hopsail.weights.load import HostLoad, LoadPhase
from hopsail.weights.model_hosts import ModelHosts
from hopsail.weights.named_revisions import NamedRevisions
from hopsail.weights.outbox import Outbox
from hopsail.weights.progress import Progress, Stage
from hopsail.weights.report import LoadReport, parse_report
from hopsail.weights.retries import Retries
from hopsail.weights.rules import RolloutRules

__all__ = [
    "Action",
    "Announce",
    "FencingTokenError",
    "HostInfo",
    "HostLoad",
    "LoadPhase",
    "RequestReport",
    "Rollout",
    "RolloutRules",
    "SendOrder",
]

FAR_FUTURE = 1 << 62
MIN_STEP_NS = 1_000_000

STATUS_ALREADY_LOADED = 200
STATUS_ACCEPTED = 202
STATUS_NOT_NAMED = 400
STATUS_UNDER_WAY = 409
STATUS_FENCED = 412


class FencingTokenError(HopsailError, ValueError):
    """A fencing token is not above the last one."""


class Rollout:
    """Brings the hosts of one model to the target revision while this process owns the lease."""

    def __init__(self, owner: str, rules: RolloutRules, model: str) -> None:
        """Create a roll-out that sends nothing before `acquire`."""
        self._rules = rules
        self.model = model
        self._is_owner = False
        self._fencing_token = 0
        self._is_fenced = False
        self._send_from = 0
        self._hosts = ModelHosts()
        self._capacity = LoadCapacity(rules, self._hosts)
        self._retries = Retries(rules)
        self._progress: dict[str, Progress] = {}
        self._outbox = Outbox(owner, model)
        self._starts_from = 0
        self._next_reorder_at = 0
        self._due = FAR_FUTURE

    @property
    def fencing_token(self) -> int:
        """The last fencing token acquired, 0 when there was none."""
        return self._fencing_token

    @property
    def is_fenced(self) -> bool:
        """Whether a host has seen a higher fencing token; nothing is sent until a higher one is acquired."""
        return self._is_fenced

    @property
    def due(self) -> int:
        """When `step` is to be called next."""
        return self._due

    @property
    def loading(self) -> dict[str, LoadPhase]:
        """The hosts with a load in progress, with the phase last announced."""
        return {identifier: progress.announced for identifier, progress in self._progress.items()}

    @property
    def behind(self) -> int:
        """How many serving hosts have not loaded the target yet."""
        return len(self._hosts.behind())

    def acquire(self, now: int, fencing_token: int, previous_owner_other: bool) -> None:
        """Own the lease with a new, higher fencing token.

        `previous_owner_other` is true when another process owned the last lease and did not name this one as
        its successor, and also when that is not known (as after a start of this process). Orders are then
        sent only after `lease_ns`. A wait that is not over is never shortened.

        Raises:
            FencingTokenError: the token is not above the last one.
        """
        if fencing_token <= self._fencing_token:
            raise FencingTokenError(f"fencing token {fencing_token} is not above {self._fencing_token}")
        self._fencing_token = fencing_token
        self._is_fenced = False
        self._is_owner = True
        if previous_owner_other:
            self._send_from = max(self._send_from, now + self._rules.lease_ns)
            self._clear()
        self._wake(now)

    def release(self, now: int) -> None:
        """Give up the lease; loads in progress are left to the next owner."""
        self._is_owner = False
        self._clear()
        self._wake(now)

    def may_send(self, now: int, lease_valid: bool) -> bool:
        """Whether an order may be sent now."""
        return self._is_owner and lease_valid and not self._is_fenced and now >= self._send_from

    def update(self, now: int, hosts: Iterable[HostInfo], named: NamedRevisions) -> None:
        """Replace the known hosts of the model and its named revisions, the newest of which is the target."""
        self._hosts.update(hosts, named)
        self._retries.retain(self._hosts)
        for identifier, progress in list(self._progress.items()):
            self._update_progress(identifier, progress)
        self._wake(now)

    def step(self, now: int, lease_valid: bool) -> list[Action]:
        """Return the actions that are due now, in order."""
        if self.may_send(now, lease_valid):
            for progress in list(self._progress.values()):
                self._advance(now, progress)
            self._start_hosts(now)
            self._due = self._next_due(now)
        else:
            self._due = self._next_check(now)
        return self._outbox.take()

    def receive_order_status(
        self, now: int, host: str, status: int | None, serial: int | None = None
    ) -> None:
        """Process the status of an order (None: no answer); one that is no longer awaited is ignored."""
        progress = self._progress.get(host)
        if progress is None or not progress.expects(Stage.ORDERED, serial):
            return
        self._apply_order_status(now, progress, status)
        self._wake(now)

    def receive_report(self, now: int, host: str, report: object, serial: int | None = None) -> None:
        """Process a host's report as parsed JSON (None: no answer); one no longer awaited is ignored."""
        progress = self._progress.get(host)
        if progress is None or not progress.expects(Stage.REPORT_REQUESTED, serial):
            return
        parsed = parse_report(report, self.model)
        if parsed is None:
            progress.fail(now, self._rules)
        else:
            self._apply_report(now, progress, parsed)
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

    def _apply_order_status(self, now: int, progress: Progress, status: int | None) -> None:
        if status == STATUS_ACCEPTED:
            self._accept(now, progress, self._rules.first_report_ns)
        elif status == STATUS_ALREADY_LOADED:
            self._finish(progress, progress.revision)
        elif status == STATUS_UNDER_WAY:
            self._accept(now, progress, self._rules.report_period_ns)
        elif status == STATUS_NOT_NAMED:
            self._starts_from = now + self._rules.unnamed_retry_ns
            self._abandon(now, progress, self._rules.unnamed_retry_ns)
        else:
            self._is_fenced = self._is_fenced or status == STATUS_FENCED
            progress.fail(now, self._rules)

    def _accept(self, now: int, progress: Progress, report_after_ns: int) -> None:
        progress.accepted = True
        progress.failures = 0
        progress.enter(Stage.POLLING, now + report_after_ns)
        if progress.announced is not LoadPhase.LOADING:
            self._announce(now, progress, LoadPhase.LOADING)

    def _apply_report(self, now: int, progress: Progress, report: LoadReport) -> None:
        if report.saturated:
            self._accept(now, progress, self._rules.report_period_ns)
        elif report.revision >= progress.revision:
            self._finish(progress, report.revision)
        elif now - progress.ordered_at < self._rules.report_age_ns:
            progress.enter(Stage.POLLING, now + self._rules.report_period_ns)
        else:
            self._order_again(now, progress)

    def _order_again(self, now: int, progress: Progress) -> None:
        """Order again: the host has not accepted the order, or was restarted with its old version."""
        progress.accepted = False
        backoff_ns = 0 if progress.orders == 1 else self._rules.backoff_ns(progress.orders)
        progress.enter(Stage.REORDERING, now + backoff_ns)

    def _advance(self, now: int, progress: Progress) -> None:
        if progress.is_hopeless(now, self._rules):
            self._abandon(now, progress, self._rules.retry_max_ns)
            return
        if now >= progress.slot_expires_at(self._rules):
            progress.holds_slot = False
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
            self._request_report(now, progress)
        else:
            progress.fail(now, self._rules)

    def _reorder(self, now: int, progress: Progress) -> None:
        if now < self._next_reorder_at:
            progress.due_at = self._next_reorder_at
            return
        self._next_reorder_at = now + self._rules.unnamed_retry_ns // self._capacity.limit(now)
        self._order(now, progress)

    def _order(self, now: int, progress: Progress) -> None:
        if progress.revision != self._hosts.target:
            progress.revision = self._hosts.target
            self._announce(now, progress, progress.announced)
        progress.orders += 1
        progress.ordered_at = now
        progress.await_answer(Stage.ORDERED, self._outbox.next_serial(), now, self._rules)
        self._outbox.order(progress.host, progress.revision, self._fencing_token, progress.serial)

    def _request_report(self, now: int, progress: Progress) -> None:
        progress.await_answer(Stage.REPORT_REQUESTED, self._outbox.next_serial(), now, self._rules)
        self._outbox.request_report(progress.host, progress.serial)

    def _finish(self, progress: Progress, revision: int) -> None:
        identifier = progress.host.identifier
        self._hosts.record_loaded(identifier, revision)
        self._progress.pop(identifier, None)
        self._retries.record_success(identifier)
        self._publish(identifier, LoadPhase.DONE, revision)

    def _abandon(self, now: int, progress: Progress, backoff_ns: int) -> None:
        """Let the host be used again; begin anew after a backoff, behind the others."""
        identifier = progress.host.identifier
        self._progress.pop(identifier, None)
        self._retries.record_failure(now, identifier, backoff_ns)
        self._publish(identifier, LoadPhase.IDLE, progress.revision)

    def _announce(self, now: int, progress: Progress, phase: LoadPhase) -> None:
        progress.announced = phase
        progress.renew_at = now + self._rules.renew_ns
        self._publish(progress.host.identifier, phase, progress.revision)

    def _publish(self, identifier: str, phase: LoadPhase, revision: int) -> None:
        self._outbox.announce(identifier, phase, revision, self._fencing_token)

    def _start_hosts(self, now: int) -> None:
        if now < self._starts_from:
            return
        pending = self._hosts.behind(self._progress)
        loading = self._progress.values()
        limit = self._capacity.limit(now, pending)
        free_slots = limit - used_slots(loading)
        if free_slots <= 0 or not pending:
            return
        ready = [host for host in pending if self._retries.not_before(host.identifier) <= now]
        for host in sorted(ready, key=self._preference):
            if free_slots > 0 and self._capacity.group_has_capacity(host.group, limit, loading):
                self._start(now, host)
                free_slots -= 1

    def _start(self, now: int, host: HostInfo) -> None:
        progress = Progress(host, now, self._hosts.target, self._rules)
        self._progress[host.identifier] = progress
        self._announce(now, progress, LoadPhase.PREPARING)

    def _preference(self, host: HostInfo) -> tuple[int, int, bool, int, str]:
        """Sort key: fewest failures, earliest deadline, perhaps loading already, least busy."""
        failures = self._retries.failures(host.identifier)
        superseded_at = self._hosts.superseded_at(host)
        return (failures, superseded_at, not host.loading, host.in_flight, host.identifier)

    def _next_check(self, now: int) -> int:
        """Return when to check again while no order may be sent."""
        if not self._is_owner or self._is_fenced:
            return FAR_FUTURE
        return max(self._send_from, now + self._rules.idle_ns)

    def _next_due(self, now: int) -> int:
        due = min((self._progress_due(progress) for progress in self._progress.values()), default=FAR_FUTURE)
        pending = self._hosts.behind(self._progress)
        if pending and used_slots(self._progress.values()) < self._capacity.limit(now, pending):
            earliest = min(self._retries.not_before(host.identifier) for host in pending)
            due = min(due, max(earliest, self._starts_from))
        return max(due, now + MIN_STEP_NS)

    def _progress_due(self, progress: Progress) -> int:
        due = min(progress.due_at, progress.renew_at)
        slot_expires_at = progress.slot_expires_at(self._rules)
        return min(due, slot_expires_at) if progress.holds_slot else due
