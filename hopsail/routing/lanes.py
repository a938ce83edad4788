"""Hosts of a service divided into lanes by the size of prompts: short ones do not wait behind long ones.

Size-interval task assignment: Harchol-Balter, "Task assignment with unknown duration" (2002), section 2. A
host reads prompts one after the other; behind a long one all others wait. Each balancer divides the hosts in
the same way without a word between them, as the order of hosts follows from their identifiers alone."""

from collections.abc import Collection
from enum import Enum
from math import ceil

from .ring import hash64

LONG_PROMPT = 2048  # tokens
SHORT_SHARE = 0.22  # of the hosts, rounded up


class Lane(Enum):
    """Which hosts a prompt's home is among."""

    SHORT = "short"
    LONG = "long"


def lane_of(tokens: int) -> Lane:
    """The lane of a prompt of so many tokens."""
    return Lane.LONG if tokens >= LONG_PROMPT else Lane.SHORT


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
