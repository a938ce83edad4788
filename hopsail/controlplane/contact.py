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
ASK_EVERY = 250 * MILLISECOND
ASK_AGAIN_AFTER = 50 * MILLISECOND  # while there is no word, or it is old
ASK_WITHIN = 1700 * MILLISECOND  # as for a poll on the same connection, which ends when nothing comes
WORD_SPACING = 250 * MILLISECOND
MOST_WAITING = 8  # answers whose index is not applied yet
NEVER = -1
LONGEST_AGE_MS = 1 << 30


class ConfirmCall(Struct):
    """Asks the leader of part 0 what is committed."""

    thrift_spec = spec()


class ConfirmReply(Struct):
    """What is committed, if the one asked leads and a majority stands behind it."""

    confirmed: bool
    commit_index: int

    thrift_spec = spec(boolean(1, "confirmed"), i64(2, "commit_index"))


class _Word(NamedTuple):
    asked_at: int  # ns
    commit_index: int


class MajorityContact:
    """Renewed by `tick` and by each look at its age. `is_fed()`: what is applied is told, too.

    `regained()` is called when there is word again after `longest_ago` ns without, or for the first time."""

    def __init__(
        self,
        loop: Loop,
        replica: Replica,
        channel: Callable[[str], Channel],
        is_fed: Callable[[], bool],
        longest_ago: int,
        regained: Callable[[], None],
    ) -> None:
        self._loop, self._replica, self._channel, self._is_fed = loop, replica, channel, is_fed
        self._longest_ago, self._regained = longest_ago, regained
        self._confirmed_at: int | None = None  # ns
        self._waiting: deque[_Word] = deque()
        self._ask_at = 0  # ns
        self._asked: str | None = None  # the leader that was asked last
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
        if now >= self._ask_at or leader != self._asked:
            self._ask(now, leader)

    def is_recent(self, now: int) -> bool:
        """Whether there was word within the longest time."""
        return self._confirmed_at is not None and now - self._confirmed_at <= self._longest_ago

    def age_ms(self) -> int:
        """Since the last word, by the clock as it is now; `NEVER` before the first."""
        now = self._loop.now()
        self._renew(now)
        if self._confirmed_at is None:
            return NEVER
        return min((now - self._confirmed_at) // MILLISECOND, LONGEST_AGE_MS)

    def answer(self, argument: ConfirmCall, respond, peer) -> None:
        """Another process asks."""
        replica = self._replica
        confirmed = replica.lease_valid(self._loop.now())
        respond(ConfirmReply(confirmed=confirmed, commit_index=replica.commit_index if confirmed else 0))

    def _renew(self, now: int) -> None:
        replica = self._replica
        if replica.lease_valid(now):
            self._wait_for(_Word(now, replica.commit_index))
        while self._waiting and self._waiting[0].commit_index <= replica.applied_index and self._is_fed():
            word = self._waiting.popleft()
            self._confirmed_at = max(word.asked_at, self._confirmed_at or 0)

    def _wait_for(self, word: _Word) -> None:
        """The newest takes the place of the one before it if that is close to its own predecessor, or there
        are too many. The oldest stays: or none might ever count while changes come all the time."""
        waiting = self._waiting
        is_close = len(waiting) > 1 and waiting[-1].asked_at - waiting[-2].asked_at < WORD_SPACING
        if is_close or len(waiting) >= MOST_WAITING:
            waiting.pop()
        waiting.append(word)

    def _ask(self, now: int, leader: str | None) -> None:
        self._asked = leader
        if leader is None or leader == self._replica.identity:
            return
        self._ask_at = now + (ASK_EVERY if self.is_recent(now) else ASK_AGAIN_AFTER)
        asked_at = now

        def answered(reply: ConfirmReply | None, error) -> None:
            if reply is not None and reply.confirmed:
                self._wait_for(_Word(asked_at, reply.commit_index))

        self._channel(leader).call(CONFIRM, ConfirmCall(), ConfirmReply, answered, ASK_WITHIN)
