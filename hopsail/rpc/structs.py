"""Thrift structs written by hand, and their bytes.

A struct names its fields in `thrift_spec`, made with `spec` and the field functions below; a field's default
holds where the sender did not set it, so that a field can be added without a new protocol version.
Only the thrift package's protocol and memory transport are imported: its sockets and servers load slowly."""

from typing import Any, ClassVar, TypeVar

from thrift.protocol.TBase import TBase
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from .errors import FrameError

try:
    from thrift.protocol.fastbinary import decode_binary, encode_binary
except ImportError:  # the package was built without a C compiler
    decode_binary = encode_binary = None

__all__ = [
    "FrameError",
    "Struct",
    "TType",
    "binary",
    "boolean",
    "decode",
    "double",
    "encode",
    "i32",
    "i64",
    "list_of",
    "spec",
    "structs",
    "text",
]

Field = tuple[int, int, str, Any, Any]
StructType = TypeVar("StructType", bound="Struct")
MUTABLE = (list, dict, set)
MAX_DEPTH = 64  # of structs and lists in each other that are passed over


def text(number: int, name: str, default: str | None = "") -> Field:
    """A field of UTF-8 text."""
    return number, TType.STRING, name, "UTF8", default


def binary(number: int, name: str, default: bytes | None = b"") -> Field:
    """A field of bytes; with the default None it can be left out."""
    return number, TType.STRING, name, "BINARY", default


def boolean(number: int, name: str, default: bool | None = False) -> Field:
    """A field that is true or false."""
    return number, TType.BOOL, name, None, default


def i32(number: int, name: str, default: int | None = 0) -> Field:
    """A field of a signed number of 32 bits."""
    return number, TType.I32, name, None, default


def i64(number: int, name: str, default: int | None = 0) -> Field:
    """A field of a signed number of 64 bits."""
    return number, TType.I64, name, None, default


def double(number: int, name: str, default: float | None = 0.0) -> Field:
    """A field of a floating-point number of 64 bits."""
    return number, TType.DOUBLE, name, None, default


def list_of(number: int, name: str, element: int, detail: object = None) -> Field:
    """A field of a list of plain elements: `element` is a TType, `detail` "UTF8" or "BINARY" of strings."""
    return number, TType.LIST, name, (element, detail, False), []


def structs(number: int, name: str, struct: type["Struct"]) -> Field:
    """A field of a list of structs."""
    return list_of(number, name, TType.STRUCT, [struct, struct.thrift_spec])


def spec(*fields: Field) -> tuple[Field | None, ...]:
    """The thrift specification of fields: each at the index of its number."""
    by_number = {field[0]: field for field in fields}
    return tuple(by_number.get(number) for number in range(max(by_number, default=0) + 1))


class Struct(TBase):
    """Base of thrift structs: set by keyword, compared and shown by their fields."""

    thrift_spec: ClassVar[tuple[Field | None, ...]] = ()
    defaults: ClassVar[dict[str, Any]] = {}

    def __init_subclass__(cls, **options: object) -> None:
        """Collects the defaults of the fields."""
        super().__init_subclass__(**options)
        cls.defaults = {field[2]: field[4] for field in cls.thrift_spec if field is not None}

    def __init__(self, **fields: object) -> None:
        """Sets the named fields, the others to their defaults; TypeError for a name that is no field."""
        for name, default in self.defaults.items():
            if name in fields:
                value = fields.pop(name)
            else:
                value = default.copy() if isinstance(default, MUTABLE) else default
            setattr(self, name, value)
        if fields:
            raise TypeError(f"{type(self).__name__} has no field {next(iter(fields))!r}")

    def __repr__(self) -> str:
        """The type and all fields."""
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.defaults)
        return f"{type(self).__name__}({fields})"

    def __eq__(self, other: object) -> bool:
        """Whether the other is of this type and has the same fields."""
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.defaults)

    __hash__ = None


class _Protocol(TBinaryProtocol):
    """Binary protocol on memory, by the C part where it is there."""

    def __init__(self, transport: TMemoryBuffer, size: int = 0) -> None:
        # No string is longer, and no list has more elements, than there are bytes.
        super().__init__(transport, string_length_limit=size, container_length_limit=size)
        self._fast_decode = decode_binary
        self._fast_encode = encode_binary

    def skip(self, ttype: int, max_depth: int = MAX_DEPTH) -> None:
        """Passes over a field that this side does not know; the base takes bytes for UTF-8 text there."""
        if ttype == TType.STRING:
            self.readBinary()
        else:
            super().skip(ttype, max_depth)


def encode(struct: Struct) -> bytes:
    """The struct's bytes in thrift's binary protocol."""
    transport = TMemoryBuffer()
    struct.write(_Protocol(transport))
    return transport.getvalue()


def decode(cls: type[StructType], data: bytes) -> StructType:
    """The struct that all of the bytes stand for; FrameError when they are none."""
    transport = TMemoryBuffer(data)
    struct = cls()
    try:
        struct.read(_Protocol(transport, len(data)))
    except Exception as error:  # the decoders raise many kinds, also TypeError, EOFError and ValueError
        raise FrameError(f"{cls.__name__}: {type(error).__name__}: {error}") from error
    if transport.cstringio_buf.tell() != len(data):
        raise FrameError(f"{cls.__name__}: bytes after its end")
    return struct
