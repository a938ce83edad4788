"""Voters follow the processes that live: with the replicas of the simulation, membership as it is told."""

from types import SimpleNamespace

import pytest
from voters_simulation import SECOND, SYNC_S, Fleet, NamedVoters

from hopsail.controlplane.voters import MIN_DEAD_TIME_NS, MAX_MEMBERS, Voters
from hopsail.net.counters import Counters
from hopsail.replication.state import MILLISECOND, Members

DEAD_TIME = SYNC_S * SECOND // 3
SHORT = DEAD_TIME - 300 * MILLISECOND  # as long as one may be away: it was last heard of a heartbeat before


def with_learner(**options) -> Fleet:
    """A fleet whose spares have caught up."""
    fleet = Fleet(**options)
    fleet.run(2 * SECOND)
    assert len(fleet.members.learners) == options["spares"]
    fleet.history.clear()
    return fleet


def test_the_time_until_one_is_dead_is_well_inside_the_time_between_two_losses():
    times = {}
    for sync_s in (0.5, 1, 4, 12):
        settings = SimpleNamespace(machine_losses=1, bounds=SimpleNamespace(sync_s=sync_s))
        times[sync_s] = Voters(SimpleNamespace(settings=settings)).dead_time
    assert times == {0.5: MIN_DEAD_TIME_NS, 1: MIN_DEAD_TIME_NS, 4: 4 * SECOND // 3, 12: 4 * SECOND}


def test_nothing_changes_while_all_is_well():
    fleet = Fleet()
    before = fleet.members
    fleet.run(15 * SECOND)
    assert set(fleet.history) == {before}


def test_a_new_process_becomes_a_learner_and_stays_one_while_there_are_voters_enough():
    fleet, fourth = Fleet(spares=1), "r3"
    fleet.run(10 * SECOND)
    steps = list(dict.fromkeys(fleet.history))
    assert [(len(members.voters), members.learners) for members in steps] == [(3, (fourth,))]


def test_a_new_process_votes_when_there_are_too_few():
    fleet = Fleet(voters=3, spares=2, losses=2)
    fleet.run(4 * SECOND)
    assert set(fleet.members.voters) == {"r0", "r1", "r2", "r3", "r4"}
    assert fleet.members.learners == ()
    assert {len(members.voters) for members in fleet.history} <= {3, 4, 5}


def test_a_learner_that_is_not_caught_up_does_not_vote():
    fleet = Fleet(spares=1)
    fleet.simulation.isolate("r3")
    fleet.run(3 * SECOND)
    before = fleet.members
    fleet.kill(fleet.followers()[0])
    fleet.run(10 * SECOND)
    assert fleet.members == before
    assert "r3" in fleet.members.learners


def test_nothing_changes_while_one_is_only_short_away():
    fleet = with_learner(spares=1)
    before, name = fleet.members, fleet.followers()[0]
    fleet.kill(name)
    fleet.run(SHORT)
    fleet.start(name)
    fleet.run(10 * SECOND)
    assert set(fleet.history) == {before}


def test_one_that_is_away_again_and_again_is_not_dead():
    fleet = with_learner(spares=1)
    before, name = fleet.members, fleet.followers()[0]
    for _ in range(4):
        fleet.kill(name)
        fleet.run(SHORT)
        fleet.start(name)
        fleet.run(1000 * MILLISECOND)
    assert set(fleet.history) == {before}


def test_a_dead_voter_too_many_is_removed():
    fleet = Fleet(voters=4)
    name = fleet.followers()[0]
    fleet.kill(name)
    fleet.run(2 * DEAD_TIME)
    assert name not in fleet.members.all
    assert len(fleet.members.voters) == 3


def test_a_dead_voter_is_kept_when_only_the_wanted_number_is_left():
    fleet = Fleet(voters=3)
    fleet.kill(fleet.followers()[0])
    fleet.run(20 * SECOND)
    assert len(fleet.members.voters) == 3
    assert all(len(members.voters) >= 3 for members in fleet.history)


def test_voters_are_three_at_least_whatever_may_be_lost():
    fleet = Fleet(voters=3, losses=0)
    fleet.kill(fleet.followers()[0])
    fleet.run(20 * SECOND)
    assert len(fleet.members.voters) == 3


@pytest.mark.parametrize(("voters", "losses"), [(5, 1), (6, 2), (7, 2)])
def test_voters_never_go_below_the_wanted_number(voters, losses):
    fleet = Fleet(voters=voters, losses=losses)
    wanted = 2 * losses + 1
    for name in fleet.followers()[: (voters - 1) // 2]:
        fleet.kill(name)
        fleet.run(4 * DEAD_TIME)
    assert all(len(members.voters) >= wanted for members in fleet.history)
    assert len(fleet.members.voters) == max(wanted, voters - (voters - 1) // 2)


def test_a_replacement_takes_the_place_of_a_dead_voter():
    fleet = Fleet(voters=3, spares=1)
    fleet.absent("r3")
    name = fleet.followers()[0]
    fleet.kill(name)
    fleet.run(4 * DEAD_TIME)
    assert name in fleet.members.voters
    fleet.start("r3")
    fleet.run(2 * SECOND)
    assert name not in fleet.members.all
    assert "r3" in fleet.members.voters
    assert {len(members.voters) for members in fleet.history} == {3}


def test_two_dead_voters_are_replaced_in_one_change():
    fleet = with_learner(voters=5, spares=2, losses=2)
    gone = fleet.followers()[:2]
    for name in gone:
        fleet.kill(name)
    fleet.run(2 * DEAD_TIME)
    assert set(fleet.members.voters).isdisjoint(gone)
    assert {len(members.voters) for members in fleet.history} == {5}
    assert len({members.voters for members in fleet.history}) == 2


def test_one_of_two_dead_voters_is_replaced_when_one_can_be():
    fleet = with_learner(voters=5, spares=1, losses=2)
    gone = fleet.followers()[:2]
    for name in gone:
        fleet.kill(name)
    fleet.run(2 * DEAD_TIME)
    assert len(set(fleet.members.voters).intersection(gone)) == 1
    assert "r5" in fleet.members.voters
    assert {len(members.voters) for members in fleet.history} == {5}


def test_a_removed_process_that_comes_back_under_its_old_address_votes_again_when_needed():
    fleet = Fleet(voters=4)
    name = fleet.followers()[0]
    fleet.kill(name, wipe=True)
    fleet.run(2 * DEAD_TIME)
    assert name not in fleet.members.all
    fleet.start(name)
    fleet.run(2 * SECOND)
    assert fleet.members.learners == (name,)
    assert not fleet.simulation.nodes[name].replica.recovering
    fleet.kill(fleet.followers()[0])
    fleet.run(2 * DEAD_TIME)
    assert name in fleet.members.voters


def test_a_wiped_voter_that_comes_back_stays_a_voter_and_recovers():
    fleet = with_learner(voters=3, spares=1)
    name = fleet.followers()[0]
    fleet.kill(name, wipe=True)
    fleet.run(1000 * MILLISECOND)
    fleet.start(name)
    fleet.run(3000 * MILLISECOND)
    assert name in fleet.members.voters
    assert not fleet.simulation.nodes[name].replica.recovering


def test_a_dead_learner_is_removed():
    fleet = Fleet(voters=3, spares=1)
    fleet.simulation.isolate("r3")
    fleet.run(2000 * MILLISECOND)
    assert fleet.members.learners == ("r3",)
    fleet.kill("r3")
    fleet.run(2 * DEAD_TIME)
    assert fleet.members.learners == ()


def test_a_new_leader_gives_those_it_never_heard_their_time():
    fleet = with_learner(voters=5, spares=2, losses=2)
    before, leader = fleet.members, fleet.leader
    fleet.kill(fleet.followers()[0])
    fleet.kill(leader)
    fleet.run_until(lambda: fleet.leader not in (None, leader), 3 * SECOND)
    fleet.run(DEAD_TIME - 500 * MILLISECOND)  # it may have led for a while before it holds a lease
    assert set(fleet.history) == {before}
    fleet.run(1 * SECOND)
    assert {"r5", "r6"} < set(fleet.members.voters)


def test_a_leader_that_was_frozen_does_not_take_the_others_for_dead():
    fleet = with_learner(voters=3, spares=1)
    leader, replaced = fleet.leader, []
    fleet.planes[leader].counters.add = lambda name: replaced.append(name)
    fleet.simulation.freeze(leader, 3 * DEAD_TIME)
    fleet.simulation.run(2 * DEAD_TIME)
    for shard in fleet.planes[leader].shards:
        assert shard.leads  # as it believes until it looks at the clock
    fleet.voters[leader].check(fleet.simulation.now)
    assert replaced == []
    assert not fleet.planes[leader].shards[0].leads


@pytest.mark.parametrize("how", ["freeze", "cut"])
def test_a_voter_that_was_away_for_long_comes_back_as_learner(how):
    fleet = with_learner(voters=3, spares=1)
    name = fleet.followers()[0]
    if how == "freeze":
        fleet.simulation.freeze(name, 20 * SECOND)
    else:
        fleet.simulation.isolate(name)
    fleet.run(20 * SECOND)
    fleet.simulation.heal()
    fleet.run(3 * SECOND)
    leader = fleet.simulation.nodes[fleet.leader].replica
    assert set(fleet.members.voters) == ({"r0", "r1", "r2"} - {name}) | {"r3"}
    assert fleet.members.learners == (name,)
    assert leader.is_caught_up(name)


@pytest.mark.parametrize("how", ["freeze", "cut"])
def test_a_voter_that_was_away_for_long_votes_on_where_there_is_no_learner(how):
    fleet = Fleet(voters=3)
    before, name = fleet.members, fleet.followers()[0]
    if how == "freeze":
        fleet.simulation.freeze(name, 20 * SECOND)
    else:
        fleet.simulation.isolate(name)
    fleet.run(20 * SECOND)
    fleet.simulation.heal()
    fleet.run(3 * SECOND)
    assert set(fleet.history) == {before}


class QuietReplica:
    """Of a leader that has heard of members when the test says."""

    def __init__(self, voters, learners):
        self.members, self.proposed = Members(voters, learners), []
        self.term, self.heard, self.applicants, self.caught_up = 1, {}, [], set()

    def tick(self, now):
        pass

    def last_reply_time(self, identity):
        return self.heard.get(identity)

    def is_leaving(self, identity):
        return False

    def is_caught_up(self, identity):
        return identity in self.caught_up

    def propose_members(self, now, voters, learners):
        self.proposed.append((voters, learners))


def quiet(voters=("a", "b", "c", "d"), learners=()):
    replica = QuietReplica(voters, learners)
    shard = SimpleNamespace(leads=True, replica=replica, pump=lambda: None)
    plane = SimpleNamespace(
        settings=SimpleNamespace(machine_losses=1, bounds=SimpleNamespace(sync_s=SYNC_S)),
        membership=SimpleNamespace(alive=lambda role: []),
        identity="a",
        shards=[shard],
        counters=Counters("test"),
        stopping=False,
    )
    return replica, NamedVoters(plane)


def test_the_time_of_an_absence_begins_anew_with_each_word():
    replica, voters = quiet()
    for now in range(0, 4 * DEAD_TIME, DEAD_TIME):
        replica.heard = {"b": now, "c": now, "d": now}
        voters.check(now)
        voters.check(now + DEAD_TIME)
        assert replica.proposed == []
    replica.heard["b"] = replica.heard["c"] = 4 * DEAD_TIME
    voters.check(4 * DEAD_TIME)
    assert replica.proposed == []
    voters.check(4 * DEAD_TIME + 1)
    assert replica.proposed == [(("a", "b", "c"), ())]


def test_the_time_of_an_absence_begins_anew_with_each_term():
    replica, voters = quiet()
    for term, now in [(1, 0), (1, DEAD_TIME), (2, 2 * DEAD_TIME), (2, 3 * DEAD_TIME), (3, 4 * DEAD_TIME)]:
        replica.term = term
        voters.check(now)
        assert replica.proposed == []
    replica.heard = {"b": 5 * DEAD_TIME, "c": 5 * DEAD_TIME}
    voters.check(5 * DEAD_TIME + 1)
    assert replica.proposed == [(("a", "b", "c"), ())]


def test_nothing_is_proposed_while_a_change_is_under_way():
    replica, voters = quiet()
    replica.members = Members(("a", "b", "c"), (), ("a", "b", "c", "d"))
    for now in (0, 2 * DEAD_TIME):
        voters.check(now)
    assert replica.proposed == []


def test_a_learner_that_answers_but_is_behind_does_not_vote():
    replica, voters = quiet(("a", "b", "c"), ("d",))
    voters.check(0)
    replica.heard = dict.fromkeys("abd", 2 * DEAD_TIME)
    voters.check(2 * DEAD_TIME)
    assert replica.proposed == []
    replica.caught_up = {"d"}
    voters.check(2 * DEAD_TIME)
    assert replica.proposed == [(("a", "b", "d"), ())]


def test_a_learner_has_its_time_from_when_it_is_one():
    replica, voters = quiet(("a", "b", "c"))
    voters.check(0)
    replica.heard = dict.fromkeys("abc", 9 * DEAD_TIME)
    replica.members = Members(("a", "b", "c"), ("d",))
    voters.check(9 * DEAD_TIME)
    replica.heard = dict.fromkeys("abc", 10 * DEAD_TIME)
    voters.check(10 * DEAD_TIME)
    assert replica.proposed == []
    voters.check(10 * DEAD_TIME + 1)
    assert replica.proposed == [(("a", "b", "c"), ())]


def test_one_that_still_answers_the_log_is_not_dead():
    fleet = with_learner(voters=3, spares=1)
    before, name = fleet.members, fleet.followers()[0]
    fleet.told[name] = False  # datagrams of the membership are lost, the log's connection stands
    fleet.run(15 * SECOND)
    assert set(fleet.history) == {before}


def test_a_process_that_stops_changes_nothing():
    fleet = Fleet(voters=4)
    before = fleet.members
    for plane in fleet.planes.values():
        plane.stopping = True
    fleet.kill(fleet.followers()[0])
    fleet.run(10 * SECOND)
    assert set(fleet.history) == {before}


def test_members_are_bounded():
    fleet = Fleet(voters=3, spares=9)
    fleet.run(30 * SECOND)
    assert len(fleet.members.all) == MAX_MEMBERS
    assert len(fleet.members.voters) == 3


def test_parts_that_are_not_led_any_more_are_forgotten():
    fleet = with_learner(voters=3, spares=1)
    leader = fleet.leader
    assert list(fleet.voters[leader]._watches) == [0]
    fleet.simulation.transfer(leader)
    fleet.run(1 * SECOND)
    assert fleet.leader != leader
    assert fleet.voters[leader]._watches == {}


def test_those_who_are_no_members_any_more_are_forgotten():
    fleet = with_learner(voters=3, spares=1)
    name = fleet.followers()[0]
    fleet.kill(name)
    fleet.run(3 * DEAD_TIME)
    assert name not in fleet.members.all
    assert set(fleet.voters[fleet.leader]._watches[0].since) == set(fleet.members.all)


def test_the_leaders_death_moves_the_watch_to_the_next():
    fleet = with_learner(voters=3, spares=1)
    leader = fleet.leader
    fleet.kill(leader)
    fleet.run(4 * SECOND)
    assert leader not in fleet.members.all
    assert set(fleet.members.voters) == ({"r0", "r1", "r2"} - {leader}) | {"r3"}


def test_one_that_asks_is_a_learner_before_the_membership_tells_of_it():
    fleet = Fleet(voters=3, spares=1, news=60 * SECOND)
    fleet.absent("r3")
    fleet.run(1 * SECOND)
    fleet.start("r3")
    fleet.run(1 * SECOND)
    assert fleet.members.learners == ("r3",)


def test_those_who_live_are_named_by_their_addresses():
    members = [SimpleNamespace(address=("10.1.0.4", 7640)), SimpleNamespace(address=("10.1.0.5", 7640))]
    plane = SimpleNamespace(
        settings=SimpleNamespace(machine_losses=1),
        membership=SimpleNamespace(alive=lambda role: members),
        identity="10.1.0.6:7640",
    )
    assert Voters(plane)._alive() == {"10.1.0.4:7640", "10.1.0.5:7640", "10.1.0.6:7640"}
