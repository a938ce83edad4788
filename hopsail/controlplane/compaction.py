"""Encodes a part's state for a snapshot in steps, between which the loop does other work. No I/O."""

import json
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from typing import Any

ITEMS_A_STEP = 64
BYTES_AT_ONCE = 64 << 10
SLICED_DEPTH = 2  # of mappings in mappings whose values are encoded by themselves


def json_steps(value: Any, depth: int = SLICED_DEPTH) -> Iterator[bytes]:
    """The JSON of a tree, a few items at a time; the tree must stay as it is until the end."""
    if type(value) is dict and depth and len(value) <= ITEMS_A_STEP:
        yield from _members(value, depth)
    elif type(value) is dict:
        yield from _joined(b"{", (_json(dict(some)) for some in _batches(value.items())), b"}")
    elif type(value) is list:
        yield from _joined(b"[", (_json(some) for some in _batches(value)), b"]")
    else:
        yield _json(value)


def _batches(items: Iterable[Any]) -> Iterator[list[Any]]:
    remaining = iter(items)
    while batch := list(islice(remaining, ITEMS_A_STEP)):
        yield batch


def _members(value: Mapping[str, Any], depth: int) -> Iterator[bytes]:
    before = b"{"
    for key, item in value.items():
        yield before + _json(key) + b":"
        yield from json_steps(item, depth - 1)
        before = b","
    yield b"}" if value else b"{}"


def _joined(first: bytes, batches: Iterator[bytes], last: bytes) -> Iterator[bytes]:
    before = first
    for batch in batches:
        yield before + batch[1:-1]
        before = b","
    yield last if before != first else first + last


def _json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


class Compaction:
    """The snapshot of a state as it was after the entry at `index`."""

    def __init__(self, index: int, steps: Iterator[bytes]):
        self.index = index
        self._steps = steps
        self._encoded: list[bytes] = []

    def go_on(self) -> bytes | None:
        """Encode some more; the whole once it is done."""
        size = 0
        for encoded in self._steps:
            self._encoded.append(encoded)
            size += len(encoded)
            if size >= BYTES_AT_ONCE:
                return None
        return b"".join(self._encoded)
