"""The decision module's interface: what goes in and what comes out, as plain types.

A door (the bench link now, sockets later) builds one `decide.Balancer`, calls its methods with the clock in
nanoseconds and carries out, in order, the actions that each call returns. Objects refer to each other; the
door alone knows the numbers and names by which its protocol calls them.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

MS = 1_000_000
SECOND = 1_000_000_000


class Repeat(Enum):
    PURE = 0  # may run again
    RECEIPTED = 1  # a mark lets a group of hosts drop repeats for a while
    EFFECTFUL = 2  # must never run twice


class Outcome(Enum):
    HANDLED = 0
    MISS = 1
    ERROR = 2
    FULL = 3
    TIMED_OUT = 4
    NO_CONNECTION = 5
    RESET = 6
    CANCELLED = 7
    NEVER_SENT = 8


NEVER_RAN = frozenset({Outcome.MISS, Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NEVER_SENT})
NEVER_REACHED = frozenset({Outcome.NO_CONNECTION, Outcome.NEVER_SENT})
HEARD = frozenset({Outcome.HANDLED, Outcome.MISS, Outcome.ERROR, Outcome.FULL})  # the host itself answered
CUT = frozenset({Outcome.RESET, Outcome.NO_CONNECTION})  # the way to the host failed, if not the host
BROKEN = CUT | {Outcome.ERROR}
RATED = frozenset({Outcome.HANDLED, Outcome.FULL, Outcome.TIMED_OUT, Outcome.NO_CONNECTION})  # tell of room


@dataclass(slots=True, frozen=True)
class Track:
    repeat: Repeat = Repeat.PURE
    group: str = "all"  # who drops repeats: "all", "zone" or "cell"
    remembered: int = 0  # ns that repeats are dropped
    promised: int = SECOND  # ns
    benefit: float = 1.0


@dataclass(slots=True, frozen=True)
class Settings:
    tracks: tuple[Track, ...] = (Track(),)
    quotas: tuple[float, ...] = ()  # retrievals a second within each customer's share, all balancers together
    balancers: int = 1
    origin_kind: int = -1
    sized: bool = False  # listed sizes are sizes
    live: bool = False  # listed sizes fall with the load and are renewed all the time
    zone: int = 0  # this balancer's own
    cross_price: float = 0.0  # of a leg to another zone, on the scale of a retrieval's benefit
    columns: tuple[str, ...] = ()  # what a report on an answer holds, in this order: see `Report`
    subscribe: bool = False  # the list must be asked for
    ask_within: int = 10 * SECOND  # ns
    most_legs: int = 4
    advise_wait: int = 0  # longest wait that clients can be asked for, ns; 0 = none
    only_drains: bool = False  # what the list drops without draining may still be sent to
    start_share: float = 1.0  # of a fresh host's capacity
    warm_within: int = 0  # ns
    fall_multiple: float = 3.0
    fall_time: int = SECOND  # ns
    open_price: float = 1.0  # of a connection kept open at each host
    storms: Any = None  # rules of storm control (`storms.Rules`), None = off
    dial_price: float = 1.0  # of a new connection for each retrieval, on the same scale


class Report(NamedTuple):
    """What a host tells of its load with an answer; None for what the deployment's reports do not hold."""

    waiting: float | None = None  # retrievals that wait there
    active: float | None = None  # retrievals that it holds, those that wait too
    busy: float | None = None  # share of its cores at work
    rate: float | None = None  # retrievals that it answers a second
    service: float | None = None  # ns that a retrieval takes there, without waiting

    @classmethod
    def read(cls, columns, values):
        """The report that these values are; None when they can be no load."""
        if len(values) != len(columns) or not all(0 <= value < REPORT_MOST for value in values):
            return None  # also what is not a number
        known = [
            (*FIELDS[name], value) for name, value in zip(columns, values, strict=True) if name in FIELDS
        ]
        return cls(**{name: unit * value for name, unit, value in known}) if known else None


STEPS_MOST = 30  # halvings or doublings at one reading: past them no part matters
REPORT_MOST = 1e9  # of anything reported: beyond it a value is a slip
FIELDS = {
    "waiting": ("waiting", 1),
    "active": ("active", 1),
    "cpu": ("busy", 1),
    "rps": ("rate", 1),
    "avg_ms": ("service", MS),
}


class State(Enum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Listing(NamedTuple):
    name: int
    zone: int
    kind: int
    cell: int
    state: State
    size: float
    started: int  # ns on the same clock, 0 = long ago


class Scope(Enum):
    CHANGES = 0
    WHOLE = 1
    FAILED = 2  # nothing has come: a call that failed, or a watch that ended
    SILENT = 3  # the watch fell silent: what it missed meanwhile binds soon


@dataclass(slots=True, eq=False)
class Leg:
    retrieval: "Retrieval"
    host: Any
    number: int
    sent: int
    limit: int  # ns after which it times out
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class Retrieval:
    mark: Any  # the door's own
    track: Track
    key: int
    ends: int  # hard limit of this try, ns
    write: bool = False
    work: int = 0  # ns that it is said to take on a common core, 0 = not said
    customer: int = 0
    again: bool = False  # its client says that it is a further try of one that was refused or lost
    patience: int = 0  # how long it may be held with no leg out
    long: bool = False  # its body is still coming: what a host has of it is no work yet
    spent: bool = False  # part of its body has gone out and is no longer held: no other leg can carry it
    done: bool = False
    legs: list[Leg] = field(default_factory=list)
    flow: Any = None
    hold: Any = None

    def forgotten(self, leg, now):
        """Whether receipts of a leg before `leg` that may have run can be forgotten by their hosts at `now`,
        ns: begun from here on, `leg` might have its effect twice."""
        if self.track.repeat is not Repeat.RECEIPTED:
            return False
        ran = (one.sent for one in self.legs if one is not leg and one.outcome not in NEVER_RAN)
        return now - min(ran, default=now) >= max(1, self.track.remembered)

    def legs_left(self, most):
        """How many more it may have of so many."""
        return 0 if self.spent else max(0, most - len(self.legs))


class Send(NamedTuple):
    leg: Leg


class Bounce(NamedTuple):
    retrieval: Retrieval
    wait: int  # ns, 0 = no advice


class Scrap(NamedTuple):
    retrieval: Retrieval


class WakeAt(NamedTuple):
    at: int
    token: Any  # handed back by the door when the time has come


class Subscribe(NamedTuple):
    pass


class Close(NamedTuple):
    host: Any  # its idle connections from here


class Sum:
    """A sum that decays by half every `half` nanoseconds, brought up to date on reading."""

    __slots__ = ("half", "value", "at")

    def __init__(self, half, now):
        self.half, self.value, self.at = half, 0.0, now

    def read(self, now):
        if now > self.at:
            self.value *= 0.5 ** ((now - self.at) / self.half)
            self.at = now
        return self.value

    def add(self, now, amount=1.0):
        self.value = self.read(now) + amount


class Tokens:
    """Fills at `rate` a second up to `most`, brought up to date on reading."""

    __slots__ = ("rate", "most", "level", "at")

    def __init__(self, rate, most, level, now):
        self.rate, self.most, self.level, self.at = rate, most, level, now

    def read(self, now):
        if now > self.at:
            self.level, self.at = min(self.most, self.level + self.rate * (now - self.at) / SECOND), now
        return self.level


class Mean:
    """The mean of what was added, each amount counting for less with its age."""

    __slots__ = ("total", "count")

    def __init__(self, half, now):
        self.total, self.count = Sum(half, now), Sum(half, now)

    def add(self, now, amount):
        self.total.add(now, amount)
        self.count.add(now)

    def read(self, now, prior=0.0, weight=0.0):
        """The mean, with a prior that counts for so many amounts: what has grown old nears it."""
        count = self.count.read(now) + weight
        return (self.total.read(now) + weight * prior) / count if count else 0.0

    def remember(self, half):
        """Another half-life from the last reading on."""
        self.total.half = self.count.half = half


class Steps:
    """A part between 0 and 1 that nears its goal by doubling or halving once a step, brought up to date on
    reading: what it governs neither ends nor comes back at a stroke."""

    __slots__ = ("step", "value", "goal", "at")

    def __init__(self, step, now):
        self.step, self.value, self.goal, self.at = step, 1.0, 1.0, now

    def read(self, now):
        if self.value != self.goal and (steps := min(STEPS_MOST, (now - self.at) // self.step)) > 0:
            self.at = now if steps == STEPS_MOST else self.at + steps * self.step
            up = self.value < self.goal
            self.value = (
                min(self.goal, self.value * 2**steps) if up else max(self.goal, self.value / 2**steps)
            )
        return self.value

    def aim(self, now, goal):
        """Another goal from now on."""
        if goal != self.goal:
            self.read(now)
            self.goal, self.at = goal, now


class Hold:
    """A retrieval that waits with no leg out, until it is resumed or its time is up."""

    __slots__ = ("retrieval",)

    def __init__(self, retrieval):
        self.retrieval = retrieval


class Fetch:
    """One key on its way from the origin; other reads of it wait here."""

    __slots__ = ("holds", "filled")

    def __init__(self):
        self.holds, self.filled = deque(), None
