"""What a server says of a call that brings no reply: thrift's application exception as a struct."""

from enum import IntEnum

from .structs import Struct, i32, spec, text


class FailureKind(IntEnum):
    """Those of thrift's kinds that are used."""

    UNKNOWN_METHOD = 1
    INTERNAL_ERROR = 6
    PROTOCOL_ERROR = 7  # beyond the bound of calls in flight


NOT_RUN = (FailureKind.UNKNOWN_METHOD, FailureKind.PROTOCOL_ERROR)


class Failure(Struct):
    """The same on the wire as thrift's TApplicationException."""

    message: str
    type: int

    thrift_spec = spec(text(1, "message"), i32(2, "type"))
