"""The newest of the configurations that several feeds replicate item by item. No I/O."""

import json
from collections.abc import Callable, Iterable, Mapping
from operator import itemgetter
from typing import Any

from hopsail.configuration.changes import TableChanges
from hopsail.configuration.items import FIELD_OF_KIND, KIND_OF_FIELD
from hopsail.configuration.route_table import RouteTable
from hopsail.configuration.types import Configuration, Limits, Service
from hopsail.errors import HopsailError

REVISION, LIMITS = "revision", "limits"
SINGLE_KEYS = frozenset({REVISION, LIMITS})
ROUTE, SERVICE, TENANT = (KIND_OF_FIELD[field] for field in ("Routes", "Services", "Tenants"))
EMPTY_CONFIGURATION: Configuration = {"Revision": -1, "Routes": [], "Services": []}


class ItemError(HopsailError, ValueError):
    """A feed's item of a list has no order number."""


class ReplicatedConfiguration:
    """One table for all feeds, and for each feed the keys in which it may differ from the table.

    So a change costs its own items, whichever feed sends it first, and each item is parsed once. An older
    configuration than that of the table is never applied; one of a higher revision is applied completely or
    not at all. Route and tenant items that differ only in their order number are the same to a table.
    """

    def __init__(self) -> None:
        """Create a configuration without feeds and without a table."""
        self.table: RouteTable | None = None
        self._items: dict[str, bytes] = {}  # of the table
        self._services: dict[str, tuple[int, Service]] = {}  # of the table, with order numbers
        self._differing: dict[str, set[str]] = {}  # feed -> keys

    def apply(
        self,
        source: str,
        changes: Iterable[tuple[str, bytes | None]],
        value_of: Callable[[str], bytes | None],
    ) -> bool:
        """Apply one batch of a feed; `value_of` returns the feed's items after the batch.

        Returns whether there is a new table.

        Raises:
            ValueError: the feed's configuration can't be parsed.
        """
        differing = self._differing.get(source)
        if differing is None:
            differing = self._differing[source] = set(self._items)
        for key, value in changes:
            if not _is_known(key):
                continue
            if _is_same(key, value, self._items.get(key)):
                differing.discard(key)
            else:
                differing.add(key)
        revision = value_of(REVISION)
        if revision is None or (self.table is not None and int(revision) <= self.table.revision):
            return False
        self._apply_items({key: value_of(key) for key in differing})
        for keys in self._differing.values():
            if keys is not differing:
                keys |= differing
        differing.clear()
        return True

    def forget(self, source: str) -> None:
        """Drop the state of a feed."""
        self._differing.pop(source, None)

    def _apply_items(self, changes: Mapping[str, bytes | None]) -> None:
        present = {key: value for key, value in changes.items() if value is not None}
        parsed = json.loads(b"[" + b",".join(present.values()) + b"]")
        values: dict[str, Any] = dict.fromkeys(changes)
        values.update(zip(present, parsed, strict=True))
        by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in FIELD_OF_KIND}
        for key, value in values.items():
            if key not in SINGLE_KEYS:
                kind, _, name = key.partition("/")
                by_kind[kind][name] = value
        self._replace_table(values, by_kind)
        self._items |= present
        for key in changes.keys() - present.keys():
            self._items.pop(key, None)

    def _replace_table(self, values: Mapping[str, Any], by_kind: Mapping[str, Mapping[str, Any]]) -> None:
        table = self.table or RouteTable(EMPTY_CONFIGURATION)
        services = self._changed_services(by_kind[SERVICE])
        limits: Limits = (values[LIMITS] or Limits()) if LIMITS in values else table.limits
        in_order = [service for _, service in sorted(services.values(), key=itemgetter(0))]
        self.table = table.with_changes(
            TableChanges(
                values[REVISION],
                limits,
                _without_order(by_kind[ROUTE]),
                _without_order(by_kind[TENANT]),
                in_order if by_kind[SERVICE] else None,
            )
        )
        self._services = services

    def _changed_services(self, changes: Mapping[str, Any]) -> dict[str, tuple[int, Service]]:
        if not changes:
            return self._services
        services = dict(self._services)
        for name, value in changes.items():
            if value is None:
                services.pop(name, None)
            else:
                services[name] = _numbered(value)
        return services


def _is_known(key: str) -> bool:
    """Whether a table has a use for the item."""
    return key in SINGLE_KEYS or key.partition("/")[0] in FIELD_OF_KIND


def _is_same(key: str, value: bytes | None, other: bytes | None) -> bool:
    if value == other:
        return True
    if value is None or other is None or not key.startswith((ROUTE + "/", TENANT + "/")):
        return False
    return value.partition(b",")[2] == other.partition(b",")[2]


def _numbered(value: object) -> tuple[int, Any]:
    """Return order number and content of a list's item; raises ItemError when it has another form."""
    if type(value) is not list or len(value) != 2 or type(value[0]) is not int or type(value[1]) is not dict:
        raise ItemError("not an item with its order number")
    return value[0], value[1]


def _without_order(items: Mapping[str, Any]) -> dict[str, Any]:
    return {name: None if value is None else _numbered(value)[1] for name, value in items.items()}
