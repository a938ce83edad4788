"""A checked configuration with indexes, so that a patch costs its own items and not the whole. No I/O."""

from collections.abc import Generator, Iterable, Mapping
from itertools import chain
from typing import Any, NamedTuple

from hopsail.configuration.changes import ConfigurationChanges, ListChanges
from hopsail.configuration.checker import (
    NAMED_LISTS,
    STEP_ITEMS,
    patched_field,
    place_of,
    raising_first,
    result_of,
    revision_faults,
    route_list_faults,
    shared_key_faults,
    without_names,
)
from hopsail.configuration.types import Configuration, Patch, Route

MOST_CHANGES = 20_000
"""Names whose changes are remembered for each list; beyond, only that the whole has changed."""


class _ListPatch(NamedTuple):
    """What a patch does to one list of named items."""

    upserted: dict[str, Any]
    """By name, without those that the patch removes again."""
    removed: frozenset[str]
    """Also names that are not in the list."""


class _PatchedNames:
    """The names in a list after a patch."""

    def __init__(self, held: Mapping[str, Any], patch: _ListPatch) -> None:
        self._held, self._patch = held, patch

    def __contains__(self, name: str) -> bool:
        if name in self._patch.upserted:
            return True
        return name in self._held and name not in self._patch.removed


class ConfigurationIndex:
    """A configuration that patches change in place, after a check that costs no more than they do.

    The check gives the verdicts of `checker.check_configuration` on the whole."""

    def __init__(self, configuration: Configuration) -> None:
        """Takes a checked configuration; its items must not be changed afterwards."""
        result_of(self._taking(configuration))

    @classmethod
    def building(cls, configuration: Configuration) -> Generator[None, None, "ConfigurationIndex"]:
        """The index of a checked configuration, made in steps."""
        index = cls.__new__(cls)
        yield from index._taking(configuration)
        return index

    def _taking(self, configuration: Configuration) -> Generator[None, None, None]:
        self._content: dict[str, Any] = dict(configuration)  # lists of named items as maps by name
        self._routes_by_place: dict[tuple[str, str], str] = {}
        self._routes_by_service: dict[str, set[str]] = {}
        self._tenants_by_key: dict[str, str] = {}
        self._whole: Configuration | None = configuration
        self._changed: dict[str, dict[str, bool]] | None = None  # field -> name -> whether appended
        for field in NAMED_LISTS:
            if type(self._content.get(field)) is list:
                self._content[field] = yield from self._indexing(field, self._content[field])

    def _indexing(self, field: str, items: list[Any]) -> Generator[None, None, dict[str, Any]]:
        """The items of a list by name; they are added to the indexes."""
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
        return self._content["Revision"]

    @property
    def configuration(self) -> Configuration:
        """The whole; made anew after a change, in time linear in the items. Not to be changed."""
        if self._whole is None:
            self._whole = {field: self._plain(field, value) for field, value in self._content.items()}
        return self._whole

    def check_patch(self, patch: Patch) -> None:
        """Raise ConfigurationError if a parsed patch would make the configuration invalid."""
        result_of(self.checking_patch(patch))

    def checking_patch(self, patch: Patch) -> Generator[None, None, None]:
        """`check_patch` in steps; the configuration must not change between them."""
        services = _list_patch(patch, "Services")
        service_names = _PatchedNames(self._held("Services"), services)
        yield from raising_first(
            chain(
                revision_faults(patch, self.revision),
                route_list_faults(self._suspect_routes(patch, services), service_names),
                shared_key_faults(self._suspect_tenants(patch)),
            )
        )

    def added_content(self, patch: Patch) -> dict[str, Any]:
        """What a patch puts into the configuration, without what it removes again."""
        added: dict[str, Any] = {}
        for field, value in (patch.get("Upsert") or {}).items():
            if value is None or field == "Revision":
                continue
            if field in NAMED_LISTS:
                added[field] = list(_list_patch(patch, field).upserted.values())
            else:
                merged = patched_field(self._content.get(field), value)
                added[field] = without_names(merged, (patch.get("Remove") or {}).get(field))
        return added

    def apply_patch(self, patch: Patch) -> None:
        """Carries a checked patch out, as `checker.apply_patch` does."""
        self._whole = None
        for field, value in (patch.get("Upsert") or {}).items():
            if value is None:
                continue
            if field in NAMED_LISTS:
                if type(self._content.get(field)) is not dict:
                    self._content[field] = {}
            else:
                self._content[field] = patched_field(self._content.get(field), value)
        for field, names in (patch.get("Remove") or {}).items():
            if field not in NAMED_LISTS and field in self._content:
                self._content[field] = without_names(self._content[field], names)
        for field in NAMED_LISTS:
            self._change_list(field, _list_patch(patch, field))
        self._content["Revision"] = patch["Revision"]

    @property
    def changes(self) -> ConfigurationChanges | None:
        """What has changed since `changes_taken`; None if that is not known: all may have."""
        if self._changed is None:
            return None
        fields = {
            field: value
            for field, value in self._content.items()
            if field not in NAMED_LISTS or type(value) is not dict
        }
        lists: dict[str, ListChanges] = {}
        for field in NAMED_LISTS:
            held, names = self._content.get(field), self._changed.get(field, {})
            if type(held) is not dict:
                continue
            appended = frozenset(name for name, is_appended in names.items() if is_appended)
            lists[field] = ListChanges({name: held.get(name) for name in names}, appended, held)
        return ConfigurationChanges(fields, lists)

    def changes_taken(self) -> None:
        """The changes so far are known to whoever asks for them."""
        self._changed = {}

    def _held(self, field: str) -> dict[str, Any]:
        held = self._content.get(field)
        return held if type(held) is dict else {}

    def _plain(self, field: str, value: Any) -> Any:
        return list(value.values()) if field in NAMED_LISTS and type(value) is dict else value

    # Items that a patch could make invalid: those it brings, and those that collide with it.

    def _suspect_routes(self, patch: Patch, services: _ListPatch) -> list[Route]:
        routes = _list_patch(patch, "Routes")
        suspects = set(routes.upserted)
        for route in routes.upserted.values():
            holder = self._routes_by_place.get(place_of(route))
            if holder is not None:
                suspects.add(holder)
        for service in services.removed:
            suspects |= self._routes_by_service.get(service, frozenset())
        return self._in_order("Routes", routes, suspects)

    def _suspect_tenants(self, patch: Patch) -> list[Any]:
        tenants = _list_patch(patch, "Tenants")
        suspects = set(tenants.upserted)
        for tenant in tenants.upserted.values():
            for key in tenant["ApiKeys"]:
                holder = self._tenants_by_key.get(key)
                if holder is not None:
                    suspects.add(holder)
        return self._in_order("Tenants", tenants, suspects)

    def _in_order(self, field: str, patch: _ListPatch, names: set[str]) -> list[Any]:
        """The items of these names after the patch, in the order of the list."""
        held, upserted = self._held(field), patch.upserted
        if len(names) > 1:
            ordered = [name for name in held if name in names]
            ordered += [name for name in upserted if name not in held]
        else:
            ordered = list(names)
        return [
            upserted[name] if name in upserted else held[name]
            for name in ordered
            if name in upserted or name not in patch.removed
        ]

    # Changes in place.

    def _change_list(self, field: str, patch: _ListPatch) -> None:
        held = self._held(field)
        gone = [name for name in patch.removed if name in held]
        for name in chain(gone, patch.upserted):
            if name in held:
                self._drop_from_indexes(field, held[name])
        for name in gone:
            del held[name]
            self._note(field, name, False)
        for name, item in patch.upserted.items():
            self._note(field, name, name not in held)
            held[name] = item
            self._add_to_indexes(field, item)

    def _note(self, field: str, name: str, appended: bool) -> None:
        """Remembers a change; appended names are remembered in the order of the list."""
        if self._changed is None:
            return
        names = self._changed.setdefault(field, {})
        if appended:
            names.pop(name, None)
        names[name] = appended or names.get(name, False)
        if len(names) > MOST_CHANGES:
            self._changed = None

    def _add_to_indexes(self, field: str, item: Any) -> None:
        if field == "Routes":
            self._add_route(item)
        elif field == "Tenants":
            self._add_tenant(item)

    def _drop_from_indexes(self, field: str, item: Any) -> None:
        if field == "Routes":
            del self._routes_by_place[place_of(item)]
            for service in _services_of(item):
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
        self._routes_by_place[place_of(route)] = route["Name"]
        for service in _services_of(route):
            self._routes_by_service.setdefault(service, set()).add(route["Name"])

    def _add_tenant(self, tenant: Any) -> None:
        for key in tenant["ApiKeys"]:
            self._tenants_by_key[key] = tenant["Name"]


def _list_patch(patch: Patch, field: str) -> _ListPatch:
    upserted: Iterable[Any] = (patch.get("Upsert") or {}).get(field) or ()
    removed = frozenset((patch.get("Remove") or {}).get(field) or ())
    return _ListPatch({item["Name"]: item for item in upserted if item["Name"] not in removed}, removed)


def _services_of(route: Route) -> set[str]:
    services = {split["Service"] for split in route.get("TrafficSplit") or ()}
    if route.get("Service"):
        services.add(route["Service"])
    return services
