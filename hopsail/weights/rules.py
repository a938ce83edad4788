"""Intervals and limits of the roll-out of new weights."""

from collections.abc import Callable
from dataclasses import dataclass

NS_PER_MS = 1_000_000
AT_ONCE_DIVISOR = 3
APPLY_ONE_MS = 8_000
APPLY_MARGIN_MS = 1_500
LEASE_MS = 3_000
LEASE_SLACK_MS = 300


def third_of_hosts(hosts: int) -> int:
    """Return how many of `hosts` hosts may load at once: a third, one at least."""
    return max(1, hosts // AT_ONCE_DIVISOR)


@dataclass(frozen=True, slots=True)
class RolloutRules:
    """Options of a roll-out. All times are in nanoseconds.

    at_once: how many hosts of so many may load at once; twice as many when the deadline is near.
    prepare_ns: from PREPARING to the order, while data planes stop sending.
    first_report_ns, report_period_ns: when the report of a host that accepted an order is requested.
    order_timeout_ns: time-out of an order and of a request for a report.
    report_age_ns: how old a report may be when it arrives.
    retry_first_ns, retry_max_ns: backoff after an unclear answer; unnamed_retry_ns: after a 400.
    slot_ns: how long one host may use a slot that others wait for.
    wave_ns: expected time of one load, to tell whether the deadline can be met.
    deadline_ns: from the naming of a version until all hosts should have loaded it.
    lease_ns: how long after the lease of another owner no order may be sent.
    renew_ns: interval at which an announcement is renewed.
    idle_ns: interval of checks while no order may be sent.
    """

    at_once: Callable[[int], int] = third_of_hosts
    prepare_ns: int = 150 * NS_PER_MS
    first_report_ns: int = 350 * NS_PER_MS
    report_period_ns: int = 150 * NS_PER_MS
    order_timeout_ns: int = 400 * NS_PER_MS
    report_age_ns: int = 600 * NS_PER_MS
    retry_first_ns: int = 150 * NS_PER_MS
    retry_max_ns: int = 1_000 * NS_PER_MS
    unnamed_retry_ns: int = 300 * NS_PER_MS
    slot_ns: int = 2_000 * NS_PER_MS
    wave_ns: int = 1_900 * NS_PER_MS
    deadline_ns: int = (APPLY_ONE_MS - APPLY_MARGIN_MS) * NS_PER_MS
    lease_ns: int = (LEASE_MS + LEASE_SLACK_MS) * NS_PER_MS
    renew_ns: int = 1_500 * NS_PER_MS
    idle_ns: int = 100 * NS_PER_MS

    def backoff_ns(self, attempts: int) -> int:
        """Return the backoff after so many failed attempts in a row (1: the first)."""
        return min(self.retry_max_ns, self.retry_first_ns << min(max(attempts - 1, 0), 16))
