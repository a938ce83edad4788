"""The client: carries out what a `Plan` decides, on connections of a bounded pool."""

import time
from collections.abc import Iterable
from random import Random
from threading import Lock
from typing import NamedTuple
from urllib.parse import quote
from uuid import uuid4

from .places import Places
from .plan import MS, SECOND, Budget, Effect, Ending, Plan, Try, Wait
from .wire import Broken, Connection, Pool

IDLE = 5.0  # seconds; a balancer closes what has been idle for 10, as `limits.idleCloseUs` says
CONNECTIONS = 8


class Answer(NamedTuple):
    status: int
    body: bytes
    tries: int


class Steady:
    """A clock that never goes back, whatever the one below it does. ns."""

    def __init__(self, read=time.monotonic_ns):
        self.read, self.latest = read, read()

    def __call__(self) -> int:
        self.latest = max(self.latest, self.read())
        return self.latest


class Client:
    """Reads and writes through balancers at `addresses` (host, port), for one customer.

    `connections` bounds the pool; `idle` seconds after which an unused connection is closed, to be less
    than the balancers' own. May be used by several threads. Every call takes `deadline`, seconds from
    its start for all tries and waits together, and raises a `RequestFailed` by then at the latest; what
    is given up is given up at once."""

    def __init__(
        self, addresses: Iterable[tuple[str, int]], customer: str, connections: int = CONNECTIONS,
        idle: float = IDLE, seed: int | None = None, clock=time.monotonic_ns, sleep=time.sleep,
    ):  # fmt: skip
        places = [(str(host), int(port)) for host, port in addresses]
        if not places:
            raise ValueError("addresses: one at least is needed")
        if connections < 1 or not idle > 0:
            raise ValueError("connections and idle must be above 0")
        self.customer, self.random, self.sleep = customer, Random(seed), sleep
        self.clock, self.budget, self.lock = Steady(clock), Budget(), Lock()
        self.places = Places(places, self.random)
        self.pool = Pool(connections, int(idle * SECOND), self.clock)

    def get(self, track: str, key: str, deadline: float = 1.0) -> Answer:
        """Reads a key: repeatable, and tried again on whatever else happens."""
        return self._call("GET", track, key, b"", deadline, Effect.REPEATABLE, 0.0)

    def put(self, track: str, key: str, value: bytes, deadline: float = 1.0, effect: Effect = Effect.ONCE,
            remembered: float = 0.0) -> Answer:  # fmt: skip
        """Writes a key. `effect` is the track's; `remembered` the seconds that its receipts are (BY_KEY)."""
        return self._call("PUT", track, key, value, deadline, effect, remembered)

    def close(self) -> None:
        self.pool.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def _call(self, method, track, key, body, deadline, effect, remembered):
        now = self.clock()
        if not 0 < deadline < 3600:
            raise ValueError(f"deadline: {deadline!r} is no time to wait")
        with self.lock:
            plan = Plan(effect, now + int(deadline * SECOND), self.budget, self.random, now,
                        int(remembered * SECOND))  # fmt: skip
        receipt, tried = (uuid4().hex if effect is Effect.BY_KEY else None), []
        target = f"/{quote(track, safe='')}/{quote(key, safe='')}"
        while True:
            with self.lock:
                step = plan.next(self.clock())
            if type(step) is Wait:
                self.sleep(max(0, step.until - self.clock()) / SECOND)
                continue
            if type(step) is not Try:
                raise step.error
            place = self._place(plan, tried)
            if place is None:
                continue
            answer = self._try(plan, place, step, method, target, body, receipt)
            if answer is not None:
                return Answer(*answer, plan.tries)

    def _place(self, plan, tried):
        """A balancer to try; None when none may be connected to yet, for which the try is put off."""
        with self.lock:
            now = self.clock()
            connected = [place for place in self.places.all if place not in tried and self.pool.has(place)]
            place, when = self.random.choice(connected) if connected else None, now
            if place is None:
                place, when = self.places.choose(now, tried)
            if place is None:
                plan.put_off(when)
                return None
        tried.append(place)
        return place

    def _try(self, plan, place, step, method, target, body, receipt):
        """Status and body of an answer that is the call's, or None: the plan has been told."""
        try:
            connection = self.pool.take(place, plan.deadline)
        except TimeoutError as fault:
            plan.ended(self.clock(), Ending.UNSENT, str(fault))
            return None
        kept = None
        try:
            if connection is None:
                connection = Connection(place, self.clock, plan.deadline)
            left = max(MS, plan.deadline - self.clock()) / SECOND
            headers = [
                ("Host", "{}:{}".format(*place.address)), ("X-Trace-Id", uuid4().hex),
                ("X-Customer", self.customer), ("X-Expires-In", f"{left:.3f}"),
            ]  # fmt: skip
            if step.number:
                headers.append(("X-Second-Try", "1"))
            if receipt is not None:
                headers.append(("Idempotency-Key", receipt))
            if body or method == "PUT":
                headers.append(("Content-Length", str(len(body))))
            status, wait, found = connection.exchange(method, target, headers, body, plan.deadline)
            kept = connection
        except (Broken, TimeoutError) as fault:
            ending = fault.ending if isinstance(fault, Broken) else Ending.UNSENT
            if connection is not None:
                connection.close()
            with self.lock:
                plan.ended(self.clock(), ending, str(fault))
                if self.clock() < plan.deadline:  # else it was only slow
                    self.places.broke(place, self.clock())
            self.pool.drop(place)
            return None
        finally:
            self.pool.give(kept)
        with self.lock:
            self.places.served(place)
            return (status, found) if plan.answered(self.clock(), status, wait) else None
