"""What operators send by mistake, over HTTP to whole control processes: the right code, nothing changed.

The leader and the others give the same answer."""

import json
import socket

import pytest
from test_controlplane_processes import DOOR, SECOND, Cluster, close_sockets
from test_controlplane_state import configuration, route

from hopsail.configuration.checker import parse_configuration
from hopsail.configuration.codes import ResultCode
from hopsail.controlplane.operator import MAX_PARSED_HERE_BYTES
from hopsail.controlplane.shards import shard_of_service
from hopsail.controlplane.plane import MAX_BODY_BYTES
from hopsail.feed.topics import Topic
from hopsail.http.client import HttpClient
from hopsail.net.loop import Loop

CONFIG, VERSION = "/-/config", "/-/version-put"
FILLER = [
    {"Name": f"t-{number}", "ApiKeys": [f"key-{number}"]} for number in range(MAX_PARSED_HERE_BYTES // 40)
]


class Operator:
    """Calls a cluster over HTTP."""

    def __init__(self, cluster: Cluster):
        self.cluster, self.loop = cluster, Loop()
        self.client = HttpClient(self.loop)

    def call(self, number: int, method: str, path: str, body: bytes = b"", base: str | None = None):
        """Status, and the JSON of the answer."""
        answers = []
        headers = [] if base is None else [("if-match", base)]
        address = (self.cluster.ip(number), DOOR)
        self.client.call(address, method, path, headers, body, 3 * SECOND, answers.append)

        def answered():
            self.loop.round(0.001)
            return answers

        self.cluster.until(answered)
        return answers[0].status, json.loads(answers[0].body)

    def clear(self, *arguments, **more):
        """As `call`, again while the answer is 503."""
        for _ in range(20):
            status, answer = self.call(*arguments, **more)
            if status != 503:
                return status, answer
        raise AssertionError("no clear answer")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    patch = pytest.MonkeyPatch()
    patch.setattr(Loop, "on_signal", lambda self, number, act: None)  # tests keep their signals
    made = Cluster(tmp_path_factory.mktemp("cluster"))
    made.settled()
    yield made
    made.close()
    patch.undo()


@pytest.fixture(scope="module")
def operator(cluster):
    made = Operator(cluster)
    assert made.clear(1, "PUT", CONFIG, json.dumps(configuration(5)).encode(), base="0")[0] == 200
    yield made
    close_sockets(made.loop)


def both(cluster: Cluster) -> list[int]:
    """The leader and another process."""
    leader = cluster.settled()
    return [leader, leader % 3 + 1]


def text(content) -> bytes:
    return json.dumps(content).encode()


def changed(**more) -> bytes:
    return text(configuration(6, **more))


def large(content: bytes) -> bytes:
    """The same with so many tenants that only the leader reads it."""
    filled = content.replace(b'"Tenants": [', b'"Tenants": ' + text(FILLER)[:-1] + b", ", 1)
    assert len(filled) > MAX_PARSED_HERE_BYTES
    return filled


GOOD = changed()
GOOD_PATCH = text({"Revision": 6, "Upsert": {"Routes": [route()], "Tenants": configuration(6)["Tenants"]}})


def unreadable(good: bytes) -> dict[str, bytes]:
    """Bodies that no JSON reader should take, made of one that is right."""
    return {
        "empty": b"",
        "cut short": good[:-1],
        "cut in the middle": good[: len(good) // 2],
        "more after it": good + b"{}",
        "not UTF-8": good.replace(b"key-a", b"key-\xe4"),
        "UTF-16": good.decode().encode("utf-16"),
        "half of a surrogate pair": good.replace(b"key-a", b"key-\\ud800"),
        "NaN": good.replace(b"4000", b"NaN"),
        "Infinity": good.replace(b"4000", b"Infinity"),
        "-Infinity": good.replace(b"4000", b"-Infinity"),
        "out of range": good.replace(b"4000", b"1e999"),
        "more digits than a number has": good.replace(b"4000", b"4" * 5000),
        "deep nesting": b"[" * 100_000,
        "deep nesting inside": good.replace(b"4000", b"[" * 50_000 + b"]" * 50_000),
        "deep nesting of objects": b'{"a":' * 50_000,
        "single quotes": good.replace(b'"', b"'"),
        "form": b"Revision=6&Routes=",
    }


UNREADABLE = unreadable(GOOD)
UNREADABLE_PATCHES = unreadable(GOOD_PATCH)
SPLIT = {"Service": "s-a", "Share": 0}
INVALID = {
    "a list": b"[]",
    "a number": b"6",
    "null": b"null",
    "routes that are text": changed(Routes="x"),
    "a service that is null": changed(Services=[None]),
    "a deadline that is text": changed(Routes=[route(DeadlineMs="4000")]),
    "a deadline that is true": changed(Routes=[route(DeadlineMs=True)]),
    "a deadline of 0": changed(Routes=[route(DeadlineMs=0)]),
    "the same number": text(configuration(5, Tenants=[])),
    "a lower number": text(configuration(4)),
    "an unknown service": changed(Routes=[route(Service="s-z")]),
    "one place twice": changed(Routes=[route(), route("r-b")]),
    "weights that sum to 0": changed(Routes=[route(TrafficSplit=[SPLIT, SPLIT])]),
    "a shared key": changed(Tenants=[{"Name": n, "ApiKeys": ["key"]} for n in ("t-a", "t-b")]),
}
PATCHES = {
    "a key that another tenant holds": {"Tenants": [{"Name": "t-c", "ApiKeys": ["key-a"]}]},
    "one key for two new tenants": {"Tenants": [{"Name": n, "ApiKeys": ["key-n"]} for n in ("t-c", "t-d")]},
    "a place that is taken": {"Routes": [route("r-b")]},
    "an unknown service": {"Routes": [route("r-b", "/b/", Service="s-z")]},
    "weights that sum to 0": {"Routes": [route("r-b", "/b/", TrafficSplit=[SPLIT])]},
    "a deadline of 0": {"Routes": [route("r-b", "/b/", DeadlineMs=0)]},
}


def assert_refused(cluster: Cluster, operator: Operator, method: str, body: bytes, allowed=(400,)) -> None:
    answers = [operator.clear(number, method, CONFIG, body, base="5") for number in both(cluster)]
    assert answers[0] == answers[1]
    status, answer = answers[0]
    assert status in allowed
    assert answer["Error"]["Code"] in ResultCode.__members__.values()
    for number in both(cluster):
        assert operator.clear(number, "GET", CONFIG) == (200, configuration(5))


@pytest.mark.parametrize("name", UNREADABLE)
def test_a_body_that_cannot_be_read_changes_nothing(cluster, operator, name):
    assert_refused(cluster, operator, "PUT", UNREADABLE[name])
    assert_refused(cluster, operator, "PATCH", UNREADABLE_PATCHES[name])


@pytest.mark.parametrize("body", INVALID.values(), ids=INVALID)
def test_an_invalid_configuration_changes_nothing(cluster, operator, body):
    assert_refused(cluster, operator, "PUT", body)


@pytest.mark.parametrize("upsert", PATCHES.values(), ids=PATCHES)
def test_an_invalid_patch_changes_nothing(cluster, operator, upsert):
    assert_refused(cluster, operator, "PATCH", text({"Revision": 6, "Upsert": upsert}))


LARGE = {name: UNREADABLE[name] for name in ("not UTF-8", "NaN", "deep nesting inside")}
LARGE |= {name: INVALID[name] for name in ("a deadline of 0", "an unknown service", "one place twice")}


@pytest.mark.parametrize("body", LARGE.values(), ids=LARGE)
def test_a_large_body_is_judged_by_the_leader_with_the_same_verdict(cluster, operator, body):
    assert_refused(cluster, operator, "PUT", large(body))
    assert_refused(cluster, operator, "PUT", large(GOOD)[:-1])


@pytest.mark.parametrize("body", [*INVALID.values(), b"{"], ids=[*INVALID, "unreadable"])
def test_what_is_stale_and_invalid_gets_either_refusal(cluster, operator, body):
    for number in both(cluster):
        assert operator.clear(number, "PUT", CONFIG, body, base="3")[0] in (400, 412)
        assert operator.clear(number, "GET", CONFIG) == (200, configuration(5))


def test_of_two_keys_of_one_name_the_last_one_counts_everywhere():
    """As with JSON readers in general; it is the same on every replica."""
    body = b'{"Revision": 1, "Routes": [], "Services": [], "Revision": 7}'
    assert parse_configuration(body)["Revision"] == 7


BASES = ["", "x", "*", 'W/"5"', "5, 6", "-5", "5.0", "0x5"]


@pytest.mark.parametrize("base", BASES)
def test_an_if_match_that_is_no_revision_changes_nothing(cluster, operator, base):
    for number in both(cluster):
        status, answer = operator.call(number, "PUT", CONFIG, GOOD, base=base)
        assert (status, answer["Error"]["Code"]) == (400, ResultCode.BAD_PRECONDITION)
    assert operator.clear(1, "GET", CONFIG) == (200, configuration(5))


@pytest.mark.parametrize("base", ["0", '"0"', " 0 ", "00", '"00"'])
def test_a_change_that_comes_again_with_its_base_spelled_otherwise_is_confirmed(cluster, operator, base):
    for number in both(cluster):
        assert operator.clear(number, "PUT", CONFIG, text(configuration(5)), base=base)[0] == 200


# Bodies beyond the bound.


def exchange(cluster: Cluster, number: int, sent: bytes) -> bytes:
    """All that comes back on a connection of its own, until its end."""
    sock = socket.create_connection((cluster.ip(number), DOOR))
    sock.setblocking(False)
    received, ended = bytearray(), []

    def step():
        nonlocal sent
        if sent:
            try:
                sent = sent[sock.send(sent[: 1 << 16]) :]
            except BlockingIOError:
                pass
        try:
            data = sock.recv(1 << 16)
            received.extend(data)
            if not data:
                ended.append(True)
        except BlockingIOError:
            pass
        return ended

    cluster.until(step, 3000)
    sock.close()
    return bytes(received)


def head(*lines: str) -> bytes:
    return "\r\n".join(["PUT /-/config HTTP/1.1", "host: x", "if-match: 5", *lines, "", ""]).encode()


@pytest.mark.parametrize("kind", ["told", "told and sent", "chunks"])
def test_a_body_over_the_bound_gets_413_and_its_connection_ends_in_order(cluster, operator, kind):
    size = MAX_BODY_BYTES + 1
    sent = {
        "told": head(f"content-length: {size}"),
        "told and sent": head(f"content-length: {size}") + b" " * size,
        "chunks": head("transfer-encoding: chunked") + b"%x\r\n" % size + b" " * size + b"\r\n0\r\n\r\n",
    }[kind]
    for number in both(cluster):
        received = exchange(cluster, number, sent)
        assert received.startswith(b"HTTP/1.1 413 ")
        assert received.count(b"HTTP/1.1 ") == 1
        assert b"connection: close" in received
    for number in (1, 2, 3):
        assert operator.clear(number, "GET", CONFIG) == (200, configuration(5))


def test_a_body_as_large_as_the_bound_is_judged(cluster, operator):
    body = GOOD[:-1] + b" " * (MAX_BODY_BYTES - len(GOOD)) + b"x"
    assert len(body) == MAX_BODY_BYTES
    for number in both(cluster):
        assert operator.clear(number, "PUT", CONFIG, body, base="5")[0] == 400


# Versions of weights.


def test_a_version_of_a_model_that_nobody_knows_yet_is_kept_for_when_it_is(tmp_path, monkeypatch):
    """It is named in the shard of the model's own name, later ones in that of its service."""
    model, service = "m-unknown", "s-of-it"
    assert shard_of_service(model) != shard_of_service(service)
    monkeypatch.setattr(Loop, "on_signal", lambda self, number, act: None)
    cluster = Cluster(tmp_path)
    planes, operator = cluster.planes.values(), Operator(cluster)
    try:
        assert operator.clear(2, "POST", VERSION, text({"Model": model, "Revision": 3}))[0] == 200
        services = [{"Name": service, "HealthPath": "/", "Runtime": {"Models": [{"Name": model}]}}]
        content = configuration(5, Routes=[], Services=services)
        assert operator.clear(1, "PUT", CONFIG, text(content), base="0")[0] == 200
        cluster.until(lambda: all(plane.service_of_model(model) == service for plane in planes))
        for revision in (2, 3):  # late, and again
            assert operator.clear(3, "POST", VERSION, text({"Model": model, "Revision": revision}))[0] == 200
        for plane in planes:
            cluster.until(lambda plane=plane: plane.journal.get(Topic.TARGET, model) == b"3")
            assert plane.rollouts.targets[model].newest == 3
    finally:
        close_sockets(operator.loop)
        cluster.close()
