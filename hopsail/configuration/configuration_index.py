"""A checked configuration with indexes, so that a patch costs its own items and not all. No I/O."""

from collections.abc import Generator, Iterable, Mapping
from itertools import chain
from typing import Any, Literal, NamedTuple, cast

from hopsail.configuration.changes import ConfigurationChanges, ListChanges
from hopsail.configuration.checker import (
    NAMED_LISTS,
    STEP_ITEMS,
    location_of,
    patched_field,
    raise_first_steps,
    revision_faults,
    route_list_faults,
    run_steps,
    shared_key_faults,
    without_names,
)
from hopsail.configuration.types import Configuration, Patch, Route, Tenant

MAX_CHANGES = 20_000
"""Changes recorded for each list; beyond, the configuration counts as changed completely."""


class _ListPatch(NamedTuple):
    """What a patch does to one list of named items."""

    upserted: dict[str, Any]
    """By name, without those that the patch removes again."""
    removed: frozenset[str]
    """Also names that are not in the list."""


class _PatchedNames:
    """The names in a list after a patch."""

    def __init__(self, items: Mapping[str, Any], patch: _ListPatch) -> None:
        self._items, self._patch = items, patch

    def __contains__(self, name: object) -> bool:
        if name in self._patch.upserted:
            return True
        return name in self._items and name not in self._patch.removed


class ConfigurationIndex:
    """A configuration that patches change in place, after a check that costs no more than they do.

    The check has the result of `checker.check_configuration` on the complete configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Index a checked configuration; its items must not be changed afterwards."""
        run_steps(self._load_steps(configuration))

    @classmethod
    def build_steps(cls, configuration: Configuration) -> Generator[None, None, "ConfigurationIndex"]:
        """Build the index of a checked configuration in steps."""
        index = cls.__new__(cls)
        yield from index._load_steps(configuration)
        return index

    def _load_steps(self, configuration: Configuration) -> Generator[None, None, None]:
        self._content: dict[str, Any] = dict(configuration)  # lists of named items as maps by name
        self._routes_by_location: dict[tuple[str, str], str] = {}
        self._routes_by_service: dict[str, set[str]] = {}
        self._tenants_by_key: dict[str, str] = {}
        self._complete: Configuration | None = configuration
        self._changed: dict[str, dict[str, bool]] | None = None  # field -> name -> whether appended
        for field in NAMED_LISTS:
            if type(self._content.get(field)) is list:
                self._content[field] = yield from self._index_steps(field, self._content[field])

    def _index_steps(self, field: str, items: list[Any]) -> Generator[None, None, dict[str, Any]]:
        """Return the items of a list by name, after adding them to the indexes."""
        by_name: dict[str, Any] = {}
        for number, item in enumerate(items, 1):
            by_name[item["Name"]] = item
            self._add_to_indexes(field, item)
            if number % STEP_ITEMS == 0:
                yield
        return by_name

    @property
    def revision(self) -> int:
        """The revision of the configuration."""
        revision: int = self._content["Revision"]
        return revision

    @property
    def configuration(self) -> Configuration:
        """The complete configuration, built anew after a change in linear time; not to be changed."""
        if self._complete is None:
            content = {field: self._as_listed(field, value) for field, value in self._content.items()}
            self._complete = cast(Configuration, content)
        return self._complete

    def check_patch(self, patch: Patch) -> None:
        """Check a parsed patch.

        Raises:
            ConfigurationError: the patch would make the configuration invalid.
        """
        run_steps(self.check_patch_steps(patch))

    def check_patch_steps(self, patch: Patch) -> Generator[None, None, None]:
        """`check_patch` in steps; the configuration must not change between them."""
        services = _list_patch(patch, "Services")
        service_names = _PatchedNames(self._items_of("Services"), services)
        yield from raise_first_steps(
            chain(
                revision_faults(patch, self.revision),
                route_list_faults(self._suspect_routes(patch, services), service_names),
                shared_key_faults(self._suspect_tenants(patch)),
            )
        )

    def added_content(self, patch: Patch) -> dict[str, Any]:
        """Return what a patch adds to the configuration, without what it removes again."""
        added: dict[str, Any] = {}
        for field, value in _section(patch, "Upsert").items():
            if value is None or field == "Revision":
                continue
            if field in NAMED_LISTS:
                added[field] = list(_list_patch(patch, field).upserted.values())
            else:
                merged = patched_field(self._content.get(field), value)
                added[field] = without_names(merged, _section(patch, "Remove").get(field))
        return added

    def apply_patch(self, patch: Patch) -> None:
        """Apply a checked patch in place, as `checker.apply_patch` does to a copy."""
        self._complete = None
        for field, value in _section(patch, "Upsert").items():
            if value is None:
                continue
            if field in NAMED_LISTS:
                if type(self._content.get(field)) is not dict:
                    self._content[field] = {}
            else:
                self._content[field] = patched_field(self._content.get(field), value)
        for field, names in _section(patch, "Remove").items():
            if field not in NAMED_LISTS and field in self._content:
                self._content[field] = without_names(self._content[field], names)
        for field in NAMED_LISTS:
            self._change_list(field, _list_patch(patch, field))
        self._content["Revision"] = patch["Revision"]

    @property
    def changes(self) -> ConfigurationChanges | None:
        """What has changed since `clear_changes`; None if that is not known, so that all may have."""
        if self._changed is None:
            return None
        fields = {
            field: value
            for field, value in self._content.items()
            if field not in NAMED_LISTS or type(value) is not dict
        }
        lists: dict[str, ListChanges] = {}
        for field in NAMED_LISTS:
            items, names = self._content.get(field), self._changed.get(field, {})
            if type(items) is not dict:
                continue
            appended = frozenset(name for name, is_appended in names.items() if is_appended)
            lists[field] = ListChanges({name: items.get(name) for name in names}, appended, items)
        return ConfigurationChanges(fields, lists)

    def clear_changes(self) -> None:
        """Forget the changes so far, which the caller has taken."""
        self._changed = {}

    def _items_of(self, field: str) -> dict[str, Any]:
        items = self._content.get(field)
        return items if type(items) is dict else {}

    def _as_listed(self, field: str, value: object) -> object:
        return list(value.values()) if field in NAMED_LISTS and isinstance(value, dict) else value

    # Items that a patch could make invalid: those it brings, and those that collide with it.

    def _suspect_routes(self, patch: Patch, services: _ListPatch) -> list[Route]:
        routes = _list_patch(patch, "Routes")
        suspects = set(routes.upserted)
        for route in routes.upserted.values():
            other = self._routes_by_location.get(location_of(route))
            if other is not None:
                suspects.add(other)
        for service in services.removed:
            suspects |= self._routes_by_service.get(service, frozenset())
        return self._in_order("Routes", routes, suspects)

    def _suspect_tenants(self, patch: Patch) -> list[Any]:
        tenants = _list_patch(patch, "Tenants")
        suspects = set(tenants.upserted)
        for tenant in tenants.upserted.values():
            for key in tenant["ApiKeys"]:
                other = self._tenants_by_key.get(key)
                if other is not None:
                    suspects.add(other)
        return self._in_order("Tenants", tenants, suspects)

    def _in_order(self, field: str, patch: _ListPatch, names: set[str]) -> list[Any]:
        """Return the items of these names after the patch, in the order of the list."""
        items, upserted = self._items_of(field), patch.upserted
        if len(names) > 1:
            ordered = [name for name in items if name in names]
            ordered += [name for name in upserted if name not in items]
        else:
            ordered = list(names)
        return [
            upserted[name] if name in upserted else items[name]
            for name in ordered
            if name in upserted or name not in patch.removed
        ]

    # Changes in place.

    def _change_list(self, field: str, patch: _ListPatch) -> None:
        items = self._items_of(field)
        removed = [name for name in patch.removed if name in items]
        for name in chain(removed, patch.upserted):
            if name in items:
                self._drop_from_indexes(field, items[name])
        for name in removed:
            del items[name]
            self._record_change(field, name, False)
        for name, item in patch.upserted.items():
            self._record_change(field, name, name not in items)
            items[name] = item
            self._add_to_indexes(field, item)

    def _record_change(self, field: str, name: str, appended: bool) -> None:
        """Record a change; appended names are recorded in the order of the list."""
        if self._changed is None:
            return
        names = self._changed.setdefault(field, {})
        if appended:
            names.pop(name, None)
        names[name] = appended or names.get(name, False)
        if len(names) > MAX_CHANGES:
            self._changed = None

    def _add_to_indexes(self, field: str, item: dict[str, Any]) -> None:
        if field == "Routes":
            self._add_route(cast(Route, item))
        elif field == "Tenants":
            self._add_tenant(cast(Tenant, item))

    def _drop_from_indexes(self, field: str, item: dict[str, Any]) -> None:
        if field == "Routes":
            route = cast(Route, item)
            del self._routes_by_location[location_of(route)]
            for service in _services_of(route):
                self._drop_use(service, item["Name"])
        elif field == "Tenants":
            for key in item["ApiKeys"]:
                self._tenants_by_key.pop(key, None)

    def _drop_use(self, service: str, route: str) -> None:
        users = self._routes_by_service.get(service, set())
        users.discard(route)
        if not users:
            self._routes_by_service.pop(service, None)

    def _add_route(self, route: Route) -> None:
        self._routes_by_location[location_of(route)] = route["Name"]
        for service in _services_of(route):
            self._routes_by_service.setdefault(service, set()).add(route["Name"])

    def _add_tenant(self, tenant: Tenant) -> None:
        for key in tenant["ApiKeys"]:
            self._tenants_by_key[key] = tenant["Name"]


def _section(patch: Patch, name: Literal["Upsert", "Remove"]) -> Mapping[str, Any]:
    section: Mapping[str, Any] = patch.get(name) or {}
    return section


def _list_patch(patch: Patch, field: str) -> _ListPatch:
    upserted: Iterable[Any] = _section(patch, "Upsert").get(field) or ()
    removed: frozenset[str] = frozenset(_section(patch, "Remove").get(field) or ())
    return _ListPatch({item["Name"]: item for item in upserted if item["Name"] not in removed}, removed)


def _services_of(route: Route) -> set[str]:
    services = {split["Service"] for split in route.get("TrafficSplit") or ()}
    if route.get("Service"):
        services.add(route["Service"])
    return services
