"""A thread that writes to the storage, so that the loop does not wait for the disk.

Results come back through a pipe: the loop watches `descriptor` and calls `collect` when it is readable.
"""

import contextlib
import os
import time
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread
from typing import NamedTuple

from .errors import StorageError
from .records import ShardWrite
from .storage import Storage

WAKE_BYTES = 4096


class _Job(NamedTuple):
    batch: list[ShardWrite]
    token: object


class DiskThread:
    """Writes batches in the order they are submitted; compacts between them.

    The caller bounds the queue: each replica has one write under way.
    """

    def __init__(self, storage: Storage, clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Start the thread; `clock` gives the time in ns."""
        self.descriptor, self._wake_descriptor = os.pipe()
        os.set_blocking(self.descriptor, False)
        os.set_blocking(self._wake_descriptor, False)
        self.compaction_errors = 0
        self._storage = storage
        self._clock = clock
        self._jobs: SimpleQueue[_Job | None] = SimpleQueue()
        self._submitted_at: deque[int] = deque()
        self._progressed_at = clock()
        storage.on_progress = self._record_progress
        self._results: deque[tuple[object, StorageError | None]] = deque()
        self._thread = Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def submit(self, batch: list[ShardWrite], token: object) -> None:
        """Have a batch written; `collect` gives the token back."""
        self._submitted_at.append(self._clock())
        self._jobs.put(_Job(batch, token))

    def collect(self) -> list[tuple[object, StorageError | None]]:
        """The writes that have ended since the last call: token, and None or what went wrong."""
        with contextlib.suppress(BlockingIOError):
            os.read(self.descriptor, WAKE_BYTES)
        ended = []
        while self._results:
            ended.append(self._results.popleft())
            self._submitted_at.popleft()
        return ended

    def oldest_age(self, now: int) -> int:
        """The age (ns) of the oldest write that has not been collected; 0 if there is none.

        While a long one is written, or waited for, it counts from its last progress: the disk goes on."""
        if not self._submitted_at:
            return 0
        return max(0, now - max(self._submitted_at[0], self._progressed_at))

    def _record_progress(self) -> None:
        """In the disk's thread: a long write has been encoded, or a chunk of it synced."""
        self._progressed_at = self._clock()

    def close(self) -> None:
        """End the thread after the writes submitted so far, and close the pipe."""
        self._jobs.put(None)
        self._thread.join()
        os.close(self.descriptor)
        os.close(self._wake_descriptor)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            self._results.append((job.token, self._write(job.batch)))
            self._wake()
            if self._jobs.empty() or self._storage.is_wasteful:
                self._compact()

    def _write(self, batch: list[ShardWrite]) -> StorageError | None:
        try:
            self._storage.write(batch)
        except StorageError as error:
            return error
        except Exception as error:  # the loop waits for the result of every write
            return StorageError(f"{type(error).__name__}: {error}")
        return None

    def _compact(self) -> None:
        try:
            self._storage.compact_if_needed()
        except StorageError:
            self.compaction_errors += 1

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # the pipe is full, so the loop will wake
            os.write(self._wake_descriptor, b"\0")
