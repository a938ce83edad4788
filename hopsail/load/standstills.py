"""Standstills: spans in which a process could not run its loop, as a heartbeat on that loop measures them.

On a busy machine a process may wait for a processor for longer than a check on sockets allows for. What it
then did late is told apart from what it did wrong by the spans that are kept here. All times are ns of the
monotonic clock, which the processes of one machine share."""

from dataclasses import dataclass
from time import monotonic_ns

from ..model import MS

BEAT = 10 * MS  # between two heartbeats
LATE = 15 * MS  # behind a heartbeat's time: from there on the process has stood still


@dataclass(frozen=True, order=True)
class Standstill:
    """A span in which a process did not run, or ran for one beat at most."""

    begin: int
    end: int


class Heartbeat:
    """A timer on a loop; `told(standstill)` gets each span in which it came late."""

    def __init__(self, loop, told, clock=monotonic_ns):
        self.loop, self.told, self.clock = loop, told, clock
        self.last = clock()
        self._set()

    def _set(self):
        self.loop.at(self.loop.now() + BEAT, self._beat)

    def _beat(self):
        now = self.clock()
        if now - self.last > BEAT + LATE:
            self.told(Standstill(self.last, now))
        self.last = now
        self._set()


def merged(standstills):
    """The same spans in order, with those that overlap made one."""
    found = []
    for one in sorted(standstills):
        if found and one.begin <= found[-1].end:
            found[-1] = Standstill(found[-1].begin, max(found[-1].end, one.end))
        else:
            found.append(one)
    return found


def earliest(at, running, standstills):
    """The latest time from which, up to `at`, there were `running` ns outside of the standstills.

    `standstills` are merged ones. An act that takes `running` ns at most and ended at `at` began then
    or later."""
    for one in reversed(standstills):
        if one.begin >= at:
            continue
        ran = at - min(one.end, at)
        if ran >= running:
            break
        running -= ran
        at = one.begin
    return at - running


def share(begin, end, standstills):
    """The part of a span that merged standstills take up."""
    return sum(max(0, min(one.end, end) - max(one.begin, begin)) for one in standstills) / (end - begin)


def disturbed(begin, end, standstills):
    """Whether any of the standstills, with its own length after it for what had gathered, meets the span."""
    return any(one.begin < end and begin < 2 * one.end - one.begin for one in standstills)
