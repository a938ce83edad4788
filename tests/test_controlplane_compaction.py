"""Snapshots of a part: encoded in steps, from the state as it was when they began."""

import json

import pytest

from hopsail.controlplane.compaction import BYTES_AT_ONCE, ITEMS_A_STEP, Compaction, json_steps
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.part import Part
from hopsail.replication.state import Members, Ready, Snapshot

TREES = [
    None,
    {},
    [],
    {"configuration": None, "taken": {}},
    {"configuration": {"Revision": 3, "Routes": [], "Limits": {}, "é": "\ud800\u2028"}, "taken": {"a": 1}},
    {"list": list(range(ITEMS_A_STEP)), "longer": [{"n": [n]} for n in range(3 * ITEMS_A_STEP + 1)]},
    {
        "taken": {str(n): n for n in range(2 * ITEMS_A_STEP)},
        "one": {str(n): {} for n in range(ITEMS_A_STEP + 1)},
    },
    {"deep": {"deeper": {"deepest": {"x": [1, 2.5, True, None]}}}},
]


@pytest.mark.parametrize("tree", TREES)
def test_steps_add_up_to_the_json_of_the_whole(tree):
    assert b"".join(json_steps(tree)) == json.dumps(tree, separators=(",", ":")).encode()


def test_each_turn_is_short():
    tree = {"configuration": {"Tenants": [{"Name": f"tenant-{n}"} for n in range(48_000)]}, "taken": {}}
    compaction = Compaction(7, json_steps(tree))
    turns, before = 0, 0
    while (data := compaction.go_on()) is None:
        now = sum(map(len, compaction._encoded))
        assert now - before < 2 * BYTES_AT_ONCE
        turns, before = turns + 1, now
    assert turns > 10 and json.loads(data) == tree


def test_what_is_applied_meanwhile_is_not_in_it():
    state = ConfigurationState()
    state.taken = {str(n): n for n in range(5000)}
    steps = state.encode_steps()
    begun = next(steps)
    state.taken["later"] = 9
    del state.taken["0"]
    assert ConfigurationState.decode(begun + b"".join(steps)).taken == {str(n): n for n in range(5000)}


class Replica:
    """What a part asks of a replica when it takes a snapshot."""

    is_leader = recovering = False
    snapshot_due, applied_index, term = True, 7, 1

    def __init__(self):
        self.readies, self.compacted = [], []

    def take_ready(self):
        return self.readies.pop(0) if self.readies else None

    def compact(self, index, data):
        self.compacted.append((index, data))


def part_with_large_state():
    state = ConfigurationState()
    state.taken = {f"digest-{n}": n for n in range(20_000)}
    replica = Replica()
    nothing = lambda *_: None  # noqa: E731
    apply = lambda state, index, command: state.apply(command)  # noqa: E731
    return Part(0, replica, state, ConfigurationState.decode, apply, nothing, nothing, nothing), replica


def test_part_goes_on_between_steps_and_names_the_index_at_which_it_began():
    part, replica = part_with_large_state()
    begun = dict(part.state.taken)
    part.compact()
    assert not replica.compacted
    replica.applied_index = 9
    part.state.taken["later"] = 1
    part.compact()
    while not replica.compacted:
        part.pump()
    ((index, data),) = replica.compacted
    assert index == 7 and ConfigurationState.decode(data).taken == begun


def test_installed_snapshot_ends_one_that_is_being_encoded():
    part, replica = part_with_large_state()
    part.compact()
    replica.snapshot_due = False
    replica.readies = [Ready(installed=Snapshot(9, 1, Members(), ConfigurationState().encode()))]
    for _ in range(50):
        part.pump()
    assert not replica.compacted and part.state.taken == {}
