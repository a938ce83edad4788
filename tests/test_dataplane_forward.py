"""One request on its way: what its client gets, and when it may be sent to a second host.

The plane and the sockets are stand-ins; exchanges, host connections and their parsers are the real ones."""

import signal
from collections import deque
from itertools import product
from random import Random

import httptools
import pytest

from hopsail.configuration.process import parse_settings
from hopsail.dataplane.events import MOST_EVENT, EventError, EventSplitter
from hopsail.dataplane.execution import Outcome
from hopsail.dataplane.forward import MOST_DIALS, MOST_UNSENT, Forwarding, Refusal
from hopsail.dataplane.attempt import Attempt
from hopsail.dataplane.attempt_records import AttemptRecords
from hopsail.dataplane.placement import Placed, Placement
from hopsail.dataplane.plane import DataPlane
from hopsail.dataplane.view import FleetView
from hopsail.configuration.items import split_items
from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase, encode
from hopsail.http.client_connection import ClientConnection
from hopsail.http.message import Request
from hopsail.http.server import Exchange
from hopsail.net.counters import Counters
from hopsail.routing.admission import Verdict
from hopsail.routing.choice import HostState

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
IDENTIFIER = "9c41d07be2a35f68"
LINGER_RESET = "reset"


class Clock:
    """A loop without sockets, whose time the test sets forward."""

    def __init__(self):
        self.time, self.timers, self.turns = 1000 * SECOND, [], deque()
        self.stopped = False

    def now(self):
        return self.time

    def at(self, when, act):
        timer = Timer(when, act)
        self.timers.append(timer)
        return timer

    def soon(self, act, *args):
        self.turns.append((act, args))

    def stop(self):
        self.stopped = True

    def settle(self):
        while self.turns:
            act, args = self.turns.popleft()
            act(*args)

    def forward(self, nanoseconds):
        self.time += nanoseconds
        for timer in [timer for timer in self.timers if timer.when <= self.time]:
            act, timer.act = timer.act, None
            if act is not None:
                act()
        self.settle()

    @property
    def pending(self):
        return [timer for timer in self.timers if timer.act is not None]


class Timer:
    def __init__(self, when, act):
        self.when, self.act = when, act

    def cancel(self):
        self.act = None


class ClientSide:
    """A client's connection, and what the client makes of the bytes: the view of an HTTP parser."""

    def __init__(self, loop):
        self.loop, self.server = loop, self
        self.draining = False
        self.unsent, self.drained = bytearray(), None
        self.bytes, self.end = bytearray(), None
        self.answers = []  # complete ones
        self.headers, self.body, self.status = [], bytearray(), None
        self.parser = httptools.HttpResponseParser(self)

    # What an exchange asks of it.

    def write(self, data):
        assert self.end is None
        self.bytes += data
        self.parser.feed_data(bytes(data))

    def reset(self):
        self.end = LINGER_RESET

    def close(self):
        self.end = "closed"

    def exchange_ended(self, exchange):
        self.drained = None

    # What the parser tells.

    def on_header(self, name, value):
        self.headers.append((name.decode().lower(), value.decode()))

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.answers.append((self.status, bytes(self.body)))

    @property
    def complete(self):
        assert len(self.answers) <= 1
        return bool(self.answers)

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)


class HostSide(ClientConnection):
    """A connection to a host without a socket: the test says what comes."""

    def __init__(self, pool, address):
        self.loop, self.address, self.pool = pool.loop, address, pool
        self.listener = self.request = self.written_at = self.parser = None
        self.until_close = self.used = self.paused = self.finished = False
        self.open = self.dialing = True
        self.unsent, self.sent = bytearray(), bytearray()
        self.gone_out = self.taken_before = 0
        self.takes: int | None = None  # bytes that the system takes of the request; None: all
        self.timer = Timer(0, None)

    def write(self, data):
        assert self.open
        taken = data[: self.takes]
        self.sent += taken
        self.gone_out += len(taken)
        self.unsent += data[len(taken) :]

    def pause(self, paused):
        self.paused = paused

    def close(self):
        if self.open:
            self.open = False
            self.released()

    def up(self):
        self.dialing = False
        self.connected()

    def refuses(self):
        """The connection does not come up."""
        assert self.dialing
        self._end()

    def says(self, data):
        assert self.open, "the connection has been closed"
        self.received(data)
        self.loop.settle()
        return self

    def ends(self, in_order=False):
        """The host ends the connection: with a reset, or in order."""
        self.finished = in_order
        self._end()
        self.loop.settle()

    @property
    def taken(self):
        """The request that the host has read."""
        head, _, body = bytes(self.sent).partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        return first, [tuple(line.split(": ", 1)) for line in lines], body

    def told(self, name):
        values = [value for key, value in self.taken[1] if key == name]
        assert len(values) <= 1, f"{name} is told twice"
        return values[0] if values else None


class Pool:
    def __init__(self, loop):
        self.loop, self.connections, self.made = loop, {}, []
        self.manners = deque()  # of the next connections; "up" without one, a number: bytes taken
        self.rested, self.dialed, self.reused = [], 0, 0

    def take(self, address):
        manner = self.manners.popleft() if self.manners else "up"
        if manner == "none":
            return None
        connection = HostSide(self, address)
        self.connections[connection] = None
        self.made.append(connection)
        if isinstance(manner, int):
            connection.takes = manner
        if manner == "up" or isinstance(manner, int):
            self.loop.soon(connection.up)
        elif manner == "refused":
            self.loop.soon(connection.refuses)
        return connection

    def rest(self, connection):
        self.rested.append(connection)

    def gone(self, connection):
        self.connections.pop(connection, None)


class Budget:
    def __init__(self):
        self.requests = self.spent = 0

    def request(self, now, service):
        self.requests += 1

    def spend(self, now, service):
        self.spent += 1


class Plane:
    """Stands in for the data plane; checks that what begins ends exactly once."""

    def __init__(self, hosts=9, allowed=True):
        self.loop = Clock()
        self.pool = Pool(self.loop)
        self.budget, self.allowed = Budget(), allowed
        self.in_time = True  # the process does not end before requests could
        self.superseded = set()  # revisions at whose hosts no request may wait
        self.evacuated = set()  # hosts in evacuated zones
        self.hosts = [HostState(f"i-{number}", ("10.0.0.1", 8000 + number)) for number in range(hosts)]
        self.under_way, self.outcomes, self.refusals = [], [], []
        self.first_bytes = self.asked = 0
        self.ended, self.left = [], []
        self.verdict = Verdict.ADMIT
        self.has_quota = True

    def may_write(self, placed):
        return self.has_quota

    def pick_service(self, route):
        return route["Service"]

    def offer(self, forwarding):
        return self.verdict

    def left_gate(self, forwarding):
        self.left.append(forwarding)

    def may_begin(self, forwarding):
        return self.in_time

    def may_wait(self, model, revision):
        return revision not in self.superseded

    def is_evacuated(self, host):
        return host.identifier in self.evacuated

    def consult(self, forwarding, then):
        then()

    def place(self, forwarding, shortlist=None, answer=None):
        for host in self.hosts:
            if host.identifier not in forwarding.excluded:
                return Placed(
                    host, 3, 10.0, [("expect-version", "3"), ("cache-salt", "s"), ("priority", "1")]
                )
        return None

    def may_retry(self, now, service):
        self.asked += 1
        return self.allowed

    def attempt_began(self, forwarding, attempt):
        self.under_way.append(attempt)

    def first_byte(self, forwarding, attempt):
        assert attempt in self.under_way
        self.first_bytes += 1

    def attempt_over(self, forwarding, attempt, outcome):
        self.under_way.remove(attempt)
        self.outcomes.append(outcome)

    def refused(self, forwarding, refusal):
        self.refusals.append(refusal)

    def retry_after(self, forwarding):
        return 0.125

    def forwarding_ended(self, forwarding):
        self.ended.append(forwarding)


MUTATING = {"RouteKind": "mutating"}
IDEMPOTENT = {"RouteKind": "idempotent"}
STREAM = {"RouteKind": "streaming"}
RESUMABLE = {"RouteKind": "streaming", "Resumable": True}


class Journey:
    """A request under way, with both its sides."""

    def __init__(self, kind=MUTATING, headers=(), tenant=None, body=b"hello", method="POST", **more):
        self.plane = Plane(more.pop("hosts", 9), more.pop("allowed", True))
        self.loop, self.pool = self.plane.loop, self.plane.pool
        if more.pop("queued", False):
            self.plane.verdict = Verdict.QUEUE
        self.pool.manners.extend(more.pop("manners", ()))
        version = more.pop("version", "1.1")
        self.client = ClientSide(self.loop)
        told = [("host", "h.example"), ("hopsail-attempt-id", IDENTIFIER), *headers]
        request = Request(method, "/a/b?q=1", told, body, version, version == "1.1")
        self.exchange = Exchange(self.client, request)
        self.route = {"Name": "r", "Service": "s", "DeadlineMs": 4000, "MaxTries": 3} | kind | more
        deadline = self.loop.now() + 4 * SECOND
        self.forwarding = Forwarding(self.plane, self.exchange, self.route, tenant, deadline)
        self.forwarding.start()
        self.loop.settle()

    def host(self, number=0):
        made = self.pool.made
        assert len(made) > number, f"no connection {number}"
        return made[number]

    @property
    def sent(self):
        """Arrivals at hosts."""
        return sum(bool(host.sent) for host in self.pool.made)

    def over(self):
        """The answer as its client has it: a status for a whole one, "cut" for one that is cut off."""
        client = self.client
        assert self.plane.ended, "the request is still under way"
        assert not self.plane.under_way and not self.loop.pending
        assert self.exchange.ended or self.exchange.gone
        if client.complete:
            return client.status
        assert client.end is not None, "neither a whole answer nor an end of the connection"
        return "cut"


def answer(status=200, body=b"answer", identifier=IDENTIFIER, seal="3e1b.07", length=None, lines=()):
    head = [f"HTTP/1.1 {status} Reason"]
    if identifier is not None:
        head.append(f"Hopsail-Attempt-Id: {identifier}")
    if seal is not None:
        head.append(f"Hopsail-Server-Seal: {seal}")
    head.append(f"Content-Length: {len(body) if length is None else length}")
    head += lines
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def declined(status=503, lines=("Hopsail-Not-Executed: 1",)):
    return answer(status, b"", seal=None, lines=lines)


EVENTS_HEAD = (
    b"HTTP/1.1 200 OK\r\nHopsail-Attempt-Id: " + IDENTIFIER.encode() + b"\r\nHopsail-Server-Seal: first\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


# What the host is told


def test_a_host_is_sent_the_request_unchanged_and_the_systems_own_headers():
    journey = Journey(
        headers=[
            ("authorization", "Bearer secret"),
            ("hopsail-tenant", "forged"),
            ("hopsail-target-instance", "i-forged"),
            ("hopsail-deadline-ms", "99999"),
            ("cache-salt", "forged"),
            ("kv-fetch", "10.9.9.9:1"),
            ("kv-save", "10.9.9.9:1"),
            ("expect-version", "77"),
            ("priority", "0"),
            ("hopsail-model", "m"),
            ("x-other", "kept"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("expect", "100-continue"),
        ],
        tenant={"Name": "acme", "ApiKeys": ["secret"]},
        body=b"\x00body",
    )
    host = journey.host()
    first, headers, body = host.taken
    assert first == "POST /a/b?q=1 HTTP/1.1" and body == b"\x00body"
    assert b"secret" not in host.sent and b"forged" not in host.sent and b"10.9.9.9" not in host.sent
    expected = {
        "host": "h.example",
        "hopsail-attempt-id": IDENTIFIER,
        "hopsail-model": "m",
        "x-other": "kept",
        "hopsail-deadline-ms": "4000",
        "hopsail-target-instance": "i-0",
        "hopsail-tenant": "acme",
        "expect-version": "3",
        "cache-salt": "s",
        "priority": "1",
        "content-length": "5",
    }
    assert dict(headers) == expected and len(headers) == len(expected)


def test_without_a_tenant_none_is_told():
    journey = Journey(headers=[("hopsail-tenant", "forged")])
    assert journey.host().told("hopsail-tenant") is None


def test_a_second_host_is_told_the_time_that_is_left_and_the_same_id():
    journey = Journey(IDEMPOTENT)
    journey.loop.forward(1500 * MILLISECOND)
    journey.host().ends()
    second = journey.host(1)
    assert second.told("hopsail-deadline-ms") == "2500"
    assert second.told("hopsail-attempt-id") == IDENTIFIER
    assert second.told("hopsail-target-instance") == "i-1"


# Whole answers


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM, RESUMABLE])
@pytest.mark.parametrize("status", [200, 201, 302, 400, 404, 500, 504])
def test_a_hosts_whole_answer_is_passed_on_unchanged(kind, status):
    journey = Journey(kind)
    journey.host().says(answer(status, b"the body", lines=["X-Own: a"]))
    assert journey.over() == status
    assert bytes(journey.client.body) == b"the body" and journey.sent == 1
    assert journey.client.header("hopsail-server-seal") == "3e1b.07"
    assert journey.client.header("hopsail-attempt-id") == IDENTIFIER
    assert journey.client.header("x-own") == "a"
    assert journey.plane.outcomes == [Outcome.COMPLETE]


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("body", [b"", b"x", b"x" * 100_000], ids=["empty", "short", "long"])
def test_a_body_of_any_length_is_passed_on(status, body):
    journey = Journey()
    data = answer(status, body)
    for start in range(0, len(data), 65536):
        journey.host().says(data[start : start + 65536])
    assert journey.over() == status and bytes(journey.client.body) == body


@pytest.mark.parametrize("status", [200, 500])
def test_a_body_in_chunks_is_passed_on(status):
    journey = Journey()
    head = answer(status, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    journey.host().says(head + chunk(b"one") + chunk(b"two"))
    assert bytes(journey.client.body) == b"onetwo" and not journey.client.complete
    journey.host().says(LAST_CHUNK)
    assert journey.over() == status


def test_an_answer_split_at_any_byte_is_the_same():
    data = answer(200, b"the body")
    for middle in range(1, len(data)):
        journey = Journey()
        journey.host().says(data[:middle]).says(data[middle:])
        assert journey.over() == 200 and bytes(journey.client.body) == b"the body"


def test_an_answer_without_a_length_is_whole_when_the_host_ends_it_in_order():
    journey = Journey()
    journey.host().says(answer().replace(b"Content-Length: 6\r\n", b""))
    assert not journey.client.complete
    journey.host().ends(in_order=True)
    assert journey.over() == 200 and bytes(journey.client.body) == b"answer"


def test_an_answer_without_a_length_that_is_reset_is_cut_off():
    journey = Journey()
    journey.host().says(answer().replace(b"Content-Length: 6\r\n", b""))
    journey.host().ends()
    assert journey.over() == "cut"


def test_the_answer_to_head_has_no_body():
    journey = Journey(method="HEAD", body=b"")
    journey.host().says(answer(200, b"", length=6))
    assert journey.exchange.ended
    assert b"chunked" not in journey.client.bytes and journey.client.bytes.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM, RESUMABLE])
@pytest.mark.parametrize("more", [answer(200, b"again"), answer(200, b"again", "other"), b"\x00", b"H"])
def test_more_after_a_whole_answer_is_no_part_of_it(kind, more):
    journey = Journey(kind)
    journey.host().says(answer(200, b"whole") + more)
    assert journey.over() == 200 and bytes(journey.client.body) == b"whole"
    assert not journey.pool.rested


def test_a_surplus_answer_to_another_request_is_skipped():
    journey = Journey()
    journey.host().says(answer(200, b"wrong", "other"))
    assert not journey.exchange.started
    journey.host().says(answer(200, b"right"))
    assert journey.over() == 200 and bytes(journey.client.body) == b"right"


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT])
@pytest.mark.parametrize("in_order", [True, False])
@pytest.mark.parametrize("surplus", [answer(200, b"wrong", "other"), answer(204, b"", "other", length=0)])
def test_a_surplus_answer_alone_is_no_answer(kind, in_order, surplus):
    journey = Journey(kind, MaxTries=1)
    journey.host().says(surplus.replace(b"Content-Length: 5\r\n", b"").replace(b"Content-Length: 0\r\n", b""))
    journey.host().ends(in_order)
    assert journey.over() == 502


# Each way in which an attempt ends x may it run twice x has the answer begun


def refused_dial(journey, number):
    """NOT_SENT: the pool's manner has seen to it."""


def broken(journey, number):
    journey.host(number).ends()


def declines(journey, number):
    journey.host(number).says(declined())


def breaks_after_declining(journey, number):
    journey.host(number).says(answer(503, b"ab", seal=None, length=9, lines=["Hopsail-Not-Executed: 1"]))
    journey.host(number).ends()


def misdirected(journey, number):
    journey.host(number).says(declined(421, ()))


def unstamped(journey, number):
    journey.host(number).says(answer(seal=None))


def encoded(journey, number):
    journey.host(number).says(answer(lines=["Content-Encoding: gzip"]))


def promise_not_kept(journey, number):
    journey.host(number).says(answer(503, b"busy", seal=None))


def too_many(journey, number):
    journey.host(number).says(answer(429, b"busy"))


def nonsense(journey, number):
    journey.host(number).says(b"\x00\x01 nonsense\r\n\r\n")


def half_a_head(journey, number):
    journey.host(number).says(b"HTTP/1.1 200 OK\r\nHopsail-Serv")
    journey.host(number).ends(in_order=True)


NOT_RUN = [declines, breaks_after_declining, misdirected]
MAY_HAVE_RUN = [broken, unstamped, encoded, promise_not_kept, too_many, nonsense, half_a_head]
ONCE = [MUTATING, STREAM, {"RouteKind": "streaming", "Resumable": False}, {"RouteKind": "unheard-of"}]
REPEATABLE = [IDEMPOTENT, RESUMABLE]


@pytest.mark.parametrize(("kind", "end"), list(product(ONCE + REPEATABLE, NOT_RUN)))
def test_a_request_that_has_not_run_goes_to_a_second_host(kind, end):
    journey = Journey(kind)
    end(journey, 0)
    assert journey.sent == 2 and journey.plane.budget.spent == 1
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200 and bytes(journey.client.body) == b"second"


@pytest.mark.parametrize(("kind", "end"), list(product(ONCE + REPEATABLE, NOT_RUN)))
def test_a_request_that_has_not_run_is_refused_when_it_may_not_go_on(kind, end):
    journey = Journey(kind, allowed=False)
    end(journey, 0)
    assert journey.over() == 503 and journey.sent == 1 and journey.plane.budget.spent == 0
    assert journey.client.header("retry-after") == "0.125"
    assert journey.plane.refusals == [Refusal.DECLINED]


@pytest.mark.parametrize(("kind", "end"), list(product(ONCE, MAY_HAVE_RUN)))
def test_a_request_that_may_have_run_and_must_not_run_twice_ends_without_a_promise(kind, end):
    journey = Journey(kind)
    end(journey, 0)
    assert journey.over() == 502 and journey.sent == 1 and journey.plane.budget.spent == 0
    assert journey.client.header("hopsail-not-executed") is None


@pytest.mark.parametrize(("kind", "end"), list(product(REPEATABLE, MAY_HAVE_RUN)))
def test_a_request_that_may_run_twice_goes_to_a_second_host(kind, end):
    journey = Journey(kind)
    end(journey, 0)
    assert journey.sent == 2 and journey.plane.budget.spent == 1
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200 and bytes(journey.client.body) == b"second"


@pytest.mark.parametrize(("kind", "end"), list(product(REPEATABLE, MAY_HAVE_RUN)))
def test_a_request_that_may_have_run_is_not_said_to_be_unexecuted(kind, end):
    journey = Journey(kind, allowed=False)
    end(journey, 0)
    assert journey.over() in (502, 503) and journey.sent == 1
    assert journey.client.header("hopsail-not-executed") is None


@pytest.mark.parametrize("kind", REPEATABLE)
def test_what_may_have_run_is_not_said_to_be_unexecuted_after_another_host_declined(kind):
    journey = Journey(kind, MaxTries=2)
    broken(journey, 0)
    declines(journey, 1)
    assert journey.over() in (502, 503)
    assert journey.client.header("hopsail-not-executed") is None


@pytest.mark.parametrize("kind", ONCE)
def test_a_request_that_is_not_repeatable_stops_where_it_may_have_run(kind):
    journey = Journey(kind)
    declines(journey, 0)
    broken(journey, 1)
    assert journey.over() == 502 and journey.sent == 2


@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_a_request_that_was_not_sent_goes_on_without_the_budget(kind):
    journey = Journey(kind, allowed=False, manners=["refused", "none", "up"], MaxTries=1)
    assert journey.sent == 1 and journey.plane.budget.spent == 0 and journey.plane.asked == 0
    journey.host(1).says(answer())
    assert journey.over() == 200
    assert journey.plane.outcomes == [Outcome.NOT_SENT, Outcome.NOT_SENT, Outcome.COMPLETE]


@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_a_request_that_no_host_could_be_reached_for_is_refused(kind):
    journey = Journey(kind, manners=["refused"] * 9)
    assert journey.over() == 503 and journey.sent == 0
    assert len(journey.pool.made) == MOST_DIALS
    assert journey.plane.refusals == [Refusal.NO_CONNECTION]


def test_a_request_without_any_host_is_refused():
    journey = Journey(hosts=0)
    assert journey.over() == 503 and journey.plane.refusals == [Refusal.NO_HOST]
    assert journey.client.header("retry-after") == "0.125"


@pytest.mark.parametrize("kind", ONCE)
def test_a_request_that_may_have_run_is_not_refused_for_want_of_hosts(kind):
    journey = Journey(kind, hosts=1)
    broken(journey, 0)
    assert journey.over() == 502


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize(("kind", "end"), [(MUTATING, declines), (IDEMPOTENT, broken), (RESUMABLE, broken)])
def test_no_more_hosts_are_sent_a_request_than_the_route_allows(kind, end, tries):
    journey = Journey(kind, MaxTries=tries)
    for number in range(tries):
        end(journey, number)
    assert journey.over() in (502, 503) and journey.sent == tries
    assert journey.plane.budget.spent == tries - 1 and journey.plane.budget.requests == 1


def test_each_try_goes_to_another_host():
    journey = Journey(IDEMPOTENT)
    broken(journey, 0)
    declines(journey, 1)
    assert len({host.told("hopsail-target-instance") for host in journey.pool.made}) == 3


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM])
@pytest.mark.parametrize("in_order", [True, False])
@pytest.mark.parametrize("status", [200, 500])
def test_an_answer_that_has_begun_is_cut_off_and_never_looks_whole(kind, in_order, status):
    journey = Journey(kind)
    data = answer(status, b"the body")
    journey.host().says(data[:-1])
    journey.host().ends(in_order)
    assert journey.over() == "cut" and journey.sent == 1


@pytest.mark.parametrize("in_order", [True, False])
def test_chunks_that_have_begun_are_cut_off_and_never_look_whole(in_order):
    journey = Journey(STREAM)
    journey.host().says(EVENTS_HEAD + chunk(events(1, 3)))
    journey.host().ends(in_order)
    assert journey.over() == "cut" and bytes(journey.client.body) == events(1, 3)


def test_an_answer_of_no_bytes_is_not_begun_by_a_head_that_does_not_count():
    journey = Journey()
    journey.host().says(answer(200, b"", seal=None))
    assert journey.over() == 502


def test_a_cut_answer_of_another_failure_is_never_joined_to_a_second_one():
    journey = Journey(RESUMABLE)
    journey.host().says(answer(500, b"half", length=8))
    journey.host().ends()
    for host in journey.pool.made[1:]:
        host.says(EVENTS_HEAD + chunk(events(1, 2)) + LAST_CHUNK)
    assert journey.over() == "cut" and bytes(journey.client.body) in (b"", b"half")


def test_a_cut_answer_that_is_no_event_stream_is_never_joined_to_a_second_one():
    journey = Journey(RESUMABLE)
    journey.host().says(answer(200, b"half", length=8))
    journey.host().ends()
    for host in journey.pool.made[1:]:
        host.says(EVENTS_HEAD + chunk(events(1, 2)) + LAST_CHUNK)
    assert journey.over() == "cut" and bytes(journey.client.body) == b"half"


# Streams that are taken up at another host


def streamed(journey, number, first, last, end=b""):
    journey.host(number).says(EVENTS_HEAD + chunk(events(first, last)) + end)


def test_events_are_passed_on_as_they_come():
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD)
    assert journey.client.status == 200
    for number in range(1, 4):
        journey.host().says(chunk(event(number)))
        assert bytes(journey.client.body) == events(1, number)
    journey.host().says(LAST_CHUNK)
    assert journey.over() == 200


def test_a_stream_is_taken_up_without_gap_or_double():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    assert journey.host(1).told("last-event-id") == "3"
    streamed(journey, 1, 4, 6, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)
    assert journey.client.headers.count(("hopsail-server-seal", "first")) == 1


def test_a_stream_keeps_the_head_and_stamp_of_its_first_host():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 1)
    journey.host().ends()
    head = EVENTS_HEAD.replace(b"first", b"second").replace(b"Content-Type", b"X-New: 1\r\nContent-Type")
    journey.host(1).says(head + chunk(event(2)) + LAST_CHUNK)
    assert journey.over() == 200
    assert journey.client.header("hopsail-server-seal") == "first" and journey.client.header("x-new") is None


def test_events_that_a_second_host_tells_again_are_left_out():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    streamed(journey, 1, 1, 6, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_a_stream_cut_at_any_byte_is_taken_up_without_gap_or_double(end):
    def one(number):
        return event(number).replace(b"\n\n", end)

    whole = b"".join(one(number) for number in range(1, 4))
    for cut in range(len(whole) + 1):
        journey = Journey(RESUMABLE)
        journey.host().says(EVENTS_HEAD + (chunk(whole[:cut]) if cut else b""))
        journey.host().ends()
        last = int(journey.host(1).told("last-event-id") or 0)
        rest = b"".join(one(number) for number in range(last + 1, 4))
        journey.host(1).says(EVENTS_HEAD + (chunk(rest) if rest else b"") + LAST_CHUNK)
        assert journey.over() == 200 and bytes(journey.client.body) == whole, cut


def test_a_stream_that_comes_byte_by_byte_is_the_same():
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD)
    for byte in events(1, 3):
        journey.host().says(chunk(bytes([byte])))
    journey.host().says(LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 3)


def test_a_stream_is_taken_up_more_than_once():
    journey = Journey(RESUMABLE)
    for number in range(3):
        assert journey.host(number).told("last-event-id") == (str(2 * number) if number else None)
        streamed(journey, number, 2 * number + 1, 2 * number + 2, LAST_CHUNK if number == 2 else b"")
        if number < 2:
            journey.host(number).ends()
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


def test_a_stream_is_cut_when_no_further_host_may_be_tried():
    for more in ({"allowed": False}, {"MaxTries": 1}, {"hosts": 1}):
        journey = Journey(RESUMABLE, **more)
        streamed(journey, 0, 1, 3)
        journey.host().ends()
        assert journey.over() == "cut" and bytes(journey.client.body) == events(1, 3)


@pytest.mark.parametrize("end", [*NOT_RUN, *MAY_HAVE_RUN])
def test_a_stream_goes_past_hosts_that_do_not_take_it_up(end):
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    end(journey, 1)
    streamed(journey, 2, 4, 6, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


@pytest.mark.parametrize(
    "second",
    [
        answer(500, b"fault"),
        answer(200, b"no events"),
        answer(204, b"", length=0),
        answer(206, b"id: 9\ndata: no\n\n", lines=["Content-Type: text/event-stream"]),
    ],
    ids=["fault", "no events", "no content", "part"],
)
def test_an_answer_that_is_no_event_stream_is_not_joined_to_one(second):
    journey = Journey(RESUMABLE, MaxTries=2)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    journey.host(1).says(second)
    assert journey.over() == "cut" and bytes(journey.client.body) == events(1, 3)


def test_the_rest_of_a_stream_is_not_doubled_when_it_has_no_blank_line():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    journey.host(1).says(EVENTS_HEAD + chunk(event(3)[:-1]) + LAST_CHUNK)
    assert bytes(journey.client.body) == events(1, 3)


def test_a_client_that_takes_a_stream_up_gets_what_follows_only():
    journey = Journey(RESUMABLE, headers=[("last-event-id", "2")])
    assert journey.host().told("last-event-id") == "2"
    streamed(journey, 0, 1, 4)
    journey.host().ends()
    assert journey.host(1).told("last-event-id") == "4"
    streamed(journey, 1, 5, 5, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(3, 5)


def test_a_stream_that_is_not_resumable_is_passed_on_as_it_is():
    journey = Journey(STREAM, headers=[("last-event-id", "2")])
    assert journey.host().told("last-event-id") == "2"
    streamed(journey, 0, 1, 4, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 4)


def test_versions_and_comments_are_passed_on():
    data = b"versions: 4\nid: 1\ndata: a\n\n: still here\n\nid: 2\ndata: b\n\n"
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD + chunk(data) + LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == data


def test_an_event_beyond_the_bound_breaks_the_attempt_off():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 1)
    for _ in range(20):
        if journey.host().open:
            journey.host().says(chunk(b"data: " + b"x" * 65536))
    assert not journey.host().open and journey.sent == 2
    streamed(journey, 1, 2, 3, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 3)


@pytest.mark.parametrize(
    "text", ["\xb2", "9" * 5000, "-1", "x", ""], ids=["digit", "long", "sign", "text", "empty"]
)
def test_a_last_event_id_that_is_no_number_is_passed_on_as_it_is(text):
    journey = Journey(RESUMABLE, headers=[("last-event-id", text)])
    assert journey.host().told("last-event-id") == text
    streamed(journey, 0, 1, 2, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 2)


# A client that is slow or leaves, and the deadline


def test_a_client_that_takes_nothing_holds_its_host_up_and_no_longer():
    journey = Journey()
    journey.client.unsent = bytearray(MOST_UNSENT + 1)
    journey.host().says(answer(200, b"x" * 100)[:-1])
    assert journey.host().paused
    journey.client.unsent = bytearray()
    journey.client.drained()
    assert not journey.host().paused
    journey.host().says(b"x")
    assert journey.over() == 200


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_a_client_that_leaves_ends_the_attempt(kind, begun):
    journey = Journey(kind)
    if begun:
        journey.host().says(EVENTS_HEAD + chunk(event(1)))
    journey.exchange.client_gone()
    assert not journey.host().open and journey.sent == 1
    assert journey.plane.outcomes == [None] and len(journey.plane.ended) == 1
    assert not journey.loop.pending and not journey.plane.under_way


@pytest.mark.parametrize("manner", ["up", "silent"])
@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_at_the_deadline_nothing_is_promised(kind, manner):
    journey = Journey(kind, manners=[manner])
    journey.loop.forward(4 * SECOND - 1)
    assert not journey.exchange.ended
    journey.loop.forward(1)
    assert journey.over() == 504 and not journey.host().open
    assert journey.client.header("hopsail-not-executed") is None
    assert journey.plane.outcomes == [None]


@pytest.mark.parametrize("kind", [STREAM, RESUMABLE])
def test_at_the_deadline_an_answer_that_has_begun_is_cut_off(kind):
    journey = Journey(kind)
    streamed(journey, 0, 1, 3)
    journey.loop.forward(4 * SECOND)
    assert journey.over() == "cut" and not journey.host().open and journey.sent == 1


def test_after_the_deadline_no_second_host_is_sent_a_request():
    journey = Journey(IDEMPOTENT)
    journey.loop.time += 4 * SECOND  # the timer is late
    journey.host().ends()
    assert journey.sent == 1 and journey.over() in (502, 503, 504)


def test_an_http_1_0_client_sees_a_cut_by_the_reset():
    journey = Journey(STREAM, version="1.0")
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    assert journey.client.end == LINGER_RESET and not journey.client.complete


# Events


def pieces_of(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 1000])
def test_events_are_the_same_however_the_bytes_come(end, size):
    data = b"".join(event(number).replace(b"\n\n", end) for number in range(1, 6))
    splitter, found = EventSplitter(), []
    for piece in pieces_of(data, size):
        found += splitter.feed(piece)
    assert [one.identifier for one in found] == [1, 2, 3, 4, 5]
    assert b"".join(one.data for one in found) == data and splitter.rest == b""


@pytest.mark.parametrize(
    ("data", "identifier"),
    [
        (b"id: 7\ndata: x\n\n", 7),
        (b"id:7\n\n", 7),
        (b"data: id: 9\nid: 7\n\n", 7),
        (b"versions: 3\nid: 7\ndata: x\n\n", 7),
        (b"data: x\n\n", None),
        (b"id: x7\n\n", None),
        (b"id\n\n", None),
        (b": comment\n\n", None),
    ],
)
def test_the_id_of_an_event(data, identifier):
    assert [one.identifier for one in EventSplitter().feed(data)] == [identifier]


def test_an_event_that_has_no_end_is_bounded():
    splitter = EventSplitter()
    splitter.feed(b"x" * MOST_EVENT)
    with pytest.raises(EventError):
        splitter.feed(b"x")


# The door: route, key, tenant

SETTINGS = """
NodeName=n1
Zone=z1
Ip=127.0.0.1
PortRange=9000,9010
Listen.Frontend=127.0.0.1:9001
Listen.Readiness=127.0.0.1:9002
"""
CONFIGURATION = {
    "Revision": 3,
    "Routes": [
        {"Name": "r", "Hostname": "h.example", "PathPrefix": "/a/", "DeadlineMs": 4000, "Service": "s"}
        | {"RouteKind": "mutating", "MaxTries": 2},
        {"Name": "p", "Hostname": "h.example", "PathPrefix": "/p/", "DeadlineMs": 4000, "Service": "s"}
        | {"RouteKind": "mutating", "MaxTries": 2, "Public": True},
    ],
    "Services": [{"Name": "s", "HealthPath": "/healthz"}],
    "Limits": {"MaxHeaderBytes": 9999, "MaxBodyBytes": 5555, "HeaderWaitMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "acme", "ApiKeys": ["key-1"], "Priority": 1, "Isolated": True}],
}


def instance(identifier="i-1", phase=Phase.SERVING, service="s", port=8001, models=()):
    return Instance(identifier, service, Address("10.0.0.1", port), "z1", 4, phase, 0, models, "v1")


def feed(view, configuration=CONFIGURATION, instances=(), now=0, source="c1"):
    changes = [Change(Topic.CONFIGURATION, key, value) for key, value in split_items(configuration).items()]
    changes += [Change(Topic.INSTANCE, one.identifier, encode(one)) for one in instances]
    state = {(change.topic, change.key): change.value for change in changes}
    view.apply(now, source, state, changes)


@pytest.fixture
def plane():
    handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    handlers |= {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGUSR1)}
    one = DataPlane(parse_settings(SETTINGS))
    loop, one.loop = one.loop, Clock()
    one.pool = Pool(one.loop)
    yield one
    loop.close()
    for number, handler in handlers.items():
        signal.signal(number, handler)


def ask(plane, headers, target="/a/b", method="POST"):
    client = ClientSide(plane.loop)
    exchange = Exchange(client, Request(method, target, headers, b"x"))
    plane.handle(exchange.request, exchange)
    plane.loop.settle()
    return client


def headers_of(host="h.example", identifiers=(IDENTIFIER,), key="key-1"):
    headers = [("host", host)] + [("hopsail-attempt-id", one) for one in identifiers]
    return headers + ([("authorization", f"Bearer {key}")] if key else [])


def test_a_request_goes_to_a_host_of_its_service_with_its_tenant(plane):
    feed(plane.view, instances=[instance(), instance("i-2", service="other", port=8002)])
    client = ask(plane, headers_of())
    (host,) = plane.pool.made
    assert host.address == ("10.0.0.1", 8001)
    assert host.told("hopsail-tenant") == "acme" and host.told("hopsail-target-instance") == "i-1"
    host.says(answer())
    assert client.status == 200 and not plane.in_flight
    assert plane.placement.services["s"].states["i-1"].in_flight == 0


@pytest.mark.parametrize("host", ["h.example", "H.Example", "h.example:80", "H.EXAMPLE:8080"])
def test_the_host_header_may_have_a_port_and_capitals(plane, host):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of(host))
    assert plane.pool.made[0].told("host") == host


@pytest.mark.parametrize(
    ("headers", "target", "status"),
    [
        (headers_of("other.example"), "/a/b", 404),
        (headers_of(), "/b/a/", 404),
        (headers_of(), "/a", 404),
        (headers_of(key=None), "/a/b", 401),
        (headers_of(key="unheard-of"), "/a/b", 401),
        (headers_of(key=""), "/a/b", 401),
        (headers_of(identifiers=()), "/a/b", 400),
        (headers_of(identifiers=(IDENTIFIER, "other")), "/a/b", 400),
        ([("hopsail-attempt-id", IDENTIFIER)], "/a/b", 400),
        ([("host", "h.example"), *headers_of()], "/a/b", 400),
    ],
    ids=["host", "path", "prefix", "no key", "key", "empty", "no id", "two ids", "no host", "two hosts"],
)
def test_a_request_that_the_configuration_does_not_allow_reaches_no_host(plane, headers, target, status):
    feed(plane.view, instances=[instance()])
    client = ask(plane, headers, target)
    assert client.status == status and client.complete and not plane.pool.made


def test_a_public_route_needs_no_key(plane):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of(key=None), "/p/x")
    assert plane.pool.made[0].told("hopsail-tenant") is None


@pytest.mark.parametrize(
    "text", ["\xb2", "9" * 5000, "-5", "soon", ""], ids=["digit", "long", "sign", "text", "empty"]
)
def test_a_deadline_that_is_no_number_is_the_routes(plane, text):
    feed(plane.view, instances=[instance()])
    ask(plane, [*headers_of(), ("hopsail-deadline-ms", text)])
    assert plane.pool.made[0].told("hopsail-deadline-ms") == "4000"


def test_without_a_configuration_a_request_is_refused(plane):
    client = ask(plane, headers_of())
    assert client.status == 503 and client.header("retry-after")


def test_the_limits_of_the_configuration_are_taken_over(plane):
    feed(plane.view)
    limits = plane.limits
    assert (limits.header_bytes, limits.body_bytes) == (9999, 5555)
    assert (limits.header_wait_ms, limits.idle_timeout_ms) == (3000, 15000)


def test_no_version_is_expected_of_a_host_whose_version_is_not_known(plane):
    feed(plane.view, instances=[instance()])
    ask(plane, [*headers_of(), ("hopsail-model", "m")])
    assert plane.pool.made[0].told("expect-version") is None


def test_the_version_that_a_host_holds_is_expected(plane):
    feed(plane.view, instances=[instance(models=(ModelRevision("m", 4),))])
    ask(plane, [*headers_of(), ("hopsail-model", "m")])
    assert plane.pool.made[0].told("expect-version") == "4"


def test_clients_that_leave_at_once_are_no_evidence_against_a_host(plane):
    feed(plane.view, instances=[instance()])
    health = plane.placement.services["s"].health
    for _ in range(5):
        client = ClientSide(plane.loop)
        exchange = Exchange(client, Request("POST", "/a/b", headers_of(), b"x"))
        plane.handle(exchange.request, exchange)
        plane.loop.settle()
        exchange.client_gone()
    assert len(plane.pool.made) == 5 and not plane.in_flight
    assert health.may_send(plane.loop.now(), "i-1")


def test_a_host_that_is_silent_until_clients_leave_is_passed_over(plane):
    feed(plane.view, instances=[instance()])
    health = plane.placement.services["s"].health
    for _ in range(2):
        client = ClientSide(plane.loop)
        exchange = Exchange(client, Request("POST", "/a/b", headers_of(), b"x"))
        plane.handle(exchange.request, exchange)
        plane.loop.settle()
        plane.loop.forward(2 * SECOND)
        exchange.client_gone()
    assert not health.may_send(plane.loop.now(), "i-1")


class Front:
    """A server for clients that has answers that are not out yet."""

    def __init__(self):
        self.busy, self.closed = 1, False

    @property
    def connections(self):
        return range(self.busy)

    def drain(self): ...

    def leave(self): ...

    def shut(self): ...

    def refuse_half_read(self, status, headers=()): ...

    def close(self):
        self.closed = True


def test_a_process_ends_when_its_answers_are_out(plane):
    plane.front = plane.membership = front = Front()
    plane.stop()
    for _ in range(100):
        plane.loop.forward(50 * MILLISECOND)
    assert not front.closed
    front.busy = 0
    plane.loop.forward(50 * MILLISECOND)
    assert front.closed and plane.loop.stopped


def test_a_process_ends_before_it_is_killed_even_when_answers_are_not_out(plane):
    plane.front = plane.membership = front = Front()
    plane.stop()
    for _ in range(int(plane.settings.bounds.grace_s * 1000 // 50)):
        plane.loop.forward(50 * MILLISECOND)
    assert front.closed


def test_a_view_that_is_given_by_hand_is_ready():
    view = FleetView()
    assert not view.ready
    feed(view, instances=[instance()])
    assert view.ready


@pytest.mark.parametrize("kind", [MUTATING, STREAM])
def test_a_host_that_began_to_warm_up_during_the_dial_is_not_flooded_by_what_waited(kind):
    journey = Journey(kind, manners=["dialing"])
    plane = journey.plane
    journey.forwarding.attempt.placed = journey.forwarding.attempt.placed._replace(reservation=object())
    plane.has_quota = False
    journey.host().up()
    journey.loop.settle()
    assert not journey.host().sent and not journey.host().open
    assert plane.outcomes == [Outcome.NOT_SENT] and plane.budget.spent == 0
    assert journey.host(1).told("hopsail-target-instance") == "i-1"


class Outcomes:
    """Records of attempts at the hosts of a data plane that answers nothing by itself."""

    def __init__(self):
        view = FleetView()
        settings = parse_settings("NodeName=n1\nZone=z1\nIp=127.0.0.1\nPortRange=9000,9010\n")
        placement = Placement(settings, view, Random(1))
        service = {"Name": "s", "WarmupPerS": 27, "WarmupS": 3}
        items = split_items({"Revision": 1, "Routes": [], "Services": [service]})
        changes = [Change(Topic.CONFIGURATION, key, value) for key, value in items.items()]
        state = {(Topic.CONFIGURATION, key): value for key, value in items.items()}
        host = Instance("i-0", "s", Address("10.0.0.1", 80), "z1", 4, Phase.SERVING, 0, (), "v1")
        view.apply(0, "c1", state, [*changes, Change(Topic.INSTANCE, "i-0", encode(host))])
        placement.renew()
        self.now, self.placement = 1000 * SECOND, placement
        self.records = AttemptRecords(lambda: self.now, placement, Counters("n1"))
        self.journey = Journey(manners=["dialing"])

    def begins(self):
        placed = self.placement.place(self.now, "s", self.journey.forwarding.prompt, None, 0, set())
        attempt = Attempt(self.journey.forwarding, "1", placed, self.now)
        self.records.began(self.journey.forwarding, attempt)
        return attempt

    def over(self, outcome):
        attempt = self.begins()
        self.records.over(self.journey.forwarding, attempt, outcome)
        self.now += SECOND
        return attempt

    def is_bounded(self):
        return self.placement.services["s"].warmup.is_warming(self.now, "i-0", 0)


@pytest.mark.parametrize("failure", [Outcome.NOT_SENT, Outcome.BROKEN])
def test_a_host_that_failed_and_answers_again_is_not_flooded(failure):
    fleet = Outcomes()
    fleet.over(Outcome.COMPLETE)
    assert not fleet.is_bounded()
    probe = fleet.begins()
    fleet.over(failure)
    fleet.now += 4 * SECOND
    fleet.records.first_byte(fleet.journey.forwarding, probe)
    fleet.now += 4 * SECOND
    assert fleet.is_bounded()
    fleet.now += 2 * SECOND
    assert not fleet.is_bounded()


def test_the_quota_of_a_request_that_never_left_is_given_back():
    fleet = Outcomes()
    fleet.over(Outcome.NOT_SENT)
    assert fleet.placement.services["s"].warmup._hosts["i-0"].pending == 0


def test_a_control_process_that_counts_anew_does_not_enlarge_this_ones_part_of_the_retries(plane):
    """One that has just started counts up from 1: its number must not give each the whole slack."""
    told = []
    plane.budget.may_retry = lambda now, service, balancers: told.append(balancers)
    for source, number in (("c1", b"63"), ("c2", b"1")):
        plane.view.apply(plane.loop.now(), source, {}, [Change(Topic.BALANCERS, "count", number)])
    plane.may_retry(plane.loop.now(), "s")
    assert told == [63]
