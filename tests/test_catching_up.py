"""Members that come back far behind: snapshots in pieces, on slow links, beside compaction and faults."""

import pytest
from linked_simulation import SECOND, LinkedSimulation

from hopsail.replication import pieces
from hopsail.replication.replica import Replica
from hopsail.replication.schedule import Weights, play_schedule
from hopsail.replication.simulation import Violation
from hopsail.replication.state import MILLISECOND

SLOW = 5_000_000 // 8  # bytes a second
LEAST_ON_CORE = 120_000_000 // 8
FAULTS = Weights(propose=20, read=0, wipe=5, isolate=4, heal=6, disk=6, power=4)


def settled(rate, seed=0, **options):
    simulation = LinkedSimulation(seed, rate, **options)
    leader = simulation.run_until(simulation.settled_leader)
    simulation.run(300 * MILLISECOND)
    return simulation, leader, [name for name in simulation.nodes if name != leader]


def propose(simulation, size, count=1):
    """Values of about so many bytes, proposed one after the other at whoever leads."""
    for _ in range(count):
        leader = simulation.run_until(simulation.settled_leader)
        node = simulation.nodes[leader]
        value = b"%d/" % node.replica.last_index + bytes(size).replace(b"\0", b"v")
        node.waiting[node.replica.propose(simulation.now, value)] = value
        simulation._work(node)
        simulation.run_until(lambda value=value: value in simulation.checker.acknowledged)


def caught_up(simulation, name):
    leader = simulation.leader()
    if leader is None:
        return False
    node, leading = simulation.nodes[name], simulation.nodes[leader]
    return (
        node.replica is not None
        and not node.replica.recovering
        and node.machine.index == leading.replica.commit_index == leading.replica.last_index
    )


@pytest.mark.parametrize("rate, bound", [(SLOW, 12), (LEAST_ON_CORE, 3)])
def test_large_snapshot_arrives_and_the_leader_stays(rate, bound):
    """A wiped member needs 4 MB; meanwhile the leader keeps its term, and its heartbeats their time."""
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=20)
    simulation.crash(behind, wipe=True)
    propose(simulation, 200_000, 21)
    simulation.run(200 * MILLISECOND)
    term = simulation.nodes[leader].replica.term
    simulation.rate, simulation.longest_wait = rate, 0
    simulation.start(behind)
    simulation.run_until(lambda: caught_up(simulation, behind), bound * SECOND)
    assert simulation.nodes[leader].replica.term == term and simulation.leader() == leader
    assert simulation.longest_wait < 250 * MILLISECOND
    simulation.check_survival()


def test_large_entry_costs_no_leader():
    """An entry of 5 MB goes to two members through one link of 120 Mbit/s."""
    simulation, leader, _ = settled(LEAST_ON_CORE)
    term = simulation.nodes[leader].replica.term
    simulation.longest_wait = 0
    propose(simulation, 5_000_000)
    assert simulation.leader() == leader and simulation.nodes[leader].replica.term == term
    assert simulation.longest_wait < 250 * MILLISECOND


def test_long_entry_is_acknowledged_on_a_slow_link():
    """An entry of 1 MB on 5 Mbit/s: heartbeats are not held up, and the leader stays."""
    simulation, leader, _ = settled(SLOW)
    term = simulation.nodes[leader].replica.term
    simulation.longest_wait = 0
    propose(simulation, 1_000_000)
    assert simulation.leader() == leader and simulation.nodes[leader].replica.term == term
    assert simulation.longest_wait < 350 * MILLISECOND


@pytest.mark.parametrize("changes", [10, 300, 5000])
@pytest.mark.parametrize("loses", ["power", "disk"])
def test_member_comes_back_after_many_changes(changes, loses):
    """The leader compacts meanwhile, and goes on taking changes while the member catches up."""
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=100)
    simulation.crash(behind, wipe=loses == "disk")
    propose(simulation, 300, changes)
    simulation.start(behind)
    propose(simulation, 300, 20)
    simulation.run_until(lambda: caught_up(simulation, behind), 3 * SECOND)
    assert simulation.leader() == leader
    simulation.check_survival()


@pytest.mark.parametrize("rate", [SLOW, LEAST_ON_CORE])
def test_leader_compacts_again_and_again_while_the_snapshot_is_sent(rate):
    """The log goes on after the snapshot that is being sent, so that the member needs no second one."""
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 100_000, 15)
    simulation.rate = rate
    simulation.start(behind)
    for _ in range(30):
        propose(simulation, 1000)
        simulation.run(50 * MILLISECOND)
    simulation.run_until(lambda: caught_up(simulation, behind), 6 * SECOND)
    assert simulation.leader() == leader
    simulation.check_survival()


def test_leader_changes_while_the_snapshot_is_sent():
    simulation, leader, (behind, other) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 200_000, 12)
    simulation.rate = SLOW * 4
    simulation.start(behind)
    for _ in range(3):
        simulation.run(300 * MILLISECOND)
        assert not caught_up(simulation, behind)
        simulation.transfer(simulation.run_until(simulation.settled_leader))
    simulation.run_until(lambda: caught_up(simulation, behind), 8 * SECOND)
    simulation.check_survival()


def test_member_that_restarts_half_way_gets_there():
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 200_000, 12)
    simulation.rate = SLOW * 4
    simulation.start(behind)
    for _ in range(3):
        simulation.run(500 * MILLISECOND)
        assert 0 < simulation.nodes[behind].replica._pieces.held_bytes
        simulation.crash(behind)
        simulation.start(behind)
    simulation.run_until(lambda: caught_up(simulation, behind), 8 * SECOND)
    assert simulation.leader() == leader
    simulation.check_survival()


def test_cut_link_is_taken_up_where_it_stopped():
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 200_000, 12)
    simulation.rate = SLOW * 4
    simulation.start(behind)
    simulation.run(600 * MILLISECOND)
    held = simulation.nodes[behind].replica._pieces.held_bytes
    assert held > 500_000
    simulation.cut(leader, behind)
    simulation.run(SECOND)
    simulation.heal()
    simulation.bytes_sent = 0
    simulation.run_until(lambda: caught_up(simulation, behind), 6 * SECOND)
    assert simulation.bytes_sent < 2_400_000 - held + 700_000
    simulation.check_survival()


@pytest.mark.parametrize("trouble", ["slow", "full"])
def test_disk_in_trouble_while_catching_up(trouble):
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind)
    propose(simulation, 2000, 300)
    disk = simulation.nodes[behind].disk
    disk.delay = (1500 if trouble == "slow" else 5) * MILLISECOND
    disk.refuses = trouble == "full"
    simulation.start(behind)
    propose(simulation, 1000, 5)
    simulation.run(3 * SECOND)
    assert simulation.leader() == leader
    disk.refuses = False
    simulation.run_until(lambda: caught_up(simulation, behind), 6 * SECOND)
    simulation.check_survival()


def test_silent_member_is_not_flooded_and_does_not_keep_the_log():
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.isolate(behind)
    propose(simulation, 50_000, 200)
    simulation.run(11 * SECOND)
    propose(simulation, 50_000, 12)
    log = simulation.nodes[leader].replica.log
    assert log.size_between(0, log.last_index) < 2 << 20
    simulation.bytes_sent = 0
    simulation.run(10 * SECOND)
    assert simulation.bytes_sent < 1 << 20
    simulation.heal()
    simulation.run_until(lambda: caught_up(simulation, behind), 8 * SECOND)
    simulation.check_survival()


def test_leader_keeps_one_older_snapshot_at_most():
    simulation, leader, (first, second, *_) = settled(LEAST_ON_CORE, voters=5, snapshot_after=10)
    simulation.crash(first, wipe=True)
    simulation.crash(second, wipe=True)
    propose(simulation, 200_000, 12)
    simulation.rate = SLOW * 4
    simulation.start(first)
    replica = simulation.nodes[leader].replica
    kept = []
    for number in range(40):
        if number == 12:
            simulation.start(second)
        propose(simulation, 1000)
        sent = [one.transfer.whole for one in replica._progress.values() if one.needs_snapshot]
        kept.append(len({id(whole) for whole in sent}))
    assert max(kept) == 1
    simulation.run_until(lambda: caught_up(simulation, first) and caught_up(simulation, second), 20 * SECOND)
    simulation.check_survival()


class CutsAll(Replica):
    """Sends every entry in pieces."""

    def _is_long(self, index):
        return True


@pytest.mark.parametrize("voters, spares", [(3, 0), (3, 2), (5, 0)])
@pytest.mark.parametrize("factory", [Replica, CutsAll])
def test_schedules_with_many_pieces(monkeypatch, factory, voters, spares):
    """Faults at random, with pieces of a few bytes and a snapshot after every third entry."""
    monkeypatch.setattr(pieces, "PIECE_BYTES", 16)
    acknowledged = 0
    for seed in range(60):
        options = {"voters": voters, "spares": spares, "snapshot_after": 3}
        simulation = play_schedule(seed, weights=FAULTS, factory=factory, **options)
        acknowledged += len(simulation.checker.acknowledged)
    assert acknowledged > 60


def test_entry_that_waits_for_a_slow_disk_is_not_sent_again():
    simulation, leader, others = settled(LEAST_ON_CORE)
    for name in others:
        simulation.nodes[name].disk.delay = 5 * SECOND
    simulation.bytes_sent = 0
    propose(simulation, 500_000)
    assert simulation.bytes_sent < 2 * 500_000 * 1.5


def lose_power(simulation, name, kept):
    """A process ends in the middle of a write, which is found on the disk afterwards or is not."""
    node = simulation.nodes[name]
    if kept and node.writing:
        node.disk.write(node.writing)
    node.writing = None
    simulation.crash(name)


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("whom", ["member", "all"])
@pytest.mark.parametrize("wiped", [True, False])
def test_power_lost_at_every_write_while_catching_up(wiped, whom, kept):
    """After it the leader stays away for a while, so that the member that was behind might lead."""
    installs = 0
    for number in range(12):
        simulation, leader, (behind, other) = settled(LEAST_ON_CORE, seed=number, snapshot_after=10)
        simulation.crash(behind, wipe=wiped)
        propose(simulation, 100, 5)
        simulation.run(11 * SECOND)
        propose(simulation, 100, 70)
        simulation.start(behind)
        node, seen = simulation.nodes[behind], []

        def writes(node=node, seen=seen, number=number):
            if node.writing is not None and all(node.writing is not one for one in seen):
                seen.append(node.writing)
            return len(seen) > number

        try:
            simulation.run_until(writes, 2 * SECOND)
        except Violation:
            break  # there were no more writes
        installs += any(one.snapshot_to_store for one in seen)
        for name in simulation.nodes if whom == "all" else [behind]:
            lose_power(simulation, name, kept)
        if whom == "all":
            simulation.start(other)
        simulation.start(behind)
        simulation.run(3 * SECOND)
        if simulation.nodes[leader].replica is None:
            simulation.start(leader)
        simulation.run_until(lambda name=behind, on=simulation: caught_up(on, name), 10 * SECOND)
        simulation.check_survival()
    assert number >= (3 if wiped else 2) and installs
