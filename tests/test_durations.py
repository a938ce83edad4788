"""How long requests have lately taken, by kind and size."""

import pytest

from hopsail.routing.durations import LEAST_COUNT, WINDOW_NS, RecentDurations

SECOND = 1_000_000_000


@pytest.fixture
def durations():
    return RecentDurations(0)


def note(durations, *several, now=0, kind="r", size=100, count=LEAST_COUNT):
    for duration in several:
        durations.add(now, kind, size, duration)
    for _ in range(count - len(several)):
        durations.add(now, kind, size, 1)


def test_the_longest_of_a_kind_is_known(durations):
    note(durations, 5, 9, 7)
    note(durations, 99, kind="other")
    assert durations.longest(0, "r", 100) == 9


def test_few_tell_nothing(durations):
    note(durations, 5, count=LEAST_COUNT - 1)
    assert durations.longest(0, "r", 100) is None
    assert durations.longest(0, "unheard-of", 100) is None


def test_larger_ones_do_not_count_for_small_ones(durations):
    note(durations, 5)
    note(durations, 50, size=4000)
    assert durations.longest(0, "r", 100) == 5
    assert durations.longest(0, "r", 4000) == 50


def test_smaller_ones_count_for_large_ones(durations):
    note(durations, 80)
    note(durations, 50, size=4000, count=1)
    assert durations.longest(0, "r", 4000) == 80


def test_larger_ones_count_where_those_of_the_size_are_few(durations):
    note(durations, 5, count=2)
    note(durations, 50, size=4000)
    assert durations.longest(0, "r", 100) == 50


def test_nothing_is_known_of_one_larger_than_all(durations):
    note(durations, 5)
    assert durations.longest(0, "r", 4000) is None


def test_requests_without_a_size_are_of_one_size(durations):
    note(durations, 5, size=0)
    assert durations.longest(0, "r", 0) == 5


def test_what_was_long_ago_is_forgotten(durations):
    note(durations, 50)
    note(durations, 5, now=WINDOW_NS)
    assert durations.longest(WINDOW_NS, "r", 100) == 50
    assert durations.longest(2 * WINDOW_NS, "r", 100) == 5
    assert durations.longest(4 * WINDOW_NS, "r", 100) is None


def test_nothing_is_kept_over_a_pause(durations):
    note(durations, 50)
    assert durations.longest(100 * WINDOW_NS, "r", 100) is None
