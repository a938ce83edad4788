"""Replies of a feed on the wire: long lists of changes travel compressed.

A configuration's items are alike, so that a thousand new routes shrink to a tenth; on a data plane's link,
which may be 5 Mbit/s and carries three feeds, that decides whether they are in force in time."""

import zlib
from collections import deque
from collections.abc import Callable

from ..rpc.structs import FrameError, Struct, decode, encode, spec, structs
from .messages import ChangeStruct, PollReply
from .publisher import Responder

LEAST_PACKED = 8  # changes; fewer travel as they are
LEVEL = 1  # zlib's fastest
MOST_UNPACKED = 16 << 20  # bytes
REMEMBERED = 4  # replies that several followers get alike


class ChangeList(Struct):
    """The changes of one reply."""

    changes: list[ChangeStruct]

    thrift_spec = spec(structs(1, "changes", ChangeStruct))


class Packer:
    """Packs replies; one that goes to several followers is packed once."""

    def __init__(self):
        self._recent: deque[tuple[PollReply, PollReply]] = deque(maxlen=REMEMBERED)

    def pack(self, reply: PollReply) -> PollReply:
        """The reply as it travels."""
        if len(reply.changes) < LEAST_PACKED:
            return reply
        for known, packed in self._recent:
            if known is reply:
                return packed
        data = zlib.compress(encode(ChangeList(changes=reply.changes)), LEVEL)
        packed = PollReply(
            node=reply.node,
            incarnation=reply.incarnation,
            sequence=reply.sequence,
            snapshot=reply.snapshot,
            changes=[],
            contact_age_ms=reply.contact_age_ms,
            members=reply.members,
            more=reply.more,
            base=reply.base,
            since=reply.since,
            packed=data,
            members_as_of=reply.members_as_of,
            others=reply.others,
            held_ms=reply.held_ms,
        )
        self._recent.append((reply, packed))
        return packed


class PackedResponder:
    """The way back to a follower; replies are packed on it."""

    def __init__(self, packer: Packer, respond: Responder):
        self._packer, self._respond = packer, respond

    def __call__(self, reply: PollReply) -> None:
        self._respond(self._packer.pack(reply))

    def on_closed(self, callback: Callable[[], None]) -> None:
        self._respond.on_closed(callback)


def unpack(reply: PollReply) -> PollReply:
    """The reply with its changes; FrameError when what was packed can't be read."""
    if not reply.packed:
        return reply
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(reply.packed, MOST_UNPACKED)
    except zlib.error as error:
        raise FrameError(f"packed changes: {error}") from error
    if not inflater.eof:
        raise FrameError("packed changes are cut short or too long")
    reply.changes = decode(ChangeList, data).changes
    reply.packed = b""
    return reply
