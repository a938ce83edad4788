"""The platform's entry for clients: which data planes take new connections, by their readiness."""

from collections.abc import Sequence
from random import Random

from ..http.client import HttpClient
from ..http.message import Response
from .fabric import Address
from .kept import MILLISECOND

PERIOD_MS = 1000
SILENCE_MS = 900
MISSES = 2
READY_TARGET = "/-/readyz"


class Edge:
    """One data plane, with the misses in a row that its readiness has."""

    def __init__(self, frontend: Address, readiness: Address):
        self.frontend, self.readiness, self.misses = frontend, readiness, MISSES

    @property
    def ready(self) -> bool:
        return self.misses < MISSES


class Ingress:
    """Asks each data plane every second; `pick` gives the frontend for a new connection."""

    def __init__(self, loop, edges: Sequence[Edge], seed: str = ""):
        self.loop, self.edges = loop, list(edges)
        self.random = Random(f"ingress/{seed}")
        self.client = HttpClient(loop)
        self.timer = None
        self._ask_all()

    @property
    def ready(self) -> int:
        """How many data planes are ready."""
        return sum(edge.ready for edge in self.edges)

    def pick(self) -> Address:
        """A data plane that is ready; any one while fewer than half are."""
        ready = [edge for edge in self.edges if edge.ready]
        return self.random.choice(ready if 2 * len(ready) >= len(self.edges) else self.edges).frontend

    def _ask_all(self) -> None:
        self.timer = self.loop.at(self.loop.now() + PERIOD_MS * MILLISECOND, self._ask_all)
        for edge in self.edges:
            self._ask(edge)

    def _ask(self, edge: Edge) -> None:
        def done(response: Response | None) -> None:
            well = response is not None and response.status == 200
            edge.misses = 0 if well else edge.misses + 1

        self.client.call(edge.readiness, "GET", READY_TARGET, timeout=SILENCE_MS * MILLISECOND, done=done)

    def close(self) -> None:
        self.timer.cancel()
        self.client.pool.close()
