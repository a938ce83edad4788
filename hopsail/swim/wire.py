"""Datagrams between members: signed, of one fleet. No I/O.

A datagram is a format version (1 byte), a tag of the fleet (4 bytes), a signature (16 bytes, keyed BLAKE2b
over tag and body) and a body in MessagePack:
[name, address, incarnation, refutations, removal version, sequence, kind, fields, updates].
What does not fit that is rejected with the reason, and never answered.
"""

import hmac
from collections.abc import Sequence
from enum import IntEnum
from hashlib import blake2b
from ipaddress import IPv4Address
from typing import NamedTuple, Self

import msgpack

from .errors import DatagramRejectedError, RejectReason
from .settings import MAX_NAME_BYTES, Address

FORMAT_VERSION = 1
SIGNATURE_BYTES, FLEET_TAG_BYTES = 16, 4
HEADER_BYTES = 1 + FLEET_TAG_BYTES + SIGNATURE_BYTES
ADDRESS_BYTES = 6
MAX_NUMBER = 2**63 - 1  # of any number: beyond it nothing could follow
# An answer's names and numbers are at most by so much longer than those of its request.
PADDING = bytes(72)


class MemberStatus(IntEnum):
    """In the order in which, at equal versions, one overrides another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """The numbers on the wire of the kinds of message."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    PULL = 3
    VIEW_CHUNK = 4
    REJECTED = 5
    LEASE_REQUEST = 6
    LEASE_GRANT = 7


def _malformed() -> DatagramRejectedError:
    return DatagramRejectedError(RejectReason.MALFORMED)


# Types are compared exactly: for isinstance, True would be a number.


def _decode_number(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise _malformed()
    return value


def _decode_text(value: object) -> str:
    if type(value) is not str:
        raise _malformed()
    return value


def _decode_bytes(value: object) -> bytes:
    if type(value) is not bytes:
        raise _malformed()
    return value


def _decode_list(value: object, length: int | None = None) -> list[object]:
    if type(value) is not list or (length is not None and len(value) != length):
        raise _malformed()
    return value


def encode_address(address: Address) -> bytes:
    """An IPv4 address and port in 6 bytes."""
    return IPv4Address(address[0]).packed + address[1].to_bytes(2, "big")


def decode_address(value: object) -> Address:
    """The address and port in these 6 bytes. Raises DatagramRejectedError."""
    data = _decode_bytes(value)
    if len(data) != ADDRESS_BYTES or not any(data[4:]):
        raise _malformed()
    return str(IPv4Address(data[:4])), int.from_bytes(data[4:], "big")


class MemberUpdate(NamedTuple):
    """What one member tells another of a member."""

    name: str
    address: Address
    incarnation: int
    refutations: int  # of suspicions in this incarnation
    status: MemberStatus
    removal_version: int = 0  # counts operators' removals and admissions; odd = it is removed
    suspected_by: int = 0  # checksum of the name of a member that suspects it

    def encode(self) -> list[object]:
        """The update as it is put into MessagePack."""
        return [
            self.name,
            encode_address(self.address),
            self.incarnation,
            self.refutations,
            int(self.status),
            self.removal_version,
            self.suspected_by,
        ]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The update from MessagePack. Raises DatagramRejectedError."""
        fields = _decode_list(value, 7)
        name = _decode_text(fields[0])
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            raise _malformed()
        incarnation, refutations, status, removal_version, suspected_by = map(_decode_number, fields[2:])
        if status > MemberStatus.LEFT:
            raise _malformed()
        return cls(
            name=name,
            address=decode_address(fields[1]),
            incarnation=incarnation,
            refutations=refutations,
            status=MemberStatus(status),
            removal_version=removal_version,
            suspected_by=suspected_by,
        )


def _decode_updates(value: object) -> list[MemberUpdate]:
    return [MemberUpdate.decode(one) for one in _decode_list(value)]


class Ping(NamedTuple):
    """Asks for an acknowledgement; tells the digest of the sender's view."""

    number: int
    digest: int
    padding: bytes = PADDING

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.number, self.digest, self.padding]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        number, digest, padding = _decode_list(value, 3)
        return cls(_decode_number(number), _decode_number(digest), _decode_bytes(padding))


class Ack(NamedTuple):
    """Answers the ping of this number; tells the digest of the sender's view."""

    number: int
    digest: int

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.number, self.digest]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        number, digest = _decode_list(value, 2)
        return cls(_decode_number(number), _decode_number(digest))


class PingRequest(NamedTuple):
    """An indirect probe: the receiver shall ping the target and pass on its acknowledgement."""

    number: int
    target: Address

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.number, encode_address(self.target)]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        number, target = _decode_list(value, 2)
        return cls(_decode_number(number), decode_address(target))


class Pull(NamedTuple):
    """Asks for the receiver's view: its members with names after the cursor."""

    cursor: str
    padding: bytes = b""

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.cursor, self.padding]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        cursor, padding = _decode_list(value, 2)
        return cls(_decode_text(cursor), _decode_bytes(padding))


class ViewChunk(NamedTuple):
    """Answers a pull with as many members as fit; `next_cursor` is empty at the end of the view."""

    next_cursor: str
    members: Sequence[MemberUpdate]

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.next_cursor, [member.encode() for member in self.members]]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        next_cursor, members = _decode_list(value, 2)
        return cls(_decode_text(next_cursor), _decode_updates(members))


class Rejected(NamedTuple):
    """Tells the receiver why it is not accepted as a member."""

    reason: str

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.reason]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        (reason,) = _decode_list(value, 1)
        return cls(_decode_text(reason))


class LeaseRequest(NamedTuple):
    """Asks a lease server for a quota share."""

    number: int
    padding: bytes = PADDING

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.number, self.padding]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        number, padding = _decode_list(value, 2)
        return cls(_decode_number(number), _decode_bytes(padding))


class LeaseGrant(NamedTuple):
    """Answers the lease request of this number."""

    number: int
    share: int  # in units of `quota_leases.WHOLE`
    duration_ns: int

    def encode(self) -> list[object]:
        """The fields as they are put into MessagePack."""
        return [self.number, self.share, self.duration_ns]

    @classmethod
    def decode(cls, value: object) -> Self:
        """The payload from MessagePack. Raises DatagramRejectedError."""
        return cls(*map(_decode_number, _decode_list(value, 3)))


Payload = Ping | Ack | PingRequest | Pull | ViewChunk | Rejected | LeaseRequest | LeaseGrant

PAYLOADS: dict[MessageKind, type[Payload]] = {
    MessageKind.PING: Ping,
    MessageKind.ACK: Ack,
    MessageKind.PING_REQUEST: PingRequest,
    MessageKind.PULL: Pull,
    MessageKind.VIEW_CHUNK: ViewChunk,
    MessageKind.REJECTED: Rejected,
    MessageKind.LEASE_REQUEST: LeaseRequest,
    MessageKind.LEASE_GRANT: LeaseGrant,
}
KINDS = {payload: kind for kind, payload in PAYLOADS.items()}


class Message(NamedTuple):
    """A datagram as it is decoded."""

    sender: MemberUpdate
    sequence: int
    payload: Payload
    updates: list[MemberUpdate]


class EncodedDatagram(NamedTuple):
    """A datagram and how many of the updates offered are in it."""

    data: bytes
    update_count: int


def fleet_tag(fleet: str) -> bytes:
    """What stands for the fleet's name in each datagram."""
    return blake2b(fleet.encode(), digest_size=FLEET_TAG_BYTES).digest()


class Codec:
    """Encodes, signs, checks and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str, keys: Sequence[bytes], max_bytes: int) -> None:
        """The first of the keys signs, all of them are accepted."""
        self.keys = keys
        self._tag = fleet_tag(fleet)
        self._max_bytes = max_bytes

    def sign(self, key: bytes, body: bytes) -> bytes:
        """The signature of a body by this key."""
        return blake2b(self._tag + body, key=key, digest_size=SIGNATURE_BYTES).digest()

    def encode(
        self,
        sender: MemberUpdate,
        sequence: int,
        payload: Payload,
        updates: Sequence[MemberUpdate] = (),
        max_bytes: int | None = None,
    ) -> EncodedDatagram:
        """A datagram of at most `max_bytes` with as many of the updates as fit, the first ones first.

        Of a ViewChunk as many members are taken as fit, and no updates; the next cursor is set to match.
        """
        max_bytes = min(max_bytes or self._max_bytes, self._max_bytes)
        offered = updates
        if isinstance(payload, ViewChunk):
            offered = payload.members
            payload = ViewChunk(payload.next_cursor, ())
        fields = payload.encode()
        included: list[object] = []
        tree = [
            *sender.encode()[:4],
            sender.removal_version,
            sequence,
            int(KINDS[type(payload)]),
            fields,
            included,
        ]
        free_bytes = (
            max_bytes - HEADER_BYTES - len(msgpack.packb(tree)) - 2
        )  # a list's header may grow by two
        if isinstance(payload, ViewChunk):
            free_bytes -= MAX_NAME_BYTES + 1  # the next cursor
        for update in offered:
            encoded = update.encode()
            free_bytes -= len(msgpack.packb(encoded))
            if free_bytes < 0:
                break
            included.append(encoded)
        count = len(included)
        if isinstance(payload, ViewChunk):
            cursor = offered[count - 1].name if 0 < count < len(offered) else payload.next_cursor
            tree[-2:] = [[cursor, included], []]
        body = msgpack.packb(tree)
        data = bytes([FORMAT_VERSION]) + self._tag + self.sign(self.keys[0], body) + body
        return EncodedDatagram(data, count)

    def decode(self, data: bytes) -> Message:
        """The message in a datagram. Raises DatagramRejectedError."""
        if len(data) > self._max_bytes:
            raise DatagramRejectedError(RejectReason.TOO_LONG)
        if len(data) <= HEADER_BYTES or data[0] != FORMAT_VERSION:
            raise DatagramRejectedError(RejectReason.FORMAT)
        if data[1 : 1 + FLEET_TAG_BYTES] != self._tag:
            raise DatagramRejectedError(RejectReason.OTHER_FLEET)
        signature, body = data[1 + FLEET_TAG_BYTES : HEADER_BYTES], data[HEADER_BYTES:]
        if not any(hmac.compare_digest(self.sign(key, body), signature) for key in self.keys):
            raise DatagramRejectedError(RejectReason.BAD_SIGNATURE)
        return _decode_body(body)


def _decode_body(body: bytes) -> Message:
    try:
        name, address, incarnation, refutations, removal_version, *rest = msgpack.unpackb(body)
        sequence, kind, fields, updates = rest
        payload_type = PAYLOADS[kind]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException):
        raise _malformed() from None
    if _decode_number(sequence) == 0:
        raise _malformed()
    return Message(
        sender=MemberUpdate.decode([name, address, incarnation, refutations, 0, removal_version, 0]),
        sequence=sequence,
        payload=payload_type.decode(fields),
        updates=_decode_updates(updates),
    )
