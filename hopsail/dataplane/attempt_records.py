"""What is kept of attempts while they run, and what is learnt from each when it ends.

That is: own load of hosts, their health, how long requests take, the directory of work, lanes' measure."""

from collections.abc import Callable

from ..model import MS, SECOND
from ..routing.durations import RecentDurations
from ..routing.lanes import Lane, lane_of
from ..routing.outcomes import Failure
from .attempt import Attempt
from .execution import Outcome, target_ms
from .lane_agreement import LaneAgreement
from .placement import Placement
from .service_hosts import ServiceHosts
from .work_directory import WorkDirectory

SILENCE_TIME = SECOND  # that a client has to wait in vain before its leave tells of the host


class AttemptRecords:
    """One data plane's; `now()` tells the time (ns)."""

    def __init__(self, now: Callable[[], int], placement: Placement, counters):
        self.now, self.placement, self.counters = now, placement, counters
        self.durations = RecentDurations(now())  # by route and size
        self.directory: WorkDirectory | None = None
        self.lanes: LaneAgreement | None = None

    def began(self, forwarding, attempt: Attempt) -> None:
        """A request is on its way to a host."""
        host = attempt.host
        host.in_flight += 1
        host.in_flight_work += attempt.placed.work
        self.counters.add("attempts")
        if self.lanes is not None and forwarding.prompt.model is not None:
            lane, aim = lane_of(forwarding.prompt.tokens), target_ms(forwarding.route)
            self.lanes.began(forwarding.service, lane, attempt.placed.reading, aim)
        if self.directory is None:
            return
        if lane_of(int(attempt.placed.reading)) is Lane.LONG:
            left = forwarding.deadline - self.now()
            attempt.told = self.directory.begin(host.identifier, attempt.placed.reading, left)
        self.directory.sent(host.identifier, attempt.placed.parts)

    def first_byte(self, forwarding, attempt: Attempt) -> None:
        """A host's answer has begun."""
        now = self.now()
        attempt.first_at = now
        self._succeeded(forwarding, attempt)
        took_ms = (now - attempt.sent_at) / MS
        shows_speed = self.placement.rate.shows_speed(attempt.placed.reading, took_ms)
        self._reading_over(attempt, attempt.placed.is_whole and shows_speed)

    def over(self, forwarding, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended, or was abandoned (None)."""
        host = attempt.host
        if attempt.placed.reservation is not None:
            attempt.placed.reservation.release()
        host.in_flight -= 1
        host.in_flight_work = max(0.0, host.in_flight_work - attempt.placed.work) if host.in_flight else 0.0
        self.counters.add(f"attempts.{outcome.name.lower() if outcome else 'abandoned'}")
        self._count_end(attempt, outcome)
        self._reading_over(attempt, False)
        if attempt.written:
            size = int(forwarding.prompt.size)
            self.durations.add(self.now(), forwarding.route["Name"], size, self.now() - attempt.sent_at)
            self._answer_over(forwarding, attempt)
        self._judge(forwarding, attempt, outcome)

    def _count_end(self, attempt: Attempt, outcome: Outcome | None) -> None:
        if attempt.answer_end is None:
            return
        if outcome is Outcome.BROKEN:
            self.counters.add("attempts.unfinished")
        else:
            self.counters.add(f"attempts.end.{attempt.answer_end.value}")

    def _reading_over(self, attempt: Attempt, is_sample: bool) -> None:
        """The host has read the attempt's prompt, or will not."""
        if attempt.told is not None:
            self.directory.end(attempt.told, is_sample)
            attempt.told = None

    def _answer_over(self, forwarding, attempt: Attempt) -> None:
        """What the answer tells of the host's speed counts for the division of the hosts."""
        if self.lanes is None or forwarding.prompt.model is None or attempt.first_at is None:
            return
        self.lanes.answered(
            forwarding.service,
            lane_of(forwarding.prompt.tokens),
            attempt.placed.reading,
            (attempt.first_at - attempt.sent_at) / MS,
            (self.now() - attempt.sent_at) / MS,
        )

    def _judge(self, forwarding, attempt: Attempt, outcome: Outcome | None) -> None:
        """What the attempt tells of its host's health."""
        now = self.now()
        if attempt.is_withdrawn:
            self.counters.add("attempts.withdrawn")
        elif attempt.is_replaced:
            self._failed(forwarding, attempt, Failure.REPLACED)
        elif outcome in (Outcome.COMPLETE, Outcome.DECLINED):
            self._succeeded(forwarding, attempt)
        elif outcome is Outcome.NOT_SENT or (outcome is Outcome.BROKEN and attempt.response is None):
            self._failed(forwarding, attempt, Failure.CONNECTION)
        elif outcome is None and attempt.response is None and now - attempt.sent_at >= SILENCE_TIME:
            self._failed(forwarding, attempt, Failure.SILENCE)

    def _failed(self, forwarding, attempt: Attempt, failure: Failure) -> None:
        """A failure of the host; one that is paused for it may warm up when it comes back."""
        now, service, name = self.now(), self._service(forwarding), attempt.host.identifier
        sent = None if failure is Failure.REPLACED else attempt.sent_at
        service.health.failed(now, name, failure, sent)
        if service.health.penalty_until(now, name):
            service.warmup.failed(now, name)

    def _succeeded(self, forwarding, attempt: Attempt) -> None:
        now, service = self.now(), self._service(forwarding)
        service.health.succeeded(now, attempt.host.identifier)
        service.warmup.answered(now, attempt.host.identifier)

    def _service(self, forwarding) -> ServiceHosts:
        return self.placement.services[forwarding.service]
