"""How many hosts of a model, and of a group, may load at once."""

from collections.abc import Collection

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

    def limit(self, now: int, waiting: int = 0) -> int:
        """Return how many hosts may hold a place while so many wait."""
        limit = max(1, self._rules.at_once(len(self._hosts)))
        left_ns = self._hosts.target_since + self._rules.deadline_ns - now
        waves_left = max(1, left_ns // self._rules.wave_ns)
        needed = -(-waiting // waves_left)
        return min(max(limit, needed), limit * HURRY_FACTOR)

    def group_has_room(self, now: int, group: str, waiting: int, loading: Collection[Progress]) -> bool:
        """Whether one more host of the group may load; in a hurry the bound is given up."""
        hurries = self.limit(now, waiting) > self._rules.at_once(len(self._hosts))
        if not group or hurries:
            return True
        of_group = held([progress for progress in loading if progress.host.group == group])
        return of_group < max(1, len(self._hosts.group(group)) // GROUP_DIVISOR)


def held(loading: Collection[Progress]) -> int:
    """Return how many of the loads hold a place."""
    return sum(1 for progress in loading if progress.holds_place)
