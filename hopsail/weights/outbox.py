"""What a roll-out has to tell data planes and hosts, numbered, until its driver takes it."""

from hopsail.weights.actions import Action, Announce, AskReport, HostInfo, SendOrder, order_body
from hopsail.weights.load import HostLoad, LoadPhase


class Outbox:
    """Actions in order; orders, reports and announcements share one row of serial numbers."""

    def __init__(self, owner: str, model: str) -> None:
        self._owner = owner
        self._model = model
        self._serial = 0
        self._pending: list[Action] = []

    def next_serial(self) -> int:
        """Return a number that was not used before."""
        self._serial += 1
        return self._serial

    def announce(self, host: str, phase: LoadPhase, revision: int, fence: int) -> None:
        """Tell the data planes about a host."""
        self._pending.append(Announce(host, HostLoad(phase, revision, fence, self.next_serial())))

    def order(self, host: HostInfo, revision: int, fence: int, serial: int) -> None:
        """Order a host to load a revision."""
        body = order_body(self._model, revision, self._owner, fence)
        self._pending.append(SendOrder(host.identifier, host.address, body, serial))

    def ask(self, host: HostInfo, serial: int) -> None:
        """Ask a host for its report."""
        self._pending.append(AskReport(host.identifier, host.address, serial))

    def take(self) -> list[Action]:
        """Return all that is to be done; it is then the driver's."""
        actions, self._pending = self._pending, []
        return actions

    def clear(self) -> None:
        """Drop what has not been taken."""
        self._pending = []
