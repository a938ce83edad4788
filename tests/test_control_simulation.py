"""The simulation of the whole control side: random schedules hold every invariant."""

import pytest
from simulation.draw import draw
from simulation.play import play

from hopsail.controlplane.part import Part

SEEDS = 100
BATCH = 10


@pytest.mark.parametrize("first", range(0, SEEDS, BATCH))
def test_schedules(first):
    for seed in range(first, first + BATCH):
        play(draw(seed))


def test_the_schedules_order_read_vote_and_bring_data_planes_into_service():
    figures = [play(draw(seed)).checker.figures for seed in range(6)]
    for name in figures[0]:
        assert sum(one[name] for one in figures) > 5, name


def test_a_schedule_is_played_the_same_each_time():
    one, other = play(draw(5)), play(draw(5))
    assert (one.clock.now, one.network.sent) == (other.clock.now, other.network.sent)
    assert one.checker.entries == other.checker.entries


def test_nothing_of_the_simulation_stays_in_place():
    from hopsail.controlplane import plane
    from hopsail.rpc.channel import Channel

    play(draw(3))
    assert plane.Channel is Channel and plane.Part is Part
