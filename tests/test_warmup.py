"""What hosts that warm up get in one second: the sum over many senders, without any agreement of theirs."""

from bisect import bisect_right
from itertools import product
from random import Random

import pytest

from hopsail.dataplane.service_hosts import ServiceHosts, UsableHosts
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase
from hopsail.model import MS, SECOND
from hopsail.routing.choice import ChoiceParameters
from hopsail.routing.warmup import (
    COUNT_SETTLES_NS,
    LIST_LAG_NS,
    SENDERS_KEPT_NS,
    WINDOW_NS,
    SenderCount,
    WarmupRule,
    WarmupSends,
    quota,
)

RULE = WarmupRule(27 * 1.5 + 5, 3 * SECOND)
START = 1000 * SECOND
WARM_AT = START + 3 * SECOND
FLEETS = (2, 9, 63, 410)


def sends(sender="n1", senders=2, rule=RULE):
    count = SenderCount()
    count.note(START - COUNT_SETTLES_NS, senders)
    made = WarmupSends(sender, count)
    made.rule = rule
    return made


def send(one, now, host="i-0", told_until=WARM_AT):
    """Whether a request is reserved and written at once."""
    return one.may_send(now, host, told_until) and one.reserve(host).write(now, told_until)


def most_in_a_second(times):
    times = sorted(times)
    return max((bisect_right(times, when + SECOND - 1) - at for at, when in enumerate(times)), default=0)


def hosts_of(one, number):
    made = ServiceHosts(Random(one.sender), ChoiceParameters(), warmup=one)
    models = (ModelRevision("m", 1),)
    made.renew(
        [
            Instance(f"i-{at}", "s", Address("10.0.0.1", 80 + at), "z", 12, Phase.SERVING, 0, models, "v1")
            for at in range(number)
        ]
    )
    return made


@pytest.mark.parametrize("number", FLEETS)
def test_a_warming_host_is_not_flooded_by_many_senders_in_any_second(number):
    """All senders prefer two hosts. One half is cut off: it is told of fewer senders, and of no warm-up, but
    has seen the hosts fail."""
    draw = Random(number)
    senders = [sends(f"node-{at}", number) for at in range(number)]
    services = [hosts_of(one, 6) for one in senders]
    warm_at = {f"i-{at}": WARM_AT for at in range(2)}
    for one, name in product(senders[: number // 2], warm_at):
        one.failed(START - SECOND, name)
    arrived = {name: [] for name in warm_at}
    waiting = []  # reservations whose connection is on its way up
    for step in range(100):
        now = START + step * 40 * MS
        for one in senders[: number // 2]:
            one.senders.note(now, max(1, number // 2))
        for _, name, reservation, told_until in [one for one in waiting if one[0] <= now]:
            if reservation.write(now, told_until):
                arrived[name].append(now)
            else:
                reservation.release()
        waiting = [one for one in waiting if one[0] > now]
        for at in draw.choices(range(number), weights=[1 / (1 + at) for at in range(number)], k=40):
            told = {} if at < number // 2 else warm_at
            usable = UsableHosts(services[at], now, set(), lambda state: True, warm_at=told)
            name = next((f"i-{host}" for host in range(6) if usable.get(f"i-{host}") is not None), "none")
            if name in arrived:
                up_at = now + draw.choice((0, 0, 900)) * MS
                waiting.append((up_at, name, senders[at].reserve(name), told.get(name, 0)))
    for times in arrived.values():
        assert 0 < most_in_a_second(times) <= RULE.allowance


@pytest.mark.parametrize("number", FLEETS)
def test_quotas_of_all_senders_stay_within_the_allowance_and_near_the_mean(number):
    sums = [
        sum(quota(RULE.mean, number, f"node-{at}", f"i-{host}") for at in range(number))
        for host in range(300)
    ]
    assert max(sums) <= RULE.allowance
    assert abs(sum(sums) / len(sums) - RULE.mean) < 1
    if number == 2:
        assert min(sums) >= RULE.mean - 1


def test_the_mean_is_five_deviations_below_the_allowance():
    assert RULE.mean + 5 * RULE.mean**0.5 == pytest.approx(RULE.allowance)


def test_no_grant_without_a_known_number_of_senders():
    assert not send(sends(senders=None), START)
    assert quota(RULE.mean, 0, "n1", "i-0") == 0


def test_a_quota_depends_on_nothing_but_both_names_and_the_number():
    one, other = sends(senders=63), sends(senders=63)
    for at in range(50):
        send(other, START, f"i-{at}")
    other.failed(START, "i-7")
    assert [send(one, START + SECOND, f"i-{at}") for at in range(50, 99)] == [
        send(other, START + SECOND, f"i-{at}") for at in range(50, 99)
    ]


def test_a_partition_does_not_lower_the_number_of_senders():
    count = SenderCount()
    for at, told in enumerate((63, 21, 20, None)):
        count.note(START + at * SECOND, told)
    assert count.highest == count.settled(START + COUNT_SETTLES_NS) == 63
    later = START + SENDERS_KEPT_NS + 2 * SECOND
    count.note(later, 20)
    assert count.highest == 20


def test_a_warming_host_is_not_flooded_by_a_fleet_that_has_just_started_and_is_told_too_few_senders():
    fleet = [sends(f"node-{at}", None) for at in range(63)]
    warm_at, settled = START + 60 * SECOND, START + COUNT_SETTLES_NS
    for one in fleet:
        one.senders.note(START, 3)
    assert not any(send(one, settled - 1, told_until=warm_at) for one in fleet)
    for one in fleet:
        one.senders.note(settled - 1, 63)
    assert 0 < sum(send(one, settled, told_until=warm_at) for one in fleet) <= 45


def test_a_reservation_counts_until_a_window_after_its_late_write():
    one = sends()
    limit = quota(RULE.mean, 2, "n1", "i-0")
    held = [one.reserve("i-0") for _ in range(limit)]
    assert not one.may_send(START + 5 * SECOND, "i-0", START + 9 * SECOND)
    late = START + 5 * SECOND
    assert all(reservation.write(late, START + 9 * SECOND) for reservation in held)
    assert not one.may_send(late + WINDOW_NS - 1, "i-0", START + 9 * SECOND)
    assert one.may_send(late + WINDOW_NS, "i-0", START + 9 * SECOND)


def test_a_reservation_that_was_not_written_is_given_back_once():
    one = sends()
    held = [one.reserve("i-0") for _ in range(quota(RULE.mean, 2, "n1", "i-0"))]
    assert not one.may_send(START, "i-0", WARM_AT)
    held[0].release()
    held[0].release()
    assert one.may_send(START, "i-0", WARM_AT)
    one.reserve("i-0")
    assert not one.may_send(START, "i-0", WARM_AT)


def test_requests_that_wait_for_a_connection_are_taken_back_when_the_host_begins_to_warm_up():
    one = sends()
    held = [one.reserve("i-0") for _ in range(40)]
    written = [reservation.write(START, WARM_AT) for reservation in held]
    assert written.count(True) == quota(RULE.mean, 2, "n1", "i-0")
    assert one.taken_back == written.count(False)


def test_what_was_sent_before_the_news_counts():
    one = sends()
    for _ in range(40):
        assert send(one, START, told_until=0)
    assert not send(one, START + WINDOW_NS - 1)
    assert send(one, START + WINDOW_NS)


def test_a_host_is_bounded_until_its_told_end_and_the_lag_of_the_list():
    one = sends(senders=None)
    assert not one.may_send(WARM_AT + LIST_LAG_NS - 1, "i-0", WARM_AT)
    assert one.may_send(WARM_AT + LIST_LAG_NS, "i-0", WARM_AT)


def test_a_host_that_failed_is_bounded_for_a_whole_warm_up_after_its_next_answer():
    one, back = sends(senders=None), START + 4 * SECOND
    one.answered(START, "i-0")
    assert one.may_send(START, "i-0", 0)
    one.failed(START, "i-0")
    one.answered(back, "i-0")
    one.answered(back + SECOND, "i-0")
    ends = back + RULE.duration_ns + LIST_LAG_NS
    assert not one.may_send(ends - 1, "i-0", 0) and one.may_send(ends, "i-0", 0)


def test_without_a_rule_nothing_is_bounded_or_kept():
    one = sends(senders=None, rule=None)
    one.failed(START, "i-0")
    one.suspect(START, "i-0")
    assert one.may_send(START, "i-0", WARM_AT) and one.reserve("i-0") is None
    assert not one._hosts


def test_a_host_that_is_gone_leaves_no_record():
    one = sends()
    send(one, START)
    one.forget("i-0")
    assert not one._hosts


def test_requests_to_a_host_that_never_warms_up_are_not_kept_for_ever():
    one = sends()
    for at in range(2000):
        assert send(one, START + at * 10 * MS, told_until=0)
    assert len(one._hosts["i-0"].written) <= WINDOW_NS // (10 * MS) + 1
