"""What may have run, what may be repeated and what the client is told: each kind of request x instant.

Played through a whole request with the stand-ins of `request_journey`; the rules are pure."""

from itertools import product

import pytest
from request_journey import (
    EVENTS_HEAD,
    IDEMPOTENT,
    KINDS,
    LAST_CHUNK,
    MILLISECOND,
    RESUMABLE,
    SECOND,
    Journey,
    answer,
    chunk,
    declined,
    events,
)

from hopsail.dataplane.execution import (
    Begun,
    Outcome,
    RequestKind,
    Told,
    decide,
    declines,
    kind_of,
    outcome_of,
    passes,
    told_at_deadline,
    told_at_end,
)
from hopsail.http.message import ResponseHead

NOT_EXECUTED = "hopsail-not-executed"
EARLIER = "an earlier request"


def says(data, in_order=None, reused=False):
    """The host says this; then, unless `in_order` is None, the connection ends: in order or with a reset."""

    def act(journey, number=0):
        host = journey.host(number)
        host.used = reused
        if data:
            host.says(data)
        if in_order is not None and host.open:
            host.ends(in_order)

    return act


def does_not_come_up(journey):
    journey.host()._not_up()
    journey.loop.settle()


def nothing(journey):
    """The pool's manner has seen to it."""


def is_silent(journey):
    journey.loop.forward(4 * SECOND)


def is_silent_after(data):
    def act(journey):
        journey.host().says(data)
        journey.loop.forward(4 * SECOND)

    return act


HALF = answer(200, b"half", length=8)
HEAD_ONLY = answer(200, b"", length=8)
UNFRAMED = answer().replace(b"Content-Length: 6\r\n", b"")
SOME_EVENTS = EVENTS_HEAD + chunk(events(1, 3))
SHED = declined(503)

# Each instant: how the first host's connection comes up, what happens there, and for each kind, in the order
# of KINDS, what follows: "next" where another host is asked, and what the client gets where none may be.
# 503 is our own refusal, which bears the promise; 502 and 504 promise nothing; "cut" can't look complete.
ONCE_MORE = ("next 502", "502", "502", "next 502")  # it may have run
NOT_RUN = ("next 503",) * 4
CUT = ("cut",) * 4
INSTANTS = {
    "no connection to be had": ("none", nothing, NOT_RUN),
    "connection refused": ("refused", nothing, NOT_RUN),
    "connecting timed out": ("silent", does_not_come_up, NOT_RUN),
    "nothing written": (0, says(b"", False), NOT_RUN),
    "one byte written": (1, says(b"", False), ONCE_MORE),
    "head written in part": (40, says(b"", False), ONCE_MORE),
    "written in part, ended in order": (40, says(b"", True), ONCE_MORE),
    "body written in part": (-3, says(b"", False), ONCE_MORE),
    "all written, reset": ("up", says(b"", False), ONCE_MORE),
    "all written, ended in order": ("up", says(b"", True), ONCE_MORE),
    "reset on a reused connection": ("up", says(b"", False, reused=True), ONCE_MORE),
    "ended in order on a reused connection": ("up", says(b"", True, reused=True), ONCE_MORE),
    "no answer": ("up", says(b"\x00nonsense\r\n\r\n"), ONCE_MORE),
    "half a head": ("up", says(b"HTTP/1.1 503 Busy\r\nHopsail-Not-Exec", True), ONCE_MORE),
    "an interim answer alone": ("up", says(b"HTTP/1.1 100 Continue\r\n\r\n", True), ONCE_MORE),
    "an interim answer that declines": (
        "up",
        says(b"HTTP/1.1 103 Early\r\nHopsail-Not-Executed: 1\r\n\r\n", False),
        ONCE_MORE,
    ),
    "head came, reset": ("up", says(HEAD_ONLY, False), CUT),
    "head came, ended in order": ("up", says(HEAD_ONLY, True), CUT),
    "part of the body, reset": ("up", says(HALF, False), CUT),
    "part of the body, ended in order": ("up", says(HALF, True), CUT),
    "part of a failure's body": ("up", says(answer(500, b"half", length=8), False), CUT),
    "no length, reset": ("up", says(UNFRAMED, False), CUT),
    "no length, ended in order": ("up", says(UNFRAMED, True), ("200",) * 4),
    "part of the events, reset": ("up", says(SOME_EVENTS, False), ("cut", "cut", "cut", "next cut")),
    "part of the events, in order": ("up", says(SOME_EVENTS, True), ("cut", "cut", "cut", "next cut")),
    "whole": ("up", says(answer()), ("200",) * 4),
    "whole, before the body was out": (-3, says(answer()), ("200",) * 4),
    "whole, and a second one": ("up", says(answer() + answer(200, b"again")), ("200",) * 4),
    "500": ("up", says(answer(500)), ("500",) * 4),
    "the host's own 504": ("up", says(answer(504)), ("504",) * 4),
    "500 that says it did not run": ("up", says(answer(500, lines=["Hopsail-Not-Executed: 1"])), NOT_RUN),
    "503 that says it did not run": ("up", says(SHED), NOT_RUN),
    "429 that says it did not run": ("up", says(declined(429)), NOT_RUN),
    "408 that says it did not run": ("up", says(declined(408)), NOT_RUN),
    "421 that says it did not run": ("up", says(declined(421)), NOT_RUN),
    "421 alone": ("up", says(declined(421, ())), NOT_RUN),
    "declined before the body was out": (-3, says(SHED), NOT_RUN),
    "declined, its body cut": (
        "up",
        says(answer(503, b"ab", seal=None, length=9, lines=["Hopsail-Not-Executed: 1"]), False),
        NOT_RUN,
    ),
    "503 alone": ("up", says(declined(503, ())), ONCE_MORE),
    "429 alone": ("up", says(declined(429, ())), ONCE_MORE),
    "408 alone": ("up", says(declined(408, ())), ONCE_MORE),
    "503 alone, cut": ("up", says(answer(503, b"ab", length=9), False), ONCE_MORE),
    "200 without stamp": ("up", says(answer(seal=None)), ONCE_MORE),
    "200 without id": ("up", says(answer(identifier=None)), ONCE_MORE),
    "another's 200, then a reset": ("up", says(answer(identifier=EARLIER), False, reused=True), ONCE_MORE),
    "another's refusal, then a reset": (
        "up",
        says(declined().replace(b"9c41d07be2a35f68", b"another"), False, reused=True),
        ONCE_MORE,
    ),
    "a refusal without id, new connection": (
        "up",
        says(answer(503, b"", None, seal=None, lines=["Hopsail-Not-Executed: 1"])),
        NOT_RUN,
    ),
    "a refusal without id, reused connection": (
        "up",
        says(answer(503, b"", None, seal=None, lines=["Hopsail-Not-Executed: 1"]), reused=True),
        ONCE_MORE,
    ),
    "a failure without id, reused connection": ("up", says(answer(500, b"x", None), reused=True), ONCE_MORE),
    "silence until the deadline": ("up", is_silent, ("504",) * 4),
    "no connection until the deadline": ("silent", is_silent, ("504",) * 4),
    "silence after some events": ("up", is_silent_after(SOME_EVENTS), CUT),
    "silence after another's answer": ("up", is_silent_after(answer(identifier=EARLIER)), ("504",) * 4),
}
CELLS = [
    pytest.param(kind, manner, act, expected, id=f"{kind}-{name}")
    for name, (manner, act, row) in INSTANTS.items()
    for kind, expected in zip(KINDS, row, strict=True)
]


@pytest.mark.parametrize(("kind", "manner", "act", "expected"), CELLS)
def test_whether_another_host_is_asked(kind, manner, act, expected):
    journey = Journey(KINDS[kind], manners=[manner], MaxTries=2)
    act(journey)
    again = expected.startswith("next")
    first = journey.host() if manner != "none" else None
    others = [host for host in journey.pool.made if host is not first]
    assert len(others) == again and all(host.sent for host in others)
    if again:
        assert not journey.exchange.ended
        assert first is None or not first.open or first in journey.pool.rested
        begun = SOME_EVENTS if journey.exchange.started else b""
        others[0].says(EVENTS_HEAD + chunk(events(4, 5)) + LAST_CHUNK if begun else answer(200, b"second"))
        assert journey.over() == 200
        assert bytes(journey.client.body) == (events(1, 5) if begun else b"second")
    else:
        assert str(journey.over()) == expected


@pytest.mark.parametrize(("kind", "manner", "act", "expected"), CELLS)
def test_what_the_client_is_told_when_no_other_host_may_be_asked(kind, manner, act, expected):
    journey = Journey(KINDS[kind], manners=[manner], hosts=1, MaxTries=2)
    act(journey)
    assert str(journey.over()) == expected.removeprefix("next ") and len(journey.pool.made) <= 1
    promised = journey.client.header(NOT_EXECUTED) is not None
    assert promised == (journey.client.status == 503)


@pytest.mark.parametrize(("kind", "manner", "act", "expected"), CELLS)
def test_a_promise_is_never_made_once_an_earlier_host_may_have_run_it(kind, manner, act, expected):
    """The first host breaks off; what happens after it is met at the second one."""
    journey = Journey(KINDS[kind], manners=["up", manner], hosts=2)
    first = journey.host()
    first.ends()
    if kind in ("idempotent", "resumable"):
        journey.pool.made.remove(first)
        act(journey)
    assert journey.over() != 503 and journey.client.header(NOT_EXECUTED) is None


def test_no_byte_of_another_request_follows_a_body_that_is_not_out():
    journey = Journey(manners=[-3])
    journey.host().says(answer())
    assert journey.over() == 200 and not journey.host().open and not journey.pool.rested
    whole = Journey()
    whole.host().says(answer())
    assert whole.pool.rested == [whole.host()]


# The rules themselves


def test_what_is_repeated_and_promised_follows_from_what_may_have_run():
    for kind, outcome, passed, begun, before in product(
        RequestKind, Outcome, (False, True), Begun, (False, True)
    ):
        decision = decide(kind, outcome, passed, begun, before)
        not_run = outcome in (Outcome.NOT_SENT, Outcome.DECLINED)
        assert decision.may_have_run == (before or not not_run)
        if decision.may_repeat:
            assert not_run or kind.repeatable
            assert begun is not Begun.PART
        assert (decision.told is Told.ANSWER) == (outcome is Outcome.COMPLETE and passed)
        if decision.told is Told.REFUSED:
            assert not decision.may_have_run and begun is Begun.NOTHING
        if begun is not Begun.NOTHING and decision.told is not Told.ANSWER:
            assert decision.told is Told.CUT
        assert told_at_end(begun, True) is not Told.REFUSED
        assert told_at_deadline(begun) in (Told.LATE, Told.CUT)


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("status", [100, 200, 204, 400, 404, 408, 421, 429, 500, 502, 503, 504])
def test_only_the_hosts_word_says_that_what_was_written_has_not_run(status, whole):
    alone = ResponseHead(status, [("retry-after", "1")], True)
    said = ResponseHead(status, [(NOT_EXECUTED, "1")], True)
    assert declines(alone) == (status == 421) and declines(said) and not declines(None)
    assert outcome_of(True, said, whole) is Outcome.DECLINED
    unsaid = outcome_of(True, alone, whole)
    assert unsaid is (Outcome.DECLINED if status == 421 else Outcome.COMPLETE if whole else Outcome.BROKEN)
    assert outcome_of(True, None, False) is Outcome.BROKEN
    assert outcome_of(False, None, False) is Outcome.NOT_SENT


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_that_a_host_did_not_mean_is_not_passed_on(status):
    stamped = [("hopsail-server-seal", "x"), ("hopsail-attempt-id", "y")]
    assert not passes(ResponseHead(status, stamped, True))


@pytest.mark.parametrize("status", [301, 400, 404, 500, 502, 504])
def test_a_failure_is_passed_on_with_its_own_status(status):
    assert passes(ResponseHead(status, [("hopsail-server-seal", "x")], True))
    for kind in KINDS.values():
        journey = Journey(kind)
        journey.host().says(answer(status, b"why"))
        assert journey.over() == status and journey.client.header("hopsail-server-seal") == "3e1b.07"


def test_kinds_of_routes():
    assert [kind_of(route) for route in KINDS.values()] == list(RequestKind)
    assert kind_of({"RouteKind": "unheard-of"}) is RequestKind.MUTATING
    assert kind_of({"RouteKind": "mutating", "Resumable": True}) is RequestKind.MUTATING


# A client that leaves, and hosts in one try


@pytest.mark.parametrize("kind", KINDS)
def test_nothing_is_written_for_a_client_that_left_while_its_connection_came_up(kind):
    journey = Journey(KINDS[kind], manners=["silent"])
    journey.exchange.client_gone()
    host = journey.host()
    assert not host.open and not host.sent
    journey.loop.forward(4 * SECOND)
    assert len(journey.pool.made) == 1 and journey.plane.outcomes == [None]


@pytest.mark.parametrize("kind", KINDS)
def test_nothing_is_sent_for_a_client_that_left_before_its_turn(kind):
    journey = Journey(KINDS[kind], queued=True)
    assert not journey.pool.made
    journey.exchange.client_gone()
    journey.forwarding.admitted()
    journey.loop.forward(4 * SECOND)
    assert not journey.pool.made and journey.plane.left == [journey.forwarding]


@pytest.mark.parametrize("kind", KINDS)
def test_the_second_hosts_work_ends_when_its_client_leaves(kind):
    journey = Journey(KINDS[kind])
    journey.host().says(SHED)
    assert journey.host(1).open
    journey.exchange.client_gone()
    assert not journey.host(1).open
    journey.loop.forward(4 * SECOND)
    assert journey.sent == 2


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("act", [says(SHED), says(b"", False), says(SOME_EVENTS, False)])
def test_no_more_hosts_are_sent_a_request_than_its_route_allows(act, kind, tries):
    journey = Journey(KINDS[kind], MaxTries=tries)
    for number in range(8):
        if number < len(journey.pool.made):
            act(journey, number)
    assert journey.over() in (502, 503, "cut")
    assert journey.sent <= tries and journey.plane.budget.spent == journey.sent - 1


# The time that a host is told


@pytest.mark.parametrize("kind", KINDS)
def test_a_host_whose_connection_came_up_late_is_told_the_time_that_is_left_then(kind):
    journey = Journey(KINDS[kind], manners=["silent"])
    journey.loop.forward(900 * MILLISECOND)
    journey.host().up()
    assert journey.host().told("hopsail-deadline-ms") == "3100"


def test_the_time_told_ends_with_the_clients_at_each_further_host():
    journey = Journey(IDEMPOTENT, manners=["up", "silent", "up"])
    journey.loop.forward(1000 * MILLISECOND)
    journey.host().ends()
    journey.loop.forward(700 * MILLISECOND)
    journey.host(1)._not_up()
    journey.loop.settle()
    assert journey.host(2).told("hopsail-deadline-ms") == "2300"


def test_no_host_is_asked_after_the_deadline():
    journey = Journey(manners=["silent"])
    journey.loop.time += 4 * SECOND  # the timer is late
    does_not_come_up(journey)
    assert len(journey.pool.made) == 1
    journey.loop.forward(0)
    assert journey.over() == 504


def test_a_connection_that_came_up_after_the_deadline_carries_nothing():
    journey = Journey(manners=["silent"])
    journey.loop.time += 4 * SECOND  # a pause of the process: sockets' events come before its timers
    journey.host().up()
    assert not journey.host().sent
    journey.loop.forward(0)
    assert journey.over() == 504 and not journey.host().open


UNNUMBERED = b"data: no id\n\n"
NO_NUMBER = b"id: x7\ndata: an id that does not rise\n\n"
COMMENT = b": a comment, to keep the connection\n\n"


@pytest.mark.parametrize("before", [b"", events(1, 2)], ids=["at first", "after others"])
@pytest.mark.parametrize("last", [UNNUMBERED, NO_NUMBER, COMMENT + UNNUMBERED + COMMENT])
def test_a_stream_whose_last_event_no_host_can_be_told_of_is_not_taken_up(before, last):
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD + chunk(before + last))
    journey.host().ends()
    assert journey.over() == "cut" and bytes(journey.client.body) == before + last
    assert len(journey.pool.made) == 1


def test_an_event_with_a_number_lets_a_stream_be_taken_up_again():
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD + chunk(UNNUMBERED + events(1, 2) + COMMENT))
    journey.host().ends()
    assert journey.host(1).told("last-event-id") == "2"
    journey.host(1).says(EVENTS_HEAD + chunk(events(3, 3)) + LAST_CHUNK)
    assert bytes(journey.client.body) == UNNUMBERED + events(1, 2) + COMMENT + events(3, 3)
    assert journey.over() == 200


def test_events_whose_lines_end_in_two_manners_are_not_doubled():
    first, second = b"id: 1\ndata: one\n\r\n", b"id: 2\ndata: two\r\n\n"
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD + chunk(first + second + b"id: 3\nda"))
    journey.host().ends()
    assert journey.host(1).told("last-event-id") == "2"
    journey.host(1).says(EVENTS_HEAD + chunk(events(3, 3)) + LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == first + second + events(3, 3)


@pytest.mark.parametrize("name", ["Łódź", "acme é", "\N{SNOWMAN}"])
def test_a_tenant_of_any_letters_is_told_in_utf_8(name):
    journey = Journey(tenant={"Name": name})
    told = journey.host().told("hopsail-tenant")
    assert told.encode("latin-1").decode() == name
    journey.host().says(answer())
    assert journey.over() == 200


@pytest.mark.parametrize("name", ["a\r\nhopsail-tenant: b", "a\n", "a\rb", "\0"])
def test_a_tenant_whose_name_would_end_its_header_is_not_told(name):
    journey = Journey(tenant={"Name": name})
    assert not journey.pool.made and journey.over() == 503
    assert journey.client.header(NOT_EXECUTED) is not None
