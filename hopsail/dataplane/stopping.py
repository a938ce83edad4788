"""The end of a data plane: which requests it still takes, and how what is under way ends.

From SIGTERM to SIGKILL there is a stated time, the grace. Two rules hold meanwhile:

- What is taken. A request that came in the first seconds, when its client could not know of the end, is taken
  unless such requests are known to take longer than what is left. One that came later is taken only if it
  surely ends in time: a stream only if its whole deadline does, since what has begun can't be taken back and
  what such streams took lately is no bound; any other also if such requests have lately fitted, since until
  its answer begins it can still be answered. What is not taken is refused at once with a promise that it has
  not run, so that its client goes elsewhere, and the connection is closed in order.
- When answers are ended: as late as still leaves time to tell clients and to exit, and no sooner.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

MILLISECOND = 1_000_000
ENTRY_MISSES_MS = 3000  # the entry sends new connections for that long after a process is not ready
UNKNOWING_MS = 2800  # 3 s, in which clients can't know of the end, less the time until the signal is heard
ANSWERS_MARGIN_MS = 300  # before the platform kills: answers that are not whole by then are ended
CLOSE_MARGIN_MS = 150  # before the platform kills: all connections are closed
STEP_MS = 50


class Pending(NamedTuple):
    """A request that may go to a host: when it came and when its time is over (ns), and what is known of it.

    `lately` is the longest that such requests took (ns; None: too few to tell)."""

    arrived: int
    deadline: int
    lately: int | None
    streaming: bool


class LastTimes(NamedTuple):
    """The instants of one end (ns)."""

    told_at: int
    unknowing_until: int  # clients whose requests come until then could not know
    entry_noticed: int  # new connections are not sent here any more
    answers_until: int
    closed_by: int

    @classmethod
    def of(cls, told_at: int, grace_ms: float) -> "LastTimes":
        """The instants of an end that was told of at `told_at` and may take so many ms."""
        killed_at = told_at + int(grace_ms * MILLISECOND)
        return cls(
            told_at,
            told_at + UNKNOWING_MS * MILLISECOND,
            told_at + ENTRY_MISSES_MS * MILLISECOND,
            max(told_at, killed_at - ANSWERS_MARGIN_MS * MILLISECOND),
            max(told_at, killed_at - CLOSE_MARGIN_MS * MILLISECOND),
        )

    def may_begin(self, now: int, pending: Pending) -> bool:
        """Whether a request may go to a host now."""
        return now + self._needed(now, pending) < self.answers_until

    def _needed(self, now: int, pending: Pending) -> int:
        """The time that the request has to be given (ns)."""
        left = pending.deadline - now
        if pending.arrived <= self.unknowing_until:
            return min(pending.lately or 0, left)
        if pending.streaming or pending.lately is None:
            return left
        return min(pending.lately, left)


class Front(Protocol):
    """The server for clients."""

    busy: int
    connections: Collection

    def drain(self) -> None: ...

    def shut(self) -> None: ...

    def refuse_half_read(self, status: int, headers=()) -> None: ...

    def close(self) -> None: ...


class UnderWay(Protocol):
    """A request under way."""

    def refuse_if_late(self) -> None: ...

    def process_ends(self) -> None: ...


class Ending:
    """Ends a data plane in order; `finish` is called once, when nothing is left or the grace is over."""

    def __init__(
        self,
        loop,
        front: Front,
        under_way: Collection[UnderWay],
        grace_ms: float,
        refusal_headers,
        finish: Callable[[], None],
    ):
        self.loop, self.front, self.under_way = loop, front, under_way
        self.refusal_headers, self.finish = refusal_headers, finish
        self.times = LastTimes.of(loop.now(), grace_ms)
        self.late = self.shut = False
        front.drain()

    def step(self) -> None:
        """Does what is due, now and from time to time until the end."""
        now = self.loop.now()
        if now >= self.times.answers_until:
            self._end_answers()
        else:
            self._refuse_late()
        if self._takes_no_more(now):
            self._shut()
        if now >= self.times.closed_by or (self.shut and not self.under_way and not self.front.connections):
            self.front.close()
            self.finish()
        else:
            self.loop.at(now + STEP_MS * MILLISECOND, self.step)

    def has_refused(self) -> None:
        """A request came too late: a client that finds the listener closed is served elsewhere sooner."""
        self.late = True

    def _takes_no_more(self, now: int) -> bool:
        if now < self.times.entry_noticed:
            return now >= self.times.answers_until
        return self.late or not (self.under_way or self.front.busy) or now >= self.times.answers_until

    def _refuse_late(self) -> None:
        """Those that wait for a place may by now be too late."""
        for one in list(self.under_way):
            one.refuse_if_late()

    def _end_answers(self) -> None:
        for one in list(self.under_way):
            one.process_ends()
        self.front.refuse_half_read(503, self.refusal_headers)

    def _shut(self) -> None:
        if not self.shut:
            self.shut = True
            self.front.shut()
