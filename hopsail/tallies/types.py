"""Types that a tally replica shares with its driver."""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from .messages import ExchangeCall, ExchangeReply, PushCall, PushReply


class Add(NamedTuple):
    """A caller's add. The same identifier at one tally counts once, wherever and however often it comes."""

    tally: str
    identifier: str
    amount: int


class AddOutcome(Enum):
    """What became of an add."""

    ACKNOWLEDGED = auto()  # on as many disks as are owed
    REJECTED = auto()  # nothing was done, and nothing will be
    UNKNOWN = auto()  # it may count, now or later


AddDone = Callable[[AddOutcome], None]


class TallyWrite(NamedTuple):
    """Bytes for the disk; with `replaces_all` they stand for all that was written before."""

    serial: int
    data: bytes
    replaces_all: bool


class PeerCall(NamedTuple):
    """A call to another replica; `number` tells the replies apart."""

    peer: str
    number: int
    message: PushCall | ExchangeCall


PeerReply = PushReply | ExchangeReply
