"""Work that is done in steps, driven to its end."""

from collections.abc import Callable, Generator
from typing import Any


def taken_to_end(steps: Generator[Any, None, Any]) -> tuple[int, Any]:
    """How many pauses the work makes, and its result."""
    pauses = 0
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return pauses, end.value
        pauses += 1


def in_one_step(work: Callable[[Any], Any]) -> Callable[[Any], Generator[Any, None, Any]]:
    """The same work as steps that never pause."""

    def steps(given):
        yield from ()
        return work(given)

    return steps
