"""Faults between the members of a fleet: drawn from a seed, played on any fleet, judged by what all show.

A fleet is simulated (`simulation.py`) or of processes (`hopsail/load/mesh.py`). Nothing here knows how a view
is kept: it reads `alive`, `gone`, `view` and `lives` of each member's view, as operators would.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from random import Random
from statistics import median
from typing import Any, Protocol, TypedDict

from .protocol import ViewSnapshot

KINDS = (
    "kill", "move", "bounce", "leave", "again", "stop", "long", "cut", "oneway", "chain", "loss", "garble",
    "half", "noseed", "twin",
)  # fmt: skip
OBSERVATIONS_PER_PERIOD = 4
STABLE_PERIODS = 4  # for which a settled view must stay as it is
MAX_REPORTED_VIOLATIONS = 5
DUPLICATE_PERIODS = 12  # for which a process runs under a name that lives
NEVER = -1e9  # seconds

Duplicate = Any  # a process of the fleet, whose type is the fleet's own


class Fleet(Protocol):
    """What faults are played on; times are in seconds."""

    names: list[str]
    seeds: list[str]
    period: float
    convergence_bound: float

    def now(self) -> float:
        """The time."""

    def run(self, seconds: float) -> None:
        """Lets so much time pass."""

    def start(self, name: str, moved: bool = False) -> None:
        """Starts a process under this name, at a new address if it has moved."""

    def kill(self, name: str) -> None:
        """Ends a process without a goodbye."""

    def leave(self, name: str) -> None:
        """Has a process announce that it leaves."""

    def stop(self, name: str) -> None:
        """Stops a process."""

    def resume(self, name: str) -> None:
        """Has a stopped process go on."""

    def start_duplicate(self, name: str) -> Duplicate:
        """Starts another process under a name that lives."""

    def end_duplicate(self, process: Duplicate) -> None:
        """Ends such a process."""

    def block(self, sender: str, receiver: str) -> None:
        """Has datagrams from one to the other lost."""

    def heal(self) -> None:
        """Has all reach each other again."""

    def set_loss(self, rate: float) -> None:
        """Has so many of the datagrams lost, 0 to 1."""

    def set_corruption(self, rate: float) -> None:
        """Has so many of the datagrams duplicated or changed, 0 to 1."""

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Whether both run and datagrams from one to the other arrive."""

    def unchanged_for(self, name: str) -> float:
        """Seconds since a process was started, ended, stopped or resumed."""

    def snapshots(self) -> Mapping[str, ViewSnapshot]:
        """The view of each process that can be asked."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; which of the values matter depends on its kind."""

    kind: str
    members: tuple[str, ...]
    periods: float
    rate: float = 0.0

    def __str__(self) -> str:
        """The kind and the members."""
        return f"{self.kind} {','.join(self.members)}"


class Figures(TypedDict):
    """What a judge has seen; the keys are those of the line of JSON that a study prints."""

    processes: int
    faults: int
    settled: float
    settle_s: dict[str, float]
    bound_s: float
    false_gone: int
    violations: int
    violated: list[str]


def draw(seed: int, names: Sequence[str], number: int, kinds: Sequence[str] = KINDS) -> list[Fault]:
    """So many faults, the same for a seed."""
    random = Random(f"faults/{seed}")
    drawn = []
    for _ in range(number):
        kind = random.choice(kinds)
        most = {"cut": len(names) - 1, "half": len(names) // 2}.get(kind, 1)
        size = most if kind == "half" else random.randint(1, max(1, most))
        members = tuple(sorted(random.sample(sorted(names), max(1, size))))
        periods = random.choice((30.0, 45.0)) if kind == "long" else random.choice((1.0, 3.0, 8.0))
        rate = random.choice((0.05, 0.2)) if kind in ("loss", "garble") else 0.0
        drawn.append(Fault(kind, members, periods, rate))
    return drawn


def to_json(faults: Iterable[Fault]) -> list[dict[str, object]]:
    """The faults as a study prints them."""
    return [
        {"what": fault.kind, "who": fault.members, "lasts": fault.periods, "amount": fault.rate}
        for fault in faults
    ]


def corrupt(data: bytes, random: Random, rate: float) -> tuple[bytes, int]:
    """The datagram, and how often it arrives: at this rate several times, or with a bit changed."""
    if not rate or random.random() >= rate:
        return data, 1
    copies = random.choice((1, 2, 3))
    if copies == 1:
        at = random.randrange(len(data))
        data = data[:at] + bytes([data[at] ^ 1 << random.randrange(8)]) + data[at + 1 :]
    return data, copies


class Judge:
    """Collects what is seen of a fleet and says what is wrong with it."""

    def __init__(self, fleet: Fleet) -> None:
        """Starts with nothing seen."""
        self.violations: list[str] = []
        self.false_gone = 0  # observations of a live and reachable member taken for dead
        self._fleet = fleet
        self._faults = 0
        self._settled = 0
        self._settle_times: list[float] = []
        self._incarnations: dict[tuple[str, str], int] = {}  # by observer and member
        self._unreachable_at: dict[tuple[str, str], float] = {}  # when two could last not reach each other

    def report(self, text: str) -> None:
        """Notes a violation."""
        self.violations.append(f"{self._fleet.now():.2f} s: {text}")

    def observe(self) -> Mapping[str, ViewSnapshot]:
        """What all show now; what may at no time be seen is noted."""
        views, now = self._fleet.snapshots(), self._fleet.now()
        self._record_unreachable(views, now)
        for observer, view in views.items():
            self._check_incarnations(observer, view)
            self.false_gone += sum(
                self._is_false_death(observer, member, views, now) for member in view["gone"]
            )
        return views

    def _record_unreachable(self, observers: Iterable[str], now: float) -> None:
        for one in observers:
            for other in self._fleet.names:
                both_ways = self._fleet.can_reach(one, other) and self._fleet.can_reach(other, one)
                if one != other and not both_ways:
                    self._unreachable_at[one, other] = now

    def _check_incarnations(self, observer: str, view: ViewSnapshot) -> None:
        for member, incarnation in view["lives"].items():
            if incarnation < self._incarnations.get((observer, member), incarnation):
                self.report(f"{observer} has {member} in an older life again")
            self._incarnations[observer, member] = incarnation

    def _is_false_death(self, observer: str, member: str, running: Iterable[str], now: float) -> bool:
        bound = self._fleet.convergence_bound
        recently_unreachable = now - self._unreachable_at.get((observer, member), NEVER) < bound
        return member in running and not recently_unreachable and self._fleet.unchanged_for(member) > bound

    def forget(self, name: str) -> None:
        """A new process: what it shows may be older than what the last one under its name had received."""
        self._incarnations = {key: value for key, value in self._incarnations.items() if key[0] != name}

    def is_settled(self, groups: Iterable[set[str]]) -> bool:
        """Whether all of each group show just that group, and the same view."""
        views = self.observe()
        for group in groups:
            if any(name not in views or set(views[name]["alive"]) != group for name in group):
                return False
            if len({views[name]["view"] for name in group}) > 1:
                return False
            if any(views[name]["suspect"] for name in group):
                return False
        return True

    def settle(self, *groups: Iterable[str], why: str = "") -> bool:
        """Runs the fleet until it has settled into these groups, and a little more; notes the time."""
        wanted = [set(group) for group in groups if group]
        started = self._fleet.now()
        self._faults += 1
        if not self._run_until_settled(wanted):
            shown = {name: sorted(view["alive"]) for name, view in self._fleet.snapshots().items()}
            bound = self._fleet.convergence_bound
            self.report(f"{why}: not settled within {bound:.1f} s into {list(map(sorted, wanted))}: {shown}")
            return False
        self._settled += 1
        self._settle_times.append(self._fleet.now() - started)
        for _ in range(STABLE_PERIODS * OBSERVATIONS_PER_PERIOD):
            self._fleet.run(self._interval)
        if not self.is_settled(wanted):
            # Only updates that were still on their way may be the cause.
            self._run_until_settled(wanted)
            if not self.is_settled(wanted):
                self.report(f"{why}: the view did not stay settled")
        return True

    @property
    def _interval(self) -> float:
        return self._fleet.period / OBSERVATIONS_PER_PERIOD

    def _run_until_settled(self, groups: list[set[str]]) -> bool:
        """Runs the fleet until it has settled, or for as long as the bound allows."""
        started = self._fleet.now()
        while not (settled := self.is_settled(groups)):
            if self._fleet.now() - started >= self._fleet.convergence_bound:
                break
            self._fleet.run(self._interval)
        return settled

    def watch(self, seconds: float) -> None:
        """Runs the fleet with an observation now and then."""
        end = self._fleet.now() + seconds
        while self._fleet.now() < end:
            self._fleet.run(min(self._fleet.period / 2, max(0.001, end - self._fleet.now())))
            self.observe()

    def figures(self) -> Figures:
        """What has been seen so far."""
        times = sorted(self._settle_times) or [0.0]
        return {
            "processes": len(self._fleet.names),
            "faults": self._faults,
            "settled": round(self._settled / max(1, self._faults), 4),
            "settle_s": {
                "median": round(median(times), 3),
                "worst": round(times[-1], 3),
                "p99": round(times[ceil(0.99 * (len(times) - 1))], 3),
            },
            "bound_s": round(self._fleet.convergence_bound, 3),
            "false_gone": self.false_gone,
            "violations": len(self.violations),
            "violated": self.violations[:MAX_REPORTED_VIOLATIONS],
        }


def play(fleet: Fleet, faults: Iterable[Fault], judge: Judge | None = None) -> Judge:
    """Plays faults one after the other; each must settle before the next one comes."""
    judge = judge or Judge(fleet)
    if not judge.settle(fleet.names, why="the start"):
        return judge
    for fault in faults:
        before = len(judge.violations)
        PLAYERS[fault.kind](_Play(fleet, judge, fault))
        judge.settle(fleet.names, why=f"after {fault}")
        if len(judge.violations) > before + 3:
            break  # nothing that follows could be told from this
    return judge


@dataclass(frozen=True, slots=True)
class _Play:
    """One fault as it is played."""

    fleet: Fleet
    judge: Judge
    fault: Fault

    @property
    def members(self) -> Sequence[str]:
        return self.fault.members

    @property
    def rest(self) -> list[str]:
        return [name for name in self.fleet.names if name not in self.fault.members]

    @property
    def seconds(self) -> float:
        return self.fault.periods * self.fleet.period

    def start(self, names: Iterable[str], moved: bool = False) -> None:
        for name in names:
            self.judge.forget(name)
            self.fleet.start(name, moved)

    def kill(self, names: Iterable[str]) -> None:
        for name in names:
            self.fleet.kill(name)

    def end_and_restart(self, end: Callable[[str], None]) -> None:
        """The members end in this way, the rest settle without them, and they are back."""
        for name in self.members:
            end(name)
        self.judge.settle(self.rest, why=str(self.fault))
        self.start(self.members)


def _play_kill(play: _Play) -> None:
    play.end_and_restart(play.fleet.kill)


def _play_move(play: _Play) -> None:
    play.kill(play.members)
    play.start(play.members, moved=True)


def _play_bounce(play: _Play) -> None:
    for periods in (0.3, 0.0):  # the second one dies while it joins
        play.kill(play.members)
        play.start(play.members)
        play.fleet.run(periods * play.fleet.period)


def _play_leave(play: _Play) -> None:
    play.end_and_restart(play.fleet.leave)


def _play_leave_and_return(play: _Play) -> None:
    for name in play.members:
        play.fleet.leave(name)
        play.fleet.kill(name)  # while it says goodbye
    play.start(play.members)


def _play_stop(play: _Play) -> None:
    for name in play.members:
        play.fleet.stop(name)
    play.fleet.run(play.seconds)
    for name in play.members:
        play.fleet.resume(name)


def _play_partition(play: _Play) -> None:
    for one in play.members:
        for other in play.rest:
            play.fleet.block(one, other)
            play.fleet.block(other, one)
    play.judge.settle(play.members, play.rest, why=str(play.fault))
    play.fleet.heal()


def _play_one_way_partition(play: _Play) -> None:
    for sender in play.members:
        for receiver in play.rest:
            play.fleet.block(sender, receiver)
    play.judge.watch(play.seconds)
    play.fleet.heal()


def _play_chain(play: _Play) -> None:
    """No member reaches all others: each only its neighbours."""
    names = sorted(play.fleet.names)
    for i, sender in enumerate(names):
        for j, receiver in enumerate(names):
            if abs(i - j) > 1:
                play.fleet.block(sender, receiver)
    play.judge.watch(play.seconds)
    play.fleet.heal()


def _play_loss(play: _Play) -> None:
    play.fleet.set_loss(play.fault.rate)
    play.judge.watch(3 * play.seconds)
    play.fleet.set_loss(0.0)


def _play_corruption(play: _Play) -> None:
    play.fleet.set_corruption(play.fault.rate)
    play.judge.watch(3 * play.seconds)
    play.fleet.set_corruption(0.0)


def _play_restart_of_half(play: _Play) -> None:
    play.kill(play.members)
    play.start(play.members)


def _play_without_seeds(play: _Play) -> None:
    """The seeds of joining are all dead when one that was away comes back."""
    seeds = play.fleet.seeds
    others = sorted(set(play.fleet.names) - set(seeds))
    returning = others[:1]
    play.kill([*seeds, *returning])
    play.start(returning)
    play.judge.settle(others, why=str(play.fault))
    play.start(sorted(seeds))


def _play_duplicate(play: _Play) -> None:
    """Another process takes a name that lives: the one that has it keeps it."""
    name = play.members[0]
    before = {other: view["lives"].get(name) for other, view in play.fleet.snapshots().items()}
    duplicate = play.fleet.start_duplicate(name)
    play.judge.watch(DUPLICATE_PERIODS * play.fleet.period)
    for other, view in play.fleet.snapshots().items():
        if other in before and view["lives"].get(name) != before[other]:
            play.judge.report(f"{play.fault}: {other} took the one that came under a living name")
    play.fleet.end_duplicate(duplicate)


PLAYERS: dict[str, Callable[[_Play], None]] = {
    "kill": _play_kill,
    "move": _play_move,
    "bounce": _play_bounce,
    "leave": _play_leave,
    "again": _play_leave_and_return,
    "stop": _play_stop,
    "long": _play_stop,
    "cut": _play_partition,
    "oneway": _play_one_way_partition,
    "chain": _play_chain,
    "loss": _play_loss,
    "garble": _play_corruption,
    "half": _play_restart_of_half,
    "noseed": _play_without_seeds,
    "twin": _play_duplicate,
}


def shrink(faults: list[Fault], fails: Callable[[list[Fault]], object]) -> list[Fault]:
    """The shortest of these schedules that still fails, by taking out one fault after the other."""
    i = 0
    while i < len(faults):
        fewer = faults[:i] + faults[i + 1 :]
        if fewer and fails(fewer):
            faults = fewer
        else:
            i += 1
    return faults
