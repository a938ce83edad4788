"""The simulated network: delays, losses, doubled and late messages, cuts both ways or one way."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .clock import MILLISECOND, Clock

HELD_SHARE = 0.3  # of what is sent over a cut: it arrives when the cut is over, as a stream's bytes do
LATE = 900 * MILLISECOND


@dataclass(frozen=True)
class Weather:
    """How messages fare; shares of all, times in ns."""

    loss: float = 0.0
    doubling: float = 0.0
    long_delay: float = 0.0
    delay_least: int = MILLISECOND // 2
    delay_most: int = 4 * MILLISECOND
    long_delay_most: int = 2500 * MILLISECOND


CALM = Weather()
ROUGH = Weather(loss=0.02, doubling=0.03, long_delay=0.01, delay_most=20 * MILLISECOND)


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
        self.tampered: dict[int, str] = {}  # number of a message -> lost, doubled or late

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

    def send(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Has `deliver` called later, once, twice or not at all."""
        self.sent += 1
        tampering = self.tampered.pop(self.sent, None) if self.tampered else None
        if self.cuts and self.is_cut(sender, receiver):
            if self.random.random() < HELD_SHARE:
                self.held.append((sender, receiver, deliver))
            return
        if tampering == "lost" or (self.weather.loss and self.random.random() < self.weather.loss):
            return
        late = LATE if tampering == "late" else 0
        self.clock.at(self.clock.now + self._delay() + late, deliver)
        if tampering == "doubled" or (self.weather.doubling and self.random.random() < self.weather.doubling):
            self.clock.at(self.clock.now + 3 * self._delay(), deliver)

    def _delay(self) -> int:
        weather = self.weather
        if weather.long_delay and self.random.random() < weather.long_delay:
            return self.random.randint(weather.delay_least, weather.long_delay_most)
        return self.random.randint(weather.delay_least, weather.delay_most)
