"""An HTTP/1.1 server on the loop: one request at a time on a connection, answers whole or in pieces."""

import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

import httptools

from ..net.log import fault, say
from ..net.loop import READ
from ..net.stream import Stream, listening
from .message import Headers, Request, encode_head, status_line

MILLISECOND = 1_000_000
BACKLOG = 1024
ACCEPTED_AT_ONCE = 64  # in one round of the loop
PIPELINED = 8  # requests read ahead on a connection
LINGER_TIME = 500 * MILLISECOND  # a refused client gets to read its answer before the socket goes
LONGEST_LINGER = 10_000 * MILLISECOND  # while the rest of its request still comes
FIRST_WORD_MS = 250  # for a client whose connection has just been accepted when the server shuts
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS = frozenset((204, 304))  # statuses whose answers end with the head (RFC 9112, section 6.3)
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger: on, 0 s


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


class _Reject(Exception):
    """A message that is refused while it is read."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class Exchange:
    """One request's answer. Exactly one of `respond` or `start`...`finish`/`abort` ends it."""

    def __init__(self, connection: "ServerConnection", request: Request):
        self.connection, self.request = connection, request
        self.began = connection.loop.now()  # ns, when the whole request had come
        self.started = self.ended = self.gone = False
        self.sized = False  # the length was told, no chunks
        self.bodiless = request.method == "HEAD"  # the answer ends with its head
        self._gone_callback: Callable[[], None] | None = None
        self.close_after = False

    @property
    def unsent(self) -> int:
        """Bytes that the client has not taken yet."""
        return len(self.connection.unsent)

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Called once when the client has gone before the answer was whole."""
        self._gone_callback = callback

    def on_drained(self, callback: Callable[[], None] | None) -> None:
        """Called each time the client has taken all that was written."""
        self.connection.drained = callback

    def respond(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """A whole answer."""
        if self.ended or self.gone:
            return
        head = [*headers, ("content-length", str(len(body)))]
        sent = b"" if self.bodiless else body
        self.started = True
        self.connection.write(encode_head(status_line(status), head + self._closing()) + sent)
        self._end()

    def start(self, status: int, headers: Headers, length: int | None = None) -> None:
        """The head of an answer that comes in pieces; `length` in bytes if it is known."""
        if self.ended or self.gone:
            return
        self.started = True
        self.bodiless |= status in BODILESS
        self.sized = length is not None or self.bodiless or self.request.version == "1.0"
        framing = [("transfer-encoding", "chunked")] if not self.sized else []
        if length is not None and status not in BODILESS:
            framing = [("content-length", str(length))]
        elif self.sized and not self.bodiless:
            self.close_after = True
        self.connection.write(encode_head(status_line(status), [*headers, *framing] + self._closing()))

    def send(self, data: bytes) -> None:
        """A piece of the body."""
        if data and not self.bodiless and not self.ended and not self.gone:
            self.connection.write(data if self.sized else b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """All of the body has been sent."""
        if not self.ended and not self.gone:
            if not self.sized:
                self.connection.write(b"0\r\n\r\n")
            self._end()

    def abort(self) -> None:
        """Cuts the answer off so that it can't look complete."""
        if not self.ended and not self.gone:
            self.ended = True
            if self.sized and self.close_after:
                self.connection.reset()  # its end is told by the connection's alone
            else:
                self.connection.close()

    def close_connection(self) -> None:
        """Ends the connection in order, with no answer."""
        if not self.ended and not self.gone:
            self.ended = True
            self.connection.close()

    def _closing(self) -> Headers:
        wanted = self.close_after or not self.request.keep_alive or self.connection.server.draining
        self.close_after = wanted
        return [("connection", "close")] if wanted else []

    def _end(self) -> None:
        self.ended = True
        self.connection.exchange_ended(self)

    def client_gone(self) -> None:
        """The connection has ended under this exchange."""
        if not self.ended and not self.gone:
            self.gone = True
            if self._gone_callback is not None:
                self._gone_callback()


class ServerConnection(Stream):
    """A client's connection."""

    def __init__(self, loop, sock, server: "HttpServer"):
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.exchange: Exchange | None = None
        self.waiting: deque[Request] = deque()
        self.drained: Callable[[], None] | None = None
        self.timer = None
        self.lingering = False
        self.linger_until: int | None = None  # ns, once the answer is out and the sending side is shut
        self.oversized = False  # the body is longer than allowed, and dropped as it comes
        self.rest_expected = True  # of a request that was refused
        self.refusal: int | None = None  # status for what can't be read; it follows the answers still due
        self.refusal_headers: Sequence[tuple[str, str]] = ()
        self.used = False  # a request has come on it
        self._begin_message()
        super().__init__(loop, sock)
        self._wait(server.limits.idle_timeout_ms, self._idle)

    # httptools' callbacks.

    def on_message_begin(self):
        self._begin_message()
        self.reading = True

    def on_url(self, url: bytes):
        self.target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes):
        self._count(len(name) + len(value) + 4)
        if self.head_read:
            return  # a trailer
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self):
        self.head_read = True
        if self.server.limits.body_bytes < self._stated_length():
            self.oversized = True
            return
        self.expecting = any(
            name == "expect" and value.lower() == "100-continue" for name, value in self.headers
        )
        self._let_continue()

    def _let_continue(self):
        """Asks for the body of a message that waits for that, unless answers come before."""
        if self.expecting and self.exchange is None and not self.waiting:
            self.expecting = False
            self.write(CONTINUE)

    def on_body(self, body: bytes):
        if self.oversized:
            return
        self.body += body
        if len(self.body) > self.server.limits.body_bytes:
            raise _Reject(413)

    def on_message_complete(self):
        if self.oversized:
            self.rest_expected = False
            raise _Reject(413)
        self.reading = False
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.headers,
            bytes(self.body),
            self.parser.get_http_version(),
            self.parser.should_keep_alive(),
        )
        self._begin_message()
        self.waiting.append(request)

    def _begin_message(self):
        self.target, self.headers, self.body, self.head_bytes = b"", [], bytearray(), 0
        self.reading = self.head_read = self.expecting = False
        self.unended_head = 0  # bytes of whole reads within one head: the parser keeps what has no end

    def _stated_length(self) -> int:
        for name, value in self.headers:
            if name == "content-length" and value.isdigit():
                return int(value)
        return 0

    def _count(self, size: int):
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes:
            raise _Reject(431)

    # The stream's.

    def received(self, data):
        if self.lingering or self.refusal is not None:
            self._drop(data)
            return
        in_head = self._in_head
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.waiting.pop()  # the message itself: no tunnel and no other protocol is offered
            self._refuse(400)
            return
        except httptools.HttpParserError as error:
            self._refuse_unread(_rejected_status(error))
            return
        if self.oversized:
            self._refuse_unread(413)
            return
        if in_head and self._in_head:
            self.unended_head += len(data)
            if self.unended_head > self.server.limits.header_bytes:
                self._refuse_unread(431)
                return
        if len(self.waiting) > PIPELINED:
            self.pause(True)
        if self.exchange is None:
            self._next()
            self._renew_timer()

    def _drop(self, data):
        """Reads the rest of what was refused: unread, it would turn the connection's end into a reset."""
        if self.oversized and self.rest_expected:
            with suppress(httptools.HttpParserError):
                self.parser.feed_data(data)
        if self.refusal is not None and self.rest_expected and self.linger_until is not None:
            self._linger()

    @property
    def _in_head(self) -> bool:
        return self.reading and not self.head_read

    def _next(self):
        """Hands over the next request that has been read."""
        while self.exchange is None and self.waiting and self.open:
            request = self.waiting.popleft()
            self._stop_timer()
            self.used = True
            exchange = self.exchange = Exchange(self, request)
            try:
                self.server.handle(request, exchange)
            except Exception:
                fault()
                if not exchange.ended and not exchange.started:
                    exchange.respond(500)
                elif not exchange.ended:
                    exchange.abort()

    def exchange_ended(self, exchange: Exchange):
        """The answer is whole: the next request is dealt with, or the connection closed."""
        self.exchange, self.drained = None, None
        if exchange.close_after:
            self.waiting.clear()
            self._finish()
            return
        if self.waiting:
            self.loop.soon(self._resume)
        elif self.refusal is not None:
            self._write_refusal()
        else:
            self._let_continue()
            self._renew_timer()

    def _resume(self):
        if not self.open or self.exchange is not None:
            return
        self.pause(False)
        self._next()
        self._renew_timer()

    def _renew_timer(self):
        if not self.open or self.exchange is not None or self.lingering:
            return
        limits = self.server.limits
        if self.reading and self.head_read:
            self._wait(limits.idle_timeout_ms, self._slow)  # anew with each piece of a body
        elif self.reading:
            if self.timer is None or self.timer_kind is not self._slow:
                self._wait(limits.header_wait_ms, self._slow)
        else:
            self._wait(limits.idle_timeout_ms, self._idle)

    def _wait(self, milliseconds: int, act):
        self._stop_timer()
        self.timer_kind = act
        self.timer = self.loop.at(self.loop.now() + milliseconds * MILLISECOND, act)

    def _stop_timer(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _idle(self):
        self.timer = None
        self.close()

    def _slow(self):
        """The rest of a message has not come in time."""
        self.timer = None
        self._refuse_unread(408)

    @property
    def busy(self) -> bool:
        """Whether a request is under way or half read, or an answer is not out yet."""
        return bool(self.exchange is not None or self.waiting or self.unsent or self.reading)

    def leave(self):
        """Ends the connection if it is idle, once what has come on it is read."""
        if self.lingering:
            return
        if not self.busy:
            self.ready(READ)  # unread bytes would turn the end into a reset
        if not self.open or self.lingering or self.exchange is not None or self.waiting or self.reading:
            return
        if self.unsent:
            self._finish()
        elif self.used:
            self.close()
        else:
            self._wait(FIRST_WORD_MS, self._idle)

    def refuse_half_read(self, status: int, headers: Headers):
        """Answers a request whose rest has not come yet."""
        if self.reading and self.exchange is None and not self.waiting and not self.lingering:
            self._refuse(status, headers)

    def _refuse_unread(self, status: int):
        """Answers a message that can't be parsed (400), or is beyond the limits."""
        if status == 400:
            self.rest_expected = False  # where it ends is not known
            self._refuse(status)
        else:
            self._refuse(*self.server.beyond_limits(status))

    def _refuse(self, status: int, headers: Sequence[tuple[str, str]] = ()):
        """Answers a message that can't be read, after those before it, and ends the connection."""
        self.server.refused(status)
        self.refusal, self.refusal_headers = status, headers
        self._begin_message()  # what was read of it is not kept
        self._next()
        if self.exchange is None and not self.waiting and not self.lingering:
            self._write_refusal()

    def _write_refusal(self):
        headers = [*self.refusal_headers, ("content-length", "0"), ("connection", "close")]
        self.write(encode_head(status_line(self.refusal), headers))
        self._finish()

    def _finish(self):
        """Half-closes, so that what was written arrives, and closes when the client does or soon."""
        if not self.open:
            return
        self.lingering = True
        self.pause(False)  # what still comes is read and dropped: unread, it would turn the end into a reset
        if self.unsent:
            self._wait(self.server.limits.idle_timeout_ms, self._idle)  # a client that takes nothing
        else:
            self._half_close()

    def _half_close(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.linger_until = self.loop.now() + LONGEST_LINGER
        self._linger()

    def _linger(self):
        """Closes when nothing more has come for a while, or too much."""
        longest = self.linger_until - self.loop.now()
        self._wait(max(0, min(LINGER_TIME, longest)) // MILLISECOND, self._idle)

    def written(self):
        if self.lingering and self.exchange is None:
            self._half_close()
        elif self.drained is not None:
            self.drained()

    def ended(self):
        if self.exchange is not None:
            self.exchange.client_gone()

    def reset(self):
        """Ends the connection with a reset."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.close()

    def released(self):
        self._stop_timer()
        self.server.connections.pop(self, None)


def _rejected_status(error: Exception) -> int:
    """The status for a message that was refused while it was read; 400 if it can't be parsed."""
    cause = error.__context__
    return cause.status if isinstance(cause, _Reject) else 400


class HttpServer:
    """Listens at an address and calls `handle(request, exchange)` for each request.

    A message that can't be parsed is answered with 400. `beyond_limits(status)` gives the answer to one that
    is longer or slower than the limits allow, for which the status would be 408, 413 or 431."""

    def __init__(
        self,
        loop,
        address: tuple[str, int],
        handle: Callable[[Request, Exchange], None],
        limits: ServerLimits | None = None,
        refused: Callable[[int], None] = lambda status: None,
        beyond_limits: Callable[[int], Rejection] = Rejection,
    ):
        self.loop, self.handle, self.limits = loop, handle, limits or ServerLimits()
        self.refused, self.beyond_limits = refused, beyond_limits
        self.draining = False
        self.listening = True
        self.connections: dict[ServerConnection, None] = {}
        self.sock = listening(address, BACKLOG)
        loop.watch(self.sock, READ, self._accept)

    @property
    def busy(self) -> int:
        """Connections with a request under way or half read, or an answer that is not out yet."""
        return sum(connection.busy for connection in self.connections)

    def drain(self) -> None:
        """Answers from now on tell clients to close."""
        self.draining = True

    def close_idle(self) -> None:
        """Ends the connections that have no request under way and none half read."""
        for connection in list(self.connections):
            connection.leave()

    def refuse_half_read(self, status: int, headers: Headers = ()) -> None:
        """Answers the requests whose rest has not come yet, and ends their connections."""
        for connection in list(self.connections):
            connection.refuse_half_read(status, list(headers))

    def shut(self) -> None:
        """Takes in all that have connected, then no more; connections end as they become idle."""
        self.drain()
        self._stop_listening()
        self.close_idle()

    def _stop_listening(self) -> None:
        if not self.listening:
            return
        for _ in range(BACKLOG // ACCEPTED_AT_ONCE + 1):
            if not self._accept_some():  # those in the system's queue would be reset
                break
        self.listening = False
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _accept(self, _mask):
        if self.listening:  # shut by an earlier event of the same round
            self._accept_some()

    def _accept_some(self) -> bool:
        """Accepts a bounded number of connections; whether more may wait."""
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                say("server", f"cannot accept: {error.strerror}")
                return False
            if len(self.connections) >= self.limits.connections:
                sock.close()
                continue
            self.connections[ServerConnection(self.loop, sock, self)] = None
        return True

    def close(self) -> None:
        self._stop_listening()
        for connection in list(self.connections):
            connection.close()
