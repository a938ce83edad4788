"""Versions named while an earlier one's time still runs: each keeps the time that it was given."""

from random import Random

import pytest
from data_plane_by_hand import ask, feed, headers_of
from data_plane_by_hand import instance as host_instance
from request_journey import STREAM, Journey, answer
from test_controlplane_rollouts import MODEL, Plane
from test_dataplane_forward import ONCE, REPEATABLE
from test_dataplane_placement import Fleet, instance

from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, ModelRevision, Phase
from hopsail.weights.actions import SendOrder
from hopsail.weights.load import HostLoad, LoadPhase, encode_load
from hopsail.weights.named_revisions import MAX_NAMED, NamedRevisions
from hopsail.weights.rollout import HostInfo, Rollout, RolloutRules

MS = 1_000_000
S = 1_000 * MS
ALLOWED = 6_500 * MS  # from the naming of a version until no request goes to a host without it


def fleet_at(*revisions):
    """Hosts i-0, i-1, ... on these revisions."""
    fleet = Fleet(hosts=0)
    fleet.list(*[instance(f"i-{number}", revision=held) for number, held in enumerate(revisions)])
    return fleet


@pytest.mark.parametrize("gap", [1 * MS, 500 * MS, 4 * S, ALLOWED - MS])
def test_a_newer_version_does_not_extend_the_time_of_an_earlier_one(gap):
    fleet = fleet_at(1, 2, 3)
    named_at = fleet.now
    fleet.names(2)
    fleet.now += gap
    fleet.names(3)
    fleet.now = named_at + ALLOWED
    assert fleet.all_hosts() == {"i-0", "i-1", "i-2"}
    fleet.now = named_at + ALLOWED + MS // 2
    assert fleet.all_hosts() == {"i-1", "i-2"}
    fleet.now = named_at + gap + ALLOWED + MS // 2
    assert fleet.all_hosts() == {"i-2"}


def test_the_host_whose_time_ends_first_is_ordered_first():
    rollout = Rollout("core-1", RolloutRules(), "m")
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    hosts = [HostInfo(f"i-{number}", address, 2 if number < 8 else 1, Phase.SERVING) for number in range(9)]
    named = NamedRevisions()
    named.name(0, 2)
    named.name(4 * S, 3)
    rollout.update(4 * S, hosts, named)
    rollout.step(4 * S, True)
    orders = [action.host for action in rollout.step(4 * S + 200 * MS, True) if isinstance(action, SendOrder)]
    assert "i-8" in orders


def orders_after(rollout, now):
    rollout.step(now, True)
    return [one.host for one in rollout.step(now + 200 * MS, True) if isinstance(one, SendOrder)]


def rollout_with(revisions, *named_at):
    """A roll-out over hosts on these revisions; revision 2 and those after it were named at these times."""
    rollout, named = Rollout("core-1", RolloutRules(), "m"), NamedRevisions()
    rollout.acquire(0, 1, False)
    for revision, when in enumerate(named_at, 2):
        named.name(when, revision)
    address = Address("10.0.0.1", 80)
    hosts = [HostInfo(f"i-{n}", address, held, Phase.SERVING) for n, held in enumerate(revisions)]
    rollout.update(named_at[-1], hosts, named)
    return rollout


def test_more_load_at_once_when_the_time_of_an_earlier_version_would_be_missed():
    """With 1.9 s for a load, six hosts that have 2.4 s left don't fit into one wave of three."""
    revisions = [1] * 6 + [2] * 3
    assert len(orders_after(rollout_with(revisions, 0, 4100 * MS), 4100 * MS)) == 6
    assert len(orders_after(rollout_with(revisions, 0, 100 * MS), 100 * MS)) == 3


def test_versions_named_again_and_again_leave_no_host_on_one_whose_time_is_over():
    """A host that never loads is out of use from the first version's time on, whatever follows."""
    fleet = fleet_at(1, 9)
    start = fleet.now
    for step in range(8):
        fleet.names(2 + step)
        fleet.now += 1 * S
        used = fleet.all_hosts()
        assert ("i-0" in used) == (fleet.now - start <= ALLOWED)
        assert "i-1" in used


# What a process that has just started is told


def named(*at):
    """Revision 2 and those after it, named at these times."""
    revisions = NamedRevisions()
    for revision, when in enumerate(at, 2):
        revisions.name(when, revision)
    return revisions


def test_a_control_process_reports_which_versions_time_is_over():
    control = Plane()  # its host never shows a load
    control.name(2)
    control.run(4 * S)
    control.name(3)
    control.run(2400 * MS)
    assert control.journal.get(Topic.REQUIRED, MODEL) is None
    control.run(200 * MS)
    assert control.journal.get(Topic.REQUIRED, MODEL) == b"2"
    control.run(3800 * MS)
    assert control.journal.get(Topic.REQUIRED, MODEL) == b"2"
    control.run(200 * MS)
    assert control.journal.get(Topic.REQUIRED, MODEL) == b"3"


def test_a_data_plane_that_starts_late_uses_no_host_whose_time_is_over():
    fleet = fleet_at(1, 2, 3)
    fleet.names(3)
    fleet.tell(Change(Topic.REQUIRED, "m", b"2"))
    assert fleet.all_hosts() == {"i-1", "i-2"}
    fleet.tell(Change(Topic.REQUIRED, "m", b"1"))  # by a process that is behind
    assert fleet.all_hosts() == {"i-1", "i-2"}
    fleet.now += ALLOWED + MS
    assert fleet.all_hosts() == {"i-2"}


def test_what_is_required_may_come_before_the_naming():
    fleet = fleet_at(1, 2)
    fleet.tell(Change(Topic.REQUIRED, "m", b"2"))
    assert fleet.all_hosts() == {"i-1"}
    fleet.names(2)
    assert fleet.all_hosts() == {"i-1"}


# Instants of namings


def test_each_revision_keeps_its_instant():
    revisions = named(10, 20, 30)
    assert [revisions.superseded_at(held) for held in (1, 2, 3, 4)] == [10, 20, 30, None]
    assert not revisions.name(40, 4) and not revisions.name(40, 3)
    assert revisions.newest == 4


@pytest.mark.parametrize("seed", range(20))
def test_a_host_is_overdue_when_any_newer_revisions_time_is_over(seed):
    """Against a list of all namings that nothing is ever taken from."""
    random = Random(seed)
    revisions, every, now, newest = NamedRevisions(8 * S), [], 0, 1
    for _ in range(400):
        now += random.choice([MS, 400 * MS, 3 * S])
        if random.random() < 0.5:
            newest += random.randint(1, 3)
            revisions.name(now, newest)
            every.append((newest, now))
        held, allowed = random.randint(0, newest + 1), random.choice([6500 * MS, 7500 * MS, 8 * S])
        expected = any(revision > held and now > at + allowed for revision, at in every)
        assert revisions.is_overdue(now, held, allowed) == expected
        required = max((revision for revision, at in every if now > at + allowed), default=0)
        assert revisions.required(now, allowed) == required


def test_very_many_namings_are_bounded_on_the_strict_side():
    revisions = NamedRevisions(8 * S)
    for number in range(10_000):
        revisions.name(number * MS, number + 2)
    assert len(revisions) <= MAX_NAMED
    for held in range(1, 10_001, 7):
        assert revisions.superseded_at(held) <= max(0, held - 1) * MS
    assert revisions.superseded_at(10_001) is None


# Requests that wait


HELD = 3  # the revision on which the stand-in for the data plane believes its hosts to be
MODEL_HEADERS = [("hopsail-model", "m"), ("hopsail-token-count", "9,1")]


def waiting(kind, **more):
    return Journey(kind, MODEL_HEADERS, **more)


def supersede(journey):
    journey.plane.superseded.add(HELD)
    journey.forwarding.withdraw_if_superseded()
    journey.loop.settle()


@pytest.mark.parametrize("kind", REPEATABLE)
def test_a_request_that_waits_on_superseded_weights_goes_elsewhere_if_it_may_run_twice(kind):
    journey = waiting(kind)
    journey.forwarding.withdraw_if_superseded()
    assert journey.sent == 1 and journey.host(0).open
    supersede(journey)
    assert not journey.host(0).open and journey.sent == 2
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200


@pytest.mark.parametrize("kind", ONCE)
def test_one_that_may_have_begun_is_answered_at_once_without_a_promise(kind):
    journey = waiting(kind)
    supersede(journey)
    assert not journey.host(0).open and journey.sent == 1
    assert journey.over() == 502


@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_one_that_was_never_written_goes_elsewhere(kind):
    journey = waiting(kind, manners=["silent", "up"])
    assert journey.sent == 0
    journey.plane.superseded.add(HELD)
    journey.forwarding.withdraw_if_superseded()
    assert not journey.host(0).open
    journey.plane.superseded.clear()
    journey.loop.settle()
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200 and journey.sent == 1


@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_one_that_has_begun_goes_on(kind):
    journey = waiting(kind)
    journey.host(0).says(answer(200, b"whole", length=5)[:-2])
    supersede(journey)
    assert journey.host(0).open
    journey.host(0).says(b"le")
    assert journey.over() == 200


def test_a_request_without_a_model_waits_on():
    journey = Journey(STREAM)
    supersede(journey)
    assert journey.host(0).open


def test_how_long_a_request_may_wait_goes_by_the_first_version_that_its_host_lacks():
    fleet = fleet_at(1)
    start = fleet.now
    fleet.names(2)
    fleet.now += 4 * S
    fleet.names(3)
    fleet.now = start + 7500 * MS
    assert fleet.placement.may_wait(fleet.now, "m", 1)
    assert not fleet.placement.may_wait(fleet.now + 1, "m", 1)
    assert fleet.placement.may_wait(fleet.now + 1, "m", 2)
    assert fleet.placement.may_wait(fleet.now + 1, "other", 1)


def test_a_data_plane_withdraws_in_time_and_holds_nothing_against_the_host(plane):
    """The real data plane, whose tick looks at what waits; its host then has loaded the version."""
    models = (ModelRevision("m", 1),)
    feed(plane.view, instances=[host_instance("i-1", models=models)], now=plane.loop.now())
    plane._tick()
    named_at = plane.loop.now()
    plane.view.apply(named_at, "c1", {}, [Change(Topic.TARGET, "m", b"2")])
    plane.loop.forward(ALLOWED - S)
    client = ask(plane, headers_of() + MODEL_HEADERS)
    assert len(plane.pool.made) == 1 and plane.pool.made[0].open
    while plane.loop.now() < named_at + 7400 * MS:
        plane.loop.forward(100 * MS)
    assert plane.pool.made[0].open and not client.bytes
    while plane.loop.now() < named_at + 7800 * MS:
        plane.loop.forward(100 * MS)
    assert not plane.pool.made[0].open and client.status == 502
    assert plane.counters.counts["attempts.withdrawn"] == 1
    done = Change(Topic.LOAD, "i-1", encode_load(HostLoad(LoadPhase.DONE, 2, 1, 1)))
    plane.view.apply(plane.loop.now(), "c1", {}, [done])
    ask(plane, headers_of(identifiers=("77",)) + MODEL_HEADERS)
    assert len(plane.pool.made) == 2 and plane.pool.made[1].told("expect-version") == "2"
