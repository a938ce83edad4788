"""The UDP socket of the directory of long prompts under way."""

from random import Random

from ..net.loop import Loop
from ..net.udp import DatagramSocket
from .work_directory import DATAGRAM, Address, WorkDirectory


class WorkSocket:
    """A socket and the directory whose datagrams it carries. Raises OSError when it can't be bound."""

    def __init__(self, loop: Loop, address: Address, fleet: str, random: Random, counters):
        self.counters = counters
        self._socket = DatagramSocket(loop, address, max_bytes=DATAGRAM, on_datagram=self._receive)
        self.directory = WorkDirectory(loop, self._socket.address, fleet, random, counters, self._send)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _send(self, address: Address, data: bytes) -> None:
        if not self._socket.send(address, data):
            self.counters.add("work.unsent")

    def _receive(self, data: bytes, sender: Address) -> None:
        self.directory.received(data, sender)
