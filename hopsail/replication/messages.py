"""Messages between the replicas of one log, as thrift structs.

A message is one type byte followed by its struct. `heartbeat_round` counts the broadcasts of a leader
within its term; a reply gives back the round and the time of sending (`sent_at`, ns on the leader's own
steady clock) of what it answers. An incarnation is a random number that a replica draws when it starts.
Indexes and terms are those of the Raft protocol.
"""

from enum import IntEnum

from .errors import MessageError, StructError
from .structs import Struct, decode_struct, encode_struct


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    NOOP = 0
    DATA = 1
    MEMBERS = 2


class Entry(Struct):
    """One entry of the log; `kind` is the number of an EntryKind."""

    term: int
    index: int
    kind: int
    data: bytes


class MembersRecord(Struct):
    """Who votes and who only follows; the data of a MEMBERS entry.

    `outgoing`, in a joint entry only: the voters before the change that is under way.
    """

    voters: list[str]
    learners: list[str]
    outgoing: list[str] | None


class RequestVote(Struct):
    """Asks for a vote in `term`; with `pre_vote`, whether it would be given.

    `transfer`: the leader named the sender as its successor. `incarnation`: that of the voter, if the
    sender knows that no leader relies on its earlier ones.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool
    incarnation: int | None


class RequestVoteReply(Struct):
    """Whether the vote is given; `term` is the requested one if granted, else the voter's own."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(Struct):
    """Entries after (`prev_index`, `prev_term`), none in a heartbeat.

    `recover_incarnation`, if not 0, tells the replica of that incarnation that it may vote and count again
    once its log agrees with the leader's up to `recover_index`.
    """

    term: int
    prev_index: int
    prev_term: int
    commit: int
    heartbeat_round: int
    sent_at: int
    recover_incarnation: int
    recover_index: int
    entries: list[Entry]


class AppendEntriesReply(Struct):
    """`match`: synced up to there, as the leader has it; `hint`: after a rejection, the last index to try."""

    term: int
    success: bool
    match: int
    hint: int
    heartbeat_round: int
    sent_at: int
    incarnation: int
    recovering: bool


class InstallSnapshot(Struct):
    """The state machine's snapshot at (`index`, `entry_term`), for a follower behind the compacted log."""

    term: int
    index: int
    entry_term: int
    heartbeat_round: int
    sent_at: int
    members: MembersRecord
    data: bytes


class InstallSnapshotReply(Struct):
    """The snapshot, or more, is synced: the log agrees with the leader's up to `match`."""

    term: int
    match: int
    heartbeat_round: int
    sent_at: int
    incarnation: int
    recovering: bool


class MessageChunk(Struct):
    """A chunk of an encoded InstallSnapshot or AppendEntries that is too long to be sent at once.

    The payload is named by (`index`, `entry_term`) of the last entry that it brings, its length `total`
    (bytes) and its `checksum`. `offset`: where in the payload the chunk begins.
    """

    term: int
    index: int
    entry_term: int
    heartbeat_round: int
    sent_at: int
    total: int
    checksum: bytes
    offset: int
    data: bytes


class MessageChunkReply(Struct):
    """After the chunk at `offset`, `received` bytes from the payload's start are there, or not needed."""

    term: int
    checksum: bytes
    offset: int
    received: int
    heartbeat_round: int
    sent_at: int
    incarnation: int
    recovering: bool


class TimeoutNow(Struct):
    """The leader of `term` has stepped down and asks the receiver to stand for election at once."""

    term: int


class MemberRequest(Struct):
    """Asks the leader to have the log sent to the sender; with `leaving`, to remove the sender."""

    leaving: bool


class LeaveReply(Struct):
    """Up to `index` the log of the leader of `term` is on a majority without the receiver; 0: not yet."""

    term: int
    index: int


class RestartQuery(Struct):
    """Asks a member for its incarnation, and whether it has led or followed a leader in it."""

    number: int


class RestartReply(Struct):
    """`fresh`: has neither led nor received from a leader in `incarnation`; `may_stand`: for election."""

    number: int
    incarnation: int
    fresh: bool
    may_stand: bool
    last_term: int
    last_index: int


MESSAGE_TYPES: tuple[type[Struct], ...] = (
    RequestVote,
    RequestVoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TimeoutNow,
    MessageChunk,
    MessageChunkReply,
    MemberRequest,
    LeaveReply,
    RestartQuery,
    RestartReply,
)
_TYPE_BYTES = {kind: bytes([number]) for number, kind in enumerate(MESSAGE_TYPES, 1)}


def encode(message: Struct) -> bytes:
    """Encode a message."""
    return _TYPE_BYTES[type(message)] + encode_struct(message)


def decode(data: bytes) -> Struct:
    """Decode a message.

    Raises:
        MessageError: the bytes are unreadable.

    """
    if not data or not 1 <= data[0] <= len(MESSAGE_TYPES):
        raise MessageError("unknown type of message")
    try:
        return decode_struct(MESSAGE_TYPES[data[0] - 1], data[1:])
    except StructError as error:
        raise MessageError(str(error)) from error
