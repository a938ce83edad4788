"""Types of the fields of a configuration's items, and the check of one object against them. No I/O."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from hopsail.configuration.codes import ConfigurationError, ResultCode

TEXT = frozenset({str})
NUMBER = frozenset({int, float})
INTEGER = frozenset({int})
FLAG = frozenset({bool})
LIST = frozenset({list})
OBJECT = frozenset({dict})


class Field(NamedTuple):
    """A known field: its name, the accepted JSON types, and whether an item must have it."""

    name: str
    accepted: frozenset[type]
    required: bool = False


ROUTE_FIELDS = (
    Field("Name", TEXT, True),
    Field("Hostname", TEXT, True),
    Field("PathPrefix", TEXT, True),
    Field("RouteKind", TEXT, True),
    Field("DeadlineMs", NUMBER, True),
    Field("TargetMs", NUMBER),
    Field("Priority", NUMBER),
    Field("Service", TEXT),
    Field("TrafficSplit", LIST),
    Field("MaxTries", NUMBER),
    Field("Public", FLAG),
    Field("Affine", FLAG),
    Field("Resumable", FLAG),
    Field("gap_aim_ms", NUMBER),
)
SPLIT_FIELDS = (Field("Service", TEXT, True), Field("Share", NUMBER, True))
SERVICE_FIELDS = (
    Field("Name", TEXT, True),
    Field("HealthPath", TEXT),
    Field("MaxConns", NUMBER),
    Field("Runtime", OBJECT),
    Field("StoreAddr", TEXT),
    Field("Zone", TEXT),
    Field("CacheTokens", NUMBER),
    Field("LinkMbps", NUMBER),
    Field("MaxInflight", NUMBER),
)
RUNTIME_FIELDS = (
    Field("Capacity", NUMBER),
    Field("CacheTokens", NUMBER),
    Field("TokenBytes", NUMBER),
    Field("LinkMbps", NUMBER),
    Field("MaxInflight", NUMBER),
    Field("Models", LIST),
)
MODEL_FIELDS = (Field("Name", TEXT, True),)
TENANT_FIELDS = (
    Field("Name", TEXT, True),
    Field("ApiKeys", LIST, True),
    Field("Priority", NUMBER),
    Field("Isolated", FLAG),
)
LIMITS_FIELDS = (
    Field("MaxHeaderBytes", NUMBER),
    Field("MaxBodyBytes", NUMBER),
    Field("HeaderWaitMs", NUMBER),
    Field("IdleTimeoutMs", NUMBER),
)

Faults = Iterator[ConfigurationError]

JsonObject = Mapping[str, Any]
"""An object as parsed from JSON, whose fields may have any type."""


def field_faults(content: JsonObject, fields: tuple[Field, ...], prefix: str) -> Faults:
    """Yield the faults of the known fields of one object; `prefix` stands before a field's name.

    An optional field that is null counts as missing.
    """
    for name, accepted, required in fields:
        value = content.get(name)
        if type(value) in accepted:
            continue
        if value is not None:
            yield ConfigurationError(ResultCode.WRONG_TYPE, prefix + name)
        elif required:
            yield ConfigurationError(ResultCode.FIELD_MISSING, prefix + name)


def item_label(field: str, index: int, item: object) -> str:
    """Return how a fault names an item of a list: by its name or, without one, by its index."""
    name = item.get("Name") if type(item) is dict else None
    return f"{field}[{name if type(name) is str else index}]"


def object_faults(values: list[Any], fields: tuple[Field, ...], label: str) -> Faults:
    """Yield the faults of a list of objects without regard to names, such as the weights of a route."""
    for index, value in enumerate(values):
        if type(value) is dict:
            yield from field_faults(value, fields, f"{label}[{index}].")
        else:
            yield ConfigurationError(ResultCode.WRONG_TYPE, f"{label}[{index}]")


def text_faults(values: list[Any], label: str) -> Faults:
    """Yield the faults of a list that should contain text only."""
    for index, value in enumerate(values):
        if type(value) is not str:
            yield ConfigurationError(ResultCode.WRONG_TYPE, f"{label}[{index}]")


def route_faults(route: JsonObject, label: str) -> Faults:
    """Yield the faults of the types in one route."""
    yield from field_faults(route, ROUTE_FIELDS, label + ".")
    splits = route.get("TrafficSplit")
    if type(splits) is list:
        yield from object_faults(splits, SPLIT_FIELDS, label + ".TrafficSplit")


def service_faults(service: JsonObject, label: str) -> Faults:
    """Yield the faults of the types in one service."""
    yield from field_faults(service, SERVICE_FIELDS, label + ".")
    runtime = service.get("Runtime")
    if type(runtime) is not dict:
        return
    yield from field_faults(runtime, RUNTIME_FIELDS, label + ".Runtime.")
    models = runtime.get("Models")
    if type(models) is list:
        yield from object_faults(models, MODEL_FIELDS, label + ".Runtime.Models")


def tenant_faults(tenant: JsonObject, label: str) -> Faults:
    """Yield the faults of the types in one tenant."""
    yield from field_faults(tenant, TENANT_FIELDS, label + ".")
    keys = tenant.get("ApiKeys")
    if type(keys) is list:
        yield from text_faults(keys, label + ".ApiKeys")


ITEM_FAULTS = {"Routes": route_faults, "Services": service_faults, "Tenants": tenant_faults}
"""The check of one item, by the field of its list."""


def list_faults(field: str, items: list[Any], label: str, first: int = 0) -> Faults:
    """Faults of the types in a list of named items; `label` stands for the list in the item's name.

    `first` is the index of the first item, where these are a part of a list."""
    faults_of = ITEM_FAULTS[field]
    for index, item in enumerate(items, first):
        item_name = item_label(label, index, item)
        if type(item) is dict:
            yield from faults_of(item, item_name)
        else:
            yield ConfigurationError(ResultCode.WRONG_TYPE, item_name)
