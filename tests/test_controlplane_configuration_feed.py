"""The way of the configuration into the feed: whole, in slices, and change by change."""

import json
import random

import pytest

from hopsail.configuration.replicated_configuration import ReplicatedConfiguration
from hopsail.configuration.items import join_items
from hopsail.controlplane import configuration_feed as feed_module
from hopsail.controlplane.commands import Command, CommandKind
from hopsail.controlplane.configuration_feed import ConfigurationFeed
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.feed.journal import Journal, JournalFullError
from hopsail.feed.topics import Topic

SLICE = 10


def route(name, deadline=5):
    return {
        "Name": name,
        "Hostname": "h",
        "PathPrefix": f"/{name}/",
        "RouteKind": "mutating",
        "DeadlineMs": deadline,
        "Service": "s",
    }


def whole(revision, count, deadline=5):
    routes = [route(f"r-{number}", deadline) for number in range(count)]
    return {"Revision": revision, "Routes": routes, "Services": [{"Name": "s"}]}


class Stage:
    """A state with its feed, and a follower that polls after every slice."""

    def __init__(self, most_entries=100_000):
        self.state = ConfigurationState()
        self.journal = Journal(1, most_entries)
        self.later, self.taken = [], []
        self.feed = ConfigurationFeed(self.journal, self._after, lambda: self.state, self._taken)
        self.followed, self.position, self.held = ReplicatedConfiguration(), 0, {}

    def _after(self, milliseconds, callback):
        assert milliseconds > 0
        self.later.append(callback)

    def _taken(self, table):
        self.taken.append(table.revision)

    def apply(self, kind, content):
        command = Command(kind, self.state.revision, "", 0, "", json.dumps(content).encode())
        assert self.state.apply(command).status == 200

    def put(self, content):
        self.apply(CommandKind.PUT_CONFIGURATION, content)

    def patch(self, **content):
        self.apply(CommandKind.PATCH_CONFIGURATION, {"Revision": self.state.revision + 1, **content})

    def step(self):
        self.later.pop(0)()

    def finish(self):
        slices = 0
        while self.later:
            self.step()
            slices += 1
        return slices

    @property
    def items(self):
        return {change.key: change.value for change in self.journal.snapshot([Topic.CONFIGURATION])}

    def poll(self):
        changes = self.journal.changes_since(self.position, [Topic.CONFIGURATION])
        self.position = self.journal.sequence
        told = {change.key: change.value for change in changes}
        self.held = {key: value for key, value in (self.held | told).items() if value is not None}
        self.followed.apply("c", told.items(), self.held.get)


@pytest.fixture
def stage(monkeypatch):
    monkeypatch.setattr(feed_module, "SLICE_ITEMS", SLICE)
    return Stage()


def test_before_the_first_configuration_nothing_is_fed(stage):
    stage.feed.publish()
    assert not stage.items and not stage.later and not stage.taken


def test_a_small_configuration_is_fed_at_once(stage):
    stage.put(whole(3, 4))
    stage.feed.publish()
    assert (join_items(stage.items), stage.taken, stage.later) == (whole(3, 4), [3], [])


@pytest.mark.parametrize("count", [4, 95])
def test_the_feed_is_current_from_the_moment_that_it_tells_the_revision(stage, count):
    seen = []
    stage.journal.subscribe(lambda: seen.append((stage.items.get("revision"), stage.feed.is_current)))
    assert stage.feed.is_current
    stage.put(whole(3, count))
    assert not stage.feed.is_current
    stage.feed.publish()
    stage.finish()
    stage.patch(Upsert={"Routes": [route("r-new")]})
    assert not stage.feed.is_current
    stage.feed.publish()
    assert seen[-2:] == [(b"3", True), (b"4", True)]
    assert all(current == (revision is not None) for revision, current in seen)


def test_a_large_configuration_is_fed_in_slices_and_tells_its_revision_last(stage):
    stage.put(whole(3, 95))
    stage.feed.publish()
    sizes = []
    while stage.later:
        assert "revision" not in stage.items and not stage.taken
        before = stage.journal.sequence
        stage.step()
        sizes.append(stage.journal.sequence - before)
    assert max(sizes) <= SLICE + 1 and len(sizes) >= 2 * 95 // SLICE
    assert (join_items(stage.items), stage.taken) == (whole(3, 95), [3])


def test_a_change_is_fed_as_its_items_at_once(stage):
    stage.put(whole(3, 95))
    stage.feed.publish()
    stage.finish()
    before = stage.journal.sequence
    stage.patch(Upsert={"Routes": [route("r-7", 99)]}, Remove={"Routes": ["r-8"]})
    stage.feed.publish()
    changed = {change.key for change in stage.journal.changes_since(before)}
    assert changed == {"route/r-7", "route/r-8", "revision"} and not stage.later
    assert join_items(stage.items) == stage.state.configuration


def test_a_whole_configuration_that_changes_little_is_fed_as_one_batch(stage):
    stage.put(whole(3, 95))
    stage.feed.publish()
    stage.finish()
    before = stage.journal.sequence
    stage.put(whole(4, 94))
    stage.feed.publish()
    while "route/r-94" in stage.items:
        assert stage.journal.sequence == before
        stage.step()
    assert {change.key for change in stage.journal.changes_since(before)} == {"route/r-94", "revision"}
    stage.finish()
    assert join_items(stage.items) == whole(4, 94)


def test_changes_that_come_between_slices_follow_after_them(stage):
    stage.put(whole(3, 95))
    stage.feed.publish()
    for number in range(5):
        stage.step()
        stage.patch(Upsert={"Routes": [route(f"r-{number}", 99)]})
        stage.feed.publish()
    stage.finish()
    assert stage.taken == [3, 8]
    assert join_items(stage.items) == stage.state.configuration


def test_a_whole_configuration_that_comes_between_slices_follows_after_them(stage):
    stage.put(whole(3, 95))
    stage.feed.publish()
    stage.step()
    stage.put(whole(9, 40, deadline=7))
    stage.feed.publish()
    stage.finish()
    assert stage.taken == [3, 9]
    assert join_items(stage.items) == whole(9, 40, deadline=7)


def test_a_state_from_a_snapshot_is_fed_whole(stage):
    stage.put(whole(3, 5))
    stage.feed.publish()
    other = Stage()
    other.put(whole(3, 5))
    other.patch(Remove={"Routes": ["r-1"]})
    stage.state = ConfigurationState.decode(other.state.encode())
    stage.feed.publish()
    stage.finish()
    assert join_items(stage.items) == other.state.configuration and stage.taken == [3, 4]


def test_an_older_state_is_not_fed(stage):
    stage.put(whole(7, 5))
    stage.feed.publish()
    stage.state = ConfigurationState()
    stage.put(whole(6, 3))
    stage.feed.publish()
    assert join_items(stage.items) == whole(7, 5) and stage.taken == [7]


@pytest.mark.parametrize("room", [4, 15, 30, 60])
def test_what_a_full_journal_refuses_is_fed_once_there_is_room(stage, room):
    stage.put(whole(3, 95))
    stage.journal.max_entries = room
    with pytest.raises(JournalFullError):
        stage.feed.publish()
        stage.finish()
    assert not stage.taken and "revision" not in stage.items
    stage.put(whole(4, 2))
    stage.feed.publish()
    stage.finish()
    assert join_items(stage.items) == whole(4, 2) and stage.taken == [4]


def test_a_change_that_a_full_journal_refuses_comes_with_the_next(stage):
    stage.put(whole(3, 4))
    stage.feed.publish()
    stage.journal.max_entries = len(stage.journal)
    stage.patch(Upsert={"Routes": [route("r-new")]})
    with pytest.raises(JournalFullError):
        stage.feed.publish()
    assert join_items(stage.items) == whole(3, 4)
    stage.journal.max_entries += 5
    stage.patch(Remove={"Routes": ["r-0"]})
    stage.feed.publish()
    assert join_items(stage.items) == stage.state.configuration and stage.taken == [3, 5]


@pytest.mark.parametrize("seed", range(20))
def test_whoever_polls_between_slices_sees_whole_configurations_only(stage, seed):
    draw = random.Random(seed)
    history = {}
    for _ in range(150):
        kind = draw.random()
        if kind < 0.1 or not stage.state.revision:
            stage.put(whole(stage.state.revision + 1, draw.randrange(60), draw.choice([5, 6])))
        elif kind < 0.4:
            upsert = [route(f"r-{draw.randrange(70)}", draw.randint(1, 9))]
            stage.patch(Upsert={"Routes": upsert}, Remove={"Routes": [f"r-{draw.randrange(70)}"]})
        history[stage.state.revision] = stage.state.configuration
        stage.feed.publish()
        if stage.later:
            stage.step()
        if draw.random() < 0.7:
            stage.poll()
        if "revision" in stage.items:
            told = join_items(stage.items)
            assert told == history[told["Revision"]]
        if stage.followed.table is not None:
            expected = history[stage.followed.table.revision]
            routes = {item["Name"]: item for item in expected["Routes"]}
            shown = {name: stage.followed.table.find("h", f"/{name}/") for name in routes}
            assert shown == routes
            gone = [f"r-{number}" for number in range(70) if f"r-{number}" not in routes]
            assert not any(stage.followed.table.find("h", f"/{name}/") for name in gone)
    stage.finish()
    stage.poll()
    assert stage.followed.table.revision == stage.state.revision
    assert stage.taken == sorted(set(stage.taken))
