"""Attempts to reach members that are dead, and seeds: a partition may have healed. No I/O."""

from collections.abc import Sequence

from .context import SwimContext
from .settings import RECONNECT_PERIODS, Address
from .wire import MemberStatus


class Reconnector:
    """Pings a random dead member, and a random seed, at intervals."""

    def __init__(self, context: SwimContext, now: int) -> None:
        """The first attempt is due at once."""
        self.seeds: Sequence[Address] = context.settings.seeds
        self.earlier_addresses: Sequence[Address] = ()  # of members that an earlier incarnation knew
        self.next_attempt_ns = now
        self._context = context

    def tick(self, now: int, has_joined: bool) -> None:
        """Pings if an attempt is due; before this member has joined, attempts come faster."""
        if now < self.next_attempt_ns:
            return
        settings = self._context.settings
        interval = RECONNECT_PERIODS * settings.period_ns if has_joined else settings.ack_timeout_ns
        self.next_attempt_ns = now + interval
        self._ping_dead_member()
        self._ping_seed(has_joined)

    def _ping_dead_member(self) -> None:
        dead = [
            member
            for member in self._context.members.by_name.values()
            if member.status is MemberStatus.DEAD and not member.is_removed
        ]
        if dead:
            member = self._context.random.choice(dead)
            self._context.outbox.ping(member.address, [member])

    def _ping_seed(self, has_joined: bool) -> None:
        members, random = self._context.members, self._context.random
        live = {member.address for member in members.by_name.values() if member.is_live}
        missing = [address for address in (*self.seeds, *self.earlier_addresses) if address not in live]
        if not missing:
            return
        if not has_joined or random.random() < 1 / RECONNECT_PERIODS or members.live_count() == 1:
            self._context.outbox.ping(random.choice(missing))
