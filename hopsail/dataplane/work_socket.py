"""The UDP socket of the directory of long prompts under way."""

import socket
from random import Random

from ..net.loop import READ, Loop
from .work_directory import DATAGRAM, Address, WorkDirectory

MOST_DATAGRAMS = 64  # read in one round of the loop: connections must have their turn


class WorkSocket:
    """A socket and the directory whose datagrams it carries. Raises OSError when it can't be bound."""

    def __init__(self, loop: Loop, address: Address, fleet: str, random: Random, counters):
        self.loop, self.counters = loop, counters
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        bound = self._socket.getsockname()
        self.directory = WorkDirectory(loop, bound, fleet, random, counters, self._send)
        loop.watch(self._socket, READ, self._readable)

    def close(self) -> None:
        """Gives the socket back."""
        self.loop.unwatch(self._socket)
        self._socket.close()

    def _send(self, address: Address, data: bytes) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            self.counters.add("work.unsent")  # as if lost on the way

    def _readable(self, _mask) -> None:
        for _ in range(MOST_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(DATAGRAM + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram found nobody there
            self.directory.received(data, sender)
