"""Ports for processes that are started later and told in advance where to listen.

A port that the system itself has dealt out and that was closed again may be dealt to anybody's next socket
before the process comes to bind it; the process then ends with "address already in use". Ports outside of the
range that the system deals from go only to who asks for them by number."""

import socket
from pathlib import Path
from random import SystemRandom

LOCAL = "127.0.0.1"
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")  # Linux, ip(7)
FALLBACK_RANGE = 32768, 60999  # Linux's own, where the file can't be read
LOWEST_PORT = 10_000
TRIES = 1_000

_random = SystemRandom()  # processes that run beside each other draw apart
_given: set[int] = set()


class NoPortLeft(RuntimeError):
    """No port below the range that the system deals from was free in `TRIES` draws."""


def dealt_range(path: Path = RANGE_FILE) -> tuple[int, int]:
    """The first and last port that the system gives to sockets that ask for none."""
    try:
        first, last = map(int, path.read_text().split())
    except (OSError, ValueError):
        return FALLBACK_RANGE
    return first, last


def candidates(dealt: tuple[int, int]) -> range:
    """Ports outside of the range that is dealt from: below it, or above where there is no room below."""
    first, last = dealt
    if first > LOWEST_PORT + TRIES:
        return range(LOWEST_PORT, first)
    return range(last + 1, 65536)


def is_free(port: int) -> bool:
    """Whether both a listener and a datagram socket could be bound to this port of loopback now."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                return False
    return True


def free_port() -> int:
    """A port of loopback for a listener or for datagrams, given once by this process.

    Raises NoPortLeft."""
    ports = candidates(dealt_range())
    if ports:
        for _ in range(TRIES):
            port = _random.choice(ports)
            if port not in _given and is_free(port):
                _given.add(port)
                return port
    raise NoPortLeft(f"no free port in {ports}")


def free_address() -> tuple[str, int]:
    """Host and port of loopback as `free_port` gives them."""
    return LOCAL, free_port()
