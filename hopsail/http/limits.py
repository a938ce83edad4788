"""What a server allows its clients, and what it answers to more."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass
class ServerLimits:
    """What a client may send, and how long it may take; times in ms."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_wait_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    connections: int = 2048


class Rejection(NamedTuple):
    """The answer to a request that is not read whole."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
