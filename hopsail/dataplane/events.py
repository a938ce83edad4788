"""Splits the bytes of an event stream into complete events (HTML Standard, section 9.2.6)."""

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
        """The events that these bytes complete."""
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
        """What is left of a complete stream: comments, or an event without its blank line."""
        rest, self.rest = self.rest, b""
        return [Event(rest, _identifier(rest))] if rest else []


class EventBoundary:
    """Follows a stream's bytes and tells whether it stands right after an event; keeps none of them.

    Lines end with a line feed, a carriage return or both. Comments alone are no event."""

    def __init__(self):
        self._has_events = False
        self._is_within_event = False  # a line of one has ended, and not yet its blank line
        self._line = b""  # the first byte of the line that has not ended
        self._is_after_return = False  # a line feed that follows belongs to the line before

    @property
    def is_after_event(self) -> bool:
        """Whether an event has ended, and nothing but complete comments and blank lines came after it."""
        return self._has_events and not self._is_within_event and not self._line

    def feed(self, data: bytes) -> None:
        """Takes the next bytes."""
        if self._is_after_return and data.startswith(b"\n"):
            data = data[1:]
            self._is_after_return = False
        if not data:
            return
        self._is_after_return = data.endswith(b"\r")
        for line in (self._line + data).splitlines(keepends=True):
            if line.endswith((b"\n", b"\r")):
                self._line = b""
                self._line_ended(line.rstrip(b"\r\n"))
            else:
                self._line = line[:1]

    def _line_ended(self, line: bytes) -> None:
        if not line:
            self._has_events |= self._is_within_event
            self._is_within_event = False
        elif not line.startswith(b":"):
            self._is_within_event = True


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
