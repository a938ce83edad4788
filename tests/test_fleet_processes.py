"""The real programs among stand-ins on loopback: losses of processes and of a disk, and the verdict."""

import json
import shutil
import socket
from itertools import count
from pathlib import Path

import pytest

from hopsail.controlplane.shards import SHARD_NAMES
from hopsail.replication.storage import Storage
from hopsail.standins import fleet as fleet_module
from hopsail.standins.fleet import (
    FRONTEND_PORT,
    HOSTNAME,
    MODEL,
    TENANTS,
    Fleet,
    loads_of,
    route_item,
)
from hopsail.standins.ingress import Edge
from hopsail.standins.processes import Process

PER_SECOND = 20  # requests
BURST = 12  # requests at one moment
REACHED_WITHIN = 12  # s until a condition must hold
ENDS_WITHIN = 8  # s for a process that was asked to end
FIRST = [
    route_item("resumable", "/resumable/", resumable=True),
    route_item("once", "/once/", resumable=False),
]
ADDED = route_item("added", "/added/", resumable=False)
COUNTERS = "counters: "
LOG_LINES = 40  # of each process that are shown
FLEETS = count(1)
FLEET_STEP = 60  # between the second numbers of two fleets' addresses, of `SECOND_NUMBERS`
SECOND_NUMBERS = 250
SLOW_STEP_MS = 220  # a token, at slowed hosts
SLOW_TOKENS = 24  # of a stream there: longer than the grace leaves, and within its deadline
BUSY_FROM, LATE_FROM = 1.5, 3.4  # s after the SIGTERM


def tell_log(process: Process) -> None:
    """Prints the end of its log: pytest shows it when the test has failed."""
    print(f"== {process.machine.name}, status {process.child and process.child.returncode}")
    print("\n".join(process.log_lines()[-LOG_LINES:]))


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    # Addresses of its own, also beside another run of these tests: the third number is the process's.
    _, second, third = fleet_module.address_block().split(".")
    shifted = 1 + (int(second) - 1 + FLEET_STEP * next(FLEETS)) % SECOND_NUMBERS
    block = f"127.{shifted}.{third}"
    monkeypatch.setattr(fleet_module, "address_block", lambda: block)
    made = Fleet(tmp_path, edges=2, cores=3, hosts=2)
    yield made
    for process in made.processes:
        process.kill()
        tell_log(process)
    made.close()


def until(fleet: Fleet, reached, what: str, seconds: float = REACHED_WITHIN) -> None:
    assert fleet.run_until(reached, seconds), f"not reached: {what}"


def begin(fleet: Fleet) -> None:
    """All ready with a first configuration, under a load that is served."""
    fleet.start()
    put(fleet, 5)
    fleet.wait_until_ready()
    fleet.client.routes = loads_of(FIRST)
    fleet.client.start(PER_SECOND)
    until(fleet, lambda: all(fleet.served_on(route["Name"]) >= 3 for route in FIRST), "served on each route")


def put(fleet: Fleet, revision: int) -> None:
    whole = fleet.configuration(revision, FIRST)
    fleet.change(f"put {revision}", lambda done: fleet.operator.put(whole, 0, done))


def add_route(fleet: Fleet, current: int, revision: int) -> dict:
    """A change that is acknowledged; the whole configuration that it leads to."""
    whole = fleet.configuration(revision, [*FIRST, ADDED])
    change = {"Revision": revision, "Upsert": {"Routes": [ADDED]}}
    fleet.change(f"patch {revision}", lambda done: fleet.operator.patch(change, whole, current, done))
    return whole


def read_at(fleet: Fleet, process: Process):
    """The configuration that a control process gives."""
    fleet.operator.addresses = [(process.machine.address, fleet_module.CONTROL_PORT)]
    answer = fleet.answered(fleet.operator.read)
    assert answer.status == 200, answer
    return answer.tree


def lines_of(process: Process, text: str) -> list[str]:
    return [line for line in process.log_lines() if text in line]


def leader(fleet: Fleet) -> Process | None:
    """The control process that leads the configuration's part, as the logs tell."""
    for process in fleet.cores:
        told = lines_of(process, "part 0 ")
        if process.running and told and "part 0 led here" in told[-1]:
            return process
    return None


def settled_leader(fleet: Fleet) -> Process:
    until(fleet, lambda: leader(fleet) is not None, "a leader")
    return leader(fleet)


def finish(fleet: Fleet) -> None:
    """Ends the load and lets the last requests be answered; no rule may be broken."""
    fleet.client.stop()
    until(fleet, lambda: fleet.client.open == 0, "all requests over")
    verdict = fleet.verdict()
    assert verdict.violations == [] and not verdict.cut_off, verdict.lines()
    faults = [line for process in fleet.processes for line in process.faults()]
    assert faults == []


def counters_of(process: Process) -> dict:
    """The counters' last line in the log."""
    return json.loads(lines_of(process, COUNTERS)[-1].partition(COUNTERS)[2])


def ask_through(fleet: Fleet, edge: Edge, number: int) -> None:
    """So many requests at once, all through one data plane."""
    edges, fleet.ingress.edges = fleet.ingress.edges, [edge]
    routes = fleet.client.routes
    for one in range(number):
        fleet.client.ask(routes[one % len(routes)])
    fleet.ingress.edges = edges


def counts_again(process: Process, copy: Path) -> bool:
    """Whether the process has on its disk that it may vote in all parts, read from a copy of it."""
    shutil.rmtree(copy, ignore_errors=True)
    try:
        shutil.copytree(process.machine.data_path, copy)
    except shutil.Error:
        return False  # it has just replaced files
    storage = Storage.open(str(copy), SHARD_NAMES)
    try:
        parts = [storage.load(name) for name in SHARD_NAMES]
    finally:
        storage.close()
    return all(part is not None and part.recovered for part in parts)


class KeptConnection:
    """A client's connection that is used until the data plane closes it."""

    def __init__(self, address, name):
        self.sock = socket.create_connection((address, FRONTEND_PORT))
        self.sock.setblocking(False)
        self.name, self.asked = name, 0
        self.bytes, self.ended, self.was_reset = b"", False, False

    def ask(self, tokens):
        self.asked += 1
        self.bytes = b""
        head = [
            "POST /once/x HTTP/1.1",
            f"Host: {HOSTNAME}",
            f"Hopsail-Attempt-Id: {self.name:08x}{self.asked:08x}",
            f"Hopsail-Model: {MODEL}",
            f"Hopsail-Token-Count: 20,{tokens}",
            f"Hopsail-Prompt-Prefix: {self.name:08x}:20",
            "Hopsail-Deadline-Ms: 6000",
            "Authorization: Bearer " + TENANTS[0]["ApiKeys"][0],
            "Content-Length: 2",
        ]
        self.sock.sendall(("\r\n".join(head) + "\r\n\r\n{}").encode())

    def look(self):
        """Reads what has come."""
        try:
            while not self.ended:
                data = self.sock.recv(65536)
                self.bytes += data
                self.ended = not data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.ended = self.was_reset = True

    @property
    def status(self):
        self.look()
        return int(self.bytes.split(b" ", 2)[1]) if b"\r\n\r\n" in self.bytes else None

    @property
    def is_whole(self):
        """Whether the answer has come to its end."""
        self.look()
        head, _, body = self.bytes.partition(b"\r\n\r\n")
        if b"content-length" in head.lower():
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            return len(body) >= length
        return body.endswith(b"0\r\n\r\n")


def test_what_was_acknowledged_is_served_and_read_back_after_the_leader_is_killed(fleet):
    begin(fleet)
    victim = settled_leader(fleet)
    victim.kill()
    others = [process for process in fleet.cores if process is not victim]
    whole = add_route(fleet, 5, 9)
    fleet.client.routes += loads_of([ADDED])
    for process in others:
        assert read_at(fleet, process) == whole
    fleet.change("name version 2", lambda done: fleet.operator.name_version(MODEL, 2, done))
    until(fleet, lambda: fleet.served_on("added") >= 10, "served on the added route")
    until(fleet, lambda: all(host.models[MODEL] == 2 for host in fleet.hosts), "new weights at all hosts")
    finish(fleet)


def test_a_data_plane_that_is_told_to_end_loses_no_answer(fleet):
    begin(fleet)
    stopped = fleet.edges[-1]
    ask_through(fleet, fleet.ingress.edges[-1], BURST)
    until(fleet, lambda: sum(len(host.running) for host in fleet.hosts) >= 2, "requests at hosts")
    stopped.terminate()
    until(fleet, lambda: not stopped.running, "the data plane's end", ENDS_WITHIN)
    assert fleet.ingress.ready == 1  # it did not end before the entry had noticed
    assert stopped.child.returncode == 0
    told = counters_of(stopped)
    assert (told["why"], told["in_flight"]) == ("end", 0)
    finish(fleet)
    unanswered = [one for one in fleet.journal.tries if not one.complete]
    assert unanswered == []


def test_a_kept_connection_loses_no_stream_that_comes_late(fleet):
    """Such streams have been quick, but this one would outlast the grace: it is refused, not cut later."""
    begin(fleet)
    stopped, edge = fleet.edges[-1], fleet.ingress.edges[-1]
    fleet.client.stop()
    ask_through(fleet, edge, BURST)
    until(fleet, lambda: fleet.client.open == 0, "quick requests over")
    busy, late = (KeptConnection(stopped.machine.address, name) for name in (1, 2))
    for connection in (busy, late):
        connection.ask(2)
        until(fleet, lambda connection=connection: connection.is_whole, "a quick answer")
    for host in fleet.hosts:
        host.settings.step_ms = SLOW_STEP_MS
    stopped.terminate()
    fleet.run(BUSY_FROM)
    busy.ask(SLOW_TOKENS)
    fleet.run(LATE_FROM - BUSY_FROM)
    late.ask(SLOW_TOKENS)
    until(fleet, lambda: not stopped.running, "the data plane's end", ENDS_WITHIN)
    assert (busy.status, busy.is_whole, busy.was_reset) == (200, True, False)
    assert (late.status, late.is_whole, late.was_reset) == (503, True, False)
    assert b"connection: close" in late.bytes.lower() and b"hopsail-not-executed" in late.bytes.lower()


def test_a_control_process_whose_disk_was_emptied_counts_again(fleet, tmp_path):
    begin(fleet)
    wiped = next(process for process in fleet.cores if process is not settled_leader(fleet))
    wiped.kill()
    shutil.rmtree(wiped.machine.data_path)
    whole = add_route(fleet, 5, 9)  # acknowledged by the others alone
    Path(wiped.machine.data_path).mkdir()
    wiped.start()
    assert "Bootstrap=false" in wiped.settings.read_text()
    until(fleet, lambda: counts_again(wiped, tmp_path / "copy"), "the emptied process brought up to date")
    settled_leader(fleet).kill()
    assert read_at(fleet, wiped) == whole
    fleet.client.routes += loads_of([ADDED])
    until(fleet, lambda: fleet.served_on("added") >= 10, "served on the added route")
    finish(fleet)
