"""Every answer of the operator's API, with a control that answers as it is told."""

import json

import pytest

from hopsail.configuration.codes import ResultCode
from hopsail.controlplane.commands import CommandKind, Result
from hopsail.controlplane.operator import OperatorCalls
from hopsail.controlplane.shards import CONFIGURATION_SHARD, SHARD_COUNT, shard_of_service
from hopsail.http.message import Request
from hopsail.net.counters import Counters

CONFIG, VERSION = "/-/config", "/-/version-put"
ROUTE = {
    "Name": "r-a",
    "Hostname": "one.example",
    "PathPrefix": "/a/",
    "RouteKind": "idempotent",
    "DeadlineMs": 4000,
    "Service": "s-a",
}
CONTENT = json.dumps({"Revision": 7, "Routes": [ROUTE], "Services": [{"Name": "s-a"}]}).encode()
PATCH = json.dumps({"Revision": 9, "Remove": {"Routes": ["r-a"]}}).encode()
NAMED = json.dumps({"Model": "m-1", "Revision": 2}).encode()


class FakeControl:
    """Notes what is submitted, answers when it is told to."""

    def __init__(self):
        self.submitted, self.waiting, self.reads = [], [], []

    def submit(self, shard, command, done):
        self.submitted.append((shard, command))
        self.waiting.append(done)

    def read_configuration(self, done):
        self.reads.append(done)

    def service_of_model(self, model):
        return f"service-of-{model}"


class FakeExchange:
    def __init__(self):
        self.answers = []

    def respond(self, status, body=b"", headers=()):
        self.answers.append((status, json.loads(body), dict(headers)))


class Caller:
    def __init__(self):
        self.control, self.counters = FakeControl(), Counters("test")
        self.calls = OperatorCalls(self.control, self.counters)

    def call(self, method, path, body=b"", **headers) -> FakeExchange:
        exchange = FakeExchange()
        named = [(name.replace("_", "-"), value) for name, value in headers.items()]
        self.calls.handle(Request(method, path, named, body), exchange)
        return exchange

    def refused(self, *arguments, **headers) -> tuple[int, int]:
        """Status and code of a call that is answered at once and submits nothing."""
        exchange = self.call(*arguments, **headers)
        assert not self.control.submitted
        assert not self.control.reads
        (answer,) = exchange.answers
        return answer[0], answer[1]["Error"]["Code"]


@pytest.fixture
def caller() -> Caller:
    return Caller()


# Reading.


def test_the_configuration_is_read_in_whole(caller):
    exchange = caller.call("GET", CONFIG)
    assert exchange.answers == []
    caller.control.reads[0](CONTENT)
    assert exchange.answers == [(200, json.loads(CONTENT), {"content-type": "application/json"})]


def test_a_query_does_not_matter(caller):
    caller.call("GET", CONFIG + "?x=1")
    assert len(caller.control.reads) == 1


def test_before_the_first_configuration_a_read_says_so(caller):
    exchange = caller.call("GET", CONFIG)
    caller.control.reads[0](b"")
    ((status, body, _),) = exchange.answers
    assert (status, body["Error"]["Code"]) == (404, ResultCode.NO_CONFIGURATION)


def test_a_read_that_is_not_known_in_time_may_be_tried_again(caller):
    exchange = caller.call("GET", CONFIG)
    caller.control.reads[0](None)
    ((status, body, headers),) = exchange.answers
    assert (status, body["Error"]["Code"]) == (503, ResultCode.CONTROL_NO_QUORUM)
    assert 0 < float(headers["retry-after"]) < 1


# Changes.


@pytest.mark.parametrize(
    ("method", "body", "kind"),
    [
        ("PUT", CONTENT, CommandKind.PUT_CONFIGURATION),
        ("PATCH", PATCH, CommandKind.PATCH_CONFIGURATION),
    ],
)
@pytest.mark.parametrize(
    ("text", "base"), [("0", 0), ("5", 5), ('"5"', 5), (" 5 ", 5), ("9" * 18, int("9" * 18))]
)
def test_a_change_is_submitted_as_it_was_sent(caller, method, body, kind, text, base):
    exchange = caller.call(method, CONFIG, body, if_match=text)
    ((shard, command),) = caller.control.submitted
    assert shard == CONFIGURATION_SHARD
    assert (command.kind, command.base, command.body) == (kind, base, body)
    assert exchange.answers == []
    caller.control.waiting[0](Result(200, value=7))
    assert exchange.answers == [(200, {"Revision": 7}, {"content-type": "application/json"})]


RESULTS = [
    Result(412, int(ResultCode.REVISION_MISMATCH), "", 8),
    Result(400, int(ResultCode.DUPLICATE_ROUTE), "Routes[r-a].PathPrefix"),
]


@pytest.mark.parametrize("result", RESULTS)
def test_a_refusal_tells_code_item_and_the_current_revision(caller, result):
    exchange = caller.call("PUT", CONFIG, CONTENT, if_match="5")
    caller.control.waiting[0](result)
    ((status, body, headers),) = exchange.answers
    assert status == result.status
    assert body == {"Error": {"Code": result.code, "Item": result.item}, "Revision": result.value}
    assert "retry-after" not in headers


@pytest.mark.parametrize(
    ("method", "path", "body"), [("PUT", CONFIG, CONTENT), ("PATCH", CONFIG, PATCH), ("POST", VERSION, NAMED)]
)
def test_what_is_not_known_is_never_told_as_a_refusal_for_good(caller, method, path, body):
    exchange = caller.call(method, path, body, if_match="5")
    caller.control.waiting[0](None)
    ((status, answer, headers),) = exchange.answers
    assert (status, answer["Error"]["Code"]) == (503, ResultCode.CONTROL_NO_QUORUM)
    assert 0 < float(headers["retry-after"]) < 1


BAD_BASES = ["", " ", "x", "-1", "1.5", "0x5", "5, 6", "*", '""', "\xb2", "9" * 19, "9" * 9000]


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize("text", BAD_BASES)
def test_an_if_match_that_is_no_revision_is_refused(caller, method, text):
    assert caller.refused(method, CONFIG, CONTENT, if_match=text) == (400, ResultCode.BAD_PRECONDITION)


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
def test_a_change_needs_if_match(caller, method):
    assert caller.refused(method, CONFIG, CONTENT) == (400, ResultCode.BAD_PRECONDITION)


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize("second", ["5", "6"])
def test_a_change_with_two_if_match_headers_is_refused(caller, method, second):
    """As one header with a list of both would be."""
    exchange = FakeExchange()
    headers = [("if-match", "5"), ("if-match", second)]
    caller.calls.handle(Request(method, CONFIG, headers, CONTENT), exchange)
    ((status, body, _),) = exchange.answers
    assert (status, body["Error"]["Code"]) == (400, ResultCode.BAD_PRECONDITION)
    assert not caller.control.submitted


def cuts(body: bytes) -> list[bytes]:
    return [body[:length] for length in range(0, len(body), 7)]


@pytest.mark.parametrize(("method", "body"), [("PUT", CONTENT), ("PATCH", PATCH)])
def test_a_body_that_is_cut_short_is_refused_here(caller, method, body):
    for cut in cuts(body):
        assert caller.refused(method, CONFIG, cut, if_match="5") == (400, ResultCode.UNREADABLE)


UNREADABLE = [
    b"[]",
    b"null",
    b"7",
    b'"x"',
    b"\xff",
    b"[" * 100_000,
    b'{"Revision": NaN}',
    b'{"Revision": 1e999}',
]


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
@pytest.mark.parametrize("body", UNREADABLE, ids=range(len(UNREADABLE)))
def test_a_body_that_cannot_be_read_is_refused_here(caller, method, body):
    status, _ = caller.refused(method, CONFIG, body, if_match="5")
    assert status == 400


def test_a_body_of_wrong_types_is_refused_here(caller):
    for field in ("Revision", "Routes", "Services"):
        tree = {**json.loads(CONTENT), field: "x"}
        status, code = caller.refused("PUT", CONFIG, json.dumps(tree).encode(), if_match="5")
        assert (status, code) == (400, ResultCode.WRONG_TYPE)
        del tree[field]
        status, code = caller.refused("PUT", CONFIG, json.dumps(tree).encode(), if_match="5")
        assert (status, code) == (400, ResultCode.FIELD_MISSING)


def test_what_only_the_leader_can_judge_is_not_judged_here(caller):
    tree = {**json.loads(CONTENT), "Services": []}  # a route of an unknown service
    caller.call("PUT", CONFIG, json.dumps(tree).encode(), if_match="5")
    assert len(caller.control.submitted) == 1


# Versions of weights.


def test_a_named_version_goes_to_the_part_of_the_models_service(caller):
    exchange = caller.call("POST", VERSION, NAMED)
    ((shard, command),) = caller.control.submitted
    assert shard == shard_of_service("service-of-m-1")
    assert (command.kind, command.subject, command.number) == (CommandKind.NAME_REVISION, "m-1", 2)
    caller.control.waiting[0](Result(200, value=2))
    assert exchange.answers == [(200, {"Revision": 2}, {"content-type": "application/json"})]


VERSIONS = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff",
    b"[" * 100_000,
    b'{"Model": "m"}',
    b'{"Revision": 2}',
    b'{"Model": "", "Revision": 2}',
    b'{"Model": 1, "Revision": 2}',
    b'{"Model": null, "Revision": 2}',
    b'{"Model": "m\\ud800", "Revision": 2}',
    b'{"Model": "m", "Revision": "2"}',
    b'{"Model": "m", "Revision": 2.0}',
    b'{"Model": "m", "Revision": true}',
    b'{"Model": "m", "Revision": 0}',
    b'{"Model": "m", "Revision": -1}',
    b'{"Model": "m", "Revision": null}',
]


@pytest.mark.parametrize("body", VERSIONS, ids=range(len(VERSIONS)))
def test_a_version_that_cannot_be_read_is_refused(caller, body):
    assert caller.refused("POST", VERSION, body) == (400, ResultCode.CONTROL_UNREADABLE)


# Paths and methods.


@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", CONFIG), ("DELETE", CONFIG), ("OPTIONS", CONFIG), ("GET", VERSION), ("PUT", VERSION)],
)
def test_a_method_that_a_path_lacks_is_told(caller, method, path):
    assert caller.refused(method, path, CONTENT, if_match="5") == (405, ResultCode.CONTROL_NO_METHOD)


@pytest.mark.parametrize("path", ["/", "/-/", "/-/config/", "/-/Config", "/-/version", "*", "", "//-/config"])
@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
def test_an_unknown_path_is_told(caller, method, path):
    assert caller.refused(method, path, CONTENT, if_match="5") == (404, ResultCode.CONTROL_NO_PATH)


def test_parts_of_services_never_are_the_configurations():
    shards = {shard_of_service(f"service-{number}") for number in range(200)}
    assert shards == set(range(1, SHARD_COUNT))
