"""What a replica knows of another one: what it holds, and whether it answers.

A peer that is silent for some time is cut off. One that refuses connections may have a process that
restarts: it is cut off only when that lasts longer than a start takes.
"""

import math
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from .messages import ExchangeCall, OriginRun
from .records import Positions, to_positions
from .types import PeerCall, PeerReply

CUT_OFF_NS = 1_000_000_000  # ns without a reply after which a silent peer is cut off
RESTART_WAIT_NS = 2_000_000_000  # ns that a peer which refuses connections may take to start
EXCHANGE_INTERVAL_NS = 250_000_000  # ns between two exchanges with a peer
CALL_TIMEOUT_NS = 500_000_000  # ns


class Ending(Enum):
    """How the last call to a peer ended."""

    NONE = auto()  # there was none yet
    REPLY = auto()
    REFUSED = auto()  # or the connection broke
    SILENCE = auto()


class PeerState(NamedTuple):
    """What is held of a peer now, for logs."""

    name: str
    ending: Ending
    is_cut_off: bool

    def __str__(self) -> str:
        """As one line of a log shows it."""
        suffix = ", cut off" if self.is_cut_off else ""
        return f"{self.name} {self.ending.name.lower()}{suffix}"


class Peer:
    """One other replica, as seen from here."""

    def __init__(self, name: str, now: int) -> None:
        """Nothing is known of it yet."""
        self.name = name
        self.life = ""  # the origin that it has named last
        self.known: Positions = {}
        self.durable: Positions = {}
        self.complete = False  # all that it held at an exchange was merged here
        self.ending = Ending.NONE
        self.last_reply = now  # or when it became known
        self.silent_since = now
        self.exchange_due = now
        self.push_due = now
        self.push_limits: Positions = {}  # how much of other origins it gets
        self._calls: dict[int, tuple[PeerCall, int]] = {}  # with their time-outs
        self._exchanges = 0  # of the calls
        self._former_lives: set[str] = set()

    def state(self, now: int) -> PeerState:
        """What is held of it now."""
        return PeerState(self.name, self.ending, self.cut_off(now))

    def cut_off(self, now: int) -> bool:
        """Whether it has to be taken for the other side of a partition."""
        return self._cut_off_at() <= now

    def _cut_off_at(self) -> float:
        """When it counts as cut off if no call to it has another end than the last one, ns."""
        if self.ending is Ending.SILENCE:
            return min(self.silent_since + CUT_OFF_NS, self.last_reply + RESTART_WAIT_NS)
        if self.ending is Ending.REFUSED:
            return self.last_reply + RESTART_WAIT_NS
        return math.inf

    def reachable(self, now: int) -> bool:
        """Whether the next push may well arrive."""
        return self.ending is not Ending.REFUSED and not self.cut_off(now)

    def awaited(self, now: int) -> bool:
        """Whether a process that has started should still wait for what this peer holds."""
        if self.complete or self.ending is Ending.REPLY:
            return not self.complete
        patience = RESTART_WAIT_NS if self.ending is Ending.REFUSED else CUT_OFF_NS
        return now - self.last_reply < patience

    @property
    def exchanging(self) -> bool:
        """Whether an exchange is under way."""
        return self._exchanges > 0

    def called(self, call: PeerCall, now: int) -> None:
        """A call to it begins."""
        self._calls[call.number] = (call, now + CALL_TIMEOUT_NS)
        self._exchanges += isinstance(call.message, ExchangeCall)

    def ended(self, number: int) -> PeerCall | None:
        """The call with the number ends; None when it is none that is under way."""
        call, _ = self._calls.pop(number, (None, 0))
        if call is not None:
            self._exchanges -= isinstance(call.message, ExchangeCall)
        return call

    def overdue(self, now: int) -> list[int]:
        """The numbers of calls that have waited for too long."""
        return [number for number, (_, time_out) in self._calls.items() if time_out <= now]

    def answered(self, now: int, reply: PeerReply) -> bool:
        """Takes its positions over; False for a late reply of a former life of its process.

        In one life they only grow, so that replies may overtake each other; a new life may hold nothing.
        """
        if reply.origin in self._former_lives:
            return False
        if reply.origin != self.life:
            self._former_lives.add(self.life)
            self.life, self.known, self.durable = reply.origin, {}, {}
        _raise_to(self.known, to_positions(reply.known))
        _raise_to(self.durable, to_positions(reply.durable))
        self.ending = Ending.REPLY
        self.last_reply = self.silent_since = now
        return True

    def failed(self, now: int, refused: bool) -> None:
        """A call has ended without a reply. A process that is gone may come back with an empty disk."""
        self.ending = Ending.REFUSED if refused else Ending.SILENCE
        self.push_limits = {}
        self.exchange_due = max(self.exchange_due, now + (EXCHANGE_INTERVAL_NS if refused else 0))
        if refused:
            self.silent_since, self.durable = now, {}

    def took(self, runs: Iterable[OriginRun]) -> bool:
        """Whether it holds something of these; else it may be full."""
        return any(not run.adds or self.known.get(run.origin, 0) >= run.first_sequence for run in runs)

    def pushable(self, now: int) -> bool:
        """Whether a push may begin: one at a time, and none to a peer that has not answered last."""
        return self.ending is Ending.REPLY and self.push_due <= now and len(self._calls) == self._exchanges

    def shift(self, by: int) -> None:
        """This process stood still for so long: that is not the peer's silence."""
        self.silent_since += by
        self.last_reply += by
        self._calls = {number: (call, time_out + by) for number, (call, time_out) in self._calls.items()}

    def due(self, now: int) -> Iterable[int]:
        """The times at which something about it changes, ns."""
        yield from (time_out for _, time_out in self._calls.values())
        if not self.exchanging:
            yield self.exchange_due
        if self.push_due > now:
            yield self.push_due
        if now < (cut_off_at := self._cut_off_at()) < math.inf:
            yield int(cut_off_at)


def _raise_to(positions: Positions, others: Positions) -> None:
    """Raises positions to those of the others."""
    for origin, sequence in others.items():
        if sequence > positions.get(origin, 0):
            positions[origin] = sequence
