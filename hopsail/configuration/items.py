"""A configuration split into keyed items, so that a change of one route costs one route. No I/O.

Each item is compact JSON. Those of lists are `[order, item]`: the list is their order by that number.
"""

import json
from collections.abc import Iterator, Mapping, Sequence
from operator import itemgetter
from types import MappingProxyType
from typing import Any, cast

from hopsail.configuration.changes import ConfigurationChanges, ListChanges
from hopsail.configuration.types import Configuration

ORDER_STEP = 1024
"""Distance of the order numbers of neighbours, which leaves room for items put between them."""

KIND_OF_FIELD = {"Routes": "route", "Services": "service", "Tenants": "tenant"}
FIELD_OF_KIND = {kind: field for field, kind in KIND_OF_FIELD.items()}
FIELD_OF_SINGLE = {"revision": "Revision", "limits": "Limits"}
SINGLE_OF_FIELD = {field: key for key, field in FIELD_OF_SINGLE.items()}
EXTRA_KIND = "extra"

_encode = json.JSONEncoder(separators=(",", ":")).encode
_encode_sorted = json.JSONEncoder(separators=(",", ":"), sort_keys=True).encode


class ItemSplitter:
    """Splits successive configurations; items that stay the same objects are not encoded again.

    Configurations passed in must not be changed.
    """

    def __init__(self, items: Mapping[str, bytes] | None = None) -> None:
        """Create a splitter; `items` are those of the configuration before the first one."""
        self._items = dict(items or {})
        self._sources: dict[str, Any] = {}
        self._last_orders: dict[str, int] = {}  # by kind, the highest assigned

    @property
    def items(self) -> Mapping[str, bytes]:
        """The items of the last configuration."""
        return MappingProxyType(self._items)

    def changed_items(self, changes: ConfigurationChanges) -> dict[str, bytes | None]:
        """Return the items that changes of the last configuration change, None for removed ones.

        The state stays as it is until `fold`. The items are no more than `changes` names.
        """
        changed: dict[str, bytes | None] = {}
        for field, value in changes.fields.items():
            changed[_single_key(field)] = _encode(value).encode()
        for field, list_changes in changes.lists.items():
            changed |= self._changed_list(KIND_OF_FIELD[field], list_changes)
            changed[_single_key(field)] = None if list_changes.all_items else b"[]"
        return {key: value for key, value in changed.items() if value != self._items.get(key)}

    def fold(self, changes: ConfigurationChanges, changed: Mapping[str, bytes | None]) -> None:
        """Apply what `changed_items` returned for these changes."""
        for key, value in changed.items():
            if value is None:
                self._items.pop(key, None)
                self._sources.pop(key, None)
            else:
                self._items[key] = value
                self._sources.pop(key, None)
        for field, list_changes in changes.lists.items():
            self._fold_list(KIND_OF_FIELD[field], list_changes)

    def split(self, configuration: Configuration) -> dict[str, bytes]:
        """Return the items of a checked configuration; they keep their bytes when others change or move."""
        for _ in self.iter_split(configuration, 1 << 30):
            pass
        return dict(self._items)

    def iter_split(self, configuration: Configuration, size: int) -> Iterator[None]:
        """Split, yielding after about `size` items; `items` are the new ones at the end."""
        items: dict[str, bytes] = {}
        sources: dict[str, Any] = {}
        self._last_orders = {}
        for field, value in configuration.items():
            kind = KIND_OF_FIELD.get(field)
            if kind is not None and isinstance(value, list) and value:
                yield from self._split_list(kind, value, items, sources, size)
            else:
                items[_single_key(field)] = _encode(value).encode()
        self._items = items
        self._sources = sources

    def _split_list(
        self, kind: str, values: Sequence[Any], items: dict[str, bytes], sources: dict[str, Any], size: int
    ) -> Iterator[None]:
        is_long = len(values) > size
        keys = [f"{kind}/{value['Name']}" for value in values]
        if is_long:
            yield
        known = [_order_in(self._items.get(key)) for key in keys]
        if is_long:
            yield
        orders = _orders(known)
        if is_long:
            yield
        for position, (key, value, known_order, order) in enumerate(
            zip(keys, values, known, orders, strict=True), 1
        ):
            sources[key] = value
            if order == known_order and self._sources.get(key) is value:
                items[key] = self._items[key]
            else:
                items[key] = f"[{order},{_encode(value)}]".encode()
            if position % size == 0:
                yield
        self._last_orders[kind] = orders[-1]

    def _changed_list(self, kind: str, changes: ListChanges) -> dict[str, bytes | None]:
        changed: dict[str, bytes | None] = {}
        last = self._last_order(kind, changes)
        for name, item in changes.items.items():
            key = f"{kind}/{name}"
            order = _order_in(self._items.get(key))
            if item is None:
                changed[key] = None
                continue
            if order is None or name in changes.appended:
                last += ORDER_STEP
                order = last
            changed[key] = f"[{order},{_encode(item)}]".encode()
        return changed

    def _fold_list(self, kind: str, changes: ListChanges) -> None:
        for name in changes.items:
            order = _order_in(self._items.get(f"{kind}/{name}"))
            if order is not None and order > self._last_orders.get(kind, order):
                self._last_orders[kind] = order

    def _last_order(self, kind: str, changes: ListChanges) -> int:
        """Return the highest order number that was assigned."""
        last = self._last_orders.get(kind)
        if last is None:
            orders = [_order_of(value) for key, value in self._items.items() if key.startswith(kind + "/")]
            last = self._last_orders[kind] = max(orders, default=-ORDER_STEP)
        return last


class ItemJoiner:
    """Joins items to configurations as they change; only items that changed are parsed."""

    def __init__(self) -> None:
        """Create a joiner without items."""
        self._values: dict[str, Any] = {}

    def fold(self, changes: Mapping[str, bytes | None]) -> None:
        """Apply changed items; None stands for a removed one."""
        present = {key: value for key, value in changes.items() if value is not None}
        parsed = json.loads(b"[" + b",".join(present.values()) + b"]")
        self._values.update(zip(present, parsed, strict=True))
        for key, value in changes.items():
            if value is None:
                self._values.pop(key, None)

    def configuration(self) -> Configuration:
        """Return the configuration of all items; it shares its content with later ones."""
        content: dict[str, Any] = {}
        lists: dict[str, list[Any]] = {}
        for key, value in self._values.items():
            kind, _, name = key.partition("/")
            if kind in FIELD_OF_KIND:
                lists.setdefault(FIELD_OF_KIND[kind], []).append(value)
            elif kind == EXTRA_KIND:
                content[name] = value
            else:
                content[FIELD_OF_SINGLE[kind]] = value
        for field, numbered in lists.items():
            numbered.sort(key=itemgetter(0))
            content[field] = [item for _, item in numbered]
        return cast(Configuration, content)


def split_items(
    configuration: Configuration, previous: Mapping[str, bytes] | None = None
) -> dict[str, bytes]:
    """Return the items of a checked configuration by key, such as `route/NAME` or `revision`.

    With the items of the `previous` one, unchanged items keep their bytes when others change or move.
    """
    return ItemSplitter(previous).split(configuration)


def join_items(items: Mapping[str, bytes]) -> Configuration:
    """Return the configuration that was split into these items."""
    joiner = ItemJoiner()
    joiner.fold(items)
    return joiner.configuration()


def canonical(configuration: Configuration) -> bytes:
    """Return the same bytes for equal configurations, whatever the order of their fields."""
    return _encode_sorted(configuration).encode()


def _single_key(field: str) -> str:
    """Return the key of a field that is no list of items."""
    return SINGLE_OF_FIELD.get(field, f"{EXTRA_KIND}/{field}")


def _order_in(value: bytes | None) -> int | None:
    """Return the order number of a list's item, None without an item."""
    return None if value is None else _order_of(value)


def _order_of(value: bytes) -> int:
    """Return the order number in the bytes of a list's item."""
    return int(value[1 : value.index(b",")])


def _orders(known: list[int | None]) -> list[int]:
    """Return rising order numbers of a list; the `known` ones stay wherever they still rise."""
    following = _following_orders(known)
    orders: list[int] = []
    last = -ORDER_STEP
    for order, next_order in zip(known, following, strict=True):
        last = _next_order(last, order, next_order)
        orders.append(last)
    return orders


def _following_orders(known: list[int | None]) -> list[int | None]:
    """Return, for each position, the nearest known order number after it."""
    following: list[int | None] = []
    nearest: int | None = None
    for order in reversed(known):
        following.append(nearest)
        if order is not None:
            nearest = order
    following.reverse()
    return following


def _next_order(last: int, order: int | None, next_order: int | None) -> int:
    if order is not None and order > last and (next_order is None or next_order > order):
        return order
    if next_order is None or next_order <= last:
        return last + ORDER_STEP
    if next_order - last > 1:
        return last + (next_order - last) // 2
    return last + 1
