"""Discrete events on a heap, in a stated order also at the same instant."""

from heapq import heappop, heappush
from itertools import count

# At one instant: troubles first, then what lists tell, answers, timers, and new requests last. An answer that
# comes at its limit is in time, and a request meets a fleet that knows all that could be known.
TROUBLE, LIST, ANSWER, TIMER, ARRIVAL = range(5)
SAMPLE = -1  # a look at the world changes nothing in it


class Clock:
    def __init__(self, now: int):
        self.now, self.events, self.serial, self.done = now, [], count(), 0

    def at(self, when: int, order: int, act, *args) -> None:
        """`act(*args)` at that time, or at once if it is over; among equals, in the order of these calls."""
        heappush(self.events, (max(when, self.now), order, next(self.serial), act, args))

    def run(self, until: int) -> None:
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, _, act, args = heappop(events)
            self.done += 1
            act(*args)
        self.now = max(self.now, until)
