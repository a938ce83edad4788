"""Follows one publisher with one long poll after the other."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ..event_log import log_exception
from ..net.loop import Loop, Timer
from ..rpc.channel import Channel
from ..rpc.errors import CallError, FrameError
from .fold import Fold
from .journal import Change, Name
from .messages import POLL, PollReply, PollRequest
from .packing import unpack

MS = 1_000_000  # ns
POLL_WAIT_MS = 1000  # of a long poll
REPLY_TIMEOUT_MARGIN_NS = 700 * MS  # after it, in which the reply must come
MIN_POLL_INTERVAL_NS = 20 * MS  # between two polls, at least
MIN_BACKOFF_NS = 50 * MS
MAX_BACKOFF_NS = 500 * MS

OnChanges = Callable[["Follower", bool, list[Change], PollReply], None]


@dataclass(frozen=True, slots=True)
class Subscription:
    """Who follows a feed, as each poll says, and which topics."""

    node: str
    role: str
    zone: str
    topics: Collection[int]


class Follower:
    """Keeps `state` folded and tells of each reply once it is applied.

    `on_changes(follower, snapshot, changes, reply)` is also called with no changes, when a poll's time was
    over; after a snapshot, `changes` are the removals of the keys that vanished and then all entries.
    `make_report` gives the bytes that go with each poll."""

    def __init__(
        self,
        loop: Loop,
        channel: Channel,
        subscription: Subscription,
        on_changes: OnChanges,
        make_report: Callable[[], bytes] | None = None,
    ) -> None:
        """Polls from now on."""
        self.loop, self.channel = loop, channel
        self.subscription, self._topics = subscription, list(subscription.topics)
        self.on_changes, self.make_report = on_changes, make_report
        self.fold = Fold()
        self.last_reply_at = 0  # ns, 0 before the first
        self.confirmed_at: int | None = None  # ns: a majority confirmed then, or later, what is told here
        self.last_error: CallError | None = None  # of the last poll, None when it had a reply
        self._polled_at = 0  # ns
        self._backoff = MIN_BACKOFF_NS
        self._timer: Timer | None = None
        self._stopped = False
        self._poll_at(loop.now())

    @property
    def state(self) -> dict[Name, bytes]:
        """All entries by (topic, key)."""
        return self.fold.state

    def stop(self) -> None:
        """Polls no more; a reply that is still to come is left aside."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _poll_at(self, when: int) -> None:
        self._timer = self.loop.at(when, self._poll)

    def _poll(self) -> None:
        self._timer = None
        self._polled_at = self.loop.now()
        position = self.fold.position
        request = PollRequest(
            node=self.subscription.node,
            role=self.subscription.role,
            zone=self.subscription.zone,
            incarnation=position.incarnation,
            sequence=position.sequence,
            base=position.base,
            wait_ms=POLL_WAIT_MS,
            topics=self._topics,
            report=self._report(),
        )
        self.channel.call(
            POLL, request, PollReply, self._answered, POLL_WAIT_MS * MS + REPLY_TIMEOUT_MARGIN_NS
        )

    def is_confirmed(self, max_age_ns: int) -> bool:
        """Whether a majority has confirmed what is told here not longer than so many ns ago."""
        return self.confirmed_at is not None and self.loop.now() - self.confirmed_at <= max_age_ns

    def _record_contact(self, reply: PollReply) -> None:
        """The time is counted from the asking, as the reply may have been long under way, or this process
        stopped: the poll reached the publisher later than it was sent, and waited there for `parked_ms`."""
        if reply.contact_age_ms < 0:
            self.confirmed_at = None
            return
        confirmed_at = self._polled_at + (reply.parked_ms - reply.contact_age_ms) * MS
        self.confirmed_at = min(confirmed_at, self.last_reply_at)

    def _report(self) -> bytes:
        if self.make_report is None:
            return b""
        try:
            return self.make_report()
        except Exception:  # without its report, the poll still brings the changes
            log_exception()
            return b""

    def _answered(self, reply: PollReply | None, error: CallError | None) -> None:
        if self._stopped:
            return
        self.last_error = error
        if reply is not None:
            try:
                reply = unpack(reply)
            except FrameError:
                log_exception()
                reply = None
        if reply is None:
            self._poll_at(self.loop.now() + self._backoff)
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_NS)
            return
        self._backoff = MIN_BACKOFF_NS
        self.last_reply_at = self.loop.now()
        self._record_contact(reply)
        folded = self.fold.apply(reply)
        self._poll_at(
            max(self.last_reply_at, self._polled_at + MIN_POLL_INTERVAL_NS)
        )  # also if the callback fails
        if folded is not None:
            self.on_changes(self, folded.snapshot, folded.changes, reply)
