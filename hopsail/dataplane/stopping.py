"""The end of a data plane: which requests it still takes, and how what is under way ends.

From SIGTERM to SIGKILL there is a stated time, the grace. Requests are taken as long as they can be answered
within it; after that they are refused at once with a promise that they have not run, so that their clients go
elsewhere. What is under way when the grace is nearly over gets an answer too, unless its answer has begun."""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

MILLISECOND = 1_000_000
ENTRY_MISSES_MS = 3000  # the entry sends new connections for that long after a process is not ready
ANSWERS_MARGIN_MS = 600  # before the platform kills: answers that are not whole by then are ended
CLOSE_MARGIN_MS = 250  # before the platform kills: all connections are closed
STEP_MS = 50
STREAM_CAUTION = 2  # times the longest answer lately: a stream that has begun can't be taken back
PLAIN_CAUTION = 1


class LastTimes(NamedTuple):
    """The instants of one end (ns)."""

    told_at: int
    entry_noticed: int  # new connections are not sent here any more
    answers_until: int
    closed_by: int

    @classmethod
    def of(cls, told_at: int, grace_ms: float) -> "LastTimes":
        """The instants of an end that was told of at `told_at` and may take so many ms."""
        killed_at = told_at + int(grace_ms * MILLISECOND)
        return cls(
            told_at,
            told_at + ENTRY_MISSES_MS * MILLISECOND,
            max(told_at, killed_at - ANSWERS_MARGIN_MS * MILLISECOND),
            max(told_at, killed_at - CLOSE_MARGIN_MS * MILLISECOND),
        )

    def may_begin(self, now: int, arrived: int, deadline: int, lately: int | None, streaming: bool) -> bool:
        """Whether a request may go to a host now; `lately` is the longest that its kind took, if known.

        Until the entry has noticed the end, requests are taken unless it is known that the time is too short:
        they come because nobody could know. Those that come later are taken only if they surely fit."""
        if arrived <= self.entry_noticed:
            needed = lately or 0
        elif lately is None:
            needed = deadline - now
        else:
            needed = lately * (STREAM_CAUTION if streaming else PLAIN_CAUTION)
        return now + min(needed, deadline - now) < self.answers_until


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
