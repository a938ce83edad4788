"""Callers that wait until their adds are on enough disks."""

from typing import NamedTuple

from .types import AddDone, AddOutcome

ADD_TIMEOUT_NS = 850_000_000  # ns; callers turn to another machine after a second


class _Waiting(NamedTuple):
    sequence: int
    time_out: int
    done: AddDone


class Acknowledgements:
    """Adds of the own origin that were made and whose callers have no answer yet."""

    def __init__(self) -> None:
        """Nobody waits."""
        self._waiting: list[_Waiting] = []
        self.acknowledged = 0
        self.unknown = 0

    def wait(self, now: int, sequence: int, done: AddDone) -> None:
        """The caller waits for the add with this number."""
        self._waiting.append(_Waiting(sequence, now + ADD_TIMEOUT_NS, done))

    def settle(self, now: int, sequence: int) -> None:
        """Answers whose adds are durable, which goes up to this number, and who has waited for too long."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if entry.sequence <= sequence:
                self.acknowledged += 1
                entry.done(AddOutcome.ACKNOWLEDGED)
            elif entry.time_out <= now:
                self.unknown += 1
                entry.done(AddOutcome.UNKNOWN)
            else:
                self._waiting.append(entry)

    def due(self) -> int | None:
        """When the next caller has waited for too long, ns."""
        return min((entry.time_out for entry in self._waiting), default=None)
