"""Requests of many callers over kept connections to hosts that spoil, double, lose and delay their answers.

The forwarding, its attempts, the connections, their parser and their pool are the real ones; sockets, hosts
and time are simulated, each schedule is drawn from a seed. The judge knows what each host ran and made."""

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from random import Random

import httptools
import pytest
from request_journey import (
    IDEMPOTENT,
    LINGER_RESET,
    MILLISECOND,
    MUTATING,
    RESUMABLE,
    SECOND,
    STREAM,
    ClientSide,
    Plane,
    Timer,
    chunk,
    event,
)

from hopsail.dataplane.execution import NOT_EXECUTED
from hopsail.dataplane.forward import Forwarding
from hopsail.dataplane.placement import Placed
from hopsail.http.client_connection import ClientConnection
from hopsail.http.message import Request
from hopsail.http.pool import ConnectionPool
from hopsail.http.server import Exchange

KINDS = [IDEMPOTENT, MUTATING, STREAM, RESUMABLE]
REPEATABLE = [IDEMPOTENT, RESUMABLE]
HOSTS = 3
REQUESTS = 60
EVENTS = 4  # of a whole stream
LONG_BODY = 40_000  # bytes
WINDOW = 16_000  # bytes that the system takes at once of a long body
DEADLINE = 400 * MILLISECOND
SEEDS = range(150)


class Time:
    """A loop without sockets that goes from event to event."""

    def __init__(self):
        self.time, self.heap, self.serial, self.turns = 1000 * SECOND, [], count(), deque()

    def now(self):
        return self.time

    def at(self, when, act):
        timer = Timer(when, act)
        heappush(self.heap, (when, next(self.serial), timer))
        return timer

    def after(self, milliseconds, act):
        return self.at(self.time + int(milliseconds * MILLISECOND), act)

    def soon(self, act, *args):
        self.turns.append((act, args))

    def run(self):
        while self.heap or self.turns:
            while self.turns:
                act, args = self.turns.popleft()
                act(*args)
            if self.heap:
                when, _, timer = heappop(self.heap)
                if timer.act is not None:
                    self.time = max(self.time, when)
                    timer.act()


class Wire(ClientConnection):
    """A connection without a socket; what has arrived lies in `inbox` until it is read."""

    def __init__(self, world, pool, address):
        self.world, self.loop, self.pool, self.address = world, world.time, pool, address
        self.listener = self.request = self.written_at = self.parser = None
        self.used = self.until_close = self.paused = self.finished = False
        self.gone_out = self.taken_before = 0
        self.keep_until = self.idle_since = 0
        self.open = self.dialing = True
        self.unsent, self.inbox = bytearray(), []
        self.timer = Timer(0, None)
        self.host = HostEnd(world, self)
        if world.random.random() < 0.03:
            world.time.after(1, self._end)  # refused
        else:
            world.time.after(world.random.choice([0.2, 0.2, 30]), self._up)

    def _up(self):
        if self.open:
            self.dialing = False
            self.connected()

    def _flush(self):
        taken = bytes(self.unsent[:WINDOW])
        del self.unsent[:WINDOW]
        self.gone_out += len(taken)
        self.world.time.after(0.1, lambda: self.host.feed(taken))
        if self.unsent:
            self.world.time.after(self.world.random.choice([0.3, 5]), lambda: self.open and self._flush())

    def arrives(self, what):
        """Bytes, or an end: in order or by a reset."""
        self.inbox.append(what)
        self.world.time.after(0.01, lambda: self.ready(0))

    def ready(self, _mask):
        while self.open and self.inbox:
            what = self.inbox.pop(0)
            if isinstance(what, bytes):
                self.received(what)
            else:
                self.finished = what == "in order"
                self._end()

    def pause(self, paused):
        self.paused = paused

    def close(self):
        if self.open:
            self.open = False
            self.world.time.after(0.1, self.host.left)
            self.released()


class WorldsPool(ConnectionPool):
    def __init__(self, world):
        super().__init__(world.time)
        self.world = world

    def _dial(self, address):
        connection = Wire(self.world, self, address)
        self.connections[connection] = None
        self.dialed += 1
        return connection


class HostEnd:
    """A host's side of a connection: serves one request after the other, each in a manner that is drawn."""

    def __init__(self, world, wire):
        self.world, self.wire, self.random = world, wire, world.random
        self.parser = httptools.HttpRequestParser(self)
        self.gone = self.over = False
        self.amid = False  # an answer has begun and is not whole
        self._begin()

    def _begin(self):
        self.headers, self.body, self.manner = {}, bytearray(), None

    # What comes.

    def feed(self, data):
        if not self.gone and not self.over:
            self.parser.feed_data(data)  # raises where another request's bytes lie in a body

    def on_message_begin(self):
        self._begin()

    def on_header(self, name, value):
        self.headers[name.decode()] = value.decode()

    def on_headers_complete(self):
        self.identifier = self.headers["hopsail-attempt-id"]
        self.manner = self.world.manner()
        if self.manner.startswith("early"):
            self._serve()

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        expected = body_of(self.identifier, int(self.headers["content-length"]))
        assert bytes(self.body) == expected, "another request's bytes in a body"
        if not self.manner.startswith("early"):
            self._serve()

    def left(self):
        self.gone = True

    # What is said.

    def say(self, data, later=0.0, amid=False, surplus=False):
        """`amid`: more of this answer follows; a surplus one comes between answers, never within one."""

        def arrive():
            if self.gone or self.over or (surplus and self.amid):
                return
            self.amid = amid
            self.wire.arrives(data)

        self.world.time.after(0.1 + later, arrive)

    def end(self, how, later=0.0, idle=False):
        """`idle`: not within an answer."""

        def arrive():
            if self.gone or self.over or (idle and self.amid):
                return
            self.over = True
            self.wire.arrives(how)

        self.world.time.after(0.1 + later, arrive)

    def run(self):
        self.world.runs[self.identifier] += 1
        return self.world.runs[self.identifier]

    def _head(self, status, *lines, identifier=True, seal=True):
        head = [f"HTTP/1.1 {status} Reason", *lines]
        if identifier:
            head.append(f"Hopsail-Attempt-Id: {self.identifier}")
        if seal:
            head.append(f"Hopsail-Server-Seal: {self.identifier}/{status}")
        return ("\r\n".join(head) + "\r\n").encode()

    def _declined(self, **more):
        return self._head(503, "Hopsail-Not-Executed: 1", "Content-Length: 0", seal=False, **more) + b"\r\n"

    def _whole(self, **more):
        """An answer of a run: events for a stream, a body for the others."""
        number = self.run()
        if self.world.kinds[self.identifier] in (STREAM, RESUMABLE):
            first = int(self.headers.get("last-event-id", 0)) + 1
            pieces = b"".join(chunk(tagged(self.identifier, one)) for one in range(first, EVENTS + 1))
            framing = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            return self._head(200, *framing, **more) + b"\r\n" + pieces + b"0\r\n\r\n"
        body = made(self.identifier, number)
        self.world.made.setdefault(self.identifier, set()).add(body)
        return self._head(200, f"Content-Length: {len(body)}", **more) + b"\r\n" + body

    def _serve(self):
        getattr(self, "_" + self.manner.partition(" ")[2].replace(" ", "_"))()

    def _answers(self):
        self.say(self._whole(), self.random.choice([0, 0, 3]))

    def _answers_in_pieces(self):
        data = self._whole()
        middle = self.random.randrange(len(data))
        self.say(data[:middle], amid=True)
        self.say(data[middle:], 2)

    def _answers_after_interim(self):
        self.say(self._head(103, "Hopsail-Not-Executed: 1") + b"\r\n" + b"HTTP/1.1 100 Continue\r\n\r\n")
        self.say(self._whole(), 1)

    def _answers_twice(self):
        data = self._whole()
        self.say(data)
        self._again(data)

    def _declines(self):
        self.say(self._declined())

    def _declines_twice(self):
        self.say(self._declined())
        self._again(self._declined())

    def _again(self, data):
        """The same once more, or a refusal or failure without an id: now, soon, or after the next request."""
        nameless = self._declined(identifier=False)
        failure = self._head(500, "Content-Length: 0", identifier=False) + b"\r\n"
        more = self.random.choice([data, data, nameless, failure, data[: len(data) // 2]])
        self.say(more, self.random.choice([0, 0.005, 0.05, 0.3, 0.6, 1.5, 4]), surplus=True)

    def _answers_without_length(self):
        if self.world.kinds[self.identifier] in (STREAM, RESUMABLE):
            self._answers()
            return
        body = made(self.identifier, self.run())
        self.world.made.setdefault(self.identifier, set()).add(body)
        reset = self.random.random() < 0.5
        self.say(self._head(200) + b"\r\n" + (body[:-3] if reset else body), amid=True)
        self.end("reset" if reset else "in order", 1)

    def _breaks_off(self):
        data = self._whole()
        self.say(data[: self.random.randrange(len(data))], amid=True)
        self.end(self.random.choice(["reset", "in order"]), 1)

    def _loses_its_answer(self):
        self.run()
        self.end(self.random.choice(["reset", "in order"]), self.random.choice([0, 5]))

    def _is_silent(self):
        self.run()

    def _fails(self):
        self.run()
        status = self.random.choice([500, 504])
        self.say(self._head(status, "Content-Length: 3") + b"\r\nwhy")

    def _promises_falsely(self):
        self.run()
        self.say(self._head(self.random.choice([429, 503, 408]), "Content-Length: 0") + b"\r\n")

    def _forgets_its_stamp(self):
        self.say(self._whole(seal=False))

    def _ends_while_idle(self):
        self.say(self._whole())
        self.end(
            self.random.choice(["reset", "in order"]), self.random.choice([0.01, 0.3, 0.6, 2]), idle=True
        )


MANNERS = Counter(
    {
        "then answers": 30,
        "then answers in pieces": 5,
        "then answers after interim": 4,
        "then answers twice": 14,
        "then answers without length": 6,
        "then declines": 8,
        "then declines twice": 8,
        "then breaks off": 5,
        "then loses its answer": 4,
        "then is silent": 1,
        "then fails": 3,
        "then promises falsely": 4,
        "then forgets its stamp": 2,
        "then ends while idle": 8,
        "early answers": 4,
        "early declines": 4,
    }
)


def body_of(identifier, size):
    return (identifier.encode() * (size // len(identifier) + 1))[:size]


def made(identifier, number):
    return f"made for {identifier} in run {number}, all of it".encode()


def tagged(identifier, number):
    return event(number).replace(b"piece", f"{identifier} piece".encode())


class World:
    """Requests that come over a while, hosts that serve them, and what is known of both."""

    def __init__(self, seed):
        self.random, self.time = Random(seed), Time()
        self.pool = WorldsPool(self)
        self.plane = Plane(HOSTS)
        self.plane.loop, self.plane.pool = self.time, self.pool
        self.plane.place = self.place
        self.runs, self.kinds, self.made = Counter(), {}, {}
        self.clients, self.exchanges = {}, {}
        when = 0.0
        for number in range(REQUESTS):
            when += self.random.choice([0, 0.2, 0.5, 1, 5])
            self.time.after(when, lambda number=number: self.ask(f"id{number:03d}"))

    def manner(self):
        return self.random.choices(list(MANNERS), MANNERS.values())[0]

    def consult(self, forwarding, then):
        then()

    def place(self, forwarding, shortlist=None, answer=None):
        hosts = [host for host in self.plane.hosts if host.identifier not in forwarding.excluded]
        return Placed(self.random.choice(hosts), 3, 10.0, []) if hosts else None

    def ask(self, identifier):
        kind = self.kinds[identifier] = self.random.choice(KINDS)
        route = {"Name": "r", "Service": "s", "DeadlineMs": 400, "MaxTries": self.random.randint(1, 3)} | kind
        client = self.clients[identifier] = ClientSide(self.time)
        body = body_of(identifier, LONG_BODY if self.random.random() < 0.25 else 9)
        told = [("host", "h.example"), ("hopsail-attempt-id", identifier)]
        exchange = self.exchanges[identifier] = Exchange(client, Request("POST", "/a", told, body))
        Forwarding(self.plane, exchange, route, None, self.time.now() + DEADLINE).start()

    def judge(self, identifier):
        client, kind, runs = self.clients[identifier], self.kinds[identifier], self.runs[identifier]
        assert runs <= 1 or kind in REPEATABLE, "TWICE"
        if not client.complete:
            assert client.end in ("closed", LINGER_RESET), "no end"
            assert client.status in (None, 200, 500, 504)
            return "cut"
        seal, body = client.header("hopsail-server-seal"), bytes(client.body)
        if client.status in (408, 421, 429, 503):
            assert not runs and client.header(NOT_EXECUTED), "REFUSED"
        elif client.status == 200:
            assert seal == f"{identifier}/200", "MIXED: another's stamp"
            if kind in (STREAM, RESUMABLE):
                whole = b"".join(tagged(identifier, number) for number in range(1, EVENTS + 1))
                assert body == whole, "ORDER"
            else:
                assert body in self.made[identifier], "MIXED: another's body"
        else:
            assert client.status in (500, 502, 504)
            assert seal in (None, f"{identifier}/{client.status}"), "MIXED: another status under a stamp"
        return client.status


@pytest.mark.parametrize("seed", SEEDS)
def test_each_caller_gets_its_own_answer_and_none_is_run_twice(seed):
    world = World(seed)
    world.time.run()
    assert len(world.plane.ended) == len(world.clients) == REQUESTS
    ends = Counter(world.judge(identifier) for identifier in world.clients)
    assert ends[200] > REQUESTS / 4, "too little of it worked to tell anything"
    assert world.pool.reused > REQUESTS / 8, "connections were hardly kept"
