"""HTTP/1.1 messages: each decoded once into a small typed value by httptools, and encoded once."""

from http import HTTPStatus
from typing import Any, NamedTuple

import httptools

MOST_BODY = 64 * 1024  # bytes that are held as a value; a longer body goes through a flow
MOST_LONG = 32 << 20  # bytes of any body
MOST_HEAD = 16 * 1024  # bytes of request line and headers: names, ids and a few figures
REPORT = b"endpoint-load-metrics"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Request(NamedTuple):
    method: bytes
    target: bytes
    trace: bytes | None
    customer: bytes | None
    expires: bytes | None
    receipt: bytes | None
    body: bytes
    keep: bool  # the connection goes on after the answer
    again: bytes | None = None  # "1": its client says that it is a further try
    work: bytes | None = None  # seconds that it is expected to take
    flow: Any = None  # the body, when it is long


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    kind: bytes | None = None  # Content-Type
    never_ran: bool = False
    keep: bool = True
    wait: int = 0  # ns to stay away, 0 = no advice
    report: bytes | None = None  # the host's load, as its header has it
    flow: Any = None  # the body, when it is long


class MessageFault(Exception):
    """What came in is no message that can be taken; `status` is the answer to it."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Reader:
    """Collects one message at a time from pieces, as httptools finds its parts.

    A message with a long body is there as soon as its body is found to be long; `flowing(length)` gives the
    flow that takes the body, or None when it cannot be taken."""

    parser_class = httptools.HttpRequestParser
    single = frozenset()  # headers of which a message has one at most
    joined = frozenset()  # headers whose values are one list, however many there are

    def __init__(self, flowing=lambda length: None):
        self.parser, self.flowing = self.parser_class(self), flowing
        self.whole = None  # the message, once all of it is there
        self.begun = False  # some of it is there
        self.more = False  # bytes after the message: another one was sent before this one was answered
        self._clear()

    def _clear(self):
        self.target, self.headers, self.body, self.head, self.headed = b"", {}, bytearray(), 0, False
        self.fault = self.weight = self.size = 0
        self.flow = self.early = None  # where a long body goes, and its message until it is handed on
        self.keep = False  # the connection goes on after a message with a long body

    def feed(self, data):
        """The message if `data` completes it; MessageFault when it never can."""
        self.begun = True
        if not self.headed:
            self.head += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                raise MessageFault(self.fault or 400) from None
            self.more = True
        if self.fault and not self.whole:
            raise MessageFault(self.fault)
        if not self.headed and not self.whole and self.head > MOST_HEAD:
            raise MessageFault(431)
        if self.flow is not None:
            early, self.early = self.early, None
            return early
        return self.whole

    def taken(self):
        """The message has been dealt with; the next one may come."""
        self.whole, self.begun = None, False
        self._clear()

    def forget(self):
        """Once the connection has ended: parser and reader name each other, a ring for the collector."""
        self.parser = self.flowing = None

    def on_message_begin(self):
        if self.whole:
            self.more = True

    def on_url(self, piece):
        if not self.whole:
            self.target += piece
            self._weigh(len(piece))

    def on_header(self, name, value):
        if not self.whole:
            name = name.lower()
            if name in self.single and name in self.headers:
                self.fault = self.fault or 400  # which of the two holds is anyone's guess
            if name in self.joined and name in self.headers:
                value = self.headers[name] + b"," + value
            self.headers[name] = value
            self._weigh(len(name) + len(value) + 4)

    def _weigh(self, size):
        self.weight += size
        if self.weight > MOST_HEAD:
            self.fault = self.fault or 431

    def on_headers_complete(self):
        self.headed = True
        # Told at once: to wait for bytes that will not be kept holds the connection, and the core.
        if not self.whole and int(self.headers.get(b"content-length") or 0) > MOST_LONG:
            self.fault = self.fault or 413

    def on_body(self, piece):
        if self.whole or self.fault:
            return
        self.size += len(piece)
        if self.size > MOST_LONG:
            self.fault = 413
        elif self.flow is not None:
            self.flow.put(piece)
        elif self.size <= MOST_BODY and not self.at_once():
            self.body += piece
        else:
            self.body += piece
            self._go_long()

    def _go_long(self):
        if not self.wants_long():
            self.whole, self.more = self._message(), True
            return
        chunked = b"transfer-encoding" in self.headers
        length = None if chunked else self.headers.get(b"content-length")
        self.flow = self.flowing(None if length is None else int(length))
        if self.flow is None:
            self.fault = 503  # a lack here, no fault of the message's
            return
        first, self.body = self.body, bytearray()
        self.early = self._message()  # without what its flow brings
        self.flow.put(first)

    def at_once(self):
        """Whether a body that is stated to be long goes on with its first bytes."""
        return False

    def wants_long(self):
        """Whether a long body is of use; else its message is whole without it, and its connection ends."""
        return True

    def on_message_complete(self):
        if not self.whole and not self.fault:
            if self.flow is None:
                self.whole = self._message()
            else:
                self.whole, self.keep = True, self.parser.should_keep_alive()
                self.flow.end()


class RequestReader(Reader):
    single = frozenset(
        {b"x-trace-id", b"x-customer", b"x-expires-in", b"idempotency-key", b"x-expected-work"}
    )

    joined = frozenset({b"x-second-try"})  # two of them are no mark, which only storm control asks

    def awaited(self):
        """True once when the client waits for a word before it sends the body."""
        asks = self.headed and not self.whole and self.headers.pop(b"expect", b"").lower() == b"100-continue"
        return asks and not self.body

    def _message(self):
        get = self.headers.get
        return Request(
            self.parser.get_method(),
            self.target,
            get(b"x-trace-id"),
            get(b"x-customer"),
            get(b"x-expires-in"),
            get(b"idempotency-key"),
            bytes(self.body),
            self.parser.should_keep_alive(),
            get(b"x-second-try"),
            get(b"x-expected-work"),
            self.flow,
        )


class AnswerReader(Reader):
    parser_class = httptools.HttpResponseParser
    joined = frozenset({REPORT})

    def at_once(self):
        # The first bytes of a long answer are timed.
        return int(self.headers.get(b"content-length") or 0) > MOST_BODY

    def wants_long(self):
        return self.parser.get_status_code() == 200

    @property
    def unmeasured(self):
        """Some of a body is there that may be short or long: its length is not stated."""
        some = self.body and self.flow is None and not self.whole and not self.fault
        return bool(some) and b"content-length" not in self.headers and self.wants_long()

    def take_as_long(self):
        """The message, whose body goes on as a long one; None when there is no room for that."""
        self._go_long()
        early, self.early = self.early, None
        return early

    def _message(self):
        status = self.parser.get_status_code()
        if status < 200:  # an interim answer: the real one follows
            self._clear()
            return None
        never = status in (503, 504) and self.headers.get(b"x-never-ran") == b"1"
        keep = self.parser.should_keep_alive()
        kind, report = self.headers.get(b"content-type"), self.headers.get(REPORT)
        return Answer(status, bytes(self.body), kind, never, keep, report=report, flow=self.flow)

    def at_end(self):
        """The message if the connection's end is what completes it."""
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        if self.headed and not framed and not self.fault and not self.whole:
            self.on_message_complete()
        return self.whole


def authority(address) -> bytes:
    """An address as the Host header has it."""
    return b"%s:%d" % (address[0].encode(), address[1])


def encode_request(request: Request, host: bytes, left: int) -> bytes:
    """The request for a cache host that is told how long, in ns, the balancer will wait."""
    lines = [
        b"%s %s HTTP/1.1" % (request.method, request.target),
        b"Host: " + host,
        b"X-Trace-Id: " + (request.trace or b""),
        b"X-Expires-In: %.3f" % (left / 1e9),
    ]
    if request.receipt is not None:
        lines.append(b"Idempotency-Key: " + request.receipt)
    if request.flow is not None and request.flow.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif request.flow is not None:
        lines.append(b"Content-Length: %d" % request.flow.length)
    elif request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_answer(answer: Answer, close: bool) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (answer.status, REASONS.get(answer.status, b"Unknown"))]
    if answer.flow is not None and answer.flow.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    else:
        lines.append(b"Content-Length: %d" % (answer.flow.length if answer.flow else len(answer.body)))
    if answer.kind is not None:
        lines.append(b"Content-Type: " + answer.kind)
    if answer.wait:
        lines.append(b"Retry-After: %.3f" % (answer.wait / 1e9))
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body
