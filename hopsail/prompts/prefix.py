"""Parsing of the request headers that describe a prompt. Bad text is never an error: it tells nothing."""

from typing import NamedTuple

MOST_PARTS = 256  # of one prompt; a longer header tells nothing
MOST_TOKENS = 1 << 30  # of one part or one request
MOST_IDENTIFIER = 128  # characters
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Part(NamedTuple):
    """One part of a prompt: its identifier in hex as the client wrote it, and its size in tokens."""

    identifier: str
    tokens: int


class TokenCount(NamedTuple):
    """Tokens of a request: those of its prompt, and the most that it generates."""

    prompt: int
    most_generated: int


def parse_prefix(header: str) -> tuple[Part, ...]:
    """The parts, in order, of a header such as `5c1e07a2:800,91bd3f06:410`; empty when any of it is bad."""
    if not header or header.count(",") >= MOST_PARTS:
        return ()
    parts = []
    for text in header.split(","):
        part = _parse_part(text.strip(" \t"))
        if part is None:
            return ()
        parts.append(part)
    return tuple(parts)


def parse_token_count(header: str) -> TokenCount:
    """The counts of a header such as `1460,80`; both are 0 when it is bad."""
    prompt, comma, generated = header.partition(",")
    counts = (_parse_count(prompt.strip(" \t")), _parse_count(generated.strip(" \t")))
    if not comma or None in counts:
        return TokenCount(0, 0)
    return TokenCount(*counts)


def _parse_part(text):
    identifier, _, size = text.partition(":")
    tokens = _parse_count(size)
    if tokens is None or not 0 < len(identifier) <= MOST_IDENTIFIER or not HEX_DIGITS.issuperset(identifier):
        return None
    return Part(identifier, tokens)


def _parse_count(text):
    if not text.isascii() or not text.isdigit() or len(text) > 10:
        return None
    count = int(text)
    return count if count <= MOST_TOKENS else None
