"""Durable storage for the logs of several shards, in one folder.

Each group commit is one record of the current generation (see `generation.py`), or, if it is long, several
that count when the last one is there (see `record_chunks.py`). When much of a generation is out of date, all
that is live is written to a new one, which becomes current by the rename of a small file.

After a loss of power, what was written after the last sync may be there, be missing or be torn. As each
record is synced before the next, that can only be the last one, which is then dropped. A damaged record
before others means that the disk has lost what it had acknowledged: its shards are then `corrupt`, and
start with nothing.
"""

import contextlib
import os
import re
from collections.abc import Callable, Iterable

from .errors import StorageError, StructError
from .generation import SUFFIXES, Generation
from .record_chunks import Joiner, is_long, split
from .records import (
    Section,
    ShardRecord,
    ShardState,
    ShardWrite,
    decode_group_commit,
    encode_group_commit,
    shard_record,
)
from .state import DurableState

CURRENT = "current"
CURRENT_NEW = "current.new"
GENERATION = re.compile(r"log-(\d{6})\Z")
GENERATION_FILE = re.compile(r"log-(\d{6})\.(dat|dir|bak)\Z")
MAX_GARBAGE_BYTES = 8 << 20
MAX_RECORDS = 4096
URGENT_GARBAGE_FACTOR = 3  # times MOST_GARBAGE, when a new generation can wait no longer for a quiet moment
SKIPPED_COMPACTIONS = 32  # after one that has failed


class Storage:
    """The durable states of the shards of one process; calls block until the disk has answered."""

    def __init__(self, folder: str, shard_names: Iterable[str]) -> None:
        """Describe the storage in a folder; `open` makes one with what is in it."""
        self.folder = folder
        self.shard_names = tuple(shard_names)
        self.corrupt: set[str] = set()
        self.damaged_records = 0
        self.torn_records = 0
        self.on_progress: Callable[[], object] = (
            bool  # called when a long write is encoded, or a chunk synced
        )
        self._states: dict[str, ShardState] = {}
        self._generation: Generation | None = None
        self._must_compact = False
        self._compactions_skipped = 0  # are still to be skipped, after one that failed
        self._generation_change_pending = (
            False  # the folder is to be synced, and old generations to be removed
        )

    @classmethod
    def open(cls, folder: str, shard_names: Iterable[str]) -> "Storage":
        """Read what is in a folder, which is made if it is not there.

        Raises:
            StorageError: the disk refused it.

        """
        storage = cls(folder, shard_names)
        try:
            os.makedirs(folder, exist_ok=True)
            storage._read()
        except OSError as error:
            raise StorageError(str(error)) from error
        return storage

    @property
    def empty(self) -> bool:
        """Whether nothing was ever stored here, as far as the disk can tell."""
        return not self._states and not self.corrupt

    def load(self, shard: str) -> DurableState | None:
        """Load the state of a shard; None if nothing usable was stored (see `corrupt`)."""
        state = self._states.get(shard)
        return state.durable() if state else None

    def close(self) -> None:
        """Close the files."""
        if self._generation:
            self._generation.close()

    # Reading.

    def _read(self) -> None:
        number = self._current_number()
        if number is None:
            return
        self._generation_change_pending = True
        self._generation = Generation(self.folder, number)
        unconfirmed: list[list[Section] | None] = []  # damaged, and dropped unless something good follows
        joiner = Joiner()
        for found in self._generation.read():
            was_between, value = joiner.is_between, joiner.add(found.value)
            if joiner.is_between:
                continue
            if was_between and value is found.value:
                unconfirmed.append(None)  # what the chunks before it began has no end
            sections = None if value is None else decode_group_commit(value)
            unconfirmed.append(sections)
            if sections is not None and all(section.record for section in sections):
                self._apply_records(unconfirmed)
                unconfirmed = []
                self._generation.sizes = found.sizes
        self.torn_records = len(unconfirmed) + joiner.is_between
        for shard in self.corrupt:
            self._states.pop(shard, None)
        self._must_compact = bool(self.corrupt)

    def _current_number(self) -> int | None:
        try:
            with open(self._path(CURRENT), encoding="ascii", errors="replace") as file:
                found = GENERATION.match(file.read().strip())
        except FileNotFoundError:
            return None
        if found is None:
            self.damaged_records += 1
            self.corrupt.update(self.shard_names)
            return None
        return int(found[1])

    def _apply_records(self, records: list[list[Section] | None]) -> None:
        """Apply a good record, and the damaged ones before it as far as they are readable."""
        self.damaged_records += len(records) - 1
        for sections in records:
            if sections is None:
                self.corrupt.update(self.shard_names)
                continue
            for section in sections:
                self._apply_section(section)

    def _apply_section(self, section: Section) -> None:
        try:
            if section.record is None:
                self.corrupt.add(section.shard)
            elif section.shard not in self.corrupt:
                self._states.setdefault(section.shard, ShardState()).apply(section.record)
        except StructError:
            self.corrupt.add(section.shard)

    # Writing.

    def write(self, batch: list[ShardWrite]) -> None:
        """Store a group commit, synced when this returns. It can be called again after a failure.

        Raises:
            StorageError: the disk refused it, or entries are missing before those to store.

        """
        records = [shard_record(write) for write in batch]
        try:
            for record in records:
                self._states.get(record.shard, ShardState()).check(record)
            generation = self._generation
            if generation is None or self._must_compact:
                generation = self._start_generation()
            self._finish_generation_change(generation)
            self._append(generation, records)
        except (OSError, StructError) as error:
            raise StorageError(str(error)) from error
        for record in records:
            self._states.setdefault(record.shard, ShardState()).apply(record)

    def _append(self, generation: Generation, records: list[ShardRecord]) -> None:
        """Write one value; a long one in chunks, so that it can be told whether the disk goes on."""
        value = encode_group_commit(records)
        progressed = self.on_progress if is_long(value) else bool
        progressed()
        generation.append(split(value), progressed)

    def _garbage_bytes(self, generation: Generation) -> int:
        """About how many bytes of the generation are out of date."""
        sizes = generation.sizes
        return sizes.data_bytes + sizes.index_bytes - sum(state.size for state in self._states.values())

    @property
    def is_wasteful(self) -> bool:
        """Whether a new generation is needed even while writes wait."""
        if self._generation is None:
            return False
        return self._garbage_bytes(self._generation) > URGENT_GARBAGE_FACTOR * MAX_GARBAGE_BYTES

    def compact_if_needed(self) -> bool:
        """Write a new generation if the present one has much that is out of date; return whether it did.

        Raises:
            StorageError: the disk refused it; it is tried again after a number of calls.

        """
        generation = self._generation
        if generation is None:
            return False
        if self._garbage_bytes(generation) <= MAX_GARBAGE_BYTES and generation.sizes.serial <= MAX_RECORDS:
            return False
        if self._compactions_skipped:
            self._compactions_skipped -= 1
            return False
        try:
            self._finish_generation_change(generation)
            self._finish_generation_change(self._start_generation())
        except OSError as error:
            self._compactions_skipped = SKIPPED_COMPACTIONS
            raise StorageError(str(error)) from error
        return True

    def _start_generation(self) -> Generation:
        """Write all that is live to new files, and make them current."""
        old = self._generation
        new = Generation(self.folder, self._free_number())
        try:
            new.clean()
            if self._states:
                self._append(new, [state.to_record(shard) for shard, state in self._states.items()])
            self._make_current(new)
        except OSError:
            new.close()
            if self._may_be_current(new):
                self._must_compact, self._generation_change_pending = (
                    True,
                    False,
                )  # nothing may be added to the old one
            else:
                self._discard(new)
                self._generation_change_pending = (
                    old is not None
                )  # what is left of the new files is to be removed
            raise
        self._generation = new
        self._generation_change_pending = True
        self._must_compact = False
        if old:
            old.close()
        return new

    def _may_be_current(self, generation: Generation) -> bool:
        """Whether a start would read this generation, or that cannot be told."""
        try:
            with open(self._path(CURRENT), encoding="ascii", errors="replace") as file:
                return file.read().strip() == Generation.name_of(generation.number)
        except FileNotFoundError:
            return False
        except OSError:
            return True

    def _discard(self, generation: Generation) -> None:
        """Give the room of an unfinished generation back at once, if the disk allows it."""
        name = Generation.name_of(generation.number)
        for suffix in SUFFIXES:
            with contextlib.suppress(OSError):
                os.remove(self._path(name + suffix))

    def _free_number(self) -> int:
        found = (GENERATION_FILE.match(name) for name in os.listdir(self.folder))
        return max((int(one[1]) for one in found if one), default=0) + 1

    def _make_current(self, generation: Generation) -> None:
        self._sync_folder()
        with open(self._path(CURRENT_NEW), "w", encoding="ascii") as file:
            file.write(Generation.name_of(generation.number) + "\n")
            file.flush()
            os.fsync(file.fileno())
        os.rename(self._path(CURRENT_NEW), self._path(CURRENT))

    def _finish_generation_change(self, current: Generation) -> None:
        """Sync the last change of generations, and remove what is not current."""
        if not self._generation_change_pending:
            return
        self._sync_folder()
        for name in os.listdir(self.folder):
            found = GENERATION_FILE.match(name)
            if (found and int(found[1]) != current.number) or name == CURRENT_NEW:
                os.remove(self._path(name))
        self._sync_folder()
        self._generation_change_pending = False

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)
