"""Hosts of a service divided into lanes by the size of prompts: short ones do not wait behind long ones.

Size-interval task assignment: Harchol-Balter, "Task assignment with unknown duration" (2002), section 2. A
host reads prompts one after the other; behind a long one all others wait. Each balancer divides the hosts in
the same way without a word between them, as the order of hosts follows from their identifiers alone."""

from collections.abc import Collection
from enum import Enum
from math import ceil

from .ring import hash64

LONG_PROMPT = 2048  # tokens
SHORT_SHARE = 0.22  # of the hosts, rounded up, before anything is known of the demand
MAJORITY = 2 / 3  # of all tokens
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

    It has the first share of the hosts; where short prompts have `MAJORITY` of all tokens, their share of
    these. Balancers see different requests and should divide the hosts alike, so nothing moves by less than
    `LEAST_CHANGE`, nor while long prompts have more than a third of the tokens."""

    def __init__(self):
        self.share = SHORT_SHARE
        self._short = SHORT_SHARE * FIRST_WEIGHT
        self._all = FIRST_WEIGHT

    def note(self, lane: Lane, tokens: float) -> bool:
        """Counts a request of so many tokens; whether the share has moved."""
        self._all += tokens
        if lane is Lane.SHORT:
            self._short += tokens
        if self._all > MOST_WEIGHT:
            self._short, self._all = self._short / 2, self._all / 2
        share = self._short / self._all
        wanted = share if share > MAJORITY else SHORT_SHARE
        if abs(wanted - self.share) < LEAST_CHANGE:
            return False
        self.share = wanted
        return True


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
