"""What a registrar knows of the prompts under way at hosts, and what a sender makes of it."""

import math
from random import Random

import pytest

from hopsail.model import MS, SECOND
from hopsail.routing.host_work import RATE_HALF_NS, Backlog, HostWork, ReadingRate, is_sound

START = 1000 * SECOND
LASTING = 6 * SECOND
A, B, C = ("10.0.0.1:1", 1), ("10.0.0.2:1", 1), ("10.0.0.3:1", 7)


def read(work, now, host, tokens, milliseconds, key=A):
    """A prompt that is read alone; the time after it."""
    work.begin(now, host, key, tokens, LASTING)
    work.end(now + milliseconds * MS, host, key, True)
    return now + milliseconds * MS


def test_work_of_all_senders_adds_up_until_it_ends():
    work = HostWork()
    work.begin(START, "h", A, 1000.0, LASTING)
    work.begin(START, "h", B, 500.0, LASTING)
    assert work.backlog(START, "h").waiting == 1500
    work.end(START, "h", B, False)
    assert work.backlog(START, "h").waiting == 1000
    assert work.backlog(START, "other") == Backlog()


def test_the_end_of_what_is_not_known_changes_nothing():
    work = HostWork()
    work.end(START, "h", A, True)
    work.begin(START, "h", A, 10.0, LASTING)
    work.end(START + MS, "h", B, True)
    assert work.backlog(START, "h") == Backlog(10.0, 0.0, 0.0)


def test_a_prompt_whose_end_was_lost_lapses():
    work = HostWork()
    work.begin(START, "h", A, 1000.0, LASTING)
    work.begin(START + SECOND, "h", B, 50.0, LASTING)
    assert work.backlog(START + LASTING - 1, "h").waiting == 1050
    assert work.backlog(START + LASTING, "h").waiting == 50


def test_the_same_prompt_told_twice_counts_once():
    work = HostWork()
    work.begin(START, "h", A, 1000.0, LASTING)
    work.begin(START + MS, "h", A, 1000.0, LASTING)
    assert work.backlog(START, "h").waiting == 1000


def test_what_the_first_one_has_been_read_of_is_taken_off_once_a_speed_is_known():
    work = HostWork()
    now = read(work, START, "h", 1000.0, 20)  # 50 tokens a ms
    work.begin(now, "h", A, 1000.0, LASTING)
    work.begin(now, "h", B, 400.0, LASTING)
    assert work.backlog(now + 10 * MS, "h").waiting == pytest.approx(900, rel=0.01)
    assert work.backlog(now + 60 * MS, "h").waiting == pytest.approx(400)  # no more than the first one has


def test_a_prompt_behind_another_begins_when_that_one_ends():
    work = HostWork()
    now = read(work, START, "h", 1000.0, 20)
    work.begin(now, "h", A, 1000.0, LASTING)
    work.begin(now, "h", B, 1000.0, LASTING)
    now += 100 * MS
    work.end(now, "h", A, False)
    assert work.backlog(now, "h").waiting == pytest.approx(1000)
    work.end(now + 40 * MS, "h", B, True)
    load = work.backlog(now + 40 * MS, "h")
    assert load.read_ms == pytest.approx(60, rel=0.02)  # 20 and 40: not the 100 that it waited


def test_a_prompt_that_ends_behind_another_is_no_sample():
    work = HostWork()
    work.begin(START, "h", A, 1000.0, LASTING)
    work.begin(START, "h", B, 1000.0, LASTING)
    work.end(START + 10 * MS, "h", B, True)
    assert work.backlog(START + 10 * MS, "h").read_ms == 0


def test_what_is_known_of_a_speed_fades():
    work = HostWork()
    now = read(work, START, "h", 1000.0, 20)
    later = work.backlog(now + RATE_HALF_NS, "h")
    assert later.read == pytest.approx(500) and later.read_ms == pytest.approx(10)


def test_hosts_and_prompts_are_bounded():
    work = HostWork(most_hosts=3, most_entries=2)
    for number in range(5):
        work.begin(START, f"h{number}", A, 1.0, LASTING)
    assert len(work) == 3 and work.backlog(START, "h1") == Backlog()
    for key in (A, B, C):
        work.begin(START, "h4", key, 1.0, LASTING)
    assert work.backlog(START, "h4").waiting == 2


def test_any_order_of_words_leaves_nothing_that_does_not_lapse():
    for seed in range(50):
        draw, work, now = Random(seed), HostWork(), START
        for _ in range(200):
            now += draw.randrange(50) * MS
            host, key = f"h{draw.randrange(3)}", (f"s{draw.randrange(3)}", draw.randrange(5))
            if draw.random() < 0.6:
                work.begin(now, host, key, draw.randrange(1, 9000), draw.randrange(1, 6000) * MS)
            else:
                work.end(now, host, key, draw.random() < 0.5)
            load = work.backlog(now, host)
            assert is_sound(load)
        assert all(work.backlog(now + LASTING, f"h{number}").waiting == 0 for number in range(3))


@pytest.mark.parametrize("figure", [-1.0, math.nan, math.inf])
def test_figures_that_cannot_be_true_are_told_apart(figure):
    assert is_sound(Backlog(1.0, 2.0, 3.0))
    for load in (Backlog(figure, 1, 1), Backlog(1, figure, 1), Backlog(1, 1, figure)):
        assert not is_sound(load)


def test_without_any_sample_no_speed_is_known():
    rate = ReadingRate()
    rate.note(START, Backlog(1000.0, 0.0, 0.0))
    assert rate.typical is None and rate.of(Backlog(0, 100, 2)) is None


def test_a_host_of_which_nothing_is_known_has_the_typical_speed():
    rate = ReadingRate()
    rate.note(START, Backlog(0.0, 10_000.0, 200.0))
    assert rate.of(Backlog()) == pytest.approx(50)


def test_a_slow_host_is_told_from_the_others_the_better_the_more_it_has_read():
    rate = ReadingRate()
    rate.note(START, Backlog(0.0, 100_000.0, 2000.0))
    little, much = rate.of(Backlog(0, 1_000, 100)), rate.of(Backlog(0, 100_000, 10_000))
    assert 10 < much < 15 < little < 50


def test_the_typical_speed_follows_the_hosts():
    rate = ReadingRate()
    rate.note(START, Backlog(0.0, 100_000.0, 2000.0))
    for second in range(1, 60):
        rate.note(START + second * SECOND, Backlog(0.0, 10_000.0, 1000.0))
    assert rate.typical == pytest.approx(10, rel=0.1)
