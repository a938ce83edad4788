"""What ends, and what is owed at that instant: each crossing forced over loopback sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from hopsail.decide import Balancer
from hopsail.load.scripted import SETTINGS, at, instance, listener, message, reply, reset, stuck, update
from hopsail.model import MS, SECOND, Scope, Settings, State, Subscribe, WakeAt
from hopsail.net.discovery import ListFault, Names, Objects
from hopsail.net.hosts import REST_TIME, HostConnection

HEADERS = {"X_Customer": "acme", "X_Expires_In": "2.000"}
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def again(number, track="read", **headers):
    """A further request on a client's connection."""
    return message(f"GET /{track}/k{number} HTTP/1.1", X_Trace_Id=f"n{number}", **HEADERS | headers)


def short(limit_s, tracks=SETTINGS["tracks"]):
    """The settings, with all hard limits as given."""
    return SETTINGS | {"tracks": [track | {"hardLimitUs": int(limit_s * 1e6)} for track in tracks]}


def tell(sock, data):
    """A piece of a watch's answer."""
    sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def watched(rig, data=b"\n"):
    """The watch, once discovery has begun its answer."""
    sock = rig.accept(rig.discovery)
    assert rig.read(sock).startswith(b"GET /v1/servers")
    sock.sendall(CHUNKS)
    tell(sock, data)
    return sock


def held_up(monkeypatch):
    """While its one entry is true, connections to hosts do not come up."""
    held, ready = [True], HostConnection.ready

    def wait(self, mask):
        if not (held[0] and self.dialing):
            ready(self, mask)

    monkeypatch.setattr(HostConnection, "ready", wait)
    return held


# Discovery.


LISTS = [update(8, {"instanceId": 'a"}{[\\'}, reset=True), update(9), update(10, {"x": [1, {"y": "}"}]})]
FORMS = {
    "lines": lambda tree: json.dumps(tree) + "\n",
    "indented": lambda tree: json.dumps(tree, indent=2) + "\n",
    "tabs": lambda tree: "\r\n\t" + json.dumps(tree, indent="\t") + "\r\n\r\n",
    "nothing between": lambda tree: json.dumps(tree),
    "escaped": lambda tree: json.dumps(tree).replace("x", "\\u0078") + " ",
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("size", [1, 2, 7, 1 << 20])
def test_objects_are_told_apart_whatever_stands_between_and_in_pieces_of_any_size(form, size):
    data, objects = "".join(map(FORMS[form], LISTS)).encode(), Objects()
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    assert [json.loads(found) for piece in pieces for found in objects.feed(piece)] == LISTS
    assert not objects.held.strip()


@pytest.mark.parametrize("data", [b"x", b'"generation"', b"7\n", b"}", b"{}]", b"\x00", b"{}x"])
def test_what_is_no_object_ends_the_watch_at_once(data):
    with pytest.raises(ListFault):
        list(Objects().feed(data))


def test_an_object_without_end_is_bounded_and_each_byte_looked_at_once():
    objects, piece = Objects(), b'{"a": [' + b" \n" * 8000
    with pytest.raises(ListFault):
        for _ in range(1000):
            list(objects.feed(piece))
    many, start = Objects(), time.process_time()
    data = json.dumps(update(8, *[instance(f"h{i}", "10.0.0.1:80") for i in range(5000)]), indent=1).encode()
    assert sum(len(list(many.feed(data[i : i + 64]))) for i in range(0, len(data), 64)) == 1
    assert time.process_time() - start < 5  # seconds; read anew with each line it takes minutes


def test_an_indented_list_is_followed_and_the_watch_goes_on(rig):
    rig = rig()
    drain = instance("h0", at(rig.hosts[0]), state="terminating")
    sock = watched(rig, json.dumps(update(8, drain), indent=4).encode() + b"\n")
    rig.until(lambda: rig.counts["discovery.updates"] or None)
    tell(sock, json.dumps(update(9), indent=4).encode())
    rig.until(lambda: rig.counts["discovery.updates"] == 2)
    assert len(rig.node.door.balancer.caches) == 1 and rig.counts["discovery.failed"] == 0


SPOILT = {
    "no address": lambda entry: entry | {"hostPort": "nowhere"},
    "state": lambda entry: entry | {"lifecycle": "drowsy"},
    "no state": lambda entry: {"instanceId": entry["instanceId"]},
    "start": lambda entry: entry | {"startedAtMs": "soon"},
}


@pytest.mark.parametrize("what", SPOILT)
@pytest.mark.parametrize("reset", [True, False])
def test_a_host_whose_entry_cannot_be_read_gets_nothing_until_one_can(rig, what, reset):
    rig = rig()
    first, second, origin = (instance(n, at(s)) for n, s in
                             zip(("h0", "h1", "o"), (*rig.hosts, rig.origin), strict=True))  # fmt: skip
    origin = origin | {"machineType": "origin"}
    spoilt = SPOILT[what](first | {"lifecycle": "terminating"})
    sock = watched(rig, json.dumps(update(8, spoilt, second, origin, reset=reset)).encode() + b"\n")
    rig.until(lambda: rig.counts["discovery.updates"] or None)
    balancer = rig.node.door.balancer
    assert [rig.node.door.pool.addresses[name] for name in balancer.caches] == [rig.hosts[1].getsockname()]
    assert balancer.origin.state is State.READY
    tell(sock, json.dumps(update(9, first)).encode())
    rig.until(lambda: rig.counts["discovery.updates"] == 2)
    assert len(balancer.caches) == 2


def test_an_entry_that_cannot_be_read_of_the_origin_or_a_stranger_makes_no_cache_of_it(rig):
    rig = rig()
    odd = [{"instanceId": "o"}, {"instanceId": "new"}, instance("h1", at(rig.hosts[1]))]
    watched(rig, json.dumps(update(8, *odd)).encode())
    rig.until(lambda: rig.counts["discovery.updates"] or None)
    balancer = rig.node.door.balancer
    assert len(balancer.hosts) == 3 and balancer.origin.state is State.DRAINING and len(balancer.caches) == 2


def test_zones_and_kinds_that_only_a_slip_brings_are_bounded():
    names = Names(["east"], ["box", "origin"], 1)
    for i in range(5000):
        names.listing(instance(f"h{i}", "10.0.0.1:80", zone=f"z{i}", kind=f"k{i}"))
    assert max(len(names.zones), len(names.kinds)) <= 1010
    listing, _ = names.listing(instance("h", "10.0.0.1:80", zone="other", kind="other"))
    assert listing.zone and listing.kind not in (0, 1)


@pytest.mark.parametrize(
    "subscribes, scope, balancers, least, most",
    [
        (True, Scope.SILENT, 200, 0, 2 * SECOND),  # 3 s of silence, 1 s to answer: 6 s are the patience
        (True, Scope.SILENT, 2, 0, 80 * MS),
        (True, Scope.FAILED, 200, 2 * SECOND, 4 * SECOND),
        (False, Scope.SILENT, 200, 25 * MS, 50 * MS),  # what the agent has binds, heard or not
        (False, Scope.FAILED, 200, 25 * MS, 50 * MS),
    ],
)
def test_a_list_is_asked_for_again_before_what_was_missed_binds(subscribes, scope, balancers, least, most):
    pauses = []
    for seed in range(40):
        settings = Settings(balancers=balancers, subscribe=subscribes)
        balancer = Balancer(settings, seed, 0)
        balancer.listed(0, scope, [])
        [wake] = balancer.out
        assert type(wake) is WakeAt
        balancer.out.clear()
        balancer.woken(wake.at, wake.token)
        assert balancer.out == [Subscribe()]
        pauses.append(wake.at)
    assert least <= min(pauses) < max(pauses) <= most
    assert max(pauses) - min(pauses) > (most - least) // 2  # balancers part


@pytest.mark.parametrize("what", ["head only", "half an object", "trickle", "an empty line each 2 s"])
def test_a_watch_that_tells_nothing_whole_is_opened_anew_in_time(rig, what):
    rig = rig()
    sock = rig.accept(rig.discovery)
    rig.read(sock)
    sock.sendall(CHUNKS)
    if what == "half an object":
        tell(sock, b'{"generation": 9, "reset": true, "inst')
    for _ in range(3):  # 3.15 s in all
        if what == "trickle":
            tell(sock, b" ")
        elif what.startswith("an empty"):
            tell(sock, b"\n")
        rig.loop.round(0.01)
        rig.skip(1.05)
    alive = what.startswith("an empty")
    assert rig.counts["discovery.failed"] == (not alive)
    if not alive:
        rig.skip(0.1)
        assert b"since=7 " in rig.read(rig.accept(rig.discovery))


def test_where_lists_are_pushed_a_new_process_takes_nobody_in_before_it_knows_what_its_agent_has(rig):
    rig = rig(settings=SETTINGS | {"discovery": "automatic"})
    client = rig.ask()
    for _ in range(5):
        rig.loop.round(0.01)
    assert not rig.counts["clients.connections"]
    drain = instance("h0", at(rig.hosts[0]), state="terminating")
    watched(rig, json.dumps(update(8, drain)).encode() + b"\n")
    host, _ = rig.leg()
    assert host.getsockname() == rig.hosts[1].getsockname()  # the configuration's list was older
    host.sendall(reply(200))
    assert rig.status(client) == 200


@pytest.mark.parametrize("agent", ["silent", "refuses"])
def test_an_agent_with_nothing_to_say_holds_nobody_up_for_long(rig, agent):
    rig = rig(settings=SETTINGS | {"discovery": "automatic"})
    client, sock = rig.ask(), rig.accept(rig.discovery)
    if agent == "refuses":
        sock.close()
    else:
        rig.skip(1.1)
    rig.leg()[0].sendall(reply(200))
    assert rig.status(client) == 200


# Legs.


def test_a_second_answer_that_comes_late_is_never_the_next_legs(rig):
    rig = rig(hosts=1)
    client = rig.ask()
    host, _ = rig.leg()
    host.sendall(reply(200, b"first"))
    assert rig.read(client).endswith(b"first")
    client.sendall(again(1))  # at once: the second answer is still on its way
    rig.until(lambda: rig.counts["legs.sent"] == 2)
    [(connection, _)] = rig.node.door.pool.busy.values()
    assert connection.waits and not connection.unsent  # no other is dialed: hosts hold only so many
    host.sendall(reply(200, b"first"))
    other, request = rig.leg()
    assert b"n1" in request and rig.ended(host)
    other.sendall(reply(200, b"second"))
    assert rig.read(client).endswith(b"second") and rig.counts["hosts.dialed"] == 2


@pytest.mark.parametrize("what", ["drains", "client leaves", "limit"])
def test_a_leg_whose_connection_has_yet_to_rest_is_not_written_once_it_must_not_be(rig, what, monkeypatch):
    monkeypatch.setattr("hopsail.net.hosts.REST_TIME", 3 * SECOND)
    rig = rig(hosts=1)
    sock = watched(rig)
    client = rig.ask()
    host, _ = rig.leg()
    host.sendall(reply(200))
    assert rig.status(client) == 200
    client.sendall(again(1))
    rig.until(lambda: rig.counts["legs.sent"] == 2)
    if what == "drains":
        tell(sock, json.dumps(update(8, instance("h0", at(rig.hosts[0]), state="terminating"))).encode())
        rig.read(rig.accept(rig.origin))
        assert rig.counts["legs.never_sent"] == 1  # taken back at once, not given up when its time is over
    elif what == "client leaves":
        client.close()
        rig.until(lambda: rig.counts["answered.left"] or None)
    else:
        rig.skip(2)
        rig.until(lambda: rig.counts["legs.no_connection"] or None)
    rig.skip(3)
    assert rig.ended(host)
    client.close()


def test_of_kept_connections_the_last_used_that_has_rested_goes_first(rig):
    rig = rig(hosts=1)
    clients = [rig.ask(f"/read/{i}") for i in range(3)]
    hosts = [rig.leg() for _ in range(3)]
    order = []
    for host, request in hosts:
        host.sendall(reply(200))
        assert rig.status(clients[[b"/%d " % j in request for j in range(3)].index(True)]) == 200
        rig.skip(0.1)
        order.append(host)
    [name] = rig.node.door.pool.idle
    pool = rig.node.door.pool
    last, middle = pool._reuse(name), pool._reuse(name)
    assert last.sock.getpeername() == order[2].getsockname() and last.since > middle.since
    pool.rest(middle)  # has only just been used
    assert pool._reuse(name).since < middle.since and pool._reuse(name) is middle


def test_a_connection_that_has_rested_carries_the_next_leg(rig):
    rig = rig(hosts=1)
    client, host = rig.served()
    client.sendall(again(1))
    rig.until(lambda: rig.counts["legs.sent"] == 2)
    rig.skip(REST_TIME / SECOND)
    assert b"n1" in rig.read(host) and rig.counts["hosts.dialed"] == 1
    host.sendall(reply(200))
    assert rig.status(client) == 200


def test_a_leg_written_in_part_is_not_dialed_for_anew_once_its_host_drains(rig):
    rig = rig(hosts=1)
    client, _ = rig.served()
    sock = watched(rig)
    [[kept]] = rig.node.door.pool.idle.values()
    kept._flush = lambda: None  # the system takes none of it for now
    client.sendall(again(1))
    rig.until(lambda: rig.counts["legs.sent"] == 2)
    tell(sock, json.dumps(update(8, instance("h0", at(rig.hosts[0]), state="terminating"))).encode())
    rig.until(lambda: rig.counts["discovery.updates"] or None)
    rig.loop.soon(kept._end)  # the connection breaks before the last byte is out
    origin = rig.accept(rig.origin)  # known never to have run, and sent elsewhere
    rig.read(origin)
    origin.sendall(reply(200))
    assert rig.status(client) == 200 and next(rig.waiting(*rig.hosts), None) is None


def test_a_leg_whose_connection_comes_up_late_is_not_written_once_its_host_drains(rig):
    rig = rig(hosts=0, known=update(1, reset=True))
    place, fill = stuck()
    rig.open += [place, fill]
    entries = [instance("h", at(place)), instance("o", at(rig.origin), "origin")]
    sock = watched(rig, json.dumps(update(2, *entries, reset=True)).encode() + b"\n")
    rig.until(lambda: rig.counts["discovery.updates"] or None)
    client = rig.ask()
    rig.until(lambda: rig.counts["legs.sent"] or None)
    tell(sock, json.dumps(update(3, entries[0] | {"lifecycle": "terminating"})).encode() + b"\n")
    origin = rig.accept(rig.origin)
    assert rig.counts["legs.never_sent"] == 1 and len(rig.node.door.pool.connections) == 1
    rig.read(origin)
    origin.sendall(reply(200))
    assert rig.status(client) == 200


@pytest.mark.parametrize("group", ["all", "cell"])
@pytest.mark.parametrize("late", [True, False])
def test_a_leg_whose_connection_comes_up_late_is_not_written_once_receipts_are_forgotten(
    rig, monkeypatch, group, late
):
    tracks = [track | {"group": group, "keyTtlUs": 400000} for track in SETTINGS["tracks"]]
    rig = rig(settings=SETTINGS | {"tracks": tracks})
    client = rig.ask("/note/k1", "PUT", b"v", Idempotency_Key="i1")
    first = rig.accept(rig.origin)
    rig.read(first)
    held = held_up(monkeypatch)
    rig.skip(0.3)
    reset(first)  # it may have run
    second = rig.accept(rig.origin)  # decided on within the window
    rig.skip(0.15 if late else 0.05)
    held[0] = False
    if not late:
        assert rig.read(second).startswith(b"PUT /note/k1 ")
        second.sendall(reply(200))
    # What may have run is bounced only where all hosts drop its repeats.
    assert rig.status(client) == (200 if not late else 503 if group == "all" else 502)
    assert rig.counts["legs.sent"] == 2 and rig.counts["legs.never_sent"] == late


def test_a_leg_that_its_own_limit_would_end_sooner_is_not_prolonged_by_the_end(rig):
    rig = rig()
    client = rig.ask(X_Expires_In="60")
    host, _ = rig.leg()
    [(_, timer)] = rig.node.door.pool.busy.values()
    before = timer.when
    rig.node.stop()
    [(_, timer)] = rig.node.door.pool.busy.values()
    assert timer.when == before < rig.node.door.ends
    rig.skip(0.5)  # past its own limit: a pure read has time for another leg
    rig.until(lambda: rig.counts["legs.sent"] == 2)
    assert rig.ended(host)
    client.close()


def test_giving_up_one_stalled_leg_may_end_another(rig, monkeypatch):
    rig = rig()
    rig.ask("/read/a"), rig.ask("/read/b")
    rig.until(lambda: rig.counts["legs.sent"] == 2)
    pool, gone = rig.node.door.pool, []
    for leg, (connection, _) in pool.busy.items():
        monkeypatch.setattr(connection, "stalled", lambda now: True)
        gone.append(leg)
    done = pool.done

    def ended(leg, outcome, answer):
        pool.done = done
        done(leg, outcome, answer)
        pool.never_send(gone[1]) if gone[1] in pool.busy else None
        pool._end(gone[1], outcome, None)

    pool.done = ended
    pool.sweep(rig.loop.now())
    assert not any(leg in pool.busy for leg in gone)


@pytest.mark.parametrize("trickles", [False, True])
def test_an_answer_that_never_ends_is_final_within_half_a_second_of_its_time(rig, trickles):
    rig = rig(hosts=1)
    client = rig.ask(X_Expires_In="1.000")
    host, _ = rig.leg()
    host.sendall(CHUNKS + b"3\r\nabc\r\n")
    rig.until(lambda: rig.node.door.flows.count or None)
    assert rig.node.door.open == 1
    for _ in range(8):
        if trickles:
            host.sendall(b"1\r\nx\r\n")
        rig.skip(0.15)
    assert rig.node.door.open == 1  # 1.2 s and the little that this took: it may still end
    rig.skip(0.25)
    assert rig.node.door.open == rig.node.door.flows.count == 0 and rig.counts["answered.scrapped"] == 1
    data = b""
    while piece := rig.until(lambda: reading(client)):
        data += piece
    assert not data.endswith(b"0\r\n\r\n")  # its reader can tell that it is not whole
    assert rig.ended(host)


UNMEASURED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("body", [b"", b"hal"])
@pytest.mark.parametrize("track", ["read", "once"])
def test_a_reset_is_no_end_of_an_answer_of_no_stated_length(rig, body, track):
    rig = rig()
    client = rig.ask("/once/k1", "PUT", b"v") if track == "once" else rig.ask()
    host = rig.accept(rig.origin if track == "once" else rig.hosts[0], *rig.hosts)
    rig.read(host)
    host.sendall(UNMEASURED + body)
    rig.until(lambda: any(c.reader.headed for c in rig.node.door.pool.connections))
    reset(host)
    if track == "once":
        assert rig.status(client) == 502 and rig.counts["legs.sent"] == 1  # it may have run
        return
    second = rig.accept(rig.origin)
    rig.read(second)
    second.sendall(reply(200, b"whole"))
    assert rig.read(client).endswith(b"whole")


@pytest.mark.parametrize("orderly", [True, False])
def test_a_reset_is_no_end_of_an_answer_that_is_being_passed_on(rig, orderly):
    rig = rig(hosts=1)
    client = rig.ask()
    host, _ = rig.leg()
    host.sendall(UNMEASURED + b"half")
    rig.until(lambda: rig.node.door.flows.count or None)
    host.close() if orderly else reset(host)
    rig.until(lambda: rig.node.door.open == rig.node.door.flows.count == 0 or None)
    assert rig.counts["answered.handled" if orderly else "answered.scrapped"] == 1
    data = b""
    while piece := rig.until(lambda: reading(client)):
        data += piece
        if data.endswith(b"0\r\n\r\n"):
            break
    assert data.endswith(b"0\r\n\r\n") == orderly  # else its reader can tell that it is not whole


def reading(sock):
    try:
        return sock.recv(1 << 16)
    except BlockingIOError:
        return None


# A pause of the process: what came in it is dealt with in one round.


def pause(rig, *acts):
    """Does one after the other while the loop stands still; the system then tells of them in this order."""
    while rig.loop.selector.select(0):
        rig.loop.round(0)
    for act in acts:
        act()
        time.sleep(0.02)
    rig.loop.round(0)


def test_after_a_pause_what_the_list_tells_comes_before_a_request_that_came_sooner(rig):
    rig = rig()
    sock = watched(rig)
    client = rig.client()
    rig.until(lambda: rig.node.listener.clients or None)
    drains = [instance(f"h{i}", at(host), state="terminating") for i, host in enumerate(rig.hosts)]
    told = json.dumps(update(8, *drains)).encode() + b"\n"
    pause(rig, lambda: client.sendall(again(1)), lambda: tell(sock, told))
    assert rig.counts["taken.reads"] == rig.counts["discovery.updates"] == 1
    assert rig.read(rig.accept(rig.origin)).startswith(b"GET /read/k1 ")
    assert not list(rig.waiting(*rig.hosts)) and rig.counts["legs.sent"] == 1


def test_after_a_pause_a_client_that_left_is_known_before_the_fetch_it_waited_for(rig):
    rig = rig(hosts=1)
    _, _, origin = rig.missed()
    waits = rig.ask()
    rig.until(lambda: rig.counts["taken.reads"] == 2)
    pause(rig, lambda: origin.sendall(reply(200)), waits.close)
    assert rig.counts["answered.left"] == rig.counts["answered.handled"] == 1 and rig.counts["legs.sent"] == 2


def test_after_a_pause_a_client_that_left_is_known_before_the_connection_it_waited_for(rig, monkeypatch):
    held = held_up(monkeypatch)
    rig = rig(hosts=1)
    client = rig.ask()
    host = rig.accept(*rig.hosts)
    for _ in range(3):  # up, and told of first from here on
        rig.loop.round(0)
    held[0] = False
    client.close()
    time.sleep(0.02)
    rig.loop.round(0)
    assert rig.counts["answered.left"] == 1 and rig.read(host) == b""


# Clients.


def test_nothing_is_sent_for_a_client_that_left_while_its_key_was_being_fetched(rig):
    rig = rig(hosts=1)
    first, _, origin = rig.missed()
    waits = rig.ask()
    rig.until(lambda: rig.counts["taken.reads"] == 2)
    waits.close()
    rig.until(lambda: rig.counts["answered.left"] or None)
    origin.sendall(reply(200))
    assert rig.status(first) == 200
    rig.skip(0.3)
    assert rig.counts["legs.sent"] == 2 and rig.node.door.open == 0


LEAVES = ["closes", "ends its sending", "resets", "sends much and goes", "sends on and goes"]


@pytest.mark.parametrize("how", LEAVES)
def test_nothing_is_sent_for_a_client_that_left_while_a_connection_came_up(rig, how):
    rig = rig(hosts=0, known=update(1, reset=True))
    sock, fill = stuck()
    rig.open += [sock, fill]
    rig.node.door.discovery.told(update(2, instance("h", at(sock)), reset=True))
    client = rig.ask()
    rig.until(lambda: rig.counts["legs.sent"] or None)
    if how == "ends its sending":
        client.shutdown(socket.SHUT_WR)
    elif how == "sends much and goes":
        client.sendall(b"x" * 300_000)
    elif how == "sends on and goes":
        client.sendall(again(1))
    elif how == "resets":
        reset(client)
    client.close()
    rig.until(lambda: rig.counts["answered.left"] or None)
    assert rig.counts["legs.never_sent"] == 1 and rig.node.door.open == 0
    assert not rig.node.door.pool.connections and not rig.node.door.pool.busy


@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
@pytest.mark.parametrize("where", ["queue", "connection"])
def test_nothing_is_sent_for_a_client_that_left_before_its_request_was_read(rig, how, where):
    rig = rig()
    if where == "queue":
        rig.node.listener.hold(True)
        client = rig.ask()
    else:
        client = rig.client()
        rig.until(lambda: rig.node.listener.clients or None)
        client.sendall(again(1))
    if how == "ends its sending":
        client.shutdown(socket.SHUT_WR)
    else:
        if how == "resets":
            reset(client)
        client.close()
    rig.node.listener.hold(False)
    rig.until(lambda: rig.counts["clients.connections"] and not rig.node.listener.clients or None)
    assert rig.counts["legs.sent"] == 0 and rig.node.door.open == 0 and rig.counts["taken.left"] == 1


def upload(rig, size, sent):
    """A client that writes a long body to an origin whose connection never comes up."""
    sock, fill = stuck()
    rig.open += [sock, fill]
    settled = instance("h", at(listener()))
    rig.node.door.discovery.told(update(2, settled, instance("o", at(sock), "origin"), reset=True))
    head = message("PUT /once/k HTTP/1.1", X_Trace_Id="up", **HEADERS)
    client = rig.client(head.replace(b"Content-Length: 0", b"Content-Length: %d" % size) + b"v" * sent)
    rig.until(lambda: rig.counts["taken.writes"] or None)
    return client


def test_a_client_that_left_is_noticed_though_its_long_body_is_not_read(rig):
    rig = rig(hosts=0, known=update(1, reset=True), limits={"sockets": 256, "memory_mb": 40})
    client = upload(rig, 200_000, 200_000)
    [taken] = [c for c in rig.node.listener.clients if c.retrieval]
    for _ in range(20):
        rig.loop.round(0.005)
    taken.pause(True)  # as while others take the room: what the client still sends is left to the system
    client.close()
    left = rig.counts["answered.left"]
    rig.skip(0.06)  # a leg that began 0.1 s after its client left would be held against the balancer
    rig.skip(0.01)
    assert rig.counts["answered.left"] == left + 1 and taken.retrieval is None and rig.node.door.open == 0


def test_a_body_that_comes_too_slowly_ends_its_request_too(rig):
    rig = rig(hosts=0, known=update(1, reset=True))
    client = upload(rig, 200_000, 100_000)
    left = rig.counts["answered.left"]
    [taken] = [c for c in rig.node.listener.clients if c.retrieval]
    for _ in range(20):
        rig.loop.round(0.005)
    taken.pause(False)
    rig.skip(9)
    rig.skip(0.3)
    assert not taken.open and rig.counts["answered.left"] == left + 1
    assert rig.node.door.open == 0 and not rig.node.door.pool.busy
    client.close()


def test_a_new_connection_is_given_time_for_its_request_when_the_door_shuts(rig):
    rig = rig()
    old = rig.client()
    rig.until(lambda: len(rig.node.listener.clients) == 1)
    os.kill(os.getpid(), signal.SIGTERM)
    rig.until(lambda: rig.node.door.ends)
    rig.skip(0.5)
    new = rig.client()
    rig.until(lambda: len(rig.node.listener.clients) == 2)
    rig.skip(0.16)  # the door shuts: the one has had its time to speak, the other's request is on its way
    new.sendall(again(1))
    rig.leg()[0].sendall(reply(200))
    assert b"Connection: close" in rig.read(new) and rig.ended(old)


# The start and the end.


ENDINGS = [(0.35, 0.85, 0.95), (1.2, 1.7, 1.8), (3, 3.5, 3.6), (8, 3.5, 3.6)]  # seconds


@pytest.mark.parametrize("limit, last, end", ENDINGS)
def test_the_end_follows_the_settings_longest_limit(rig, limit, last, end):
    rig = rig(settings=short(limit))
    client = rig.ask(X_Expires_In="60")
    host, _ = rig.leg()
    start = rig.loop.now()
    os.kill(os.getpid(), signal.SIGTERM)
    rig.until(lambda: rig.node.door.ends)
    while rig.node.door.open and rig.loop.now() < start + 5 * SECOND:
        rig.skip(0.02)
        for sock in rig.waiting(*rig.hosts, rig.origin):
            assert rig.read(sock)  # each of them hangs
    took = (rig.loop.now() - start) / SECOND
    assert took <= last + 0.08 and rig.status(client) == 503
    # One that sends on, on a connection that it has, does not hold the process up either.
    while rig.loop.running and rig.loop.now() < start + 5 * SECOND:
        rig.skip(0.02)
    assert (rig.loop.now() - start) / SECOND <= end + 0.08
    host.close()


def test_no_effect_begins_when_no_answer_could_be_waited_for(rig):
    rig = rig()
    client = rig.client()
    rig.until(lambda: rig.node.listener.clients or None)
    rig.node.stop()
    client.sendall(again(1, "once"))
    rig.loop.offset += int(3.55 * SECOND)  # as for a process that was starved of its core
    rig.until(lambda: rig.counts["taken.reads"] or None)
    assert rig.status(client) == 503 and rig.counts["legs.sent"] == 0


def test_those_that_have_connected_are_taken_in_though_there_is_no_room_when_the_door_shuts(rig):
    rig = rig()
    rig.node.listener.most = 1
    first = rig.ask("/once/a", "PUT")
    origin = rig.accept(rig.origin)
    rig.read(origin)
    second = rig.ask("/once/b", "PUT")
    rig.node.stop()
    rig.skip(0.66)
    for _ in range(5):
        rig.loop.round(0.01)
    origin.sendall(reply(200))
    assert rig.status(first) == 200
    first.close()
    assert rig.read(origin).startswith(b"PUT /once/b")
    origin.sendall(reply(200, b"second"))
    assert rig.read(second).endswith(b"second")
    second.close()
    rig.until(lambda: rig.node.listener.sock is None or None)  # only now nobody can be waiting any more
    rig.until(lambda: not rig.loop.running)


def test_what_the_module_holds_is_answered_when_the_end_comes_sooner(rig):
    slow = [track | {"promisedTimeUs": 20_000_000} for track in SETTINGS["tracks"]]
    rig = rig(hosts=1, settings=short(20, slow))
    first, _, _ = rig.missed(X_Expires_In="20")
    waits = rig.ask(X_Expires_In="20")
    rig.until(lambda: rig.counts["taken.reads"] == 2)
    rig.node.stop()
    rig.skip(3.51)
    assert rig.status(waits) == 503 and rig.status(first) == 503
    assert rig.counts["legs.sent"] == 2  # none at the very end, whose answer nobody could wait for


def test_a_fault_in_one_signals_handler_loses_no_other(rig, capsys):
    rig = rig()
    rig.loop.signals[signal.SIGHUP] = lambda: 1 / 0
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGTERM)
    rig.until(lambda: rig.node.door.ends)
    assert "ZeroDivisionError" in capsys.readouterr().err


@pytest.mark.parametrize("numbers", [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM] * 3])
def test_signals_before_the_loop_hears_them_end_no_process_by_themselves(rig, numbers):
    rig = rig()  # writes the configuration
    fifo = rig.path.with_suffix(".fifo")
    os.mkfifo(fifo)
    environment = os.environ | {"NODE_CONFIG": str(fifo)}
    process = subprocess.Popen([sys.executable, "-m", "hopsail"], stderr=subprocess.PIPE, env=environment)
    try:
        with open(fifo, "wb") as config:  # waits until the process reads it: it has only begun
            for number in numbers:
                process.send_signal(number)
            time.sleep(0.1)
            config.write(rig.path.read_bytes())
        if signal.SIGHUP in numbers:  # it is read once more, as the signal says
            assert b"listens on" in process.stderr.readline()
            with open(fifo, "wb") as config:
                config.write(rig.path.read_bytes())
        said = process.communicate(timeout=20)[1].decode()
        assert process.returncode == 0 and "stop: 0 retrievals" in said and '"why": "end"' in said
    finally:
        process.kill()
        process.wait()


def test_a_reload_while_the_process_ends_changes_no_more_than_it_may(rig):
    rig = rig()
    client = rig.ask()
    host, _ = rig.leg()
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGTERM)
    rig.until(lambda: rig.counts["configuration.taken"] or None)
    ends = rig.node.door.ends
    host.sendall(reply(200))
    assert rig.status(client) == 200 and ends == rig.node.door.ends
    rig.skip(0.7)
    rig.until(lambda: not rig.loop.running)
