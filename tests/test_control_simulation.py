"""The simulation of the whole control side: random schedules hold every invariant, and each one can fail.

A mutation takes one guard out of the programs; the checker must notice it within so many seeds."""

from functools import cache

import pytest
from simulation import steps
from simulation.draw import (
    draw,
    draw_all_down,
    draw_all_down_apart,
    draw_all_down_replaced,
    draw_halves,
    draw_leaver,
    draw_return,
    draw_hosts,
    draw_cut_leader,
    draw_election,
    draw_hand_over,
    draw_link,
    draw_lure,
    draw_reads,
    draw_reset,
    draw_replacement,
    draw_second_loss,
    draw_strike,
    draw_strike_apart,
    draw_thaw,
    draw_two_losses,
    without,
)
from simulation.invariants import Invariant, Violation
from simulation.mutations import MUTATIONS, mutated
from simulation.play import Schedule, play
from simulation.shrink import breaks, shrink, violation_of
from simulation.world import WorldRules

from hopsail.controlplane import plane
from hopsail.controlplane.shard import Shard
from hopsail.replication.messages import RequestVoteReply
from hopsail.rpc.channel import Channel

SEEDS, BATCH = 60, 6
MUTATION_SEEDS = 60
SHORT_SEEDS, WORST_SEEDS = 8, 2
SHORT = (
    draw_strike,
    draw_strike_apart,
    draw_all_down,
    draw_all_down_apart,
    draw_all_down_replaced,
    draw_election,
    draw_thaw,
    draw_link,
    draw_hand_over,
    draw_cut_leader,
    draw_lure,
    draw_replacement,
    draw_second_loss,
)
WORST = (
    draw_reads,
    draw_reset,
    draw_halves,
    draw_hosts,
    draw_leaver,
    draw_return,
    draw_two_losses,
)


def explained(schedule: Schedule) -> None:
    """Plays a schedule; one that fails is told by its shortest shard."""
    violation = violation_of(schedule)
    if violation is not None:
        pytest.fail(f"{violation}\n{shrink(schedule, breaks(violation.invariant))}")


@cache
def figures_of(seed: int) -> dict[str, int]:
    """What is counted in a drawn schedule; raises Violation."""
    return play(draw(seed)).checker.figures


@pytest.mark.parametrize("first", range(0, SEEDS, BATCH))
def test_schedules(first):
    for seed in range(first, first + BATCH):
        try:
            figures_of(seed)
        except Violation:
            explained(draw(seed))
            raise


@pytest.mark.parametrize("kind", SHORT)
def test_short_schedules(kind):
    for seed in range(SHORT_SEEDS):
        explained(kind(seed))


@pytest.mark.parametrize("kind", WORST)
def test_short_schedules_of_the_worst(kind):
    for seed in range(WORST_SEEDS):
        explained(kind(seed))


def test_each_kind_of_step_and_of_world_is_drawn():
    drawn = [draw(seed) for seed in range(300)]
    kinds = {type(step) for schedule in drawn for step in schedule.steps}
    assert kinds == set(steps.Step.__subclasses__())
    assert {schedule.rules.losses for schedule in drawn} == {1, 2}


def test_the_schedules_order_read_vote_and_bring_data_planes_into_service():
    figures = [figures_of(seed) for seed in range(12)]
    for name in figures[0]:
        assert sum(one[name] for one in figures) > 5, name


def test_a_schedule_is_played_the_same_each_time():
    one, other = play(draw(5)), play(draw(5))
    assert (one.clock.now, one.network.sent) == (other.clock.now, other.network.sent)
    assert one.checker.entries == other.checker.entries


def test_nothing_of_the_simulation_stays_in_place():
    play(draw(3))
    assert plane.Channel is Channel and plane.Shard is Shard


def test_only_halves_beside_a_loss_may_leave_no_majority():
    world = play(Schedule(1, WorldRules(), ()))
    one, other, _ = world.seats
    world.lose(one)
    assert not world.may_lose(other) and not world.may_lack_majority()
    world.cut_halves((0,), 9000)  # the lost one is the smaller side
    assert not world.may_lack_majority()
    world.cut_halves((1,), 9000)
    assert world.may_lack_majority()


# Each invariant can fail.


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_a_guard_that_is_out_is_noticed(mutation):
    with mutated(mutation):
        for seed in range(MUTATION_SEEDS):
            violation = violation_of(mutation.draw(seed))
            if violation is not None and violation.invariant is mutation.invariant:
                return
    pytest.fail(f"{MUTATION_SEEDS} schedules do not show it")


def test_a_vote_of_a_removed_member_is_noticed():
    world = play(draw_thaw(1))
    machine = world.core[0]
    shard = machine.program.shards[0]
    vote = RequestVoteReply(term=shard.replica.term, granted=True, pre_vote=False)
    world.checker.sends(machine, shard, vote)  # it is a member
    shard.replica.identity = "10.0.0.99:7000"
    with pytest.raises(Violation) as raised:
        world.checker.sends(machine, shard, vote)
    assert raised.value.invariant is Invariant.REMOVED


def test_each_invariant_is_shown_to_fail():
    shown = {mutation.invariant for mutation in MUTATIONS}
    assert set(Invariant) - shown == {Invariant.REMOVED}  # shown above


# The shortest schedule.


def test_a_schedule_is_shortened_to_the_steps_that_are_needed():
    schedule = draw(4, length=24)
    kinds = {type(step) for step in schedule.steps}
    needed = schedule.steps[5], schedule.steps[17]

    def fails(shorter: Schedule) -> bool:
        return all(step in shorter.steps for step in needed)

    assert len(kinds) > 3
    assert shrink(schedule, fails).steps == needed


def test_steps_can_be_left_out():
    schedule = draw(4)
    assert without(schedule, {0, 2}).steps == (schedule.steps[1], *schedule.steps[3:])


def test_a_failing_schedule_is_shortened_and_fails_the_same_way():
    mutation = next(one for one in MUTATIONS if one.name == "digests are forgotten")
    noise = (steps.ReadBack(50), steps.StepClock(60, 1, 100), steps.NameWeights(700, 0))
    resent = (steps.Changes(100), steps.Resend(1500))
    schedule = Schedule(1, WorldRules(), noise[:2] + resent[:1] + noise[2:] + resent[1:])
    with mutated(mutation):
        shortest = shrink(schedule, breaks(Invariant.NOT_REFUSED))
        with pytest.raises(Violation):
            play(shortest)
    assert set(shortest.steps) <= set(resent)
