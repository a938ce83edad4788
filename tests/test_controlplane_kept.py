"""What hosts and stores keep, as it is read and fed on: events, gaps, restarts, bounds, bad answers."""

import json
from types import SimpleNamespace

import pytest

from hopsail.configuration.route_table import RouteTable
from hopsail.controlplane import prefix_cache_reader
from hopsail.controlplane.prefix_cache_reader import (
    HOST_INTERVAL_NS,
    MIN_TOKENS,
    STORE_INTERVAL_NS,
    PrefixCacheReader,
)
from hopsail.controlplane.shards import SHARD_COUNT, shard_of_service
from hopsail.feed.journal import Journal
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, Phase
from hopsail.http.message import Response
from hopsail.net.counters import Counters

MANY = MIN_TOKENS + 88
HOST, STORE = "i-1", "10.9.0.2:8165"
SERVICES = [
    {"Name": "s-a", "Runtime": {"Models": [{"Name": "m-1"}]}},
    {"Name": "s-plain"},
    {"Name": "s-store", "StoreAddr": STORE},
]


class Plane:
    """What the reader needs of its process; calls are noted, time stands still."""

    def __init__(self, services=SERVICES, max_entries: int = 10_000):
        self.now = 1_000_000_000
        self.loop = SimpleNamespace(now=lambda: self.now)
        self.journal = Journal(1, max_entries)
        self.counters = Counters("test")
        self.http = SimpleNamespace(call=self._call)
        self.calls: list[tuple[tuple, str, object]] = []
        self.hosts = {HOST: self._host(HOST, "s-a", 1)}
        self.shards = [
            SimpleNamespace(leads=True, replica=SimpleNamespace(term=3)) for _ in range(SHARD_COUNT)
        ]
        self.platform = SimpleNamespace(view=SimpleNamespace(by_service=self._by_service))
        self.configure(services)
        self.look = None
        self.reader = PrefixCacheReader(self)

    def configure(self, services) -> None:
        self.table = RouteTable({"Revision": 1, "Routes": [], "Services": services})

    @staticmethod
    def _host(name: str, service: str, number: int, phase=Phase.SERVING):
        return SimpleNamespace(
            identifier=name, service=service, address=Address(f"10.0.0.{number}", 8080), phase=phase
        )

    def _by_service(self, service: str):
        return [host for host in self.hosts.values() if host.service == service]

    def after(self, _milliseconds, act) -> None:
        self.look = act

    def _call(self, address, method, path, timeout, done) -> None:
        assert method == "GET"
        self.calls.append((address, path, done))

    def turn(self, nanoseconds: int = 0) -> list[tuple[tuple, str, object]]:
        """The calls that the reader makes after so much time."""
        self.now += nanoseconds
        self.calls = []
        self.look()
        return self.calls

    def answer(
        self, body, status: int = 200, address=("10.0.0.1", 8080), after: int = HOST_INTERVAL_NS
    ) -> str:
        """Answers the next call to a holder; the path that was asked."""
        done, path = next((done, path) for asked, path, done in self.turn(after) if asked == address)
        if body is None:
            done(None)
        else:
            data = body if type(body) is bytes else json.dumps(body).encode()
            done(Response(status, [], data))
        return path

    def kept(self) -> dict[str, int]:
        changes = self.journal.snapshot([Topic.PREFIX_CACHE])
        return {change.key: int(change.value) for change in changes}


def events(*log, incarnation: int = 5, next_token: int | None = None, missing: bool = False) -> dict:
    last = log[-1][0] if log else 0
    token = last if next_token is None else next_token
    return {"Incarnation": incarnation, "NextToken": token, "Missing": missing, "EventLog": list(log)}


def plus(number: int, part: str, tokens: int = MANY, salt: str = "s1") -> list:
    return [number, "+", salt, part, tokens, "m-1"]


def minus(number: int, part: str, tokens: int = 0, salt: str = "s1") -> list:
    return [number, "-", salt, part, tokens, "m-1"]


@pytest.fixture
def plane() -> Plane:
    return Plane()


# Events.


def test_events_are_fed_on_and_the_next_call_goes_on_after_them(plane):
    assert plane.answer(events(plus(1, "aa"), plus(2, "bb", MANY + 1))) == "/-/kv-events?Since=0"
    assert plane.kept() == {f"{HOST} s1 aa": MANY, f"{HOST} s1 bb": MANY + 1}
    assert plane.answer(events(minus(3, "aa"))) == "/-/kv-events?Since=2"
    assert plane.kept() == {f"{HOST} s1 bb": MANY + 1}
    assert plane.answer(events(next_token=3)) == "/-/kv-events?Since=3"


def test_the_tokens_kept_now_count_whatever_the_sign(plane):
    plane.answer(events(plus(1, "aa", 2000), minus(2, "aa", 900)))
    assert plane.kept() == {f"{HOST} s1 aa": 900}
    plane.answer(events(minus(3, "aa", MIN_TOKENS - 1)))
    assert plane.kept() == {}


def test_small_parts_and_those_without_salt_are_not_fed_on(plane):
    plane.answer(events(plus(1, "aa", MIN_TOKENS - 1), plus(2, "bb", salt=""), plus(3, "cc", MIN_TOKENS)))
    assert plane.kept() == {f"{HOST} s1 cc": MIN_TOKENS}


def test_the_same_part_under_two_salts_is_two_entries(plane):
    plane.answer(events(plus(1, "aa"), plus(2, "aa", salt="s2")))
    plane.answer(events(minus(3, "aa")))
    assert plane.kept() == {f"{HOST} s2 aa": MANY}


def test_a_salt_with_a_space_cannot_be_told_apart_and_is_dropped(plane):
    plane.answer(events(plus(1, "aa", salt="s 1"), plus(2, "a a")))
    assert plane.kept() == {}


# Gaps and restarts.


def test_after_a_gap_only_what_came_with_it_is_known(plane):
    plane.answer(events(plus(1, "aa"), plus(2, "bb")))
    plane.answer(events(plus(9, "cc"), missing=True))
    assert plane.kept() == {f"{HOST} s1 cc": MANY}
    assert plane.answer(events()) == "/-/kv-events?Since=9"


def test_a_new_incarnation_is_read_from_its_beginning(plane):
    plane.answer(events(plus(1, "aa"), plus(40, "bb")))
    assert plane.answer(events(incarnation=6, next_token=3)) == "/-/kv-events?Since=40"
    assert plane.kept() == {}
    again = events(plus(1, "cc"), plus(2, "dd"), minus(3, "dd"), incarnation=6)
    assert plane.answer(again) == "/-/kv-events?Since=0"
    assert plane.kept() == {f"{HOST} s1 cc": MANY}
    assert plane.answer(events(incarnation=6, next_token=3)) == "/-/kv-events?Since=3"


def test_the_first_answer_is_no_restart(plane):
    plane.answer(events(plus(1, "aa")))
    assert plane.answer(events(plus(2, "bb"))) == "/-/kv-events?Since=1"
    assert len(plane.kept()) == 2


def test_two_incarnations_after_one_another(plane):
    for incarnation in (5, 6, 7):
        plane.answer(events(plus(1, f"p{incarnation}"), incarnation=incarnation))
    assert plane.kept() == {f"{HOST} s1 p7": MANY}


# Holders that come and go.


def test_a_holder_that_goes_takes_its_entries_along(plane):
    plane.answer(events(plus(1, "aa")))
    plane.hosts.clear()
    plane.turn()
    assert (plane.kept(), HOST in plane.reader.sources) == ({}, False)


def test_a_draining_host_is_no_holder(plane):
    plane.answer(events(plus(1, "aa")))
    plane.hosts[HOST].phase = Phase.DRAINING
    plane.turn()
    assert plane.kept() == {}


def test_an_answer_that_comes_after_its_holder_has_gone_counts_for_nothing(plane):
    ((_, _, done), *_) = plane.turn(HOST_INTERVAL_NS)
    plane.hosts.clear()
    plane.turn()
    done(Response(200, [], json.dumps(events(plus(1, "aa"))).encode()))
    assert plane.kept() == {}


def test_an_answer_to_an_earlier_holder_of_the_name_counts_for_nothing(plane):
    ((_, _, done), *_) = plane.turn(HOST_INTERVAL_NS)
    host = plane.hosts.pop(HOST)
    plane.turn()
    plane.hosts[HOST] = host
    plane.turn()
    done(Response(200, [], json.dumps(events(plus(1, "aa"))).encode()))
    assert plane.kept() == {}


def test_only_services_whose_part_is_led_here_are_read(plane):
    plane.answer(events(plus(1, "aa")))
    plane.shards[shard_of_service("s-a")].leads = False
    assert all(address != ("10.0.0.1", 8080) for address, _, _ in plane.turn(HOST_INTERVAL_NS))
    assert plane.kept() == {}
    plane.shards[shard_of_service("s-a")].leads = True
    assert plane.answer(events(plus(1, "aa"))) == "/-/kv-events?Since=0"


def test_hosts_without_models_are_not_read(plane):
    plane.hosts = {"i-2": plane._host("i-2", "s-plain", 2)}
    assert [address for address, _, _ in plane.turn(HOST_INTERVAL_NS)] == [("10.9.0.2", 8165)]


def test_a_store_is_told_up_and_down_and_forgotten(plane):
    address = ("10.9.0.2", 8165)
    plane.answer(events(plus(1, "aa")), address=address, after=STORE_INTERVAL_NS)
    assert plane.journal.get(Topic.STORE, "s-store") == b"3 up"
    assert plane.kept() == {f"{STORE} s1 aa": MANY}
    plane.answer(None, address=address, after=STORE_INTERVAL_NS)
    assert plane.journal.get(Topic.STORE, "s-store") == b"3 down"
    plane.configure(SERVICES[:2])
    plane.turn()
    assert plane.journal.get(Topic.STORE, "s-store") is None
    assert plane.kept() == {}


def test_a_store_that_passes_to_another_service_starts_anew(plane):
    address = ("10.9.0.2", 8165)
    plane.answer(events(plus(1, "aa")), address=address, after=STORE_INTERVAL_NS)
    plane.configure([{"Name": "s-other", "StoreAddr": STORE}])
    assert (
        plane.answer(events(plus(1, "aa")), address=address, after=STORE_INTERVAL_NS)
        == "/-/kv-events?Since=0"
    )
    assert plane.journal.get(Topic.STORE, "s-store") is None
    assert plane.journal.get(Topic.STORE, "s-other") == b"3 up"


def test_a_store_without_a_usable_address_is_passed_over(plane):
    plane.configure([{"Name": "s-store", "StoreAddr": "nowhere"}, SERVICES[0]])
    assert [address for address, _, _ in plane.turn(HOST_INTERVAL_NS)] == [("10.0.0.1", 8080)]


# Pace.


def test_hosts_and_stores_are_read_at_their_paces(plane):
    plane.turn(HOST_INTERVAL_NS)
    assert plane.turn(STORE_INTERVAL_NS - 1) == []
    assert [address for address, _, _ in plane.turn(1)] == [("10.9.0.2", 8165)]
    assert len(plane.turn(HOST_INTERVAL_NS)) == 2


# Bad answers, one fault at a time.

GOOD = events(plus(2, "bb"))
BAD = {
    "no answer": (None, 200),
    "another status": (GOOD, 429),
    "no JSON": (b"{", 200),
    "not UTF-8": (b"\xff\xfe", 200),
    "deep": (b"[" * 100_000, 200),
    "a list": ([], 200),
    "null": (b"null", 200),
    "no incarnation": ({key: GOOD[key] for key in GOOD if key != "Incarnation"}, 200),
    "no token": ({key: GOOD[key] for key in GOOD if key != "NextToken"}, 200),
    "no log": ({key: GOOD[key] for key in GOOD if key != "EventLog"}, 200),
    "no missing": ({key: GOOD[key] for key in GOOD if key != "Missing"}, 200),
    "a token of null": ({**GOOD, "NextToken": None}, 200),
    "a token without end": (
        json.dumps(GOOD).replace('"NextToken": 2', '"NextToken": Infinity').encode(),
        200,
    ),
    "an incarnation of NaN": (json.dumps(GOOD).replace(": 5", ": NaN").encode(), 200),
    "a log of null": ({**GOOD, "EventLog": None}, 200),
}


@pytest.mark.parametrize(("body", "status"), BAD.values(), ids=BAD)
def test_a_bad_answer_changes_nothing(plane, body, status):
    plane.answer(events(plus(1, "aa")))
    plane.answer(body, status=status)
    assert plane.kept() == {f"{HOST} s1 aa": MANY}
    assert plane.answer(events(plus(2, "bb"))) == "/-/kv-events?Since=1"
    assert len(plane.kept()) == 2


BAD_EVENTS = {
    "null": "null",
    "a number": "7",
    "text": '"abcdef"',
    "a field too few": '[2, "+", "s1", "zz", 900]',
    "a field too many": '[2, "+", "s1", "zz", 900, "m-1", 1]',
    "tokens of null": '[2, "+", "s1", "zz", null, "m-1"]',
    "tokens of text": '[2, "+", "s1", "zz", "many", "m-1"]',
    "tokens without end": '[2, "+", "s1", "zz", Infinity, "m-1"]',
    "tokens of NaN": '[2, "+", "s1", "zz", NaN, "m-1"]',
    "a salt of null": '[2, "+", null, "zz", 900, "m-1"]',
    "a salt that is a list": '[2, "+", ["s1"], ["zz"], 900, "m-1"]',
    "a part beyond ASCII": '[2, "+", "s1", "\\ud800", 900, "m-1"]',
    "a part that is a number": '[2, "+", "s1", 5, 900, "m-1"]',
}


@pytest.mark.parametrize("text", BAD_EVENTS.values(), ids=BAD_EVENTS)
def test_a_bad_event_is_passed_over_and_the_others_are_taken(plane, text):
    body = json.dumps(events(plus(1, "aa"), "BAD", plus(3, "cc"))).replace('"BAD"', text)
    plane.answer(body.encode())
    assert plane.kept() == {f"{HOST} s1 aa": MANY, f"{HOST} s1 cc": MANY}
    assert plane.counters.counts["kept.unreadable"] == 1
    assert set(plane.reader.sources[HOST].entries) == set(plane.kept())


# Bounds.


def test_a_holders_entries_are_bounded_and_the_oldest_go(plane, monkeypatch):
    monkeypatch.setattr(prefix_cache_reader, "MAX_ENTRIES_PER_SOURCE", 3)
    plane.answer(events(*[plus(number, f"p{number}") for number in range(1, 6)]))
    assert list(plane.kept()) == [f"{HOST} s1 p{number}" for number in (3, 4, 5)]
    plane.answer(events(plus(6, "p3"), plus(7, "p7")))  # told again, a part is among the newest
    assert set(plane.kept()) == {f"{HOST} s1 p{number}" for number in (5, 3, 7)}


def test_all_entries_together_are_bounded_and_leave_room_for_other_topics(monkeypatch):
    monkeypatch.setattr(prefix_cache_reader, "MAX_ENTRIES", 20)
    plane = Plane(max_entries=30)
    plane.hosts = {f"i-{number}": plane._host(f"i-{number}", "s-a", number) for number in range(1, 6)}
    for address, _, done in plane.turn(HOST_INTERVAL_NS):
        log = [plus(number, f"p{number}-{address[0]}") for number in range(1, 20)]
        done(Response(200, [], json.dumps(events(*log)).encode()))
    assert 0 < len(plane.kept()) <= 20
    for holder in plane.reader.sources.values():
        assert plane.reader.index.since(holder.name) == 19  # nothing was given up half-way
    plane.journal.set(Topic.CONFIGURATION, "revision", b"2")
