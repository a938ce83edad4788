"""Updates on their way to other members: each is put into a bounded number of datagrams. No I/O."""

from collections.abc import Iterable, Sequence
from math import ceil, log2

from .members import Member
from .settings import RETRANSMIT_FACTOR


def max_transmissions(live_members: int) -> int:
    """How often an update is sent so that it reaches all of so many members."""
    return RETRANSMIT_FACTOR * ceil(log2(live_members + 1))


class DisseminationQueue:
    """The members of whom others have not been told often enough yet."""

    def __init__(self) -> None:
        """Starts empty."""
        self._pending: dict[str, Member] = {}

    def enqueue(self, member: Member) -> None:
        """Tells others of this member anew."""
        member.transmissions = 0
        self._pending[member.name] = member

    def discard(self, name: str) -> None:
        """Tells nobody of this member any more."""
        self._pending.pop(name, None)

    def select(self, required: Sequence[Member], own: Member) -> list[Member]:
        """The members to tell of in the next datagram, the most important first.

        Those required come first, then this member itself (its refutations), then the least often sent.
        """
        others = [member for member in self._pending.values() if member not in required]
        others.sort(key=lambda member: (member is not own, member.transmissions))
        return [*required, *others]

    def record_sent(self, members: Iterable[Member], limit: int) -> None:
        """Counts a transmission of each; what was sent `limit` times leaves the queue."""
        for member in members:
            member.transmissions += 1
            if member.transmissions >= limit:
                self.discard(member.name)
