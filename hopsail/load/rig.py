"""A fleet on loopback whose troubles can be played: processes of its own for hosts, network and balancers.

Each balancer reaches hosts through a relay with the scenario's delays, and has a discovery of its own,
so that it can be parted from either. Crashes kill the rig's own children, by their ids. What hosts,
discovery and clients saw is kept as a trace of the emulator's form, and judged by the same checkers
(`emulator/rules.py`)."""

import json
import os
import re
import secrets
import tempfile
from collections import Counter, defaultdict
from dataclasses import asdict
from math import ceil
from pathlib import Path
from random import Random
from time import monotonic, monotonic_ns, time_ns

from .. import series as figures
from ..model import MS, SECOND
from ..net.loop import READ, Loop
from ..net.stream import Stream, dial
from .child import FOLDER
from .generator import CLIENTS, Load, loopback, settings
from .ports import free_address, free_port
from .processes import Child, RigFault, descriptors, end
from .scripted import instance
from .standins import RESETS, SILENT, WELL, DiscoveryStandin
from .standstills import Heartbeat, Standstill
from .verdict import CLIENTS_NAME, RELAY_NAME, judge, standing

BACK_AFTER = SECOND // 2  # that a balancer which was killed is away, as in the emulator
LINES = 60  # of a balancer's log that are kept
STARTS_WITHIN = 15.0  # seconds for a balancer to listen
PORTS = 3  # tries to find a free one: between finding and binding, another may take it
CONNECTIONS = 128  # descriptors of each process for its connections, beside listeners


class HostProcess:
    """A host: its process, its place in the list, and its state."""

    def __init__(self, rig, index, name, zone, machine, origin):
        self.rig, self.index, self.name, self.zone = rig, index, name, zone
        self.machine, self.origin, self.child, self.started_ns = machine, origin, None, 0
        self.times, self.reached, self.connections = 1.0, 0, 0

    def start(self, cold=False):
        rules_ = self.rig.played.rules
        self.started_ns = monotonic_ns() if cold else 0
        self.child = Child(self.rig.loop, "host", {
            "name": self.name, "machine": asdict(self.machine), "origin": self.origin,
            "seed": f"{self.rig.seed}/{self.started_ns}",
            "warming": [rules_.start, rules_.warm] if cold else None,
        }, lambda *told: self.rig.heard(self, *told))  # fmt: skip

    def placed(self):
        """Waits until it listens, and leads the ways to it there."""
        self.rig.relay.order(["lead", [self.index, self.child.first()]])

    def order(self, word, value):
        if self.child is not None:
            self.child.order([word, value])

    def slow(self, factor):
        self.times *= factor
        self.order("times", self.times)


class BalancerProcess:
    """A balancer: its process, its discovery, its addresses."""

    def __init__(self, rig, index):
        self.rig, self.index, self.child, self.lives = rig, index, None, 0
        self.name, self.zone = f"n{index}", index % rig.played.fleet.zones
        self.discovery = Discovery(rig, self)
        self.place = self.operator = None
        self.lines, self.up, self.aside = [], False, 0  # aside: hosts that it sends nothing, as it last told

    def start(self):
        rig = self.rig
        listen = "{}:{}".format(*self.place) if self.place else "127.0.0.1:0"
        path = Path(rig.folder) / f"{self.name}.json"
        tree = {
            "name": self.name, "listen": listen, "seed": f"{self.index + 1 + 1000 * self.lives:x}",
            "discovery": self.discovery.place, "known": self.discovery.whole(),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "settings": settings(rig.played) | {"myZone": self.zone},
            "storms": {"control": rig.played.storms.control, "originPerS": rig.played.storms.origin},
        } | self._peers()  # fmt: skip
        self.operator = tree["operator"] = self.operator or f"127.0.0.1:{free_port()}"
        path.write_text(json.dumps(tree))
        self.lives += 1
        self.child = Child(rig.loop, "balancer", heard=self._heard,
                           environment={"NODE_CONFIG": str(path), "TMPDIR": rig.folder})  # fmt: skip
        pipe = self.child.process.stderr
        os.set_blocking(pipe.fileno(), False)
        self.buffer, self.child.watched = b"", True
        rig.loop.watch(pipe, READ, lambda _mask, child=self.child: self._log(child))

    def _heard(self, word, at, value):
        if word == "stood":
            self.rig.stood(self.name, at, value)

    def _peers(self):
        places = self.rig.peers
        if not places:
            return {}
        seeds = [place for place in places[:2] if place != places[self.index]]
        return {"view": {"fleet": "try", "listen": places[self.index], "keys": [self.rig.key], "seeds": seeds,
                          "period_ms": 300}}  # fmt: skip

    def _log(self, child):
        try:
            data = os.read(child.process.stderr.fileno(), 1 << 16)
        except (BlockingIOError, ValueError):
            return
        if not data:
            self.rig.loop.unwatch(child.process.stderr)
            child.watched = False
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            text = line.decode(errors="replace")
            self.lines = [*self.lines[-LINES:], text]
            if " listens on " in text and child is self.child:
                self.place, self.up = loopback(text.split()[-1]), True

    def waited(self):
        """Until it listens; at another operators' port, if a program has taken the one it was to have."""
        for _ in range(PORTS):
            ends = monotonic() + STARTS_WITHIN
            while not self.up and self.child.process.poll() is None and monotonic() < ends:
                self.rig.loop.round(0.01)
            if self.up:
                return
            self.unlog()
            self.child.kill()
            self.operator = None
            if self.place is None:
                self.start()
        raise RigFault(f"balancer {self.name} did not start: {' / '.join(self.lines[-2:])[-300:]}")

    def unlog(self):
        if self.child.watched:
            self.rig.loop.unwatch(self.child.process.stderr)
            self.child.watched = False

    def kill(self, away=BACK_AFTER):
        """Dies as it stands, and starts again soon."""
        if not self.up or self.rig.ending:
            return
        self.up = False
        self.unlog()
        self.child.kill()
        self.rig.trace.append(("died", monotonic_ns(), self.index))
        if self.rig.load is not None:
            self.rig.load.broken(self.place)
        self.rig.loop.at(self.rig.loop.now() + away, lambda: self.rig.ending or self.start())


class Look(Stream):
    """A call at a balancer's operators' door: how many hosts it has set aside."""

    def __init__(self, loop, balancer):
        self.balancer, self.text = balancer, b""
        super().__init__(loop, dial(loopback(balancer.operator)), dialing=True)

    def connected(self):
        self.write(b"show-stat\n")

    def received(self, data):
        self.text += data
        if self.text.endswith(b"end\n"):
            found = re.search(rb"^app_out_of_rotation (\d+)$", self.text, re.MULTILINE)
            self.balancer.aside = int(found[1]) if found else 0
            self.close()


class Discovery(DiscoveryStandin):
    """One balancer's discovery: what it was told, and when, is kept for the rules."""

    def __init__(self, rig, balancer):
        self.rig, self.balancer = rig, balancer
        super().__init__(rig.loop)
        self.address, self.told = self.sock.getsockname(), {}

    def whole(self):
        rig, now, index = self.rig, monotonic_ns(), self.balancer.index
        self.generation = max(self.generation, rig.generation)
        self.told = dict.fromkeys(rig.entries, rig.generation)
        self.entries = {name: self._placed(entry) for name, entry in rig.entries.items()}
        for entry in rig.entries.values():
            rig.note(now, index, entry)
        rig.trace.append(("whole", now, index, set(rig.entries)))
        return super().whole()

    def _placed(self, entry):
        """The entry with this balancer's own way to the host."""
        way = self.rig.ways[self.balancer.index][self.rig.named[entry["instanceId"]].index]
        return entry | {"hostPort": way}

    def hear(self, generation, entry):
        """A change, as the watch brings it; without a watch the whole list tells of it."""
        if self.sock is None or not any(one.watching for one in self.connections):
            return
        if generation <= self.told.get(entry["instanceId"], 0):
            return  # an older change that comes later says nothing any more
        self.told[entry["instanceId"]] = generation
        self.rig.note(monotonic_ns(), self.balancer.index, entry)
        self.tell(self._placed(entry))

    def part(self, cut):
        """Cut off: connections end, and none comes up."""
        if cut and self.sock is not None:
            self.loop.unwatch(self.sock)
            self.sock.close()
            self.sock = None
            for one in list(self.connections):
                one.close()
        elif not cut and self.sock is None and not self.rig.ending:
            try:
                self.listen(self.address)
            except OSError as fault:
                self.rig.fail(f"discovery's port was taken by another: {fault.strerror}")

    @property
    def place(self):
        return "{}:{}".format(*self.address)


class Rig:
    """A scenario's fleet as processes. Use as a context: on leaving, all of them have ended."""

    def __init__(self, played, seed=1, halted=lambda: False, peers=False):
        fleet = played.fleet
        ways = fleet.balancers * (fleet.caches + 1)
        descriptors(max(2 * ways + 4 * CONNECTIONS, 8 * (fleet.balancers + fleet.caches)))
        self.played, self.seed, self.ending = played, seed, False
        self.halted = halted  # whether somebody wants it to end
        self.peers = ["{}:{}".format(*free_address()) for _ in range(fleet.balancers)] if peers else []
        self.key = secrets.token_hex(32)
        self.loop, self.trace, self.failed = Loop(), [], None
        self.entries, self.generation, self.load = {}, 1, None
        self.written = Counter()  # writes that the origin has carried out, by key
        self.out = {}  # legs that have reached a host, by request and host
        self.missed = defaultdict(list)  # hosts that lacked a request's key, by the request
        self.standstills = defaultdict(list)  # of the processes, by their names
        Heartbeat(self.loop, self.standstills[CLIENTS_NAME].append)
        self.hosts = [HostProcess(self, i, f"s-{i:04x}", i % fleet.zones, played.cache, False)
                      for i in range(fleet.caches)]  # fmt: skip
        self.origin = HostProcess(self, fleet.caches, "origin", 0, played.origin, True)
        self.all = [*self.hosts, self.origin]
        self.named = {host.name: host for host in self.all}
        self.relay, self.balancers, self.samples = None, [], []
        self.folder = tempfile.TemporaryDirectory(prefix=FOLDER)
        self.keep, self.folder = self.folder, self.folder.name

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def _start(self):
        network, zones = self.played.network, self.played.fleet.zones
        delays = [[network.same if i % zones == host.zone else network.cross for host in self.all]
                  for i in range(self.played.fleet.balancers)]  # fmt: skip
        self.relay = Child(self.loop, "relay", {"seed": self.seed, "delays": delays, "loss": network.loss},
                           self._relayed)  # fmt: skip
        for host in self.all:
            host.start()
        self.ways = self.relay.first()
        for host in self.all:
            if self.halted():
                raise InterruptedError
            host.placed()
            self.entries[host.name] = self._entry(host, "in_service")
        self.balancers = [BalancerProcess(self, i) for i in range(self.played.fleet.balancers)]
        for one in self.balancers:
            one.start()
        for one in self.balancers:
            if self.halted():
                raise InterruptedError
            one.waited()
        self.await_watches()

    def await_watches(self):
        ends = monotonic() + STARTS_WITHIN
        while monotonic() < ends and not all(
            any(c.watching for c in one.discovery.connections) for one in self.balancers
        ):
            self.loop.round(0.01)

    def close(self):
        self.ending = True
        children = [one.child for one in self.balancers if one.child is not None]
        for one in self.balancers:
            if one.child is not None:
                one.unlog()
            if one.discovery.sock is not None:
                one.discovery.close()
        children += [host.child for host in self.all if host.child is not None]
        end([*children, *([self.relay] if self.relay is not None else [])])
        self.loop.close()
        self.keep.cleanup()

    def fail(self, why):
        self.failed = why
        self.loop.stop()

    def _relayed(self, word, at, value):
        if word == "failed":
            self.fail(value)
        elif word == "stood":
            self.stood(RELAY_NAME, at, value)

    def stood(self, name, end, begin):
        """A process tells that it did not run in this span."""
        self.standstills[name].append(Standstill(begin, end))

    # What hosts tell.

    def heard(self, host, word, at, *values):
        if word == "reached":
            trace, node = values
            host.reached += 1
            number = self.load.number_of(trace) if self.load is not None else None
            if number is None:
                return
            cold = any(self._cold(one, at) for one in self.missed.get(trace, ()))
            self.trace.append(("reached", at, host.name, node, host.origin and cold))
            self.trace.append(("sent", at, node, number, host.reached, host.name))
            self.out[trace, host.name] = host.reached
            second = (at + self.loop.offset - self.load.begin) // SECOND
            self.load.series.count(second, "legs")
            self.load.series.count(second, "fetches", int(host.origin))
        elif word == "ended":
            trace, node, outcome = values
            number, leg = self.out.pop((trace, host.name), None), None
            if number is not None and (leg := self.load.number_of(trace)) is not None:
                self.trace.append(("ended", at, node, leg, number, outcome))
                second = (at + self.loop.offset - self.load.begin) // SECOND
                self.load.series.count(second, "misses", int(outcome == "MISS"))
        elif word == "ran":
            number = self.load.number_of(values[0]) if self.load is not None else None
            if number is not None:
                self.trace.append(("ran", at, number, host.name))
        elif word == "fell":
            self.trace.append(("fell", at, host.name))
        elif word == "missed":
            self.missed[values[0]].append(host)
            while len(self.missed) > 20_000:
                del self.missed[next(iter(self.missed))]
        elif word == "fetched":
            trace, key = values
            for one in self.missed.pop(trace, ())[:2]:
                one.order("keep", key)
        elif word == "void":
            self.written[values[0]] += 1
            for one in self.hosts:
                one.order("void", values[0])
        elif word == "counted":
            host.connections = values[0]
        elif word == "stood":
            self.stood(host.name, at, *values)

    def _cold(self, host, at):
        return host.started_ns and at < host.started_ns + self.played.rules.warm

    # Discovery.

    def _entry(self, host, state):
        kind = "origin" if host.origin else "box"
        started = (time_ns() - monotonic_ns() + host.started_ns) // MS if host.started_ns else 0
        return instance(host.name, "127.0.0.1:1", kind, state, started, f"z{host.zone}")

    def note(self, now, index, entry):
        state = {"in_service": "READY", "terminating": "DRAINING", "terminated": "GONE"}[entry["lifecycle"]]
        host = self.named[entry["instanceId"]]
        self.trace.append(("told", now, index, host.name, state, host.started_ns))

    def tell(self, host, state):
        """Discovery learns of a change, and tells each balancer after a delay of its own."""
        self.generation += 1
        generation, entry = self.generation, self._entry(host, state)
        self.entries[host.name] = entry
        if state == "terminated":
            del self.entries[host.name]
        random = Random(f"{self.seed}/list {host.name} {generation}")
        for one in self.balancers:
            delay = int(self.played.lists.delay * (0.5 + random.random()))
            self.loop.at(self.loop.now() + delay, lambda one=one: one.discovery.hear(generation, entry))

    # Troubles.

    def play(self, load):
        """Sets the scenario's troubles on the loop; `load` has begun."""
        self.load = load
        for i, trouble in enumerate(self.played.trouble):
            if trouble.what in CLIENTS:
                load.trouble(trouble)
                continue
            random, act = Random(f"{self.seed}/trouble {i}"), getattr(self, f"_{trouble.what}")
            self.loop.at(load.begin + trouble.at, lambda t=trouble, r=random, a=act: a(t, r))
        load.watchers.append(self._sample)

    def _sample(self, second):
        up = [one for one in self.balancers if one.up]
        aside = sum(one.aside for one in up) / max(1, len(up))
        self.samples.append((second, sum(host.connections for host in self.all), aside))
        for host in self.all:
            host.order("count", None)
        for one in up:
            try:
                Look(self.loop, one)
            except OSError:
                one.aside = 0  # it is on its way down, or this process has no descriptor left

    def _some(self, of, trouble, random):
        return random.sample(of, min(len(of), max(1, ceil(trouble.part * len(of)))))

    def _later(self, trouble, act):
        self.loop.at(self.loop.now() + trouble.lasts, lambda: self.ending or act())

    def _crash(self, trouble, random, hosts=None):
        for host in hosts if hosts is not None else self._some(self.hosts, trouble, random):
            if host.child is None:
                continue
            self.relay.order(["lead", [host.index, None]])
            host.child.kill()
            host.child = None
            notice = min(self.played.lists.silent, trouble.lasts)
            self.loop.at(self.loop.now() + notice, lambda host=host: self._unlist(host))
            self._later(trouble, lambda host=host: self._back(host))

    def _unlist(self, host):
        if host.child is None and not self.ending:
            self.tell(host, "terminated")

    def _back(self, host):
        if host.child is None:
            host.times = 1.0
            host.start(cold=True)
            host.placed()
            self.tell(host, "in_service")

    def _zone(self, trouble, random):
        lost = random.randrange(self.played.fleet.zones)
        self._crash(trouble, random, [host for host in self.hosts if host.zone == lost])

    def _mannered(self, trouble, random, manner):
        for host in self._some(self.hosts, trouble, random):
            host.order("manner", manner)
            self._later(trouble, lambda host=host: host.order("manner", WELL))

    def _silence(self, trouble, random):
        self._mannered(trouble, random, SILENT)

    def _resets(self, trouble, random):
        self._mannered(trouble, random, RESETS)

    def _slow(self, trouble, random):
        self._slowed(self._some(self.hosts, trouble, random), trouble)

    def _brownout(self, trouble, random):
        self._slowed([self.origin], trouble)

    def _slowed(self, hosts, trouble):
        for host in hosts:
            host.slow(trouble.times)
            self._later(trouble, lambda host=host: host.slow(1 / trouble.times))

    def _drain(self, trouble, random):
        for host in self._some(self.hosts, trouble, random):
            self.tell(host, "terminating")
            self._later(trouble, lambda host=host: host.child and self.tell(host, "in_service"))

    def _partition(self, trouble, random):
        for one in self._some(self.balancers, trouble, random):
            one.discovery.part(True)
            self._later(trouble, lambda one=one: one.discovery.part(False))

    def _lose(self, trouble, random):
        for one in self._some(self.balancers, trouble, random):
            one.kill(trouble.lasts)

    def _restart(self, trouble, random):
        some = self._some(self.balancers, trouble, random)
        for i, one in enumerate(some):
            self.loop.at(self.loop.now() + i * trouble.lasts // len(some), one.kill)


def run(played, seed=1, told=None, rows=None, name=""):
    """Plays a scenario with its troubles on processes of its own; its figures.

    `told` gets a dict of figures each second; `rows` is the file for the series."""
    with Rig(played, seed) as rig:
        load = Load(rig.loop, played, [one.place for one in rig.balancers], seed)
        if told is not None:
            load.watchers.append(told)
        rig.play(load)
        found = load.run()
        if rig.failed:
            raise RigFault(rig.failed)
        return found | summary(rig, load, rows, name, seed)


def summary(rig, load, rows=None, name="", seed=1):
    """What the rig adds to a load's figures: hosts, rules, recovery."""
    broken, played = judge(rig), rig.played
    series = load.series
    for second, connections, aside in rig.samples:
        if (row := series.at(second)) is not None:
            row.connections, row.aside = connections, aside
    about = {"scenario": name, "policy": "hopsail on sockets", "seed": seed}
    recovered = figures.recovered(series, played, rows, about)
    asked = [host.reached for host in rig.hosts]
    counts = defaultdict(int)
    for event in rig.trace:
        if event[0] == "ran":
            counts[event[2]] += 1
    return {
        "fetches": rig.origin.reached, "most_to_mean": round(max(asked) * len(asked) / max(1, sum(asked)), 3),
        "ran_twice": sum(1 for number, times in counts.items()
                         if times > 1 and load.effect_of(number) == "once"),
        "origin_falls": sum(event[0] == "fell" for event in rig.trace),
        "stood_still": round(standing(rig), 4),
        **{f"broken_{rule}": len(found) for rule, found in broken.items()},
        "broken": [text for found in broken.values() for _, text in found][:10], "recovery": recovered,
    }  # fmt: skip
