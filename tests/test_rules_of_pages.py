"""Rules of the pages that other tests pass by without asking for them by name."""

import json
import socket
from contextlib import suppress

import pytest
from data_plane_by_hand import CONFIGURATION, SETTINGS, ask, feed, headers_of, instance
from request_journey import (
    IDEMPOTENT,
    IDENTIFIER,
    MILLISECOND,
    MUTATING,
    RESUMABLE,
    SECOND,
    STREAM,
    ClientSide,
    Clock,
    Journey,
    answer,
    declined,
)
from test_dataplane_forward import MAY_HAVE_RUN, NOT_RUN, Front
from test_http import LOCAL, RawPeer, Runner, in_chunks, post, request

from hopsail.configuration.process import parse_settings
from hopsail.controlplane.rollouts import ORDER_PATH, TARGET, Rollouts
from hopsail.dataplane.plane import READY_PATH, DataPlane
from hopsail.hosts.instance import ModelRevision, Phase
from hopsail.http.message import Request
from hopsail.http.server import Exchange

KINDS = [MUTATING, IDEMPOTENT, STREAM, RESUMABLE]
SEAL = "hopsail-server-seal"


@pytest.fixture
def plane(data_plane):
    return data_plane


# BUDGET: the time that hosts are handed


@pytest.mark.parametrize(
    ("told", "handed"),
    [(None, "4000"), ("1500", "1500"), ("4000", "4000"), ("9000", "4000")],
    ids=["none", "sooner", "equal", "later"],
)
def test_a_host_is_handed_the_earlier_of_the_clients_and_the_routes_deadline(plane, told, handed):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of() + ([("hopsail-deadline-ms", told)] if told else []))
    assert plane.pool.made[0].told("hopsail-deadline-ms") == handed


@pytest.mark.parametrize("kind", [IDEMPOTENT, RESUMABLE])
@pytest.mark.parametrize("pauses", [(0, 600), (1200, 1800), (100, 3899)])
def test_however_late_a_host_is_sent_a_request_it_ends_with_the_first(kind, pauses):
    journey = Journey(kind)
    passed = 0
    for number, pause in enumerate(pauses):
        journey.loop.forward(pause * MILLISECOND)
        passed += pause
        journey.host(number).ends()
        assert int(journey.host(number + 1).told("hopsail-deadline-ms")) == max(1, 4000 - passed)


# GONE: what the client does not wait for


@pytest.mark.parametrize("kind", KINDS)
def test_nothing_reaches_a_host_whose_connection_comes_up_after_the_client_left(kind):
    journey = Journey(kind, manners=["silent"])
    journey.exchange.client_gone()
    assert not journey.host().open and journey.sent == 0
    assert not journey.loop.pending and journey.plane.ended


@pytest.mark.parametrize("kind", [IDEMPOTENT, RESUMABLE])
def test_a_second_host_ends_its_work_too_when_the_client_leaves(kind):
    journey = Journey(kind)
    journey.host().ends()
    journey.exchange.client_gone()
    assert not journey.host(1).open and len(journey.pool.made) == 2


# CONFIG: no answer past the route's time


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ends", [0, 1, 2])
def test_each_request_has_its_final_answer_at_its_deadline(kind, ends):
    journey = Journey(kind)
    for number in range(ends):
        if not journey.exchange.ended:
            journey.host(number).says(declined())
    journey.loop.forward(4 * SECOND)
    assert journey.exchange.ended and journey.over() in (503, 504)


# DENIED: what a process answers that knows no configuration


@pytest.mark.parametrize("target", ["/a/b", "/unheard/of/", "/"])
@pytest.mark.parametrize("key", [None, "key-1", "unheard-of"])
def test_a_process_without_a_configuration_denies_nothing(plane, target, key):
    client = ask(plane, headers_of(key=key), target)
    assert client.status == 503 and client.header("retry-after") and not plane.pool.made


BEYOND = {
    "head": request("/a/b", "X: " + "a" * (64 << 10)),
    "head of many lines": request("/a/b", *[f"X-{number}: {'a' * 100}" for number in range(1000)]),
    "head without an end": request("/a/b", "X: " + "a" * (1 << 20))[:-4],
    "body": post("/a/b", b"a" * (5 << 20)),
    "body in chunks": in_chunks(b"500000\r\n" + b"a" * (5 << 20) + b"\r\n0\r\n\r\n"),
}


@pytest.fixture
def clients():
    """A data plane on sockets of its own: what comes of the bytes that a client sends."""
    runner = Runner()
    plane = DataPlane(parse_settings(SETTINGS))
    plane.loop.close()
    plane.loop = runner.loop
    plane.front = runner.own(plane.listen(LOCAL))

    def sends(data):
        peer = RawPeer(runner, socket.create_connection(plane.front.sock.getsockname()))
        rest = memoryview(data)

        def sent():
            nonlocal rest
            with suppress(BlockingIOError):
                rest = rest[peer.sock.send(rest) :]
            return not rest

        runner.until(sent, "all to be sent")
        return peer

    sends.plane = plane
    yield sends
    runner.close()


@pytest.mark.parametrize("name", BEYOND)
def test_a_process_without_a_configuration_knows_no_limits(clients, name):
    client = clients(BEYOND[name])
    got = client.ends()
    assert got.startswith(b"HTTP/1.1 503 ") and got.endswith(b"\r\n\r\n") and got.count(b"HTTP/1.1") == 1
    assert b"\r\nretry-after: " in got and b"\r\nhopsail-not-executed: 1\r\n" in got
    assert b"\r\ncontent-length: 0\r\n" in got and b"\r\nconnection: close\r\n" in got
    assert not client.reset


@pytest.mark.parametrize("name", BEYOND)
def test_the_limits_of_a_configuration_bind_once_it_is_known(clients, name):
    feed(clients.plane.view, CONFIGURATION)
    client = clients(BEYOND[name])
    assert client.ends()[:13] in (b"HTTP/1.1 413 ", b"HTTP/1.1 431 ") and not client.reset


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_a_process_without_a_configuration_promises_that_nothing_has_run(clients, method):
    got = bytes(clients(request("/a/b", method=method)).receives(b"\r\n\r\n").got)
    assert got.startswith(b"HTTP/1.1 503 ") and b"\r\nhopsail-not-executed: 1\r\n" in got


# MIXED: a stamp only with its host's own status


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("end", NOT_RUN + MAY_HAVE_RUN)
def test_an_answer_of_ones_own_bears_no_hosts_stamp(kind, end):
    journey = Journey(kind, hosts=1)
    end(journey, 0)
    assert journey.over() in (502, 503)
    assert journey.client.header(SEAL) is None


@pytest.mark.parametrize("status", [200, 404, 500])
def test_the_versions_of_an_answer_are_passed_on(status):
    journey = Journey()
    journey.host().says(answer(status, lines=["Versions: 7"]))
    assert journey.over() == status and journey.client.header("versions") == "7"


# UNASKED: what the client says of its prompt; a body that a host has not read yet

TOLD = [
    [
        ("hopsail-model", "m"),
        ("hopsail-token-count", "1460,80"),
        ("hopsail-prompt-prefix", "5c1e:800,91bd:410"),
    ],
    [("hopsail-model", "m 1/\xe9"), ("hopsail-token-count", "many"), ("hopsail-prompt-prefix", ",,:")],
    [("hopsail-prompt-prefix", "5c1e:800"), ("hopsail-prompt-prefix", "91bd:410")],
]


@pytest.mark.parametrize("told", TOLD, ids=["plain", "unreadable", "twice"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_host_is_told_of_the_prompt_what_the_client_told(kind, told):
    journey = Journey(kind, headers=told)
    _, headers, _ = journey.host().taken
    names = {name for name, _ in told}
    assert [each for each in headers if each[0] in names] == told


@pytest.mark.parametrize(
    "early", [answer(413, b"", lines=["Connection: keep-alive"]), declined(503), answer()]
)
def test_a_connection_whose_host_has_not_had_the_whole_body_carries_no_other_request(early):
    journey = Journey(hosts=1)
    host = journey.host()
    host.unsent = bytearray(b"the rest of a long body")
    host.says(early)
    assert journey.over() in (200, 413, 503)
    assert not host.open and not journey.pool.rested


@pytest.mark.parametrize("early", [answer(413, b""), declined(503), answer()])
def test_a_connection_whose_host_has_had_it_all_is_kept(early):
    journey = Journey(hosts=1)
    journey.host().says(early)
    assert journey.host().open and journey.pool.rested == [journey.host()]


# DRAIN: a host that leaves, a process that leaves


def test_a_request_that_waited_goes_to_no_host_that_began_to_leave_meanwhile(plane):
    feed(plane.view, instances=[instance(), instance("i-2", port=8002)])
    waiting = []
    plane.gates.offer = lambda service, priority, wait, item: waiting.append(item)
    ask(plane, headers_of())
    feed(plane.view, instances=[instance(phase=Phase.DRAINING)])
    waiting[0].admitted()
    assert [host.address[1] for host in plane.pool.made] == [8002]


def readiness(plane):
    client = ClientSide(plane.loop)
    exchange = Exchange(client, Request("GET", READY_PATH, [("host", "h")], b""))
    plane._answer_ready(exchange.request, exchange)
    return client.status


def test_a_process_is_not_ready_from_its_sigterm_on_and_serves_what_comes(plane):
    feed(plane.view, instances=[instance()])
    assert readiness(plane) == 200
    plane.front = plane.membership = Front()
    plane.terminate()
    assert readiness(plane) == 503
    assert ask(plane, headers_of(), READY_PATH, "GET").status == 503


def test_a_process_without_hosts_or_configuration_is_not_ready(plane):
    assert readiness(plane) == 503
    feed(plane.view, CONFIGURATION)
    assert readiness(plane) == 503


# VERSION: 421


def test_a_host_with_another_version_is_left_and_a_second_one_asked(plane):
    plane.may_retry = lambda now, service: True
    models = (ModelRevision("m", 4),), (ModelRevision("m", 5),)
    hosts = [instance(models=models[0]), instance("i-2", port=8002, models=models[1])]
    feed(plane.view, instances=hosts)
    ask(plane, [*headers_of(), ("hopsail-model", "m")])
    first = plane.pool.made[0]
    first.says(answer(421, b"", seal=None))
    second = plane.pool.made[1]
    assert {first.told("expect-version"), second.told("expect-version")} == {"4", "5"}
    assert second.told("hopsail-attempt-id") == IDENTIFIER


# Orders to hosts


class Sent:
    """What a plane is asked to send."""

    def __init__(self):
        self.calls = []
        self.http = self
        self.counters = self
        self.loop = Clock()

    def add(self, name): ...

    def call(self, address, method, path, headers, body, timeout, done):
        self.calls.append((method, path, dict(headers), json.loads(body)))
        self.done = done


class Answered:
    """A roll-out that notes what it is told."""

    def __init__(self):
        self.statuses = []

    def receive_order_status(self, now, host, status, serial):
        self.statuses.append(status)


class Order:
    host, address, serial = "i-1", ("10.0.0.1", 8001), 3
    body = {"OrderKind": "Revision", "Revision": 2, "Owner": "core-1", "FenceToken": 4}


class Answer:
    def __init__(self, status):
        self.status, self.body = status, b""


@pytest.mark.parametrize("status", [202, 200, 409, 412, 400, 421, None])
def test_an_order_names_its_host_and_each_answer_is_told_as_it_came(status):
    rollouts, rollout = Rollouts.__new__(Rollouts), Answered()
    rollouts.process = Sent()
    rollouts._order(rollout, Order)
    ((method, path, headers, body),) = rollouts.process.calls
    assert (method, path, headers[TARGET], body) == ("POST", ORDER_PATH, "i-1", Order.body)
    rollouts.process.done(Answer(status) if status else None)
    assert rollout.statuses == [status]
