"""A client's connection: one request at a time, refusals, timers, and an end that loses no answer."""

import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from ..event_log import log_exception
from ..net.loop import READ, Loop
from ..net.stream import Stream
from .exchange import Exchange
from .limits import Rejection, ServerLimits
from .message import Headers, Request, encode_head, status_line
from .request_parser import MALFORMED, RequestError, RequestParser
from .sockets import reset_at_close

MILLISECOND = 1_000_000
PIPELINED = 8  # requests read ahead on a connection
LINGER_TIME = 500 * MILLISECOND  # a refused client gets to read its answer before the socket goes
LONGEST_LINGER = 10_000 * MILLISECOND  # while the rest of its request still comes
FIRST_WORD_MS = 250  # for a client whose connection has just been accepted when the server shuts
TIMED_OUT = 408
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionOwner(Protocol):
    """The server that has accepted a connection."""

    limits: ServerLimits
    draining: bool
    connections: dict["ServerConnection", None]
    handle: Callable[[Request, Exchange], None]
    refused: Callable[[int], None]
    beyond_limits: Callable[[int], Rejection]


class ServerConnection(Stream):
    """A client's connection."""

    def __init__(self, loop: Loop, sock: socket.socket, server: ConnectionOwner):
        self.server = server
        self.exchange: Exchange | None = None
        self.waiting: deque[Request] = deque()
        self.parser = RequestParser(server.limits, self.waiting, self._let_continue, loop.now)
        self.drained: Callable[[], None] | None = None
        self.timer = None
        self.head_awaited = False  # the timer is that of a half-read head
        self.lingering = False
        self.linger_until: int | None = None  # ns, once the answer is out and the sending side is shut
        self.refusal: int | None = None  # status for what can't be read; it follows the answers still due
        self.refusal_headers: Sequence[tuple[str, str]] = ()
        self.used = False  # a request has come on it
        super().__init__(loop, sock)
        self._wait(server.limits.idle_timeout_ms, self._idle)

    def _let_continue(self):
        """Asks for the body of a message that waits for that, unless answers come before."""
        if self.parser.expecting and self.exchange is None and not self.waiting:
            self.parser.expecting = False
            self.write(CONTINUE)

    # The stream's.

    def received(self, data):
        if self.lingering or self.refusal is not None:
            self._drop(data)
            return
        try:
            self.parser.feed(data)
        except RequestError as error:
            self._refuse_unread(error.status)
            return
        if len(self.waiting) > PIPELINED:
            self.pause(True)
        if self.exchange is None:
            self._next()
            self._renew_timer()

    def _drop(self, data):
        """Reads the rest of what was refused: unread, it would turn the connection's end into a reset."""
        self.parser.drop(data)
        if self.refusal is not None and self.parser.rest_expected and self.linger_until is not None:
            self._linger()

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
                log_exception()
                if not exchange.ended and not exchange.started:
                    exchange.respond(500)
                elif not exchange.ended:
                    exchange.abort()

    def exchange_ended(self, exchange: Exchange):
        """The answer is over: the next request is dealt with, or the connection closed."""
        self.exchange, self.drained = None, None
        if not self.open:
            return
        if exchange.close_after:
            self.waiting.clear()
            self.parser.clear()  # nobody will be handed what has come behind it
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
        if self.parser.reading and self.parser.head_read:
            self._wait(limits.idle_timeout_ms, self._slow)  # anew with each piece of a body
        elif self.parser.reading:
            if not self.head_awaited:
                self._wait(limits.header_wait_ms, self._slow)
                self.head_awaited = True
        else:
            self._wait(limits.idle_timeout_ms, self._idle)

    def _wait(self, milliseconds: int, act):
        self._stop_timer()
        self.timer = self.loop.at(self.loop.now() + milliseconds * MILLISECOND, act)

    def _stop_timer(self):
        self.head_awaited = False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _idle(self):
        self.timer = None
        self.close()

    def _slow(self):
        """The rest of a message has not come in time."""
        self.timer = None
        self._refuse_unread(TIMED_OUT)

    @property
    def busy(self) -> bool:
        """Whether a request is under way or half read, or an answer is not out yet."""
        return bool(self.exchange is not None or self.waiting or self.unsent or self.parser.reading)

    def leave(self):
        """Ends the connection if it is idle, once what has come on it is read."""
        if self.lingering:
            return
        if not self.busy:
            self.ready(READ)  # unread bytes would turn the end into a reset
        if (
            not self.open
            or self.lingering
            or self.exchange is not None
            or self.waiting
            or self.parser.reading
        ):
            return
        if self.unsent:
            self._finish()
        elif self.used:
            self.close()
        else:
            self._wait(FIRST_WORD_MS, self._idle)

    def refuse_half_read(self, status: int, headers: Headers):
        """Answers a request whose rest has not come yet."""
        if self.parser.reading and self.exchange is None and not self.waiting and not self.lingering:
            self._refuse(status, headers)

    def _refuse_unread(self, status: int):
        """Answers a message that can't be parsed (400), or is beyond the limits."""
        if status == MALFORMED:
            self._refuse(status)
        else:
            self._refuse(*self.server.beyond_limits(status))

    def _refuse(self, status: int, headers: Sequence[tuple[str, str]] = ()):
        """Answers a message that can't be read, after those before it, and ends the connection."""
        self.server.refused(status)
        self.refusal, self.refusal_headers = status, headers
        self.parser.clear()  # what was read of it is not kept
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
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.client_gone()

    def reset(self):
        """Ends the connection with a reset."""
        if self.open:
            reset_at_close(self.sock)
            self.close()

    def released(self):
        self._stop_timer()
        self.waiting.clear()
        self.parser.close()
        self.server.connections.pop(self, None)
