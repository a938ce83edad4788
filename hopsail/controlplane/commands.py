"""Commands of the replicated shards and their results, with their encodings for the log and for peers."""

import json
from enum import IntEnum
from typing import NamedTuple

from ..configuration.codes import ResultCode


class CommandKind(IntEnum):
    """What a log entry asks of a shard's state."""

    PUT_CONFIGURATION = 1
    PATCH_CONFIGURATION = 2
    NAME_REVISION = 3
    ACQUIRE_ROLE = 4
    RELEASE_ROLE = 5
    EVACUATE_ZONE = 6
    WITHDRAW_EVACUATION = 7


class Command(NamedTuple):
    """A log entry's content. `base` is the revision that a change of configuration builds on, or the number
    of the newest order on the zone that was known when an order on it was taken."""

    kind: CommandKind
    base: int
    subject: str  # model, the singleton role's service, or zone
    number: int  # revision named, or the fencing token given back
    owner: str
    body: bytes  # the operator's bytes

    def encode(self) -> bytes:
        """The bytes of a log entry: a line of JSON, then the body."""
        head = json.dumps([int(self.kind), self.base, self.subject, self.number, self.owner])
        return head.encode() + b"\n" + self.body


def decode_command(data: bytes) -> Command:
    """The command of a log entry; ValueError when it is none."""
    head, _, body = data.partition(b"\n")
    kind, base, subject, number, owner = json.loads(head)
    return Command(CommandKind(kind), base, subject, number, owner, body)


class Result(NamedTuple):
    """What came of a command: an HTTP status, a numbered result code and a text for the operator."""

    status: int
    code: int = 0
    item: str = ""
    value: int = 0

    @classmethod
    def rejection(cls, code: ResultCode, item: str = "", value: int = 0) -> "Result":
        """The result of what is rejected with a result code; `value` is the revision in force, if known."""
        return cls(code.status or 400, int(code), item, value)

    def encode(self) -> bytes:
        """The bytes for a peer, as JSON."""
        return json.dumps(list(self)).encode()


def decode_result(data: bytes) -> Result:
    """The result that a peer has encoded; ValueError or TypeError when it is none."""
    return Result(*json.loads(data))
