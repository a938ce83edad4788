"""The replicated states: what each command does, that it is the same on every replica, and snapshots."""

import copy
import json
import random

import pytest
from steps_taken import in_one_step

from hopsail.configuration.codes import ResultCode
from hopsail.controlplane.commands import Command, CommandKind, Result, decode_command, decode_result
from hopsail.controlplane.configuration_state import MAX_DIGESTS, ConfigurationState
from hopsail.controlplane.shard import UNREADABLE_COMMAND, Shard
from hopsail.controlplane.service_state import SingletonRole, ServiceState
from hopsail.replication.messages import Entry, EntryKind
from hopsail.replication.state import Members, Ready, Snapshot


def route(name="r-a", prefix="/a/", **more) -> dict:
    return {
        "Name": name,
        "Hostname": "one.example",
        "PathPrefix": prefix,
        "RouteKind": "idempotent",
        "DeadlineMs": 4000,
        "Service": "s-a",
        **more,
    }


def configuration(revision=1, **more) -> dict:
    return {
        "Revision": revision,
        "Routes": [route()],
        "Services": [{"Name": "s-a", "HealthPath": "/healthz"}],
        "Limits": {"MaxBodyBytes": 4096},
        "Tenants": [{"Name": "t-a", "ApiKeys": ["key-a"]}, {"Name": "t-b", "ApiKeys": ["key-b"]}],
        **more,
    }


def put(base: int, content) -> Command:
    body = content if type(content) is bytes else json.dumps(content).encode()
    return Command(CommandKind.PUT_CONFIGURATION, base, "", 0, "", body)


def patch(base: int, content) -> Command:
    body = content if type(content) is bytes else json.dumps(content).encode()
    return Command(CommandKind.PATCH_CONFIGURATION, base, "", 0, "", body)


def name_revision(model: str, revision: int) -> Command:
    return Command(CommandKind.NAME_REVISION, 0, model, revision, "", b"")


def acquire(service: str, owner: str) -> Command:
    return Command(CommandKind.ACQUIRE_ROLE, 0, service, 0, owner, b"")


def release(service: str, fence: int, owner: str) -> Command:
    return Command(CommandKind.RELEASE_ROLE, 0, service, fence, owner, b"")


@pytest.fixture
def state() -> ConfigurationState:
    made = ConfigurationState()
    assert made.apply(put(0, configuration(1))).status == 200
    return made


# Commands and results.


@pytest.mark.parametrize("kind", CommandKind)
def test_a_command_survives_its_encoding(kind):
    command = Command(kind, 7, "mödel \n", 9, "node", b'{"a":\n"b"}\n\x00\xff')
    assert decode_command(command.encode()) == command


def test_a_result_survives_its_encoding():
    result = Result(412, 2005, 'Routes["x"]', 9)
    assert decode_result(result.encode()) == result


MUTATIONS = {
    "empty": b"",
    "no line": b"{}",
    "cut": name_revision("m", 1).encode()[:7],
    "unknown kind": b'[99, 0, "", 0, ""]\n',
    "kind as text": b'["put", 0, "", 0, ""]\n',
    "a field too few": b'[1, 0, "", 0]\n',
    "a field too many": b'[1, 0, "", 0, "", 0]\n',
    "a number": b"1\n",
    "null": b"null\n",
    "not text": b"\xff\xfe\n",
}


@pytest.mark.parametrize("data", MUTATIONS.values(), ids=MUTATIONS)
def test_an_unreadable_command_is_told_as_such(data):
    with pytest.raises((ValueError, TypeError)):
        decode_command(data)


# Configuration: the base revision.


def test_the_first_change_builds_on_0():
    state = ConfigurationState()
    assert state.revision == 0
    assert state.apply(put(1, configuration(2))).status == 412
    assert state.configuration is None
    assert state.apply(put(0, configuration(5))) == Result(200, value=5)
    assert state.configuration == configuration(5)


def test_a_patch_may_be_the_first_change():
    state = ConfigurationState()
    upsert = {"Routes": [route()], "Services": [{"Name": "s-a"}]}
    assert state.apply(patch(0, {"Revision": 3, "Upsert": upsert})) == Result(200, value=3)
    assert [item["Name"] for item in state.configuration["Routes"]] == ["r-a"]


@pytest.mark.parametrize("base", [0, 2, 10**6])
@pytest.mark.parametrize("change", [put, patch])
def test_a_stale_base_is_refused_and_changes_nothing(state, base, change):
    before = copy.deepcopy(state.configuration)
    result = state.apply(change(base, configuration(9) if change is put else {"Revision": 9}))
    assert (result.status, result.code, result.value) == (412, ResultCode.REVISION_MISMATCH, 1)
    assert state.configuration == before


def test_two_changes_on_one_revision_have_one_winner(state):
    first, second = (
        put(1, configuration(4, Tenants=[])),
        patch(1, {"Revision": 5, "Remove": {"Tenants": ["t-a"]}}),
    )
    assert state.apply(first).status == 200
    assert state.apply(second).status == 412
    assert state.configuration == configuration(4, Tenants=[])


def test_two_changes_with_one_number_have_one_winner(state):
    assert state.apply(put(1, configuration(4, Tenants=[]))).status == 200
    assert state.apply(put(1, configuration(4))).status == 412
    assert state.configuration["Tenants"] == []


@pytest.mark.parametrize("change", [put(1, configuration(4)), patch(1, {"Revision": 4})])
def test_the_same_change_sent_again_is_acknowledged_and_changes_nothing(state, change):
    assert state.apply(change) == Result(200, value=4)
    assert state.apply(change) == Result(200, value=4)
    assert state.apply(put(4, configuration(6, Tenants=[]))).status == 200
    assert state.apply(change) == Result(200, value=4)  # it was taken, though another one is newer
    assert state.configuration == configuration(6, Tenants=[])


def test_what_differs_in_base_kind_or_body_is_another_change(state):
    body = json.dumps({"Revision": 4, "Routes": [], "Services": []}).encode()
    assert state.apply(put(1, body)).status == 200
    assert state.apply(patch(1, body)).status == 412
    assert state.apply(put(4, body)).status == 400
    assert state.apply(put(1, body + b" ")).status == 412


def test_a_refused_change_is_not_remembered_as_taken(state):
    change = put(3, configuration(8))
    assert state.apply(change).status == 412
    assert state.apply(put(1, configuration(3))).status == 200
    assert state.apply(change) == Result(200, value=8)


def test_changes_remembered_are_bounded():
    state = ConfigurationState()
    empty = {"Routes": [], "Services": []}
    for revision in range(1, MAX_DIGESTS + 10):
        assert state.apply(put(revision - 1, {"Revision": revision, **empty})).status == 200
    assert len(state.taken) == MAX_DIGESTS


# Configuration: what is invalid, one fault at a time.


def without(key: str) -> dict:
    content = configuration(2)
    del content[key]
    return content


def with_route(**more) -> dict:
    return configuration(2, Routes=[route(**more)])


SPLIT = {"Service": "s-a", "Share": 1}
INVALID = {
    "no JSON": b"{",
    "cut short": json.dumps(configuration(2)).encode()[:-1],
    "more after it": json.dumps(configuration(2)).encode() + b"x",
    "empty": b"",
    "a list": b"[]",
    "not UTF-8": b'{"Revision": "\xff"}',
    "NaN": json.dumps(configuration(2, Routes=[route(DeadlineMs=float("nan"))])).encode(),
    "out of range": json.dumps(configuration(2)).replace("4000", "1e999").encode(),
    "half of a surrogate pair": configuration(2, Tenants=[{"Name": "\ud83d", "ApiKeys": ["k"]}]),
    "no revision": without("Revision"),
    "no routes": without("Routes"),
    "no services": without("Services"),
    "revision as text": configuration("2"),
    "revision as fraction": configuration(2.0),
    "revision as flag": configuration(True),
    "the same revision": configuration(1),
    "a lower revision": configuration(0),
    "a negative revision": configuration(-5),
    "an unknown service": with_route(Service="s-z"),
    "no service": with_route(Service=None),
    "an unknown service in a split": with_route(TrafficSplit=[SPLIT, {"Service": "s-z", "Share": 1}]),
    "weights that sum to 0": with_route(TrafficSplit=[{**SPLIT, "Share": 0}, {**SPLIT, "Share": 0}]),
    "a negative weight": with_route(TrafficSplit=[{**SPLIT, "Share": 3}, {**SPLIT, "Share": -1}]),
    "weights that cancel": with_route(TrafficSplit=[{**SPLIT, "Share": 1}, {**SPLIT, "Share": -1}]),
    "a deadline of 0": with_route(DeadlineMs=0),
    "a negative deadline": with_route(DeadlineMs=-1),
    "a prefix without slash at its end": with_route(PathPrefix="/a"),
    "a prefix without slash at its start": with_route(PathPrefix="a/"),
    "two routes of one place": configuration(2, Routes=[route(), route("r-b")]),
    "two routes of one place in other case": configuration(
        2, Routes=[route(), route("r-b", Hostname="ONE.example")]
    ),
    "two routes of one name": configuration(2, Routes=[route(), route(prefix="/b/")]),
    "two services of one name": configuration(2, Services=[{"Name": "s-a"}, {"Name": "s-a"}]),
    "two tenants that share a key": configuration(
        2, Tenants=[{"Name": "t-a", "ApiKeys": ["k"]}, {"Name": "t-b", "ApiKeys": ["x", "k"]}]
    ),
    "a route that is no object": configuration(2, Routes=[7]),
    "keys that are no text": configuration(2, Tenants=[{"Name": "t-a", "ApiKeys": [7]}]),
    "a weight beyond all numbers": with_route(
        TrafficSplit=[{**SPLIT, "Share": 10**400}, {**SPLIT, "Share": 0.5}]
    ),
}


@pytest.mark.parametrize("content", INVALID.values(), ids=INVALID)
def test_an_invalid_configuration_is_refused_and_changes_nothing(state, content):
    before = state.encode()
    result = state.apply(put(1, content))
    assert 400 <= result.status < 500
    assert result.status not in (408, 429)
    assert state.encode() == before


INVALID_PATCHES = {
    "no JSON": b"{",
    "half of a surrogate pair": {"Revision": 2, "Upsert": {"Services": [{"Name": "s\udc00"}]}},
    "no revision": {"Upsert": {}},
    "the same revision": {"Revision": 1},
    "routes that are no list": {"Revision": 2, "Upsert": {"Routes": {}}},
    "a route without name": {"Revision": 2, "Upsert": {"Routes": [{"PathPrefix": "/b/"}]}},
    "an unknown service": {"Revision": 2, "Upsert": {"Routes": [route(Service="s-z")]}},
    "a place that is taken": {"Revision": 2, "Upsert": {"Routes": [route("r-b")]}},
    "a key that is taken": {"Revision": 2, "Upsert": {"Tenants": [{"Name": "t-c", "ApiKeys": ["key-a"]}]}},
    "the service of a route removed": {"Revision": 2, "Remove": {"Services": ["s-a"]}},
    "names that are no text": {"Revision": 2, "Remove": {"Routes": [1]}},
    "a deadline of 0": {"Revision": 2, "Upsert": {"Routes": [route(DeadlineMs=0)]}},
    "one name twice": {"Revision": 2, "Upsert": {"Services": [{"Name": "s-b"}, {"Name": "s-b"}]}},
}


@pytest.mark.parametrize("content", INVALID_PATCHES.values(), ids=INVALID_PATCHES)
def test_an_invalid_patch_is_refused_and_changes_nothing(state, content):
    before = state.encode()
    assert 400 <= state.apply(patch(1, content)).status < 500
    assert state.encode() == before


def test_a_patch_adds_replaces_and_removes(state):
    upsert = {"Routes": [route("r-b", "/b/"), route(DeadlineMs=9)], "Limits": {"IdleTimeoutMs": 5}}
    content = {"Revision": 2, "Upsert": upsert, "Remove": {"Tenants": ["t-a", "t-unknown"]}}
    assert state.apply(patch(1, content)).status == 200
    assert state.configuration["Routes"] == [route(DeadlineMs=9), route("r-b", "/b/")]
    assert [tenant["Name"] for tenant in state.configuration["Tenants"]] == ["t-b"]
    assert state.configuration["Limits"] == {"IdleTimeoutMs": 5}
    assert state.configuration["Revision"] == 2


def test_judging_changes_nothing(state):
    before = state.encode()
    result, built = state.judge(put(1, configuration(2)))
    assert (result, built["Revision"]) == (Result(200, value=2), 2)
    assert state.encode() == before


# Snapshots, and the same state on every replica.


def drawn_configuration_command(draw: random.Random, revision: int, earlier: list[Command]) -> Command:
    kind, new = draw.random(), revision + draw.randint(0, 4)
    if kind < 0.15 and earlier:
        return draw.choice(earlier)
    if kind < 0.25:
        return put(draw.randint(0, revision + 2), draw.choice(list(INVALID.values())))
    if kind < 0.35:
        return put(draw.randint(0, revision + 2), configuration(new))
    if kind < 0.6 or not revision:
        tenants = [
            {"Name": f"t-{number}", "ApiKeys": [f"k-{number}"]} for number in range(draw.randint(0, 4))
        ]
        return put(revision, configuration(new, Tenants=tenants))
    name = f"r-{draw.randint(0, 5)}"
    content = {
        "Revision": new,
        "Upsert": {"Routes": [route(name, f"/{name}/")]},
        "Remove": {"Routes": ["r-3"]},
    }
    return patch(revision, content)


def drawn_configuration_commands(seed: int, count: int) -> list[Command]:
    """Commands of operators who often send on what is current, and now and then again, or nonsense."""
    draw, commands, state = random.Random(seed), [], ConfigurationState()
    for _ in range(count):
        commands.append(drawn_configuration_command(draw, state.revision, commands))
        state.apply(commands[-1])
    return commands


@pytest.mark.parametrize("seed", range(12))
def test_the_same_log_gives_the_same_configuration_with_and_without_snapshots(seed):
    commands = drawn_configuration_commands(seed, 120)
    plain, restored = ConfigurationState(), ConfigurationState()
    draw = random.Random(seed)
    for command in commands:
        command = decode_command(command.encode())
        assert plain.apply(command) == restored.apply(command)
        if draw.random() < 0.2:
            restored = ConfigurationState.decode(restored.encode())
        assert plain.encode() == restored.encode()
    assert plain.revision > 20


@pytest.mark.parametrize("seed", range(12))
def test_revisions_of_the_configuration_only_rise(seed):
    state, taken = ConfigurationState(), []
    for command in drawn_configuration_commands(seed, 120):
        before = state.revision
        result = state.apply(command)
        assert state.revision >= before
        if state.revision != before:
            assert (result.status, command.base) == (200, before)
            taken.append(before)
    assert len(taken) == len(set(taken))  # one change at most built on each revision


def test_a_snapshot_holds_text_of_all_kinds(state):
    content = configuration(2, Tenants=[{"Name": "müller\u2028", "ApiKeys": ["\u00e9\U0001f600"]}])
    assert state.apply(put(1, content)).status == 200
    assert ConfigurationState.decode(state.encode()).configuration == state.configuration


# Services.


def test_named_revisions_only_rise():
    state = ServiceState()
    results = [
        state.apply(index, name_revision("m", number)) for index, number in enumerate([3, 1, 3, 5, 4], 1)
    ]
    assert [result.status for result in results] == [200] * 5
    assert [result.value for result in results] == [3, 3, 3, 5, 5]
    assert state.revisions == {"m": 5}


def test_models_are_apart():
    state = ServiceState()
    state.apply(1, name_revision("a", 4))
    state.apply(2, name_revision("b", 2))
    assert state.revisions == {"a": 4, "b": 2}


def test_each_acquisition_has_a_fence_of_its_own_that_rises():
    state = ServiceState()
    fences = [
        state.apply(index, acquire("s", owner)).value for index, owner in [(4, "x"), (7, "y"), (9, "y")]
    ]
    assert fences == [4, 7, 9]
    assert state.roles["s"] == SingletonRole(9, "y", False, 4, "x")  # the last holder that was another one


def test_only_the_holders_fence_releases_a_duty():
    state = ServiceState()
    state.apply(4, acquire("s", "x"))
    state.apply(5, acquire("s", "y"))
    assert state.apply(6, release("s", 4, "x")).status == 200
    assert not state.roles["s"].released
    state.apply(7, release("s", 5, "y"))
    assert state.roles["s"].released
    state.apply(8, acquire("s", "y"))
    assert state.roles["s"] == SingletonRole(8, "y", False, 4, "x")


def test_a_release_of_an_unknown_duty_does_nothing():
    state = ServiceState()
    assert state.apply(1, release("s", 0, "x")).status == 200
    assert state.roles == {}


@pytest.mark.parametrize("seed", range(12))
def test_the_same_log_gives_the_same_services_and_fences_never_repeat(seed):
    draw = random.Random(seed)
    plain, restored, fences = ServiceState(), ServiceState(), {}
    for index in range(1, 200):
        service, owner = draw.choice("st"), draw.choice("xyz")
        command = draw.choice(
            [
                name_revision(draw.choice("mn"), draw.randint(1, 9)),
                acquire(service, owner),
                release(service, draw.randint(1, index), owner),
                release(service, fences.get(service, [0])[-1], owner),
            ]
        )
        before = dict(plain.revisions)
        assert plain.apply(index, command) == restored.apply(index, command)
        if draw.random() < 0.2:
            restored = ServiceState.decode(restored.encode())
        assert plain.encode() == restored.encode()
        assert all(plain.revisions[model] >= revision for model, revision in before.items())
        if command.kind is CommandKind.ACQUIRE_ROLE:
            fences.setdefault(service, []).append(plain.roles[service].fencing_token)
    for taken in fences.values():
        assert taken == sorted(set(taken))


# The driver: a fault of one entry or of one caller keeps no other entry from being applied.


class ScriptedReplica:
    """Gives one Ready after another; proposals take the next index."""

    def __init__(self):
        self.is_leader, self.term, self.snapshot_due, self.applied_index = True, 1, False, 0
        self.recovering = False
        self.readies, self.proposed = [], []

    def propose(self, now, data):
        self.proposed.append(data)
        return len(self.proposed)

    def take_ready(self):
        return self.readies.pop(0) if self.readies else None


def part_with(replica, state=None, apply=None, applied=lambda shard: None) -> Shard:
    apply = apply or (lambda state, index, command: state.apply(command))
    state = state or ConfigurationState()
    return Shard(
        0,
        replica,
        state,
        in_one_step(ConfigurationState.decode),
        apply,
        lambda *_: None,
        lambda *_: None,
        applied,
    )


def entry(index: int, command, term: int = 1) -> Entry:
    data = command.encode() if isinstance(command, Command) else command
    return Entry(term=term, index=index, kind=int(EntryKind.DATA), data=data)


@pytest.mark.parametrize("data", MUTATIONS.values(), ids=MUTATIONS)
def test_an_unreadable_entry_is_dropped_and_the_rest_applied(data):
    replica = ScriptedReplica()
    shard = part_with(replica)
    replica.readies = [Ready(committed=[entry(1, data), entry(2, put(0, configuration(1)))])]
    shard.pump()
    assert (shard.dropped_entries, shard.state.revision) == (1, 1)


def test_an_entry_that_cannot_be_carried_out_is_dropped_and_the_rest_applied():
    def apply(state, index, command):
        if index == 1:
            raise ZeroDivisionError
        return state.apply(command)

    replica, told = ScriptedReplica(), []
    shard = part_with(replica, apply=apply)
    shard.propose(0, put(0, configuration(1)), told.append)
    replica.readies = [
        Ready(committed=[entry(1, put(0, configuration(1))), entry(2, put(0, configuration(3)))])
    ]
    shard.pump()
    assert (shard.state.revision, told) == (3, [UNREADABLE_COMMAND])


def test_a_caller_that_fails_keeps_no_other_entry_from_being_applied():
    def fails(result):
        raise RuntimeError

    replica, told, applied = ScriptedReplica(), [], []
    shard = part_with(replica, applied=applied.append)
    first, second = put(0, configuration(1)), put(1, configuration(3))
    shard.propose(0, first, fails)
    shard.propose(0, second, told.append)
    replica.readies = [Ready(committed=[entry(1, first), entry(2, second)])]
    shard.pump()
    assert (shard.state.revision, [result.status for result in told], applied) == (3, [200], [shard])


def test_a_subscriber_that_fails_does_not_stop_the_pump():
    def fails(shard):
        raise RuntimeError

    replica = ScriptedReplica()
    shard = part_with(replica, applied=fails)
    replica.readies = [Ready(committed=[entry(1, put(0, configuration(1)))])]
    shard.pump()
    assert shard.state.revision == 1


def test_those_who_wait_are_told_nothing_once_when_the_leadership_is_lost():
    replica, told = ScriptedReplica(), []
    shard = part_with(replica)
    change = put(0, configuration(1))
    shard.propose(0, change, told.append)
    replica.is_leader = False
    shard.pump()
    replica.readies = [Ready(committed=[entry(1, change)])]
    shard.pump()
    assert (told, shard.state.revision) == ([None], 1)


def test_an_entry_of_another_term_at_the_index_answers_nothing():
    replica, told = ScriptedReplica(), []
    shard = part_with(replica)
    shard.propose(0, put(0, configuration(1)), told.append)
    replica.readies = [Ready(committed=[entry(1, put(0, configuration(9)), term=2)])]
    shard.pump()
    assert (told, shard.state.revision) == ([None], 9)


def test_a_snapshot_replaces_the_state_and_is_published():
    source = ConfigurationState()
    source.apply(put(0, configuration(6)))
    replica, applied = ScriptedReplica(), []
    shard = part_with(replica, applied=applied.append)
    replica.readies = [Ready(installed=Snapshot(9, 1, Members(), source.encode()))]
    shard.pump()
    assert (shard.state.configuration, len(applied)) == (configuration(6), 1)


def test_proposals_that_wait_are_bounded(monkeypatch):
    monkeypatch.setattr("hopsail.controlplane.shard.MAX_PENDING_PROPOSALS", 3)
    replica = ScriptedReplica()
    shard = part_with(replica)
    accepted = [shard.propose(0, put(0, configuration(1)), lambda result: None) for _ in range(5)]
    assert accepted == [True, True, True, False, False]
    assert len(replica.proposed) == 3


def test_a_state_too_large_for_a_snapshot_stops_nothing_else():
    def refuses(index, data):
        raise ValueError

    replica = ScriptedReplica()
    replica.snapshot_due, replica.compact = True, refuses
    shard = part_with(replica)
    replica.readies = [Ready(committed=[entry(1, put(0, configuration(1)))])]
    shard.compact()
    assert shard.state.revision == 1
