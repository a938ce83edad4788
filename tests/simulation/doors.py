"""What programs get in place of sockets: servers, channels, clients and datagrams on the simulated network.

Bodies are encoded and decoded as on a real wire."""

from collections.abc import Callable
from itertools import count

from hopsail.http.message import Request, Response
from hopsail.rpc.errors import DisconnectedError, CallTimeoutError
from hopsail.rpc.link_sign import LinkSign
from hopsail.rpc.structs import decode, encode

from .clock import MILLISECOND

RESET_PAUSE = 50 * MILLISECOND  # until a connection that was reset is made anew


class SimulatedRpcServer:
    """In place of `RpcServer`."""

    def __init__(self, loop, address, fleet: str, *more):
        self.machine, self.methods = loop.machine, {}
        self.machine.rpc = self
        self.calls: dict[SimulatedRespond, str] = {}  # without a reply, and their methods

    def register(self, method: str, argument_class, handler) -> None:
        self.methods[method] = argument_class, handler

    def close(self) -> None:
        self.machine.rpc = None

    def end_connection(self, channel: "SimulatedChannel", connection: int) -> None:
        """A caller's connection has ended."""
        gone = [one for one in self.calls if one.channel is channel and one.connection <= connection]
        for respond in gone:
            del self.calls[respond]
            respond.end()

    def calls_in_flight(self, besides=()) -> int:
        return sum(method not in besides for method in self.calls.values())

    def take(self, method: str, body: bytes, respond: "SimulatedRespond | None") -> None:
        """A call has come, or a message that is not answered."""
        argument_class, handler = self.methods[method]
        if respond is not None:
            self.calls[respond] = method
        handler(decode(argument_class, body), respond, None)


class SimulatedRespond:
    """The way back to a caller; that the caller has ended without a reset is not noticed."""

    def __init__(self, machine, channel: "SimulatedChannel", connection: int, method: str, seqid: int):
        self.machine, self.channel, self.connection = machine, channel, connection
        self.method, self.seqid = method, seqid
        self.closed = False
        self._callbacks: list[Callable[[], None]] = []

    def on_closed(self, callback: Callable[[], None]) -> None:
        """A caller that has gone without a reset is noticed by its next call."""
        self._callbacks.append(callback)

    def end(self) -> None:
        """The connection was reset."""
        self.closed = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def __call__(self, reply) -> None:
        self._callbacks.clear()
        if self.closed:
            return
        data, channel = encode(reply), self.channel
        if self.machine.rpc is not None:
            self.machine.rpc.calls.pop(self, None)

        def deliver() -> None:
            if channel.connection == self.connection:
                channel.machine.have(lambda: channel.replied(self.seqid, data), channel.life)

        self.machine.world.network.send(
            self.machine.host, channel.machine.host, deliver, f"{self.method} reply", channel.reset
        )


class SimulatedChannel:
    """In place of `Channel`."""

    connected = True

    def __init__(self, loop, address, fleet: str, counts=None, dial_times=None):
        self.loop, self.address = loop, tuple(address)
        self.machine, self.life = loop.machine, loop.life
        self._seqids, self._calls = count(1), {}
        self.connection = 1  # of those made after resets
        self._not_before = 0  # world's ns
        self._closed = self._has_reset = False

    def call(self, method: str, argument, reply_class, done, timeout: int) -> None:
        seqid, body = next(self._seqids), encode(argument)
        timer = self.loop.at(
            self.loop.now() + timeout, lambda: self._finish(seqid, None, CallTimeoutError(method))
        )
        self._calls[seqid] = reply_class, done, timer
        self._send(method, body, seqid)

    def send(self, method: str, argument) -> None:
        self._send(method, encode(argument), 0)

    def close(self) -> None:
        self._closed = True

    @property
    def link_sign(self) -> LinkSign:
        """What dials would have shown by now."""
        world, here, there = self.machine.world, self.machine.host, self.address[0]
        if world.network.is_cut(here, there) or world.network.is_cut(there, here):
            return LinkSign.UNANSWERED
        other = world.machine_at(there)
        if other is None or other.gone:
            return LinkSign.UNANSWERED
        return LinkSign.REFUSED if other.rpc is None or self._has_reset else LinkSign.ACCEPTED

    def replied(self, seqid: int, data: bytes) -> None:
        """An answer has come; a second one, or a late one, is dropped."""
        self._has_reset = False
        if seqid in self._calls:
            self._finish(seqid, decode(self._calls[seqid][0], data), None)

    def reset(self) -> None:
        """The connection ends; both sides see it, and what is under way on it is lost."""
        world, ended = self.machine.world, self.connection
        self.connection += 1
        self._has_reset = True
        self._not_before = world.clock.now + RESET_PAUSE
        self.machine.have(lambda: self._lost(list(self._calls)), self.life)
        other = world.machine_at(self.address[0])
        if other is not None and other.rpc is not None:
            other.have(lambda: other.rpc and other.rpc.end_connection(self, ended))

    def _lost(self, seqids: list[int]) -> None:
        for seqid in seqids:
            self.loop.soon(self._finish, seqid, None, DisconnectedError("connection lost"))

    def _finish(self, seqid: int, reply, error) -> None:
        call = self._calls.pop(seqid, None)
        if call is not None:
            call[2].cancel()
            call[1](reply, error)

    def _send(self, method: str, body: bytes, seqid: int) -> None:
        world, machine = self.machine.world, self.machine
        if world.clock.now < self._not_before:
            if seqid:  # a call waits for the new connection, a one-way message does not
                world.clock.at(self._not_before, lambda: self._send(method, body, seqid), machine, self.life)
            return
        connection = self.connection

        def deliver() -> None:
            other = world.machine_at(self.address[0])
            if other is None or self.connection != connection:
                return

            def take() -> None:
                if other.rpc is not None:
                    other.rpc.take(
                        method,
                        body,
                        SimulatedRespond(other, self, connection, method, seqid) if seqid else None,
                    )

            other.have(take)

        world.network.send(machine.host, self.address[0], deliver, method, self.reset)


class SimulatedExchange:
    """The answer to a call from outside; `told(status, body)` when it has arrived."""

    def __init__(self, machine, caller: str, told: Callable[[int, bytes], None]):
        self.machine, self.caller, self.told = machine, caller, told
        self.ended = False
        self.on_end: Callable[[], None] = lambda: None
        self.lost: Callable[[], None] = lambda: None  # told to the caller

    def reset(self) -> None:
        """The connection ends; both sides see it."""
        self.lost()
        self.machine.have(self._gone)

    def _gone(self) -> None:
        if not self.ended:
            self.ended = True
            self.on_end()

    def respond(self, status: int, body: bytes = b"", headers=()) -> None:
        if self.ended:
            return
        self.ended = True
        self.on_end()
        self.machine.world.checker.answered(self, status)
        self.machine.world.network.send(
            self.machine.host, self.caller, lambda: self.told(status, body), "operator answer", self.lost
        )

    def on_gone(self, callback) -> None:
        """The control side asks for no word of it; its answer is left out."""


class SimulatedHttpServer:
    """In place of `HttpServer`."""

    def __init__(self, loop, address, handle, *more):
        self.machine, self.handle = loop.machine, handle
        self.machine.doors[tuple(address)[1]] = self
        self.connections: list[SimulatedExchange] = []  # each has one call under way

    @property
    def busy(self) -> int:
        return len(self.connections)

    def take(self, request: Request, exchange: SimulatedExchange) -> None:
        """A call has come."""
        if not exchange.ended and exchange not in self.connections:
            self.connections.append(exchange)
        exchange.on_end = lambda: self._end(exchange)
        self.handle(request, exchange)

    def _end(self, exchange: SimulatedExchange) -> None:
        if exchange in self.connections:
            self.connections.remove(exchange)

    def drain(self) -> None:
        """Answers go on."""

    def close_idle(self) -> None:
        """No connection is kept."""

    def refuse_half_read(self, *values) -> None:
        """Calls come whole."""

    def shut(self) -> None:
        self.machine.doors = {port: door for port, door in self.machine.doors.items() if door is not self}

    def close(self) -> None:
        self.shut()
        self.connections.clear()


class SimulatedHttpClient:
    """In place of `HttpClient`: calls hosts and the platform."""

    def __init__(self, loop, *more):
        self.loop, self.machine = loop, loop.machine

    def call(self, address, method, target, headers=(), body=b"", timeout=0, done=lambda response: None):
        world, machine, life = self.machine.world, self.machine, self.loop.life
        over: list[bool] = []

        def finish(response: Response | None) -> None:
            if not over:
                over.append(True)
                done(response)

        def reach() -> None:
            status, answer = world.outside.call(tuple(address), target, headers, body)
            if status:
                response = Response(status, [], answer)
                world.network.send(
                    address[0],
                    machine.host,
                    lambda: machine.have(lambda: finish(response), life),
                    "hosts answer",
                    reset,
                )

        def reset() -> None:
            machine.have(lambda: finish(None), life)

        world.outside.called(machine, tuple(address), target, headers, body)
        self.loop.at(self.loop.now() + timeout, lambda: finish(None))
        world.network.send(machine.host, address[0], reach, "hosts", reset)


class SimulatedSocket:
    """In place of the membership's UDP socket."""

    def __init__(self, loop, address):
        self.machine, self.watcher = loop.machine, lambda mask: None
        self.received: list[bytes] = []
        self.machine.socket = self

    def sendto(self, data: bytes, address) -> None:
        world, host = self.machine.world, tuple(address)[0]

        def deliver() -> None:
            other = world.machine_at(host)
            if other is not None and other.socket is not None:
                other.have(lambda: other.socket.take(data))

        world.network.send(self.machine.host, host, deliver)

    def take(self, data: bytes) -> None:
        """A datagram has come."""
        self.received.append(data)
        self.watcher(1)

    def recvfrom(self, size: int):
        if not self.received:
            raise BlockingIOError
        return self.received.pop(0)[:size], None

    def close(self) -> None:
        self.machine.socket = None


def request_of(method: str, path: str, base: int | None, body: bytes) -> Request:
    """An operator's call."""
    headers = [] if base is None else [("if-match", str(base))]
    return Request(method, path, headers, body)
