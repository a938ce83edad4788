"""What each kind of end proves of a host's answer: by a length, a last chunk, a close in order, a reset.

Played through a whole request with the stand-ins of `request_journey`."""

import pytest
from data_plane_by_hand import ask, feed, headers_of, instance
from request_journey import (
    EVENTS_HEAD,
    IDEMPOTENT,
    KINDS,
    LAST_CHUNK,
    LINGER_RESET,
    MUTATING,
    RESUMABLE,
    SECOND,
    STREAM,
    Journey,
    answer,
    chunk,
    event,
    events,
)
from test_dataplane_forward import pieces_of

from hopsail.dataplane.events import EventBoundary
from hopsail.dataplane.execution import Outcome

NO_LENGTH = EVENTS_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")
NO_STREAM = NO_LENGTH.replace(b"text/event-stream", b"text/plain")


@pytest.mark.parametrize(
    ("said", "closes", "counter"),
    [
        (answer(), False, "attempts.end.length"),
        (EVENTS_HEAD + chunk(events(1, 2)) + LAST_CHUNK, False, "attempts.end.last_chunk"),
        (NO_LENGTH + events(1, 2), True, "attempts.end.close"),
    ],
    ids=["length", "last chunk", "close"],
)
def test_what_told_the_end_of_an_answer_is_counted(plane, said, closes, counter):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of())
    (host,) = plane.pool.made
    host.says(said)
    if closes:
        host.ends(in_order=True)
    counted = {name: count for name, count in plane.counters.counts.items() if "attempts.end" in name}
    assert counted == {counter: 1}


def test_a_stream_that_broke_off_is_counted_apart(plane):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of())
    plane.pool.made[0].says(NO_LENGTH + events(1, 2) + b"id: 3").ends(in_order=True)
    assert plane.counters.counts["attempts.broken"] == plane.counters.counts["attempts.unfinished"] == 1
    assert not [name for name in plane.counters.counts if "attempts.end" in name]


def test_no_end_is_counted_of_an_answer_that_was_reset(plane):
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of())
    plane.pool.made[0].says(NO_LENGTH + events(1, 2)).ends()
    assert not [name for name in plane.counters.counts if "attempts.end" in name]


# A close in order, which a system does for a process that crashes, too

HAD = events(1, 3)
HALF = event(4)[: len(event(4)) // 2]
SAID = {
    "nothing": b"",
    "half the first event": event(1)[:9],
    "whole events": HAD,
    "half an event": HAD + HALF,
}


def of_length(data):
    return EVENTS_HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: %d" % len(data)) + data


def ended_by_length(host, data):
    host.says(of_length(data))


def ended_by_last_chunk(host, data):
    host.says(EVENTS_HEAD + (chunk(data) if data else b"") + LAST_CHUNK)


def closed(host, data):
    host.says(NO_LENGTH + data).ends(in_order=True)


def was_reset(host, data):
    host.says(NO_LENGTH + data).ends()


def closed_within_length(host, data):
    host.says(of_length(data + b"x")[:-1]).ends(in_order=True)


def closed_within_chunks(host, data):
    host.says(EVENTS_HEAD + (chunk(data) if data else b"")).ends(in_order=True)


PROOFS = [ended_by_length, ended_by_last_chunk]
BREAKS = [was_reset, closed_within_length, closed_within_chunks]


def proves_the_whole(end, said):
    """Whether an end shows that a stream is complete; `said` names what came before it."""
    return end in PROOFS or (end is closed and said == "whole events")


def ended(journey):
    """Whether the answer was ended as complete; a stream that was taken up elsewhere is still under way."""
    return journey.exchange.ended and journey.over() == 200


@pytest.mark.parametrize("cut", range(1, len(event(4))))
def test_a_stream_whose_host_crashed_within_an_event_is_taken_up_and_not_ended_as_complete(cut):
    """Issue 87: the crash was taken for the end of an answer without a length, half an event for its rest."""
    journey = Journey(RESUMABLE)
    closed(journey.host(), HAD + event(4)[:cut])
    assert not journey.exchange.ended and bytes(journey.client.body) == HAD
    assert journey.host(1).told("last-event-id") == "3"
    closed(journey.host(1), events(4, 6))
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 6)


@pytest.mark.parametrize("kind", [MUTATING, IDEMPOTENT, STREAM], ids=["mutating", "idempotent", "stream"])
@pytest.mark.parametrize("said", [HAD + HALF, HALF])
def test_a_stream_that_no_other_host_may_take_up_is_cut_within_an_event(kind, said):
    """Issue 87: half an event was passed on, and the answer ended as complete."""
    journey = Journey(kind)
    closed(journey.host(), said)
    assert journey.over() == "cut" and journey.sent == 1 and bytes(journey.client.body) == said
    assert journey.plane.outcomes == [Outcome.BROKEN]


@pytest.mark.parametrize("more", [{"allowed": False}, {"MaxTries": 1}, {"hosts": 1}])
@pytest.mark.parametrize("said", [HALF, HAD + HALF])
def test_a_stream_that_may_not_be_tried_again_is_cut_after_its_last_whole_event(more, said):
    journey = Journey(RESUMABLE, **more)
    closed(journey.host(), said)
    assert journey.over() == "cut" and journey.sent == 1
    assert bytes(journey.client.body) == (HAD if said.startswith(HAD) else b"")


def test_a_stream_that_broke_off_with_no_time_left_is_cut():
    journey = Journey(RESUMABLE)
    journey.loop.time += 4 * SECOND  # the timer is late
    closed(journey.host(), HAD + HALF)
    assert journey.over() == "cut" and journey.sent == 1 and bytes(journey.client.body) == HAD


@pytest.mark.parametrize("kind", [STREAM, RESUMABLE], ids=["stream", "resumable"])
def test_an_http_1_0_client_sees_by_a_reset_that_a_stream_broke_off_within_an_event(kind):
    journey = Journey(kind, version="1.0", MaxTries=1)
    closed(journey.host(), HAD + HALF)
    assert journey.client.end == LINGER_RESET and not journey.client.complete


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("said", SAID)
@pytest.mark.parametrize("end", [*PROOFS, closed, *BREAKS])
def test_what_each_end_proves_of_a_stream(end, said, kind):
    """A length or a last chunk proves the whole; a close only after a whole event; nothing else does."""
    journey = Journey(KINDS[kind])
    end(journey.host(), SAID[said])
    is_whole = proves_the_whole(end, said)
    assert ended(journey) == is_whole
    if is_whole:
        assert bytes(journey.client.body) == SAID[said] and journey.sent == 1
    elif kind == "resumable":
        assert journey.sent == 2 and not journey.exchange.ended
    else:
        assert journey.over() == "cut"


@pytest.mark.parametrize("said", ["nothing", "half an event", "whole events"])
@pytest.mark.parametrize("end", [*PROOFS, closed, *BREAKS])
@pytest.mark.parametrize("first", [closed, *BREAKS])
def test_what_each_end_proves_of_a_stream_that_was_taken_up(first, end, said):
    """Each host's answer is judged by its own end, whatever the framing of the first one."""
    journey = Journey(RESUMABLE)
    first(journey.host(), HAD + HALF)
    rest = {"nothing": b"", "half an event": HALF, "whole events": events(4, 5)}[said]
    end(journey.host(1), rest)
    is_whole = proves_the_whole(end, said)
    assert ended(journey) == is_whole
    if is_whole:
        assert bytes(journey.client.body) == HAD + rest
        return
    had = b"" if said != "whole events" else rest
    assert bytes(journey.client.body) == HAD + had
    assert journey.host(2).told("last-event-id") == ("5" if had else "3")
    ended_by_last_chunk(journey.host(2), events(6 if had else 4, 7))
    assert journey.over() == 200 and bytes(journey.client.body) == events(1, 7)


@pytest.mark.parametrize(
    ("rest", "is_whole"),
    [
        (b": still here\n", True),
        (b": still here\n\n", True),
        (b"\n", True),
        (b": still he", False),
        (b"versions: 4\n", False),
        (b"\xef", False),
    ],
)
def test_a_comment_after_the_last_event_is_no_event_that_broke_off(rest, is_whole):
    journey = Journey(STREAM)
    closed(journey.host(), HAD + rest)
    assert journey.over() == (200 if is_whole else "cut")


def test_comments_alone_are_no_stream():
    journey = Journey(STREAM)
    closed(journey.host(), b": still here\n\n: still here\n\n")
    assert journey.over() == "cut"


@pytest.mark.parametrize(
    "name", ["Text/Event-Stream", "text/event-stream; charset=utf-8", "text/event-stream;"]
)
def test_the_name_of_the_media_type_has_no_case_and_may_have_parameters(name):
    journey = Journey(RESUMABLE)
    head = NO_LENGTH.replace(b"text/event-stream", name.encode())
    journey.host().says(head + HAD + HALF).ends(in_order=True)
    assert journey.host(1).told("last-event-id") == "3" and bytes(journey.client.body) == HAD


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_that_is_no_stream_is_whole_at_a_close_and_not_at_a_reset(kind):
    """Nothing in its bytes tells where it ends."""
    for in_order in (True, False):
        journey = Journey(KINDS[kind])
        journey.host().says(NO_STREAM + HAD + HALF)
        journey.host().ends(in_order)
        assert journey.over() == (200 if in_order else "cut")


# Where a stream stands


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 1000])
def test_a_stream_stands_after_an_event_at_its_blank_line_and_nowhere_else(line_end, size):
    data = (b": comment\nversions: 4\n" + events(1, 2) + event(3)).replace(b"\n", line_end)
    blank = 2 * line_end
    for end in range(len(data) + 1):
        boundary = EventBoundary()
        for piece in pieces_of(data[:end], size):
            boundary.feed(piece)
        prefix = data[:end]
        # A line may end with a carriage return alone, so the blank line is there before its line feed.
        after = prefix.endswith(blank) or (line_end == b"\r\n" and prefix.endswith(b"\r\n\r"))
        assert boundary.is_after_event == after, prefix


@pytest.mark.parametrize("size", [1, 2, 3])
@pytest.mark.parametrize(
    "data", [b"id: 1\r\n\n", b"id: 1\n\r\n", b"id: 1\r\n\r", b"id: 1\r\r\n", b"id: 1\n\r"]
)
def test_lines_of_one_event_may_end_in_different_manners(data, size):
    boundary = EventBoundary()
    for piece in pieces_of(data, size):
        boundary.feed(piece)
    assert boundary.is_after_event


def test_a_stream_of_any_length_is_followed_without_being_kept():
    boundary = EventBoundary()
    boundary.feed(HAD + b"data: ")
    for _ in range(100):
        boundary.feed(b"x" * 65536)
    assert not boundary.is_after_event
    assert sum(len(value) for value in vars(boundary).values() if isinstance(value, bytes)) <= 1
    boundary.feed(b"\n\n")
    assert boundary.is_after_event


# The time that a host was given


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("head", [NO_LENGTH, NO_STREAM], ids=["events", "no stream"])
def test_an_answer_that_its_host_may_have_ended_for_want_of_time_is_not_complete(kind, head):
    """Issue 87: a host ends its work when its time is over, whole or not; a close then proves nothing."""
    journey = Journey(KINDS[kind])
    journey.host().says(head + HAD)
    journey.loop.time += 4 * SECOND  # a pause of the process: sockets' events come before its timers
    journey.host().ends(in_order=True)
    assert journey.over() == "cut" and journey.sent == 1


@pytest.mark.parametrize("end", PROOFS)
@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_whose_host_said_that_it_is_whole_needs_no_time(kind, end):
    journey = Journey(KINDS[kind])
    journey.loop.time += 4 * SECOND
    end(journey.host(), HAD)
    assert journey.over() == 200 and bytes(journey.client.body) == HAD


@pytest.mark.parametrize(("after", "is_whole"), [(3_999_400_000, True), (3_999_500_000, False)])
def test_the_time_of_a_host_ends_with_the_last_millisecond_that_it_was_told(after, is_whole):
    journey = Journey(STREAM, manners=["silent"])
    begins = journey.loop.now()
    journey.loop.forward(900_500_000)  # ns
    journey.host().up()
    assert journey.host().told("hopsail-deadline-ms") == "3099"
    journey.host().says(NO_LENGTH + HAD)
    journey.loop.time = begins + after
    journey.host().ends(in_order=True)
    assert journey.over() == (200 if is_whole else "cut")
