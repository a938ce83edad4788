"""Frames: four bytes of length, a thrift message header (binary, strict), a struct's bytes. No I/O."""

from enum import IntEnum
from struct import Struct as Layout
from typing import NamedTuple

from thrift.Thrift import TMessageType

from .errors import FrameError

MAX_FRAME = 16 * 1024 * 1024  # bytes after the length
MAX_METHOD = 128  # bytes of a method's name
VERSION = 0x80010000
VERSION_MASK = 0xFFFF0000
KIND_MASK = 0x000000FF

LENGTH = Layout(">I")
OPENING = Layout(">II")  # version and kind, length of the method's name
SEQUENCE = Layout(">i")


class Kind(IntEnum):
    """What a message is."""

    CALL = TMessageType.CALL
    REPLY = TMessageType.REPLY
    EXCEPTION = TMessageType.EXCEPTION
    ONEWAY = TMessageType.ONEWAY


class Message(NamedTuple):
    """One frame, read: `body` is a struct's bytes."""

    method: str
    kind: Kind
    seqid: int
    body: bytes


def pack(message: Message) -> bytes:
    """The message's frame; OverflowError when it is longer than a frame may be."""
    name = message.method.encode()
    size = OPENING.size + len(name) + SEQUENCE.size + len(message.body)
    if size > MAX_FRAME or len(name) > MAX_METHOD:
        raise OverflowError(f"a frame of {size} bytes for {message.method}")
    opening = OPENING.pack(VERSION | message.kind, len(name))
    return b"".join((LENGTH.pack(size), opening, name, SEQUENCE.pack(message.seqid), message.body))


def unpack(frame: bytes) -> Message:
    """The message in a frame without its length; FrameError when there is none."""
    if len(frame) < OPENING.size + SEQUENCE.size:
        raise FrameError("shorter than a message header")
    version, name_size = OPENING.unpack_from(frame)
    name_end = OPENING.size + name_size
    if version & VERSION_MASK != VERSION or name_size > MAX_METHOD or name_end + SEQUENCE.size > len(frame):
        raise FrameError("no message header")
    try:
        kind = Kind(version & KIND_MASK)
        method = frame[OPENING.size : name_end].decode()
    except ValueError as error:
        raise FrameError(str(error)) from error
    (seqid,) = SEQUENCE.unpack_from(frame, name_end)
    return Message(method, kind, seqid, frame[name_end + SEQUENCE.size :])


class FrameReader:
    """Cuts received bytes into frames."""

    def __init__(self, bound: int = MAX_FRAME) -> None:
        """Takes frames of at most `bound` bytes."""
        self.bound = bound  # bytes of the longest frame that is taken
        self._received = bytearray()

    def feed(self, data: bytes) -> None:
        """Takes further bytes."""
        self._received += data

    def take(self) -> bytes | None:
        """The next whole frame without its length, None while there is none; FrameError beyond the bound."""
        if len(self._received) < LENGTH.size:
            return None
        (size,) = LENGTH.unpack_from(self._received)
        if size > self.bound:
            raise FrameError(f"a frame of {size} bytes")
        end = LENGTH.size + size
        if len(self._received) < end:
            return None
        frame = bytes(self._received[LENGTH.size : end])
        del self._received[:end]
        return frame
