"""One member's view of the fleet: SWIM with suspicion, and Lifeguard's extensions, without I/O.

Make a `SwimProtocol`, tell it `receive(now, data)`, and `tick(now)` when `next_tick_ns` has come, with a
clock in ns that counts on while the process is stopped; send what `take_datagrams()` gives.
`members.version` counts the changes of the view.

Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol"
(2002), sections 3 and 4; Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate
failure detection" (2018), section IV. Differences are listed in docs/fleet.md.
"""

from collections.abc import Sequence
from random import Random
from typing import TypedDict

from .anti_entropy import AntiEntropy
from .context import make_context
from .errors import DatagramRejectedError, RejectReason
from .failure_detector import FailureDetector
from .members import Member
from .name_conflicts import NameConflicts
from .outbox import OutgoingDatagram
from .quota_leases import Grant, QuotaLeaseClient, QuotaLeaseServer
from .reconnect import Reconnector
from .replay_window import ReplayGuard
from .settings import Address, SwimSettings
from .view import FleetView
from .wire import (
    Ack,
    LeaseGrant,
    LeaseRequest,
    MemberStatus,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Pull,
    Rejected,
    ViewChunk,
)
from .witnesses import Witnesses

MIN_TICK_NS = 1_000_000
STALL_PERIODS = 0.5  # a tick that is later than this: the process was stopped, and nobody else is to blame
MAX_GOODBYES = 9  # members that one which leaves tells so
MAX_REASON_CHARACTERS = 20


class ViewSnapshot(TypedDict):
    """The view as operators see it; the keys are those of `show-fleet`."""

    name: str
    view: str
    alive: list[str]
    suspect: list[str]
    gone: list[str]
    since_ms: int
    left: list[str]
    life: int
    barred: list[str]
    refused: dict[str, str]
    refused_as: str
    aware: int
    part: float
    lives: dict[str, int]


class SwimProtocol:
    """One member; times are in ns."""

    def __init__(self, settings: SwimSettings, random: Random, now: int, incarnation: int) -> None:
        """Starts as a member that knows only itself and its seeds."""
        context = make_context(settings, random, incarnation, now)
        self.settings = settings
        self.members = context.members
        self.counts = context.counts
        self.health = context.health
        self.outbox = context.outbox
        self.next_tick_ns = now
        self.is_leaving = False
        self.rejected_as = ""  # why others do not accept this member
        self.conflicts = NameConflicts(context)
        self.view = FleetView(context, self.conflicts)
        self.detector = FailureDetector(context, self.view, now)
        self.anti_entropy = AntiEntropy(context, self.view)
        self.reconnector = Reconnector(context, now)
        self.witnesses = Witnesses(context)
        self.lease_client = QuotaLeaseClient(settings, now)
        self.lease_server = (
            QuotaLeaseServer(settings, now) if settings.name in settings.lease_servers else None
        )
        self._context = context
        self._replay_guard = ReplayGuard()
        self._now = now

    # What is known.

    @property
    def incarnation(self) -> int:
        """This member's incarnation, which may be later than the one it started with."""
        return self.members.own.incarnation

    def snapshot(self, now: int) -> ViewSnapshot:
        """The view as operators see it."""
        members = self.members.sorted()
        by_status = {
            status: [member.name for member in members if member.status is status] for status in MemberStatus
        }
        return {
            "name": self.settings.name,
            "view": f"{self.members.digest():08x}",
            "alive": by_status[MemberStatus.ALIVE] + by_status[MemberStatus.SUSPECT],
            "suspect": by_status[MemberStatus.SUSPECT],
            "gone": by_status[MemberStatus.DEAD] + by_status[MemberStatus.LEFT],
            "since_ms": (now - self.members.changed_at_ns) // 1_000_000,
            "left": by_status[MemberStatus.LEFT],
            "life": self.incarnation,
            "barred": [member.name for member in members if member.is_removed],
            "refused": self.conflicts.refused_addresses,
            "refused_as": self.rejected_as,
            "aware": self.health.score,
            "part": round(self.lease_client.share(now), 9),
            "lives": {member.name: member.incarnation for member in members if member.is_live},
        }

    def live_addresses(self) -> list[Address]:
        """Where members were last reached, for a restart while no seed is alive."""
        return [member.address for member in self.members.others()]

    def take_datagrams(self) -> list[OutgoingDatagram]:
        """The datagrams to be sent now."""
        return self.outbox.take()

    # What comes in.

    def receive(self, now: int, data: bytes) -> None:
        """Takes in a datagram; one that is rejected is counted."""
        self._now = max(self._now, now)
        try:
            message = self.outbox.codec.decode(data)
            self._handle_message(message, len(data))
        except DatagramRejectedError as error:
            self.counts[f"refused.{error.reason}"] += 1

    def _handle_message(self, message: Message, length: int) -> None:
        """Raises DatagramRejectedError; no answer is longer than `length`, that of the request."""
        sender = message.sender
        if sender.name == self.settings.name:
            self.conflicts.record_own_name_claim(sender)
            raise DatagramRejectedError(RejectReason.NAME_IN_USE)
        known = self.members.by_name.get(sender.name)
        if known is not None and known.is_removed and known.removal_version >= sender.removal_version:
            self.outbox.send(sender.address, Rejected("removed"), max_bytes=length)
            raise DatagramRejectedError(RejectReason.REMOVED)
        if known is not None and sender.incarnation < known.incarnation:
            self.outbox.send(sender.address, Rejected("life"), [known], length)
            raise DatagramRejectedError(RejectReason.OLD_INCARNATION)
        self._replay_guard.accept(sender.name, sender.address, sender.incarnation, message.sequence)
        if not self._accept_sender(sender):
            self.outbox.send(sender.address, Rejected("name"), max_bytes=length)
            raise DatagramRejectedError(RejectReason.NAME_IN_USE)
        for update in message.updates:
            self.view.apply(update, self._now)
        self._handle_payload(message, length)

    def _accept_sender(self, sender: MemberUpdate) -> bool:
        """Takes in what a member tells of itself; False when its name lives elsewhere."""
        known = self.members.by_name.get(sender.name)
        is_owner = (
            known is not None
            and known.incarnation == sender.incarnation
            and known.address == sender.address
        )  # fmt: skip
        if is_owner:
            self.conflicts.owner_answered(sender.name)
        self.view.apply(sender, self._now)
        known = self.members.by_name.get(sender.name)
        return known is not None and known.address == sender.address

    def _handle_payload(self, message: Message, length: int) -> None:
        address, member = message.sender.address, self.members.by_name[message.sender.name]
        match message.payload:
            case Ping() as ping:
                ack = Ack(ping.number, self.members.digest())
                self.outbox.send(address, ack, [member], length)
                self.anti_entropy.compare(member, ping.digest, self._now)
            case Ack() as ack:
                self._handle_ack(member, ack)
            case PingRequest() as request:
                self.detector.relay(address, request, self._now)
            case Pull() as pull:
                self.anti_entropy.answer(address, pull, length)
            case ViewChunk() as chunk:
                self.anti_entropy.handle_chunk(address, chunk, self._now)
            case Rejected() as rejected:
                self.rejected_as = rejected.reason[:MAX_REASON_CHARACTERS]
                self.counts["told.refused"] += 1
            case LeaseRequest() as lease_request:
                self._answer_lease_request(member, lease_request, length)
            case LeaseGrant() as grant:
                granted = Grant(grant.share, grant.duration_ns)
                self.lease_client.handle_grant(member.name, grant.number, granted)

    def _handle_ack(self, member: Member, ack: Ack) -> None:
        self.detector.handle_ack(ack.number)
        self.witnesses.handle_ack(ack.number)
        self.rejected_as = ""
        self.anti_entropy.join_through(member.address, self._now)
        self.anti_entropy.compare(member, ack.digest, self._now)

    def _answer_lease_request(self, member: Member, request: LeaseRequest, length: int) -> None:
        if self.lease_server is None:
            return
        grant = self.lease_server.grant(self._now, member.name)
        answer = LeaseGrant(request.number, grant.share, grant.duration_ns)
        self.outbox.send(member.address, answer, max_bytes=length)

    # What operators order.

    def remove(self, name: str) -> bool:
        """Has all reject the member from now on; False when no other member has this name."""
        return self.view.set_removed(name, removed=True, now=self._now)

    def admit(self, name: str) -> bool:
        """Lets a removed member come back; False when no other member has this name."""
        return self.view.set_removed(name, removed=False, now=self._now)

    def replace_keys(self, keys: Sequence[bytes]) -> None:
        """Signs with the first of these keys, and accepts all of them, from now on."""
        self.outbox.codec.keys = keys

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Asks these when others are lost, from now on."""
        self.reconnector.seeds = seeds

    def leave(self, now: int) -> None:
        """Announces that this member leaves; it does nothing more after that."""
        self._now = max(self._now, now)
        self.is_leaving = True
        own = self.members.own
        others = self.members.others()
        own.status = MemberStatus.LEFT
        for member in self._context.random.sample(others, min(len(others), MAX_GOODBYES)):
            self.outbox.ping(member.address, [own])

    # Time.

    def tick(self, now: int) -> None:
        """Does all that is due; `next_tick_ns` is when to call again."""
        late_ns = now - self.next_tick_ns
        self._now = now = max(self._now, now)
        if late_ns > STALL_PERIODS * self.settings.period_ns:
            self._handle_stall(late_ns)
        if not self.is_leaving:
            self._do_due(now)
        deadlines = [
            *self.detector.deadlines(),
            *self.anti_entropy.deadlines(),
            *self.conflicts.deadlines(),
            self.reconnector.next_attempt_ns,
            self.lease_client.next_due(now),
        ]
        self.next_tick_ns = max(now + MIN_TICK_NS, min(deadlines))

    def _handle_stall(self, late_ns: int) -> None:
        """This process was stopped: what others did not answer meanwhile is its own fault."""
        self.counts["starved"] += 1
        self.health.degrade()
        for member in self.members.by_name.values():
            if member.status is MemberStatus.SUSPECT:
                member.suspicion_deadline_ns += late_ns
        self.conflicts.postpone(late_ns)
        self.detector.forgive(self._now)

    def _do_due(self, now: int) -> None:
        self.detector.tick(now)
        self.reconnector.tick(now, self.anti_entropy.has_joined)
        self.anti_entropy.tick(now)
        self._decide_name_conflicts(now)
        self._request_leases(now)

    def _decide_name_conflicts(self, now: int) -> None:
        for claim in self.conflicts.take_expired(now):
            self.view.set_status(self.members.by_name[claim.name], MemberStatus.DEAD, now)
            self.conflicts.accept(claim.name)
            self.view.apply(claim, now)

    def _request_leases(self, now: int) -> None:
        for server, number in self.lease_client.requests_due(now):
            if server == self.settings.name:
                self._grant_itself(server, number, now)
            elif (member := self.members.by_name.get(server)) is not None and member.is_live:
                self.outbox.send(member.address, LeaseRequest(number))

    def _grant_itself(self, server: str, number: int, now: int) -> None:
        if self.lease_server is not None:
            self.lease_client.handle_grant(server, number, self.lease_server.grant(now, server))
