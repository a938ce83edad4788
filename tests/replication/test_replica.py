"""The replica by itself: messages, rules, proposals, members, hand-over, storage that fails."""

import random

import pytest

from hopsail.replication.errors import BusyError, MessageError, NotLeaderError
from hopsail.replication.messages import (
    MESSAGE_TYPES,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    LeaveReply,
    MemberRequest,
    MembersRecord,
    MessageChunk,
    MessageChunkReply,
    RequestVote,
    RequestVoteReply,
    RestartQuery,
    RestartReply,
    TimeoutNow,
    decode,
    encode,
)
from hopsail.replication.replica import Replica
from hopsail.replication.simulation import Simulation
from hopsail.replication.state import MILLISECOND, DurableState, Members, ReplicaConfig

MESSAGES = [
    RequestVote(term=3, last_index=7, last_term=2, pre_vote=True, transfer=False),
    RequestVoteReply(term=3, granted=True, pre_vote=False),
    AppendEntries(
        term=3,
        prev_index=7,
        prev_term=2,
        commit=6,
        heartbeat_round=11,
        sent_at=1 << 60,
        recover_incarnation=5,
        recover_index=6,
        entries=[Entry(term=3, index=8, kind=1, data=b"\0data"), Entry(term=3, index=9, kind=0, data=b"")],
    ),
    AppendEntriesReply(
        term=3,
        success=False,
        match=0,
        hint=4,
        heartbeat_round=11,
        sent_at=1 << 60,
        incarnation=1 << 62,
        recovering=True,
    ),
    InstallSnapshot(
        term=3,
        index=7,
        entry_term=2,
        heartbeat_round=11,
        sent_at=5,
        members=MembersRecord(voters=["a:1", "b:1"], learners=[]),
        data=b"\xff" * 300,
    ),
    InstallSnapshotReply(term=3, match=7, heartbeat_round=11, sent_at=5, incarnation=9, recovering=False),
    TimeoutNow(term=3),
    MessageChunk(
        term=3,
        index=7,
        entry_term=2,
        heartbeat_round=11,
        sent_at=1 << 60,
        total=1 << 20,
        checksum=b"c" * 16,
        offset=1 << 15,
        data=b"\0piece",
    ),
    MessageChunkReply(
        term=3,
        checksum=b"c" * 16,
        offset=0,
        received=1 << 15,
        heartbeat_round=11,
        sent_at=1 << 60,
        incarnation=9,
        recovering=True,
    ),
    MemberRequest(leaving=True),
    LeaveReply(term=3, index=9),
    RequestVote(term=3, last_index=7, last_term=2, pre_vote=False, transfer=False, incarnation=1 << 61),
    RestartQuery(number=1 << 61),
    RestartReply(number=1 << 61, incarnation=1 << 60, fresh=True, may_stand=False, last_term=2, last_index=7),
]


def settled(voters=3, spares=0, seed=0, **options):
    simulation = Simulation(seed, voters=voters, spares=spares, **options)
    leader = simulation.run_until(simulation.settled_leader)
    simulation.run(300 * MILLISECOND)
    return simulation, simulation.nodes[leader].replica, [name for name in simulation.nodes if name != leader]


def test_every_message_comes_back():
    assert {type(message) for message in MESSAGES} == set(MESSAGE_TYPES)
    for message in MESSAGES:
        assert decode(encode(message)) == message


def test_unreadable_bytes_are_refused():
    chance = random.Random(1)
    for message in MESSAGES:
        data = encode(message)
        for size in range(len(data)):
            with pytest.raises(MessageError):
                decode(data[:size])
        for _ in range(300):
            spoilt = bytearray(data)
            spoilt[chance.randrange(len(data))] = chance.randrange(256)
            try:
                decode(bytes(spoilt))
            except MessageError:
                pass
    with pytest.raises(MessageError):
        decode(b"\xee\x00")


def test_rules_are_checked():
    with pytest.raises(ValueError):
        ReplicaConfig("a", lease_duration_ns=500 * MILLISECOND)
    with pytest.raises(ValueError):
        ReplicaConfig("a", heartbeat_interval_ns=700 * MILLISECOND)


def test_single_voter_leads_and_commits_after_its_sync():
    config = ReplicaConfig("a")
    durable = DurableState(members=Members(("a",)), recovered=True)
    replica = Replica(config, random.Random(1), 0, durable, False)
    replica.tick(replica.due)
    ready = replica.take_ready()
    assert ready.must_persist and not replica.is_leader
    replica.persisted(replica.now, ready.serial)
    assert replica.is_leader
    index = replica.propose(replica.now, b"value")
    ready = replica.take_ready()
    assert not ready.committed and replica.commit_index == 0
    replica.persisted(replica.now, ready.serial)
    assert replica.commit_index == index == 2
    assert [entry.data for entry in replica.take_ready().committed][1:] == [b"value"]
    token = replica.read_index(replica.now)
    assert replica.read_ready(token) is False
    replica.take_ready()
    assert replica.read_ready(token) and replica.lease_valid(replica.now)


def test_followers_name_the_leader_and_refuse():
    simulation, leader, (follower, _) = settled()
    with pytest.raises(NotLeaderError) as refused:
        simulation.nodes[follower].replica.propose(simulation.now, b"value")
    assert refused.value.leader == leader.identity


def test_queue_of_uncommitted_entries_is_bounded():
    simulation, leader, others = settled()
    simulation.isolate(leader.identity)
    for number in range(leader.config.max_uncommitted_entries):
        leader.propose(simulation.now, b"%d" % number)
    with pytest.raises(BusyError):
        leader.propose(simulation.now, b"one more")


def test_cut_off_leader_steps_down_and_its_reads_end():
    simulation, leader, _ = settled()
    simulation.isolate(leader.identity)
    token = leader.read_index(simulation.now)
    simulation.run(leader.config.lease_duration_ns)
    assert not leader.lease_valid(simulation.now) and leader.read_ready(token) is False
    simulation.run(400 * MILLISECOND)
    assert not leader.is_leader and leader.read_ready(token) is None


def test_transfer_is_quick_and_ends_the_lease():
    simulation, leader, others = settled()
    started = simulation.now
    simulation.transfer(leader.identity)
    assert not leader.lease_valid(simulation.now)
    successor = simulation.run_until(lambda: (name := simulation.leader()) in others and name)
    assert simulation.now - started < 100 * MILLISECOND
    simulation.run(100 * MILLISECOND)
    assert simulation.propose(successor)


def test_learner_catches_up_and_becomes_a_voter():
    simulation, leader, _ = settled(spares=1, snapshot_after=5)
    for _ in range(100):
        simulation.propose(leader.identity)
        simulation.run(5 * MILLISECOND)
    spare = simulation.nodes["r3"].replica
    assert spare.recovering and spare.last_index == 0 and not leader.is_caught_up("r3")
    simulation.propose_members(leader.identity, leader.voters, ("r3",))
    with pytest.raises(BusyError):
        simulation.propose_members(leader.identity, leader.voters, ())
    simulation.run_until(lambda: leader.is_caught_up("r3"))
    assert not spare.recovering and leader.peer_match("r3") == leader.last_index
    assert leader.last_reply_time("r3") is not None and leader.last_reply_time("nobody") is None
    for voters in [(), ("r0", "r0", "r1")]:
        with pytest.raises(ValueError):
            simulation.propose_members(leader.identity, voters, ())
    simulation.propose_members(leader.identity, (*leader.voters, "r3"), ())
    simulation.run(500 * MILLISECOND)
    assert spare.members == Members(("r0", "r1", "r2", "r3"))
    simulation.check_survival()


def test_leader_that_is_removed_hands_over():
    simulation, leader, others = settled(voters=4)
    simulation.propose_members(leader.identity, tuple(others), ())
    successor = simulation.run_until(lambda: (name := simulation.leader()) in others and name)
    simulation.run(2000 * MILLISECOND)
    assert simulation.leader() == successor and not leader.is_leader
    assert simulation.nodes[successor].replica.term == leader.term or leader.leader is None


def test_leader_with_refusing_disk_hands_over_and_returns():
    simulation, leader, others = settled()
    simulation.nodes[leader.identity].disk.refuses = True
    assert simulation.propose(leader.identity)
    successor = simulation.run_until(lambda: (name := simulation.leader()) in others and name)
    assert leader.durability.failing and not leader.lease_valid(simulation.now)
    simulation.run(1000 * MILLISECOND)
    simulation.propose(successor)
    simulation.run(500 * MILLISECOND)
    assert leader.commit_index > leader.durability.durable_index
    simulation.nodes[leader.identity].disk.refuses = False
    simulation.run(1000 * MILLISECOND)
    assert (
        leader.durability.durable_index == leader.last_index == simulation.nodes[successor].replica.last_index
    )


def test_stalled_disk_ends_leadership_until_it_has_written():
    simulation, leader, _ = settled()
    leader.storage_stalled(simulation.now)
    assert not leader.is_leader and leader.durability.failing
    simulation._work(simulation.nodes[leader.identity])
    simulation.run(100 * MILLISECOND)
    assert not leader.durability.failing


def test_wiped_voter_is_silent_until_a_majority_of_others_has_the_barrier():
    simulation, leader, (wiped, other) = settled()
    simulation.isolate(other)
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    acknowledged = len(simulation.checker.acknowledged)
    assert simulation.propose(leader.identity)
    simulation.run(500 * MILLISECOND)
    replica = simulation.nodes[wiped].replica
    assert replica.recovering and len(simulation.checker.acknowledged) == acknowledged
    simulation.run(3000 * MILLISECOND)
    assert replica.recovering and simulation.leader() is None
    simulation.heal()
    simulation.run_until(lambda: not replica.recovering)
    state = simulation.nodes[wiped].disk.state.hard_state
    assert state.recovered and state.voted_for == simulation.leader() and state.term == replica.term
    simulation.check_survival()


def test_recovering_is_kept_over_a_restart():
    simulation, leader, (wiped, other) = settled()
    simulation.isolate(other)
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    simulation.run(300 * MILLISECOND)
    assert simulation.nodes[wiped].disk.state.last_index > 0
    simulation.crash(wiped)
    simulation.start(wiped)
    assert simulation.nodes[wiped].replica.recovering


def test_status_shows_members_and_peers():
    simulation, leader, others = settled()
    status = leader.status(simulation.now)
    assert status.role == "leader" and status.lease_valid and set(status.peers) == set(others)
    assert all(peer.match == leader.last_index and not peer.recovering for peer in status.peers.values())


def test_snapshot_must_be_applied_and_may_be_large():
    simulation, leader, _ = settled()
    with pytest.raises(ValueError):
        leader.compact(leader.applied_index + 1, b"")
    assert leader.log.snapshot is None
    leader.compact(leader.applied_index, bytes(9 << 20))
    assert leader.log.snapshot.index == leader.applied_index
    with pytest.raises(ValueError):
        leader.compact(leader.applied_index, b"")
