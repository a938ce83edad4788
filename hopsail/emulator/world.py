"""The world of one run: balancers with the unchanged module, discovery, the front, clients, troubles."""

import gc
from bisect import bisect_left
from itertools import accumulate
from math import ceil
from random import Random

from ..model import (
    HEARD,
    MS,
    SECOND,
    Bounce,
    Close,
    Listing,
    Outcome,
    Retrieval,
    Scope,
    Scrap,
    Send,
    Settings,
    State,
)
from ..model import Subscribe, Track, WakeAt
from ..swim.quota_leases import QuotaLeaseClient, QuotaLeaseServer, apply_quota_share
from ..swim.settings import SwimSettings
from ..storms import Rules
from .clock import ANSWER, ARRIVAL, LIST, SAMPLE, TIMER, TROUBLE, Clock
from .hosts import Host
from .oracle import Oracle, Sight
from .policies import POLICIES
from .rings import Shared
from .scenario import EFFECTS

START = 1_000_000 * SECOND  # of the emulated clock: not nought, which stands for "long ago"
ORIGIN, ORIGIN_KIND = 1_000_000, 9
COLUMNS = ("waiting", "active", "cpu", "rps", "avg_ms")  # of load reports, where there are any
MOST_LEGS = 4
BACK_AFTER = SECOND // 2  # that a balancer which dies is away
ASK_PAUSE = 200 * MS  # between calls on discovery that fail, for policies that have no pause of their own
HOT_MOVES = SECOND  # a hot key's time


class Request:
    """One try of a client; a retry is a new one."""

    __slots__ = ("id", "kind", "key", "ends", "born", "tries", "first", "size", "luck")

    def __init__(self, number, kind, key, ends, born, tries, first, size, luck):
        self.id, self.kind, self.key, self.ends, self.born = number, kind, key, ends, born
        self.tries, self.first = tries, first  # those left, and when the first was made
        self.luck = luck  # two draws for each try: the balancer it is dealt to, and the next pause
        self.size = size  # its work in mean ones, None = the host draws it


class Job:
    """A leg on its way to a host and back."""

    __slots__ = ("node", "life", "leg", "request", "key", "write", "host", "held", "cold_miss",
                 "size", "ends")  # fmt: skip

    def __init__(self, node, leg, request, host, cold_miss):
        self.node, self.life, self.leg, self.host = node, node.life, leg, host
        self.request, self.key, self.write = request.id, request.key, leg.retrieval.write
        self.held, self.cold_miss = False, cold_miss
        self.size, self.ends = request.size, 0  # ends: when its host is done with it, once it has begun


class Node:
    """One balancer: its module, its connections, and its restarts."""

    def __init__(self, world, index):
        self.world, self.index, self.zone = world, index, index % world.scenario.fleet.zones
        self.life, self.alive, self.cut = 0, False, False  # cut: discovery cannot be reached
        self.asking, self.dealt = False, True  # dealt: the front gives it requests

    def start(self):
        world = self.world
        self.life, self.alive, self.asking = self.life + 1, True, False
        self.idle, self.open = {}, {}  # connections by host; legs in hand
        self.hand = {}  # retrievals with no answer yet, in the order in which they came
        self.heard = dict.fromkeys(world.named, world.version)  # version of the last change, by host
        seed = world.stream(f"node {self.index} {self.life}").getrandbits(60)
        self.balancer = world.policy(world.settings(self.zone), seed, world.clock.now)
        if world.sees:
            self.balancer.node = self
        self._share()
        self._list(Scope.WHOLE, list(world.listings.values()))

    def _share(self):
        """A life begins with its own part of what all share, and asks for more where stewards deal it."""
        view, now = self.world.scenario.view, self.world.clock.now
        if not view.stewards or not hasattr(self.balancer, "granted"):
            return
        names = tuple(f"n{i}" for i in range(view.stewards))
        address = "127.0.0.1", self.index + 1
        settings = SwimSettings(
            name=f"n{self.index}",
            fleet="emulated",
            listen_address=address,
            advertised_address=address,
            keys=(),
            lease_servers=names,
            lease_ns=view.lease,
        )
        self.lease_client = QuotaLeaseClient(settings, now)
        self.lease_client.balancers = self.world.scenario.fleet.balancers
        self.lease_server = QuotaLeaseServer(settings, now) if self.index < view.stewards else None
        self._claim(self.life)

    def _claim(self, life):
        if not self.alive or life != self.life:
            return
        world, now = self.world, self.world.clock.now
        for name, number in self.lease_client.requests_due(now):
            server = world.nodes[int(name[1:])]
            away = world.away(self.zone, server.zone)
            world.clock.at(now + away, TIMER, server.claimed, self, life, name, number)
        apply_quota_share(self.balancer, now, self.lease_client.share(now))
        world.clock.at(self.lease_client.next_due(now), TIMER, self._claim, life)

    def claimed(self, node, life, name, number):
        """As a lease server: another asks for a quota share."""
        if not self.alive or self.lease_server is None:
            return
        world, now = self.world, self.world.clock.now
        grant = self.lease_server.grant(now, f"n{node.index}")
        away = world.away(self.zone, node.zone)
        world.clock.at(now + away, TIMER, node.granted, life, name, number, grant)

    def granted(self, life, name, number, grant):
        if self.alive and life == self.life:
            now = self.world.clock.now
            self.lease_client.handle_grant(name, number, grant)
            apply_quota_share(self.balancer, now, self.lease_client.share(now))

    lease_server = None

    def die(self):
        self.alive = False
        self.world.trace.append(("died", self.world.clock.now, self.index))
        for host, idle in self.idle.items():
            host.connections -= idle
        for job, _ in self.open.values():
            job.host.connections -= 1 if job.host.up else 0
        self.idle, self.open = {}, {}

    def call(self, life, call, *args):
        """Tells the module something, unless its process is gone, and carries out what it decides."""
        if not self.alive or life != self.life:
            return
        call(*args)
        actions, self.balancer.out = self.balancer.out, []
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action):
        world, kind = self.world, type(action)
        if kind is Send:
            self._send(action.leg)
        elif kind is Bounce or kind is Scrap:
            word = "bounced" if kind is Bounce else "scrapped"
            self.hand.pop(action.retrieval, None)
            world.answered(self, action.retrieval.mark, word, getattr(action, "wait", 0))
        elif kind is WakeAt:
            world.clock.at(action.at, TIMER, self.call, self.life, self._woken, action.token)
        elif kind is Subscribe:
            self._ask()
        elif kind is Close and (idle := self.idle.pop(world.named[action.host.name], 0)):
            world.named[action.host.name].connections -= idle

    def _woken(self, token):
        self.balancer.woken(self.world.clock.now, token)

    def _ask(self):
        if not self.asking:
            self.asking = True
            self.world.clock.at(self.world.clock.now + ASK_PAUSE, LIST, self._told_whole, self.life)

    def _told_whole(self, life):
        if life != self.life or not self.alive:
            return
        self.asking = False
        if self.cut:
            self._list(Scope.FAILED, [])
        else:
            self.heard = dict.fromkeys(self.world.named, self.world.version)
            self._list(Scope.WHOLE, list(self.world.listings.values()))

    def hear(self, entry, version):
        """A change of the list, as the watch brings it; without a watch the whole list tells of it."""
        if self.alive and not self.cut and not self.asking and version > self.heard.get(entry.name, 0):
            self.heard[entry.name] = version  # an older change that comes later says nothing any more
            self._list(Scope.CHANGES, [entry])

    def part_from_discovery(self, cut):
        self.cut = cut
        if cut and self.alive:
            self._list(Scope.FAILED, [])

    def _list(self, scope, entries):
        now, index = self.world.clock.now, self.index
        self.world.trace += [("told", now, index, one.name, one.state.name, one.started) for one in entries]
        if scope is Scope.WHOLE:
            names = {entry.name for entry in entries}
            self.world.trace.append(("whole", now, self.index, names))
        self.call(self.life, self.balancer.listed, now, scope, entries)

    def take(self, request):
        world, kind = self.world, self.world.scenario.track[request.kind]
        world.trace.append(("taken", world.clock.now, self.index, request.id, request.ends, kind.effect))
        track = world.tracks[request.kind]
        retrieval = Retrieval(request, track, request.key, request.ends, kind.write)
        marks = world.scenario.clients.marks
        if marks and request.tries + 1 < world.scenario.clients.tries:
            retrieval.again = world.habits[request.first][0] < marks
        if world.scenario.clients.apart:
            retrieval.customer = int(world.habits[request.first][1] >= world.scenario.clients.heed)
        if request.size is not None and world.scenario.feedback.hints and not kind.write:
            retrieval.work = int(request.size * world.scenario.cache.service)
        leave = world.scenario.clients.leave
        if leave and world.leaving.random() < leave:
            after = min(world.clock.now + world.scenario.clients.after, request.ends)
            world.clock.at(after, TIMER, self._left, self.life, retrieval)
        self.hand[retrieval] = None
        self.call(self.life, self.balancer.arrived, world.clock.now, retrieval)

    def _left(self, life, retrieval):
        """The client has given up and closed its connection, if it has no answer yet."""
        if life != self.life or not self.alive or retrieval.done:
            return
        world, request = self.world, retrieval.mark
        self.hand.pop(retrieval, None)
        world.trace.append(("left", world.clock.now, self.index, request.id))
        self.call(life, self.balancer.withdrawn, world.clock.now, retrieval)
        world.results.append((request.first, request.kind, "left", world.clock.now - request.first,
                              request.tries))  # fmt: skip

    def _send(self, leg):
        world, now, host = self.world, self.world.clock.now, self.world.named[leg.host.name]
        request = leg.retrieval.mark
        world.trace.append(("sent", now, self.index, request.id, leg.number, host.name))
        away = world.away(self.zone, host.zone)
        cold = any(
            one.outcome is Outcome.MISS and world.named[one.host.name].warmth(now) < 1
            for one in leg.retrieval.legs
        )
        job, delay = Job(self, leg, request, host, cold and host.origin), away
        if self.idle.get(host, 0) > 0:
            self.idle[host] -= 1
        elif not host.up or host.connections >= host.machine.connections:
            silent = now < host.silent_until
            world.clock.at(now + 2 * away, ANSWER, self._ended, self.life, leg,
                           Outcome.TIMED_OUT if silent else Outcome.NO_CONNECTION)  # fmt: skip
            self.open[leg] = job, False
            return
        else:
            host.connections += 1
            delay = 3 * away  # a handshake first
        self.open[leg] = job, True
        world.clock.at(now + delay, ANSWER, host.arrive, job)
        world.clock.at(leg.sent + leg.limit, TIMER, self._ended, self.life, leg, Outcome.TIMED_OUT)

    def _ended(self, life, leg, outcome):
        if life != self.life or not self.alive or leg not in self.open:
            return
        job, connected = self.open.pop(leg)
        world, host = self.world, job.host
        if connected and outcome in (Outcome.TIMED_OUT, Outcome.RESET):
            host.connections -= 1 if host.up else 0  # closing is how a host is told
        elif connected:
            self.idle[host] = self.idle.get(host, 0) + 1
        request, handled = leg.retrieval.mark, outcome is Outcome.HANDLED
        world.trace.append(("ended", world.clock.now, self.index, request.id, leg.number, outcome.name))
        late = leg.retrieval.done
        if handled and host.origin and not leg.retrieval.write and not late:
            missed = [one.host.name for one in leg.retrieval.legs if one.outcome is Outcome.MISS]
            for name in missed[:2]:
                if world.named[name].up:
                    world.named[name].memory.keep(request.key)
        tells = world.scenario.feedback.reports and not host.origin and outcome in HEARD
        self.call(life, self.balancer.leg_ended, world.clock.now, leg, outcome, handled,
                  host.report() if tells else None)  # fmt: skip
        if handled and not late:
            self.hand.pop(leg.retrieval, None)
            world.answered(self, request, "handled", 0)

    def answer(self, job, outcome):
        self._ended(job.life, job.leg, outcome)

    def reset(self, host):
        """A host has died: its connections are reset, whatever was on them."""
        self.idle.pop(host, None)
        away = self.world.away(self.zone, host.zone)
        for leg in [leg for leg, (job, connected) in self.open.items() if job.host is host and connected]:
            self.open[leg] = self.open[leg][0], False
            self.world.clock.at(
                self.world.clock.now + away, ANSWER, self._ended, self.life, leg, Outcome.RESET
            )


class World:
    def __init__(self, scenario, policy="hopsail", seed=1):
        self.scenario, self.seed, self.clock = scenario, seed, Clock(START)
        self.samples = []  # (second, connections at hosts, hosts aside: the mean over balancers)
        self.trace, self.results = [], []  # results: (born, kind, word, time it took, tries)
        self.policy = Oracle if policy == "oracle" else POLICIES[policy]
        if policy == "oracle":
            self.policy = type("Oracle", (Oracle,), {"sight": Sight(self)})
        elif policy == "hopsail" and hasattr(self.policy, "ring"):  # an earlier revision's may have none
            self.policy = type("Hopsail", (self.policy,), {"ring": staticmethod(Shared().ring)})
        self.sees = policy == "oracle"
        self.random, self.version = self.stream("clients"), 0
        fleet = scenario.fleet
        self.named = {
            i: Host(self, i, i % fleet.zones, scenario.cache, False) for i in range(1, fleet.caches + 1)
        }
        self.named[ORIGIN] = Host(self, ORIGIN, 0, scenario.origin, True)
        self.caches = [host for host in self.named.values() if not host.origin]
        self.listings = {name: self._entry(host, State.READY) for name, host in self.named.items()}
        self.nodes = self.dealt = [Node(self, i) for i in range(fleet.balancers)]
        front, self.leaving, self.sizes = self.stream("front"), self.stream("leaving"), self.stream("sizes")
        self.manners, self.habits = self.stream("manners"), {}  # by when a client came: marks, heeds
        self.phases = [front.randrange(max(1, scenario.front.every)) for _ in self.nodes]
        self.lates = [front.random() for _ in self.nodes]
        weights = [1 / i**scenario.load.zipf for i in range(1, scenario.load.keys + 1)]
        self.keys, self.key_of = list(accumulate(weights)), list(range(1, scenario.load.keys + 1))
        self.random.shuffle(self.key_of)
        self.parts = list(accumulate(kind.part for kind in scenario.track))
        self.tracks = [
            Track(EFFECTS[kind.effect], "all", kind.remembered, kind.promised, kind.benefit)
            for kind in scenario.track
        ]
        self.factor, self.hot, self.storm, self.scanned, self.number = 1.0, 0.0, False, 0, 0
        self.end = START + scenario.load.lasts

    def stream(self, name):
        """A source of chance of its own for each part: one more draw in one moves nothing in the others."""
        return Random(f"{self.seed}/{name}")

    def settings(self, zone):
        scenario = self.scenario
        return Settings(
            tracks=tuple(self.tracks), balancers=scenario.fleet.balancers, origin_kind=ORIGIN_KIND, zone=zone,
            subscribe=True, most_legs=MOST_LEGS, advise_wait=2 * SECOND, start_share=scenario.rules.start,
            warm_within=scenario.rules.warm, fall_multiple=scenario.rules.multiple,
            fall_time=scenario.rules.window, open_price=1.0, dial_price=1.0,
            quotas=self._quotas(),
            columns=COLUMNS if scenario.feedback.reports else (),
            **({"storms": Rules(2 * SECOND, scenario.storms.origin)} if scenario.storms.control else {}),
        )  # fmt: skip

    def _quotas(self):
        heed, rate = self.scenario.clients.heed, self.scenario.load.rate
        return (rate * heed, rate * (1 - heed)) if self.scenario.clients.apart else ()

    def run(self):
        """Plays the day. The collector rests meanwhile: a request leaves no cycles behind, and to look
        through the parts of hundreds of balancers again and again takes more time than the day."""
        collecting = gc.isenabled()
        gc.disable()
        try:
            return self._play()
        finally:
            if collecting:
                gc.enable()

    def _play(self):
        for node in self.nodes:
            self.clock.at(START, TROUBLE, node.start)
        self.clock.at(START, ARRIVAL, self._arrivals)
        for second in range(-(-self.scenario.load.lasts // SECOND)):
            self.clock.at(START + second * SECOND, SAMPLE, self._sample, second)
        for i, trouble in enumerate(self.scenario.trouble):
            act = getattr(self, f"_{trouble.what}")
            self.clock.at(START + trouble.at, TROUBLE, act, trouble, self.stream(f"trouble {i}"))
        self.clock.run(self.end + 3 * SECOND)
        return self

    def _sample(self, second):
        alive = [node for node in self.nodes if node.alive]
        aside = sum(getattr(node.balancer, "aside", 0) for node in alive) / max(1, len(alive))
        self.samples.append((second, sum(host.connections for host in self.named.values()), aside))

    def away(self, zone, other):
        network = self.scenario.network
        return network.same if zone == other else network.cross

    def void(self, key):
        for host in self.caches:
            host.memory.pop(key, None)

    def answer(self, job, outcome):
        """An answer leaves a host."""
        away = self.away(job.node.zone, job.host.zone)
        self.clock.at(self.clock.now + away, ANSWER, job.node.answer, job, outcome)

    # Clients and the front.

    def _arrivals(self):
        now = self.clock.now
        if now >= self.end:
            return
        kind = bisect_left(self.parts, self.random.random() * self.parts[-1])
        key = self.key_of[bisect_left(self.keys, self.random.random() * self.keys[-1])]
        if self.random.random() < self.hot:
            key = 10**9 + (now - START) // HOT_MOVES
        # All of a client's chance is drawn as it comes: what a policy does to one moves no other's day.
        tries = self.scenario.clients.tries
        luck = [self.random.random() for _ in range(2 * tries)]
        self.habits[now] = self.manners.random(), self.manners.random()
        self._ask(min(kind, len(self.parts) - 1), key, tries, now, luck)
        gap = self.random.expovariate(self.scenario.load.rate * self.factor)
        self.clock.at(now + int(gap * SECOND), ARRIVAL, self._arrivals)

    def _ask(self, kind, key, tries, first, luck, size=None):
        now = self.clock.now
        self.number += 1
        if size is None and self.scenario.feedback.hints:
            size = self.sizes.expovariate(1.0)
        ends = now + self.scenario.clients.patience
        request = Request(self.number, kind, key, ends, now, tries - 1, first, size, luck)
        dealt = self.dealt  # the dead are among them, until the front has noticed
        node = dealt[int(luck[-2 * tries] * len(dealt))]
        if not node.alive:
            self._failed(request, "refused", 0)  # its connection is refused: nobody has taken it
        else:
            node.take(request)

    def answered(self, node, request, word, wait):
        now = self.clock.now
        self.trace.append(("answered", now, node.index, request.id, word))
        if word == "handled":
            self.results.append((request.first, request.kind, word, now - request.first, request.tries))
        else:
            self._failed(request, word, wait)

    def _failed(self, request, word, wait):
        clients, now = self.scenario.clients, self.clock.now
        if request.tries <= 0 or word == "scrapped" or now >= self.end:
            self.results.append((request.first, request.kind, word, now - request.first, request.tries))
            return
        pause = clients.backoff * 2 ** (clients.tries - request.tries - 1)
        rushes = self.storm and self.habits[request.first][1] >= clients.heed
        pause = 0 if rushes else max(wait, int(pause * (0.5 + request.luck[-2 * request.tries - 1])))
        self.clock.at(now + pause + MS, ARRIVAL, self._ask, request.kind, request.key, request.tries,
                      request.first, request.luck, request.size)  # fmt: skip

    # Discovery.

    def _entry(self, host, state):
        kind = ORIGIN_KIND if host.origin else 0
        return Listing(host.name, host.zone, kind, 0, state, 1.0, host.started)

    def tell(self, host, state):
        """Discovery learns of a change, and tells each balancer after a delay of its own."""
        entry, random = self._entry(host, state), self.stream(f"list {host.name} {self.clock.now}")
        if state is State.GONE:
            self.listings.pop(host.name, None)
        else:
            self.listings[host.name] = entry
        self.version += 1
        for node in self.nodes:
            delay = int(self.scenario.lists.delay * (0.5 + random.random()))
            self.clock.at(self.clock.now + delay, LIST, node.hear, entry, self.version)

    # Troubles.

    def _some(self, of, trouble, random):
        return random.sample(of, min(len(of), max(1, ceil(trouble.part * len(of)))))

    def _later(self, trouble, act, *args):
        self.clock.at(self.clock.now + trouble.lasts, TROUBLE, act, *args)

    def _crash(self, trouble, random, hosts=None):
        for host in hosts or self._some(self.caches, trouble, random):
            host.die()
            for node in self.nodes:
                node.reset(host)
            notice = self.clock.now + min(self.scenario.lists.silent, trouble.lasts)
            self.clock.at(notice, TROUBLE, self._unlist, host)
            self._later(trouble, self._back, host)

    def _unlist(self, host):
        if not host.up:
            self.tell(host, State.GONE)

    def _back(self, host):
        if not host.up:
            host.start()
            self.tell(host, State.READY)

    def _zone(self, trouble, random):
        lost = random.randrange(self.scenario.fleet.zones)
        self._crash(trouble, random, [host for host in self.caches if host.zone == lost])

    def _silence(self, trouble, random):
        for host in self._some(self.caches, trouble, random):
            host.silent_until = self.clock.now + trouble.lasts

    def _resets(self, trouble, random):
        """Hosts that take a request in and reset its connection."""
        for host in self._some(self.caches, trouble, random):
            host.resets = True
            self._later(trouble, setattr, host, "resets", False)

    def _drain(self, trouble, random):
        """Hosts that are listed to drain, go on serving, and are listed as ready again."""
        for host in self._some(self.caches, trouble, random):
            self.tell(host, State.DRAINING)
            self._later(trouble, self._undrained, host)

    def _undrained(self, host):
        if host.up:
            self.tell(host, State.READY)

    def _slow(self, trouble, random):
        self._slowed(self._some(self.caches, trouble, random), trouble)

    def _brownout(self, trouble, random):
        self._slowed([self.named[ORIGIN]], trouble)

    def _slowed(self, hosts, trouble):
        for host in hosts:
            host.times *= trouble.times
            self._later(trouble, self._quicken, host, trouble.times)

    def _quicken(self, host, times):
        host.times /= times

    def _partition(self, trouble, random):
        for node in self._some(self.nodes, trouble, random):
            node.part_from_discovery(True)
            self._later(trouble, node.part_from_discovery, False)

    def _restart(self, trouble, random):
        some = self._some(self.nodes, trouble, random)
        for i, node in enumerate(some):
            self.clock.at(self.clock.now + i * trouble.lasts // len(some), TROUBLE, self._kill, node)

    def _lose(self, trouble, random):
        """Balancers die, and stay away for as long as the trouble lasts."""
        for node in self._some(self.nodes, trouble, random):
            self._kill(node, trouble.lasts)

    def _kill(self, node, away=BACK_AFTER):
        """A balancer dies and is back after half a second; the front hears of both late."""
        if not node.alive:
            return
        lost = [retrieval.mark for retrieval in node.hand]  # also those that wait in it with no leg out
        node.die()
        self._looked(node)
        for request in lost:
            self._failed(request, "lost with its balancer", 0)
        self.clock.at(self.clock.now + away, TROUBLE, self._revive, node)

    def _revive(self, node):
        node.start()
        self._looked(node)

    def _looked(self, node):
        """The front's health calls come to a balancer at even times; this is when they change its mind."""
        front = self.scenario.front
        if not front.every:
            return
        phase, now = self.phases[node.index], self.clock.now
        soon = front.every - (now + phase) % front.every  # until the next call there
        if not node.alive:
            late = self.lates[node.index] < front.late
            soon += (front.fails - 1) * front.every + late * front.later
        self.clock.at(now + soon, TROUBLE, self._deal, node, node.alive, node.life)

    def _deal(self, node, alive, life):
        if node.alive is alive and node.life == life and node.dealt is not alive:
            node.dealt = alive
            # One that holds all for dead deals to all: none of them can do worse than nobody.
            self.dealt = [one for one in self.nodes if one.dealt] or self.nodes

    def _storm(self, trouble, random):
        """Clients come more often and come again at once, whatever they are told."""
        self.storm, self.factor = True, self.factor * trouble.times
        self._later(trouble, self._calm, trouble.times)

    def _calm(self, times):
        self.storm, self.factor = False, self.factor / times

    def _hot(self, trouble, random):
        self.hot = trouble.part or 0.2
        self._later(trouble, setattr, self, "hot", 0.0)

    def _scan(self, trouble, random):
        """Reads of keys that nobody has asked for, one after the other."""
        for i in range(int(trouble.rate * trouble.lasts / SECOND)):
            at = self.clock.now + int(i * SECOND / trouble.rate)
            luck = random.random(), random.random()
            self.habits[at] = 1.0, 1.0
            self.clock.at(at, ARRIVAL, self._ask, 0, 2 * 10**9 + self.scanned + i, 1, at, luck)
        self.scanned += int(trouble.rate * trouble.lasts / SECOND)
