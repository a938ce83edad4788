"""The load client: sends prompts and checks every byte of each answer as it comes.

It reads answers with a reader of its own (httptools on a plain stream), so that a fault in the system's own
HTTP client cannot hide itself here."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

import httptools

from ..http.message import encode_request
from ..net.stream import Stream, dial
from .fabric import Address
from .ingress import Ingress
from .kept import MILLISECOND
from .records import Journal, Rule, Seal, Try, Violation, digest_of, plain_body, read_seal

PROMISES = (408, 421, 429, 503)  # the request has not run and never will
FINAL_STATUSES = (400, 401, 404, 413, 431)
MOST_WAIT_SHARE = 3  # a stated wait is honoured up to that part of the time left
CONNECT_MS = 1000
SECOND = 1000 * MILLISECOND
IDLE_TIME = 2 * SECOND
MOST_IDLE = 64
SMALL_BODY, LARGE_BODY = 64, 300_000  # bytes, below
LEAVE_WITHIN = 2 * SECOND  # after which a client that leaves has left
REUSED_SHARE = 0.5


class RouteLoad(NamedTuple):
    """What is sent on one route. Sizes are in tokens; `weight` is its share of all requests."""

    name: str
    hostname: str
    prefix: str
    streaming: bool
    idempotent: bool
    deadline_ms: int
    key: str
    tenant: str
    model: str
    shared: int
    own: int
    generated: int
    subjects: int = 20
    weight: float = 1.0
    tries: int = 2


class ClientConnection(Stream):
    """A connection to one data plane: one request at a time, and no byte where none is waiting."""

    def __init__(self, loop, address: Address):
        self.address = address
        self.check: StreamCheck | None = None  # of the request under way, then of the last one
        self.done: Callable[[bool], None] | None = None
        self.request, self.headers, self.idle_until = b"", {}, 0
        self.status, self.whole, self.idle = 0, False, False
        super().__init__(loop, dial(address), dialing=True)

    def ask(self, data: bytes, check: "StreamCheck", done: Callable[[bool], None]) -> None:
        """Sends a request; `done(complete)` is called once."""
        self.parser = httptools.HttpResponseParser(self)
        self.check, self.done, self.request = check, done, data
        self.headers, self.status, self.whole, self.idle = {}, 0, False, False
        if not self.dialing:
            self.connected()

    def connected(self):
        self.check.written()
        self.write(self.request)

    # httptools' callbacks.

    def on_message_begin(self):
        if self.whole:
            self.check.fault(Rule.MIXED, "a second answer")

    def on_header(self, name: bytes, value: bytes):
        if not self.whole:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        if not self.whole:
            self.status = self.parser.get_status_code()
            self.check.head(self.status, self.headers)

    def on_body(self, data: bytes):
        if not self.whole:
            self.check.data(data)

    def on_message_complete(self):
        self.whole = self.whole or self.status >= 200

    # The stream's.

    def received(self, data):
        if self.idle:
            self.check.fault(Rule.MIXED, f"bytes where no request is waiting: {data[:60]!r}")
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.check.fault(Rule.MIXED, f"bytes that are no answer: {type(error).__name__}")
            self.over(self.whole)
            return
        if self.whole:
            self.over(True)

    def ended(self):
        if self.done is not None and not self.whole and self.check.record.written_at:
            self.check.cut()
        framed = self.headers.keys() & {"content-length", "transfer-encoding"}
        self.over(bool(self.status and not framed and self.finished))

    def over(self, complete: bool) -> None:
        """The answer is whole, or nothing more of it is to come."""
        done, self.done = self.done, None
        self.idle = True
        kept = complete and self.open and self._may_stay
        if not kept:
            self.close()
        if done is not None:
            done(complete)

    @property
    def _may_stay(self) -> bool:
        framed = self.headers.keys() & {"content-length", "transfer-encoding"}
        if not framed or self.headers.get("connection", "").lower() == "close":
            return False
        self.idle_until = self.loop.now() + self._keep_alive()
        return True

    def _keep_alive(self) -> int:
        """ns for which it may stand idle, as the answer's `Keep-Alive` tells."""
        told = self.headers.get("keep-alive", "").partition("timeout=")[2].partition(",")[0]
        return min(IDLE_TIME, int(told) * SECOND // 2) if told.isdigit() else IDLE_TIME


class ConnectionKeeper:
    """Idle connections, of which about half of the requests use one."""

    def __init__(self, loop, random: Random):
        self.loop, self.random = loop, random
        self.idle: list[ClientConnection] = []

    def take(self, address: Address) -> ClientConnection:
        """An idle connection to that address, or a new one; OSError when there is none."""
        self._drop_old()
        for connection in self.idle:
            if connection.address == address and self.random.random() < REUSED_SHARE:
                self.idle.remove(connection)
                return connection
        return ClientConnection(self.loop, address)

    def keep(self, connection: ClientConnection) -> None:
        """Takes back one whose answer is whole."""
        if connection.open:
            self.idle.append(connection)
        self._drop_old()

    def _drop_old(self) -> None:
        now = self.loop.now()
        for connection in self.idle[:-MOST_IDLE]:
            connection.close()
        for connection in self.idle:
            if now > connection.idle_until:
                connection.close()
        self.idle = [connection for connection in self.idle if connection.open]

    def close(self) -> None:
        for connection in self.idle:
            connection.close()


class StreamCheck:
    """Checks one answer against its request, byte by byte, and notes faults in the try's record."""

    def __init__(self, loop, record: Try, resumed_after: int, most_generated: int):
        self.loop, self.record, self.most_generated = loop, record, most_generated
        self.position, self.buffer, self.body = resumed_after, b"", b""
        self.seal: Seal | None = None
        self.last_event_at = 0

    def written(self) -> None:
        """The request is written onto a connection that is up."""
        self.record.written_at = self.loop.now()

    def cut(self) -> None:
        """The data plane has closed the connection before the answer was whole."""
        self.record.cut_at = self.loop.now()

    def fault(self, rule: Rule, text: str) -> None:
        self.record.faults.append(Violation(rule, self.record.attempt, text))

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Status line and headers have come."""
        record = self.record
        record.status = status
        echoed = headers.get("hopsail-attempt-id")
        if echoed not in (None, record.attempt):
            self.fault(Rule.MIXED, f"the answer to {echoed}")
        if not 200 <= status < 300:
            return
        record.seal = headers.get("hopsail-server-seal", "")
        self.seal = read_seal(record.seal, record.attempt)
        if self.seal is None:
            self.fault(Rule.MIXED, f"a success with the stamp {record.seal!r}")
        if "content-encoding" in headers:
            self.fault(Rule.MIXED, "an encoded body")

    def data(self, data: bytes) -> None:
        """Bytes of the body have come."""
        if not 200 <= self.record.status < 300:
            return
        if not self.record.streaming:
            self.body += data
            return
        *events, self.buffer = (self.buffer + data).split(b"\n\n")
        for event in events:
            self._event(event)

    def _event(self, event: bytes) -> None:
        fields = dict(line.split(b": ", 1) for line in event.split(b"\n") if b": " in line)
        try:
            run, first, last = fields[b"data"].decode().split(" ")
            number, first, last = int(fields[b"id"]), int(first), int(last)
        except (KeyError, ValueError):
            self.fault(Rule.MIXED, f"no event: {event[:60]!r}")
            return
        if number != last or first != self.position + 1 or last < first:
            self.fault(Rule.ORDER, f"tokens {first} to {last} with id {number} after {self.position}")
        self.position = max(self.position, last)
        self._note_run(run)
        self._note_time()

    def _note_run(self, run: str) -> None:
        runs = self.record.runs
        if runs and runs[-1] == run:
            return
        runs.append(run)
        if self.seal is not None and len(runs) == 1 and run != self.seal.run:
            self.fault(Rule.MIXED, f"the stamp of {self.seal.run} over an event of {run}")
        if len(runs) > 1 and not self.record.idempotent:
            self.fault(Rule.ORDER, f"pieces of {runs}")

    def _note_time(self) -> None:
        now, record = self.loop.now(), self.record
        if not record.first_event_at:
            record.first_event_at = now
        else:
            record.longest_pause = max(record.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    def complete(self) -> None:
        """The answer looks complete: it must be."""
        if not 200 <= self.record.status < 300 or self.seal is None:
            return
        if not self.record.streaming:
            if self.body != plain_body(self.seal.run, self.seal.total):
                self.fault(Rule.MIXED, "not the host's whole body")
            return
        if self.buffer:
            self.fault(Rule.MIXED, f"half an event at the end: {self.buffer[:60]!r}")
        if self.position != self.seal.total or self.position > self.most_generated:
            self.fault(Rule.ORDER, f"ended as complete at {self.position} of {self.seal.total}")


class _Asking:
    """One request with its tries."""

    def __init__(self, client: "LoadClient", route: RouteLoad, subject: int):
        self.client, self.route, self.loop = client, route, client.loop
        self.number = client.next_number()
        self.deadline = self.loop.now() + route.deadline_ms * MILLISECOND
        self.tries = 0
        self.target = f"{route.prefix}{client.random.randrange(1 << 32):x}"
        self.parts = f"{subject + 1:x}a:{route.shared},{self.number + 1:x}b:{route.own}"
        large = client.random.random() < client.large_share
        self.body = b"x" * client.random.randrange(LARGE_BODY if large else SMALL_BODY)

    def send(self) -> None:
        """The next try, on a new connection."""
        self.tries += 1
        left = max(1, (self.deadline - self.loop.now()) // MILLISECOND)
        route, attempt = self.route, self.client.new_attempt()
        headers = [
            ("host", route.hostname),
            ("hopsail-attempt-id", attempt),
            ("hopsail-deadline-ms", str(left)),
        ]
        if route.key:
            headers.append(("authorization", f"Bearer {route.key}"))
        if route.streaming:
            headers += [
                ("hopsail-model", route.model),
                ("hopsail-token-count", f"{route.shared + route.own},{route.generated}"),
                ("hopsail-prompt-prefix", self.parts),
            ]
        record = Try(
            attempt=attempt,
            method="POST",
            target=self.target,
            hostname=route.hostname,
            body_digest=digest_of(self.body),
            tenant=route.tenant,
            idempotent=route.idempotent,
            streaming=route.streaming,
            sent_at=self.loop.now(),
            deadline=self.loop.now() + left * MILLISECOND,
        )
        self.client.journal.add(self.client.journal.tries, record)
        self._open(record, encode_request("POST", self.target, headers, self.body))

    def _open(self, record: Try, data: bytes) -> None:
        check = StreamCheck(self.loop, record, 0, self.route.generated)
        client = self.client
        try:
            connection = client.keeper.take(client.ingress.pick())
        except OSError:
            self.loop.soon(self._over, record, check, False, {})
            return
        record.taken_by, record.kept = connection.address[0], not connection.dialing
        up_by = min(self.deadline, self.loop.now() + CONNECT_MS * MILLISECOND)
        timers = [
            self.loop.at(self.deadline, lambda: connection.over(False)),
            self.loop.at(up_by, lambda: connection.over(False) if connection.dialing else None),
        ]
        if client.random.random() < client.leave_share:
            timers.append(self._leave_later(connection, record))
        client.open += 1

        def done(complete: bool) -> None:
            for timer in timers:
                timer.cancel()
            client.open -= 1
            client.keeper.keep(connection)
            self._over(record, check, complete, connection.headers)

        connection.ask(data, check, done)

    def _leave_later(self, connection: ClientConnection, record: Try):
        """The timer at which its client leaves with no answer and asks no more."""

        def leave() -> None:
            self.tries = self.route.tries
            record.left = True
            connection.over(False)

        after = int(self.client.random.random() * LEAVE_WITHIN)
        return self.loop.at(min(self.deadline, self.loop.now() + after), leave)

    def _over(self, record: Try, check: StreamCheck, complete: bool, headers: dict[str, str]) -> None:
        record.complete, record.ended_at = complete, self.loop.now()
        if complete:
            check.complete()
        wait = self._wait(record, headers)
        if wait is None:
            self.client.asked_over(self.route, record.served)
        else:
            self.loop.at(self.loop.now() + wait, self.send)

    def _wait(self, record: Try, headers: dict[str, str]) -> int | None:
        """ns until the next try, None when there is none."""
        left = self.deadline - self.loop.now()
        promised = record.complete and record.status in PROMISES
        if record.served or record.status in FINAL_STATUSES or left <= 0 or self.tries >= self.route.tries:
            return None
        if not promised and not self.route.idempotent:
            return None
        try:
            told = float(headers.get("retry-after", "0"))
        except ValueError:
            told = 0.0
        return int(min(told * 1000 * MILLISECOND, left / MOST_WAIT_SHARE))


class LoadClient:
    """Sends requests at a rate, drawn from the routes by weight."""

    def __init__(self, loop, ingress: Ingress, journal: Journal, routes: list[RouteLoad], *, seed: str = ""):
        self.loop, self.ingress, self.journal, self.routes = loop, ingress, journal, routes
        self.random = Random(f"client/{seed}")
        self.keeper = ConnectionKeeper(loop, self.random)
        self.number = self.open = 0
        self.large_share = self.leave_share = 0.0  # of the requests: with a large body, of clients that leave
        self.asked: dict[str, int] = {}
        self.served: dict[str, int] = {}
        self.timer = None

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def new_attempt(self) -> str:
        return f"{self.random.randrange(1 << 64):016x}"

    def start(self, per_second: float) -> None:
        """Sends so many requests a second from now on."""
        self.stop()
        self.timer = self.loop.at(self.loop.now(), lambda: self._next(per_second))

    def stop(self) -> None:
        """Sends no new requests; those under way go on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _next(self, per_second: float) -> None:
        wait = int(self.random.expovariate(per_second) * 1000 * MILLISECOND)
        self.timer = self.loop.at(self.loop.now() + wait, lambda: self._next(per_second))
        weights = [route.weight for route in self.routes]
        self.ask(self.random.choices(self.routes, weights)[0])

    def ask(self, route: RouteLoad) -> None:
        """One request with its tries."""
        self.asked[route.name] = self.asked.get(route.name, 0) + 1
        _Asking(self, route, self.random.randrange(route.subjects)).send()

    def asked_over(self, route: RouteLoad, served: bool) -> None:
        self.served[route.name] = self.served.get(route.name, 0) + served

    def close(self) -> None:
        """Ends its idle connections."""
        self.stop()
        self.keeper.close()
