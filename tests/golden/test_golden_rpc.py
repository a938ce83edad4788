"""Frames, hellos, failures and every kind of struct field are, byte for byte, what earlier versions wrote."""

import pytest
from golden_digest import stored_bytes

from hopsail.rpc.connection import HELLO, PROTOCOL_VERSION, Hello
from hopsail.rpc.failure import NOT_RUN, Failure, FailureKind
from hopsail.rpc.frames import FrameReader, Kind, Message, pack, unpack
from hopsail.rpc.structs import Struct, TType, binary, boolean, decode, double, encode, i32, i64, list_of
from hopsail.rpc.structs import spec, structs, text

PATH = "rpc/bytes.json"


class Inner(Struct):
    thrift_spec = spec(i32(1, "number"), text(3, "name", None))


class Outer(Struct):
    thrift_spec = spec(
        text(1, "text"),
        binary(2, "binary", None),
        boolean(3, "boolean"),
        i32(4, "short"),
        i64(5, "long"),
        double(6, "double"),
        list_of(7, "texts", TType.STRING, "UTF8"),
        list_of(8, "binaries", TType.STRING, "BINARY"),
        list_of(9, "longs", TType.I64),
        structs(12, "inner", Inner),
    )


STRUCTS = {
    "hello": Hello(fleet="fleet-1", version=PROTOCOL_VERSION),
    "hello of another version": Hello(fleet="", version=77),
    "failure: unknown method": Failure(message="unknown method x", type=FailureKind.UNKNOWN_METHOD),
    "failure: internal error": Failure(message="KeyError", type=FailureKind.INTERNAL_ERROR),
    "failure: protocol error": Failure(message="too many calls", type=FailureKind.PROTOCOL_ERROR),
    "struct of defaults": Outer(),
    "struct of all kinds": Outer(
        text="tëxt ☂",
        binary=b"\x00\xff",
        boolean=True,
        short=-(2**31),
        long=2**63 - 1,
        double=-0.1,
        texts=["a", "", "ö"],
        binaries=[b"", b"\x80"],
        longs=[0, -1, 2**40],
        inner=[Inner(number=5, name="five"), Inner(number=-5)],
    ),
}
FRAMES = {
    "frame: hello": Message(HELLO, Kind.ONEWAY, 0, encode(STRUCTS["hello"])),
    "frame: call": Message("read", Kind.CALL, 1, b"argument"),
    "frame: reply": Message("read", Kind.REPLY, 2**31 - 1, b"\x00" * 5),
    "frame: exception": Message("méthode", Kind.EXCEPTION, 9, encode(STRUCTS["failure: internal error"])),
    "frame: one-way": Message("", Kind.ONEWAY, 0, b""),
}


def written():
    """The bytes by name, written by the present text."""
    return {name: encode(struct) for name, struct in STRUCTS.items()} | {
        name: pack(message) for name, message in FRAMES.items()
    }


def test_all_stored_bytes_of_rpc_are_written_again():
    assert written() == stored_bytes(PATH)


@pytest.mark.parametrize("name", STRUCTS)
def test_a_stored_struct_is_read_and_written_to_the_same_bytes(name):
    data = stored_bytes(PATH)[name]
    struct = decode(type(STRUCTS[name]), data)
    assert struct == STRUCTS[name]
    assert encode(struct) == data


@pytest.mark.parametrize("name", FRAMES)
def test_a_stored_frame_is_cut_out_of_a_stream_and_written_to_the_same_bytes(name):
    data = stored_bytes(PATH)[name]
    reader = FrameReader()
    reader.feed(data[:3])
    assert reader.take() is None
    reader.feed(data[3:] + b"\x00")
    message = unpack(reader.take())
    assert message == FRAMES[name]
    assert pack(message) == data


def test_the_failures_that_tell_that_a_call_did_not_run_stay():
    assert [int(kind) for kind in FailureKind] == [1, 6, 7]
    assert [int(kind) for kind in NOT_RUN] == [1, 7]
