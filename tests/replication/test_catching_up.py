"""Members that come back far behind: snapshots in pieces, on slow links, beside compaction and faults."""

import pytest
from replication.linked_simulation import SECOND, LinkedSimulation

from hopsail.replication import log as log_of_replicas
from hopsail.replication import message_chunks
from hopsail.replication.log import MAX_RETAINED_BYTES, RETAINED_ENTRIES
from hopsail.replication.core import Role
from hopsail.replication.messages import (
    AppendEntries,
    Entry,
    InstallSnapshot,
    MessageChunk,
    MessageChunkReply,
    TimeoutNow,
    encode,
)
from hopsail.replication.replica import Replica
from hopsail.replication.schedule import Weights, play_schedule
from hopsail.replication.simulation import ViolationError
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
    simulation.run(4 * SECOND)
    progresses = simulation.nodes[leader].replica._progress.values()
    assert not any(progress.chunk_sender for progress in progresses)  # nothing is kept of it


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


def test_leader_compacts_again_and_again_while_the_snapshot_is_sent():
    """The log goes on after the snapshot that is being sent, so that the member needs no second one."""
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 400_000, 21)
    simulation.rate = SLOW * 4
    simulation.start(behind)
    replica = simulation.nodes[leader].replica
    sent, taken = set(), set()
    progress = replica._progress[behind]
    while progress.recovering or progress.match + 8 < replica.last_index:
        for _ in range(3):
            simulation.propose(leader)
        propose(simulation, 100)
        if progress.needs_snapshot:
            sent.add(progress.chunk_sender.payload.last_index)
        taken.add(replica.log.snapshot_index)
        assert replica.last_index < 1000
    assert len(sent) == 1 and max(taken) - min(taken) > 2 * RETAINED_ENTRIES
    assert simulation.leader() == leader
    simulation.check_survival()


def test_snapshot_is_given_up_for_a_newer_one_when_the_log_after_it_is_gone():
    """A member that answers still, but so slowly that the log grows past its bound meanwhile."""
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 400_000, 12)
    simulation.start(behind)
    simulation.run(200 * MILLISECOND)
    progress = simulation.nodes[leader].replica._progress[behind]
    first = progress.chunk_sender.payload
    simulation.isolate(behind)
    propose(simulation, 400_000, 40)
    replica = simulation.nodes[leader].replica
    assert progress.chunk_sender.payload.last_index >= replica.log.base_index > first.last_index
    assert replica.log.size_between(0, replica.log.snapshot_index) <= MAX_RETAINED_BYTES
    simulation.heal()
    simulation.run_until(lambda: caught_up(simulation, behind), 8 * SECOND)
    simulation.check_survival()


def test_snapshot_is_due_after_many_bytes():
    simulation, leader, _ = settled(LEAST_ON_CORE)
    propose(simulation, 1_000_000, 12)
    log = simulation.nodes[leader].replica.log
    assert log.snapshot_index > 0
    assert log.size_between(0, log.last_index) < 10 << 20


def test_member_that_is_behind_is_not_flooded():
    """3 MB of entries for a member on 5 Mbit/s: no heartbeat waits for more than a few batches."""
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE)
    simulation.crash(behind)
    propose(simulation, 20_000, 150)
    simulation.rate, simulation.longest_wait = SLOW, 0
    simulation.start(behind)
    simulation.run_until(lambda: caught_up(simulation, behind), 10 * SECOND)
    assert simulation.longest_wait < 350 * MILLISECOND and simulation.leader() == leader
    simulation.check_survival()


def test_half_of_a_message_is_forgotten_when_the_log_has_passed_it():
    simulation, leader, (member, _) = settled(LEAST_ON_CORE)
    replica = simulation.nodes[member].replica
    size = message_chunks.CHUNK_BYTES
    index = replica.last_index + 3
    replica._chunk_receiver.add(
        MessageChunk(
            term=1,
            index=index,
            entry_term=1,
            heartbeat_round=1,
            sent_at=1,
            total=2 * size,
            checksum=b"checksum",
            offset=0,
            data=bytes(size),
        )
    )
    propose(simulation, 10, 2)
    simulation.run(300 * MILLISECOND)
    assert replica._chunk_receiver.buffered_bytes == size
    propose(simulation, 10)
    simulation.run(300 * MILLISECOND)
    assert replica._chunk_receiver.buffered_bytes == 0


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
        assert 0 < simulation.nodes[behind].replica._chunk_receiver.buffered_bytes
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
    held = simulation.nodes[behind].replica._chunk_receiver.buffered_bytes
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
    propose(simulation, 50_000, 60)
    log = simulation.nodes[leader].replica.log
    assert log.size_between(0, log.last_index) > 50_000 * 60  # it may be back soon
    simulation.run(11 * SECOND)
    propose(simulation, 50_000, 12)
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
        sent = [one.chunk_sender.payload for one in replica._progress.values() if one.needs_snapshot]
        kept.append(len({id(payload) for payload in sent}))
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
    monkeypatch.setattr(message_chunks, "CHUNK_BYTES", 16)
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
        except ViolationError:
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


def test_snapshot_is_forgotten_when_the_log_reaches_the_member():
    simulation, leader, (behind, _) = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.crash(behind, wipe=True)
    propose(simulation, 400_000, 12)
    simulation.start(behind)
    simulation.run(100 * MILLISECOND)
    replica = simulation.nodes[leader].replica
    progress = replica._progress[behind]
    assert progress.needs_snapshot
    progress.record_match(replica.log.base_index)
    replica.take_ready()
    assert not progress.needs_snapshot


@pytest.mark.parametrize(
    "message",
    [
        TimeoutNow(term=1),
        AppendEntries(
            term=0,
            prev_index=0,
            prev_term=0,
            commit=0,
            heartbeat_round=1,
            sent_at=1,
            recover_incarnation=0,
            recover_index=0,
            entries=[Entry(term=0, index=1, kind=1, data=b"old")],
        ),
        None,
    ],
)
def test_pieces_that_add_up_to_what_is_never_sent_in_pieces_change_nothing(message):
    simulation, leader, (member, _) = settled(LEAST_ON_CORE)
    replica = simulation.nodes[member].replica
    data = encode(message) if message else b"\xff no message"
    term, index = replica.term, replica.last_index
    chunk = MessageChunk(
        term=term,
        index=index + 9,
        entry_term=term,
        heartbeat_round=1,
        sent_at=1,
        total=len(data),
        checksum=message_chunks.checksum_of(data),
        offset=0,
        data=data,
    )
    replica.receive(simulation.now, leader, chunk)
    assert [type(sent) for _, sent in replica.take_ready().messages] == [MessageChunkReply]
    assert (replica.term, replica.last_index, replica.role) == (term, index, Role.FOLLOWER)


def test_piece_of_an_older_leader_is_refused():
    simulation, leader, (member, _) = settled(LEAST_ON_CORE)
    simulation.transfer(leader)
    simulation.run(500 * MILLISECOND)
    replica = simulation.nodes[member].replica
    heard = replica._last_leader_contact_at
    replica.receive(
        simulation.now,
        leader,
        MessageChunk(
            term=1,
            index=99,
            entry_term=1,
            heartbeat_round=1,
            sent_at=1,
            total=1 << 20,
            checksum=b"checksum",
            offset=0,
            data=bytes(100),
        ),
    )
    assert (
        replica.term > 1
        and replica._chunk_receiver.buffered_bytes == 0
        and replica._last_leader_contact_at == heard
    )


def test_piece_is_answered_only_when_its_term_is_synced():
    simulation, leader, (member, _) = settled(LEAST_ON_CORE)
    replica = simulation.nodes[member].replica
    chunk = MessageChunk(
        term=replica.term + 1,
        index=99,
        entry_term=1,
        heartbeat_round=1,
        sent_at=1,
        total=1 << 20,
        checksum=b"checksum",
        offset=0,
        data=bytes(100),
    )
    replica.receive(simulation.now, leader, chunk)
    ready = replica.take_ready()
    assert ready.must_persist and not ready.messages
    assert replica.take_ready() is None
    replica.persisted(simulation.now, ready.serial)
    assert [type(sent) for _, sent in replica.take_ready().messages] == [MessageChunkReply]


def test_log_that_agrees_with_a_snapshot_is_kept():
    """A snapshot that comes late takes nothing away that was acknowledged after it."""
    simulation, leader, (member, _) = settled(LEAST_ON_CORE)
    propose(simulation, 10, 5)
    simulation.run(300 * MILLISECOND)
    replica = simulation.nodes[member].replica
    last, before = replica.last_index, replica.commit_index
    replica.commit_index = before - 3  # as if it had not heard yet
    record = replica.members.to_record()
    late = InstallSnapshot(
        term=replica.term,
        index=before - 1,
        entry_term=replica.term,
        heartbeat_round=1,
        sent_at=1,
        members=record,
        data=b"",
    )
    replica.receive(simulation.now, leader, late)
    assert replica.last_index == last and replica.commit_index == before - 1
    assert replica.log.snapshot is None


def test_installed_snapshot_takes_what_was_never_agreed_off_the_disk():
    """A leader that was cut off has a log that is longer than the snapshot which it is sent afterwards."""
    simulation, old, _ = settled(LEAST_ON_CORE, snapshot_after=10)
    simulation.isolate(old)
    for _ in range(100):
        simulation.propose(old)
    simulation.run(2 * SECOND)
    propose(simulation, 200_000, 45)
    assert simulation.leader() != old
    simulation.heal()
    simulation.run_until(lambda: caught_up(simulation, old), 8 * SECOND)
    node = simulation.nodes[old]
    simulation.run(100 * MILLISECOND)
    replica, kept = node.replica, node.disk.state
    assert kept.snapshot.index <= replica.last_index < 100
    assert kept.entries == replica.log.slice(kept.snapshot.index + 1, replica.last_index)
    assert replica.durability.durable_index == replica.last_index
    simulation.crash(old)
    simulation.start(old)
    simulation.check_survival()


@pytest.mark.parametrize("seed", range(4))
def test_two_members_catch_up_while_the_leader_changes(seed):
    """Each new leader sends both what they still lack, also one that has just caught up and then dies."""
    simulation, leader, (one, two, *_) = settled(LEAST_ON_CORE, seed, snapshot_after=10, voters=5)
    simulation.crash(one, wipe=True)
    simulation.crash(two)
    propose(simulation, 200_000, 12)
    simulation.rate = SLOW * 8
    simulation.start(one)
    simulation.start(two)
    for _ in range(3):
        simulation.run(400 * MILLISECOND)
        simulation.transfer(simulation.run_until(simulation.settled_leader))
    last = simulation.run_until(simulation.settled_leader)
    simulation.crash(last)
    simulation.run(500 * MILLISECOND)
    simulation.start(last)
    simulation.run_until(lambda: caught_up(simulation, one) and caught_up(simulation, two), 15 * SECOND)
    simulation.check_survival()


def test_leader_that_restarts_with_a_compacted_log_serves_a_member_further_behind():
    """Its log begins at its snapshot; the member needs that, whoever of the others leads."""
    simulation, leader, (behind, other) = settled(LEAST_ON_CORE, snapshot_after=20)
    propose(simulation, 100, 5)
    simulation.crash(behind)
    propose(simulation, 100, 100)
    for name in (leader, other):
        simulation.crash(name)
    for name in (leader, other):
        simulation.start(name)
    new = simulation.run_until(simulation.settled_leader)
    log = simulation.nodes[new].replica.log
    assert log.base_index == log.snapshot_index > 80
    simulation.start(behind)
    simulation.run_until(lambda: caught_up(simulation, behind), 3 * SECOND)
    assert simulation.nodes[behind].replica.log.snapshot_index > 80 and simulation.leader() == new
    simulation.check_survival()


class HoldsChangesOpen(Replica):
    """Stays in the joint state of a change for as long as the test wants."""

    holds = True

    def _finish_change(self):
        if not self.holds:
            super()._finish_change()


def test_member_installs_a_snapshot_taken_in_a_joint_state(monkeypatch):
    """It counts both sets of voters, also after a restart, and the change is finished with its vote."""
    monkeypatch.setattr(log_of_replicas, "RETAINED_ENTRIES", 1)
    simulation, leader, (behind, leaving, _) = settled(
        LEAST_ON_CORE, snapshot_after=5, spares=1, factory=HoldsChangesOpen
    )
    monkeypatch.setattr(HoldsChangesOpen, "holds", False)
    simulation.propose_members(leader, (leader, behind, leaving), ("r3",))
    simulation.run_until(lambda: caught_up(simulation, "r3"))
    monkeypatch.setattr(HoldsChangesOpen, "holds", True)
    simulation.crash(behind, wipe=True)
    simulation.run(11 * SECOND)
    simulation.propose_members(leader, (leader, behind, "r3"), ())
    propose(simulation, 100, 20)
    assert simulation.nodes[leader].replica.log.snapshot.members.is_joint
    simulation.start(behind)
    simulation.run_until(lambda: caught_up(simulation, behind), 5 * SECOND)
    joint = simulation.nodes[behind].replica.log.snapshot.members
    assert joint.is_joint and set(joint.outgoing) == {leader, behind, leaving}
    simulation.crash(behind)
    simulation.start(behind)
    assert simulation.nodes[behind].replica.members == joint
    monkeypatch.setattr(HoldsChangesOpen, "holds", False)
    simulation.crash(leader)
    new = simulation.run_until(simulation.settled_leader)
    simulation.run_until(lambda: not simulation.nodes[new].replica.members.is_joint)
    simulation.start(leader)
    simulation.run_until(lambda: simulation.settled_leader() and caught_up(simulation, behind))
    voters = {leader, behind, "r3"}
    assert all(set(simulation.nodes[name].replica.voters) == voters for name in voters)
    simulation.check_survival()
