"""A large immutable map with cheap changed copies. No I/O."""

from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar

SHARD_COUNT = 512  # a power of two
SHARD_MASK = SHARD_COUNT - 1

Value = TypeVar("Value")


class ShardedMap(Generic[Value]):
    """An immutable map of text keys, split into shards by hash; a changed copy shares all other shards."""

    __slots__ = ("_shards",)

    def __init__(self, items: Iterable[tuple[str, Value]] = ()) -> None:
        """Create a map of these items."""
        self._shards: list[dict[str, Value]] = [{} for _ in range(SHARD_COUNT)]
        for key, value in items:
            self._shards[hash(key) & SHARD_MASK][key] = value

    def __bool__(self) -> bool:
        """Whether the map has any items."""
        return any(self._shards)

    def get(self, key: str) -> Value | None:
        """Return the value of a key, None if there is none."""
        return self._shards[hash(key) & SHARD_MASK].get(key)

    def with_changes(self, changes: Mapping[str, Value | None]) -> "ShardedMap[Value]":
        """Return a copy with changed values; None stands for a removed one."""
        copied: set[int] = set()
        result: ShardedMap[Value] = ShardedMap.__new__(ShardedMap)
        result._shards = shards = list(self._shards)
        for key, value in changes.items():
            number = hash(key) & SHARD_MASK
            if number not in copied:
                copied.add(number)
                shards[number] = dict(shards[number])
            if value is None:
                shards[number].pop(key, None)
            else:
                shards[number][key] = value
        return result
