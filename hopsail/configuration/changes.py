"""Difference of two configurations, which incremental updates are made of. No I/O."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from hopsail.configuration.types import Limits, Route, Service, Tenant


class ListChanges(NamedTuple):
    """Changes of one list of named items."""

    items: dict[str, Any | None]
    """By name, those that are new or replaced, and None for those that are removed."""
    appended: frozenset[str]
    """Names of items that now stand at the end of the list, in the order of `items`."""
    all_items: Mapping[str, Any]
    """All items of the list by name, in its order; not to be changed."""


class ConfigurationChanges(NamedTuple):
    """All that has changed in a configuration since its changes were last cleared."""

    fields: dict[str, Any]
    """Values of all fields but the lists of routes, services and tenants."""
    lists: dict[str, ListChanges]
    """By field, such as `Routes`, for each list that is there, changed or not."""


class TableChanges(NamedTuple):
    """Changes of a route table; None stands for a removed item."""

    revision: int
    limits: Limits
    routes: Mapping[str, Route | None]
    tenants: Mapping[str, Tenant | None]
    services: Sequence[Service] | None
    """All services in their order, None while no service changes."""


def table_changes(changes: ConfigurationChanges) -> TableChanges:
    """Return the changes of a route table that follow from those of the configuration."""
    lists = changes.lists
    limits: Limits = changes.fields.get("Limits") or Limits()
    services = lists.get("Services")
    return TableChanges(
        changes.fields["Revision"],
        limits,
        lists["Routes"].items if "Routes" in lists else {},
        lists["Tenants"].items if "Tenants" in lists else {},
        list(services.all_items.values()) if services is not None and services.items else None,
    )
