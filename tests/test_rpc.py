"""Structs and frames, whole and damaged; channels and servers on loopback sockets."""

import random
import socket
import subprocess
import sys

import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TMemoryBuffer
from unanswered_address import UnansweredAddress

from hopsail.net.loop import Loop
from hopsail.rpc import channel as channel_module
from hopsail.rpc import server as server_module
from hopsail.rpc import structs
from hopsail.rpc.channel import Channel, DialTimes
from hopsail.rpc.connection import HELLO, PROTOCOL_VERSION, Hello
from hopsail.rpc.counts import RpcCounts
from hopsail.rpc.errors import (
    DisconnectedError,
    CallFailedError,
    FrameError,
    CallOverflowError,
    CallRefusedError,
    CallTimeoutError,
)
from hopsail.rpc.link_sign import LinkSign
from hopsail.rpc.frames import MAX_FRAME, FrameReader, Kind, Message, pack, unpack
from hopsail.rpc.server import RpcServer
from hopsail.rpc.structs import Struct, TType, decode, encode, spec

MS = 1_000_000
SECOND = 1000 * MS
ROUNDS = 400  # until a condition must hold; each waits for 25 ms at most


class Inner(Struct):
    name: str

    thrift_spec = spec(structs.text(1, "name"))


class Sample(Struct):
    flag: bool
    small: int
    large: int
    share: float
    name: str
    data: bytes
    maybe: bytes | None
    numbers: list[int]
    words: list[str]
    inner: list[Inner]

    thrift_spec = spec(
        structs.boolean(1, "flag"),
        structs.i32(2, "small"),
        structs.i64(3, "large"),
        structs.double(4, "share"),
        structs.text(6, "name"),
        structs.binary(7, "data"),
        structs.binary(8, "maybe", None),
        structs.list_of(9, "numbers", TType.I32),
        structs.list_of(10, "words", TType.STRING, "UTF8"),
        structs.structs(12, "inner", Inner),
    )


class OlderSample(Struct):
    """As it was before most fields were added."""

    small: int

    thrift_spec = spec(structs.i32(2, "small"))


FULL = Sample(
    flag=True,
    small=-7,
    large=2**62,
    share=0.25,
    name="ärger",
    data=b"\x00\xff",
    maybe=b"",
    numbers=[1, -2],
    words=["a", "ö"],
    inner=[Inner(name="x"), Inner(name="y")],
)


@pytest.fixture(params=["accelerated", "plain"])
def decoder(request, monkeypatch):
    if request.param == "plain":
        monkeypatch.setattr(structs, "decode_binary", None)
        monkeypatch.setattr(structs, "encode_binary", None)
    else:
        assert structs.decode_binary is not None


@pytest.mark.usefixtures("decoder")
class TestStructs:
    def test_all_fields_come_back(self):
        assert decode(Sample, encode(FULL)) == FULL

    def test_what_is_not_set_has_its_default(self):
        sample = decode(Sample, encode(Sample()))
        assert sample == Sample()
        assert (sample.flag, sample.small, sample.name, sample.data, sample.maybe) == (
            False,
            0,
            "",
            b"",
            None,
        )

    def test_lists_are_not_shared(self):
        Sample().numbers.append(1)
        assert Sample().numbers == []

    def test_an_unknown_field_is_a_mistake(self):
        with pytest.raises(TypeError):
            Sample(nmae="x")

    def test_any_difference_makes_unequal(self):
        assert Inner(name="x") != Inner(name="y")
        assert Inner(name="x") != Sample(name="x")

    def test_fields_of_another_version_are_skipped_or_defaulted(self):
        assert decode(OlderSample, encode(FULL)) == OlderSample(small=-7)
        assert decode(Sample, encode(OlderSample(small=4))) == Sample(small=4)

    def test_cut_anywhere_it_is_none(self):
        data = encode(FULL)
        for length in range(len(data)):
            with pytest.raises(FrameError):
                decode(Sample, data[:length])

    def test_bytes_after_the_end_are_an_error(self):
        with pytest.raises(FrameError):
            decode(Sample, encode(FULL) + b"\x00")

    def test_with_one_byte_changed_it_is_read_or_a_frame_error(self):
        data, draw = encode(FULL), random.Random(5)
        refused = 0
        for place in range(len(data)):
            changed = bytearray(data)
            changed[place] ^= draw.randrange(1, 256)
            try:
                assert isinstance(decode(Sample, bytes(changed)), Sample)
            except FrameError:
                refused += 1
        assert refused

    def test_a_list_longer_than_the_bytes_is_refused(self):
        endless = bytes([TType.LIST, 0, 9, TType.I32]) + (2**31 - 1).to_bytes(4, "big") + b"\x00"
        with pytest.raises(FrameError):
            decode(Sample, endless)

    def test_a_string_of_negative_length_is_refused(self):
        with pytest.raises(FrameError):
            decode(Sample, bytes([TType.STRING, 0, 6]) + b"\xff\xff\xff\xff" + b"\x00")


def test_both_encoders_give_the_same_bytes(monkeypatch):
    accelerated = encode(FULL)
    monkeypatch.setattr(structs, "encode_binary", None)
    assert encode(FULL) == accelerated


def test_no_heavy_module_is_imported():
    program = (
        "import sys, hopsail.rpc.server, hopsail.rpc.channel, hopsail.feed.follower, hopsail.feed.publisher\n"
        "heavy = {'ssl', 'thrift.transport.TSocket', 'thrift.transport.TSSLSocket', 'thrift.server.TServer',"
        " 'thrift.Thrift.TProcessor', 'asyncio', 'http.client', 'typing_extensions'}\n"
        "print(sorted(heavy & set(sys.modules)))"
    )
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


MESSAGE = Message("poll", Kind.CALL, 77, encode(Inner(name="x")))


class TestFrames:
    def test_a_message_comes_back(self):
        assert unpack(pack(MESSAGE)[4:]) == MESSAGE

    def test_the_header_is_thrifts_own(self):
        protocol = TBinaryProtocol(TMemoryBuffer(pack(MESSAGE)[4:]), strictRead=True)
        assert protocol.readMessageBegin() == ("poll", Kind.CALL, 77)
        inner = Inner()
        inner.read(protocol)
        assert inner == Inner(name="x")

    def test_byte_by_byte_frames_are_whole(self):
        reader, taken = FrameReader(), []
        for byte in pack(MESSAGE) * 3:
            reader.feed(bytes([byte]))
            if (frame := reader.take()) is not None:
                taken.append(unpack(frame))
        assert taken == [MESSAGE] * 3

    def test_a_cut_header_is_an_error(self):
        frame = pack(MESSAGE._replace(body=b""))[4:]
        for length in range(len(frame)):
            with pytest.raises(FrameError):
                unpack(frame[:length])

    @pytest.mark.parametrize(
        ("place", "value"), [(0, 0x00), (1, 0x02), (3, 0), (3, 9), (4, 1), (7, 0xFF), (8, 0xFF)]
    )
    def test_a_changed_header_is_an_error(self, place, value):
        frame = bytearray(pack(MESSAGE)[4:])
        frame[place] = value
        with pytest.raises(FrameError):
            unpack(bytes(frame))

    def test_a_frame_beyond_the_bound_is_refused_by_its_length(self):
        reader = FrameReader()
        reader.feed((MAX_FRAME + 1).to_bytes(4, "big"))
        with pytest.raises(FrameError):
            reader.take()
        with pytest.raises(OverflowError):
            pack(MESSAGE._replace(body=bytes(MAX_FRAME)))

    def test_a_long_method_is_refused(self):
        with pytest.raises(OverflowError):
            pack(MESSAGE._replace(method="m" * 200))


class SkippingLoop(Loop):
    """A loop whose clock can be put forward."""

    def skip(self, span):
        self.offset += span

    def until(self, condition):
        for _ in range(ROUNDS):
            if condition():
                return
            self.round(0.025)
        raise AssertionError("it did not happen")

    def rounds(self, number=5):
        for _ in range(number):
            self.round(0)


class Outcomes:
    """What `done` was called with."""

    def __init__(self):
        self.all = []

    def __call__(self, reply, error):
        assert (reply is None) != (error is None)
        self.all.append(reply if error is None else type(error))

    def __len__(self):
        return len(self.all)


@pytest.fixture
def loop():
    made = SkippingLoop()
    yield made
    made.close()


@pytest.fixture
def server(loop, opened):
    made = RpcServer(loop, ("127.0.0.1", 0), "blue")
    made.register("echo", Inner, lambda argument, respond, peer: respond(argument))
    opened.append(made)
    return made


@pytest.fixture
def channel(loop, server, opened):
    made = Channel(loop, server.address, "blue")
    opened.append(made)
    return made


@pytest.fixture
def outcomes():
    return Outcomes()


class RawListener:
    """A server that does only what a test tells it to."""

    def __init__(self, loop):
        self.loop, self.accepted = loop, []
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=8)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()

    def accept(self):
        accepted = []

        def try_it():
            try:
                accepted.append(self.sock.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.loop.until(try_it)
        self.accepted.append(accepted[0])
        return accepted[0]

    def close(self):
        for sock in [self.sock, *self.accepted]:
            sock.close()


@pytest.fixture
def raw(loop, opened):
    made = RawListener(loop)
    opened.append(made)
    return made


def hello_frame(fleet="blue", version=PROTOCOL_VERSION):
    return pack(Message(HELLO, Kind.ONEWAY, 0, encode(Hello(fleet=fleet, version=version))))


def read_frames(loop, sock, number):
    """So many messages out of a raw socket, the loop going on meanwhile."""
    reader, messages = FrameReader(), []
    sock.setblocking(False)

    def step():
        try:
            reader.feed(sock.recv(65536))
        except BlockingIOError:
            return False
        while (frame := reader.take()) is not None:
            messages.append(unpack(frame))
        return len(messages) >= number

    loop.until(step)
    return messages


def ended(loop, sock):
    """Whether the other side ends the connection."""
    sock.setblocking(False)

    def step():
        try:
            return sock.recv(65536) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True

    loop.until(step)
    return True


def closed_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


class TestCalls:
    def test_a_reply_comes_once_and_never_inside_the_call(self, loop, channel, outcomes):
        assert not channel.connected
        channel.call("echo", Inner(name="x"), Inner, outcomes, SECOND)
        assert not outcomes.all
        loop.until(lambda: outcomes.all)
        assert channel.connected
        loop.skip(2 * SECOND)
        loop.rounds()
        assert outcomes.all == [Inner(name="x")]

    def test_many_calls_have_each_their_reply(self, loop, channel):
        all_outcomes = [Outcomes() for _ in range(200)]
        for number, outcomes in enumerate(all_outcomes):
            channel.call("echo", Inner(name=str(number)), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: all(outcomes.all for outcomes in all_outcomes))
        assert [outcomes.all for outcomes in all_outcomes] == [[Inner(name=str(n))] for n in range(200)]
        assert channel.counts.connections == 1

    def test_a_long_reply_is_whole(self, loop, channel, outcomes):
        name = "n" * (3 * 1024 * 1024)
        channel.call("echo", Inner(name=name), Inner, outcomes, 60 * SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [Inner(name=name)]

    def test_replies_may_come_later_and_in_any_order(self, loop, server, channel):
        held = []
        server.register("hold", Inner, lambda argument, respond, peer: held.append((argument, respond)))
        first, second = Outcomes(), Outcomes()
        channel.call("hold", Inner(name="first"), Inner, first, 10 * SECOND)
        channel.call("hold", Inner(name="second"), Inner, second, 10 * SECOND)
        loop.until(lambda: len(held) == 2)
        for argument, respond in reversed(held):
            assert not respond.closed
            respond(argument)
            respond(Inner(name="again"))
        loop.until(lambda: first.all and second.all)
        loop.rounds()
        assert (first.all, second.all) == ([Inner(name="first")], [Inner(name="second")])
        assert channel.counts.late_replies == 0

    def test_one_way_messages_come_in_order_and_have_no_reply(self, loop, server, channel):
        heard = []

        def handle(argument, respond, peer):
            assert respond.closed
            respond(argument)
            heard.append((argument.name, peer.host))

        server.register("tell", Inner, handle)
        channel.send("tell", Inner(name="a"))
        channel.send("tell", Inner(name="b"))
        loop.until(lambda: len(heard) == 2)
        assert heard == [("a", "127.0.0.1"), ("b", "127.0.0.1")]
        assert channel.counts.dropped_sends == 0

    def test_an_unknown_method_is_refused(self, loop, server, channel, outcomes):
        channel.call("nothing", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [CallRefusedError]
        assert channel.connected and server.counts.unknown_methods == 1

    def test_a_failing_handler_fails_its_call_only(self, loop, server, channel, outcomes):
        def fail(argument, respond, peer):
            raise RuntimeError("broken")

        server.register("fail", Inner, fail)
        channel.call("fail", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        channel.call("echo", Inner(name="x"), Inner, outcomes, SECOND)
        loop.until(lambda: len(outcomes) == 2)
        assert outcomes.all == [CallFailedError, Inner(name="x")]
        assert server.counts.failed_handlers == 1 and channel.counts.connections == 1

    def test_a_failing_done_leaves_the_connection(self, loop, channel, outcomes):
        def fail(reply, error):
            raise RuntimeError("broken")

        channel.call("echo", Inner(), Inner, fail, SECOND)
        channel.call("echo", Inner(name="x"), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [Inner(name="x")]

    def test_an_unreadable_argument_ends_the_connection(self, loop, server, channel, outcomes):
        server.register("count", OlderSample, lambda argument, respond, peer: respond(argument))
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        broken = Message("echo", Kind.CALL, 99, encode(Inner(name="x"))[:-1])
        channel._connection.send(broken)
        loop.until(lambda: not channel.connected)
        assert server.counts.malformed_frames == 1

    def test_no_reply_in_time_closes_a_silent_connection(self, loop, server, channel, outcomes):
        server.register("hold", Inner, lambda argument, respond, peer: None)
        channel.call("echo", Inner(name="x"), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        channel.call("hold", Inner(), Inner, outcomes, SECOND)
        other = Outcomes()
        channel.call("hold", Inner(), Inner, other, 9 * SECOND)
        loop.rounds()
        loop.skip(SECOND)
        loop.until(lambda: other.all)
        assert outcomes.all == [Inner(name="x"), CallTimeoutError]
        assert other.all == [DisconnectedError]
        assert not channel.connected and channel.counts.silent_peers == 1
        assert channel.link_sign is LinkSign.NONE

    def test_a_side_that_refuses_connections_is_told_from_a_silent_one(self, loop, server, channel, outcomes):
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        assert channel.link_sign is LinkSign.NONE
        server.close()
        loop.until(lambda: not channel.connected)
        assert channel.link_sign is LinkSign.REFUSED
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: len(outcomes.all) == 2)
        assert channel.link_sign is LinkSign.REFUSED

    def test_a_process_that_says_nothing_on_a_new_connection_is_known_to_be_linked(self, loop, raw, opened):
        channel, outcomes = Channel(loop, raw.address, "blue"), Outcomes()
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: channel._connection.came_up)
        assert channel.link_sign is LinkSign.ACCEPTED
        loop.skip(SECOND)
        loop.until(lambda: outcomes.all)
        assert channel._connection is None and channel.link_sign is LinkSign.ACCEPTED

    def test_handshakes_that_hang_are_a_sign_only_when_two_in_a_row_do(self, loop, server, opened):
        nobody, outcomes = UnansweredAddress(), Outcomes()
        channel = Channel(loop, nobody.address, "blue", dial_times=DialTimes(up_within=20 * MS))
        opened.extend((nobody, channel))
        for number, sign in ((1, LinkSign.NONE), (2, LinkSign.UNANSWERED)):
            channel.call("echo", Inner(), Inner, outcomes, SECOND)
            loop.until(lambda number=number: len(outcomes.all) == number)
            assert channel.link_sign is sign
        channel.address = closed_port()
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: len(outcomes.all) == 3)
        assert channel.link_sign is LinkSign.REFUSED
        channel.address = nobody.address
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: len(outcomes.all) == 4)
        assert channel.link_sign is LinkSign.REFUSED

    def test_no_reply_in_time_leaves_a_connection_that_brings_others(self, loop, server, channel, outcomes):
        held = []
        server.register("hold", Inner, lambda argument, respond, peer: held.append(respond))
        channel.call("hold", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: held)
        other = Outcomes()
        channel.call("echo", Inner(), Inner, other, SECOND)
        loop.until(lambda: other.all)
        loop.skip(SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [CallTimeoutError] and channel.connected
        held[0](Inner(name="late"))
        loop.until(lambda: channel.counts.late_replies)
        assert outcomes.all == [CallTimeoutError]

    def test_closing_the_channel_ends_its_calls(self, loop, server, channel, outcomes):
        server.register("hold", Inner, lambda argument, respond, peer: None)
        channel.call("hold", Inner(), Inner, outcomes, SECOND)
        loop.rounds()
        channel.close()
        assert not outcomes.all
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: len(outcomes) == 2)
        loop.skip(2 * SECOND)
        loop.rounds()
        assert outcomes.all == [DisconnectedError, CallRefusedError]

    def test_a_caller_that_has_gone_is_told_of(self, loop, server, channel, outcomes):
        held, gone = [], []

        def hold(argument, respond, peer):
            held.append(respond)
            respond.on_closed(lambda: gone.append(argument.name))

        server.register("hold", Inner, hold)
        channel.call("hold", Inner(name="x"), Inner, outcomes, SECOND)
        channel.call("hold", Inner(name="y"), Inner, outcomes, SECOND)
        loop.until(lambda: len(held) == 2)
        held[0](Inner())
        loop.until(lambda: outcomes.all)
        channel.close()
        loop.until(lambda: gone)
        loop.rounds()
        assert gone == ["y"]
        assert held[1].closed
        held[1](Inner())
        held[1].on_closed(lambda: gone.append("at once"))
        assert gone == ["y"]
        loop.until(lambda: len(gone) == 2)

    def test_a_frame_that_is_too_long_overflows(self, loop, channel, outcomes):
        channel.call("echo", Inner(name="n" * MAX_FRAME), Inner, outcomes, SECOND)
        assert not outcomes.all
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [CallOverflowError]

    def test_too_many_calls_overflow(self, loop, channel, monkeypatch):
        monkeypatch.setattr(channel_module, "MAX_CALLS", 2)
        all_outcomes = [Outcomes() for _ in range(3)]
        for outcomes in all_outcomes:
            channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: all(outcomes.all for outcomes in all_outcomes))
        assert [outcomes.all for outcomes in all_outcomes] == [[Inner()], [Inner()], [CallOverflowError]]

    def test_the_server_refuses_too_many_calls(self, loop, server, channel, monkeypatch):
        monkeypatch.setattr(server_module, "MAX_CALLS", 1)
        server.register("hold", Inner, lambda argument, respond, peer: None)
        first, second = Outcomes(), Outcomes()
        channel.call("hold", Inner(), Inner, first, SECOND)
        channel.call("hold", Inner(), Inner, second, SECOND)
        loop.until(lambda: second.all)
        assert (first.all, second.all) == ([], [CallRefusedError])

    def test_calls_in_flight_are_counted_but_for_one_method(self, loop, server, channel):
        held = []
        for method in ("hold", "poll"):
            server.register(method, Inner, lambda argument, respond, peer: held.append(respond))
            channel.call(method, Inner(), Inner, Outcomes(), SECOND)
        loop.until(lambda: len(held) == 2)
        assert (server.calls_in_flight(), server.calls_in_flight(besides="poll")) == (2, 1)
        for respond in held:
            respond(Inner())
        assert server.calls_in_flight() == 0

    def test_a_reply_too_long_for_a_frame_ends_the_connection(self, loop, server, channel, outcomes):
        server.register("long", Inner, lambda argument, respond, peer: respond(Inner(name="n" * MAX_FRAME)))
        channel.call("long", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [DisconnectedError] and server.counts.overflows == 1

    def test_one_way_messages_are_dropped_when_too_much_is_unsent(self, loop, raw, opened, monkeypatch):
        monkeypatch.setattr(channel_module, "MAX_UNSENT_FOR_SEND", 100_000)
        channel = Channel(loop, raw.address, "blue")
        opened.append(channel)
        for _ in range(20):  # while dialing, nothing goes out
            channel.send("tell", Inner(name="n" * 10_000))
        assert channel.counts.dropped_sends == 11
        assert len(channel._connection.unsent) <= 110_000


class TestConnections:
    def test_a_foreign_fleet_is_dropped_and_counted(self, loop, server, opened, outcomes):
        handled = []
        server.register("echo", Inner, lambda argument, respond, peer: handled.append(argument))
        stranger = Channel(loop, server.address, "green")
        opened.append(stranger)
        stranger.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all[0] in (
            CallRefusedError,
            DisconnectedError,
        )  # whether it reads the hello before the end or not
        assert server.counts.foreign_fleets == 1 and not handled
        assert not stranger.connected

    def test_a_channel_drops_a_foreign_server(self, loop, raw, opened, outcomes):
        channel = Channel(loop, raw.address, "blue")
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        raw.accept().sendall(hello_frame(fleet="green"))
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [CallRefusedError] and channel.counts.foreign_fleets == 1

    def test_an_other_version_is_dropped_and_counted(self, loop, server, opened):
        sock = socket.create_connection(server.address)
        opened.append(sock)
        sock.sendall(hello_frame(version=PROTOCOL_VERSION + 1))
        assert ended(loop, sock)
        assert (server.counts.other_versions, server.counts.foreign_fleets) == (1, 0)

    def test_both_sides_begin_with_hello(self, loop, server, raw, opened):
        sock = socket.create_connection(server.address)
        opened.append(sock)
        (message,) = read_frames(loop, sock, 1)
        assert message[:2] == (HELLO, Kind.ONEWAY)
        channel = Channel(loop, raw.address, "blue")
        opened.append(channel)
        channel.send("tell", Inner())
        messages = read_frames(loop, raw.accept(), 2)
        assert [message.method for message in messages] == [HELLO, "tell"]
        assert decode(Hello, messages[0].body) == Hello(fleet="blue", version=PROTOCOL_VERSION)

    @pytest.mark.parametrize(
        "first",
        [
            pack(Message("echo", Kind.CALL, 1, encode(Inner()))),
            pack(Message(HELLO, Kind.CALL, 1, encode(Hello(fleet="blue", version=PROTOCOL_VERSION)))),
            pack(Message(HELLO, Kind.ONEWAY, 0, b"\x0b")),
            b"GET / HTTP/1.1\r\n\r\n",
            (2000).to_bytes(4, "big"),
            hello_frame() + hello_frame()[:9] + b"\xff" * 40,
            hello_frame() + pack(Message("echo", Kind.REPLY, 1, encode(Inner()))),
            hello_frame() + pack(Message("echo", Kind.CALL, 1, encode(Inner())[:-1])),
            hello_frame() + (MAX_FRAME + 1).to_bytes(4, "big"),
        ],
    )
    def test_what_cannot_be_read_ends_that_connection_only(
        self, loop, server, channel, outcomes, opened, first
    ):
        sock = socket.create_connection(server.address)
        opened.append(sock)
        sock.sendall(first)
        assert ended(loop, sock)
        assert server.counts.malformed_frames == 1
        channel.call("echo", Inner(name="x"), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [Inner(name="x")]

    @pytest.mark.parametrize(
        "answer",
        [
            Message("echo", Kind.REPLY, 1, encode(Inner(name="x"))[:-1]),
            Message("other", Kind.REPLY, 1, encode(Inner(name="x"))),
            Message("echo", Kind.CALL, 1, encode(Inner(name="x"))),
            Message("echo", Kind.EXCEPTION, 1, b"\x0b"),
        ],
    )
    def test_a_reply_that_cannot_be_read_ends_the_connection(self, loop, raw, opened, outcomes, answer):
        channel = Channel(loop, raw.address, "blue")
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        raw.accept().sendall(hello_frame() + pack(answer))
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [DisconnectedError] and channel.counts.malformed_frames == 1

    def test_a_doubled_reply_is_left_out(self, loop, raw, opened, outcomes):
        channel = Channel(loop, raw.address, "blue")
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        reply = pack(Message("echo", Kind.REPLY, 1, encode(Inner(name="x"))))
        raw.accept().sendall(hello_frame() + reply * 2)
        loop.until(lambda: channel.counts.late_replies)
        assert outcomes.all == [Inner(name="x")] and channel.connected

    def test_a_silent_side_is_given_up(self, loop, server, opened):
        sock = socket.create_connection(server.address)
        opened.append(sock)
        read_frames(loop, sock, 1)
        loop.skip(2 * SECOND)
        assert ended(loop, sock)
        assert server.counts.silent_peers == 1

    def test_more_connections_than_the_bound_are_closed(self, loop, opened):
        server = RpcServer(loop, ("127.0.0.1", 0), "blue", max_connections=1)
        opened.append(server)
        first = socket.create_connection(server.address)
        second = socket.create_connection(server.address)
        opened.extend((first, second))
        assert ended(loop, second)
        assert server.counts.excess_connections == 1
        assert read_frames(loop, first, 1)[0].method == HELLO

    def test_the_system_gives_up_what_is_not_acknowledged(self, loop, channel, outcomes):
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        assert channel._connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) > 0

    def test_a_closed_server_tells_its_callers_by_the_end(self, loop, server, channel, outcomes):
        server.register("hold", Inner, lambda argument, respond, peer: None)
        channel.call("hold", Inner(), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: channel.connected)
        server.close()
        server.close()
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [DisconnectedError]

    def test_a_server_that_comes_back_is_found(self, loop, server, channel, outcomes, opened):
        channel.call("echo", Inner(), Inner, outcomes, SECOND)
        loop.until(lambda: outcomes.all)
        server.close()
        loop.until(lambda: not channel.connected)
        again = RpcServer(loop, server.address, "blue")
        again.register("echo", Inner, lambda argument, respond, peer: respond(argument))
        opened.append(again)
        channel.call("echo", Inner(name="x"), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: len(outcomes) == 2)
        assert outcomes.all == [Inner(), Inner(name="x")]


class TestDialing:
    def test_nobody_there_refuses_the_call(self, loop, opened, outcomes):
        channel = Channel(loop, closed_port(), "blue")
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
        assert not outcomes.all
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [CallRefusedError] and channel.counts.failed_dials == 1

    def test_the_back_off_doubles_up_to_a_second(self, loop, opened, monkeypatch):
        dialed = []

        def refuse(address):
            dialed.append(loop.now())
            raise OSError("refused")

        monkeypatch.setattr(channel_module, "dial", refuse)
        monkeypatch.setattr(loop, "now", lambda: loop.clock, raising=False)
        loop.clock = SECOND
        channel = Channel(loop, ("127.0.0.1", 1), "blue")
        opened.append(channel)
        for number in range(1, 9):
            outcomes = Outcomes()
            channel.call("echo", Inner(), Inner, outcomes, 60 * SECOND)
            for _ in range(250):
                if len(dialed) == number:
                    break
                loop.clock += 5 * MS
                loop.round(0)
            loop.round(0)
            assert outcomes.all == [CallRefusedError]
        waits = [(b - a) // MS for a, b in zip(dialed, dialed[1:], strict=False)]
        assert waits == [50, 100, 200, 400, 800, 1000, 1000]

    def test_a_call_that_waits_for_a_connection_times_out(self, loop, opened, monkeypatch):
        channel = Channel(loop, closed_port(), "blue")
        opened.append(channel)
        for _ in range(2):
            outcomes = Outcomes()
            channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
            loop.until(lambda outcomes=outcomes: outcomes.all)
        waiting = Outcomes()
        channel.call("echo", Inner(), Inner, waiting, 1 * MS)
        loop.skip(2 * MS)
        loop.until(lambda: waiting.all)
        assert waiting.all == [CallTimeoutError]
        assert channel._pending_bytes == 0
        failed = channel.counts.failed_dials
        loop.skip(SECOND)
        loop.rounds()
        assert channel.counts.failed_dials == failed  # nobody waits: no connection is asked for

    def test_one_way_messages_are_dropped_during_the_back_off(self, loop, opened, outcomes):
        channel = Channel(loop, closed_port(), "blue")
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: outcomes.all)
        channel._not_before = loop.now() + SECOND
        channel.send("tell", Inner())
        assert channel.counts.dropped_sends == 1
        assert channel._connection is None

    def test_a_connection_that_does_not_come_up_is_given_up(self, loop, opened, outcomes):
        full = UnansweredAddress()
        opened.append(full)
        channel = Channel(loop, full.address, "blue")
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
        loop.rounds()
        assert not outcomes.all
        loop.skip(499 * MS)
        loop.skip(1 * MS)
        loop.until(lambda: outcomes.all)
        assert outcomes.all == [CallRefusedError] and channel.counts.failed_dials == 1

    def test_closing_during_the_back_off_leaves_nothing_behind(self, loop, opened, outcomes):
        channel = Channel(loop, closed_port(), "blue")
        channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
        loop.until(lambda: outcomes.all)
        channel._not_before = loop.now() + SECOND
        channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
        channel.close()
        loop.skip(20 * SECOND)
        loop.rounds()
        assert outcomes.all == [CallRefusedError, DisconnectedError]
        assert channel.counts.failed_dials == 1


def test_counts_can_be_shared(loop, server, opened):
    counts = RpcCounts()
    all_outcomes = [Outcomes(), Outcomes()]
    for outcomes in all_outcomes:
        channel = Channel(loop, server.address, "blue", counts)
        opened.append(channel)
        channel.call("echo", Inner(), Inner, outcomes, 10 * SECOND)
    loop.until(lambda: all(outcomes.all for outcomes in all_outcomes))
    assert counts.connections == 2
