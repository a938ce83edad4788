"""Messages between the replicas of one log, as thrift structs.

A message is one type byte followed by its struct. Rounds count the broadcasts of a leader within its term;
a reply gives back the round and the time of sending (ns on the leader's own steady clock) of what it
answers. An incarnation is a random number that a replica draws when it starts.
"""

from enum import IntEnum

from thrift.Thrift import TType

from .structs import Struct, StructError, decode_struct, encode_struct, specification

_LONG = (TType.I64, None)
_BOOL = (TType.BOOL, None)
_TEXT = (TType.STRING, "UTF8")
_BYTES = (TType.STRING, "BINARY")
_TEXTS = (TType.LIST, (TType.STRING, "UTF8", False))


class MessageError(Exception):
    """Bytes that are no message."""


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    NOOP = 0
    DATA = 1
    MEMBERS = 2


def _fields(**types):
    return specification(*((kind, name, arguments) for name, (kind, arguments) in types.items()))


def structs_of(kind: type[Struct]):
    """The field type `list of kind`."""
    return TType.LIST, (TType.STRUCT, [kind, kind.thrift_spec], False)


class Entry(Struct):
    """One entry of the log."""

    __slots__ = ("term", "index", "kind", "data")
    thrift_spec = _fields(term=_LONG, index=_LONG, kind=_LONG, data=_BYTES)


class MembersRecord(Struct):
    """Who votes and who only follows; the data of a MEMBERS entry.

    `outgoing`, in a joint entry only: the voters before the change that is under way.
    """

    __slots__ = ("voters", "learners", "outgoing")
    optional = frozenset({"outgoing"})
    thrift_spec = _fields(voters=_TEXTS, learners=_TEXTS, outgoing=_TEXTS)


class RequestVote(Struct):
    """Asks for a vote in `term`; `pre_vote`: would it be given; `transfer`: the leader named the sender.

    `incarnation`: the voter's incarnation, if the sender knows that no leader relies on its earlier ones.
    """

    __slots__ = ("term", "last_index", "last_term", "pre_vote", "transfer", "incarnation")
    optional = frozenset({"incarnation"})
    thrift_spec = _fields(
        term=_LONG, last_index=_LONG, last_term=_LONG, pre_vote=_BOOL, transfer=_BOOL, incarnation=_LONG
    )


class RequestVoteReply(Struct):
    """Whether the vote is given; `term` is the asked one if granted, else the voter's own."""

    __slots__ = ("term", "granted", "pre_vote")
    thrift_spec = _fields(term=_LONG, granted=_BOOL, pre_vote=_BOOL)


class AppendEntries(Struct):
    """Entries after (`prev_index`, `prev_term`), none in a heartbeat.

    `recover_incarnation`, if not 0, tells the replica of that incarnation that it may vote and count again
    once its log agrees with the leader's up to `recover_index`.
    """

    __slots__ = (
        "term", "prev_index", "prev_term", "commit", "heartbeat_round", "sent_at",
        "recover_incarnation", "recover_index", "entries",
    )  # fmt: skip
    thrift_spec = _fields(
        term=_LONG,
        prev_index=_LONG,
        prev_term=_LONG,
        commit=_LONG,
        heartbeat_round=_LONG,
        sent_at=_LONG,
        recover_incarnation=_LONG,
        recover_index=_LONG,
        entries=structs_of(Entry),
    )


class AppendEntriesReply(Struct):
    """`match`: synced up to there, as the leader has it; `hint`: after a refusal, the last index to try."""

    __slots__ = (
        "term",
        "success",
        "match",
        "hint",
        "heartbeat_round",
        "sent_at",
        "incarnation",
        "recovering",
    )
    thrift_spec = _fields(
        term=_LONG,
        success=_BOOL,
        match=_LONG,
        hint=_LONG,
        heartbeat_round=_LONG,
        sent_at=_LONG,
        incarnation=_LONG,
        recovering=_BOOL,
    )


class InstallSnapshot(Struct):
    """The state machine's snapshot at (`index`, `entry_term`), for a follower behind the compacted log."""

    __slots__ = ("term", "index", "entry_term", "heartbeat_round", "sent_at", "members", "data")
    thrift_spec = _fields(
        term=_LONG,
        index=_LONG,
        entry_term=_LONG,
        heartbeat_round=_LONG,
        sent_at=_LONG,
        members=(TType.STRUCT, [MembersRecord, MembersRecord.thrift_spec]),
        data=_BYTES,
    )


class InstallSnapshotReply(Struct):
    """The snapshot, or more, is synced: the log agrees with the leader's up to `match`."""

    __slots__ = ("term", "match", "heartbeat_round", "sent_at", "incarnation", "recovering")
    thrift_spec = _fields(
        term=_LONG, match=_LONG, heartbeat_round=_LONG, sent_at=_LONG, incarnation=_LONG, recovering=_BOOL
    )


class MessageChunk(Struct):
    """A piece of an encoded message, InstallSnapshot or AppendEntries, too long to be sent at once.

    The whole is named by (`index`, `entry_term`) of the last entry that it brings, its length `total` and its
    `checksum`.
    """

    __slots__ = (
        "term", "index", "entry_term", "heartbeat_round", "sent_at", "total", "checksum", "offset", "data",
    )  # fmt: skip
    thrift_spec = _fields(
        term=_LONG,
        index=_LONG,
        entry_term=_LONG,
        heartbeat_round=_LONG,
        sent_at=_LONG,
        total=_LONG,
        checksum=_BYTES,
        offset=_LONG,
        data=_BYTES,
    )


class MessageChunkReply(Struct):
    """After the piece at `offset`, `received` bytes of the whole, from its start, are held or done with."""

    __slots__ = (
        "term", "checksum", "offset", "received", "heartbeat_round", "sent_at", "incarnation", "recovering",
    )  # fmt: skip
    thrift_spec = _fields(
        term=_LONG,
        checksum=_BYTES,
        offset=_LONG,
        received=_LONG,
        heartbeat_round=_LONG,
        sent_at=_LONG,
        incarnation=_LONG,
        recovering=_BOOL,
    )


class TimeoutNow(Struct):
    """The leader of `term` has stepped down and asks the receiver to stand for election at once."""

    __slots__ = ("term",)
    thrift_spec = _fields(term=_LONG)


class MemberRequest(Struct):
    """Asks the leader to have the log sent to the sender; with `leaving`, to let the sender go."""

    __slots__ = ("leaving",)
    thrift_spec = _fields(leaving=_BOOL)


class LeaveReply(Struct):
    """Up to `index` the log of the leader of `term` is on a majority without the receiver; 0: not yet."""

    __slots__ = ("term", "index")
    thrift_spec = _fields(term=_LONG, index=_LONG)


class RestartQuery(Struct):
    """Asks a member which life it is in, and whether it has led or heard a leader in it."""

    __slots__ = ("number",)
    thrift_spec = _fields(number=_LONG)


class RestartReply(Struct):
    """`fresh`: has neither led nor received from a leader in `incarnation`; `may_stand`: for election."""

    __slots__ = ("number", "incarnation", "fresh", "may_stand", "last_term", "last_index")
    thrift_spec = _fields(
        number=_LONG, incarnation=_LONG, fresh=_BOOL, may_stand=_BOOL, last_term=_LONG, last_index=_LONG
    )


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
    """The bytes of a message."""
    return _TYPE_BYTES[type(message)] + encode_struct(message)


def decode(data: bytes) -> Struct:
    """The message in `data`; raises MessageError on anything unreadable."""
    if not data or not 1 <= data[0] <= len(MESSAGE_TYPES):
        raise MessageError("unknown type of message")
    try:
        return decode_struct(MESSAGE_TYPES[data[0] - 1], data[1:])
    except StructError as error:
        raise MessageError(str(error)) from error
