"""The end of a control process: what it waits for, and until when.

Alone, with stand-ins and a clock that the test sets; and whole processes on loopback addresses."""

import json
from types import SimpleNamespace

import pytest
from test_controlplane_processes import DOOR, SECOND, content, make_cluster, put  # noqa: F401
from request_journey import MILLISECOND, Clock, ClientSide

from hopsail.controlplane.messages import COMMAND, CommandCall, CommandReply
from hopsail.controlplane.operator import OperatorCalls
from hopsail.controlplane.plane import ControlPlane
from hopsail.controlplane.stopping import (
    ANSWERS_MARGIN_MS,
    CLOSE_MARGIN_MS,
    REPLICATION_MARGIN_MS,
    LAST_CALLS_MARGIN_MS,
    MIN_DURATION_MS,
    STEP_INTERVAL_MS,
    Ending,
)
from hopsail.feed.messages import POLL, PollReply, PollRequest
from hopsail.feed.topics import SOFT_TOPICS
from hopsail.http.client import HttpClient
from hopsail.http.message import Request
from hopsail.http.server import Exchange
from hopsail.net.counters import Counters
from hopsail.net.loop import Loop
from hopsail.process import SETTINGS_VARIABLE
from hopsail.replication.state import Members

GRACE_MS = 8000
ME, OTHER, THIRD = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


class StandInPart:
    """A shard whose leader the test names."""

    def __init__(self, leader=OTHER, voters=(ME, OTHER, THIRD)):
        self.replica = SimpleNamespace(
            leader=leader,
            members=Members(voters),
            is_voter=ME in voters,
            transfer=self.transfer,
            leave=self.leave,
            may_leave=lambda now: not self.needed,
        )
        self.transfers, self.pumps, self.successor = [], 0, None
        self.left_at, self.needed = None, False

    def leave(self, now):
        self.left_at = now

    @property
    def leads(self):
        return self.replica.leader == ME

    def transfer(self, now, successor):
        assert successor is None
        self.transfers.append(now)
        if self.successor is not None:
            self.replica.leader = None  # until the successor is heard of

    def pump(self):
        self.pumps += 1


class StandInDoor:
    def __init__(self):
        self.busy, self.connections = 0, []
        self.draining = self.is_shut = self.closed = False

    def drain(self):
        self.draining = True

    def shut(self):
        self.is_shut = True

    def close(self):
        self.closed = True


class StandInRpc:
    def __init__(self):
        self.calls, self.closed = [], False

    def calls_in_flight(self, besides):
        return sum(method not in besides for method in self.calls)

    def close(self):
        self.closed = True


class Stage:
    """An end with all that it looks at."""

    def __init__(self, *shards, grace_ms=GRACE_MS):
        self.loop, self.door, self.rpc = Clock(), StandInDoor(), StandInRpc()
        self.shards = shards or (StandInPart(),)
        self.releases, self.finished = 0, False
        publisher = SimpleNamespace(stop_parking=self.release)
        self.ending = Ending(
            self.loop, ME, self.shards, self.door, self.rpc, publisher, grace_ms, self.finish
        )
        self.told_at = self.loop.now()
        self.ending.step()

    def release(self):
        self.releases += 1

    def finish(self):
        assert not self.finished and self.door.closed and self.rpc.closed
        self.finished = True

    def until(self, milliseconds):
        """Sets the time to so long after the SIGTERM."""
        until = self.told_at + milliseconds * MILLISECOND
        while self.loop.now() < until:
            self.loop.forward(min(until - self.loop.now(), 5 * MILLISECOND))
        return self

    def stays(self):
        """Whether it is still there shortly before it would be killed, and ends then."""
        self.until(GRACE_MS - CLOSE_MARGIN_MS - 1)
        assert not self.finished
        self.until(GRACE_MS - CLOSE_MARGIN_MS + STEP_INTERVAL_MS)
        return self.finished


SOON = MIN_DURATION_MS + 5 * STEP_INTERVAL_MS


def test_a_process_that_leads_nothing_ends_soon():
    stage = Stage().until(MIN_DURATION_MS - 1)
    assert stage.door.draining and not stage.door.is_shut and not stage.finished
    stage.until(SOON)
    assert stage.finished and stage.releases == 1


def test_it_ends_once_it_has_heard_of_a_successor():
    shard = StandInPart(leader=ME)
    shard.successor = OTHER
    stage = Stage(StandInPart(), shard).until(3000)
    assert not shard.leads and shard.pumps and not stage.finished
    shard.replica.leader = OTHER
    stage.until(3000 + 3 * STEP_INTERVAL_MS)
    assert stage.finished


def test_it_stays_while_it_leads_as_long_as_it_may():
    shard = StandInPart(leader=ME)
    stage = Stage(shard)
    assert stage.stays() and len(shard.transfers) > 100


def test_it_stays_while_it_is_needed_for_a_majority():
    free, needed = StandInPart(), StandInPart()
    needed.needed = True
    stage = Stage(free, needed)
    assert free.left_at == needed.left_at == stage.told_at
    assert not stage.until(GRACE_MS - REPLICATION_MARGIN_MS - 1).finished
    needed.needed = False
    assert stage.until(GRACE_MS - REPLICATION_MARGIN_MS - 1 + 3 * STEP_INTERVAL_MS).finished


def test_what_only_it_holds_is_not_waited_for_until_it_is_killed():
    shard = StandInPart()
    shard.needed = True
    stage = Stage(shard).until(GRACE_MS - REPLICATION_MARGIN_MS - 1)
    assert not stage.finished
    assert stage.until(GRACE_MS - REPLICATION_MARGIN_MS + 4 * STEP_INTERVAL_MS).finished


def test_it_stays_while_nobody_leads_as_long_as_it_may():
    assert Stage(StandInPart(leader=None)).stays()


def test_it_stays_without_a_leader_while_the_others_may_need_its_vote():
    """A change that takes its vote away is under way: until it is committed the old voters elect too."""
    shard = StandInPart(leader=None, voters=(OTHER, THIRD))
    shard.replica.is_voter = True
    stage = Stage(shard).until(GRACE_MS // 2)
    assert not stage.finished
    shard.replica.is_voter = False
    assert stage.until(GRACE_MS // 2 + SOON).finished


@pytest.mark.parametrize("voters", [(OTHER, THIRD), (ME,), ()])
def test_nobody_waits_for_a_process_that_does_not_vote_or_is_alone(voters):
    stage = Stage(StandInPart(leader=ME if voters == (ME,) else None, voters=voters)).until(SOON)
    assert stage.finished


def test_what_it_holds_may_keep_it(monkeypatch):
    """`may_end` is the place of further conditions."""
    monkeypatch.setattr(Ending, "may_end", lambda self: False)
    stage = Stage()
    assert stage.stays()


def test_an_operators_call_is_waited_for():
    stage = Stage()
    stage.door.busy, stage.door.connections = 1, ["one"]
    stage.until(1000)
    assert not stage.door.is_shut
    stage.door.busy = 0
    stage.until(1100)
    assert stage.door.is_shut and not stage.finished  # its connection has not ended
    stage.door.connections = []
    stage.until(1200)
    assert stage.finished


def test_a_forwarded_command_is_waited_for():
    stage = Stage()
    stage.rpc.calls = [POLL, COMMAND]
    stage.until(3000)
    assert not stage.finished
    stage.rpc.calls = [POLL]
    stage.until(3100)
    assert stage.finished


def test_a_new_leader_that_fails_at_once_is_waited_for_again():
    shard = StandInPart()
    stage = Stage(shard)
    stage.door.connections = ["one"]
    stage.until(SOON)
    assert stage.door.is_shut
    shard.replica.leader, stage.door.connections = None, []
    stage.until(3000)
    assert not stage.finished
    shard.replica.leader = ME  # it was elected again
    stage.until(3100)
    assert shard.transfers and not stage.finished
    shard.replica.leader = THIRD
    stage.until(3200)
    assert stage.finished


def test_polls_are_answered_before_the_end():
    stage = Stage()
    for milliseconds in range(SOON):
        if stage.until(milliseconds).releases:
            break
    assert stage.releases and not stage.rpc.closed  # they have time to go out
    stage.until(SOON)
    assert stage.rpc.closed and stage.releases == 1


def test_operators_connections_end_shortly_before_the_kill():
    stage = Stage(StandInPart(leader=None))
    stage.door.busy, stage.door.connections = 1, ["one"]
    stage.until(GRACE_MS - ANSWERS_MARGIN_MS - 1)
    assert not stage.door.is_shut
    stage.until(GRACE_MS - ANSWERS_MARGIN_MS + STEP_INTERVAL_MS)
    assert stage.door.is_shut and stage.stays()


def test_calls_are_taken_as_long_as_they_can_be_answered():
    stage = Stage(StandInPart(leader=ME)).until(GRACE_MS - LAST_CALLS_MARGIN_MS - 1)
    assert stage.ending.takes_calls
    stage.until(GRACE_MS - LAST_CALLS_MARGIN_MS)
    assert not stage.ending.takes_calls


@pytest.mark.parametrize("takes", [None, True, False])
def test_a_call_that_comes_too_late_is_refused_at_once(takes):
    carried_out = []
    plane = SimpleNamespace(ending=None if takes is None else SimpleNamespace(takes_calls=takes))
    control = SimpleNamespace(read_configuration=lambda done: carried_out.append(done))
    plane.operator = OperatorCalls(control, Counters("n"))
    client = ClientSide(Clock())
    client.draining = True
    exchange = Exchange(client, Request("GET", "/-/config", [], b""))
    ControlPlane._operator_call(plane, exchange.request, exchange)
    if takes is False:
        assert not carried_out and client.status == 503 and json.loads(client.body)["Error"]["Code"] == 4005
        assert client.header("retry-after") and client.header("connection") == "close"
    else:
        assert len(carried_out) == 1 and not client.bytes


# Whole processes


def stops(cluster, number):
    plane = cluster.planes[number]
    plane.terminate()
    return plane


def test_a_change_that_comes_with_the_signal_is_answered(make_cluster):  # noqa: F811
    cluster = make_cluster()
    leader = cluster.settled()
    caller = HttpClient(Loop())
    answers = []
    address = (cluster.ip(leader), DOOR)
    base = [("if-match", "0")]
    caller.call(address, "PUT", "/-/config", base, content(4), 3 * SECOND, answers.append)
    for _ in range(3):
        caller.loop.round(0.001)  # sent, and not read yet
    plane = stops(cluster, leader)

    def answered():
        caller.loop.round(0.001)
        return answers

    try:
        cluster.until(answered)
        assert (answers[0].status, json.loads(answers[0].body)) == (200, {"Revision": 4})
        cluster.until(lambda: not plane.loop.running)
    finally:
        caller.loop.close()
    cluster.kill(leader)
    assert all(cluster.read(number) == 4 for number in cluster.planes)


def test_a_command_that_is_forwarded_to_a_leader_that_stops_is_answered(make_cluster):  # noqa: F811
    cluster = make_cluster()
    leader = cluster.settled()
    other = leader % 3 + 1
    told = []
    call = CommandCall(shard=0, command=put(0, 4).encode())
    channel = cluster.planes[other].channel(cluster.planes[leader].identity)
    channel.call(COMMAND, call, CommandReply, lambda *answer: told.append(answer), 3 * SECOND)
    plane = stops(cluster, leader)
    cluster.until(lambda: told)
    assert told[0][1] is None  # decided or not, its caller knows at once
    cluster.until(lambda: not plane.loop.running)
    cluster.kill(leader)
    assert cluster.submit(other, put(0, 4)).status == 200


def test_a_follower_is_answered_by_a_process_that_stops(make_cluster):  # noqa: F811
    cluster = make_cluster()
    cluster.settled()
    replies = []
    known = cluster.planes[1].journal
    request = PollRequest(
        node="edge-1",
        role="dataplane",
        zone="z-1",
        incarnation=known.incarnation,
        sequence=known.sequence,
        base=0,
        wait_ms=10_000,
        topics=list(SOFT_TOPICS),
        report=b"",
    )
    channel = cluster.planes[2].channel(cluster.planes[1].identity)
    channel.call(POLL, request, PollReply, lambda *answer: replies.append(answer), 12 * SECOND)
    cluster.until(lambda: "edge-1" in cluster.planes[1].feeds.publisher._parked)
    plane = stops(cluster, 1)
    cluster.until(lambda: not plane.loop.running)
    cluster.until(lambda: replies)
    assert replies[0][1] is None


@pytest.mark.parametrize("fault", [False, True])
def test_a_signal_to_read_the_settings_again_cuts_no_call(make_cluster, tmp_path, monkeypatch, fault):  # noqa: F811
    cluster = make_cluster()
    leader = cluster.settled()
    plane = cluster.planes[leader]
    text = cluster.settings_text(leader, [leader % 3 + 1], bootstrap=True)
    file = tmp_path / "settings.conf"
    file.write_text(text if not fault else text.replace("Listen.", "Other."))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(file))
    before, told = plane.settings, []
    for number in cluster.planes:
        cluster.planes[number].submit(0, put(0, 4), told.append)
    plane._reload()
    assert (plane.settings is before) == fault and cluster.settled() == leader
    cluster.until(lambda: len(told) == 3)
    assert [result.status for result in told] == [200] * 3
