"""Pings of members next to one that is silent; an answer tells that the way there is whole. No I/O."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from .context import SwimContext
from .members import Member

WITNESSES = 3  # that are pinged at once: datagrams are lost now and then
MAX_PENDING = 256  # pings without an acknowledgement that are remembered


class _Question(NamedTuple):
    """A ping under way."""

    name: str  # of the member
    sent_at: int  # ns


class Witnesses:
    """Who was asked and has answered."""

    def __init__(self, context: SwimContext) -> None:
        """Nobody was asked."""
        self._context = context
        self._pending: OrderedDict[int, _Question] = OrderedDict()  # by the number of the ping
        self._answered: dict[str, int] = {}

    def ask(self, members: Sequence[Member], now: int) -> None:
        """Pings some of these members, drawn by lot."""
        context = self._context
        for member in context.random.sample(members, min(WITNESSES, len(members))):
            number = context.outbox.ping(member.address, [member])
            self._pending[number] = _Question(member.name, now)
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def handle_ack(self, number: int) -> None:
        """An acknowledgement of an own ping."""
        question = self._pending.pop(number, None)
        if question is not None:
            self._answered[question.name] = max(question.sent_at, self._answered.get(question.name, 0))
            self._forget()

    def answered_at(self, name: str) -> int | None:
        """When the newest ping that this member has acknowledged was sent, in ns; None if it has none."""
        return self._answered.get(name)

    def _forget(self) -> None:
        known = self._context.members.by_name
        for name in [name for name in self._answered if name not in known]:
            del self._answered[name]
