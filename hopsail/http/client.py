"""HTTP/1.1 calls on the loop: answers handed on as they come, and one-shot calls."""

import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import httptools

from ..net.loop import READ
from ..net.stream import Stream, dial
from .message import Headers, Response, ResponseHead, encode_request

MILLISECOND = 1_000_000
CONNECT_TIME = 1000 * MILLISECOND
IDLE_TIME = 4000 * MILLISECOND  # a connection that has stood idle for longer is not used again
IDLE_PER_ADDRESS = 32
MOST_BODY = 32 << 20  # bytes of a one-shot answer
MOST_HEAD = 64 << 10
RECENT_CALLS = 16  # whose identifiers a connection remembers
REPEATABLE_METHODS = frozenset(("GET", "HEAD"))  # of one-shot calls
CLOSE = ("connection", "close")  # header of a call that shares its connection with no other
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger: on, 0 s


class Failure(Enum):
    """Why a call has no whole answer."""

    NOT_SENT = "nothing was written"
    BROKEN = "the connection ended, or what came is not an answer"
    TIMED_OUT = "no answer in time"


class Listener(Protocol):
    """Who a streamed call reports to. After `complete` or `failed` nothing more comes."""

    def head(self, head: ResponseHead) -> bool:
        """False for an answer to another call, which came in the place of this one's: it is skipped."""

    def body(self, data: bytes) -> None: ...

    def complete(self) -> None: ...

    def failed(self, failure: Failure) -> None: ...


class ClientConnection(Stream):
    """A connection to one address that carries one call at a time."""

    recent: tuple[str, ...] = ()  # identifiers of the last calls
    carries_more = True  # after the call under way

    def __init__(self, loop, sock, address, pool: "ConnectionPool"):
        self.address, self.pool = address, pool
        self.listener: Listener | None = None
        self.request: bytes | Callable[[], bytes | None] | None = None  # to be written once it is up
        self.written_at: int | None = None  # ns
        self.taken_before = 0  # `gone_out` when the request was written
        self.used = False
        self.idle_since = 0
        self.keep_until = 0
        self.until_close = False
        self.parser = None
        super().__init__(loop, sock, dialing=True)
        self.timer = loop.at(loop.now() + CONNECT_TIME, self._not_up)

    def carry(self, request: bytes | Callable[[], bytes | None], listener: Listener) -> None:
        """Sends a request as soon as the connection is up: its bytes, or what gives them at that moment.

        None instead of bytes: too late, nothing is written; whoever asked has a timer that is due."""
        self.listener, self.request = listener, request
        self.written_at, self.until_close = None, False
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.headers, self.head_bytes = 0, [], 0
        self.whole = self.skipping = self.keep_alive = self.head_read = False
        if not self.dialing:
            self._write_request()

    def name_call(self, identifier: str) -> bool:
        """Notes the next call's identifier; False if a recent one had it: its late answer looks alike."""
        known = identifier in self.recent
        self.recent = (*self.recent[1 - RECENT_CALLS :], identifier)
        return not known

    def _write_request(self):
        request, self.request = self.request, None
        data = request if isinstance(request, bytes) else request()
        if data is None:
            return
        self.bodiless = data.startswith(b"HEAD ")  # its answer ends with the head, whatever length is stated
        self.written_at, self.taken_before = self.loop.now(), self.gone_out
        self.write(data)

    @property
    def request_taken(self) -> int:
        """Bytes of the request that the system has taken: with the first of them, it may run."""
        return 0 if self.written_at is None else self.gone_out - self.taken_before

    def connected(self):
        self.timer.cancel()
        if self.request is not None:
            self._write_request()

    def _not_up(self):
        if self.dialing:
            self._end()

    # httptools' callbacks.

    def on_message_begin(self):
        if self.whole:
            raise ValueError("more after a whole answer")  # it belongs to no request
        self.head_read = False

    def on_header(self, name: bytes, value: bytes):
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MOST_HEAD:
            raise ValueError("too long a head")
        if self.head_read:
            return  # a trailer
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self):
        self.head_read = True
        self.status = self.parser.get_status_code()
        if self.status < 200:
            return
        names = {name for name, _ in self.headers}
        self.until_close = not names & {"content-length", "transfer-encoding"}
        if self.listener is not None:
            head = ResponseHead(self.status, self.headers, self.parser.should_keep_alive())
            self.skipping = not self.listener.head(head)
        if self.bodiless and not self.skipping:
            self.whole = self.until_close = True  # the parser expects a body: it can't go on from here

    def on_body(self, body: bytes):
        if self.listener is not None and not self.skipping and not self.whole:
            self.listener.body(body)

    def on_message_complete(self):
        if self.status < 200 or self.skipping:
            self.headers, self.skipping, self.until_close = [], False, False
            return
        self.whole = True
        self.keep_alive = self.parser.should_keep_alive()  # it can only be told here

    # The stream's.

    def received(self, data):
        if self.listener is None or self.written_at is None:
            self.close()  # bytes that belong to no request
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                self._fail(Failure.BROKEN)
                return
            self.parser = None  # more after a whole answer: it belongs to no request
        if self.whole and self.listener is not None:
            self._complete()

    def _complete(self):
        listener, self.listener = self.listener, None
        clean = self.parser is not None and self.keep_alive and not self.until_close and self.carries_more
        listener.complete()
        if clean and self.open and not self.unsent:
            self.pool.rest(self)
        else:
            self.close()

    def ended(self):
        listener = self.listener
        if listener is None:
            return
        if self.finished and self.until_close and not self.skipping:
            self.listener = None
            listener.complete()
            return
        self._report(Failure.BROKEN if self.request_taken else Failure.NOT_SENT)

    def _fail(self, failure: Failure):
        self.close()
        self._report(failure)

    def _report(self, failure: Failure):
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.failed(failure)

    def abandon(self):
        """Nobody wants the answer any more: the connection is closed, which tells the host."""
        self.listener = None
        self.close()

    def reset(self) -> None:
        """The same, and what the host has not had yet is not to reach it later."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.abandon()

    def released(self):
        self.timer.cancel()
        self.pool.gone(self)


class ConnectionPool:
    """Connections by address, the last used one first."""

    def __init__(self, loop, most: int = 2048, user_timeout_ms: int = 2000):
        self.loop, self.most, self.user_timeout_ms = loop, most, user_timeout_ms
        self.idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self.connections: dict[ClientConnection, None] = {}
        self.dialed = self.reused = 0

    def take(self, address, fresh: bool = False) -> ClientConnection | None:
        """A connection that is idle or on its way up; None when none can be had now.

        `fresh`: one that has carried nothing before, on which no answer to an earlier call can come."""
        now = self.loop.now()
        idle = [] if fresh else self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if now > connection.keep_until:
                connection.close()
                continue
            connection.ready(READ)  # the other side may have closed it: then it is gone now
            if connection.open:
                self.reused += 1
                return connection
        return self._dial(address)

    def _dial(self, address) -> ClientConnection | None:
        if len(self.connections) >= self.most and not self._spare():
            return None
        try:
            sock = dial(address)
        except OSError:
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.user_timeout_ms)
        connection = ClientConnection(self.loop, sock, address, self)
        self.connections[connection] = None
        self.dialed += 1
        return connection

    def _spare(self) -> bool:
        for idle in self.idle.values():
            if idle:
                idle[0].close()
                return True
        return False

    def rest(self, connection: ClientConnection):
        """Keeps a connection for the next call."""
        connection.pause(False)  # its last listener may have held it up
        idle = self.idle.setdefault(connection.address, [])
        keep = _keep_alive_time(connection.headers)
        connection.used, connection.idle_since = True, self.loop.now()
        connection.keep_until = connection.idle_since + min(IDLE_TIME, keep)
        if len(idle) >= IDLE_PER_ADDRESS or keep <= 0:
            connection.close()
        else:
            idle.append(connection)

    def gone(self, connection: ClientConnection):
        self.connections.pop(connection, None)
        idle = self.idle.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                self.idle.pop(connection.address, None)

    def forget(self, address):
        """Closes the idle connections to an address."""
        for connection in list(self.idle.get(address, ())):
            connection.close()

    def close(self):
        for connection in list(self.connections):
            connection.close()


def _keep_alive_time(headers: Headers) -> int:
    """ns for which an idle connection may be used, by the `Keep-Alive` of the last answer."""
    for name, value in headers:
        if name == "keep-alive":
            for item in value.split(","):
                key, _, text = item.strip().partition("=")
                if key.lower() == "timeout" and text.isascii() and text.isdigit() and len(text) < 10:
                    return int(text) * 1000 * MILLISECOND * 3 // 4 - 100 * MILLISECOND
    return IDLE_TIME


class _Call:
    """A one-shot call: collects the answer."""

    def __init__(self, repeatable: bool, done: Callable[[Response | None], None]):
        self.repeatable, self.done = repeatable, done
        self.response_head: ResponseHead | None = None
        self.data = bytearray()
        self.connection: ClientConnection | None = None
        self.timer = None

    def head(self, head: ResponseHead) -> bool:
        self.response_head = head
        return True

    def body(self, data: bytes):
        self.data += data
        if len(self.data) > MOST_BODY:
            self.give_up()

    def complete(self):
        head = self.response_head
        self._end(Response(head.status, head.headers, bytes(self.data)))

    def failed(self, failure: Failure):
        self._end(None)

    def give_up(self):
        """Too late or too long."""
        if self.connection is not None and self.repeatable:
            self.connection.abandon()
        elif self.connection is not None:
            self.connection.reset()
        self._end(None)

    def _end(self, response: Response | None):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        done, self.done = self.done, None
        if done is not None:
            done(response)


class HttpClient:
    """One-shot calls with whole answers; `done(None)` when there is none in time.

    The answer to a call bears no id. One that may not be repeated, or says that its connection is to be
    closed (`CLOSE`), goes on a connection that has carried nothing, where no late answer to an earlier call
    can pass for its own. What may not be repeated is not left on its way when it is given up."""

    def __init__(self, loop, pool: ConnectionPool | None = None):
        self.loop, self.pool = loop, pool or ConnectionPool(loop)

    def call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout: int = 1000 * MILLISECOND,
        done: Callable[[Response | None], None] = lambda response: None,
    ) -> None:
        """`timeout` in ns. `done` is called once, never from inside this call."""
        repeatable = method in REPEATABLE_METHODS
        call = _Call(repeatable, done)
        connection = self.pool.take(address, fresh=not repeatable or CLOSE in headers)
        if connection is None:
            self.loop.soon(call.failed, Failure.NOT_SENT)
            return
        named = list(headers)
        if not any(name == "host" for name, _ in named):
            named.insert(0, ("host", f"{address[0]}:{address[1]}"))
        call.connection = connection
        connection.carries_more = CLOSE not in headers
        until = self.loop.now() + timeout
        call.timer = self.loop.at(until, call.give_up)
        data = encode_request(method, target, named, body)
        connection.carry(lambda: data if self.loop.now() < until else None, call)
