"""Control processes together: what is acknowledged is kept and read back everywhere, whatever fails.

First the processes' shards and calls in a simulation with faults, then whole processes on loopback addresses.
"""

from random import Random

import pytest
from controlplane_simulation import ControlSimulation, Operators, OperatorSchedule

from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.forwarding import ANSWER_TIMEOUT_NS
from hopsail.replication.schedule import CALM, DEFAULT_WEIGHTS, ROUGH, Weights
from hopsail.replication.simulation import ViolationError
from hopsail.replication.state import MILLISECOND

MEMBERS_CHANGE = Weights(members=6, wipe=1)
SCHEDULES = 30
STEPS = 25


def started(seed: int = 3, **options) -> tuple[ControlSimulation, Operators]:
    simulation = ControlSimulation(seed, **options)
    simulation.run_until(simulation.settled_leader)
    return simulation, Operators(simulation, seed)


def acknowledged(simulation: ControlSimulation, operators: Operators, **where):
    change = operators.change(**where)
    simulation.run_until(lambda: change.result)
    assert change.result.status == 200
    return change


def others(simulation: ControlSimulation, name: str) -> list[str]:
    return [other for other in simulation.nodes if other != name]


# One fault at a time.


@pytest.mark.parametrize("name", ["r0", "r1", "r2"])
def test_a_change_sent_to_any_process_is_read_back_at_all(name):
    simulation, operators = started()
    change = acknowledged(simulation, operators, name=name)
    assert change.attempts == 1
    for other in simulation.nodes:
        assert b'"Revision":%d' % change.revision in operators.read_until_known(other)
    operators.check_end()


def test_a_change_survives_the_leaders_death_right_after_its_acknowledgement():
    simulation, operators = started()
    for _ in range(6):
        leader = simulation.run_until(simulation.settled_leader)
        acknowledged(simulation, operators, name=leader)
        simulation.crash(leader)
        acknowledged(simulation, operators)
        simulation.start(leader)
    operators.check_end()


def test_a_change_survives_the_death_of_all():
    simulation, operators = started()
    for _ in range(4):
        acknowledged(simulation, operators)
        for name in simulation.nodes:
            simulation.crash(name)
        for name in simulation.nodes:
            simulation.start(name)
        simulation.run_until(simulation.settled_leader)
    operators.check_end()


def test_a_change_survives_a_wiped_disk_and_the_others_power_loss():
    simulation, operators = started()
    for wiped in simulation.nodes:
        acknowledged(simulation, operators)
        for name in simulation.nodes:
            simulation.crash(name, wipe=name == wiped)
        for name in simulation.nodes:
            simulation.start(name)
        simulation.run_until(lambda: not any(node.replica.recovering for node in simulation.nodes.values()))
    operators.check_end()


def test_a_wiped_process_answers_reads_only_with_what_was_acknowledged():
    simulation, operators = started()
    change = acknowledged(simulation, operators)
    leader = simulation.settled_leader()
    wiped = others(simulation, leader)[0]
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    assert b'"Revision":%d' % change.revision in operators.read_until_known(wiped)
    simulation.run_until(lambda: simulation.process(wiped).shard.state.revision == change.revision)
    assert simulation.process(wiped).published[-1] == change.revision


def test_a_process_that_was_away_gets_a_snapshot_and_publishes_it():
    simulation, operators = started(snapshot_after=4)
    away = others(simulation, simulation.settled_leader())[0]
    simulation.crash(away)
    for _ in range(150):  # more than the entries that are kept beside a snapshot
        change = acknowledged(simulation, operators)
    simulation.start(away)
    simulation.run_until(lambda: simulation.process(away).shard.state.revision == change.revision)
    assert simulation.process(away).published[-1] == change.revision
    operators.check_end()


def test_a_leader_that_is_cut_off_acknowledges_nothing_and_reads_nothing():
    simulation, operators = started()
    old = simulation.settled_leader()
    simulation.isolate(old)
    change = operators.change(name=old)
    process, told = simulation.process(old), []
    process.submit(0, change.command, told.append)
    read = operators.read(old)
    simulation.run_until(lambda: told and read)
    assert (told, read) == ([None], [None])
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    newer = acknowledged(simulation, operators, name=simulation.settled_leader())
    assert simulation.process(old).published[-1] < newer.revision
    simulation.heal()
    simulation.run_until(lambda: simulation.process(old).shard.state.revision >= newer.revision)
    operators.check_end()


def test_a_process_without_a_quorum_answers_in_time_that_nothing_is_known():
    simulation, operators = started()
    for name in others(simulation, "r0"):
        simulation.crash(name)
    began, told = simulation.now, []
    change = operators.change(name="r1")  # nobody hears of it
    simulation.process("r0").submit(0, change.command, lambda result: told.append((simulation.now, result)))
    simulation.process("r0").read_configuration(lambda body: told.append((simulation.now, body)))
    simulation.run_until(lambda: len(told) == 2)
    assert [answer for _, answer in told] == [None, None]
    assert all(when - began <= ANSWER_TIMEOUT_NS + MILLISECOND for when, _ in told)
    simulation.run(3000 * MILLISECOND)
    assert len(told) == 2  # once
    operators.check_end()


def test_a_frozen_leader_reads_nothing_old_when_it_thaws():
    simulation, operators = started()
    old = simulation.settled_leader()
    simulation.freeze(old, 5000 * MILLISECOND)
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    change = acknowledged(simulation, operators, name=simulation.settled_leader())
    simulation.run_until(lambda: simulation.nodes[old].frozen_until <= simulation.now)
    assert b'"Revision":%d' % change.revision in operators.read_until_known(old)
    operators.check_end()


def test_a_frozen_leader_that_thaws_refuses_nothing_by_what_it_knew():
    simulation, operators = started()
    acknowledged(simulation, operators)
    old = simulation.settled_leader()
    simulation.freeze(old, 5000 * MILLISECOND)
    changes = []
    simulation.process(old).when_awake(
        lambda: changes.append(operators.change(name=old))
    )  # what it does first
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    newer = acknowledged(simulation, operators, name=simulation.settled_leader())
    simulation.run_until(lambda: changes and changes[0].result)
    assert (changes[0].base, changes[0].result.status) == (newer.revision, 200)
    operators.check_end()


@pytest.mark.parametrize("name", ["r0", "r1", "r2"])
def test_a_call_during_a_hand_over_is_offered_again_until_there_is_a_leader(name):
    simulation, operators = started()
    simulation.transfer(simulation.settled_leader())
    change = operators.change(name=name)
    simulation.run_until(lambda: change.result)
    assert (change.result.status, change.attempts) == (200, 1)
    operators.check_end()


def test_a_leader_reads_only_after_an_entry_of_its_own_term():
    simulation, operators = started()
    change = acknowledged(simulation, operators)
    old = simulation.settled_leader()
    simulation.crash(old)
    new = simulation.run_until(simulation.leader)
    if not simulation.nodes[new].replica.lease_valid(simulation.now):
        answers = operators.read(new)
        assert answers == []
        simulation.run_until(lambda: answers)
        assert b'"Revision":%d' % change.revision in answers[0]
    operators.check_end()


# Unclear calls, and races.


def test_a_call_whose_answer_is_lost_is_acknowledged_when_it_is_sent_again():
    simulation, operators = started()
    leader = simulation.settled_leader()
    asked = others(simulation, leader)[0]
    simulation.cut(leader, asked)  # the leader hears it, the answer does not come back
    change = operators.change(name=asked)
    simulation.run_until(lambda: change.result)
    assert change.result.status == 200
    assert change.attempts > 1
    simulation.heal()
    newer = acknowledged(simulation, operators)
    assert newer.base == change.revision
    operators.check_end()


def test_a_call_that_is_sent_again_after_a_newer_change_is_still_acknowledged():
    simulation, operators = started()
    change = acknowledged(simulation, operators)
    acknowledged(simulation, operators)
    for name in simulation.nodes:
        told = []
        simulation.process(name).submit(0, change.command, told.append)
        simulation.run_until(lambda told=told: told)
        assert told[0].status == 200
    operators.check_end()


def test_a_call_that_is_on_its_way_may_come_again_before_it_is_stored():
    simulation, operators = started()
    leader = simulation.settled_leader()
    change, told = operators.change(name=leader), []
    for name in simulation.nodes:
        simulation.process(name).submit(0, change.command, told.append)
    simulation.run_until(lambda: len(told) == 3)
    assert [result.status for result in told] == [200] * 3
    operators.check_end()


@pytest.mark.parametrize("seed", range(10))
def test_of_two_changes_on_one_revision_exactly_one_is_acknowledged(seed):
    simulation, operators = started(seed)
    for _ in range(8):
        one, other = operators.race()
        simulation.run_until(lambda one=one, other=other: one.result and other.result)
        assert sorted([one.result.status, other.result.status]) == [200, 412]
    operators.check_end()


@pytest.mark.parametrize("seed", range(10))
def test_a_race_while_the_leader_dies_has_one_winner_at_most(seed):
    simulation, operators = started(seed)
    random = Random(seed)
    for _ in range(4):
        leader = simulation.run_until(simulation.settled_leader)
        one, other = operators.race()
        simulation.run(random.randint(0, 40) * MILLISECOND)
        simulation.crash(leader)
        simulation.run_until(lambda one=one, other=other: one.result and other.result)
        assert sorted([one.result.status, other.result.status]) == [200, 412]
        simulation.start(leader)
    operators.check_end()


# Random schedules of faults.


def play(seed: int, weights: Weights = DEFAULT_WEIGHTS, **options) -> Operators:
    random = Random(f"controlplane/{seed}")
    simulation = ControlSimulation(random.getrandbits(32), **options)
    simulation.run_until(simulation.settled_leader)
    simulation.network = random.choice((CALM, ROUGH))
    operators = Operators(simulation, seed)
    pause = random.choice((50, 200, 500)) * MILLISECOND
    OperatorSchedule(simulation, random, weights, operators).play(STEPS, pause)
    operators.check_end()
    return operators


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_nothing_acknowledged_is_lost_whatever_fails(seed):
    play(seed)


@pytest.mark.parametrize("seed", range(SCHEDULES // 2))
def test_nothing_acknowledged_is_lost_while_snapshots_are_taken(seed):
    play(seed, snapshot_after=3)


@pytest.mark.parametrize("seed", range(SCHEDULES // 2))
def test_nothing_acknowledged_is_lost_while_members_change(seed):
    play(seed, MEMBERS_CHANGE, spares=2)


def test_the_schedules_do_acknowledge_refuse_and_read():
    played = [play(seed) for seed in range(5)]
    statuses = [change.result.status for operators in played for change in operators.changes.values()]
    assert statuses.count(200) > 10
    assert statuses.count(412) > 5
    assert sum(operators.reads for operators in played) > 30


# The schedules find a broken guard.


def test_a_state_that_forgets_what_it_has_taken_is_found(monkeypatch):
    original = ConfigurationState.apply

    def forgets(self, command):
        result = original(self, command)
        self.taken.clear()
        return result

    monkeypatch.setattr(ConfigurationState, "apply", forgets)
    with pytest.raises(ViolationError):
        for seed in range(SCHEDULES):
            play(seed)


def test_a_state_that_does_not_compare_the_base_is_found(monkeypatch):
    original = ConfigurationState.judge

    def judges(self, command):
        return original(self, command._replace(base=self.revision))

    monkeypatch.setattr(ConfigurationState, "judge", judges)
    with pytest.raises(ViolationError):
        for seed in range(SCHEDULES):
            play(seed)


def test_a_part_that_answers_before_the_entry_is_applied_is_found(monkeypatch):
    from hopsail.controlplane.commands import Result
    from hopsail.controlplane.shard import Shard

    original = Shard.propose

    def proposes(self, now, command, done):
        def nothing(result):
            pass

        accepted = original(self, now, command, nothing)
        if accepted:
            done(Result(200, value=0))
        return accepted

    monkeypatch.setattr(Shard, "propose", proposes)
    with pytest.raises(ViolationError):
        for seed in range(SCHEDULES):
            play(seed)
