"""Two processes under one name: the one that has it keeps it as long as it answers. No I/O."""

from typing import NamedTuple

from .context import SwimContext
from .members import Member
from .settings import Address
from .wire import MemberUpdate

MAX_CONFLICTS = 64


class _Claim(NamedTuple):
    """A claim of a live member's name, decided at the deadline."""

    update: MemberUpdate
    deadline_ns: int


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class NameConflicts:
    """The claims of names that live elsewhere, undecided ones and those that were refused."""

    def __init__(self, context: SwimContext) -> None:
        """Starts with no claim."""
        self.refused_addresses: dict[str, str] = {}  # name -> host:port of the last refused claim
        self._context = context
        self._claims: dict[str, _Claim] = {}

    def record_own_name_claim(self, sender: MemberUpdate) -> None:
        """Another process uses this member's own name."""
        self._context.counts["claimed"] += 1
        if sender.address != self._context.settings.advertised_address:
            self.refused_addresses[sender.name] = _text(sender.address)

    def open(self, owner: Member, claim: MemberUpdate, now: int) -> None:
        """Another address claims a live member's name: that member is pinged first."""
        self.refused_addresses[claim.name] = _text(claim.address)
        while len(self.refused_addresses) > MAX_CONFLICTS:
            del self.refused_addresses[next(iter(self.refused_addresses))]
        if claim.name in self._claims or len(self._claims) >= MAX_CONFLICTS:
            return
        context = self._context
        deadline = now + context.settings.period_ns * context.health.factor
        self._claims[claim.name] = _Claim(claim, deadline)
        context.counts["contests"] += 1
        context.outbox.ping(owner.address, [owner])

    def owner_answered(self, name: str) -> None:
        """The member that has the name lives: nobody else gets it."""
        self._claims.pop(name, None)

    def take_expired(self, now: int) -> list[MemberUpdate]:
        """The claims whose names' owners did not answer in time."""
        expired = [claim.update for claim in self._claims.values() if now >= claim.deadline_ns]
        for update in expired:
            del self._claims[update.name]
        return expired

    def accept(self, name: str) -> None:
        """The claim of this name is not refused any more."""
        self.refused_addresses.pop(name, None)

    def postpone(self, duration_ns: int) -> None:
        """Gives each owner so much more time."""
        self._claims = {
            name: _Claim(claim.update, claim.deadline_ns + duration_ns)
            for name, claim in self._claims.items()
        }

    def deadlines(self) -> list[int]:
        """When claims are to be decided."""
        return [claim.deadline_ns for claim in self._claims.values()]
