"""One call's decisions, without I/O: when to try, when to wait, when to give up, and with which error.

A `Plan` is asked `next(now)` for what to do and told how each try ended. Times are whole ns on a clock
that does not go back; one that does is held at the latest time seen, so that a deadline is never put
off."""

from enum import Enum
from math import isfinite
from typing import NamedTuple

from .errors import Deadline, Faulty, MayHaveRun, NeverRan, RefusedUntil, RequestFailed

MS, SECOND = 1_000_000, 1_000_000_000
MOST_TRIES = 4  # of one call, the first among them
FIRST_PAUSE, MOST_PAUSE = (
    50 * MS,
    2 * SECOND,
)  # between tries with no wait advised; doubled each time, jittered
MOST_WAIT = 10 * SECOND  # of an advised wait that is believed: beyond it an answer is a slip
LEAST_TIME = 2 * MS  # left of the deadline, with which a try is still worth its while
RETRIES_PART = 0.2  # retries for each first try, over all calls of a client: more would feed a storm
RETRIES_SAVED = 10.0  # retries saved up at most: a short trouble is ridden out


class Effect(Enum):
    REPEATABLE = "repeatable"  # may run again
    BY_KEY = "by_key"  # carries a receipt by which repeats are dropped, as long as it is remembered
    ONCE = "once"  # must never run twice


class Ending(Enum):
    """How a try ended, when there was no answer."""

    UNSENT = "unsent"  # no byte of it has left: not connected, or closed before it was sent
    LOST = "lost"  # some of it was sent, and no whole answer came


class Try(NamedTuple):
    number: int  # from 0; a further try is marked as one
    left: int  # ns until the deadline


class Wait(NamedTuple):
    until: int


class Failed(NamedTuple):
    error: RequestFailed


class Budget:
    """Retries that all calls of a client may make together."""

    def __init__(self, part: float = RETRIES_PART, saved: float = RETRIES_SAVED):
        self.part, self.saved, self.level = part, saved, saved

    def first(self) -> None:
        self.level = min(self.saved, self.level + self.part)

    def take(self) -> bool:
        if self.level < 1:
            return False
        self.level -= 1
        return True


def advised(text: str | None) -> int:
    """The ns that a Retry-After stands for (RFC 9110, section 10.2.3; here also with decimals), within the
    client's own bounds: 0 for what is no number, a date, or less than nothing."""
    try:
        seconds = float(text or 0)
    except ValueError:
        return 0
    if not isfinite(seconds) or seconds <= 0:
        return MOST_WAIT if seconds > 0 else 0
    return int(min(seconds * SECOND, MOST_WAIT))


class Plan:
    def __init__(self, effect: Effect, deadline: int, budget: Budget, random, now: int, remembered: int = 0,
                 tries: int = MOST_TRIES):  # fmt: skip
        self.effect, self.deadline, self.budget, self.random = effect, deadline, budget, random
        self.remembered, self.most = remembered, tries  # remembered: ns that a receipt is
        self.now, self.tries, self.until, self.sent = (
            now,
            0,
            now,
            None,
        )  # sent: the first try that may have run
        self.why, self.wait, self.error = "", 0, None
        budget.first()

    def next(self, now: int) -> Try | Wait | Failed:
        """What to do now."""
        now = self.now = max(self.now, now)
        if self.error is not None:
            return Failed(self.error)
        if self.deadline - now < LEAST_TIME or self.until > self.deadline - LEAST_TIME:
            return self._fail(now)  # at once: to wait for the deadline would help nobody
        if self.until > now:
            return Wait(self.until)
        if self.tries and not self._may_again(now):
            return self._fail(now)
        if self.tries and not self.budget.take():
            self.why = f"{self.why}; too many retries of late"
            return self._fail(now)
        self.tries += 1
        return Try(self.tries - 1, self.deadline - now)

    def answered(self, now: int, status: int, wait: str | None = None) -> bool:
        """A whole answer has come: True when it is the call's, else there is more to do."""
        now = self.now = max(self.now, now)
        if 200 <= status < 300:
            return True
        self.why = f"status {status}"
        if status in (429, 503):
            self.wait = advised(wait)
            self._pause(now, self.wait)
        elif 400 <= status < 500:
            self.error = self._may() or Faulty(self.why, self.tries, status)
        else:  # it was given up while it may have been running
            self.sent = self.sent or now
            self._pause(now, 0)
        return False

    def ended(self, now: int, ending: Ending, why: str = "") -> None:
        """No answer will come."""
        now = self.now = max(self.now, now)
        self.why, self.wait = why or ending.value, 0
        if ending is Ending.LOST:
            self.sent = self.sent or now
        self._pause(now, 0)

    def put_off(self, until: int) -> None:
        """The try could not be made: no connection may be made before then. A refusal's wait that is longer
        stays, and a retry that was not made costs the budget nothing."""
        self.tries -= 1
        if self.tries:
            self.budget.level += 1
        self.until = max(self.until, until)
        self.why = self.why or "no balancer may be connected to yet"

    def _pause(self, now, wait):
        pause = min(MOST_PAUSE, FIRST_PAUSE << min(20, max(0, self.tries - 1)))
        pause = int(pause * (0.5 + self.random.random()))
        # Those who were told the same wait part a little: the balancer's own spread may be less than ours.
        self.until = max(self.until, now + max(wait + int(wait * self.random.random() / 10), pause))

    def _may_again(self, now):
        if self.tries >= self.most:
            return False
        if self.sent is None or self.effect is Effect.REPEATABLE:
            return True
        return self.effect is Effect.BY_KEY and now - self.sent < self.remembered

    def _may(self):
        if self.sent is not None and self.effect is not Effect.REPEATABLE:
            return MayHaveRun(self.why, self.tries)
        return None

    def _fail(self, now):
        error = None
        if self.sent is not None:
            error = MayHaveRun(self.why, self.tries)  # of a read it does not matter, and is still the truth
        elif self.wait:
            error = RefusedUntil(self.why, self.tries, max(0, self.until - now) / SECOND)
        elif self.deadline - now < LEAST_TIME:
            error = Deadline(f"its time is over; {self.why}" if self.why else "its time is over", self.tries)
        self.error = error or NeverRan(self.why, self.tries)
        return Failed(self.error)
