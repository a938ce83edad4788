"""What is told of a change that is not acknowledged by its own entry: refusals, changes sent again, reads.

Processes are cut off, frozen for 20 s at each instant of a call, and have steady clocks that stood still."""

import json
from random import Random

import pytest
from controlplane_simulation import ControlSimulation, Operators
from test_controlplane_cluster import acknowledged, others, play, started

from hopsail.controlplane import configuration_state, decisions
from hopsail.controlplane.forwarding import ANSWER_TIMEOUT_NS, CALL_TIMEOUT_NS
from hopsail.controlplane.commands import Command, CommandKind
from hopsail.controlplane.configuration_state import digest_of
from hopsail.controlplane.decisions import Confirmation
from hopsail.net import loop as loop_module
from hopsail.net.loop import Loop
from hopsail.replication.state import MILLISECOND

FREEZE = 20_000 * MILLISECOND


def put(base: int, revision: int, **more) -> Command:
    body = json.dumps({"Revision": revision, "Routes": [], "Services": [], **more}).encode()
    return Command(CommandKind.PUT_CONFIGURATION, base, "", 0, "", body)


def submitted(simulation: ControlSimulation, name: str, command: Command) -> list:
    """What a process tells of a command that is given to it now."""
    told = []
    simulation.process(name).when_awake(lambda: simulation.process(name).submit(0, command, told.append))
    return told


def answer_of(simulation: ControlSimulation, name: str, command: Command):
    told = submitted(simulation, name, command)
    simulation.run_until(lambda: told)
    return told[0]


def depose_by_freeze(simulation: ControlSimulation, operators: Operators) -> tuple[str, int]:
    """A leader that is frozen for 20 s, and the revision that was acknowledged without it meanwhile."""
    old = simulation.settled_leader()
    simulation.freeze(old, FREEZE)
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    return old, acknowledged(simulation, operators, name=simulation.settled_leader()).revision


# A process that was frozen, and clocks.


def test_a_leader_whose_clock_stood_still_refuses_nothing_by_what_it_knew():
    """Suspended with its machine, or with a time that was read before the freeze: its lease seems to hold."""
    simulation, operators = started()
    acknowledged(simulation, operators)
    old = simulation.settled_leader()
    process, thawed = simulation.process(old), []
    stood_still = simulation.now
    told = []

    def first_after_the_thaw():
        thawed.append(simulation.now)
        process.submit(0, put(newer, newer + 1), told.append)

    simulation.freeze(old, FREEZE)
    process.when_awake(first_after_the_thaw)
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    newer = acknowledged(simulation, operators, name=simulation.settled_leader()).revision
    real_now = process.now
    process.now = lambda: stood_still if not thawed or simulation.now == thawed[0] else real_now()
    simulation.run_until(lambda: told)
    assert told == [None]
    operators.check_end()


def test_a_leader_whose_clock_stood_still_reads_nothing_old():
    simulation, operators = started()
    acknowledged(simulation, operators)
    old = simulation.settled_leader()
    process, stood_still, answers = simulation.process(old), simulation.now, []
    simulation.freeze(old, FREEZE)
    process.now = lambda: stood_still
    process.when_awake(lambda: answers.append(operators.read(old)))
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    acknowledged(simulation, operators, name=simulation.settled_leader())
    simulation.run_until(lambda: answers)
    del process.now
    simulation.run_until(lambda: answers[0])  # the read's checker has looked at it
    operators.check_end()


INSTANTS = ["judged", "asked", "confirmed"]


@pytest.mark.parametrize("instant", INSTANTS)
@pytest.mark.parametrize("kind", ["stale", "ahead", "invalid", "again"])
def test_a_leader_that_is_frozen_on_the_way_to_an_answer_tells_what_was_true(monkeypatch, instant, kind):
    """For 20 s: once it has judged, once it has asked the others, once these have confirmed."""
    simulation, operators = started()
    first = acknowledged(simulation, operators)
    second = acknowledged(simulation, operators)
    ahead = second.revision + 1
    commands = {
        "stale": (put(first.revision, 900), 412),
        "ahead": (put(ahead, ahead + 1), 412),
        "invalid": (put(second.revision, 0), 400),
        "again": (first.command, 200),
    }
    command, status = commands[kind]
    old = simulation.settled_leader()
    freezes = []

    def freeze() -> None:
        if not freezes:
            freezes.append(simulation.now)
            simulation.freeze(old, FREEZE)

    freeze_at(monkeypatch, instant, freeze)
    told = submitted(simulation, old, command)
    simulation.run_until(lambda: freezes)
    simulation.run_until(lambda: simulation.settled_leader() not in (None, old))
    operators._number = ahead - 1
    monkeypatch.setattr(operators.random, "randint", lambda least, most: 1)
    assert acknowledged(simulation, operators, name=simulation.settled_leader()).revision == ahead
    simulation.run_until(lambda: told)
    if instant == "confirmed":
        assert told[0].status == status  # it was so when the majority said that this one leads
    else:
        assert told == [None]  # nothing is said by what it knew
    operators.check_end()


def freeze_at(monkeypatch, instant: str, freeze) -> None:
    original_begin, original_look = Confirmation.begin, Confirmation._look

    def begin(self):
        if instant != "judged":
            original_begin(self)
            if instant == "asked":
                freeze()
            return
        freeze()
        self.process.after(0, lambda: original_begin(self))

    def look(self):
        if instant == "confirmed" and self.shard.replica.read_ready(self.token):
            freeze()
            done, self.done = self.done, lambda is_true: self.process.after(0, lambda: done(is_true))
        original_look(self)

    monkeypatch.setattr(Confirmation, "begin", begin)
    monkeypatch.setattr(Confirmation, "_look", look)


def test_a_process_that_was_frozen_offers_an_old_call_to_nobody():
    """Its caller has moved on long ago; what it is told elsewhere must not be overtaken by this one."""
    simulation, operators = started()
    base = acknowledged(simulation, operators).revision
    leader = simulation.settled_leader()
    taker = others(simulation, leader)[0]
    simulation.cut(taker, leader)  # it hears of the leader, its calls do not arrive
    told = submitted(simulation, taker, put(base, 900))
    simulation.run(CALL_TIMEOUT_NS + MILLISECOND)  # about to offer it again
    simulation.heal()
    simulation.freeze(taker, FREEZE)
    simulation.run_until(lambda: told)
    simulation.run(2000 * MILLISECOND)
    assert told == [None]
    assert simulation.process(simulation.settled_leader()).shard.state.revision == base
    operators.check_end()


def test_a_step_of_the_time_of_day_does_not_move_the_loops_clock(monkeypatch):
    loop = Loop()
    before = loop.now()
    monkeypatch.setattr(loop_module, "time_ns", lambda: 0)
    assert 0 <= loop.now() - before < 60_000 * MILLISECOND
    loop.close()


# A process that is cut off.


@pytest.mark.parametrize("way", ["both", "hears nothing", "reaches nobody"])
@pytest.mark.parametrize("kind", ["stale", "ahead", "invalid", "again", "new"])
def test_a_leader_that_is_cut_off_gives_no_clear_answer(way, kind):
    simulation, operators = started()
    first = acknowledged(simulation, operators)
    second = acknowledged(simulation, operators)
    commands = {
        "stale": put(first.revision, 900),
        "ahead": put(second.revision + 1, 900),
        "invalid": put(second.revision, 0),
        "again": first.command,
        "new": put(second.revision, 900),
    }
    old = simulation.settled_leader()
    for other in others(simulation, old):
        if way != "hears nothing":
            simulation.cut(old, other)
        if way != "reaches nobody":
            simulation.cut(other, old)
    began = simulation.now
    assert answer_of(simulation, old, commands[kind]) is None
    assert simulation.now - began <= ANSWER_TIMEOUT_NS + MILLISECOND


@pytest.mark.parametrize("kind", ["stale", "ahead", "invalid", "again"])
def test_where_there_is_a_majority_the_answer_is_clear(kind):
    simulation, operators = started()
    first = acknowledged(simulation, operators)
    second = acknowledged(simulation, operators)
    commands = {
        "stale": (put(first.revision, 900), 412),
        "ahead": (put(second.revision + 1, 900), 412),
        "invalid": (put(second.revision, 0), 400),
        "again": (first.command, 200),
    }
    command, status = commands[kind]
    for name in simulation.nodes:
        assert answer_of(simulation, name, command).status == status
    assert simulation.process(simulation.settled_leader()).shard.state.revision == second.revision


# Several under way at once.


def test_a_change_on_one_that_is_not_stored_yet_waits_for_it():
    """Eight at once, each on the one before: none is refused because that is still being stored."""
    simulation, operators = started()
    leader = simulation.settled_leader()
    told = [submitted(simulation, leader, put(base, base + 1)) for base in range(8)]
    simulation.run_until(lambda: all(told))
    assert [answers[0].status for answers in told] == [200] * 8


def test_a_change_that_comes_again_while_it_is_decided_is_in_the_log_once():
    simulation, operators = started()
    leader = simulation.settled_leader()
    before = simulation.nodes[leader].replica.last_index
    told = [submitted(simulation, name, put(0, 3)) for name in simulation.nodes for _ in range(3)]
    simulation.run_until(lambda: all(told))
    assert [answers[0].status for answers in told] == [200] * 9
    assert simulation.nodes[leader].replica.last_index == before + 1
    assert simulation.process(leader).shard.deciding == {}


def test_one_that_waited_for_the_same_change_gets_a_verdict_of_its_own(monkeypatch):
    """The first one's verdict may be older than the second call."""
    simulation, operators = started()
    leader = simulation.settled_leader()
    verdicts = []
    original = decisions.Decision.begin
    monkeypatch.setattr(
        decisions.Decision, "begin", lambda self: verdicts.append(self.command) or original(self)
    )
    told = [submitted(simulation, leader, put(7, 9)) for _ in range(2)]
    simulation.run_until(lambda: all(told))
    assert [answers[0].status for answers in told] == [412, 412]
    assert len(verdicts) == 2


# Late and doubled copies.


class Copies:
    """A change of which copies arrive at any process, up to seconds late; all that is told of it."""

    def __init__(self, simulation: ControlSimulation, random: Random, command: Command):
        self.simulation, self.random, self.command = simulation, random, command
        self.told: list = []
        for late in (0, 0, 30, 300, 1500, 3000):
            simulation.at(simulation.now + random.randint(0, late) * MILLISECOND, self.arrive)

    def arrive(self) -> None:
        """One copy, also at a process that is frozen: it reads it when it thaws."""
        process = self.simulation.process(self.random.choice(list(self.simulation.nodes)))
        if process is not None:
            process.when_awake(lambda: process.submit(0, self.command, self.told.append))

    @property
    def statuses(self) -> set[int]:
        """The clear answers."""
        return {result.status for result in self.told if result is not None} - {503}


def disturbed(simulation: ControlSimulation, random: Random) -> None:
    """Answers are lost, a process stands still, another leads."""
    name, leader = random.choice(list(simulation.nodes)), simulation.leader()
    kind = random.choice(["freeze", "isolate", "crash", "transfer", "none"])
    if kind == "freeze":
        simulation.freeze(name, random.randint(100, 3000) * MILLISECOND)
    elif kind == "isolate":
        simulation.isolate(name)
    elif kind == "crash":
        simulation.crash(name)
    elif kind == "transfer" and leader:
        simulation.transfer(leader)


def check_copies(simulation: ControlSimulation, sent: list[Copies]) -> int:
    """Once all copies have arrived: what is in force was never refused. How many were taken."""
    simulation.restore()
    simulation.run(8000 * MILLISECOND)
    state = simulation.process(simulation.run_until(simulation.settled_leader)).shard.state
    taken = [copies for copies in sent if digest_of(copies.command) in state.taken]
    for copies in sent:
        assert copies.statuses <= ({200} if copies in taken else {400, 412}), copies.command
    return len(taken)


@pytest.mark.parametrize("seed", range(40))
def test_what_builds_on_what_was_told_is_never_both_refused_and_in_force(seed):
    """Callers build on what was acknowledged or read, and race; copies come late and several times."""
    random = Random(f"told/{seed}")
    simulation = ControlSimulation(seed, snapshot_after=random.choice((3, 200)))
    simulation.run_until(simulation.settled_leader)
    sent, base = [], 0
    for number in range(1, 9):
        sent.append(Copies(simulation, random, put(base, 3 * number, Tenants=[])))
        sent.append(Copies(simulation, random, put(base, 3 * number)))
        disturbed(simulation, random)
        simulation.run(random.randint(0, 1500) * MILLISECOND)
        simulation.restore()
        revisions = [result.value for copies in sent for result in copies.told if result]
        base = max([base, *revisions])
    assert check_copies(simulation, sent) > 1


# Changes that are judged and applied in steps.


@pytest.fixture
def in_steps(monkeypatch):
    """Every change counts as large."""
    monkeypatch.setattr(configuration_state, "MIN_LARGE_BODY_BYTES", 0)


@pytest.mark.parametrize("seed", range(15))
def test_nothing_acknowledged_is_lost_while_changes_are_applied_in_steps(in_steps, monkeypatch, seed):
    monkeypatch.setattr(decisions, "STEP_INTERVAL_MS", (1, 30, 200)[seed % 3])
    play(seed, snapshot_after=(3, 200)[seed % 2])


def test_a_new_leader_reads_nothing_before_it_has_applied_what_was_acknowledged(in_steps, monkeypatch):
    simulation, operators = started()
    acknowledged(simulation, operators)
    monkeypatch.setattr(decisions, "STEP_INTERVAL_MS", 3000)
    leader = simulation.settled_leader()
    change = operators.change(name=leader)
    simulation.run_until(lambda: change.result)
    simulation.crash(leader)
    new = simulation.run_until(simulation.settled_leader)
    assert simulation.process(new).shard.state.revision < change.revision
    assert operators.read_until_known(new)  # the read's checker has looked at it
    assert answer_of(simulation, new, change.command).status == 200
    operators.check_end()
