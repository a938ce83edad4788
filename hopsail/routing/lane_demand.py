"""What short and long prompts ask of a service's hosts: measured by each sender, summed over all. No I/O.

A sender measures its attempts (`LaneMeter`) and tells sums (`LaneSums`), which add up over senders and fade
over time (`FadingDemand`) until a load of each kind can be told (`lane_sizing.LaneLoad`)."""

from collections import deque
from dataclasses import dataclass, field, fields
from math import isfinite, log

from ..model import MS, SECOND
from .lane_sizing import LaneLoad, serial_service_ms
from .lanes import Lane

MEASURED = 32  # attempts of which the one that waited least shows what none can do without
MOST_REPORTED = 100_000  # requests in one report
MOST_TOKENS = 1_000_000.0  # of one request
MOST_MS = 600_000.0  # of one request


@dataclass(slots=True)
class LaneSums:
    """Sums over requests of one kind."""

    requests: float = 0.0  # sent
    tokens: float = 0.0  # that hosts have to read
    tokens_squared: float = 0.0
    aim_ms: float = 0.0
    answered: float = 0.0  # whose answers are over; the sums that follow are of these
    holding_ms: float = 0.0  # from the beginning of the answer to its end
    waiting_ms: float = 0.0  # before the answer began, beyond what none can do without
    least_ms: float = 0.0  # before the answer began, beside the reading, that none can do without

    def add(self, other: "LaneSums") -> None:
        """Adds another's sums."""
        for name in NAMES:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def fade(self, factor: float) -> None:
        """Multiplies all sums."""
        for name in NAMES:
            setattr(self, name, getattr(self, name) * factor)

    def is_sound(self) -> bool:
        """Whether these can be sums of one report: what came by a datagram may be spoilt."""
        values = [getattr(self, name) for name in NAMES]
        if not all(isfinite(value) and value >= 0 for value in values):
            return False
        return (
            max(self.requests, self.answered) <= MOST_REPORTED
            and self.tokens <= self.requests * MOST_TOKENS
            and self.tokens_squared <= self.requests * MOST_TOKENS**2
            and self.aim_ms <= self.requests * MOST_MS
            and max(self.holding_ms, self.waiting_ms, self.least_ms) <= self.answered * MOST_MS
        )


NAMES = tuple(one.name for one in fields(LaneSums))


@dataclass(slots=True)
class LaneMeter:
    """One sender's measure of one kind at one service, since it was last told."""

    sums: LaneSums = field(default_factory=LaneSums)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=MEASURED))  # ms beyond the reading

    def began(self, tokens: float, aim_ms: float) -> None:
        """A request is sent to a host that has to read so many tokens."""
        sums = self.sums
        sums.requests += 1
        sums.tokens += min(tokens, MOST_TOKENS)
        sums.tokens_squared += min(tokens, MOST_TOKENS) ** 2
        sums.aim_ms += min(aim_ms, MOST_MS)

    def answered(self, tokens: float, first_ms: float, whole_ms: float, rate: float | None) -> None:
        """An answer is over that began `first_ms` after its request was sent.

        `rate` is how many tokens hosts read in a ms, None while that is not known."""
        sums = self.sums
        beyond = max(0.0, first_ms - (tokens / rate if rate else 0.0))
        self.recent.append(beyond)
        least = min(self.recent)
        sums.answered += 1
        sums.holding_ms += min(max(0.0, whole_ms - first_ms), MOST_MS)
        sums.waiting_ms += min(beyond - least, MOST_MS)
        sums.least_ms += min(least, MOST_MS)

    def take(self) -> LaneSums:
        """The sums since this was last called."""
        taken, self.sums = self.sums, LaneSums()
        return taken


class FadingDemand:
    """Sums of all senders by lane, that halve every `half_ns`."""

    def __init__(self, half_ns: int = 5 * SECOND):
        self.half_ns = half_ns
        self._as_of: int | None = None  # ns of the last fading; None before anything was told
        self._window_ms = 0.0  # of time in which the sums came together, faded alike
        self._sums = {lane: LaneSums() for lane in Lane}
        self._least: dict[Lane, float] = {}  # ms that none can do without, by the sender that saw least

    @property
    def requests(self) -> float:
        """How many there are in the sums."""
        return sum(sums.requests for sums in self._sums.values())

    @property
    def has_one_kind(self) -> bool:
        """Whether one of the kinds has not come at all."""
        return any(not sums.requests for sums in self._sums.values())

    def add(self, now: int, lane: Lane, sums: LaneSums) -> None:
        """Takes in what a sender has told."""
        self._fade(now)
        self._sums[lane].add(sums)
        if sums.answered:
            self._least[lane] = min(self._least.get(lane, MOST_MS), sums.least_ms / sums.answered)

    def load(self, now: int, lane: Lane, rate: float | None, hosts: int, candidates: int = 1) -> LaneLoad:
        """What the kind asks for, as `hosts` that read so many tokens in a ms served it till now.

        `hosts` is 0 where what waiting shows is not the kind's own doing: a host then counts as busy also
        while it does what none can do without. Tokens do not count while `rate` is None."""
        self._fade(now)
        sums = self._sums[lane]
        if not sums.requests or not self._window_ms:
            return LaneLoad(0.0, 0.0, 0.0, 0.0, 0.0, candidates)
        per_ms = sums.requests / self._window_ms
        reading = sums.tokens / sums.requests / rate if rate else 0.0
        square = sums.tokens_squared / sums.requests / rate**2 if rate else 0.0
        holding, waiting = 0.0, 0.0
        if sums.answered:
            holding, waiting = sums.holding_ms / sums.answered, sums.waiting_ms / sums.answered
        shown = reading + self._least.get(lane, 0.0)
        if hosts:
            shown = serial_service_ms(per_ms / hosts, waiting)
        if shown > reading:
            square += 2 * (shown**2 - reading**2)
            reading = shown
        return LaneLoad(per_ms, reading, square, holding + reading, sums.aim_ms / sums.requests, candidates)

    def _fade(self, now: int) -> None:
        if self._as_of is None:
            self._as_of = now
            return
        elapsed = max(0, now - self._as_of)
        factor = 0.5 ** (elapsed / self.half_ns)
        for sums in self._sums.values():
            sums.fade(factor)
        lasting = self.half_ns / log(2) / MS
        self._window_ms = self._window_ms * factor + lasting * (1 - factor)
        self._as_of += elapsed
