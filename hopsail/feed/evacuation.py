"""Whether a zone is evacuated, as fed by every control process; the higher change number counts."""

from typing import NamedTuple

MAX_ZONES = 1024  # whose evacuations are known; entries are never removed

_FLAGS = {"0": False, "1": True}


class Evacuation(NamedTuple):
    """The newest order on a zone."""

    number: int  # of orders on the zone up to this one
    in_force: bool

    @property
    def value(self) -> bytes:
        """The entry's value: `NUMBER 1` while the zone is evacuated, else `NUMBER 0`."""
        return f"{self.number} {int(self.in_force)}".encode()


NEVER_EVACUATED = Evacuation(0, False)


def decode_evacuation(value: bytes) -> Evacuation:
    """Reads what `Evacuation.value` wrote; raises ValueError."""
    number, flag = value.decode().split(" ")
    if flag not in _FLAGS:
        raise ValueError(f"an evacuation neither in force nor withdrawn: {flag}")
    return Evacuation(int(number), _FLAGS[flag])


def may_have_ended(known: Evacuation, newer: Evacuation) -> bool:
    """Whether an evacuation was withdrawn after `known` and up to `newer`: orders between may be unseen."""
    if newer.in_force or newer.number <= known.number:
        return False
    return known.in_force or newer.number > known.number + 1
