"""Bounded concurrency of one service at this balancer, with a short queue by priority in front of it."""

from bisect import insort
from enum import Enum
from math import log
from typing import Any, NamedTuple

from ..model import MS, SECOND, Sum

RATE_HALF_NS = 1 * SECOND  # half-life of the observed release rate
LEAST_RETRY_MS, MOST_RETRY_MS = 50, 2000


class Verdict(Enum):
    """What becomes of an offered item."""

    ADMIT = "admit"  # it has a place now; give it back with `release`
    QUEUE = "queue"  # it waits; `release`, `resize` or `expire` hands it out
    REFUSE = "refuse"  # there is no room: answer it at once


class Waiting(NamedTuple):
    """An item that waits. Ordered by priority (lowest numbers first), then age."""

    priority: tuple[int, int]
    sequence: int  # unique, so that no comparison goes further
    deadline: int  # ns at which it has waited long enough
    item: Any


class WaitingQueue:
    """Items that wait, bounded in length; each waits until its own deadline at most."""

    def __init__(self, most: int):
        self.most = most
        self._waiting: list[Waiting] = []
        self._sequence = 0
        self._soonest: int | None = None  # no deadline is before it

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def soonest(self) -> int | None:
        """A time before which none is due (ns), None when none waits."""
        return self._soonest if self._waiting else None

    def worst(self) -> Waiting | None:
        """The one that would be handed out last."""
        return self._waiting[-1] if self._waiting else None

    def put(self, priority: tuple[int, int], deadline: int, item: Any) -> None:
        """Adds an item; the caller has seen to it that there is room."""
        self._sequence += 1
        insort(self._waiting, Waiting(priority, self._sequence, deadline, item))
        soonest = self.soonest
        self._soonest = deadline if soonest is None else min(soonest, deadline)

    def pop_first(self) -> Waiting:
        """Takes out the one of highest priority, the oldest of equals."""
        return self._waiting.pop(0)

    def pop_worst(self) -> Waiting:
        """Takes out the one of lowest priority, the youngest of equals."""
        return self._waiting.pop()

    def pop_due(self, now: int) -> list[Any]:
        """Takes out all items whose deadline has come."""
        if self.soonest is None or now < self.soonest:
            return []
        due = [waiting.item for waiting in self._waiting if waiting.deadline <= now]
        self._waiting = [waiting for waiting in self._waiting if waiting.deadline > now]
        self._soonest = min((waiting.deadline for waiting in self._waiting), default=None)
        return due

    def remove(self, item: Any) -> bool:
        """Takes this very item out; False when it does not wait."""
        for index, waiting in enumerate(self._waiting):
            if waiting.item is item:
                del self._waiting[index]
                return True
        return False


class Admission:
    """Admits at most `places` items at once; up to `queue_length` more wait.

    Whatever is given up (its time has come, or one of higher priority took its place in a full queue) is
    handed out by `expire` and is to be answered at once: call `expire` after each offer that was queued, and
    when `next_expiry` has come.
    """

    def __init__(self, places: int, queue_length: int, now: int = 0):
        self.places = places
        self.active = 0
        self._queue = WaitingQueue(queue_length)
        self._given_up: list[Any] = []  # at most one for each offer since the last `expire`
        self._released = Sum(RATE_HALF_NS, now)
        self._observed_since: int | None = None

    @property
    def waiting(self) -> int:
        """How many items wait."""
        return len(self._queue)

    def offer(self, now: int, priority: tuple[int, int], deadline: int, item: Any) -> Verdict:
        """Admits, queues or refuses an item; `deadline` (ns) is the end of its allowed wait."""
        if self._observed_since is None:
            self._observed_since = now
        self._give_up_due(now)
        if self.active < self.places and not self._queue:
            self.active += 1
            return Verdict.ADMIT
        if deadline <= now or not self._make_room(priority):
            return Verdict.REFUSE
        self._queue.put(priority, deadline, item)
        return Verdict.QUEUE

    def release(self, now: int) -> Any | None:
        """Gives a place back; the item that has it from now on, None when none waits."""
        self.active = max(0, self.active - 1)
        self._released.add(now)
        return self._admit_first(now)

    def resize(self, now: int, places: int) -> list[Any]:
        """Changes the number of places; the items that have a place from now on."""
        self.places = places
        admitted = []
        while (item := self._admit_first(now)) is not None:
            admitted.append(item)
        return admitted

    def withdraw(self, item: Any) -> bool:
        """Forgets this very object, whose client has gone; False when it does not wait."""
        return self._queue.remove(item)

    def expire(self, now: int) -> list[Any]:
        """The items given up since the last call."""
        self._give_up_due(now)
        given_up, self._given_up = self._given_up, []
        return given_up

    def next_expiry(self, now: int) -> int | None:
        """When `expire` is to be called next at the latest (ns), None when none waits."""
        return now if self._given_up else self._queue.soonest

    def retry_after_ms(self, now: int) -> int:
        """When a refused item would find a place, at the observed rate of releases."""
        if self.active < self.places and not self._queue:
            return LEAST_RETRY_MS
        rate = self._release_rate(now)
        ahead = len(self._queue) + 1
        if ahead * SECOND >= rate * MOST_RETRY_MS * MS:
            return MOST_RETRY_MS
        return max(LEAST_RETRY_MS, round(ahead * SECOND / MS / rate))

    def _release_rate(self, now):
        """Releases a second. The sum has not yet levelled off when observed for a short time."""
        if self._observed_since is None:
            return 0.0
        age = max(now - self._observed_since, MS)
        observed = RATE_HALF_NS / log(2) * (1 - 0.5 ** (age / RATE_HALF_NS))
        return self._released.read(now) * SECOND / observed

    def _admit_first(self, now):
        self._give_up_due(now)
        if not self._queue or self.active >= self.places:
            return None
        self.active += 1
        return self._queue.pop_first().item

    def _make_room(self, priority):
        """Whether there is room for one of this priority, made by giving up a lower one if need be."""
        if len(self._queue) < self._queue.most:
            return True
        worst = self._queue.worst()
        if worst is None or worst.priority <= priority:
            return False
        self._given_up.append(self._queue.pop_worst().item)
        return True

    def _give_up_due(self, now):
        self._given_up += self._queue.pop_due(now)
