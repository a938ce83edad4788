"""All-to-all heartbeats, as a baseline for studies: each member tells all others each period that it lives.

Updates, incarnations and pulls are those of the protocol; probes, suspicions and refutations are not used.
"""

from random import Random

from .protocol import SwimProtocol
from .settings import SwimSettings
from .wire import MemberStatus, Message, Pull, ViewChunk

TIMEOUT_PERIODS = 5


class HeartbeatProtocol(SwimProtocol):
    """A member that only sends and expects heartbeats."""

    def __init__(self, settings: SwimSettings, random: Random, now: int, incarnation: int) -> None:
        """As SwimProtocol."""
        super().__init__(settings, random, now, incarnation)
        self._received_ns: dict[str, int] = {}  # name -> when its last message was received
        self._context.rechecks.capacity = 0

    def _handle_message(self, message: Message, length: int) -> None:
        super()._handle_message(message, length)
        self._received_ns[message.sender.name] = self._now

    def _handle_payload(self, message: Message, length: int) -> None:
        sender = self.members.by_name[message.sender.name]
        if not sender.is_live:
            self.view.set_status(sender, MemberStatus.ALIVE, self._now)
        if isinstance(message.payload, Pull | ViewChunk):
            super()._handle_payload(message, length)
        else:
            self.anti_entropy.join_through(sender.address, self._now)

    def _do_due(self, now: int) -> None:
        if now < self.detector.next_probe_ns:
            return
        self.detector.next_probe_ns = now + self.settings.period_ns
        number = self.outbox.next_number()
        for member in list(self.members.by_name.values()):
            if member is self.members.own:
                continue
            self.outbox.ping(member.address, number=number)
            elapsed_ns = now - self._received_ns.setdefault(member.name, now)
            if member.is_live and elapsed_ns > TIMEOUT_PERIODS * self.settings.period_ns:
                self.view.set_status(member, MemberStatus.DEAD, now)
        if len(self.members.by_name) == 1:
            for address in self.settings.seeds:
                self.outbox.ping(address, number=number)
        self.anti_entropy.abandon_overdue(now)
