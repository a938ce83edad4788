"""Clients that go on using each open connection until the data plane has closed it."""

from ..standins.client import ClientConnection, ConnectionKeeper
from ..standins.fabric import Address

NEW_SHARE = 0.1  # of the requests, on a connection of their own


class PersistentKeeper(ConnectionKeeper):
    """Gives out open connections to any data plane before it opens one to the data plane that was picked."""

    def take(self, address: Address) -> ClientConnection:
        self._drop_old()
        if self.idle and self.random.random() >= NEW_SHARE:
            connection = self.random.choice(self.idle)
            self.idle.remove(connection)
            return connection
        return ClientConnection(self.loop, address)
