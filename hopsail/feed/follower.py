"""Follows one publisher with one long poll after the other."""

from collections.abc import Callable, Collection

from ..event_log import log_exception
from ..net.loop import Loop, Timer
from ..rpc.channel import Channel
from ..rpc.errors import CallError, FrameError
from .fold import Fold
from .journal import Change, Name
from .messages import POLL, PollReply, PollRequest
from .packing import unpack

MS = 1_000_000  # ns
WAIT_MS = 1000  # of a long poll
GRACE = 700 * MS  # after it, in which the reply must come
PACE = 20 * MS  # between two polls, at least
FIRST_BACK_OFF = 50 * MS
LONGEST_BACK_OFF = 500 * MS

OnChanges = Callable[["Follower", bool, list[Change], PollReply], None]


class Follower:
    """Keeps `state` folded and tells of each reply once it is applied.

    `on_changes(follower, snapshot, changes, reply)` is also called with no changes, when a poll's time was
    over; after a snapshot, `changes` are the removals of the keys that vanished and then all entries.
    `make_report` gives the bytes that go with each poll."""

    def __init__(
        self,
        loop: Loop,
        channel: Channel,
        node: str,
        role: str,
        zone: str,
        topics: Collection[int],
        on_changes: OnChanges,
        make_report: Callable[[], bytes] | None = None,
    ) -> None:
        self.loop, self.channel = loop, channel
        self.node, self.role, self.zone, self.topics = node, role, zone, list(topics)
        self.on_changes, self.make_report = on_changes, make_report
        self.fold = Fold()
        self.last_heard = 0  # ns of the last reply, 0 before the first
        self.confirmed_at: int | None = None  # ns: a majority confirmed then, or later, what is told here
        self.last_error: CallError | None = None  # of the last poll, None when it had a reply
        self._asked = 0  # ns
        self._back_off = FIRST_BACK_OFF
        self._timer: Timer | None = None
        self._stopped = False
        self._ask_at(loop.now())

    @property
    def state(self) -> dict[Name, bytes]:
        """All entries by (topic, key)."""
        return self.fold.state

    def stop(self) -> None:
        """Asks no more; a reply that is still to come is left aside."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _ask_at(self, when: int) -> None:
        self._timer = self.loop.at(when, self._ask)

    def _ask(self) -> None:
        self._timer = None
        self._asked = self.loop.now()
        position = self.fold.position
        request = PollRequest(
            node=self.node,
            role=self.role,
            zone=self.zone,
            incarnation=position.incarnation,
            sequence=position.sequence,
            base=position.base,
            wait_ms=WAIT_MS,
            topics=self.topics,
            report=self._report(),
        )
        self.channel.call(POLL, request, PollReply, self._answered, WAIT_MS * MS + GRACE)

    def is_confirmed(self, longest_ago: int) -> bool:
        """Whether a majority has confirmed what is told here not longer than so many ns ago."""
        return self.confirmed_at is not None and self.loop.now() - self.confirmed_at <= longest_ago

    def _note_contact(self, reply: PollReply) -> None:
        """The time is counted from the asking, as the reply may have been long under way, or this process
        stopped: the poll reached the publisher later than it was sent, and waited there for `held_ms`."""
        if reply.contact_age_ms < 0:
            self.confirmed_at = None
            return
        confirmed_at = self._asked + (reply.held_ms - reply.contact_age_ms) * MS
        self.confirmed_at = min(confirmed_at, self.last_heard)

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
            self._ask_at(self.loop.now() + self._back_off)
            self._back_off = min(2 * self._back_off, LONGEST_BACK_OFF)
            return
        self._back_off = FIRST_BACK_OFF
        self.last_heard = self.loop.now()
        self._note_contact(reply)
        folded = self.fold.apply(reply)
        self._ask_at(max(self.last_heard, self._asked + PACE))  # also if the callback fails
        if folded is not None:
            self.on_changes(self, folded.snapshot, folded.changes, reply)
