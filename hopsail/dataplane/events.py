"""Splits the bytes of an event stream into whole events (HTML Standard, section 9.2.6)."""

from typing import NamedTuple

MOST_EVENT = 1 << 20  # bytes of one event
_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")  # two ends of lines, of one kind or not


class Event(NamedTuple):
    """One event's bytes with the blank line, and its id if it is a whole number."""

    data: bytes
    identifier: int | None

    @property
    def has_data(self) -> bool:
        """Whether it says anything: comments and fields alone may come twice."""
        return any(line.startswith(b"data") for line in self.data.splitlines())


class EventError(ValueError):
    """An event is longer than the bound."""


class EventSplitter:
    """Takes a stream's bytes as they come and gives back the events that have ended."""

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """The events that are whole with these bytes."""
        buffer = self.rest + data
        events = []
        while (end := _end_of_event(buffer)) > 0:
            events.append(Event(buffer[:end], _identifier(buffer[:end])))
            buffer = buffer[end:]
        if len(buffer) > MOST_EVENT:
            raise EventError("event too long")
        self.rest = buffer
        return events

    def end(self) -> list[Event]:
        """What is left when the stream has ended: an event without its blank line."""
        rest, self.rest = self.rest, b""
        return [Event(rest, _identifier(rest))] if rest else []


def _end_of_event(buffer: bytes) -> int:
    """Where the first event ends in the buffer, 0 when it has not ended yet."""
    ends = [at + len(mark) for mark in _ENDS if (at := buffer.find(mark)) >= 0]
    return min(ends, default=0)


def _identifier(data: bytes) -> int | None:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
