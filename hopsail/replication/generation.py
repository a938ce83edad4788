"""The files of one generation of the storage: a `dbm.dumb` database that is only ever appended to.

`dbm.dumb` keeps values in `.dat`, at offsets that are multiples of 512, and its index in `.dir`, a line a
key. It syncs neither, and rewrites the index in place on close and delete, which would not survive a loss
of power. Here each value gets a new key, both files are synced before `append` returns, and nothing is
rewritten.
"""

import os
import re
from collections.abc import Callable, Iterable, Iterator
from dbm.dumb import _Database
from io import FileIO
from typing import NamedTuple

INDEX_LINE = re.compile(rb"'(\d{12})', \((\d{1,15}), (\d{1,15})\)\n\Z")
SUFFIXES = (".dir", ".dat")
BLOCK_BYTES = 512


class _AppendOnlyDatabase(_Database):
    """A `dbm.dumb` database that never rewrites its index, not even when it is closed or collected."""

    def _commit(self) -> None:
        self._modified = False

    sync = _commit

    def _update(self, flag: str) -> None:
        self._index: dict[
            bytes, tuple[int, int]
        ] = {}  # keys are new and values are read by `Generation.read`: no need to parse the index
        self._modified = False

    def _chmod(self, file: str) -> None:
        pass

    def __delitem__(self, key: str | bytes) -> None:
        raise TypeError("records are not deleted")

    def forget(self, key: str) -> None:
        """Drop a key from the index in memory only."""
        self._index.pop(key.encode(), None)


class Sizes(NamedTuple):
    """How far both files are known to be good, and the serial of the next record."""

    index_bytes: int = 0
    data_bytes: int = 0
    serial: int = 1


class IndexedRecord(NamedTuple):
    """A line of the index: the value it points to, None if it is damaged, and the sizes up to its end."""

    value: bytes | None
    sizes: Sizes


class Generation:
    """Records in the order they were appended. `sizes` tells how far the files are known to be good."""

    def __init__(self, folder: str, number: int) -> None:
        """Describe the generation of this number in a folder; nothing is opened yet."""
        self.number = number
        self.sizes = Sizes()
        self.is_clean = False  # nothing is in the files after `sizes`
        self._path = os.path.join(folder, self.name_of(number))
        self._database: _AppendOnlyDatabase | None = None
        self._files: list[FileIO] = []

    @staticmethod
    def name_of(number: int) -> str:
        """The name of a generation's files, without suffix."""
        return f"log-{number:06d}"

    def read(self) -> Iterator[IndexedRecord]:
        """Each line of the index, without `dbm.dumb`, which would fail on torn lines."""
        index, data = (self._contents(suffix) for suffix in SUFFIXES)
        sizes = Sizes()
        for line in index.splitlines(keepends=True):
            value, end = self._value(line, sizes.serial, data)
            sizes = Sizes(sizes.index_bytes + len(line), max(end, sizes.data_bytes), sizes.serial + 1)
            yield IndexedRecord(value, sizes)

    def _contents(self, suffix: str) -> bytes:
        try:
            with open(self._path + suffix, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return b""

    @staticmethod
    def _value(line: bytes, serial: int, data: bytes) -> tuple[bytes | None, int]:
        found = INDEX_LINE.match(line)
        if found is None or int(found[1]) != serial:
            return None, 0
        start, size = int(found[2]), int(found[3])
        if start % BLOCK_BYTES or start + size > len(data):
            return None, 0
        return data[start : start + size], start + size

    def append(self, values: Iterable[bytes], synced: Callable[[], object] = bool) -> None:
        """Add records; each is synced before the next, and `synced` called.

        After an OSError the last may or may not be there; with all before it, it is cut off by the next call.
        """
        before = self.sizes
        try:
            for value in values:
                self._append(value)
                synced()
        except OSError:
            self._go_back_to(before)
            raise

    def _go_back_to(self, sizes: Sizes) -> None:
        if self.sizes == sizes:
            return
        if self._database is not None:
            for serial in range(sizes.serial, self.sizes.serial + 1):
                self._database.forget(self._key_of(serial))
        self.sizes, self.is_clean = sizes, False

    def _append(self, value: bytes) -> None:
        database = self.clean()
        self.is_clean = False
        database[self._key_of(self.sizes.serial)] = value
        self._sync()
        index, data = (os.fstat(file.fileno()).st_size for file in self._files)
        self.sizes = Sizes(index, data, self.sizes.serial + 1)
        self.is_clean = True

    def clean(self) -> _AppendOnlyDatabase:
        """Truncate both files after the last good record, and open them."""
        if not self._files:
            self._files = [FileIO(self._path + suffix, "ab") for suffix in SUFFIXES]
        if not self.is_clean:
            for file, size in zip(self._files, self.sizes, strict=False):
                os.ftruncate(file.fileno(), size)
            self._sync()
            if self._database is not None:
                self._database.forget(self._key_of(self.sizes.serial))
            self.is_clean = True
        if self._database is None:
            # typeshed has the mode as a string.
            self._database = _AppendOnlyDatabase(self._path, 0o644, "c")  # type: ignore[arg-type]
        return self._database

    @staticmethod
    def _key_of(serial: int) -> str:
        return f"{serial:012d}"

    def _sync(self) -> None:
        for file in reversed(self._files):
            os.fsync(file.fileno())

    def close(self) -> None:
        """Close the files, and leave their contents as they are."""
        for file in self._files:
            file.close()
        self._files = []
        self._database = None
