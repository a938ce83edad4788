"""Thrift structs written by hand: the base class, and the encoding to and from bytes.

Structs are encoded by thrift's compact protocol, in C where thrift's extension is there. A field that may be
missing is listed in `optional`; each other field must be present after decoding.
"""

from thrift.protocol.TBase import TBase
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

MAX_ITEMS = 1 << 16


class StructError(Exception):
    """The bytes do not hold a complete struct of the wanted type."""


class Struct(TBase):
    """A thrift struct; subclasses give `__slots__`, `thrift_spec` and, where needed, `optional`."""

    __slots__ = ()
    thrift_spec = ()
    optional: frozenset[str] = frozenset()

    def __init__(self, *values, **named):
        for slot, value in zip(self.__slots__, values, strict=False):
            setattr(self, slot, value)
        for slot in self.__slots__[len(values) :]:
            setattr(self, slot, named.get(slot))

    __hash__ = None


def specification(*fields):
    """The `thrift_spec` of a struct whose fields, (type, name, arguments), are numbered from one."""
    numbered = [
        (number, kind, name, arguments, None) for number, (kind, name, arguments) in enumerate(fields, 1)
    ]
    return (None, *numbered)


def encode_struct(struct: Struct) -> bytes:
    """The bytes of a struct."""
    transport = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(transport))
    return transport.getvalue()


def decode_struct(kind: type[Struct], data: bytes) -> Struct:
    """The struct of type `kind` in `data`; raises StructError if it is not there, or not complete."""
    struct = kind()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(data), string_length_limit=max(len(data), 1), container_length_limit=MAX_ITEMS
    )
    try:
        struct.read(protocol)
    except Exception as error:  # thrift raises many types for unreadable bytes
        raise StructError(f"unreadable {kind.__name__}: {error}") from error
    _check(struct)
    return struct


def _check(struct: Struct) -> None:
    for slot in struct.__slots__:
        value = getattr(struct, slot)
        if value is None:
            if slot not in struct.optional:
                raise StructError(f"{type(struct).__name__} without {slot}")
        elif isinstance(value, Struct):
            _check(value)
        elif isinstance(value, list):
            for item in value:
                if isinstance(item, Struct):
                    _check(item)
