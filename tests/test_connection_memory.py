"""A connection that is over holds nothing: no half-read body, no waiting request, no answer that is not out.

The collector is off in these tests: a connection that is still there is kept by a reference or a cycle, and
with it what it carried. Guards against processes that grow by what clients left behind (docs/incidents/
review-1-bodies-kept.md)."""

import gc
import socket
import sys
import weakref
from functools import partial

import pytest
from test_http import LOCAL, SIZED, TO_CLOSE, Call, Host, Runner, Service, echo, post, request

from hopsail.http.client import HttpClient
from hopsail.http.client_connection import CONNECT_TIME
from hopsail.http.message import encode_request
from hopsail.http.server_connection import LINGER_TIME
from hopsail.net.stream import listening

LONG = 1_000_000  # bytes of a body: more than sockets on loopback take while nobody reads
MILLISECOND = 1_000_000
ROUNDS = 50  # of the loop, after which what is still there is kept


pytestmark = pytest.mark.usefixtures("collector_off")


@pytest.fixture
def runner():
    one = Runner()
    yield one
    one.close()


def freed(runner, reference):
    for _ in range(ROUNDS):
        if reference() is None:
            return
        runner.settle()
    raise AssertionError(f"still there, kept by {[type(one) for one in gc.get_referrers(reference())]}")


def the_only(connections):
    """A weak reference to the one connection."""
    (connection,) = connections
    return weakref.ref(connection)


# A client's connection to a server


def leaves_amid_a_body(runner, service):
    client = service.client(post(body=b"x" * LONG)[:-10])
    runner.until(lambda: body_read(service) == LONG - 10)
    return client.close


def body_read(service):
    return sum(len(connection.parser.body) for connection in service.server.connections)


def leaves_amid_a_head(runner, service):
    client = service.client(b"GET /a HTTP/1.1\r\nHost: h")
    runner.until(lambda: service.server.connections)
    runner.settle()
    return client.close


def leaves_with_requests_that_wait(runner, service):
    service.answer = None
    client = service.client(post() + post(body=b"y" * 10_000) * 3)
    runner.until(lambda: any(len(one.waiting) == 3 for one in service.server.connections))
    return client.close


def leaves_with_an_answer_unread(runner, service):
    service.answer = lambda asked, exchange: exchange.respond(200, b"x" * 8 * LONG)
    client = service.client(request())
    runner.until(lambda: any(one.unsent for one in service.server.connections))
    return client.close


def leaves_amid_an_answer(runner, service):
    service.answer = None
    client = service.client(post())
    exchange = service.exchange()
    exchange.on_gone(exchange.abort)
    exchange.on_drained(partial(exchange.send, b""))
    exchange.start(200, [], 100)
    exchange.send(b"x")
    client.receives(b"x")
    service.exchanges.clear()
    return client.close


def leaves_idle(runner, service):
    client = service.client(post()).receives(b"hello")
    return client.close


def has_an_answer_cut_off(runner, service):
    service.answer = None
    service.client(post() + post())
    exchange = service.exchange()
    exchange.start(200, [], 100)
    service.exchanges.clear()
    return exchange.abort


def is_closed_without_an_answer(runner, service):
    service.answer = None
    service.client(post() + post())
    exchange = service.exchange()
    service.exchanges.clear()
    return exchange.close_connection


def is_idle_for_too_long(runner, service):
    service.client(post()).receives(b"hello")
    return lambda: runner.forward(service.limits.idle_timeout_ms * MILLISECOND)


def sends_nonsense(runner, service):
    client = service.client(b"nonsense\r\n\r\n").receives(b"400")
    return client.close


def sends_too_long_a_body(runner, service):
    service.limits.body_bytes = 10
    client = service.client(post(body=b"x" * 100)).receives(b"413")
    return client.close


def is_told_to_close_amid_its_next_body(runner, service):
    service.server.drain()
    service.client(post() + post(body=b"x" * 1000)[:-10]).receives(b"hello")
    return lambda: runner.forward(LINGER_TIME)


def is_there_when_the_server_closes(runner, service):
    service.client(post(body=b"x" * 1000)[:-10])
    runner.until(lambda: service.server.connections)
    return service.server.close


CLIENT_ENDS = [
    leaves_amid_a_body,
    leaves_amid_a_head,
    leaves_with_requests_that_wait,
    leaves_with_an_answer_unread,
    leaves_amid_an_answer,
    leaves_idle,
    has_an_answer_cut_off,
    is_closed_without_an_answer,
    is_idle_for_too_long,
    sends_nonsense,
    sends_too_long_a_body,
    is_told_to_close_amid_its_next_body,
    is_there_when_the_server_closes,
]


@pytest.mark.parametrize("ends", CLIENT_ENDS)
def test_a_clients_connection_that_is_over_is_freed(runner, ends):
    """Guards against half-read bodies and waiting requests of clients that have left, kept in memory."""
    service = Service(runner, echo)
    end = ends(runner, service)
    connection = the_only(service.server.connections)
    parser = weakref.ref(connection().parser)
    service.exchanges.clear()
    end()
    del end
    freed(runner, connection)
    freed(runner, parser)


def test_requests_that_wait_go_with_their_client_though_the_one_before_them_goes_on(runner):
    """Guards against bodies kept by a request whose client has gone, for as long as that request takes."""
    service = Service(runner)
    client = service.client(post() + post(body=b"y" * 10_000) * 3)
    exchange = service.exchange()
    runner.until(lambda: len(exchange.connection.waiting) == 3)
    client.close()
    runner.until(lambda: exchange.gone)
    assert not exchange.connection.waiting


def test_an_answer_that_is_over_is_not_kept_by_its_connection(runner):
    """Guards against requests kept by a client that keeps its connection and asks for nothing more."""
    service, done = Service(runner), Done([])
    client = service.client(post())
    exchange = service.exchange()
    exchange.on_gone(done.take)
    exchange.on_drained(done.drained)
    exchange.respond(200, b"hello")
    client.receives(b"hello")
    references = weakref.ref(exchange), weakref.ref(done)
    service.exchanges.clear()
    del exchange, done
    assert [reference() for reference in references] == [None, None]
    assert service.server.connections


def test_what_a_client_sent_behind_its_last_request_is_not_kept_while_it_reads_the_answer(runner):
    """Guards against bodies that nobody will ask for, kept until a slow client has closed its end."""
    service = Service(runner, echo)
    service.server.drain()  # answers tell clients to close
    behind = post(body=b"y" * 1000) + post(body=b"x" * 1000)[:-10]
    client = service.client(post() + behind).receives(b"hello")
    (connection,) = service.server.connections
    assert connection.lingering and not connection.waiting and not connection.parser.body
    client.ends()


# A connection to a host


def carried(runner, host, body=b"", call=None):
    """A call whose request the pool's connection carries, and a weak reference to the connection."""
    call = call or Call()
    connection = host.pool.take(host.address)
    connection.carry(encode_request("POST", "/a", [("host", "h")], body), call)
    call.connection = connection  # as an attempt has its own
    return call, weakref.ref(connection)


def is_abandoned(runner, host):
    call, connection = carried(runner, host, b"x" * 8 * LONG)
    peer = host.accepted().receives(b"POST")
    runner.until(lambda: connection().unsent)
    connection().abandon()
    assert peer.sock
    return call, connection


def is_abandoned_before_it_is_up(runner, host):
    call, connection = carried(runner, host, b"x" * LONG)
    connection().abandon()
    return call, connection


def is_refused(runner, host):
    host.address = gone_address()
    call, connection = carried(runner, host, b"x" * LONG)
    host.ended(call)
    return call, connection


def does_not_come_up(runner, host):
    sock = runner.own(listening(LOCAL, 0))
    for _ in range(3):  # the system's queue is full: what follows gets no answer
        one = runner.own(socket.socket())
        one.setblocking(False)
        one.connect_ex(sock.getsockname())
    host.address = sock.getsockname()
    call, connection = carried(runner, host, b"x" * LONG)
    runner.forward(CONNECT_TIME)
    host.ended(call)
    return call, connection


def gone_address():
    sock = listening(LOCAL, 1)
    address = sock.getsockname()
    sock.close()
    return address


def host_ends_it_amid_the_request(runner, host):
    call, connection = carried(runner, host, b"x" * 8 * LONG)
    host.accepted().receives(b"POST").close()
    host.ended(call)
    return call, connection


def host_answers_nonsense(runner, host):
    call, connection = carried(runner, host)
    host.accepted().receives(b"\r\n\r\n").send(b"nonsense\r\n\r\n")
    host.ended(call)
    return call, connection


def host_answers_and_closes(runner, host):
    call, connection = carried(runner, host)
    host.accepted().receives(b"\r\n\r\n").send(TO_CLOSE).close()
    host.ended(call)
    return call, connection


def host_closes_it_when_idle(runner, host):
    call, connection = carried(runner, host)
    peer = host.accepted().receives(b"\r\n\r\n").send(SIZED)
    host.ended(call)
    peer.close()
    return call, connection


def its_address_is_forgotten(runner, host):
    call, connection = carried(runner, host)
    host.accepted().receives(b"\r\n\r\n").send(SIZED)
    host.ended(call)
    host.pool.forget(host.address)
    return call, connection


def its_answer_is_given_up_as_it_comes(runner, host):
    class GivenUp(Call):
        def head(self, head):
            self.connection.abandon()
            return False

    call, connection = carried(runner, host, call=GivenUp())
    host.accepted().receives(b"\r\n\r\n").send(SIZED + SIZED)
    runner.until(lambda: not call.connection.open)
    return call, connection


HOST_ENDS = [
    is_abandoned,
    is_abandoned_before_it_is_up,
    is_refused,
    does_not_come_up,
    host_ends_it_amid_the_request,
    host_answers_nonsense,
    host_answers_and_closes,
    host_closes_it_when_idle,
    its_address_is_forgotten,
    its_answer_is_given_up_as_it_comes,
]


@pytest.mark.parametrize("ends", HOST_ENDS)
def test_a_connection_to_a_host_that_is_over_holds_nothing_and_is_freed(runner, ends):
    """Guards against requests that hosts have not taken, kept with the connection that was to carry them."""
    host = Host(runner)
    call, connection = ends(runner, host)
    runner.until(lambda: not call.connection.open)
    assert not call.connection.unsent and call.connection.request is None
    call.connection = None
    freed(runner, connection)


def test_a_request_that_its_host_has_taken_is_not_kept_by_the_connection_as_well(runner):
    """Guards against each body kept twice, by its request and by the connection that carried it."""
    host = Host(runner)
    call, _ = carried(runner, host, b"x" * 8 * LONG)
    peer = host.accepted()
    runner.until(lambda: len(peer.quiet()) > 8 * LONG)
    assert sys.getsizeof(call.connection.unsent) < LONG / 100 and call.connection.request is None


# One-shot calls


@pytest.mark.parametrize("answered", [True, False])
def test_a_one_shot_call_that_is_over_is_freed(runner, answered):
    """Guards against calls of hosts and of the platform that keep their answers, or their timers."""
    host = Host(runner)
    client, came = HttpClient(runner.loop, host.pool), []

    done = Done(came)
    client.call(host.address, "POST", "/a", body=b"x" * 1000, timeout=100 * MILLISECOND, done=done.take)
    peer = host.accepted().receives(b"x" * 1000)
    if answered:
        peer.send(SIZED)
    runner.until(lambda: came)
    reference = weakref.ref(done)
    del done
    freed(runner, reference)


class Done:
    """Who waits for the answer to a call, or for its end."""

    def __init__(self, came):
        self.came = came

    def take(self, response=None):
        self.came.append(response)

    def drained(self):
        """The client has taken all that was written."""
