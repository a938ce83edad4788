"""Hosts of a service divided into lanes by the size of prompts: short ones do not wait behind long ones.

Size-interval task assignment: Harchol-Balter, "Task assignment with unknown duration" (2002), section 2. A
host reads prompts one after the other; behind a long one all others wait. All balancers that hold the same
division (`lane_division`) divide the same hosts alike: the order of hosts follows from their identifiers."""

from collections.abc import Collection
from enum import Enum
from math import ceil

from .ring import hash64

LONG_PROMPT = 2048  # tokens
FIRST_SHARE = 0.22  # of the hosts, until the demand is known some seconds after the first requests
LEAST_HOSTS = 3  # of a service that is divided: one of two is too many for either kind
NEIGHBOURS = 4  # hosts in a group; a lane of so many loses half when half of a group is taken out
ROUNDING = 1e-6  # a share that was told as hosts / all hosts means just so many of these


class Lane(Enum):
    """Which hosts a prompt's home is among."""

    SHORT = "short"
    LONG = "long"


def lane_of(tokens: int) -> Lane:
    """The lane of a prompt of so many tokens."""
    return Lane.LONG if tokens >= LONG_PROMPT else Lane.SHORT


def short_hosts(hosts: int, short_share: float) -> int:
    """How many hosts short prompts have; 0 when the hosts are not divided."""
    if hosts < LEAST_HOSTS or short_share <= 0:
        return 0
    return min(hosts - 1, max(1, ceil(short_share * hosts - ROUNDING)))


def divide(hosts: Collection[str], short_share: float) -> dict[Lane, frozenset[str]]:
    """The hosts of each lane; one or two hosts, or a share of 0, are not divided."""
    count = short_hosts(len(hosts), short_share)
    if not count:
        return undivided(hosts)
    ranked = _ranked(hosts)
    return {Lane.SHORT: frozenset(ranked[:count]), Lane.LONG: frozenset(ranked[count:])}


def neighbours(hosts: Collection[str]) -> dict[str, int]:
    """Hosts in groups of `NEIGHBOURS` that any division leaves together but for one group, by their number.

    Whoever takes hosts out of service and does not know the division takes some of each group."""
    return {host: rank // NEIGHBOURS for rank, host in enumerate(_ranked(hosts))}


def _ranked(hosts: Collection[str]) -> list[str]:
    """In the order in which they are divided, the same for all balancers."""
    return sorted(hosts, key=hash64)


def undivided(hosts: Collection[str]) -> dict[Lane, frozenset[str]]:
    """All hosts for each lane, where the size of prompts does not matter."""
    return dict.fromkeys(Lane, frozenset(hosts))
