"""What hopsail is compared with. Each has the interface of `decide.Balancer` and as little in it as its name
says: further tries elsewhere after failures, misses and writes to the origin, no limits, no refusals."""

from bisect import bisect_left
from functools import lru_cache
from hashlib import blake2b
from random import Random

from ..decide import Balancer
from ..model import NEVER_RAN, Bounce, Leg, Outcome, Repeat, Scope, Scrap, Send, State, Subscribe

POINTS = 64  # of each host on the ring
BOUND = 1.25  # times the mean of a host's legs, for consistent hashing with bounded loads
MOST_LEGS = 3


def point(data):
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "little")


class Plain:
    """Any ready cache, at random."""

    def __init__(self, settings, seed, now):
        self.settings, self.random, self.out = settings, Random(seed), []
        self.hosts, self.caches, self.origin, self.legs, self.asked = {}, [], None, {}, False

    def listed(self, now, scope, entries):
        if scope is Scope.FAILED:
            self.out.append(Subscribe())  # the emulator spaces these calls
            return
        if not self.asked:
            self.asked = True
            self.out.append(Subscribe())
        if scope is Scope.WHOLE:
            self.hosts = {}
        for entry in entries:
            self.hosts[entry.name] = entry
            if entry.state is State.GONE:
                del self.hosts[entry.name]
        ready = [e for e in self.hosts.values() if e.state is State.READY]
        self.origin = next((e for e in ready if e.kind == self.settings.origin_kind), None)
        self.caches = sorted((e for e in ready if e is not self.origin), key=lambda e: e.name)
        self.relisted()

    def relisted(self): ...

    def choose(self, r, tried):
        left = [e for e in self.caches if e.name not in tried] or self.caches
        return self.random.choice(left) if left else None

    def arrived(self, now, r):
        self._next(now, r, self.origin if r.write else self.choose(r, ()))

    def leg_ended(self, now, leg, outcome, complete, report=None):
        r, leg.outcome = leg.retrieval, outcome
        self.legs[leg.host.name] = self.legs.get(leg.host.name, 1) - 1
        if r.done:
            return
        if complete:
            r.done = True
            return
        ran = any(one.outcome not in NEVER_RAN for one in r.legs)
        if len(r.legs) >= MOST_LEGS or now >= r.ends or ran and r.track.repeat is not Repeat.PURE:
            self._give_up(r, ran)
        elif outcome is Outcome.MISS or r.write:
            self._next(now, r, self.origin)
        else:
            self._next(now, r, self.choose(r, {one.host.name for one in r.legs}))

    def _next(self, now, r, entry):
        if entry is None or entry.name not in self.hosts:
            self._give_up(r, any(one.outcome not in NEVER_RAN for one in r.legs))
            return
        leg = Leg(r, entry, len(r.legs), now, r.ends - now)
        r.legs.append(leg)
        self.legs[entry.name] = self.legs.get(entry.name, 0) + 1
        self.out.append(Send(leg))

    def _give_up(self, r, ran):
        r.done = True
        again = not ran or r.track.repeat is Repeat.PURE
        self.out.append(Bounce(r, 0) if again else Scrap(r))

    def woken(self, now, token): ...

    def withdrawn(self, now, r):
        r.done = True


@lru_cache(maxsize=8)
def ring_of(names):
    """The points of these hosts; balancers with the same list share it, or hundreds would fill the memory."""
    return sorted((point(f"{name}/{i}".encode()), name) for name in names for i in range(POINTS))


class Hashed(Plain):
    """Consistent hashing: the first cache on the ring after the key."""

    def relisted(self):
        self.ring = ring_of(tuple(e.name for e in self.caches))
        self.named = {e.name: e for e in self.caches}

    def walk(self, key):
        at = bisect_left(self.ring, (point(str(key).encode()),))
        for i in range(len(self.ring)):
            yield self.named[self.ring[(at + i) % len(self.ring)][1]]

    def choose(self, r, tried):
        return next((e for e in self.walk(r.key) if e.name not in tried), None)


class Bounded(Hashed):
    """The same with bounded loads: a cache with 1.25 times its own mean of legs or more is passed over."""

    def choose(self, r, tried):
        most = BOUND * (1 + sum(self.legs.get(e.name, 0) for e in self.caches)) / max(1, len(self.caches))
        order = (e for e in self.walk(r.key) if e.name not in tried)
        return next((e for e in order if self.legs.get(e.name, 0) < most), None) or super().choose(r, tried)


class TwoChoices(Plain):
    """Two caches at random, the one with fewer own legs."""

    def choose(self, r, tried):
        left = [e for e in self.caches if e.name not in tried] or self.caches
        if not left:
            return None
        return min(self.random.choices(left, k=2), key=lambda e: self.legs.get(e.name, 0))


POLICIES = {"hopsail": Balancer, "random": Plain, "hash": Hashed, "bounded": Bounded, "two": TwoChoices}
# "oracle", the bound (`oracle.py`), is made by the world that it sees.
NAMES = (*POLICIES, "oracle")
