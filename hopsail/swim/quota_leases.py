"""Leased shares of a quota that follow how many balancers live; their sum never exceeds the quota. No I/O.

Of a whole quota (1), each of the N balancers that the settings count has RESERVED_SHARE / N for itself,
always. The rest is split into equal pools, one for each lease server that the settings name (`stewards`). A
lease server alone leases out its pool, as shares for a stated time by its clock; the sum of the outstanding
shares is at most its pool: it grants only what is not outstanding, and one that starts grants nothing until
all that an earlier incarnation of it may have granted has expired. A client counts the time from when it
asked, which is sooner, and the server waits longer by what two clocks may differ. So at any instant, for all
balancers together, sum(shares in use) <= N x RESERVED_SHARE / N + sum(pools) = 1, whatever anyone believes
of who lives, whatever is lost, duplicated, late or partitioned: no view is asked. It holds for up to N
balancers, and for clocks that differ by at most MAX_CLOCK_DRIFT of a time; a lease server's name must live
once.

With no lease server named, each balancer has its equal share, as without membership.
"""

from typing import NamedTuple, Protocol

from .settings import MAX_CLOCK_DRIFT, RESERVED_SHARE, SwimSettings

WHOLE = 1_000_000_000  # a whole quota in the units that are leased: integers, whose sums are exact
REQUESTS_PER_LEASE = 3
MAX_CLIENTS = 4096


class Grant(NamedTuple):
    """A share in units of WHOLE, and for how long; the duration is 0 where nothing is granted."""

    share: int
    duration_ns: int


class Lease(NamedTuple):
    """A share and the time at which it expires, by the clock of who keeps it."""

    share: int
    expires_ns: int


class LeaseRequestDue(NamedTuple):
    """A lease server to be asked, and the request's number."""

    server: str
    number: int


class _PendingRequest(NamedTuple):
    number: int
    sent_ns: int


NOTHING_GRANTED = Grant(0, 0)


class QuotaLeaseServer:
    """Leases out one pool."""

    def __init__(self, settings: SwimSettings, now: int) -> None:
        """Grants nothing for as long as an earlier incarnation's leases may last."""
        self._settings = settings
        self._pool = int(WHOLE * (1 - RESERVED_SHARE)) // max(1, len(settings.lease_servers))
        self._leases: dict[str, list[Lease]] = {}  # by client, those that may be in use, the largest first
        self._first_grant_ns = now + self._lease_with_drift_ns()

    def _lease_with_drift_ns(self) -> int:
        return int(self._settings.lease_ns * (1 + MAX_CLOCK_DRIFT))

    def grant(self, now: int, client: str) -> Grant:
        """Grants this client what fits into the pool, up to an equal share of it."""
        if now < self._first_grant_ns:
            return NOTHING_GRANTED
        self._expire(now)
        if client not in self._leases and len(self._leases) >= MAX_CLIENTS:
            return NOTHING_GRANTED
        others = sum(leases[0].share for name, leases in self._leases.items() if name != client)
        equal_share = self._pool // (len(self._leases) + (client not in self._leases))
        share = min(equal_share, self._pool - others)
        # A larger earlier share stays outstanding until it expires: this answer may be lost.
        larger = [lease for lease in self._leases.get(client, ()) if lease.share > share]
        self._leases[client] = [*larger, Lease(share, now + self._lease_with_drift_ns())]
        return Grant(share, self._settings.lease_ns)

    def _expire(self, now: int) -> None:
        for client, leases in list(self._leases.items()):
            self._leases[client] = [lease for lease in leases if lease.expires_ns > now]
            if not self._leases[client]:
                del self._leases[client]

    def outstanding(self, now: int) -> int:
        """What of the pool may be in use, in units of WHOLE."""
        return sum(
            max((lease.share for lease in leases if lease.expires_ns > now), default=0)
            for leases in self._leases.values()
        )


class QuotaLeaseClient:
    """What this balancer may use of a quota."""

    def __init__(self, settings: SwimSettings, now: int) -> None:
        """Asks the lease servers at once."""
        self.balancers = 1  # as the settings count them
        self._settings = settings
        self._pending: dict[str, _PendingRequest] = {}  # by lease server
        self._leases: dict[str, Lease] = {}  # by lease server
        self._last_number = 0
        self._next_requests_ns = now

    def next_due(self, now: int) -> int:
        """When requests are due, or a lease expires: its share must not be used a moment longer."""
        if not self._settings.lease_servers:
            return now + self._settings.lease_ns
        expiries = [lease.expires_ns for lease in self._leases.values() if lease.expires_ns > now]
        return min([self._next_requests_ns, *expiries])

    def requests_due(self, now: int) -> list[LeaseRequestDue]:
        """The requests to be sent now."""
        if not self._settings.lease_servers or now < self._next_requests_ns:
            return []
        self._next_requests_ns = now + self._settings.lease_ns // REQUESTS_PER_LEASE
        due = []
        for server in self._settings.lease_servers:
            self._last_number += 1
            self._pending[server] = _PendingRequest(self._last_number, now)
            due.append(LeaseRequestDue(server, self._last_number))
        return due

    def handle_grant(self, server: str, number: int, grant: Grant) -> None:
        """Takes in a lease server's answer; one to an older request is ignored."""
        pending = self._pending.get(server)
        if pending is None or number != pending.number:
            return
        del self._pending[server]
        if grant.duration_ns:
            expires = pending.sent_ns + min(grant.duration_ns, self._settings.lease_ns)
            self._leases[server] = Lease(min(grant.share, WHOLE), expires)

    def leased_units(self, now: int) -> int:
        """What is leased now, in units of WHOLE."""
        return sum(lease.share for lease in self._leases.values() if now < lease.expires_ns)

    def share(self, now: int) -> float:
        """The share of the quota, 0 to 1, that may be used now."""
        if not self._settings.lease_servers:
            return 1 / self.balancers
        return RESERVED_SHARE / self.balancers + self.leased_units(now) / WHOLE


class _ShareBudget(Protocol):
    def deal(self, now: int, part: float, /) -> None: ...


class _ShareStorms(Protocol):
    def dealt(self, now: int, part: float, /) -> None: ...


class QuotaUser(Protocol):
    """The balancer's decisions, as far as they depend on its quota share."""

    part: float
    granted: _ShareBudget
    storms: _ShareStorms | None


def apply_quota_share(balancer: QuotaUser, now: int, share: float) -> None:
    """Has a balancer use this share of what all balancers share, from now on."""
    balancer.part = share
    balancer.granted.deal(now, share)
    if balancer.storms:
        balancer.storms.dealt(now, share)
