"""Standstills of processes: how they are measured, and what the verdict on a rig's run makes of them."""

import signal
from types import SimpleNamespace

import pytest
from test_rig import made

from hopsail.emulator.scenario import Rules
from hopsail.load import rig
from hopsail.load.generator import Final
from hopsail.load.rig import Rig
from hopsail.load.standstills import BEAT, LATE, Heartbeat, Standstill, disturbed, earliest, merged, share
from hopsail.load.verdict import BEFORE, SLACK, Worth, judge, undisturbed, worth
from hopsail.model import MS, SECOND

SPANS = [Standstill(100, 200), Standstill(300, 400)]


@pytest.mark.parametrize(
    ("at", "running", "expected"),
    [(90, 20, 70), (250, 20, 230), (250, 50, 200), (250, 60, 90), (150, 10, 90), (450, 50, 400),
     (450, 60, 290), (450, 160, 90), (1000, 10, 990)],
)  # fmt: skip
def test_only_time_in_which_processes_ran_counts(at, running, expected):
    assert earliest(at, running, SPANS) == expected
    assert earliest(at, running, []) == at - running


def test_spans_that_overlap_are_one():
    spans = [Standstill(5, 9), Standstill(1, 3), Standstill(2, 4), Standstill(9, 12)]
    assert merged(spans) == [Standstill(1, 4), Standstill(5, 12)]
    assert merged([Standstill(1, 9), Standstill(2, 3)]) == [Standstill(1, 9)]


def test_the_part_of_a_span_that_stood_still():
    assert share(0, 400, SPANS) == 0.5
    assert share(150, 350, SPANS) == 0.5
    assert share(200, 300, SPANS) == 0


def test_a_standstill_disturbs_what_it_meets_and_its_own_length_after_it():
    assert not disturbed(0, 100, SPANS)
    assert disturbed(50, 101, SPANS)
    assert disturbed(299, 300, SPANS)
    assert not disturbed(500, 600, SPANS)


class Clock:
    """A loop whose timers the test lets come when it likes."""

    def __init__(self):
        self.time, self.due = 0, []

    def now(self):
        return self.time

    def at(self, when, act):
        self.due.append((when, act))

    def advance_by(self, late):
        when, act = self.due.pop()
        self.time = when + late
        act()


def test_a_heartbeat_that_comes_late_tells_its_span():
    clock, told = Clock(), []
    Heartbeat(clock, told.append, clock.now)
    clock.advance_by(0)
    clock.advance_by(LATE)
    assert not told
    last = clock.time
    clock.advance_by(LATE + 1)
    assert told == [Standstill(last, last + BEAT + LATE + 1)]
    clock.advance_by(0)
    assert len(told) == 1


def records(trace, seen, standstills):
    """What a rig holds after its run, of one balancer `n0`."""
    played = SimpleNamespace(network=SimpleNamespace(same=MS, cross=2 * MS), rules=Rules(),
                             cache=SimpleNamespace(cores=1, service=MS))  # fmt: skip
    return SimpleNamespace(played=played, trace=trace, load=SimpleNamespace(trace=seen),
                           balancers=[SimpleNamespace(name="n0")], standstills=standstills)  # fmt: skip


AT = 10 * SECOND
FAR = BEFORE + 7 * MS  # longer than a leg takes from a balancer to its host


def leg_after_answer(**standstills):
    clients = [("taken", AT, 0, 1, AT + SECOND, "repeatable"), ("answered", AT + 100 * MS, 0, 1, "handled")]
    trace = [("sent", AT + 100 * MS + FAR, 0, 1, 7, "host")]
    return judge(records(trace, clients, standstills))["lost"]


@pytest.mark.parametrize("name", ["relay", "host", "n0"])
def test_a_leg_whose_way_stood_still_was_sent_before_its_answer(name):
    span = Standstill(AT + 110 * MS, AT + 130 * MS)
    assert leg_after_answer()
    assert not leg_after_answer(**{name: [span]})
    assert leg_after_answer(**{name: [Standstill(AT + 110 * MS, AT + 110 * MS + 100)]})  # too short
    assert leg_after_answer(**{name: [Standstill(AT, AT + 20 * MS)]})  # long before


@pytest.mark.parametrize("name", ["other", "clients"])
def test_a_standstill_of_who_has_no_part_in_it_excuses_no_leg(name):
    assert leg_after_answer(**{name: [Standstill(AT + 110 * MS, AT + 130 * MS)]})


def late_answer(**standstills):
    rules, limit = Rules(), AT + SECOND
    answered = limit + rules.slack + SLACK + 10 * MS
    clients = [("taken", AT, 0, 1, limit, "repeatable"), ("answered", answered, 0, 1, "scrapped")]
    return judge(records([], clients, standstills))["lost"]


@pytest.mark.parametrize("name", ["n0", "clients"])
def test_an_answer_is_late_by_the_time_in_which_its_balancer_ran(name):
    assert late_answer()
    assert not late_answer(**{name: [Standstill(AT + 1100 * MS, AT + 1120 * MS)]})
    assert late_answer(**{name: [Standstill(AT + 1100 * MS, AT + 1105 * MS)]})  # too short
    assert late_answer(**{name: [Standstill(AT, AT + 500 * MS)]})  # long before
    assert late_answer(relay=[Standstill(AT + 1100 * MS, AT + 1120 * MS)])


STOPS, EVERY = 150 * MS, 350 * MS


@pytest.mark.parametrize("who", ["relay", "hosts", "balancers"])
def test_processes_that_are_stopped_for_moments_break_no_rule(who):
    with Rig(made(load={"lasts": "3 s"}), 5) as one:
        load = rig.Load(one.loop, one.played, [balancer.place for balancer in one.balancers], 5)
        one.play(load)
        children = {"relay": [one.relay], "hosts": [host.child for host in one.all],
                    "balancers": [balancer.child for balancer in one.balancers]}[who]  # fmt: skip

        def tell(number):
            for child in children:
                child.process.send_signal(number)

        for begin in range(load.begin + EVERY, load.end - EVERY, EVERY):
            one.loop.at(begin, lambda: tell(signal.SIGSTOP))
            one.loop.at(begin + STOPS, lambda: tell(signal.SIGCONT))
        load.run()
        found = judge(one)
    names = {"relay": {"relay"}, "hosts": {host.name for host in one.all}, "balancers": {"n0", "n1"}}[who]
    for name in names:
        longest = max(span.end - span.begin for span in one.standstills[name])
        assert longest > STOPS / 2, name
    assert not any(found.values()), found


def test_worth_is_that_of_requests_that_no_standstill_has_met():
    met, kept, late = (Final(150, 160, 5.0, False, False), Final(0, 50, 1.0, True, True),
                       Final(510, 600, 2.0, True, False))  # fmt: skip
    run = SimpleNamespace(
        load=SimpleNamespace(finals=[met, kept, late]), standstills={"relay": SPANS[:1], "n0": SPANS[1:]}
    )
    assert undisturbed(run) == [kept, late]
    assert worth(undisturbed(run)) == Worth(2, 3.0, 1.0)
    assert worth(undisturbed(run)).earned == pytest.approx(1 / 3)
    assert Worth().earned == 0
