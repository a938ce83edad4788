"""Commands of the replicated shards and their results, with their encodings for the log and for peers."""

import json
from enum import IntEnum
from typing import NamedTuple


class CommandKind(IntEnum):
    """What a log entry asks of a shard's state."""

    PUT_CONFIGURATION = 1
    PATCH_CONFIGURATION = 2
    NAME_REVISION = 3
    ACQUIRE_ROLE = 4
    RELEASE_ROLE = 5


class Command(NamedTuple):
    """A log entry's content. `base` is the revision that a change of configuration builds on."""

    kind: CommandKind
    base: int
    subject: str  # model, or the duty's service
    number: int  # revision named, or the fence given back
    owner: str
    body: bytes  # the operator's bytes

    def encode(self) -> bytes:
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

    def encode(self) -> bytes:
        return json.dumps(list(self)).encode()


def decode_result(data: bytes) -> Result:
    return Result(*json.loads(data))
