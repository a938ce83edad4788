"""What of a replica's state is synced, which is on its way to the disk, and what waits for it."""

from dataclasses import dataclass

from .log import Log
from .state import HardState, Ready, Snapshot
from .structs import Struct

PendingMessages = list[tuple[str, Struct]]


@dataclass(slots=True)
class InFlightWrite:
    """A write under way: what it stores, and the messages that may leave once it is synced."""

    serial: int
    last_index: int
    hard_state: HardState | None
    snapshot: Snapshot | None
    pending_messages: PendingMessages


class Durability:
    """One write at a time is under way; all that changes meanwhile goes into the next one.

    `durable_index`: the log agrees with the disk up to there. `pending_messages` must not leave before
    the present state is synced.
    """

    def __init__(self, log: Log, durable_term: int) -> None:
        """Begin with a log that is synced, in a term that is."""
        self.durable_index = log.last_index
        self.durable_term = durable_term
        self.hard_state: HardState | None = None
        self.pending_messages: PendingMessages = []
        self.failing = False
        self.in_flight: InFlightWrite | None = None
        self._submitted_index = log.last_index
        self._truncate_from: int | None = None
        self._snapshot: Snapshot | None = None
        self._serial = 0

    def is_clean(self, log: Log) -> bool:
        """Whether everything is synced."""
        return self.in_flight is None and not self._has_work(log)

    def _has_work(self, log: Log) -> bool:
        changed = self.hard_state or self._snapshot or self._truncate_from is not None
        return bool(changed) or self._submitted_index < log.last_index

    def record_truncation(self, first: int) -> None:
        """Record that the log was truncated from `first` on."""
        self.durable_index = min(self.durable_index, first - 1)
        if first <= self._submitted_index:
            self._submitted_index = first - 1
            self._truncate_disk_from(first)
        if self.in_flight:
            self.in_flight.last_index = min(self.in_flight.last_index, first - 1)

    def _truncate_disk_from(self, first: int) -> None:
        self._truncate_from = first if self._truncate_from is None else min(first, self._truncate_from)

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Record that the log was compacted up to a snapshot of its own."""
        self._snapshot = snapshot
        self._submitted_index = max(self._submitted_index, snapshot.index)

    def record_reset(self, snapshot: Snapshot) -> None:
        """Record that the log was replaced by a snapshot."""
        self.record_truncation(1)
        self._truncate_disk_from(1)
        self.record_snapshot(snapshot)

    def next_write(self, log: Log) -> Ready | None:
        """Begin the next write, if there is something to write and none is under way."""
        if self.in_flight or not self._has_work(log):
            return None
        self._serial += 1
        ready = Ready(
            serial=self._serial,
            hard_state=self.hard_state,
            entries_to_store=log.slice(self._submitted_index + 1, log.last_index),
            truncate_from=self._truncate_from,
            snapshot_to_store=self._snapshot,
        )
        self.in_flight = InFlightWrite(
            self._serial,
            log.last_index,
            self.hard_state,
            self._snapshot,
            self.pending_messages,
        )
        self._submitted_index = log.last_index
        self.hard_state = self._snapshot = self._truncate_from = None
        self.pending_messages = []
        return ready

    def complete_write(self, serial: int | None) -> InFlightWrite | None:
        """End the write under way, which is synced; None if it is another one than `serial`."""
        done = self.in_flight
        if done is None or (serial is not None and serial != done.serial):
            return None
        self.in_flight = None
        self.failing = False
        self.durable_index = max(self.durable_index, done.last_index)
        if done.hard_state:
            self.durable_term = done.hard_state.term
        return done

    def fail_write(self) -> None:
        """End the write under way, which has failed; drop the messages that waited for it."""
        self.failing = True
        self.pending_messages = []
        lost = self.in_flight
        if lost is None:
            return
        self.in_flight = None
        self.hard_state = self.hard_state or lost.hard_state
        self._snapshot = self._snapshot or lost.snapshot
        self._truncate_disk_from(self.durable_index + 1)
        self._submitted_index = max(self.durable_index, self._snapshot.index if self._snapshot else 0)
