"""An HTTP/1.1 server on the loop: listens, accepts connections, and ends them in order."""

from collections.abc import Callable

from ..event_log import get_logger
from ..net.loop import READ
from ..net.stream import listening
from .exchange import Exchange
from .limits import Rejection, ServerLimits
from .message import Headers, Request
from .server_connection import ServerConnection

log = get_logger("server")

BACKLOG = 1024
ACCEPTED_AT_ONCE = 64  # in one round of the loop


class HttpServer:
    """Listens at an address and calls `handle(request, exchange)` for each request.

    A message that can't be parsed is answered with 400. `beyond_limits(status)` gives the answer to one that
    is longer or slower than the limits allow, for which the status would be 408, 413 or 431."""

    def __init__(
        self,
        loop,
        address: tuple[str, int],
        handle: Callable[[Request, Exchange], None],
        limits: ServerLimits | None = None,
        refused: Callable[[int], None] = lambda status: None,
        beyond_limits: Callable[[int], Rejection] = Rejection,
    ):
        self.loop, self.handle, self.limits = loop, handle, limits or ServerLimits()
        self.refused, self.beyond_limits = refused, beyond_limits
        self.draining = False
        self.listening = True
        self.connections: dict[ServerConnection, None] = {}
        self.sock = listening(address, BACKLOG)
        loop.watch(self.sock, READ, self._accept)

    @property
    def busy(self) -> int:
        """Connections with a request under way or half read, or an answer that is not out yet."""
        return sum(connection.busy for connection in self.connections)

    def drain(self) -> None:
        """Answers from now on tell clients to close."""
        self.draining = True

    def close_idle(self) -> None:
        """Ends the connections that have no request under way and none half read."""
        for connection in list(self.connections):
            connection.leave()

    def refuse_half_read(self, status: int, headers: Headers = ()) -> None:
        """Answers the requests whose rest has not come yet, and ends their connections."""
        for connection in list(self.connections):
            connection.refuse_half_read(status, list(headers))

    def shut(self) -> None:
        """Takes in all that have connected, then no more; connections end as they become idle."""
        self.drain()
        self._stop_listening()
        self.close_idle()

    def _stop_listening(self) -> None:
        if not self.listening:
            return
        for _ in range(BACKLOG // ACCEPTED_AT_ONCE + 1):
            if not self._accept_some():  # those in the system's queue would be reset
                break
        self.listening = False
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _accept(self, _mask):
        if self.listening:  # shut by an earlier event of the same round
            self._accept_some()

    def _accept_some(self) -> bool:
        """Accepts a bounded number of connections; whether more may wait."""
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                log.warning("cannot accept: %s", error.strerror)
                return False
            if len(self.connections) >= self.limits.connections:
                sock.close()
                continue
            self.connections[ServerConnection(self.loop, sock, self)] = None
        return True

    def close(self) -> None:
        self._stop_listening()
        for connection in list(self.connections):
            connection.close()
