"""One request on its way: what its client gets, and when it may be sent to a second host.

The plane and the sockets are stand-ins (`request_journey`)."""

from itertools import product
from random import Random

import pytest
from data_plane_by_hand import ask, feed, headers_of, instance
from request_journey import (
    EVENTS_HEAD,
    IDEMPOTENT,
    IDENTIFIER,
    LAST_CHUNK,
    LINGER_RESET,
    MILLISECOND,
    MUTATING,
    RESUMABLE,
    SECOND,
    STREAM,
    ClientSide,
    Journey,
    answer,
    chunk,
    declined,
    event,
    events,
)

from hopsail.configuration.items import split_items
from hopsail.configuration.process import parse_settings
from hopsail.dataplane.attempt import Attempt
from hopsail.dataplane.attempt_records import AttemptRecords
from hopsail.dataplane.events import MOST_EVENT, EventError, EventSplitter
from hopsail.dataplane.execution import Outcome
from hopsail.dataplane.forward import MOST_DIALS, MOST_UNSENT, Refusal
from hopsail.dataplane.placement import Placement
from hopsail.dataplane.view import FleetView
from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase, encode
from hopsail.http.message import Request
from hopsail.http.server import Exchange
from hopsail.net.counters import Counters

# What the host is told


def test_a_host_is_sent_the_request_unchanged_and_the_systems_own_headers():
    journey = Journey(
        headers=[
            ("authorization", "Bearer secret"),
            ("hopsail-tenant", "forged"),
            ("hopsail-target-instance", "i-forged"),
            ("hopsail-deadline-ms", "99999"),
            ("cache-salt", "forged"),
            ("kv-fetch", "10.9.9.9:1"),
            ("kv-save", "10.9.9.9:1"),
            ("expect-version", "77"),
            ("priority", "0"),
            ("hopsail-model", "m"),
            ("x-other", "kept"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("expect", "100-continue"),
        ],
        tenant={"Name": "acme", "ApiKeys": ["secret"]},
        body=b"\x00body",
    )
    host = journey.host()
    first, headers, body = host.taken
    assert first == "POST /a/b?q=1 HTTP/1.1" and body == b"\x00body"
    assert b"secret" not in host.sent and b"forged" not in host.sent and b"10.9.9.9" not in host.sent
    expected = {
        "host": "h.example",
        "hopsail-attempt-id": IDENTIFIER,
        "hopsail-model": "m",
        "x-other": "kept",
        "hopsail-deadline-ms": "4000",
        "hopsail-target-instance": "i-0",
        "hopsail-tenant": "acme",
        "expect-version": "3",
        "cache-salt": "s",
        "priority": "1",
        "content-length": "5",
    }
    assert dict(headers) == expected and len(headers) == len(expected)


def test_without_a_tenant_none_is_told():
    journey = Journey(headers=[("hopsail-tenant", "forged")])
    assert journey.host().told("hopsail-tenant") is None


def test_a_second_host_is_told_the_time_that_is_left_and_the_same_id():
    journey = Journey(IDEMPOTENT)
    journey.loop.forward(1500 * MILLISECOND)
    journey.host().ends()
    second = journey.host(1)
    assert second.told("hopsail-deadline-ms") == "2500"
    assert second.told("hopsail-attempt-id") == IDENTIFIER
    assert second.told("hopsail-target-instance") == "i-1"


# Whole answers


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM, RESUMABLE])
@pytest.mark.parametrize("status", [200, 201, 302, 400, 404, 500, 504])
def test_a_hosts_whole_answer_is_passed_on_unchanged(kind, status):
    journey = Journey(kind)
    journey.host().says(answer(status, b"the body", lines=["X-Own: a"]))
    assert journey.over() == status
    assert bytes(journey.client.body) == b"the body" and journey.sent == 1
    assert journey.client.header("hopsail-server-seal") == "3e1b.07"
    assert journey.client.header("hopsail-attempt-id") == IDENTIFIER
    assert journey.client.header("x-own") == "a"
    assert journey.plane.outcomes == [Outcome.COMPLETE]


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("body", [b"", b"x", b"x" * 100_000], ids=["empty", "short", "long"])
def test_a_body_of_any_length_is_passed_on(status, body):
    journey = Journey()
    data = answer(status, body)
    for start in range(0, len(data), 65536):
        journey.host().says(data[start : start + 65536])
    assert journey.over() == status and bytes(journey.client.body) == body


@pytest.mark.parametrize("status", [200, 500])
def test_a_body_in_chunks_is_passed_on(status):
    journey = Journey()
    head = answer(status, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    journey.host().says(head + chunk(b"one") + chunk(b"two"))
    assert bytes(journey.client.body) == b"onetwo" and not journey.client.complete
    journey.host().says(LAST_CHUNK)
    assert journey.over() == status


def test_an_answer_split_at_any_byte_is_the_same():
    data = answer(200, b"the body")
    for middle in range(1, len(data)):
        journey = Journey()
        journey.host().says(data[:middle]).says(data[middle:])
        assert journey.over() == 200 and bytes(journey.client.body) == b"the body"


def test_an_answer_without_a_length_is_whole_when_the_host_ends_it_in_order():
    journey = Journey()
    journey.host().says(answer().replace(b"Content-Length: 6\r\n", b""))
    assert not journey.client.complete
    journey.host().ends(in_order=True)
    assert journey.over() == 200 and bytes(journey.client.body) == b"answer"


def test_an_answer_without_a_length_that_is_reset_is_cut_off():
    journey = Journey()
    journey.host().says(answer().replace(b"Content-Length: 6\r\n", b""))
    journey.host().ends()
    assert journey.over() == "cut"


def test_the_answer_to_head_has_no_body():
    journey = Journey(method="HEAD", body=b"")
    journey.host().says(answer(200, b"", length=6))
    assert journey.exchange.ended
    assert b"chunked" not in journey.client.bytes and journey.client.bytes.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM, RESUMABLE])
@pytest.mark.parametrize("more", [answer(200, b"again"), answer(200, b"again", "other"), b"\x00", b"H"])
def test_more_after_a_whole_answer_is_no_part_of_it(kind, more):
    journey = Journey(kind)
    journey.host().says(answer(200, b"whole") + more)
    assert journey.over() == 200 and bytes(journey.client.body) == b"whole"
    assert not journey.pool.rested


def test_a_surplus_answer_to_another_request_is_skipped():
    journey = Journey()
    journey.host().says(answer(200, b"wrong", "other"))
    assert not journey.exchange.started
    journey.host().says(answer(200, b"right"))
    assert journey.over() == 200 and bytes(journey.client.body) == b"right"


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT])
@pytest.mark.parametrize("in_order", [True, False])
@pytest.mark.parametrize("surplus", [answer(200, b"wrong", "other"), answer(204, b"", "other", length=0)])
def test_a_surplus_answer_alone_is_no_answer(kind, in_order, surplus):
    journey = Journey(kind, MaxTries=1)
    journey.host().says(surplus.replace(b"Content-Length: 5\r\n", b"").replace(b"Content-Length: 0\r\n", b""))
    journey.host().ends(in_order)
    assert journey.over() == 502


# Each way in which an attempt ends x may it run twice x has the answer begun


def refused_dial(journey, number):
    """NOT_SENT: the pool's manner has seen to it."""


def broken(journey, number):
    journey.host(number).ends()


def declines(journey, number):
    journey.host(number).says(declined())


def breaks_after_declining(journey, number):
    journey.host(number).says(answer(503, b"ab", seal=None, length=9, lines=["Hopsail-Not-Executed: 1"]))
    journey.host(number).ends()


def misdirected(journey, number):
    journey.host(number).says(declined(421, ()))


def unstamped(journey, number):
    journey.host(number).says(answer(seal=None))


def encoded(journey, number):
    journey.host(number).says(answer(lines=["Content-Encoding: gzip"]))


def promise_not_kept(journey, number):
    journey.host(number).says(answer(503, b"busy", seal=None))


def too_many(journey, number):
    journey.host(number).says(answer(429, b"busy"))


def nonsense(journey, number):
    journey.host(number).says(b"\x00\x01 nonsense\r\n\r\n")


def half_a_head(journey, number):
    journey.host(number).says(b"HTTP/1.1 200 OK\r\nHopsail-Serv")
    journey.host(number).ends(in_order=True)


NOT_RUN = [declines, breaks_after_declining, misdirected]
MAY_HAVE_RUN = [broken, unstamped, encoded, promise_not_kept, too_many, nonsense, half_a_head]
ONCE = [MUTATING, STREAM, {"RouteKind": "streaming", "Resumable": False}, {"RouteKind": "unheard-of"}]
REPEATABLE = [IDEMPOTENT, RESUMABLE]


@pytest.mark.parametrize(("kind", "end"), list(product(ONCE + REPEATABLE, NOT_RUN)))
def test_a_request_that_has_not_run_goes_to_a_second_host(kind, end):
    journey = Journey(kind)
    end(journey, 0)
    assert journey.sent == 2 and journey.plane.budget.spent == 1
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200 and bytes(journey.client.body) == b"second"


@pytest.mark.parametrize(("kind", "end"), list(product(ONCE + REPEATABLE, NOT_RUN)))
def test_a_request_that_has_not_run_is_refused_when_it_may_not_go_on(kind, end):
    journey = Journey(kind, allowed=False)
    end(journey, 0)
    assert journey.over() == 503 and journey.sent == 1 and journey.plane.budget.spent == 0
    assert journey.client.header("retry-after") == "0.125"
    assert journey.plane.refusals == [Refusal.DECLINED]


@pytest.mark.parametrize(("kind", "end"), list(product(ONCE, MAY_HAVE_RUN)))
def test_a_request_that_may_have_run_and_must_not_run_twice_ends_without_a_promise(kind, end):
    journey = Journey(kind)
    end(journey, 0)
    assert journey.over() == 502 and journey.sent == 1 and journey.plane.budget.spent == 0
    assert journey.client.header("hopsail-not-executed") is None


@pytest.mark.parametrize(("kind", "end"), list(product(REPEATABLE, MAY_HAVE_RUN)))
def test_a_request_that_may_run_twice_goes_to_a_second_host(kind, end):
    journey = Journey(kind)
    end(journey, 0)
    assert journey.sent == 2 and journey.plane.budget.spent == 1
    journey.host(1).says(answer(200, b"second"))
    assert journey.over() == 200 and bytes(journey.client.body) == b"second"


@pytest.mark.parametrize(("kind", "end"), list(product(REPEATABLE, MAY_HAVE_RUN)))
def test_a_request_that_may_have_run_is_not_said_to_be_unexecuted(kind, end):
    journey = Journey(kind, allowed=False)
    end(journey, 0)
    assert journey.over() in (502, 503) and journey.sent == 1
    assert journey.client.header("hopsail-not-executed") is None


@pytest.mark.parametrize("kind", REPEATABLE)
def test_what_may_have_run_is_not_said_to_be_unexecuted_after_another_host_declined(kind):
    journey = Journey(kind, MaxTries=2)
    broken(journey, 0)
    declines(journey, 1)
    assert journey.over() in (502, 503)
    assert journey.client.header("hopsail-not-executed") is None


@pytest.mark.parametrize("kind", ONCE)
def test_a_request_that_is_not_repeatable_stops_where_it_may_have_run(kind):
    journey = Journey(kind)
    declines(journey, 0)
    broken(journey, 1)
    assert journey.over() == 502 and journey.sent == 2


@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_a_request_that_was_not_sent_goes_on_without_the_budget(kind):
    journey = Journey(kind, allowed=False, manners=["refused", "none", "up"], MaxTries=1)
    assert journey.sent == 1 and journey.plane.budget.spent == 0 and journey.plane.asked == 0
    journey.host(1).says(answer())
    assert journey.over() == 200
    assert journey.plane.outcomes == [Outcome.NOT_SENT, Outcome.NOT_SENT, Outcome.COMPLETE]


@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_a_request_that_no_host_could_be_reached_for_is_refused(kind):
    journey = Journey(kind, manners=["refused"] * 9)
    assert journey.over() == 503 and journey.sent == 0
    assert len(journey.pool.made) == MOST_DIALS
    assert journey.plane.refusals == [Refusal.NO_CONNECTION]


def test_a_request_without_any_host_is_refused():
    journey = Journey(hosts=0)
    assert journey.over() == 503 and journey.plane.refusals == [Refusal.NO_HOST]
    assert journey.client.header("retry-after") == "0.125"


@pytest.mark.parametrize("kind", ONCE)
def test_a_request_that_may_have_run_is_not_refused_for_want_of_hosts(kind):
    journey = Journey(kind, hosts=1)
    broken(journey, 0)
    assert journey.over() == 502


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize(("kind", "end"), [(MUTATING, declines), (IDEMPOTENT, broken), (RESUMABLE, broken)])
def test_no_more_hosts_are_sent_a_request_than_the_route_allows(kind, end, tries):
    journey = Journey(kind, MaxTries=tries)
    for number in range(tries):
        end(journey, number)
    assert journey.over() in (502, 503) and journey.sent == tries
    assert journey.plane.budget.spent == tries - 1 and journey.plane.budget.requests == 1


def test_each_try_goes_to_another_host():
    journey = Journey(IDEMPOTENT)
    broken(journey, 0)
    declines(journey, 1)
    assert len({host.told("hopsail-target-instance") for host in journey.pool.made}) == 3


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM])
@pytest.mark.parametrize("in_order", [True, False])
@pytest.mark.parametrize("status", [200, 500])
def test_an_answer_that_has_begun_is_cut_off_and_never_looks_whole(kind, in_order, status):
    journey = Journey(kind)
    data = answer(status, b"the body")
    journey.host().says(data[:-1])
    journey.host().ends(in_order)
    assert journey.over() == "cut" and journey.sent == 1


@pytest.mark.parametrize("in_order", [True, False])
def test_chunks_that_have_begun_are_cut_off_and_never_look_whole(in_order):
    journey = Journey(STREAM)
    journey.host().says(EVENTS_HEAD + chunk(events(1, 3)))
    journey.host().ends(in_order)
    assert journey.over() == "cut" and bytes(journey.client.body) == events(1, 3)


def test_an_answer_of_no_bytes_is_not_begun_by_a_head_that_does_not_count():
    journey = Journey()
    journey.host().says(answer(200, b"", seal=None))
    assert journey.over() == 502


def test_a_cut_answer_of_another_failure_is_never_joined_to_a_second_one():
    journey = Journey(RESUMABLE)
    journey.host().says(answer(500, b"half", length=8))
    journey.host().ends()
    for host in journey.pool.made[1:]:
        host.says(EVENTS_HEAD + chunk(events(1, 2)) + LAST_CHUNK)
    assert journey.over() == "cut" and bytes(journey.client.body) in (b"", b"half")


def test_a_cut_answer_that_is_no_event_stream_is_never_joined_to_a_second_one():
    journey = Journey(RESUMABLE)
    journey.host().says(answer(200, b"half", length=8))
    journey.host().ends()
    for host in journey.pool.made[1:]:
        host.says(EVENTS_HEAD + chunk(events(1, 2)) + LAST_CHUNK)
    assert journey.over() == "cut" and bytes(journey.client.body) == b"half"


# Streams that are taken up at another host


def streamed(journey, number, first, last, end=b""):
    journey.host(number).says(EVENTS_HEAD + chunk(events(first, last)) + end)


def test_events_are_passed_on_as_they_come():
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD)
    assert journey.client.status == 200
    for number in range(1, 4):
        journey.host().says(chunk(event(number)))
        assert bytes(journey.client.body) == events(1, number)
    journey.host().says(LAST_CHUNK)
    assert journey.over() == 200


def test_a_stream_is_taken_up_without_gap_or_double():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    assert journey.host(1).told("last-event-id") == "3"
    streamed(journey, 1, 4, 6, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)
    assert journey.client.headers.count(("hopsail-server-seal", "first")) == 1


def test_a_stream_keeps_the_head_and_stamp_of_its_first_host():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 1)
    journey.host().ends()
    head = EVENTS_HEAD.replace(b"first", b"second").replace(b"Content-Type", b"X-New: 1\r\nContent-Type")
    journey.host(1).says(head + chunk(event(2)) + LAST_CHUNK)
    assert journey.over() == 200
    assert journey.client.header("hopsail-server-seal") == "first" and journey.client.header("x-new") is None


def test_events_that_a_second_host_tells_again_are_left_out():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    streamed(journey, 1, 1, 6, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_a_stream_cut_at_any_byte_is_taken_up_without_gap_or_double(end):
    def one(number):
        return event(number).replace(b"\n\n", end)

    whole = b"".join(one(number) for number in range(1, 4))
    for cut in range(len(whole) + 1):
        journey = Journey(RESUMABLE)
        journey.host().says(EVENTS_HEAD + (chunk(whole[:cut]) if cut else b""))
        journey.host().ends()
        last = int(journey.host(1).told("last-event-id") or 0)
        rest = b"".join(one(number) for number in range(last + 1, 4))
        journey.host(1).says(EVENTS_HEAD + (chunk(rest) if rest else b"") + LAST_CHUNK)
        assert journey.over() == 200 and bytes(journey.client.body) == whole, cut


def test_a_stream_that_comes_byte_by_byte_is_the_same():
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD)
    for byte in events(1, 3):
        journey.host().says(chunk(bytes([byte])))
    journey.host().says(LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 3)


def test_a_stream_is_taken_up_more_than_once():
    journey = Journey(RESUMABLE)
    for number in range(3):
        assert journey.host(number).told("last-event-id") == (str(2 * number) if number else None)
        streamed(journey, number, 2 * number + 1, 2 * number + 2, LAST_CHUNK if number == 2 else b"")
        if number < 2:
            journey.host(number).ends()
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


def test_a_stream_is_cut_when_no_further_host_may_be_tried():
    for more in ({"allowed": False}, {"MaxTries": 1}, {"hosts": 1}):
        journey = Journey(RESUMABLE, **more)
        streamed(journey, 0, 1, 3)
        journey.host().ends()
        assert journey.over() == "cut" and bytes(journey.client.body) == events(1, 3)


@pytest.mark.parametrize("end", [*NOT_RUN, *MAY_HAVE_RUN])
def test_a_stream_goes_past_hosts_that_do_not_take_it_up(end):
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    end(journey, 1)
    streamed(journey, 2, 4, 6, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


@pytest.mark.parametrize(
    "second",
    [
        answer(500, b"fault"),
        answer(200, b"no events"),
        answer(204, b"", length=0),
        answer(206, b"id: 9\ndata: no\n\n", lines=["Content-Type: text/event-stream"]),
    ],
    ids=["fault", "no events", "no content", "part"],
)
def test_an_answer_that_is_no_event_stream_is_not_joined_to_one(second):
    journey = Journey(RESUMABLE, MaxTries=2)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    journey.host(1).says(second)
    assert journey.over() == "cut" and bytes(journey.client.body) == events(1, 3)


def test_the_rest_of_a_stream_is_not_doubled_when_it_has_no_blank_line():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    journey.host(1).says(EVENTS_HEAD + chunk(event(3)[:-1]) + LAST_CHUNK)
    assert bytes(journey.client.body) == events(1, 3)


def test_a_client_that_takes_a_stream_up_gets_what_follows_only():
    journey = Journey(RESUMABLE, headers=[("last-event-id", "2")])
    assert journey.host().told("last-event-id") == "2"
    streamed(journey, 0, 1, 4)
    journey.host().ends()
    assert journey.host(1).told("last-event-id") == "4"
    streamed(journey, 1, 5, 5, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(3, 5)


def test_a_stream_that_is_not_resumable_is_passed_on_as_it_is():
    journey = Journey(STREAM, headers=[("last-event-id", "2")])
    assert journey.host().told("last-event-id") == "2"
    streamed(journey, 0, 1, 4, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 4)


def test_versions_and_comments_are_passed_on():
    data = b"versions: 4\nid: 1\ndata: a\n\n: still here\n\nid: 2\ndata: b\n\n"
    journey = Journey(RESUMABLE)
    journey.host().says(EVENTS_HEAD + chunk(data) + LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == data


def test_an_event_beyond_the_bound_breaks_the_attempt_off():
    journey = Journey(RESUMABLE)
    streamed(journey, 0, 1, 1)
    for _ in range(20):
        if journey.host().open:
            journey.host().says(chunk(b"data: " + b"x" * 65536))
    assert not journey.host().open and journey.sent == 2
    streamed(journey, 1, 2, 3, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 3)


@pytest.mark.parametrize(
    "text", ["\xb2", "9" * 5000, "-1", "x", ""], ids=["digit", "long", "sign", "text", "empty"]
)
def test_a_last_event_id_that_is_no_number_is_passed_on_as_it_is(text):
    journey = Journey(RESUMABLE, headers=[("last-event-id", text)])
    assert journey.host().told("last-event-id") == text
    streamed(journey, 0, 1, 2, LAST_CHUNK)
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 2)


# A client that is slow or leaves, and the deadline


def test_a_client_that_takes_nothing_holds_its_host_up_and_no_longer():
    journey = Journey()
    journey.client.unsent = bytearray(MOST_UNSENT + 1)
    journey.host().says(answer(200, b"x" * 100)[:-1])
    assert journey.host().paused
    journey.client.unsent = bytearray()
    journey.client.drained()
    assert not journey.host().paused
    journey.host().says(b"x")
    assert journey.over() == 200


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_a_client_that_leaves_ends_the_attempt(kind, begun):
    journey = Journey(kind)
    if begun:
        journey.host().says(EVENTS_HEAD + chunk(event(1)))
    journey.exchange.client_gone()
    assert not journey.host().open and journey.sent == 1
    assert journey.plane.outcomes == [None] and len(journey.plane.ended) == 1
    assert not journey.loop.pending and not journey.plane.under_way


@pytest.mark.parametrize("manner", ["up", "silent"])
@pytest.mark.parametrize("kind", ONCE + REPEATABLE)
def test_at_the_deadline_nothing_is_promised(kind, manner):
    journey = Journey(kind, manners=[manner])
    journey.loop.forward(4 * SECOND - 1)
    assert not journey.exchange.ended
    journey.loop.forward(1)
    assert journey.over() == 504 and not journey.host().open
    assert journey.client.header("hopsail-not-executed") is None
    assert journey.plane.outcomes == [None]


@pytest.mark.parametrize("kind", [STREAM, RESUMABLE])
def test_at_the_deadline_an_answer_that_has_begun_is_cut_off(kind):
    journey = Journey(kind)
    streamed(journey, 0, 1, 3)
    journey.loop.forward(4 * SECOND)
    assert journey.over() == "cut" and not journey.host().open and journey.sent == 1


def test_after_the_deadline_no_second_host_is_sent_a_request():
    journey = Journey(IDEMPOTENT)
    journey.loop.time += 4 * SECOND  # the timer is late
    journey.host().ends()
    assert journey.sent == 1 and journey.over() in (502, 503, 504)


def test_an_http_1_0_client_sees_a_cut_by_the_reset():
    journey = Journey(STREAM, version="1.0")
    streamed(journey, 0, 1, 3)
    journey.host().ends()
    assert journey.client.end == LINGER_RESET and not journey.client.complete


# Events


def pieces_of(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 1000])
def test_events_are_the_same_however_the_bytes_come(end, size):
    data = b"".join(event(number).replace(b"\n\n", end) for number in range(1, 6))
    splitter, found = EventSplitter(), []
    for piece in pieces_of(data, size):
        found += splitter.feed(piece)
    assert [one.identifier for one in found] == [1, 2, 3, 4, 5]
    assert b"".join(one.data for one in found) == data and splitter.rest == b""


@pytest.mark.parametrize(
    ("data", "identifier"),
    [
        (b"id: 7\ndata: x\n\n", 7),
        (b"id:7\n\n", 7),
        (b"data: id: 9\nid: 7\n\n", 7),
        (b"versions: 3\nid: 7\ndata: x\n\n", 7),
        (b"data: x\n\n", None),
        (b"id: x7\n\n", None),
        (b"id\n\n", None),
        (b": comment\n\n", None),
    ],
)
def test_the_id_of_an_event(data, identifier):
    assert [one.identifier for one in EventSplitter().feed(data)] == [identifier]


def test_an_event_that_has_no_end_is_bounded():
    splitter = EventSplitter()
    splitter.feed(b"x" * MOST_EVENT)
    with pytest.raises(EventError):
        splitter.feed(b"x")


# The door: route, key, tenant


def test_a_request_goes_to_a_host_of_its_service_with_its_tenant(plane):
    feed(plane.view, instances=[instance(), instance("i-2", service="other", port=8002)])
    client = ask(plane, headers_of())
    (host,) = plane.pool.made
    assert host.address == ("10.0.0.1", 8001)
    assert host.told("hopsail-tenant") == "acme" and host.told("hopsail-target-instance") == "i-1"
    host.says(answer())
    assert client.status == 200 and not plane.in_flight
    assert plane.placement.services["s"].states["i-1"].in_flight == 0


@pytest.mark.parametrize("host", ["h.example", "H.Example", "h.example:80", "H.EXAMPLE:8080"])
def test_the_host_header_may_have_a_port_and_capitals(plane, host):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of(host))
    assert plane.pool.made[0].told("host") == host


@pytest.mark.parametrize(
    ("headers", "target", "status"),
    [
        (headers_of("other.example"), "/a/b", 404),
        (headers_of(), "/b/a/", 404),
        (headers_of(), "/a", 404),
        (headers_of(key=None), "/a/b", 401),
        (headers_of(key="unheard-of"), "/a/b", 401),
        (headers_of(key=""), "/a/b", 401),
        (headers_of(identifiers=()), "/a/b", 400),
        (headers_of(identifiers=(IDENTIFIER, "other")), "/a/b", 400),
        ([("hopsail-attempt-id", IDENTIFIER)], "/a/b", 400),
        ([("host", "h.example"), *headers_of()], "/a/b", 400),
    ],
    ids=["host", "path", "prefix", "no key", "key", "empty", "no id", "two ids", "no host", "two hosts"],
)
def test_a_request_that_the_configuration_does_not_allow_reaches_no_host(plane, headers, target, status):
    feed(plane.view, instances=[instance()])
    client = ask(plane, headers, target)
    assert client.status == status and client.complete and not plane.pool.made


def test_a_public_route_needs_no_key(plane):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of(key=None), "/p/x")
    assert plane.pool.made[0].told("hopsail-tenant") is None


@pytest.mark.parametrize(
    "text", ["\xb2", "9" * 5000, "-5", "soon", ""], ids=["digit", "long", "sign", "text", "empty"]
)
def test_a_deadline_that_is_no_number_is_the_routes(plane, text):
    feed(plane.view, instances=[instance()])
    ask(plane, [*headers_of(), ("hopsail-deadline-ms", text)])
    assert plane.pool.made[0].told("hopsail-deadline-ms") == "4000"


def test_without_a_configuration_a_request_is_refused(plane):
    client = ask(plane, headers_of())
    assert client.status == 503 and client.header("retry-after")


def test_the_limits_of_the_configuration_are_taken_over(plane):
    feed(plane.view)
    limits = plane.limits
    assert (limits.header_bytes, limits.body_bytes) == (9999, 5555)
    assert (limits.header_wait_ms, limits.idle_timeout_ms) == (3000, 15000)


def test_no_version_is_expected_of_a_host_whose_version_is_not_known(plane):
    feed(plane.view, instances=[instance()])
    ask(plane, [*headers_of(), ("hopsail-model", "m")])
    assert plane.pool.made[0].told("expect-version") is None


def test_the_version_that_a_host_holds_is_expected(plane):
    feed(plane.view, instances=[instance(models=(ModelRevision("m", 4),))])
    ask(plane, [*headers_of(), ("hopsail-model", "m")])
    assert plane.pool.made[0].told("expect-version") == "4"


def test_clients_that_leave_at_once_are_no_evidence_against_a_host(plane):
    feed(plane.view, instances=[instance()])
    health = plane.placement.services["s"].health
    for _ in range(5):
        client = ClientSide(plane.loop)
        exchange = Exchange(client, Request("POST", "/a/b", headers_of(), b"x"))
        plane.handle(exchange.request, exchange)
        plane.loop.settle()
        exchange.client_gone()
    assert len(plane.pool.made) == 5 and not plane.in_flight
    assert health.may_send(plane.loop.now(), "i-1")


def test_a_host_that_is_silent_until_clients_leave_is_passed_over(plane):
    feed(plane.view, instances=[instance()])
    health = plane.placement.services["s"].health
    for _ in range(2):
        client = ClientSide(plane.loop)
        exchange = Exchange(client, Request("POST", "/a/b", headers_of(), b"x"))
        plane.handle(exchange.request, exchange)
        plane.loop.settle()
        plane.loop.forward(2 * SECOND)
        exchange.client_gone()
    assert not health.may_send(plane.loop.now(), "i-1")


class Front:
    """A server for clients that has answers that are not out yet."""

    def __init__(self):
        self.busy, self.closed = 1, False

    @property
    def connections(self):
        return range(self.busy)

    def drain(self): ...

    def leave(self): ...

    def shut(self): ...

    def refuse_half_read(self, status, headers=()): ...

    def close(self):
        self.closed = True


def test_a_process_ends_when_its_answers_are_out(plane):
    plane.front = plane.membership = front = Front()
    plane.stop()
    for _ in range(100):
        plane.loop.forward(50 * MILLISECOND)
    assert not front.closed
    front.busy = 0
    plane.loop.forward(50 * MILLISECOND)
    assert front.closed and plane.loop.stopped


def test_a_process_ends_before_it_is_killed_even_when_answers_are_not_out(plane):
    plane.front = plane.membership = front = Front()
    plane.stop()
    for _ in range(int(plane.settings.bounds.grace_s * 1000 // 50)):
        plane.loop.forward(50 * MILLISECOND)
    assert front.closed


def test_a_view_that_is_given_by_hand_is_ready():
    view = FleetView()
    assert not view.ready
    feed(view, instances=[instance()])
    assert view.ready


@pytest.mark.parametrize("kind", [MUTATING, STREAM])
def test_a_host_that_began_to_warm_up_during_the_dial_is_not_flooded_by_what_waited(kind):
    journey = Journey(kind, manners=["dialing"])
    plane = journey.plane
    journey.forwarding.attempt.placed = journey.forwarding.attempt.placed._replace(reservation=object())
    plane.has_quota = False
    journey.host().up()
    journey.loop.settle()
    assert not journey.host().sent and not journey.host().open
    assert plane.outcomes == [Outcome.NOT_SENT] and plane.budget.spent == 0
    assert journey.host(1).told("hopsail-target-instance") == "i-1"


class Outcomes:
    """Records of attempts at the hosts of a data plane that answers nothing by itself."""

    def __init__(self):
        view = FleetView()
        settings = parse_settings("NodeName=n1\nZone=z1\nIp=127.0.0.1\nPortRange=9000,9010\n")
        placement = Placement(settings, view, Random(1))
        service = {"Name": "s", "WarmupPerS": 27, "WarmupS": 3}
        items = split_items({"Revision": 1, "Routes": [], "Services": [service]})
        changes = [Change(Topic.CONFIGURATION, key, value) for key, value in items.items()]
        state = {(Topic.CONFIGURATION, key): value for key, value in items.items()}
        host = Instance("i-0", "s", Address("10.0.0.1", 80), "z1", 4, Phase.SERVING, 0, (), "v1")
        view.apply(0, "c1", state, [*changes, Change(Topic.INSTANCE, "i-0", encode(host))])
        placement.renew()
        self.now, self.placement = 1000 * SECOND, placement
        self.records = AttemptRecords(lambda: self.now, placement, Counters("n1"))
        self.journey = Journey(manners=["dialing"])

    def begins(self):
        placed = self.placement.place(self.now, "s", self.journey.forwarding.prompt, None, 0, set())
        attempt = Attempt(self.journey.forwarding, "1", placed, self.now)
        self.records.began(self.journey.forwarding, attempt)
        return attempt

    def over(self, outcome):
        attempt = self.begins()
        self.records.over(self.journey.forwarding, attempt, outcome)
        self.now += SECOND
        return attempt

    def is_bounded(self):
        return self.placement.services["s"].warmup.is_warming(self.now, "i-0", 0)


@pytest.mark.parametrize("failure", [Outcome.NOT_SENT, Outcome.BROKEN])
def test_a_host_that_failed_and_answers_again_is_not_flooded(failure):
    fleet = Outcomes()
    fleet.over(Outcome.COMPLETE)
    assert not fleet.is_bounded()
    probe = fleet.begins()
    fleet.over(failure)
    fleet.now += 4 * SECOND
    fleet.records.first_byte(fleet.journey.forwarding, probe)
    fleet.now += 4 * SECOND
    assert fleet.is_bounded()
    fleet.now += 2 * SECOND
    assert not fleet.is_bounded()


def test_the_quota_of_a_request_that_never_left_is_given_back():
    fleet = Outcomes()
    fleet.over(Outcome.NOT_SENT)
    assert fleet.placement.services["s"].warmup._hosts["i-0"].pending == 0


def test_a_control_process_that_counts_anew_does_not_enlarge_this_ones_part_of_the_retries(plane):
    """One that has just started counts up from 1: its number must not give each the whole slack."""
    told = []
    plane.budget.may_retry = lambda now, service, balancers: told.append(balancers)
    for source, number in (("c1", b"63"), ("c2", b"1")):
        plane.view.apply(plane.loop.now(), source, {}, [Change(Topic.BALANCERS, "count", number)])
    plane.may_retry(plane.loop.now(), "s")
    assert told == [63]
