"""Items, verdicts and settings of fixed and drawn configurations, compared to those first recorded.

`python tests/golden/test_golden_configuration.py` records a data file that does not exist yet.
"""

import copy
import dataclasses
import hashlib
import json
import random

from hopsail.configuration.changes import table_changes
from hopsail.configuration.checker import apply_patch, check_configuration, parse_configuration, parse_patch
from hopsail.configuration.codes import ConfigurationError, ResultCode, SettingsError
from hopsail.configuration.configuration_index import ConfigurationIndex
from hopsail.configuration.items import ItemJoiner, ItemSplitter, canonical, join_items, split_items
from hopsail.configuration.process import parse_settings
from hopsail.configuration.replicated_configuration import ReplicatedConfiguration
from hopsail.configuration.required_settings import (
    CONTROL_PLANE_SETTINGS,
    DATA_PLANE_SETTINGS,
    missing_settings,
)
from hopsail.configuration.route_table import RouteTable
from paths import DATA

GOLDEN_FILE = DATA / "golden/configuration/golden.json"

VALID = {
    "Revision": 7,
    "Routes": [
        {
            "Name": "r-a",
            "Hostname": "One.example",
            "PathPrefix": "/a/",
            "RouteKind": "streaming",
            "DeadlineMs": 4000,
            "Service": "s-a",
            "MaxTries": 2,
            "Affine": True,
            "gap_aim_ms": 250,
        },
        {
            "Name": "r-\u00e4",
            "Hostname": "one.example",
            "PathPrefix": "/b/",
            "RouteKind": "mutating",
            "DeadlineMs": 6000.5,
            "TrafficSplit": [{"Service": "s-a", "Share": 90}, {"Service": "s-b", "Share": 10}],
        },
    ],
    "Services": [
        {"Name": "s-a", "Runtime": {"Capacity": 24, "Models": [{"Name": "m-a"}, {"Name": "m-b"}]}},
        {"Name": "s-b", "MaxConns": 20},
        {"Name": "store", "StoreAddr": "172.20.0.2:8165", "Zone": "z-a"},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304},
    "Tenants": [
        {"Name": "t-a", "ApiKeys": ["k-1", "k-2"], "Priority": 1, "Isolated": True},
        {"Name": "t-b", "ApiKeys": ["k-3"]},
    ],
    "Other": {"b": [1, 2.5], "a": None},
}
PATCHES = [
    {"Revision": 8, "Upsert": {"Routes": [{**VALID["Routes"][0], "DeadlineMs": 5}]}, "Remove": {}},
    {
        "Revision": 9,
        "Upsert": {"Services": [{"Name": "s-c"}], "Limits": {}},
        "Remove": {"Tenants": ["t-a", "?"]},
    },
    {"Revision": 10, "Remove": {"Services": ["s-b", "s-a"]}},
    {"Revision": 7, "Upsert": {"Tenants": [{"Name": "t-c", "ApiKeys": ["k-1"]}], "Other": 5}},
    {"Revision": 11, "Upsert": {"Routes": [{"Name": "r-c"}, {"Name": 5}]}, "Remove": {"Routes": [1, "x"]}},
    {"Revision": 12, "Upsert": [], "Remove": {"Tenants": "x"}},
    {"Revision": "8"},
    {"Upsert": {"Services": [{"Name": "s-z"}, {"Name": "s-z"}], "Limits": {"MaxBodyBytes": "1"}}},
]
VALUES = (None, 0, -1, 1.5, True, "", "x", [], [5], {}, {"Name": "r-a"}, [{"Name": "x"}, {"Name": "x"}])

SETTINGS = """\
# comment
NodeName=edge-z-a-1
Role=my-edge
Serves=edge, control,,
Ip=10.1.0.36
Zone=z-a
Zones.z-a=r-a
Zones.z-b=r-b
Listen.Frontend=10.1.0.36:8167
Listen.ControlPlane=10.1.0.36:8169
PortRange=7640,7655
SeedNodes=10.1.0.39:8169,10.2.0.24:8169
Bootstrap=TRUE
Limits.CpuFraction=0.25
Limits.CoreCount=3.0
Invariants=base,drain
Bounds.RetryRatio=0.3
Bounds.FenceChecked=false
Unknown.Key=5
"""
SETTINGS_CHANGES = [
    "NodeName=",
    "Zone=",
    "PortRange=7655,7640",
    "PortRange=1,2,3",
    "PortRange=",
    "Listen.Frontend=x",
    "Listen.Frontend=10.0.0.1:0",
    "Listen.Readiness=10.0.0.1:70000",
    "Listen.Readiness=10.0.0.1:99",
    "SeedNodes=10.0.0.1:5,y",
    "Bootstrap=yes",
    "Limits.FdLimit=1.5",
    "Limits.MemoryMb=-1",
    "Limits.MemoryMb=nan",
    "Limits.LinkMbps=x",
    "Bounds.ContactMs=2e3",
    "DataPath=/data",
    "Region=r-z",
    "no line",
    "=5",
]


def faults_of(call):
    """The number, item and status of each fault that a call raises, none when it raises nothing."""
    try:
        call()
    except ConfigurationError as error:
        return [[int(one.code), one.item, one.status, str(one)] for one in (error, *error.others)]
    except ArithmeticError:
        return ["arithmetic"]
    return []


def all_changes(value, path=()):
    """Each path of a value with each replacement that is tried at it."""
    if path:
        yield path, "remove"
        yield from ((path, index) for index in range(len(VALUES)))
    if isinstance(value, dict):
        for key, item in value.items():
            yield from all_changes(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from all_changes(item, (*path, index))


def changed(value, path, replacement):
    value = copy.deepcopy(value)
    parent = value
    for key in path[:-1]:
        parent = parent[key]
    if replacement == "remove":
        del parent[path[-1]]
    else:
        parent[path[-1]] = copy.deepcopy(VALUES[replacement])
    return value


def configuration_verdict(configuration):
    def check():
        check_configuration(parse_configuration(json.dumps(configuration).encode()), 5)

    return faults_of(check)


def patch_verdict(patch):
    """Verdicts on a patch by the whole and by the index, which are the same."""
    parsed = []
    faults = faults_of(lambda: parsed.append(parse_patch(json.dumps(patch).encode())))
    if faults:
        return faults
    index = ConfigurationIndex(copy.deepcopy(VALID))
    by_index = faults_of(lambda: index.check_patch(parsed[0]))
    patched = apply_patch(copy.deepcopy(VALID), parsed[0])
    assert by_index == faults_of(lambda: check_configuration(patched, 7))
    return [by_index, hashlib.sha256(canonical(patched)).hexdigest()]


def configuration_verdicts():
    """A hash over the verdicts on the valid configuration with any one value replaced."""
    digest = hashlib.sha256()
    for path, replacement in all_changes(VALID):
        verdict = configuration_verdict(changed(VALID, path, replacement))
        digest.update(json.dumps([path, replacement, verdict]).encode())
    return digest.hexdigest()


def patch_verdicts():
    """A hash over the verdicts on patches with any one value replaced."""
    digest = hashlib.sha256()
    for number, patch in enumerate(PATCHES):
        for path, replacement in all_changes(patch):
            verdict = patch_verdict(changed(patch, path, replacement))
            digest.update(json.dumps([number, path, replacement, verdict]).encode())
    return digest.hexdigest()


def faults_of_bodies():
    bodies = [b"", b"{", b"[]", b"\xff", b'{"Revision": NaN}', b'{"Revision": 1e999}', b"[" * 99_999, b"{}"]
    bodies.append(b'\xef\xbb\xbf{"Revision": 6, "Routes": [], "Services": []}')
    return [
        [
            faults_of(lambda body=body: parse_configuration(body)),
            faults_of(lambda body=body: parse_patch(body)),
        ]
        for body in bodies
    ]


def result_codes():
    return {code.name: [int(code), code.status, code.meaning] for code in ResultCode}


def plain_settings(settings):
    """The values of settings in the order of their fields, without the names."""
    values = []
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if dataclasses.is_dataclass(value):
            value = plain_settings(value)
        elif isinstance(value, frozenset):
            value = sorted(value)
        values.append(value)
    return values


def settings_read(text):
    try:
        settings = parse_settings(text)
    except SettingsError as error:
        return [int(error.code), error.key, str(error)]
    missing = [
        [int(error.code), error.key]
        for needs in (DATA_PLANE_SETTINGS, CONTROL_PLANE_SETTINGS)
        for error in missing_settings(needs, settings)
    ]
    return json.loads(json.dumps([plain_settings(settings), missing]))


def all_settings():
    return {change: settings_read(f"{SETTINGS}{change}\n") for change in ["", *SETTINGS_CHANGES]}


def items_hex(items):
    return {key: value.hex() for key, value in items.items()}


def valid_items():
    return items_hex(split_items(copy.deepcopy(VALID)))


def drawn_patch(draw, revision):
    """A patch, sometimes faulty, with names from small pools."""
    routes = [
        {
            "Name": f"r-{draw.randrange(9)}",
            "Hostname": draw.choice(("a.example", "A.example", "b.example")),
            "PathPrefix": draw.choice(("/", "/a/", "/a/b/", "/c/", "/d/", "/longer/")),
            "RouteKind": "idempotent",
            "DeadlineMs": draw.randrange(-1, 20) * 10,
            "Service": f"s-{draw.randrange(4)}",
        }
        for _ in range(draw.randrange(4))
    ]
    if routes and draw.random() < 0.3:
        routes[0]["TrafficSplit"] = [
            {"Service": f"s-{draw.randrange(4)}", "Share": draw.randrange(3)} for _ in range(2)
        ]
    services = [
        {"Name": f"s-{draw.randrange(4)}", "Runtime": {"Models": [{"Name": f"m-{draw.randrange(3)}"}]}}
        for _ in range(draw.randrange(3))
    ]
    tenants = [
        {"Name": f"t-{draw.randrange(6)}", "ApiKeys": [f"k-{draw.randrange(12)}"]}
        for _ in range(draw.randrange(2))
    ]
    patch = {"Revision": revision + draw.choice((0, 1, 1, 1, 1, 1, 2)), "Upsert": {}, "Remove": {}}
    for field, items in (("Routes", routes), ("Services", services), ("Tenants", tenants)):
        if items:
            patch["Upsert"][field] = list({item["Name"]: item for item in items}.values())
        if draw.random() < 0.2:
            patch["Remove"][field] = [f"{field[0].lower()}-{draw.randrange(9)}"]
    if draw.random() < 0.1:
        patch["Upsert"]["Limits"] = {"MaxBodyBytes": draw.randrange(99)}
    if draw.random() < 0.1:
        patch["Upsert"]["Extra"] = draw.choice((5, [{"Name": "x"}], [{"Name": "y"}], None))
    return patch


def route_found(table, draw):
    host, path = draw.choice(("A.example:80", "b.example", "c")), draw.choice(("/a/b/c?x", "/c/", "/", "x"))
    route = table.find(host, path)
    tenant = table.tenant(f"k-{draw.randrange(12)}")
    if route is None:
        return [None, tenant]
    services = table.services_of(route)
    return [route, services, [table.models_of(name) for name, _ in services], tenant]


def patch_history(seed):
    """Drawn patches carried out in place and on the whole, followed by two feeds, looked up in."""
    draw = random.Random(seed)
    digest = hashlib.sha256()
    current = {"Revision": 0, "Routes": [], "Services": [], "Tenants": []}
    index, splitter, joiner = ConfigurationIndex(current), ItemSplitter(), ItemJoiner()
    splitter.split(current)
    joiner.fold(splitter.items)
    index.clear_changes()
    followed, told = ReplicatedConfiguration(), {"a": {}, "b": {}}
    for _ in range(400):
        patch = drawn_patch(draw, current["Revision"])
        faults = faults_of(lambda patch=patch: index.check_patch(patch))
        digest.update(json.dumps(faults).encode())
        if faults:
            continue
        current = apply_patch(current, patch)
        index.apply_patch(patch)
        changes = index.changes
        changed_items = splitter.changed_items(changes)
        splitter.fold(changes, changed_items)
        index.clear_changes()
        joiner.fold(changed_items)
        for key in sorted(changed_items):
            digest.update(key.encode() + b"=" + (changed_items[key] or b"-"))
        digest.update(canonical(index.configuration) + canonical(joiner.configuration()))
        for source in ("a", "b"):
            if draw.random() < 0.5:
                batch = {
                    key: value for key, value in splitter.items.items() if told[source].get(key) != value
                }
                batch |= dict.fromkeys(key for key in told[source] if key not in splitter.items)
                told[source] = dict(splitter.items)
                digest.update(b"%d" % followed.apply(source, batch.items(), told[source].get))
        digest.update(json.dumps(route_found(RouteTable(current), draw)).encode())
        if followed.table is not None:
            digest.update(json.dumps(route_found(followed.table, draw)).encode())
        assert table_changes(changes).revision == current["Revision"]
    return digest.hexdigest()


def split_history(seed):
    """Whole configurations split one after another, with routes that come, go and move."""
    draw = random.Random(seed)
    digest = hashlib.sha256()
    splitter = ItemSplitter()
    routes = []
    for revision in range(120):
        if draw.random() < 0.1:
            draw.shuffle(routes)
        if routes and draw.random() < 0.5:
            del routes[draw.randrange(len(routes))]
        routes.insert(draw.randrange(len(routes) + 1), {**VALID["Routes"][0], "Name": f"r-{revision}"})
        items = splitter.split({**VALID, "Revision": revision, "Routes": list(routes)})
        assert join_items(items)["Routes"] == routes
        for key, value in items.items():
            digest.update(key.encode() + value)
    return digest.hexdigest()


def recorded():
    return {
        "items": valid_items(),
        "canonical": canonical(VALID).hex(),
        "result codes": result_codes(),
        "patches": [patch_verdict(patch) for patch in PATCHES],
        "bodies": faults_of_bodies(),
        "settings": all_settings(),
        "configuration verdicts": configuration_verdicts(),
        "patch verdicts": patch_verdicts(),
        "patch histories": [patch_history(seed) for seed in range(3)],
        "split histories": [split_history(seed) for seed in range(2)],
    }


def golden(name):
    return json.loads(GOLDEN_FILE.read_text())[name]


def test_golden_configuration_is_split_to_the_recorded_items():
    assert valid_items() == golden("items")


def test_golden_items_are_joined_and_split_again_to_the_same_bytes():
    items = {key: bytes.fromhex(value) for key, value in golden("items").items()}
    joined = join_items(items)
    assert joined == VALID
    assert split_items(joined, items) == items
    assert canonical(joined).hex() == golden("canonical")


def test_golden_result_codes_are_those_recorded():
    assert result_codes() == golden("result codes")


def test_golden_patches_have_the_recorded_verdicts():
    assert [patch_verdict(patch) for patch in PATCHES] == golden("patches")


def test_golden_bodies_have_the_recorded_faults():
    assert faults_of_bodies() == golden("bodies")


def test_golden_settings_are_read_as_recorded():
    assert all_settings() == golden("settings")


def test_golden_verdicts_on_changed_configurations_are_those_recorded():
    assert configuration_verdicts() == golden("configuration verdicts")


def test_golden_verdicts_on_changed_patches_are_those_recorded():
    assert patch_verdicts() == golden("patch verdicts")


def test_golden_patch_histories_are_those_recorded():
    assert [patch_history(seed) for seed in range(3)] == golden("patch histories")


def test_golden_split_histories_are_those_recorded():
    assert [split_history(seed) for seed in range(2)] == golden("split histories")


if __name__ == "__main__":
    with GOLDEN_FILE.open("x") as file:
        json.dump(recorded(), file, indent=1)
