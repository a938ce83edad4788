"""The one call of a feed, and its reply.

A reply longer than one page is sent in pages. The pages together bring the follower from one state to the
next, so it applies none of them before the last (`more` is false)."""

from ..rpc.structs import Struct, TType, binary, boolean, i32, i64, list_of, spec, structs, text

POLL = "poll"  # the method's name


class ChangeStruct(Struct):
    """An entry's new value; None when the entry was removed."""

    topic: int
    key: str
    value: bytes | None

    thrift_spec = spec(i32(1, "topic"), text(2, "key"), binary(3, "value", None))


class PollRequest(Struct):
    """Asks for what has changed since a sequence of a journal's incarnation."""

    node: str  # of the follower
    role: str
    zone: str
    incarnation: int
    sequence: int
    wait_ms: int  # how long the publisher may wait for a change
    topics: list[int]
    report: bytes  # what the follower tells the publisher
    base: int  # the journal's sequence when the snapshot began whose pages are being received; else 0

    thrift_spec = spec(
        text(1, "node"),
        text(2, "role"),
        text(3, "zone"),
        i64(4, "incarnation"),
        i64(5, "sequence"),
        i32(6, "wait_ms"),
        list_of(7, "topics", TType.I32),
        binary(8, "report"),
        i64(9, "base"),
    )


class PollReply(Struct):
    """What has changed since, or all entries."""

    node: str  # of the publisher
    incarnation: int
    sequence: int  # to ask from next
    snapshot: bool  # `changes` are all entries of the topics, or their first page
    changes: list[ChangeStruct]
    contact_age_ms: int  # since a majority last confirmed what the publisher tells; -1 before
    members: list[str]  # the committed list of control processes, as of `members_as_of`
    more: bool  # further pages follow
    base: int  # as in the request, to be asked with next
    since: int  # the sequence that was asked with
    packed: bytes  # `packing.ChangeList`, compressed, in place of `changes`
    members_as_of: int  # committed index of shard 0; -1 when the publisher knows no list
    others: list[
        str
    ]  # control processes that may know more, from a publisher without a majority's confirmation
    parked_ms: int  # how long the poll waited at the publisher before the reply was made, at least

    thrift_spec = spec(
        text(1, "node"),
        i64(2, "incarnation"),
        i64(3, "sequence"),
        boolean(4, "snapshot"),
        structs(5, "changes", ChangeStruct),
        i32(6, "contact_age_ms", -1),
        list_of(7, "members", TType.STRING, "UTF8"),
        boolean(8, "more"),
        i64(9, "base"),
        i64(10, "since"),
        binary(11, "packed"),
        i64(12, "members_as_of", -1),
        list_of(13, "others", TType.STRING, "UTF8"),
        i32(14, "parked_ms"),
    )
