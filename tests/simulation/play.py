"""Plays a schedule in a world: the same for the same seed and steps."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

from . import steps
from .clock import MILLISECOND
from .network import CALM, ROUGH, Cut, Tampering
from .outside import MODELS
from .substitutes import substituted
from .world import World, WorldRules


@dataclass(frozen=True)
class Schedule:
    """A world, and what happens in it."""

    seed: int
    rules: WorldRules
    steps: tuple[steps.Step, ...]

    def __str__(self) -> str:
        listed = "".join(f"\n    {step}," for step in self.steps)
        return f"seed {self.seed}, {self.rules}{listed}"


def play(schedule: Schedule) -> World:
    """Plays it from start to end; raises Violation."""
    world = World(schedule.seed, schedule.rules)
    with substituted(world.checker.fault):
        world.begin()
        for step in sorted(schedule.steps, key=lambda step: step.at):
            world.run(max(0, world.began_at + step.at * MILLISECOND - world.clock.now))
            play_step(step, world)
        world.check_end()
    return world


@singledispatch
def play_step(step: steps.Step, world: World) -> None:
    """Has a step happen now."""
    raise TypeError(f"no such step: {step}")


def _now_or_after_ack(step: steps.Kill | steps.CoreDown, world: World, strike: Callable[[], None]) -> None:
    if step.after_ack:
        world.when_acknowledged(strike)
    else:
        strike()


@play_step.register
def _(step: steps.Changes, world: World) -> None:
    known = [0, *(revision for _, revision in world.checker.acknowledged)]
    base = known[max(0, len(known) - 1 - step.back)]
    world.operators.change(base, step.patch, step.rivals, step.copies)


@play_step.register
def _(step: steps.Resend, world: World) -> None:
    world.operators.resend(step.back)


@play_step.register
def _(step: steps.NameWeights, world: World) -> None:
    world.operators.name(MODELS[step.model % len(MODELS)])


@play_step.register
def _(step: steps.ReadBack, world: World) -> None:
    world.operators.read_everywhere()


@play_step.register
def _(step: steps.KeepReading, world: World) -> None:
    world.operators.keep_reading(step.every, step.lasts)


@play_step.register
def _(step: steps.LoseAnswers, world: World) -> None:
    world.operators.lost_answers += step.count


@play_step.register
def _(step: steps.Kill, world: World) -> None:
    def strike() -> None:
        seat = world.seat_of(step.who)
        if world.may_lose(seat):
            world.kill(seat, step.power, step.wipe, step.lasts)

    _now_or_after_ack(step, world, strike)


@play_step.register
def _(step: steps.Freeze, world: World) -> None:
    seat = world.seat_of(step.who)
    if world.may_lose(seat):
        world.freeze(seat, step.stale_reads, step.in_call, step.lasts)


@play_step.register
def _(step: steps.CutOff, world: World) -> None:
    seat = world.seat_of(step.who)
    if world.may_lose(seat):
        world.cut_off(seat, Cut(seat.machine.host, step.scope, step.outward, step.inward), step.lasts)


@play_step.register
def _(step: steps.CutLink, world: World) -> None:
    seat, other = world.seat_of(step.who), world.seat_of(step.other)
    if seat is not other and world.may_lose(seat):
        cut = Cut(seat.machine.host, other.machine.host, step.outward, step.inward)
        world.cut_off(seat, cut, step.lasts)


@play_step.register
def _(step: steps.CutHalves, world: World) -> None:
    world.cut_halves(step.side, step.lasts)


@play_step.register
def _(step: steps.Lure, world: World) -> None:
    seat = world.seat_of(step.who)
    if world.may_lose(seat):
        world.lure(seat, world.edges[step.edge % len(world.edges)], step.gap, step.lasts)


@play_step.register
def _(step: steps.SlowDisks, world: World) -> None:
    world.slow_disks(step.delay, step.lasts)


@play_step.register
def _(step: steps.DiskTrouble, world: World) -> None:
    seat = world.seat_of(step.who)
    if world.may_lose(seat):
        world.trouble_disk(seat, step.condition, step.delay, step.lasts)


@play_step.register
def _(step: steps.StepClock, world: World) -> None:
    world.seat_of(step.who).machine.time_of_day_offset += step.by * MILLISECOND


@play_step.register
def _(step: steps.Replace, world: World) -> None:
    seat = world.seat_of(step.who)
    if world.may_lose(seat):
        world.replace(seat, step.planned, step.gap, step.returns, step.wiped, step.same_name)


@play_step.register
def _(step: steps.CoreDown, world: World) -> None:
    def strike() -> None:
        whole = not any(world.is_lost(seat) for seat in world.seats)
        numbers = step.wiped[: world.rules.losses] if whole else ()
        wiped = [world.seats[number % len(world.seats)] for number in numbers]
        world.core_down(step.power, wiped, step.lasts)

    _now_or_after_ack(step, world, strike)


@play_step.register
def _(step: steps.AllDown, world: World) -> None:
    def strike() -> None:
        chosen = dict.fromkeys(world.seat_of(who) for who in step.wiped)
        whole = [seat for seat in chosen if not world.is_lost(seat)]
        world.all_down(whole[: max(0, world.rules.losses - world.machines_lost())], step.lasts)

    world.when_acknowledged(strike, step.after)


@play_step.register
def _(step: steps.RestartEdge, world: World) -> None:
    world.restart_edge(step.edge, step.lasts)


@play_step.register
def _(step: steps.TroubleList, world: World) -> None:
    world.outside.trouble_list(step.how, step.lasts)


@play_step.register
def _(step: steps.LeaveHost, world: World) -> None:
    world.outside.leave(step.host, step.drains, step.lasts, step.same_address)


@play_step.register
def _(step: steps.Tamper, world: World) -> None:
    world.network.tamperings.append(Tampering(step.number, step.how, step.of))


@play_step.register
def _(step: steps.RoughNetwork, world: World) -> None:
    world.network.weather = ROUGH

    def calm() -> None:
        world.network.weather = CALM
        world.trouble_at = world.clock.now

    world.after(step.lasts, calm)
