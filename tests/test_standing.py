"""Hosts out by hand, merged with discovery's list, and the form in which standing orders are kept."""

import json

import pytest
from helpers import entry

from hopsail.standing import FORM, MOST_NAMES, Membership, Standing, StandingFault, number
from hopsail.model import Scope, State

A, B = number(b"a"), number(b"b")
OUT, BACK = Standing().without("a"), Standing().without("a").returned("a", 500)


def members(standing, *entries):
    made = Membership()
    made.adopt(standing)
    made.heard(Scope.WHOLE, entries or [entry(A), entry(B)])
    return made


def states(entries):
    return {e.name: (e.state.name, e.started) for e in entries}


@pytest.mark.parametrize(
    "standing, told, shown",
    [
        (Standing(), entry(A), ("READY", 0)),
        (OUT, entry(A), ("DRAINING", 0)),
        (OUT, entry(A, started=9), ("DRAINING", 9)),  # a restart in that time does not bring it back
        (OUT, entry(A, state=State.DRAINING), ("DRAINING", 0)),
        (OUT, entry(A, state=State.GONE), ("GONE", 0)),
        (OUT, entry(B), ("READY", 0)),
        (BACK, entry(A), ("READY", 500)),  # cold, though discovery told of no restart
        (BACK, entry(A, started=400), ("READY", 500)),
        (BACK, entry(A, started=900), ("READY", 900)),
        (BACK, entry(A, state=State.DRAINING), ("DRAINING", 500)),
    ],
)
@pytest.mark.parametrize("scope", [Scope.WHOLE, Scope.CHANGES])
def test_what_the_module_is_shown(standing, told, shown, scope):
    made = Membership()
    made.adopt(standing)
    assert states(made.heard(scope, [told])) == {told.name: shown}


@pytest.mark.parametrize(
    "before, after, told",
    [
        (Standing(), OUT, {A: ("DRAINING", 0)}),
        (OUT, BACK, {A: ("READY", 500)}),
        (OUT, OUT.without("a"), {}),  # twice out
        (OUT.without("a"), BACK, {A: ("READY", 500)}),  # needs one call back
        (Standing(), Standing().returned("a", 500), {}),  # never out: its memory is not cold
        (BACK, BACK.returned("a", 900), {}),
        (BACK, BACK.without("a"), {A: ("DRAINING", 500)}),
        (BACK.without("a"), BACK.without("a").returned("a", 900), {A: ("READY", 900)}),
        (Standing(), Standing().without("x"), {}),
    ],
)
def test_orders_tell_the_module_what_they_change(before, after, told):
    assert states(members(before).adopt(after)) == told


def test_an_order_holds_for_a_host_that_leaves_the_list_and_comes_again():
    made = members(OUT)
    made.heard(Scope.WHOLE, [entry(B)])
    assert not made.has("a") and made.has("b")
    assert states(made.heard(Scope.CHANGES, [entry(A, started=7)])) == {A: ("DRAINING", 7)}
    assert states(made.adopt(OUT.returned("a", 9))) == {A: ("READY", 9)}


def test_a_standing_comes_back_as_it_was_stored():
    standing = BACK.without("b").draining(True).as_newest(77)
    assert Standing.decode(standing.encode()) == standing


GOOD = json.loads(OUT.encode())


@pytest.mark.parametrize(
    "data",
    [
        b"", b"\xff\xfe", b"[]", b"7", b"null", b"[" * 100_000, OUT.encode()[:-9],
        *(json.dumps(GOOD | wrong).encode() for wrong in [
            {"form": FORM + 1}, {"out": "abc"}, {"out": [1]}, {"out": None}, {"back": {"a": -1}},
            {"back": {"a": 1.5}}, {"back": []}, {"drained": 1}, {"newest": None}, {"newest": True},
            {"out": ["x" * 300]}, {"out": [str(i) for i in range(MOST_NAMES + 1)]},
        ]),
        json.dumps({key: value for key, value in GOOD.items() if key != "out"}).encode(),
    ],
)  # fmt: skip
def test_what_is_no_standing_is_refused(data):
    with pytest.raises(StandingFault):
        Standing.decode(data)


def test_names_that_are_remembered_are_bounded():
    standing = Standing()
    for i in range(MOST_NAMES + 3):
        standing = standing.without(str(i)).returned(str(i), i)
    assert list(standing.back) == [str(i) for i in range(3, MOST_NAMES + 3)]
    for i in range(MOST_NAMES):
        standing = standing.without(str(i))
    with pytest.raises(OverflowError):
        standing.without("one more")
    assert Standing.decode(standing.encode()) == standing


@pytest.mark.parametrize("only_drains", [False, True])
@pytest.mark.parametrize("scope", [Scope.WHOLE, Scope.CHANGES])
def test_a_dropped_host_that_is_still_in_use_can_be_taken_out_by_hand(scope, only_drains):
    """Danger: where only draining binds the module goes on sending to what the list dropped; staff's order to
    stop that would be refused, or never reach the module."""
    made = Membership(only_drains)
    made.heard(Scope.WHOLE, [entry(A), entry(B, state=State.DRAINING)])
    update = [] if scope is Scope.WHOLE else [entry(A, state=State.GONE), entry(B, state=State.GONE)]
    made.heard(scope, update)
    assert made.has("a") is only_drains and not made.has("b")
    assert states(made.adopt(OUT)) == ({A: ("DRAINING", 0)} if only_drains else {})
    assert made.adopt(BACK) == []  # until the list has it again
    assert states(made.heard(scope, [entry(A)])) == {A: ("READY", 500)} and not made.dropped


def test_dropped_hosts_are_kept_within_a_bound():
    made = Membership(True)
    for name in range(MOST_NAMES + 50):
        made.heard(Scope.WHOLE, [entry(name)])
    assert len(made.dropped) == MOST_NAMES and len(made.listed) == 1
