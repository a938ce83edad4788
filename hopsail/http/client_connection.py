"""A client's HTTP/1.1 connection: one call at a time, its answer handed on as it comes."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import httptools

from ..net.stream import Stream
from .message import Framing, ResponseHead
from .sockets import reset_at_close

MILLISECOND = 1_000_000
CONNECT_TIME = 1000 * MILLISECOND
MOST_HEAD = 64 << 10
RECENT_CALLS = 16  # whose identifiers a connection remembers


class Failure(Enum):
    """Why a call has no complete answer."""

    NOT_SENT = "nothing was written"
    BROKEN = "the connection ended, or what came is not an answer"
    TIMED_OUT = "no answer in time"


class AnswerEnd(Enum):
    """How the end of an answer was signalled."""

    LENGTH = "length"  # its stated length has come, or no body follows its head
    LAST_CHUNK = "last_chunk"
    CLOSE = "close"  # its connection ended in order, as that of a process that crashes may


class Listener(Protocol):
    """Who a streamed call reports to. After `complete` or `failed` nothing more comes."""

    def head(self, head: ResponseHead) -> bool:
        """False for an answer to another call, which came in the place of this one's: it is skipped."""

    def body(self, data: bytes) -> None: ...

    def complete(self, end: AnswerEnd) -> None: ...

    def failed(self, failure: Failure) -> None: ...


class Owner(Protocol):
    """Who keeps connections between calls."""

    def rest(self, connection: "ClientConnection") -> None:
        """Its call is over, and it may carry another."""

    def gone(self, connection: "ClientConnection") -> None:
        """It has been closed."""


class ClientConnection(Stream):
    """A connection to one address that carries one call at a time."""

    recent: tuple[str, ...] = ()  # identifiers of the last calls
    carries_more = True  # after the call under way

    def __init__(self, loop, sock, address, pool: Owner):
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
        self.answer_complete = self.skipping = self.keep_alive = self.head_read = self.chunked = False
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
        if self.answer_complete:
            raise ValueError("more after a complete answer")  # it belongs to no request
        self.head_read = False

    def on_header(self, name: bytes, value: bytes):
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MOST_HEAD:
            raise ValueError("too long a head")
        if self.head_read:
            return  # a trailer
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self):
        if self.listener is None:
            return  # nobody wants the rest: the connection was closed by what came before
        self.head_read = True
        self.status = self.parser.get_status_code()
        if self.status < 200:
            return
        head = ResponseHead(self.status, self.headers, self.parser.should_keep_alive())
        framing = head.framing
        self.until_close = framing is Framing.CONNECTION
        self.chunked = framing is Framing.CHUNKS
        self.skipping = not self.listener.head(head)
        if self.bodiless and not self.skipping:
            self.answer_complete = self.until_close = (
                True  # the parser expects a body: it can't go on from here
            )

    def on_body(self, body: bytes):
        if self.listener is not None and not self.skipping and not self.answer_complete:
            self.listener.body(body)

    def on_message_complete(self):
        if self.listener is None:
            return
        if self.status < 200 or self.skipping:
            self.headers, self.skipping, self.until_close = [], False, False
            return
        self.answer_complete = True
        self.keep_alive = self.parser.should_keep_alive()  # it can only be told here

    # The stream's.

    def received(self, data):
        if self.listener is None or self.written_at is None:
            self.close()  # bytes that belong to no request
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.answer_complete:
                self._fail(Failure.BROKEN)
                return
            self.parser = None  # more after a complete answer: it belongs to no request
        if self.answer_complete and self.listener is not None:
            self._complete()

    def _complete(self):
        listener, self.listener = self.listener, None
        end = AnswerEnd.LAST_CHUNK if self.chunked and not self.bodiless else AnswerEnd.LENGTH
        clean = self.parser is not None and self.keep_alive and not self.until_close and self.carries_more
        listener.complete(end)
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
            listener.complete(AnswerEnd.CLOSE)
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
            reset_at_close(self.sock)
        self.abandon()

    def released(self):
        self.timer.cancel()
        self.request = None  # it may be one that was never written
        self.parser = None  # it has a reference to this connection
        self.pool.gone(self)
