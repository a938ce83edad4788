"""The simulated network: delays, losses, doubled and late messages, cuts both ways or one way."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .clock import MILLISECOND, Clock

HELD_SHARE = 0.3  # of what is sent over a cut: it arrives when the cut is over, as a stream's bytes do
LATE = 900 * MILLISECOND
LOST, DOUBLED, DELAYED, RESET = "lost", "doubled", "late", "reset"


@dataclass(frozen=True)
class Weather:
    """How messages fare; shares of all, times in ns."""

    loss: float = 0.0
    doubling: float = 0.0
    long_delay: float = 0.0
    resets: float = 0.0
    delay_least: int = MILLISECOND // 2
    delay_most: int = 4 * MILLISECOND
    long_delay_most: int = 2500 * MILLISECOND


CALM = Weather()
ROUGH = Weather(loss=0.02, doubling=0.03, long_delay=0.01, resets=0.005, delay_most=20 * MILLISECOND)


@dataclass
class Tampering:
    """What happens to one message: the one after `left` others `of` a kind (empty: any)."""

    left: int
    how: str
    of: str = ""

    def is_due(self, kind: str) -> bool:
        """Whether it is this message; counts it if not."""
        if self.of and self.of != kind:
            return False
        self.left -= 1
        return self.left <= 0


@dataclass(frozen=True)
class Cut:
    """A machine's messages of some direction to some others are lost.

    `scope`: all, a kind (core, edge, hosts), or the address of one; `spared`: one reached all the same.
    """

    host: str
    scope: str
    outward: bool
    inward: bool
    spared: str = ""

    def covers(self, other: str, kind: str) -> bool:
        """Whether it lies between its machine and another."""
        return other != self.spared and self.scope in ("all", kind, other)


class Network:
    """Carries messages between addresses; `kind_of(host)` tells core, edge, hosts or operator."""

    def __init__(self, clock: Clock, random: Random, kind_of: Callable[[str], str]):
        self.clock, self.random, self.kind_of = clock, random, kind_of
        self.weather = CALM
        self.cuts: list[Cut] = []
        self.held: list[tuple[str, str, Callable[[], None]]] = []
        self.sent = 0
        self.tamperings: list[Tampering] = []

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing gets from one to the other."""
        for cut in self.cuts:
            if cut.host == sender and cut.outward and cut.covers(receiver, self.kind_of(receiver)):
                return True
            if cut.host == receiver and cut.inward and cut.covers(sender, self.kind_of(sender)):
                return True
        return False

    def mend(self, *ended: Cut) -> None:
        """Ends some cuts; what was held on its way arrives."""
        self.cuts = [cut for cut in self.cuts if cut not in ended]
        held, self.held = self.held, []
        for sender, receiver, deliver in held:
            if self.is_cut(sender, receiver):
                self.held.append((sender, receiver, deliver))
            else:
                self.clock.at(self.clock.now + self._delay(), deliver)

    def send(
        self,
        sender: str,
        receiver: str,
        deliver: Callable[[], None],
        kind: str = "",
        reset: Callable[[], None] | None = None,
    ) -> None:
        """Has `deliver` called later, once, twice or not at all; `reset` ends the message's connection.

        Without a connection (a datagram) it is lost where the connection would end."""
        self.sent += 1
        tampering = self._tampering(kind) if self.tamperings else None
        if self.cuts and self.is_cut(sender, receiver):
            if self.random.random() < HELD_SHARE:
                self.held.append((sender, receiver, deliver))
            return
        if tampering == LOST or (self.weather.loss and self.random.random() < self.weather.loss):
            return
        if tampering == RESET or (self.weather.resets and self.random.random() < self.weather.resets):
            if reset is not None:
                reset()
            return
        late = LATE if tampering == DELAYED else 0
        self.clock.at(self.clock.now + self._delay() + late, deliver)
        if tampering == DOUBLED or (self.weather.doubling and self.random.random() < self.weather.doubling):
            self.clock.at(self.clock.now + 3 * self._delay(), deliver)

    def _tampering(self, kind: str) -> str | None:
        due = [one for one in self.tamperings if one.is_due(kind)]
        self.tamperings = [one for one in self.tamperings if one not in due]
        return due[0].how if due else None

    def _delay(self) -> int:
        weather = self.weather
        if weather.long_delay and self.random.random() < weather.long_delay:
            return self.random.randint(weather.delay_least, weather.long_delay_most)
        return self.random.randint(weather.delay_least, weather.delay_most)
