"""Admission at one balancer: a bound on requests under way for each service, the urgent ones first.

The bound is several times this balancer's equal part of the hosts' places, as clients are not spread evenly;
it acts when far more comes than hosts can take, such as the backlog after a restart of all processes. Those
that find no place wait for a quarter of their aim at most; what is given up is refused at once."""

from collections.abc import Callable

from ..routing.admission import Admission, Verdict

MILLISECOND = 1_000_000
PARTS_OF_PLACES = 3  # times the equal part of the hosts' places
LEAST_PLACES = 8
UNBOUNDED_PLACES = 4096  # while the number of balancers is not known
WAITING_PER_PLACE = 2
WAIT_SHARE = 0.25  # of the time in which an answer earns its full worth
EXPIRE_EVERY_MS = 10


class Gates:
    """One gate for each service. Items have `admitted()` and `refused_by_gate()`."""

    def __init__(
        self,
        loop,
        capacity: Callable[[str], int],
        balancers: Callable[[], int | None],
        most_services: int = 4096,
    ):
        self.loop, self.capacity, self.balancers = loop, capacity, balancers
        self.most_services = most_services
        self.services: dict[str, Admission] = {}
        self.expiring = False

    def places(self, service: str) -> int:
        """How many requests for the service may be under way here."""
        balancers = self.balancers()
        if not balancers:
            return UNBOUNDED_PLACES
        return max(LEAST_PLACES, PARTS_OF_PLACES * self.capacity(service) // balancers)

    def offer(self, service: str, priority: tuple[int, int], wait_ms: float, item) -> Verdict:
        """Admits, queues or refuses a request that may wait for so many ms."""
        now = self.loop.now()
        gate = self._gate(service, now)
        verdict = gate.offer(now, priority, now + int(wait_ms * MILLISECOND), item)
        if verdict is Verdict.QUEUE:
            self._expire(service)
            self._expire_later()
        return verdict

    def _gate(self, service: str, now: int) -> Admission:
        gate = self.services.get(service)
        places = self.places(service)
        if gate is None:
            if len(self.services) >= self.most_services:
                self._forget_idle()
            gate = self.services[service] = Admission(places, places * WAITING_PER_PLACE, now)
        elif gate.places != places:
            for item in gate.resize(now, places):
                self.loop.soon(item.admitted)
        return gate

    def _forget_idle(self) -> None:
        for name in [name for name, gate in self.services.items() if not gate.active and not gate.waiting]:
            del self.services[name]

    def left(self, service: str) -> None:
        """A request that had a place has ended."""
        item = self.services[service].release(self.loop.now())
        if item is not None:
            self.loop.soon(item.admitted)

    def withdraw(self, service: str, item) -> None:
        """The client of a waiting request has gone."""
        self.services[service].withdraw(item)

    def retry_after_ms(self, service: str) -> int:
        """When a refused client is to come back."""
        now = self.loop.now()
        return self._gate(service, now).retry_after_ms(now)

    def _expire(self, service: str) -> None:
        for item in self.services[service].expire(self.loop.now()):
            item.refused_by_gate()

    def _expire_later(self) -> None:
        if not self.expiring:
            self.expiring = True
            self.loop.at(self.loop.now() + EXPIRE_EVERY_MS * MILLISECOND, self._expire_all)

    def _expire_all(self) -> None:
        self.expiring = False
        for service in list(self.services):
            self._expire(service)
        if any(gate.waiting for gate in self.services.values()):
            self._expire_later()
