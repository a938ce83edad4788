"""One incarnation of a host, as the platform lists it, and the monotone join of two accounts of it.

Every start of a host has an identifier of its own, so an instance only ever moves forward: from serving to
draining to gone, and to higher revisions of its models.
"""

import json
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any, NamedTuple

from hopsail.configuration.process import Address

MAX_PORT = 65535
MAX_MODELS = 64


class InstanceError(ValueError):
    """The entry is not shaped as an instance of the list."""


class Phase(IntEnum):
    """Phases of an instance; it only moves to higher ones."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


class ModelRevision(NamedTuple):
    """Revision of the weights that a host holds for one model."""

    name: str
    revision: int


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of a host; `revision` is that of its software.

    `warmup_left_ms` is how many milliseconds longer it stays slow after its start.
    """

    identifier: str
    service: str
    address: Address
    zone: str
    capacity: int
    phase: Phase
    warmup_left_ms: int
    models: tuple[ModelRevision, ...]
    revision: str

    def model_revision(self, model: str) -> int | None:
        """Return the revision of the weights held for `model`, None when the host does not run it."""
        for held in self.models:
            if held.name == model:
                return held.revision
        return None

    def load_key(self, model: str) -> str:
        """Return the key of what is announced of the model's load here.

        It is the name of a host that runs one model, as for processes that know no other key, and holds the
        model's name besides where there are several: each has its own roll-out.
        """
        return self.identifier if len(self.models) <= 1 else f"{self.identifier} {model}"

    def with_phase(self, phase: Phase) -> "Instance":
        """Return the instance moved to `phase`."""
        return replace(self, phase=phase)


_PHASES = {"serving": Phase.SERVING, "draining": Phase.DRAINING, "gone": Phase.GONE}
_PHASE_NAMES = {phase: name for name, phase in _PHASES.items()}


def parse_instance(entry: Any) -> Instance:
    """Read one entry of the platform's list; raises `InstanceError` when it has the wrong shape.

    Fields that are not known are ignored.
    """
    if not isinstance(entry, dict):
        raise InstanceError("an instance is not an object")
    return Instance(
        identifier=_text(entry, "InstanceId"),
        service=_text(entry, "Service"),
        address=parse_address(_text(entry, "Address")),
        zone=_text(entry, "Zone"),
        capacity=_count(entry, "Capacity"),
        phase=_phase(entry),
        warmup_left_ms=_count(entry, "WarmupLeftMs"),
        models=_models(entry.get("Models", [])),
        revision=str(entry.get("Revision", "")),
    )


def parse_address(text: str) -> Address:
    """Read `HOST:PORT`; raises `InstanceError`."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit()):
        raise InstanceError("an address is not HOST:PORT")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise InstanceError("a port is out of range")
    return Address(host, number)


def encode(instance: Instance) -> bytes:
    """Return the instance as compact JSON with the names of the platform's list."""
    entry = {
        "InstanceId": instance.identifier,
        "Service": instance.service,
        "Address": str(instance.address),
        "Zone": instance.zone,
        "Capacity": instance.capacity,
        "Phase": _PHASE_NAMES[instance.phase],
        "WarmupLeftMs": instance.warmup_left_ms,
        "Models": [{"Name": held.name, "Revision": held.revision} for held in instance.models],
        "Revision": instance.revision,
    }
    return json.dumps(entry, separators=(",", ":")).encode()


def decode(data: bytes) -> Instance:
    """Read what `encode` wrote; raises `InstanceError`."""
    try:
        entry = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InstanceError("an instance is not JSON") from error
    return parse_instance(entry)


def merge(a: Instance, b: Instance) -> Instance:
    """Join two accounts of the same instance: commutative, associative and idempotent.

    The later phase and the higher revision of each model win. What can't change within one incarnation is
    taken from whichever account compares higher, so that the result does not depend on the order.
    """
    if a is b or a == b:
        return a
    if a.identifier != b.identifier:
        raise InstanceError("two different instances can't be merged")
    return Instance(
        identifier=a.identifier,
        service=max(a.service, b.service),
        address=max(a.address, b.address),
        zone=max(a.zone, b.zone),
        capacity=max(a.capacity, b.capacity),
        phase=max(a.phase, b.phase),
        warmup_left_ms=min(a.warmup_left_ms, b.warmup_left_ms),
        models=_join_models(a.models, b.models),
        revision=max(a.revision, b.revision),
    )


def _join_models(a: tuple[ModelRevision, ...], b: tuple[ModelRevision, ...]) -> tuple[ModelRevision, ...]:
    if a == b:
        return a
    highest: dict[str, int] = dict(a)
    for name, revision in b:
        highest[name] = max(revision, highest.get(name, revision))
    return tuple(ModelRevision(name, highest[name]) for name in sorted(highest))


def _text(entry: dict, name: str) -> str:
    value = entry.get(name)
    if not isinstance(value, str) or not value:
        raise InstanceError(f"{name} is not a text")
    return value


def _count(entry: dict, name: str) -> int:
    value = entry.get(name)
    if isinstance(value, float) and 0 <= value < 1 << 53:
        value = int(value)
    if type(value) is not int or value < 0:
        raise InstanceError(f"{name} is not a count")
    return value


def _phase(entry: dict) -> Phase:
    name = entry.get("Phase")
    if not isinstance(name, str) or name not in _PHASES:
        raise InstanceError("Phase is not known")
    return _PHASES[name]


def _models(entries: Any) -> tuple[ModelRevision, ...]:
    if not isinstance(entries, list) or len(entries) > MAX_MODELS:
        raise InstanceError("Models is not a list of bounded length")
    if len(entries) == 1:
        return (_model(entries[0]),)
    return _join_models((), tuple(_model(entry) for entry in entries))


def _model(entry: Any) -> ModelRevision:
    if not isinstance(entry, dict):
        raise InstanceError("a model is not an object")
    return ModelRevision(_text(entry, "Name"), _count(entry, "Revision"))
