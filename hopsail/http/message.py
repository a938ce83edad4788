"""Typed HTTP messages and their encoding (RFC 9110, RFC 9112)."""

from enum import Enum, auto
from http import HTTPStatus
from typing import NamedTuple

Headers = list[tuple[str, str]]  # names in lower case

MOST_DIGITS = 18  # of a number in a header
REASONS = {status.value: status.phrase for status in HTTPStatus}
# They concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    "transfer-encoding upgrade expect content-length".split()
)


def whole_number(text: str | None) -> int | None:
    """The number that a header's text is; None when it is none, or has more than `MOST_DIGITS` digits."""
    if text is None or not text.isascii() or not text.isdigit() or len(text) > MOST_DIGITS:
        return None
    return int(text)


def header_of(headers: Headers, name: str) -> str | None:
    """The first value of a header, None without one; the name in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def header_text(text: str) -> str | None:
    """A text as a header's value whose bytes are UTF-8; None when it would end the header."""
    if any(character < " " for character in text):
        return None
    return text.encode("utf-8", "surrogatepass").decode("latin-1")


class Request(NamedTuple):
    """A request that has been read whole."""

    method: str
    target: str  # path and query as sent
    headers: Headers
    body: bytes
    version: str = "1.1"
    keep_alive: bool = True
    came_at: int | None = None  # ns, when all of it had come; a pipelined one then waits for its turn

    def header(self, name: str) -> str | None:
        return header_of(self.headers, name)

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


class Framing(Enum):
    """How an answer's head says that its body's end is signalled (RFC 9112, section 6.3)."""

    LENGTH = auto()
    CHUNKS = auto()
    CONNECTION = auto()  # by the end of the connection alone


class ResponseHead(NamedTuple):
    """Status line and headers of an answer."""

    status: int
    headers: Headers
    keep_alive: bool

    def header(self, name: str) -> str | None:
        return header_of(self.headers, name)

    @property
    def framing(self) -> Framing:
        if self.header("transfer-encoding") is not None:
            return Framing.CHUNKS
        return Framing.CONNECTION if self.header("content-length") is None else Framing.LENGTH


class Response(NamedTuple):
    """An answer that has been read whole."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        return header_of(self.headers, name)


def end_to_end(headers: Headers) -> Headers:
    """The headers that are passed on: all but those that concern one connection."""
    named = ",".join(value for name, value in headers if name == "connection")
    dropped = {name.strip().lower() for name in named.split(",")} | HOP_BY_HOP
    return [(name, value) for name, value in headers if name not in dropped]


def encode_head(first_line: str, headers: Headers) -> bytes:
    """The bytes of a first line and headers, with the empty line."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """A request with a stated length."""
    sized = (
        [*headers, ("content-length", str(len(body)))] if body or method not in ("GET", "HEAD") else headers
    )
    return encode_head(f"{method} {target} HTTP/1.1", sized) + body


def status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"
