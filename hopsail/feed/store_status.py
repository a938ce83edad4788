"""Whether a store answers, as fed by the leader of its part; the latest term's status counts."""

from typing import NamedTuple


class StoreStatus(NamedTuple):
    """What one leader has found of a store."""

    term: int
    up: bool


def encode_store(status: StoreStatus) -> bytes:
    """The entry's value: `TERM up` or `TERM down`."""
    return f"{status.term} {'up' if status.up else 'down'}".encode()


def decode_store(value: bytes) -> StoreStatus:
    """Reads what `encode_store` wrote; raises ValueError."""
    term, text = value.decode().split(" ")
    if text not in ("up", "down"):
        raise ValueError(f"a status neither up nor down: {text}")
    return StoreStatus(int(term), text == "up")
