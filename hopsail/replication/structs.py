"""Thrift structs that are declared by annotations, and their encoding to and from bytes.

Structs are encoded by thrift's compact protocol, in C where thrift's extension is there. Fields are
numbered from one in the order in which they are declared: a new field is added at the end, and none is ever
removed. A field of type `X | None` may be missing; each other field must be present after decoding.
"""

from types import UnionType
from typing import ClassVar, TypeVar, dataclass_transform, get_args, get_origin

from thrift.protocol.TBase import TBase
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from .errors import StructError

MAX_ITEMS = 1 << 16  # of one list

FieldType = tuple[int, object]  # thrift's number of a type, and its arguments
FieldSpecification = tuple[int, int, str, object, None]

_SIMPLE_TYPES: dict[object, FieldType] = {
    int: (TType.I64, None),
    bool: (TType.BOOL, None),
    str: (TType.STRING, "UTF8"),
    bytes: (TType.STRING, "BINARY"),
}


@dataclass_transform(kw_only_default=True, eq_default=False)
class StructType(type):
    """Derives `__slots__` and thrift's specification of a struct from the annotations of its class."""

    thrift_spec: tuple[FieldSpecification | None, ...]

    def __new__(mcs, name: str, bases: tuple[type, ...], namespace: dict[str, object]) -> "StructType":
        """Make the class of a struct."""
        annotations = namespace.get("__annotations__")
        if bases and isinstance(bases[0], StructType) and isinstance(annotations, dict):
            namespace["__slots__"] = tuple(annotations)
            namespace["__init__"] = _make_init(tuple(annotations))
            namespace["optional"] = frozenset(
                field for field, annotation in annotations.items() if _is_optional(annotation)
            )
            namespace["thrift_spec"] = (
                None,
                *(
                    _specification(number, field, annotation)
                    for number, (field, annotation) in enumerate(annotations.items(), 1)
                ),
            )
        return super().__new__(mcs, name, bases, namespace)


class Struct(TBase, metaclass=StructType):  # type: ignore[misc]  # thrift has no type annotations
    """A thrift struct; subclasses annotate their fields.

    It is made with keyword arguments; a field left out is None.
    """

    __slots__: tuple[str, ...] = ()
    __hash__ = None  # type: ignore[assignment]  # structs are mutable
    thrift_spec: ClassVar[tuple[FieldSpecification | None, ...]] = ()
    optional: ClassVar[frozenset[str]] = frozenset()


def _make_init(fields: tuple[str, ...]) -> object:
    """Compile an `__init__` with these keyword arguments, as dataclasses do; a loop takes longer."""
    arguments = ", ".join(f"{field}=None" for field in fields)
    assignments = "\n".join(f"    self.{field} = {field}" for field in fields)
    namespace: dict[str, object] = {}
    exec(f"def __init__(self, *, {arguments}):\n{assignments}", namespace)
    return namespace["__init__"]


def _is_optional(annotation: object) -> bool:
    return isinstance(annotation, UnionType) and type(None) in get_args(annotation)


def _specification(number: int, field: str, annotation: object) -> FieldSpecification:
    if _is_optional(annotation):
        annotation = next(one for one in get_args(annotation) if one is not type(None))
    kind, arguments = _field_type(annotation)
    return number, kind, field, arguments, None


def _field_type(annotation: object) -> FieldType:
    if get_origin(annotation) is list:
        (item,) = get_args(annotation)
        return TType.LIST, (*_field_type(item), False)
    if isinstance(annotation, StructType):
        return TType.STRUCT, [annotation, annotation.thrift_spec]
    return _SIMPLE_TYPES[annotation]


StructKind = TypeVar("StructKind", bound=Struct)


def encode_struct(struct: Struct) -> bytes:
    """Encode a struct."""
    transport = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(transport))
    encoded: bytes = transport.getvalue()
    return encoded


def decode_struct(kind: type[StructKind], data: bytes) -> StructKind:
    """Decode a struct of type `kind`.

    Raises:
        StructError: the bytes are unreadable, or a field is missing.

    """
    struct = kind()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(data), string_length_limit=max(len(data), 1), container_length_limit=MAX_ITEMS
    )
    try:
        struct.read(protocol)
    except Exception as error:  # thrift raises many types for unreadable bytes
        raise StructError(f"unreadable {kind.__name__}: {error}") from error
    _check_fields(struct)
    return struct


def _check_fields(struct: Struct) -> None:
    for slot in struct.__slots__:
        value = getattr(struct, slot)
        if value is None:
            if slot not in struct.optional:
                raise StructError(f"{type(struct).__name__} without {slot}")
        elif isinstance(value, Struct):
            _check_fields(value)
        elif isinstance(value, list):
            for item in value:
                if isinstance(item, Struct):
                    _check_fields(item)
