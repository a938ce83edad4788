"""Merging of records: union by origin, whatever the order, repetition and cutting of the runs."""

from itertools import permutations
from random import Random

import pytest

from hopsail.tallies.errors import TallyError
from hopsail.tallies.records import RecordSet, check_add
from hopsail.tallies.types import Add

ANY = 1_000


def filled(seed, origin):
    """A set with one origin's adds; identifiers, and now and then amounts, collide with other origins'."""
    random = Random(seed)
    records = RecordSet()
    for _ in range(12):
        add = Add(random.choice("ab"), f"i{random.randint(0, 9)}", random.choice((5, 5, 3, -2)))
        records.append(origin, add)
    return records


def merged(*sets):
    result = RecordSet()
    for records in sets:
        result.merge(records.runs_beyond({}, None), ANY)
    return result


def state(records):
    return records.positions, [records.fold.total(tally) for tally in "ab"]


@pytest.mark.parametrize("seed", range(20))
def test_merging_is_commutative_associative_and_idempotent(seed):
    sets = [filled(seed * 3 + number, f"o{number}") for number in range(3)]
    expected = state(merged(*sets))
    assert all(state(merged(*order)) == expected for order in permutations(sets))
    first, second, third = sets
    assert state(merged(merged(first, second), third)) == expected
    assert state(merged(first, merged(second, third))) == expected
    assert state(merged(*sets, first, *sets)) == expected


def test_smaller_of_different_amounts_counts():
    records = RecordSet()
    for origin, amount in (("x", 5), ("y", 3), ("z", 4)):
        records.append(origin, Add("t", "i", amount))
    assert records.fold.total("t") == 3


def test_run_beyond_a_gap_is_left_out_and_one_that_overlaps_joins_on():
    source = filled(1, "o")
    runs = source.runs_beyond({"o": 4}, None)
    target = RecordSet()
    assert target.merge(runs, ANY) == 0
    target.merge(source.runs_beyond({}, None, {"o": 6}), ANY)
    assert target.merge(runs, ANY) == 6
    assert state(target) == state(source)


def test_messages_and_merges_are_bounded():
    source = filled(1, "o")
    (run,) = source.runs_beyond({}, 1)
    assert len(run.adds) == 1
    target = RecordSet()
    assert target.merge(source.runs_beyond({}, None), 5) == 5
    assert target.positions == {"o": 5}


@pytest.mark.parametrize("add", [Add("t", "i", 1 << 63), Add("t", "\ud800", 1), Add("\ud800", "i", 1)])
def test_add_that_fits_no_record_is_refused(add):
    with pytest.raises(TallyError):
        check_add(add)
