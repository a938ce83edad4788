"""All decisions of one balancer, without I/O.

Make a `Balancer(settings, seed, now)` and call `listed`, `arrived`, `leg_ended`, `withdrawn` and `woken` as
things happen, with the clock in nanoseconds. Each leaves its actions in `out`: carry them out in order and
empty it. Types are in `model.py`. Every retrieval is a generator (`_read`, `_write`) that yields a `Send` or
a `WakeAt`, is resumed with how that ended, and returns its final answer (None when the client has it).
"""

from collections import deque
from heapq import heappop, heappush
from itertools import chain, count, islice
from math import ceil, inf, log, log2, sqrt
from random import Random

from .model import BROKEN, CUT, HEARD, MS, NEVER_RAN, NEVER_REACHED, RATED, SECOND
from .model import Bounce, Close, Fetch, Hold, Leg, Mean, Outcome, Repeat, Scope, Scrap, Send
from .model import State, Steps, Subscribe, Sum, Tokens, WakeAt
from .storms import Control
from .tables import Asking, Counts, Latest, Paces, Promises, Ring, Shares, Sites, Sizes, digests, places

POINTS = 96  # ring points of a cache of common size: keeps shares within about a tenth of each other
DEAR = 0.05  # price of crossing zones from which each zone has homes of its own: a key then misses in each
PART_LEAST, PART_MOST = 0.05, 8.0  # of the common size: no host has fewer or more points than that
HALVING = 60 * SECOND  # half-life of read counts: a balancer of hundreds sees a few reads a second
HOT_FLOOR = 2  # reads counted before a key can be hot: a second copy of a key that is not is cheap
SPREAD_FACTOR = 4  # caches for a hot key, per share x n: keeps each under a quarter of a fair cache's reads
SPILL_FLOOR, SPILL_FACTOR = 2, 3  # own legs at home, and times the mean per cache, before it spills
FIRST_LIMIT, LEAST_LIMIT = 10.0, 2.5  # legs of all balancers together: a calm start; a core at work
LEAST_PART = 0.1  # of a crowded host's keys are still sent to it: else nothing shows that it has room again
REACH = 6  # more caches in ring order are asked for their part, before home takes the read after all
LIMIT_GROWTH = 0.2  # of the limit for each answer in time, and at most one leg a round
LIMIT_CUT = 0.75  # factor upon a late answer, once per leg time: halves within about three
PART_CUT = 0.5  # the same below one leg: one late answer is often all that a balancer of hundreds sees
# Half-life of what reports tell is the time between the last two, within these: they are a second old when
TOLD_SPAN, TOLD_MOST = 1 * SECOND, 8 * SECOND  # they come, and tell nothing of now after some ten
CALM, TOLD_PRIOR = 0.6, 0.02  # a calm host's crowd, and how many reports it is worth: old ones near it
CROWD_MOST = 20.0  # of one report: a slip must not weigh for minutes
NEAR_LEAST = 0.05  # of the own zone's keys stay there: else nothing shows that it has room again
FULL_LOAD = 0.85  # of the own zone's cores: beyond it, or beyond the other zones' load, keys are passed on
LOAD_LEAST, LOAD_MOST = 0.1, 3.0  # bounds of a zone's load
ON_TIME = 0.17  # of the promised time: an answer inside it shows that the host has room
ON_TIME_MOST = 0.4  # of the promised time, where the work itself takes long
ORIGIN_ON_TIME = 0.6  # the same at the origin, which is slow by nature, and of the shortest promise, for all
PROMISE_LEAST = 0.05  # of all retrievals, for a promise to count there: a rare one must not close the origin
CROWDED = 1.7  # times the fleet's best mean time: a short queue and no crowd
BASE_RISE = 1.0002  # for each answer: about a hundredth a second, to follow a slow change of the work
BASE_COUNT = 40  # answers that the mean time is taken over, however few a second: chance evens out
LATE, LATE_MOST, LATE_MEAN = 0.35, 0.6, 2  # of the promised time; in between, times the best mean
HEAVY, HOPELESS = 0.4, 1.5  # of the promised time: hinted work in between needs a fast host
PACE_MOST = 4.0  # bound of one answer's time, in times its hinted work or the promised time
# Reads taken as even; times the even part that are chance; of the rest, which falls as parts do: so steeply
LOAD_PRIOR, OVER_MOST, PART_POWER, DRAW_POWER = 5, 1.1, 4, 2
WAY_POWER = 2  # of a zone's speed: what is late on the way is late at any load
LATE_SURPLUS, LATE_SHARE = 0.25, 0.4  # of all legs to caches, before the surplus is shed, and then the rest
ADMIT_GAIN = 4.0  # of the late share, over a half-life of outcomes: sheds within seconds
ADMIT_LEAST = 0.2  # of what lies within shares is always let in, else nothing shows that the crowd is gone
SHARE_SLACK = 1.25  # of a balancer's equal part of each share: some carry more than others
SHARE_BURST = 4  # seconds of it saved up at most, and one retrieval: arrivals come in clusters
SPAN = 4 * SECOND  # half-life of outcomes, times, grants and retries: rides out a second, forgets a trouble
SURPLUS_ROOM = 0.5  # of the limit is open to what lies beyond a customer's share
BAD_COUNT = 3.0  # bad outcomes before a host is judged: one or two are chance, if it is sent many
BAD_SURE = 0.9  # of that count: it decays from the first outcome to the last
BAD_SHARE, BAD_TIMES = 0.5, 2  # of its outcomes, and times the share of the rest: the host and not the work
LOST_LEAST, LOST_SHARE, LAST = 3.0, 0.25, 2  # cut legs: chance, part of good ones past set-asides; asked then
MOST_ASIDE = 0.67  # of the ready caches: a whole zone may be lost, but not everything is the hosts' fault
TRUST_STEP = 500 * MS  # for each halving or doubling of a dropped host's keys, or of one that is listed again
FORGET = 60 * SECOND  # with no answer, before a host that the list dropped is forgotten: tables are bounded
ASIDE_TIME = 1500 * MS  # fixed part, and the most of the random one: what a process needs to restart
RETRY_SHARE = 0.2  # further legs per first leg: a failing fleet must not be fed with retries
SILENT_PART, SILENT_TIMES = 0.4, 6  # of the promised time, and times the host's mean: no answer will come
SILENT_WORK = 3  # the same, times the hinted work
# Times the best mean: what another leg needs, the least for one, and a mean with which there is no crowd
AGAIN_TIMES, PATIENT_TIMES, CALM_TIMES = 2, 3, 2
RETRY_SLACK = 4.0  # further legs at once after a calm stretch
HOLD_PART = 0.48  # of the promised time, or of what the client waits if less: past half, a bounce costs extra
CROWD = 75  # balancers that may keep idle connections at each host, at equal prices: by price alone, 100
COLD_ROOM = 0.4  # of the stated multiple: the rest is for chance and for what spills over
COLD_SLACK = 3.0  # legs of all balancers together on top of that in each window, and saved up for a burst
WAIT_STEP = 250 * MS  # advised before a client comes back: a few service times


class Host:
    def __init__(self, entry, size, settings, now):
        self.name, self.zone, self.cell = entry.name, entry.zone, entry.cell
        self.kind, self.size = entry.kind, size
        dear = settings.columns and settings.cross_price >= DEAR  # only reports tell when a zone is full
        self.far = bool(dear) and entry.zone != settings.zone
        self.site = self.far, entry.zone, entry.kind
        self.salt = digests(entry.name ^ 0x9E3779B97F4A7C15)[0]
        self.is_cache = entry.kind != settings.origin_kind
        self.state, self.started = entry.state, entry.started
        self.legs = {}  # own legs in flight, the oldest first
        self.warm_at = entry.started + settings.warm_within if entry.started else 0
        self.limit, self.cut_at, self.heard = max(1.0, FIRST_LIMIT / settings.balancers), 0, now
        self.time = Mean(SPAN, now)  # that answers took
        self.load = Sum(HALVING, now)  # own reads of late that it has worked on
        self.good, self.bad = Sum(SPAN, now), Sum(SPAN, now)
        self.last = 0  # when it was sent its last leg
        self.tokens = Tokens(0.0, 1.0, 0.0, now)  # legs that it may be sent while cold
        self.report, self.told_at = None, now  # the last one that it gave, and when
        self.told = Mean(TOLD_SPAN, now)  # how crowded it is by its reports, 1 = as much as may be
        self.back_at = 0  # when a host that was set aside may be tried, 0 = trusted
        self.trust, self.dropped = Steps(TRUST_STEP, now), 0  # when the list dropped it undrained, 0 = listed

    def places(self, unit):
        """Its points on the ring; a larger host has all the points that a smaller one would have."""
        return places(self.salt, round(POINTS * min(PART_MOST, max(PART_LEAST, self.size / unit))))


class Balancer:
    ring = Ring  # what keeps owners by place

    def __init__(self, settings, seed, now):
        self.settings, self.random = settings, Random(seed)
        self.hosts, self.caches, self.origin = {}, {}, None  # caches: those that are ready, on the ring
        self.kinds, self.zones = Paces(HALVING), Paces(TOLD_MOST)  # the latter, in times a kind's usual time
        self.recent, self.lost = Latest(), Sum(SPAN, now)  # caches that answered; legs that no way led to
        self.sizes = Sizes(settings.sized, settings.live)
        # Two rings where crossing zones is dear, this balancer's own zone first; else all are on the first.
        self.rings, self.sites, self.unit = (self.ring(), self.ring()), Sites(), 1.0
        self.counts = Counts(HALVING, now)
        self.promises = Promises(SPAN, now)
        self.near = 1.0  # part of the keys that is at home in the own zone
        self.good, self.bad, self.sent = Sum(SPAN, now), Sum(SPAN, now), Sum(settings.fall_time, now)
        # A host's table of connections is soon full of idle ones that keep other balancers out.
        dial, kept = settings.dial_price, settings.open_price
        self.closes = settings.balancers > CROWD * (dial / kept if dial and kept else inf if dial else 1)
        self.reads = Sum(HALVING, now), Sum(HALVING, now)  # that near and far caches have worked on
        self.cache_legs, self.aside, self.fetches, self.queues = 0, 0, {}, ([], [])
        self.serial, self.turn, self.least = count(), False, max(LEAST_PART, LEAST_LIMIT / settings.balancers)
        self.part = 1 / settings.balancers  # of what all balancers share; the door may say another
        self.granted = Shares([SHARE_SLACK * quota for quota in settings.quotas], SHARE_BURST, self.part, now)
        self.admission = 1.0  # above 1: the part of the surplus that is let in, below: of all else
        self.time, self.times, self.base = 0.0, 0, 0.0  # mean over all caches, its count, its best
        self.loads = Mean(TOLD_SPAN, now), Mean(TOLD_SPAN, now)  # told by the own zone's caches, the others
        self.first_legs, self.more_legs = Sum(SPAN, now), Sum(SPAN, now)
        self.storms = settings.storms and Control(settings.storms, settings.balancers, self.random, now)
        self.asking = Asking(settings.balancers, settings.subscribe, settings.ask_within)
        self.turns, self.out, self.now, self.asked = deque(), [], now, False

    def listed(self, now, scope, entries):
        self.now, settings = now, self.settings
        if scope in (Scope.FAILED, Scope.SILENT):
            pause = self.asking.failed(scope is Scope.SILENT, self.random.random())
            self.out.append(WakeAt(now + pause, None))
            return
        if settings.subscribe and not self.asked:
            self.asked = True
            self.out.append(Subscribe())
        self.asking.heard()
        kept = {e.name for e in entries if e.state is not State.GONE}
        gone = {e.name for e in entries} | {host.name for host in self.hosts.values() if host.dropped}
        gone = (self.hosts.keys() if scope is Scope.WHOLE else self.hosts.keys() & gone) - kept
        self._drop([self.hosts[name] for name in sorted(gone)])
        joined, grown = [], self.sizes.grown(entries)
        for entry in entries:
            if entry.state is State.GONE:
                continue
            host = self.hosts.get(entry.name)
            if host is not None and (entry.started != host.started or entry.state is not State.READY):
                self._leave(host)
            elif host is not None:
                host.trust.aim(now, 1.0)
                host.dropped = 0
            if host is None or entry.started != host.started:
                # A restart, too, makes a new host: its memory is empty and its old troubles are gone.
                host = Host(entry, self.sizes.of(entry), settings, now)
                host.tokens.level = self.random.random()  # all balancers at once would push it over
            host.state = entry.state
            self.hosts[host.name] = host
            if not host.is_cache:
                self.origin = host
            elif host.state is State.READY and host.name not in self.caches:
                self.caches[host.name] = host
                self.sites.put(host)
                host.load.value = self._fair(host)  # a new one must not be taken for an idle one
                self.aside += bool(host.back_at)
                joined.append(host)
        for host in self.caches.values() if grown else ():
            self.sites.take(host)
            host.size = self.sizes.of(host)
            self.sites.put(host)
        self._join(joined, grown)

    def _drop(self, hosts):
        """What the list no longer has. Where only draining binds, the list may err, the more so the more it
        takes at once: own legs tell, and traffic goes down and comes back by steps."""
        taken = sum(h.is_cache and h.state is State.READY for h in hosts) / max(1, len(self.caches))
        for host in hosts:
            known = self.settings.only_drains and host.state is State.READY
            if not known or self.now - max(host.dropped or self.now, host.heard) > FORGET:
                self._leave(host)
            elif not host.dropped:
                host.dropped = self.now
                host.trust.aim(self.now, max(LEAST_PART, taken))

    def _leave(self, host):
        self.hosts.pop(host.name, None)
        host.state = State.GONE
        if self.caches.pop(host.name, None) is None:
            return
        self.recent.drop(host)
        self.sites.take(host)
        self.aside -= bool(host.back_at)
        self.rings[host.far].leave(host, self.unit)

    def _join(self, joined, anew=False):
        # A power of two as the unit, so that single changes of the list do not move the others' points.
        unit = 2.0 ** round(log2(self.sites.size / len(self.caches))) if self.caches else self.unit
        if unit != self.unit or anew:
            self.unit, self.rings, joined = unit, (self.ring(), self.ring()), self.caches.values()
        for far, ring in enumerate(self.rings):
            ring.join([h for h in joined if h.far == far], unit)

    def arrived(self, now, r):
        self.now = now
        self.promises.add(now, r.track.promised)
        r.patience = now + int(HOLD_PART * min(r.track.promised, r.ends - now))
        r.flow = self._write(r) if r.write else self._read(r)
        if self.storms:
            hot = self.counts.share(r.key) * len(self.caches) > 1
            r.again, damped, wait = self.storms.arrived(now, r.customer, r.key, r.again, hot)
            if damped:  # a return before its time, or beyond the part that returns have
                self.out.append(Bounce(r, wait))
                r.done = True
                return
        self._run(r)

    def leg_ended(self, now, leg, outcome, complete, report=None):
        if leg.outcome is not None:
            return
        self.now, leg.outcome = now, outcome
        self._learn(leg, report)
        if complete and outcome is not Outcome.HANDLED:
            self.withdrawn(now, leg.retrieval)  # a stream that broke: the client knows
        else:
            self._run(leg.retrieval, leg)  # or a late outcome, which concerns only the host
        if self.closes and not leg.host.legs:
            self.out.append(Close(leg.host))

    def begun(self, now, leg):
        """The last byte of a long body is out: only from here on is it work for its host, and takes time."""
        leg.sent = self.now = now
        leg.host.legs[leg] = None

    def withdrawn(self, now, retrieval):
        self.now, retrieval.done, retrieval.hold = now, True, None
        retrieval.flow.close()
        self._run()

    def woken(self, now, token):
        self.now = now
        if token is None:
            self.out.append(Subscribe())
        elif self._resume(token, None):
            self._run()

    def _run(self, retrieval=None, value=None):
        """Resumes one retrieval and then all that it, or what was learned with it, lets go on."""
        if retrieval is not None:
            self.turns.append((retrieval, value))
        while self.turns or self._open_gate():
            retrieval, value = self.turns.popleft()
            if retrieval.done:
                continue
            try:
                action = retrieval.flow.send(value)
            except StopIteration as end:
                retrieval.done, action = True, end.value
            if type(action) is WakeAt:
                retrieval.hold = action.token
            if action is not None:
                self.out.append(action)

    def _resume(self, hold, value):
        """Lets a waiting retrieval go on with `value`; False when its wait is already over."""
        if hold.retrieval.hold is not hold:
            return False
        hold.retrieval.hold = None
        self.turns.append((hold.retrieval, value))
        return True

    def _read(self, r):
        spread, lead, filled = self._spread(r.key), None, None
        try:
            while True:
                fetch = self.fetches.get(r.key)
                if fetch is not None and fetch is not lead:
                    # After a flush many reads of one key miss: one of them fetches, the others wait for it.
                    if r.patience <= self.now:
                        return self._turn_away(r)
                    hold = Hold(r)
                    fetch.holds.append(hold)
                    told = yield WakeAt(r.patience, hold)
                    if told is None:
                        return self._turn_away(r)
                    lead, filled = (told, None) if told is fetch else (None, told)
                if not r.legs and not self._admits(r):
                    return self._turn_away(r)
                straight = filled and self._passable(filled, r) and self._room(filled)
                host, filled = filled if straight else self._pick(r, spread), None
                if host is None:
                    # No cache has room: the origin may have.
                    return (yield from self._write(r))
                leg = yield self._send(r, host)
                if leg.outcome is Outcome.HANDLED:
                    return None
                if leg.outcome is not Outcome.MISS:
                    if not self._again(r):
                        return self._turn_away(r)
                    last = len(r.legs) + 1 >= self.settings.most_legs > 1 and self.origin is not None
                    if last or leg.outcome in (Outcome.RESET, Outcome.TIMED_OUT) and self._spare():
                        # The last leg, or no time for two: a cache may miss, the origin does not.
                        return (yield from self._write(r))
                elif lead or r.key not in self.fetches:
                    if r.key and not lead:
                        lead = self.fetches[r.key] = Fetch()
                    return (yield from self._write(r))
        finally:
            if lead:
                self._hand_over(r, lead)

    def _write(self, r):
        """A write; and what a read that missed has in common with one: both go to the origin."""
        while True:
            if self.origin is not None or not r.write:
                host = self.origin if (yield from self._pass_gate(r)) else None
            else:
                host = self._pick(r, 1)
            # Drains are kept also by what waited at the gate while the origin went away.
            if host is None or host.state is not State.READY or not self._may_repeat(r, host):
                return self._turn_away(r)
            if (yield self._send(r, host)).outcome is Outcome.HANDLED:
                return None
            if not self._again(r):
                return self._turn_away(r)

    def _hand_over(self, r, lead):
        """The key is in a cache now: all go there. Or the fetch failed: the next in line takes it on."""
        if r.legs and r.legs[-1].outcome is Outcome.HANDLED:
            # Only caches that were asked and missed have it now; the origin may have been asked alone.
            told = (Outcome.MISS, Outcome.HANDLED)
            had = [leg.host for leg in r.legs if leg.host.is_cache and leg.outcome in told]
            lead.filled = had[-1] if had else None
        while lead.holds:
            if self._resume(lead.holds.popleft(), lead.filled or lead) and lead.filled is None:
                return
        del self.fetches[r.key]

    def _pass_gate(self, r):
        """The origin's gate: True when the retrieval may be sent there now."""
        origin = self.origin
        if origin is None or origin.state is not State.READY:
            return False
        # Writes and reads each have a line and take turns: neither may starve the other.
        line, rank = self.queues[r.write], (not self._within_share(r), r.again, -r.track.benefit)
        if not line and self._room(origin):
            return True
        ahead = sum(entry[0] <= rank for entry in line) + 1
        if self.now + 2 * ahead * origin.time.read(self.now) / origin.limit > r.patience:
            return False
        hold = Hold(r)
        heappush(line, (rank, next(self.serial), hold))
        return (yield WakeAt(r.patience, hold)) is True

    def _open_gate(self):
        while any(self.queues) and self._room(self.origin):
            self.turn = not self.turn
            line = self.queues[self.turn] or self.queues[not self.turn]
            if self._resume(heappop(line)[2], True):
                return True
        return False

    def _turn_away(self, r):
        ran, repeat = any(leg.outcome not in NEVER_RAN for leg in r.legs), r.track.repeat
        # An effect that may have happened must not be asked for again.
        if ran and (repeat is Repeat.EFFECTFUL or repeat is Repeat.RECEIPTED and r.track.group != "all"):
            return Scrap(r)
        key, wait = 0 if r.again else r.key, min(self.settings.advise_wait, WAIT_STEP)
        return Bounce(r, self.storms.refused(self.now, r.customer, key, wait) if self.storms else wait)

    def _again(self, r):
        """Whether a further leg fits into the retrieval's limits and into the retry budget."""
        again = r.legs_left(self.settings.most_legs) and r.ends - self.now >= MS and self._budget() >= 0
        # What never reached a host fed nobody: with a site lost, half of all legs end so.
        self.more_legs.add(self.now, again and r.legs[-1].outcome not in NEVER_REACHED)
        return again

    def _budget(self):
        return RETRY_SLACK + RETRY_SHARE * self.first_legs.read(self.now) - self.more_legs.read(self.now)

    def _limit(self, r, host):
        """A connection may fall silent while its host serves others: what may be repeated is, in time."""
        left, track, due, best = r.ends - self.now, r.track, r.track.promised, self.base
        usual = max(SILENT_TIMES * max(host.time.read(self.now), self.time), SILENT_WORK * r.work)
        limit = int(max(SILENT_PART * due, usual))
        may = track.repeat is Repeat.PURE or track.repeat is Repeat.RECEIPTED and limit < track.remembered
        more = may and len(r.legs) + 1 < self.settings.most_legs and self._budget() >= RETRY_SLACK / 2
        # In a calm fleet who is late is stuck: the origin still has time to answer as promised.
        patient = int(max(SILENT_PART * due, PATIENT_TIMES * best, due - AGAIN_TIMES * best))
        calm = self.time < CALM_TIMES * best and host.is_cache and not host.report
        if more and calm and patient < min(limit, left) and left > due and self._spare():
            return patient
        return limit if more and 2 * limit <= left else left

    def _spare(self):
        return self.origin is not None and self.origin.state is State.READY and self._room(self.origin)

    def _may_repeat(self, r, host):
        for leg in r.legs:
            if leg.outcome in NEVER_RAN or r.track.repeat is Repeat.PURE:
                continue
            if r.track.repeat is Repeat.EFFECTFUL or self.now - leg.sent >= r.track.remembered:
                return False
            if r.track.group != "all" and getattr(host, r.track.group) != getattr(leg.host, r.track.group):
                return False
        return True

    def _send(self, r, host):
        now = self.now
        self.cache_legs += host.is_cache
        if self.storms and not host.is_cache:
            self.storms.fetched(now)
        self.sent.add(now, host.is_cache)
        if not r.legs:
            self.first_legs.add(now)
            if self.granted.tokens and self._within_share(r):
                self.granted.tokens[r.customer].level -= 1
        if host.back_at:
            host.back_at = now + ASIDE_TIME  # others pass over it until this leg has ended
        host.last = now
        host.tokens.level -= 1
        leg = Leg(r, host, len(r.legs), now, self._limit(r, host))
        host.legs |= {} if r.long else {leg: None}
        r.legs.append(leg)
        return Send(leg)

    def _spread(self, key):
        """Counts a read; the number of caches that its key is spread over, 1 when it is not hot."""
        n = len(self.caches)
        reads, all_reads = self.counts.add(self.now, key, n * log(max(n, 2)))
        if not key or reads * n <= all_reads:
            return 1
        if reads < HOT_FLOOR:  # what comes so early is popular, and all balancers have a first read of it
            return ceil((self.sites.ready[0] or n) / all_reads)
        return min(n, max(2, ceil(SPREAD_FACTOR * reads / all_reads * n)))

    def _pick(self, r, spread):
        heavy = HEAVY * r.track.promised < r.work < HOPELESS * r.track.promised
        found = self._candidates(r, max(2, spread, REACH if heavy else 0), spread > 1)
        if heavy:  # only a fast host has it done in time: the first of the fastest kind is its home
            found.sort(key=lambda h: -self.kinds.speed(h.kind))
        part = 1.0 if self._within_share(r) else SURPLUS_ROOM
        if spread > 1 or not found:
            near = [h for h in found[:spread] if self._room(h, part)]
            loads = [(len(h.legs), self._draw(h), h) for h in near]
            return min(loads)[2] if loads else None
        home, after, queued = found[0], found[:2][-1], len(found[0].legs)
        spills = queued >= SPILL_FLOOR and queued * len(self.caches) > SPILL_FACTOR * self.cache_legs
        tried = (after,) if spills and len(after.legs) < queued else (home, after)
        return next((host for host in tried if self._room(host, part)), None)

    def _room(self, host, part=1.0):
        limit = host.limit * part
        if self.storms and not host.is_cache and not self.storms.may_fetch(self.now):
            return False
        if limit >= 1:
            return len(host.legs) < limit
        return not host.legs and self.now - host.last >= host.time.read(self.now) / limit

    def _candidates(self, r, most, hot):
        """The first `most` distinct caches after the key that may be sent this retrieval."""
        place = digests(r.key or self.random.getrandbits(64))[0]
        far_first, found = (place & 0xFFFFFFFF) >= self.near * 2**32, []
        order = (far_first, not far_first)
        # A hot key is no part of what a host is left: it would come and go as a whole.
        for part in ((None,) if hot else (place, None)) if self.caches else ():
            # No search for more than there are.
            walks = (self.rings[far].walk(place, min(most + REACH, self.sites.ready[far])) for far in order)
            near = (h for h in chain.from_iterable(walks) if self._passable(h, r, part))
            found = found or list(islice(near, most))
        if self.lost.read(self.now) < max(LOST_LEAST, LOST_SHARE * self.good.read(self.now)):
            return found
        # Ways fail, and a new connection may not come up: where an answer came from last, one stands open.
        last = [h for h in self.recent.last(LAST) if self._passable(h, r, h.dropped and place or None)]
        return [h for h in found if h in last] + [h for h in last if h not in found] or found

    def _passable(self, host, r, place=None):
        now, tried = self.now, any(leg.host is host and leg.outcome is not Outcome.MISS for leg in r.legs)
        if host.state is not State.READY or now < host.back_at or tried or not self._may_repeat(r, host):
            return False
        # Many balancers with one leg each overdrive a small host: below one leg, it is left a part of its
        # keys, the same ones at all balancers. A cold host falls over, too, when all send it their whole
        # part: its keys come home bit by bit, and its budget holds even when there is nowhere else to go.
        start, cold = self.settings.start_share, now < host.warm_at
        share = start + (1 - start) * max(0, now - host.started) / self.settings.warm_within if cold else 1.0
        trust = host.trust.read(now)
        if place is not None and (place ^ host.salt) >> 32 >= min(share, trust, self._part(host)) * 2**32:
            return False
        if not cold:
            return True
        slack = COLD_SLACK * self.part  # maybe far less than a leg
        usual = self.sent.read(now) * log(2) * host.size / self.sites.size
        budget = slack + COLD_ROOM * self.settings.fall_multiple * share * usual
        host.tokens.rate, host.tokens.most = budget * SECOND / self.settings.fall_time, 1 + slack
        return host.tokens.read(now) >= 1

    def _admits(self, r):
        """Few legs at each cache show no crowding there; all of a balancer's legs together do."""
        part = self.admission - (0 if self._within_share(r) else 1)
        return part >= 1 or self.random.random() < part

    def _within_share(self, r):
        return not self.granted.tokens or self.granted.tokens[r.customer].read(self.now) >= 1

    def _learn(self, leg, report):
        host, outcome, now = leg.host, leg.outcome, self.now
        host.legs.pop(leg, None)
        self.cache_legs -= host.is_cache
        if self.storms and outcome is Outcome.HANDLED:
            self.storms.served(now)
        if outcome is Outcome.HANDLED or outcome is Outcome.MISS:
            host.good.add(now)
            self.good.add(now)
            if self.caches.get(host.name) is host:
                self.recent.put(host)
            if host.dropped:  # it serves, whatever the list says
                host.trust.aim(now, min(1.0, 2 * host.trust.goal))
            if host.back_at:
                self.aside -= host.state is State.READY
                host.back_at, host.bad.value = 0, 0.0
        silent = outcome is Outcome.TIMED_OUT and host.heard <= leg.sent  # else just busy
        failed = outcome in BROKEN or silent
        if failed:
            host.bad.add(now)
            self.bad.add(now)
            self.lost.add(now, outcome in CUT and host.is_cache)
            if host.dropped:
                host.trust.aim(now, max(LEAST_PART, host.trust.goal / 2))
            if host.is_cache:
                self._judge(host)
        host.heard = now if outcome in HEARD else host.heard
        if host.is_cache and report is not None and report != host.report:
            host.report = report
            self._told(host, report, leg.retrieval.track.promised)
        if host.is_cache and outcome is not Outcome.MISS:
            host.load.add(now)
            self.reads[host.far].add(now)
        if outcome not in RATED:
            return
        took, due = now - leg.sent, leg.retrieval.track.promised
        if outcome is not Outcome.FULL:  # quick, yet the slowest of all: a pace by it would flood the origin
            host.time.add(now, took)
        target = self.promises.shortest(now, PROMISE_LEAST) * ORIGIN_ON_TIME
        if host.is_cache:
            # Crowded hosts do less and stay crowded, long before answers are late: the best mean time tells.
            if outcome is Outcome.HANDLED or outcome is Outcome.TIMED_OUT:
                # Listed sizes are cores, if anything: how fast a kind's cores are shows only in its answers.
                pace = min(PACE_MOST, took / (leg.retrieval.work or due))
                self.kinds.add(now, host.kind, pace)
                self.zones.add(now, host.zone, pace * self.kinds.speed(host.kind))
            if not failed:  # what hangs says nothing of the others
                self.times += 1
                self.time += (took - self.time) / min(self.times, BASE_COUNT)
            base = self.base or due
            late = took > min(LATE_MOST * due, max(LATE * due, LATE_MEAN * base))
            late = took > due if host.report else late or outcome is Outcome.FULL
            step = (LATE_SURPLUS if self.admission > 1 else LATE_SHARE) - late
            step *= ADMIT_GAIN / max(BASE_COUNT // 2, self.first_legs.read(now))
            self.admission = min(2.0, max(ADMIT_LEAST, self.admission + step))
            if self.times > BASE_COUNT // 2:
                self.base = min(self.base * BASE_RISE or self.time, self.time)
            target = min(ON_TIME_MOST * due, max(ON_TIME * due, CROWDED * base))
        if outcome is Outcome.HANDLED and (took <= target or host.report):
            # What is not used shows nothing; and a host that reports has told of its room itself.
            if len(host.legs) + 1 >= host.limit / 2 and not host.report:
                self._grow(host)
        elif leg.sent > host.cut_at:  # one cut for all that was sent before it
            cut = LIMIT_CUT if host.limit > 1 else PART_CUT
            host.limit, host.cut_at = max(self.least, host.limit * cut), now

    def _able(self, zone, kind):
        """What a host of the common size can do here; a slow way to its zone is no lack of cores."""
        return self.kinds.speed(kind) * max(LEAST_PART, self.zones.speed(zone) ** WAY_POWER)

    def _draw(self, host):
        """Least at a host in proportion to what it can do; balancers of hundreds have ties only."""
        able = self._able(host.zone, host.kind) * host.size * host.trust.read(self.now)
        return self.random.expovariate(able / self._over(host) ** DRAW_POWER) * self._crowd(host.told)

    def _fair(self, host):
        """The part of this balancer's reads that a host of its size and kind would have if all were even."""
        near = (entry for entry in self.sites.able.items() if entry[0][0] == host.far)
        able = sum(size * self._able(zone, kind) for (_, zone, kind), size in near)
        own = host.size * self._able(host.zone, host.kind)
        return self.reads[host.far].read(self.now) * own / max(able, 1e-9)

    def _over(self, host):
        """How many times its fair part a host has had of late. What one balancer sees of popularity all see:
        few legs at once show no host that is sent too much, but the reads of a minute do."""
        return (host.load.read(self.now) + LOAD_PRIOR) / (self._fair(host) + LOAD_PRIOR)

    def _grow(self, host):
        host.limit += min(LIMIT_GROWTH * host.limit, 1 / host.limit)

    def _told(self, host, report, due):
        """A new report: it tells of all balancers' legs, where own ones are too few to show a crowd."""
        now, waiting, service = self.now, report.waiting or 0.0, report.service
        held = report.rate * service / SECOND if report.rate and service else (report.active or 0.0) - waiting
        crowd = 1 + waiting / max(1.0, held)  # times as long as without waiting
        crowd *= service / (ON_TIME * due) if service else 1 / CROWDED
        if crowd <= 1 and (host.limit < 1 or len(host.legs) + 1 >= host.limit / 2):
            self._grow(host)
        # A sparse balancer's legs to a host are seconds apart: it must not forget in between.
        host.told.remember(min(TOLD_MOST, max(TOLD_SPAN, now - host.told_at)))
        host.told_at = now
        host.told.add(now, min(CROWD_MOST, crowd))
        if report.busy is None or not self.sites.ready[1]:
            return
        near, far = self.loads
        self.loads[host.far].add(now, min(LOAD_MOST, report.busy * sqrt(1 + waiting / max(1.0, held))))
        if not host.far:
            times = max(FULL_LOAD, self._crowd(far)) / max(LOAD_LEAST, near.read(now))
            step = (max(0.5, min(1.5, times)) - 1) / max(BASE_COUNT // 2, near.count.read(now))
            self.near = max(NEAR_LEAST, min(1.0, self.near * (1 + step)))

    def _part(self, host):
        """The part of its keys that a cache is left: less where answers take longer than they should."""
        if not host.report:
            over = max(1.0, self._over(host) / OVER_MOST) ** PART_POWER
            return min(host.limit, self._able(host.zone, host.kind), max(LEAST_PART, 1 / over))
        return max(self.least, min(host.limit, 1 / max(1.0, self._crowd(host.told))))

    def _crowd(self, told):
        """The mean of what was told; as it grows old, it nears a calm host's, and does not fall below."""
        return told.read(self.now, CALM, TOLD_PRIOR)

    def _judge(self, host):
        """Sets a host aside when it fails and the rest does not."""
        now, bad, good = self.now, host.bad.read(self.now), host.good.read(self.now)
        rest_bad, rest_good = max(0.0, self.bad.read(now) - bad), max(0.0, self.good.read(now) - good)
        bound = max(BAD_SHARE, BAD_TIMES * rest_bad / max(1.0, rest_bad + rest_good))
        if not host.back_at:
            many = self.aside + 1 > MOST_ASIDE * len(self.caches)
            # Balancers of hundreds send a host a leg in seconds: what they see of it is one outcome.
            count = max(1, min(BAD_COUNT, (self.good.value + self.bad.value) / 2 / max(1, len(self.caches))))
            if many or bad < BAD_SURE * count or bad < bound * (bad + good) or host.state is not State.READY:
                return
            self.aside += 1
        host.back_at = now + ASIDE_TIME + int(self.random.random() * ASIDE_TIME)
