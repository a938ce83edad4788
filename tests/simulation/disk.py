"""A machine's simulated disk: group commits in the storage's own encoding, synced one after the other.

When power is lost, the write under way is there, missing or torn; all that was told as synced is there."""

from collections import deque
from random import Random

from hopsail.replication.errors import StorageError
from hopsail.replication.records import ShardState, decode_group_commit, encode_group_commit, shard_record
from hopsail.replication.state import DurableState

from .clock import MILLISECOND

USUAL_DELAY = 3 * MILLISECOND
WORKING, FULL, STALLED = "working", "full", "stalled"


class SimulatedDisk:
    """What stays when a process ends."""

    def __init__(self, clock, random: Random):
        self.clock, self.random = clock, random
        self.records: list[bytes] = []
        self.delay = USUAL_DELAY
        self.condition = WORKING
        self.writing: bytes | None = None  # handed over, not synced yet
        self.stalled: list = []  # what goes on when the disk does
        self._folders: dict[str, SimulatedDisk] = {}  # with files of their own, on the same disk

    def folder(self, name: str) -> "SimulatedDisk":
        """The files of a folder: what befalls the disk befalls them; writes don't wait for others."""
        if name not in self._folders:
            self._folders[name] = SimulatedDisk(self.clock, Random(name))
            self._folders[name].set(self.condition, self.delay)
        return self._folders[name]

    def duration(self) -> int:
        """Of the next write."""
        return self.random.randint(self.delay // 2, self.delay)

    def wipe(self) -> None:
        """All is gone."""
        self.records, self.writing = [], None
        for folder in self._folders.values():
            folder.wipe()

    def lose_power(self) -> None:
        """Settles what becomes of the write under way."""
        for folder in self._folders.values():
            folder.lose_power()
        value, self.writing = self.writing, None
        self.stalled.clear()
        if value is None or self.condition == FULL:
            return
        draw = self.random.random()
        if draw < 1 / 3:
            self.records.append(value)
        elif draw < 2 / 3:
            self.records.append(value[: self.random.randrange(len(value))])

    def end_process(self) -> None:
        """The process is killed: the system may still write what it was given."""
        self.lose_power()

    def set(self, condition: str, delay: int) -> None:
        """Makes the disk slow, stalled, full or good."""
        self.condition, self.delay = condition, delay
        for folder in self._folders.values():
            folder.set(condition, delay)
        if condition != STALLED:
            waiting, self.stalled = self.stalled, []
            for act in waiting:
                act()

    def read(self) -> dict[str, ShardState]:
        """All that is synced; what is torn at the end is cut off."""
        states: dict[str, ShardState] = {}
        good: list[bytes] = []
        for number, value in enumerate(self.records):
            sections = decode_group_commit(value)
            if sections is None or not all(section.record for section in sections):
                if number != len(self.records) - 1:
                    raise AssertionError("a record before the last one is damaged")
                break
            good.append(value)
            for section in sections:
                states.setdefault(section.shard, ShardState()).apply(section.record)
        self.records = good
        return states


class SimulatedStorage:
    """In place of `Storage`."""

    def __init__(self, disk: SimulatedDisk):
        self.disk = disk
        self.states = disk.read()
        self.torn_records = self.damaged_records = 0
        self.corrupt: set[str] = set()

    @property
    def empty(self) -> bool:
        return not self.states

    def load(self, part: str) -> DurableState | None:
        state = self.states.get(part)
        return state.durable() if state else None

    def close(self) -> None:
        """Nothing is held."""


class SimulatedDiskThread:
    """In place of `DiskThread`: one write after the other, told through the descriptor's watcher."""

    def __init__(self, storage: SimulatedStorage, clock, machine):
        self.disk, self.machine, self.life = storage.disk, machine, machine.life
        self.descriptor = self
        self.watcher = lambda mask: None
        self.compaction_errors = 0
        self._now = clock
        self._jobs: deque[tuple[bytes, object, int]] = deque()
        self._results: list[tuple[object, StorageError | None]] = []
        self._busy = False

    def submit(self, batch, token) -> None:
        value = encode_group_commit([shard_record(write) for write in batch])
        self._jobs.append((value, token, self._now()))
        self._next()

    def collect(self):
        ended, self._results = self._results, []
        return ended

    def oldest_age(self, now: int) -> int:
        return now - self._jobs[0][2] if self._jobs else 0

    def close(self) -> None:
        """Nothing is held."""

    def _next(self) -> None:
        if self._busy or not self._jobs:
            return
        self._busy = True
        self.disk.writing = self._jobs[0][0]
        self.disk.clock.at(self.disk.clock.now + self.disk.duration(), self._ready)

    def _ready(self) -> None:
        if self.machine.life != self.life or not self.machine.runs:
            return
        if self.disk.condition == STALLED:
            self.disk.stalled.append(self._ready)
            return
        value, token, _ = self._jobs.popleft()
        self.disk.writing = None
        error = None
        if self.disk.condition == FULL:
            error = StorageError("no room")
        else:
            self.disk.records.append(value)
        self._busy = False
        self._results.append((token, error))
        self.disk.clock.at(self.disk.clock.now, lambda: self.watcher(1), self.machine, self.life)
        self._next()
