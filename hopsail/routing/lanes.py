"""Hosts of a service divided into lanes by the size of prompts: short ones do not wait behind long ones.

Size-interval task assignment: Harchol-Balter, "Task assignment with unknown duration" (2002), section 2. A
host reads prompts one after the other; behind a long one all others wait. Each balancer divides the hosts in
the same way without a word between them, as the order of hosts follows from their identifiers alone."""

from collections.abc import Collection
from enum import Enum
from math import ceil, log

from ..model import SECOND
from .ring import hash64

LONG_PROMPT = 2048  # tokens
SHORT_SHARE = 0.22  # of the hosts, rounded up, before anything is known of the demand
BUSY = 0.5  # of the time, for hosts of the short lane: what waits there stays short
MOST_NEEDED = 0.5  # of the hosts, while long prompts have most of the tokens
DEMAND_HALF_NS = 10 * SECOND
FIRST_WEIGHT = 20_000.0  # tokens that the first share counts as
MOST_WEIGHT = 2_000_000.0  # tokens counted; older ones fade, so that the share follows the demand
LEAST_CHANGE = 0.1  # of the hosts: the division stays while the demand's differs by less


class Lane(Enum):
    """Which hosts a prompt's home is among."""

    SHORT = "short"
    LONG = "long"


def lane_of(tokens: int) -> Lane:
    """The lane of a prompt of so many tokens."""
    return Lane.LONG if tokens >= LONG_PROMPT else Lane.SHORT


class LaneDemand:
    """How large the short lane is to be, by the requests that this balancer has sent lately.

    It has the first share at least, the short prompts' share of all tokens where they have most of them, and
    room to read what comes at half of its hosts' speed. Balancers see different requests and divide the hosts
    each by its own count, so small differences are left aside: `share` moves only when what is wanted has
    moved by `LEAST_CHANGE`."""

    def __init__(self):
        self.share = SHORT_SHARE
        self._short = SHORT_SHARE * FIRST_WEIGHT
        self._all = FIRST_WEIGHT
        self._recent = 0.0  # tokens of short prompts, older ones decayed
        self._as_of = 0  # ns

    def note(self, now: int, lane: Lane, tokens: float, capacity: float | None = None) -> bool:
        """Counts a request of so many tokens; whether the share has moved.

        `capacity` is this balancer's part of what all hosts read in a second (tokens), None while unknown."""
        self._all += tokens
        self._decay(now)
        if lane is Lane.SHORT:
            self._short += tokens
            self._recent += tokens
        if self._all > MOST_WEIGHT:
            self._short, self._all = self._short / 2, self._all / 2
        wanted = max(SHORT_SHARE, self._majority(), self._needed(capacity))
        if abs(wanted - self.share) < LEAST_CHANGE:
            return False
        self.share = wanted
        return True

    def _majority(self) -> float:
        """The short prompts' share of all tokens where they have most of them, else 0."""
        share = self._short / self._all
        return share if share > MOST_NEEDED else 0.0

    def _needed(self, capacity: float | None) -> float:
        """The share of the hosts that reads the short prompts when busy for `BUSY` of the time."""
        if not capacity:
            return 0.0
        per_second = self._recent / (DEMAND_HALF_NS / log(2) / SECOND)
        return min(MOST_NEEDED, per_second / (BUSY * capacity))

    def _decay(self, now: int) -> None:
        self._recent *= 0.5 ** (max(0, now - self._as_of) / DEMAND_HALF_NS)
        self._as_of = max(now, self._as_of)


def divide(hosts: Collection[str], short_share: float = SHORT_SHARE) -> dict[Lane, frozenset[str]]:
    """The hosts of each lane; of a single host, both have it."""
    if len(hosts) < 2:
        return {Lane.SHORT: frozenset(hosts), Lane.LONG: frozenset(hosts)}
    ranked = sorted(hosts, key=hash64)
    count = min(len(ranked) - 1, max(1, ceil(short_share * len(ranked))))
    return {Lane.SHORT: frozenset(ranked[:count]), Lane.LONG: frozenset(ranked[count:])}


def undivided(hosts: Collection[str]) -> dict[Lane, frozenset[str]]:
    """All hosts for each lane, where the size of prompts does not matter."""
    return dict.fromkeys(Lane, frozenset(hosts))
