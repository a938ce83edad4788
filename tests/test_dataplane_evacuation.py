"""Hosts in an evacuated zone: what is known of them, and that nothing new reaches them."""

import dataclasses
from itertools import permutations

import pytest
from request_journey import IDEMPOTENT, MUTATING, RESUMABLE, STREAM, Journey, answer
from data_plane_by_hand import ask, feed, headers_of, instance
from test_dataplane_placement import Fleet, prompt
from test_dataplane_placement import instance as placed_instance

from hopsail.dataplane.execution import Outcome
from hopsail.dataplane.forward import Refusal
from hopsail.dataplane.view import FleetView
from hopsail.feed.evacuation import MAX_ZONES, Evacuation
from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic

KINDS = [MUTATING, IDEMPOTENT, STREAM, RESUMABLE]


def tell(view, number, in_force, zone="z1", source="c1"):
    change = Change(Topic.EVACUATION, zone, Evacuation(number, in_force).value)
    view.apply(0, source, {}, [change])


def in_zone(identifier, zone, port=8001):
    return dataclasses.replace(instance(identifier, port=port), zone=zone)


def listed(identifier, zone):
    return dataclasses.replace(placed_instance(identifier), zone=zone)


def ports(plane):
    return [host.address[1] for host in plane.pool.made]


@pytest.fixture
def plane(data_plane):
    """With a host in each of two zones."""
    feed(data_plane.view, instances=[in_zone("i-1", "z1"), in_zone("i-2", "z2", 8002)])
    return data_plane


# The view.


@pytest.mark.parametrize("order", list(permutations([(1, True), (2, False), (3, True)])))
def test_the_highest_number_counts_in_whatever_order_feeds_tell(order):
    view = FleetView()
    for number, in_force in order:
        tell(view, number, in_force, source=f"c{number}")
        tell(view, number, in_force, source="c9")
    assert view.evacuated("z1") and not view.evacuated("z2")


def test_a_withdrawal_is_called_back_once():
    view, withdrawn = FleetView(), []
    view.on_evacuation_withdrawn = withdrawn.append
    tell(view, 1, True)
    assert withdrawn == []
    for source in ("c1", "c2"):
        tell(view, 2, False, source=source)
        tell(view, 1, True, source=source)
    assert withdrawn == ["z1"] and not view.evacuated("z1")
    tell(view, 3, False)  # a withdrawal that was sent again
    assert withdrawn == ["z1"]


def test_hosts_are_looked_at_again_only_when_an_order_changes_something():
    view, looks = FleetView(), []
    view.on_instances = lambda: looks.append(view.evacuated("z1"))
    for number, in_force in [(1, True), (2, True), (1, True), (3, False), (4, False)]:
        tell(view, number, in_force)
    assert looks == [True, False]


def test_the_number_of_zones_is_bounded():
    view = FleetView()
    for number in range(MAX_ZONES + 1):
        tell(view, 1, True, f"z{number}")
    assert len(view.evacuations) == MAX_ZONES and view.unreadable == 1
    tell(view, 2, False, "z7")
    assert not view.evacuated("z7")


@pytest.mark.parametrize("value", [b"", b"1", b"1 yes", b"\xff 1"])
def test_an_unreadable_order_is_passed_over(value):
    view = FleetView()
    view.apply(0, "c1", {}, [Change(Topic.EVACUATION, "z1", value), Change(Topic.BALANCERS, "count", b"7")])
    assert (view.unreadable, view.evacuated("z1"), view.balancers) == (1, False, 7)


def test_a_feed_that_is_not_followed_any_more_takes_no_order_with_it():
    view = FleetView()
    tell(view, 1, True)
    view.forget_source("c1")
    assert view.evacuated("z1")


# The choice of a host.


def test_no_host_of_an_evacuated_zone_is_chosen_and_homes_stay():
    fleet = Fleet(hosts=0)
    fleet.list(*[listed(f"i-{number}", zone="z2" if number < 4 else "z1") for number in range(8)])
    asked = [prompt((f"part-{number}", 700)) for number in range(40)]
    before = [fleet.host(one) for one in asked]
    capacity = fleet.placement.capacity("s")
    tell(fleet.view, 1, True, "z2")
    fleet.placement.renew()
    during = [fleet.host(one) for one in asked]
    assert set(during) <= {f"i-{number}" for number in range(4, 8)}
    assert all(new == old for old, new in zip(before, during, strict=True) if old in during)
    assert fleet.placement.capacity("s") == capacity // 2
    tell(fleet.view, 2, False, "z2")
    fleet.placement.renew()
    assert [fleet.host(one) for one in asked] == before
    assert fleet.placement.capacity("s") == capacity


# Requests under way.


def test_a_request_that_waited_in_the_queue_goes_to_another_zone(plane):
    waiting = []
    plane.gates.offer = lambda service, priority, wait, item: waiting.append(item)
    ask(plane, headers_of())
    tell(plane.view, 1, True, "z1")
    waiting[0].admitted()
    assert ports(plane) == [8002]


def test_without_another_zone_a_request_is_refused_unrun(plane):
    tell(plane.view, 1, True, "z1")
    tell(plane.view, 1, True, "z2")
    client = ask(plane, headers_of())
    assert (client.status, client.header("hopsail-not-executed"), ports(plane)) == (503, "1", [])
    assert plane.counters.counts["refused.no_host"] == 1
    tell(plane.view, 2, False, "z2")
    ask(plane, headers_of())
    assert ports(plane) == [8002]


def test_a_request_at_a_host_runs_on_to_its_end_when_the_zone_is_evacuated(plane):
    tell(plane.view, 1, True, "z2")
    client = ask(plane, headers_of())
    tell(plane.view, 1, True, "z1")
    plane.pool.made[0].says(answer())
    assert client.status == 200 and client.complete


@pytest.mark.parametrize("kind", KINDS)
def test_an_attempt_that_waits_for_its_connection_is_not_written_to_an_evacuated_host(kind):
    journey = Journey(kind, manners=["waits"])
    journey.plane.evacuated.add("i-0")
    journey.host(0).up()
    journey.loop.settle()
    assert not journey.host(0).sent and not journey.host(0).open
    assert journey.plane.outcomes == [Outcome.NOT_SENT]
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200 and journey.plane.budget.spent == 0


def test_an_attempt_that_is_not_written_to_an_evacuated_host_uses_none_of_its_warm_up_quota():
    journey = Journey(manners=["waits"])
    attempt, asked = journey.forwarding.attempt, []
    attempt.placed = attempt.placed._replace(reservation=object())
    journey.plane.may_write = lambda placed: asked.append(placed) or True
    journey.plane.evacuated.add("i-0")
    journey.host(0).up()
    journey.loop.settle()
    assert not asked and not journey.host(0).sent


def test_an_attempt_that_waits_is_refused_when_no_other_host_is_there():
    journey = Journey(hosts=1, manners=["waits"])
    journey.plane.evacuated.add("i-0")
    journey.host(0).up()
    journey.loop.settle()
    assert journey.over() == 503 and journey.sent == 0
    assert journey.plane.refusals == [Refusal.NO_HOST]


def test_a_client_that_leaves_in_that_moment_ends_the_request_once():
    journey = Journey(manners=["waits"])
    journey.plane.evacuated.add("i-0")
    journey.host(0).up()
    journey.exchange.client_gone()
    journey.loop.settle()
    assert journey.sent == 0 and len(journey.pool.made) == 1 and len(journey.plane.ended) == 1


def test_a_retry_goes_to_no_host_of_a_zone_that_is_evacuated_meanwhile(plane):
    plane.may_retry = lambda now, service: True
    feed(plane.view, instances=[in_zone("i-3", "z3", 8003)])
    tell(plane.view, 1, True, "z2")
    tell(plane.view, 1, True, "z3")
    ask(plane, headers_of())
    assert ports(plane) == [8001]
    tell(plane.view, 1, True, "z1")
    tell(plane.view, 2, False, "z3")
    plane.pool.made[0].says(answer(503, b"", seal=None, lines=("Hopsail-Not-Executed: 1",)))
    assert ports(plane) == [8001, 8003]
