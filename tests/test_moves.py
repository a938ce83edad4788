"""How long kept parts take to move."""

import pytest

from hopsail.prompts.moves import Distance, Link, distance, link_mbps, move_ms, token_bytes

REGIONS = {"a": "north", "b": "north", "c": "south"}


@pytest.mark.parametrize(
    ("one", "other", "expected"),
    [("a", "a", Distance.ZONE), ("a", "b", Distance.REGION), ("a", "c", Distance.FAR)]
    + [("x", "x", Distance.ZONE), ("x", "y", Distance.REGION), ("x", "a", Distance.FAR)],
)
def test_distances(one, other, expected):
    assert distance(one, other, REGIONS) is expected
    assert distance(other, one, REGIONS) is expected


def test_the_slower_end_and_the_distance_decide():
    fast, slow = Link("a", 8000.0), Link("a", 800.0)
    assert move_ms(1_000_000, fast, fast, REGIONS) == pytest.approx(1)
    assert move_ms(1_000_000, fast, slow, REGIONS) == pytest.approx(10)
    assert move_ms(1_000_000, slow, Link("b", 8000.0), REGIONS) == pytest.approx(20)
    assert move_ms(1_000_000, slow, Link("c", 8000.0), REGIONS) == pytest.approx(100)


def test_an_end_of_unknown_speed_does_not_bound():
    assert move_ms(1_000_000, Link("a", None), Link("a", 800.0), REGIONS) == pytest.approx(10)
    assert move_ms(1_000_000, Link("a", None), Link("c", None), REGIONS) == 0


def test_speeds_and_sizes_as_the_configuration_tells_them():
    service = {"Name": "s", "Runtime": {"TokenBytes": 18432, "LinkMbps": 370000.0}}
    store = {"Name": "w", "StoreAddr": "1.2.3.4:5", "LinkMbps": 23000.0}
    assert (token_bytes(service), link_mbps(service), link_mbps(store)) == (18432, 370000, 23000)
    for nothing in (None, {}, {"Runtime": None}, {"Runtime": {}}):
        assert token_bytes(nothing) == 0 and link_mbps(nothing) is None
