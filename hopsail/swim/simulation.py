"""The same core on a simulated network, seeded: for thousands of schedules, and for large fleets."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from ..model import MS, SECOND
from .protocol import Core
from .faults import spoilt
from .settings import Rules, bounds

KEY = bytes(range(32))
STORM = 100  # datagrams a member each period, on the mean: calm fleets send less than ten
INBOX = 200  # datagrams that wait for a process that stands still, as in a socket's buffer


class StormFault(RuntimeError):
    """Messages cause messages without end."""


class Process:
    def __init__(self, name, place, core, at):
        self.name, self.place, self.core, self.at = name, place, core, at
        self.stopped, self.inbox, self.sent, self.bytes = False, [], 0, 0


class Sim:
    """A fleet of so many members. Times are seconds outside, ns inside."""

    def __init__(self, members, seed=1, period=1.0, size=512, loss=0.0, stewards=0, core=Core, **more):
        self.random, self.core = Random(f"sim/{seed}"), core
        self.names = [f"b{i}" for i in range(members)]
        self.rules = {}
        self.period, self.seeds, self.clock = period, self.names[: 2 if members > 3 else 1], 0
        self.events, self.serial, self.ports = [], count(), count(1)
        self.processes, self.at, self.blocked, self.kept = {}, {}, set(), {}
        self.loss, self.spoilt = loss, 0.0
        self.changed_at, self.carried = {}, 0
        self.more = {"period": int(period * SECOND), "size": size, "keys": (KEY,), "fleet": "sim",
                     "stewards": tuple(self.names[:stewards])} | more  # fmt: skip
        self.places = {name: self._place() for name in self.names}
        for name in self.names:
            self.start(name)
        some = self.processes[self.names[0]].core.rules
        self.bound = bounds(some, members)["settle"] / SECOND

    def _place(self):
        port = next(self.ports)
        return f"10.{port >> 16}.{port >> 8 & 255}.{port & 255}", 7000

    # What a fleet can be told to do.

    def start(self, name, moved=False, at=None):
        if moved:
            self.places[name] = self._place()
        place = at or self.places[name]
        seeds = tuple(self.places[seed] for seed in self.seeds if seed != name)
        rules = Rules(name=name, listen=place, place=place, seeds=seeds, **self.more)
        # A disk that keeps lives: one is later than the last, also when the clock stood still.
        life, places = self.kept.get(name, (0, ()))
        life = max(life + 1, self.clock // MS)
        self.kept[name] = (life, places)
        core = self.core(rules, Random(f"{self.random.random()}"), self.clock, life)
        core.earlier = tuple(places)
        core.holder.balancers = len(self.names)
        process = Process(name, place, core, self.clock)
        if at is None:
            self.processes[name] = process
            self.changed_at[name] = self.clock
        self.at[place] = process
        self._turn(process)
        return process

    def kill(self, name):
        process = self.processes.pop(name)
        self.kept[name] = (process.core.life, process.core.places())
        self.at.pop(process.place, None)
        process.core = None
        self.changed_at[name] = self.clock

    def leave(self, name):
        process = self.processes[name]
        process.core.leave(self.clock)
        self._flush(process)
        self.kept[name] = (process.core.life, process.core.places())
        self.changed_at[name] = self.clock

    def stop(self, name, still):
        process = self.processes[name]
        process.stopped, self.changed_at[name] = still, self.clock
        if not still:
            inbox, process.inbox = process.inbox, []
            for data in inbox:
                process.core.received(self.clock, data)
            self._turn(process)

    def twin(self, name):
        return self.start(name, at=self._place())

    def end_twin(self, process):
        self.at.pop(process.place, None)
        process.core = None

    def link(self, a, b, up):
        (self.blocked.discard if up else self.blocked.add)((a, b))

    def heal(self):
        self.blocked.clear()

    def lossy(self, part):
        self.loss = part

    def garbled(self, part):
        self.spoilt = part

    # What can be seen of it.

    def now(self):
        return self.clock / SECOND

    def reach(self, a, b):
        here = a in self.processes and b in self.processes
        still = here and (self.processes[a].stopped or self.processes[b].stopped)
        return here and not still and (a, b) not in self.blocked

    def calm_for(self, name):
        return (self.clock - self.changed_at[name]) / SECOND

    def look(self):
        return {name: process.core.shown(self.clock) for name, process in self.processes.items()
                if not process.stopped and not process.core.leaving}  # fmt: skip

    # How it goes on.

    def run(self, seconds):
        until = self.clock + int(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.clock, _, act, args = heappop(self.events)
            act(*args)
        self.clock = until

    def _later(self, at, act, *args):
        heappush(self.events, (at, next(self.serial), act, args))

    def _turn(self, process):
        if process.core is None or process.stopped:
            return
        process.core.tick(self.clock)
        self._flush(process)
        process.at = process.core.due
        self._later(process.at, self._due, process, process.at)

    def _due(self, process, at):
        if process.at == at:
            self._turn(process)

    def _flush(self, process):
        out, process.core.out = process.core.out, []
        for place, data in out:
            process.sent += 1
            process.bytes += len(data)
            self._carry(process, place, data)

    def _carry(self, process, place, data):
        self.carried += 1
        if self.carried > STORM * len(self.names) * (50 + self.now() / self.period):
            raise StormFault("the members send each other more and more")
        target, random = self.at.get(place), self.random
        if target is None or (process.name, target.name) in self.blocked or random.random() < self.loss:
            return
        data, copies = spoilt(data, random, self.spoilt)
        for _ in range(copies):
            # Now and then one is late, so that others overtake it.
            delay = random.uniform(0.2, 2.0) * MS
            if random.random() < 0.02:
                delay += random.random() * self.period * SECOND / 4
            self._later(self.clock + int(delay), self._arrive, target, data)

    def _arrive(self, target, data):
        if target.core is None:
            return
        if target.stopped:
            if len(target.inbox) < INBOX:
                target.inbox.append(data)
            return
        target.core.received(self.clock, data)
        self._flush(target)
