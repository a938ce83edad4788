"""Announcement of the load of one host, from the owner of a roll-out to the data planes."""

import json
from enum import IntEnum
from typing import NamedTuple

from hopsail.errors import HopsailError


class HostLoadError(HopsailError, ValueError):
    """The bytes are not an encoded announcement."""


class LoadPhase(IntEnum):
    """How far the load of new weights is at one host.

    IDLE: none is in progress. PREPARING: an order follows, send nothing new. LOADING: an order was accepted.
    DONE: the host has loaded the revision.
    """

    IDLE = 0
    PREPARING = 1
    LOADING = 2
    DONE = 3


class HostLoad(NamedTuple):
    """Announcement of the revision being loaded (IDLE: not begun), ordered by fencing token and serial."""

    phase: LoadPhase
    revision: int
    fencing_token: int
    serial: int

    @property
    def blocks(self) -> bool:
        """Whether the host is to get no new requests."""
        return self.phase in (LoadPhase.PREPARING, LoadPhase.LOADING)


def encode_load(load: HostLoad) -> bytes:
    """Return the announcement as compact JSON."""
    return json.dumps(
        [int(load.phase), load.revision, load.fencing_token, load.serial], separators=(",", ":")
    ).encode()


def decode_load(data: bytes) -> HostLoad:
    """Read what `encode_load` wrote.

    Raises:
        HostLoadError: the bytes are not an encoded announcement.
    """
    try:
        phase, revision, fencing_token, serial = json.loads(data)
        known_phase = LoadPhase(phase)
    except (ValueError, TypeError, RecursionError) as error:
        raise HostLoadError("not an announcement") from error
    if any(type(number) is not int for number in (phase, revision, fencing_token, serial)):
        raise HostLoadError("an announcement has something other than integers")
    return HostLoad(known_phase, revision, fencing_token, serial)


def merge_load(a: HostLoad, b: HostLoad) -> HostLoad:
    """Return the newer announcement by token, then serial: commutative, associative and idempotent."""
    return max(a, b, key=lambda load: (load.fencing_token, load.serial, load.revision, load.phase))
