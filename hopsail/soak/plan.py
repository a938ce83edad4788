"""The plan of a soak: what happens when, drawn from a seed, or read from a file that was cut down by hand."""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from .shape import Shape

SECOND_MS = 1000
LEAST_SECONDS, MOST_SECONDS = 5, 7200
FIRST_MS = 1500  # of the load, before any step
CONTROL_REST_MS = 8000  # between losses of control planes: its start, and SyncS of 4 s until it counts again
REUSE_MS = 2000  # AddrReuseS: an address is dealt out again no sooner


class PlanError(ValueError):
    """A plan can't be read or played; the text says which step and why."""


class Action(StrEnum):
    """What a step does."""

    RESTART = "restart"  # a data plane: SIGTERM, and its start again once it has ended
    RESTART_ALL = "restart-all"  # every data plane in turn, `lasts_ms` apart
    KILL = "kill"  # a data plane: SIGKILL, and its start again after `lasts_ms`
    RELOAD = "reload"  # a data plane: SIGHUP
    PAUSE = "pause"  # a data plane: SIGSTOP, and SIGCONT after `lasts_ms`
    RESTART_CONTROL = "restart-control"
    KILL_CONTROL = "kill-control"
    PAUSE_CONTROL = "pause-control"
    WIPE_CONTROL = "wipe-control"  # SIGKILL, and its start again after `lasts_ms` with an empty disk
    RETURN_HOST = "return-host"  # a host crashes and comes back after `lasts_ms` with its first version
    REPLACE_HOST = "replace-host"  # a host crashes; after `lasts_ms` another one has its address
    DRAIN_HOST = "drain-host"  # a host leaves in order for `lasts_ms`; another one comes at once
    NAME_VERSION = "name-version"  # the operator names newer weights
    CHANGE = "change"  # the operator puts a newer configuration
    RACE = "race"  # two operators put different configurations on the same one


CONTROL_ACTIONS = frozenset(
    {Action.RESTART_CONTROL, Action.KILL_CONTROL, Action.PAUSE_CONTROL, Action.WIPE_CONTROL}
)
HOST_ACTIONS = frozenset({Action.RETURN_HOST, Action.REPLACE_HOST, Action.DRAIN_HOST})
OPERATOR_ACTIONS = frozenset({Action.NAME_VERSION, Action.CHANGE, Action.RACE})


@dataclass(frozen=True, order=True)
class Step:
    """One step: when it begins (ms of the load), at which process or host, and for how long (ms)."""

    at_ms: int
    action: Action
    target: int = 0
    lasts_ms: int = 0


@dataclass(frozen=True)
class Plan:
    """All steps of a soak. `seconds` is how long steps may begin; the load goes on longer."""

    seed: int
    seconds: int
    shape: Shape
    steps: tuple[Step, ...]


@dataclass(frozen=True)
class Series:
    """Steps of some kinds that follow each other: mean time between them, bounds of what each lasts (ms)."""

    name: str
    actions: tuple[Action, ...]
    every_ms: int
    shortest_ms: int
    longest_ms: int
    rest_ms: int = 0  # after each, beside what it lasts


SERIES = (
    Series("ends", (Action.RESTART,), 4000, 0, 0),
    Series("ends of all", (Action.RESTART_ALL,), 25_000, 50, 1500),
    Series("losses", (Action.KILL, Action.PAUSE, Action.PAUSE), 9000, 50, 3000),
    Series("reloads", (Action.RELOAD,), 3000, 0, 0),
    Series("control", tuple(sorted(CONTROL_ACTIONS)), 6000, 100, 4000, CONTROL_REST_MS),
    Series("hosts", tuple(sorted(HOST_ACTIONS)), 5000, REUSE_MS, 6000),
    Series("versions", (Action.NAME_VERSION,), 7000, 0, 0),
    Series("changes", (Action.CHANGE, Action.CHANGE, Action.RACE), 3000, 0, 0),
)


def draw(seed: int, seconds: int, shape: Shape) -> Plan:
    """The plan of a seed: series that run beside each other."""
    _check_seconds(seconds)
    steps = [step for series in SERIES for step in _drawn(series, seed, seconds, shape)]
    return Plan(seed, seconds, shape, tuple(sorted(steps)))


def _drawn(series: Series, seed: int, seconds: int, shape: Shape) -> Iterator[Step]:
    random = Random(f"soak/{seed}/{series.name}")
    at = FIRST_MS
    while True:
        at += int(random.expovariate(1 / series.every_ms))
        if at >= seconds * SECOND_MS:
            return
        action = random.choice(series.actions)
        lasts = random.randint(series.shortest_ms, series.longest_ms)
        yield Step(at, action, random.randrange(targets_of(action, shape)), lasts)
        at += series.rest_ms + (lasts if series.rest_ms else 0)


def targets_of(action: Action, shape: Shape) -> int:
    """How many targets there are for an action."""
    if action in CONTROL_ACTIONS:
        return shape.control_planes
    if action in HOST_ACTIONS:
        return shape.hosts
    if action in OPERATOR_ACTIONS or action is Action.RESTART_ALL:
        return 1
    return shape.data_planes


# The file of a plan.


def text_of(plan: Plan) -> str:
    """The plan as a file that `parse` reads."""
    shape = plan.shape
    lines = [
        f"seed = {plan.seed}",
        f"seconds = {plan.seconds}",
        f"data_planes = {shape.data_planes}",
        f"control_planes = {shape.control_planes}",
        f"hosts = {shape.hosts}",
        "steps = [",
    ]
    for step in plan.steps:
        fields = f'at_ms = {step.at_ms}, action = "{step.action}", target = {step.target}'
        lines.append(f"  {{ {fields}, lasts_ms = {step.lasts_ms} }},")
    return "\n".join([*lines, "]\n"])


def parse(text: str) -> Plan:
    """Reads a plan; PlanError when it can't be played."""
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(f"not TOML: {error}") from error
    unknown = tree.keys() - {"seed", "seconds", "data_planes", "control_planes", "hosts", "steps"}
    if unknown:
        raise PlanError(f"unknown: {', '.join(sorted(unknown))}")
    shape = Shape(*(_whole(tree, name, "the plan", 1) for name in ("data_planes", "control_planes", "hosts")))
    seconds = _whole(tree, "seconds", "the plan", LEAST_SECONDS)
    _check_seconds(seconds)
    items = tree.get("steps", [])
    if not isinstance(items, list):
        raise PlanError("steps: a list is wanted")
    steps = tuple(sorted(_step(item, number, seconds, shape) for number, item in enumerate(items, 1)))
    return Plan(_whole(tree, "seed", "the plan", 0), seconds, shape, steps)


def _check_seconds(seconds: int) -> None:
    if not LEAST_SECONDS <= seconds <= MOST_SECONDS:
        raise PlanError(f"seconds: {seconds} is not within {LEAST_SECONDS} and {MOST_SECONDS}")


def _step(item: object, number: int, seconds: int, shape: Shape) -> Step:
    where = f"step {number}"
    if not isinstance(item, dict):
        raise PlanError(f"{where}: a table is wanted")
    unknown = item.keys() - {"at_ms", "action", "target", "lasts_ms"}
    if unknown:
        raise PlanError(f"{where}: unknown: {', '.join(sorted(unknown))}")
    try:
        action = Action(item.get("action"))
    except ValueError as error:
        raise PlanError(f"{where}: no action {item.get('action')!r}") from error
    at = _whole(item, "at_ms", where, 0)
    if at >= seconds * SECOND_MS:
        raise PlanError(f"{where}: at_ms: {at} is past the end")
    target = _whole(item, "target", where, 0)
    if target >= targets_of(action, shape):
        raise PlanError(f"{where}: target: there are {targets_of(action, shape)} for {action}, from 0")
    return Step(at, action, target, _whole(item, "lasts_ms", where, 0))


def _whole(tree: dict, name: str, where: str, least: int) -> int:
    value = tree.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise PlanError(f"{where}: {name}: a whole number from {least} is wanted, not {value!r}")
    return value
