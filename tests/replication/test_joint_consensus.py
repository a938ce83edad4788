"""Changes of voters by joint consensus: both sets decide, whatever is lost while a change is under way."""

from random import Random

import pytest

from hopsail.replication.errors import BusyError
from hopsail.replication.log import RETAINED_ENTRIES, Log
from hopsail.replication.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    InstallSnapshot,
    RequestVote,
)
from hopsail.replication.progress import NEVER
from hopsail.replication.records import ShardState, ShardWrite, SnapshotRecord, shard_record
from hopsail.replication.replica import Replica
from hopsail.replication.schedule import Weights, play_schedule
from hopsail.replication.simulation import Simulation, ViolationError
from hopsail.replication.state import MILLISECOND, DurableState, Members, Ready, ReplicaConfig, Snapshot
from hopsail.replication.structs import Struct, decode_struct, encode_struct

SWAPS = Weights(propose=14, members=16)
WIPES = Weights(propose=14, read=0, wipe=10, freeze=0, isolate=6, heal=6, disk=0, power=0, members=10)


# Replicas with one guard broken.


class CommitsByNewVoters(Replica):
    def _majority(self, own, of_peer):
        return self._majority_of(self.members.voters, own, of_peer)


class CommitsByOldVoters(Replica):
    def _majority(self, own, of_peer):
        return self._majority_of(self.members.outgoing or self.voters, own, of_peer)


class _CountsVotesOf(Replica):
    def _counted(self):
        raise NotImplementedError

    def _has_majority_of_votes(self):
        counted = self._counted()
        return len(self._votes.intersection(counted)) > len(counted) // 2


class ElectedByNewVoters(_CountsVotesOf):
    def _counted(self):
        return self.members.voters


class ElectedByOldVoters(_CountsVotesOf):
    def _counted(self):
        return self.members.outgoing or self.voters


class FinishesAtOnce(Replica):
    """Does not wait until both sets have agreed."""

    def propose_members(self, now, voters, learners=()):
        index = super().propose_members(now, voters, learners)
        if self.members.is_joint:
            self._append_members(self.members.final())
        return index


class ChangesWithoutJoint(Replica):
    """The new voters decide as soon as the leader has them in its log."""

    def _append_members(self, members):
        return super()._append_members(members.final())


class NeverFinishes(Replica):
    def _finish_change(self):
        pass


class LeadsOnThoughRemoved(Replica):
    def _is_removed(self):
        return False


class ForgetsThoseWhoWent(Replica):
    """What a member said before it was removed is not kept for its return, nor the order of messages heeded.

    Either of the two is enough here: `test_replication_earlier_life.py` has the second one alone."""

    def _update_member_progress(self):
        super()._update_member_progress()
        self._former_progress.clear()

    def _process_reply(self, peer, reply):
        if peer in self._progress:
            self._progress[peer].answered_sent_at = NEVER
        return super()._process_reply(peer, reply)


class LeavesItsOldVotersAlone(Replica):
    """Asks only those who are voters after the change."""

    @property
    def is_voter(self):
        return self.identity in self.voters


# Helpers.


def settled(voters=3, spares=1, seed=0, factory=Replica, **options):
    """A simulation with a leader, and all spares as learners that have caught up."""
    simulation = Simulation(seed, voters=voters, spares=spares, factory=factory, **options)
    leader = simulation.run_until(simulation.settled_leader)
    replica = simulation.nodes[leader].replica
    learners = tuple(name for name in simulation.nodes if name not in simulation.initial.voters)
    simulation.run(300 * MILLISECOND)
    if learners:
        simulation.propose_members(leader, replica.voters, learners)
        simulation.run_until(lambda: all(replica.is_caught_up(name) for name in learners))
        simulation.run(300 * MILLISECOND)
    return simulation, leader, [name for name in simulation.initial.voters if name != leader]


def swap(simulation, leader, gone, coming, learners=()):
    """The leader proposes that one takes the place of another."""
    replica = simulation.nodes[leader].replica
    kept = tuple(name for name in replica.voters if name != gone)
    simulation.propose_members(leader, (*kept, coming), learners)


def changes_in(message):
    """The members in the entries of a message."""
    if not isinstance(message, AppendEntries):
        return []
    return [Members.decode(entry.data) for entry in message.entries if entry.kind == EntryKind.MEMBERS]


def has_joint(message):
    return any(members.is_joint for members in changes_in(message))


def has_final(message):
    return any(not members.is_joint for members in changes_in(message))


def acknowledged(simulation, leader, duration=300 * MILLISECOND):
    """Whether a value that this leader takes now is acknowledged within a while."""
    before = len(simulation.checker.acknowledged)
    simulation.propose(leader)
    simulation.run(duration)
    return len(simulation.checker.acknowledged) > before


def cut_between(simulation, one_side, other_side):
    for one in one_side:
        for other in other_side:
            simulation.cut(one, other)
            simulation.cut(other, one)


def agreed_members(simulation):
    """The members that all living voters agree on, none of them in a change."""
    leader = simulation.settled_leader()
    if leader is None:
        return None
    members = simulation.nodes[leader].replica.members
    replicas = [simulation.nodes[name].replica for name in members.voters]
    settled = not members.is_joint and all(one is None or one.members == members for one in replicas)
    return members if settled else None


# Records.


def test_joint_members_come_back_from_their_record():
    joint = Members(("a", "b", "d"), ("c",), ("a", "b", "c"))
    assert Members.decode(joint.encode()) == joint
    assert joint.all == ("a", "b", "d", "c")
    assert joint.final() == Members(("a", "b", "d"), ("c",))
    assert joint.is_quorum({"a", "b"}) and not joint.is_quorum({"a", "d"}) and not joint.is_quorum({"a", "c"})


def test_members_written_before_there_were_joint_ones_are_read():
    class EarlierRecord(Struct):
        voters: list[str]
        learners: list[str]

    earlier = encode_struct(EarlierRecord(voters=["a", "b"], learners=["c"]))
    assert Members.decode(earlier) == Members(("a", "b"), ("c",))
    assert earlier == Members(("a", "b"), ("c",)).encode()
    assert decode_struct(EarlierRecord, earlier) == EarlierRecord(voters=["a", "b"], learners=["c"])


def test_a_snapshot_taken_in_the_middle_of_a_change_keeps_both_sets():
    joint = Members(("a", "b", "d"), (), ("a", "b", "c"))
    snapshot = Snapshot(9, 2, joint, b"data")
    kept = shard_record(ShardWrite("shard", Ready(snapshot_to_store=snapshot))).snapshot
    state = ShardState()
    state.apply(shard_record(ShardWrite("shard", Ready(snapshot_to_store=snapshot))))
    assert decode_struct(SnapshotRecord, encode_struct(kept)) == kept
    assert Log(state.durable().snapshot, [], Members()).members == joint


def test_the_log_tells_who_voted_before_a_change():
    log = Log(None, [], Members(("a", "b", "c")))
    joint = Members(("a", "b", "d"), (), ("a", "b", "c"))
    log.append([Entry(term=1, index=1, kind=int(EntryKind.MEMBERS), data=joint.encode())])
    assert log.members == joint and set(log.previous_electors) == {"a", "b", "c"}
    log.append([Entry(term=1, index=2, kind=int(EntryKind.MEMBERS), data=joint.final().encode())])
    assert set(log.previous_electors) == {"a", "b", "c", "d"}
    log.truncate(2)
    assert log.members == joint
    log.truncate(1)
    assert log.members == Members(("a", "b", "c")) and log.previous_electors == ()


def other_leader(simulation, leader):
    """The settled leader that has taken the place of this one."""
    return simulation.run_until(
        lambda: (name := simulation.settled_leader()) != leader and name, 5000 * MILLISECOND
    )


def wait_until_agreed(simulation):
    """The members that all living voters agree on, at last."""
    return simulation.run_until(lambda: agreed_members(simulation))


# What both sets decide.


def test_several_voters_are_exchanged_in_one_step():
    simulation, leader, others = settled(voters=5, spares=2)
    replica = simulation.nodes[leader].replica
    gone = others[:2]
    for name in gone:
        simulation.crash(name)
    kept = tuple(name for name in replica.voters if name not in gone)
    simulation.propose_members(leader, (*kept, "r5", "r6"), ())
    assert replica.members == Members((*kept, "r5", "r6"), (), replica.members.outgoing)
    with pytest.raises(BusyError):
        simulation.propose_members(leader, kept, ())
    simulation.run(200 * MILLISECOND)
    assert agreed_members(simulation) == Members((*kept, "r5", "r6"))
    for name in others[2:4]:
        simulation.crash(name, wipe=True)
    assert acknowledged(simulation, leader)


def test_a_change_of_learners_needs_no_joint_members():
    simulation, leader, _ = settled()
    replica = simulation.nodes[leader].replica
    simulation.propose_members(leader, replica.voters, ())
    assert not replica.members.is_joint


def commits_while_cut_from(factory, old):
    """Whether a leader commits in the joint state without a majority of one of the sets."""
    simulation, leader, others = settled(voters=3, spares=3, factory=factory)
    new = ("r3", "r4", "r5")
    simulation.intercept = lambda sender, receiver, message: (
        isinstance(message, AppendEntries) and bool(message.entries) and receiver in (others if old else new)
    )
    simulation.propose_members(leader, (leader, *new[:2]) if old else new, ())
    index = simulation.nodes[leader].replica.last_index
    simulation.run(1000 * MILLISECOND)
    if any(node.replica.commit_index >= index for node in simulation.nodes.values()):
        raise ViolationError("one of the two sets has decided alone")
    simulation.intercept = None
    simulation.check_survival()
    wait_until_agreed(simulation)


def commits_without_new_voters(factory):
    commits_while_cut_from(factory, old=False)


def commits_without_old_voters(factory):
    commits_while_cut_from(factory, old=True)


def two_sets_apart(factory):
    """The joint entry is on one side only; then the old and the new voters are cut from each other."""
    for seed in range(12):
        simulation, leader, others = settled(voters=3, spares=2, seed=seed, factory=factory)
        new = (leader, "r3", "r4")
        simulation.intercept = lambda sender, receiver, message, others=others: (
            receiver in others and bool(changes_in(message))
        )
        simulation.propose_members(leader, new, ())
        simulation.run(20 * MILLISECOND)
        simulation.intercept = None
        cut_between(simulation, new, others)
        for _ in range(40):
            simulation.run(50 * MILLISECOND)
            for name in simulation.nodes:
                simulation.propose(name)
        simulation.check_survival()
        wait_until_agreed(simulation)


def old_voters_apart(factory):
    """Both sets know of the change, one leads; the others are cut off with a majority of one set only."""
    for seed in range(6):
        for apart in ("old", "new"):
            simulation, leader, others = settled(voters=3, spares=2, seed=seed, factory=factory)
            new = (leader, "r3", "r4")
            simulation.intercept = lambda sender, receiver, message: has_final(message)
            simulation.propose_members(leader, new, ())
            simulation.run(100 * MILLISECOND)
            side = others if apart == "old" else ["r3", "r4"]
            cut_between(simulation, side, [name for name in simulation.nodes if name not in side])
            simulation.run(3000 * MILLISECOND)
            if set(side).intersection(simulation.checker.leaders.values()):
                raise ViolationError(f"the {apart} voters have elected a leader alone")
            simulation.intercept = None
            simulation.check_survival()


def test_a_lease_and_reads_need_both_sets():
    for kept in ("old", "new"):
        simulation, leader, others = settled(voters=3, spares=2)
        replica = simulation.nodes[leader].replica
        simulation.intercept = lambda sender, receiver, message: has_joint(message)
        simulation.propose_members(leader, (leader, "r3", "r4"), ())
        cut_between(simulation, [leader], ["r3", "r4"] if kept == "old" else others)
        token = replica.read_index(simulation.now)
        simulation.run(replica.config.lease_duration_ns + 50 * MILLISECOND)
        assert replica.is_leader and not replica.lease_valid(simulation.now)
        assert replica.read_ready(token) is False
        simulation.run(200 * MILLISECOND)
        assert not replica.is_leader


# A change that is interrupted.

STEPS = {
    "before the joint entry": lambda sender, receiver, message: True,
    "joint entry only at the leader": lambda sender, receiver, message: has_joint(message),
    "joint entry on a minority": lambda sender, receiver, message: has_joint(message) and receiver != "r3",
    "joint entry committed": lambda sender, receiver, message: has_final(message),
    "final entry on a minority": lambda sender, receiver, message: has_final(message) and receiver != "r3",
    "final entry committed": lambda sender, receiver, message: False,
}


@pytest.mark.parametrize("wipe", [False, True])
@pytest.mark.parametrize("gone_is_leader", [False, True])
@pytest.mark.parametrize("step", STEPS)
def test_the_leader_is_lost_in_each_step_of_a_swap(step, gone_is_leader, wipe):
    for seed in range(4):
        simulation, leader, others = settled(seed=seed)
        assert acknowledged(simulation, leader)
        gone = leader if gone_is_leader else others[0]
        before = simulation.nodes[leader].replica.members
        simulation.intercept = STEPS[step]
        if step != "before the joint entry":
            swap(simulation, leader, gone, "r3", (gone,))
        simulation.run(60 * MILLISECOND)
        simulation.crash(leader, wipe=wipe)
        simulation.intercept = None
        successor = other_leader(simulation, leader)
        assert acknowledged(simulation, successor)
        members = wait_until_agreed(simulation)
        assert set(members.voters) in (set(before.voters), (set(before.voters) - {gone}) | {"r3"})
        if "committed" in step:
            assert "r3" in members.voters
        simulation.start(leader)
        simulation.check_survival()
        assert not wait_until_agreed(simulation).is_joint


@pytest.mark.parametrize("outward", [False, True])
def test_the_leader_is_cut_off_one_way_in_a_swap(outward):
    for seed in range(6):
        simulation, leader, others = settled(seed=seed)
        for other in simulation.nodes:
            simulation.cut(*((leader, other) if outward else (other, leader)))
        swap(simulation, leader, others[0], "r3", (others[0],))
        successor = other_leader(simulation, leader)
        assert acknowledged(simulation, successor)
        assert not simulation.nodes[leader].replica.is_leader
        simulation.check_survival()
        wait_until_agreed(simulation)


def swap_then_loss_of_the_leader(factory):
    """The change is agreed; the leader is lost before the final entry is anywhere else."""
    simulation, leader, others = settled(factory=factory)
    simulation.intercept = lambda sender, receiver, message: has_final(message)
    swap(simulation, leader, others[0], "r3")
    simulation.run(100 * MILLISECOND)
    simulation.intercept = None
    simulation.crash(leader)
    simulation.run(3000 * MILLISECOND)
    if agreed_members(simulation) is None:
        raise ViolationError("nobody finishes the change")


def leader_that_is_swapped_out(factory):
    simulation, leader, others = settled(factory=factory)
    swap(simulation, leader, leader, "r3", (leader,))
    simulation.run(1500 * MILLISECOND)
    successor = simulation.settled_leader()
    if successor in (None, leader) or simulation.nodes[leader].replica.is_leader:
        raise ViolationError("a leader that is no voter leads on")
    if not acknowledged(simulation, successor):
        raise ViolationError("nothing is acknowledged")


def leader_that_alone_holds_its_removal(factory):
    """One of those that stay is lost: the leader, in whose log it is no voter any more, is needed."""
    simulation, leader, others = settled(factory=factory)
    simulation.intercept = lambda sender, receiver, message: has_final(message)
    swap(simulation, leader, leader, "r3")
    simulation.run(100 * MILLISECOND)
    simulation.crash(others[0])
    simulation.crash("r3")
    simulation.nodes[leader].writing = None
    simulation.crash(leader)
    simulation.intercept = None
    simulation.start(leader)
    simulation.start("r3")
    simulation.run(3000 * MILLISECOND)
    if simulation.settled_leader() is None:
        raise ViolationError("nobody is elected")
    simulation.check_survival()


def removed_and_wiped_and_back(factory):
    """A reply from before a member lost its disk comes after it was removed, wiped and taken in again."""
    simulation, leader, others = settled(spares=0, factory=factory)
    gone, replica, held = others[0], simulation.nodes[leader].replica, []

    def intercept(sender, receiver, message):
        if (
            sender == gone
            and isinstance(message, AppendEntriesReply)
            and simulation.nodes[gone].incarnation == 1
        ):
            held.append(message)
        return False

    simulation.intercept = intercept
    assert acknowledged(simulation, leader)
    simulation.crash(gone, wipe=True)
    simulation.propose_members(leader, tuple(name for name in replica.voters if name != gone), ())
    simulation.run(200 * MILLISECOND)
    simulation.start(gone)
    simulation.propose_members(leader, replica.voters, (gone,))
    simulation.run_until(lambda: replica.is_caught_up(gone))
    simulation.deliver_after(0, gone, leader, held[-1])
    simulation.run(500 * MILLISECOND)
    simulation.propose_members(leader, (*replica.voters, gone), ())
    simulation.run(500 * MILLISECOND)
    assert acknowledged(simulation, leader)
    if replica.peer_match(gone) < simulation.nodes[gone].replica.commit_index:
        raise ViolationError("the present incarnation is ignored")
    simulation.check_survival()


# Members that were removed.


def removed(seed=0):
    """A simulation in which a voter was cut off and swapped for a learner that is now a voter."""
    simulation, leader, others = settled(seed=seed)
    gone = others[0]
    simulation.isolate(gone)
    swap(simulation, leader, gone, "r3")
    simulation.run(300 * MILLISECOND)
    assert agreed_members(simulation).voters == (*(n for n in simulation.initial.voters if n != gone), "r3")
    return simulation, leader, gone, others[1]


def test_a_removed_member_does_not_disturb_those_who_hear_a_leader():
    for seed in range(5):
        simulation, leader, gone, _ = removed(seed)
        term = simulation.nodes[leader].replica.term
        simulation.heal()
        simulation.run(5000 * MILLISECOND)
        assert simulation.settled_leader() == leader
        assert simulation.nodes[leader].replica.term == term


def test_a_removed_member_is_not_elected_when_no_leader_is_heard():
    for seed in range(5):
        simulation, leader, gone, other = removed(seed)
        simulation.heal()
        simulation.crash(leader)
        simulation.run(3000 * MILLISECOND)
        assert simulation.settled_leader() in (other, "r3")
        assert simulation.nodes[gone].replica.term <= simulation.nodes[other].replica.term
        assert gone not in simulation.checker.leaders.values()
        assert simulation.leader() != gone


def test_a_removed_members_vote_does_not_count():
    simulation, leader, gone, other = removed()
    simulation.heal()
    simulation.crash(leader)
    simulation.crash("r3")
    simulation.run(5000 * MILLISECOND)
    assert simulation.leader() is None  # one voter of three, and one that was removed


def test_a_removed_member_comes_back_as_learner_with_its_old_disk():
    simulation, leader, gone, _ = removed()
    replica = simulation.nodes[leader].replica
    simulation.crash(gone)
    simulation.heal()
    simulation.start(gone)
    simulation.run(2000 * MILLISECOND)
    assert simulation.settled_leader() == leader
    simulation.propose_members(leader, replica.voters, (gone,))
    simulation.run_until(lambda: replica.is_caught_up(gone))
    simulation.run(300 * MILLISECOND)
    assert simulation.nodes[gone].replica.members == replica.members
    assert not simulation.nodes[gone].replica.is_voter
    term = replica.term
    simulation.run(3000 * MILLISECOND)
    assert replica.is_leader and replica.term == term


def test_a_removed_leader_that_believes_it_leads_acknowledges_nothing():
    simulation, leader, others = settled()
    stale = simulation.nodes[leader].replica
    stale._check_quorum = lambda: None  # as one whose clock stands still would go on
    simulation.isolate(leader)
    later = simulation.run_until(lambda: (name := simulation.settled_leader()) in others and name)
    swap(simulation, later, leader, "r3")
    simulation.run(300 * MILLISECOND)
    assert agreed_members(simulation)
    simulation.heal()
    cut_between(simulation, [leader], others)  # it reaches only the one that has taken its place
    assert stale.is_leader and not stale.lease_valid(simulation.now)
    assert not acknowledged(simulation, leader, 1000 * MILLISECOND)
    assert not stale.lease_valid(simulation.now)
    simulation.check_survival()


# Lost disks, and learners that are far behind.


@pytest.mark.parametrize("which", ["stays", "comes"])
def test_a_wiped_voter_counts_in_a_joint_state_only_after_the_barrier(which):
    simulation, leader, others = settled()
    gone, other = others
    wiped = other if which == "stays" else "r3"
    simulation.intercept = lambda sender, receiver, message: has_final(message)
    swap(simulation, leader, gone, "r3")
    simulation.run(100 * MILLISECOND)
    replica = simulation.nodes[leader].replica
    assert replica.log.previous_electors and replica.log.members_index > replica.commit_index
    rest = [name for name in (gone, other, "r3") if name != wiped]
    cut_between(simulation, [leader], rest)
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    assert not acknowledged(simulation, leader)
    assert simulation.nodes[wiped].replica.recovering
    simulation.intercept = None
    simulation.heal()
    simulation.run_until(lambda: not simulation.nodes[wiped].replica.recovering)
    simulation.check_survival()
    assert "r3" in wait_until_agreed(simulation).voters


@pytest.mark.parametrize("address", ["its own", "another"])
def test_a_lost_and_wiped_machine_returns(address):
    simulation, leader, others = settled(spares=2)
    gone = others[0]
    simulation.crash(gone, wipe=True)
    swap(simulation, leader, gone, "r3", ("r4",))
    simulation.run(300 * MILLISECOND)
    back = gone if address == "its own" else "r4"
    replica = simulation.nodes[leader].replica
    if address == "its own":
        simulation.start(gone)
        simulation.propose_members(leader, replica.voters, (gone,))
    simulation.run_until(lambda: replica.is_caught_up(back))
    assert not simulation.nodes[back].replica.recovering
    simulation.crash(others[1], wipe=True)
    swap(simulation, leader, others[1], back)
    simulation.run(300 * MILLISECOND)
    assert back in agreed_members(simulation).voters
    simulation.crash(leader)
    simulation.run(3000 * MILLISECOND)
    assert acknowledged(simulation, simulation.settled_leader())


def test_a_learner_with_an_empty_log_catches_up_while_the_leader_compacts():
    simulation = Simulation(5, voters=3, spares=1, snapshot_after=RETAINED_ENTRIES // 4)
    leader = simulation.run_until(simulation.settled_leader)
    replica = simulation.nodes[leader].replica
    for _ in range(4 * RETAINED_ENTRIES):
        simulation.propose(leader)
        simulation.run(8 * MILLISECOND)
    assert replica.log.base_index > 0
    simulation.propose_members(leader, replica.voters, ("r3",))
    for _ in range(2 * RETAINED_ENTRIES):
        simulation.propose(leader)
        simulation.run(8 * MILLISECOND)
    simulation.run_until(lambda: replica.is_caught_up("r3"))
    swap(simulation, leader, next(name for name in replica.voters if name != leader), "r3")
    simulation.run(300 * MILLISECOND)
    assert "r3" in agreed_members(simulation).voters
    simulation.check_survival()


def test_nothing_is_kept_of_a_snapshot_on_its_way_to_one_that_goes():
    simulation, leader, _ = settled(spares=0, snapshot_after=5)
    replica = simulation.nodes[leader].replica
    for _ in range(2 * RETAINED_ENTRIES):
        simulation.propose(leader)
        simulation.run(8 * MILLISECOND)
    simulation.propose_members(leader, replica.voters, ("away",))
    progress = replica._progress["away"]
    simulation.run_until(lambda: not replica._is_changing)
    replica._on_append_entries_reply(
        "away",
        AppendEntriesReply(
            term=replica.term,
            success=False,
            match=0,
            hint=0,
            heartbeat_round=1,
            sent_at=0,
            incarnation=7,
            recovering=True,
        ),
    )
    simulation._work(simulation.nodes[leader])
    assert progress.needs_snapshot
    simulation.run(100 * MILLISECOND)
    simulation.propose_members(leader, replica.voters, ())
    assert progress.chunk_sender is None


def test_a_new_voter_may_be_behind_and_still_nothing_is_lost():
    """The second loss right after the swap takes the disk of one of the two that hold the last entries."""
    for seed in range(4):
        for lost in (0, 1):
            simulation, leader, others = settled(seed=seed)
            gone, other = others
            simulation.crash(gone)
            swap(simulation, leader, gone, "r3")
            simulation.run(200 * MILLISECOND)
            simulation.nodes["r3"].disk.delay = 900 * MILLISECOND
            assert acknowledged(simulation, leader)
            simulation.crash((leader, other)[lost], wipe=True)
            simulation.nodes["r3"].disk.delay = 5 * MILLISECOND
            simulation.run(3000 * MILLISECOND)
            assert acknowledged(simulation, simulation.settled_leader())
            simulation.start((leader, other)[lost])
            simulation.check_survival()


def test_a_replica_that_starts_in_a_joint_state_needs_both_sets():
    joint = Members(("a", "b", "d"), (), ("a", "b", "c"))
    entries = [Entry(term=1, index=1, kind=int(EntryKind.MEMBERS), data=joint.encode())]
    durable = DurableState(term=1, entries=entries, members=Members(("a", "b", "c")), recovered=True)
    replica = Replica(ReplicaConfig("a"), Random(1), 0, durable, False)
    asked = set()
    while not asked:
        replica.tick(replica.due)
        messages = ready.messages if (ready := replica.take_ready()) else []
        asked = {peer for peer, message in messages if isinstance(message, RequestVote)}
    assert asked == {"b", "c", "d"}
    for voter, elected in [("c", False), ("d", True)]:
        replica._votes.add(voter)
        assert replica._has_majority_of_votes() is elected


def test_one_whose_vote_is_taken_away_votes_until_that_is_committed():
    """The last entry of a change may be lost with its leader; then the old voters are needed once more."""
    first, last = Members(("a", "b", "c")), Members(("a", "b", "d"))
    joint = Members(last.voters, (), first.voters)
    entries = [Entry(term=1, index=1, kind=int(EntryKind.MEMBERS), data=first.encode())]
    durable = DurableState(term=1, entries=entries, members=first, recovered=True)
    replica = Replica(ReplicaConfig("c"), Random(1), 0, durable, False)
    for index, members in [(2, joint), (3, last)]:
        replica.log.append([Entry(term=1, index=index, kind=int(EntryKind.MEMBERS), data=members.encode())])
        replica.commit_index = index - 1
        assert replica.members == members and replica.is_voter
    replica.commit_index = 3
    assert not replica.is_voter


def test_a_snapshot_of_a_joint_state_is_installed_as_such():
    joint = Members(("a", "b", "d"), (), ("a", "b", "c"))
    replica = Replica(ReplicaConfig("d"), Random(1), 0, DurableState(), True)
    replica.receive(
        1,
        "a",
        InstallSnapshot(
            term=3, index=9, entry_term=2, heartbeat_round=1, sent_at=1, members=joint.to_record(), data=b"x"
        ),
    )
    assert replica.members == joint


SCENARIOS = {
    commits_without_new_voters: [CommitsByOldVoters],
    commits_without_old_voters: [CommitsByNewVoters, FinishesAtOnce, ChangesWithoutJoint],
    two_sets_apart: [ChangesWithoutJoint],
    old_voters_apart: [ElectedByNewVoters, ElectedByOldVoters],
    swap_then_loss_of_the_leader: [NeverFinishes],
    leader_that_is_swapped_out: [LeadsOnThoughRemoved],
    leader_that_alone_holds_its_removal: [LeavesItsOldVotersAlone],
    removed_and_wiped_and_back: [ForgetsThoseWhoWent],
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario(scenario):
    scenario(Replica)


@pytest.mark.parametrize(
    "scenario, factory", [(scenario, factory) for scenario in SCENARIOS for factory in SCENARIOS[scenario]]
)
def test_broken_guard_is_found_by_scenario(scenario, factory):
    with pytest.raises(ViolationError):
        scenario(factory)


@pytest.mark.parametrize("voters, spares, snapshot_after", [(3, 2, 200), (3, 2, 4), (5, 2, 10)])
def test_schedules_with_swaps(voters, spares, snapshot_after):
    joint = 0
    for seed in range(60):
        simulation = play_schedule(
            seed, 20, SWAPS, voters=voters, spares=spares, snapshot_after=snapshot_after
        )
        changes = [
            data for _, kind, data in simulation.checker.committed.values() if kind == EntryKind.MEMBERS
        ]
        joint += sum(Members.decode(data).is_joint for data in changes)
    assert joint > 30


@pytest.mark.parametrize(
    "seed, weights, voters, spares, snapshot_after",
    [
        (
            3152,
            WIPES,
            5,
            2,
            10,
        ),  # a member removed, wiped and back in one term was taken for its earlier life
    ],
)
def test_schedules_that_failed_once(seed, weights, voters, spares, snapshot_after):
    play_schedule(seed, 25, weights, voters=voters, spares=spares, snapshot_after=snapshot_after)
