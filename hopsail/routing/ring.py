"""The hash ring of one service's hosts, the same on every balancer that knows the same hosts."""

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from ..tables import Ring, places

VIRTUAL_POINTS = 64  # per host
REBUILD_SHARE = 0.5  # of the hosts: when more change at once, a new ring costs less than the single changes


def hash64(text: str) -> int:
    """A place on the ring for this text."""
    digest = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return int.from_bytes(digest, "little")


class RingHost:
    """A host as `Ring` takes it: a name and its virtual points."""

    __slots__ = ("name", "salt")

    def __init__(self, name: str):
        self.name = name
        self.salt = hash64(name)

    def places(self, points: int) -> list[int]:
        """Its first `points` virtual points."""
        return places(self.salt, points)


class HostRing:
    """Hosts of one service by their virtual points; a key's home is the first point from its hash on."""

    def __init__(self, points: int = VIRTUAL_POINTS):
        self.points = points
        self._ring = Ring()
        self._hosts: dict[str, RingHost] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._hosts

    def update(self, identifiers: Iterable[str]) -> None:
        """Makes these the hosts of the ring; only the points of hosts that come or go are touched."""
        wanted = frozenset(identifiers)
        gone = [name for name in self._hosts if name not in wanted]
        new = [RingHost(name) for name in wanted if name not in self._hosts]
        if len(gone) > REBUILD_SHARE * len(self._hosts):
            self._rebuild(wanted)
            return
        for name in gone:
            self._ring.leave(self._hosts.pop(name), self.points)
        self._ring.join(new, self.points)
        self._hosts.update((host.name, host) for host in new)

    def walk(self, key: str) -> Iterator[str]:
        """All hosts, each once, in ring order from the key on: its home first."""
        return (host.name for host in self._ring.walk(hash64(key), len(self._hosts)))

    def home(self, key: str) -> str | None:
        """The key's home, None on an empty ring."""
        return next(self.walk(key), None)

    def _rebuild(self, wanted):
        kept = (self._hosts.get(name) or RingHost(name) for name in wanted)
        self._hosts = {host.name: host for host in kept}
        self._ring = Ring()
        self._ring.join(self._hosts.values(), self.points)
