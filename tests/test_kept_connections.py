"""Connections to hosts that carry one request after another: what the earlier ones may leave behind."""

import pytest
from request_journey import IDENTIFIER, MUTATING, SECOND, ClientSide, Plane, answer, declined
from test_http import MILLISECOND, Host, runner  # noqa: F401 (the fixture)

from hopsail.dataplane.execution import Outcome
from hopsail.dataplane.forward import Forwarding
from hopsail.http.client import CLOSE, HttpClient
from hopsail.http.client_connection import RECENT_CALLS
from hopsail.http.message import Request
from hopsail.http.server import Exchange
from hopsail.routing.choice import HostState

ROUTE = MUTATING | {"Name": "r", "Service": "s", "DeadlineMs": 4000, "MaxTries": 3}


class Fleet:
    """A data plane's stand-in whose hosts all have one address, served by hand."""

    def __init__(self, runner, hosts):  # noqa: F811
        self.runner, self.host = runner, Host(runner)
        self.plane = Plane()
        self.plane.loop, self.plane.pool = runner.loop, self.host.pool
        self.plane.hosts = [HostState(f"i-{number}", self.host.address) for number in range(hosts)]

    def ask(self, identifier=IDENTIFIER):
        client = ClientSide(self.runner.loop)
        told = [("host", "h.example"), ("hopsail-attempt-id", identifier)]
        exchange = Exchange(client, Request("POST", "/a", told, b"hello"))
        deadline = self.runner.loop.now() + 4 * SECOND
        Forwarding(self.plane, exchange, ROUTE, None, deadline).start()
        return client

    def answered(self, client):
        self.runner.until(lambda: client.complete, "an answer")
        return client.status, bytes(client.body)


def test_a_second_answer_of_a_host_does_not_stand_for_that_of_the_next_at_its_address(runner):  # noqa: F811
    fleet = Fleet(runner, 4)
    client = fleet.ask()
    peers = []
    for number in range(3):  # the first connection is idle when the third host is asked
        peers.append(fleet.host.accepted())
        peers[-1].receives(f"hopsail-target-instance: i-{number}".encode(), b"hello")
        if number < 2:
            peers[-1].send(declined(421))
    peers[0].ends()
    peers[2].send(answer())
    assert fleet.answered(client) == (200, b"answer")
    assert fleet.plane.outcomes == [Outcome.DECLINED, Outcome.DECLINED, Outcome.COMPLETE]


@pytest.mark.parametrize("between", [0, 1, RECENT_CALLS - 2])
def test_an_id_that_a_client_uses_twice_goes_on_another_connection(runner, between):  # noqa: F811
    fleet = Fleet(runner, 1)
    client = fleet.ask("twice")
    first = fleet.host.accepted()
    first.receives(b"hello").send(answer(identifier="twice"))
    assert fleet.answered(client) == (200, b"answer")
    for number in range(between):
        client = fleet.ask(f"other-{number}")
        first.receives(f"other-{number}".encode()).send(answer(identifier=f"other-{number}"))
        assert fleet.answered(client) == (200, b"answer")
    client = fleet.ask("twice")
    second = fleet.host.accepted()
    second.receives(b"hello").send(answer(body=b"second", identifier="twice"))
    assert fleet.answered(client) == (200, b"second")


def test_a_connection_remembers_no_more_than_the_last_ids(runner):  # noqa: F811
    fleet = Fleet(runner, 1)
    connection = fleet.host.pool.take(fleet.host.address)
    assert all(connection.name_call(str(number)) for number in range(3 * RECENT_CALLS))
    assert len(connection.recent) == RECENT_CALLS
    assert not connection.name_call(str(3 * RECENT_CALLS - 1))


def test_a_call_whose_connection_comes_up_too_late_is_not_written(runner):  # noqa: F811
    host, answers = Host(runner), []
    client = HttpClient(runner.loop, host.pool)
    client.call(host.address, "POST", "/-/order", [], b"{}", 380 * MILLISECOND, answers.append)
    runner.loop.offset += 400 * MILLISECOND  # a pause of the process: sockets' events come before its timers
    runner.settle()
    peer = host.accepted()
    assert peer.quiet() == b"" and answers == [None]


def test_a_report_told_twice_does_not_stand_for_the_next(runner):  # noqa: F811
    host, done = Host(runner), []
    client = HttpClient(runner.loop, host.pool)

    def report(number):
        client.call(host.address, "GET", "/-/report", [CLOSE], done=done.append)
        peer = host.accepted()
        peer.receives(b"connection: close", b"\r\n\r\n")
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnew-%d" % number)
        runner.until(lambda: len(done) == number, "a report")
        return peer

    first = report(1)
    first.ends()
    report(2)
    assert [answer.body for answer in done] == [b"new-1", b"new-2"]


def test_a_report_goes_on_no_connection_that_has_carried_another_call(runner):  # noqa: F811
    host, done = Host(runner), []
    client = HttpClient(runner.loop, host.pool)
    client.call(host.address, "GET", "/-/kv-events", done=done.append)
    host.accepted().receives(b"/-/kv-events").send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    runner.until(lambda: done, "an answer")
    client.call(host.address, "GET", "/-/report", [CLOSE], done=done.append)
    host.accepted().receives(b"/-/report")
