"""Feeds that are held back until a majority has confirmed them, and no longer than the patience."""

from types import SimpleNamespace

import pytest

from hopsail.feed.confirmed import MAX_TICK_STEP_NS, ConfirmedFeeds, contact_time
from hopsail.feed.journal import Change
from hopsail.feed.messages import PollReply
from hopsail.feed.topics import DATA_PLANE_TOPICS

SECOND = 1_000_000_000
LONGEST_AGO = 3 * SECOND
PATIENCE = 4 * SECOND
TICK = SECOND // 5


class Follower:
    def __init__(self, fleet):
        self.fleet, self.state, self.confirmed_at = fleet, {}, None

    def is_confirmed(self, max_age_ns):
        return self.confirmed_at is not None and self.fleet.clock - self.confirmed_at <= max_age_ns


class Fleet:
    def __init__(self):
        self.clock, self.applied = SECOND, []
        self.feeds = ConfirmedFeeds(lambda: self.clock, LONGEST_AGO, PATIENCE, self._apply)

    def _apply(self, follower, changes):
        self.applied.append((follower, changes))

    def tell(self, follower, changes, snapshot=False, confirmed=False):
        """As `Follower` does: the state holds the changes when they are told."""
        if confirmed:
            follower.confirmed_at = self.clock
        for topic, key, value in changes:
            if value is None:
                follower.state.pop((topic, key), None)
            else:
                follower.state[topic, key] = value
        self.feeds.changed(follower, snapshot, changes, PollReply())

    def run(self, span):
        for _ in range(span // TICK):
            self.clock += TICK
            self.feeds.tick()

    def take(self):
        applied, self.applied = self.applied, []
        return applied


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def follower(fleet):
    return Follower(fleet)


def changes(value=b"1", key="a"):
    return [Change(topic, key, value) for topic in DATA_PLANE_TOPICS]


@pytest.mark.parametrize("contact_ms, seconds", [(3000, 3), (4500.5, 4.5005), (500, 2), (0, 2)])
def test_the_contact_time_is_the_settings_and_no_shorter_than_a_poll_and_an_election(contact_ms, seconds):
    assert contact_time(SimpleNamespace(contact_ms=contact_ms)) == seconds * SECOND


def test_a_confirmed_snapshot_and_the_changes_after_it_are_passed_on(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True, confirmed=True)
    fleet.tell(follower, changes(b"2"))
    assert fleet.take() == [(follower, changes()), (follower, changes(b"2"))]


def test_of_a_snapshot_without_a_majority_nothing_is_passed_on(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True)
    fleet.tell(follower, changes(b"2"))
    fleet.tell(follower, [])
    assert fleet.take() == []


def test_what_was_held_comes_in_one_batch_as_it_stands_then(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True)
    fleet.tell(follower, changes(key="b"))
    fleet.tell(follower, changes(b"2"))
    fleet.tell(follower, changes(None, key="b"))
    fleet.tell(follower, [], confirmed=True)
    ((told, batch),) = fleet.take()
    assert told is follower
    assert sorted(batch) == sorted(changes(b"2") + changes(None, key="b"))
    fleet.tell(follower, changes(b"3"))
    assert fleet.take() == [(follower, changes(b"3"))]


def test_a_restarted_publishers_snapshot_is_held_again(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True, confirmed=True)
    fleet.take()
    fleet.run(LONGEST_AGO + SECOND)
    fleet.tell(follower, changes(b"old"), snapshot=True)
    fleet.tell(follower, changes(b"older"))
    assert fleet.take() == []


def test_news_of_a_feed_that_was_confirmed_once_are_passed_on(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True, confirmed=True)
    fleet.take()
    fleet.run(60 * SECOND)
    fleet.tell(follower, changes(b"2"))
    assert fleet.take() == [(follower, changes(b"2"))]


def test_after_the_patience_all_is_passed_on(fleet, follower):
    other = Follower(fleet)
    fleet.tell(follower, changes(), snapshot=True)
    fleet.tell(other, changes(b"2"), snapshot=True)
    fleet.run(PATIENCE - 2 * TICK)
    assert fleet.take() == []
    fleet.run(4 * TICK)
    assert fleet.take() == [(follower, changes()), (other, changes(b"2"))]
    fleet.run(4 * TICK)
    assert fleet.take() == []


def test_while_a_feed_is_confirmed_others_are_held(fleet, follower):
    other = Follower(fleet)
    fleet.tell(follower, changes(), snapshot=True)
    for _ in range(30):
        fleet.tell(other, [], confirmed=True)
        fleet.run(SECOND)
    assert fleet.take() == []
    fleet.run(2 * PATIENCE)
    assert fleet.take() == [(follower, changes())]


def test_a_pause_of_the_process_is_no_patience(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True)
    fleet.clock += 60 * SECOND
    fleet.feeds.tick()
    assert fleet.take() == []
    fleet.run(PATIENCE - MAX_TICK_STEP_NS - TICK)
    assert fleet.take() == []


def test_a_feed_that_is_left_is_forgotten(fleet, follower):
    fleet.tell(follower, changes(), snapshot=True)
    fleet.feeds.forget(follower)
    fleet.run(2 * PATIENCE)
    assert fleet.take() == []
