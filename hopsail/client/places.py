"""When a client may connect to each balancer again, without I/O: reconnects spread over time.

A balancer that restarts breaks all its clients' connections in one moment. If all came back in that
moment the listener's queue would overflow and the handshakes cost the time that the answers need; so
each client draws when to come back, and draws from twice the time when that fails, too."""

from dataclasses import dataclass

SPREAD, MOST_SPREAD = (
    4_000_000_000,
    30_000_000_000,
)  # ns over which clients come back; doubled with each failure


@dataclass(eq=False)
class Place:
    """A balancer's address, and how it went there."""

    address: tuple[str, int]
    failures: int = 0
    not_before: int = 0  # no connection is made before then


class Places:
    """Chooses among balancers: at random, among those to which a connection may be made now."""

    def __init__(self, addresses, random):
        self.all, self.random = [Place(address) for address in addresses], random

    def choose(self, now, tried=()):
        """A balancer to try now, best one that was not tried before; else when there will be one."""
        free = [place for place in self.all if place.not_before <= now]
        fresh = [place for place in free if place not in tried]
        if free:
            return self.random.choice(fresh or free), now
        return None, min(place.not_before for place in self.all)

    def broke(self, place, now):
        """Its connections broke, or none came up: it is left alone for a while."""
        spread = min(MOST_SPREAD, SPREAD << min(10, place.failures))
        place.failures += 1
        place.not_before = max(place.not_before, now + int(spread * self.random.random()))

    def served(self, place):
        place.failures = 0
