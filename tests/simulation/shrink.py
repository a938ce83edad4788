"""Finds a shortest schedule that still breaks an invariant.

Zeller, Hildebrandt, "Simplifying and isolating failure-inducing input" (2002): steps are left out in ever
smaller groups, until no single one can be left out."""

from collections.abc import Callable

from .draw import without
from .invariants import Invariant, Violation
from .play import Schedule, play


def violation_of(schedule: Schedule) -> Violation | None:
    """What a schedule breaks."""
    try:
        play(schedule)
    except Violation as violation:
        return violation
    return None


def breaks(invariant: Invariant) -> Callable[[Schedule], bool]:
    """Whether a schedule breaks just this invariant."""

    def broken(schedule: Schedule) -> bool:
        violation = violation_of(schedule)
        return violation is not None and violation.invariant is invariant

    return broken


def shrink(schedule: Schedule, still_fails: Callable[[Schedule], bool]) -> Schedule:
    """A part of the schedule that fails too, and of which no step can be left out."""
    size = max(1, len(schedule.steps) // 2)
    while True:
        smaller = _without_some(schedule, size, still_fails)
        if smaller is not None:
            schedule = smaller
            size = min(size, max(1, len(schedule.steps) // 2))
        elif size > 1:
            size = max(1, size // 2)
        else:
            return schedule


def _without_some(schedule: Schedule, size: int, still_fails: Callable[[Schedule], bool]) -> Schedule | None:
    for first in range(0, len(schedule.steps), size):
        smaller = without(schedule, set(range(first, first + size)))
        if len(smaller.steps) < len(schedule.steps) and still_fails(smaller):
            return smaller
    return None
