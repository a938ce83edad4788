"""Requests that their client sends before it has the answers to earlier ones."""

from request_journey import MILLISECOND, ClientSide
from data_plane_by_hand import feed, headers_of, instance
from test_http import Service, echo, post, runner  # noqa: F401 (the fixture)

from hopsail.http.message import Request
from hopsail.http.server import Exchange


def test_the_time_of_a_pipelined_request_is_counted_from_when_it_came(runner):  # noqa: F811
    service = Service(runner)
    client = service.client(post("/first") + post("/second"))
    first = service.exchange()
    came = first.began
    runner.loop.offset += 700 * MILLISECOND
    client.send(post("/third"))
    runner.settle()
    runner.loop.offset += 700 * MILLISECOND
    first.respond(200)
    second = service.exchange(1)
    second.respond(200)
    third = service.exchange(2)
    assert came <= second.began < came + 100 * MILLISECOND
    assert came + 700 * MILLISECOND <= third.began < came + 800 * MILLISECOND


def pipelined(plane, waited_ms):
    """A request that has waited for so long for its turn."""
    client = ClientSide(plane.loop)
    headers = [*headers_of(), ("hopsail-deadline-ms", "2000")]
    came_at = plane.loop.now() - waited_ms * MILLISECOND
    exchange = Exchange(client, Request("POST", "/a/b", headers, b"x", came_at=came_at))
    plane.handle(exchange.request, exchange)
    plane.loop.settle()
    return client


def test_a_host_is_told_what_a_pipelined_request_has_left(plane):
    feed(plane.view, instances=[instance()])
    client = pipelined(plane, 700)
    (host,) = plane.pool.made
    assert host.told("hopsail-deadline-ms") == "1300"
    plane.loop.forward(1300 * MILLISECOND)
    assert client.status == 504 and not host.open


def test_a_pipelined_request_whose_time_is_over_is_sent_to_no_host(plane):
    feed(plane.view, instances=[instance()])
    client = pipelined(plane, 2000)
    plane.loop.forward(0)
    assert client.status == 504 and not plane.pool.made and not plane.in_flight
