"""Scenarios: a TOML file, checked as a whole; a fault names file, line and key, and says what is wanted.

Times, rates and shares carry their unit ("250 ms", "400/s", "3%"): a bare number would have to be guessed."""

import re
import tomllib
from dataclasses import MISSING, dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from ..model import Repeat

UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000}
NUMBER = r"(\d+(?:\.\d+)?)"
TROUBLES = ("crash", "silence", "slow", "zone", "partition", "restart", "storm", "hot", "scan", "brownout",
            "resets", "drain", "lose")  # fmt: skip
# These need the part that they meet.
PARTED = ("crash", "silence", "slow", "partition", "restart", "resets", "drain", "lose")
EFFECTS = {"repeatable": Repeat.PURE, "by_key": Repeat.RECEIPTED, "once": Repeat.EFFECTFUL}


class ScenarioFault(ValueError):
    """The scenario cannot be played; the text names file, line and key."""


def span(value):
    found = re.fullmatch(rf"{NUMBER} ?(us|ms|s|min)", value) if isinstance(value, str) else None
    if not found:
        raise ValueError('a time with its unit is wanted, like "250 ms"')
    return round(float(found[1]) * UNITS[found[2]])


def rate(value):
    found = re.fullmatch(rf"{NUMBER} ?/ ?s", value) if isinstance(value, str) else None
    if not found:
        raise ValueError('a rate with its unit is wanted, like "400/s"')
    return float(found[1])


def share(value):
    found = re.fullmatch(rf"{NUMBER} ?%", value) if isinstance(value, str) else None
    if not found or float(found[1]) > 100:
        raise ValueError('a share of at most 100% is wanted, like "3%"')
    return float(found[1]) / 100


def whole(least, most):
    def read(value):
        if type(value) is not int or not least <= value <= most:
            raise ValueError(f"a whole number from {least} to {most} is wanted")
        return value

    return read


def factor(value):
    if type(value) not in (int, float) or not 0 < value <= 1e6:
        raise ValueError("a number above 0 is wanted")
    return float(value)


def one_of(*words):
    def read(value):
        if value not in words:
            raise ValueError(f"one of {', '.join(words)} is wanted")
        return value

    return read


def known(read, default=MISSING):
    """A key of a table: how it is read, and what holds when it is left out."""
    return field(metadata={"read": read}) if default is MISSING else field(
        default=default, metadata={"read": read}
    )  # fmt: skip


@dataclass(frozen=True)
class Fleet:
    balancers: int = known(whole(1, 2000))
    caches: int = known(whole(1, 2000))
    zones: int = known(whole(1, 16), 1)


@dataclass(frozen=True)
class Machine:
    service: int = known(span)  # mean time that one read takes on one core
    cores: int = known(whole(1, 10_000), 4)
    law: str = known(one_of("exponential", "fixed"), "exponential")
    queue: int = known(whole(0, 10**6), 64)  # requests that wait
    connections: int = known(whole(1, 10**6), 4096)
    keeps: int = known(whole(1, 10**7), 5000)  # keys in a cache's memory
    stops: float = known(rate, 0.0)  # an origin that is sent more than this falls over; 0 = never


@dataclass(frozen=True)
class Network:
    same: int = known(span, 200_000)  # one way within a zone, and between two
    cross: int = known(span, 1_000_000)
    loss: float = known(share, 0.0)  # of segments, on sockets only: what is lost comes 200 ms later


@dataclass(frozen=True)
class Load:
    rate: float = known(rate)
    lasts: int = known(span)
    settles: int = known(span, 0)  # first part of the day, which figures leave out
    keys: int = known(whole(1, 10**7), 10_000)
    zipf: float = known(factor, 0.9)


@dataclass(frozen=True)
class Clients:
    tries: int = known(whole(1, 10), 3)
    patience: int = known(span, 1_500_000_000)  # for one try
    backoff: int = known(span, 50_000_000)
    leave: float = known(share, 0.0)  # of the clients give a try up while it is being served,
    after: int = known(span, 300_000_000)  # when it has taken so long, and come no more
    marks: float = known(share, 0.0)  # of the clients mark a further try as one
    apart: bool = known(bool, False)  # those that heed are one customer, the rest another, with quotas
    heed: float = known(share, 0.0)  # of the clients wait as told, and back off, also in a storm


@dataclass(frozen=True)
class Front:
    """What deals requests out: it asks balancers for their health, and leaves out those it holds dead."""

    every: int = known(span, 0)  # between two health calls at a balancer; 0 = it asks none
    fails: int = known(whole(1, 100), 2)  # calls in a row without an answer: dead; one answer: alive
    late: float = known(share, 0.0)  # of the balancers whose death is seen late,
    later: int = known(span, 2_000_000_000)  # by so much


@dataclass(frozen=True)
class Storms:
    """Storm control at balancers (`hopsail/storms/`)."""

    control: bool = known(bool, False)
    origin: float = known(
        rate, 0.0
    )  # what stops the origin, as balancers are told; 0 = they are told nothing


@dataclass(frozen=True)
class View:
    """Parts of what balancers share, dealt by stewards as leases (`hopsail/swim/quota_leases.py`)."""

    stewards: int = known(whole(0, 9), 0)  # the first so many balancers; 0 = each has its equal part
    lease: int = known(span, 6_000_000_000)


@dataclass(frozen=True)
class Feedback:
    """What hosts and clients tell balancers, as the settings of a deployment allow."""

    reports: bool = known(bool, False)  # load reports on caches' answers, renewed every
    every: int = known(span, 500_000_000)
    hints: bool = known(bool, False)  # clients say how long a request takes on a common core


@dataclass(frozen=True)
class Lists:
    delay: int = known(span, 300_000_000)
    silent: int = known(span, 6_000_000_000)  # until discovery knows that a silent or dead host is gone


@dataclass(frozen=True)
class Rules:
    grace: int = known(span, 2_000_000_000)  # after being told of a drain
    slack: int = known(span, 20_000_000)  # after the hard limit
    warm: int = known(span, 8_000_000_000)
    start: float = known(share, 0.3)
    multiple: float = known(factor, 3.0)
    window: int = known(span, 2_000_000_000)


@dataclass(frozen=True)
class Kind:
    name: str = known(str)
    part: float = known(share)
    promised: int = known(span)
    effect: str = known(one_of(*EFFECTS), "repeatable")
    write: bool = known(bool, False)
    benefit: float = known(factor, 1.0)
    remembered: int = known(span, 0)


@dataclass(frozen=True)
class Trouble:
    what: str = known(one_of(*TROUBLES))
    at: int = known(span)
    lasts: int = known(span, 0)
    part: float = known(share, 0.0)  # of the hosts or balancers that it meets
    times: float = known(factor, 4.0)  # slower, or more requests
    rate: float = known(rate, 0.0)


TABLES = {"fleet": Fleet, "cache": Machine, "origin": Machine, "network": Network, "load": Load,
          "clients": Clients, "front": Front, "feedback": Feedback, "storms": Storms, "view": View,
          "lists": Lists, "rules": Rules}  # fmt: skip
LISTS = {"track": Kind, "trouble": Trouble}


@dataclass(frozen=True)
class Scenario:
    fleet: Fleet
    cache: Machine
    origin: Machine
    network: Network
    load: Load
    clients: Clients
    front: Front
    feedback: Feedback
    storms: Storms
    view: View
    lists: Lists
    rules: Rules
    track: tuple[Kind, ...]
    trouble: tuple[Trouble, ...]


def load(path: str | Path, changes: dict[str, Any] | None = None) -> Scenario:
    """The scenario in the file, with `changes` ("fleet.caches": 8) on top of it."""
    path = Path(path)
    try:
        text = path.read_text()
        tree = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as fault:
        raise ScenarioFault(f"{path}: {fault}") from None
    for key, value in (changes or {}).items():
        table, _, name = key.partition(".")
        if table in LISTS:
            number, _, name = name.partition(".")
            rows = tree.get(table, [])
            if not number.isdecimal() or not isinstance(rows, list) or int(number) >= len(rows):
                raise ScenarioFault(f"{path}: {key}: no such {table}; they are counted from 0")
            rows[int(number)][name] = value
            continue
        if table not in TABLES or not isinstance(tree.setdefault(table, {}), dict):
            raise ScenarioFault(f"{path}: {key}: no such key can be changed")
        tree[table][name] = value
    return read(tree, str(path), text)


def lasting(scenario: Scenario, seconds: float | None) -> Scenario:
    """The same for another time, with the troubles that fit into it."""
    if seconds is None:
        return scenario
    lasts = round(seconds * UNITS["s"])
    load = replace(scenario.load, lasts=lasts, settles=min(scenario.load.settles, lasts // 2))
    fitting = tuple(one for one in scenario.trouble if one.at + one.lasts <= lasts)
    return replace(scenario, load=load, trouble=fitting)


def read(tree: dict, path: str = "scenario", text: str = "") -> Scenario:
    def fail(where, name, why):
        line = next((i for i, row in enumerate(text.splitlines(), 1) if row.strip().startswith(name)), None)
        raise ScenarioFault(f"{path}{f':{line}' if line else ''}: {where}: {why}")

    def table(kind, found, where):
        if not isinstance(found, dict):
            fail(where, f"[{where}", "a table is wanted")
        known_keys = {one.name: one for one in fields(kind)}
        for name in found:
            if name not in known_keys:
                fail(f"{where}.{name}", name, f"unknown; there are {', '.join(known_keys)}")
        values = {}
        for name, one in known_keys.items():
            if name not in found:
                if one.default is MISSING:
                    fail(f"{where}.{name}", f"[{where}", "is missing")
                continue
            read_one = one.metadata["read"]
            if read_one in (str, bool):
                if type(found[name]) is not read_one:
                    fail(f"{where}.{name}", name, f"a {read_one.__name__} is wanted")
                values[name] = found[name]
                continue
            try:
                values[name] = read_one(found[name])
            except (ValueError, TypeError) as fault:
                fail(f"{where}.{name}", name, f"{found[name]!r:.60}: {fault}")
        return kind(**values)

    for name in tree:
        if name not in TABLES and name not in LISTS:
            fail(name, f"[{name}", f"unknown; there are {', '.join([*TABLES, *LISTS])}")
    made = {name: table(kind, tree.get(name, {}), name) for name, kind in TABLES.items()}
    for name, kind in LISTS.items():
        rows = tree.get(name, [])
        if not isinstance(rows, list):
            fail(name, f"[[{name}", "a list of tables is wanted")
        made[name] = tuple(table(kind, row, f"{name}[{i}]") for i, row in enumerate(rows))
    if not made["track"] or abs(sum(one.part for one in made["track"]) - 1) > 1e-6:
        fail("track", "[[track", "the parts of all tracks must come to 100%")
    for i, one in enumerate(made["trouble"]):
        if one.at + one.lasts > made["load"].lasts:
            fail(f"trouble[{i}].lasts", "lasts", "the trouble ends after the day")
        if one.what in PARTED and not one.part:
            fail(f"trouble[{i}].part", "[[trouble", f"{one.what} needs the part that it meets")
        if one.what == "scan" and not one.rate:
            fail(f"trouble[{i}].rate", "[[trouble", "scan needs a rate")
        if one.what == "zone" and made["fleet"].zones < 2:
            fail(f"trouble[{i}].what", "[[trouble", "no zone can be lost where there is only one")
    return Scenario(**made)
