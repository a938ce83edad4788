"""Draws schedules: the same for the same seed."""

from dataclasses import replace
from random import Random

from hopsail.controlplane.shards import shard_of_service

from . import steps
from .disk import FULL, STALLED, WORKING
from .network import DELAYED, DOUBLED, LOST, RESET
from .outside import BUSY, EMPTY, FAILING, LAGGING, SERVICES, SILENT, STOPPED
from .play import Schedule
from .world import WorldRules

LEADER_SHARE = 0.4
KINDS = {
    "changes": 10,
    "resend": 4,
    "name": 2,
    "read": 3,
    "keep_reading": 1,
    "lose_answers": 2,
    "kill": 3,
    "freeze": 3,
    "cut": 4,
    "link": 2,
    "halves": 1,
    "lure": 1,
    "disk": 2,
    "disks": 1,
    "clock": 1,
    "replace": 2,
    "core_down": 1,
    "edge": 2,
    "list": 1,
    "host": 1,
    "tamper": 3,
    "rough": 1,
}
PROFILES = {
    "usual": KINDS,
    "power": {
        "changes": 10,
        "name": 2,
        "kill": 3,
        "core_down": 6,
        "all_down": 6,
        "disks": 6,
        "disk": 1,
        "tamper": 1,
    },
    "leaders": {
        "changes": 10,
        "read": 3,
        "keep_reading": 3,
        "resend": 4,
        "kill": 2,
        "freeze": 5,
        "cut": 5,
        "link": 5,
    },
    "weights": {
        "name": 10,
        "changes": 1,
        "kill": 5,
        "freeze": 4,
        "cut": 4,
        "link": 2,
        "replace": 1,
        "list": 4,
        "host": 4,
    },
    "members": {"changes": 8, "replace": 6, "kill": 3, "cut": 2, "core_down": 1, "name": 1},
    "halves": {
        "changes": 10,
        "kill": 5,
        "freeze": 3,
        "cut": 3,
        "link": 2,
        "halves": 4,
        "disk": 2,
        "replace": 2,
        "core_down": 1,
        "edge": 2,
        "read": 2,
        "name": 1,
    },
    "edges": {"changes": 10, "lure": 5, "edge": 5, "cut": 2, "kill": 1, "tamper": 2, "name": 2},
}
LIST_TROUBLES = (LAGGING, LAGGING, STOPPED, BUSY, FAILING, SILENT, EMPTY)
KINDS_OF_MESSAGES = (
    "command",
    "command reply",
    "read",
    "read reply",
    "poll",
    "poll reply",
    "operator",
    "operator answer",
    "hosts",
    "hosts answer",
)  # of which some connections are reset
PAUSES = (150, 500, 1500)  # ms between two steps, at most; one for each schedule
LONG_PAUSES = {"power": (800, 2500), "members": (1500, 3000)}  # in place of those
TWO_LOSSES_SHARES = {"members": 0.3}  # of the schedules with five voters
LONG_PAUSE, LONG_PAUSE_SHARE = 5000, 0.1  # in which machines that are back stop counting as lost


def draw(seed: int, length: int = 16, profile: str = "") -> Schedule:
    """The schedule of a seed; of the seed's own profile if none is named."""
    random = Random(f"control/{seed}")
    names = list(PROFILES)
    profile = profile or names[seed % len(names)]
    losses = 2 if random.random() < TWO_LOSSES_SHARES.get(profile, 0.15) else 1
    rules = WorldRules(losses, fence_checked=random.random() < 0.5)
    weights = {kind: weight * random.choice((0.3, 1, 1, 3)) for kind, weight in PROFILES[profile].items()}
    pause, at, drawn = random.choice(LONG_PAUSES.get(profile, PAUSES)), 0, []
    for _ in range(length):
        kind = random.choices(list(weights), list(weights.values()))[0]
        at += random.randint(0, LONG_PAUSE if random.random() < LONG_PAUSE_SHARE else pause)
        drawn.append(_DRAWN[kind](random, at))
    return Schedule(random.getrandbits(32), rules, tuple(drawn))


# Short schedules around one kind of trouble: they show soon that a guard is out.


def draw_strike(seed: int) -> Schedule:
    """Power is lost everywhere right after an acknowledgement, while disks are slow."""
    random = Random(f"strike/{seed}")
    wiped = (random.randrange(3),) if random.random() < 0.6 else ()
    strike = steps.CoreDown(100, True, wiped, 300, after_ack=True)
    return Schedule(seed, WorldRules(), (steps.SlowDisks(0, 150, 20_000), strike, steps.Changes(200)))


def draw_all_down(seed: int) -> Schedule:
    """Power is lost everywhere right after an order, with as many disks as may be, while operators read."""
    random, order = Random(f"all down/{seed}"), tuple(steps.Order)[seed % len(steps.Order)]
    losses = random.choice((1, 2))
    down = steps.AllDown(600, order, _wiped(random, losses), random.choice((50, 300, 1000, 2500)))
    ordered = steps.NameWeights(700, random.randrange(2)) if order is steps.Order.REVISION else None
    ordered = ordered or steps.Changes(700, copies=random.choice((1, 2)), patch=order is steps.Order.PATCH)
    slow = steps.SlowDisks(500, random.choice((5, 50, 150)), 20_000)
    return Schedule(seed, WorldRules(losses), (slow, down, ordered, steps.KeepReading(700, 150, 6000)))


def draw_all_down_apart(seed: int) -> Schedule:
    """The same of five, while one is cut off: it lacks the order, and one disk of the others is lost."""
    random = Random(f"all down apart/{seed}")
    down = draw_all_down(seed)
    cut = steps.CutOff(100, random.choice((-1, random.randrange(5))), "core", True, True, 8000)
    return replace(down, rules=WorldRules(2), steps=(cut, *down.steps))


def draw_all_down_replaced(seed: int) -> Schedule:
    """The same of five, while one is replaced: the one that comes and the one that goes do not count yet."""
    random = Random(f"all down replaced/{seed}")
    down = draw_all_down(seed)
    replaced = steps.Replace(random.randint(0, 600), random.randrange(5), random.random() < 0.5, 400)
    return replace(down, rules=WorldRules(2), steps=(replaced, *down.steps))


def draw_strike_apart(seed: int) -> Schedule:
    """The same, while two do not reach each other: not all can tell each other that they have restarted."""
    strike = draw_strike(seed)
    return replace(strike, steps=(*strike.steps, steps.CutLink(50, 1, 2, True, True, 6000)))


def draw_election(seed: int) -> Schedule:
    """Power is lost everywhere while votes are being stored."""
    random = Random(f"election/{seed}")
    slow = steps.SlowDisks(0, 150, 20_000)
    kill = steps.Kill(100, -1, True, False, 6000)
    return Schedule(seed, WorldRules(), (slow, kill, steps.CoreDown(random.randint(500, 1500), True, (), 50)))


def draw_thaw(seed: int) -> Schedule:
    """A leader is stopped while others go on without it."""
    random = Random(f"thaw/{seed}")
    freeze = steps.Freeze(100, -1, random.randrange(4), 3000, random.random() < 0.3)
    return Schedule(seed, WorldRules(), (freeze, steps.Changes(1200), steps.Changes(1700)))


def draw_link(seed: int) -> Schedule:
    """A follower and the leader do not reach each other, one way or both."""
    random = Random(f"link/{seed}")
    outward, inward = random.choice(((True, True), (False, True)))
    links = [
        steps.CutLink(100 + 7000 * n, random.randrange(3), -1 - n, outward, inward, 2000) for n in range(3)
    ]
    return Schedule(seed, WorldRules(), tuple(links))


def draw_hand_over(seed: int) -> Schedule:
    """The holder of a roll-out dies in the middle of it."""
    random = Random(f"hand over/{seed}")
    model = random.randrange(len(SERVICES))
    kill = steps.Kill(random.randint(200, 1200), -1 - shard_of_service(SERVICES[model]), False, False, 5000)
    return Schedule(seed, WorldRules(fence_checked=False), (steps.NameWeights(0, model), kill))


def draw_cut_leader(seed: int) -> Schedule:
    """A leader takes changes that it cannot pass on, while others go on without it."""
    random = Random(f"cut leader/{seed}")
    cut = steps.CutOff(100, -1, "core", True, True, 3000)
    return Schedule(
        seed, WorldRules(), (cut, steps.Changes(random.randint(110, 400), 3, 3), steps.Changes(1700))
    )


def draw_reads(seed: int) -> Schedule:
    """Operators read everywhere while a machine is cut off from the others, one way or both."""
    random = Random(f"reads/{seed}")
    outward, inward = random.choice(((True, True), (True, False), (False, True)))
    cut = steps.CutOff(100, random.choice((-1, 0, 1, 2)), "core", outward, inward, 3000)
    changes = tuple(steps.Changes(at) for at in (500, 1500, 2500))
    return Schedule(seed, WorldRules(), (cut, steps.KeepReading(200, 150, 4000), *changes))


def draw_halves(seed: int) -> Schedule:
    """The core falls into two halves while a machine is replaced, and operators go on at both."""
    random = Random(f"halves/{seed}")
    side = tuple(random.sample(range(3), random.choice((1, 2))))
    halves = steps.CutHalves(random.randint(100, 1500), side, 4000)
    replace = steps.Replace(100, random.randrange(3), True, 4500)
    changes = (steps.Changes(400), steps.Changes(2000), steps.Changes(3500))
    return Schedule(seed, WorldRules(), (replace, halves, *changes))


def draw_reset(seed: int) -> Schedule:
    """Connections are reset with an operator's call under way, at its way there or back."""
    random = Random(f"reset/{seed}")
    kinds = ("command", "command reply", "operator", "operator answer")
    resets = [steps.Tamper(90 + 300 * n, 1, RESET, random.choice(kinds)) for n in range(4)]
    changes = [steps.Changes(100 + 300 * n, copies=random.choice((1, 2))) for n in range(4)]
    return Schedule(seed, WorldRules(), (*resets, *changes))


def draw_hosts(seed: int) -> Schedule:
    """Hosts come and go in the middle of a roll-out while the list lags, and is empty once."""
    random = Random(f"hosts/{seed}")
    model = random.randrange(len(SERVICES))
    lag = steps.TroubleList(0, LAGGING, 12_000)
    leave = [
        steps.LeaveHost(200 + 1500 * n, random.randrange(4), 0, 500, random.random() < 0.5) for n in range(3)
    ]
    kill = steps.Kill(random.randint(300, 1500), -1 - shard_of_service(SERVICES[model]), False, False, 5000)
    empty = steps.TroubleList(random.randint(500, 6000), EMPTY, 0)
    name = steps.NameWeights(100, model)
    return Schedule(seed, WorldRules(fence_checked=False), (lag, name, *leave, kill, empty))


def draw_two_losses(seed: int) -> Schedule:
    """Of five machines two are replaced, and two others are lost as soon as those do not count as lost."""
    random = Random(f"two losses/{seed}")
    first, second, third, fourth = random.sample(range(5), 4)
    replaced = (steps.Replace(100, first, False, 1000), steps.Replace(300, second, False, 1000))
    lost = (
        steps.Kill(6500, third, True, random.random() < 0.5, 9000),
        steps.Kill(6600, fourth, True, random.random() < 0.5, 9000),
    )
    changes = (steps.Changes(900), steps.Changes(8000))
    return Schedule(seed, WorldRules(losses=2), (*replaced, *lost, *changes))


def draw_leaver(seed: int) -> Schedule:
    """A machine is told to end because another has come, and a third one is lost with its disk then."""
    random = Random(f"leaver/{seed}")
    leaver, other = random.sample(range(3), 2)
    replace = steps.Replace(100, leaver, True, 4500, same_name=random.random() < 0.5)
    kill = steps.Kill(4600 - random.choice((50, 0, -50)), other, True, True, 9000)
    return Schedule(seed, WorldRules(), (replace, kill, steps.Changes(4400), steps.Changes(5500)))


def draw_return(seed: int) -> Schedule:
    """Power is lost everywhere while disks are slow; one machine is replaced, and comes back with an empty
    disk while its place is not filled, beside one that may lack the newest. The third is cut off then."""
    random = Random(f"return/{seed}")
    wiped, last = random.sample(range(3), 2)
    at = random.randint(1000, 1600)
    changes = tuple(steps.Changes(when) for when in range(500, at, 60))
    replace = steps.Replace(at, wiped, False, 6000, 200, wiped=True)
    lost = (replace, steps.CoreDown(at, True, (), 50), steps.CutHalves(at, (last,), 6000))
    return Schedule(seed, WorldRules(), (steps.SlowDisks(0, 150, 20_000), *changes, *lost))


def draw_lure(seed: int) -> Schedule:
    """A data plane begins anew and reaches only a control process that has been cut off for long."""
    random = Random(f"lure/{seed}")
    lure = steps.Lure(100, random.randrange(3), 0, 8000, 10_000)
    return Schedule(seed, WorldRules(), (lure, steps.Changes(900)))


def draw_replacement(seed: int) -> Schedule:
    """A machine is replaced, and comes back when it is no member any more."""
    random = Random(f"replacement/{seed}")
    replace = steps.Replace(100, random.choice((-1, 0, 1, 2)), False, 500, 22_000)
    return Schedule(seed, WorldRules(), (replace, steps.Changes(900), steps.Changes(21_000)))


def draw_second_loss(seed: int) -> Schedule:
    """Another machine is lost as soon as one that was replaced does not count as lost any more."""
    random = Random(f"second loss/{seed}")
    replace = steps.Replace(100, random.randrange(3), random.random() < 0.5, 1000)
    kill = steps.Kill(6500, random.choice((-1, 0, 1, 2)), True, True, 9000)
    changes = (steps.Changes(900), steps.Changes(8000))
    return Schedule(seed, WorldRules(), (replace, kill, *changes))


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
    power, wipe, after_ack = random.random() < 0.5, random.random() < 0.3, random.random() < 0.3
    return steps.Kill(at, _who(random), power, wipe, _lasts(random), after_ack)


def _lure(random: Random, at: int) -> steps.Step:
    gap = random.choice((200, 3000, 6500, 8000))
    return steps.Lure(at, _who(random), random.randrange(2), gap, gap + random.choice((500, 2000)))


def _link(random: Random, at: int) -> steps.Step:
    outward, inward = random.choice(((True, True), (True, False), (False, True)))
    return steps.CutLink(at, _who(random), _who(random), outward, inward, _lasts(random))


def _halves(random: Random, at: int) -> steps.Step:
    side = tuple(random.sample(range(5), random.choice((1, 2))))
    return steps.CutHalves(at, side, _lasts(random))


def _replace(random: Random, at: int) -> steps.Step:
    planned, gap = random.random() < 0.5, random.choice((500, 1500, 4500, 6000))
    returns = max(200, gap + random.choice((-3000, 0, 500, 12_000, 20_000))) if random.random() < 0.3 else 0
    returns = 0 if planned else returns
    same_name = not returns and random.random() < 0.3
    return steps.Replace(at, _who(random), planned, gap, returns, random.random() < 0.5, same_name)


def _tamper(random: Random, at: int) -> steps.Step:
    how = random.choice((LOST, DOUBLED, DELAYED, RESET))
    if how == RESET and random.random() < 0.7:
        return steps.Tamper(at, random.randint(1, 6), how, random.choice(KINDS_OF_MESSAGES))
    return steps.Tamper(at, random.randint(1, 200), how)


def _core_down(random: Random, at: int) -> steps.Step:
    power = random.random() < 0.7
    wiped = tuple(random.sample(range(5), random.choice((0, 0, 1, 2)))) if power else ()
    return steps.CoreDown(at, power, wiped, random.choice((100, 500, 2000)), random.random() < 0.6)


def _wiped(random: Random, losses: int) -> tuple[int, ...]:
    """As many seats, or the leader of the configuration's part and one less."""
    seats = random.sample(range(2 * losses + 1), losses)
    return (-1, *seats[1:]) if random.random() < LEADER_SHARE else tuple(seats)


def _all_down(random: Random, at: int) -> steps.Step:
    order, lasts = random.choice(tuple(steps.Order)), random.choice((100, 500, 2000))
    return steps.AllDown(at, order, _wiped(random, random.choice((1, 2))), lasts)


_DRAWN = {
    "changes": _changes,
    "resend": lambda random, at: steps.Resend(at, random.choice((0, 0, 0, 1, 3))),
    "name": lambda random, at: steps.NameWeights(at, random.randrange(2)),
    "read": lambda random, at: steps.ReadBack(at),
    "keep_reading": lambda random, at: steps.KeepReading(at, 150, _lasts(random)),
    "lose_answers": lambda random, at: steps.LoseAnswers(at, random.randint(1, 4)),
    "kill": _kill,
    "freeze": lambda random, at: steps.Freeze(
        at, _who(random), random.randint(0, 6), _lasts(random), random.random() < 0.3
    ),
    "cut": _cut,
    "link": _link,
    "halves": _halves,
    "lure": _lure,
    "disk": _disk,
    "disks": lambda random, at: steps.SlowDisks(
        at, random.choice((20, 80, 150)), random.choice((1000, 4000, 20_000))
    ),
    "clock": lambda random, at: steps.StepClock(
        at, _who(random), random.choice((-1, 1)) * random.choice((100, 5000, 3_600_000))
    ),
    "replace": _replace,
    "core_down": _core_down,
    "all_down": _all_down,
    "edge": lambda random, at: steps.RestartEdge(at, random.randrange(2), random.choice((50, 500, 2000))),
    "list": lambda random, at: steps.TroubleList(at, random.choice(LIST_TROUBLES), _lasts(random)),
    "host": lambda random, at: steps.LeaveHost(
        at,
        random.randrange(8),
        random.choice((0, 500)),
        random.choice((50, 1000, 4000)),
        random.random() < 0.5,
    ),
    "tamper": _tamper,
    "rough": lambda random, at: steps.RoughNetwork(at, random.choice((1000, 4000))),
}
