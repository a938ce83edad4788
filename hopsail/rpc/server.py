"""Takes calls: handlers by method, whose reply may come at once, later or never."""

import socket
from collections.abc import Callable, Container
from typing import Any, NamedTuple

from ..event_log import log_exception
from ..net.loop import READ, Loop
from ..net.stream import SHORT, listening
from .connection import Connection
from .counts import RpcCounts
from .errors import FrameError
from .failure import Failure, FailureKind
from .frames import Kind, Message
from .structs import Struct, decode, encode

BACKLOG = 512
MAX_CONNECTIONS = 2048
MAX_CALLS = 1024  # in flight on one connection
MAX_UNSENT = 32 * 1024 * 1024  # bytes on one connection, beyond which its other side is too slow
MAX_ACCEPTS_PER_EVENT = 64
ACCEPT_BACKOFF_NS = 100_000_000  # ns without accepting once descriptors or memory have run out


class Peer(NamedTuple):
    """The other side of a connection."""

    host: str
    port: int


class Respond:
    """The way back to one caller: called with the reply, once; further replies are left out."""

    __slots__ = ("_answered", "_callbacks", "_connection", "_seqid", "method")

    def __init__(self, connection: "_Caller | None", method: str, seqid: int) -> None:
        """For a call on this connection, or a one-way message if None."""
        self._connection, self.method, self._seqid = connection, method, seqid
        self._answered = connection is None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def closed(self) -> bool:
        """Whether the caller has gone; a one-way caller has from the start."""
        return self._connection is None or not self._connection.open

    def on_closed(self, callback: Callable[[], None]) -> None:
        """Calls back once if the caller goes before it has the reply. Not for one-way callers."""
        if self._answered:
            return
        if self.closed:
            self._connection.loop.soon(callback)
        else:
            self._callbacks.append(callback)

    def __call__(self, reply: Struct) -> None:
        """Sends the reply."""
        self._finish(Kind.REPLY, reply)

    def fail(self, kind: FailureKind, message: str) -> None:
        """Tells the caller that there is no reply."""
        self._finish(Kind.EXCEPTION, Failure(message=message, type=kind))

    def _finish(self, kind: Kind, body: Struct) -> None:
        if self._answered or self.closed:
            return
        message = Message(self.method, kind, self._seqid, encode(body))
        self._answered = True
        self._callbacks.clear()
        self._connection.answer(message)

    def _closed(self) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            self._connection.loop.soon(callback)


class _Caller(Connection):
    """A connection that calls come in on."""

    def __init__(self, server: "RpcServer", sock: socket.socket, peer: Peer) -> None:
        self.peer = peer
        self.calls: dict[int, Respond] = {}  # in flight, by sequence number
        super().__init__(server.loop, sock, server)

    def answer(self, message: Message) -> None:
        self.calls.pop(message.seqid, None)
        if len(self.unsent) + len(message.body) > MAX_UNSENT:
            self.give_up()
            return
        try:
            self.send(message)
        except OverflowError:
            self.give_up()

    def give_up(self) -> None:
        """Ends the connection, whose caller must not wait for what cannot be sent."""
        self.counts.overflows += 1
        self.close()


Handler = Callable[[Any, Respond, Peer], None]


class _Method(NamedTuple):
    argument_class: type[Struct]
    handler: Handler


class RpcServer:
    """Listens at the address; `(host, 0)` takes any port, which `address` then tells."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        fleet: str,
        max_connections: int = MAX_CONNECTIONS,
        counts: RpcCounts | None = None,
    ) -> None:
        """Begins to listen; OSError when the address is taken."""
        self.loop, self.fleet, self.max_connections = loop, fleet, max_connections
        self.counts = counts or RpcCounts()
        self._methods: dict[str, _Method] = {}
        self._connections: set[_Caller] = set()
        self._resume_timer = None
        self._listener = listening(address, BACKLOG)
        self.address: tuple[str, int] = self._listener.getsockname()
        loop.watch(self._listener, READ, self._accept)

    def register(self, method: str, argument_class: type[Struct], handler: Handler) -> None:
        """Lets `handler(argument, respond, peer)` take calls of the method and its one-way messages."""
        self._methods[method] = _Method(argument_class, handler)

    def calls_in_flight(self, besides: Container[str] = ()) -> int:
        """Calls that wait for their reply, but for those of some methods."""
        calls = (call for connection in self._connections for call in connection.calls.values())
        return sum(call.method not in besides for call in calls)

    def close(self) -> None:
        """Ends listening and all connections."""
        if self._listener.fileno() < 0:
            return
        if self._resume_timer is None:
            self.loop.unwatch(self._listener)
        else:
            self._resume_timer.cancel()
        self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def greeted(self, connection: _Caller) -> None:
        """Called by a connection: nothing to do, its calls follow."""

    def lost(self, connection: _Caller) -> None:
        """Called by a connection that is over."""
        self._connections.discard(connection)
        calls, connection.calls = connection.calls, {}
        for respond in calls.values():
            respond._closed()

    def message(self, connection: _Caller, message: Message) -> None:
        """Called by a connection: a call or a one-way message has come."""
        if message.kind is Kind.CALL:
            respond = Respond(connection, message.method, message.seqid)
            if not self._admit(connection, message, respond):
                return
        elif message.kind is Kind.ONEWAY:
            respond = Respond(None, message.method, message.seqid)
        else:
            raise FrameError("a reply without a call")
        self._handle(connection, message, respond)

    def _admit(self, connection: _Caller, message: Message, respond: Respond) -> bool:
        if message.seqid in connection.calls:
            raise FrameError("a sequence number in use")
        if len(connection.calls) >= MAX_CALLS:
            self.counts.overflows += 1
            respond.fail(FailureKind.PROTOCOL_ERROR, "too many calls in flight")
            return False
        connection.calls[message.seqid] = respond
        return True

    def _handle(self, connection: _Caller, message: Message, respond: Respond) -> None:
        method = self._methods.get(message.method)
        if method is None:
            self.counts.unknown_methods += 1
            respond.fail(FailureKind.UNKNOWN_METHOD, f"unknown method {message.method}")
            return
        argument = decode(method.argument_class, message.body)
        try:
            method.handler(argument, respond, connection.peer)
        except Exception as error:  # one call's fault must not end the others of its connection
            log_exception()
            self.counts.failed_handlers += 1
            respond.fail(FailureKind.INTERNAL_ERROR, type(error).__name__)

    def _accept(self, _: int) -> None:
        for _turn in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                if error.errno in SHORT:
                    self._stop_accepting()
                return
            if len(self._connections) >= self.max_connections:
                self.counts.excess_connections += 1
                sock.close()
            else:
                self._open(sock, Peer(*address[:2]))

    def _open(self, sock: socket.socket, peer: Peer) -> None:
        try:
            connection = _Caller(self, sock, peer)
        except OSError:  # it has gone already
            sock.close()
            return
        if connection.open:
            self._connections.add(connection)

    def _stop_accepting(self) -> None:
        self.loop.unwatch(self._listener)
        self._resume_timer = self.loop.at(self.loop.now() + ACCEPT_BACKOFF_NS, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        self.loop.watch(self._listener, READ, self._accept)
