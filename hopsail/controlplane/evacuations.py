"""The table of zones that are evacuated: what each order does, and what of it is fed. No I/O.

An operator's order carries no precondition, and one that was delayed must not undo a later one. So each
order has the number of the newest one that was known when its call came, and counts only while that is the
newest."""

from collections.abc import Iterator, Mapping
from typing import TypeGuard

from ..configuration.codes import ResultCode
from ..feed.evacuation import MAX_ZONES, NEVER_EVACUATED, Evacuation, decode_evacuation
from ..feed.journal import Journal
from ..feed.topics import Topic
from .commands import Command, CommandKind, Result

OK = 200
ORDER_KINDS = (CommandKind.EVACUATE_ZONE, CommandKind.WITHDRAW_EVACUATION)


class Evacuations:
    """The newest order on each zone that there was one on."""

    def __init__(self, orders: Mapping[str, Evacuation] | None = None) -> None:
        """Begin with the orders of a snapshot, or with none."""
        self._orders: dict[str, Evacuation] = dict(orders or {})

    def newest(self, zone: str) -> Evacuation:
        """The newest order on a zone."""
        return self._orders.get(zone, NEVER_EVACUATED)

    def __iter__(self) -> Iterator[tuple[str, Evacuation]]:
        """Zones with their newest orders."""
        return iter(self._orders.items())

    def __len__(self) -> int:
        """The number of zones that there was an order on."""
        return len(self._orders)

    def apply(self, command: Command) -> Result:
        """Carry an order out. Also one that changes nothing has a number: older ones can't count after it."""
        newest = self.newest(command.subject)
        if command.base != newest.number:
            return Result.rejection(ResultCode.CONTROL_SUPERSEDED, command.subject, newest.number)
        if command.subject not in self._orders and len(self._orders) >= MAX_ZONES:
            return Result.rejection(ResultCode.CONTROL_UNKNOWN_ZONE, command.subject)
        order = Evacuation(newest.number + 1, command.kind is CommandKind.EVACUATE_ZONE)
        self._orders[command.subject] = order
        return Result(OK, value=order.number)

    def publish(self, journal: Journal) -> list[str]:
        """Feed what is newer than what the journal has; the zones whose orders are newly fed."""
        newer = []
        for zone, order in self._orders.items():
            fed = journal.get(Topic.EVACUATION, zone)
            if fed is None or decode_evacuation(fed).number < order.number:
                journal.set(Topic.EVACUATION, zone, order.value)
                newer.append(zone)
        return newer


def is_superseded(result: Result | None) -> TypeGuard[Result]:
    """Whether a result says that another order on the zone came first; its value is that one's number."""
    return result is not None and result.code == ResultCode.CONTROL_SUPERSEDED
