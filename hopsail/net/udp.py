"""A UDP socket on the loop, for protocols whose messages fit into one datagram each."""

import socket
from collections.abc import Callable

from .loop import READ, Loop

Address = tuple[str, int]

MAX_DATAGRAMS_PER_EVENT = 64  # connections on the same loop must have their turn


class DatagramSocket:
    """A bound socket that hands each datagram to a callback."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        max_bytes: int,
        on_datagram: Callable[[bytes, Address], None],
        on_batch_end: Callable[[], None] | None = None,
    ) -> None:
        """Binds the address. Raises OSError when that can't be done.

        A datagram longer than `max_bytes` is handed over cut to one byte more. `on_batch_end` is called after
        all datagrams of one event of the loop.
        """
        self._loop = loop
        self._max_bytes = max_bytes
        self._on_datagram = on_datagram
        self._on_batch_end = on_batch_end
        self._socket = self._bind(address)
        self._is_open = True
        loop.watch(self._socket, READ, self._handle_readable)

    def _bind(self, address: Address) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setblocking(False)
        try:
            bound.bind(address)
        except OSError:
            bound.close()
            raise
        return bound

    @property
    def address(self) -> Address:
        """Where the socket is bound."""
        host, port = self._socket.getsockname()
        return host, port

    def send(self, address: Address, data: bytes) -> bool:
        """Sends a datagram; False when it can't be sent, which is as if it were lost on the way."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Closes the socket; a second call does nothing."""
        if self._is_open:
            self._is_open = False
            self._loop.unwatch(self._socket)
            self._socket.close()

    def _handle_readable(self, _mask: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, sender = self._socket.recvfrom(self._max_bytes + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # the report that an earlier datagram reached nobody
            self._on_datagram(data, sender)
        if self._on_batch_end is not None:
            self._on_batch_end()
