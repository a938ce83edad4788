"""Roll-out of weights to simulated hosts, by one owner of the lease and by several."""

import itertools
import random

import pytest

from hopsail.hosts.instance import Address, Phase
from hopsail.weights.load import HostLoad, LoadPhase
from hopsail.weights.rollout import (
    Announce,
    FencingTokenError,
    HostInfo,
    RequestReport,
    Rollout,
    RolloutRules,
    SendOrder,
)
from hopsail.weights.rules import third_of_hosts
from simulated_rollout import DEADLINE, MODEL, MS, LeaseOwner, S, assert_fences_rise, named_at, simulation_of


@pytest.mark.parametrize("hosts, most", [(1, 1), (2, 1), (4, 2), (6, 2), (8, 3), (9, 3), (10, 4), (28, 10)])
def test_more_at_once_when_the_deadline_would_be_missed(hosts, most):
    simulation = simulation_of(hosts)
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE
    assert simulation.most_blocked == most


def test_at_most_twice_as_many_at_once_past_the_deadline():
    simulation = simulation_of(9)
    simulation.run(DEADLINE)
    simulation.named.name(0, 2)
    simulation.run(DEADLINE + 2 * S)
    simulation.finished_at()
    assert simulation.most_blocked == 6


@pytest.mark.parametrize("hosts, at_once", [(1, 1), (2, 1), (6, 2), (9, 3), (28, 9)])
def test_hosts_at_once(hosts, at_once):
    assert third_of_hosts(hosts) == at_once


def test_data_planes_are_notified_before_the_order():
    simulation = simulation_of(1)
    rollout = simulation.owners[0].rollout
    simulation.name(2)
    actions = rollout.step(0, True)
    assert actions == [Announce("i-0-0", HostLoad(LoadPhase.PREPARING, 2, 1, 1))]
    assert rollout.step(149 * MS, True) == []
    assert rollout.due == 150 * MS
    (order,) = rollout.step(150 * MS, True)
    assert isinstance(order, SendOrder)
    assert order.body == {
        "OrderKind": "Revision",
        "Model": MODEL,
        "Revision": 2,
        "Method": "defer",
        "Owner": "node-1",
        "FenceToken": 1,
    }


def test_an_accepted_order_is_followed_by_reports_until_it_is_done():
    simulation = simulation_of(1)
    rollout = simulation.owners[0].rollout
    simulation.name(2)
    rollout.step(0, True)
    rollout.step(150 * MS, True)
    rollout.receive_order_status(160 * MS, "i-0-0", 202)
    (loading,) = rollout.step(160 * MS, True)
    assert loading.load.phase is LoadPhase.LOADING
    assert rollout.due == 510 * MS
    (ask,) = rollout.step(510 * MS, True)
    assert isinstance(ask, RequestReport)
    rollout.receive_report(515 * MS, "i-0-0", {"Saturated": True, "Models": [{"Name": MODEL, "Revision": 1}]})
    assert rollout.step(515 * MS, True) == []
    assert rollout.due == 665 * MS
    assert isinstance(rollout.step(665 * MS, True)[0], RequestReport)
    rollout.receive_report(
        670 * MS, "i-0-0", {"Saturated": False, "Models": [{"Name": MODEL, "Revision": 2}]}
    )
    (done,) = rollout.step(670 * MS, True)
    assert done.load[:2] == (LoadPhase.DONE, 2)
    assert rollout.behind == 0
    assert rollout.loading == {}


def test_nothing_is_done_at_the_target():
    simulation = simulation_of(9)
    simulation.name(1)
    simulation.run(10 * S)
    assert simulation.sent == []
    assert simulation.reports_asked == 0
    assert simulation.loads == {}


@pytest.mark.parametrize("runs_ms, blocked", [(0, 3), (600, 3), (1000, 3), (1200, 6)])
def test_nine_hosts_end_within_the_deadline_three_at_once(runs_ms, blocked):
    """At 1,200 ms a host's report shows the end only past the 2 s for which it may hold its place."""
    simulation = simulation_of(9, runs_ns=runs_ms * MS)
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE
    assert simulation.most_loading <= 3
    assert simulation.most_blocked <= blocked
    assert len(simulation.sent) == 9
    assert all(host.loads == 1 for host in simulation.hosts.values())


def test_a_long_wait_for_runs_raises_the_limit_to_meet_the_deadline():
    simulation = simulation_of(9, runs_ns=2000 * MS)
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE + 500 * MS
    assert len(simulation.sent) == 9


def test_reports_are_requested_only_of_hosts_under_order():
    simulation = simulation_of(9, runs_ns=0, report_lag=0)
    simulation.name(2)
    simulation.finished_at()
    assert simulation.reports_asked <= 2 * 9


@pytest.mark.parametrize("fault, released", [("lost", 1), ("doubled", 0), ("delayed", 1)])
def test_any_single_fault_of_a_message_is_survived(fault, released):
    """A host whose order is lost or late may take over 2 s and lose its place before it is done."""
    plain = simulation_of(9)
    plain.name(2)
    plain.finished_at()
    for faulty in range(plain.message_count):
        simulation = simulation_of(9, fault=lambda number, faulty=faulty: fault if number == faulty else None)
        simulation.name(2)
        assert simulation.finished_at() <= DEADLINE, faulty
        assert simulation.most_loading <= 3, faulty
        assert simulation.most_blocked <= 3 + released, faulty
        assert all(host.loads == 1 for host in simulation.hosts.values()), faulty
        assert len(simulation.sent) <= 9 + 2, faulty
        assert_fences_rise(simulation)


@pytest.mark.parametrize("seed", range(20))
def test_many_faults_are_survived(seed):
    rng = random.Random(seed)
    faults = {n: rng.choice(["lost", "doubled", "delayed"]) for n in range(2000) if rng.random() < 0.25}
    simulation = simulation_of(9, fault=faults.get)
    simulation.name(2)
    assert simulation.finished_at() <= 20 * S
    assert len(simulation.sent) <= 60


def test_a_host_restarted_while_loading_is_ordered_again():
    for restart_ms in range(100, 2000, 100):
        simulation = simulation_of(3)
        simulation.name(2)
        simulation.restart_at(restart_ms * MS, 0)
        assert simulation.finished_at() <= DEADLINE, restart_ms
        assert len(simulation.sent) <= 3 + 6, restart_ms


def test_a_host_that_keeps_its_name_but_lost_the_load_is_ordered_again():
    simulation = simulation_of(1)
    simulation.name(2)

    def lose():
        host = simulation.hosts[0]
        host.restart(simulation.now)
        host.life = 0

    simulation.at(500 * MS, lose)
    assert simulation.finished_at() <= DEADLINE
    assert len(simulation.sent) == 2


def test_a_hung_host_does_not_hold_up_the_others():
    simulation = simulation_of(9)
    simulation.hosts[0].hung = True
    simulation.hosts[1].hung = True
    simulation.name(2)
    simulation.run(DEADLINE)
    assert all(host.revision == 2 for host in simulation.hosts.values() if not host.hung)
    simulation.run(30 * S)
    to_hung = [order for order in simulation.sent if order.host in ("i-0-0", "i-1-0")]
    assert len(to_hung) <= 2 * 30
    simulation.hosts[0].hung = False
    simulation.hosts[1].hung = False
    assert simulation.finished_at() <= 36 * S


def test_a_hung_host_is_usable_again_while_it_waits():
    simulation = simulation_of(1)
    simulation.hosts[0].hung = True
    simulation.name(2)
    simulation.run(2100 * MS)
    assert simulation.loads["i-0-0"].phase is LoadPhase.IDLE


def test_a_host_that_never_ends_its_load_does_not_hold_up_the_others():
    simulation = simulation_of(9)
    simulation.hosts[0].runs_ns = 1000 * S
    simulation.name(2)
    simulation.run(DEADLINE)
    assert all(host.revision == 2 for host in simulation.hosts.values() if host.number)
    assert simulation.loads["i-0-0"].phase is LoadPhase.LOADING
    assert len(simulation.sent) == 9


def test_a_version_not_named_at_the_host_is_tried_again():
    simulation = simulation_of(9, named_from=1 * S, runs_ns=0)
    simulation.name(2)
    simulation.run(900 * MS)
    assert len(simulation.sent) <= 3 * 3
    assert simulation.finished_at() <= DEADLINE


def test_an_order_under_way_is_waited_for():
    simulation = simulation_of(1)
    simulation.hosts[0].order(0, "i-0-0", {"FenceToken": 1, "Revision": 2})
    simulation.name(2)
    simulation.finished_at()
    assert simulation.hosts[0].loads == 1
    assert len(simulation.sent) == 1


def test_a_target_that_rises_meanwhile_is_reached():
    for rise_ms in range(0, 2000, 100):
        simulation = simulation_of(3)
        simulation.name(2)
        simulation.at(rise_ms * MS, lambda simulation=simulation: simulation.name(3))
        simulation.run(rise_ms * MS + 1)
        simulation.finished_at()
        assert all(host.revision == 3 for host in simulation.hosts.values()), rise_ms


def test_a_target_never_falls():
    simulation = simulation_of(1)
    simulation.name(3)
    simulation.name(2)
    simulation.run(200 * MS)
    assert simulation.loads["i-0-0"].revision == 3


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.REMOVED])
def test_hosts_that_leave_are_left_out(phase):
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    rollout.update(0, [HostInfo("i-1", address, 1, phase)], named_at(0, 2))
    assert rollout.step(0, True) == []
    rollout.update(0, [HostInfo("i-1", address, 1, Phase.SERVING)], named_at(0, 2))
    assert len(rollout.step(0, True)) == 1
    rollout.update(10 * MS, [HostInfo("i-1", address, 1, phase)], named_at(0, 2))
    assert rollout.step(200 * MS, True) == []
    assert rollout.loading == {}


def test_idle_hosts_and_loads_begun_by_an_earlier_owner_come_first():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    hosts = [
        HostInfo("i-1", address, 1, Phase.SERVING, in_flight=5),
        HostInfo("i-2", address, 1, Phase.SERVING, in_flight=2),
        HostInfo("i-3", address, 1, Phase.SERVING, in_flight=9, loading=True),
        *(HostInfo(f"i-{n}", address, 1, Phase.SERVING, in_flight=9) for n in range(4, 7)),
    ]
    rollout.update(0, hosts, named_at(0, 2))
    assert [action.host for action in rollout.step(0, True)] == ["i-3", "i-2"]


def test_announcements_are_renewed_before_data_planes_drop_them():
    simulation = simulation_of(1)
    simulation.hosts[0].runs_ns = 20 * S
    simulation.name(2)
    serials = []
    for _ in range(15):
        simulation.run(simulation.now + 1 * S)
        serials.append(simulation.loads["i-0-0"].serial)
    assert len(set(serials)) >= 10


def test_answers_that_are_not_awaited_are_ignored():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    rollout.update(0, [HostInfo("i-1", Address("10.0.0.1", 80), 1, Phase.SERVING)], named_at(0, 2))
    rollout.receive_order_status(0, "i-1", 200)
    rollout.step(0, True)
    rollout.receive_order_status(1 * MS, "i-1", 200)
    rollout.receive_report(1 * MS, "i-1", {"Saturated": False, "Models": [{"Name": MODEL, "Revision": 2}]})
    (order,) = rollout.step(150 * MS, True)
    rollout.receive_order_status(160 * MS, "i-1", 200, order.serial + 1)
    assert rollout.behind == 1
    rollout.receive_order_status(160 * MS, "i-1", 200, order.serial)
    assert rollout.behind == 0


@pytest.mark.parametrize(
    "report",
    [
        None,
        [],
        {"Saturated": False},
        {"Saturated": 0, "Models": [{"Name": MODEL, "Revision": 2}]},
        {"Saturated": False, "Models": [5, {"Name": "other", "Revision": 2}]},
        {"Saturated": False, "Models": [{"Name": MODEL, "Revision": "2"}]},
    ],
)
def test_a_report_that_says_nothing_is_requested_again(report):
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    rollout.update(0, [HostInfo("i-1", Address("10.0.0.1", 80), 1, Phase.SERVING)], named_at(0, 2))
    rollout.step(0, True)
    rollout.step(150 * MS, True)
    rollout.receive_order_status(160 * MS, "i-1", 202)
    rollout.step(510 * MS, True)
    rollout.receive_report(520 * MS, "i-1", report)
    assert rollout.step(520 * MS, True) == []
    assert rollout.loading == {"i-1": LoadPhase.LOADING}
    assert isinstance(rollout.step(rollout.due, True)[0], RequestReport)


def test_fencing_tokens_only_rise():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 5, False)
    for fencing_token in (5, 4):
        with pytest.raises(FencingTokenError):
            rollout.acquire(0, fencing_token, False)
    rollout.release(1)
    with pytest.raises(FencingTokenError):
        rollout.acquire(2, 5, False)
    rollout.acquire(2, 6, False)
    assert rollout.fencing_token == 6


def test_orders_may_be_sent_only_while_the_lease_is_owned():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    assert not rollout.may_send(0, True)
    rollout.acquire(0, 1, False)
    assert rollout.may_send(0, True)
    assert not rollout.may_send(0, False)
    rollout.release(1)
    assert not rollout.may_send(1, True)


def test_the_wait_after_another_owner_is_never_shortened():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, True)
    assert not rollout.may_send(3300 * MS - 1, True)
    rollout.acquire(100 * MS, 2, False)
    assert not rollout.may_send(3300 * MS - 1, True)
    assert rollout.may_send(3300 * MS, True)


def report_of(revision, saturated):
    return {"Saturated": saturated, "Models": [{"Name": MODEL, "Revision": revision}]}


def ordered_rollout(hosts=1):
    """Return a roll-out that has sent its first orders, at 150 ms."""
    rollout = Rollout("node-1", RolloutRules(at_once=lambda count: count), MODEL)
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    rollout.update(0, [HostInfo(f"i-{n}", address, 1, Phase.SERVING) for n in range(hosts)], named_at(0, 2))
    rollout.step(0, True)
    orders = rollout.step(150 * MS, True)
    assert [type(order) for order in orders] == [SendOrder] * hosts
    return rollout


def kinds_until(rollout, until, answer):
    """Step the roll-out to a time, with reports answered at once; return when what was sent."""
    kinds = []
    while rollout.due <= until:
        now = rollout.due
        for action in rollout.step(now, True):
            if isinstance(action, RequestReport):
                rollout.receive_report(now, action.host, answer)
            if not isinstance(action, Announce):
                kinds.append((now, type(action)))
    return kinds


def test_a_report_that_may_be_older_than_the_order_does_not_lead_to_another_order():
    rollout = ordered_rollout()
    rollout.receive_order_status(160 * MS, "i-0", 202)
    kinds = kinds_until(rollout, 1000 * MS, report_of(1, False))
    orders = [at for at, kind in kinds if kind is SendOrder]
    assert kinds[0] == (510 * MS, RequestReport)
    assert orders
    assert orders[0] >= 150 * MS + 600 * MS


def test_orders_that_are_sent_again_are_spaced():
    rollout = ordered_rollout(hosts=6)
    for number in range(6):
        rollout.receive_order_status(160 * MS, f"i-{number}", 421)
    kinds = kinds_until(rollout, 1900 * MS, report_of(1, False))
    orders = [at for at, kind in kinds if kind is SendOrder]
    assert len(orders) >= 6
    assert all(after - before >= 50 * MS for before, after in itertools.pairwise(orders))


def test_a_host_that_lost_its_load_counts_as_not_ordered():
    rollout = ordered_rollout()
    rollout.receive_order_status(160 * MS, "i-0", 202)
    kinds = kinds_until(rollout, 850 * MS, report_of(1, False))
    assert kinds[-1][1] is SendOrder
    rollout.receive_order_status(851 * MS, "i-0", 421)
    while rollout.due < 2000 * MS:
        rollout.step(rollout.due, True)
    assert rollout.loading == {"i-0": LoadPhase.LOADING}
    (given_back,) = rollout.step(2000 * MS, True)
    assert given_back.load.phase is LoadPhase.IDLE
    assert rollout.loading == {}


def test_the_data_planes_are_notified_of_a_target_that_rises_before_the_order():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    host = HostInfo("i-0", Address("10.0.0.1", 80), 1, Phase.SERVING)
    rollout.update(0, [host], named_at(0, 2))
    rollout.step(0, True)
    rollout.update(50 * MS, [host], named_at(50 * MS, 3))
    announce, order = rollout.step(150 * MS, True)
    assert announce.load[:2] == (LoadPhase.PREPARING, 3)
    assert order.body["Revision"] == 3


def test_a_lost_fencing_token_stops_all_orders_until_a_higher_one():
    simulation = simulation_of(9)
    for host in simulation.hosts.values():
        host.highest_fencing_token = 7
    rollout = simulation.owners[0].rollout
    simulation.name(2)
    simulation.run(10 * S)
    assert rollout.is_fenced
    assert len(simulation.sent) == 3
    rollout.acquire(simulation.now, 8, False)
    assert not rollout.is_fenced
    simulation.finished_at()
    assert_fences_rise(simulation)


def test_an_order_is_not_sent_once_the_lease_has_ended():
    for end_ms in range(0, 3000, 70):
        simulation = simulation_of(9)
        simulation.owners[0].lease_until = end_ms * MS
        simulation.name(2)
        simulation.run(20 * S)
        assert all(order.at < end_ms * MS for order in simulation.sent)


@pytest.mark.parametrize("cut_ms", range(0, 2500, 130))
def test_after_a_partition_the_owners_do_not_take_turns_within_the_lease(cut_ms):
    simulation = simulation_of(9)
    old = simulation.owners[0]
    new = simulation.add(LeaseOwner("node-2"))
    lease_end = cut_ms * MS + 1 * S
    old.lease_until = lease_end
    simulation.at(cut_ms * MS, lambda: simulation.cut.add(old.name))
    simulation.at(lease_end, lambda: new.rollout.acquire(simulation.now, 2, True))
    simulation.name(2)
    simulation.run(lease_end + 1)
    simulation.finished_at()
    by_old = [order.at for order in simulation.sent if order.owner == old.name]
    by_new = [order.at for order in simulation.sent if order.owner == new.name]
    assert all(at < lease_end for at in by_old)
    assert all(at >= lease_end + 3 * S for at in by_new)
    assert_fences_rise(simulation)
    assert simulation.most_loading <= 6


def test_a_named_successor_goes_on_at_once():
    simulation = simulation_of(9)
    old = simulation.owners[0]
    new = simulation.add(LeaseOwner("node-2"))

    def hand_over():
        old.rollout.release(simulation.now)
        new.rollout.acquire(simulation.now, 2, False)

    simulation.at(1 * S, hand_over)
    simulation.name(2)
    simulation.run(1 * S + 1)
    assert simulation.finished_at() <= DEADLINE + 1 * S
    assert all(order.owner == new.name for order in simulation.sent if order.at > 1 * S)
    assert_fences_rise(simulation)


def test_a_lease_that_lapses_for_a_moment_is_taken_up_again():
    simulation = simulation_of(9)
    owner = simulation.owners[0]
    owner.lease_until = 200 * MS
    simulation.at(1200 * MS, lambda: setattr(owner, "lease_until", 1 << 62))
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE + 1 * S


def grouped(sizes):
    """Hosts of groups with so many members, all behind."""
    hosts = []
    for group, size in sizes.items():
        for number in range(size):
            address = Address("10.0.0.1", 1000 + len(hosts))
            hosts.append(HostInfo(f"{group}-{number}", address, 1, Phase.SERVING, group=group))
    return hosts


def started_at_once(sizes, rules=None):
    rollout = Rollout("owner", rules or RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    rollout.update(0, grouped(sizes), named_at(0, 2))
    actions = rollout.step(0, True)
    return [action.host.partition("-")[0] for action in actions if isinstance(action, Announce)]


@pytest.mark.parametrize("sizes", [{"a": 2, "b": 4}, {"a": 2, "b": 7}, {"a": 1, "b": 5}, {"a": 3, "b": 6}])
def test_at_most_half_of_a_group_loads_at_once(sizes):
    started = started_at_once(sizes)
    assert len(started) == max(1, sum(sizes.values()) // 3)
    for group, size in sizes.items():
        assert started.count(group) <= max(1, size // 2)


def test_hosts_without_a_group_are_bounded_together_only():
    assert len(started_at_once({"": 9})) == 3


def test_a_slot_that_becomes_free_in_a_group_is_used():
    rollout = Rollout("owner", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    hosts = grouped({"a": 2, "b": 4})
    rollout.update(0, hosts, named_at(0, 2))
    first = {action.host for action in rollout.step(0, True) if isinstance(action, Announce)}
    done = [host._replace(revision=2) if host.identifier in first else host for host in hosts]
    rollout.update(MS, done, named_at(0, 2))
    started = [a for a in rollout.step(MS, True) if isinstance(a, Announce) and a.load.blocks]
    assert len(started) == 2 and not {action.host for action in started} & first


def test_when_the_limit_is_raised_the_bound_of_groups_is_given_up():
    rollout = Rollout("owner", RolloutRules(), MODEL)
    late = RolloutRules().deadline_ns
    rollout.acquire(0, 1, False)
    rollout.update(late, grouped({"a": 2, "b": 1}), named_at(0, 2))
    started = [action for action in rollout.step(late, True) if isinstance(action, Announce)]
    assert len(started) == 2
