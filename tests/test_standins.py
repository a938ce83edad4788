"""The stand-ins: each speaks the protocol's page, and the judge finds every message that is changed."""

import json
import socket
from time import monotonic

import pytest
from test_http import RawPeer

from hopsail.configuration.checker import check_configuration, parse_configuration
from hopsail.configuration.process import parse_settings
from hopsail.http.client import HttpClient
from hopsail.http.server import HttpServer
from hopsail.net.loop import READ, Loop
from hopsail.net.stream import Stream
from hopsail.standins import client as client_module
from hopsail.standins.client import LoadClient, RouteLoad, StreamCheck
from hopsail.standins.fabric import Fabric, address_of
from hopsail.standins.fleet import TENANTS, Fleet, load_of, route_item
from hopsail.standins.host import Host, HostSettings
from hopsail.standins.ingress import Edge, Ingress
from hopsail.standins.judge import judge, services_of
from hopsail.standins.kept import KeptParts, PromptPart
from hopsail.standins.operator import Operator
from hopsail.standins.platform import Platform, RateLimit
from hopsail.standins.records import (
    Arrival,
    Journal,
    Maker,
    Rule,
    Run,
    Try,
    event_of,
    plain_body,
    read_seal,
    seal_of,
)
from hopsail.standins.settings import CORE, EDGE, Machine, Surroundings, settings_text
from hopsail.standins.store import Store

SECOND, MS = 1_000_000_000, 1_000_000
WITHIN = 20.0  # s of the test machine's time, after which something will not come any more
MODEL = "m1"
MAKER = Maker("", MODEL, 1)


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


class Stage:
    """A loop with the stand-ins of a test, all given back at its end."""

    def __init__(self):
        self.loop, self.made = Loop(), []
        self.fabric, self.journal = Fabric(), Journal()
        self.client = HttpClient(self.loop)

    def keep(self, part):
        self.made.append(part)
        return part

    def own(self, part):
        """As `keep`, for peers that belong to who drives the loop."""
        return self.keep(part)

    def until(self, reached, what="it"):
        ends = monotonic() + WITHIN
        while not reached():
            assert monotonic() < ends, f"{what} does not come"
            self.loop.round(0.05)

    def call(self, address, method, target, headers=(), body=b""):
        answers = []
        self.client.call(address, method, target, list(headers), body, 10 * SECOND, answers.append)
        self.until(lambda: answers)
        return answers[0]

    def host(self, **more):
        given = {"service": "s", "address": free_address(), "zone": "z", "models": {MODEL: 1}, "step_ms": 0.1}
        return self.keep(Host(self.loop, HostSettings(**given | more), self.fabric, self.journal))

    def prompt(self, host, attempt="a1", generated=5, parts="aa:100,bb:20", **headers):
        told = {
            "hopsail-attempt-id": attempt,
            "hopsail-model": MODEL,
            "hopsail-token-count": f"120,{generated}",
            "hopsail-prompt-prefix": parts,
        }
        told |= {name.replace("_", "-"): value for name, value in headers.items()}
        sent = [(name, value) for name, value in told.items() if value is not None]
        return self.call(host.settings.address, "POST", "/p/x", sent, b"body")

    def hold(self, host, attempt, **headers):
        """A prompt whose answer nobody waits for."""
        told = [("hopsail-attempt-id", attempt), ("hopsail-model", MODEL), ("hopsail-token-count", "10,1000")]
        told += [(name.replace("_", "-"), value) for name, value in headers.items()]
        before = len(self.journal.arrivals)
        self.client.call(host.settings.address, "POST", "/p/x", told, b"", 100 * SECOND)
        self.until(lambda: len(self.journal.arrivals) > before)

    def order(self, host, **more):
        body = {"OrderKind": "Revision", "Model": MODEL, "Revision": 2, "Method": "defer"}
        body |= {"Owner": "n", "FenceToken": 1} | more
        body = {name: value for name, value in body.items() if value is not None}
        return self.call(host.settings.address, "POST", "/-/order", (), json.dumps(body).encode()).status

    def close(self):
        self.client.pool.close()
        for part in self.made:
            part.close()
        self.loop.close()


@pytest.fixture
def stage():
    made = Stage()
    yield made
    made.close()


# Stamps and kept parts.


def test_a_stamp_holds_for_one_attempt_and_no_character_of_it_can_be_changed():
    seal = seal_of("a1", "i-1-7", 1, 17)
    assert read_seal(seal, "a1") == ("i-1-7", 1, 17) and read_seal(seal, "a2") is None
    for at in range(len(seal)):
        assert read_seal(seal[:at] + "x" + seal[at + 1 :], "a1") is None
        assert read_seal(seal[:at], "a1") is None


def test_parts_are_found_from_the_beginning_on_only_and_under_their_salt():
    kept = KeptParts(1000, 7)
    parts = [PromptPart("a", 100), PromptPart("b", 50), PromptPart("c", 10)]
    kept.keep("s", parts[0], MODEL, MAKER)
    kept.keep("s", parts[2], MODEL, MAKER)
    assert [part.tokens for part in kept.matching("s", parts)] == [100]
    assert kept.matching("t", parts) == []


def test_the_least_recently_used_part_gives_way_and_running_requests_come_first():
    kept = KeptParts(100, 7)
    for name in "ab":
        assert kept.keep("s", PromptPart(name, 40), MODEL, MAKER)
    kept.matching("s", [PromptPart("a", 40)])
    kept.keep("s", PromptPart("c", 40), MODEL, MAKER)
    assert [name for _, name in kept.parts] == ["a", "c"]
    assert kept.take(90) and not kept.parts and not kept.take(11)
    assert not kept.keep("s", PromptPart("d", 40), MODEL, MAKER)
    kept.give_back(90)
    assert kept.take(100)
    assert [event[1:4] for event in kept.events] == [
        ["+", "s", "a"], ["+", "s", "b"], ["-", "s", "b"], ["+", "s", "c"], ["-", "s", "a"], ["-", "s", "c"],
    ]  # fmt: skip


def test_a_part_stays_as_it_was_first_made():
    kept = KeptParts(100, 7)
    kept.keep("s", PromptPart("a", 40), MODEL, MAKER)
    kept.keep("s", PromptPart("a", 40), MODEL, Maker("other", MODEL, 2))
    assert kept.parts[("s", "a")].maker == MAKER and kept.tokens == 40


def test_events_are_numbered_and_a_gap_is_told():
    kept = KeptParts(1 << 40, 7)
    assert kept.events_since(0) == (False, [])
    for number in range(5000):
        kept.keep("s", PromptPart(f"{number}", 1), MODEL, MAKER)
    missing, events = kept.events_since(4000)
    assert not missing and [event[0] for event in events] == list(range(4001, 5001))
    assert kept.events_since(10)[0] and kept.events_since(5001)[0] and not kept.events_since(5000)[0]


def test_an_address_is_read_or_none():
    assert address_of("10.0.0.1:80") == ("10.0.0.1", 80)
    assert all(address_of(text) is None for text in (None, "", "x", "x:", ":80", "x:y"))


# The host.


def test_a_prompt_is_answered_in_events_with_stamp_id_and_version(stage):
    host = stage.host()
    answer = stage.prompt(host)
    seal = read_seal(answer.header("hopsail-server-seal"), "a1")
    assert answer.status == 200 and answer.header("content-type") == "text/event-stream"
    assert answer.header("hopsail-attempt-id") == "a1" and answer.header("versions") == "1"
    events = answer.body.decode().split("\n\n")[:-1]
    last = [int(event.split("\n")[0].removeprefix("id: ")) for event in events]
    assert last == sorted(last) and last[-1] == 5 == seal.total and seal.first == 1
    [run] = stage.journal.runs
    assert run.complete and run.identifier == seal.run and run.target == "/p/x" and not host.running


def test_a_plain_request_has_its_whole_body(stage):
    answer = stage.prompt(stage.host(), hopsail_token_count=None)
    seal = read_seal(answer.header("hopsail-server-seal"), "a1")
    assert answer.body == plain_body(seal.run, seal.total)


@pytest.mark.parametrize(
    "headers, status",
    [
        ({"hopsail_target_instance": "i-other"}, 421),
        ({"expect_version": "2"}, 421),
        ({"hopsail_attempt_id": None}, 400),
        ({"hopsail_token_count": "999999,1"}, 503),
    ],
)
def test_what_a_host_does_not_run_it_says_and_does_not_run(stage, headers, status):
    answer = stage.prompt(stage.host(), **headers)
    assert answer.status == status and answer.header("hopsail-not-executed") == "1"
    assert not stage.journal.runs and len(stage.journal.arrivals) == 1


def test_the_right_instance_and_version_are_run(stage):
    host = stage.host()
    answer = stage.prompt(host, hopsail_target_instance=host.identifier, expect_version="1")
    assert answer.status == 200


def test_a_full_host_declines_and_a_gone_client_frees_its_slot(stage):
    host = stage.host(capacity=1, most_queued=1, step_ms=1000)
    stage.hold(host, "h1")
    stage.hold(host, "h2")
    assert stage.prompt(host).status == 503
    assert stage.call(host.settings.address, "GET", "/healthz").status == 503
    stage.client.pool.close()
    stage.until(lambda: not host.running and not host.queue)
    assert host.kept.in_use == 0
    assert stage.call(host.settings.address, "GET", "/healthz").status == 200


def test_the_more_urgent_of_those_queued_runs_first(stage):
    host = stage.host(capacity=1, step_ms=1000)
    for attempt, priority in (("h1", "5"), ("h2", "7"), ("h3", "1")):
        stage.hold(host, attempt, priority=priority)
    assert [work.attempt for work in host.queue] == ["h3", "h2"]


def test_the_deadline_ends_a_queued_request_as_not_run_and_a_running_one_as_run(stage):
    host = stage.host(capacity=1, prefill_tokens_per_ms=0.0001)
    stage.hold(host, "h1")
    queued = stage.prompt(host, "a1", hopsail_deadline_ms="20")
    assert queued.status == 503 and queued.header("hopsail-not-executed") == "1"
    slow = stage.host(prefill_tokens_per_ms=0.0001)
    running = stage.prompt(slow, "a2", hopsail_deadline_ms="20")
    assert running.status == 504 and running.header("hopsail-not-executed") is None
    assert [run.attempt for run in stage.journal.runs] == ["h1", "a2"]


def test_a_stream_past_its_deadline_does_not_look_complete(stage):
    host = stage.host(step_ms=5)
    assert stage.prompt(host, generated=1000, hopsail_deadline_ms="60") is None
    assert not stage.journal.runs[0].complete


def test_a_stream_is_taken_up_after_the_last_event(stage):
    answer = stage.prompt(stage.host(), last_event_id="3")
    assert answer.body.startswith(b"id: 4\n") or answer.body.startswith(b"id: 5\n")
    assert read_seal(answer.header("hopsail-server-seal"), "a1").first == 4
    assert b" 4 " in answer.body and b" 3 " not in answer.body


def test_parts_are_kept_under_the_salt_and_told(stage):
    host = stage.host()
    stage.prompt(host, "a1", cache_salt="s1")
    stage.prompt(host, "a2", cache_salt="s1")
    stage.prompt(host, "a3", cache_salt="s2")
    drawn = {run.attempt: len(run.drew_on) for run in stage.journal.runs}
    assert drawn == {"a1": 0, "a2": 2, "a3": 0}
    told = json.loads(stage.call(host.settings.address, "GET", "/-/kv-events?Since=2").body)
    assert told["EventLog"] == [[3, "+", "s2", "aa", 100, MODEL], [4, "+", "s2", "bb", 20, MODEL]]
    assert told["NextToken"] == 4 and not told["Missing"]
    listed = json.loads(stage.call(host.settings.address, "GET", "/-/kv-list").body)
    assert listed["Incarnation"] == told["Incarnation"] and ["s1", "aa", 100, MODEL] in listed["Retained"]


def test_parts_are_fetched_from_a_host_or_store_and_saved_to_the_store(stage):
    store = stage.keep(Store(stage.loop, free_address(), stage.fabric, 10_000))
    first, second = stage.host(), stage.host()
    place = "{}:{}".format(*store.address)
    stage.prompt(first, "a1", kv_save=place)
    assert len(store.kept.parts) == 2
    stage.prompt(second, "a2", kv_fetch=place)
    assert stage.journal.runs[1].drew_on == [MAKER, MAKER] and len(second.kept.parts) == 2
    told = json.loads(stage.call(store.address, "GET", "/-/kv-list").body)
    assert [part[1] for part in told["Retained"]] == ["aa", "bb"]
    stage.prompt(stage.host(), "a3", kv_fetch="127.0.0.1:1")
    assert stage.journal.runs[2].drew_on == []


def test_a_store_that_returns_is_empty_and_of_another_incarnation(stage):
    store = stage.keep(Store(stage.loop, free_address(), stage.fabric, 10_000))
    store.kept.keep("s", PromptPart("a", 40), MODEL, MAKER)
    before = store.kept.incarnation
    store.crash()
    assert store.address not in stage.fabric.kept
    store.restart()
    assert not store.kept.parts and store.kept.incarnation != before


def test_waiting_calls_are_held_until_news_and_more_than_allowed_are_refused(stage):
    host = stage.host(most_inflight=1)
    answers = []
    waiting = [("wait-ms", "1000")]
    target = "/-/kv-events?Since=0"
    stage.client.call(host.settings.address, "GET", target, waiting, b"", 9 * SECOND, answers.append)
    stage.until(lambda: host.calls.inflight == 1)
    assert stage.call(host.settings.address, "GET", "/-/kv-list").status == 429
    stage.prompt(host)
    stage.until(lambda: answers)
    assert json.loads(answers[0].body)["EventLog"] and host.calls.inflight == 0
    assert stage.call(host.settings.address, "GET", "/-/kv-list").status == 200
    quiet = stage.call(host.settings.address, "GET", "/-/kv-events?Since=2", [("wait-ms", "10")])
    assert json.loads(quiet.body)["EventLog"] == []


def test_a_report_tells_what_runs(stage):
    host = stage.host(step_ms=1000)
    stage.hold(host, "h1")
    report = json.loads(stage.call(host.settings.address, "GET", "/-/report").body)
    assert report["Active"] == 1 and report["CacheUsed"] == 1010 and report["CallSeq"] == 0
    assert report["Models"] == [{"Name": MODEL, "Revision": 1, "Adapters": []}]


@pytest.mark.parametrize(
    "change, status",
    [
        ({}, 202),
        ({"Revision": 1}, 200),
        ({"Revision": 3}, 400),
        ({"OrderKind": "Other"}, 400),
        ({"Owner": None}, 400),
        ({"FenceToken": None}, 400),
        ({"Method": "other"}, 400),
        ({"Expected": 1}, 409),
        ({"FenceToken": 0}, 412),
    ],
)
def test_an_order_gets_its_status(stage, change, status):
    stage.fabric.name_version(MODEL, 2)
    host = stage.host()
    host.models[MODEL] = 1
    host.highest_fence = 1
    assert stage.order(host, **change) == status
    assert host.call_sequence == (status == 202)


def test_new_weights_wait_for_runs_drop_what_was_kept_and_turn_new_requests_away(stage):
    shown = []
    host = stage.host(load_ms=30, step_ms=0.5)
    host.changed = lambda host: shown.append(host.entry()["Models"][0]["Revision"])
    stage.prompt(host, "a1")
    stage.hold(host, "h1")
    stage.fabric.name_version(MODEL, 2)
    assert stage.order(host) == 202 and stage.order(host) == 409
    assert stage.prompt(host, "a2").header("hopsail-not-executed") == "1"
    assert host.models[MODEL] == 1 and host.running
    stage.until(lambda: host.models[MODEL] == 2)
    assert not host.kept.parts and shown == [2] and stage.order(host) == 200
    assert stage.prompt(host, "a3", expect_version="2").header("versions") == "2"
    assert [status for _, _, _, status in host.orders] == [202, 409, 200]


def test_retained_streams_tell_of_the_new_version_in_the_event(stage):
    host = stage.host(load_ms=1, step_ms=2)
    answers = []
    told = [("hopsail-attempt-id", "h1"), ("hopsail-model", MODEL), ("hopsail-token-count", "1,60")]
    stage.client.call(host.settings.address, "POST", "/p/x", told, b"", 9 * SECOND, answers.append)
    stage.until(lambda: host.running)
    stage.fabric.name_version(MODEL, 2)
    assert stage.order(host, Method="retain") == 202
    stage.until(lambda: answers)
    assert answers[0].body.count(b"versions: 2\n") == 1


def test_of_those_queued_none_runs_when_new_weights_are_loaded(stage):
    host = stage.host(capacity=3, cache_tokens=2500, step_ms=1000)
    stage.hold(host, "h1")
    answers = []
    told = [("hopsail-attempt-id", "large"), ("hopsail-model", MODEL), ("hopsail-token-count", "120,2000")]
    stage.client.call(host.settings.address, "POST", "/p/x", told, b"", 9 * SECOND, answers.append)
    stage.until(lambda: host.queue)
    stage.hold(host, "h3")  # it would fit, and waits behind the large one
    assert [work.attempt for work in host.queue] == ["large", "h3"]
    stage.fabric.name_version(MODEL, 2)
    assert stage.order(host) == 202
    stage.until(lambda: answers)
    assert answers[0].status == 503 and not host.queue
    assert [run.attempt for run in stage.journal.runs] == ["h1"]


def test_truncated_streams_are_reset(stage):
    host = stage.host(load_ms=1, step_ms=1000)
    answers = []
    told = [("hopsail-attempt-id", "h1"), ("hopsail-model", MODEL), ("hopsail-token-count", "1,60")]
    stage.client.call(host.settings.address, "POST", "/p/x", told, b"", 9 * SECOND, answers.append)
    stage.until(lambda: host.running)
    stage.fabric.name_version(MODEL, 2)
    assert stage.order(host, Method="truncate") == 202
    stage.until(lambda: answers and host.models[MODEL] == 2)
    assert answers == [None] and not stage.journal.runs[0].complete


def test_a_draining_host_serves_on_and_closes_connections(stage):
    host = stage.host()
    host.drain()
    answer = stage.prompt(host)
    assert answer.status == 200 and answer.header("connection") == "close"
    assert stage.call(host.settings.address, "GET", "/healthz").status == 503
    assert host.entry()["Phase"] == "draining"


# The platform.


def test_the_list_comes_in_pages_by_zone_and_after_its_lag(stage):
    platform = stage.keep(Platform(stage.loop, free_address(), rate_per_s=100, lag_ms=30, page=2))
    for number in range(5):
        platform.changed(
            {"InstanceId": f"i{number}", "Zone": f"z{number % 2}", "Phase": "serving"}, at_once=number < 4
        )

    def read(query=""):
        return json.loads(stage.call(platform.address, "GET", f"/instances{query}").body)

    first = read()
    assert [entry["InstanceId"] for entry in first["Instances"]] == ["i0", "i1"]
    second = read(f"?PageToken={first['NextToken']}")
    assert [entry["InstanceId"] for entry in second["Instances"]] == ["i2", "i3"]
    assert [entry["InstanceId"] for entry in read("?Zone=z1")["Instances"]] == ["i1", "i3"]
    assert read("?Zone=z1")["NextToken"] is None
    stage.until(lambda: "i4" in platform.entries)
    platform.changed({"InstanceId": "i4", "Zone": "z0", "Phase": "draining"})
    stage.until(lambda: "i4" in platform.shown_draining)
    platform.removed("i4")
    stage.until(lambda: "i4" not in platform.entries)
    assert stage.call(platform.address, "GET", "/instances?PageToken=x").status == 400


def test_calls_over_the_rate_are_refused():
    limit = RateLimit(4, 0)
    assert [limit.allows(0) for _ in range(5)] == [True] * 4 + [False]
    assert limit.allows(SECOND // 4) and not limit.allows(SECOND // 4)
    assert [limit.allows(100 * SECOND) for _ in range(5)].count(True) == 4


# The operator.


class Control:
    """Answers with what a test gives it, the last one for ever."""

    def __init__(self, stage, *answers):
        self.answers, self.asked = list(answers), []
        self.address = free_address()
        self.server = stage.keep(HttpServer(stage.loop, self.address, self.handle))

    def handle(self, request, exchange):
        self.asked.append(request)
        status, headers, body = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if status:
            exchange.respond(status, body, headers)
        else:
            exchange.abort()


def told(status, headers=(), body=b""):
    return status, list(headers), body


def asked_of(stage, control, call):
    operator = stage.keep(Operator(stage.loop, [control.address], stage.fabric, "1"))
    answers = []
    call(operator, answers.append)
    stage.until(lambda: answers)
    return operator, answers[0]


CHANGE = {"Revision": 7, "Routes": [], "Services": []}


def put(operator, done):
    operator.put(CHANGE, 5, done)


def test_a_change_is_sent_unchanged_until_it_is_clear(stage):
    control = Control(stage, told(503), told(0), told(429), told(408), told(200))
    operator, answer = asked_of(stage, control, put)
    assert answer.taken and answer.tries == 5 and 7 in operator.acknowledged
    assert {(asked.method, asked.target, asked.body) for asked in control.asked} == {
        ("PUT", "/-/config", json.dumps(CHANGE).encode())
    }
    assert {asked.header("if-match") for asked in control.asked} == {"5"} and operator.sent == [CHANGE]


@pytest.mark.parametrize("status", [400, 409, 412, 413, 422])
def test_some_statuses_end_a_call_at_once(stage, status):
    operator, answer = asked_of(stage, Control(stage, told(status)), put)
    assert answer[:1] + answer[2:3] == (status, 1) and not operator.acknowledged


def test_other_refusals_end_a_call_at_the_third_try(stage):
    _, answer = asked_of(stage, Control(stage, told(404)), put)
    assert answer.status == 404 and answer.tries == 3


def test_two_redirects_are_followed_and_a_third_is_not(stage):
    last = Control(stage, told(200, body=b"{}"))
    place = "http://{}:{}/-/config"
    second = Control(stage, told(307, [("location", place.format(*last.address))]))
    first = Control(stage, told(307, [("location", place.format(*second.address))]))
    _, answer = asked_of(stage, first, lambda operator, done: operator.read(done))
    assert answer.taken and answer.tree == {} and answer.tries == 1
    before = Control(stage, told(307, [("location", place.format(*first.address))]), told(503), told(400))
    _, answer = asked_of(stage, before, lambda operator, done: operator.read(done))
    assert answer.status == 400 and answer.tries == 3


def test_naming_weights_lets_hosts_take_orders_for_them(stage):
    control = Control(stage, told(200))
    _, answer = asked_of(stage, control, lambda operator, done: operator.name_version(MODEL, 2, done))
    assert answer.taken and stage.fabric.newest(MODEL) == 2 and stage.fabric.newest("other") == 1
    assert json.loads(control.asked[0].body) == {"Model": MODEL, "Revision": 2}


def test_the_entry_takes_those_that_are_ready_and_all_when_few_are(stage):
    ready, other = Control(stage, told(200)), Control(stage, told(503))
    edges = [Edge(("a", 1), ready.address), Edge(("b", 1), other.address)]
    ingress = stage.keep(Ingress(stage.loop, edges, "1"))
    assert not ingress.ready
    stage.until(lambda: ingress.ready == 1)
    assert {ingress.pick() for _ in range(50)} == {("a", 1)}
    edges[0].misses = 2
    assert {ingress.pick() for _ in range(50)} == {("a", 1), ("b", 1)}


# The client.


def route(**more):
    given = {"name": "r", "hostname": "h", "prefix": "/p/", "streaming": True, "idempotent": False,
             "deadline_ms": 5000, "key": "", "tenant": "", "model": MODEL, "shared": 100, "own": 20,
             "generated": 9}  # fmt: skip
    return RouteLoad(**given | more)


class OneEdge:
    def __init__(self, address):
        self.address = address

    def pick(self):
        return self.address


def load(stage, address, asked):
    client = stage.keep(LoadClient(stage.loop, OneEdge(address), stage.journal, [asked], seed="1"))
    client.ask(asked)
    stage.until(lambda: asked.name in client.served)
    return client


@pytest.mark.parametrize("streaming", [True, False])
def test_a_client_at_a_host_itself_finds_nothing_wrong(stage, streaming):
    host = stage.host()
    load(stage, host.settings.address, route(streaming=streaming))
    verdict = judge(stage.journal)
    assert not verdict.violations and verdict.served == verdict.tries == verdict.runs == 1


def test_a_client_that_leaves_closes_its_connection_and_asks_no_more(stage):
    host = stage.host(prefill_tokens_per_ms=0.0001)
    asked = route(idempotent=True, tries=3)
    client = stage.keep(LoadClient(stage.loop, OneEdge(host.settings.address), stage.journal, [asked]))
    client.leave_share = 1.0
    client.ask(asked)
    stage.until(lambda: asked.name in client.served)
    (record,) = stage.journal.tries
    assert record.left and not record.cut_at and not record.complete and record.ended_at < record.deadline
    stage.until(lambda: not host.running)
    assert not judge(stage.journal).violations


def test_a_connection_that_the_other_side_closes_before_the_answer_is_noted(stage):
    host = stage.host(prefill_tokens_per_ms=0.0001)
    asked = route(tries=1)
    client = stage.keep(LoadClient(stage.loop, OneEdge(host.settings.address), stage.journal, [asked]))
    client.ask(asked)
    stage.until(lambda: host.running)
    host.crash()
    stage.until(lambda: asked.name in client.served)
    (record,) = stage.journal.tries
    assert 0 < record.cut_at <= record.ended_at < record.deadline and not record.left
    assert record.taken_by == host.settings.address[0]
    assert stage.journal.runs[0].broken_off


def raw_stream(stage, host, generated=1000):
    """A prompt on a plain connection, whose answer is read as it comes."""
    lines = ["POST /p/x HTTP/1.1", "Host: h", "Hopsail-Attempt-Id: a1", f"Hopsail-Model: {MODEL}"]
    lines += [f"Hopsail-Token-Count: 10,{generated}", "Content-Length: 0"]
    peer = RawPeer(stage, socket.create_connection(host.settings.address))
    return peer.send(("\r\n".join(lines) + "\r\n\r\n").encode())


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_a_host_crashes_within_an_event_and_its_connections_end_in_order(stage, share):
    host = stage.host(step_ms=50, unframed_share=share)
    peer = raw_stream(stage, host)

    def has_two_events():
        peer.read()
        return peer.got.count(b"\n\n") > 1

    stage.until(has_two_events)
    host.crash()
    got = peer.ends()
    assert not peer.reset and (b"chunked" in got) == (share == 0.0)
    assert b"id: " in got.rpartition(b"\n\n")[2] and stage.journal.runs[0].broken_off


def test_a_stream_without_a_length_ends_with_its_connection(stage):
    peer = raw_stream(stage, stage.host(unframed_share=1.0), generated=5)
    got = peer.ends()
    assert not peer.reset and b"chunked" not in got
    assert got.endswith(b"\n\n") and stage.journal.runs[0].complete


def test_a_stream_without_a_length_whose_time_is_over_is_reset(stage):
    host = stage.host(step_ms=50, unframed_share=1.0)
    peer = raw_stream(stage, host).receives(b"data: ")
    (work,) = host.running
    host._late(work)
    peer.ends()
    assert peer.reset


def test_a_connection_that_never_came_up_was_not_cut(stage):
    asked = route(tries=1)
    client = stage.keep(LoadClient(stage.loop, OneEdge(free_address()), stage.journal, [asked]))
    client.ask(asked)
    stage.until(lambda: asked.name in client.served)
    (record,) = stage.journal.tries
    assert record.ended_at and not record.cut_at


def test_large_bodies_reach_the_host_whole(stage):
    host = stage.host()
    client = stage.keep(LoadClient(stage.loop, OneEdge(host.settings.address), stage.journal, [route()]))
    client.large_share = 1.0
    client.ask(route())
    stage.until(lambda: client.served)
    verdict = judge(stage.journal)
    assert not verdict.violations and verdict.served == 1


def test_a_client_honours_promises_and_tries_again_with_an_id_of_its_own(stage):
    control = Control(stage, told(503, [("retry-after", "0.01")]), told(429), told(404))
    load(stage, control.address, route(tries=5))
    assert [one.status for one in stage.journal.tries] == [503, 429, 404]
    assert len({asked.header("hopsail-attempt-id") for asked in control.asked}) == 3


@pytest.mark.parametrize("idempotent, tries", [(True, 3), (False, 1)])
def test_what_may_have_run_is_repeated_only_if_it_may_be(stage, idempotent, tries):
    load(stage, Control(stage, told(502)).address, route(idempotent=idempotent, tries=3))
    assert len(stage.journal.tries) == tries


ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nhopsail-attempt-id: %s\r\nhopsail-server-seal: %s\r\n"


class RawConnection(Stream):
    """Answers one request with bytes as they are, and closes."""

    def __init__(self, loop, sock, answer):
        self.answer, self.asked = answer, b""
        super().__init__(loop, sock)

    def received(self, data):
        self.asked += data
        if b"\r\n\r\n" in self.asked and self.answer is not None:
            answer, self.answer = self.answer, None
            attempt = self.asked.lower().split(b"hopsail-attempt-id: ")[1].split(b"\r\n")[0]
            self.write(answer(attempt))
            self.sock.shutdown(socket.SHUT_WR)


class RawServer:
    """Answers each request with `answer(attempt)`."""

    def __init__(self, stage, answer):
        self.address, self.answer, self.loop = free_address(), answer, stage.loop
        self.connections = []
        self.sock = socket.create_server(self.address)
        self.sock.setblocking(False)
        stage.loop.watch(self.sock, READ, self._accept)
        stage.keep(self)

    def _accept(self, _):
        sock, _ = self.sock.accept()
        self.connections.append(RawConnection(self.loop, sock, self.answer))

    def close(self):
        self.loop.unwatch(self.sock)
        self.sock.close()
        for connection in self.connections:
            connection.close()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def events(*bounds, run="i-1-1"):
    return [event_of(run, first, last) for first, last in bounds]


GOOD = events((1, 2), (3, 5), (6, 9))


def streamed(pieces, attempt, end=b"0\r\n\r\n", head=ANSWER_HEAD, more=b""):
    seal = seal_of(attempt.decode(), "i-1-1", 1, 9).encode()
    filled = head % (attempt, seal) if b"%s" in head else head
    return filled + b"transfer-encoding: chunked\r\n\r\n" + b"".join(map(chunk, pieces)) + end + more


NO_SEAL = ANSWER_HEAD.replace(b"hopsail-server-seal: %s", b"x-other: %s")
ENCODED = ANSWER_HEAD + b"content-encoding: gzip\r\n"
FOREIGN_ID = ANSWER_HEAD.replace(b"attempt-id: %s", b"attempt-id: 0%s")


@pytest.mark.parametrize(
    "answer, rules",
    [
        (lambda attempt: streamed(GOOD, attempt), set()),
        (lambda attempt: streamed([b"".join(GOOD)], attempt), set()),
        (lambda attempt: streamed([bytes([one]) for one in b"".join(GOOD)], attempt), set()),
        (lambda attempt: streamed(GOOD[:2], attempt, end=b""), set()),  # cut, and looks so
        (lambda attempt: streamed(GOOD[:2], attempt), {Rule.ORDER}),
        (lambda attempt: streamed([GOOD[0], GOOD[2]], attempt), {Rule.ORDER}),
        (lambda attempt: streamed([GOOD[0], *GOOD], attempt), {Rule.ORDER}),
        (lambda attempt: streamed([GOOD[1], GOOD[0], GOOD[2]], attempt), {Rule.ORDER}),
        (lambda attempt: streamed([*GOOD[:2], *events((6, 9), run="i-2-1")], attempt), {Rule.ORDER}),
        (lambda attempt: streamed(events((1, 9), run="i-2-1"), attempt), {Rule.MIXED}),
        (lambda attempt: streamed([*GOOD[:2], GOOD[2][:-1]], attempt), {Rule.MIXED, Rule.ORDER}),
        (lambda attempt: streamed([*GOOD, b"more"], attempt), {Rule.MIXED}),
        (lambda attempt: streamed([b"x\n\n", *GOOD], attempt), {Rule.MIXED}),
        (lambda attempt: streamed(GOOD, attempt, head=NO_SEAL), {Rule.MIXED}),
        (lambda attempt: streamed(GOOD, attempt, head=FOREIGN_ID), {Rule.MIXED}),
        (lambda attempt: streamed(GOOD, attempt, more=b"HTTP/1.1 200 OK\r\n\r\n"), {Rule.MIXED}),
        (lambda attempt: streamed(GOOD, attempt, head=ENCODED), {Rule.MIXED}),
        (lambda attempt: b"bytes that are no answer\r\n\r\n", {Rule.MIXED}),
        (lambda attempt: b"", set()),
    ],
)  # fmt: skip
def test_each_changed_message_of_an_answer_is_found(stage, answer, rules):
    load(stage, RawServer(stage, answer).address, route(tries=1))
    [record] = stage.journal.tries
    assert {violation.rule for violation in record.faults} == rules


def test_connections_are_used_again_and_bytes_that_no_request_waits_for_are_found(stage):
    host = stage.host()
    client = load(stage, host.settings.address, route())
    [kept] = client.keeper.idle
    for count in range(2, 30):
        client.ask(client.routes[0])
        stage.until(lambda: client.served["r"] == count)  # noqa: B023
    assert len(host.server.connections) < 29 and not judge(stage.journal).violations
    kept = client.keeper.idle[0]
    kept.received(b"HTTP/1.1 200 OK\r\n\r\n")
    assert judge(stage.journal).by_rule == {"MIXED": 1} and not kept.open


def test_a_connection_that_is_to_close_or_has_stood_idle_is_not_used_again(stage):
    host = stage.host()
    client = load(stage, host.settings.address, route())
    client.keeper.idle[0].idle_until = 0
    assert client.keeper.take(host.settings.address).dialing and not client.keeper.idle
    host.drain()
    client.ask(client.routes[0])
    stage.until(lambda: client.served["r"] == 2)
    assert not client.keeper.idle


def test_a_stream_joined_from_two_runs_is_well_only_where_it_may_be_resumed():
    for idempotent in (True, False):
        record = Try("a1", "POST", "/p/x", "h", "", "", idempotent, True, 0)
        check = StreamCheck(Loop(), record, 0, 9)
        check.head(200, {"hopsail-server-seal": seal_of("a1", "i-1-1", 1, 9)})
        check.data(b"".join(GOOD[:2]) + event_of("i-2-1", 6, 9))
        check.complete()
        assert bool(record.faults) is not idempotent


@pytest.mark.parametrize("body", [plain_body("i-1-1", 3)[:-1], plain_body("i-1-1", 3) + b"x", b""])
def test_a_plain_body_must_be_whole(body):
    record = Try("a1", "POST", "/p/x", "h", "", "", True, False, 0)
    check = StreamCheck(Loop(), record, 0, 9)
    check.head(200, {"hopsail-server-seal": seal_of("a1", "i-1-1", 1, 3)})
    check.data(body)
    check.complete()
    assert [violation.rule for violation in record.faults] == [Rule.MIXED]


def test_a_load_is_the_same_for_the_same_seed():
    def drawn(seed):
        client = LoadClient(Loop(), OneEdge(None), Journal(), [route()], seed=seed)
        return [client_module._Asking(client, client.routes[0], 3).target for _ in range(5)]

    assert drawn("1") == drawn("1") != drawn("2")


# The judge.


def run(attempt="a1", identifier="i-1-1", **more):
    given = {"identifier": identifier, "attempt": attempt, "instance": "i-1", "service": "s",
             "method": "POST", "target": "/p/x", "hostname": "h", "body_digest": "d", "tenant": "t",
             "model": MODEL, "revision": 1, "resumed_after": 0, "total": 9, "began_at": 0, "sent_up_to": 9,
             "complete": True}  # fmt: skip
    return Run(**given | more)


def try_of(attempt="a1", identifier="i-1-1", **more):
    given = {"attempt": attempt, "method": "POST", "target": "/p/x", "hostname": "h", "body_digest": "d",
             "tenant": "t", "idempotent": False, "streaming": True, "sent_at": 0, "status": 200,
             "complete": True, "seal": seal_of(attempt, identifier, 1, 9), "runs": [identifier]}  # fmt: skip
    return Try(**given | more)


def journal_of(runs, tries, arrivals=()):
    journal = Journal()
    journal.runs, journal.tries, journal.arrivals = list(runs), list(tries), list(arrivals)
    return journal


CONFIGURATIONS = [
    {"Revision": 1, "Routes": [{"Hostname": "h", "PathPrefix": "/p/", "Service": "s"}]},
    {"Revision": 2, "Routes": [{"Hostname": "h", "PathPrefix": "/", "TrafficSplit": [
        {"Service": "w", "Share": 1}, {"Service": "v", "Share": 0}]}]},
]  # fmt: skip
OTHER = Maker("u", MODEL, 1)


@pytest.mark.parametrize(
    "runs, tries, rules",
    [
        ([run()], [try_of()], set()),
        ([run()], [try_of(status=0, complete=False, seal="", runs=[])], set()),
        ([], [try_of(status=503, seal="", runs=[])], set()),
        ([run()], [], {Rule.UNASKED}),
        ([run(attempt="a2")], [try_of()], {Rule.UNASKED, Rule.MIXED}),
        ([run(method="PUT")], [try_of()], {Rule.UNASKED}),
        ([run(target="/p/x?y")], [try_of()], {Rule.UNASKED}),
        ([run(body_digest="e")], [try_of()], {Rule.UNASKED}),
        ([run(hostname="g")], [try_of()], {Rule.UNASKED, Rule.ROUTE}),
        ([run(tenant="u")], [try_of()], {Rule.UNASKED}),
        ([run(), run(identifier="i-2-1")], [try_of()], {Rule.TWICE}),
        ([run(), run(identifier="i-2-1")], [try_of(idempotent=True)], set()),
        ([run()], [try_of(status=503, seal="", runs=[])], {Rule.REFUSED}),
        ([run()], [try_of(status=429, seal="", runs=[])], {Rule.REFUSED}),
        ([run()], [try_of(status=503, seal="", runs=[], idempotent=True)], set()),
        ([run()], [try_of(identifier="i-3-1")], {Rule.MIXED}),
        ([run()], [try_of(runs=["i-1-1", "i-3-1"], idempotent=True)], {Rule.MIXED}),
        ([run(complete=False)], [try_of()], {Rule.ORDER}),
        ([run(complete=False)], [try_of(complete=False)], set()),
        ([run(complete=False), run(identifier="i-2-1", resumed_after=9)], [try_of(idempotent=True)], set()),
        (
            [run(complete=False), run(identifier="i-2-1", resumed_after=9, complete=False)],
            [try_of(idempotent=True)],
            {Rule.ORDER},
        ),
        (
            [run(complete=False), run(identifier="i-2-1", resumed_after=8)],
            [try_of(idempotent=True)],
            {Rule.ORDER},
        ),
        ([run(drew_on=[Maker("t", MODEL, 1), OTHER])], [try_of()], set()),
        ([run(drew_on=[Maker("t", MODEL, 2)])], [try_of()], {Rule.STALE}),
        ([run(drew_on=[Maker("t", "m2", 1)])], [try_of()], {Rule.STALE}),
        ([run(drew_on=[Maker("walled", MODEL, 1)])], [try_of()], {Rule.WALL}),
        ([run(tenant="walled", drew_on=[OTHER])], [try_of(tenant="walled")], {Rule.WALL}),
        ([run(tenant="walled", drew_on=[Maker("walled", MODEL, 1)])], [try_of(tenant="walled")], set()),
        ([run(service="w")], [try_of()], set()),
        ([run(service="v")], [try_of()], {Rule.ROUTE}),
    ],
)
def test_each_changed_record_breaks_its_rule(runs, tries, rules):
    verdict = judge(journal_of(runs, tries), CONFIGURATIONS, ["walled"])
    assert {violation.rule for violation in verdict.violations} == rules
    assert bool(verdict.by_rule) == bool(rules) and verdict.lines()


@pytest.mark.parametrize("late, status, broken", [(3000, 0, 0), (3001, 0, 1), (3001, 421, 0), (3001, 503, 1)])
def test_arrivals_after_the_drain_time_are_found(late, status, broken):
    arrival = Arrival("a1", "i-1", "s", late * MS + 7, status, 7)
    assert (
        judge(journal_of([], [], [arrival, arrival._replace(draining_shown_at=None)])).by_rule.get("DRAIN", 0)
        == broken
    )


def test_faults_that_clients_found_are_in_the_verdict():
    one = try_of()
    one.faults.append((Rule.ORDER, "a1", "x"))
    verdict = judge(journal_of([run()], [one]))
    assert len(verdict.violations) == 1


def test_records_that_were_cut_off_are_no_verdict(monkeypatch):
    monkeypatch.setattr("hopsail.standins.records.MOST_RECORDS", 1)
    journal = Journal()
    for _ in range(2):
        journal.add(journal.runs, run())
    assert len(journal.runs) == 1 and judge(journal).cut_off


def test_the_longest_prefix_gives_the_service():
    both = {"Routes": [*CONFIGURATIONS[0]["Routes"], *CONFIGURATIONS[1]["Routes"]]}
    assert services_of(both, "h", "/p/x?q=/") == {"s"} and services_of(both, "h", "/q") == {"w"}
    assert services_of(both, "g", "/p/x") == set()


# The whole.


def test_the_settings_files_are_read_by_the_real_programs():
    around = Surroundings({"z": "r"}, [("127.0.0.1", 8169)], ("127.0.0.2", 8161))
    edge = parse_settings(settings_text(Machine("e1", EDGE, "127.0.0.3", "z"), around))
    core = parse_settings(settings_text(Machine("c1", CORE, "127.0.0.4", "z", "/tmp/x", False), around))
    assert edge.frontend == ("127.0.0.3", 8167) and edge.control_plane is None and edge.serves == ("edge",)
    assert core.control_plane == ("127.0.0.4", 8169) and core.data_path == "/tmp/x" and not core.bootstrap
    assert edge.seeds == (("127.0.0.1", 8169),) and edge.platform == ("127.0.0.2", 8161) and edge.bootstrap
    assert core.quorum_member and not edge.quorum_member and core.bounds.drain_ms == 3000


def test_the_trials_configuration_is_valid_and_clients_ask_what_it_allows(tmp_path):
    fleet = Fleet(tmp_path, edges=1, cores=1, hosts=2)
    try:
        routes = [route_item("a", "/a/", resumable=True), route_item("b", "/b/", resumable=False)]
        whole = parse_configuration(json.dumps(fleet.configuration(5, routes)).encode())
        check_configuration(whole, 0)
        for tenant in TENANTS:
            asked = load_of(routes[1], tenant, 1.0)
            assert services_of(whole, asked.hostname, asked.prefix + "x") == {"llm"}
            assert asked.key in tenant["ApiKeys"] and not asked.idempotent
        assert len(fleet.platform.entries) == 2 and not fleet.verdict().violations
        leaving = fleet.hosts[0]
        leaving.crash()
        leaving.close()
    finally:
        fleet.close()
