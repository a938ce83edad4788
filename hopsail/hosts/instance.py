"""One incarnation of a host, as the platform lists it, and the monotone join of two states of it.

Every start of a host has an identifier of its own, so an instance only ever moves forward: from serving to
draining to removed, and to higher revisions of its models.
"""

import json
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any, NamedTuple

from hopsail.configuration.process import Address
from hopsail.errors import HopsailError

MAX_PORT = 65535
MAX_MODELS = 64


class InstanceError(HopsailError, ValueError):
    """The entry is not shaped as an instance of the list."""


class Phase(IntEnum):
    """Phases of an instance; it only moves to higher ones."""

    SERVING = 0
    DRAINING = 1
    REMOVED = 2


class ModelRevision(NamedTuple):
    """Revision of the weights that a host has loaded for one model."""

    name: str
    revision: int


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of a host; `revision` is that of its software.

    `warmup_left_ms` is how many milliseconds longer it stays slow. It warms up after its start, and may do so
    again at any time: `warmup_round` is how many times it has been seen to begin anew.
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
    warmup_round: int = 0

    def model_revision(self, model: str) -> int | None:
        """Return the revision of the weights loaded for `model`, None when the host does not run it."""
        for loaded in self.models:
            if loaded.name == model:
                return loaded.revision
        return None

    def load_key(self, model: str) -> str:
        """Return the key under which the load of the model's weights on this host is announced.

        It is the host's identifier where the host runs one model, and the identifier and the model's name
        where it runs several, because each model has a roll-out of its own.
        """
        return self.identifier if len(self.models) <= 1 else f"{self.identifier} {model}"

    def with_warmup(self, warmup_round: int, left_ms: int) -> "Instance":
        """Return the instance with another state of its warm-up."""
        return replace(self, warmup_round=warmup_round, warmup_left_ms=left_ms)

    def with_phase(self, phase: Phase) -> "Instance":
        """Return the instance moved to `phase`."""
        return replace(self, phase=phase)


_PHASES = {"serving": Phase.SERVING, "draining": Phase.DRAINING, "gone": Phase.REMOVED}
_PHASE_NAMES = {phase: name for name, phase in _PHASES.items()}


def parse_instance(entry: object) -> Instance:
    """Read one entry of the platform's list, as parsed JSON. Unknown fields are ignored.

    Raises:
        InstanceError: the entry has the wrong shape.
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
        warmup_round=_count(entry, "WarmupRound") if "WarmupRound" in entry else 0,
    )


def parse_address(text: str) -> Address:
    """Read `HOST:PORT`.

    Raises:
        InstanceError: the text has another form, or the port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit()):
        raise InstanceError("an address is not HOST:PORT")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise InstanceError("a port is out of range")
    return Address(host, number)


def encode(instance: Instance) -> bytes:
    """Return the instance as compact JSON with the names of the platform's list."""
    entry: dict[str, Any] = {
        "InstanceId": instance.identifier,
        "Service": instance.service,
        "Address": str(instance.address),
        "Zone": instance.zone,
        "Capacity": instance.capacity,
        "Phase": _PHASE_NAMES[instance.phase],
        "WarmupLeftMs": instance.warmup_left_ms,
        "Models": [{"Name": model.name, "Revision": model.revision} for model in instance.models],
        "Revision": instance.revision,
    }
    if instance.warmup_round:
        entry["WarmupRound"] = instance.warmup_round
    return json.dumps(entry, separators=(",", ":")).encode()


def decode(data: bytes) -> Instance:
    """Read what `encode` wrote.

    Raises:
        InstanceError: the bytes are not an encoded instance.
    """
    try:
        entry = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InstanceError("an instance is not JSON") from error
    return parse_instance(entry)


def merge(a: Instance, b: Instance) -> Instance:
    """Join two states of the same instance: commutative, associative and idempotent.

    The later phase, the higher revision of each model and the later round of warming up win; within one
    round, the shorter time left. Of a field that can't change within one incarnation the higher value wins,
    so that the result does not depend on the order.

    Raises:
        InstanceError: the instances have different identifiers.
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
        warmup_left_ms=_join_warmup_left(a, b),
        models=_join_models(a.models, b.models),
        revision=max(a.revision, b.revision),
        warmup_round=max(a.warmup_round, b.warmup_round),
    )


def _join_warmup_left(a: Instance, b: Instance) -> int:
    if a.warmup_round == b.warmup_round:
        return min(a.warmup_left_ms, b.warmup_left_ms)
    return max(a, b, key=lambda one: one.warmup_round).warmup_left_ms


def _join_models(a: tuple[ModelRevision, ...], b: tuple[ModelRevision, ...]) -> tuple[ModelRevision, ...]:
    if a == b:
        return a
    highest: dict[str, int] = dict(a)
    for name, revision in b:
        highest[name] = max(revision, highest.get(name, revision))
    return tuple(ModelRevision(name, highest[name]) for name in sorted(highest))


def _text(entry: dict[str, Any], name: str) -> str:
    value = entry.get(name)
    if not isinstance(value, str) or not value:
        raise InstanceError(f"{name} is not a text")
    return value


def _count(entry: dict[str, Any], name: str) -> int:
    value = entry.get(name)
    if isinstance(value, float) and 0 <= value < 1 << 53:
        value = int(value)
    if type(value) is not int or value < 0:
        raise InstanceError(f"{name} is not a count")
    return value


def _phase(entry: dict[str, Any]) -> Phase:
    name = entry.get("Phase")
    if not isinstance(name, str) or name not in _PHASES:
        raise InstanceError("Phase is not known")
    return _PHASES[name]


def _models(entries: object) -> tuple[ModelRevision, ...]:
    if not isinstance(entries, list) or len(entries) > MAX_MODELS:
        raise InstanceError("Models is not a list of bounded length")
    if len(entries) == 1:
        return (_model(entries[0]),)
    return _join_models((), tuple(_model(entry) for entry in entries))


def _model(entry: object) -> ModelRevision:
    if not isinstance(entry, dict):
        raise InstanceError("a model is not an object")
    return ModelRevision(_text(entry, "Name"), _count(entry, "Revision"))
