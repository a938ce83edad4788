"""Stand-ins on loopback, by the public protocol alone: cache hosts and an origin with cores, a queue and a
memory, and discovery with its watch. Each can be told to misbehave while it runs."""

import json
import socket
from collections import OrderedDict, deque
from random import Random

from ..emulator.hosts import MISS_PART, STOPPED, Memory, Stop, warmth
from ..model import SECOND
from ..net.loop import READ
from ..net.messages import Answer, MessageFault, RequestReader, encode_answer
from ..net.stream import Stream
from .scripted import instance

BACKLOG = 256
MOST_PREAMBLE = 107  # bytes of a PROXY line, version 1 (haproxy.org, the PROXY protocol, section 2.1)
KEEP_ALIVE = 2 * SECOND  # an empty line on a watch, while nothing changes
# A host answers as it should; with 500 at once; by a reset; not at all; or with half of what it promised.
WELL, ERRS, RESETS, SILENT, SPOILS = "well", "errs", "resets", "silent", "spoils"
FAULTS = (WELL, ERRS, RESETS, SILENT, SPOILS)


class Listener:
    """A loopback listener whose connections are `kind(loop, sock, self)`."""

    proxied = False  # whether the first line of a connection says whose it is

    def __init__(self, loop, kind):
        self.loop, self.kind, self.connections = loop, kind, {}
        self.listen(("127.0.0.1", 0))

    def listen(self, place):
        self.sock = socket.create_server(place, backlog=BACKLOG)
        self.sock.setblocking(False)
        self.loop.watch(self.sock, READ, self._take_in)

    @property
    def place(self):
        return "{}:{}".format(*self.sock.getsockname())

    def _take_in(self, _mask):
        for _ in range(BACKLOG):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections[self.kind(self.loop, sock, self)] = None

    def close(self):
        self.loop.unwatch(self.sock)
        self.sock.close()
        for connection in list(self.connections):
            connection.close()


class HostSide(Stream):
    """A balancer's connection. Behind a relay its first line says whose it is (PROXY protocol, version 1)."""

    node = -1  # the balancer's number, where a relay tells it

    def __init__(self, loop, sock, host):
        self.host, self.reader = host, RequestReader()
        self.preamble = bytearray() if host.proxied else None
        super().__init__(loop, sock)

    def received(self, data):
        if self.preamble is not None:
            self.preamble += data
            line, gap, data = bytes(self.preamble).partition(b"\r\n")
            parts = line.split(b" ")
            if not gap and len(self.preamble) <= MOST_PREAMBLE:
                return
            if not gap or len(parts) != 6 or parts[:2] != [b"PROXY", b"TCP4"] or not parts[4].isdigit():
                self.close()
                return
            self.preamble, self.node = None, int(parts[4]) - 1
            if not data:
                return
        try:
            request = self.reader.feed(data)
        except MessageFault as fault:
            self.write(encode_answer(Answer(fault.status), True))
            self.close()
            return
        if request is not None:
            self.reader.taken()
            self.host.asked(self, request)

    def reset(self):
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.close()

    def released(self):
        self.loop.soon(self.reader.forget)
        self.host.connections.pop(self, None)


class HostStandin(Listener):
    """A cache host, or the origin, that serves as `machine` (emulator.scenario.Machine) says.

    `fleet` hears of misses, fetches, writes and of each request's coming and end; with `warming`, the share
    that a fresh host has of its capacity and the ns in which it warms up, it starts cold."""

    def __init__(self, loop, name, machine, fleet, origin=False, seed=1, warming=None, proxied=False):
        self.proxied, self.warming, self.started = proxied, warming, loop.now()
        self.silent_until, self.stop = 0, Stop(machine.stops if origin else 0.0)
        super().__init__(loop, HostSide)
        self.name, self.machine, self.fleet, self.origin = name, machine, fleet, origin
        self.random, self.memory = Random(f"{seed}/{name}"), Memory(machine.keeps)
        self.busy, self.queue, self.manner, self.times = 0, deque(), WELL, 1.0
        self.asked_for, self.runs = 0, []  # requests that came; ids of writes that were carried out

    def warmth(self):
        """The part of its capacity that it has; one that does not start cold has all."""
        return warmth(self.loop.now(), self.started, *self.warming) if self.warming else 1.0

    def asked(self, connection, request):
        self.asked_for += 1
        if self.manner == SILENT or self.loop.now() < self.silent_until:
            return
        self.fleet.reached(self, connection, request)
        if self.stop.passed(self.loop.now()):
            self.silent_until = self.loop.now() + STOPPED
            self.queue.clear()
            self.fleet.fell(self)
            return
        if self.manner == RESETS:
            connection.reset()
        elif self.manner == ERRS:
            self.fleet.ended(self, connection, request, "ERROR")
            connection.write(encode_answer(Answer(500), False))
        elif self.busy >= self.machine.cores and len(self.queue) >= self.machine.queue:
            self.fleet.ended(self, connection, request, "FULL")
            head = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
            connection.write(head)
        else:
            self.queue.append((connection, request))
            self._begin()

    def _begin(self):
        while self.queue and self.busy < self.machine.cores:
            connection, request = self.queue.popleft()
            key, write = request.target.rpartition(b"/")[2], request.method == b"PUT"
            held = write or self.origin or key in self.memory
            work = self.machine.service * self.times / self.warmth() * (1.0 if held else MISS_PART)
            work *= 1.0 if self.machine.law == "fixed" else self.random.expovariate(1.0)
            self.busy += 1
            at = self.loop.now() + int(work)
            self.loop.at(at, lambda c=connection, r=request, k=key, h=held: self._finish(c, r, k, h))

    def _finish(self, connection, request, key, held):
        self.busy -= 1
        write = request.method == b"PUT"
        if self.manner == SILENT or self.loop.now() < self.silent_until:
            self._begin()  # its work is lost, as nobody hears of it
            return
        if self.origin and write:
            self.runs.append(request.trace)
            self.fleet.ran(self, request)
            self.fleet.void(key)
        if write and not self.origin or not held:
            self.fleet.missed(request.trace, self)
            self.fleet.ended(self, connection, request, "MISS")
            connection.write(encode_answer(Answer(404), False))
        elif self.manner == SPOILS:
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\nhalf")
            connection.reset()
        else:
            if self.origin and not write:
                self.fleet.fetched(request.trace, key)
            self.fleet.ended(self, connection, request, "HANDLED")
            connection.write(encode_answer(Answer(200, b"value of " + key), False))
        self._begin()


class WatchSide(Stream):
    def __init__(self, loop, sock, discovery):
        self.discovery, self.reader, self.watching = discovery, RequestReader(), False
        super().__init__(loop, sock)

    def received(self, data):
        try:
            request = self.reader.feed(data)
        except MessageFault:
            self.close()
            return
        if request is not None and not self.watching:
            self.watching = True
            self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.tell(self.discovery.whole())
            self._alive()

    def _alive(self):
        if self.open:
            self.write(b"1\r\n\n\r\n")
            self.loop.at(self.loop.now() + KEEP_ALIVE, self._alive)

    def tell(self, tree):
        line = json.dumps(tree).encode() + b"\n"
        self.write(b"%x\r\n%b\r\n" % (len(line), line))

    def released(self):
        self.loop.soon(self.reader.forget)
        self.discovery.connections.pop(self, None)


class DiscoveryStandin(Listener):
    """The list of hosts, and a watch on it for whoever asks."""

    def __init__(self, loop):
        super().__init__(loop, WatchSide)
        self.generation, self.entries = 1, {}

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def tell(self, entry):
        """A host that is new, has changed, or is gone ("terminated")."""
        self.generation += 1
        self.entries[entry["instanceId"]] = entry
        if entry["lifecycle"] == "terminated":
            del self.entries[entry["instanceId"]]
        change = {"generation": self.generation, "reset": False, "instances": [entry]}
        for connection in [c for c in self.connections if c.watching]:
            connection.tell(change)


class Unheard:
    """What a stand-in host tells of itself, for a fleet that does not listen."""

    def reached(self, host, connection, request): ...

    def ended(self, host, connection, request, outcome): ...

    def ran(self, host, request): ...

    def fell(self, host): ...


class Fleet(Unheard):
    """Discovery, cache hosts and origin of a scenario, in this process."""

    def __init__(self, loop, played, seed=1):
        self.loop, self.misses = loop, OrderedDict()
        self.discovery = DiscoveryStandin(loop)
        self.caches = [
            HostStandin(loop, f"s-{i:04x}", played.cache, self, seed=seed) for i in range(played.fleet.caches)
        ]
        self.origin = HostStandin(loop, "origin", played.origin, self, origin=True, seed=seed)
        for i, host in enumerate([*self.caches, self.origin]):
            zone = "z0" if host.origin else f"z{i % played.fleet.zones}"
            kind = "origin" if host.origin else "box"
            self.discovery.entries[host.name] = instance(host.name, host.place, kind, zone=zone)

    def missed(self, trace, host):
        self.misses.setdefault(trace, []).append(host)
        while len(self.misses) > 10_000:
            self.misses.popitem(last=False)

    def fetched(self, trace, key):
        for host in self.misses.pop(trace, ())[:2]:
            host.memory.keep(key)

    def void(self, key):
        for host in self.caches:
            host.memory.pop(key, None)

    def close(self):
        for one in (self.discovery, self.origin, *self.caches):
            one.close()
