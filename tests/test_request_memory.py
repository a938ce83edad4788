"""What a request holds is given back where the request ends, not by the cyclic collector's next run.

The collector is off in these tests: an object that is still there is kept by a reference or a cycle. Guards
against the fault of docs/incidents/review-1-bodies-kept.md, data planes killed for their memory."""

import sys
import weakref

import pytest
from request_journey import (
    EVENTS_HEAD,
    IDEMPOTENT,
    MILLISECOND,
    MUTATING,
    RESUMABLE,
    SECOND,
    STREAM,
    ClientSide,
    Journey,
    answer,
    chunk,
    declined,
    events,
)
from data_plane_by_hand import headers_of
from test_dataplane_stopping import stage  # noqa: F401  (a fixture)

from hopsail.dataplane.forward import MOST_DIALS
from hopsail.http.message import Request
from hopsail.http.server import Exchange
from hopsail.net.loop import Loop

DEADLINE = 4 * SECOND  # of a journey's route


pytestmark = pytest.mark.usefixtures("collector_off")


# How a request ends: its settings, and what happens to it.


def answered(journey):
    journey.host().says(answer())


def answered_in_events(journey):
    journey.host().says(EVENTS_HEAD + chunk(events(1, 2)) + b"0\r\n\r\n")


def client_leaves(journey):
    journey.exchange.client_gone()


def client_leaves_amid_the_answer(journey):
    journey.host().says(answer(length=100))
    journey.exchange.client_gone()


def client_leaves_a_slow_answer(journey):
    journey.host().says(answer(length=1_000_000))
    journey.client.unsent += b"x" * 500_000
    journey.host().says(b"more")
    assert journey.host().paused
    journey.exchange.client_gone()


def deadline_passes(journey):
    journey.loop.forward(DEADLINE)


def deadline_passes_amid_the_answer(journey):
    journey.host().says(answer(length=100))
    journey.loop.forward(DEADLINE)


def host_breaks_off(journey):
    journey.host().ends()


def host_breaks_off_amid_the_answer(journey):
    journey.host().says(answer(length=100)).ends()


def host_sends_no_answer(journey):
    journey.host().says(b"nonsense\r\n\r\n")


def every_host_declines(journey):
    for number in range(journey.route["MaxTries"]):
        journey.host(number).says(declined())


def first_host_declines(journey):
    journey.host().says(declined())


def second_host_answers(journey):
    journey.host().ends()
    journey.host(1).says(answer())


def answered_by_the_next_host(journey):
    journey.host(1).says(answer())


def taken_up_at_a_second_host(journey):
    journey.host().says(EVENTS_HEAD + chunk(events(1, 2))).ends()
    journey.host(1).says(EVENTS_HEAD + chunk(events(3, 4)) + b"0\r\n\r\n")


def client_leaves_after_a_second_attempt(journey):
    journey.host().says(EVENTS_HEAD + chunk(events(1, 2))).ends()
    journey.exchange.client_gone()


def events_are_spoilt(journey):
    journey.host().says(EVENTS_HEAD + chunk(b"id: x" + b"y" * 2_000_000))


def refused_at_the_gate(journey):
    journey.forwarding.refused_by_gate()


def process_ends(journey):
    journey.forwarding.process_ends()


def refused_as_the_process_ends(journey):
    journey.plane.in_time = False
    journey.forwarding.refuse_if_late()


def withdrawn_and_sent_again(journey):
    journey.forwarding.attempt.withdraw()
    journey.loop.settle()
    journey.host(1).says(answer())


def already_over(journey):
    """It has ended at its start."""


ENDS = {
    "answered": (answered, MUTATING, {}),
    "answered on HTTP/1.0": (answered, MUTATING, {"version": "1.0"}),
    "answered in events": (answered_in_events, STREAM, {}),
    "answered in events, resumable": (answered_in_events, RESUMABLE, {}),
    "client gone": (client_leaves, MUTATING, {}),
    "client gone amid the answer": (client_leaves_amid_the_answer, MUTATING, {}),
    "client gone, answer held up": (client_leaves_a_slow_answer, MUTATING, {}),
    "client gone before the connection is up": (client_leaves, MUTATING, {"manners": ["slow"]}),
    "client gone while the host reads": (client_leaves, MUTATING, {"manners": [100]}),
    "deadline": (deadline_passes, MUTATING, {}),
    "deadline amid the answer": (deadline_passes_amid_the_answer, MUTATING, {}),
    "deadline amid the answer, HTTP/1.0": (deadline_passes_amid_the_answer, MUTATING, {"version": "1.0"}),
    "deadline before the connection is up": (deadline_passes, MUTATING, {"manners": ["slow"]}),
    "deadline in the queue": (deadline_passes, MUTATING, {"queued": True}),
    "broken": (host_breaks_off, MUTATING, {}),
    "broken amid the answer": (host_breaks_off_amid_the_answer, MUTATING, {}),
    "no answer": (host_sends_no_answer, MUTATING, {}),
    "declined": (every_host_declines, IDEMPOTENT, {}),
    "declined, no retry allowed": (first_host_declines, IDEMPOTENT, {"allowed": False}),
    "no host": (already_over, MUTATING, {"hosts": 0}),
    "no connection": (already_over, MUTATING, {"manners": ["none"] * MOST_DIALS}),
    "no host takes a connection": (already_over, MUTATING, {"manners": ["refused"] * MOST_DIALS}),
    "retried": (second_host_answers, IDEMPOTENT, {}),
    "connection refused, then answered": (answered_by_the_next_host, MUTATING, {"manners": ["refused"]}),
    "taken up elsewhere": (taken_up_at_a_second_host, RESUMABLE, {}),
    "taken up elsewhere, client gone": (client_leaves_after_a_second_attempt, RESUMABLE, {}),
    "events that can't be passed on": (events_are_spoilt, RESUMABLE, {"allowed": False}),
    "refused at the gate": (refused_at_the_gate, MUTATING, {"queued": True}),
    "queued, client gone": (client_leaves, MUTATING, {"queued": True}),
    "process ends": (process_ends, MUTATING, {}),
    "process ends, queued": (refused_as_the_process_ends, MUTATING, {"queued": True}),
    "process ends, connection on its way": (refused_as_the_process_ends, MUTATING, {"manners": ["slow"]}),
    "withdrawn": (withdrawn_and_sent_again, IDEMPOTENT, {}),
}  # fmt: skip


@pytest.mark.parametrize("name", ENDS)
def test_a_request_that_is_over_holds_neither_its_body_nor_itself(name):
    """Guards against data planes that grow by the bodies of ended requests until they are killed."""
    end, kind, more = ENDS[name]
    body = b"x" * 100_000
    references = sys.getrefcount(body)
    journey = Journey(kind, body=body, **more)
    assert journey.plane.ended or sys.getrefcount(body) > references
    end(journey)
    assert journey.plane.ended, "the request is still under way"
    assert not journey.plane.under_way and not journey.loop.pending
    forwarding, exchange = weakref.ref(journey.forwarding), weakref.ref(journey.exchange)
    journey.plane.ended.clear()
    journey.plane.left.clear()
    del journey.forwarding, journey.exchange
    assert sys.getrefcount(body) == references
    assert forwarding() is None and exchange() is None


# The real data plane: what stands at gates, is counted at hosts, or never becomes a request under way


def has_no_route(scene, body):
    return ask(scene, body, "/none/x")


def has_two_identifiers(scene, body):
    return ask(scene, body, headers=[("hopsail-attempt-id", "0000000000000000")])


def finds_no_configuration(scene, body):
    scene.plane.view.table = None
    return ask(scene, body)


def is_answered_by_its_host(scene, body):
    client = ask(scene, body)
    scene.pool.made[-1].says(answer())
    return client


def waits_and_its_client_leaves(scene, body):
    take_all_places(scene)
    client = ask(scene, body)
    client.exchange.client_gone()
    return client


def waits_for_too_long(scene, body):
    take_all_places(scene)
    client = ask(scene, body)
    scene.loop.forward(DEADLINE // 2)
    return client


def finds_no_room_to_wait(scene, body):
    take_all_places(scene)
    while not ask(scene, b"").complete:
        """Until the queue is full."""
    return ask(scene, body)


def waits_and_gets_a_place_as_its_client_leaves(scene, body):
    first = take_all_places(scene)
    client = ask(scene, body)
    first.exchange.client_gone()  # its place is on its way to the one that waits
    client.exchange.client_gone()
    return client


def waits_until_the_process_ends(scene, body):
    take_all_places(scene)
    client = ask(scene, body)
    scene.terminate()
    scene.loop.forward(DEADLINE)
    return client


def take_all_places(scene):
    """Requests that have all places; the first one's client."""
    scene.plane.view.balancers = 3
    return [ask(scene, b"") for _ in range(scene.plane.gates.places("s"))][0]


def ask(scene, body, target="/mutating/x", headers=()):
    client = ClientSide(scene.loop)
    client.server = scene.front
    request = Request("POST", target, [*headers_of(key=None), *headers], body)
    client.exchange = Exchange(client, request)
    scene.plane.handle(request, client.exchange)
    scene.loop.settle()
    return client


PLANE_ENDS = [
    has_no_route,
    has_two_identifiers,
    finds_no_configuration,
    is_answered_by_its_host,
    waits_and_its_client_leaves,
    waits_for_too_long,
    finds_no_room_to_wait,
    waits_and_gets_a_place_as_its_client_leaves,
    waits_until_the_process_ends,
]


@pytest.mark.parametrize("ends", PLANE_ENDS)
def test_a_data_plane_holds_nothing_of_a_request_that_is_over(stage, ends):  # noqa: F811
    """Guards against bodies kept by gates, by counts of what is under way, or by timers."""
    body = b"x" * 100_000
    references = sys.getrefcount(body)
    client = ends(stage, body)
    stage.loop.forward(20 * MILLISECOND)
    assert client.exchange.ended or client.exchange.gone
    exchange = weakref.ref(client.exchange)
    del client.exchange
    assert exchange() is None and sys.getrefcount(body) == references


# Timers


def test_a_timer_that_is_called_off_holds_nothing_until_its_time():
    """Guards against requests kept by deadlines that are called off, until these would have come."""

    class Deadline:
        def late(self):
            """Never called."""

    loop = Loop()
    deadline = Deadline()
    timer = loop.at(loop.now() + 3600 * SECOND, deadline.late)
    reference = weakref.ref(deadline)
    timer.cancel()
    del deadline
    assert reference() is None
    loop.close()
