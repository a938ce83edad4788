"""What data planes make of announcements and named versions."""

import pytest

from hopsail.weights.eligibility import Eligibility, EligibilityBounds, SeenLoad, eligible, loaded_revision
from hopsail.weights.load import HostLoad, LoadPhase
from simulated_rollout import BLOCKED, DEADLINE, S, named_at

BOUNDS = EligibilityBounds()


def seen(phase, revision, at):
    return SeenLoad(HostLoad(phase, revision, 1, 1), at)


@pytest.mark.parametrize("phase", BLOCKED)
def test_a_host_is_not_used_while_it_loads(phase):
    load = seen(phase, 2, 1 * S)
    assert eligible(1 * S, 1, load, named_at(0, 2), BOUNDS) is Eligibility.LOADING
    assert eligible(6 * S, 1, load, named_at(0, 2), BOUNDS) is Eligibility.LOADING
    assert eligible(6 * S + 1, 1, load, named_at(0, 2), BOUNDS) is Eligibility.OK
    assert eligible(2 * S, 2, load, named_at(0, 2), BOUNDS) is Eligibility.OK


@pytest.mark.parametrize("phase", [LoadPhase.IDLE, LoadPhase.DONE])
def test_a_host_is_used_when_it_does_not_load(phase):
    assert eligible(1 * S, 1, seen(phase, 2, 1 * S), named_at(0, 2), BOUNDS) is Eligibility.OK


def test_an_older_version_is_not_used_past_the_bound():
    limit = 10 * S + DEADLINE
    assert eligible(limit, 1, None, named_at(10 * S, 2), BOUNDS) is Eligibility.OK
    assert eligible(limit + 1, 1, None, named_at(10 * S, 2), BOUNDS) is Eligibility.TOO_OLD
    assert eligible(limit + 1, 2, None, named_at(10 * S, 2), BOUNDS) is Eligibility.OK
    assert eligible(limit + 1, 1, None, None, BOUNDS) is Eligibility.OK
    assert (
        eligible(limit + 1, 1, seen(LoadPhase.IDLE, 2, 0), named_at(10 * S, 2), BOUNDS) is Eligibility.TOO_OLD
    )


def test_a_finished_load_counts_before_the_list_shows_it():
    done = seen(LoadPhase.DONE, 2, 0)
    assert loaded_revision(1, done) == 2
    assert loaded_revision(3, done) == 3
    assert loaded_revision(1, seen(LoadPhase.LOADING, 2, 0)) == 1
    assert eligible(100 * S, 1, done, named_at(0, 2), BOUNDS) is Eligibility.OK
