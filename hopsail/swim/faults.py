"""Faults between the members of a fleet: drawn from a seed, played on any fleet, judged by what all show.

A fleet (simulated in `sim.py`, of processes in `load/mesh.py`) has `names`, `seeds`, `bound` and `period` in
seconds, and starts, kills, stops, leads away and cuts its members; `look()` gives what each that can be asked
shows. Nothing here knows how a view is kept: it reads `alive`, `gone`, `view` and `lives`, as staff would."""

from dataclasses import asdict, dataclass
from math import ceil
from random import Random
from statistics import median

KINDS = (
    "kill", "move", "bounce", "leave", "again", "stop", "long", "cut", "oneway", "chain", "loss", "garble",
    "half", "noseed", "twin",
)  # fmt: skip
LOOKS = 4  # a period, at what members show
HOLDS = 4  # periods that a settled view must stay as it is


@dataclass(frozen=True)
class Fault:
    what: str
    who: tuple[str, ...]
    lasts: float  # periods
    amount: float = 0.0


def draw(seed, names, count, kinds=KINDS):
    """So many faults, the same for a seed."""
    random = Random(f"faults/{seed}")
    found = []
    for _ in range(count):
        what = random.choice(kinds)
        most = {"cut": len(names) - 1, "half": len(names) // 2}.get(what, 1)
        some = most if what == "half" else random.randint(1, max(1, most))
        who = tuple(sorted(random.sample(sorted(names), max(1, some))))
        lasts = random.choice((30.0, 45.0)) if what == "long" else random.choice((1.0, 3.0, 8.0))
        amount = random.choice((0.05, 0.2)) if what in ("loss", "garble") else 0.0
        found.append(Fault(what, who, lasts, amount))
    return found


def shown(faults):
    return [asdict(fault) for fault in faults]


def spoilt(data, random, part):
    """The datagram, and how often it arrives: a part of them twice or thrice, or with a bit changed."""
    if not part or random.random() >= part:
        return data, 1
    copies = random.choice((1, 2, 3))
    if copies == 1:
        at = random.randrange(len(data))
        data = data[:at] + bytes([data[at] ^ 1 << random.randrange(8)]) + data[at + 1 :]
    return data, copies


class Judge:
    """Collects what is seen of a fleet and says what is wrong with it."""

    def __init__(self, fleet):
        self.fleet, self.violations, self.settled, self.waits, self.faults = fleet, [], 0, [], 0
        self.false_gone, self.looked, self.lives = 0, 0, {}
        self.parted_at = {}  # (a, b) -> when they could last not reach each other

    def wrong(self, text):
        self.violations.append(f"{self.fleet.now():.2f} s: {text}")

    def look(self):
        """What all show now; what may at no time be seen is noted."""
        rows, now = self.fleet.look(), self.fleet.now()
        for a in rows:
            for b in self.fleet.names:
                if a != b and not (self.fleet.reach(a, b) and self.fleet.reach(b, a)):
                    self.parted_at[a, b] = now
        for name, row in rows.items():
            self.looked += 1
            for other, life in row["lives"].items():
                if life < self.lives.get((name, other), life):
                    self.wrong(f"{name} has {other} in an older life again")
                self.lives[name, other] = life
            for other in row["gone"]:
                fresh = now - self.parted_at.get((name, other), -1e9) < self.fleet.bound
                if other in rows and not fresh and self.fleet.calm_for(other) > self.fleet.bound:
                    self.false_gone += 1
        return rows

    def forget(self, name):
        """A new process: what it shows may be older than what the last one under its name had heard."""
        self.lives = {key: life for key, life in self.lives.items() if key[0] != name}

    def due(self, groups):
        """Whether all of a group show just that group, and the same view."""
        rows = self.look()
        for group in groups:
            if any(name not in rows or set(rows[name]["alive"]) != group for name in group):
                return False
            if len({rows[name]["view"] for name in group}) > 1:
                return False
            if any(rows[name]["suspect"] for name in group):
                return False
        return True

    def settle(self, *groups, why=""):
        """Runs the fleet until it has settled into these groups, and a little more; notes the time."""
        groups = [set(group) for group in groups if group]
        begin, pause = self.fleet.now(), self.fleet.period / LOOKS
        self.faults += 1
        while not (done := self.due(groups)) and self.fleet.now() - begin < self.fleet.bound:
            self.fleet.run(pause)
        if not done:
            rows = self.fleet.look()
            seen = {name: sorted(row["alive"]) for name, row in rows.items()}
            wanted = list(map(sorted, groups))
            self.wrong(f"{why}: not settled within {self.fleet.bound:.1f} s into {wanted}: {seen}")
            return False
        self.settled += 1
        self.waits.append(self.fleet.now() - begin)
        for _ in range(HOLDS * LOOKS):
            self.fleet.run(pause)
        if not self.due(groups):
            again = self.fleet.now()
            # Quiet for a while and not settled: only news that was still on its way may be the cause.
            while not self.due(groups) and self.fleet.now() - again < self.fleet.bound:
                self.fleet.run(pause)
            if not self.due(groups):
                self.wrong(f"{why}: the view did not stay settled")
        return True

    def figures(self):
        waits = sorted(self.waits) or [0.0]
        return {
            "processes": len(self.fleet.names), "faults": self.faults,
            "settled": round(self.settled / max(1, self.faults), 4),
            "settle_s": {"median": round(median(waits), 3), "worst": round(waits[-1], 3),
                         "p99": round(waits[ceil(0.99 * (len(waits) - 1))], 3)},
            "bound_s": round(self.fleet.bound, 3), "false_gone": self.false_gone,
            "violations": len(self.violations), "violated": self.violations[:5],
        }  # fmt: skip


def play(fleet, faults, judge=None):
    """Plays faults one after the other; each must settle before the next one comes."""
    judge = judge or Judge(fleet)
    everyone = set(fleet.names)
    if not judge.settle(everyone, why="the start"):
        return judge
    for fault in faults:
        who, rest = set(fault.who), everyone - set(fault.who)
        why, lasts = f"{fault.what} {','.join(fault.who)}", fault.lasts * fleet.period
        before = len(judge.violations)
        ACTS[fault.what](fleet, judge, fault, who, rest, lasts, why)
        judge.settle(everyone, why=f"after {why}")
        if len(judge.violations) > before + 3:
            break  # nothing that follows could be told from this
    return judge


def _start(fleet, judge, names, moved=False):
    for name in names:
        judge.forget(name)
        fleet.start(name, moved)


def _away(fleet, judge, who, rest, why, end):
    """They end in this way, the rest settle without them, and they are back."""
    for name in who:
        end(name)
    judge.settle(rest, why=why)
    _start(fleet, judge, who)


def _kill(fleet, judge, fault, who, rest, lasts, why):
    _away(fleet, judge, who, rest, why, fleet.kill)


def _move(fleet, judge, fault, who, rest, lasts, why):
    for name in who:
        fleet.kill(name)
    _start(fleet, judge, who, moved=True)


def _bounce(fleet, judge, fault, who, rest, lasts, why):
    for pause in (0.3, 0.0):  # the second one dies while it joins
        for name in who:
            fleet.kill(name)
        _start(fleet, judge, who)
        fleet.run(pause * fleet.period)


def _leave(fleet, judge, fault, who, rest, lasts, why):
    _away(fleet, judge, who, rest, why, fleet.leave)


def _again(fleet, judge, fault, who, rest, lasts, why):
    for name in who:
        fleet.leave(name)
        fleet.kill(name)  # while it says goodbye
    _start(fleet, judge, who)


def _stop(fleet, judge, fault, who, rest, lasts, why):
    for name in who:
        fleet.stop(name, True)
    fleet.run(lasts)
    for name in who:
        fleet.stop(name, False)


def _cut(fleet, judge, fault, who, rest, lasts, why):
    for a in who:
        for b in rest:
            fleet.link(a, b, False)
            fleet.link(b, a, False)
    judge.settle(who, rest, why=why)
    fleet.heal()


def _oneway(fleet, judge, fault, who, rest, lasts, why):
    for a in who:
        for b in rest:
            fleet.link(a, b, False)
    _watch(fleet, judge, lasts)
    fleet.heal()


def _chain(fleet, judge, fault, who, rest, lasts, why):
    """No member reaches all others: each only its neighbours."""
    names = sorted(fleet.names)
    for i, a in enumerate(names):
        for j, b in enumerate(names):
            if abs(i - j) > 1:
                fleet.link(a, b, False)
    _watch(fleet, judge, lasts)
    fleet.heal()


def _loss(fleet, judge, fault, who, rest, lasts, why):
    fleet.lossy(fault.amount)
    _watch(fleet, judge, 3 * lasts)
    fleet.lossy(0.0)


def _garble(fleet, judge, fault, who, rest, lasts, why):
    fleet.garbled(fault.amount)
    _watch(fleet, judge, 3 * lasts)
    fleet.garbled(0.0)


def _half(fleet, judge, fault, who, rest, lasts, why):
    for name in who:
        fleet.kill(name)
    _start(fleet, judge, who)


def _noseed(fleet, judge, fault, who, rest, lasts, why):
    """The seeds of joining are all dead when one that was away comes back."""
    seeds, other = set(fleet.seeds), sorted(set(fleet.names) - set(fleet.seeds))[:1]
    for name in [*seeds, *other]:
        fleet.kill(name)
    _start(fleet, judge, other)
    judge.settle(set(fleet.names) - seeds, why=why)
    _start(fleet, judge, sorted(seeds))


def _twin(fleet, judge, fault, who, rest, lasts, why):
    """Another process takes a name that lives: the one that has it keeps it."""
    (name,) = list(who)[:1]
    had = {n: row["lives"].get(name) for n, row in fleet.look().items()}
    twin = fleet.twin(name)
    _watch(fleet, judge, 12 * fleet.period)
    for other, row in fleet.look().items():
        if other in had and row["lives"].get(name) != had[other]:
            judge.wrong(f"{why}: {other} took the one that came under a living name")
    fleet.end_twin(twin)


def _watch(fleet, judge, seconds):
    """Runs the fleet with a look now and then."""
    until = fleet.now() + seconds
    while fleet.now() < until:
        fleet.run(min(fleet.period / 2, max(0.001, until - fleet.now())))
        judge.look()


ACTS = {
    "kill": _kill, "move": _move, "bounce": _bounce, "leave": _leave, "again": _again, "stop": _stop,
    "long": _stop, "cut": _cut, "oneway": _oneway, "chain": _chain, "loss": _loss, "garble": _garble,
    "half": _half, "noseed": _noseed, "twin": _twin,
}  # fmt: skip


def shrink(faults, fails):
    """The shortest of these schedules that still fails, by taking out one fault after the other."""
    i = 0
    while i < len(faults):
        fewer = faults[:i] + faults[i + 1 :]
        if fewer and fails(fewer):
            faults = fewer
        else:
            i += 1
    return faults
