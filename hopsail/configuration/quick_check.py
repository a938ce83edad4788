"""Quick type check that accepts lists without nested objects; others need the full check. No I/O.

It is called for each item of a configuration, hence its loops are explicit and not generators.
"""

from collections.abc import Callable
from types import NoneType
from typing import Any

from hopsail.configuration.fields import ROUTE_FIELDS, SERVICE_FIELDS, TENANT_FIELDS, Field

NOT_NESTED = frozenset({NoneType})

Accepted = tuple[tuple[str, frozenset[type]], ...]


def _accepted(fields: tuple[Field, ...]) -> Accepted:
    """Return the types that each field of an item may have, including that of a missing one."""
    return tuple(
        (name, accepted if required else accepted | NOT_NESTED) for name, accepted, required in fields
    )


def _without_nested(accepted: Accepted, nested: str) -> Accepted:
    return tuple((name, NOT_NESTED if name == nested else types) for name, types in accepted)


ROUTE_TYPES = _without_nested(_accepted(ROUTE_FIELDS), "TrafficSplit")
SERVICE_TYPES = _without_nested(_accepted(SERVICE_FIELDS), "Runtime")
TENANT_TYPES = _accepted(TENANT_FIELDS)


def have_flat_types(field: str, items: list[Any]) -> bool:
    """Whether all items of a list have the right types and no nested objects; False is no fault yet."""
    return all(map(_IS_FLAT[field], items))


def _has_types(item: object, types: Accepted) -> bool:
    if type(item) is not dict:
        return False
    get = item.get
    for name, accepted in types:  # noqa: SIM110 - a generator is slower, see above
        if type(get(name)) not in accepted:
            return False
    return True


def _is_flat_route(route: object) -> bool:
    return _has_types(route, ROUTE_TYPES)


def _is_flat_service(service: object) -> bool:
    return _has_types(service, SERVICE_TYPES)


def _is_flat_tenant(tenant: object) -> bool:
    if type(tenant) is not dict or not _has_types(tenant, TENANT_TYPES):
        return False
    for key in tenant["ApiKeys"]:  # noqa: SIM110 - as above
        if type(key) is not str:
            return False
    return True


_IS_FLAT: dict[str, Callable[[object], bool]] = {
    "Routes": _is_flat_route,
    "Services": _is_flat_service,
    "Tenants": _is_flat_tenant,
}
