"""How many hosts of a model, and of a group, may load at once."""

from collections.abc import Collection

from hopsail.weights.actions import HostInfo
from hopsail.weights.model_hosts import ModelHosts
from hopsail.weights.progress import Progress
from hopsail.weights.rules import RolloutRules

MAX_RAISE_FACTOR = 2
GROUP_DIVISOR = 2  # at most one half of a group loads at once


class LoadCapacity:
    """Limits of concurrent loads, raised when the pending hosts would miss their deadline otherwise."""

    def __init__(self, rules: RolloutRules, hosts: ModelHosts) -> None:
        """Create the limits for the hosts of one model."""
        self._rules = rules
        self._hosts = hosts

    def limit(self, now: int, pending: Collection[HostInfo] = ()) -> int:
        """Return how many hosts may load at once while these are pending."""
        limit = max(1, self._rules.at_once(len(self._hosts)))
        return min(max(limit, self._needed(now, pending)), limit * MAX_RAISE_FACTOR)

    def _needed(self, now: int, pending: Collection[HostInfo]) -> int:
        """Return how many must load at once for each to meet its deadline, the earliest first."""
        needed = 0
        deadlines = sorted(self._hosts.superseded_at(host) + self._rules.deadline_ns for host in pending)
        for count, deadline in enumerate(deadlines, 1):
            waves_left = max(1, (deadline - now) // self._rules.wave_ns)
            needed = max(needed, -(-count // waves_left))
        return needed

    def group_has_capacity(self, group: str, limit: int, loading: Collection[Progress]) -> bool:
        """Whether one more host of the group may load; a raised limit lifts the bound of the group."""
        is_raised = limit > self._rules.at_once(len(self._hosts))
        if not group or is_raised:
            return True
        group_slots = used_slots([progress for progress in loading if progress.host.group == group])
        return group_slots < max(1, len(self._hosts.group(group)) // GROUP_DIVISOR)


def used_slots(loading: Collection[Progress]) -> int:
    """Return how many of the loads use a slot."""
    return sum(1 for progress in loading if progress.holds_slot)
