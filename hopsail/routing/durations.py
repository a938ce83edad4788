"""How long requests have lately taken, by kind and size: the longest of each within a sliding window."""

from collections import defaultdict
from dataclasses import dataclass

WINDOW_NS = 15 * 1_000_000_000  # what is older than two of them is forgotten
LEAST_COUNT = 8  # durations, before the longest of them tells anything


@dataclass(slots=True)
class _Longest:
    duration: int = 0  # ns
    count: int = 0

    def add(self, duration: int, count: int = 1) -> None:
        self.duration = max(self.duration, duration)
        self.count += count


class RecentDurations:
    """The longest durations in the last one to two windows. Sizes are told apart by powers of two."""

    def __init__(self, now: int, window: int = WINDOW_NS):
        self.window = window
        self._began = now  # of the current window
        self._current = _by_kind()
        self._previous = _by_kind()

    def add(self, now: int, kind: str, size: int, duration: int) -> None:
        """Notes that something of the kind and size has taken so long (ns)."""
        self._turn(now)
        self._current[kind][size.bit_length()].add(duration)

    def longest(self, now: int, kind: str, size: int) -> int | None:
        """The longest duration lately of what was at most about as large (ns).

        None when there were too few to tell, or all were smaller."""
        self._turn(now)
        found, wanted = _Longest(), size.bit_length()
        for step, one in sorted(self._steps(kind).items()):
            found.add(one.duration, one.count)
            if step >= wanted and found.count >= LEAST_COUNT:
                return found.duration
        return None

    def _steps(self, kind: str) -> dict[int, _Longest]:
        """What is known of a kind, by power of two."""
        merged = defaultdict(_Longest)
        for known in (self._current, self._previous):
            for step, one in known.get(kind, {}).items():
                merged[step].add(one.duration, one.count)
        return merged

    def _turn(self, now: int) -> None:
        passed = (now - self._began) // self.window
        if passed <= 0:
            return
        self._previous = self._current if passed == 1 else _by_kind()
        self._current = _by_kind()
        self._began += passed * self.window


def _by_kind() -> dict[str, dict[int, _Longest]]:
    return defaultdict(lambda: defaultdict(_Longest))
