"""What the collaborators of one member's protocol share."""

from collections import Counter, OrderedDict
from random import Random
from typing import NamedTuple

from .dissemination import DisseminationQueue
from .local_health import LocalHealth
from .members import Member, MemberTable
from .outbox import Outbox
from .settings import SwimSettings
from .wire import Codec, MemberStatus, MemberUpdate

MAX_RECHECKS = 64


class RecheckQueue:
    """Names of members to be pinged soon, since others say that they are alive after all."""

    def __init__(self, capacity: int = MAX_RECHECKS) -> None:
        """Beyond `capacity` names, further ones are dropped."""
        self.capacity = capacity
        self._names: OrderedDict[str, None] = OrderedDict()

    def add(self, member: Member) -> None:
        """Has this member pinged soon, unless it has left or was removed."""
        may_return = not member.is_removed and member.status is not MemberStatus.LEFT
        if may_return and len(self._names) < self.capacity:
            self._names.setdefault(member.name)

    def discard(self, name: str) -> None:
        """Has this member not pinged."""
        self._names.pop(name, None)

    def take(self, limit: int) -> list[str]:
        """The names that have waited longest, at most `limit`."""
        return [self._names.popitem(last=False)[0] for _ in range(min(limit, len(self._names)))]


class SwimContext(NamedTuple):
    """Settings, random numbers, counters and the state that several collaborators use."""

    settings: SwimSettings
    random: Random
    members: MemberTable
    updates: DisseminationQueue
    outbox: Outbox
    counts: Counter[str]
    health: LocalHealth
    rechecks: RecheckQueue


def make_context(settings: SwimSettings, random: Random, incarnation: int, now: int) -> SwimContext:
    """The state of a member that has just started; `now` in ns."""
    own = MemberUpdate(
        settings.name, settings.advertised_address, incarnation, refutations=0, status=MemberStatus.ALIVE
    )
    members = MemberTable(Member.from_update(own, now), now)
    updates: DisseminationQueue = DisseminationQueue()
    counts: Counter[str] = Counter()
    codec = Codec(settings.fleet, settings.keys, settings.max_datagram_bytes)
    return SwimContext(
        settings=settings,
        random=random,
        members=members,
        updates=updates,
        outbox=Outbox(codec, members, updates, counts),
        counts=counts,
        health=LocalHealth(),
        rechecks=RecheckQueue(),
    )
