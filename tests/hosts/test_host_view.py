"""The view of all hosts after listings and updates."""

from itertools import permutations

from listed_hosts import MS, S, instance, numbered, phases

from hopsail.hosts.instance import (
    Phase,
    merge,
)
from hopsail.hosts.view import HostView


def test_listing_returns_what_has_changed():
    view = HostView()
    hosts = numbered(3)
    assert view.apply_listing(0, hosts, 1) == hosts
    assert view.apply_listing(1 * S, hosts, 1) == []
    draining = hosts[1].with_phase(Phase.DRAINING)
    assert view.apply_listing(2 * S, [hosts[0], draining, hosts[2]], 1) == [draining]
    assert view.apply_listing(3 * S, hosts, 1) == []
    assert view.get("i-1").phase is Phase.DRAINING


def test_instance_missing_from_a_listing_of_one_page_is_removed():
    view = HostView()
    hosts = numbered(3)
    view.apply_listing(0, hosts, 1)
    assert view.apply_listing(2 * S, hosts[:2], 1) == [hosts[2].with_phase(Phase.REMOVED)]
    assert [one.identifier for one in view.by_service("s")] == ["i-0", "i-1"]
    assert view.apply_listing(3 * S, hosts, 1) == []
    assert view.get("i-2").phase is Phase.REMOVED


def test_instance_missing_twice_in_a_row_from_several_pages_is_removed():
    view = HostView()
    hosts = numbered(3)
    view.apply_listing(0, hosts, 2)
    assert view.apply_listing(2 * S, hosts[:2], 2) == []
    assert view.apply_listing(3 * S, hosts, 2) == []
    assert view.apply_listing(4 * S, hosts[:2], 2) == []
    assert view.apply_listing(5 * S, hosts[:2], 2) == [hosts[2].with_phase(Phase.REMOVED)]


def test_update_that_the_list_lags_behind_is_not_undone():
    view = HostView()
    known, fresh = numbered(2)
    view.apply_listing(0, [known], 1)
    assert view.apply_instance(5 * S, fresh) == [fresh]
    assert view.apply_listing(5 * S + 700 * MS, [known], 1) == []
    assert view.apply_listing(6 * S + 400 * MS, [known], 1) == []
    assert view.apply_listing(7 * S, [known], 1) == [fresh.with_phase(Phase.REMOVED)]


def test_an_empty_listing_counts_at_the_third_in_a_row():
    view = HostView()
    hosts = numbered(2)
    view.apply_listing(0, hosts, 1)
    assert view.apply_listing(2 * S, [], 1) == []
    assert view.apply_listing(3 * S, [], 1) == []
    assert view.apply_listing(4 * S, hosts, 1) == []
    assert view.apply_listing(5 * S, [], 1) == []
    assert view.apply_listing(6 * S, [], 1) == []
    assert [one.phase for one in view.apply_listing(7 * S, [], 1)] == [Phase.REMOVED, Phase.REMOVED]


def test_older_instance_at_a_reused_address_is_removed():
    view = HostView()
    old = instance("i-old", "10.0.0.1:80", service="a")
    new = instance("i-new", "10.0.0.1:80", service="b")
    view.apply_listing(0, [old], 1)
    changed = view.apply_listing(1 * S, [old, new], 1)
    assert changed == [new, old.with_phase(Phase.REMOVED)]
    assert view.by_service("a") == []
    assert view.by_service("b") == [new]


def test_a_reused_address_is_seen_in_a_chain_of_three():
    view = HostView()
    chain = [instance(f"i-{number}", "10.0.0.1:80") for number in range(3)]
    for count in (1, 2, 3):
        view.apply_listing(count * 100 * MS, chain[:count], 1)
    assert phases(view) == {"i-0": Phase.REMOVED, "i-1": Phase.REMOVED, "i-2": Phase.SERVING}


def test_two_instances_first_listed_together_at_one_address_both_stay():
    view = HostView()
    both = [instance("i-1", "10.0.0.1:80", service="a"), instance("i-2", "10.0.0.1:80", service="b")]
    view.apply_listing(0, both, 1)
    assert phases(view) == {"i-1": Phase.SERVING, "i-2": Phase.SERVING}
    assert view.apply_listing(2 * S, both[1:], 1) == [both[0].with_phase(Phase.REMOVED)]


def test_update_of_a_former_instance_does_not_remove_the_one_at_its_address():
    view = HostView()
    current = instance("i-new", "10.0.0.1:80", service="b")
    view.apply_listing(0, [current], 1)
    view.apply_instance(5 * S, instance("i-old", "10.0.0.1:80", service="a"))
    view.apply_listing(6 * S, [current], 1)
    view.apply_listing(7 * S, [current], 1)
    assert phases(view) == {"i-new": Phase.SERVING, "i-old": Phase.REMOVED}


def test_tombstones_expire():
    view = HostView(tombstone_ttl_ns=120 * S)
    hosts = numbered(2)
    view.apply_listing(0, hosts, 1)
    view.apply_listing(2 * S, hosts[:1], 1)
    view.apply_listing(121 * S, hosts[:1], 1)
    assert "i-1" in view.instances
    assert view.apply_instance(121 * S, hosts[1]) == []
    view.apply_listing(122 * S, hosts[:1], 1)
    assert list(view.instances) == ["i-0"]
    assert view.by_service("nothing") == []


def test_the_view_is_bounded_and_drops_tombstones_first():
    view = HostView(max_instances=3)
    hosts = numbered(5)
    view.apply_listing(0, hosts[:3], 1)
    assert view.apply_instance(1 * S, hosts[3]) == []
    view.apply_instance(2 * S, hosts[0].with_phase(Phase.REMOVED))
    assert view.apply_instance(3 * S, hosts[3]) == [hosts[3]]
    assert list(view.instances) == ["i-1", "i-2", "i-3"]


def test_updates_give_the_same_view_in_any_order_and_repetition():
    states = [
        instance("i-1"),
        instance("i-1", phase=Phase.DRAINING),
        instance("i-1", models=(("m", 2),)),
        instance("i-1", phase=Phase.REMOVED),
    ]
    views = set()
    for order in permutations(states):
        view = HostView()
        for update in order + order:
            view.apply_instance(0, update)
        views.add(view.get("i-1"))
    assert views == {instance("i-1", phase=Phase.REMOVED, models=(("m", 2),))}


def test_falling_warm_up_is_reported_when_it_has_halved_or_ended():
    view = HostView()
    view.apply_listing(0, [instance("i-1", warmup=8000)], 1)
    reported = [
        left
        for left in range(7900, -1, -100)
        if view.apply_listing((8000 - left) * MS, [instance("i-1", warmup=left)], 1)
    ]
    assert reported[:3] == [4000, 2000, 1000]
    assert reported[-1] == 0
    assert len(reported) <= 8


def warmup(view):
    """The round and the time left, as last published."""
    known = view.get("i-1")
    return known.warmup_round, known.warmup_left_ms


def heard(view, now_ms, left):
    return view.apply_listing(now_ms * MS, [instance("i-1", warmup=left)], 1)


def test_a_host_that_becomes_cold_again_is_published():
    view = HostView()
    heard(view, 0, 0)
    assert [one.warmup_left_ms for one in heard(view, 9000, 2800)] == [2800]
    assert warmup(view) == (1, 2800)
    heard(view, 12_000, 0)
    assert warmup(view) == (1, 0)
    heard(view, 20_000, 2600)
    assert warmup(view) == (2, 2600)


def test_a_host_that_becomes_cold_while_it_warms_up_begins_a_round():
    view = HostView()
    heard(view, 0, 3000)
    heard(view, 700, 2300)
    heard(view, 2500, 2900)
    assert warmup(view) == (1, 2900)


def test_a_lagging_list_neither_begins_nor_ends_a_round():
    view = HostView()
    heard(view, 0, 0)
    heard(view, 9000, 2800)
    assert not heard(view, 9700, 0)
    heard(view, 11_800, 0)
    for late in (100, 900, 1500):
        heard(view, 11_800, late)
    assert warmup(view) == (1, 0)


def test_a_round_of_another_process_does_not_hide_a_later_one():
    view = HostView()
    heard(view, 0, 0)
    heard(view, 9000, 2800)
    view.apply_instance(9100 * MS, instance("i-1").with_warmup(3, 0))
    assert warmup(view) == (3, 0)
    heard(view, 9700, 2100)
    assert warmup(view) == (4, 2100)


def test_a_round_that_is_all_but_over_is_not_published():
    view = HostView()
    heard(view, 0, 0)
    assert not heard(view, 9000, 249) and heard(view, 9000, 250)


def test_a_warm_up_is_known_as_new_to_those_who_outlived_the_process_that_lists_it():
    """All control processes have restarted; data planes know the host as warm, after two rounds."""
    before = HostView()
    heard(before, 0, 0)
    for start in (9000, 20_000):
        heard(before, start, 2800)
        heard(before, start + 5000, 0)
    after = HostView(first_round=100)
    for at, left in ((0, 2800), (9000, 2600)):
        heard(after, at, left)
        known = merge(before.get("i-1"), after.get("i-1"))
        assert known.warmup_left_ms == left
        before.apply_instance(30_000 * MS, known)
        heard(after, at + 5000, 0)
