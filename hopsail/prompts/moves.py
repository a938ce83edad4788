"""How long kept parts of a prompt take to move from a host or a store to a host. No I/O.

Moves of one host run one after the other over its link; the operators' pages tell what distance does."""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

ZONE_FACTOR = 2.0  # times as long between two zones of a region
REGION_FACTOR = 10.0  # times as long between two regions
BITS_PER_BYTE = 8
BITS_PER_MS_AND_MBPS = 1000


class Distance(Enum):
    """Where the two ends of a move are."""

    ZONE = 1.0  # in the same one
    REGION = ZONE_FACTOR
    FAR = REGION_FACTOR


class Link(NamedTuple):
    """What bounds the moves of one end."""

    zone: str
    mbps: float | None  # None when the configuration does not tell


def distance(one: str, other: str, regions: Mapping[str, str]) -> Distance:
    """How far two zones are from each other; zones of no known region are in one."""
    if one == other:
        return Distance.ZONE
    return Distance.REGION if regions.get(one) == regions.get(other) else Distance.FAR


def move_ms(size: float, source: Link, target: Link, regions: Mapping[str, str]) -> float:
    """Milliseconds that so many bytes take; 0 where no speed is known."""
    speeds = [mbps for mbps in (source.mbps, target.mbps) if mbps]
    if not speeds:
        return 0.0
    factor = distance(source.zone, target.zone, regions).value
    return size * BITS_PER_BYTE / (min(speeds) * BITS_PER_MS_AND_MBPS) * factor


def token_bytes(service: Mapping[str, Any] | None) -> float:
    """Bytes of one kept token at a service's hosts, 0 when not known."""
    runtime = (service or {}).get("Runtime") or {}
    return float(runtime.get("TokenBytes") or 0.0)


def link_mbps(service: Mapping[str, Any] | None) -> float | None:
    """Speed of the links of a service's hosts, or of a store; None when not known."""
    told = service or {}
    runtime = told.get("Runtime") or {}
    value = runtime.get("LinkMbps") or told.get("LinkMbps")
    return float(value) if value else None
