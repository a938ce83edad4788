"""How many hosts of a model, and of a group, may load at once."""

from collections.abc import Collection

from hopsail.weights.actions import HostInfo
from hopsail.weights.model_hosts import ModelHosts
from hopsail.weights.progress import Progress
from hopsail.weights.rules import RolloutRules

HURRY_FACTOR = 2
GROUP_DIVISOR = 2  # at most one half of a group loads at once


class Places:
    """Bounds on the hosts that load, raised when those that wait would miss the deadline."""

    def __init__(self, rules: RolloutRules, hosts: ModelHosts) -> None:
        self._rules = rules
        self._hosts = hosts

    def limit(self, now: int, waiting: Collection[HostInfo] = ()) -> int:
        """Return how many hosts may hold a place while these wait."""
        limit = max(1, self._rules.at_once(len(self._hosts)))
        return min(max(limit, self._needed(now, waiting)), limit * HURRY_FACTOR)

    def _needed(self, now: int, waiting: Collection[HostInfo]) -> int:
        """Return how many must load at once for each to hold a newer revision in time, the earliest first."""
        needed = 0
        deadlines = sorted(self._hosts.superseded_at(host) + self._rules.deadline_ns for host in waiting)
        for count, deadline in enumerate(deadlines, 1):
            waves_left = max(1, (deadline - now) // self._rules.wave_ns)
            needed = max(needed, -(-count // waves_left))
        return needed

    def group_has_room(self, group: str, limit: int, loading: Collection[Progress]) -> bool:
        """Whether one more host of the group may load; where the limit is raised, the bound is given up."""
        hurries = limit > self._rules.at_once(len(self._hosts))
        if not group or hurries:
            return True
        of_group = held([progress for progress in loading if progress.host.group == group])
        return of_group < max(1, len(self._hosts.group(group)) // GROUP_DIVISOR)


def held(loading: Collection[Progress]) -> int:
    """Return how many of the loads hold a place."""
    return sum(1 for progress in loading if progress.holds_place)
