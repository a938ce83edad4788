"""Draws schedules: the same for the same seed."""

from dataclasses import replace
from random import Random

from . import steps
from .disk import FULL, STALLED, WORKING
from .play import Schedule
from .world import WorldRules

LEADER_SHARE = 0.4
KINDS = {
    "changes": 10,
    "resend": 4,
    "name": 2,
    "read": 3,
    "lose_answers": 2,
    "kill": 3,
    "freeze": 3,
    "cut": 4,
    "disk": 2,
    "clock": 1,
    "replace": 2,
    "core_down": 1,
    "edge": 2,
    "tamper": 3,
    "rough": 1,
}
PAUSES = (150, 500, 1500)  # ms between two steps, at most; one for each schedule
LONG_PAUSE, LONG_PAUSE_SHARE = 5000, 0.1  # in which machines that are back stop counting as lost


def draw(seed: int, length: int = 16, strict: bool = False) -> Schedule:
    """The schedule of a seed."""
    random = Random(f"control/{seed}")
    losses = 2 if random.random() < 0.15 else 1
    rules = WorldRules(losses, fence_checked=random.random() < 0.5, strict=strict)
    weights = {kind: weight * random.choice((0.3, 1, 1, 3)) for kind, weight in KINDS.items()}
    pause, at, drawn = random.choice(PAUSES), 0, []
    for _ in range(length):
        kind = random.choices(list(weights), list(weights.values()))[0]
        at += random.randint(0, LONG_PAUSE if random.random() < LONG_PAUSE_SHARE else pause)
        drawn.append(_DRAWN[kind](random, at))
    return Schedule(random.getrandbits(32), rules, tuple(drawn))


def without(schedule: Schedule, left_out: set[int]) -> Schedule:
    """A schedule without some of its steps, by number."""
    kept = tuple(step for number, step in enumerate(schedule.steps) if number not in left_out)
    return replace(schedule, steps=kept)


def _who(random: Random) -> int:
    if random.random() < LEADER_SHARE:
        return -1 - random.choice((0, 0, 0, 1, 2, 3))
    return random.randrange(5)


def _lasts(random: Random) -> int:
    return random.choice((50, 300, 700, 1500, 3000, 6000, 9000))


def _changes(random: Random, at: int) -> steps.Step:
    rivals = random.choice((1, 1, 1, 2, 3))
    back = random.choice((0, 0, 0, 0, 0, 1, 2))
    return steps.Changes(at, rivals, random.choice((1, 1, 2, 3)), random.random() < 0.4, back)


def _disk(random: Random, at: int) -> steps.Step:
    condition = random.choice((WORKING, WORKING, FULL, STALLED))
    return steps.DiskTrouble(at, _who(random), condition, random.choice((50, 300, 1000)), _lasts(random))


def _cut(random: Random, at: int) -> steps.Step:
    scope = random.choice(("all", "all", "core", "core", "edge", "hosts"))
    outward, inward = random.choice(((True, True), (True, True), (True, False), (False, True)))
    return steps.CutOff(at, _who(random), scope, outward, inward, _lasts(random))


def _kill(random: Random, at: int) -> steps.Step:
    return steps.Kill(at, _who(random), random.random() < 0.5, random.random() < 0.3, _lasts(random))


def _core_down(random: Random, at: int) -> steps.Step:
    power = random.random() < 0.6
    wiped = tuple(random.sample(range(5), random.choice((0, 0, 1, 2)))) if power else ()
    return steps.CoreDown(at, power, wiped, random.choice((100, 500, 2000)))


_DRAWN = {
    "changes": _changes,
    "resend": lambda random, at: steps.Resend(at, random.choice((0, 0, 0, 1, 3))),
    "name": lambda random, at: steps.NameWeights(at, random.randrange(2)),
    "read": lambda random, at: steps.ReadBack(at),
    "lose_answers": lambda random, at: steps.LoseAnswers(at, random.randint(1, 4)),
    "kill": _kill,
    "freeze": lambda random, at: steps.Freeze(at, _who(random), random.randint(0, 6), _lasts(random)),
    "cut": _cut,
    "disk": _disk,
    "clock": lambda random, at: steps.StepClock(
        at, _who(random), random.choice((-1, 1)) * random.choice((100, 5000, 3_600_000))
    ),
    "replace": lambda random, at: steps.Replace(
        at, _who(random), random.random() < 0.5, random.choice((500, 1500, 4500, 6000))
    ),
    "core_down": _core_down,
    "edge": lambda random, at: steps.RestartEdge(at, random.randrange(2), random.choice((50, 500, 2000))),
    "tamper": lambda random, at: steps.Tamper(
        at, random.randint(1, 200), random.choice(("lost", "doubled", "late"))
    ),
    "rough": lambda random, at: steps.RoughNetwork(at, random.choice((1000, 4000))),
}
