"""The data plane's view: folded from feeds that repeat, overtake and fall behind each other."""

from itertools import permutations
from random import Random

import pytest

from hopsail.configuration.items import split_items
from hopsail.dataplane.view import GONE_KEPT, FleetView
from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase, encode
from hopsail.model import MS, SECOND
from hopsail.weights.load import HostLoad, LoadPhase, encode_load


def configuration(revision, prefixes=("/a/",), service="s"):
    route = {"Hostname": "h.example", "RouteKind": "mutating", "DeadlineMs": 1000, "Service": service}
    return {
        "Revision": revision,
        "Routes": [{"Name": f"r{prefix}", "PathPrefix": prefix} | route for prefix in prefixes],
        "Services": [{"Name": service}],
    }


def instance(identifier="i-1", phase=Phase.SERVING, revision=1, warmup=0):
    models = (ModelRevision("m", revision),)
    return Instance(identifier, "s", Address("10.0.0.1", 80), "z", 4, phase, warmup, models, "v1")


class Feed:
    """A followed control process, with the state that its follower has folded."""

    def __init__(self, view, name="c1"):
        self.view, self.name, self.state = view, name, {}

    def tell(self, *changes, now=0):
        """One batch, as a follower hands it over: the state holds it already."""
        for change in changes:
            if change.value is None:
                self.state.pop((change.topic, change.key), None)
            else:
                self.state[(change.topic, change.key)] = change.value
        self.view.apply(now, self.name, self.state, list(changes))

    def configure(self, told, *more):
        items = split_items(told)
        held = [key for topic, key in self.state if topic == Topic.CONFIGURATION]
        changes = [Change(Topic.CONFIGURATION, key, None) for key in held if key not in items]
        changes += [Change(Topic.CONFIGURATION, key, value) for key, value in items.items()]
        self.tell(*changes, *more)


def listed(*instances):
    return [Change(Topic.INSTANCE, one.identifier, encode(one)) for one in instances]


@pytest.fixture
def view():
    return FleetView()


# Configuration


def test_the_first_configuration_is_taken(view):
    taken = []
    view.on_configuration = lambda: taken.append(view.table.revision)
    Feed(view).configure(configuration(5))
    assert taken == [5] and view.table.find("h.example", "/a/x")["Name"] == "r/a/"


def test_an_older_configuration_is_never_taken_whoever_tells_it(view):
    taken = []
    view.on_configuration = lambda: taken.append(view.table.revision)
    first, second = Feed(view, "c1"), Feed(view, "c2")
    first.configure(configuration(9, ("/new/",)))
    for feed, revision in ((second, 7), (first, 8), (second, 9), (first, 1)):
        feed.configure(configuration(revision, ("/old/",)))
    assert taken == [9] and view.table.revision == 9
    assert view.table.find("h.example", "/new/x") and not view.table.find("h.example", "/old/x")


def test_the_newest_configuration_is_taken_in_any_order_of_feeds():
    for order in permutations([3, 5, 8, 13]):
        view = FleetView()
        taken = []
        view.on_configuration = lambda view=view, taken=taken: taken.append(view.table.revision)
        for number, revision in enumerate(order):
            Feed(view, f"c{number}").configure(configuration(revision, (f"/{revision}/",)))
        assert view.table.revision == 13 and view.table.find("h.example", "/13/x")
        assert taken == sorted(set(taken)) and taken[-1] == 13


def test_a_feed_that_catches_up_is_taken_once_it_is_ahead(view):
    ahead, behind = Feed(view, "c1"), Feed(view, "c2")
    ahead.configure(configuration(9, ("/nine/",)))
    behind.configure(configuration(4, ("/four/",)))
    behind.configure(configuration(11, ("/eleven/",)))
    assert view.table.find("h.example", "/eleven/x") and not view.table.find("h.example", "/nine/x")


def test_a_change_of_one_route_leaves_no_mixture(view):
    feed = Feed(view)
    feed.configure(configuration(1, ("/a/", "/b/")))
    items = split_items(configuration(2, ("/a/", "/c/")))
    feed.tell(
        Change(Topic.CONFIGURATION, "route/r/b/", None),
        Change(Topic.CONFIGURATION, "route/r/c/", items["route/r/c/"]),
        Change(Topic.CONFIGURATION, "revision", items["revision"]),
    )
    found = {prefix: bool(view.table.find("h.example", f"/{prefix}/x")) for prefix in "abc"}
    assert found == {"a": True, "b": False, "c": True}


def test_a_batch_is_taken_in_whole_before_anyone_is_told(view):
    seen = []
    view.on_configuration = lambda: seen.append(
        ("configuration", view.table.revision, sorted(view.instances))
    )
    view.on_instances = lambda: seen.append(("instances", view.table.revision, sorted(view.instances)))
    Feed(view).configure(configuration(5), *listed(instance("i-1"), instance("i-2")))
    assert sorted(seen) == [("configuration", 5, ["i-1", "i-2"]), ("instances", 5, ["i-1", "i-2"])]


def test_a_configuration_whose_revision_has_not_come_is_not_taken(view):
    items = split_items(configuration(5))
    del items["revision"]
    Feed(view).tell(*[Change(Topic.CONFIGURATION, key, value) for key, value in items.items()])
    assert view.table is None


def test_a_feed_that_loses_its_state_takes_nothing_away(view):
    feed = Feed(view)
    feed.configure(configuration(5), *listed(instance()))
    feed.tell(*[Change(topic, key, None) for topic, key in list(feed.state)])
    assert view.table.revision == 5 and view.instances["i-1"].phase is Phase.SERVING


@pytest.mark.parametrize(
    "faulty",
    [
        Change(Topic.INSTANCE, "i-0", b"no instance"),
        Change(Topic.LOAD, "i-0", b"no load"),
        Change(Topic.TARGET, "m", b"no number"),
        Change(Topic.BALANCERS, "count", b"no number"),
        Change(Topic.PREFIX_CACHE, "not three words at all", b"5"),
        Change(99, "unheard-of", b"x"),
    ],
    ids=["instance", "load", "target", "balancers", "kept", "topic"],
)
def test_an_entry_that_cannot_be_read_does_not_keep_the_others_out(view, faulty):
    told = []
    view.on_instances = lambda: told.append(sorted(view.instances))
    Feed(view).configure(configuration(5), faulty, *listed(instance("i-1")))
    assert view.table is not None and view.table.revision == 5
    assert sorted(view.instances) == ["i-1"] and told == [["i-1"]]


# Instances


def test_an_instance_never_moves_back(view):
    feeds = [Feed(view, "c1"), Feed(view, "c2")]
    feeds[0].tell(*listed(instance(phase=Phase.DRAINING)))
    feeds[1].tell(*listed(instance(phase=Phase.SERVING)))
    assert view.instances["i-1"].phase is Phase.DRAINING
    feeds[0].tell(*listed(instance(phase=Phase.REMOVED)))
    feeds[1].tell(*listed(instance(phase=Phase.DRAINING)))
    feeds[1].tell(*listed(instance(phase=Phase.SERVING)))
    assert view.instances["i-1"].phase is Phase.REMOVED


def test_the_revision_of_a_model_never_falls(view):
    Feed(view, "c1").tell(*listed(instance(revision=3)))
    Feed(view, "c2").tell(*listed(instance(revision=2)))
    assert view.instances["i-1"].model_revision("m") == 3


def test_any_order_and_repetition_of_news_gives_the_same_view():
    news = [
        instance(phase=Phase.SERVING, revision=1, warmup=500),
        instance(phase=Phase.SERVING, revision=2, warmup=100),
        instance(phase=Phase.DRAINING, revision=1),
        instance(phase=Phase.REMOVED, revision=1),
        instance("i-2", revision=4),
    ]
    views = []
    for seed in range(30):
        order = news * 2
        Random(seed).shuffle(order)
        view = FleetView()
        for number, one in enumerate(order):
            Feed(view, f"c{number % 3}").tell(*listed(one))
        views.append(view.instances)
    assert all(instances == views[0] for instances in views)


def test_listeners_are_told_of_changes_only(view):
    told = []
    view.on_instances = lambda: told.append(1)
    feed, other = Feed(view, "c1"), Feed(view, "c2")
    feed.tell(*listed(instance("i-1"), instance("i-2")))
    other.tell(*listed(instance("i-1"), instance("i-2")))
    other.tell(Change(Topic.INSTANCE, "i-1", None))
    assert len(told) == 1
    other.tell(*listed(instance("i-1", Phase.DRAINING)))
    assert len(told) == 2


def test_an_instance_that_is_gone_before_it_was_known_does_not_come_up(view):
    Feed(view, "c1").tell(*listed(instance(phase=Phase.REMOVED)))
    Feed(view, "c2").tell(*listed(instance(phase=Phase.SERVING)))
    assert view.instances["i-1"].phase is Phase.REMOVED


def test_instances_that_are_gone_are_bounded_and_live_ones_stay(view):
    feed = Feed(view)
    feed.tell(*listed(*[instance(f"live-{number}") for number in range(5)]))
    for start in range(0, GONE_KEPT + 40, 40):
        feed.tell(*listed(*[instance(f"i-{start + number}", Phase.REMOVED) for number in range(40)]))
    gone = [one for one in view.instances.values() if one.phase is Phase.REMOVED]
    assert len(gone) == GONE_KEPT and len(view.instances) == GONE_KEPT + 5
    assert f"i-{GONE_KEPT + 39}" in view.instances  # the oldest were forgotten


def test_a_view_is_ready_with_a_configuration_and_a_host(view):
    feed = Feed(view)
    assert not view.ready
    feed.configure(configuration(5))
    assert not view.ready
    feed.tell(*listed(instance()))
    assert view.ready
    feed.tell(*listed(instance(phase=Phase.REMOVED)))
    assert not view.ready


# Weights


def target(revision):
    return Change(Topic.TARGET, "m", str(revision).encode())


def test_a_named_version_never_falls_and_is_known_since_it_first_came(view):
    first, second = Feed(view, "c1"), Feed(view, "c2")
    first.tell(target(3), now=10)
    second.tell(target(2), now=20)
    second.tell(target(3), now=30)
    named = view.targets["m"]
    assert (named.newest, named.superseded_at(2), named.superseded_at(3)) == (3, 10, None)
    second.tell(target(4), now=40)
    assert (named.newest, named.superseded_at(2), named.superseded_at(3)) == (4, 10, 40)


def load(phase, revision, fence, serial):
    return Change(Topic.LOAD, "i-1", encode_load(HostLoad(phase, revision, fence, serial)))


def test_the_newest_news_of_a_load_counts_in_any_order():
    news = [
        load(LoadPhase.PREPARING, 2, 7, 1),
        load(LoadPhase.LOADING, 2, 7, 2),
        load(LoadPhase.DONE, 2, 7, 3),
    ]
    for order in permutations(news):
        view = FleetView()
        for number, change in enumerate(order):
            Feed(view, f"c{number}").tell(change, now=number)
        assert view.loads["i-1"].load.phase is LoadPhase.DONE


def test_repeated_news_of_a_load_changes_nothing(view):
    told = []
    view.on_instances = lambda: told.append(1)
    Feed(view, "c1").tell(load(LoadPhase.LOADING, 2, 7, 2), now=5)
    Feed(view, "c2").tell(load(LoadPhase.LOADING, 2, 7, 2), now=9)
    assert view.loads["i-1"].seen_at == 5 and told == []  # hosts are judged by their loads when one is chosen


def test_loads_of_hosts_that_are_forgotten_are_dropped(view):
    feed = Feed(view)
    for number in range(GONE_KEPT + 100):
        name = f"i-{number}"
        done = encode_load(HostLoad(LoadPhase.DONE, 2, 7, 3))
        feed.state.clear()
        feed.tell(*listed(instance(name, Phase.REMOVED)), Change(Topic.LOAD, name, done))
    assert len(view.loads) <= len(view.instances)


# Kept parts, stores, balancers


def kept(tokens, key="i-1 salt 5c1e"):
    return Change(Topic.PREFIX_CACHE, key, None if tokens is None else str(tokens).encode())


def told_kept(view, salt="salt"):
    return view.kept.reported_holders(salt, "5c1e")


def test_a_kept_part_counts_while_any_feed_tells_it(view):
    first, second = Feed(view, "c1"), Feed(view, "c2")
    first.tell(kept(800))
    second.tell(kept(800))
    assert told_kept(view) == {"i-1": 800} and len(view.kept) == 1
    first.tell(kept(None))
    assert told_kept(view) == {"i-1": 800} and len(view.kept) == 1
    second.tell(kept(None))
    assert told_kept(view) == {} and len(view.kept) == 0


def test_kept_parts_of_several_holders(view):
    feed = Feed(view)
    feed.tell(kept(800), kept(700, "i-2 salt 5c1e"), kept(9, "i-2 other 5c1e"))
    assert told_kept(view) == {"i-1": 800, "i-2": 700}
    feed.tell(kept(None))
    assert told_kept(view) == {"i-2": 700} and told_kept(view, "other") == {"i-2": 9}
    assert len(view.kept) == 2


def test_a_part_that_was_not_known_can_be_taken_back(view):
    Feed(view).tell(kept(None))
    assert told_kept(view) == {} and len(view.kept) == 0 and view.unreadable == 0
    Feed(view).tell(kept(800))
    assert told_kept(view) == {"i-1": 800}


def test_a_feed_that_is_left_takes_along_what_only_it_told(view):
    first, second = Feed(view, "c1"), Feed(view, "c2")
    first.tell(kept(800), kept(700, "i-2 salt 5c1e"), kept(600, "i-3 alone 5c1e"))
    second.tell(kept(900))
    view.forget_source("c1")
    assert told_kept(view) == {"i-1": 900} and told_kept(view, "alone") == {} and len(view.kept) == 1
    view.forget_source("c2")
    assert len(view.kept) == 0


def test_what_a_host_kept_goes_with_it(view):
    feed = Feed(view)
    feed.tell(*listed(instance()), kept(800), kept(700, "i-2 salt 5c1e"))
    feed.tell(*listed(instance(phase=Phase.REMOVED)))
    assert told_kept(view) == {"i-2": 700}
    feed.tell(kept(None))
    assert told_kept(view) == {"i-2": 700} and view.unreadable == 0


def test_kept_parts_whose_tokens_cannot_be_read_are_passed_over(view):
    Feed(view).tell(Change(Topic.PREFIX_CACHE, "i-1 salt 5c1e", b"many"), kept(700, "i-2 salt 5c1e"))
    assert told_kept(view) == {"i-2": 700} and view.unreadable == 1


def test_stores_and_the_number_of_balancers(view):
    feed = Feed(view)
    feed.tell(Change(Topic.STORE, "w", b"3 down"), Change(Topic.BALANCERS, "count", b"9"))
    assert not view.store_is_up("w") and view.store_is_up("another") and view.balancers == 9
    feed.tell(Change(Topic.STORE, "w", b"3 up"))
    assert view.store_is_up("w")


def test_a_warm_up_ends_as_first_told_and_a_later_round_prolongs_it(view):
    one, other = Feed(view, "c1"), Feed(view, "c2")
    cold = instance(warmup=3000)
    one.tell(*listed(cold), now=SECOND)
    other.tell(*listed(cold), now=3 * SECOND)
    other.tell(*listed(cold.with_warmup(0, 1400)), now=3 * SECOND)
    assert view.warm_at == {"i-1": 4 * SECOND}
    one.tell(*listed(cold.with_warmup(2, 2800)), now=9 * SECOND)
    other.tell(*listed(cold.with_warmup(1, 3000)), now=10 * SECOND)
    assert view.warm_at == {"i-1": 9 * SECOND + 2800 * MS}


def test_the_warm_ups_of_hosts_that_are_gone_are_forgotten(view):
    feed = Feed(view)
    for number in range(GONE_KEPT + 1):
        feed.tell(*listed(instance(f"i-{number}", Phase.REMOVED, warmup=5)))
    assert len(view.warm_at) == GONE_KEPT
