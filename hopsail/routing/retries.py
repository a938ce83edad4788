"""The budget of arrivals at a service beyond the first of each request, shared by all balancers.

Summed over balancers, within every span of the window's length, these arrivals stay within `ratio` x the
requests of that span or of the one before it + `slack`. Each balancer keeps to a part of its own that needs
no news of others: its own requests' part of the ratio, and an equal part of the slack. For every span that
holds this moment, the requests counted are the mean of those in the span so far and in the one before: a mean
never exceeds the larger, and means, unlike maxima, add up over balancers.
"""

from itertools import accumulate

WINDOW_BUCKETS = 20  # per window
DELAY_BUCKETS = 1  # further buckets of retries counted: what is sent now arrives a little later
KEPT_BUCKETS = 2 * WINDOW_BUCKETS + DELAY_BUCKETS + 2
MOST_SERVICES = 4096  # a service beyond them has no retries
SAFETY = 0.8  # part of the ratio that is used


class ServiceHistory:
    """Requests and retries of one service in the newest buckets of time; older ones are dropped."""

    __slots__ = ("bucket", "requests", "retries")

    def __init__(self, bucket: int):
        self.bucket = bucket  # number of the newest
        self.requests = [0] * KEPT_BUCKETS  # the newest last
        self.retries = [0] * KEPT_BUCKETS

    def advance(self, bucket: int) -> None:
        """Makes this bucket the newest; a bucket in the past changes nothing."""
        steps = min(bucket - self.bucket, KEPT_BUCKETS)
        if steps <= 0:
            return
        self.bucket = bucket
        for counts in (self.requests, self.retries):
            del counts[:steps]
            counts.extend([0] * steps)


class RetryBudget:
    """This balancer's part of the retries of each service.

    `ratio` and `slack` are those of the rule, `window_ns` its span. The slack is held back for the first
    window from `started` (ns, the first call when None): an earlier life of this balancer may have used it.
    """

    def __init__(
        self, ratio: float, slack: float, window_ns: int, safety: float = SAFETY, started: int | None = None
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_ns = window_ns
        self.safety = safety
        self._width = max(1, window_ns // WINDOW_BUCKETS)
        self._started = started
        self._services: dict[str, ServiceHistory] = {}

    def request(self, now: int, service: str) -> None:
        """Counts a client's request for the service."""
        history = self._history(now, service)
        if history is not None:
            history.requests[-1] += 1

    def spend(self, now: int, service: str) -> None:
        """Counts an arrival at the service beyond the first of its request, allowed or not."""
        history = self._history(now, service)
        if history is not None:
            history.retries[-1] += 1

    def may_retry(self, now: int, service: str, balancers: int | None) -> bool:
        """Whether one more arrival stays within the budget.

        `balancers` is an upper bound of how many there are; without one no slack is used.
        """
        history = self._history(now, service)
        if history is None:
            return False
        slack = self._own_slack(now, balancers)
        # Prefix sums: totals[i] is the count of all buckets before the i-th.
        requests = list(accumulate(history.requests, initial=0))
        retries = list(accumulate(history.retries, initial=0))
        newest = KEPT_BUCKETS - 1
        return all(
            self._within(first, requests, retries, slack)
            for first in range(newest - WINDOW_BUCKETS - 1, newest + 1)
        )

    def _within(self, first, requests, retries, slack):
        """Whether one more retry now keeps the spans that begin within bucket `first` in the budget."""
        oldest = max(0, first - DELAY_BUCKETS)
        spent = retries[-1] - retries[oldest]
        # The span and the one before it follow each other. The bucket in which the earlier one begins may lie
        # outside in part and is left out: requests can be undercounted, never overcounted.
        both = requests[-1] - requests[max(0, first - WINDOW_BUCKETS + 1)]
        return spent + 1 <= self.safety * self.ratio * both / 2 + slack

    def _own_slack(self, now, balancers):
        if not balancers or now - self._started < self.window_ns + DELAY_BUCKETS * self._width:
            return 0.0
        return self.slack / balancers

    def _history(self, now, service):
        if self._started is None:
            self._started = now
        bucket = now // self._width
        history = self._services.get(service)
        if history is None:
            if len(self._services) >= MOST_SERVICES:
                self._drop_idle(bucket)
            if len(self._services) >= MOST_SERVICES:
                return None
            history = self._services[service] = ServiceHistory(bucket)
        history.advance(bucket)
        return history

    def _drop_idle(self, bucket):
        """Forgets services with nothing in any bucket that is still kept."""
        for service, history in list(self._services.items()):
            if bucket - history.bucket >= KEPT_BUCKETS:
                del self._services[service]
