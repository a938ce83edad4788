"""What hosts and stores report of the parts they keep: events, whole lists, and how one entry is read."""

from typing import NamedTuple


class KeptEvent(NamedTuple):
    """One event of a source: a part grew (+) or shrank (-) to so many tokens kept now."""

    number: int
    sign: str
    salt: str
    identifier: str
    tokens: int
    model: str


class KeptChange(NamedTuple):
    """What an event has changed: tokens of the part that the source keeps now, None for too few to track."""

    salt: str
    identifier: str
    tokens: int | None
    grown: bool  # by its sign: the source has read or taken more of the part


class AppliedEvents(NamedTuple):
    """What came of one answer's events, in their order; `unreadable` of them had not the form of one."""

    changes: list[KeptChange]
    unreadable: int


class RetainedPart(NamedTuple):
    """One entry of a source's whole list."""

    salt: str
    identifier: str
    tokens: int
    model: str


def read_event(values: object) -> KeptEvent | None:
    """The event, None when it has not the form of one."""
    if not isinstance(values, (list, tuple)) or len(values) != len(KeptEvent._fields):
        return None
    event = KeptEvent(*values)
    proper = type(event.number) is int and event.sign in ("+", "-") and _is_part(event)
    return event if proper else None


def read_retained(values: object) -> RetainedPart | None:
    """The entry of a list, None when it has not the form of one."""
    if not isinstance(values, (list, tuple)) or len(values) != len(RetainedPart._fields):
        return None
    part = RetainedPart(*values)
    return part if _is_part(part) else None


def _is_part(value: KeptEvent | RetainedPart) -> bool:
    texts = isinstance(value.salt, str) and isinstance(value.identifier, str)
    return texts and type(value.tokens) is int and value.tokens >= 0
