"""An application of a soak: adds to a tally all the time, and judges the totals at the end.

Adds go out with the retries of the operator stand-in, which are those of all callers of `control`. Each add
is of 1, so that a total is a number of adds.
"""

import json
from collections.abc import Iterable, Mapping
from random import Random

from ..http.message import Response
from ..net.loop import Loop
from ..standins.kept import MILLISECOND
from ..standins.operator import TALLIES, Answer, Operator
from ..standins.records import Rule, Violation

Address = tuple[str, int]

TALLY = "soak"
ADD_EVERY_MS = 50
READ_EVERY_MS, READ_WITHIN_MS = 200, 1000
IDENTIFIER_BITS = 64


class TallyCaller:
    """Adds until it is stopped; then reads the totals of all processes."""

    def __init__(self, loop: Loop, operator: Operator, seed: str) -> None:
        """Calls the processes that the operator knows."""
        self.sent = self.acknowledged = self.under_way = 0
        self.totals: dict[Address, int] = {}  # told at the end
        self._loop, self._operator = loop, operator
        self._random = Random(f"tallies {seed}")
        self._is_adding = True

    def add_in_turn(self) -> None:
        """Adds, and goes on until it is stopped."""
        if not self._is_adding:
            return
        self._loop.at(self._loop.now() + ADD_EVERY_MS * MILLISECOND, self.add_in_turn)
        self.sent += 1
        self.under_way += 1
        identifier = f"{self._random.getrandbits(IDENTIFIER_BITS):016x}"
        self._operator.add_to_tally(TALLY, identifier, 1, self._added)

    def _added(self, answer: Answer) -> None:
        self.under_way -= 1
        self.acknowledged += answer.taken

    def stop(self) -> None:
        """Begins no further add."""
        self._is_adding = False

    def read_all(self) -> None:
        """Asks all processes for their totals until each has told one."""
        for address in self._operator.addresses:
            self._read(address)

    def _read(self, address: Address) -> None:
        def done(response: Response | None) -> None:
            if response is not None and response.status == 200:
                self.totals[address] = json.loads(response.body)["Total"]
            else:
                self._loop.at(self._loop.now() + READ_EVERY_MS * MILLISECOND, lambda: self._read(address))

        timeout = READ_WITHIN_MS * MILLISECOND
        self._operator.client.call(address, "GET", TALLIES + TALLY, timeout=timeout, done=done)


def check_totals(
    addresses: Iterable[Address], totals: Mapping[Address, int], acknowledged: int, sent: int
) -> Iterable[Violation]:
    """Every process tells all that was acknowledged, and nothing that was never sent."""
    for address in addresses:
        total = totals.get(address)
        if total is None:
            yield Violation(Rule.LOST, "", f"the tally can't be read at {address[0]}")
        elif total < acknowledged:
            text = f"{acknowledged - total} acknowledged adds are gone at {address[0]}"
            yield Violation(Rule.LOST, "", text)
        elif total > sent:
            yield Violation(Rule.TWICE, "", f"{total - sent} adds more than were sent at {address[0]}")
