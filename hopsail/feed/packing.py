"""Replies of a feed on the wire: long lists of changes travel compressed.

A configuration's items are alike, so that a thousand new routes shrink to a tenth; on a data plane's link,
which may be 5 Mbit/s and carries three feeds, that decides whether they are in force in time."""

import zlib
from collections import deque
from collections.abc import Callable

from ..rpc.structs import FrameError, Struct, decode, encode, spec, structs
from .messages import ChangeStruct, PollReply
from .publisher import Responder

MIN_PACKED_CHANGES = 8  # changes; fewer travel as they are
COMPRESSION_LEVEL = 1  # zlib's fastest
MAX_UNPACKED_BYTES = 16 << 20  # bytes
MAX_REMEMBERED = 4  # replies that several followers get alike


class ChangeList(Struct):
    """The changes of one reply."""

    changes: list[ChangeStruct]

    thrift_spec = spec(structs(1, "changes", ChangeStruct))


class Packer:
    """Packs replies; one that goes to several followers is packed once."""

    def __init__(self) -> None:
        """No reply is remembered yet."""
        self._recent: deque[tuple[PollReply, PollReply]] = deque(maxlen=MAX_REMEMBERED)

    def pack(self, reply: PollReply) -> PollReply:
        """The reply as it travels."""
        if len(reply.changes) < MIN_PACKED_CHANGES:
            return reply
        for known, packed in self._recent:
            if known is reply:
                return packed
        data = zlib.compress(encode(ChangeList(changes=reply.changes)), COMPRESSION_LEVEL)
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
            parked_ms=reply.parked_ms,
        )
        self._recent.append((reply, packed))
        return packed


class PackedResponder:
    """The way back to a follower; replies are packed on it."""

    def __init__(self, packer: Packer, respond: Responder) -> None:
        """Sends on `respond` what `packer` makes of each reply."""
        self._packer, self._respond = packer, respond

    def __call__(self, reply: PollReply) -> None:
        """Sends the reply packed."""
        self._respond(self._packer.pack(reply))

    def on_closed(self, callback: Callable[[], None]) -> None:
        """Calls back when the one who polls has gone."""
        self._respond.on_closed(callback)


def unpack(reply: PollReply) -> PollReply:
    """The reply with its changes; decompressed if they were packed.

    Raises FrameError when what was packed can't be read."""
    if not reply.packed:
        return reply
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(reply.packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise FrameError(f"packed changes: {error}") from error
    if not inflater.eof:
        raise FrameError("packed changes are cut short or too long")
    reply.changes = decode(ChangeList, data).changes
    reply.packed = b""
    return reply
