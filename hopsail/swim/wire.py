"""Datagrams between balancers: signed, of one fleet, each taken once. No I/O.

A datagram is a form (1 byte), a tag of the fleet (4 bytes), a signature (16 bytes, BLAKE2b keyed; the tag is
signed, too) and a body in MessagePack: [name, place, life, count, order, sequence, kind, arguments, news].
What does not fit that is dropped with the reason, and never answered."""

import hmac
from enum import IntEnum
from hashlib import blake2b
from ipaddress import IPv4Address
from typing import NamedTuple

import msgpack

from .settings import LONGEST_NAME

FORM = 1
SIGNATURE, TAG = 16, 4
HEAD = 1 + TAG + SIGNATURE
MOST = 2**63 - 1  # of any number: beyond it nothing could follow
WINDOW = 256  # messages of one life that may overtake each other


class Status(IntEnum):
    """In the order in which, at equal counts, one takes the place of another."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Kind(IntEnum):
    PING = 0  # [number, digest of the view, padding]
    ACK = 1  # [number, digest]
    ASK = 2  # [number, place]: ping it for me
    PULL = 3  # [cursor, padding]: the view's entries after that name
    PIECE = 4  # [next cursor, "" at the end; entries]
    REFUSED = 5  # [reason]
    CLAIM = 6  # [number, padding]: a part of the whole
    GRANT = 7  # [number, part, ns]


ARGUMENTS = {Kind.PING: (int, int, bytes), Kind.ACK: (int, int), Kind.ASK: (int, bytes),
             Kind.PULL: (str, bytes),
             Kind.PIECE: (str, list), Kind.REFUSED: (str,), Kind.CLAIM: (int, bytes),
             Kind.GRANT: (int, int, int)}  # fmt: skip


PAD = bytes(72)  # by so much at most an answer's names and numbers are longer than its question's


class Refused(ValueError):
    """A datagram is dropped; the text is why, in one word."""


class Entry(NamedTuple):
    """What is said of a member."""

    name: str
    place: tuple[str, int]
    life: int
    count: int  # of its defences in this life
    status: Status
    order: int = 0  # staff's orders about it: odd = it is removed
    by: int = 0  # who doubts it, as a number

    def pack(self):
        return [self.name, packed(self.place), self.life, self.count, int(self.status), self.order, self.by]


class Message(NamedTuple):
    sender: Entry
    sequence: int
    kind: Kind
    arguments: list
    news: list[Entry]


def packed(place):
    return IPv4Address(place[0]).packed + place[1].to_bytes(2, "big")


def unpacked(data):
    if type(data) is not bytes or len(data) != 6 or not any(data[4:]):
        raise Refused("shape")
    return str(IPv4Address(data[:4])), int.from_bytes(data[4:], "big")


def tag(fleet):
    return blake2b(fleet.encode(), digest_size=TAG).digest()


def entry(parts):
    """The entry that these parts are."""
    if type(parts) is not list or len(parts) != 7:
        raise Refused("shape")
    name, place, *numbers = parts
    if type(name) is not str or not 0 < len(name.encode()) <= LONGEST_NAME:
        raise Refused("shape")
    if any(type(number) is not int or not 0 <= number <= MOST for number in numbers) or numbers[2] > 3:
        raise Refused("shape")
    life, count, status, order, by = numbers
    return Entry(name, unpacked(place), life, count, Status(status), order, by)


def entries(parts):
    return [entry(one) for one in parts]


class Codec:
    def __init__(self, fleet, keys, size):
        self.tag, self.keys, self.size = tag(fleet), keys, size

    def _sign(self, key, body):
        return blake2b(self.tag + body, key=key, digest_size=SIGNATURE).digest()

    def pack(self, sender, sequence, kind, arguments, news, size=None):
        """A datagram of at most `size` bytes with as much of the news as fits, and how much that was.

        `news` are entries, what matters most first; those of a PIECE are its second argument's."""
        size, arguments = min(size or self.size, self.size), list(arguments)
        into = arguments[1] if kind is Kind.PIECE else []
        rest = [] if kind is Kind.PIECE else into
        tree = [*sender.pack()[:4], sender.order, sequence, int(kind), arguments, rest]
        room = size - HEAD - len(msgpack.packb(tree)) - 2  # the list's own head may grow by two
        room -= LONGEST_NAME + 1 if kind is Kind.PIECE else 0  # the next cursor
        taken = 0
        for one in news:
            parts = one.pack()
            room -= len(msgpack.packb(parts))
            if room < 0:
                break
            into.append(parts)
            taken += 1
        if kind is Kind.PIECE and taken < len(news):
            arguments[0] = news[taken - 1].name if taken else arguments[0]
        body = msgpack.packb(tree)
        return bytes([FORM]) + self.tag + self._sign(self.keys[0], body) + body, taken

    def unpack(self, data):
        if len(data) > self.size:
            raise Refused("long")
        if len(data) <= HEAD or data[0] != FORM:
            raise Refused("form")
        if data[1 : 1 + TAG] != self.tag:
            raise Refused("fleet")
        signature, body = data[1 + TAG : HEAD], data[HEAD:]
        if not any(hmac.compare_digest(self._sign(key, body), signature) for key in self.keys):
            raise Refused("key")
        try:
            tree = msgpack.unpackb(body)
            name, place, life, count, order, sequence, kind, arguments, news = tree
            kinds = ARGUMENTS[kind]
        except (ValueError, TypeError, KeyError, msgpack.UnpackException):
            raise Refused("shape") from None
        if type(arguments) is not list or tuple(map(type, arguments)) != kinds or type(news) is not list:
            raise Refused("shape")
        if type(sequence) is not int or not 0 < sequence <= MOST:
            raise Refused("shape")
        if any(type(one) is int and not 0 <= one <= MOST for one in arguments):
            raise Refused("shape")
        sender = entry([name, place, life, count, 0, order, 0])
        if kind == Kind.PIECE:
            arguments[1] = entries(arguments[1])
        elif kind == Kind.ASK:
            arguments[1] = unpacked(arguments[1])
        return Message(sender, sequence, Kind(kind), arguments, entries(news))


class Window:
    """Takes each sequence number of a life once, and no older life."""

    __slots__ = ("life", "top", "seen")

    def __init__(self):
        self.life, self.top, self.seen = -1, 0, 0

    def take(self, life, sequence):
        if life < self.life:
            raise Refused("old")
        if life > self.life:
            self.life, self.top, self.seen = life, 0, 0
        if sequence > self.top:
            self.seen = (self.seen << min(WINDOW, sequence - self.top) | 1) & ((1 << WINDOW) - 1)
            self.top = sequence
            return
        bit = 1 << (self.top - sequence)
        if self.top - sequence >= WINDOW or self.seen & bit:
            raise Refused("replay")
        self.seen |= bit
