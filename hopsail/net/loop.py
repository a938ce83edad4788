"""The one loop: sockets through selectors, timers on a heap, signals through a wake-up descriptor."""

import os
import selectors
import signal
from collections import deque
from heapq import heapify, heappop, heappush
from itertools import count
from time import monotonic_ns, time_ns

from .. import early
from .log import fault, say

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
# In what order a round's events are dealt with. After a pause of the process one round has all that came in
# it: a host that comes up, or a new request, must not be acted on before the drain, the order or the client's
# leave that came with it, long before.
FIRST, NEXT, LAST = range(3)
LONGEST_WAIT = 60.0  # seconds in one select
LATE = 30_000_000  # ns behind a timer: more than work in hand explains, answers are in danger
SPARE_TIMERS = 1000  # called-off timers on the heap before it is cleaned


class Timer:
    __slots__ = ("act", "loop", "when")

    def __init__(self, loop, when, act):
        self.loop, self.when, self.act = loop, when, act

    def cancel(self):
        if self.act is not None:
            self.act = None
            self.loop.cancelled += 1


class Loop:
    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers, self.serial, self.cancelled = [], count(), 0
        self.turns, self.running, self.signals = deque(), True, {}
        self.ranks = {}  # sockets whose events do not come last in a round
        # Steps like the monotonic clock but reads as Unix time, in which the list tells starts.
        self.offset = time_ns() - monotonic_ns()

    def now(self) -> int:
        return monotonic_ns() + self.offset

    def at(self, when: int, act) -> Timer:
        timer = Timer(self, when, act)
        heappush(self.timers, (when, next(self.serial), timer))
        return timer

    def soon(self, act, *args) -> None:
        """Acts after what is being done now: a callback never runs inside the call that causes it."""
        self.turns.append((act, args))

    def watch(self, sock, events, act, rank=LAST):
        self.selector.register(sock, events, act)
        if rank != LAST:
            self.ranks[sock] = rank

    def change(self, sock, events, act):
        self.selector.modify(sock, events, act)

    def unwatch(self, sock):
        self.selector.unregister(sock)
        self.ranks.pop(sock, None)

    def on_signal(self, number, act):
        if not self.signals:
            # A pipe: the fleet's bench carries no Unix sockets, which a socket pair is made of.
            self.heard, self.bell = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
            signal.set_wakeup_fd(self.bell, warn_on_full_buffer=False)
            self.watch(self.heard, READ, self._hear)
        self.signals[number] = act
        signal.signal(number, lambda *_: None)
        if early.take_signal(number):  # it came while the program was starting
            self.soon(act)

    def _hear(self, _):
        for number in os.read(self.heard, 64):
            if number in self.signals:
                self._call(self.signals[number], ())  # a fault in one must not lose those read with it

    def stop(self):
        self.running = False

    def close(self):
        """Gives back what the loop itself holds; sockets belong to those who watch them."""
        if self.signals:
            signal.set_wakeup_fd(-1)
            for number in self.signals:
                signal.signal(number, signal.SIG_DFL)
            os.close(self.heard)
            os.close(self.bell)
        self.selector.close()

    def run(self):
        while self.running:
            self.round(LONGEST_WAIT)

    def round(self, longest):
        """All that is due now, after a wait of `longest` seconds at most for something to be."""
        events = self.selector.select(min(longest, self._wait()))
        events.sort(key=lambda event: self.ranks.get(event[0].fileobj, LAST))
        for key, mask in events:
            self._call(key.data, (mask,))
        now = self.now()
        if self.timers and now - self.timers[0][0] > LATE:
            say("late", f"a timer came {(now - self.timers[0][0]) // 1_000_000} ms late")
        for _ in range(len(self.timers)):  # what these set is for the next round: no starved sockets
            if self.timers[0][0] > now:
                break
            timer = heappop(self.timers)[2]
            act, timer.act = timer.act, None
            if act is None:
                self.cancelled -= 1
            else:
                self._call(act, ())
        for _ in range(len(self.turns)):
            self._call(*self.turns.popleft())
        if self.cancelled > SPARE_TIMERS and self.cancelled > len(self.timers) // 2:
            self.timers = [entry for entry in self.timers if entry[2].act is not None]
            heapify(self.timers)
            self.cancelled = 0

    def _wait(self):
        if self.turns:
            return 0
        if not self.timers:
            return LONGEST_WAIT
        return max(0, self.timers[0][0] - self.now()) / 1e9

    def _call(self, act, args):
        try:
            act(*args)
        except Exception:  # one connection's fault must not end all others
            fault()
