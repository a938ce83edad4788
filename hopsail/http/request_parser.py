"""Requests out of the bytes of a connection, within limits (RFC 9112)."""

from collections import deque
from collections.abc import Callable
from contextlib import suppress

import httptools

from ..errors import HopsailError
from .limits import ServerLimits
from .message import Request

MALFORMED = 400
TOO_LARGE = 413
HEAD_TOO_LARGE = 431


class RequestError(HopsailError):
    """A message that can't be parsed (400), or is longer than allowed (413, 431)."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class RequestParser:
    """Appends each whole request to `requests`; `head_read()` is called at the end of each head.

    `clock()` tells ns. `expecting`: a client waits for `100 Continue` before it sends the body."""

    def __init__(
        self,
        limits: ServerLimits,
        requests: deque[Request],
        head_read: Callable[[], None],
        clock: Callable[[], int],
    ):
        self.limits, self.requests, self._notify_head_read = limits, requests, head_read
        self._clock = clock
        self.rest_expected = True  # of a request that was refused
        self._has_advanced = False  # a message has begun, or some of a body has come
        self._is_oversized = False  # the body is longer than allowed, and dropped as it comes
        self._parser = httptools.HttpRequestParser(self)
        self.clear()

    def clear(self) -> None:
        """Keeps nothing of the message under way."""
        self.target, self.headers, self.body, self.head_bytes = b"", [], bytearray(), 0
        self.reading = self.head_read = self.expecting = False
        self.unended = 0  # bytes of whole reads without any of a body: httptools keeps what has no end

    def close(self) -> None:
        """Keeps nothing, and nobody is called any more; nothing may be fed after it."""
        self.clear()
        self._parser = None  # httptools' parser has a reference to this one
        self._notify_head_read = _ignore_head

    def feed(self, data: bytes) -> None:
        """Raises RequestError at the first message that is refused; nothing more may be fed then."""
        self._has_advanced = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.requests.pop()  # the message itself: no tunnel and no other protocol is offered
            self._fail(MALFORMED)
        except httptools.HttpParserError as error:
            self._fail(_refused_status(error))
        if self._is_oversized:
            self._fail(TOO_LARGE)
        if self.reading and not self._has_advanced:
            self.unended += len(data)
            if self.unended > self.limits.header_bytes:
                self._fail(HEAD_TOO_LARGE)

    def drop(self, data: bytes) -> None:
        """What comes of a message after it was refused, to find its end where that can be told."""
        if self._is_oversized and self.rest_expected:
            with suppress(httptools.HttpParserError):
                self._parser.feed_data(data)

    def _fail(self, status: int) -> None:
        if status == MALFORMED:
            self.rest_expected = False  # where it ends is not known
        raise RequestError(status) from None

    # httptools' callbacks.

    def on_message_begin(self) -> None:
        self.clear()
        self.reading = self._has_advanced = True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value) + 4)
        if self.head_read:
            return  # a trailer
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self.head_read = True
        if self.limits.body_bytes < self._stated_length():
            self._is_oversized = True
            return
        self.expecting = any(
            name == "expect" and value.lower() == "100-continue" for name, value in self.headers
        )
        self._notify_head_read()

    def on_body(self, body: bytes) -> None:
        self._has_advanced, self.unended = True, 0
        if self._is_oversized:
            return
        self.body += body
        if len(self.body) > self.limits.body_bytes:
            raise RequestError(TOO_LARGE)

    def on_message_complete(self) -> None:
        if self._is_oversized:
            self.rest_expected = False
            raise RequestError(TOO_LARGE)
        self.reading = False
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.headers,
            bytes(self.body),
            self._parser.get_http_version(),
            self._parser.should_keep_alive(),
            self._clock(),
        )
        self.clear()
        self.requests.append(request)

    def _stated_length(self) -> int:
        for name, value in self.headers:
            if name == "content-length" and value.isdigit():
                return int(value)
        return 0

    def _count(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.limits.header_bytes:
            raise RequestError(HEAD_TOO_LARGE)


def _ignore_head() -> None:
    """Nobody waits for heads."""


def _refused_status(error: Exception) -> int:
    """The status for a message that was refused while it was read; 400 if it can't be parsed."""
    cause = error.__context__
    return cause.status if isinstance(cause, RequestError) else MALFORMED
