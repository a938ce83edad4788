"""What a replica knows of another one: what it holds, and whether it answers."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from ..rpc.link_sign import LinkSign
from .link import Link
from .messages import ExchangeCall, OriginRun
from .records import Positions, to_positions
from .types import PeerCall, PeerReply

REACHABLE_NS = 1_000_000_000  # ns without a reply for which a silent peer may still take a push
SILENT_START_NS = 1_000_000_000  # ns for which a process that has started waits for a silent peer
RESTART_WAIT_NS = 2_000_000_000  # ns that a peer which refuses connections may take to start
EXCHANGE_INTERVAL_NS = 250_000_000  # ns between two exchanges with a peer
CALL_TIMEOUT_NS = 500_000_000  # ns


class PeerState(NamedTuple):
    """What is held of a peer now, for logs."""

    name: str
    failure: LinkSign | None  # None: its last call was replied to
    is_cut_off: bool

    def __str__(self) -> str:
        """As one line of a log shows it."""
        ending = "reply" if self.failure is None else self.failure.name.lower()
        suffix = ", cut off" if self.is_cut_off else ""
        return f"{self.name} {ending}{suffix}"


class Peer:
    """One other replica, as seen from here."""

    def __init__(self, name: str, now: int) -> None:
        """Nothing is known of it yet."""
        self.name = name
        self.life = ""  # the origin that it has named last
        self.known: Positions = {}
        self.durable: Positions = {}
        self.complete = False  # all that it held at an exchange was merged here
        self.intact = False  # it then held all that it has ever confirmed
        # How its last call failed; None after a reply. Before the first call nothing is known either.
        self.failure: LinkSign | None = LinkSign.NONE
        self.link = Link(now)
        self.exchange_due = now
        self.push_due = now
        self.push_limits: Positions = {}  # how much of other origins it gets
        self._calls: dict[int, tuple[PeerCall, int]] = {}  # with their time-outs
        self._exchanges = 0  # of the calls
        self._former_lives: set[str] = set()

    def state(self, now: int) -> PeerState:
        """What is held of it now."""
        return PeerState(self.name, self.failure, self.cut_off(now))

    def cut_off(self, now: int) -> bool:
        """Whether it is on the other side of a partition."""
        return self.link.is_cut(now)

    def reachable(self, now: int) -> bool:
        """Whether the next push may well arrive."""
        if self.failure is LinkSign.REFUSED or self.cut_off(now):
            return False
        return now - self.link.last_reply < REACHABLE_NS

    def awaited(self, now: int) -> bool:
        """Whether a process that has started should still wait for what this peer holds."""
        if self.complete or self.failure is None:
            return not self.complete
        patience = RESTART_WAIT_NS if self.failure is LinkSign.REFUSED else SILENT_START_NS
        return now - self.link.last_reply < patience

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
        self.failure = None
        self.link.replied(now)
        return True

    def failed(self, now: int, sign: LinkSign) -> None:
        """A call has ended without a reply. A process that is gone may come back with an empty disk."""
        refused = sign is LinkSign.REFUSED
        self.failure = sign
        self.link.failed(now, sign)
        self.push_limits = {}
        self.exchange_due = max(self.exchange_due, now + (EXCHANGE_INTERVAL_NS if refused else 0))
        if refused:
            self.durable = {}

    def took(self, runs: Iterable[OriginRun]) -> bool:
        """Whether it holds something of these; else it may be full."""
        return any(not run.adds or self.known.get(run.origin, 0) >= run.first_sequence for run in runs)

    def pushable(self, now: int) -> bool:
        """Whether a push may begin: one at a time, and none to a peer that has not answered last."""
        return self.failure is None and self.push_due <= now and len(self._calls) == self._exchanges

    def shift(self, by: int) -> None:
        """This process stood still for so long: that is not the peer's silence."""
        self.link.shift(by)
        self._calls = {number: (call, time_out + by) for number, (call, time_out) in self._calls.items()}

    def due(self, now: int) -> Iterable[int]:
        """The times at which something about it changes, ns."""
        yield from (time_out for _, time_out in self._calls.values())
        if not self.exchanging:
            yield self.exchange_due
        if self.push_due > now:
            yield self.push_due
        if now < (cut_at := self.link.cut_at()) < math.inf:
            yield int(cut_at)


def _raise_to(positions: Positions, others: Positions) -> None:
    """Raises positions to those of the others."""
    for origin, sequence in others.items():
        if sequence > positions.get(origin, 0):
            positions[origin] = sequence
