"""Parser and checks of configurations and patches. No I/O.

Strict where the interface says what is invalid, lenient elsewhere. All passes are linear in the items. The
functions named `…_steps` are generators that yield between slices of a large input, so that the caller can
do other work meanwhile.
"""

import json
from collections.abc import Container, Generator, Iterable, Iterator
from itertools import chain
from typing import Any, TypeGuard, TypeVar, cast

from hopsail.configuration.codes import ConfigurationError, ResultCode
from hopsail.configuration.fields import (
    INTEGER,
    LIMITS_FIELDS,
    LIST,
    OBJECT,
    Faults,
    Field,
    JsonObject,
    field_faults,
    list_faults,
    text_faults,
)
from hopsail.configuration.quick_check import have_flat_types
from hopsail.configuration.types import Configuration, Patch, Route, Service, Tenant

MAX_FAULTS = 100
"""Most faults that one error lists, itself included."""

STEP_ITEMS = 2000
"""Items that are checked between two points at which a check may be interrupted."""

Steps = Iterator[ConfigurationError | None]
"""The faults of a large input: None stands for a point at which the check may be interrupted."""

Result = TypeVar("Result")

NAMED_LISTS = ("Routes", "Services", "Tenants")

CONFIGURATION_FIELDS = (
    Field("Revision", INTEGER, True),
    Field("Routes", LIST, True),
    Field("Services", LIST, True),
    Field("Limits", OBJECT),
    Field("Tenants", LIST),
)
PATCH_FIELDS = (Field("Revision", INTEGER, True), Field("Upsert", OBJECT), Field("Remove", OBJECT))
UPSERT_FIELDS = (
    Field("Routes", LIST),
    Field("Services", LIST),
    Field("Limits", OBJECT),
    Field("Tenants", LIST),
)
REMOVE_FIELDS = (Field("Routes", LIST), Field("Services", LIST), Field("Tenants", LIST))


def parse_configuration(body: bytes) -> Configuration:
    """Return the configuration in a body.

    Raises:
        ConfigurationError: the body can't be parsed completely.
    """
    return run_steps(parse_configuration_steps(body))


def parse_configuration_steps(body: bytes) -> Generator[None, None, Configuration]:
    """`parse_configuration` in steps."""
    content = _parse_object(body)
    yield from raise_first_steps(_content_faults(content))
    return cast(Configuration, content)


def parse_patch(body: bytes) -> Patch:
    """Return the patch in a body.

    Raises:
        ConfigurationError: the body can't be parsed completely.
    """
    return run_steps(parse_patch_steps(body))


def parse_patch_steps(body: bytes) -> Generator[None, None, Patch]:
    """`parse_patch` in steps."""
    content = _parse_object(body)
    yield from raise_first_steps(_patch_faults(content))
    return cast(Patch, content)


def check_configuration(configuration: Configuration, current_revision: int) -> None:
    """Raise ConfigurationError if a parsed configuration is invalid as the successor of a revision."""
    run_steps(check_configuration_steps(configuration, current_revision))


def check_configuration_steps(
    configuration: Configuration, current_revision: int
) -> Generator[None, None, None]:
    """`check_configuration` in steps."""
    yield from raise_first_steps(
        chain(
            revision_faults(configuration, current_revision),
            _name_faults(cast(JsonObject, configuration), ""),
            route_list_faults(configuration["Routes"], _names_in(configuration["Services"])),
            shared_key_faults(configuration.get("Tenants") or ()),
        )
    )


def apply_patch(current: Configuration, patch: Patch) -> Configuration:
    """Return a new configuration with a patch's changes, not checked; `current` stays as it is.

    Replaced items keep their positions and new ones come last; unknown names to remove are ignored.
    """
    changed: dict[str, Any] = dict(current)
    upsert: JsonObject = patch.get("Upsert") or {}
    remove: JsonObject = patch.get("Remove") or {}
    for field, value in upsert.items():
        if value is None:
            continue
        changed[field] = patched_field(changed.get(field), value)
    for field, names in remove.items():
        if field in changed:
            changed[field] = without_names(changed[field], names)
    changed["Revision"] = patch["Revision"]
    return cast(Configuration, changed)


def raise_first(faults: Iterable[ConfigurationError | None]) -> None:
    """Raise the first of the faults, if there is any, with the others that follow."""
    run_steps(raise_first_steps(faults))


def raise_first_steps(faults: Iterable[ConfigurationError | None]) -> Generator[None, None, None]:
    """`raise_first` in steps."""
    found: list[ConfigurationError] = []
    for fault in faults:
        if fault is None:
            yield
            continue
        found.append(fault)
        if len(found) == MAX_FAULTS:
            break
    if found:
        first = found[0]
        raise ConfigurationError(first.code, first.item, found[1:])


def run_steps(steps: Generator[None, None, Result]) -> Result:
    """Run all steps and return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        text = body.decode("utf-8-sig")
        content = json.loads(text, parse_constant=_reject_constant, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(ResultCode.UNREADABLE, "body") from error
    if type(content) is not dict:
        raise ConfigurationError(ResultCode.WRONG_TYPE, "body")
    return content


def _reject_constant(constant: str) -> float:
    raise ValueError(f"{constant} is not JSON")


def _finite(text: str) -> float:
    value = float(text)
    if value - value != 0.0:
        raise ValueError(f"{text} is out of range")
    return value


def _content_faults(content: dict[str, Any]) -> Steps:
    yield from field_faults(content, CONFIGURATION_FIELDS, "")
    yield from _section_faults(content, "")


def _patch_faults(content: dict[str, Any]) -> Steps:
    yield from field_faults(content, PATCH_FIELDS, "")
    upsert = content.get("Upsert")
    if type(upsert) is dict:
        yield from field_faults(upsert, UPSERT_FIELDS, "Upsert.")
        yield from _section_faults(upsert, "Upsert.")
        yield from _name_faults(upsert, "Upsert.")
    remove = content.get("Remove")
    if type(remove) is dict:
        yield from field_faults(remove, REMOVE_FIELDS, "Remove.")
        for field in NAMED_LISTS:
            names = remove.get(field)
            if type(names) is list:
                yield from text_faults(names, f"Remove.{field}")


def _section_faults(section: JsonObject, prefix: str) -> Steps:
    for field in NAMED_LISTS:
        items = section.get(field)
        if type(items) is list:
            yield from _type_faults(field, items, prefix + field)
    limits = section.get("Limits")
    if type(limits) is dict:
        yield from field_faults(limits, LIMITS_FIELDS, prefix + "Limits.")


def _type_faults(field: str, items: list[Any], label: str) -> Steps:
    for first in range(0, len(items), STEP_ITEMS):
        step = items[first : first + STEP_ITEMS]
        if not have_flat_types(field, step):
            yield from list_faults(field, step, label, first)
        if len(step) == STEP_ITEMS:
            yield None


def revision_faults(configuration: Configuration | Patch, current_revision: int) -> Faults:
    """Yield the fault of a revision that is not above the current one."""
    if configuration["Revision"] <= current_revision:
        yield ConfigurationError(ResultCode.REVISION_NOT_ABOVE, "Revision")


def _name_faults(section: JsonObject, prefix: str) -> Steps:
    """Yield the faults of names that are not unique; items without a name have other faults already."""
    for field in NAMED_LISTS:
        items = section.get(field)
        if type(items) is not list:
            continue
        seen: set[str] = set()
        for number, item in enumerate(items, 1):
            if number % STEP_ITEMS == 0:
                yield None
            name = _name_of(item)
            if name is None:
                continue
            if name in seen:
                yield ConfigurationError(ResultCode.DUPLICATE_NAME, f"{prefix}{field}[{name}].Name")
            seen.add(name)


def route_list_faults(routes: Iterable[Route], services: Container[str]) -> Steps:
    """Yield the faults of routes in the order of their list, given the names of all services."""
    locations: set[tuple[str, str]] = set()
    for number, route in enumerate(routes, 1):
        if number % STEP_ITEMS == 0:
            yield None
        label = f"Routes[{route['Name']}]"
        yield from _prefix_faults(route, label, locations)
        if route["DeadlineMs"] <= 0:
            yield ConfigurationError(ResultCode.BAD_DEADLINE, label + ".DeadlineMs")
        yield from _target_faults(route, label, services)


def _prefix_faults(route: Route, label: str, locations: set[tuple[str, str]]) -> Faults:
    prefix = route["PathPrefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield ConfigurationError(ResultCode.BAD_PREFIX, label + ".PathPrefix")
    location = location_of(route)
    if location in locations:
        yield ConfigurationError(ResultCode.DUPLICATE_ROUTE, label + ".PathPrefix")
    locations.add(location)


def location_of(route: Route) -> tuple[str, str]:
    """Return the host name in lower case and the path prefix, which no two routes may share."""
    return route["Hostname"].lower(), route["PathPrefix"]


def _names_in(services: Iterable[Service]) -> set[str]:
    return {service["Name"] for service in services}


def _target_faults(route: Route, label: str, services: Container[str]) -> Faults:
    splits = route.get("TrafficSplit")
    service = route.get("Service")
    if service and service not in services:
        yield ConfigurationError(ResultCode.UNKNOWN_SERVICE, label + ".Service")
    if not splits:
        if splits is not None and not service:
            yield ConfigurationError(ResultCode.BAD_WEIGHTS, label + ".TrafficSplit")
        elif not service:
            yield ConfigurationError(ResultCode.FIELD_MISSING, label + ".Service")
        return
    for index, split in enumerate(splits):
        if split["Service"] not in services:
            yield ConfigurationError(ResultCode.UNKNOWN_SERVICE, f"{label}.TrafficSplit[{index}].Service")
        if split["Share"] < 0:
            yield ConfigurationError(ResultCode.BAD_WEIGHTS, f"{label}.TrafficSplit[{index}].Share")
    if sum(split["Share"] for split in splits) == 0:
        yield ConfigurationError(ResultCode.BAD_WEIGHTS, label + ".TrafficSplit")


def shared_key_faults(tenants: Iterable[Tenant]) -> Steps:
    """Yield the faults of API keys of several tenants, for tenants in the order of their list."""
    owners: dict[str, str] = {}
    for number, tenant in enumerate(tenants, 1):
        if number % STEP_ITEMS == 0:
            yield None
        name = tenant["Name"]
        for key in tenant["ApiKeys"]:
            if owners.setdefault(key, name) != name:
                yield ConfigurationError(ResultCode.SHARED_KEY, f"Tenants[{name}].ApiKeys")


def patched_field(current: object, value: object) -> object:
    """Return a field after `Upsert`: named items are merged into the list, everything else is replaced."""
    if not (_is_named_list(current) and _is_named_list(value)):
        return value
    merged = {item["Name"]: item for item in current}
    for item in value:
        merged[item["Name"]] = item
    return list(merged.values())


def _is_named_list(value: object) -> TypeGuard[list[dict[str, Any]]]:
    return type(value) is list and all(_name_of(item) is not None for item in value)


def _name_of(item: object) -> str | None:
    name = item.get("Name") if type(item) is dict else None
    return name if type(name) is str else None


def without_names(value: object, names: object) -> object:
    """Return a field after `Remove`; what is no list stays as it is."""
    if type(names) is not list or type(value) is not list:
        return value
    removed = {name for name in names if type(name) is str}
    return [item for item in value if _name_of(item) not in removed]
