"""Replies of our own calls go to the call that they answer, and no call is sent twice by its channel."""

import socket
from itertools import count

import pytest
from test_rpc import (
    SECOND,
    Inner,
    Outcomes,
    RawListener,
    SkippingLoop,
    hello_frame,
    read_frames,
)

from hopsail.rpc.channel import Channel, DisconnectedError, CallRefusedError, CallTimeoutError
from hopsail.rpc.frames import Kind, Message, pack
from hopsail.rpc.server import RpcServer
from hopsail.rpc.structs import encode

RESET = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, 0 s


@pytest.fixture
def loop():
    made = SkippingLoop()
    yield made
    made.close()


@pytest.fixture
def raw(loop, opened):
    made = RawListener(loop)
    opened.append(made)
    return made


@pytest.fixture
def channel(loop, raw, opened):
    made = Channel(loop, raw.address, "blue")
    opened.append(made)
    return made


def reply(seqid, name):
    return pack(Message("echo", Kind.REPLY, seqid, encode(Inner(name=name))))


def called(channel, name="x", timeout=SECOND):
    outcomes = Outcomes()
    channel.call("echo", Inner(name=name), Inner, outcomes, timeout)
    return outcomes


def seqids(loop, sock, number):
    """Of so many calls that the other side has read, behind the hello."""
    messages = read_frames(loop, sock, number + 1)
    assert [message.kind for message in messages[1:]] == [Kind.CALL] * number
    return [message.seqid for message in messages[1:]]


def test_a_late_reply_is_not_given_to_the_next_call(loop, raw, channel):
    first = called(channel)
    sock = raw.accept()
    (number,) = seqids(loop, sock, 1)
    sock.sendall(hello_frame())
    loop.until(lambda: channel.connected)
    keeping = called(channel, timeout=9 * SECOND)
    (other,) = [message.seqid for message in read_frames(loop, sock, 1)]
    sock.sendall(reply(other, "kept"))
    loop.until(lambda: keeping.all)
    loop.skip(SECOND)
    loop.until(lambda: first.all)
    assert first.all == [CallTimeoutError] and channel.connected
    second = called(channel)
    (number_of_second,) = [message.seqid for message in read_frames(loop, sock, 1)]
    sock.sendall(reply(number, "late") * 2)
    loop.until(lambda: channel.counts.late_replies == 2)
    assert not second.all
    sock.sendall(reply(number_of_second, "right"))
    loop.until(lambda: second.all)
    assert second.all == [Inner(name="right")] and first.all == [CallTimeoutError]


@pytest.mark.parametrize("greeted", [True, False])
@pytest.mark.parametrize("end", ["reset", "in order"])
def test_a_call_is_not_sent_again_once_its_connection_came_up(loop, raw, channel, greeted, end):
    """The server may have run it: whether to ask again is for the caller, who knows what may be repeated."""
    outcomes = called(channel)
    sock = raw.accept()
    seqids(loop, sock, 1)
    if greeted:
        sock.sendall(hello_frame())
        loop.until(lambda: channel.connected)
    if end == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()
    loop.until(lambda: outcomes.all)
    assert outcomes.all == [DisconnectedError]
    loop.skip(2 * SECOND)
    later = called(channel, "later")
    again = raw.accept()
    _, message = read_frames(loop, again, 2)
    assert message.body == encode(Inner(name="later"))
    again.sendall(hello_frame() + reply(message.seqid, "later"))
    loop.until(lambda: later.all)
    assert outcomes.all == [DisconnectedError] and later.all == [Inner(name="later")]


def test_a_reply_to_a_call_of_an_earlier_connection_is_left_out(loop, raw, channel):
    """The process that comes next at an address, or its next life, answers with numbers of its own."""
    first = called(channel)
    sock = raw.accept()
    (number,) = seqids(loop, sock, 1)
    sock.close()
    loop.until(lambda: first.all)
    loop.skip(2 * SECOND)
    second = called(channel)
    sock = raw.accept()
    (other,) = seqids(loop, sock, 1)
    assert other != number
    sock.sendall(hello_frame() + reply(number, "earlier"))
    loop.until(lambda: channel.counts.late_replies)
    assert not second.all and channel.connected
    sock.sendall(reply(other, "right"))
    loop.until(lambda: second.all)
    assert second.all == [Inner(name="right")]


def test_a_number_in_use_is_passed_over_when_numbers_begin_anew(loop, raw, channel):
    held = called(channel, timeout=60 * SECOND)
    sock = raw.accept()
    assert seqids(loop, sock, 1) == [1]
    sock.sendall(hello_frame())
    loop.until(lambda: channel.connected)
    channel._last_seqid = 2**31 - 1
    other = called(channel)
    (number,) = [message.seqid for message in read_frames(loop, sock, 1)]
    assert number == 2
    sock.sendall(reply(2, "other"))
    loop.until(lambda: other.all)
    assert other.all == [Inner(name="other")] and not held.all


def test_a_call_that_no_connection_came_up_for_is_known_not_to_have_run(loop, opened):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = sock.getsockname()
    channel = Channel(loop, address, "blue")
    opened.append(channel)
    outcomes = called(channel)
    loop.until(lambda: outcomes.all)
    assert outcomes.all == [CallRefusedError]
    loop.skip(2 * SECOND)
    server = RpcServer(loop, address, "blue")
    opened.append(server)
    heard = []
    server.register("echo", Inner, lambda argument, respond, peer: heard.append(argument.name))
    called(channel, "later")
    loop.until(lambda: heard)
    loop.rounds()
    assert heard == ["later"]


def test_a_reply_goes_to_the_connection_of_its_call_alone(loop, opened):
    """A caller that has gone and come back has calls under the same numbers: theirs is another connection."""
    server = RpcServer(loop, ("127.0.0.1", 0), "blue")
    opened.append(server)
    held, numbers = [], count(1)
    server.register("echo", Inner, lambda argument, respond, peer: held.append((next(numbers), respond)))
    gone = Channel(loop, server.address, "blue")
    left = called(gone)
    loop.until(lambda: held)
    gone.close()
    loop.until(lambda: held[0][1].closed)
    back = Channel(loop, server.address, "blue")
    opened.append(back)
    outcomes = called(back)
    loop.until(lambda: len(held) == 2)
    held[0][1](Inner(name="of the first"))
    loop.rounds()
    assert not outcomes.all and back.counts.late_replies == 0
    held[1][1](Inner(name="of the second"))
    loop.until(lambda: outcomes.all)
    assert outcomes.all == [Inner(name="of the second")] and left.all == [DisconnectedError]


def test_a_number_that_is_in_use_ends_a_connection(loop, opened):
    """Two calls under one number could have each other's reply."""
    server = RpcServer(loop, ("127.0.0.1", 0), "blue")
    opened.append(server)
    heard = []
    server.register("echo", Inner, lambda argument, respond, peer: heard.append(argument.name))
    sock = socket.create_connection(server.address)
    opened.append(sock)
    call = Message("echo", Kind.CALL, 7, encode(Inner(name="x")))
    sock.sendall(hello_frame() + pack(call) * 2)
    loop.until(lambda: server.counts.malformed_frames)
    assert heard == ["x"]


LONG = 12 << 20  # bytes, more than the buffers of the system take at once


def long_call(loop, raw, channel):
    """A call that its sender has not got rid of, on a connection that was up before: outcomes and socket."""
    first = called(channel)
    sock = raw.accept()
    sock.sendall(hello_frame() + reply(*seqids(loop, sock, 1), "x"))
    loop.until(lambda: first.all)
    loop.skip(SECOND)
    outcomes = called(channel, name="x" * LONG)
    before = -1
    while before != channel._connection.gone_out:  # until the system takes no more
        before = channel._connection.gone_out
        loop.rounds(20)
    assert channel._connection.unsent and not outcomes.all
    return outcomes, sock


def test_who_takes_a_long_call_slowly_is_not_silent(loop, raw, channel):
    _, sock = long_call(loop, raw, channel)
    connection, before = channel._connection, channel._connection.gone_out
    second = called(channel)
    sock.setblocking(False)
    while connection.gone_out == before:
        sock.recv(1 << 20)
        loop.rounds()
    loop.skip(SECOND)
    loop.until(lambda: second.all)
    assert second.all == [CallTimeoutError]
    assert channel._connection is connection and channel.counts.silent_peers == 0


def test_who_takes_no_more_of_a_long_call_is_silent(loop, raw, channel):
    long_call(loop, raw, channel)
    second = called(channel)
    loop.rounds()
    loop.skip(SECOND)
    loop.until(lambda: second.all)
    assert channel._connection is None and channel.counts.silent_peers == 1
