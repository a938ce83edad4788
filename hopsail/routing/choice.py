"""The choice of a host for one request: ring home, hot keys over several ring hosts, one spill.

Departures from the design, for prompts that differ in cost: where the work of requests in flight is known,
the load of a host is that work and not their number; and a request that would spill stays at home when the
next host is loaded as much as home is. A host whose places are taken up is passed over for the next on the
ring.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from math import inf
from random import Random
from typing import NamedTuple

from .heat import HALF_NS, HOT_COUNT, SPREAD_FACTOR, Heat
from .ring import VIRTUAL_POINTS, HostRing

RANDOM_BITS = 64  # of the ring place at which requests without a key begin


@dataclass(slots=True)
class HostState:
    """What this balancer knows of a host; kept by the data plane, which alone decides who is eligible."""

    identifier: str
    address: str = ""
    zone: str = ""
    capacity: int = 0  # requests at once, 0 = not known
    in_flight: int = 0  # this balancer's own requests
    in_flight_work: float = 0.0  # of them, in ms; 0 = not known
    draining: bool = False
    revision: int = 0
    is_too_old: bool = False  # as judged last: its weights have been superseded for too long


@dataclass(frozen=True, slots=True)
class ChoiceParameters:
    """Parameters of the choice; the defaults are those of the design."""

    virtual_points: int = VIRTUAL_POINTS
    half_ns: int = HALF_NS  # half-life of read counts
    table_multiple: float = 1.0  # times n x ln n read counters
    hot_count: float = HOT_COUNT
    spread_factor: float = SPREAD_FACTOR
    spill_floor: int = 2  # own requests in flight at home
    spill_factor: float = 3.0  # times the mean per host
    compare_work: bool = True  # loads are work in flight where it is known
    keyless_candidates: int = 16  # hosts that a request without a key is compared over


class Reason(Enum):
    """Why a host was chosen."""

    HOME = "home"  # the key's ring home
    NEXT = "next"  # home and perhaps others are not eligible or full: the first on the ring that is
    SPILL = "spill"  # home was loaded far over the mean
    SPREAD = "spread"  # the key is hot
    LEAST_LOADED = "least_loaded"  # the request has no key


class Choice(NamedTuple):
    """A chosen host, the key's ring home (of all ready hosts), and why the one was chosen."""

    host: str
    home: str
    hot: bool
    spilled: bool
    reason: Reason


@dataclass(slots=True)
class HostChooser:
    """Chooses hosts of one service. Its ring holds all ready hosts, so that homes stay where they are while
    a host is not eligible for a short time."""

    random: Random
    parameters: ChoiceParameters = ChoiceParameters()
    ring: HostRing = field(init=False)
    heat: Heat = field(init=False)

    def __post_init__(self):
        known = self.parameters
        self.ring = HostRing(known.virtual_points)
        self.heat = Heat(known.half_ns, known.table_multiple, known.hot_count, known.spread_factor)

    def update(self, identifiers: Iterable[str]) -> None:
        """Makes these the ready hosts of the service."""
        self.ring.update(identifiers)

    def choose(
        self,
        now: int,
        key: str | None,
        hosts: Mapping[str, HostState],
        exclude: frozenset[str] = frozenset(),
        weight: float = 1.0,
        place_share: float = inf,
    ) -> Choice | None:
        """A host of the eligible `hosts` that is not in `exclude`; None when there is none or all are full.

        A host is full when this balancer's requests there are as many as `place_share` of its capacity, one
        at least. A read of `weight` 0, such as a further attempt, is not counted by the heat of keys.
        """
        if not key:
            return self._least_loaded(hosts, exclude, place_share)
        spread = self.heat.read(now, key, len(self.ring)) if weight > 0 else None
        home = self.ring.home(key)
        candidates = self._candidates(key, hosts, exclude, place_share)
        if spread is not None:
            return self._spread(home, list(islice(candidates, spread.hosts)))
        return self._ordinary(home, candidates, hosts)

    def nearest(
        self, now: int, key: str | None, hosts: Mapping[str, HostState], most: int, weight: float = 1.0
    ) -> list[str]:
        """The first eligible hosts from the key on: `most`, or as many as a hot key is spread over if more.

        A read of `weight` 0 is not counted by the heat of keys."""
        if not key:
            key = f"{self.random.getrandbits(RANDOM_BITS):x}"
            weight = 0.0
        spread = self.heat.read(now, key, len(self.ring)) if weight > 0 else None
        wanted = most if spread is None else max(most, spread.hosts)
        candidates = self._candidates(key, hosts, frozenset(), inf)
        return [host.identifier for host in islice(candidates, wanted)]

    def _candidates(self, key, hosts, exclude, place_share) -> Iterator[HostState]:
        """Hosts in ring order from the key on that may be sent to."""
        for identifier in self.ring.walk(key):
            host = hosts.get(identifier)
            if host is not None and identifier not in exclude and not is_full(host, place_share):
                yield host

    def _spread(self, home, candidates):
        if not candidates:
            return None
        host = self._fewest(candidates)
        return Choice(host.identifier, home, True, False, Reason.SPREAD)

    def _ordinary(self, home, candidates, hosts):
        first = next(candidates, None)
        if first is None:
            return None
        if self._overloaded(first, hosts):
            second = next(candidates, None)
            if second is not None and self._load(second) < self._load(first):
                return Choice(second.identifier, home, False, True, Reason.SPILL)
        reason = Reason.HOME if first.identifier == home else Reason.NEXT
        return Choice(first.identifier, home, False, False, reason)

    def _overloaded(self, host, hosts):
        """Whether an ordinary read passes this host; the mean is only taken where it could matter."""
        if host.in_flight < self.parameters.spill_floor:
            return False
        total = sum(map(self._load, hosts.values()))
        return self._load(host) * len(hosts) > self.parameters.spill_factor * total

    def _load(self, host):
        if self.parameters.compare_work and host.in_flight_work > 0:
            return host.in_flight_work
        return float(host.in_flight)

    def _least_loaded(self, hosts, exclude, place_share):
        start = f"{self.random.getrandbits(RANDOM_BITS):x}"
        candidates = self._candidates(start, hosts, exclude, place_share)
        compared = list(islice(candidates, self.parameters.keyless_candidates))
        if not compared:
            return None
        host = self._fewest(compared).identifier
        return Choice(host, host, False, False, Reason.LEAST_LOADED)

    def _fewest(self, candidates):
        """The one with the fewest of this balancer's requests in flight, ties at random."""
        fewest = min(host.in_flight for host in candidates)
        return self.random.choice([host for host in candidates if host.in_flight == fewest])


def is_full(host: HostState, place_share: float) -> bool:
    """Whether this balancer's requests take up its share of the host's places; one is always allowed."""
    if host.capacity <= 0:
        return False
    return host.in_flight >= max(1.0, host.capacity * place_share)
