"""Processes of the program that keep a view of the fleet, and a network between them with faults.

Each member reaches the others at a socket of the hub's, which carries datagrams on from the sender's own:
later, twice, spoilt, or not at all, as it is told for each way. It answers the same words as the simulated
fleet (`swim/simulation.py`), so that one player and one judge serve both. What members show is asked at their
operators' doors."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from time import monotonic

from ..model import MS, SECOND
from ..net.loop import READ, Loop
from ..net.stream import Stream, dial
from ..swim.faults import corrupt
from ..swim.settings import SwimSettings, time_bounds
from .ports import free_address
from .processes import ROOT, RigFault
from .scripted import SETTINGS, instance, update

STARTS = 4.0  # seconds for a process to be up: it counts towards the bound after a start
MOST = 2048  # bytes of a datagram
PATIENCE = 0.5  # seconds for a process to show its view
DELAY = 0.3, 1.5  # ms of a way
LATE_PART, LATEST = 0.02, 0.2  # so many of them are late, by up to so much of a period


class Front:
    """Where others reach a member: what comes here is for it, and what it sends comes from here."""

    def __init__(self, hub, owner):
        self.hub, self.owner = hub, owner
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.place = self.sock.getsockname()
        hub.loop.watch(self.sock, READ, self._readable)

    def _readable(self, _mask):
        while True:
            try:
                data, source = self.sock.recvfrom(MOST)
            except BlockingIOError:
                return
            except OSError:
                continue
            self.hub.carry(source, self.owner, data)

    def close(self):
        self.hub.loop.unwatch(self.sock)
        self.sock.close()


class Hub:
    """The network. `blocked` are ways (from, to) that carry nothing."""

    def __init__(self, loop, seed, period):
        self.loop, self.random, self.period = loop, Random(f"hub/{seed}"), period
        self.fronts, self.members = {}, {}  # by owner; owner by its own address
        self.blocked, self.loss, self.spoilt = set(), 0.0, 0.0
        self.carried = self.bytes = 0

    def join(self, owner, listen):
        """A new address for it; the old one leads nowhere from now on."""
        if owner in self.fronts:
            self.fronts.pop(owner).close()
        self.members = {place: one for place, one in self.members.items() if one.owner != owner}
        self.fronts[owner] = self.members[listen] = Front(self, owner)
        self.fronts[owner].listen = listen
        return self.fronts[owner].place

    def leave(self, owner):
        self.fronts.pop(owner).close()
        self.members = {place: one for place, one in self.members.items() if one.owner != owner}

    def carry(self, source, owner, data):
        sender, target, random = self.members.get(source), self.fronts.get(owner), self.random
        if sender is None or target is None or (sender.owner, owner) in self.blocked:
            return
        self.carried += 1
        self.bytes += len(data)
        if random.random() < self.loss:
            return
        data, copies = corrupt(data, random, self.spoilt)
        for _ in range(copies):
            delay = random.uniform(*DELAY) * MS
            if random.random() < LATE_PART:
                delay += random.random() * LATEST * self.period * SECOND
            self.loop.at(self.loop.now() + int(delay), lambda: self._pass(sender, target, data))

    def _pass(self, sender, target, data):
        if sender.sock.fileno() < 0 or self.fronts.get(target.owner) is not target:
            return
        try:
            sender.sock.sendto(data, target.listen)
        except OSError:
            pass  # nobody is there

    def close(self):
        for owner in list(self.fronts):
            self.leave(owner)


class Call(Stream):
    """One line to an operators' door; `text` is what it answers."""

    def __init__(self, loop, place, line):
        self.line, self.text, self.over = line, b"", False
        super().__init__(loop, dial(place), dialing=True)

    def connected(self):
        self.write(self.line + b"\n")

    def received(self, data):
        self.text += data

    def released(self):
        self.over = True


class Member:
    def __init__(self, name, owner):
        self.name, self.owner, self.process, self.still = name, owner, None, False
        self.listen, self.operator = free_address(), free_address()


class Mesh:
    """So many balancers with a view of the fleet, and the network between them. Use as a context."""

    def __init__(self, members, seed=1, period=0.2, stewards=0, size=512, lease=1.0, keys=None):
        self.names = [f"b{i}" for i in range(members)]
        self.period, self.seeds, self.size = period, self.names[: 2 if members > 3 else 1], size
        self.stewards, self.lease, self.seed = self.names[:stewards], lease, seed
        self.keys = keys or [Random(f"key/{seed}").randbytes(32).hex()]
        self.loop, self.begin = Loop(), monotonic()
        self.hub = Hub(self.loop, seed, period)
        self.members, self.twins, self.changed_at, self.up = {}, [], {}, set()
        self.keep = tempfile.TemporaryDirectory(prefix="hopsail-mesh-")
        settings = SwimSettings(
            name="b0",
            fleet="mesh",
            listen_address=("", 1),
            advertised_address=("", 1),
            keys=(b"",),
            period_ns=int(period * SECOND),
        )
        self.convergence_bound = time_bounds(settings, members).convergence_ns / SECOND + STARTS

    def __enter__(self):
        try:
            for name in self.names:
                member = self.members[name] = Member(name, name)
                self.hub.join(name, member.listen)
            for name in self.names:
                self.start(name)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        every = [*self.members.values(), *self.twins]
        for member in every:
            if member.process is not None and member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
        for member in every:
            if member.process is not None:
                member.process.wait()
        self.hub.close()
        self.loop.close()
        self.keep.cleanup()

    # What a fleet can be told to do.

    def _launch(self, member, place):
        folder = Path(self.keep.name) / member.owner  # each has a disk of its own
        folder.mkdir(exist_ok=True)
        seeds = [self._text(self.hub.fronts[seed].place) for seed in self.seeds if seed != member.name]
        tree = {
            "name": member.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
            "operator": self._text(member.operator), "limits": {"sockets": 128, "memory_mb": 64},
            "settings": SETTINGS | {"balancers": len(self.names)},
            "known": update(1, instance("h0", "127.0.0.1:9"), reset=True),
            "view": {"fleet": "mesh", "listen": self._text(member.listen), "advertise": self._text(place),
                      "keys": self.keys, "seeds": seeds, "period_ms": round(1000 * self.period),
                      "datagram": self.size, "stewards": self.stewards,
                      "lease_ms": round(1000 * self.lease)},
        }  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(tree))
        code = os.pathsep.join(filter(None, [ROOT, os.environ.get("PYTHONPATH")]))
        environment = os.environ | {"NODE_CONFIG": str(path), "TMPDIR": str(folder), "PYTHONPATH": code}
        log = (folder / "log").open("ab")
        member.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "hopsail"], env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=log, start_new_session=True,
        )  # fmt: skip
        log.close()

    @staticmethod
    def _text(place):
        return "{}:{}".format(*place)

    def start(self, name, moved=False):
        member = self.members[name]
        if member.process is not None and member.process.poll() is None:
            self._end(member)
        if moved:
            member.listen, member.operator = free_address(), free_address()
            self.hub.join(name, member.listen)
        self._launch(member, self.hub.fronts[name].place)
        self.changed_at[name] = self.now()
        self.up.add(name)

    def _end(self, member):
        member.process.kill()
        member.process.wait()

    def kill(self, name):
        self._end(self.members[name])
        self.changed_at[name] = self.now()
        self.up.discard(name)

    def leave(self, name):
        self.members[name].process.send_signal(signal.SIGTERM)
        self.changed_at[name] = self.now()
        self.up.discard(name)

    def stop(self, name):
        self._signal(name, signal.SIGSTOP, still=True)

    def resume(self, name):
        self._signal(name, signal.SIGCONT, still=False)

    def _signal(self, name, number, still):
        member = self.members[name]
        member.process.send_signal(number)
        member.still, self.changed_at[name] = still, self.now()

    def start_duplicate(self, name):
        member = Member(name, f"twin-{name}-{len(self.twins)}")
        self._launch(member, self.hub.join(member.owner, member.listen))
        self.twins.append(member)
        return member

    def end_duplicate(self, member):
        self._end(member)
        self.hub.leave(member.owner)

    def block(self, sender, receiver):
        self.hub.blocked.add((sender, receiver))

    def heal(self):
        self.hub.blocked.clear()

    def set_loss(self, rate):
        self.hub.loss = rate

    def set_corruption(self, rate):
        self.hub.spoilt = rate

    def rekey(self, name, keys):
        """Another ring of keys in its file, which it takes over on SIGHUP."""
        path = Path(self.keep.name) / name / "config.json"
        tree = json.loads(path.read_text())
        tree["view"]["keys"] = self.keys = keys
        path.write_text(json.dumps(tree))
        self.members[name].process.send_signal(signal.SIGHUP)

    # What can be seen of it.

    def now(self):
        return monotonic() - self.begin

    def can_reach(self, a, b):
        here = a in self.up and b in self.up
        still = here and (self.members[a].still or self.members[b].still)
        return here and not still and (a, b) not in self.hub.blocked

    def unchanged_for(self, name):
        return self.now() - self.changed_at[name]

    def ask(self, line, names=None):
        """What the operators' doors of these members answer, for those that do in time."""
        calls = {}
        for name in self.up if names is None else names:
            if not self.members[name].still:
                try:
                    calls[name] = Call(self.loop, self.members[name].operator, line)
                except OSError:
                    continue
        until = monotonic() + PATIENCE
        while monotonic() < until and not all(call.over for call in calls.values()):
            self.loop.round(0.002)
        for call in calls.values():
            call.close()
        return {name: call.text.decode().strip() for name, call in calls.items() if call.text.endswith(b"\n")}

    def snapshots(self):
        found = {}
        for name, text in self.ask(b"show-fleet").items():
            if text.startswith("{"):
                found[name] = json.loads(text)
        return found

    def run(self, seconds):
        until = monotonic() + seconds
        while (left := until - monotonic()) > 0:
            self.loop.round(min(left, 0.01))

    def failed(self):
        """A process that has ended by itself, with the end of its log."""
        for name in sorted(self.up):
            process = self.members[name].process
            if process.poll() is not None:
                log = (Path(self.keep.name) / name / "log").read_text(errors="replace")
                raise RigFault(f"{name} ended with {process.returncode}: {log[-400:]}")
        return False
