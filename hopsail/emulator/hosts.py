"""Modelled cache hosts and the origin: cores, a queue, a table of connections, a memory, a warm-up."""

from collections import OrderedDict, deque

from ..model import SECOND, Outcome, Report
from .clock import ANSWER

MISS_PART = 0.2  # of a read's work that a miss costs
COUNTED = 2 * SECOND  # over which an origin's requests are counted, against what stops it
STOPPED = 5 * SECOND  # that it then answers nothing


class Memory(OrderedDict):
    """Keys that a cache keeps, the one that was used longest ago first to go."""

    def __init__(self, keeps):
        super().__init__()
        self.keeps = keeps

    def keep(self, key):
        self[key] = None
        self.move_to_end(key)
        if len(self) > self.keeps:
            self.popitem(last=False)


class Stop:
    """What an origin is sent, against what stops it: requests a second, 0 = nothing does."""

    def __init__(self, rate):
        self.rate, self.lately = rate, deque()

    def passed(self, now):
        """Notes a request; True when it is one too many, and counting begins anew."""
        if not self.rate:
            return False
        self.lately.append(now)
        while self.lately[0] < now - COUNTED:
            self.lately.popleft()
        if len(self.lately) <= self.most():
            return False
        self.lately.clear()
        return True

    def most(self):
        """Requests that it bears in the time over which they are counted."""
        return self.rate * COUNTED / SECOND


def warmth(now, started, share, warm):
    """The part of its capacity that a host has: `share` at its start, evenly more until it is warm."""
    return 1.0 if now >= started + warm else share + (1 - share) * (now - started) / warm


class Host:
    def __init__(self, world, name, zone, machine, origin, started=0):
        self.world, self.name, self.zone, self.machine = world, name, zone, machine
        self.origin, self.started = origin, started
        self.random, self.next = world.stream(f"host {name} {started}"), None
        self.queue, self.busy, self.connections = deque(), 0, 0
        self.memory = Memory(machine.keeps)
        self.up, self.silent_until, self.times = True, 0, 1.0  # times: slower than usual
        self.stop, self.reads = Stop(machine.stops if origin else 0.0), 0
        self.resets = False  # under each request
        self.served, self.worked, self.told_at, self.told = 0, 0, 0, None  # for its load reports

    def warmth(self, now):
        """The part of its capacity that it has; one that was there from the beginning has all."""
        rules = self.world.scenario.rules
        return warmth(now, self.started, rules.start, rules.warm) if self.started else 1.0

    def arrive(self, job):
        """A whole request has come; its answer, if any, leaves later."""
        now = self.world.clock.now
        if not self.up or now < self.silent_until:
            return  # nobody answers; the balancer's limit ends the leg
        self.world.trace.append(("reached", now, self.name, job.node.index, job.cold_miss))
        if self.stop.passed(now):
            self.silent_until = now + STOPPED
            self.queue.clear()
            self.world.trace.append(("fell", now, self.name))
            return
        if self.busy >= self.machine.cores and len(self.queue) >= self.machine.queue:
            self.world.answer(job, Outcome.FULL)
            return
        if self.resets:
            self.world.answer(job, Outcome.RESET)
            return
        self.queue.append(job)
        self._begin()

    def report(self):
        """Its load as it last told it: what a deployment's hosts renew at intervals, not at each answer."""
        now, every = self.world.clock.now, self.world.scenario.feedback.every
        if self.told is None or now >= self.told_at + every:
            span, waiting = max(1, now - self.told_at), len(self.queue)
            busy = min(1.0, self.worked / (span * self.machine.cores)) if self.told else 0.0
            rate = self.served * SECOND / span if self.told else 0.0
            service = self.worked / self.served if self.served else self.machine.service
            self.told = Report(waiting, self.busy + waiting, busy, rate, service)
            self.served, self.worked, self.told_at = 0, 0, now
        return self.told

    def _begin(self):
        while self.queue and self.busy < self.machine.cores:
            job, now = self.queue.popleft(), self.world.clock.now
            self.busy += 1
            job.held = job.write or self.origin or job.key in self.memory
            fixed = self.machine.law == "fixed"
            if job.size is None:
                work = self.machine.service * (1.0 if fixed else self.draw())
            else:
                work = self.machine.service * job.size
            work *= self.times / self.warmth(now) * (1.0 if job.held else MISS_PART)
            self.served, self.worked = self.served + 1, self.worked + int(work)
            job.ends = now + int(work)
            self.world.clock.at(job.ends, ANSWER, self._finish, job, self.started)

    def draw(self):
        """The next request's work, in mean ones."""
        drawn, self.next = self.next, None
        return self.random.expovariate(1.0) if drawn is None else drawn

    def foreseen(self):
        """What the next `draw` will be: for the bound, which sees also chance."""
        if self.next is None:
            self.next = self.random.expovariate(1.0)
        return self.next

    def _finish(self, job, started):
        if started != self.started or not self.up:
            return  # it died, or was started anew, under this work
        self.busy -= 1
        if self.world.clock.now >= self.silent_until:
            self._carry_out(job)
        self._begin()

    def _carry_out(self, job):
        now = self.world.clock.now
        if self.origin:
            if job.write:
                self.world.trace.append(("ran", now, job.request, self.name))
                self.world.void(job.key)
            self.world.answer(job, Outcome.HANDLED)
        elif job.write:
            self.world.answer(job, Outcome.MISS)
        elif job.held:
            if job.key in self.memory:
                self.memory.move_to_end(job.key)
            self.reads += 1
            self.world.answer(job, Outcome.HANDLED)
        else:
            self.reads += 1
            self.world.answer(job, Outcome.MISS)

    def die(self):
        self.up, self.busy, self.connections = False, 0, 0
        self.queue.clear()

    def start(self):
        """Under its old address and name, with nothing in memory."""
        self.die()
        self.up, self.started, self.memory = True, self.world.clock.now, Memory(self.machine.keeps)
        self.stop.lately.clear()
