"""One request on its way with both its sides: stand-ins for the data plane, the loop and the sockets.

Exchanges, host connections and their parsers are the real ones."""

from collections import deque

import httptools

from hopsail.dataplane.forward import Forwarding
from hopsail.dataplane.placement import Placed
from hopsail.http.client_connection import ClientConnection
from hopsail.http.message import Request
from hopsail.http.server import Exchange
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
KINDS = {"idempotent": IDEMPOTENT, "mutating": MUTATING, "stream": STREAM, "resumable": RESUMABLE}


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
