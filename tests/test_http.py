"""HTTP/1.1 on loopback sockets: what a server takes, refuses and answers, and what a client takes in."""

import socket
from contextlib import suppress

import pytest

from hopsail.http import server as server_module
from hopsail.http.client import HttpClient
from hopsail.http.client_connection import CONNECT_TIME, MILLISECOND, AnswerEnd, Failure
from hopsail.http.message import Request, encode_request, end_to_end, header_of
from hopsail.http.pool import IDLE_TIME, ConnectionPool
from hopsail.http.server import HttpServer, Rejection, ServerLimits
from hopsail.http.server_connection import FIRST_WORD_MS, LINGER_TIME, LONGEST_LINGER
from hopsail.net.loop import Loop
from hopsail.net.stream import listening

LOCAL = ("127.0.0.1", 0)
ROUNDS = 400  # of the loop, before a test takes what it waits for as missing
ROUND_TIME = 0.05  # s that one of them waits for events at most


class Runner:
    """A loop that is driven round by round, and whose clock can be set forward."""

    def __init__(self):
        self.loop = Loop()
        self.owned = []

    def until(self, holds, what="what was waited for"):
        for _ in range(ROUNDS):
            if holds():
                return
            self.loop.round(ROUND_TIME)
        raise AssertionError(f"{what} has not come")

    def settle(self, rounds=6):
        for _ in range(rounds):
            self.loop.round(0.002)

    def forward(self, nanoseconds):
        self.loop.offset += nanoseconds
        self.settle(2)

    def stand_still(self):
        """From now on the clock moves by `forward` alone, however slow the machine is."""
        began = self.loop.now() - self.loop.offset
        self.loop.now = lambda: began + self.loop.offset

    def own(self, thing):
        self.owned.append(thing)
        return thing

    def close(self):
        for thing in reversed(self.owned):
            thing.close()
        self.loop.close()


@pytest.fixture
def runner():
    one = Runner()
    yield one
    one.close()


class RawPeer:
    """A plain socket whose bytes the test writes and reads itself."""

    def __init__(self, runner, sock):
        self.runner, self.sock = runner, sock
        self.got, self.over = bytearray(), False  # over: the other side has ended the connection
        self.reset = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        runner.own(self)

    def send(self, data):
        self.sock.sendall(data)
        return self

    def read(self):
        while not self.over:
            try:
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                return
            except ConnectionError:
                self.over = self.reset = True
                return
            self.got += data
            self.over = not data

    def receives(self, *texts):
        def there():
            self.read()
            return all(text in self.got for text in texts)

        self.runner.until(there, f"{texts} (so far {bytes(self.got)})")
        return self

    def ends(self):
        def ended():
            self.read()
            return self.over

        self.runner.until(ended, "the end of the connection")
        return bytes(self.got)

    def quiet(self):
        self.runner.settle()
        self.read()
        return bytes(self.got)

    def close(self):
        self.sock.close()


class Service:
    """A server whose exchanges the test answers by hand, or at once by `answer`."""

    def __init__(self, runner, answer=None, **limits):
        self.runner, self.answer = runner, answer
        self.exchanges, self.refused = [], []
        self.limits = ServerLimits(**limits)
        self.server = runner.own(
            HttpServer(runner.loop, LOCAL, self.handle, self.limits, self.refused.append)
        )
        self.address = self.server.sock.getsockname()

    def handle(self, request, exchange):
        self.exchanges.append(exchange)
        if self.answer is not None:
            self.answer(request, exchange)

    @property
    def requests(self):
        return [exchange.request for exchange in self.exchanges]

    def client(self, data=b""):
        peer = RawPeer(self.runner, socket.create_connection(self.address))
        return peer.send(data)

    def exchange(self, number=0):
        self.runner.until(lambda: len(self.exchanges) > number, f"request {number}")
        return self.exchanges[number]


def echo(request, exchange):
    exchange.respond(200, request.target.encode() + b" " + request.body)


def request(target="/a", *lines, method="GET", body=b""):
    head = [f"{method} {target} HTTP/1.1", "Host: h.example", *lines]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def post(target="/a", body=b"hello", *lines):
    return request(target, f"Content-Length: {len(body)}", *lines, method="POST", body=body)


# The server: what it takes


def test_a_request_is_handed_over_whole_and_unchanged(runner):
    service = Service(runner)
    service.client(post("/a/b?q=1&r=%20", b"\x00\xff\r\n\r\n", "X-Odd: caf\xe9"))
    taken = service.exchange().request
    assert (taken.method, taken.target, taken.path) == ("POST", "/a/b?q=1&r=%20", "/a/b")
    assert taken.body == b"\x00\xff\r\n\r\n"
    assert taken.headers == [("host", "h.example"), ("content-length", "6"), ("x-odd", "caf\xe9")]
    assert encode_request(taken.method, taken.target, end_to_end(taken.headers), taken.body).endswith(
        b"x-odd: caf\xe9\r\ncontent-length: 6\r\n\r\n\x00\xff\r\n\r\n"
    )


@pytest.mark.parametrize("piece", [1, 2, 3, 7])
def test_a_request_in_pieces_is_the_same_request(runner, piece):
    service = Service(runner, echo)
    client = service.client()
    chunked = request("/c", "Transfer-Encoding: chunked", method="POST")
    data = chunked + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    for start in range(0, len(data), piece):
        client.send(data[start : start + piece])
        runner.loop.round(ROUND_TIME)
    client.receives(b"/c abcde")
    assert [taken.body for taken in service.requests] == [b"abcde"]


def test_a_request_is_not_handed_over_before_its_body_is_whole(runner):
    service = Service(runner, echo)
    client = service.client(post(body=b"hello")[:-1])
    assert client.quiet() == b"" and not service.exchanges
    client.send(b"o").receives(b"/a hello")


def test_trailers_are_no_headers(runner):
    service = Service(runner)
    chunked = request("/c", "Transfer-Encoding: chunked", method="POST")
    service.client(chunked + b"1\r\na\r\n0\r\nHopsail-Attempt-Id: forged\r\nX-Late: 1\r\n\r\n")
    headers = service.exchange().request.headers
    assert header_of(headers, "hopsail-attempt-id") is None and header_of(headers, "x-late") is None


def test_pipelined_requests_are_answered_one_at_a_time_and_in_order(runner):
    service = Service(runner)
    client = service.client(request("/1") + post("/2", b"two") + request("/3"))
    for number, body in enumerate((b"first", b"second", b"third")):
        exchange = service.exchange(number)
        assert len(service.exchanges) == number + 1
        exchange.respond(200, body)
    client.receives(b"third")
    got = bytes(client.got)
    assert got.index(b"first") < got.index(b"second") < got.index(b"third")


def test_a_request_that_comes_while_an_answer_is_under_way_waits_for_its_end(runner):
    service = Service(runner)
    client = service.client(request("/1"))
    exchange = service.exchange()
    exchange.start(200, [])
    exchange.send(b"half")
    client.send(request("/2")).receives(b"half")
    runner.settle()
    assert len(service.exchanges) == 1
    exchange.finish()
    service.exchange(1).respond(200, b"other")
    client.receives(b"half\r\n0\r\n\r\nHTTP/1.1 200", b"other")


def test_many_pipelined_requests_are_all_answered(runner):
    service = Service(runner, echo)
    client = service.client(b"".join(request(f"/{number}") for number in range(40)))
    client.receives(b"/39 ")
    assert [taken.target for taken in service.requests] == [f"/{number}" for number in range(40)]


def test_a_read_of_many_short_requests_is_not_taken_for_one_long_head(runner):
    service = Service(runner, echo, header_bytes=1000)
    client = service.client()
    data = b"".join(request(f"/{number}") for number in range(60))
    for piece in (data[:150], data[150:-20], data[-20:]):
        client.send(piece)
        runner.settle()
    client.receives(b"/59 ")
    assert len(service.exchanges) == 60 and not service.refused


# The server: what it refuses


def in_chunks(data, *lines):
    return request("/a", "Transfer-Encoding: chunked", *lines, method="POST", body=data)


MALFORMED = {
    "length and chunks": in_chunks(b"0\r\n\r\n", "Content-Length: 5"),
    "chunks and length": request(
        "/a", "Content-Length: 5", "Transfer-Encoding: chunked", method="POST", body=b"0\r\n\r\n"
    ),
    "two lengths": request("/a", "Content-Length: 5", "Content-Length: 6", method="POST", body=b"hello"),
    "signed length": request("/a", "Content-Length: +5", method="POST", body=b"hello"),
    "chunks not last": request(
        "/a", "Transfer-Encoding: chunked, identity", method="POST", body=b"0\r\n\r\n"
    ),
    "not chunked": request("/a", "Transfer-Encoding: xchunked", method="POST", body=b"0\r\n\r\n"),
    "bad chunk size": in_chunks(b"5 \r\nhello\r\n0\r\n\r\n"),
    "chunk too long": in_chunks(b"5\r\nhelloX0\r\n\r\n"),
    "bare line feeds": request("/a").replace(b"\r\n", b"\n"),
    "line feed in a value": request("/a", "X: a\nHopsail-Tenant: b"),
    "carriage return in a value": request("/a", "X: a\rb"),
    "zero byte in a value": request("/a", "X: a\0b"),
    "folded line": request("/a", "X: a\r\n b"),
    "space before the colon": request("/a", "X : a"),
    "space in the target": request("/a b"),
    "chunk size in bare line feeds": in_chunks(b"5\nhello\n0\n\n"),
    "two equal lengths": request("/a", *["Content-Length: 5"] * 2, method="POST", body=b"hello"),
    "a list of lengths": request("/a", "Content-Length: 5, 5", method="POST", body=b"hello"),
    "space after a length's sign": request("/a", "Content-Length: - 5", method="POST", body=b"hello"),
    "chunked twice": request(
        "/a", "Transfer-Encoding: chunked", "Transfer-Encoding: identity", method="POST", body=b"0\r\n\r\n"
    ),
    "unknown method": request("/a", method="BREW"),
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "tunnel": request("h.example:443", method="CONNECT"),
    "other protocol": request("/a", "Upgrade: h2c", "Connection: upgrade"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_request_is_refused_and_never_handed_over(runner, name):
    service = Service(runner, echo)
    client = service.client(MALFORMED[name] + request("/smuggled"))
    got = client.ends()
    assert got.startswith(b"HTTP/1.1 400 ") and b"connection: close" in got
    assert got.count(b"HTTP/1.1") == 1
    assert not service.exchanges and service.refused == [400]


def test_extensions_of_chunks_are_no_part_of_the_body(runner):
    service = Service(runner, echo)
    client = service.client(in_chunks(b"5;a=b;c\r\nhello\r\n0;x=y\r\n\r\n") + request("/2"))
    client.receives(b"/a hello", b"/2 ")
    assert [one.body for one in service.requests] == [b"hello", b""]


def test_requests_before_a_malformed_one_get_their_own_answers_first(runner):
    service = Service(runner)
    client = service.client(request("/1") + request("/2") + b"no request\r\n\r\n")
    service.exchange(0).respond(200, b"first")
    service.exchange(1).respond(200, b"second")
    got = client.ends()
    assert got.index(b"first") < got.index(b"second") < got.index(b"HTTP/1.1 400 ")
    assert len(service.exchanges) == 2


def test_requests_answered_at_once_come_before_the_refusal_of_a_malformed_one(runner):
    service = Service(runner, echo)
    got = service.client(request("/1") + request("/2") + b"no request\r\n\r\n").ends()
    assert got.index(b"/1 ") < got.index(b"/2 ") < got.index(b"HTTP/1.1 400 ")
    assert got.count(b"HTTP/1.1 ") == 3


def test_a_malformed_request_during_an_answer_does_not_touch_that_answer(runner):
    service = Service(runner)
    client = service.client(request("/1"))
    exchange = service.exchange()
    exchange.start(200, [], 4)
    exchange.send(b"ab")
    client.send(b"no request\r\n\r\n" + request("/2"))
    runner.settle()
    exchange.send(b"cd")
    exchange.finish()
    got = client.ends()
    assert got.index(b"abcd") < got.index(b"HTTP/1.1 400 ") and len(service.exchanges) == 1


def test_a_body_of_a_greater_stated_length_is_refused_before_it_comes(runner):
    service = Service(runner, echo, body_bytes=10)
    client = service.client(request("/a", "Content-Length: 11", method="POST"))
    assert client.ends().startswith(b"HTTP/1.1 413 ")
    assert not service.exchanges and service.refused == [413]


def test_a_body_in_chunks_is_refused_as_soon_as_it_is_too_long(runner):
    service = Service(runner, echo, body_bytes=10)
    client = service.client(in_chunks(b"6\r\nabcdef\r\n6\r\nabcdef\r\n"))
    assert client.ends().startswith(b"HTTP/1.1 413 ")
    assert not service.exchanges


def test_a_body_as_long_as_allowed_is_taken(runner):
    service = Service(runner, echo, body_bytes=10)
    service.client(post("/a", b"x" * 10)).receives(b"/a xxxxxxxxxx")
    service.client(in_chunks(b"a\r\n" + b"x" * 10 + b"\r\n0\r\n\r\n")).receives(b"/a xxxxxxxxxx")


@pytest.mark.parametrize("lines", [["X: " + "a" * 2000], [f"X-{number}: a" for number in range(200)]])
def test_too_long_a_head_is_refused(runner, lines):
    service = Service(runner, echo, header_bytes=1000)
    assert service.client(request("/a", *lines)).ends().startswith(b"HTTP/1.1 431 ")
    assert not service.exchanges and service.refused == [431]


def test_a_head_line_without_an_end_is_refused_when_it_is_too_long(runner):
    service = Service(runner, echo, header_bytes=1000)
    client = service.client(b"GET /a HTTP/1.1\r\nX: ")
    for _ in range(30):
        client.send(b"a" * 100)
        runner.loop.round(ROUND_TIME)
    client.receives(b"HTTP/1.1 431 ")
    assert not service.exchanges


@pytest.mark.parametrize("start", [b"0\r\nX: ", b"0\r\n", b"1;x="], ids=["trailer", "trailers", "extension"])
def test_what_follows_a_body_without_an_end_is_refused_when_it_is_too_long(runner, start):
    service = Service(runner, echo, header_bytes=1000)
    client = service.client(in_chunks(b"5\r\nhello\r\n" + start))
    for _ in range(30):
        client.send(b"X: a\r\n" * 20 if start == b"0\r\n" else b"a" * 100)
        runner.loop.round(ROUND_TIME)
        if service.refused:
            break
    client.receives(b"HTTP/1.1 431 ")
    assert not service.exchanges


def test_a_long_body_in_pieces_is_not_taken_for_a_head(runner):
    service = Service(runner, echo, header_bytes=1000)
    client = service.client(request("/a", "Content-Length: 5000", method="POST"))
    for _ in range(50):
        client.send(b"a" * 100)
        runner.loop.round(ROUND_TIME)
    client.receives(b"HTTP/1.1 200 ")


def test_a_head_that_is_slow_gets_408(runner):
    runner.stand_still()
    service = Service(runner, echo, header_wait_ms=1000)
    client = service.client(b"GET /a HTTP/1.1\r\nHo")
    assert client.quiet() == b""
    runner.forward(600 * MILLISECOND)
    client.send(b"st: h.example\r\n")  # some progress does not extend the time
    assert client.quiet() == b""
    runner.forward(500 * MILLISECOND)
    assert client.ends().startswith(b"HTTP/1.1 408 ")
    assert not service.exchanges and service.refused == [408]


def test_a_head_that_comes_in_pieces_has_no_more_time_than_one(runner):
    """Guards against clients that hold a connection for good with a byte of a head from time to time."""
    runner.stand_still()
    service = Service(runner, echo, header_wait_ms=1000)
    client = service.client(b"GET /a HTTP/1.1\r\n")
    for _ in range(3):
        runner.settle()
        runner.forward(300 * MILLISECOND)
        client.send(b"X: y\r\n")
    assert client.quiet() == b""
    runner.forward(200 * MILLISECOND)
    assert client.quiet().startswith(b"HTTP/1.1 408 ")
    assert not service.exchanges and service.refused == [408]


def test_a_body_that_comes_slowly_but_steadily_is_taken(runner):
    service = Service(runner, echo, header_wait_ms=1000, idle_timeout_ms=5000)
    client = service.client(post("/a", b"hello")[:-5])
    for byte in (b"h", b"e", b"l", b"l"):
        client.send(byte)
        runner.settle()
        runner.forward(4000 * MILLISECOND)
    client.send(b"o").receives(b"/a hello")


def test_a_body_that_stops_coming_gets_408(runner):
    service = Service(runner, echo, header_wait_ms=1000, idle_timeout_ms=5000)
    client = service.client(post("/a", b"hello")[:-1])
    runner.settle()
    runner.forward(5001 * MILLISECOND)
    assert client.ends().startswith(b"HTTP/1.1 408 ")
    assert not service.exchanges


def test_an_idle_connection_is_closed_without_a_word(runner):
    service = Service(runner, echo, idle_timeout_ms=5000)
    client = service.client(request("/a")).receives(b"/a ")
    before = client.quiet()
    runner.forward(5001 * MILLISECOND)
    assert client.ends() == before


def test_a_connection_is_not_idle_while_its_answer_is_awaited(runner):
    service = Service(runner, idle_timeout_ms=5000, header_wait_ms=1000)
    client = service.client(request("/a"))
    exchange = service.exchange()
    runner.forward(60_000 * MILLISECOND)
    exchange.respond(200, b"late")
    client.receives(b"late")


def test_a_refused_client_has_its_answer_before_the_connection_goes(runner):
    service = Service(runner, echo, body_bytes=10)
    client = service.client(request("/a", "Content-Length: 100", method="POST", body=b"a" * 50))
    client.receives(b"HTTP/1.1 413 ")
    client.send(b"a" * 50)
    client.ends()
    assert not client.reset
    runner.forward(LINGER_TIME + MILLISECOND)
    assert not service.server.connections


def lengthy(body=b"a" * 10):
    """What is longer or slower than `LITTLE` allows, as one sends it: (the refusal's status, its bytes)."""
    return {
        "head": (431, request("/a", "X: " + "a" * 2000) + request("/2")),
        "head of many lines": (431, request("/a", *[f"X-{number}: a" for number in range(200)])),
        "head without an end": (431, b"GET /a HTTP/1.1\r\nX: " + b"a" * 3000),
        "target": (431, request("/" + "a" * 2000)),
        "body": (413, post("/a", body) + request("/2")),
        "body half come": (413, post("/a", body)[:-3]),
        "body in chunks": (413, in_chunks(b"a\r\n" + body + b"\r\n0\r\n\r\n") + request("/2")),
        "slow head": (408, b"GET /a HTTP/1.1\r\n"),
        "slow body": (408, post("/a", b"abcde")[:-1]),
    }


LITTLE = {"header_bytes": 1000, "body_bytes": 9, "header_wait_ms": 1000, "idle_timeout_ms": 1000}


def slow_down(runner, status):
    runner.settle()
    if status == 408:
        runner.forward(1001 * MILLISECOND)


@pytest.mark.parametrize("name", lengthy())
def test_what_is_beyond_the_limits_is_answered_as_the_owner_says(runner, name):
    status, data = lengthy()[name]
    asked = []

    def elsewhere(status):
        asked.append(status)
        return Rejection(503, (("retry-after", "0.300"),))

    service = Service(runner, echo, **LITTLE)
    service.server.beyond_limits = elsewhere
    client = service.client(data[: len(data) // 2])
    runner.settle()
    client.send(data[len(data) // 2 :])  # a head without an end is known for one by its second piece
    slow_down(runner, status)
    got = client.ends()
    assert got.startswith(b"HTTP/1.1 503 ") and got.endswith(b"\r\n\r\n") and got.count(b"HTTP/1.1") == 1
    assert b"retry-after: 0.300" in got and b"content-length: 0" in got and b"connection: close" in got
    assert asked == [status] and service.refused == [503]
    assert not client.reset and not service.exchanges


@pytest.mark.parametrize("name", MALFORMED)
def test_the_owner_is_not_asked_what_a_malformed_request_gets(runner, name):
    service = Service(runner, echo)
    service.server.beyond_limits = lambda status: Rejection(503)
    assert service.client(MALFORMED[name]).ends().startswith(b"HTTP/1.1 400 ")


STILL_SENT = {
    "stated": request("/a", f"Content-Length: {1 << 20}", method="POST"),
    "in chunks": in_chunks(b"100000\r\n" + b"a" * 10),
    "head": request("/a", "X: " + "a" * 2000, "Y: b")[:-2],
}


@pytest.mark.parametrize("name", STILL_SENT)
def test_a_refused_client_that_sends_on_has_its_answer_without_a_reset(runner, name):
    service = Service(runner, echo, header_bytes=1000, body_bytes=9)
    client = service.client(STILL_SENT[name])
    runner.until(lambda: service.refused, "the refusal")
    for _ in range(8):
        runner.forward(LINGER_TIME - 100 * MILLISECOND)
        client.send(b"a" * 1000)
        runner.settle()
    (connection,) = service.server.connections
    assert not connection.parser.body and not connection.waiting
    got = client.ends()
    assert got.endswith(b"\r\n\r\n") and got.count(b"HTTP/1.1") == 1 and not client.reset
    runner.forward(LINGER_TIME + MILLISECOND)
    assert not service.server.connections


def test_a_refused_client_that_has_sent_all_is_waited_for_no_longer_than_others(runner):
    service = Service(runner, echo, body_bytes=9)
    client = service.client(request("/a", "Content-Length: 2000", method="POST"))
    runner.until(lambda: service.refused, "the refusal")
    client.send(b"a" * 2000)
    runner.settle()
    runner.forward(LINGER_TIME // 2)
    client.send(request("/2"))
    runner.settle()
    runner.forward(LINGER_TIME // 2 + MILLISECOND)
    assert not service.server.connections and not service.exchanges


def test_a_refused_client_that_never_ends_is_not_waited_for_forever(runner):
    service = Service(runner, echo, body_bytes=9)
    client = service.client(STILL_SENT["in chunks"])
    runner.until(lambda: service.refused, "the refusal")
    step = LINGER_TIME - 100 * MILLISECOND
    for _ in range(LONGEST_LINGER // step - 5):
        runner.forward(step)
        client.send(b"a" * 1000)
        runner.settle()
    assert service.server.connections
    for _ in range(6):
        runner.forward(step)
        with suppress(ConnectionError):
            client.send(b"a" * 1000)
        runner.settle()
    assert not service.server.connections


def test_a_client_that_takes_nothing_after_a_last_answer_does_not_hold_its_connection(runner):
    service = Service(runner, idle_timeout_ms=5000)
    service.client(request("/a", "Connection: close"))
    service.exchange().respond(200, b"x" * (16 << 20))
    runner.settle()
    assert service.server.connections
    runner.forward(5001 * MILLISECOND)
    assert not service.server.connections


def test_connections_beyond_the_bound_are_closed(runner):
    service = Service(runner, echo, connections=2)
    kept = [service.client(request("/a")).receives(b"/a ") for _ in range(2)]
    assert service.client().ends() == b""
    kept[0].send(request("/b")).receives(b"/b ")


# Expect: 100-continue


def test_a_client_that_waits_for_leave_to_send_gets_it(runner):
    service = Service(runner, echo)
    client = service.client(request("/a", "Content-Length: 5", "Expect: 100-continue", method="POST"))
    client.receives(b"HTTP/1.1 100 Continue\r\n\r\n")
    client.send(b"hello").receives(b"/a hello")


def test_no_leave_is_given_for_a_body_that_is_too_long(runner):
    service = Service(runner, echo, body_bytes=4)
    client = service.client(request("/a", "Content-Length: 5", "Expect: 100-continue", method="POST"))
    got = client.ends()
    assert got.startswith(b"HTTP/1.1 413 ") and b"100 Continue" not in got


def test_leave_to_send_comes_after_the_answers_before_it(runner):
    service = Service(runner)
    waiting = request("/2", "Content-Length: 5", "Expect: 100-continue", method="POST")
    client = service.client(request("/1") + waiting)
    exchange = service.exchange()
    assert client.quiet() == b""
    exchange.respond(200, b"first")
    got = bytes(client.receives(b"100 Continue").got)
    assert got.index(b"first") < got.index(b"100 Continue")
    client.send(b"hello")
    assert service.exchange(1).request.body == b"hello"


# The server: answers


def test_an_answer_of_stated_length(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    exchange.start(200, [("x-a", "1")], 4)
    exchange.send(b"ab")
    exchange.send(b"cd")
    exchange.finish()
    client.receives(b"\r\n\r\nabcd")
    assert b"content-length: 4\r\n" in client.got and b"chunked" not in client.got


def test_an_answer_in_chunks(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    exchange.start(200, [])
    exchange.send(b"ab")
    exchange.send(b"")  # an empty piece must not look like the end
    exchange.send(b"0123456789abcdef")
    exchange.finish()
    client.receives(b"\r\n\r\n2\r\nab\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n")


def test_an_answer_that_is_cut_off_never_looks_whole(runner):
    service = Service(runner)
    for length in (None, 4):
        client = service.client(request("/a"))
        exchange = service.exchange(len(service.exchanges))
        exchange.start(200, [], length)
        exchange.send(b"ab")
        client.receives(b"ab")
        exchange.abort()
        got = client.ends()
        body = got.partition(b"\r\n\r\n")[2]
        assert body == (b"ab" if length else b"2\r\nab\r\n")


def test_an_answer_to_http_1_0_that_is_cut_off_ends_with_a_reset(runner):
    service = Service(runner)
    client = service.client(b"GET /a HTTP/1.0\r\n\r\n")
    exchange = service.exchange()
    exchange.start(200, [])
    exchange.send(b"ab")
    client.receives(b"ab")
    exchange.abort()
    client.ends()
    assert client.reset


def test_an_answer_to_http_1_0_without_length_ends_with_the_connection(runner):
    service = Service(runner)
    client = service.client(b"GET /a HTTP/1.0\r\n\r\n")
    exchange = service.exchange()
    exchange.start(200, [])
    exchange.send(b"ab")
    exchange.finish()
    got = client.ends()
    assert got.endswith(b"\r\n\r\nab") and b"chunked" not in got and not client.reset


def test_what_is_not_out_yet_is_dropped_when_an_answer_is_cut_off(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    exchange.start(200, [])
    exchange.send(b"x" * (16 << 20))
    assert exchange.unsent
    exchange.abort()
    assert not client.ends().endswith(b"0\r\n\r\n")
    exchange.send(b"more")
    exchange.finish()  # nothing may follow


@pytest.mark.parametrize("length", [None, 5])
def test_the_answer_to_head_has_no_body(runner, length):
    service = Service(runner)
    client = service.client(request("/a", method="HEAD") + request("/b"))
    exchange = service.exchange()
    exchange.start(200, [], length)
    exchange.send(b"hello")
    exchange.finish()
    service.exchange(1).respond(200, b"other")
    client.receives(b"other")
    assert bytes(client.got).partition(b"\r\n\r\n")[2].startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_that_has_no_body_by_its_status_ends_with_its_head(runner, status):
    service = Service(runner)
    client = service.client(request("/a") + request("/b"))
    exchange = service.exchange()
    exchange.start(status, [])
    exchange.finish()
    service.exchange(1).respond(200, b"other")
    client.receives(b"other")
    first, _, rest = bytes(client.got).partition(b"\r\n\r\n")
    assert b"chunked" not in first and rest.startswith(b"HTTP/1.1 200 ")


def test_only_one_answer_is_given(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    exchange.respond(200, b"one")
    exchange.respond(500, b"two")
    exchange.start(200, [])
    exchange.finish()
    exchange.abort()
    got = bytes(client.receives(b"one").got)
    assert client.quiet() == got and got.count(b"HTTP/1.1") == 1


def test_a_fault_of_the_handler_is_told_as_500(runner, capsys):
    def broken(request, exchange):
        raise RuntimeError("fault of the handler")

    client = Service(runner, broken).client(request("/a"))
    client.receives(b"HTTP/1.1 500 ")


def test_connection_close_is_honoured(runner):
    service = Service(runner, echo)
    got = service.client(request("/a", "Connection: close") + request("/b")).ends()
    assert b"connection: close" in got and b"/b" not in got


def test_while_draining_answers_tell_to_close(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    service.server.drain()
    exchange.respond(200, b"last")
    got = client.ends()
    assert b"connection: close" in got and got.endswith(b"last")


def test_a_half_read_request_does_not_count_as_idle(runner):
    service = Service(runner, echo)
    idle = service.client(request("/a")).receives(b"/a ")
    half = service.client(post("/b", b"hello")[:-2])
    runner.settle()
    service.server.close_idle()
    idle.ends()
    half.send(b"lo").receives(b"/b hello")


def test_a_server_is_busy_until_answers_are_out(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    assert service.server.busy == 1
    exchange.respond(200, b"x" * (16 << 20))
    runner.settle()
    assert service.server.busy == 1
    runner.until(lambda: client.read() or not service.server.busy, "the end of the answer")


# The server: how it ends


def test_a_server_that_shuts_serves_those_in_the_queue(runner):
    service = Service(runner, echo)
    clients = [service.client(request(f"/{number}")) for number in range(3)]  # none is accepted yet
    service.server.shut()
    for number, client in enumerate(clients):
        got = client.ends()
        assert f"/{number} ".encode() in got and b"connection: close" in got and not client.reset
    runner.until(lambda: not service.server.connections, "the end of all connections")


def test_a_server_that_shuts_takes_in_more_than_one_rounds_clients(runner, monkeypatch):
    monkeypatch.setattr(server_module, "ACCEPTED_AT_ONCE", 2)
    service = Service(runner, echo)
    clients = [service.client(request(f"/{number}")) for number in range(7)]
    service.server.shut()
    assert all(f"/{number} ".encode() in client.ends() for number, client in enumerate(clients))


def test_after_a_server_has_shut_nobody_connects(runner):
    service = Service(runner, echo)
    service.server.shut()
    with pytest.raises(ConnectionRefusedError):
        service.client()
    service.server.shut()
    service.server.close()


def test_a_client_that_has_just_connected_is_given_time_to_say_something(runner):
    service = Service(runner, echo)
    client, mute = service.client(), service.client()
    runner.stand_still()
    service.server.shut()
    runner.settle()
    runner.forward((FIRST_WORD_MS - 50) * MILLISECOND)
    assert b"/a " in client.send(request("/a")).ends() and not client.reset
    assert not mute.quiet() and not mute.over
    runner.forward(100 * MILLISECOND)
    assert mute.ends() == b"" and not mute.reset


def test_an_idle_client_is_let_go_in_order_when_a_server_shuts(runner):
    service = Service(runner, echo)
    idle = service.client(request("/a")).receives(b"/a ")
    service.server.shut()
    idle.ends()
    assert not idle.reset and not service.server.connections


def test_a_request_that_has_come_on_an_idle_connection_is_served_when_a_server_shuts(runner):
    service = Service(runner, echo)
    idle = service.client(request("/a")).receives(b"/a ")
    idle.send(request("/b"))  # the server has not looked yet
    service.server.shut()
    got = idle.ends()
    assert b"/b " in got and b"connection: close" in got and not idle.reset


def test_an_answer_that_is_not_out_yet_is_not_lost_when_a_server_shuts(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    service.exchange().respond(200, b"x" * (16 << 20))
    runner.settle()
    service.server.shut()
    assert client.ends().count(b"x") == 16 << 20 and not client.reset


def test_a_request_under_way_is_answered_after_a_server_has_shut(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    service.server.shut()
    runner.settle()
    exchange.respond(200, b"last")
    got = client.ends()
    assert got.endswith(b"last") and b"connection: close" in got and not client.reset


def test_a_half_read_request_keeps_a_server_busy_and_can_be_refused(runner):
    service = Service(runner, echo)
    half = service.client(post("/b", b"hello")[:-2])
    runner.until(lambda: service.server.busy == 1, "a half-read request")
    service.server.shut()
    assert service.server.busy == 1
    service.server.refuse_half_read(503, [("retry-after", "0.000")])
    got = half.ends()
    assert got.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.000" in got and b"connection: close" in got
    assert not service.exchanges and service.refused == [503] and not half.reset


def test_only_half_read_requests_are_refused(runner):
    service = Service(runner)
    waiting, idle = service.client(request("/a")), service.client()
    exchange = service.exchange()
    service.server.refuse_half_read(503)
    assert not idle.quiet() and not waiting.quiet() and not service.refused
    exchange.respond(200, b"whole")
    waiting.receives(b"whole")


# The server: clients that leave


def test_a_client_that_leaves_is_told_once(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    told = []
    exchange.on_gone(lambda: told.append("gone"))
    client.close()
    runner.until(lambda: told, "news of the client's leave")
    exchange.respond(200, b"late")
    exchange.abort()
    runner.settle()
    assert told == ["gone"] and not service.server.connections


def test_a_client_that_leaves_amid_its_answer_is_told(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    told = []
    exchange.on_gone(lambda: told.append("gone"))
    exchange.start(200, [])
    exchange.send(b"x" * (16 << 20))
    client.close()
    runner.until(lambda: told, "news of the client's leave")


def test_a_client_that_leaves_after_its_answer_is_not_told(runner):
    service = Service(runner, echo)
    client = service.client(request("/a")).receives(b"/a ")
    told = []
    service.exchanges[0].on_gone(lambda: told.append("gone"))
    client.close()
    runner.until(lambda: not service.server.connections, "the end of the connection")
    assert not told


def test_drained_is_called_when_all_is_out(runner):
    service = Service(runner)
    client = service.client(request("/a"))
    exchange = service.exchange()
    exchange.start(200, [])
    drained = []
    exchange.on_drained(lambda: drained.append(exchange.unsent))
    exchange.send(b"x" * (16 << 20))
    assert not drained and exchange.unsent
    runner.until(lambda: client.read() or drained, "room")
    assert drained[0] == 0


# The client: whole answers and others


class Call:
    """Records what a streamed call hears; `wanted` is the id of its answer."""

    def __init__(self, wanted=None):
        self.wanted = wanted
        self.heard, self.data, self.end = [], bytearray(), None

    def head(self, head):
        assert self.end is None
        if self.wanted is not None and head.header("hopsail-attempt-id") != self.wanted:
            return False
        self.heard.append(head)
        return True

    def body(self, data):
        assert self.end is None
        self.data += data

    def complete(self, end):
        assert self.end is None
        self.end, self.answer_end = "complete", end

    def failed(self, failure):
        assert self.end is None
        self.end = failure

    @property
    def statuses(self):
        return [head.status for head in self.heard]


class Host:
    """A listening socket whose connections the test serves by hand, with a pool that dials it."""

    def __init__(self, runner):
        self.runner = runner
        self.sock = runner.own(listening(LOCAL, 64))
        self.address = self.sock.getsockname()
        self.pool = runner.own(ConnectionPool(runner.loop))

    def call(self, wanted=None, method="GET"):
        """A call under way and the host's end of its connection, which has read the request."""
        call = Call(wanted)
        dialed = self.pool.dialed
        call.connection = self.pool.take(self.address)
        call.connection.carry(encode_request(method, "/a", [("host", "h")], b""), call)
        if self.pool.dialed == dialed:
            return call, None
        peer = self.accepted()
        peer.receives(b"\r\n\r\n")
        return call, peer

    def accepted(self):
        taken = []

        def accept():
            try:
                taken.append(self.sock.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.runner.until(accept, "a connection")
        return RawPeer(self.runner, taken[0])

    def ended(self, call):
        self.runner.until(lambda: call.end is not None, "the end of the call")
        return call.end


OK = b"HTTP/1.1 200 OK\r\n"
SIZED = OK + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
TO_CLOSE = OK + b"X: y\r\n\r\nhello"


@pytest.mark.parametrize("answer", [SIZED, CHUNKED])
def test_a_whole_answer_is_complete_and_its_connection_used_again(runner, answer):
    host = Host(runner)
    call, peer = host.call()
    peer.send(answer)
    assert host.ended(call) == "complete" and call.data == b"hello"
    again, none = host.call()
    assert none is None
    assert bytes(peer.receives().got).startswith(b"GET /a HTTP/1.1")
    peer.send(answer)
    assert host.ended(again) == "complete" and again.data == b"hello"
    assert (host.pool.dialed, host.pool.reused) == (1, 1)


@pytest.mark.parametrize("answer", [SIZED, CHUNKED])
@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_cut_at_any_byte_is_never_complete(runner, answer, reset):
    host = Host(runner)
    for end in range(len(answer)):
        call, peer = host.call()
        peer.send(answer[:end])
        if reset:
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        peer.close()
        assert host.ended(call) is Failure.BROKEN, answer[:end]
    assert not host.pool.connections


@pytest.mark.parametrize("answer", [SIZED, CHUNKED])
def test_an_answer_split_at_any_byte_is_complete(runner, answer):
    host = Host(runner)
    served = None
    for middle in range(1, len(answer)):
        call, dialed = host.call()
        peer = served = dialed or served
        peer.send(answer[:middle])
        runner.settle(2)
        assert call.end is None
        peer.send(answer[middle:])
        assert host.ended(call) == "complete" and call.data == b"hello"


@pytest.mark.parametrize(
    ("method", "answer", "closes", "end"),
    [
        ("GET", SIZED, False, AnswerEnd.LENGTH),
        ("GET", OK.replace(b"200 OK", b"204 No Content") + b"\r\n", False, AnswerEnd.LENGTH),
        ("HEAD", OK + b"Transfer-Encoding: chunked\r\n\r\n", False, AnswerEnd.LENGTH),
        ("GET", CHUNKED, False, AnswerEnd.LAST_CHUNK),
        ("GET", TO_CLOSE, True, AnswerEnd.CLOSE),
    ],
    ids=["length", "no body by its status", "no body to HEAD", "chunks", "close"],
)
def test_it_is_told_what_ended_an_answer(runner, method, answer, closes, end):
    host = Host(runner)
    call, peer = host.call(method=method)
    peer.send(answer)
    if closes:
        peer.close()
    assert host.ended(call) == "complete" and call.answer_end is end


def test_an_answer_without_length_ends_with_the_connection(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(TO_CLOSE)
    runner.settle()
    assert call.end is None
    peer.close()
    assert host.ended(call) == "complete" and call.data == b"hello"
    assert not host.pool.connections


def test_an_answer_without_length_that_ends_with_a_reset_is_broken(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(TO_CLOSE)
    runner.settle()
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    peer.close()
    assert host.ended(call) is Failure.BROKEN


def test_another_encoding_than_chunks_is_never_complete(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(OK + b"Transfer-Encoding: gzip\r\n\r\nhello")
    peer.close()
    assert host.ended(call) is Failure.BROKEN


NO_ANSWERS = {
    "no HTTP": b"\x00\x01\x02\x03 nonsense\r\n\r\n",
    "length and chunks": OK + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "bad chunk": OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "line feed in a value": OK + b"X: a\nContent-Length: 5\r\n\r\nhello",
    "folded line": OK + b"X: a\r\n b\r\nContent-Length: 5\r\n\r\nhello",
    "other protocol": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "too long a head": OK + b"X: " + b"a" * (70 << 10) + b"\r\n\r\n",
}


@pytest.mark.parametrize("name", NO_ANSWERS)
def test_bytes_that_are_no_answer_are_broken(runner, name):
    host = Host(runner)
    call, peer = host.call()
    peer.send(NO_ANSWERS[name])
    assert host.ended(call) is Failure.BROKEN
    assert not host.pool.connections and not call.data


@pytest.mark.parametrize("code", [b"100 Continue\r\n", b"103 Early Hints\r\nLink: a\r\nX: early\r\n"])
def test_interim_answers_are_passed_over(runner, code):
    host = Host(runner)
    call, peer = host.call()
    peer.send(b"HTTP/1.1 " + code + b"\r\n")
    runner.settle()
    assert not call.heard and call.end is None
    peer.send(SIZED)
    assert host.ended(call) == "complete" and call.statuses == [200]
    assert call.heard[0].header("x") is None


def test_interim_answers_that_nobody_asked_for_and_several_are_passed_over(runner):
    host = Host(runner)
    call, peer = host.call("mine")
    interim = b"HTTP/1.1 103 Early Hints\r\nHopsail-Attempt-Id: other\r\nHopsail-Not-Executed: 1\r\n\r\n"
    peer.send(interim + b"HTTP/1.1 100 Continue\r\n\r\n" + interim)
    runner.settle()
    assert not call.heard and call.end is None
    peer.send(answer_for(b"mine"))
    assert host.ended(call) == "complete" and call.statuses == [200]
    assert call.heard[0].header("hopsail-not-executed") is None
    assert host.pool.idle


def test_an_interim_answer_alone_is_broken(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(b"HTTP/1.1 100 Continue\r\n\r\n")
    peer.close()
    assert host.ended(call) is Failure.BROKEN and not call.heard


MORE = {
    "the same again": SIZED,
    "another answer": OK + b"Hopsail-Attempt-Id: other\r\nContent-Length: 3\r\n\r\nxyz",
    "a piece of an answer": b"H",
    "nonsense": b"\x00nonsense",
}


@pytest.mark.parametrize("name", MORE)
@pytest.mark.parametrize("answer", [SIZED, CHUNKED])
def test_more_after_a_whole_answer_belongs_to_no_request(runner, answer, name):
    host = Host(runner)
    call, peer = host.call()
    peer.send(answer + MORE[name])
    assert host.ended(call) == "complete"
    assert call.data == b"hello" and call.statuses == [200]
    assert not host.pool.connections


@pytest.mark.parametrize("name", MORE)
def test_what_comes_while_a_connection_is_idle_closes_it(runner, name):
    host = Host(runner)
    call, peer = host.call()
    peer.send(SIZED)
    host.ended(call)
    assert len(host.pool.connections) == 1
    peer.send(MORE[name])
    runner.until(lambda: not host.pool.connections, "the end of the connection")


def test_what_has_come_unnoticed_is_found_before_a_connection_is_used_again(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(SIZED)
    host.ended(call)
    peer.send(SIZED)
    again, other = host.call()
    assert other is not None and host.pool.dialed == 2
    other.send(SIZED)
    assert host.ended(again) == "complete"


def test_a_connection_that_the_host_has_closed_is_not_used_again(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(SIZED)
    host.ended(call)
    peer.close()
    again, other = host.call()
    assert other is not None
    other.send(SIZED)
    assert host.ended(again) == "complete"


def answer_for(identifier, body=b"hello", framing=b"Content-Length: 5\r\n", status=b"200 OK"):
    return (
        b"HTTP/1.1 " + status + b"\r\nHopsail-Attempt-Id: " + identifier + b"\r\n" + framing + b"\r\n" + body
    )


def test_a_surplus_answer_in_the_place_of_the_next_is_skipped(runner):
    host = Host(runner)
    call, peer = host.call("mine")
    peer.send(answer_for(b"other", b"wrong"))
    runner.settle()
    assert call.end is None and not call.data and not call.heard
    peer.send(answer_for(b"mine"))
    assert host.ended(call) == "complete" and call.data == b"hello"


def test_a_surplus_answer_and_the_right_one_in_one_piece(runner):
    host = Host(runner)
    call, peer = host.call("mine")
    peer.send(answer_for(b"other", b"wrong") + answer_for(b"mine"))
    assert host.ended(call) == "complete" and call.data == b"hello"


@pytest.mark.parametrize(
    "surplus",
    [
        answer_for(b"other", b"wrong"),
        answer_for(b"other", b"wro"),
        answer_for(b"other", b"wrong", b""),
        answer_for(b"other", b"", b"", b"204 No Content"),
        answer_for(b"other", b"3\r\nabc\r\n0\r\n\r\n", b"Transfer-Encoding: chunked\r\n"),
    ],
    ids=["whole", "cut", "to the close", "without body", "chunks"],
)
def test_a_surplus_answer_and_then_the_end_is_broken(runner, surplus):
    host = Host(runner)
    call, peer = host.call("mine")
    peer.send(surplus)
    peer.close()
    assert host.ended(call) is Failure.BROKEN
    assert not call.heard and not call.data


def test_a_second_answer_that_comes_after_the_next_request_was_written_is_skipped(runner):
    host = Host(runner)
    call, peer = host.call("first")
    peer.send(answer_for(b"first"))
    assert host.ended(call) == "complete"
    again, none = host.call("second")
    assert none is None and again.connection is call.connection
    peer.send(answer_for(b"first", b"again"))
    runner.settle()
    assert again.end is None and not again.heard
    peer.send(answer_for(b"second", b"right"))
    assert host.ended(again) == "complete" and again.data == b"right"
    assert call.data == b"hello" and call.statuses == [200]


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("together", [True, False])
def test_a_body_where_none_may_be_belongs_to_no_request(runner, status, together):
    host = Host(runner)
    call, peer = host.call()
    head = b"HTTP/1.1 " + status + b"\r\nContent-Length: 5\r\n\r\n"
    peer.send(head + b"hello" if together else head)
    assert host.ended(call) == "complete" and not call.data
    if not together:
        peer.send(b"hello")
        runner.until(lambda: not host.pool.connections, "the end of the connection")
    assert not host.pool.connections


def test_an_answer_before_the_body_is_out_ends_the_connection(runner):
    host = Host(runner)
    call = Call()
    call.connection = host.pool.take(host.address)
    body = b"b" * (32 << 20)  # more than the system's buffers take
    call.connection.carry(encode_request("POST", "/a", [("host", "h")], body), call)
    peer = host.accepted()
    peer.receives(b"\r\n\r\n")
    peer.send(SIZED)
    assert host.ended(call) == "complete" and call.data == b"hello"
    assert not host.pool.connections
    again = Call()
    other = host.pool.take(host.address)
    other.carry(encode_request("GET", "/other", [("host", "h")], b""), again)
    host.accepted().receives(b"GET /other")
    rest = peer.ends().partition(b"\r\n\r\n")[2]
    assert len(rest) < len(body) and not rest.strip(b"b")


def test_a_body_that_is_out_but_not_read_is_followed_by_the_next_request(runner):
    host = Host(runner)
    call = Call()
    call.connection = host.pool.take(host.address)
    call.connection.carry(encode_request("POST", "/a", [("host", "h")], b"b" * 20_000), call)
    peer = host.accepted()
    runner.until(lambda: call.connection.request_taken > 20_000, "the body")
    peer.send(SIZED)
    assert host.ended(call) == "complete"
    again, none = host.call()
    assert none is None and again.connection is call.connection
    peer.receives(b"GET /a")
    assert peer.got.partition(b"\r\n\r\n")[2].startswith(b"b" * 20_000 + b"GET /a")


def test_the_answer_to_head_ends_with_its_head(runner):
    host = Host(runner)
    call, peer = host.call(method="HEAD")
    peer.send(OK + b"Content-Length: 5\r\n\r\n")
    assert host.ended(call) == "complete" and not call.data


def test_a_body_that_must_not_be_there_is_dropped(runner):
    host = Host(runner)
    call, peer = host.call(method="HEAD")
    peer.send(SIZED)
    assert host.ended(call) == "complete" and not call.data
    assert not host.pool.connections


def test_an_answer_without_body_by_its_status_is_complete(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(b"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n")
    assert host.ended(call) == "complete" and call.statuses == [204]


def test_trailers_of_an_answer_are_no_headers(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(
        OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nHopsail-Server-Seal: forged\r\n\r\n"
    )
    assert host.ended(call) == "complete"
    assert call.heard[0].header("hopsail-server-seal") is None


# The client: connections


@pytest.mark.parametrize("line", [b"Connection: close\r\n", b"Keep-Alive: timeout=0\r\n"])
def test_a_connection_that_is_to_be_closed_is_not_used_again(runner, line):
    host = Host(runner)
    call, peer = host.call()
    peer.send(OK + line + b"Content-Length: 5\r\n\r\nhello")
    assert host.ended(call) == "complete"
    assert not host.pool.connections


@pytest.mark.parametrize(
    ("line", "last"),
    [
        (b"", IDLE_TIME),
        (b"Keep-Alive: timeout=2\r\n", 1400 * MILLISECOND),
        (b"Keep-Alive: max=9, timeout=2\r\n", 1400 * MILLISECOND),
        (b"Keep-Alive: timeout=1000\r\n", IDLE_TIME),
        (b"Keep-Alive: timeout=\xb2\r\n", IDLE_TIME),
        (b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n", IDLE_TIME),
    ],
    ids=["none", "2 s", "second", "long", "no number", "too long"],
)
def test_a_connection_is_used_again_within_the_time_that_its_host_keeps_it(runner, line, last):
    host = Host(runner)
    call, peer = host.call()
    peer.send(OK + line + b"Content-Length: 5\r\n\r\nhello")
    host.ended(call)
    runner.loop.offset += last - 300 * MILLISECOND
    again, none = host.call()
    assert none is None
    peer.send(OK + line + b"Content-Length: 5\r\n\r\nhello")
    host.ended(again)
    runner.loop.offset += last + MILLISECOND
    _, other = host.call()
    assert other is not None and host.pool.reused == 1


def test_a_connection_that_was_held_up_can_be_used_again(runner):
    host = Host(runner)
    call, peer = host.call()
    take = call.body
    call.body = lambda data: (take(data), call.connection.pause(True))
    peer.send(SIZED)
    assert host.ended(call) == "complete"
    again, none = host.call()
    assert none is None
    peer.send(SIZED)
    assert host.ended(again) == "complete"


def test_an_address_that_refuses_is_told_as_not_sent(runner):
    host = Host(runner)
    host.sock.close()
    call = Call()
    host.pool.take(host.address).carry(encode_request("POST", "/a", [], b"x"), call)
    assert call.end is None
    assert host.ended(call) is Failure.NOT_SENT and not host.pool.connections


def test_a_connection_that_does_not_come_up_is_told_as_not_sent_in_time(runner):
    host = Host(runner)
    host.sock.listen(0)
    filling = [socket.socket() for _ in range(8)]  # the system drops further ones without a word
    for sock in filling:
        sock.setblocking(False)
        sock.connect_ex(host.address)
        runner.own(sock)
    call = Call()
    host.pool.take(host.address).carry(encode_request("POST", "/a", [], b"x"), call)
    runner.settle()
    assert call.end is None
    runner.forward(CONNECT_TIME + MILLISECOND)
    assert call.end is Failure.NOT_SENT
    assert not host.pool.connections


def test_a_call_that_is_abandoned_closes_its_connection_and_tells_nothing(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(SIZED[:-1])
    runner.until(lambda: call.heard, "the head")
    call.connection.abandon()
    assert call.end is None and not host.pool.connections
    peer.ends()


def test_a_pool_gives_no_more_connections_than_its_bound(runner):
    host = Host(runner)
    host.pool.most = 1
    call, peer = host.call()
    assert host.pool.take(host.address) is None
    peer.send(SIZED)
    host.ended(call)
    other = Host(runner)
    assert host.pool.take(other.address) is not None  # an idle one made room
    assert len(host.pool.connections) == 1


def test_idle_connections_to_an_address_are_forgotten(runner):
    host = Host(runner)
    call, peer = host.call()
    peer.send(SIZED)
    host.ended(call)
    host.pool.forget(host.address)
    assert not host.pool.connections
    peer.ends()


# One-shot calls


def test_a_one_shot_call_gives_the_whole_answer_once(runner):
    service = Service(runner, echo)
    client = HttpClient(runner.loop)
    runner.own(client.pool)
    done = []
    client.call(service.address, "POST", "/x", body=b"data", done=done.append)
    assert not done
    runner.until(lambda: done, "the answer")
    assert (done[0].status, done[0].body) == (200, b"/x data")
    assert service.requests[0].header("host") == f"127.0.0.1:{service.address[1]}"
    runner.settle()
    assert len(done) == 1


def test_a_one_shot_call_without_an_answer_in_time(runner):
    service = Service(runner)
    client = HttpClient(runner.loop)
    runner.own(client.pool)
    done = []
    client.call(service.address, "GET", "/x", timeout=500 * MILLISECOND, done=done.append)
    exchange = service.exchange()
    told = []
    exchange.on_gone(lambda: told.append("gone"))
    runner.forward(501 * MILLISECOND)
    assert done == [None]
    runner.until(lambda: told, "news of the leave")
    assert done == [None] and not client.pool.connections


def test_a_call_that_may_not_be_repeated_shares_its_connection_with_no_earlier_one(runner):
    """Answers to one-shot calls bear no id: a second answer to the report would be taken for the order's."""
    host = Host(runner)
    client = HttpClient(runner.loop, host.pool)
    done = []
    client.call(host.address, "GET", "/-/report", done=done.append)
    peer = host.accepted()
    peer.receives(b"\r\n\r\n").send(SIZED)
    runner.until(lambda: done, "the report")
    client.call(host.address, "POST", "/-/order", body=b"{}", done=done.append)
    other = host.accepted()
    peer.send(SIZED)
    runner.settle()
    assert len(done) == 1
    other.receives(b"POST /-/order").send(b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
    runner.until(lambda: len(done) == 2, "the order's answer")
    assert done[1].status == 409
    client.call(host.address, "GET", "/-/report", done=done.append)
    other.receives(b"GET /-/report")  # what may be repeated goes on any


@pytest.mark.parametrize(("method", "reset"), [("POST", True), ("PUT", True), ("GET", False)])
def test_a_call_that_may_not_be_repeated_is_given_up_with_a_reset(runner, method, reset):
    """What a cut holds up of it must not reach the host later."""
    host = Host(runner)
    client = HttpClient(runner.loop, host.pool)
    done = []
    client.call(host.address, method, "/-/order", timeout=500 * MILLISECOND, done=done.append)
    peer = host.accepted()
    peer.receives(b"\r\n\r\n")
    runner.forward(501 * MILLISECOND)
    assert done == [None] and not host.pool.connections
    peer.ends()
    assert peer.reset == reset


def test_what_no_byte_was_written_of_is_told_as_not_sent(runner, monkeypatch):
    host = Host(runner)
    call = Call()
    call.connection = host.pool.take(host.address)
    monkeypatch.setattr(type(call.connection), "_flush", lambda connection: None)
    call.connection.carry(encode_request("POST", "/a", [], b"x"), call)
    peer = host.accepted()
    runner.settle()
    assert call.connection.written_at is not None and not call.connection.request_taken
    peer.close()
    assert host.ended(call) is Failure.NOT_SENT


def test_a_request_is_made_when_its_connection_is_up(runner):
    host = Host(runner)
    call, made = Call(), []

    def encode():
        made.append(call.connection.dialing)
        return encode_request("HEAD", "/a", [("host", "h")], b"")

    call.connection = host.pool.take(host.address)
    call.connection.carry(encode, call)
    assert not made
    peer = host.accepted()
    peer.receives(b"HEAD /a").send(SIZED[:-5])
    assert host.ended(call) == "complete" and made == [False]


# Messages


def test_headers_of_one_connection_are_not_passed_on():
    headers = [
        ("host", "h"),
        ("connection", "close, X-One"),
        ("connection", "x-two"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "5"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("accept", "a"),
        ("accept", "b"),
    ]
    assert end_to_end(headers) == [("host", "h"), ("accept", "a"), ("accept", "b")]


def test_a_request_without_a_body_states_no_length_unless_its_method_has_one():
    assert encode_request("GET", "/a", [], b"") == b"GET /a HTTP/1.1\r\n\r\n"
    assert encode_request("POST", "/a", [], b"") == b"POST /a HTTP/1.1\r\ncontent-length: 0\r\n\r\n"
    assert encode_request("GET", "/a", [], b"x") == b"GET /a HTTP/1.1\r\ncontent-length: 1\r\n\r\nx"


def test_the_path_is_the_target_without_its_query():
    assert Request("GET", "/a/b?c=/d?e", [], b"").path == "/a/b"
