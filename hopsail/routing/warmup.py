"""The bound on what a host that is warming up gets in one second, summed over all senders.

Each sender has a fixed quota for each host, derived from its own name, the host's identifier and an upper
bound of the number of senders. No two senders need to agree on anything, so the bound also holds while they
are partitioned. No I/O.
"""

from collections import deque
from hashlib import blake2b
from math import floor, sqrt
from typing import NamedTuple

from ..model import MS, SECOND

WINDOW_NS = 1050 * MS  # one second, and the inaccuracy of clocks
LIST_LAG_NS = 2 * SECOND  # by which the news that a host is warming up may be late
COUNT_SETTLES_NS = 10 * SECOND  # from the first count that is told; those of a fleet that starts are too low
SENDERS_KEPT_NS = 300 * SECOND  # for which a count of senders holds after a lower one has been told
DEVIATIONS = 5.0  # standard deviations between the mean of the sum of quotas and the allowance
PROBES = 1  # requests in one window to a host that has failed, until it answers
HASH_BYTES = 8


class WarmupRule(NamedTuple):
    """What a host of a service may get while it is warming up, and for how long it does."""

    allowance: float  # requests in one second, of all senders together
    duration_ns: int

    @property
    def mean(self) -> float:
        """The mean sum of quotas, chosen so that random sums stay within the allowance.

        The sum of independent draws has a variance of at most its mean m; this solves
        m + DEVIATIONS * sqrt(m) = allowance.
        """
        root = (sqrt(DEVIATIONS * DEVIATIONS + 4 * max(0.0, self.allowance)) - DEVIATIONS) / 2
        return root * root


def quota(mean: float, senders: int | None, sender: str, host: str) -> int:
    """Return how many requests the sender may send the host in one second; 0 if the senders aren't known."""
    if not senders or senders < 0:
        return 0
    share = mean / senders
    whole = floor(share)
    digest = blake2b(f"{sender}\0{host}".encode(), digest_size=HASH_BYTES).digest()
    draw = int.from_bytes(digest, "big") / (1 << 8 * HASH_BYTES)
    return whole + (draw < share - whole)


class SenderCount:
    """The highest number of senders told within `SENDERS_KEPT_NS`, so that a partition doesn't lower it."""

    def __init__(self) -> None:
        """Start without a known number."""
        self._told: deque[tuple[int, int]] = deque()  # when and how many, the numbers falling
        self._first_told_at: int | None = None  # ns

    def note(self, now: int, count: int | None) -> None:
        """Take in the number known at `now` (ns)."""
        if count is None:
            return
        if self._first_told_at is None:
            self._first_told_at = now
        while self._told and self._told[-1][1] <= count:
            self._told.pop()
        self._told.append((now, count))
        while self._told[0][0] < now - SENDERS_KEPT_NS:
            self._told.popleft()

    @property
    def highest(self) -> int | None:
        """The highest number; None while none has been told."""
        return self._told[0][1] if self._told else None

    def settled(self, now: int) -> int | None:
        """The highest number; None until a fleet that has just started is counted whole."""
        if self._first_told_at is None or now - self._first_told_at < COUNT_SETTLES_NS:
            return None
        return self.highest


class _Host:
    """What one sender has sent a host lately, and until when the host is suspected to be warming up."""

    __slots__ = ("has_failed", "pending", "suspected_until", "written")

    def __init__(self) -> None:
        self.pending = 0  # reserved and not written yet
        self.written: deque[int] = deque()  # when (ns)
        self.suspected_until = 0
        self.has_failed = False  # and not answered since

    def note_written(self, now: int) -> None:
        self.sent(now)  # older ones are dropped, or they would gather at a host that never warms up
        self.written.append(now)

    def sent(self, now: int) -> int:
        while self.written and self.written[0] <= now - WINDOW_NS:
            self.written.popleft()
        return len(self.written)


class Reservation:
    """One request to a host. It counts from its reservation until a window after it was written."""

    __slots__ = ("_host", "_name", "_sends", "_settled")

    def __init__(self, sends: "WarmupSends", name: str, host: _Host) -> None:
        """Create a reservation at the host of that name."""
        self._sends, self._name, self._host = sends, name, host
        self._settled = False
        host.pending += 1

    def write(self, now: int, told_until: int) -> bool:
        """Count the request as written now; False if it must not be, as the host has begun to warm up."""
        if self._settled:
            return False
        if not self._sends.may_write(now, self._name, told_until):
            return False
        self._settle()
        self._host.note_written(now)
        return True

    def release(self) -> None:
        """Give the reservation back, unless the request was written."""
        if not self._settled:
            self._settle()

    def _settle(self) -> None:
        self._settled = True
        self._host.pending -= 1


class WarmupSends:
    """The requests of one sender to the hosts of one service, as far as they count while hosts warm up.

    `told_until` of the methods is the time (ns) until which the list of hosts says that a host warms up.
    """

    def __init__(self, sender: str, senders: SenderCount) -> None:
        """Create an empty record; nothing is bounded until `rule` is set."""
        self.sender, self.senders = sender, senders
        self.rule: WarmupRule | None = None
        self.sent_warming = 0  # requests written to hosts that may have been warming up
        self.passed_over = 0  # times that a host had no quota left
        self.taken_back = 0  # requests not written, as their host had begun to warm up
        self._hosts: dict[str, _Host] = {}

    def is_warming(self, now: int, name: str, told_until: int) -> bool:
        """Whether the host may be warming up."""
        if self.rule is None:
            return False
        host = self._hosts.get(name)
        suspected_until = host.suspected_until if host is not None else 0
        told_until = told_until + LIST_LAG_NS if told_until else 0
        return now < max(told_until, suspected_until)

    def may_send(self, now: int, name: str, told_until: int) -> bool:
        """Whether one more request to the host may be reserved."""
        host = self._hosts.get(name)
        is_warming = self.is_warming(now, name, told_until)
        if not is_warming and (host is None or not host.has_failed):
            return True
        used = host.pending + host.sent(now) if host is not None else 0
        if used < (self._quota(now, name) if is_warming else PROBES):
            return True
        self.passed_over += 1
        return False

    def reserve(self, name: str) -> Reservation | None:
        """Reserve a request to the host; None where nothing is bounded."""
        if self.rule is None:
            return None
        return Reservation(self, name, self._host(name))

    def may_write(self, now: int, name: str, told_until: int) -> bool:
        """Whether a request that was reserved earlier may be written now."""
        if not self.is_warming(now, name, told_until):
            return True
        if self._host(name).sent(now) < self._quota(now, name):
            self.sent_warming += 1
            return True
        self.taken_back += 1
        return False

    def failed(self, now: int, name: str) -> None:
        """Take in that the host could not be reached: it may come back and then warm up."""
        if self.rule is not None:
            self._host(name).has_failed = True
            self.suspect(now, name)

    def answered(self, now: int, name: str) -> None:
        """Take in an answer of the host: after failures, it may just have come back."""
        host = self._hosts.get(name)
        if host is not None and host.has_failed:
            host.has_failed = False
            self.suspect(now, name)

    def suspect(self, now: int, name: str) -> None:
        """Treat the host as warming up for as long as it would if it had begun just now."""
        if self.rule is not None:
            host = self._host(name)
            host.suspected_until = max(host.suspected_until, now + self.rule.duration_ns + LIST_LAG_NS)

    def forget(self, name: str) -> None:
        """Drop the record of a host that is gone."""
        self._hosts.pop(name, None)

    def _quota(self, now: int, name: str) -> int:
        rule = self.rule
        return quota(rule.mean, self.senders.settled(now), self.sender, name) if rule is not None else 0

    def _host(self, name: str) -> _Host:
        host = self._hosts.get(name)
        if host is None:
            host = self._hosts[name] = _Host()
        return host
