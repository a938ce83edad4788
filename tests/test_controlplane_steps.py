"""A large change is judged and applied in steps: the verdicts stay the same, all else goes on in between."""

import json
from collections import deque

import pytest
from controlplane_simulation import Change
from steps_taken import in_one_step, taken_to_end
from test_controlplane_cluster import acknowledged, others, started
from test_controlplane_state import (
    INVALID,
    INVALID_PATCHES,
    ScriptedReplica,
    configuration,
    entry,
    patch,
    put,
    route,
)

from hopsail.configuration.checker import STEP_ITEMS
from hopsail.configuration.configuration_index import ConfigurationIndex
from hopsail.controlplane import decisions
from hopsail.controlplane.configuration_state import MIN_LARGE_BODY_BYTES, ConfigurationState
from hopsail.controlplane.shard import UNREADABLE_COMMAND, Shard
from hopsail.replication import log
from hopsail.replication.messages import AppendEntriesReply
from hopsail.replication.replica import RECENT_REPLY_NS
from hopsail.replication.state import MILLISECOND, Members, Ready, Snapshot

TENANTS = 4 * STEP_ITEMS


def tenants(count: int = TENANTS) -> list[dict]:
    return [{"Name": f"t-{number}", "ApiKeys": [f"k-{number}"]} for number in range(count)]


def large(revision: int, **more) -> dict:
    return configuration(revision, Tenants=tenants(), **more)


def steps_of(state: ConfigurationState, command) -> tuple[int, tuple]:
    """How many pauses a judgement makes, and its verdict."""
    return taken_to_end(state.judging(command))


@pytest.fixture
def state() -> ConfigurationState:
    made = ConfigurationState()
    made.apply(put(0, configuration(1)))
    return made


# Judging.


def test_a_small_change_is_judged_at_once(state):
    assert steps_of(state, put(1, configuration(2)))[0] == 0
    assert steps_of(state, patch(1, {"Revision": 2}))[0] == 0


def test_a_large_configuration_is_judged_in_steps(state):
    command = put(1, large(2))
    pauses, (result, _) = steps_of(state, command)
    assert result.status == 200
    assert len(command.body) > MIN_LARGE_BODY_BYTES
    assert pauses >= 3 * TENANTS // STEP_ITEMS  # types, names, keys
    assert steps_of(state, command)[0] == 0  # what was found is kept
    assert state.apply(command).status == 200
    assert state.configuration == large(2)


def test_a_large_patch_is_judged_in_steps(state):
    command = patch(1, {"Revision": 2, "Upsert": {"Tenants": tenants()}})
    pauses, (result, _) = steps_of(state, command)
    assert result.status == 200
    assert pauses >= 2 * TENANTS // STEP_ITEMS


@pytest.mark.parametrize("at", [0, STEP_ITEMS - 1, STEP_ITEMS, TENANTS - 1])
@pytest.mark.parametrize("key", [7, "k-5"])
def test_a_fault_in_any_slice_is_found_and_named(state, at, key):
    content = large(2)
    content["Tenants"][at]["ApiKeys"] = ["x", key]
    pauses, (result, built) = steps_of(state, put(1, content))
    assert (result.status, built) == (400, None)
    faulty = at if key == 7 else max(at, 5)  # of two that share a key, the later one
    assert result.item.startswith(f"Tenants[t-{faulty}].ApiKeys")


def test_a_route_in_any_slice_is_looked_at(state):
    routes = [route(f"r-{number}", f"/{number}/") for number in range(2 * STEP_ITEMS)]
    routes[-1]["DeadlineMs"] = 0
    _, (result, _) = steps_of(state, put(1, configuration(2, Routes=routes)))
    assert (result.status, result.item) == (400, f"Routes[r-{2 * STEP_ITEMS - 1}].DeadlineMs")


CONTENTS = [(put, content) for content in INVALID.values()]
CONTENTS += [(patch, content) for content in INVALID_PATCHES.values()]


@pytest.mark.parametrize(("change", "content"), CONTENTS, ids=range(len(CONTENTS)))
def test_in_steps_the_verdict_is_the_same(state, change, content):
    _, (result, built) = steps_of(state, change(1, content))
    assert (result.status // 100, built) == (4, None)
    assert state.apply(change(1, content)) == result


def test_a_change_in_between_makes_the_judgement_worthless(state):
    command = put(1, large(5))
    judging = state.judging(command)
    next(judging)
    assert state.apply(put(1, configuration(3))).status == 200
    for _ in judging:
        pass
    assert state.judge(command)[0].status == 412
    assert state.apply(command).status == 412
    assert state.configuration == configuration(3)


def test_a_patch_in_between_makes_the_judgement_worthless(state):
    command = put(1, large(5))
    judging = state.judging(command)
    next(judging)
    assert state.apply(patch(1, {"Revision": 3})).status == 200
    for _ in judging:
        pass
    assert state.apply(command).status == 412
    assert state.revision == 3


# Applying.


class Driven:
    """A shard whose steps are taken one by one."""

    def __init__(self, prepare=ConfigurationState.judging, apply=None, decoding=None):
        self.replica = ScriptedReplica()
        self.sent, self.applied, self.turns = [], [], deque()
        self.shard = Shard(
            0,
            self.replica,
            ConfigurationState(),
            decoding or in_one_step(ConfigurationState.decode),
            apply or (lambda state, index, command: state.apply(command)),
            lambda *_: None,
            lambda shard, peer, message: self.sent.append(message),
            lambda shard: self.applied.append(shard.state.revision),
            prepare,
            self.turns.append,
        )

    def commit(self, *entries, **more) -> None:
        self.replica.readies.append(Ready(committed=list(entries), **more))
        self.replica.applied_index = max([one.index for one in entries], default=self.replica.applied_index)
        self.shard.pump()

    def pump(self, times: int) -> None:
        for _ in range(times):
            self.shard.pump()

    def step(self) -> None:
        self.turns.popleft()()

    def finish(self) -> None:
        while self.turns:
            self.step()


def test_a_large_entry_is_applied_in_steps_between_which_messages_leave():
    driven, told = Driven(), []
    driven.shard.propose(0, put(0, large(1)), told.append)
    driven.commit(entry(1, put(0, large(1))))
    assert (driven.shard.state.revision, told, driven.shard.applied_index) == (0, [], 0)
    steps = 0
    while driven.turns:
        heartbeat = AppendEntriesReply(
            term=1,
            success=True,
            match=1,
            hint=0,
            heartbeat_round=steps,
            sent_at=0,
            incarnation=1,
            recovering=False,
        )
        driven.commit(messages=[("peer", heartbeat)])
        assert driven.sent[-1] is heartbeat
        assert len(driven.turns) == 1
        driven.step()
        steps += 1
    assert steps > 3 * TENANTS // STEP_ITEMS
    assert ([result.status for result in told], driven.applied) == ([200], [1])
    assert (driven.shard.state.configuration, driven.shard.applied_index) == (large(1), 1)


def test_entries_after_one_that_is_prepared_wait_and_keep_their_order():
    driven, told = Driven(), []
    commands = [put(0, large(1)), put(1, configuration(3)), put(1, configuration(2)), put(3, large(6))]
    for command in commands:
        driven.shard.propose(0, command, lambda result: told.append((result.status, result.value)))
    driven.commit(entry(1, commands[0]), entry(2, commands[1]))
    driven.step()
    driven.commit(entry(3, commands[2]), entry(4, commands[3]))
    assert (told, driven.shard.applied_index) == ([], 0)
    driven.finish()
    assert told == [(200, 1), (200, 3), (412, 3), (200, 6)]
    assert (driven.shard.state.configuration, driven.shard.applied_index) == (large(6), 4)


def test_prepared_or_not_every_replica_gets_the_same_state():
    commands = [
        put(0, large(1)),
        put(0, large(2)),
        patch(1, {"Revision": 4, "Upsert": {"Tenants": tenants()}}),
    ]
    entries = [entry(index, command) for index, command in enumerate(commands, 1)]
    prepared, plain = Driven(), Driven(prepare=None)
    prepared.commit(*entries)
    prepared.finish()
    plain.commit(*entries)
    assert not plain.turns
    assert prepared.shard.state.encode() == plain.shard.state.encode()


def test_a_state_lacks_what_is_committed_until_it_is_prepared():
    driven = Driven()
    driven.commit(entry(1, put(0, configuration(1))), entry(2, put(1, large(2))))
    assert not driven.shard.has_applied_all and driven.shard.state.revision == 1
    driven.finish()
    assert driven.shard.has_applied_all and driven.shard.state.revision == 2


def check_snapshot_waits(driven, index):
    """A snapshot that is due is taken once the state is whole, as of this index."""
    taken = []
    driven.replica.compact = lambda index, data: taken.append(index)
    driven.replica.snapshot_due = True
    driven.shard.compact()
    driven.pump(50)
    assert taken == []
    driven.finish()
    driven.shard.compact()
    driven.replica.snapshot_due = False
    driven.pump(50)
    assert taken == [index]


def test_no_snapshot_is_taken_of_a_state_that_lacks_committed_entries():
    driven = Driven()
    driven.commit(entry(1, put(0, configuration(1))), entry(2, put(1, large(2))))
    check_snapshot_waits(driven, 2)


def test_a_snapshot_takes_the_place_of_entries_that_wait():
    driven, source = Driven(), ConfigurationState()
    source.apply(put(0, configuration(9)))
    driven.commit(entry(1, put(0, large(1))), entry(2, put(1, configuration(2))))
    driven.step()
    driven.commit(installed=Snapshot(7, 1, Members(), source.encode()))
    driven.finish()
    assert driven.shard.state.configuration == configuration(9)
    assert (driven.shard.applied_index, driven.applied) == (driven.replica.applied_index, [9])


def test_a_fault_while_preparing_is_met_again_by_apply_and_keeps_no_other_entry():
    def prepare(state, command):
        yield
        raise ZeroDivisionError

    def apply(state, index, command):
        if index == 1:
            raise ZeroDivisionError
        return state.apply(command)

    driven, told = Driven(prepare, apply), []
    driven.shard.propose(0, put(0, configuration(1)), told.append)
    driven.commit(entry(1, put(0, configuration(1))), entry(2, put(0, configuration(3))))
    driven.finish()
    assert (told, driven.shard.state.revision) == ([UNREADABLE_COMMAND], 3)


# Installing.


def state_of(*commands) -> ConfigurationState:
    made = ConfigurationState()
    for command in commands:
        assert made.apply(command).status == 200
    return made


def snapshot_of(index: int, state: ConfigurationState) -> Snapshot:
    return Snapshot(index, 1, Members(), state.encode())


def installing() -> Driven:
    """A shard with revision 1 at index 1, that has begun to install revision 5 at index 7."""
    driven = Driven(decoding=ConfigurationState.decoding)
    driven.commit(entry(1, put(0, configuration(1))))
    driven.replica.applied_index = 7
    driven.commit(installed=snapshot_of(7, state_of(put(0, large(5)))))
    return driven


def test_an_index_is_built_in_steps_and_is_the_same():
    pauses, built = taken_to_end(ConfigurationIndex.build_steps(large(3)))
    assert pauses >= TENANTS // STEP_ITEMS
    assert vars(built) == vars(ConfigurationIndex(large(3)))


def test_a_large_snapshot_is_installed_in_steps_between_which_messages_leave():
    driven, steps = installing(), 0
    while driven.turns:
        heartbeat = AppendEntriesReply(
            term=1,
            success=True,
            match=1,
            hint=0,
            heartbeat_round=steps,
            sent_at=0,
            incarnation=1,
            recovering=False,
        )
        driven.commit(messages=[("peer", heartbeat)])
        assert driven.sent[-1] is heartbeat and len(driven.turns) == 1
        assert (driven.shard.state.configuration, driven.applied) == (configuration(1), [1])
        assert not driven.shard.has_applied_all and driven.shard.applied_index == 0
        driven.step()
        steps += 1
    assert steps >= 2 * TENANTS // STEP_ITEMS - 1  # its text, its indexes
    assert driven.shard.has_applied_all and driven.shard.applied_index == 7
    assert (driven.shard.state.configuration, driven.applied) == (large(5), [1, 5])


def test_a_small_snapshot_is_installed_at_once():
    driven = Driven(decoding=ConfigurationState.decoding)
    driven.replica.applied_index = 7
    driven.commit(installed=snapshot_of(7, state_of(put(0, configuration(4)))))
    assert not driven.turns and driven.shard.has_applied_all
    assert (driven.shard.state.configuration, driven.shard.applied_index) == (configuration(4), 7)


def test_entries_after_a_snapshot_wait_until_it_is_installed():
    driven = installing()
    driven.commit(entry(8, put(5, configuration(6))), entry(9, put(1, configuration(2))))
    driven.pump(5)
    assert (driven.shard.state.revision, driven.shard.applied_index) == (1, 0)
    driven.finish()
    assert (driven.shard.state.configuration, driven.shard.applied_index) == (configuration(6), 9)


@pytest.mark.parametrize("steps", range(7))
def test_a_newer_snapshot_takes_the_place_of_one_that_is_being_installed(steps):
    driven = installing()
    for _ in range(steps):
        driven.step()
        assert driven.shard.state.revision == 1
    driven.commit(entry(8, put(5, configuration(6))))
    driven.replica.applied_index = 20
    driven.commit(installed=snapshot_of(20, state_of(put(0, large(9)))))
    driven.finish()
    assert driven.shard.has_applied_all and driven.shard.applied_index == 20
    assert (driven.shard.state.configuration, driven.applied) == (large(9), [1, 9])


def test_no_snapshot_is_taken_while_one_is_installed():
    check_snapshot_waits(installing(), 7)


@pytest.mark.parametrize("at_once", [True, False])
def test_nothing_is_applied_to_the_old_state_when_a_snapshot_cannot_be_decoded(at_once):
    driven = Driven(decoding=None if at_once else ConfigurationState.decoding)
    driven.commit(entry(1, put(0, configuration(1))))
    driven.replica.applied_index = 7
    driven.commit(installed=Snapshot(7, 1, Members(), state_of(put(0, large(5))).encode()[:-1]))
    driven.commit(entry(8, put(1, configuration(2))))
    driven.finish()
    assert not driven.shard.has_applied_all and driven.shard.applied_index == 0
    assert (driven.shard.state.revision, driven.applied) == (1, [1])
    driven.replica.applied_index = 9
    driven.commit(installed=snapshot_of(9, state_of(put(0, configuration(8)))))
    driven.finish()
    assert (driven.shard.state.revision, driven.shard.applied_index) == (8, 9)


def taken(simulation, operators, content: dict, is_patch: bool) -> None:
    """Has a change taken."""
    change = Change(content["Revision"], operators.newest, json.dumps(content).encode(), is_patch)
    operators.changes[change.revision] = change
    operators._number = change.revision
    operators._send(change)
    simulation.run_until(lambda: change.result)
    assert change.result.status == 200


@pytest.fixture
def behind_a_large_state(monkeypatch):
    """Starts a control side with a large configuration, and a member that needs it after it lost its disk."""
    monkeypatch.setattr(log, "RETAINED_ENTRIES", 1)

    def start(seed: int):
        simulation, operators = started(seed=seed, snapshot_after=3)
        acknowledged(simulation, operators)
        wiped = others(simulation, simulation.settled_leader())[0]
        simulation.crash(wiped, wipe=True)
        simulation.run(RECENT_REPLY_NS)
        taken(simulation, operators, large(500), is_patch=False)
        for revision in range(501, 508):
            taken(simulation, operators, {"Revision": revision}, is_patch=True)
        simulation.start(wiped)
        simulation.run_until(lambda: simulation.process(wiped).shard._is_installing)
        return simulation, operators, wiped

    return start


def test_a_member_that_installs_votes_leads_and_tells_nothing_old(monkeypatch, behind_a_large_state):
    """It takes the lead while it decodes: reads and changes wait for the whole state."""
    monkeypatch.setattr(decisions, "STEP_INTERVAL_MS", 150)
    for seed in range(5):
        simulation, operators, wiped = behind_a_large_state(seed)
        simulation.run_until(lambda name=wiped, s=simulation: not s.nodes[name].replica.recovering)
        assert simulation.process(wiped).shard._is_installing
        simulation.transfer(simulation.settled_leader())
        simulation.run_until(simulation.settled_leader)
        answers = [operators.read(name) for name in simulation.nodes]
        changes = [operators.change() for _ in range(3)]
        simulation.run(300 * MILLISECOND)
        assert simulation.process(wiped).shard._is_installing
        operators.check_end()
        assert all(answers) and sum(change.result.status == 200 for change in changes) == 1


@pytest.mark.parametrize("steps", [0, 1, 3, 6])
@pytest.mark.parametrize("wipe", [False, True])
def test_a_restart_while_a_snapshot_is_installed_leaves_the_old_state_or_the_new(
    behind_a_large_state, steps, wipe
):
    simulation, operators, wiped = behind_a_large_state(seed=steps)
    simulation.run(steps * MILLISECOND)
    simulation.crash(wiped, wipe=wipe)
    simulation.start(wiped)
    seen = set()

    def has_caught_up() -> bool:
        shard = simulation.process(wiped).shard
        seen.add(shard.state.revision)
        return shard.has_applied_all and shard.state.revision == operators.newest

    simulation.run_until(has_caught_up)
    assert all(not revision or revision >= 500 for revision in seen)
    operators.check_end()
