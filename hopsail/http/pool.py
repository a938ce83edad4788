"""Connections to hosts that are kept between calls."""

import socket

from ..net.loop import READ
from ..net.stream import dial
from .client_connection import MILLISECOND, ClientConnection
from .message import Headers

IDLE_TIME = 4000 * MILLISECOND  # a connection that has stood idle for longer is not used again
IDLE_PER_ADDRESS = 32


class ConnectionPool:
    """Connections by address, the last used one first."""

    def __init__(self, loop, most: int = 2048, user_timeout_ms: int = 2000):
        self.loop, self.most, self.user_timeout_ms = loop, most, user_timeout_ms
        self.idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self.connections: dict[ClientConnection, None] = {}
        self.dialed = self.reused = 0

    def take(self, address, fresh: bool = False) -> ClientConnection | None:
        """A connection that is idle or on its way up; None when none can be had now.

        `fresh`: one that has carried nothing before, on which no answer to an earlier call can come."""
        now = self.loop.now()
        idle = [] if fresh else self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if now > connection.keep_until:
                connection.close()
                continue
            connection.ready(READ)  # the other side may have closed it: then it is gone now
            if connection.open:
                self.reused += 1
                return connection
        return self._dial(address)

    def _dial(self, address) -> ClientConnection | None:
        if len(self.connections) >= self.most and not self._spare():
            return None
        try:
            sock = dial(address)
        except OSError:
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.user_timeout_ms)
        connection = ClientConnection(self.loop, sock, address, self)
        self.connections[connection] = None
        self.dialed += 1
        return connection

    def _spare(self) -> bool:
        for idle in self.idle.values():
            if idle:
                idle[0].close()
                return True
        return False

    def rest(self, connection: ClientConnection):
        """Keeps a connection for the next call."""
        connection.pause(False)  # its last listener may have held it up
        idle = self.idle.setdefault(connection.address, [])
        keep = _keep_alive_time(connection.headers)
        connection.used, connection.idle_since = True, self.loop.now()
        connection.keep_until = connection.idle_since + min(IDLE_TIME, keep)
        if len(idle) >= IDLE_PER_ADDRESS or keep <= 0:
            connection.close()
        else:
            idle.append(connection)

    def gone(self, connection: ClientConnection):
        self.connections.pop(connection, None)
        idle = self.idle.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                self.idle.pop(connection.address, None)

    def forget(self, address):
        """Closes the idle connections to an address."""
        for connection in list(self.idle.get(address, ())):
            connection.close()

    def close(self):
        for connection in list(self.connections):
            connection.close()


def _keep_alive_time(headers: Headers) -> int:
    """ns for which an idle connection may be used, by the `Keep-Alive` of the last answer."""
    for name, value in headers:
        if name == "keep-alive":
            for item in value.split(","):
                key, _, text = item.strip().partition("=")
                if key.lower() == "timeout" and text.isascii() and text.isdigit() and len(text) < 10:
                    return int(text) * 1000 * MILLISECOND * 3 // 4 - 100 * MILLISECOND
    return IDLE_TIME
