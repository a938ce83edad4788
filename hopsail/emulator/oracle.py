"""A bound on what any policy can earn: one mind over all balancers, with true sight and no rules to keep.

It sees what no balancer can: every queue and memory, which hosts answer and how warm they are, what
each piece of work that has begun will still take, and what the next one that a host begins will take.
It knows when a client's first try was made, so it does no work that can earn nothing any more. It may
send a second leg while one is out, and it keeps none of the four rules. What it cannot do: make a host
faster, foresee what clients will ask or what will break, or serve through a balancer that is dead.

- A read goes to the cache that will have it done first, among those that have the key; a key that none
  has is fetched once, whoever asks, into the cache with the least to do, and so is another copy of a
  key whose holders would be late while the origin has room.
- What the origin must do waits in one line for all balancers, by benefit, and goes out as the origin's
  cores come free and its stopping point allows; what can no longer be in time is turned away at once.
- A leg that will be late, or never end, gets another beside it if that can still be in time.

It is not proved to be the best: it is greedy. `ceiling` is an estimate from capacity beside it."""

from heapq import heapify, heappop, heappush
from itertools import count
from math import sqrt

from ..model import MS, SECOND, Leg, Outcome, Repeat, Send, WakeAt
from .clock import ANSWER, TIMER
from .hosts import COUNTED, MISS_PART
from .policies import Plain

MARGIN = MS // 2  # a leg that ends this close to the promised time is not counted on
SPARE = 2  # legs at the origin beyond its cores: they are on their way while a core comes free
LOOK = 2 * MS  # until a leg is looked at again whose work has not begun
HOPELESS = 0.1  # of the origin's mean work: in less time hardly any of it is done
WRITES = 1e9  # before any read, whatever its key
EASY = 0.5  # of the time left: a holder that needs more is helped by another copy, if the origin idles
IDLE = 0.5  # of the origin's cores free: then a copy costs nobody anything


class Sight:
    """What all balancers' bounds share: one for each run."""

    def __init__(self, world):
        self.world, self.serial, self.started = world, count(), False
        self.work = {}  # ns of work sent to each host whose end is not known here yet
        self.line, self.waits = [], 0  # for the origin: (rank, due, n, policy, r), and how many
        self.fetching = {}  # by key: who fetches it, through which balancer, and who waits for it
        self.asked = {}  # reads of each key so far: what a fetch will be worth to those that come


class Oracle(Plain):
    sight = None  # set by the emulator
    node = None  # the balancer that it sits in

    def arrived(self, now, r):
        r.patience = min(r.ends, r.mark.first + r.track.promised)  # after it nothing is earned
        r.hold = None
        self._serve(now, r)

    def withdrawn(self, now, r):
        r.done = True

    def _serve(self, now, r):
        """Sends it where it will be done first, lets it wait for the origin or a fetch, or turns it away."""
        if r.done:
            return
        if r.patience - now <= MARGIN:
            self._give_up(r, self._may_have_run(r))
        elif r.write:
            self._queue(now, r)
        else:
            if not r.legs:
                self.sight.asked[r.key] = self.sight.asked.get(r.key, 0) + 1
            self._read(now, r)

    def _may_have_run(self, r):
        return r.track.repeat is not Repeat.PURE and any(leg.outcome is not Outcome.MISS for leg in r.legs)

    def _read(self, now, r):
        sight, tried = self.sight, {leg.host.name for leg in r.legs if leg.outcome is Outcome.MISS}
        best, miss = None, None
        for entry in self.caches:
            host = sight.world.named[entry.name]
            if not host.up or now < host.silent_until or host.resets or self._full(host):
                continue
            held = r.key in host.memory
            if not held and entry.name in tried:
                continue
            ends = self._ends(now, host, held)
            if held and (best is None or ends < best[0]):
                best = ends, entry.name, entry
            elif not held and (miss is None or ends < miss[0]):
                miss = ends, entry.name, entry
        fetch = sight.fetching.get(r.key)
        if fetch is not None and (fetch[0] is r or fetch[0].done or fetch[1].node.balancer is not fetch[1]
                                  or not fetch[1].node.alive):  # fmt: skip
            fetch = None  # who fetched it has gone, with its balancer or without
        if best is not None and best[0] + MARGIN <= r.patience:
            easy = best[0] - now <= EASY * (r.patience - now)
            if easy or miss is None or fetch is not None or not self._idle(now):
                self._send(now, r, best[2], 1.0)
                return
        if fetch is not None:
            fetch[2].append((self, r))
            self.out.append(WakeAt(r.patience - MARGIN, r))
        elif miss is not None and miss[0] <= r.patience:
            # Always through a cache: what the origin answers past one is kept nowhere.
            sight.fetching[r.key] = r, self, sight.fetching.get(r.key, (None, None, []))[2]
            self._send(now, r, miss[2], MISS_PART)
        elif self.origin is not None:
            self._queue(now, r)
        else:
            self._give_up(r, False)

    # Hosts, as they are.

    def _away(self, host):
        return self.sight.world.away(self.node.zone, host.zone)

    def _full(self, host):
        return host.connections >= host.machine.connections and not self.node.idle.get(host, 0)

    def _ends(self, now, host, held):
        """When an answer would be back, if it were sent now."""
        travel = self._away(host) * (2 if self.node.idle.get(host, 0) else 4)
        pace = host.machine.service * host.times / host.warmth(now)
        waits = self.sight.work.get(host.name, 0) - (host.machine.cores - 1) * pace
        first = host.foreseen() if host.machine.law != "fixed" else 1.0
        own = pace * (first if waits <= 0 else 1.0) * (1.0 if held else MISS_PART)
        if waits > 0:
            waits += sqrt(waits * pace)  # work in a queue varies: by so much, about
        return now + travel + int(max(0.0, waits) / host.machine.cores + own)

    def _origin_host(self):
        return None if self.origin is None else self.sight.world.named[self.origin.name]

    def _idle(self, now):
        host = self._origin_host()
        return (
            host is not None
            and self._room(now, host)
            and not self.sight.line
            and (host.busy + len(host.queue) < IDLE * host.machine.cores)
        )

    def _origin_ends(self, now):
        host = self._origin_host()
        if host is None or not host.up or now < host.silent_until:
            return now + SECOND * 3600
        pace = host.machine.service * host.times
        waits = self.sight.waits + max(0, host.busy + len(host.queue) - host.machine.cores)
        return now + 4 * self._away(host) + int(pace * (1 + waits / host.machine.cores))

    def _room(self, now, host):
        """Whether the origin may be sent one more: it has a core, and stays below what stops it."""
        if not host.up or now < host.silent_until:
            return False
        out = round(self.sight.work.get(host.name, 0) / host.machine.service)
        if out >= host.machine.cores + SPARE:
            return False
        if not host.machine.stops:
            return True
        lately = sum(1 for at in host.stop.lately if at > now - COUNTED)
        arriving = max(0, out - host.busy - len(host.queue))
        return lately + arriving + 2 < host.stop.most()

    # The line for the origin.

    def _queue(self, now, r):
        sight = self.sight
        # Writes first: they earn at once; for what a fetch will earn, the caches must have room.
        rank = r.track.benefit * (WRITES if r.write else 1 + sight.asked.get(r.key, 0))
        heappush(sight.line, (-rank, r.patience, next(sight.serial), self, r))
        sight.waits += 1
        self.out.append(WakeAt(r.patience - MARGIN, r))
        self._pump(now)

    def _pump(self, now):
        """Sends on from the head of the line while the origin has room; each through its own balancer."""
        sight, host = self.sight, self._origin_host()
        if len(sight.line) > 2 * sight.waits + 64:
            sight.line = [entry for entry in sight.line if not entry[4].done]
            heapify(sight.line)
            sight.waits = len(sight.line)
        while sight.line and host is not None and self._room(now, host):
            entry = heappop(sight.line)
            sight.waits -= 1
            if not self._waits(now, entry):
                continue
            away, mean = 2 * self._away(host), host.machine.service * host.times
            least = now + away + int(mean * self._foreseen(host))
            if least > entry[1]:
                entry = self._instead(now, entry, least, entry[1] > now + away + int(HOPELESS * mean))
            _, _, _, policy, r = entry
            policy._send(now, r, policy.origin, 1.0)
            if policy is not self:
                policy._act(now)
        if sight.line and not sight.started:
            sight.started = True
            sight.world.clock.at(now + LOOK, TIMER, self._again)

    @staticmethod
    def _waits(now, entry):
        """Whether the one in the line is still to be served."""
        _, due, _, policy, r = entry
        alive = policy.node.balancer is policy and policy.node.alive
        return not r.done and alive and due > now and policy.origin is not None

    def _instead(self, now, entry, least, keep):
        """Another from the line, when the next work at the origin is too long for the first: the first of
        those that can wait for it, or else the last of all. `keep`: there will be shorter work for it."""
        line = self.sight.line
        able = [i for i, one in enumerate(line) if one[1] >= least and self._waits(now, one)]
        if able:
            at = min(able, key=line.__getitem__)
        else:
            waiting = (i for i, one in enumerate(line) if self._waits(now, one))
            at = max(waiting, key=line.__getitem__, default=None)
            if at is None or line[at] < entry:
                return entry
        other = line[at]
        if keep:
            line[at] = entry
        else:
            line[at] = line[-1]
            line.pop()
            self.sight.waits -= 1
        heapify(line)
        return other

    def _again(self):
        self.sight.started = False
        now = self.sight.world.clock.now
        self._pump(now)
        self._act(now)

    def _act(self, now, call=lambda: None, *args):
        """Has its balancer call this, and carry out what it then has decided: others decide for it, too."""
        self.sight.world.clock.at(now, ANSWER, self.node.call, self.node.life, call, *args)

    def _foreseen(self, host):
        return host.foreseen() if host.machine.law != "fixed" else 1.0

    # Legs.

    def _send(self, now, r, entry, part):
        host = self.sight.world.named[entry.name]
        leg = Leg(r, entry, len(r.legs), now, max(MS, r.ends - now))
        r.legs.append(leg)
        # Of the origin's work only the number counts: how much of its room it takes.
        cost = host.machine.service * (1.0 if host.origin else part * host.times / host.warmth(now))
        self.legs[leg] = host, cost
        self.sight.work[host.name] = self.sight.work.get(host.name, 0) + cost
        self.out.append(Send(leg))
        self.out.append(WakeAt(now + 4 * self._away(host) + LOOK, leg))

    def leg_ended(self, now, leg, outcome, complete, report=None):
        r, leg.outcome = leg.retrieval, outcome
        host, cost = self.legs.pop(leg)
        self.sight.work[host.name] -= cost
        if host.origin:
            self._pump(now)
        if complete and not r.done:
            r.done = True
        if outcome is not Outcome.MISS:
            self._fetched(now, r)
        if r.done or any(one.outcome is None for one in r.legs):
            return
        if outcome is Outcome.MISS and self.origin is not None:
            self._queue(now, r)
        elif r.track.repeat is Repeat.PURE:
            self._serve(now, r)
        else:
            self._give_up(r, self._may_have_run(r))

    def _fetched(self, now, r):
        """The key is in a cache, or its fetch has failed: who waits for it goes on."""
        fetch = self.sight.fetching.get(r.key)
        if fetch is None or fetch[0] is not r:
            return
        del self.sight.fetching[r.key]
        for policy, other in fetch[2]:
            if not other.done and policy.node.balancer is policy:
                policy._act(now, policy._serve, now, other)

    def woken(self, now, token):
        if type(token) is Leg:
            self._look(now, token)
        elif not token.done and not any(leg.outcome is None for leg in token.legs):
            # Not sent by now: nothing can be earned.
            self._give_up(token, self._may_have_run(token))

    def _give_up(self, r, ran):
        super()._give_up(r, ran)
        self._fetched(self.sight.world.clock.now, r)

    def _look(self, now, leg):
        """A second leg beside one that will be late, if that one can still be in time."""
        r = leg.retrieval
        if r.done or leg.outcome is not None or r.track.repeat is not Repeat.PURE or now >= r.patience:
            return
        host = self.sight.world.named[leg.host.name]
        job = self.node.open.get(leg, (None,))[0]
        dead = not host.up or now < host.silent_until
        if job is not None and not job.ends and not dead:
            self.out.append(WakeAt(now + LOOK, leg))
        elif dead or job is not None and job.ends + self._away(host) > r.patience:
            if host.origin and not dead and self._room(now, host) and not self.sight.line:
                if self._origin_ends(now) <= r.patience:
                    self._send(now, r, self.origin, 1.0)
            elif not host.origin:
                self._beside(now, r, host)

    def _beside(self, now, r, slow):
        found = None
        for entry in self.caches:
            host = self.sight.world.named[entry.name]
            if host is slow or not host.up or now < host.silent_until or host.resets or self._full(host):
                continue
            held = r.key in host.memory
            ends = self._ends(now, host, held) + (0 if held else self._origin_ends(now) - now)
            if ends <= r.patience and (found is None or ends < found[0]):
                found = ends, entry, held
        if found is not None and (found[2] or self._idle(now)):
            self._send(now, r, found[1], 1.0 if found[2] else MISS_PART)


def ceiling(scenario):
    """An estimate, from capacity alone, of the share of benefit that can be earned; an upper one.

    Fluid, a second at a time, over the seconds that figures count. Assumed: work has its mean size; all
    work of a second may be done in it or within the longest promised time after; cores are never idle
    while there is work; every read is a hit and costs the origin nothing; each host has its full, warm
    capacity while it is up; clients come once. What troubles take: hosts that are down or silent do
    nothing (a lost zone: the caches that are not in the largest), slow ones do so much less, and
    requests dealt to a dead balancer count as served later. None of these can make the estimate too low
    but chance: a run's mix of tracks and of work differs from its mean."""
    load, fleet = scenario.load, scenario.fleet
    slack = 1 + max(kind.promised for kind in scenario.track) / SECOND
    offered = earned = 0.0
    for second in range(load.settles // SECOND, -(-load.lasts // SECOND)):
        now, rate, caches, origin = second * SECOND, load.rate, float(fleet.caches), 1.0
        for one in scenario.trouble:
            # Only what lasts the whole second takes anything.
            if not one.at <= now or not one.at + one.lasts >= now + SECOND:
                continue
            many = min(fleet.caches, max(1, -(-one.part * fleet.caches // 1)))
            if one.what in ("crash", "silence", "resets"):
                caches -= many
            elif one.what == "zone":
                caches -= fleet.caches // fleet.zones
            elif one.what == "slow":
                caches -= many * (1 - 1 / max(1.0, one.times))
            elif one.what == "brownout":
                origin /= max(1.0, one.times)
            elif one.what == "storm":
                rate *= one.times
        reads = max(0.0, caches) * scenario.cache.cores * SECOND / scenario.cache.service * slack
        origin_cores = scenario.origin.cores * SECOND / scenario.origin.service * origin
        writes = min(origin_cores, scenario.origin.stops or origin_cores) * slack
        for kind in sorted(scenario.track, key=lambda kind: -kind.benefit):
            asked = rate * kind.part
            if kind.write:
                done = min(asked, writes)
                writes -= done
            else:
                done = min(asked, reads + writes)  # the origin can serve reads, too
                writes -= max(0.0, done - reads)
                reads = max(0.0, reads - done)
            offered += asked * kind.benefit
            earned += done * kind.benefit
    return min(1.0, earned / offered) if offered else 1.0
