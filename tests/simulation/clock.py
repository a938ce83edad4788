"""One simulated clock for all machines, and the loop that a program gets in place of the real one.

Times of the world are ns. Each machine has a time of day of its own; a loop's time is that of the moment at
which its process started, and steady from then on, as the real loop's is."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND


class Event(NamedTuple):
    """Something that happens at a time; in a process's life if it is a process's."""

    time: int
    order: int
    machine: object | None
    life: int
    act: Callable[[], None]


class Clock:
    """The world's events in the order of their times."""

    def __init__(self):
        self.now = SECOND
        self.events: list[Event] = []
        self._order = count()

    def at(self, time: int, act: Callable[[], None], machine=None, life: int = 0) -> None:
        """Have something done, by a process if one is named."""
        heappush(self.events, Event(max(time, self.now), next(self._order), machine, life, act))

    def pop(self) -> Event:
        """The next event; it is now."""
        event = heappop(self.events)
        self.now = event.time
        return event

    @property
    def next_time(self) -> int:
        """When the next event is due."""
        return self.events[0].time


class Timer:
    """As the real loop's."""

    __slots__ = ("act",)

    def __init__(self, act: Callable[[], None]):
        self.act = act

    def cancel(self) -> None:
        self.act = None

    def ring(self) -> None:
        """The time has come."""
        act, self.act = self.act, None
        if act is not None:
            act()


class SimulatedLoop:
    """The loop of one life of a process."""

    def __init__(self, machine):
        self.machine, self.life = machine, machine.life
        self.clock: Clock = machine.world.clock
        self.offset = machine.time_of_day_offset
        self.signals: dict[int, Callable[[], None]] = {}
        self.cancelled = 0

    def now(self) -> int:
        return self.machine.clock_reading() + self.offset

    def at(self, when: int, act: Callable[[], None]) -> Timer:
        timer = Timer(act)
        self.clock.at(when - self.offset, timer.ring, self.machine, self.life)
        return timer

    def soon(self, act, *arguments) -> None:
        self.clock.at(self.clock.now, lambda: act(*arguments), self.machine, self.life)

    def watch(self, source, events, act, rank: int = 0) -> None:
        source.watcher = act

    def unwatch(self, source) -> None:
        source.watcher = None

    def on_signal(self, number: int, act) -> None:
        self.signals[number] = act

    def stop(self) -> None:
        self.machine.ended(self.life)

    def close(self) -> None:
        """Nothing is held."""
