"""When each process requests the platform's list."""

import random

from listed_hosts import MS, S

from hopsail.hosts.polling import ListingRules, ListingSchedule


def schedule(processes=9, **rules):
    return ListingSchedule(processes, random.Random(3), ListingRules(**rules))


def list_once(plan, now, pages=1):
    plan.record_start(now)
    plan.record_success(now, pages)


def test_designated_reader_lists_at_once_and_then_once_per_period():
    plan = schedule()
    assert plan.next_due(5 * S, True, None) == 5 * S
    list_once(plan, 5 * S)
    assert plan.next_due(5 * S, True, 5 * S) == 5 * S + 700 * MS


def test_others_list_only_when_nothing_fresh_is_received():
    plan = schedule()
    due = plan.next_due(10 * S, False, 9 * S)
    assert 9 * S + 1600 * MS <= due <= 9 * S + 2400 * MS
    assert plan.next_due(10 * S + 5, False, 9 * S) == due
    assert plan.next_due(10 * S, False, 10 * S) == due + 1 * S


def test_others_are_spread_when_all_receive_nothing():
    dues = {ListingSchedule(73, random.Random(seed)).next_due(2 * S, False, 0) for seed in range(73)}
    assert len(dues) == 73
    first = [ListingSchedule(73, random.Random(seed)).next_due(0, False, None) for seed in range(73)]
    assert max(first) <= 73 / 47 * S


def test_failures_back_off_with_jitter_up_to_a_second():
    plan = schedule()
    backoffs = []
    now = 0
    for _ in range(30):
        plan.record_start(now)
        plan.record_failure(now)
        due = plan.next_due(now, True, None)
        backoffs.append(due - now)
        now = due
    assert max(backoffs) <= 1 * S
    assert min(backoffs[6:]) >= 500 * MS
    assert len(set(backoffs[6:])) > 20
    list_once(plan, now)
    assert plan.next_due(now, True, now) == now + 700 * MS


def test_all_processes_together_stay_below_the_rate():
    pages = 12
    readers = [schedule(9, rate_per_s=47.0) for _ in range(9)]
    calls = 0
    for number, plan in enumerate(readers):
        now = 0
        while now < 60 * S:
            calls += pages
            list_once(plan, now, pages)
            now = max(now + 1, plan.next_due(now, number == 0, None))
        calls -= pages
    assert calls <= 60 * 47


def test_the_time_between_pages_keeps_the_share():
    plan = schedule(9, rate_per_s=50.0)
    per_second = S / plan.page_interval_ns(True) + 8 * S / plan.page_interval_ns(False)
    assert per_second <= 50.0
