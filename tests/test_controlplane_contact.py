"""How long ago a majority stood behind what a control process tells: the age, and who gives the word."""

from types import SimpleNamespace

import pytest

from hopsail.controlplane.contact import (
    RETRY_INTERVAL_NS,
    CONFIRM_INTERVAL_NS,
    CONFIRM,
    ConfirmReply,
    MajorityContact,
)
from hopsail.net import loop as loop_module
from hopsail.net.loop import Loop

SECOND = 1_000_000_000
MS = 1_000_000
LONGEST_AGO = 3 * SECOND // 2


class Process:
    """A contact with its replica; the calls are kept, to be answered by the test."""

    def __init__(self):
        self.clock, self.calls, self.regained, self.fed = SECOND, [], 0, True
        self.leased_until = 0
        self.replica = SimpleNamespace(
            identity="me",
            leader=None,
            commit_index=0,
            applied_index=0,
            lease_valid=lambda now: now < self.leased_until,
        )
        self.contact = MajorityContact(
            self, self.replica, self._channel, lambda: self.fed, LONGEST_AGO, self._regained
        )

    def now(self):
        return self.clock

    def _channel(self, peer):
        return SimpleNamespace(call=lambda *call: self.calls.append((peer, *call)))

    def _regained(self):
        self.regained += 1

    def tick(self, after=0):
        self.clock += after
        self.contact.tick()

    def answer(self, index, confirmed=True):
        """Answers the oldest call."""
        _, method, _, _, done, _ = self.calls.pop(0)
        assert method == CONFIRM
        done(ConfirmReply(confirmed=confirmed, commit_index=index), None)


@pytest.fixture
def process():
    return Process()


def test_a_leader_is_in_contact_while_its_lease_holds(process):
    process.replica.leader = "me"
    process.leased_until = process.clock + SECOND
    assert process.contact.age_ms() == 0
    process.clock += 5 * SECOND
    assert process.contact.age_ms() == 5000
    assert process.calls == []


def test_before_any_word_there_is_no_age(process):
    process.tick()
    assert process.contact.age_ms() == -1
    assert not process.contact.is_recent(process.clock)


def test_a_members_word_is_as_old_as_its_question(process):
    process.replica.leader = "other"
    process.tick()
    process.clock += 400 * MS
    process.answer(0)
    assert process.contact.age_ms() == 400


def test_an_answer_read_after_a_pause_of_the_process_is_old(process):
    process.replica.leader = "other"
    process.tick()
    process.clock += 20 * SECOND
    process.answer(0)
    assert process.contact.age_ms() == 20_000


def test_the_age_is_taken_by_the_clock_as_it_is_then(process):
    process.replica.leader = "me"
    process.leased_until = process.clock + 300 * MS
    process.tick()
    process.clock += 20 * SECOND  # stopped; the reply is made before the next tick
    assert process.contact.age_ms() == 20_000
    assert not process.contact.is_recent(process.clock)


def test_a_word_counts_once_what_was_committed_is_applied(process):
    process.replica.leader = "other"
    process.tick()
    process.answer(7)
    assert process.contact.age_ms() == -1
    process.replica.applied_index = 6
    assert process.contact.age_ms() == -1
    process.replica.applied_index = 7
    assert process.contact.age_ms() == 0


def test_a_word_counts_once_what_is_applied_is_fed(process):
    process.replica.leader, process.fed = "other", False
    process.tick()
    process.answer(0)
    assert process.contact.age_ms() == -1
    process.fed = True
    assert process.contact.age_ms() == 0


def test_a_leaders_own_word_counts_once_all_is_applied(process):
    process.replica.leader, process.replica.commit_index = "me", 7
    process.leased_until = process.clock + SECOND
    assert process.contact.age_ms() == -1
    process.replica.applied_index = 7
    assert process.contact.age_ms() == 0


def test_who_does_not_lead_or_has_no_lease_gives_no_word(process):
    answers = []
    process.replica.commit_index = 9
    process.contact.answer(None, answers.append, None)
    process.leased_until = process.clock + 1
    process.contact.answer(None, answers.append, None)
    assert [(one.confirmed, one.commit_index) for one in answers] == [(False, 0), (True, 9)]


def test_a_refusal_is_no_word(process):
    process.replica.leader = "other"
    process.tick()
    process.answer(0, confirmed=False)
    assert process.contact.age_ms() == -1


def test_without_word_it_asks_more_often_and_a_new_leader_at_once(process):
    process.replica.leader = "other"
    for _ in range(100):
        process.tick(10 * MS)
    assert SECOND // CONFIRM_INTERVAL_NS < len(process.calls) <= SECOND // RETRY_INTERVAL_NS + 1
    process.answer(0)
    process.calls.clear()
    process.tick(RETRY_INTERVAL_NS)
    process.replica.leader = "third"
    process.tick(MS)
    assert [call[0] for call in process.calls] == ["other", "third"]


def test_with_recent_word_it_asks_four_times_a_second(process):
    process.replica.leader = "other"
    asked = 0
    process.tick()
    process.answer(0)
    for _ in range(200):
        process.tick(10 * MS)
        while process.calls:
            asked += 1
            process.answer(0)
    assert asked <= 2 * SECOND // CONFIRM_INTERVAL_NS + 1


def test_it_tells_when_there_is_word_again(process):
    process.replica.leader = "other"
    process.tick()
    process.answer(0)
    process.tick()
    assert process.regained == 1
    process.calls.clear()
    process.tick(LONGEST_AGO + MS)
    assert process.regained == 1
    process.answer(0)
    process.tick()
    assert process.regained == 2


def test_words_that_wait_are_bounded_and_the_newest_counts(process):
    process.replica.leader = "other"
    for index in range(100):
        process.tick(CONFIRM_INTERVAL_NS)
        process.answer(index)
    process.replica.applied_index = 99
    assert process.contact.age_ms() == 0


def test_a_step_of_the_time_of_day_changes_no_age(process, monkeypatch):
    loop = Loop()
    try:
        contact = MajorityContact(loop, process.replica, None, lambda: True, LONGEST_AGO, lambda: None)
        process.leased_until = loop.now() + SECOND
        assert contact.age_ms() == 0
        process.leased_until = 0
        monkeypatch.setattr(loop_module, "time_ns", lambda: loop.now() + 3600 * SECOND)
        assert 0 <= contact.age_ms() < 1000
        monkeypatch.setattr(loop_module, "time_ns", lambda: loop.now() - 3600 * SECOND)
        assert 0 <= contact.age_ms() < 1000
    finally:
        loop.close()


def lagging(process, lag, steps=400, every=10 * MS):
    """Changes are committed all the time and applied so much later; the ages that are told on the way."""
    committed, ages = [], []
    for index in range(steps):
        process.replica.commit_index = index
        committed.append((process.clock, index))
        process.replica.applied_index = max(
            [i for at, i in committed if at <= process.clock - lag], default=-1
        )
        process.tick(every)
        while process.calls:
            process.answer(index)
        ages.append(process.contact.age_ms())
    return ages


@pytest.mark.parametrize("lag", [300, 500, 900])
@pytest.mark.parametrize("leads", [True, False])
def test_who_applies_changes_late_all_the_time_has_word_as_old_as_its_lag(process, leads, lag):
    process.replica.leader = "me" if leads else "other"
    if leads:
        process.leased_until = 3600 * SECOND
    ages = lagging(process, lag * MS)
    assert lag <= max(ages[100:]) <= lag + 400 and min(ages[100:]) >= 0
