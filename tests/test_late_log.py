"""Lines on requests that missed their aim, and the table that is folded from them."""

import json
from types import SimpleNamespace

import pytest
from data_plane_by_hand import ask, feed, headers_of, instance
from request_journey import answer
from test_dataplane_directory import LONG, Directory

from benchmarks.late_causes import Cause, cause_of, read_lines, table, times
from hopsail.dataplane import late_log
from hopsail.dataplane.late_log import LateLog
from hopsail.dataplane.work_directory import Answer
from hopsail.model import MS
from hopsail.routing.host_work import Backlog


@pytest.fixture
def plane(data_plane, monkeypatch):
    one, lines = data_plane, []
    one.attempts.directory = Directory()
    one.late_log = LateLog(lambda: one.loop.now(), one.view, one.counters)
    topic = late_log.log.topic

    def record(event, *values):
        lines.append(f"hopsail: {topic}: {event % values}")

    monkeypatch.setattr(late_log, "log", SimpleNamespace(info=record))
    one.lines = lines
    feed(one.view, instances=[instance(f"i-{number}", port=8000 + number) for number in range(6)])
    return one


def sent(plane):
    """A long prompt at its host."""
    ask(plane, headers_of() + LONG)
    ((hosts, _, then),) = plane.directory.questions
    then(Answer({host: Backlog(5_000.0, 50_000.0, 1_000.0) for host in hosts}))
    plane.loop.settle()
    (host,) = plane.pool.made
    return host


def test_a_request_in_its_aim_has_no_line_and_a_late_one_has_one(plane):
    host = sent(plane)
    plane.loop.time += 10 * MS
    host.says(answer())
    assert plane.lines == []
    plane.pool.made.clear()
    plane.directory.questions.clear()
    host = sent(plane)
    plane.loop.time += 4_100 * MS
    host.says(answer())
    requests, left_out = read_lines(plane.lines)
    assert len(requests) == 1 and left_out == 0
    (line,) = requests
    assert line["end"] == "late" and line["took"] >= 4_100 > line["aim"]
    assert line["waiting"] == 5_000 and line["rate"] == 50 and len(line["compared"]) > 1
    assert line["tokens"] == 12_000 and line["own_tokens"] == 3_000 and line["attempts"] == 1


def test_a_refused_request_and_one_that_ends_unanswered_have_a_line(plane):
    sent(plane)
    for forwarding in list(plane.in_flight):
        forwarding._client_gone()
    feed(plane.view, instances=[])
    plane.view.instances.clear()
    plane.placement.renew()
    ask(plane, headers_of() + LONG)
    assert [line["end"] for line in read_lines(plane.lines)[0]] == ["unanswered", "refused"]


LATE = {
    "end": "late", "route": "r", "aim": 600.0, "took": 700.0, "tokens": 12_000, "own_tokens": 3_000,
    "attempts": 1, "gate": 0.0, "earlier": 0.0, "asking": 5.0, "host": "i-1", "in_flight": 1, "waiting": 0.0,
    "reading": 3_000.0, "kept": 9_000, "reported": 9_000, "rate": 50.0, "load_age": None, "compared": [],
}  # fmt: skip


@pytest.mark.parametrize(
    ("changes", "cause"),
    [
        ({"end": "refused"}, Cause.REFUSED),
        ({"end": "unanswered"}, Cause.UNANSWERED),
        ({"own_tokens": 40_000}, Cause.OWN_PART),
        ({"earlier": 200.0}, Cause.RETRY),
        ({"gate": 150.0}, Cause.GATE),
        ({"asking": 101.0}, Cause.ASKING),
        ({"waiting": 10_000.0}, Cause.BACKLOG),
        ({"reading": 12_000.0, "kept": 0, "reported": 0}, Cause.SHARED_PART),
        ({"load_age": 400.0}, Cause.LOAD),
        ({"reported": 0}, Cause.LOST_PART),
        ({}, Cause.UNSEEN),
        ({"gate": 80.0, "waiting": 5_500.0}, Cause.BACKLOG),
        ({"rate": None}, Cause.UNSEEN),
    ],
)
def test_each_request_has_one_cause(changes, cause):
    assert cause_of(LATE | changes, 50.0) is cause


def test_the_table_sums_to_all_lines():
    told = [LATE, LATE | {"end": "refused"}, LATE | {"route": "q", "gate": 300.0}, LATE | {"reported": 0}]
    lines = [f"1.0 edge-1 hopsail: late-request: {json.dumps(one)}" for one in told]
    lines += [
        "hopsail: state: ready",
        lines[0] + " (7 more left out)",
        "hopsail: late: a timer came 60 ms late",
    ]
    requests, left_out = read_lines(lines)
    assert (len(requests), left_out) == (5, 7)
    rows = list(table(requests, left_out))
    assert "| all | 1 | 4 | 5 |" in rows and "7 lines" in rows[-1]


def test_no_cause_takes_more_than_the_time_that_there_was():
    for changes in ({}, {"reported": 0}, {"load_age": 1.0}, {"waiting": 2_000.0, "gate": 30.0}):
        request = LATE | changes
        held = times(request, 50.0)
        assert sum(held.values()) + request["own_tokens"] / 50 == pytest.approx(request["took"])
