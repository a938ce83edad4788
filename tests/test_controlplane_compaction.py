"""Snapshots of a shard: encoded in steps, from the state as it was when they began."""

import json

import pytest
from steps_taken import in_one_step, taken_to_end

from hopsail.controlplane.compaction import (
    MAX_BYTES_PER_STEP,
    MAX_ITEMS_ENCODED_PER_STEP,
    MAX_ITEMS_DECODED_PER_STEP,
    Compaction,
    json_encode_steps,
    json_decode_steps,
)
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.shard import Shard
from hopsail.replication.state import Members, Ready, Snapshot

TREES = [
    None,
    {},
    [],
    {"configuration": None, "taken": {}},
    {"configuration": {"Revision": 3, "Routes": [], "Limits": {}, "é": "\ud800\u2028"}, "taken": {"a": 1}},
    {
        "list": list(range(MAX_ITEMS_ENCODED_PER_STEP)),
        "longer": [{"n": [n]} for n in range(3 * MAX_ITEMS_ENCODED_PER_STEP + 1)],
    },
    {
        "taken": {str(n): n for n in range(2 * MAX_ITEMS_ENCODED_PER_STEP)},
        "one": {str(n): {} for n in range(MAX_ITEMS_ENCODED_PER_STEP + 1)},
    },
    {"deep": {"deeper": {"deepest": {"x": [1, 2.5, True, None]}}}},
]


@pytest.mark.parametrize("tree", TREES)
def test_steps_add_up_to_the_json_of_the_whole(tree):
    assert b"".join(json_encode_steps(tree)) == json.dumps(tree, separators=(",", ":")).encode()


def read_in_steps(data: bytes) -> tuple[int, object]:
    """How many pauses the reading makes, and what is read."""
    return taken_to_end(json_decode_steps(data))


@pytest.mark.parametrize("tree", TREES)
def test_what_is_read_in_steps_is_what_was_encoded(tree):
    data = b"".join(json_encode_steps(tree))
    assert read_in_steps(data)[1] == tree == json.loads(data)


@pytest.mark.parametrize("tree", TREES)
def test_what_is_cut_short_or_has_more_after_it_is_not_read(tree):
    data = b"".join(json_encode_steps(tree))
    for wrong in [data[:end] for end in range(0, len(data), max(1, len(data) // 200))] + [data + b"0"]:
        with pytest.raises(ValueError):
            read_in_steps(wrong)


@pytest.mark.parametrize("wrong", [b'{"a" 1}', b'{"a":1 "b":2}', b"[1 2]", b'{"a":[1}', b'{"a":{"b":1]}'])
def test_what_is_no_json_is_not_read(wrong):
    with pytest.raises(ValueError):
        read_in_steps(wrong)


def test_a_long_list_and_a_long_object_are_read_in_steps():
    count = 10 * MAX_ITEMS_DECODED_PER_STEP
    long_list = {"configuration": {"Tenants": [{"Name": f"t-{n}"} for n in range(count)]}, "taken": {}}
    long_object = {"configuration": None, "taken": {str(n): n for n in range(count)}}
    for tree in (long_list, long_object):
        pauses, read = read_in_steps(b"".join(json_encode_steps(tree)))
        assert read == tree and pauses >= 9


def test_keys_that_are_alike_are_one_string():
    _, read = read_in_steps(b'[{"some name":1},{"some name":2}]')
    first, second = (next(iter(item)) for item in read)
    assert first is second


def test_each_turn_is_short():
    tree = {"configuration": {"Tenants": [{"Name": f"tenant-{n}"} for n in range(48_000)]}, "taken": {}}
    compaction = Compaction(7, json_encode_steps(tree))
    turns, before = 0, 0
    while (data := compaction.advance()) is None:
        now = sum(map(len, compaction._encoded))
        assert now - before < 2 * MAX_BYTES_PER_STEP
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
    """What a shard asks of a replica when it takes a snapshot."""

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
    return Shard(
        0, replica, state, in_one_step(ConfigurationState.decode), apply, nothing, nothing, nothing
    ), replica


def test_part_goes_on_between_steps_and_names_the_index_at_which_it_began():
    shard, replica = part_with_large_state()
    begun = dict(shard.state.taken)
    shard.compact()
    assert not replica.compacted
    replica.applied_index = 9
    shard.state.taken["later"] = 1
    shard.compact()
    while not replica.compacted:
        shard.pump()
    ((index, data),) = replica.compacted
    assert index == 7 and ConfigurationState.decode(data).taken == begun


def test_installed_snapshot_ends_one_that_is_being_encoded():
    shard, replica = part_with_large_state()
    shard.compact()
    replica.snapshot_due = False
    replica.readies = [Ready(installed=Snapshot(9, 1, Members(), ConfigurationState().encode()))]
    for _ in range(50):
        shard.pump()
    assert not replica.compacted and shard.state.taken == {}
