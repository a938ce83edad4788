"""The store stand-in: parts that hosts have read, kept as they were first made, whatever their tenant."""

from random import Random

from ..http.message import Request
from ..http.server import Exchange, HttpServer
from .fabric import Address, Fabric
from .kept import KeptCalls, KeptParts


class Store:
    """Serves `/-/kv-events` and `/-/kv-list`; hosts put parts through the fabric."""

    def __init__(
        self, loop, address: Address, fabric: Fabric, room: int, most_inflight: int = 12, seed: str = ""
    ):
        self.loop, self.address, self.fabric, self.room = loop, address, fabric, room
        self.random = Random(f"store/{seed}")
        self._fill_anew()
        self.calls = KeptCalls(loop, lambda: self.kept, most_inflight)
        self.server = HttpServer(loop, address, self._handle)

    def _fill_anew(self) -> None:
        self.kept = KeptParts(self.room, self.random.randrange(1, 1 << 31))
        self.fabric.kept[self.address] = self.kept

    def _handle(self, request: Request, exchange: Exchange) -> None:
        if not self.calls.handles(request, exchange):
            exchange.respond(404)

    def crash(self) -> None:
        """The process is gone, and with it all that was kept."""
        self.fabric.kept.pop(self.address, None)
        self.server.close()

    def restart(self) -> None:
        """Comes back empty, under another incarnation."""
        self._fill_anew()
        self.server = HttpServer(self.loop, self.address, self._handle)

    def close(self) -> None:
        self.server.close()
