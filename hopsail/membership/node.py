"""One process's membership on its loop: one UDP socket, one timer, and the pure core of `hopsail/swim`.

Life numbers come from the clock of this process's start, in microseconds, since data planes have no disk.
When the clock was stepped back, the others answer with the later life that they know, and the core takes one
above it (`Core.live_as`); no process is shut out for longer than one exchange."""

import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from hashlib import blake2b
from random import Random
from time import time_ns
from typing import NamedTuple

from ..net.loop import READ
from ..swim.protocol import Core
from ..swim.settings import MOST_SEEDS, MS, SECOND, Rules
from ..swim.wire import Status
from .identity import Identity, decode, encode

Address = tuple[str, int]

DATAGRAM = 1200  # bytes: below the MTU of every path, and a view of 73 members goes in four pieces
MOST_DATAGRAMS = 64  # read in one round of the loop: connections must have their turn
MOST_ZONES = 1024
SEEN_ALIVE = 60 * SECOND  # ns for which a member that is gone still counts in `count_upper_bound`
RETRY_TURN = 100 * MS  # ns to the next turn when one has failed
KEY_BYTES = 32


class SystemMember(NamedTuple):
    """A process of the system as this process sees it. `alive` includes members that are only suspected."""

    name: str
    role: str
    zone: str
    address: Address
    alive: bool
    suspect: bool


def key_of(fleet: str) -> bytes:
    """The key that signs datagrams. It keeps fleets apart; there is no secret in the settings."""
    return blake2b(fleet.encode(), digest_size=KEY_BYTES, person=b"hopsail-members").digest()


def rules_of(
    identity: Identity, address: Address, fleet: str, seeds: Sequence[Address], heartbeat_ms: int
) -> Rules:
    """The core's rules for this process."""
    return Rules(
        name=encode(identity),
        fleet=fleet,
        listen=address,
        place=address,
        keys=(key_of(fleet),),
        seeds=seeds_without(address, seeds),
        period=heartbeat_ms * MS,
        size=DATAGRAM,
    )


def seeds_without(address: Address, seeds: Iterable[Address]) -> tuple[Address, ...]:
    """The seeds that are other processes, bounded."""
    others = dict.fromkeys((host, port) for host, port in seeds)
    others.pop(tuple(address), None)
    return tuple(others)[:MOST_SEEDS]


class Membership:
    """Who lives, as this process sees it.

    `on_change()` is called, without arguments, after the view has changed. `zones` are the zone names
    that the settings list; they are needed only to read zones too long for the wire. Raises OSError when
    the address cannot be bound."""

    def __init__(
        self,
        loop,
        *,
        name: str,
        role: str,
        zone: str,
        address: Address,
        fleet: str,
        seeds: Sequence[Address],
        seed: str,
        heartbeat_ms: int = 1200,
        on_change: Callable[[], None] | None = None,
        zones: Iterable[str] = (),
    ):
        self.loop, self.on_change = loop, on_change
        self.identity = Identity(role, zone, name)
        self.address = (address[0], address[1])
        self._zones = tuple(dict.fromkeys((zone, *zones)))[:MOST_ZONES]
        self._decoded: dict[str, Identity] = {}  # by the name on the wire
        self._seen_alive: dict[str, int] = {}  # name on the wire -> ns when it was last seen alive
        self._told, self._timer = 0, None
        rules = rules_of(self.identity, self.address, fleet, seeds, heartbeat_ms)
        self._decoded[rules.name] = self.identity
        life = time_ns() // 1000
        self.core = Core(rules, Random(f"{seed}/{life}"), loop.now(), life)
        self._sock = self._bound()
        loop.watch(self._sock, READ, self._readable)
        self._note_alive(loop.now())
        self._turn()

    def _bound(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(self.address)
        except OSError:
            sock.close()
            raise
        return sock

    # What it says.

    @property
    def members(self) -> list[SystemMember]:
        """All members that are known, this process among them; those that are gone for some minutes, too."""
        return [self._shown(member) for member in self.core.members.values()]

    def alive(self, role: str) -> list[SystemMember]:
        """Members of a role that live (also when suspected), this process among them if it has the role."""
        return [member for member in self.members if member.alive and member.role == role]

    @property
    def joined(self) -> bool:
        """Whether another member's view has been taken in; before, counts know of this process only."""
        return self.core.joined

    def count_upper_bound(self, role: str, now: int) -> int:
        """Members of a role alive now or within the last 60 s, at least 1: a safe divisor of shared budgets.

        `now` is the loop's time in ns."""
        self._note_alive(now)
        recent = (name for name, seen in self._seen_alive.items() if now - seen <= SEEN_ALIVE)
        return max(1, sum(self._identity(name).role == role for name in recent))

    def figures(self) -> dict[str, int]:
        """Names and numbers for staff."""
        counts = {
            f"members_{key.replace('.', '_')}": value for key, value in sorted(self.core.counts.items())
        }
        return {"members_alive": self.core.alive, "members_aware": self.core.aware} | counts

    def _identity(self, name: str) -> Identity:
        found = self._decoded.get(name)
        if found is None:
            found = self._decoded[name] = decode(name, self._zones)
        return found

    def _shown(self, member) -> SystemMember:
        role, zone, node = self._identity(member.name)
        return SystemMember(node, role, zone, member.place, member.here, member.status is Status.SUSPECT)

    # What it is told to do.

    def renew_seeds(self, seeds: Sequence[Address]) -> None:
        """Other processes to be asked when others are lost, from now on."""
        self.core.rules = replace(self.core.rules, seeds=seeds_without(self.address, seeds))

    def leave(self) -> None:
        """Tells others that this process ends as planned; it is no member any more."""
        self.core.leave(self.loop.now())
        self._flush()

    def close(self) -> None:
        """Gives back socket and timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self.loop.unwatch(self._sock)
            self._sock.close()

    # The loop's side.

    def _readable(self, _mask) -> None:
        for _ in range(MOST_DATAGRAMS):
            try:
                data, _ = self._sock.recvfrom(DATAGRAM + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # an earlier datagram found nobody there
            self.core.received(self.loop.now(), data)
        self._flush()

    def _turn(self) -> None:
        self._timer = self.loop.at(self.loop.now() + RETRY_TURN, self._turn)  # first: no fault may end it
        self.core.tick(self.loop.now())
        self._timer.cancel()
        self._timer = self.loop.at(self.core.due, self._turn)
        self._flush()

    def _flush(self) -> None:
        out, self.core.out = self.core.out, []
        for address, data in out:
            try:
                self._sock.sendto(data, address)
            except OSError:
                self.core.counts["unsent"] += 1  # as if lost on the way
        if self.core.changed != self._told:
            self._told = self.core.changed
            self._changed()

    def _changed(self) -> None:
        self._note_alive(self.loop.now())
        if self.on_change is not None:
            self.on_change()

    def _note_alive(self, now: int) -> None:
        """Keeps when each member was last seen alive, bounded by the core's bound of members."""
        for member in self.core.members.values():
            if member.here:
                self._seen_alive[member.name] = now
        for name in [name for name, seen in self._seen_alive.items() if now - seen > SEEN_ALIVE]:
            del self._seen_alive[name]
        for name in [name for name in self._decoded if name not in self.core.members]:
            if name not in self._seen_alive:
                del self._decoded[name]
