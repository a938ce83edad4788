"""Values of the storage that are too long for one record: split into chunks, each a record. No I/O.

A value is there when all its chunks are, in their order; they tell how many follow. What is short enough is
a record as it is: it can't be taken for a chunk, as it begins with the length of its frame.
"""

from collections.abc import Iterator
from hashlib import blake2b

MAX_CHUNK_BYTES = 4 << 20  # of one record, so that a slow disk is seen to go on
CHUNK_MARKER = b"\xff\xff\xff\xff"
COUNT_BYTES = 4
CHECKSUM_BYTES = 8
HEADER_BYTES = len(CHUNK_MARKER) + CHECKSUM_BYTES


def is_long(value: bytes) -> bool:
    """Whether a value is split."""
    return len(value) > MAX_CHUNK_BYTES


def split(value: bytes) -> Iterator[bytes]:
    """The records that a value is written in; each is made when it is needed."""
    if not is_long(value):
        yield value
        return
    starts = range(0, len(value), MAX_CHUNK_BYTES)
    for remaining, start in zip(reversed(range(len(starts))), starts, strict=True):
        yield _chunk(remaining, value[start : start + MAX_CHUNK_BYTES])


def _chunk(remaining: int, data: bytes) -> bytes:
    content = remaining.to_bytes(COUNT_BYTES, "big") + data
    return CHUNK_MARKER + _checksum(content) + content


def _checksum(content: bytes) -> bytes:
    return blake2b(content, digest_size=CHECKSUM_BYTES).digest()


class Joiner:
    """Joins the records of each value, in the order in which they were written.

    The value's own checksums tell whether it is what was written."""

    def __init__(self) -> None:
        """Begin between two values."""
        self._chunks: list[bytes] = []

    @property
    def is_between(self) -> bool:
        """Whether chunks of a value are still to come."""
        return bool(self._chunks)

    def add(self, record: bytes | None) -> bytes | None:
        """The value that a record ends; None if it ends none, or is damaged."""
        chunk = self._chunk_in(record)
        if chunk is None:
            self._chunks = []
            return None if record is None or record.startswith(CHUNK_MARKER) else record
        remaining, data = chunk
        self._chunks.append(data)
        if remaining:
            return None
        value, self._chunks = b"".join(self._chunks), []
        return value

    @staticmethod
    def _chunk_in(record: bytes | None) -> tuple[int, bytes] | None:
        """How many chunks follow, and the data."""
        if record is None or not record.startswith(CHUNK_MARKER):
            return None
        content = record[HEADER_BYTES:]
        if record[len(CHUNK_MARKER) : HEADER_BYTES] != _checksum(content):
            return None
        return int.from_bytes(content[:COUNT_BYTES], "big"), content[COUNT_BYTES:]
