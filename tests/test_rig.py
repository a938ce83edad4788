"""The rig: its relay, its children, troubles played on sockets, and `hopsail try` from outside."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random
from time import monotonic, sleep
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from processes_seen import running

from hopsail.cli import main
from hopsail.emulator import report, scenario
from hopsail.load import processes, rig, trial
from hopsail.load.processes import Child, RigFault
from hopsail.load.relay import Way
from hopsail.load.rig import Rig
from hopsail.load.scripted import message
from hopsail.load.standins import Listener
from hopsail.load.verdict import judge, undisturbed, worth
from hopsail.model import MS, SECOND
from hopsail.net.loop import Loop
from hopsail.net.stream import Stream
from paths import ROOT

TREE = {
    "fleet": {"balancers": 2, "caches": 4, "zones": 2},
    "cache": {"service": "2 ms", "cores": 2, "keeps": 200, "law": "fixed"},
    "origin": {"service": "6 ms", "cores": 16, "queue": 200, "law": "fixed"},
    "lists": {"delay": "60 ms", "silent": "300 ms"}, "rules": {"warm": "2 s"},
    "load": {"rate": "120/s", "lasts": "4 s", "keys": 150, "zipf": 1.0},
    "track": [{"name": "read", "part": "80%", "promised": "200 ms"},
              {"name": "write", "part": "10%", "promised": "300 ms", "effect": "once", "write": True},
              {"name": "note", "part": "10%", "promised": "300 ms", "effect": "by_key", "write": True,
               "remembered": "5 s"}],
}  # fmt: skip


def made(*troubles, **tables):
    tree = {name: dict(values) if isinstance(values, dict) else values for name, values in TREE.items()}
    for name, values in tables.items():
        tree[name] = tree.get(name, {}) | values
    return scenario.read(tree | {"trouble": list(troubles)})


def children(of=None):
    """Ids of processes that a rig has started and that are still there; of one parent, if it is given."""
    return [
        number
        for number, parent, words in running()
        if b"hopsail.load.child" in words and of in (None, parent)
    ]


def gone(ids, within=5.0):
    ends = monotonic() + within
    while monotonic() < ends and any(Path(f"/proc/{number}").exists() for number in ids):
        sleep(0.02)
    return not any(Path(f"/proc/{number}").exists() for number in ids)


# The network between.


class Echo(Stream):
    def __init__(self, loop, sock, listener):
        self.listener = listener
        super().__init__(loop, sock)

    def received(self, data):
        self.listener.came += data
        self.write(data)

    def released(self):
        self.listener.connections.pop(self, None)


@pytest.fixture
def network():
    loop = Loop()
    host = Listener(loop, Echo)
    host.came = b""
    ways = []

    def way(delay=0, loss=0.0, node=3):
        one = Way(loop, node, delay, loss, Random(1))
        one.lead(host.place, pytest.fail)
        ways.append(one)
        return one

    yield loop, host, way
    for one in [*ways, host]:
        one.close()
    loop.close()


def turn(loop, found, within=4.0):
    ends = monotonic() + within
    while not (result := found()) and monotonic() < ends:
        loop.round(0.005)
    return result


def talk(loop, way, data, pieces=1):
    """What comes back for the data, and after how many ms."""
    with socket.create_connection(way.address) as sock:
        sock.setblocking(False)
        began, got = monotonic(), b""
        size = -(-len(data) // pieces)
        for i in range(0, len(data), size):
            turn(loop, lambda part=data[i : i + size]: sock.send(part))

        def come():
            nonlocal got
            try:
                got += sock.recv(1 << 20)
            except BlockingIOError:
                return False
            return len(got) >= len(data)

        line = b"PROXY TCP4 127.0.0.1 127.0.0.1 4 "  # number 3, counted from 1
        turn(loop, lambda: come() and b"\r\n" in got and len(got) >= len(data) + len(line))
        assert got.startswith(line), got[:60]
        return got.partition(b"\r\n")[2], (monotonic() - began) * 1000


def test_a_relay_delays_keeps_the_order_and_says_whose_connection_it_is(network):
    loop, _host, way = network
    data = bytes(range(256)) * 400
    whole, took = talk(loop, way(30 * MS), data, pieces=9)
    assert whole == data
    assert 120 <= took < 600  # a handshake there and back, and each way once


def test_what_is_lost_comes_late_and_in_order(network):
    loop, _host, way = network
    data = bytes(range(256)) * 40
    whole, took = talk(loop, way(0, loss=0.5), data, pieces=6)
    assert whole == data and took >= 200


def test_a_way_to_a_dead_host_refuses_and_its_connections_end_with_the_host(network):
    loop, host, way = network
    one = way()
    with socket.create_connection(one.address) as sock:
        sock.setblocking(False)
        sock.send(b"x")
        assert turn(loop, lambda: host.came.endswith(b"x"))
        for connection in list(host.connections):
            connection.close()

        def ended():
            try:
                return sock.recv(100) == b""
            except BlockingIOError:
                return False

        assert turn(loop, ended)
    one.lead(None, pytest.fail)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(one.address)
    one.lead(host.place, pytest.fail)
    assert talk(loop, one, b"again")[0] == b"again"


def test_a_port_that_another_has_taken_meanwhile_is_tried_again_and_then_told(network, monkeypatch):
    loop, host, way = network
    one, failed = way(), []
    one.lead(None, failed.append)
    with socket.create_server(one.address):
        one.lead(host.place, failed.append)
        turn(loop, lambda: False, 0.2)
        assert not failed and one.sock is None
    assert turn(loop, lambda: one.sock is not None)
    monkeypatch.setattr("hopsail.load.relay.BIND_TRIES", 1)
    one.lead(None, failed.append)
    with socket.create_server(one.address):
        one.lead(host.place, failed.append)
        assert turn(loop, lambda: failed) and "taken by another" in failed[0]
    one.lead(None, failed.append)


def test_the_sender_is_held_up_when_much_is_on_its_way(network, monkeypatch):
    monkeypatch.setattr("hopsail.load.relay.MOST_HELD", 64 * 1024)
    loop, _host, way = network
    one = way(80 * MS)
    with socket.create_connection(one.address) as sock:
        sock.setblocking(False)
        sent = 0
        ends = monotonic() + 0.07
        while monotonic() < ends:
            try:
                sent += sock.send(b"y" * 65536)
            except BlockingIOError:
                pass
            loop.round(0.001)
        held = max(end.held for end in one.ends)
        assert 64 * 1024 < held <= 2 * 64 * 1024 and any(end.paused for end in one.ends)


# Children.


def test_a_child_that_will_not_end_is_killed(monkeypatch):
    monkeypatch.setattr(processes, "ENDS_WITHIN", 0.3)
    deaf = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print(1, flush=True); "
    deaf += "time.sleep(60)"
    process = subprocess.Popen([sys.executable, "-c", deaf], stdout=subprocess.PIPE)
    process.stdout.read(1)
    began = monotonic()
    processes.end([SimpleNamespace(kind="balancer", process=process, release=process.stdout.close)])
    assert process.returncode == -signal.SIGKILL and 0.3 <= monotonic() - began < 3


def test_a_child_that_does_not_start_is_told_of_with_what_it_said():
    loop = Loop()
    child = Child(loop, "relay", {"seed": 1}, lambda *_: None)
    with pytest.raises(RigFault, match="(?s)relay did not start: .*delays"):
        child.first()
    child.kill()
    loop.close()


def test_a_scenario_that_needs_more_descriptors_than_there_are_is_refused_at_once(monkeypatch):
    monkeypatch.setattr(processes.resource, "getrlimit", lambda _: (256, 512))
    before = children()
    with pytest.raises(RigFault, match="descriptors, and a process may have 512"):
        Rig(made(fleet={"caches": 400}))
    assert children() == before


# Troubles on sockets. Each day is 4 s; the rules are judged from what hosts, discovery and clients saw.

TROUBLES = {
    "crash": [{"part": "50%"}], "silence": [{"part": "25%"}], "slow": [{"part": "50%", "times": 6}],
    "zone": [{}], "resets": [{"part": "50%"}], "drain": [{"part": "50%"}], "partition": [{"part": "50%"}],
    "restart": [{"part": "100%"}], "storm": [{"times": 3}], "hot": [{"part": "40%"}],
    "scan": [{"rate": "60/s"}], "brownout": [{"times": 3}],
}  # fmt: skip
PLAYED = [("crash", "partition"), ("silence", "hot"), ("zone", "storm"), ("resets", "scan"),
          ("drain", "brownout"), ("restart", "slow")]  # fmt: skip


ENOUGH, MOST_DAYS = 300, 8  # requests that no standstill has met, and days that are played for them


def enough(play):
    """The requests of `play`'s days that no standstill has met, of as many days as it takes.

    What a day is worth while its processes have no processor says nothing of the balancers."""
    found, days = [], 0
    while len(found) <= ENOUGH and days < MOST_DAYS:
        found, days = found + play(), days + 1
    assert len(found) > ENOUGH, days
    return found


def a_day_keeps_the_rules(whats, path):
    """Plays one; its requests that no standstill of a process has met."""
    troubles = [{"what": what, "at": "1 s", "lasts": "1500 ms"} | TROUBLES[what][0] for what in whats]
    mine = children(os.getpid())
    with Rig(made(*troubles), 3) as one:
        load = rig.Load(one.loop, one.played, [balancer.place for balancer in one.balancers], 3)
        one.play(load)
        found = load.run()
        found |= rig.summary(one, load, path, "day", 3)
        started = children(os.getpid())
    assert not any(found[key] for key in found if key.startswith("broken")), found["broken"]
    assert found["ran_twice"] == 0 and found["not sent"] == 0
    assert found["requests"] > 300
    assert len(started) >= 6 and gone(set(started) - set(mine))
    words = {event[0] for event in one.trace}
    assert {"reached", "sent", "ended", "ran", "told", "whole"} <= words
    if "restart" in whats:
        assert sum(event[0] == "died" for event in one.trace) == 2
    if {"crash", "zone"} & set(whats):
        back = [event for event in one.trace if event[0] == "told" and event[4] == "READY" and event[5]]
        assert back  # cold, with the time of its start
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    assert [one["what"] for one in rows[0]["troubles"]] == list(whats) and rows[2]["connections"] > 0
    if "resets" in whats:  # of silent ones parts fall sooner than three legs have timed out
        assert max(row["aside"] for row in rows[1:]) > 0  # as the operators' door tells
    assert sum(row["legs"] for row in rows[1:]) >= found["requests"]
    return undisturbed(one)


@pytest.mark.parametrize("whats", PLAYED, ids="+".join)
def test_balancers_keep_the_rules_through_troubles_on_sockets_and_nothing_is_left(whats, tmp_path):
    found = enough(lambda: a_day_keeps_the_rules(whats, tmp_path / "rows.jsonl"))
    assert worth(found).earned > 0.7


@pytest.fixture(scope="module")
def quiet():
    """The records of a day with no trouble."""
    with Rig(made(load={"lasts": "2 s"}), 1) as one:
        load = rig.Load(one.loop, one.played, [balancer.place for balancer in one.balancers], 1)
        one.play(load)
        load.run()
        yield one


def plant(one, *events):
    """What the checkers find with these events among the records."""
    trace = one.trace
    one.trace = [*trace, *events]
    try:
        return judge(one)
    finally:
        one.trace = trace


def test_the_records_hold_no_violation_and_each_that_is_planted_is_found(quiet):
    assert not any(judge(quiet).values())
    answered = next(e for e in quiet.load.trace if e[0] == "answered" and e[4] == "handled")
    write = next(e for e in quiet.load.trace if e[0] == "taken" and e[5] == "once")
    ran = next(e for e in quiet.trace if e[0] == "ran" and e[2] == write[3])
    at, node = answered[1], answered[2]
    assert plant(quiet, ("sent", at + 9 * SECOND, node, answered[3], 99, "s-0001"))["lost"]
    assert plant(quiet, ("sent", ran[1] + MS, node, write[3], 98, "origin"))["twice"]
    assert plant(quiet, ("ran", ran[1] + MS, write[3], "origin"))["twice"]
    assert plant(quiet, ("taken", at, node, 10**9, at + MS, "once"),
                 ("sent", at + 5 * SECOND, node, 10**8, 1, "s-0001"),
                 ("taken", at, node, 10**8, at + 9 * SECOND, "repeatable"))["lost"]  # fmt: skip
    drained, late = ("told", at, node, "s-0001", "DRAINING", 0), at + 9 * SECOND
    leg = ("sent", late, node, answered[3], 97, "s-0001")
    assert plant(quiet, drained, leg)["drained"]
    # Told just before the leg came: when it was sent, nobody knows.
    assert not plant(quiet, drained, ("told", late - MS, node, "s-0001", "READY", 0), leg)["drained"]
    cold = ("told", at, node, "s-0002", "READY", at)
    assert plant(quiet, cold, *(("reached", at + i, "s-0002", node, False) for i in range(6000)))["flooded"]
    fell = [("reached", at + i, "origin", node, True) for i in range(500)]
    assert plant(quiet, *fell, ("fell", at + 501, "origin"))["flooded"]


def test_the_emulator_and_sockets_tell_the_same_of_a_day_with_a_trouble():
    trouble = {"what": "crash", "at": "1 s", "lasts": "1500 ms", "part": "50%"}
    played = made(trouble, network={"same": "300 us", "cross": "1 ms"})

    recoveries = []

    def play():
        with Rig(played, 1) as one:
            load = rig.Load(one.loop, played, [balancer.place for balancer in one.balancers], 1)
            one.play(load)
            found = load.run() | rig.summary(one, load)
        recoveries.append(found["recovery"][0]["why"])
        return undisturbed(one)

    emulated, finals = report.play(played, "hopsail", 1), enough(play)
    assert abs(worth(finals).earned - emulated["earned"]) < 0.05
    assert abs(sum(one.handled for one in finals) / len(finals) - emulated["handled"]) < 0.03
    assert recoveries[0] == emulated["recovery"][0]["why"] == "service was not steady before it"


# `hopsail try`, as a user has it.


def start(*arguments, **more):
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "hopsail.cli", "try", *arguments], cwd=ROOT, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, start_new_session=True, **more,
    )  # fmt: skip


def test_try_shows_a_fleet_that_answers_by_hand_and_ends_with_a_summary():
    run = start("--seconds", "3", "--json")
    where = json.loads(run.stdout.readline())
    assert {"http", "operator"} <= where.keys() and len(where["http"]) == 2
    host, port = where["http"][0].rsplit(":", 1)
    asked = message("GET /read/k1 HTTP/1.1", X_Trace_Id="h1", X_Customer="load", X_Expires_In="1.000")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(asked)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    host, port = where["operator"][0].rsplit(":", 1)
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(b"ready\n")
        assert sock.recv(100) == b"done\n"
    mine = children(run.pid)
    out, said = run.communicate(timeout=30)
    found = json.loads(out.splitlines()[-1])
    assert run.returncode == 0 and found["requests"] > 200 and found["handled"] > 0.98 and found["p99_ms"] > 0
    assert not found["interrupted"] and len(re.findall(r"handled  p99", said)) == 3
    assert all(len(line) < 80 for line in said.splitlines() if "p99" in line)
    assert len(mine) == 8 and gone(mine)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("early", [False, True])
def test_try_leaves_no_process_and_no_file_however_it_is_ended(number, early, tmp_path):
    run = start("--seconds", "60", "--json", env=os.environ | {"TMPDIR": str(tmp_path)})
    if early:
        ends = monotonic() + 10
        while len(children(run.pid)) < 2 and monotonic() < ends:
            sleep(0.005)
    else:
        assert json.loads(run.stdout.readline())["http"]
        sleep(0.3)
    mine = children(run.pid)
    run.send_signal(number)
    out, _ = run.communicate(timeout=30)
    assert gone(mine) and len(mine) >= 2
    if not early:
        assert not list(tmp_path.iterdir())
    if number != signal.SIGKILL:
        assert run.returncode == 130 and json.loads(out.splitlines()[-1])["interrupted"] is True


@pytest.mark.parametrize(
    "arguments, word",
    [
        (["--seconds", "soon"], "--seconds"),
        (["--seconds", "-3"], "--seconds"),
        (["--seconds", "nan"], "--seconds"),
        (["--seconds", "1e9"], "--seconds"),
        (["--front", "gopher"], "--front"),
        (["--scenario", "nowhere.toml"], "--scenario"),
        (["--seed", "x"], "--seed"),
        (["--seconds", "2", "--series", "/nowhere/rows.jsonl"], "--series"),
    ],
)
def test_bad_arguments_of_try_end_with_status_2_and_their_name(arguments, word):
    found = CliRunner().invoke(main, ["try", *arguments])
    assert found.exit_code == 2 and word in found.output


def all_shown(terminal):
    """What a terminal has been sent until its other side was closed: one read may give a part of it only."""
    shown = b""
    try:
        while data := os.read(terminal, 4096):
            shown += data
    except OSError:  # EIO: the other side is closed, and all is read
        pass
    finally:
        os.close(terminal)
    return shown.decode()


def test_the_line_of_figures_is_one_that_changes_on_a_terminal_and_plain_lines_elsewhere():
    here, there = os.openpty()
    with os.fdopen(there, "w") as terminal:
        line = trial.Line(terminal)
        line.say("1 s  100% handled")
        line.close()
    assert line.live is None
    shown = all_shown(here)
    assert "100% handled" in shown and "\x1b[" in shown
    read, write = os.pipe()
    with os.fdopen(write, "w") as plain:
        line = trial.Line(plain)
        line.say("1 s  100% handled")
        line.close()
    assert os.read(read, 4096) == b"1 s  100% handled\n"
    os.close(read)
