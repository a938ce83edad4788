"""The configuration: what it gives, and that each fault names its key."""

import json
import os
import subprocess
import sys
import tomllib
from copy import deepcopy
from pathlib import Path

import pytest

from hopsail import config
from hopsail.benchlink.codec import read_settings
from hopsail.load.scripted import SETTINGS, instance, update
from hopsail.model import MS, SECOND, Repeat, Report, State
from hopsail.settings import decode, flatten

COLUMNS = ("rps", "avg_ms", "waiting")
TREE = {
    "name": "n3",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"memory_mb": 192, "sockets": 1024},
    "known": update(41, instance("h", "127.0.0.1:1", state="terminating", started=1500), reset=True),
    "settings": SETTINGS,
}


def read(tmp_path, tree, **environment):
    path = tmp_path / "config.json"
    path.write_text(tree if isinstance(tree, str) else json.dumps(tree))
    return config.read({"NODE_CONFIG": str(path)} | environment)


def changed(key, value):
    """The tree with one value set, or taken out when it is None; `key` is a path with dots."""
    tree = deepcopy(TREE)
    *path, last = [int(part) if part.isdigit() else part for part in key.split(".")]
    at = tree
    for part in path:
        at = at[part]
    if value is None:
        del at[last]
    else:
        at[last] = value
    return tree


def test_what_a_balancer_is_told(tmp_path):
    found = read(tmp_path, TREE, NODE_NAME="n4", NODE_LISTEN="127.0.0.1:80", NODE_DISCOVERY="127.0.0.1:85")
    assert (found.name, found.listen, found.discovery) == ("n4", ("127.0.0.1", 80), ("127.0.0.1", 85))
    assert found.seed == 0x8C1F30D27A5BE964 and found.dial_time == 250 * MS and found.idle_time == 10 * SECOND
    assert found.tracks[b"once"] == 2 and found.settings.tracks[2].repeat is Repeat.EFFECTFUL
    version, _, [(listing, address)] = found.known
    assert (version, listing.state, listing.started, address) == (
        41, State.DRAINING, 1500 * MS, ("127.0.0.1", 1)
    )  # fmt: skip
    # Clients, cache hosts and the rest stay together below the limit.
    assert found.most_clients + found.most_host_connections <= 1024 - 10


@pytest.mark.parametrize("sockets, memory, clients, open_", [(64, 192, 24, 503), (1024, 25, 504, 2)])
def test_bounds_follow_the_limits(tmp_path, sockets, memory, clients, open_):
    found = read(tmp_path, TREE | {"limits": {"sockets": sockets, "memory_mb": memory}})
    assert (found.most_clients, found.most_open) == (clients, open_)


@pytest.mark.parametrize(
    "columns, values, report",
    [
        (COLUMNS, (20.0, 80.0, 3.0), Report(waiting=3.0, rate=20.0, service=80 * MS)),
        (("waiting", "active", "cpu", "x0"), (1.0, 5.0, 0.5, 0.9), Report(waiting=1.0, active=5.0, busy=0.5)),
        (COLUMNS, (20.0, 80.0), None),
        (COLUMNS, (20.0, 80.0, 3.0, 1.0), None),
        (COLUMNS, (20.0, -80.0, 3.0), None),
        (COLUMNS, (20.0, float("nan"), 3.0), None),
        (COLUMNS, (20.0, 80.0, float("inf")), None),
        (("x0", "unheard"), (0.5, 1.0), None),
        ((), (), None),
    ],
)
def test_a_report_that_can_be_no_load_is_none(columns, values, report):
    assert Report.read(columns, values) == report


def test_settings_are_the_same_object_on_the_wire_and_in_json():
    pairs = flatten(SETTINGS | {"unheard": [1, 2], "nothing": None, "balancers": 1.0})
    assert pairs["kinds"] == "box,origin" and pairs["limits.retryAfter"] == "true"
    text = "\n".join(f"{key}={value}" for key, value in pairs.items())
    assert decode(pairs) == read_settings(text)


@pytest.mark.parametrize(
    "key, value",
    [
        ("name", None),
        ("listen", None),
        ("listen", "nowhere"),
        ("listen", "127.0.0.1:99999"),
        ("discovery", "127.0.0.1:x"),
        ("seed", "not hex"),
        ("settings", None),
        ("settings.tracks", [{"effect": "once", "promisedTimeUs": 1}]),
        ("settings.tracks.0.effect", "sometimes"),
        ("settings.tracks.0.promisedTimeUs", None),
        ("settings.tracks.0.promisedTimeUs", 0),
        ("settings.limits.mostLegs", "many"),
        ("settings.limits.idleCloseUs", "long"),
        ("settings.rules.fallUs", None),
        ("settings.kinds", 5),
        ("settings.weights", "lively"),
        ("settings.feedback", {"via": "pigeon"}),
        ("settings.myZone", 1),
        ("settings.myZone", -1),
        ("settings.penalties", {"crossZone": "far"}),
        ("settings.failureDomains", ["east", {}]),
        ("limits.sockets", 8),
        ("limits.sockets", float("nan")),
        ("limits.memory_mb", float("inf")),
        ("limits.sockets", "many"),
        ("limits.memory_mb", 1),
        ("known", {"generation": 1}),
    ],
)
def test_a_fault_names_its_key(tmp_path, key, value):
    with pytest.raises(config.ConfigFault) as fault:
        read(tmp_path, changed(key, value))
    assert key.split(".")[-1] in str(fault.value)


ANSWERS = {"via": "answers", "columns": list(COLUMNS)}
PUSHED = {"weights": "live", "discovery": "automatic", "feedback": ANSWERS}
ZONES = {"failureDomains": ["east", "west"], "myZone": 1, "penalties": {"crossZone": 0.1}}


@pytest.mark.parametrize(
    "more, key",
    [
        ({"weights": "rough"}, None),  # the old shape
        (PUSHED, None),
        (ZONES | {"feedback": {"via": "answers", "columns": ["waiting", "active", "cpu", "x0"]}}, None),
        (PUSHED | {"discovery": "subscribe"}, "weights"),
        (PUSHED | {"feedback": {"via": "probe", "columns": ["waiting"]}}, "weights"),
        (PUSHED | {"feedback": {"via": "none"}}, "weights"),
        ({"feedback": {"via": "none", "columns": ["waiting"]}}, "feedback.columns"),
        ({"feedback": {"columns": ["waiting"]}}, "feedback.columns"),
        ({"feedback": {"via": "answers"}}, "feedback.columns"),
        ({"feedback": {"via": "answers", "columns": ["x0"]}}, "feedback.columns"),
        ({"penalties": {"crossZone": 0.1}}, "myZone"),
        (ZONES | {"failureDomains": ["east"]}, "myZone"),
    ],
)
def test_one_shape_or_the_other_but_no_mix(tmp_path, more, key):
    tree = TREE | {"settings": SETTINGS | more}
    if key is None:
        assert read(tmp_path, tree).settings != decode(flatten(SETTINGS)) or "rough" in more.values()
        return
    with pytest.raises(config.ConfigFault, match=key):
        read(tmp_path, tree)


def test_what_the_new_settings_give_and_what_is_left_out(tmp_path):
    found = read(tmp_path, TREE | {"settings": SETTINGS | PUSHED | ZONES}).settings
    assert (found.live, found.sized, found.columns) == (True, False, COLUMNS)
    assert (found.zone, found.cross_price, found.subscribe) == (1, 0.1, False)
    plain = read(tmp_path, TREE).settings
    assert (plain.live, plain.columns, plain.zone, plain.cross_price) == (False, (), 0, 0.0)


@pytest.mark.parametrize(
    "more, key",
    [
        ({"weights": "lively"}, "weights"),
        ({"feedback": {"via": "pigeon"}}, "feedback.via"),
        ({"weights": "live"}, "weights"),  # a mix: the list must be asked for
        ({"feedback": {"columns": ["waiting"]}}, "feedback.columns"),
    ],
)
@pytest.mark.parametrize("options", [[], ["--check"]])
def test_the_process_ends_with_the_key_of_a_mix(tmp_path, more, key, options):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(TREE | {"settings": SETTINGS | more}))
    command = [sys.executable, "-m", "hopsail", *options]
    environment = os.environ | {"NODE_CONFIG": str(path)}
    run = subprocess.run(command, capture_output=True, env=environment, timeout=60)
    assert run.returncode == 2 and key in run.stderr.decode() and b"Traceback" not in run.stderr


@pytest.mark.parametrize("text, says", [("{", "cannot read"), ("[]", "no JSON object"), (None, "not set")])
def test_the_process_ends_with_a_message_when_it_cannot_start(tmp_path, text, says):
    path = tmp_path / "config.json"
    path.write_text(text or "")
    environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    if text:
        environment["NODE_CONFIG"] = str(path)
    run = subprocess.run([sys.executable, "-m", "hopsail"], capture_output=True, env=environment, timeout=60)
    assert run.returncode == 2 and b"NODE_CONFIG" in run.stderr and says in run.stderr.decode()
    assert b"Traceback" not in run.stderr


# Other customers.


OTHER = {
    "balancers": 3,
    "discovery": "automatic",
    "extra": {"originKind": 2},
    "kinds": ["alder", "birch", "origin"],
    "failureDomains": ["shore"],
    "myZone": 0,
    "penalties": {"crossZone": 0.4, "connection": 0, "handshake": 0},
    "limits": {"mostLegs": 2, "retryAfter": False},
    "rules": {"startCapacity": 0.6, "warmWithinUs": 100, "fallMultiple": 9, "fallUs": 50000},
    "tracks": [
        {"name": "peek", "effect": "once", "promisedTimeUs": 90000, "hardLimitUs": 200000},
        {"name": "poke", "effect": "by_key", "group": "zone", "keyTtlUs": 700, "promisedTimeUs": 9000000},
        {"name": "plain", "effect": "repeatable", "promisedTimeUs": 1, "benefit": 40},
    ],
}


def test_classes_names_tenants_limits_and_costs_come_from_the_settings_alone(tmp_path):
    found = read(tmp_path, TREE | {"settings": OTHER, "known": None})
    settings = found.settings
    assert found.tracks == {b"peek": 0, b"poke": 1, b"plain": 2} and found.customers == {}
    assert [t.repeat for t in settings.tracks] == [Repeat.EFFECTFUL, Repeat.RECEIPTED, Repeat.PURE]
    assert [(t.promised, t.remembered, t.group) for t in settings.tracks[:2]] == [
        (90 * MS, 0, "all"),
        (9 * SECOND, 700_000, "zone"),
    ]
    assert (settings.most_legs, settings.advise_wait, settings.quotas, settings.origin_kind) == (2, 0, (), 2)
    assert (settings.subscribe, settings.cross_price, settings.open_price) == (False, 0.4, 0)
    assert found.longest == 3 * SECOND and found.names.kinds == {"alder": 0, "birch": 1, "origin": 2}


@pytest.mark.parametrize(
    "limits, longest",
    [([200_000, 350_000, 100_000], 350 * MS), ([200_000, 8_000_000, 1], 3 * SECOND), ([], 3 * SECOND)],
)
def test_the_longest_limit_is_the_settings_own_and_bounded(tmp_path, limits, longest):
    tracks = [t | {"hardLimitUs": limit} for t, limit in zip(OTHER["tracks"], limits, strict=False)]
    found = read(tmp_path, TREE | {"settings": OTHER | {"tracks": tracks or SETTINGS["tracks"]}})
    assert found.longest == longest


@pytest.mark.parametrize(
    "more",
    [
        {"feedback": {"via": "probe", "columns": ["waiting", "cpu"]}},  # none are sent: there are no reports
        {"failureDomains": ["shore"], "myZone": 0, "penalties": {"crossZone": 0.1}},  # nowhere to cross to
    ],
)
def test_what_a_deployment_may_have_and_is_of_no_use_here_ends_no_program(tmp_path, more):
    found = read(tmp_path, TREE | {"settings": OTHER | more}).settings
    assert found.columns == () and found.zone == 0


FOREIGN = {
    "view": [None, 7, [], "wide", {"fleet": 9}, {"screen": True}],
    "storms": [7, [], "on", {"wind": 9}, {"control": "yes"}, {"control": True, "wind": 9}],
    "log": [7, ["x"], "info", {"level": "info"}, True, None],
}


@pytest.mark.parametrize("key, value", [(key, value) for key, values in FOREIGN.items() for value in values])
def test_a_platforms_key_of_our_name_ends_no_program_and_turns_nothing_on(tmp_path, key, value, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(TREE | {key: value}))
    found = config.read({"NODE_CONFIG": str(path)}, run=True)
    assert (found.view, found.settings.storms, found.log_json) == (None, None, False)
    if not (key == "view" and value is None):  # which is to have none
        assert f"left off: {key}" in capsys.readouterr().err
        with pytest.raises(config.ConfigFault, match=key):  # staff who check it are told, as ever
            config.read({"NODE_CONFIG": str(path)})


ROOT = Path(config.__file__).parent.parent


def names_of(tree):
    """Every name that a site file gives to a thing."""
    found = {tree["name"], *tree["net"]["zones"]}
    for part in ("class", "tenant", "tier"):
        found |= {entry["name"] for entry in tree.get(part, ())}
    return found | {kind["name"] for tier in tree["tier"] for kind in tier["kind"]}


def test_no_name_of_a_deployment_occurs_in_the_program():
    sites = [tomllib.loads(path.read_text()) for path in (ROOT / "deploy" / "sites").glob("*/*.toml")]
    assert len(sites) == 2
    texts = [path.read_text() for path in (ROOT / "hopsail").rglob("*.py")]
    texts.append((ROOT / "deploy" / "balancer.toml").read_text())
    # A name of one plain word may be one of the language's own; those of two words are nobody else's.
    names = {name for site in sites for name in names_of(site) if "-" in name}
    assert len(names) > 30 and not [name for name in names for text in texts if name in text]
    first, second = map(names_of, sites)
    assert not first & second
