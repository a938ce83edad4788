"""Seeded histories of the first balancer lead to the same decisions as in earlier versions."""

from random import Random

import pytest
from golden_digest import HistoryDigest, stored_digest

from hopsail.decide import Balancer
from hopsail.model import MS, SECOND, Bounce, Close, Listing, Outcome, Repeat, Report, Retrieval, Scope, Scrap
from hopsail.model import Send, Settings, State, Subscribe, Track, WakeAt
from hopsail.storms import Rules

PATH = "balancer/histories.json"
SEEDS = (1, 2, 3)
ORIGIN, ORIGIN_KIND = 99, 9
EVENTS = 3000
TRACKS = (
    Track(promised=200 * MS),
    Track(Repeat.RECEIPTED, remembered=2 * SECOND, promised=SECOND),
    Track(Repeat.RECEIPTED, group="zone", remembered=SECOND, promised=300 * MS),
    Track(Repeat.EFFECTFUL, promised=500 * MS),
)
VARIANTS = {
    "plain": {},
    "zones and reports": {
        "cross_price": 0.2,
        "columns": ("waiting", "active", "cpu", "rps", "avg_ms"),
        "sized": True,
        "only_drains": True,
    },
    "shares, storms and many balancers": {
        "quotas": (40.0, 20.0, 5.0),
        "balancers": 90,
        "advise_wait": SECOND,
        "subscribe": True,
        "live": True,
        "storms": Rules(most_wait=2 * SECOND, origin=400.0),
        "dial_price": 0.1,
    },
}


class Driver:
    """Drives one balancer by seeded events and takes its actions into a digest."""

    def __init__(self, variant, seed):
        self.random, self.digest, self.now = Random(seed), HistoryDigest(), 100 * SECOND
        self.settings = Settings(
            tracks=TRACKS,
            origin_kind=ORIGIN_KIND,
            warm_within=4 * SECOND,
            start_share=0.3,
            fall_time=SECOND,
            **VARIANTS[variant],
        )
        self.balancer = Balancer(self.settings, seed, self.now)
        self.numbers, self.legs, self.retrievals, self.timers = {}, [], [], []

    def run(self):
        whole = [self.listing(name, State.READY) for name in range(1, 13)]
        self.balancer.listed(self.now, Scope.WHOLE, [*whole, self.listing(ORIGIN, State.READY)])
        self.take_actions()
        for _ in range(EVENTS):
            self.now += int(self.random.expovariate(1 / (4 * MS)))
            self.wake_due()
            event = self.random.random()
            if event < 0.52:
                self.arrive()
            elif event < 0.97 and self.legs:
                self.end_leg()
            elif event < 0.98 and self.retrievals:
                self.withdraw()
            elif event > 0.99:
                self.list_changes()
            self.take_actions()
        return self.digest.hexdigest()

    def listing(self, name, state):
        kind = ORIGIN_KIND if name == ORIGIN else name % 3
        started = 0 if self.random.random() < 0.7 else self.now
        size = 1.0 if name == ORIGIN else self.random.choice((0.5, 1.0, 1.0, 2.0))
        return Listing(name, name % 2, kind, name % 4, state, size, started)

    def arrive(self):
        number, key = len(self.numbers), self.random.choice((0, 5, 5, self.random.randrange(1, 400)))
        track = self.random.choice(TRACKS)
        work = self.random.choice((0, 0, 20 * MS, 150 * MS))
        retrieval = Retrieval(number, track, key, self.now + 2 * track.promised)
        retrieval.write, retrieval.work = self.random.random() < 0.1, work
        retrieval.customer, retrieval.again = self.random.randrange(3), self.random.random() < 0.1
        self.numbers[id(retrieval)] = number
        self.retrievals.append(retrieval)
        self.balancer.arrived(self.now, retrieval)

    def end_leg(self):
        leg = self.legs.pop(self.random.randrange(len(self.legs)))
        weights = (60, 12, 4, 4, 6, 3, 3, 2, 1)
        outcome = self.random.choices(list(Outcome), weights)[0]
        complete = outcome is Outcome.HANDLED or self.random.random() < 0.02
        report = None
        if self.random.random() < 0.5 and self.settings.columns:
            busy = self.random.random() * 1.2
            values = [busy * 3, 1 + busy * 4, busy, 200 * busy, 5 + 30 * busy]
            report = Report.read(self.settings.columns, values)
        self.balancer.leg_ended(self.now, leg, outcome, complete, report)

    def withdraw(self):
        retrieval = self.random.choice(self.retrievals[-20:])
        if not retrieval.done:
            self.legs = [leg for leg in self.legs if leg.retrieval is not retrieval]
            for leg in retrieval.legs:
                self.balancer.leg_ended(self.now, leg, Outcome.CANCELLED, False)
            if not retrieval.done:
                self.balancer.withdrawn(self.now, retrieval)

    def list_changes(self):
        scope = self.random.choice((Scope.CHANGES, Scope.CHANGES, Scope.FAILED, Scope.SILENT, Scope.WHOLE))
        names = self.random.sample(range(1, 15), self.random.randrange(1, 4))
        if scope is Scope.WHOLE:
            names = [ORIGIN, *self.random.sample(range(1, 15), 10)]
        states = [State.READY, State.READY, State.DRAINING, State.GONE]
        entries = [
            self.listing(name, State.READY if name == ORIGIN else self.random.choice(states))
            for name in names
        ]
        self.balancer.listed(self.now, scope, [] if scope in (Scope.FAILED, Scope.SILENT) else entries)

    def wake_due(self):
        while due := [timer for timer in self.timers if timer.at <= self.now]:
            first = min(due, key=lambda timer: timer.at)
            self.timers.remove(first)
            self.balancer.woken(max(first.at, 0), first.token)
            self.take_actions()

    def take_actions(self):
        actions = list(self.balancer.out)
        self.balancer.out.clear()
        for action in actions:
            self.take(action)

    def take(self, action):
        if isinstance(action, Send):
            leg = action.leg
            self.legs.append(leg)
            number = self.numbers[id(leg.retrieval)]
            self.digest.add("send", number, leg.host.name, leg.number, leg.sent, leg.limit)
        elif isinstance(action, Bounce):
            self.digest.add("refuse", self.numbers[id(action.retrieval)], action.wait)
        elif isinstance(action, Scrap):
            self.digest.add("drop", self.numbers[id(action.retrieval)])
        elif isinstance(action, WakeAt):
            self.timers.append(action)
            self.digest.add("wake", action.at)
        elif isinstance(action, Subscribe):
            self.digest.add("subscribe")
        else:
            assert isinstance(action, Close)
            self.digest.add("close", action.host.name)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("variant", VARIANTS)
def test_a_seeded_history_of_the_first_balancer_is_the_stored_one(variant, seed):
    assert Driver(variant, seed).run() == stored_digest(PATH, f"{variant}, seed {seed}")
