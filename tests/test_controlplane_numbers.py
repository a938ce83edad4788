"""One order a number: what a change gets that is sent again, and two that bear the same number."""

import json
from random import Random

import pytest
from controlplane_simulation import CLEAR, OPERATOR_PAUSE, OPERATOR_WAITS, ControlSimulation
from test_controlplane_cluster import acknowledged, others, started
from test_controlplane_state import configuration, name_revision, patch, put

from hopsail.configuration.codes import ResultCode
from hopsail.controlplane import configuration_state
from hopsail.controlplane.commands import Command, Result
from hopsail.controlplane.configuration_state import MAX_DIGESTS, ConfigurationState
from hopsail.controlplane.service_state import ServiceState
from hopsail.replication.schedule import ROUGH
from hopsail.replication.simulation import Network
from hopsail.replication.state import MILLISECOND


def chain(state: ConfigurationState, count: int) -> list[Command]:
    """Changes that are taken one after the other, in uneven steps of their numbers."""
    commands, base = [], state.revision
    for number in range(count):
        revision = base + 1 + number % 3
        change = put if number % 2 else patch
        content = configuration(revision) if change is put else {"Revision": revision}
        commands.append(change(base, content))
        assert state.apply(commands[-1]).status == 200
        base = revision
    return commands


def first() -> ConfigurationState:
    state = ConfigurationState()
    assert state.apply(put(0, configuration(1))).status == 200
    return state


# What is remembered.


def through_a_snapshot(state: ConfigurationState) -> ConfigurationState:
    return ConfigurationState.decode(state.encode())


@pytest.mark.parametrize("way", [lambda state: state, through_a_snapshot], ids=["here", "snapshot"])
def test_each_change_that_is_remembered_is_confirmed_with_its_own_revision(way):
    state = first()
    commands = chain(state, 200)
    state = way(state)
    newest = state.revision
    for command in commands:
        revision = json.loads(command.body)["Revision"]
        assert state.apply(command) == Result(200, value=revision)
    assert state.revision == newest


@pytest.mark.parametrize("way", [lambda state: state, through_a_snapshot], ids=["here", "snapshot"])
def test_a_change_that_is_forgotten_is_neither_confirmed_nor_refused(monkeypatch, way):
    monkeypatch.setattr(configuration_state, "MAX_DIGESTS", 10)
    state = first()
    commands = chain(state, 50)
    state = way(state)
    newest, before = state.revision, state.encode()
    for command in commands[:40]:
        result = state.apply(command)
        assert (result.status, result.code) == (503, ResultCode.CONTROL_FORGOTTEN)
        assert state.judge(command) == (result, None)
    for command in commands[40:]:
        assert state.apply(command).status == 200
    assert (state.revision, state.encode()) == (newest, before)


def test_what_builds_on_a_revision_that_is_remembered_is_refused_for_sure(monkeypatch):
    monkeypatch.setattr(configuration_state, "MAX_DIGESTS", 10)
    state = first()
    commands = chain(state, 50)
    bases = [command.base for command in commands]
    for base in range(state.revision):
        result = state.apply(put(base, configuration(10_000)))
        assert result.status == (412 if base >= bases[40] else 503)


def test_nothing_is_forgotten_before_the_bound():
    state = first()
    commands = chain(state, MAX_DIGESTS - 1)
    assert state.forgotten == 0
    assert state.apply(commands[0]).status == 200
    assert state.apply(put(0, configuration(5000))).status == 412
    chain(state, 1)
    assert state.forgotten == 1


def test_what_is_remembered_is_small_in_a_snapshot():
    state = first()
    bare = len(state.encode())
    chain(state, MAX_DIGESTS + 50)
    assert len(state.taken) == MAX_DIGESTS
    assert len(state.encode()) - bare < 50 * MAX_DIGESTS


@pytest.mark.parametrize(
    "other",
    [
        put(1, json.dumps(configuration(4)).encode() + b"\n"),
        put(1, json.dumps(configuration(4), indent=1).encode()),
        put(1, json.dumps(dict(reversed(configuration(4).items()))).encode()),
        put(1, configuration(4, Tenants=[])),
        put(0, configuration(4)),
        patch(1, {"Revision": 4}),
    ],
    ids=["line feed", "spaces", "other order", "other content", "other base", "patch"],
)
def test_what_is_not_sent_as_it_was_is_another_change(other):
    """Taken once, it is in force in either spelling; the second one is refused, not confirmed."""
    state = first()
    change = put(1, configuration(4))
    assert state.apply(change).status == 200
    assert state.apply(other).status == 412
    assert state.apply(change).status == 200
    assert state.configuration == configuration(4)


# Restarts, other leaders, races.


def answers_everywhere(simulation: ControlSimulation, command: Command) -> set:
    found = set()
    for name in simulation.nodes:
        told = []
        simulation.process(name).submit(0, command, told.append)
        simulation.run_until(lambda told=told: told)
        found.add(told[0] and told[0].status)
    return found


@pytest.mark.parametrize("snapshot_after", [3, 200])
def test_a_change_is_confirmed_by_every_leader_after_restarts_and_snapshots(snapshot_after):
    simulation, operators = started(snapshot_after=snapshot_after)
    changes = [acknowledged(simulation, operators) for _ in range(12)]
    for _ in range(3):
        leader = simulation.run_until(simulation.settled_leader)
        simulation.crash(leader)
        simulation.run_until(lambda old=leader: simulation.settled_leader() not in (None, old))
        simulation.start(leader)
        for change in changes:
            assert answers_everywhere(simulation, change.command) == {200}
    operators.check_end()


def test_a_change_is_confirmed_by_a_process_that_has_lost_its_disk():
    simulation, operators = started(snapshot_after=3)
    changes = [acknowledged(simulation, operators) for _ in range(6)]
    wiped = others(simulation, simulation.settled_leader())[0]
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    simulation.run_until(lambda: not simulation.nodes[wiped].replica.recovering)
    simulation.run_until(lambda: simulation.process(wiped).shard.state.revision == operators.newest)
    simulation.transfer(simulation.settled_leader())
    simulation.run_until(simulation.settled_leader)
    assert simulation.process(wiped).shard.state.taken.keys() >= {
        configuration_state.digest_of(change.command) for change in changes
    }
    for change in changes:
        assert answers_everywhere(simulation, change.command) == {200}
    operators.check_end()


class Order:
    """One order, sent to several processes at once, and again until each sending has a clear answer."""

    def __init__(self, simulation: ControlSimulation, random: Random, command: Command, sendings: int = 2):
        self.simulation, self.random, self.command = simulation, random, command
        self.results: list[Result] = []
        self.sendings = sendings
        for _ in range(sendings):
            self._send()

    def _send(self) -> None:
        simulation = self.simulation
        process = simulation.process(self.random.choice(list(simulation.nodes)))
        waiting = [True]

        def told(result: Result | None) -> None:
            if not waiting:
                return
            waiting.clear()
            if result is not None and result.status in CLEAR:
                self.results.append(result)
            else:
                simulation.at(simulation.now + OPERATOR_PAUSE, self._send)

        if process is not None:
            process.when_awake(lambda: process.submit(0, self.command, told))
        simulation.at(simulation.now + OPERATOR_WAITS, lambda: told(None))

    @property
    def clear(self) -> bool:
        return len(self.results) == self.sendings

    @property
    def statuses(self) -> set[int]:
        return {result.status for result in self.results}


def trouble(simulation: ControlSimulation, random: Random) -> None:
    """Something goes wrong: answers are lost, above all."""
    names = list(simulation.nodes)
    kind = random.choice(["answers", "cut", "freeze", "crash", "transfer", "none"])
    leader = simulation.leader()
    if kind == "answers" and leader:
        for name in names:
            simulation.cut(leader, name)  # it may hear, nobody hears it
    elif kind == "cut":
        simulation.isolate(random.choice(names))
    elif kind == "freeze":
        simulation.freeze(random.choice(names), random.randint(100, 3000) * MILLISECOND)
    elif kind == "crash" and leader:
        simulation.crash(leader)
    elif kind == "transfer" and leader:
        simulation.transfer(leader)


def read(simulation: ControlSimulation, name: str) -> dict:
    """What a process reads, once it is known."""
    while True:
        answers = []
        simulation.process(name).read_configuration(answers.append)
        simulation.run_until(lambda answers=answers: answers)
        if answers[0] is not None:
            return json.loads(answers[0])


@pytest.mark.parametrize("seed", range(60))
def test_of_two_orders_under_one_number_one_is_confirmed_at_every_sending(seed):
    random = Random(f"numbers/{seed}")
    simulation = ControlSimulation(seed, snapshot_after=random.choice((3, 200)))
    simulation.run_until(simulation.settled_leader)
    simulation.network = random.choice((Network(), ROUGH))
    base = 0
    for number in (4, 5, 9):
        contents = [configuration(number, Limits={"MaxBodyBytes": size}) for size in (1, 2)]
        rivals = [Order(simulation, random, put(base, content)) for content in contents]
        for _ in range(3):
            simulation.run(random.randint(0, 40) * MILLISECOND)
            trouble(simulation, random)
            simulation.run(random.randint(0, 1500) * MILLISECOND)
            simulation.heal()
            for name, node in simulation.nodes.items():
                if node.replica is None:
                    simulation.start(name)
        simulation.run_until(lambda rivals=rivals: all(order.clear for order in rivals))
        assert sorted(map(sorted, (order.statuses for order in rivals))) == [[200], [412]]
        winner = next(order for order in rivals if order.statuses == {200})
        assert read(simulation, random.choice(list(simulation.nodes))) == json.loads(winner.command.body)
        base = number


# Versions of weights.


def test_a_version_that_is_named_again_or_late_is_acknowledged_and_changes_nothing():
    state = ServiceState()
    assert state.apply(1, name_revision("m", 3)) == Result(200, value=3)
    assert state.apply(2, name_revision("m", 3)) == Result(200, value=3)
    assert state.apply(3, name_revision("m", 2)) == Result(200, value=3)
    assert state.apply(4, name_revision("n", 1)) == Result(200, value=1)
    assert state.revisions == {"m": 3, "n": 1}


@pytest.mark.parametrize("seed", range(10))
def test_versions_that_race_end_at_the_highest_in_any_order(seed):
    numbers = [1, 2, 3, 4, 4, 2, 1]
    Random(seed).shuffle(numbers)
    state = ServiceState()
    for index, number in enumerate(numbers, 1):
        assert state.apply(index, name_revision("m", number)).status == 200
    assert ServiceState.decode(state.encode()).revisions == {"m": 4}
