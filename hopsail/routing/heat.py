"""Which keys are hot at this balancer, and over how many hosts their reads are spread."""

from math import ceil, log
from typing import NamedTuple

from ..model import SECOND
from ..tables import Counts

HALF_NS = 5 * SECOND
HOT_COUNT = 16  # reads, older ones decayed
SPREAD_FACTOR = 2.0
LEAST_SPREAD = 2  # hosts
LEAST_TABLE = 8  # entries, for services of a few hosts


class Spread(NamedTuple):
    """How a hot key is spread: the number of ring hosts, home included, and its share of all reads."""

    hosts: int
    share: float


class Heat:
    """Decaying read counters of one service in a table of `multiple` x n x ln n entries for n hosts."""

    def __init__(
        self,
        half_ns: int = HALF_NS,
        multiple: float = 1.0,
        hot_count: float = HOT_COUNT,
        spread_factor: float = SPREAD_FACTOR,
    ):
        self.multiple = multiple
        self.hot_count = hot_count
        self.spread_factor = spread_factor
        self._counts = Counts(half_ns, 0)

    def read(self, now: int, key: str, hosts: int) -> Spread | None:
        """Counts a read of the key at `now` (ns); its spread if it is hot among so many hosts, else None."""
        count, reads = self._counts.add(now, key, self.table_size(hosts))
        share = count / reads
        if hosts < LEAST_SPREAD or count < self.hot_count or share <= 1 / hosts:
            return None
        wanted = ceil(self.spread_factor * share * hosts)
        return Spread(min(max(wanted, LEAST_SPREAD), hosts), share)

    def table_size(self, hosts: int) -> int:
        """How many keys are counted for so many hosts."""
        if hosts < 1:
            return LEAST_TABLE
        return max(LEAST_TABLE, ceil(self.multiple * hosts * log(hosts)))
