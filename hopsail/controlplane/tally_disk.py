"""The disk of the tallies: a storage and a thread of their own, apart from those of the replicated logs.

So neither waits for the other's writes. Each write of the replica is an entry of the storage's only shard;
one that replaces all is a snapshot there, so that torn records, chunks and generations are the storage's.
"""

from collections.abc import Callable
from typing import Protocol

from ..net.loop import READ, Loop
from ..replication.disk_thread import DiskThread
from ..replication.errors import StorageError
from ..replication.messages import Entry, EntryKind
from ..replication.records import ShardWrite
from ..replication.state import Members, Ready, Snapshot
from ..replication.storage import Storage
from ..tallies.types import TallyWrite

SHARD = "tallies"
TERM = 1  # of all entries: nobody is elected
MIN_COMPACTED_BYTES = 1 << 20  # bytes of entries after the last snapshot


class WriteDone(Protocol):
    """Whom the disk tells of a write that has ended."""

    def written(self, serial: int) -> None:
        """It is synced."""

    def write_failed(self, serial: int) -> None:
        """It may or may not be on the disk."""


class TallyDisk:
    """Writes one `TallyWrite` after the other without holding the loop."""

    def __init__(self, loop: Loop, folder: str, done: Callable[[], WriteDone]) -> None:
        """Reads what the folder has; StorageError when the disk refuses it."""
        self._loop, self._done = loop, done
        self.storage = Storage.open(folder, (SHARD,))
        durable = self.storage.load(SHARD)
        self.stored: list[bytes] = []  # oldest first
        self._last_index = self._snapshot_bytes = self._entries_bytes = 0
        if durable is not None:
            self._load(durable.snapshot, durable.entries)
        self.disk = DiskThread(self.storage, loop.now)
        self._writing: TallyWrite | None = None
        loop.watch(self.disk.descriptor, READ, self._collect)

    def _load(self, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        if snapshot is not None:
            self.stored.append(snapshot.data)
            self._last_index, self._snapshot_bytes = snapshot.index, len(snapshot.data)
        for entry in entries:
            self.stored.append(entry.data)
            self._last_index = entry.index
            self._entries_bytes += len(entry.data)

    @property
    def is_wasteful(self) -> bool:
        """Whether a write that replaces all before it would save much."""
        return self._entries_bytes > max(MIN_COMPACTED_BYTES, self._snapshot_bytes)

    def write(self, write: TallyWrite) -> None:
        """Begins a write; the one before it must have ended."""
        self._writing = write
        index = self._last_index + 1
        if write.replaces_all:
            ready = Ready(snapshot_to_store=Snapshot(index, TERM, Members(), write.data))
        else:
            entry = Entry(term=TERM, index=index, kind=EntryKind.DATA, data=write.data)
            # One that failed may be on the disk at this index.
            ready = Ready(truncate_from=index, entries_to_store=[entry])
        self.disk.submit([ShardWrite(SHARD, ready)], write.serial)

    def close(self) -> None:
        """Ends the thread after the write under way, and closes the files."""
        self._loop.unwatch(self.disk.descriptor)
        self.disk.close()
        self.storage.close()

    def _collect(self, _mask: int) -> None:
        for serial, error in self.disk.collect():
            self._ended(serial, error)

    def _ended(self, serial: int, error: StorageError | None) -> None:
        write, self._writing = self._writing, None
        if error is not None:
            self._done().write_failed(serial)
            return
        self._last_index += 1
        if write.replaces_all:
            self._snapshot_bytes, self._entries_bytes = len(write.data), 0
        else:
            self._entries_bytes += len(write.data)
        self._done().written(serial)
