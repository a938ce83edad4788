"""The division of a service's hosts into lanes, numbered, and the registrar that decides it. No I/O."""

from dataclasses import dataclass
from math import isfinite

from ..model import SECOND
from .lane_demand import FadingDemand, LaneSums
from .lane_sizing import HostPool, needed_size
from .lanes import FIRST_SHARE, LEAST_HOSTS, Lane, short_hosts

NUMBERS = 1 << 31  # numbers begin anew behind it
HALF_NS = 5 * SECOND  # half-life of the demand
SETTLE_NS = 3 * SECOND  # of demand, before the first division of a service is decided
ABSENT_NS = 2 * SECOND // 5  # of demand, after which a kind that has not come once is taken to be absent
RATE_KEPT = 0.98  # of what is known of the rate, with each word of a sender
MOST_RATE = 1e6  # tokens in a ms
LEAST_REQUESTS = 100  # in the faded sums, for a decision


@dataclass(frozen=True, slots=True)
class Division:
    """Which share of a service's hosts short prompts have; 0 when the hosts are not divided."""

    number: int = 0  # 0: nothing was told yet
    short_share: float = FIRST_SHARE

    def is_sound(self) -> bool:
        """Whether this can be a division: what came by a datagram may be spoilt."""
        return 0 < self.number < NUMBERS and isfinite(self.short_share) and 0 <= self.short_share < 1

    def is_newer_than(self, other: "Division") -> bool:
        """By number, in serial-number arithmetic (RFC 1982); of two with one number the larger share's.

        So a number that was spoilt on its way can't stand for ever, and all settle on the same one."""
        if not other.number or not self.number:
            return self.number > 0 and not other.number
        ahead = (self.number - other.number) % NUMBERS
        if not ahead:
            return self.short_share > other.short_share
        return ahead < NUMBERS // 2

    def following(self, short_share: float) -> "Division":
        """The next one."""
        return Division(self.number % (NUMBERS - 1) + 1, short_share)


class DivisionRegistrar:
    """Sums the demand for one service under one division, and decides another.

    It decides nothing before it has seen `SETTLE_NS` of demand, and twice the half-life where there is a
    division: what it took over from a registrar that was lost stays until it knows better."""

    def __init__(self, half_ns: int = HALF_NS):
        self.half_ns = half_ns
        self._demand = FadingDemand(half_ns)
        self._since: int | None = None  # ns of the first demand
        self._rates = self._senders = 0.0  # sum of the rates told lately, and how many

    def told_rate(self, rate: float) -> None:
        """Takes in how many tokens a host reads in a ms by a sender's word; 0 when it does not know."""
        if isfinite(rate) and 0 < rate < MOST_RATE:
            self._rates = self._rates * RATE_KEPT + rate
            self._senders = self._senders * RATE_KEPT + 1

    def told(self, now: int, lane: Lane, sums: LaneSums) -> None:
        """Takes in a sender's sums of one kind."""
        if not sums.requests and not sums.answered:
            return
        if self._since is None:
            self._since = now
        self._demand.add(now, lane, sums)

    def decide(self, now: int, held: Division, pool: HostPool, candidates: int) -> Division | None:
        """Another division than the one that is held, if there is a better one and it is time for it.

        The first one also where it divides nothing. `candidates` is how many hosts a long prompt is compared
        over."""
        if self._since is None or pool.hosts < LEAST_HOSTS:
            return None
        seen = now - self._since
        if self._demand.requests < LEAST_REQUESTS:
            return None
        if not held.number and seen >= ABSENT_NS and self._demand.has_one_kind:
            return held.following(0.0)
        if seen < self._rest(held):
            return None
        rate = self._rates / self._senders if self._senders else None
        current = short_hosts(pool.hosts, held.short_share)
        short = self._demand.load(now, Lane.SHORT, rate, current)
        long = self._demand.load(now, Lane.LONG, rate, 0, candidates)
        if rate is None and long.per_ms:
            return None
        best = needed_size(short, long, pool, current)
        if best == current and held.number:
            return None
        return held.following(best / pool.hosts)

    def _rest(self, held: Division) -> int:
        """Time (ns) of demand that is seen before a decision; the first one is reviewed soon."""
        if not held.number:
            return SETTLE_NS
        return self.half_ns if held.number == 1 else 2 * self.half_ns
