"""What is done for a change's items alone must come out as if it were done for the whole."""

import copy
import json
import random

import pytest

from hopsail.configuration.changes import table_changes
from hopsail.configuration.checker import apply_patch, check_configuration, parse_patch
from hopsail.configuration.codes import ConfigurationError, ResultCode
from hopsail.configuration.configuration_index import MAX_CHANGES, ConfigurationIndex
from hopsail.configuration.items import ItemJoiner, ItemSplitter, join_items, split_items
from hopsail.configuration.replicated_configuration import ReplicatedConfiguration
from hopsail.configuration.sharded_map import ShardedMap
from hopsail.configuration.route_table import RouteTable
from hopsail.controlplane.commands import Command, CommandKind, Result
from hopsail.controlplane.configuration_state import ConfigurationState

EMPTY = {"Revision": 0, "Routes": [], "Services": [], "Tenants": []}
NAMES = 7
HOSTS = ["a.example", "A.example", "b.example"]
PREFIXES = ["/", "/a/", "/a/b/", "/c/", "/longer/than/others/"]
KEYS = [f"k-{number}" for number in range(9)]
HALF_PAIR = "\ud83d"


# Drawn patches: small pools of names make collisions frequent.


def drawn_route(draw, faults):
    route = {
        "Name": f"r-{draw.randrange(NAMES)}",
        "Hostname": draw.choice(HOSTS),
        "PathPrefix": draw.choice(PREFIXES),
        "RouteKind": "idempotent",
        "DeadlineMs": draw.randint(1, 9),
        "Service": f"s-{draw.randrange(4)}",
    }
    if draw.random() < 0.3:
        splits = [{"Service": f"s-{draw.randrange(4)}", "Share": draw.randint(0, 3)} for _ in range(2)]
        route["TrafficSplit"] = splits
        if draw.random() < 0.5:
            del route["Service"]
    if draw.random() < faults:
        route |= draw.choice(
            [
                {"DeadlineMs": 0},
                {"PathPrefix": "a/"},
                {"Service": "s-unknown"},
                {"Service": ""},
                {"TrafficSplit": []},
                {"TrafficSplit": [{"Service": "s-0", "Share": -1}]},
                {"TrafficSplit": [{"Service": "s-0", "Share": 10**400}, {"Service": "s-0", "Share": 0.5}]},
                {"DeadlineMs": "9"},
                {"Hostname": HALF_PAIR},
            ]
        )
    return route


def drawn_service(draw, faults):
    service = {"Name": f"s-{draw.randrange(4)}", "Zone": draw.choice("ab")}
    if draw.random() < 0.4:
        service["StoreAddr"] = f"10.0.0.{draw.randrange(9)}:80"
    if draw.random() < 0.4:
        service["Runtime"] = {"Models": [{"Name": f"m-{draw.randrange(3)}"}]}
    if draw.random() < faults:
        service["StoreAddr"] = 7
    return service


def drawn_tenant(draw, faults):
    keys = draw.sample(KEYS, draw.randrange(3))
    if keys and draw.random() < 0.2:
        keys.append(keys[0])
    name = HALF_PAIR if draw.random() < faults / 2 else f"t-{draw.randrange(NAMES)}"
    return {"Name": name, "ApiKeys": keys, "Priority": draw.randrange(3)}


def drawn_list(draw, one, faults):
    """Mostly of different names."""
    items = [one(draw, faults) for _ in range(draw.randrange(4))]
    if draw.random() < faults:
        return items
    return list({item["Name"]: item for item in items}.values())


def drawn_patch(draw, revision, faults):
    patch = {"Revision": revision + (draw.randint(-1, 0) if draw.random() < faults else draw.randint(1, 3))}
    upsert, remove = {}, {}
    fields = [("Routes", drawn_route), ("Services", drawn_service), ("Tenants", drawn_tenant)]
    draw.shuffle(fields)
    for field, one in fields:
        if draw.random() < 0.5:
            upsert[field] = None if draw.random() < 0.05 else drawn_list(draw, one, faults)
        if draw.random() < 0.25:
            count = NAMES if field != "Services" else 4
            letter = field[0].lower()
            names = [f"{letter}-{draw.randrange(count)}" for _ in range(draw.randrange(3))]
            remove[field] = names
    if draw.random() < 0.15:
        upsert["Limits"] = draw.choice([{"MaxBodyBytes": draw.randrange(9)}, {}, None])
    if draw.random() < 0.15:
        upsert["NewField"] = draw.choice([[{"Name": "x", "a": 1}], [{"Name": "y"}], 3, [1], HALF_PAIR])
    if draw.random() < 0.1:
        remove["NewField"] = draw.choice([["x"], [1, "y"], "x", [HALF_PAIR]])
    if draw.random() < 0.05:
        upsert["Revision"] = 99
    if upsert or draw.random() < 0.5:
        patch["Upsert"] = upsert
    if remove or draw.random() < 0.5:
        patch["Remove"] = remove
    return patch


def parsed(patch):
    """The patch as the checker reads it, None when it can't be read."""
    try:
        return parse_patch(json.dumps(patch).encode())
    except ConfigurationError:
        return None


def verdict(check):
    """All that a check tells: the fault and those that follow, or that numbers can't be weighed."""
    try:
        check()
    except ConfigurationError as error:
        return [(one.code, one.item) for one in (error, *error.others)]
    except ArithmeticError:
        return "arithmetic"
    return None


def drawn_steps(seed, count, faults=0.25, start=EMPTY):
    """Patches that can be read, each with the configuration it is for, the verdict, and the result."""
    draw = random.Random(seed)
    current = start
    for _ in range(count):
        patch = parsed(drawn_patch(draw, current["Revision"], faults))
        if patch is None:
            continue
        after = apply_patch(current, patch)
        found = verdict(lambda after=after, current=current: check_configuration(after, current["Revision"]))
        yield patch, current, found, after
        if found is None:
            current = after


STARTS = [
    EMPTY,
    {"Revision": 3, "Routes": [], "Services": []},
    {
        "Tenants": None,
        "Revision": 3,
        "Services": [{"Name": "s-1"}],
        "Routes": [],
        "NewField": [{"Name": "x"}],
    },
]


@pytest.mark.parametrize("seed", range(60))
def test_a_patch_is_judged_and_applied_as_the_whole_would_be(seed):
    start = STARTS[seed % len(STARTS)]
    index = ConfigurationIndex(copy.deepcopy(start))
    for patch, current, found, after in drawn_steps(seed, 120, start=start):
        before = copy.deepcopy(patch)
        assert verdict(lambda patch=patch: index.check_patch(patch)) == found
        assert index.configuration == current
        if found is None:
            index.apply_patch(patch)
            assert json.dumps(index.configuration) == json.dumps(after)  # the order counts, too
            assert index.revision == after["Revision"]
        assert patch == before


def test_drawn_patches_meet_every_verdict():
    met = {}
    for seed in range(60):
        for _, _, found, _ in drawn_steps(seed, 120, start=STARTS[seed % len(STARTS)]):
            code = found[0][0] if type(found) is list else found
            met[code] = met.get(code, 0) + 1
    assert met[None] > 500 and met["arithmetic"] > 3
    expected = [
        *(ResultCode.REVISION_NOT_ABOVE, ResultCode.UNKNOWN_SERVICE, ResultCode.DUPLICATE_ROUTE),
        *(ResultCode.BAD_WEIGHTS, ResultCode.BAD_DEADLINE, ResultCode.BAD_PREFIX, ResultCode.SHARED_KEY),
        ResultCode.FIELD_MISSING,
    ]
    assert all(met[code] > 3 for code in expected)
    assert not met.keys() - {None, "arithmetic", *expected}


def judged_as_a_whole(current, command):
    """The result of a patch by the check of the whole, and the configuration after it."""
    try:
        after = apply_patch(current, parse_patch(command.body))
        check_configuration(after, current["Revision"])
        json.dumps(after, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return Result(400, int(ResultCode.UNREADABLE), "body"), current
    except ConfigurationError as error:
        return Result(error.status, int(error.code), error.item), current
    except ArithmeticError:
        return Result(400, int(ResultCode.WRONG_TYPE), "Routes"), current
    return Result(200, value=after["Revision"]), after


@pytest.mark.parametrize("seed", range(40))
def test_the_state_answers_a_patch_as_the_check_of_the_whole_does(seed):
    draw = random.Random(seed)
    state, restored, current = ConfigurationState(), ConfigurationState(), EMPTY
    statuses = []
    for _ in range(120):
        body = json.dumps(drawn_patch(draw, current["Revision"], 0.2)).encode()
        command = Command(CommandKind.PATCH_CONFIGURATION, current["Revision"], "", 0, "", body)
        expected, current = judged_as_a_whole(current, command)
        if draw.random() < 0.5:
            assert state.judge(command)[0] == expected
        if draw.random() < 0.2:
            restored = ConfigurationState.decode(restored.encode())
        assert state.apply(command) == restored.apply(command) == expected
        assert state.encode() == restored.encode()
        if state.configuration is not None:
            assert state.configuration == current
        statuses.append(expected.status)
    assert statuses.count(200) > 10 and statuses.count(400) > 10


def test_what_was_judged_on_an_older_revision_is_judged_again():
    def put(base, revision):
        body = json.dumps({"Revision": revision, "Routes": [], "Services": []}).encode()
        return Command(CommandKind.PUT_CONFIGURATION, base, "", 0, "", body)

    state = ConfigurationState()
    assert state.apply(put(0, 5)).status == 200
    on_five = Command(CommandKind.PATCH_CONFIGURATION, 5, "", 0, "", b'{"Revision": 6}')
    assert state.judge(on_five)[0].status == 200
    assert state.apply(put(5, 9)).status == 200
    assert state.judge(on_five)[0].status == state.apply(on_five).status == 412
    assert state.revision == 9


# Changes as items and as tables.


def accepted(seed, count, start=EMPTY):
    for patch, _, found, after in drawn_steps(seed, count, faults=0.0, start=start):
        if found is None:
            yield patch, after


def shown(table):
    """All that a table tells."""
    paths = [prefix + end for prefix in PREFIXES for end in ("", "x", "x/y?/q")]
    found = {(host, path): table.find(host, path) for host in HOSTS for path in paths}
    return {
        "revision": table.revision,
        "limits": table.limits,
        "needs_key": table.needs_key,
        "routes": found,
        "weights": [table.services_of(route) for route in found.values() if route is not None],
        "tenants": [table.tenant(key) for key in KEYS],
        "services": [(name, table.service(name), table.models_of(name)) for name in table.service_names],
        "stores": (table.stores, table.store_for("a"), table.store_for("b"), table.store_for()),
    }


@pytest.mark.parametrize("seed", range(30))
def test_changes_give_the_items_and_the_table_of_the_whole(seed):
    start = STARTS[seed % len(STARTS)]
    draw = random.Random(seed)
    index, splitter, joiner = ConfigurationIndex(copy.deepcopy(start)), ItemSplitter(), ItemJoiner()
    table = RouteTable(start)
    joiner.fold(splitter.split(start))
    assert index.changes is None
    index.clear_changes()
    for patch, after in accepted(seed, 150, start):
        index.apply_patch(patch)
        if draw.random() < 0.4:
            continue  # several patches may come together
        changes = index.changes
        items = splitter.changed_items(changes)
        assert splitter.changed_items(changes) == items  # nothing is remembered yet
        splitter.fold(changes, items)
        joiner.fold(items)
        older, shown_before = table, shown(table)
        table = table.with_changes(table_changes(changes))
        index.clear_changes()
        assert join_items(splitter.items) == joiner.configuration() == after
        assert [item["Name"] for item in joiner.configuration()["Routes"]] == [
            item["Name"] for item in after["Routes"]
        ]
        assert shown(table) == shown(RouteTable(after))
        assert list(table.service_names) == [service["Name"] for service in after["Services"]]
        assert shown(older) == shown_before
        if draw.random() < 0.1:
            assert join_items(splitter.split(after)) == after


def large(count):
    routes = [
        {"Name": f"r-{number}", "Hostname": "h", "PathPrefix": f"/{number}/", "RouteKind": "mutating"}
        | {"DeadlineMs": 5, "Service": "s-0"}
        for number in range(count)
    ]
    return {"Revision": 1, "Routes": routes, "Services": [{"Name": "s-0"}]}


def test_a_change_of_one_route_names_that_route_and_the_revision():
    index, splitter = ConfigurationIndex(large(300)), ItemSplitter()
    splitter.split(index.configuration)
    index.clear_changes()
    replaced = large(300)["Routes"][40] | {"DeadlineMs": 9}
    index.apply_patch({"Revision": 2, "Upsert": {"Routes": [replaced]}})
    assert splitter.changed_items(index.changes).keys() == {"route/r-40", "revision"}


def test_a_table_shares_what_stays_the_same():
    index = ConfigurationIndex(large(20) | {"Tenants": [{"Name": "t", "ApiKeys": ["k"]}]})
    index.clear_changes()
    table = RouteTable(index.configuration)
    index.apply_patch({"Revision": 2, "Upsert": {"Tenants": [{"Name": "t-2", "ApiKeys": ["k-2"]}]}})
    changed = table.with_changes(table_changes(index.changes))
    assert changed.find("h", "/7/x") is table.find("h", "/7/x")
    assert changed.tenant("k") is table.tenant("k")
    assert (table.tenant("k-2"), changed.tenant("k-2")["Name"]) == (None, "t-2")


def test_changes_that_nobody_takes_are_bounded():
    index = ConfigurationIndex(large(1))
    index.clear_changes()
    for start in range(0, MAX_CHANGES + 1000, 1000):
        tenants = [{"Name": f"t-{start + number}", "ApiKeys": []} for number in range(1000)]
        names = [tenant["Name"] for tenant in tenants]
        index.apply_patch({"Revision": 2, "Upsert": {"Tenants": tenants}})
        index.apply_patch({"Revision": 2, "Remove": {"Tenants": names}})
    assert index.changes is None and index.configuration["Tenants"] == []


def test_a_sharded_map_tells_what_a_dict_does():
    draw = random.Random(1)
    plain, sharded = {}, ShardedMap()
    assert not sharded
    for step in range(400):
        changes = {
            f"k-{draw.randrange(60)}": draw.choice([None, step, step + 1]) for _ in range(draw.randrange(5))
        }
        before = {key: sharded.get(key) for key in map("k-{}".format, range(60))}
        changed = sharded.with_changes(changes)
        assert before == {key: sharded.get(key) for key in before}
        plain = {key: value for key, value in (plain | changes).items() if value is not None}
        sharded = changed
        assert {key: sharded.get(key) for key in before if sharded.get(key) is not None} == plain
        assert bool(sharded) is bool(plain)
    assert {key: ShardedMap(plain.items()).get(key) for key in plain} == plain


# Several feeds.


class Source:
    """A feed of a control process, which splits configurations into items by itself."""

    def __init__(self, name, followed, draw):
        self.name, self.followed, self.draw = name, followed, draw
        self.splitter, self.state = ItemSplitter(), {}

    def tell(self, configuration):
        """Moves on to a configuration; at times as a process that has started anew, with its own numbers."""
        if self.draw.random() < 0.2:
            self.splitter = ItemSplitter({f"route/r-{self.draw.randrange(NAMES)}": b"[7,{}]"})
        items = self.splitter.split(configuration)
        changes = {key: None for key in self.state if key not in items}
        changes |= {key: value for key, value in items.items() if self.state.get(key) != value}
        self.state = items
        return self.followed.apply(self.name, changes.items(), self.state.get)


@pytest.mark.parametrize("seed", range(30))
def test_the_newest_configuration_of_all_feeds_is_in_force(seed):
    draw = random.Random(seed)
    history = [after for _, after in accepted(seed, 150)]
    followed = ReplicatedConfiguration()
    sources = [Source(f"c{number}", followed, draw) for number in range(3)]
    positions = [0, 0, 0]
    newest = 0
    for _ in range(300):
        number = draw.randrange(3)
        step = draw.choice([0, 1, 1, 1, 4, -3])
        positions[number] = min(len(history) - 1, max(0, positions[number] + step))
        configuration = history[positions[number]]
        taken = sources[number].tell(configuration)
        assert taken is (configuration["Revision"] > newest)
        newest = max(newest, configuration["Revision"])
        if draw.random() < 0.05:
            followed.forget(sources[number].name)
            sources[number].state = {}
        expected = next(one for one in history if one["Revision"] == newest)
        assert shown(followed.table) == shown(RouteTable(expected))
        assert list(followed.table.service_names) == [one["Name"] for one in expected["Services"]]
    assert newest > history[len(history) // 2]["Revision"]


def test_items_that_differ_in_their_numbers_alone_are_not_taken_again():
    followed = ReplicatedConfiguration()
    first = split_items(large(50))
    followed.apply("c1", first.items(), first.get)
    renumbered = split_items(large(50), {"route/r-0": b"[77777,{}]"})
    assert renumbered["route/r-9"] != first["route/r-9"]
    renumbered["revision"] = b"2"
    table = followed.table
    assert followed.apply("c2", renumbered.items(), renumbered.get)
    assert all(followed.table.find("h", f"/{n}/") is table.find("h", f"/{n}/") for n in range(50))


@pytest.mark.parametrize("faulty", [b"no json", b"1,2", b"[1]", b"7,", b"7", b"[1,2]", b'["1",{}]'], ids=repr)
def test_a_configuration_with_an_unreadable_item_is_not_taken_until_it_can_be_read(faulty):
    followed = ReplicatedConfiguration()
    state = split_items(large(3))
    assert followed.apply("c1", state.items(), state.get)
    table = followed.table
    good = split_items(large(5) | {"Revision": 2})
    state = good | {"route/r-4": faulty}
    with pytest.raises(ValueError):
        followed.apply("c1", state.items(), state.get)
    assert followed.table is table and table.find("h", "/4/") is None
    state["route/r-4"], state["revision"] = good["route/r-4"], b"3"
    changes = {"route/r-4": state["route/r-4"], "revision": b"3"}
    assert followed.apply("c1", changes.items(), state.get)
    assert shown(followed.table) == shown(RouteTable(large(5) | {"Revision": 3}))
    assert followed.table.find("h", "/3/")["Name"] == "r-3"
    assert followed.table.find("h", "/4/")["Name"] == "r-4"


def test_a_feed_that_is_forgotten_leaves_nothing_behind():
    followed = ReplicatedConfiguration()
    state = split_items(large(3))
    for number in range(5):
        followed.apply(f"c{number}", state.items(), state.get)
        followed.forget(f"c{number}")
    assert not followed._differing and followed.table.revision == 1


@pytest.mark.parametrize(
    "patch",
    [
        {"Upsert": {"Tenants": [{"Name": HALF_PAIR, "ApiKeys": []}]}, "Remove": {"Tenants": [HALF_PAIR]}},
        {"Upsert": {"NewField": [{"Name": HALF_PAIR}]}, "Remove": {"NewField": [HALF_PAIR]}},
        {"Remove": {"Routes": [HALF_PAIR], "Unheard": [HALF_PAIR]}},
        {"Upsert": {"NewField": [{"Name": HALF_PAIR}]}},
        {"Upsert": {HALF_PAIR: 1}},
        {"Upsert": {HALF_PAIR: None}},
        {HALF_PAIR: 1},
    ],
    ids=repr,
)
def test_half_of_a_surrogate_pair_counts_where_it_would_come_into_the_configuration(patch):
    state = ConfigurationState()
    body = json.dumps({"Revision": 1, **patch}).encode()
    expected, _ = judged_as_a_whole(EMPTY, Command(CommandKind.PATCH_CONFIGURATION, 0, "", 0, "", body))
    assert state.apply(Command(CommandKind.PATCH_CONFIGURATION, 0, "", 0, "", body)) == expected
