"""Encodes and decodes a shard's state in steps, between which the loop does other work. No I/O."""

import json
from collections.abc import Generator, Iterable, Iterator, Mapping
from itertools import islice
from sys import intern
from typing import Any

MAX_ITEMS_ENCODED_PER_STEP = 64
MAX_ITEMS_DECODED_PER_STEP = 2000
MAX_BYTES_PER_STEP = 64 << 10
SLICED_DEPTH = 2  # of mappings in mappings whose values are encoded by themselves


def json_encode_steps(value: Any, depth: int = SLICED_DEPTH) -> Iterator[bytes]:
    """The JSON of a tree, a few items at a time; the tree must stay as it is until the end."""
    if type(value) is dict and depth and len(value) <= MAX_ITEMS_ENCODED_PER_STEP:
        yield from _members(value, depth)
    elif type(value) is dict:
        yield from _joined(b"{", (_json(dict(some)) for some in _batches(value.items())), b"}")
    elif type(value) is list:
        yield from _joined(b"[", (_json(some) for some in _batches(value)), b"]")
    else:
        yield _json(value)


def _batches(items: Iterable[Any]) -> Iterator[list[Any]]:
    remaining = iter(items)
    while batch := list(islice(remaining, MAX_ITEMS_ENCODED_PER_STEP)):
        yield batch


def _members(value: Mapping[str, Any], depth: int) -> Iterator[bytes]:
    before = b"{"
    for key, item in value.items():
        yield before + _json(key) + b":"
        yield from json_encode_steps(item, depth - 1)
        before = b","
    yield b"}" if value else b"{}"


def _joined(first: bytes, batches: Iterator[bytes], last: bytes) -> Iterator[bytes]:
    before = first
    for batch in batches:
        yield before + batch[1:-1]
        before = b","
    yield last if before != first else first + last


def _sharing_keys(members: list[tuple[str, Any]]) -> dict[str, Any]:
    """An object whose keys are one string each, however many objects have them."""
    return {intern(key): value for key, value in members}


_read = json.JSONDecoder(object_pairs_hook=_sharing_keys).raw_decode


def _json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def json_decode_steps(data: bytes) -> Generator[None, None, Any]:
    """What `json.loads` makes of the output of `json_encode_steps`, in steps; raises ValueError."""
    text = data.decode()
    value, end = yield from _decode_steps(text, 0, SLICED_DEPTH)
    if end != len(text):
        raise ValueError(f"more follows at {end}")
    return value


DecodedSteps = Generator[None, None, tuple[Any, int]]  # a value, and where the text goes on


def _decode_steps(text: str, start: int, depth: int) -> DecodedSteps:
    if text.startswith("[", start):
        return (yield from _decode_list_steps(text, start + 1))
    if depth and text.startswith("{", start):
        return (yield from _decode_object_steps(text, start + 1, depth - 1))
    return _read(text, start)


def _decode_list_steps(text: str, start: int) -> DecodedSteps:
    items: list[Any] = []
    if text.startswith("]", start):
        return items, start + 1
    while True:
        item, start = _read(text, start)
        items.append(item)
        if _ends(text, start, "]"):
            return items, start + 1
        start += 1
        if len(items) % MAX_ITEMS_DECODED_PER_STEP == 0:
            yield


def _decode_object_steps(text: str, start: int, depth: int) -> DecodedSteps:
    members: dict[str, Any] = {}
    if text.startswith("}", start):
        return members, start + 1
    while True:
        key, start = _read(text, start)
        if not text.startswith(":", start):
            raise ValueError(f"no value at {start}")
        if text.startswith(("[", "{"), start + 1):
            members[key], start = yield from _decode_steps(text, start + 1, depth)
        else:
            members[key], start = _read(text, start + 1)
        if _ends(text, start, "}"):
            return members, start + 1
        start += 1
        if len(members) % MAX_ITEMS_DECODED_PER_STEP == 0:
            yield


def _ends(text: str, position: int, end: str) -> bool:
    """Whether a list or an object ends there; raises ValueError if it does not go on either."""
    if text.startswith(end, position):
        return True
    if not text.startswith(",", position):
        raise ValueError(f"neither end nor comma at {position}")
    return False


class Compaction:
    """The snapshot of a state as it was after the entry at `index`."""

    def __init__(self, index: int, steps: Iterator[bytes]):
        self.index = index
        self._steps = steps
        self._encoded: list[bytes] = []

    def advance(self) -> bytes | None:
        """Encode some more; the whole once it is done."""
        size = 0
        for encoded in self._steps:
            self._encoded.append(encoded)
            size += len(encoded)
            if size >= MAX_BYTES_PER_STEP:
                return None
        return b"".join(self._encoded)
