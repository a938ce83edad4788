"""How long ago a majority stood behind the configuration that this process tells.

A leader knows it by its lease. Another member asks the leader, who answers under its lease with the index
that was committed then: once that index is applied here, what is told here was the newest when the question
was asked (as for reads at a follower: Ongaro, "Consensus: bridging theory and practice", section 6.4). The
time is that of the asking, on the asker's own steady clock, so that neither messages under way for long nor
a process that was stopped make it look later. Who is no member, or is cut off with the leader, gets no word.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..net.loop import Loop
from ..replication.replica import Replica
from ..rpc.channel import Channel
from ..rpc.structs import Struct, boolean, i64, spec

CONFIRM = "confirm"  # the method's name

MILLISECOND = 1_000_000
CONFIRM_INTERVAL_NS = 250 * MILLISECOND
RETRY_INTERVAL_NS = 50 * MILLISECOND  # while there is no word, or it is old
CALL_TIMEOUT_NS = 1700 * MILLISECOND  # as for a poll on the same connection, which ends when nothing comes
MIN_SPACING_NS = 250 * MILLISECOND
MAX_PENDING = 8  # answers whose index is not applied yet
NEVER = -1
MAX_AGE_MS = 1 << 30


class ConfirmCall(Struct):
    """Asks the leader of shard 0 what is committed."""

    thrift_spec = spec()


class ConfirmReply(Struct):
    """What is committed, if the one asked leads and a majority stands behind it."""

    confirmed: bool
    commit_index: int

    thrift_spec = spec(boolean(1, "confirmed"), i64(2, "commit_index"))


class _Confirmation(NamedTuple):
    sent_at: int  # ns
    commit_index: int


class MajorityContact:
    """Renewed by `tick` and by each look at its age. `is_fed()`: what is applied is told, too.

    `regained()` is called when there is word again after `max_age` ns without, or for the first time."""

    def __init__(
        self,
        loop: Loop,
        replica: Replica,
        channel: Callable[[str], Channel],
        is_fed: Callable[[], bool],
        max_age: int,
        regained: Callable[[], None],
    ) -> None:
        self._loop, self._replica, self._channel, self._is_fed = loop, replica, channel, is_fed
        self._longest_ago, self._regained = max_age, regained
        self._confirmed_at: int | None = None  # ns
        self._pending: deque[_Confirmation] = deque()
        self._confirm_at = 0  # ns
        self._last_leader: str | None = None  # the leader that was asked last
        self._was_recent = False

    def tick(self) -> None:
        """To be called often: asks when it is time to."""
        now = self._loop.now()
        self._renew(now)
        is_recent = self.is_recent(now)
        if is_recent and not self._was_recent:
            self._regained()
        self._was_recent = is_recent
        leader = self._replica.leader
        if now >= self._confirm_at or leader != self._last_leader:
            self._confirm(now, leader)

    def is_recent(self, now: int) -> bool:
        """Whether there was word within the longest time."""
        return self._confirmed_at is not None and now - self._confirmed_at <= self._longest_ago

    def age_ms(self) -> int:
        """Since the last word, by the clock as it is now; `NEVER` before the first."""
        now = self._loop.now()
        self._renew(now)
        if self._confirmed_at is None:
            return NEVER
        return min((now - self._confirmed_at) // MILLISECOND, MAX_AGE_MS)

    def answer(self, argument: ConfirmCall, respond, peer) -> None:
        """Another process asks."""
        replica = self._replica
        confirmed = replica.lease_valid(self._loop.now())
        respond(ConfirmReply(confirmed=confirmed, commit_index=replica.commit_index if confirmed else 0))

    def _renew(self, now: int) -> None:
        replica = self._replica
        if replica.lease_valid(now):
            self._add_pending(_Confirmation(now, replica.commit_index))
        while self._pending and self._pending[0].commit_index <= replica.applied_index and self._is_fed():
            confirmation = self._pending.popleft()
            self._confirmed_at = max(confirmation.sent_at, self._confirmed_at or 0)

    def _add_pending(self, confirmation: _Confirmation) -> None:
        """The newest takes the place of the one before it if that is close to its own predecessor, or there
        are too many. The oldest stays: or none might ever count while changes come all the time."""
        pending = self._pending
        is_close = len(pending) > 1 and pending[-1].sent_at - pending[-2].sent_at < MIN_SPACING_NS
        if is_close or len(pending) >= MAX_PENDING:
            pending.pop()
        pending.append(confirmation)

    def _confirm(self, now: int, leader: str | None) -> None:
        self._last_leader = leader
        if leader is None or leader == self._replica.identity:
            return
        self._confirm_at = now + (CONFIRM_INTERVAL_NS if self.is_recent(now) else RETRY_INTERVAL_NS)
        sent_at = now

        def answered(reply: ConfirmReply | None, error) -> None:
            if reply is not None and reply.confirmed:
                self._add_pending(_Confirmation(sent_at, reply.commit_index))

        self._channel(leader).call(CONFIRM, ConfirmCall(), ConfirmReply, answered, CALL_TIMEOUT_NS)
