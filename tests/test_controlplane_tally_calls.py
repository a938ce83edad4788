"""Requests for tallies at a control process, with a control that answers as it is told."""

import json

import pytest
from test_controlplane_operator import FakeExchange

from hopsail.configuration.codes import ResultCode
from hopsail.controlplane.operator import OperatorCalls
from hopsail.controlplane.tally_calls import AMOUNT_BOUND, MAX_NAME_CHARACTERS
from hopsail.http.message import Request
from hopsail.net.counters import Counters
from hopsail.tallies.types import Add, AddOutcome

ADD = {"InstanceId": "5c0e7a21d94b36f8", "Actor": 4}
LONG = "x" * (MAX_NAME_CHARACTERS + 1)


class Control:
    def __init__(self):
        self.adds, self.waiting, self.totals = [], [], {}

    def add_to_tally(self, add, done):
        self.adds.append(add)
        self.waiting.append(done)

    def tally_total(self, tally):
        return self.totals.get(tally)


@pytest.fixture
def control() -> Control:
    return Control()


def call(control, method, path, body=b"") -> FakeExchange:
    exchange = FakeExchange()
    OperatorCalls(control, Counters("test")).handle(Request(method, path, [], body), exchange)
    return exchange


def rejected(control, method, path, body=b"") -> tuple[int, int, str]:
    """Status, code and item of a call that is answered at once and adds nothing."""
    ((status, answer, _),) = call(control, method, path, body).answers
    assert not control.adds
    return status, answer["Error"]["Code"], answer["Error"]["Item"]


def test_an_add_is_answered_once_it_is_acknowledged(control):
    exchange = call(control, "POST", "/-/tallies/t3", json.dumps(ADD).encode())
    assert control.adds == [Add("t3", "5c0e7a21d94b36f8", 4)] and not exchange.answers
    control.waiting[0](AddOutcome.ACKNOWLEDGED)
    assert exchange.answers == [(200, {}, {"content-type": "application/json"})]


def test_a_total_is_read(control):
    control.totals["t/3"] = 1873
    assert call(control, "GET", "/-/tallies/t%2F3?x=1").answers[0][:2] == (200, {"Total": 1873})


@pytest.mark.parametrize(
    ("outcome", "status", "code"),
    [
        (AddOutcome.REJECTED, 503, ResultCode.CONTROL_TALLY_REJECTED),
        (AddOutcome.UNKNOWN, 504, ResultCode.CONTROL_TALLY_UNKNOWN),
    ],
)
def test_only_an_add_that_was_not_done_is_answered_with_a_promise(control, outcome, status, code):
    exchange = call(control, "POST", "/-/tallies/t3", json.dumps(ADD).encode())
    control.waiting[0](outcome)
    ((answered, body, headers),) = exchange.answers
    assert (answered, body["Error"]["Code"], "retry-after" in headers) == (status, code, status == 503)


def test_a_total_that_is_not_known_yet_may_be_asked_for_again(control):
    ((status, body, headers),) = call(control, "GET", "/-/tallies/t3").answers
    assert (status, body["Error"]["Code"]) == (503, ResultCode.CONTROL_TALLY_NOT_READ)
    assert 0 < float(headers["retry-after"]) < 1


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"4", b"null", b'"x"', b"\xff", b"[" * 100_000, b'{"Actor":' + b"9" * 5000 + b"}"],
)
def test_a_body_that_is_no_object_is_rejected(control, body):
    assert rejected(control, "POST", "/-/tallies/t3", body) == (400, ResultCode.CONTROL_UNREADABLE, "body")


@pytest.mark.parametrize("identifier", [None, "", LONG, 4, True, ["x"], "\ud800"])
def test_an_identifier_that_is_no_text_of_fair_length_is_rejected(control, identifier):
    body = json.dumps({**ADD, "InstanceId": identifier}).encode()
    answer = (400, ResultCode.CONTROL_UNREADABLE, "InstanceId")
    assert rejected(control, "POST", "/-/tallies/t3", body) == answer


@pytest.mark.parametrize("amount", [None, True, 4.0, 4.5, "4", AMOUNT_BOUND, -AMOUNT_BOUND, 1 << 70, [4]])
def test_an_amount_that_is_no_whole_number_within_bounds_is_rejected(control, amount):
    body = json.dumps({**ADD, "Actor": amount}).encode()
    answer = (400, ResultCode.CONTROL_UNREADABLE, "Actor")
    assert rejected(control, "POST", "/-/tallies/t3", body) == answer


@pytest.mark.parametrize("field", ADD)
def test_a_body_without_a_field_is_rejected(control, field):
    body = json.dumps({name: value for name, value in ADD.items() if name != field}).encode()
    answer = (400, ResultCode.CONTROL_UNREADABLE, field)
    assert rejected(control, "POST", "/-/tallies/t3", body) == answer


@pytest.mark.parametrize("amount", [0, -3, AMOUNT_BOUND - 1])
def test_amounts_within_bounds_are_taken(control, amount):
    call(control, "POST", "/-/tallies/" + LONG[1:], json.dumps({**ADD, "Actor": amount}).encode())
    assert control.adds == [Add(LONG[1:], ADD["InstanceId"], amount)]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("name", ["", LONG, "%ff", "%ED%A0%80"])
def test_a_name_that_is_no_text_of_fair_length_is_rejected(control, method, name):
    answer = (400, ResultCode.CONTROL_UNREADABLE, "ID")
    assert rejected(control, method, "/-/tallies/" + name, json.dumps(ADD).encode()) == answer


@pytest.mark.parametrize("method", ["PUT", "DELETE", "PATCH", "HEAD"])
def test_other_methods_are_rejected(control, method):
    assert rejected(control, method, "/-/tallies/t3") == (405, ResultCode.CONTROL_NO_METHOD, method)
