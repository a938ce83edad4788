"""A connection of frames between two processes of one fleet, the same on both sides."""

import errno
import socket
from typing import Protocol

from ..net.loop import Loop
from ..net.stream import Stream
from .counts import RpcCounts
from .errors import FrameError
from .frames import MAX_FRAME, FrameReader, Kind, Message, pack, unpack
from .structs import Struct, decode, encode, i32, spec, text

PROTOCOL_VERSION = 1
HELLO = "hello"
MAX_HELLO_BYTES = 1024  # bytes of the first frame
HELLO_TIMEOUT_NS = 2_000_000_000  # ns for the other side's hello once the connection is up
MAX_UNACKNOWLEDGED_MS = 2000  # what is sent must be acknowledged by then, or the system ends the connection
KEEPALIVE_IDLE_S = (
    5  # seconds without traffic after which the system asks whether the other side is still there
)
KEEPALIVE_INTERVAL_S = 2  # seconds


class Hello(Struct):
    """The first frame of each side."""

    fleet: str
    version: int

    thrift_spec = spec(text(1, "fleet"), i32(2, "version"))


class Owner(Protocol):
    """Whom a connection notifies of what happens to it; a client's channel or a server."""

    fleet: str
    counts: RpcCounts

    def greeted(self, connection: "Connection") -> None:
        """The other side's hello is right: messages follow."""

    def message(self, connection: "Connection", message: Message) -> None:
        """A message has come; FrameError out of it ends the connection."""

    def lost(self, connection: "Connection") -> None:
        """The connection is over, whoever ended it."""


class Connection(Stream):
    """Sends its hello at once and takes messages only after the other side's."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: Owner,
        dialing: bool = False,
    ) -> None:
        """Takes over the socket; `dialing` if it is still on its way to the other side."""
        watch_over(sock)
        super().__init__(loop, sock, dialing)
        self.owner, self.fleet, self.counts = owner, owner.fleet, owner.counts
        self.is_greeted = False
        self.came_up = not dialing
        self.mismatched = False  # the other side is of another fleet or version
        self.last_received = 0  # ns
        self._reader = FrameReader(MAX_HELLO_BYTES)
        self._hello_timer = None
        self.send(Message(HELLO, Kind.ONEWAY, 0, encode(Hello(fleet=self.fleet, version=PROTOCOL_VERSION))))
        if not dialing:
            self._await_hello()

    def send(self, message: Message) -> None:
        """Sends the message, or keeps it until the connection is up; OverflowError when it is too long."""
        frame = pack(message)
        if self.dialing:
            self.unsent += frame
        else:
            self.write(frame)

    def connected(self) -> None:
        """Called by the stream: the dialed connection is up."""
        if self.sock.getsockname() == self.sock.getpeername():  # a port dialed itself, nobody listens there
            self.error = errno.ECONNREFUSED
            self.close()
            return
        self.came_up = True
        self._await_hello()
        self.write(b"")  # what has been kept

    def received(self, data: bytes) -> None:
        """Called by the stream: cuts the bytes into messages."""
        self.last_received = self.loop.now()
        self._reader.feed(data)
        try:
            while self.open and (frame := self._reader.take()) is not None:
                self._take(unpack(frame))
        except FrameError:
            self.counts.malformed_frames += 1
            self.close()

    def released(self) -> None:
        """Called by the stream, once: the socket has been given back."""
        self._cancel_timer()
        self.owner.lost(self)

    def _await_hello(self) -> None:
        self._hello_timer = self.loop.at(self.loop.now() + HELLO_TIMEOUT_NS, self._time_out)

    def _time_out(self) -> None:
        self._hello_timer = None
        self.counts.silent_peers += 1
        self.close()

    def _cancel_timer(self) -> None:
        if self._hello_timer is not None:
            self._hello_timer.cancel()
            self._hello_timer = None

    def _take(self, message: Message) -> None:
        if self.is_greeted:
            self.owner.message(self, message)
            return
        if message.method != HELLO or message.kind is not Kind.ONEWAY:
            raise FrameError("no hello")
        self._check(decode(Hello, message.body))

    def _check(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            self.counts.other_versions += 1
        elif hello.fleet != self.fleet:
            self.counts.foreign_fleets += 1
        else:
            self.is_greeted = True
            self.counts.connections += 1
            self._reader.bound = MAX_FRAME
            self._cancel_timer()
            self.owner.greeted(self)
            return
        self.mismatched = True
        self.close()


def watch_over(sock: socket.socket) -> None:
    """Lets the system end a connection whose other side says nothing, as behind a cut."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
