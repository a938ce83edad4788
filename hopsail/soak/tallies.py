"""An application of a soak: adds to a tally all the time, and judges the totals at the end.

It calls as applications do: an add that has no clear answer goes to another control process with the same
identifier. Each add is of 1, so that a total is a number of adds.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from random import Random

from ..controlplane.tally_calls import TALLY_PREFIX
from ..http.client import HttpClient
from ..http.message import Response
from ..net.loop import Loop
from ..standins.kept import MILLISECOND
from ..standins.records import Rule, Violation

Address = tuple[str, int]

TARGET = f"{TALLY_PREFIX}soak"
ADD_EVERY_MS = 50
RETRY_AFTER_MS = 50
SILENCE_MS = 1000  # after which another process is called
READ_EVERY_MS = 200
IDENTIFIER_BITS = 64
ACKNOWLEDGED = 200


class TallyCaller:
    """Adds until it is stopped; an add is tried again until it is acknowledged or the caller is closed."""

    def __init__(self, loop: Loop, addresses: Sequence[Address], seed: str) -> None:
        """Calls the control processes at these addresses."""
        self.sent = self.acknowledged = 0
        self.totals: dict[Address, int] = {}  # told at the end
        self._loop, self._addresses = loop, addresses
        self._random = Random(f"tallies {seed}")
        self._client = HttpClient(loop)
        self._is_adding = True

    @property
    def open(self) -> int:
        """Adds that are not acknowledged yet."""
        return self.sent - self.acknowledged

    def add_in_turn(self) -> None:
        """Adds, and goes on until it is stopped."""
        if self._is_adding:
            self._later(ADD_EVERY_MS, self.add_in_turn)
            self.sent += 1
            self._attempt(f"{self._random.getrandbits(IDENTIFIER_BITS):016x}", self.sent)

    def stop(self) -> None:
        """Begins no further add."""
        self._is_adding = False

    def read_all(self) -> None:
        """Asks all processes for their totals until each has told one."""
        for address in self._addresses:
            self._read(address)

    def close(self) -> None:
        """Gives back its sockets."""
        self._client.pool.close()

    def _later(self, milliseconds: int, act) -> None:
        self._loop.at(self._loop.now() + milliseconds * MILLISECOND, act)

    def _attempt(self, identifier: str, turn: int) -> None:
        address = self._addresses[turn % len(self._addresses)]

        def done(response: Response | None) -> None:
            if response is not None and response.status == ACKNOWLEDGED:
                self.acknowledged += 1
            else:
                self._later(RETRY_AFTER_MS, lambda: self._attempt(identifier, turn + 1))

        body = json.dumps({"InstanceId": identifier, "Actor": 1}).encode()
        self._client.call(address, "POST", TARGET, body=body, timeout=SILENCE_MS * MILLISECOND, done=done)

    def _read(self, address: Address) -> None:
        def done(response: Response | None) -> None:
            if response is not None and response.status == ACKNOWLEDGED:
                self.totals[address] = json.loads(response.body)["Total"]
            else:
                self._later(READ_EVERY_MS, lambda: self._read(address))

        self._client.call(address, "GET", TARGET, timeout=SILENCE_MS * MILLISECOND, done=done)


def check_totals(
    addresses: Iterable[Address], totals: Mapping[Address, int], acknowledged: int, sent: int
) -> Iterable[Violation]:
    """Every process tells all that was acknowledged, and nothing that was never sent."""
    for address in addresses:
        total = totals.get(address)
        if total is None:
            yield Violation(Rule.LOST, "", f"the tally can't be read at {address[0]}")
        elif total < acknowledged:
            yield Violation(
                Rule.LOST, "", f"{acknowledged - total} acknowledged adds are gone at {address[0]}"
            )
        elif total > sent:
            yield Violation(Rule.TWICE, "", f"{total - sent} adds more than were sent at {address[0]}")
