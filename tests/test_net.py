"""The network code: messages, and a balancer on sockets with stand-ins for all that it talks to."""

import errno
import gc
import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from hopsail.load.scripted import SETTINGS, at, instance, listener, message, reply, reset, stuck, update
from hopsail.model import MS, SECOND, Outcome
from hopsail.net.hosts import outcome
from hopsail.net.loop import Loop
from hopsail.net.messages import AnswerReader, MessageFault, RequestReader

NEXT = message("GET /read/k1 HTTP/1.1", X_Trace_Id="t", X_Customer="acme", X_Expires_In="2")
GET = message("GET /read/k HTTP/1.1", X_Trace_Id="t")
BIG = bytes(range(256)) * 256  # 64 KiB with every byte value
CHUNKED = b"PUT /note/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "data, status, body, more",
    [
        (GET, 0, b"", False),
        (message("PUT /note/k HTTP/1.1", BIG), 0, BIG, False),
        (CHUNKED, 0, b"abc", False),
        (message("PUT /note/k HTTP/1.1", BIG + b"x"), 503, None, False),  # no room for a long body
        (b"PUT /note/k HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", 413, None, False),
        (b"GET /read/" + b"k" * 20000 + b" HTTP/1.1\r\n\r\n", 431, None, False),
        (b"GET /read/k HTTP/1.1\r\n" + b"A: b\r\n" * 5000 + b"\r\n", 431, None, False),
        (b"GET /read/k HTTP/1.1\r\nA" + b"a" * 20000, 431, None, False),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400, None, False),
        (b"PUT /note/k HTTP/1.1\r\nContent-Length: -4\r\n\r\n", 400, None, False),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", 0, b"", True),
        (GET + GET, 0, b"", True),
        (GET[:-2], 0, None, False),
        (message("PUT /note/k HTTP/1.1", b"abc")[:-1], 0, None, False),
    ],
)
@pytest.mark.parametrize("size", [1 << 20, 7])
def test_requests_are_read_whole_or_in_pieces(data, status, body, more, size):
    reader, found, got = RequestReader(), None, 0
    try:
        for i in range(0, len(data), size):
            found = reader.feed(data[i : i + size])
    except MessageFault as fault:
        got = fault.status
    assert (got, found and found.body, reader.more) == (status, body, more)


@pytest.mark.parametrize(
    "data, expected",
    [
        (reply(200), Outcome.HANDLED),
        (reply(404), Outcome.MISS),
        (reply(500), Outcome.ERROR),
        (reply(503, X_Never_Ran="1"), Outcome.FULL),
        (reply(504, X_Never_Ran="1"), Outcome.FULL),
        (reply(503), Outcome.ERROR),  # it may have run: taken for unseen it would run twice
        (reply(503, X_Never_Ran="0"), Outcome.ERROR),
        (reply(500, X_Never_Ran="1"), Outcome.ERROR),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200), Outcome.HANDLED),
    ],
)
def test_outcomes_of_answers(data, expected):
    assert outcome(AnswerReader().feed(data)) is expected


def test_an_answer_that_the_end_of_the_connection_completes():
    reader = AnswerReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nval") is None and reader.at_end().body == b"val"
    reader = AnswerReader()
    assert reader.feed(reply(200)[:-1]) is None and reader.at_end() is None


def test_timers_come_in_order_and_a_fault_ends_none_of_the_others(capsys):
    loop, seen = Loop(), []
    now = loop.now()
    for i, when in enumerate([3, 1, 2]):
        loop.at(now + when, lambda i=i: seen.append(i))
    loop.at(now, lambda: 1 / 0)
    for timer in [loop.at(now + 10**12, seen.clear) for _ in range(1500)]:
        timer.cancel()
    while len(seen) < 3:
        loop.round(0.01)
    assert seen == [1, 2, 0] and not loop.timers and "ZeroDivisionError" in capsys.readouterr().err
    loop.close()


def test_nothing_is_taken_after_the_last_answer(rig):
    rig = rig()
    rig.node.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client = rig.ask(Connection="close")
    rig.leg()[0].sendall(reply(200, BIG))
    rig.until(lambda: rig.counts["answered.handled"] or None)
    client.sendall(NEXT)
    for _ in range(5):
        rig.loop.round(0.01)
    assert rig.read(client).endswith(BIG) and rig.counts["taken.reads"] == 1


@pytest.mark.parametrize("body", [b"", b"value", BIG])
def test_a_read_goes_out_unchanged_and_its_answer_comes_back_unchanged(rig, body):
    rig = rig()
    client = rig.ask("/read/k%201?x=1")
    host, request = rig.leg()
    assert request.startswith(b"GET /read/k%201?x=1 HTTP/1.1\r\n") and b"\r\nX-Trace-Id: t1\r\n" in request
    left = float(request.split(b"X-Expires-In: ")[1].split()[0])
    assert 0.3 < left <= 0.4  # how long this leg is waited for
    host.sendall(reply(200, body, Content_Type="a/b"))
    head, _, got = rig.read(client).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK") and b"Content-Type: a/b" in head and got == body
    # The connection is used again, by the client and towards the host.
    client.sendall(message("GET /read/k%201 HTTP/1.1", X_Trace_Id="t2", X_Customer="acme", X_Expires_In="1"))
    assert b"X-Trace-Id: t2" in rig.read(host)
    host.sendall(reply(200, b"again"))
    assert rig.read(client).endswith(b"again")
    assert rig.counts["hosts.dialed"] == rig.counts["hosts.reused"] == 1


REPORTS = [
    # header of the answer, the crowd by what was taken from it (None: nothing), with columns waiting and cpu
    (b"TEXT cpu_utilization=0.5, named_metrics.waiting=7", 8 / 1.7),
    (b'JSON {"cpu_utilization": 0.5, "named_metrics": {"waiting": 7}}', 8 / 1.7),
    (b"TEXT cpu_utilization=0.5", None),
    (b"TEXT cpu_utilization=0.5, named_metrics.waiting=7, named_metrics.mood=1", None),
    (b"TEXT cpu_utilization=0.5, named_metrics.waiting=-7", None),
    (b"TEXT cpu_utilization=nan, named_metrics.waiting=7", None),
    (b"TEXT cpu_utilization=0.5, named_metrics.waiting=1_0", None),
    (b"TEXT cpu_utilization=0.5, named_metrics.waiting=7, named_metrics.waiting=8", None),
    (b"TEXT cpu_utilization=0.5, named_metrics.waiting=999999999999", None),
    (b'JSON {"cpu_utilization": 0.5, "named_metrics": {"waiting": Infinity}}', None),
    (b"JSON " + b"[" * 9000, None),
    (b"JSON [1]", None),
    (b"TEXT", None),
    (b"\xff garbage", None),
]


@pytest.mark.parametrize("header, crowd", REPORTS)
def test_a_report_on_an_answer_is_taken_or_ignored_and_the_answer_goes_on(rig, header, crowd):
    rig = rig(settings=SETTINGS | {"feedback": {"via": "answers", "columns": ["waiting", "cpu"]}})
    client = rig.ask()
    host, _ = rig.leg()
    host.sendall(reply(200).replace(b"Content-L", b"Endpoint-Load-Metrics: " + header + b"\r\nContent-L"))
    assert rig.status(client) == 200
    told = [h.told for h in rig.node.door.balancer.caches.values() if h.report]
    assert [round(mean.read(rig.loop.now()), 3) for mean in told] == ([round(crowd, 3)] if crowd else [])
    assert (rig.counts["reports.taken"], rig.counts["reports.malformed"]) == ((1, 0) if crowd else (0, 1))


def test_reports_are_skipped_where_the_settings_name_none(rig):
    rig = rig()
    client = rig.ask()
    host, _ = rig.leg()
    host.sendall(reply(200, Endpoint_Load_Metrics="TEXT cpu_utilization=0.5"))
    assert rig.status(client) == 200 and not [key for key in rig.counts if key.startswith("reports")]


@pytest.mark.parametrize("hint, work", [("0.25", 250 * MS), ("-1", 0), ("nan", 0), ("much", 0), ("9e9", 0)])
def test_a_hint_of_work_is_taken_or_ignored(rig, hint, work):
    rig = rig()
    client = rig.ask(X_Expected_Work=hint)
    host, _ = rig.leg()
    (leg,) = [leg for h in rig.node.door.balancer.caches.values() for leg in h.legs]
    assert leg.retrieval.work == work
    host.sendall(reply(200))
    assert rig.status(client) == 200 and rig.counts["hints.malformed"] == (not work)


def test_a_write_goes_to_the_origin_with_body_and_mark(rig):
    rig = rig()
    client = rig.ask("/note/k1", "PUT", BIG, Idempotency_Key="m1")
    origin = rig.accept(rig.origin)
    request = rig.read(origin)
    assert request.startswith(b"PUT /note/k1 ") and b"\r\nIdempotency-Key: m1\r\n" in request
    assert request.endswith(b"\r\n\r\n" + BIG)
    origin.sendall(reply(200, b""))
    assert rig.status(client) == 200


def test_a_miss_goes_on_to_the_origin(rig):
    rig = rig()
    client = rig.ask()
    rig.leg()[0].sendall(reply(404, X_Store="miss"))
    origin = rig.accept(rig.origin)
    assert b"X-Trace-Id: t1" in rig.read(origin)
    origin.sendall(reply(200, b"fresh"))
    assert rig.read(client).endswith(b"fresh")


def part(sock):
    sock.sendall(reply(200, BIG)[:-1])
    sock.close()


BREAKS = {
    "turned away": lambda sock: sock.sendall(reply(503, X_Never_Ran="1")),
    "error": lambda sock: sock.sendall(reply(500)),
    "reset": reset,
    "closed": lambda sock: sock.close(),
    "half an answer": part,
    "no answer": lambda sock: sock.sendall(b"220 smtp\r\n\r\n"),
    "too much": lambda sock: sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"),
}


@pytest.mark.parametrize("what", BREAKS)
def test_a_pure_read_goes_elsewhere_when_its_host_fails(rig, what):
    rig = rig()
    client = rig.ask()
    first, _ = rig.leg()
    BREAKS[what](first)
    # One that may have brought its host down is no longer sent to another: the origin has room.
    second = rig.accept(*(rig.hosts if what in ("turned away", "error") else [rig.origin]))
    assert b"X-Trace-Id: t1" in rig.read(second)
    second.sendall(reply(200, b"second"))
    assert rig.read(client).endswith(b"second")


@pytest.mark.parametrize("what", ["turned away", "error", "reset", "closed", "half an answer"])
def test_an_effect_that_may_have_happened_is_not_asked_for_again(rig, what):
    rig = rig()
    client = rig.ask("/once/k1", "PUT", b"v")
    origin = rig.accept(rig.origin)
    rig.read(origin)
    BREAKS[what](origin)
    if again := what == "turned away":  # known not to have run
        assert rig.read(origin).startswith(b"PUT /once/k1 ")
        origin.sendall(reply(200))
    assert rig.status(client) == (200 if again else 502) and rig.counts["legs.sent"] == 1 + again


@pytest.mark.parametrize("expires, effect, status", [("0.300", "read", 503), ("0.300", "once", 502)])
def test_a_silent_host_is_given_up_at_the_limit_and_told_by_closing(rig, expires, effect, status):
    rig = rig()
    client = rig.ask(f"/{effect}/k", "PUT", X_Expires_In=expires)
    origin = rig.accept(rig.origin)
    rig.read(origin)
    rig.skip(0.3)
    assert rig.status(client) == status and rig.ended(origin) and rig.counts["legs.timed_out"] == 1


@pytest.mark.parametrize("expires", ["0.100", "2.000"])  # before and after the time for dialing
def test_a_connection_that_never_comes_up_counts_as_never_run(rig, expires):
    rig = rig(hosts=0, known=update(1, instance("h", "127.0.0.1:9"), reset=True))
    sock, fill = stuck()
    rig.open += [sock, fill]
    rig.node.door.discovery.told(update(2, instance("o", at(sock), "origin"), reset=True))
    client = rig.ask("/once/k", "PUT", X_Expires_In=expires)
    rig.until(lambda: rig.counts["legs.sent"] or None)
    rig.skip(0.3)
    assert rig.counts["legs.no_connection"] == 1 and rig.counts["legs.timed_out"] == 0
    rig.skip(3)
    assert rig.status(client) == 503  # a bounce: it is known not to have run


def test_nothing_is_sent_for_a_client_that_has_left(rig):
    rig = rig(hosts=0, known=update(1, reset=True))
    sock, fill = stuck()
    rig.open += [sock, fill]
    rig.node.door.discovery.told(update(2, instance("h", at(sock)), reset=True))
    client = rig.ask()
    rig.until(lambda: rig.counts["legs.sent"] or None)
    client.close()
    rig.until(lambda: rig.counts["legs.never_sent"] or None)
    assert rig.counts["answered.left"] == 1 and rig.node.door.open == 0 and not rig.node.door.pool.connections


def test_a_leg_under_way_ends_by_itself_after_its_client_left(rig):
    rig = rig()
    client = rig.ask()
    host, _ = rig.leg()
    client.close()
    rig.until(lambda: rig.counts["answered.left"] or None)
    host.sendall(reply(200))
    rig.until(lambda: rig.counts["legs.handled"] or None)
    assert [len(idle) for idle in rig.node.door.pool.idle.values()] == [1]


def test_an_idle_connection_that_the_host_closed_is_replaced_before_anything_is_sent(rig):
    rig = rig(hosts=1)
    client, host = rig.served()
    [name] = rig.node.door.pool.idle
    host.close()
    assert rig.node.door.pool._reuse(name) is None  # before the loop has seen the end
    client.sendall(NEXT)
    rig.leg()[0].sendall(reply(200))
    assert rig.status(client) == 200 and rig.counts["legs.sent"] == 2


def test_a_kept_connection_that_breaks_before_the_last_byte_is_replaced_for_the_same_leg(rig):
    rig = rig(hosts=1)
    client, _ = rig.served()
    [[kept]] = rig.node.door.pool.idle.values()
    kept._flush = lambda: rig.loop.soon(kept._end)
    client.sendall(NEXT)
    rig.leg()[0].sendall(reply(200))
    assert rig.status(client) == 200 and rig.counts["legs.sent"] == 2 and not rig.counts["legs.no_connection"]


@pytest.mark.parametrize("answer", [reply(200, Connection="close"), reply(200) + b"x", reply() + reply()])
def test_a_connection_that_may_bring_more_is_not_used_again(rig, answer):
    rig = rig(hosts=1)
    client = rig.ask()
    host, _ = rig.leg()
    host.sendall(answer)
    assert rig.status(client) == 200 and rig.ended(host) and not rig.node.door.pool.connections


def test_what_comes_unasked_is_not_taken_for_the_next_answer(rig):
    rig = rig(hosts=1)
    client, host = rig.served()
    client.sendall(NEXT)
    host.sendall(reply(200, b"not asked for"))
    rig.leg()[0].sendall(reply(200, b"asked for"))
    assert rig.read(client).endswith(b"asked for") and rig.ended(host)


@pytest.mark.parametrize("seconds, kept", [(6, 1), (9, 0)])
def test_idle_connections_are_closed_before_the_host_would(rig, seconds, kept):
    rig = rig()
    client, host = rig.served()
    rig.skip(seconds)
    assert len(rig.node.door.pool.connections) == kept


BAD = {
    "no track": (b"GET /nothing/k HTTP/1.1\r\n\r\n", 404),
    "no path": (b"GET / HTTP/1.1\r\n\r\n", 404),
    "method": (message("DELETE /read/k HTTP/1.1", X_Trace_Id="t"), 405),
    "no id": (message("GET /read/k HTTP/1.1", X_Customer="acme", X_Expires_In="1"), 400),
    "no limit": (message("GET /read/k HTTP/1.1", X_Customer="acme", X_Trace_Id="t"), 400),
    "no customer": (message("GET /read/k HTTP/1.1", X_Trace_Id="t", X_Expires_In="1"), 400),
    "customer": (message("GET /read/k HTTP/1.1", X_Trace_Id="t", X_Expires_In="1", X_Customer="x"), 400),
    "garbage": (b"\0\1\2\3\r\n\r\n", 400),
    "too long": (b"PUT /read/k HTTP/1.1\r\nContent-Length: 60000000\r\n\r\nxxx", 413),
    "limit": (message("GET /read/k HTTP/1.1", X_Trace_Id="t", X_Customer="acme", X_Expires_In="nan"), 400),
    "limit over": (message("GET /read/k HTTP/1.1", X_Trace_Id="t", X_Customer="acme", X_Expires_In="0"), 400),
    "endless": (message("GET /read/k HTTP/1.1", X_Trace_Id="t", X_Customer="acme", X_Expires_In="inf"), 400),
    "two ids": (b"GET /read/k HTTP/1.1\r\nX-Trace-Id: a\r\nX-Trace-Id: b\r\n\r\n", 400),
    "two lengths": (b"PUT /note/k HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    "limit word": (message("GET /read/k HTTP/1.1", X_Trace_Id="t", X_Customer="acme", X_Expires_In="x"), 400),
}


@pytest.mark.parametrize("what", BAD)
def test_what_cannot_be_taken_gets_a_plain_answer_and_others_are_served(rig, what, capsys):
    rig, (data, status) = rig(), BAD[what]
    assert rig.status(rig.client(data)) == status
    rig.served()
    assert "fault" not in capsys.readouterr().err


@pytest.mark.parametrize("data, at_once", [(NEXT, True), (b"rest", True), (NEXT, False), (b"rest", False)])
def test_more_than_one_request_at_once_ends_them_all_unserved(rig, data, at_once):
    rig, first = rig(), message("GET /read/k HTTP/1.1", X_Trace_Id="p", X_Customer="acme", X_Expires_In="2")
    client = rig.client(first + data * at_once)
    if not at_once:
        host, _ = rig.leg()
        client.send(data)
        rig.until(lambda: rig.counts["taken.malformed"] or None)
        host.sendall(reply(200))
    assert rig.status(client) == 400 and rig.ended(client)
    rig.until(lambda: not rig.node.door.open or None)
    assert rig.counts["legs.sent"] == (not at_once)


def test_empty_lines_behind_a_request_are_no_request(rig):
    rig = rig()
    client = rig.ask()
    host, _ = rig.leg()
    client.send(b"\r\n")
    rig.loop.round(0.1)
    host.sendall(reply(200))
    assert rig.status(client) == 200


@pytest.mark.parametrize("over", [False, True])
def test_an_id_that_came_before_is_never_sent_on_again(rig, over):
    rig = rig()
    client = rig.ask(X_Trace_Id="same")
    host, _ = rig.leg()
    if over:
        host.sendall(reply(200))
        assert rig.status(client) == 200
    again = rig.ask(X_Trace_Id="same")
    assert rig.status(again) == 409 and rig.counts["legs.sent"] == 1
    if not over:
        host.sendall(reply(200, b"first"))
        assert rig.read(client).endswith(b"first")


def test_a_body_beyond_the_bound_is_turned_away_at_its_head_and_not_read_for_ever(rig):
    rig = rig()
    client = rig.client(b"PUT /note/k HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
    assert rig.status(client) == 413

    def sent():
        try:
            return client.send(b"x" * 65536) and None
        except BlockingIOError:
            return None
        except OSError:
            return True

    rig.until(sent)  # ended long before 60 MB
    assert not rig.node.listener.clients


def test_a_client_that_waits_for_a_word_before_its_body_gets_it(rig):
    rig = rig()
    headers = {"X_Trace_Id": "t", "X_Customer": "acme", "X_Expires_In": "1", "Expect": "100-continue"}
    client = rig.client(message("PUT /note/k HTTP/1.1", b"v", **headers)[:-1])
    assert rig.status(client) == 100
    client.send(b"v")
    assert rig.read(rig.accept(rig.origin)).endswith(b"\r\n\r\nv")


@pytest.mark.parametrize(
    "served, data, seconds", [(0, GET[:20], 2.1), (0, b"", 2.1), (1, GET[:20], 2.1), (1, b"", 2.1)]
)
def test_slow_and_idle_clients_do_not_hold_a_connection_for_good(rig, served, data, seconds):
    rig = rig()
    client = rig.served()[0] if served else rig.client()
    client.send(data)
    rig.until(lambda: [c.idle for c in rig.node.listener.clients] == [not data])
    rig.skip(seconds - 0.2)
    assert rig.node.listener.clients
    rig.skip(0.2)
    assert rig.ended(client) and not rig.node.listener.clients


def test_connections_that_ask_once_and_stay_make_room_for_those_that_ask(rig):
    rig = rig(limits={"sockets": 64, "memory_mb": 192})
    most, clients, ask = rig.node.config.most_asked_once, [], message("GET /healthz HTTP/1.1")
    for i in range(most + 3):
        clients.append(rig.client(ask))
        assert rig.status(clients[-1]) == 200
        if i == 0:  # it has shown that it asks again
            clients[0].sendall(ask)
            assert rig.status(clients[0]) == 200
    rig.until(lambda: rig.counts["clients.closed after one"] == 2)
    assert rig.ended(clients[1]) and rig.ended(clients[2])
    assert len(rig.node.listener.clients) == most + 1 and len(rig.node.listener.once) == most


def test_connections_that_say_nothing_go_before_those_that_ask(rig):
    rig = rig(limits={"sockets": 64, "memory_mb": 192})
    asking, _ = rig.served()
    most = rig.node.listener.most
    crowd = [rig.client() for _ in range(most - 1)]
    rig.until(lambda: rig.counts["clients.connections"] == most)
    rig.loop.offset += SECOND
    more = [rig.client() for _ in range(5)]
    rig.until(lambda: rig.counts["clients.closed for room"] == 5)
    assert all(rig.ended(sock) for sock in crowd[:5]) and len(more) == 5
    asking.sendall(NEXT)
    rig.until(lambda: rig.counts["taken.reads"] == 2)


def test_clients_beyond_the_room_take_the_place_of_idle_ones(rig):
    rig = rig(limits={"sockets": 64, "memory_mb": 192})
    most = rig.node.listener.most
    busy = rig.ask()
    host, _ = rig.leg()
    clients = [rig.client() for _ in range(most + 5)]
    rig.until(lambda: rig.counts["clients.connections"] == most + 6)
    assert len(rig.node.listener.clients) == most and rig.counts["clients.closed for room"] == 6
    host.sendall(reply(200))
    assert rig.status(busy) == 200 and rig.ended(clients[0])


def test_clients_beyond_the_room_wait_when_none_is_idle(rig):
    rig = rig(hosts=30, limits={"sockets": 64, "memory_mb": 192})
    clients = [rig.ask(f"/read/k{i}", Connection="close") for i in range(rig.node.listener.most + 5)]
    rig.until(lambda: rig.node.listener.paused)
    assert len(rig.node.listener.clients) == rig.node.listener.most + 1
    rig.skip(2)  # those in hand are given up
    for client in clients:
        assert rig.status(client) == 503
        client.close()
    assert rig.counts["taken.reads"] == len(clients)


def test_an_answer_larger_than_the_buffers_comes_whole(rig):
    rig = rig()
    rig.node.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client = rig.ask()
    rig.leg()[0].sendall(reply(200, BIG))
    rig.until(lambda: rig.counts["answered.handled"] or None)
    assert [len(one.unsent) > 0 for one in rig.node.listener.clients] == [True]
    assert rig.read(client).endswith(b"\r\n\r\n" + BIG)


def test_a_lack_of_descriptors_is_survived(rig, monkeypatch):
    rig = rig()

    def lack(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    idle = rig.client()
    rig.until(lambda: rig.counts["clients.connections"] or None)
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "accept", lack)
        client = rig.ask()
        rig.until(lambda: rig.node.listener.paused)
        assert rig.ended(idle)  # it made room, but not enough
    rig.skip(1.1)
    rig.leg()[0].sendall(reply(200))
    assert rig.status(client) == 200
    with monkeypatch.context() as patch:
        patch.setattr("hopsail.net.hosts.dial", lack)
        client = rig.ask("/note/k", "PUT")
        assert rig.status(client) == 503 and rig.counts["legs.never_sent"] == 4
    assert not rig.node.door.pool.idle  # the idle connection was given up for it
    # The lack is the balancer's own: no host is blamed for it.
    assert not any(host.bad.value for host in rig.node.door.balancer.hosts.values())


def test_retrievals_beyond_the_memory_are_bounced(rig):
    rig = rig(limits={"sockets": 256, "memory_mb": 25})
    first = [rig.ask(f"/read/k{i}") for i in range(rig.node.config.most_open)]
    rig.until(lambda: rig.node.door.open == len(first))
    assert rig.status(rig.ask()) == 503 and rig.counts["legs.sent"] == len(first)


def test_a_fault_in_the_module_scraps_that_retrieval_only(rig, monkeypatch, capsys):
    rig = rig()
    with monkeypatch.context() as patch:
        patch.setattr(rig.node.door.balancer, "arrived", lambda *_: 1 / 0)
        assert rig.status(rig.ask()) == 500
    assert "ZeroDivisionError" in capsys.readouterr().err and rig.node.door.open == 0
    rig.served()


def test_retrievals_leave_nothing_for_the_collector(rig):
    rig = rig(hosts=1)
    client, host, origin = rig.missed()
    origin.sendall(reply(200))
    assert rig.status(client) == 200
    gc.collect()
    for i in range(20):
        client.sendall(NEXT.replace(b"-Id: t", b"-Id: u%d" % i))
        rig.read(host)
        host.sendall(reply(200))
        assert rig.status(client) == 200
    assert gc.collect() < 20


def test_connections_leave_nothing_for_the_collector(rig):
    rig = rig()
    rig.served()
    gc.collect()
    for _ in range(20):
        assert rig.status(rig.client(message("GET /healthz HTTP/1.1", Connection="close"))) == 200
        rig.open.pop().close()
    rig.until(lambda: len(rig.node.listener.clients) == 1)
    rig.loop.round(0)
    assert gc.collect() < 20


def watch(rig, first):
    """Discovery takes the call and answers with a first line; the connection and the request."""
    sock = rig.accept(rig.discovery)
    request = rig.read(sock)
    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    tell(sock, first)
    return sock, request


def tell(sock, tree):
    line = json.dumps(tree).encode() + b"\n" if tree else b"\n"
    for piece in (line[:9], line[9:]):  # lines and chunks need not end together
        if piece:
            sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))


def heard(rig, number):
    rig.until(lambda: rig.counts["discovery.updates"] == number)


def test_changes_of_the_list_are_followed(rig):
    rig = rig(hosts=1)
    sock, request = watch(rig, update(8))
    assert request.startswith(b"GET /v1/servers?follow=1&since=7 HTTP/1.1\r\n")
    heard(rig, 1)
    new = listener()
    tell(sock, None)
    gone = instance("h0", at(rig.hosts[0]), state="terminating")
    odd = instance("h8", at(new)) | {"hostPort": 5}
    tell(sock, update(9, gone, {"odd": 1}, odd, instance("h9", at(new))))
    heard(rig, 2)
    client, old = rig.ask(), rig.hosts[0]
    rig.hosts.append(new)
    rig.open.append(new)
    host = rig.accept(old, new)
    assert host.getsockname() == new.getsockname()  # the drain is kept
    rig.read(host)
    host.sendall(reply(200))
    assert rig.status(client) == 200
    tell(sock, update(10, instance("h9", at(new), started=5)))
    heard(rig, 3)
    assert rig.ended(host)  # started anew: connections from before lead nowhere
    client.sendall(NEXT)
    host = rig.accept(new)
    rig.read(host)
    host.sendall(reply(200))
    assert rig.status(client) == 200
    tell(sock, update(11, instance("h9", at(new), state="terminated")))
    heard(rig, 4)
    assert rig.ended(host)
    assert rig.status(rig.client(message("GET /healthz HTTP/1.1"))) == 503


ENDS = ["closed", "over", "refused", "garbage", "unread", "silent", "stalled", "stuck"]


@pytest.mark.parametrize("end", ENDS)
def test_a_watch_that_ends_is_asked_for_again_from_the_last_version(rig, end):
    rig = rig()
    if end == "refused":
        sock = rig.accept(rig.discovery)
        sock.sendall(reply(503, b""))
        since = b"since=7 "
    elif end == "silent":
        rig.read(rig.accept(rig.discovery))
        rig.skip(3.1)
        since = b"since=7 "
    elif end == "stuck":
        rig.accept(rig.discovery)
        sock, fill = stuck()
        rig.open += [sock, fill]
        rig.node.door.discovery.close()
        whole, rig.node.door.discovery.address = rig.node.door.discovery.address, sock.getsockname()
        rig.node.door.discovery.ask()
        rig.skip(1.1)
        rig.node.door.discovery.address = whole
        since = b"since=7 "
    else:
        sock, _ = watch(rig, update(8))
        heard(rig, 1)
        since = b"since=8 "
        if end == "closed":
            sock.close()
        elif end == "over":
            sock.sendall(b"0\r\n\r\n")
        elif end == "garbage":
            tell(sock, ["no list"])
        elif end == "unread":  # no entry can be: taken for a whole list, it would empty the ring
            tell(sock, update(9, {"odd": 1}, reset=True))
            rig.until(lambda: rig.counts["discovery.failed"] or None)
            assert len(rig.node.door.balancer.caches) == 2
        else:
            rig.skip(2.8)
            tell(sock, None)
            rig.loop.round(0.01)
            rig.skip(2.8)
            assert rig.counts["discovery.failed"] == 0
            rig.skip(0.3)
    rig.until(lambda: rig.counts["discovery.failed"] or None)
    rig.skip(5)
    assert since in rig.read(rig.accept(rig.discovery)) and rig.counts["discovery.failed"] == 1


@pytest.mark.parametrize(
    "text, taken",
    [
        (lambda tree, place: json.dumps(tree | {"discovery": place, "limits": {"sockets": 64}}), 1),
        (lambda tree, place: json.dumps(tree | {"discovery": "nowhere"}), 0),
        (lambda tree, place: json.dumps(tree | {"discovery": place, "settings": {"tracks": 1}}), 0),
        (lambda tree, place: json.dumps(tree | {"settings": SETTINGS | {"weights": "live"}}), 0),  # a mix
        (lambda tree, place: "{", 0),
    ],
)
def test_sighup_takes_a_new_configuration_over_or_stays_with_the_old(rig, text, taken):
    rig, new = rig(), listener()
    rig.open.append(new)
    old, _ = watch(rig, update(8))
    heard(rig, 1)
    client = rig.ask()
    host, _ = rig.leg()
    rig.path.write_text(text(rig.tree, at(new)))
    os.kill(os.getpid(), signal.SIGHUP)
    rig.until(lambda: rig.counts["configuration.asked"] or None)
    assert rig.counts["configuration.taken"] == taken
    if taken:  # the address in NODE_DISCOVERY is as old as the process
        sock = rig.accept(new)
        assert b"since=8 " in rig.read(sock) and rig.ended(old) and rig.counts["discovery.failed"] == 0
        assert rig.node.listener.most == rig.node.door.pool.most == 24
    else:
        tell(old, update(9))
        heard(rig, 2)
    host.sendall(reply(200))
    assert rig.status(client) == 200  # what is in hand goes on


def test_a_list_that_comes_unasked_in_the_bench_is_watched_all_the_same(rig):
    rig = rig(settings=SETTINGS | {"discovery": "automatic"})
    assert b"follow=1&since=7 " in rig.read(rig.accept(rig.discovery))


def test_live_weights_that_come_with_the_list_move_no_home(rig):
    answers = {"via": "answers", "columns": ["rps", "avg_ms", "waiting"]}
    rig = rig(settings=SETTINGS | {"discovery": "automatic", "weights": "live", "feedback": answers})
    entries = [instance(f"h{i}", at(sock)) for i, sock in enumerate(rig.hosts)]
    sock, _ = watch(rig, update(8, *[entry | {"weight": 4.0} for entry in entries]))
    heard(rig, 1)
    balancer = rig.node.door.balancer
    ring = balancer.rings[0]
    for i, weight in enumerate((0.25, 0, -1, "heavy", 1e300, [4])):
        tell(sock, update(9 + i, entries[0] | {"weight": weight}))
        heard(rig, 2 + i)
    assert balancer.rings[0] is ring and [h.size for h in balancer.caches.values()] == [4.0, 4.0]


def test_after_sigterm_all_that_comes_in_time_is_answered(rig):
    rig = rig()
    idle, busy = rig.client(), rig.ask("/read/a", X_Expires_In="60")
    host, _ = rig.leg()
    os.kill(os.getpid(), signal.SIGTERM)
    rig.until(lambda: rig.node.door.ends)
    late = rig.ask("/read/b", X_Expires_In="60")
    other, _ = rig.leg()
    other.sendall(reply(200, b"late"))
    # Told to go elsewhere now, clients may find that another balancer is only just coming back.
    assert b"Connection: close" not in rig.read(late)
    late.sendall(NEXT)
    rig.read(other)
    other.sendall(reply(200, b"kept"))
    assert rig.read(late).endswith(b"kept")
    assert rig.status(rig.client(message("GET /healthz HTTP/1.1"))) == 503
    last, rest = rig.ask("/read/c", X_Expires_In="60"), rig.client()
    rig.skip(0.65)
    assert rig.ended(late) and rig.ended(idle) and rig.ended(rest) and rig.loop.running
    with pytest.raises(OSError):
        rig.client()
    rig.skip(2.85)  # what no host has answered is given up before the process is killed
    assert rig.status(busy) == rig.status(last) == 503 and rig.ended(host)
    rig.skip(0.1)
    assert not rig.loop.running


def test_what_has_come_is_served_when_the_door_shuts(rig):
    rig = rig()
    idle, _ = rig.served()
    idle.sendall(NEXT)
    new = rig.ask("/read/b")
    rig.node.listener.shut()  # neither has been read yet, the second not even accepted
    rig.until(lambda: rig.counts["taken.reads"] == 3)
    new.close()


def test_a_request_that_comes_as_its_connection_has_stood_idle_too_long_is_served(rig):
    rig = rig(hosts=1)
    client, host = rig.served()
    client.sendall(NEXT)
    rig.node.listener.sweep(rig.loop.now() + 3 * SECOND)
    assert b"X-Trace-Id: t" in rig.read(host)
    host.sendall(reply(200))
    assert rig.status(client) == 200


@pytest.mark.parametrize("ready", [True, False])
def test_health_tells_whether_it_can_serve(rig, ready):
    rig = rig() if ready else rig(known=None)
    assert rig.status(rig.client(message("GET /healthz HTTP/1.1"))) == (200 if ready else 503)


def test_the_process_prints_its_counters_and_ends(rig, tmp_path):
    rig = rig()  # writes the configuration
    command = [sys.executable, "-m", "hopsail"]
    environment = os.environ | {"NODE_CONFIG": str(tmp_path / "config.json"), "NODE_NAME": "n9"}
    process = subprocess.Popen(command, stderr=subprocess.PIPE, env=environment, text=True)
    try:
        assert "n9 listens on 127.0.0.1:" in process.stderr.readline()
        process.send_signal(signal.SIGUSR1)
        assert '"why": "asked"' in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert '"why": "end"' in process.communicate(timeout=20)[1] and process.returncode == 0
    finally:
        process.kill()
        process.wait()
