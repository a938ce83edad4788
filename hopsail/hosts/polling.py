"""When this process requests the platform's list.

One process, the designated reader, requests it once per period and sends the others what has changed. Any
other requests it only when it has received nothing fresh for some time. The calls of all processes together
stay below the platform's rate limit.
"""

import random
from dataclasses import dataclass

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
READER_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class ListingRules:
    """Intervals in nanoseconds; `rate_per_s` is the platform's rate limit for all processes together."""

    period_ns: int = 700 * NS_PER_MS
    stale_after_ns: int = 1_600 * NS_PER_MS
    spread_ns: int = 800 * NS_PER_MS
    first_retry_ns: int = 100 * NS_PER_MS
    max_retry_ns: int = 1_000 * NS_PER_MS
    rate_per_s: float = 47.0


class ListingSchedule:
    """Decides when the next listing is due; the `record_…` methods report the results of earlier ones."""

    def __init__(self, processes: int, rng: random.Random, rules: ListingRules | None = None) -> None:
        """Create the schedule of one of `processes` processes; `rng` draws its jitter."""
        self._rules = rules or ListingRules()
        self._rng = rng
        self._processes = max(1, processes)
        self._pages = 1
        self._failures = 0
        self._not_before = 0
        self._started_at: int | None = None
        self._first_request_at: int | None = None
        self._spread = rng.random()

    def set_processes(self, processes: int) -> None:
        """Set how many processes share the platform's rate."""
        self._processes = max(1, processes)

    def next_due(self, now: int, is_reader: bool, freshest: int | None) -> int:
        """Return when the next listing is due (at or before `now`: at once).

        `freshest` is when the newest complete listing known here, of any process, was made; None: never.
        """
        if self._first_request_at is None:
            self._first_request_at = now
        due = self._reader_due(now) if is_reader else self._follower_due(freshest)
        return max(due, self._not_before, self._rate_due(is_reader))

    def record_start(self, now: int) -> None:
        """Record that a listing has begun."""
        self._started_at = now
        self._spread = self._rng.random()

    def record_success(self, now: int, pages: int) -> None:
        """Record that the listing is complete; it took `pages` calls."""
        self._pages = max(1, pages)
        self._failures = 0
        self._not_before = now

    def record_failure(self, now: int) -> None:
        """Record that the listing failed: rate exceeded, another status, no response, or no list."""
        max_backoff_ns = min(self._rules.max_retry_ns, self._rules.first_retry_ns << min(self._failures, 16))
        self._failures += 1
        self._not_before = now + round(max_backoff_ns * (0.5 + 0.5 * self._rng.random()))

    def page_interval_ns(self, is_reader: bool) -> int:
        """Return the shortest time between two calls of this process."""
        share = self._rules.rate_per_s * (READER_SHARE if is_reader else (1 - READER_SHARE) / self._processes)
        return round(NS_PER_S / share)

    def _reader_due(self, now: int) -> int:
        if self._started_at is None:
            return now
        if self._failures:
            return self._not_before
        return self._started_at + self._rules.period_ns

    def _follower_due(self, freshest: int | None) -> int:
        if freshest is None:
            start_up = self._spread * self._processes / self._rules.rate_per_s
            return (self._first_request_at or 0) + round(start_up * NS_PER_S)
        return freshest + self._rules.stale_after_ns + round(self._spread * self._rules.spread_ns)

    def _rate_due(self, is_reader: bool) -> int:
        if self._started_at is None:
            return 0
        return self._started_at + self._pages * self.page_interval_ns(is_reader)
