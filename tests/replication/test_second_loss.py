"""A second loss right after a repair or a replacement: a majority is left, and nothing acknowledged is lost.

A machine is lost at 0 s, an empty one comes at 1 s at another address, and from 5 s on (`SyncS` after that)
the next one may be lost. Membership tells of both only later, as it does in a large fleet.
"""

import pytest
from voters_simulation import SECOND, SYNC_S, Fleet

from hopsail.replication.state import MILLISECOND

NEWS = 10 * SECOND
AFTER = 1 * SECOND  # when the replacement starts
RECOVERY = 3 * SECOND


def written(fleet, count=5):
    for _ in range(count):
        fleet.acknowledge(RECOVERY)


def lose(fleet, name, how):
    if how == "cut":
        fleet.simulation.isolate(name)
    else:
        fleet.kill(name, wipe=how == "wipe")


def chosen(fleet, which):
    return fleet.leader if which == "leader" else fleet.followers()[0]


@pytest.mark.parametrize("how", ["power", "wipe", "cut"])
@pytest.mark.parametrize("second", ["leader", "follower", "new"])
@pytest.mark.parametrize("first", ["leader", "follower"])
def test_second_loss_of_three(first, second, how):
    fleet = Fleet(voters=3, spares=1, news=NEWS)
    fleet.absent("r3")
    written(fleet)
    gone = chosen(fleet, first)
    fleet.kill(gone, wipe=True)
    fleet.run(AFTER)
    fleet.start("r3")
    fleet.run(SYNC_S * SECOND)
    written(fleet)
    lost = "r3" if second == "new" else chosen(fleet, second)
    lose(fleet, lost, how)
    fleet.run(200 * MILLISECOND)
    assert fleet.acknowledge(RECOVERY) < RECOVERY
    assert len(fleet.members.voters) == 3
    if how == "cut":
        fleet.simulation.heal()
    else:
        fleet.start(lost)
    fleet.run(SYNC_S * SECOND)
    fleet.simulation.check_survival()


@pytest.mark.parametrize("how", ["power", "wipe", "cut"])
@pytest.mark.parametrize("leader_too", [False, True])
def test_second_two_losses_of_five(leader_too, how):
    fleet = Fleet(voters=5, spares=2, losses=2, news=NEWS)
    fleet.absent("r5", "r6")
    written(fleet)
    for name in fleet.followers()[:2]:
        fleet.kill(name, wipe=True)
    fleet.run(AFTER)
    fleet.start("r5")
    fleet.start("r6")
    fleet.run(SYNC_S * SECOND)
    written(fleet)
    lost = [fleet.leader, fleet.followers()[0]] if leader_too else fleet.followers()[:2]
    for name in lost:
        lose(fleet, name, how)
    fleet.run(200 * MILLISECOND)
    assert fleet.acknowledge(RECOVERY) < RECOVERY
    assert len(fleet.members.voters) == 5
    if how == "cut":
        fleet.simulation.heal()
    else:
        for name in lost:
            fleet.start(name)
    fleet.run(SYNC_S * SECOND)
    fleet.simulation.check_survival()


# Planned: the new one first, then SIGTERM of the old one, which is gone for good then.


def leave(fleet, name, most=6 * SECOND):
    """Terminate a process, and end it as soon as it may; how long that took."""
    fleet.terminate(name)
    taken = fleet.run_until(lambda: fleet.may_leave(name), most)
    fleet.kill(name, wipe=True)
    return taken


@pytest.mark.parametrize("since_start", [0, 300 * MILLISECOND, SYNC_S * SECOND])
@pytest.mark.parametrize("second", ["leader", "follower"])
@pytest.mark.parametrize("first", ["leader", "follower"])
def test_a_planned_replacement_and_a_loss_at_once(first, second, since_start):
    fleet = Fleet(voters=3, spares=1, news=NEWS)
    fleet.absent("r3")
    written(fleet)
    fleet.start("r3")
    fleet.run(since_start)
    gone = chosen(fleet, first)
    leave(fleet, gone)
    assert "r3" in fleet.members.voters
    assert gone not in fleet.members.voters
    written(fleet)
    fleet.kill(chosen(fleet, second), wipe=True)
    assert fleet.acknowledge(RECOVERY) < RECOVERY


@pytest.mark.parametrize("spares", [0, 1])
@pytest.mark.parametrize("seed", range(6))
def test_one_that_leaves_holds_what_only_it_and_another_have(seed, spares):
    """The third one was cut off from both; the other is lost as soon as the leaving one has ended."""
    fleet = Fleet(voters=3, spares=spares, seed=seed)
    fleet.run(2 * SECOND)
    leader = fleet.leader
    leaving, behind = fleet.followers()
    for name in (behind, "r3"):
        fleet.simulation.cuts.update({(leader, name), (name, leader)})
    written(fleet, 20)
    fleet.terminate(leaving)
    fleet.run(1 * SECOND)
    assert not fleet.may_leave(leaving)
    fleet.simulation.heal()
    fleet.run_until(lambda: fleet.may_leave(leaving), 3 * SECOND)
    fleet.kill(leaving, wipe=True)
    fleet.kill(leader, wipe=True)
    pending_messages = fleet.simulation.nodes[behind].replica
    kept = {
        entry.data
        for entry in pending_messages.log.slice(
            pending_messages.log.base_index + 1, pending_messages.last_index
        )
    }
    assert kept >= set(fleet.simulation.checker.acknowledged)


def test_a_new_leader_lets_nobody_go_before_it_has_heard_who_asks():
    """The old leader hands over and leaves; the new one has not heard yet of the process that came before."""
    fleet = Fleet(voters=3, spares=1, news=NEWS)
    fleet.absent("r3")
    simulation, leaving = fleet.simulation, fleet.leader
    fleet.start("r3")
    fleet.terminate(leaving)
    replica = simulation.nodes[leaving].replica
    simulation.transfer(leaving)
    for _ in range(20):
        simulation.run(10 * MILLISECOND)
        assert not replica.may_leave(simulation.now)
    fleet.run_until(lambda: fleet.may_leave(leaving), 6 * SECOND)
    assert "r3" in fleet.members.voters


def test_a_learner_that_has_asked_and_not_answered_yet_is_waited_for():
    fleet = Fleet(voters=3, spares=1, news=NEWS)
    fleet.absent("r3")
    fleet.run(1 * SECOND)
    leaving, leader = fleet.followers()[0], fleet.leader
    fleet.start("r3")
    fleet.run_until(lambda: "r3" in fleet.members.learners, 1 * SECOND)
    fleet.simulation.cut("r3", leader)
    fleet.terminate(leaving)
    fleet.run(500 * MILLISECOND)
    assert not fleet.may_leave(leaving)
    fleet.simulation.heal()
    fleet.run_until(lambda: fleet.may_leave(leaving), 3 * SECOND)
    assert "r3" in fleet.members.voters


def test_one_that_leaves_acknowledges_nothing_more_once_it_may():
    fleet = Fleet(voters=3)
    leaving, other = fleet.followers()
    replica = fleet.simulation.nodes[leaving].replica
    fleet.terminate(leaving)
    fleet.run_until(lambda: fleet.may_leave(leaving), 1 * SECOND)
    fleet.simulation.cuts.update({(fleet.leader, other), (other, fleet.leader)})
    acknowledged = len(fleet.simulation.checker.acknowledged)
    for _ in range(5):
        fleet.simulation.propose(fleet.leader)
        fleet.simulation.run(50 * MILLISECOND)
    assert replica.last_index > replica._acknowledged_index()
    assert len(fleet.simulation.checker.acknowledged) == acknowledged


def test_one_that_restarts_without_a_replacement_stays_a_voter_and_ends_soon():
    fleet = Fleet(voters=3)
    before = fleet.members
    for name in sorted(fleet.simulation.nodes):
        fleet.terminate(name)
        assert fleet.run_until(lambda name=name: fleet.may_leave(name), 2 * SECOND) < 1 * SECOND
        fleet.kill(name)
        fleet.run(100 * MILLISECOND)
        fleet.start(name)
        fleet.planes[name].stopping = False
        fleet.run(2 * SECOND)
        assert fleet.members == before


def test_one_that_hears_no_leader_does_not_wait_for_it():
    fleet = Fleet(voters=3)
    name = fleet.followers()[0]
    fleet.simulation.isolate(name)
    fleet.terminate(name)
    assert fleet.run_until(lambda: fleet.may_leave(name), 4 * SECOND) < 2 * SECOND


def test_the_only_one_may_leave_at_once():
    fleet = Fleet(voters=1, losses=0)
    fleet.terminate("r0")
    assert fleet.simulation.nodes["r0"].replica.may_leave(fleet.simulation.now)


def test_two_planned_replacements_at_once():
    fleet = Fleet(voters=5, spares=2, losses=2, news=NEWS)
    fleet.absent("r5", "r6")
    written(fleet)
    fleet.start("r5")
    fleet.start("r6")
    leaving = [fleet.leader, fleet.followers()[0]]
    for name in leaving:
        fleet.terminate(name)
    fleet.run_until(lambda: all(fleet.may_leave(name) for name in leaving), 6 * SECOND)
    for name in leaving:
        fleet.kill(name, wipe=True)
    fleet.run_until(lambda: fleet.leader, RECOVERY)
    assert {"r5", "r6"} < set(fleet.members.voters)
    for name in fleet.followers()[:2]:
        fleet.kill(name, wipe=True)
    assert fleet.acknowledge(RECOVERY) < RECOVERY


@pytest.mark.parametrize(("voters", "losses", "leader_too"), [(3, 1, False), (3, 1, True), (5, 2, True)])
def test_a_swap_is_done_well_inside_the_time_until_the_next_loss(voters, losses, leader_too):
    for seed in range(10):
        fleet = Fleet(voters=voters, spares=losses, losses=losses, seed=seed, news=NEWS)
        spares = [name for name in fleet.simulation.nodes if name not in fleet.simulation.initial.voters]
        fleet.absent(*spares)
        written(fleet)
        gone = fleet.followers()[:losses]
        if leader_too:
            gone[0] = fleet.leader
        for name in gone:
            fleet.kill(name, wipe=True)
        fleet.run(AFTER)
        for name in spares:
            fleet.start(name)

        def swapped(fleet=fleet, spares=spares):
            return fleet.leader and set(spares) < set(fleet.members.voters) and not fleet.members.is_joint

        taken = fleet.run_until(swapped, SYNC_S * SECOND)
        print(f"{voters} voters, {losses} lost, the leader too: {leader_too}: {taken // MILLISECOND} ms")
        assert taken <= SYNC_S * SECOND // 2
