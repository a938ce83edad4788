"""Whether a store answers: the word of the latest term counts, whichever feed tells it, in any order."""

import pytest

from hopsail.dataplane.view import FleetView
from hopsail.feed.journal import Change
from hopsail.feed.store_status import StoreStatus, decode_store, encode_store
from hopsail.feed.topics import Topic


def tell(view, source, value):
    view.apply(0, source, {}, [Change(Topic.STORE, "store", value)])


@pytest.mark.parametrize("up", [True, False])
def test_a_status_survives_encoding(up):
    assert decode_store(encode_store(StoreStatus(7, up))) == StoreStatus(7, up)


@pytest.mark.parametrize("value", [b"", b"up", b"1 gone", b"x up", b"1 up more"])
def test_what_is_no_status_is_refused(value):
    with pytest.raises(ValueError):
        decode_store(value)


@pytest.mark.parametrize("order", [("old", "new"), ("new", "old")])
def test_a_deposed_leader_that_says_down_does_not_count(order):
    said = {"old": b"1 down", "new": b"2 up"}
    view = FleetView()
    for source in order:
        tell(view, source, said[source])
    assert view.store_is_up("store")


def test_a_leader_that_takes_its_word_back_leaves_the_others():
    view = FleetView()
    tell(view, "old", b"3 up")
    tell(view, "new", b"4 down")
    assert not view.store_is_up("store")
    tell(view, "new", None)
    assert view.store_is_up("store")


def test_a_feed_that_is_left_does_not_count():
    view = FleetView()
    tell(view, "old", b"9 down")
    view.forget_source("old")
    assert view.store_is_up("store")
