"""One process's membership on its loop: one UDP socket, one timer, and the protocol of `hopsail.swim`.

Incarnations come from the clock of this process's start, in microseconds, since data planes have no disk.
When the clock was stepped back, the others answer with the later incarnation that they know, and the protocol
takes one above it; no process is rejected for longer than one exchange.
"""

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from random import Random
from time import time_ns
from typing import NamedTuple

from ..net.loop import Loop, Timer
from ..net.udp import Address, DatagramSocket
from ..swim.members import Member
from ..swim.protocol import SwimProtocol
from ..swim.settings import MAX_SEEDS, MS, SECOND, SwimSettings
from ..swim.wire import MemberStatus
from .identity import Identity, decode, encode

MAX_DATAGRAM_BYTES = 1200  # below the MTU of every path, and a view of 73 members goes in four chunks
MAX_ZONES = 1024
RECENTLY_ALIVE_NS = 60 * SECOND  # for which a member that is dead still counts in `count_upper_bound`
RETRY_TICK_NS = 100 * MS  # to the next tick when one has failed
KEY_BYTES = 32
DEFAULT_HEARTBEAT_MS = 1200


class SystemMember(NamedTuple):
    """A process of the system as this process sees it. `alive` includes members that are only suspected."""

    name: str
    role: str
    zone: str
    address: Address
    alive: bool
    suspect: bool


class MembershipSettings(NamedTuple):
    """Who this process is and where it finds others.

    `zones` are the zone names that the settings list; they are needed only to read zones too long for the
    wire. `seed` is that of random choices.
    """

    identity: Identity
    address: Address
    fleet: str
    seeds: Sequence[Address]
    seed: str
    heartbeat_ms: int = DEFAULT_HEARTBEAT_MS
    zones: Sequence[str] = ()

    def swim_settings(self) -> SwimSettings:
        """The protocol's settings for this process."""
        return SwimSettings(
            name=encode(self.identity),
            fleet=self.fleet,
            listen_address=self.address,
            advertised_address=self.address,
            keys=(fleet_key(self.fleet),),
            seeds=other_seeds(self.address, self.seeds),
            period_ns=self.heartbeat_ms * MS,
            max_datagram_bytes=MAX_DATAGRAM_BYTES,
        )


def fleet_key(fleet: str) -> bytes:
    """The key that signs datagrams. It keeps fleets apart; there is no secret in the settings."""
    return blake2b(fleet.encode(), digest_size=KEY_BYTES, person=b"hopsail-members").digest()


def other_seeds(address: Address, seeds: Iterable[Address]) -> tuple[Address, ...]:
    """The seeds that are other processes, at most MAX_SEEDS."""
    others = dict.fromkeys((host, port) for host, port in seeds)
    others.pop(address, None)
    return tuple(others)[:MAX_SEEDS]


class Membership:
    """Who is alive, as this process sees it.

    `on_change()` is called, without arguments, after the view has changed. Raises OSError when the address
    cannot be bound.
    """

    def __init__(
        self, loop: Loop, settings: MembershipSettings, on_change: Callable[[], None] | None = None
    ) -> None:
        """Binds the address and joins."""
        self.on_change = on_change
        self.identity = settings.identity
        self.address = settings.address
        self._loop = loop
        self._zones = tuple(dict.fromkeys((self.identity.zone, *settings.zones)))[:MAX_ZONES]
        swim_settings = settings.swim_settings()
        self._identities = {swim_settings.name: self.identity}  # by the name on the wire
        self._last_alive_ns: dict[str, int] = {}  # by the name on the wire
        self._notified_version = 0
        self._timer: Timer | None = None
        incarnation = time_ns() // 1000
        random = Random(f"{settings.seed}/{incarnation}")
        self._protocol = SwimProtocol(swim_settings, random, loop.now(), incarnation)
        self._socket = DatagramSocket(
            loop,
            self.address,
            max_bytes=MAX_DATAGRAM_BYTES,
            on_datagram=self._receive,
            on_batch_end=self._flush,
        )
        self._record_alive(loop.now())
        self._tick()

    # What is known.

    @property
    def members(self) -> list[SystemMember]:
        """All members that are known, this process among them; those that are dead for some minutes, too."""
        return [self._system_member(member) for member in self._protocol.members.by_name.values()]

    @property
    def incarnation(self) -> int:
        """This process's incarnation."""
        return self._protocol.incarnation

    def alive(self, role: str) -> list[SystemMember]:
        """Members of a role that live (also when suspected), this process among them if it has the role."""
        return [member for member in self.members if member.alive and member.role == role]

    @property
    def joined(self) -> bool:
        """Whether another member's view has been taken in; before, counts know of this process only."""
        return self._protocol.anti_entropy.has_joined

    def count_upper_bound(self, role: str, now: int) -> int:
        """Members of a role alive now or within the last 60 s, at least 1: a safe divisor of shared budgets.

        `now` is the loop's time in ns.
        """
        self._record_alive(now)
        recent = (name for name, seen in self._last_alive_ns.items() if now - seen <= RECENTLY_ALIVE_NS)
        return max(1, sum(self._identity(name).role == role for name in recent))

    def figures(self) -> dict[str, int]:
        """Names and numbers for operators."""
        protocol = self._protocol
        counts = {f"members_{key.replace('.', '_')}": value for key, value in sorted(protocol.counts.items())}
        return {
            "members_alive": protocol.members.live_count(),
            "members_aware": protocol.health.score,
        } | counts

    def _identity(self, name: str) -> Identity:
        found = self._identities.get(name)
        if found is None:
            found = self._identities[name] = decode(name, self._zones)
        return found

    def _system_member(self, member: Member) -> SystemMember:
        role, zone, node = self._identity(member.name)
        return SystemMember(
            node, role, zone, member.address, member.is_live, member.status is MemberStatus.SUSPECT
        )

    # Ways to other zones.

    def zone_of(self, address: Address) -> str | None:
        """The zone of the process at an address; None if none is known there."""
        for member in self._protocol.members.by_name.values():
            if member.address == address:
                return self._identity(member.name).zone
        return None

    def ask_zone(self, zone: str) -> None:
        """Pings some other processes of a zone, also such as are held to be dead."""
        self._protocol.witnesses.ask(self._witnesses(zone), self._loop.now())
        self._flush()

    def zone_answered_at(self, zone: str) -> int | None:
        """When the newest ping of `ask_zone` that was answered was sent, in ns of the loop; else None."""
        times = (self._protocol.witnesses.answered_at(member.name) for member in self._witnesses(zone))
        return max((time for time in times if time is not None), default=None)

    def _witnesses(self, zone: str) -> list[Member]:
        return [
            member
            for member in self._protocol.members.by_name.values()
            if member.address[0] != self.address[0]
            and member.status is not MemberStatus.LEFT
            and not member.is_removed
            and self._identity(member.name).zone == zone
        ]

    # What it is told to do.

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Asks these processes when others are lost, from now on."""
        self._protocol.replace_seeds(other_seeds(self.address, seeds))

    def leave(self) -> None:
        """Tells others that this process ends as planned; it is no member any more."""
        self._protocol.leave(self._loop.now())
        self._flush()

    def close(self) -> None:
        """Closes socket and timer; a second call does nothing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._socket.close()

    # What the loop calls.

    def _receive(self, data: bytes, _sender: Address) -> None:
        self._protocol.receive(self._loop.now(), data)

    def _tick(self) -> None:
        retry = self._loop.at(self._loop.now() + RETRY_TICK_NS, self._tick)  # first: no fault may end it
        self._timer = retry
        self._protocol.tick(self._loop.now())
        retry.cancel()
        self._timer = self._loop.at(self._protocol.next_tick_ns, self._tick)
        self._flush()

    def _flush(self) -> None:
        for address, data in self._protocol.take_datagrams():
            if not self._socket.send(address, data):
                self._protocol.counts["unsent"] += 1
        version = self._protocol.members.version
        if version != self._notified_version:
            self._notified_version = version
            self._notify()

    def _notify(self) -> None:
        self._record_alive(self._loop.now())
        if self.on_change is not None:
            self.on_change()

    def _record_alive(self, now: int) -> None:
        """Keeps when each member was last seen alive, bounded by the protocol's bound of members."""
        members = self._protocol.members.by_name
        for member in members.values():
            if member.is_live:
                self._last_alive_ns[member.name] = now
        for name in [name for name, seen in self._last_alive_ns.items() if now - seen > RECENTLY_ALIVE_NS]:
            del self._last_alive_ns[name]
        for name in [name for name in self._identities if name not in members]:
            if name not in self._last_alive_ns:
                del self._identities[name]
