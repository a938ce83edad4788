"""The decision module with a list of caches and the origin, driven by hand; and what messages hold."""

from hopsail.decide import Balancer
from hopsail.model import MS, SECOND, Listing, Repeat, Retrieval, Scope, Send, Settings, State, Track, WakeAt

ORIGIN = 99
PURE = Track(promised=SECOND)


def entry(name, kind=0, state=State.READY, started=0, zone=0, cell=0, size=1.0):
    return Listing(name, zone, kind, cell, state, size, started)


class Bench:
    def __init__(self, caches=6, seed=7, **settings):
        settings = {"origin_kind": 9, "warm_within": 8 * SECOND, "start_share": 0.3} | settings
        self.now, self.timers = 100 * SECOND, []
        self.balancer = Balancer(Settings(**settings), seed, self.now)
        self.list([entry(i) for i in range(1, caches + 1)] + [entry(ORIGIN, kind=9)])

    def take(self):
        actions = list(self.balancer.out)
        self.balancer.out.clear()
        self.timers += [a for a in actions if isinstance(a, WakeAt)]
        return [a for a in actions if not isinstance(a, WakeAt)]

    def list(self, entries, scope=Scope.WHOLE):
        self.balancer.listed(self.now, scope, entries)
        return self.take()

    def ask(self, key=1, track=PURE, write=False, lasts=2 * SECOND, customer=0, work=0):
        r = Retrieval("r", track, key, self.now + lasts, write, work, customer)
        self.balancer.arrived(self.now, r)
        return r, self.take()

    def end(self, leg, outcome, after=10 * MS, complete=None, report=None):
        self.now += after
        done = outcome.name == "HANDLED" if complete is None else complete
        self.balancer.leg_ended(self.now, leg, outcome, done, report)
        return self.take()

    def wait(self, span):
        until, actions = self.now + span, []
        while due := [t for t in self.timers if t.at <= until]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            self.balancer.woken(self.now, first.token)
            actions += self.take()
        self.now = until
        return actions


def sent(actions):
    return [a.leg for a in actions if isinstance(a, Send)]


def names(actions):
    return [leg.host.name for leg in sent(actions)]


RECEIPTED = Track(Repeat.RECEIPTED, remembered=SECOND, promised=SECOND)
ZONED = Track(Repeat.RECEIPTED, group="zone", remembered=SECOND, promised=SECOND)
EFFECTFUL = Track(Repeat.EFFECTFUL, promised=SECOND)


def body_of(data):
    """The body of a whole message, whatever its framing; None while some of it is missing."""
    head, gap, rest = bytes(data).partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    if not gap:
        return None
    if b"transfer-encoding: chunked" not in lines:
        length = int(next(line for line in lines if line.startswith(b"content-length: ")).split()[1])
        return rest if len(rest) >= length else None
    body = bytearray()
    while True:
        size, gap, rest = rest.partition(b"\r\n")
        if not gap or len(rest) < int(size, 16) + 2:
            return None
        if int(size, 16) == 0:
            return bytes(body)
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
