"""Queue of a roll-out's actions, numbered, until its driver takes them."""

from hopsail.weights.actions import Action, Announce, HostInfo, RequestReport, SendOrder, order_body
from hopsail.weights.load import HostLoad, LoadPhase


class Outbox:
    """Actions in order; orders, reports and announcements share one sequence of serial numbers."""

    def __init__(self, owner: str, model: str) -> None:
        """Create an empty queue for the orders of `owner`."""
        self._owner = owner
        self._model = model
        self._serial = 0
        self._pending: list[Action] = []

    def next_serial(self) -> int:
        """Return a number that was not used before."""
        self._serial += 1
        return self._serial

    def announce(self, host: str, phase: LoadPhase, revision: int, fencing_token: int) -> None:
        """Announce the load of a host to the data planes."""
        self._pending.append(Announce(host, HostLoad(phase, revision, fencing_token, self.next_serial())))

    def order(self, host: HostInfo, revision: int, fencing_token: int, serial: int) -> None:
        """Order a host to load a revision."""
        body = order_body(self._model, revision, self._owner, fencing_token)
        self._pending.append(SendOrder(host.identifier, host.address, body, serial))

    def request_report(self, host: HostInfo, serial: int) -> None:
        """Request the report of a host."""
        self._pending.append(RequestReport(host.identifier, host.address, serial))

    def take(self) -> list[Action]:
        """Return and remove all actions."""
        actions, self._pending = self._pending, []
        return actions

    def clear(self) -> None:
        """Drop the actions that have not been taken."""
        self._pending = []
