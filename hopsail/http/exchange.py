"""The answer to one request, whole or in pieces."""

from collections.abc import Callable
from typing import Protocol

from ..net.loop import Loop
from .message import Headers, Request, encode_head, status_line

BODILESS = frozenset((204, 304))  # statuses whose answers end with the head (RFC 9112, section 6.3)


class DrainingServer(Protocol):
    """The server of the connection; while it drains, answers tell clients to close."""

    draining: bool


class AnsweringConnection(Protocol):
    """The connection that an answer goes out on."""

    loop: Loop
    unsent: bytearray
    drained: Callable[[], None] | None
    server: DrainingServer

    def write(self, data: bytes) -> None: ...

    def exchange_ended(self, exchange: "Exchange") -> None:
        """The exchange is over: nothing of it may be kept, its request's body least of all."""

    def reset(self) -> None: ...

    def close(self) -> None: ...


class Exchange:
    """One request's answer. Exactly one of `respond` or `start`...`finish`/`abort` ends it."""

    def __init__(self, connection: AnsweringConnection, request: Request):
        self.connection, self.request = connection, request
        # ns, when the whole request had come: its time goes on while it waits for answers before its own.
        self.began = connection.loop.now() if request.came_at is None else request.came_at
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
            if self.sized and self.close_after:
                self.connection.reset()  # its end is told by the connection's alone
            else:
                self.connection.close()
            self._end()

    def close_connection(self) -> None:
        """Ends the connection in order, with no answer."""
        if not self.ended and not self.gone:
            self.connection.close()
            self._end()

    def _closing(self) -> Headers:
        wanted = self.close_after or not self.request.keep_alive or self.connection.server.draining
        self.close_after = wanted
        return [("connection", "close")] if wanted else []

    def _end(self) -> None:
        self.ended = True
        self._gone_callback = None  # whoever asked for it holds this exchange: no cycle outlives the answer
        self.connection.exchange_ended(self)

    def client_gone(self) -> None:
        """The connection has ended under this exchange."""
        if not self.ended and not self.gone:
            self.gone = True
            self.connection.drained = None
            callback, self._gone_callback = self._gone_callback, None
            if callback is not None:
                callback()
