"""Figures a second of an emulated or loaded run, and from them the time to recover from each trouble.

A row is one second of the day, counted from its start; requests count in the second in which their
client's first try was due, so that a second's share says what became of those who came in it. No I/O
but `write` and `read`."""

import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from .model import SECOND

NEAR = 0.03  # of the share before: service that stays within it counts as recovered
STEADY = 3  # seconds before a trouble that say what service was like; fewer say too little
LEAST = 100  # requests that a share is taken over: a second with fewer is taken with those before it
KINDS = ("earned", "requests", "handled", "bounces", "misses", "fetches", "legs", "connections", "aside")
FORM = "hopsail series 1"  # of the file's first line


class SeriesFault(ValueError):
    """The file holds no series; the text says what is wrong with it."""


@dataclass
class Row:
    second: int
    requests: int = 0
    handled: int = 0
    bounces: int = 0  # answers to tries, of which a request may have several
    misses: int = 0
    fetches: int = 0
    legs: int = 0
    connections: float = 0.0  # open at cache hosts and the origin, when the second began
    aside: float = 0.0  # cache hosts set aside, the mean over the balancers, when the second began
    worth: float = 0.0  # benefit of its requests, and what of it was earned
    gained: float = 0.0
    tracks: dict = field(default_factory=lambda: defaultdict(lambda: [0.0, 0.0]))  # the same by track

    def tree(self):
        """The row as the file has it."""
        found = {
            "second": self.second, "requests": self.requests, "handled": self.handled,
            "earned": round(self.gained / self.worth, 4) if self.worth else None,
            "worth": round(self.worth, 4), "bounces": self.bounces, "misses": self.misses,
            "fetches": self.fetches, "legs": self.legs, "connections": round(self.connections, 2),
            "aside": round(self.aside, 3),
        }  # fmt: skip
        for name, (worth, gained) in sorted(self.tracks.items()):
            found[f"earned.{name}"] = round(gained / worth, 4) if worth else None
        return found


class Series:
    """Rows of a day of so many seconds; what comes before or after them is left out."""

    def __init__(self, seconds):
        self.rows = [Row(second) for second in range(seconds)]

    def at(self, second):
        return self.rows[second] if 0 <= second < len(self.rows) else None

    def count(self, second, name, amount=1):
        if (row := self.at(second)) is not None:
            setattr(row, name, getattr(row, name) + amount)

    def result(self, second, track, benefit, handled, in_time):
        """A request has had its last answer, or none."""
        if (row := self.at(second)) is None:
            return
        row.requests += 1
        row.handled += handled
        row.worth += benefit
        row.tracks[track][0] += benefit
        if in_time:
            row.gained += benefit
            row.tracks[track][1] += benefit


@dataclass(frozen=True)
class Span:
    """A trouble: what it was, and its time in seconds since the day's start."""

    what: str
    begins: float
    ends: float


@dataclass(frozen=True)
class Recovery:
    what: str
    ends: float
    before: float | None  # share earned in the seconds before it, or None when service was not steady yet
    after: float | None  # seconds from its end to service as before; None when that was not seen
    why: str  # "recovered", or why it was not seen


def shares(rows):
    """The share earned as each second ends, over that second and as many before as hold LEAST requests."""
    found = []
    for i in range(len(rows)):
        requests = worth = gained = 0.0
        for row in rows[i::-1]:
            requests, worth, gained = requests + row.requests, worth + row.worth, gained + row.gained
            if requests >= LEAST:
                break
        found.append(gained / worth if worth else None)
    return found


def recoveries(rows, troubles, settled=0, near=NEAR):
    """For each trouble, the first second after its end from which service stays near what it was before.

    "Before" are the STEADY seconds ahead of the first trouble that overlaps with it, after `settled`
    seconds. Service has to stay near until the next trouble begins, or the day ends: a relapse counts
    against the trouble that it follows. Troubles that run into each other share their start; each has
    its own end."""
    seen, found = shares(rows), []
    spans = sorted(troubles, key=lambda one: (one.begins, one.ends))
    for one in spans:
        begins, changed = one.begins, True
        while changed:  # what was going on when it began, and when that began
            earlier = [other.begins for other in spans if other.begins < begins <= other.ends]
            changed = bool(earlier)
            begins = min(earlier, default=begins)
        first, last = max(int(settled), int(begins) - STEADY), int(begins)
        steady = rows[first:last]
        worth = sum(row.worth for row in steady)
        before = sum(row.gained for row in steady) / worth if worth and last - first >= STEADY else None
        start = -int(-one.ends // 1)  # the first whole second after its end
        following = [other for other in spans if other.ends > one.ends]
        stop = min([int(other.begins) for other in following if other.begins >= one.ends], default=len(rows))
        after, why = None, "recovered"
        if before is None:
            why = "service was not steady before it"
        elif any(other.begins < one.ends for other in following):
            why = "another trouble outlasted it"
        elif start >= len(rows):
            why = "it never ended"
        elif start >= stop:
            why = "the next trouble began at once"
        else:
            bad = [i for i in range(start, stop) if seen[i] is not None and seen[i] < before - near]
            at = bad[-1] + 1 if bad else start
            if at >= stop:
                why = "not until the next trouble" if stop < len(rows) else "not until the day's end"
            else:
                after = float(at - start)
        found.append(Recovery(one.what, one.ends, before, after, why))
    return found


def told(recovered):
    """Recoveries as the summary of a run has them."""
    return [
        {"what": one.what, "ends_s": round(one.ends, 3), "before": one.before and round(one.before, 4),
         "recovered_s": one.after, "why": one.why}
        for one in recovered
    ]  # fmt: skip


def recovered(series, scenario, path=None, about=None):
    """What a day's series says of its troubles, as its summary has it; with a path, written to that file."""
    troubles = spans(scenario)
    if path is not None:
        write(path, series, troubles, about)
    return told(recoveries(series.rows, troubles, scenario.load.settles // SECOND))


def write(path, series, troubles, about):
    """The whole file or nothing of it: a header, then a row a line."""
    head = {"form": FORM, "troubles": [vars(one) for one in troubles]} | about
    lines = [json.dumps(tree) for tree in [head, *(row.tree() for row in series.rows)]]
    path = Path(path)
    part = path.with_name(path.name + ".part")
    try:
        part.write_text("\n".join(lines) + "\n")
        part.replace(path)
    finally:
        part.unlink(missing_ok=True)


def read(path):
    """The header and the rows, as trees."""
    try:
        lines = [json.loads(line) for line in Path(path).read_text().splitlines()]
    except (OSError, UnicodeDecodeError, json.JSONDecodeError, RecursionError) as fault:
        raise SeriesFault(f"{path}: no series: {fault}") from None
    if not lines or not isinstance(lines[0], dict) or lines[0].get("form") != FORM:
        raise SeriesFault(f"{path}: no series: its first line lacks the form {FORM!r}")
    return lines[0], lines[1:]


def emulated(world):
    """The series of an emulated day, from its trace, results and samples."""
    from .emulator.world import ORIGIN, START

    scenario = world.scenario
    series = Series(-(-scenario.load.lasts // SECOND))
    for first, kind, word, took, _ in world.results:
        track = scenario.track[kind]
        handled = word == "handled"
        in_time = handled and took <= track.promised
        series.result((first - START) // SECOND, track.name, track.benefit, handled, in_time)
    for what, at, *rest in world.trace:
        second = (at - START) // SECOND
        if what == "sent":
            series.count(second, "legs")
            if rest[3] == ORIGIN:
                series.count(second, "fetches")
        elif what == "ended" and rest[3] == "MISS":
            series.count(second, "misses")
        elif what == "answered" and rest[2] == "bounced":
            series.count(second, "bounces")
    for second, connections, aside in world.samples:
        if (row := series.at(second)) is not None:
            row.connections, row.aside = connections, aside
    return series


def spans(scenario):
    return [Span(one.what, one.at / SECOND, (one.at + one.lasts) / SECOND) for one in scenario.trouble]


def plot(path, out, kind="earned", title=""):
    """A picture of one figure over the day, by track where it has tracks, with the troubles shaded."""
    import matplotlib  # only here: it takes a second, and no run needs it

    matplotlib.use("Agg")
    from matplotlib import pyplot

    head, rows = read(path)
    names = [kind] + [name for name in (rows[0] if rows else {}) if name.startswith(f"{kind}.")]
    if not rows or kind not in rows[0]:
        raise SeriesFault(f"{path}: no row has {kind}")
    figure, axes = pyplot.subplots(figsize=(8, 4))
    seconds = [row["second"] + 0.5 for row in rows]
    for name in names:
        values = [row.get(name) for row in rows]
        axes.plot(seconds, [float("nan") if value is None else value for value in values], label=name,
                  linewidth=1.6 if name == kind else 0.9)  # fmt: skip
    top = axes.get_ylim()[1]
    begun = []
    for one in head["troubles"]:
        axes.axvspan(one["begins"], one["ends"], alpha=0.13, color="tab:red", linewidth=0)
        # Names of troubles that begin close together stand one below the other.
        level = sum(abs(other - one["begins"]) < len(rows) / 8 for other in begun)
        begun.append(one["begins"])
        text = "\n" * level + " " + one["what"]
        axes.text(one["begins"], top, text, fontsize=7, va="top", color="tab:red")
    axes.set_xlabel("second of the day")
    axes.set_ylabel("share of benefit in time" if kind == "earned" else f"{kind} a second")
    axes.set_title(title or " ".join(str(head.get(key, "")) for key in ("scenario", "policy", "seed")),
                   fontsize=10)  # fmt: skip
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(out, dpi=110)
    pyplot.close(figure)
