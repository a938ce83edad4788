"""Costs of the router fleet's two programs: processor time, memory and bytes on the wire.

    PYTHONPATH=. python benchmarks/fleet_costs.py [--part data|control|memory|feed] [--repeats 3]

Prints JSON lines: measurements, and lines fitted to them by least squares, each coefficient with its standard
error. Times are processor times of this process alone, which drives the program under test; the hosts and the
clients of the data plane's part are other processes, on loopback. Children are ended after
`LONGEST` seconds. Memory is what Python allocates, but resident growth for the placement."""

import argparse
import gc
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import tracemalloc
from math import sqrt
from random import Random
from statistics import median
from time import process_time, sleep
from typing import NamedTuple

from hopsail.configuration.items import split_items
from hopsail.configuration.process import parse_settings
from hopsail.dataplane.placement import Placement
from hopsail.dataplane.plane import DataPlane
from hopsail.dataplane.prompt import Prompt
from hopsail.dataplane.view import FleetView
from hopsail.feed.journal import Change, Journal
from hopsail.feed.messages import POLL, ChangeStruct, PollReply, PollRequest
from hopsail.feed.publisher import Publisher
from hopsail.feed.topics import DATA_PLANE_TOPICS, Topic
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase, encode
from hopsail.hosts.view import HostView
from hopsail.http.server import HttpServer
from hopsail.net.loop import READ
from hopsail.prompts.prefix import Part
from hopsail.rpc.frames import Kind, Message, pack
from hopsail.rpc.structs import encode as encode_struct

SECOND = 1_000_000_000  # ns
MICROSECONDS = 1e6  # in a second
START = 1000 * SECOND
LONGEST = 300  # s that a child process lives
SETTINGS = (
    "NodeName=n1\nZone=z1\nIp=127.0.0.1\nPortRange=9000,9010\n"
    "Listen.Frontend=127.0.0.1:9001\nListen.Readiness=127.0.0.1:9002\n"
)

EVENT_COUNTS, REQUEST_COUNTS = (5, 60), (48, 160)
HOSTS, CLIENTS = 9, 16  # of the data plane's part; a client is one connection
BODY = b"hello"
EVENT_PAUSE = 0.002  # s between the events of a stream, so that each comes by itself
SIZES, PLACE_SIZES = (100, 1_000, 12_000), (9, 100, 1_000, 12_000)  # hosts
PLACES = 300  # calls that a median is taken of
TENANTS, ROUTES, KEPT, KEPT_SALTS = 48_000, 1_000, 262_144, 4
FOLLOWERS, CHANGES = (100, 400), 20
MEMBERS = [f"core-{number}" for number in range(5)]


class Estimate(NamedTuple):
    """A fitted coefficient."""

    value: float
    standard_error: float


def show(**figures) -> None:
    """Prints one line of JSON."""
    print(json.dumps(figures), flush=True)


def fit(rows: list[tuple[float, ...]], values: list[float]) -> list[Estimate]:
    """Least squares: the coefficients of the rows' columns."""
    width = len(rows[0])
    normal = [[sum(row[i] * row[j] for row in rows) for j in range(width)] for i in range(width)]
    inverse = inverted(normal)
    moments = [sum(row[i] * value for row, value in zip(rows, values, strict=True)) for i in range(width)]
    found = [sum(inverse[i][j] * moments[j] for j in range(width)) for i in range(width)]
    left = sum(
        (value - sum(a * b for a, b in zip(row, found, strict=True))) ** 2
        for row, value in zip(rows, values, strict=True)
    )
    variance = left / (len(rows) - width)
    return [Estimate(found[i], sqrt(variance * inverse[i][i])) for i in range(width)]


def inverted(matrix: list[list[float]]) -> list[list[float]]:
    """The inverse of a positive definite matrix, by Gauss and Jordan."""
    size = len(matrix)
    both = [row[:] + [float(i == j) for j in range(size)] for i, row in enumerate(matrix)]
    for i in range(size):
        both[i] = [value / both[i][i] for value in both[i]]
        for j in range(size):
            if j != i:
                factor = both[j][i]
                both[j] = [a - factor * b for a, b in zip(both[j], both[i], strict=True)]
    return [row[size:] for row in both]


def show_line(name: str, unit: str, points: list[tuple[float, float]]) -> None:
    """Fits a line to points of size and microseconds."""
    base, slope = fit([(1.0, size) for size, _ in points], [value for _, value in points])
    show(
        fit=name,
        base_us=round(base.value, 2),
        base_se=round(base.standard_error, 2),
        unit=unit,
        slope_us=round(slope.value, 5),
        slope_se=round(slope.standard_error, 5),
    )


def timed(act) -> float:
    """Microseconds of processor time that a call takes."""
    began = process_time()
    act()
    return (process_time() - began) * MICROSECONDS


# Scripted hosts and clients, in processes of their own


def read_request(sock) -> bytes:
    """A request with the body that all have here; empty when the connection has ended."""
    seen = b""
    while not seen.endswith(b"\r\n\r\n" + BODY):
        piece = sock.recv(65536)
        if not piece:
            return b""
        seen += piece
    return seen


def value_of(head: bytes, name: bytes) -> bytes:
    lines = head.split(b"\r\n")
    return next(line.partition(b": ")[2] for line in lines if line.lower().startswith(name + b":"))


def serve_connection(sock) -> None:
    """Answers each request with as many events as its `x-events` asks for."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while head := read_request(sock):
        identifier = value_of(head, b"hopsail-attempt-id")
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nHopsail-Attempt-Id: %b\r\nHopsail-Server-Seal: s\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % identifier
        )
        for number in range(int(value_of(head, b"x-events"))):
            sleep(EVENT_PAUSE)
            event = b'id: %d\ndata: {"token": "piece %d of an answer"}\n\n' % (number + 1, number + 1)
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")


def accept_for_ever(listener) -> None:
    while True:
        sock = listener.accept()[0]
        threading.Thread(target=serve_connection, args=(sock,), daemon=True).start()


def run_hosts() -> None:
    """Prints the hosts' ports and serves until the parent closes the input."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(HOSTS)]
    for listener in listeners:
        threading.Thread(target=accept_for_ever, args=(listener,), daemon=True).start()
    print(*[listener.getsockname()[1] for listener in listeners], flush=True)
    sys.stdin.read()


def ask(sock, path: str, number: int, events: int) -> None:
    """One request; a failure ends the process, as its cost is not that of a whole stream."""
    sock.sendall(
        b"POST /%b/x HTTP/1.1\r\nHost: h.example\r\nHopsail-Attempt-Id: %016x\r\n"
        b"Authorization: Bearer key-1\r\nHopsail-Model: m\r\nHopsail-Prompt-Prefix: 5c1e:800,%x:200\r\n"
        b"Hopsail-Token-Count: 1000,60\r\nX-Events: %d\r\nContent-Length: %d\r\n\r\n%b"
        % (path.encode(), number, number, events, len(BODY), BODY)
    )
    seen = b""
    while not seen.endswith(b"0\r\n\r\n"):
        piece = sock.recv(65536)
        seen += piece
        if not piece or not seen.startswith(b"HTTP/1.1 200"):
            print("failed", seen[:200], file=sys.stderr, flush=True)
            os._exit(1)
    if seen.count(b"data: ") != events:
        print("lost events", file=sys.stderr, flush=True)
        os._exit(1)


def ask_all(sock, path: str, numbers: range, events: int) -> None:
    for number in numbers:
        ask(sock, path, number, events)


def run_clients(port: int) -> None:
    """For each line of path, requests and events: makes them, then prints a line."""
    socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(CLIENTS)]
    serial = 1
    for line in sys.stdin:
        path, requests, events = line.split()
        shares = [range(serial + i, serial + int(requests), CLIENTS) for i in range(CLIENTS)]
        serial += int(requests)
        threads = [
            threading.Thread(target=ask_all, args=(sock, path, share, int(events)))
            for sock, share in zip(socks, shares, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print("done", flush=True)


def start_child(*arguments: str) -> subprocess.Popen:
    child = subprocess.Popen(
        [sys.executable, __file__, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    timer = threading.Timer(LONGEST, child.kill)
    timer.daemon = True
    timer.start()
    return child


# The data plane


def instance(number: int, phase=Phase.SERVING, address=None, warmup: int = 0) -> Instance:
    where = address or Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8000)
    models = (ModelRevision("m", 1),)
    return Instance(f"instance-{number:06d}", "s", where, "z1", 4, phase, warmup, models, "v1")


def route(name: str, path: str, **more) -> dict:
    made = {"Name": name, "Hostname": "h.example", "PathPrefix": path, "DeadlineMs": 60_000}
    return made | {"Service": "s", "RouteKind": "streaming", "MaxTries": 2} | more


def configuration(routes: list[dict], tenants: int = 1) -> dict:
    made = [
        {"Name": f"tenant-{number:05d}", "ApiKeys": [f"key-{number}"], "Priority": 1}
        for number in range(1, tenants + 1)
    ]
    return {"Revision": 1, "Routes": routes, "Services": [{"Name": "s"}], "Tenants": made}


def instance_changes(instances) -> list[Change]:
    return [Change(Topic.INSTANCE, one.identifier, encode(one)) for one in instances]


def configuration_changes(content: dict) -> list[Change]:
    return [Change(Topic.CONFIGURATION, key, value) for key, value in split_items(content).items()]


def state_of(changes: list[Change]) -> dict:
    return {(change.topic, change.key): change.value for change in changes}


def settle(plane: DataPlane, clients: subprocess.Popen, path: str, requests: int, events: int) -> float:
    """Seconds of processor time of this process for one run."""

    def done(_):
        if clients.stdout.readline() != "done\n":
            raise SystemExit("a client failed")
        plane.loop.stop()

    plane.loop.running = True
    plane.loop.watch(clients.stdout, READ, done)
    clients.stdin.write(f"{path} {requests} {events}\n")
    clients.stdin.flush()
    began = process_time()
    plane.loop.run()
    took = process_time() - began
    plane.loop.unwatch(clients.stdout)
    return took


def measure_data_plane(repeats: int) -> None:
    hosts = start_child("--role", "hosts")
    ports = [int(port) for port in hosts.stdout.readline().split()]
    plane = DataPlane(parse_settings(SETTINGS))
    signal.signal(signal.SIGTERM, signal.SIG_DFL)  # the benchmark is not drained
    signal.signal(signal.SIGINT, signal.default_int_handler)
    routes = [route("plain", "/plain/"), route("resumable", "/resumable/", Resumable=True)]
    listed = [instance(n, address=Address("127.0.0.1", port)) for n, port in enumerate(ports)]
    changes = configuration_changes(configuration(routes)) + instance_changes(listed)
    plane.view.apply(plane.loop.now(), "c1", state_of(changes), changes)
    front = HttpServer(plane.loop, ("127.0.0.1", 0), plane.handle, plane.limits)
    clients = start_child("--role", "clients", "--port", str(front.sock.getsockname()[1]))
    try:
        settle(plane, clients, "plain", 4 * CLIENTS, 5)  # connections are made, code is warm
        for path in ("plain", "resumable"):
            measure_streams(plane, clients, path, repeats)
    finally:
        clients.kill()
        hosts.kill()
        front.close()
        plane.loop.close()


def measure_streams(plane: DataPlane, clients: subprocess.Popen, path: str, repeats: int) -> None:
    rows, values = [], []
    for _ in range(repeats):
        for requests in REQUEST_COUNTS:
            for events in EVENT_COUNTS:
                took = settle(plane, clients, path, requests, events) * MICROSECONDS
                rows.append((1.0, requests, requests * events))
                values.append(took)
                show(part="data", path=path, requests=requests, events=events, cpu_ms=round(took / 1000, 2))
    base, request, event = fit(rows, values)
    show(
        fit=f"data plane, {path} stream",
        base_us=round(base.value),
        base_se=round(base.standard_error),
        request_us=round(request.value, 1),
        request_se=round(request.standard_error, 1),
        event_us=round(event.value, 2),
        event_se=round(event.standard_error, 2),
    )


# Views of hosts


def measure_views(repeats: int) -> None:
    points: dict[str, list[tuple[float, float]]] = {}
    for _ in range(repeats):
        for size in SIZES:
            for name, took in view_times(size).items():
                points.setdefault(name, []).append((size, took))
    for name, taken in points.items():
        for size in SIZES:
            times = [round(took, 1) for at, took in taken if at == size]
            show(part="control", what=name, hosts=size, median_us=median(times), us=times)
        show_line(name, "instance", taken)
    places = [(size, place_time(size)) for _ in range(repeats) for size in PLACE_SIZES]
    for size in PLACE_SIZES:
        times = [round(took, 1) for at, took in places if at == size]
        show(part="control", what="Placement.place", hosts=size, median_us=median(times), us=times)
    show_line("Placement.place", "host", places)


def view_times(size: int) -> dict[str, float]:
    """Microseconds of each step, at so many instances."""
    listed = [instance(number) for number in range(size)]
    changed = [listed[0].with_phase(Phase.DRAINING), *listed[1:]]
    hosts, view = HostView(), FleetView()
    placement = Placement(parse_settings(SETTINGS), view, Random(1))
    changes = instance_changes(listed)
    one = instance_changes([listed[1].with_phase(Phase.DRAINING)])
    state = state_of(changes)
    gc.collect()
    times = {
        "HostView.apply_listing, all new": timed(lambda: hosts.apply_listing(START, listed, 1)),
        "HostView.apply_listing, unchanged": timed(lambda: hosts.apply_listing(START + SECOND, listed, 1)),
        "HostView.apply_listing, one changed": timed(
            lambda: hosts.apply_listing(START + 2 * SECOND, changed, 1)
        ),
        "HostView.apply_instance, one changed": timed(
            lambda: hosts.apply_instance(START + 3 * SECOND, listed[2].with_phase(Phase.DRAINING))
        ),
        "FleetView.apply, all new": timed(lambda: view.apply(START, "c1", state, changes)),
        "FleetView.apply, told again by another feed": timed(lambda: view.apply(START, "c2", state, changes)),
        "Placement.renew, all new": timed(placement.renew),
    }
    times["FleetView.apply, one changed"] = timed(lambda: view.apply(START + SECOND, "c1", state, one))
    times["Placement.renew, one changed"] = timed(placement.renew)
    return times


def place_time(size: int) -> float:
    """Median microseconds of a choice among so many hosts."""
    view = FleetView()
    placement = Placement(parse_settings(SETTINGS), view, Random(1))
    changes = instance_changes([instance(number) for number in range(size)])
    view.apply(START, "c1", state_of(changes), changes)
    placement.renew()
    random, times = Random(2), []
    for number in range(PLACES):
        shared = Part(f"{random.randrange(64):x}", 800)
        prompt = Prompt("m", (shared, Part(f"{number:x}", 200)), 1000, 60)
        now = START + number * SECOND // 100
        times.append(timed(lambda p=prompt, n=now: placement.place(n, "s", p, None, 0, set())))
    return median(times)


# Memory


def resident() -> int:
    """Bytes of this process that are in memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_placement_memory() -> None:
    view = FleetView()
    placement = Placement(parse_settings(SETTINGS), view, Random(1))
    changes = instance_changes(instance(number) for number in range(max(SIZES)))
    view.apply(START, "c1", state_of(changes), changes)
    gc.collect()
    before = resident()
    placement.renew()
    gc.collect()
    grown = resident() - before
    show(
        part="memory",
        what="placement, resident growth",
        entries=len(changes),
        bytes=grown,
        bytes_an_entry=round(grown / len(changes), 1),
    )


def measure_memory() -> None:
    parts = {
        "instances": lambda: instance_changes(instance(number) for number in range(max(SIZES))),
        "tenants and routes": lambda: configuration_changes(
            configuration([route(f"r{n}", f"/r{n}/") for n in range(ROUTES)], TENANTS)
        ),
        "kept parts": lambda: [
            Change(
                Topic.PREFIX_CACHE,
                f"instance-{n % max(SIZES):06d} salt-{n % KEPT_SALTS} {n * 2654435761:016x}",
                b"800",
            )
            for n in range(KEPT)
        ],
    }
    measure_placement_memory()
    view = FleetView()
    tracemalloc.start()
    total = 0
    for name, make in parts.items():
        gc.collect()
        before = tracemalloc.get_traced_memory()[0]
        changes = make()
        entries = len(changes)
        state = state_of(changes)
        view.apply(START, "c1", state, changes)
        del changes
        gc.collect()
        with_state = tracemalloc.get_traced_memory()[0] - before
        del state
        gc.collect()
        alone = tracemalloc.get_traced_memory()[0] - before
        total += alone
        show(
            part="memory",
            what=name,
            entries=entries,
            view_bytes=alone,
            view_bytes_an_entry=round(alone / entries, 1),
            one_feed_state_bytes=with_state - alone,
            with_one_feed_bytes_an_entry=round(with_state / entries, 1),
        )
    tracemalloc.stop()
    show(
        part="memory",
        what="view in all, without placement",
        view_mb=round(total / (1 << 20), 1),
        kept=len(view.kept),
    )


# Feed


def reply_of(changes: list[Change]) -> PollReply:
    told = [ChangeStruct(topic=change.topic, key=change.key, value=change.value) for change in changes]
    return PollReply(
        node=MEMBERS[0], incarnation=START, sequence=9, changes=told, members=MEMBERS, leader_age_ms=20
    )


def wire(reply: PollReply) -> bytes:
    return pack(Message(POLL, Kind.REPLY, 1, encode_struct(reply)))


def measure_bytes() -> None:
    before = split_items(configuration([route("r0", "/r0/"), route("r1", "/r1/")]))
    after = split_items(
        configuration([route("r0", "/r0/", DeadlineMs=5000), route("r1", "/r1/")]) | {"Revision": 2}
    )
    patch = [Change(Topic.CONFIGURATION, key, value) for key, value in after.items() if before[key] != value]
    replies = {
        "nothing": [],
        "one route and the revision": patch,
        "one instance": instance_changes([instance(1)]),
        "one kept part": [
            Change(Topic.PREFIX_CACHE, "instance-000001 9c41d07be2a35f68 5c1e07a25c1e07a2", b"800")
        ],
    }
    for name, changes in replies.items():
        show(part="feed", what=name, changes=len(changes), bytes=len(wire(reply_of(changes))))


class Waiting:
    """The way back to a follower: encodes as the server does, sends nothing."""

    def __call__(self, reply: PollReply) -> None:
        self.frame = wire(reply)

    def on_closed(self, callback) -> None:
        self.callback = callback


def publisher_times(followers: int) -> list[tuple[float, float]]:
    """Microseconds of each of some changes: to tell all followers, and to take their next polls."""
    journal = Journal(1, 100_000)
    publisher = Publisher(journal, lambda: START, MEMBERS[0])
    topics = [int(topic) for topic in DATA_PLANE_TOPICS]
    waiting, times = Waiting(), []

    def poll_all():
        for number in range(followers):
            publisher.poll(
                PollRequest(
                    node=f"edge-{number}",
                    role="dataplane",
                    zone="z1",
                    incarnation=1,
                    sequence=journal.sequence,
                    wait_ms=5000,
                    topics=topics,
                ),
                waiting,
            )

    poll_all()
    for number in range(CHANGES):
        one = instance_changes([instance(number)])[0]
        told = timed(lambda one=one: journal.set(one.topic, one.key, one.value))
        times.append((told, timed(poll_all)))
        assert publisher.parked == followers
    return times


def measure_publisher(repeats: int) -> None:
    telling, polling = [], []
    for _ in range(repeats):
        for followers in FOLLOWERS:
            told, polled = zip(*publisher_times(followers), strict=True)
            telling.append((followers, median(told)))
            polling.append((followers, median(polled)))
    for name, points in (("telling one change", telling), ("taking the next polls", polling)):
        for followers in FOLLOWERS:
            middle = median(took for count, took in points if count == followers)
            show(part="feed", what=f"Publisher, {name}", followers=followers, median_us=round(middle, 1))
        show_line(f"Publisher, {name}", "follower", points)


def measure_feed(repeats: int) -> None:
    measure_bytes()
    measure_publisher(repeats)


def show_load(when: str) -> None:
    show(load_average=os.getloadavg(), processors=os.cpu_count(), when=when)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=("data", "control", "memory", "feed"))
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--role", choices=("hosts", "clients"), help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role == "hosts":
        run_hosts()
        return
    if options.role == "clients":
        run_clients(options.port)
        return
    parts = {
        "data": lambda: measure_data_plane(options.repeats),
        "memory": measure_memory,
        "feed": lambda: measure_feed(options.repeats),
        "control": lambda: measure_views(options.repeats),
    }
    show_load("before")
    for name in [options.part] if options.part else parts:
        parts[name]()
    show_load("after")


if __name__ == "__main__":
    main()
