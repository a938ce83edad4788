"""Streams of hosts that are processes and are killed: real sockets, whose ends the system tells."""

import json
import signal
import subprocess
import sys

import pytest
from request_journey import (
    IDEMPOTENT,
    IDENTIFIER,
    RESUMABLE,
    SECOND,
    STREAM,
    ClientSide,
    Plane,
    event,
    events,
)
from test_http import Runner

from hopsail.dataplane.execution import Outcome
from hopsail.dataplane.forward import Forwarding
from hopsail.http.message import Request
from hopsail.http.pool import ConnectionPool
from hopsail.http.server import Exchange
from hopsail.routing.choice import HostState

HALF = len(event(4)) // 2
# Answers one request with a head and these bytes; then it waits to be killed, or ends in order.
HOST = """
import json, socket, sys
given = json.loads(sys.argv[1])
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
request = b""
while b"\\r\\n\\r\\n" not in request:
    request += connection.recv(65536)
lines = ["HTTP/1.1 200 OK", f"Hopsail-Attempt-Id: {given['attempt']}", "Hopsail-Server-Seal: 3e1b.07"]
lines += ["Content-Type: text/event-stream", "Connection: close"]
connection.sendall(("\\r\\n".join(lines) + "\\r\\n\\r\\n" + given["says"]).encode())
if given["waits"]:
    sys.stdin.read()
"""


class Fleet:
    """Host processes in the order in which they are asked, and requests to them over a loop with sockets."""

    def __init__(self, runner):
        self.runner, self.children = runner, []
        self.plane = Plane(hosts=0)
        self.plane.loop, self.plane.pool = runner.loop, runner.own(ConnectionPool(runner.loop))

    def add_host(self, says, waits=False):
        given = {"attempt": IDENTIFIER, "says": says.decode(), "waits": waits}
        command = [sys.executable, "-c", HOST, json.dumps(given)]
        child = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.children.append(child)
        port = int(child.stdout.readline())
        self.plane.hosts.append(HostState(f"i-{len(self.children)}", ("127.0.0.1", port)))
        return child

    def ask(self, kind):
        client = ClientSide(self.runner.loop)
        headers = [("host", "h.example"), ("hopsail-attempt-id", IDENTIFIER)]
        exchange = Exchange(client, Request("POST", "/a", headers, b""))
        route = {"Name": "r", "Service": "s", "DeadlineMs": 9000, "MaxTries": 3} | kind
        forwarding = Forwarding(self.plane, exchange, route, None, self.runner.loop.now() + 9 * SECOND)
        forwarding.start()
        return client, forwarding

    def until_over(self, forwarding):
        self.runner.until(lambda: forwarding.ended, "the end of the answer")

    def close(self):
        for child in self.children:
            child.kill()
            child.wait()
            child.stdin.close()
            child.stdout.close()


@pytest.fixture
def fleet():
    runner = Runner()
    one = Fleet(runner)
    yield one
    one.close()
    runner.close()


def kill_when(fleet, child, has_come):
    """Kills a host's process once what it says has come."""
    fleet.runner.until(has_come, "the host's bytes")
    child.send_signal(signal.SIGKILL)
    child.wait()


@pytest.mark.parametrize("had", [0, 3])
def test_a_stream_is_taken_up_when_its_hosts_process_is_killed_within_an_event(fleet, had):
    """Issue 87: the system ends the connection in order, which was taken for the end of the stream."""
    says = events(1, had) + event(had + 1)[:HALF]
    first = fleet.add_host(says, waits=True)
    fleet.add_host(events(had + 1, 6))
    client, forwarding = fleet.ask(RESUMABLE)

    def has_come():
        kept_back = forwarding.splitter.rest if forwarding.splitter is not None else b""
        return bytes(client.body) + kept_back == says

    kill_when(fleet, first, has_come)
    fleet.until_over(forwarding)
    assert client.complete and bytes(client.body) == events(1, 6)
    assert fleet.plane.outcomes == [Outcome.BROKEN, Outcome.COMPLETE]


@pytest.mark.parametrize("kind", [STREAM, IDEMPOTENT], ids=["stream", "idempotent"])
def test_a_stream_that_may_not_be_taken_up_is_cut_when_its_hosts_process_is_killed(fleet, kind):
    says = events(1, 3) + event(4)[:HALF]
    first = fleet.add_host(says, waits=True)
    client, forwarding = fleet.ask(kind)
    kill_when(fleet, first, lambda: bytes(client.body) == says)
    fleet.until_over(forwarding)
    assert not client.complete and client.end == "closed"


def test_a_stream_whose_host_ends_after_its_last_event_is_complete(fleet):
    fleet.add_host(events(1, 6))
    client, forwarding = fleet.ask(RESUMABLE)
    fleet.until_over(forwarding)
    assert client.complete and bytes(client.body) == events(1, 6)
