"""A large change is judged and applied in steps: the verdicts stay the same, all else goes on in between."""

from collections import deque

import pytest
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
from hopsail.controlplane.configuration_state import LARGE_BYTES, ConfigurationState
from hopsail.controlplane.part import FAULTY, Part
from hopsail.replication.messages import AppendEntriesReply
from hopsail.replication.state import Members, Ready, Snapshot

TENANTS = 4 * STEP_ITEMS


def tenants(count: int = TENANTS) -> list[dict]:
    return [{"Name": f"t-{number}", "ApiKeys": [f"k-{number}"]} for number in range(count)]


def large(revision: int, **more) -> dict:
    return configuration(revision, Tenants=tenants(), **more)


def steps_of(state: ConfigurationState, command) -> tuple[int, tuple]:
    """How many pauses a judgement makes, and its verdict."""
    judging, pauses = state.judging(command), 0
    while True:
        try:
            next(judging)
        except StopIteration as end:
            return pauses, end.value
        pauses += 1


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
    assert len(command.body) > LARGE_BYTES
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
    """A part whose steps are taken one by one."""

    def __init__(self, prepare=ConfigurationState.judging, apply=None):
        self.replica = ScriptedReplica()
        self.sent, self.applied, self.turns = [], [], deque()
        self.part = Part(
            0,
            self.replica,
            ConfigurationState(),
            ConfigurationState.decode,
            apply or (lambda state, index, command: state.apply(command)),
            lambda *_: None,
            lambda part, peer, message: self.sent.append(message),
            lambda part: self.applied.append(part.state.revision),
            prepare,
            self.turns.append,
        )

    def commit(self, *entries, **more) -> None:
        self.replica.readies.append(Ready(committed=list(entries), **more))
        self.replica.applied_index = max([one.index for one in entries], default=self.replica.applied_index)
        self.part.pump()

    def pump(self, times: int) -> None:
        for _ in range(times):
            self.part.pump()

    def step(self) -> None:
        self.turns.popleft()()

    def finish(self) -> None:
        while self.turns:
            self.step()


def test_a_large_entry_is_applied_in_steps_between_which_messages_leave():
    driven, told = Driven(), []
    driven.part.propose(0, put(0, large(1)), told.append)
    driven.commit(entry(1, put(0, large(1))))
    assert (driven.part.state.revision, told, driven.part.applied_index) == (0, [], 0)
    steps = 0
    while driven.turns:
        heartbeat = AppendEntriesReply(1, True, 1, 0, steps, 0, 1, False)
        driven.commit(messages=[("peer", heartbeat)])
        assert driven.sent[-1] is heartbeat
        assert len(driven.turns) == 1
        driven.step()
        steps += 1
    assert steps > 3 * TENANTS // STEP_ITEMS
    assert ([result.status for result in told], driven.applied) == ([200], [1])
    assert (driven.part.state.configuration, driven.part.applied_index) == (large(1), 1)


def test_entries_after_one_that_is_prepared_wait_and_keep_their_order():
    driven, told = Driven(), []
    commands = [put(0, large(1)), put(1, configuration(3)), put(1, configuration(2)), put(3, large(6))]
    for command in commands:
        driven.part.propose(0, command, lambda result: told.append((result.status, result.value)))
    driven.commit(entry(1, commands[0]), entry(2, commands[1]))
    driven.step()
    driven.commit(entry(3, commands[2]), entry(4, commands[3]))
    assert (told, driven.part.applied_index) == ([], 0)
    driven.finish()
    assert told == [(200, 1), (200, 3), (412, 3), (200, 6)]
    assert (driven.part.state.configuration, driven.part.applied_index) == (large(6), 4)


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
    assert prepared.part.state.encode() == plain.part.state.encode()


def test_a_state_lacks_what_is_committed_until_it_is_prepared():
    driven = Driven()
    driven.commit(entry(1, put(0, configuration(1))), entry(2, put(1, large(2))))
    assert not driven.part.has_applied_all and driven.part.state.revision == 1
    driven.finish()
    assert driven.part.has_applied_all and driven.part.state.revision == 2


def test_no_snapshot_is_taken_of_a_state_that_lacks_committed_entries():
    driven, taken = Driven(), []
    driven.replica.compact = lambda index, data: taken.append(index)
    driven.replica.snapshot_due = True
    driven.commit(entry(1, put(0, configuration(1))), entry(2, put(1, large(2))))
    driven.part.compact()
    driven.pump(50)
    assert taken == []
    driven.finish()
    driven.part.compact()
    driven.replica.snapshot_due = False
    driven.pump(50)
    assert taken == [2]


def test_a_snapshot_takes_the_place_of_entries_that_wait():
    driven, source = Driven(), ConfigurationState()
    source.apply(put(0, configuration(9)))
    driven.commit(entry(1, put(0, large(1))), entry(2, put(1, configuration(2))))
    driven.step()
    driven.commit(installed=Snapshot(7, 1, Members(), source.encode()))
    driven.finish()
    assert driven.part.state.configuration == configuration(9)
    assert (driven.part.applied_index, driven.applied) == (driven.replica.applied_index, [9])


def test_a_fault_while_preparing_is_met_again_by_apply_and_keeps_no_other_entry():
    def prepare(state, command):
        yield
        raise ZeroDivisionError

    def apply(state, index, command):
        if index == 1:
            raise ZeroDivisionError
        return state.apply(command)

    driven, told = Driven(prepare, apply), []
    driven.part.propose(0, put(0, configuration(1)), told.append)
    driven.commit(entry(1, put(0, configuration(1))), entry(2, put(0, configuration(3))))
    driven.finish()
    assert (told, driven.part.state.revision) == ([FAULTY], 3)
