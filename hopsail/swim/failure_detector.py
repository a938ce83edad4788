"""SWIM's failure detector: direct and indirect probes, and suspicions that run out. No I/O."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from .context import SwimContext
from .members import Member, name_checksum
from .settings import INDIRECT_PROBES, Address
from .view import FleetView
from .wire import Ack, MemberStatus, PingRequest

MAX_RELAYED_PROBES = 256  # for other members, until they are answered
RECHECKS_PER_PERIOD = 4


@dataclass(slots=True)
class _Probe:
    """The probe under way; the deadline is that of its direct part, then that of the whole."""

    number: int
    member: Member
    started_ns: int
    deadline_ns: int
    is_indirect: bool = False


class _RelayedProbe(NamedTuple):
    """A ping in place of another member, which gets the acknowledgement."""

    requester: Address
    number: int  # the requester's
    expires_ns: int


class FailureDetector:
    """Probes one member each period, in rounds of random order."""

    def __init__(self, context: SwimContext, view: FleetView, now: int) -> None:
        """The first probe starts within a period."""
        self.next_probe_ns = now
        self.probe_order: list[str] = []  # names, the next one last
        self._context = context
        self._view = view
        self._probe: _Probe | None = None
        self._relayed: OrderedDict[int, _RelayedProbe] = OrderedDict()  # by the number of the own ping
        self.delay_next_probe(now)

    def delay_next_probe(self, now: int) -> None:
        """Starts the next probe at a random time within a period."""
        context = self._context
        self.next_probe_ns = now + int(context.settings.period_ns * context.random.random())

    def forgive(self, now: int) -> None:
        """This process was stopped: that its probe was not answered meanwhile says nothing."""
        self._probe = None
        self.delay_next_probe(now)

    def deadlines(self) -> list[int]:
        """When something is due."""
        probe = [] if self._probe is None else [self._probe.deadline_ns]
        return [self.next_probe_ns, *probe]

    def tick(self, now: int) -> None:
        """Does what is due."""
        if self._probe is not None and now >= self._probe.deadline_ns:
            self._handle_timeout(self._probe, now)
        if now >= self.next_probe_ns:
            self.next_probe_ns = now + self._context.settings.period_ns * self._context.health.factor
            self._expire_suspicions(now)
            self._start_probe(now)
            self._view.forget_dead(now)
            self._expire_relayed(now)
            self._recheck()

    def _expire_suspicions(self, now: int) -> None:
        for member in list(self._context.members.by_name.values()):
            if member.status is MemberStatus.SUSPECT and now >= member.suspicion_deadline_ns:
                self._view.set_status(member, MemberStatus.DEAD, now)

    def _start_probe(self, now: int) -> None:
        if self._probe is not None:
            return
        member = self._next_member()
        if member is None:
            return
        context = self._context
        deadline = now + context.settings.ack_timeout_ns * context.health.factor
        number = context.outbox.ping(member.address, [member])
        self._probe = _Probe(number, member, now, deadline)

    def _next_member(self) -> Member | None:
        """The next live member of the round; None when there is no other."""
        while True:
            if not self.probe_order:
                self.probe_order = [member.name for member in self._context.members.others()]
                self._context.random.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            member = self._context.members.by_name.get(self.probe_order.pop())
            if member is not None and member.is_live:
                return member

    def _handle_timeout(self, probe: _Probe, now: int) -> None:
        if not probe.is_indirect:
            self._probe_indirectly(probe)
            return
        self._probe = None
        context, member = self._context, probe.member
        context.health.degrade()
        own = name_checksum(context.settings.name)
        if member.status is MemberStatus.ALIVE:
            member.suspected_by = {own}
            self._view.set_status(member, MemberStatus.SUSPECT, now)
            context.counts["suspected"] += 1
        elif member.status is MemberStatus.SUSPECT:
            self._view.apply(member.to_update(own), now)

    def _probe_indirectly(self, probe: _Probe) -> None:
        """Others shall ping the member, too, and so does this one once more."""
        context, members = self._context, self._context.members
        probe.is_indirect = True
        probe.deadline_ns = probe.started_ns + context.settings.period_ns * context.health.factor
        candidates = [
            member
            for member in members.by_name.values()
            if member.status is MemberStatus.ALIVE and member not in (members.own, probe.member)
        ]
        request = PingRequest(probe.number, probe.member.address)
        for relay in context.random.sample(candidates, min(INDIRECT_PROBES, len(candidates))):
            context.outbox.send(relay.address, request)
        context.outbox.ping(probe.member.address, [probe.member], probe.number)

    def _expire_relayed(self, now: int) -> None:
        for number in [number for number, relayed in self._relayed.items() if relayed.expires_ns < now]:
            del self._relayed[number]

    def _recheck(self) -> None:
        for name in self._context.rechecks.take(RECHECKS_PER_PERIOD):
            if (member := self._context.members.by_name.get(name)) is not None:
                self._context.outbox.ping(member.address, [member])

    def relay(self, requester: Address, request: PingRequest, now: int) -> None:
        """Pings a member in place of another one."""
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            return
        outbox = self._context.outbox
        expires = now + 2 * self._context.settings.period_ns
        number = outbox.next_number()
        self._relayed[number] = _RelayedProbe(requester, request.number, expires)
        outbox.ping(request.target, number=number)

    def handle_ack(self, number: int) -> None:
        """An acknowledgement of an own ping; one of a relayed probe is passed on."""
        if self._probe is not None and self._probe.number == number:
            self._probe = None
            self._context.health.recover()
        if (relayed := self._relayed.pop(number, None)) is not None:
            ack = Ack(relayed.number, self._context.members.digest())
            self._context.outbox.send(relayed.requester, ack)
