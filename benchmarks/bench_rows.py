"""Versions and mechanisms compared on the operators' bench: the same days and seeds for each row.

    python3 -m benchmarks.bench_rows --bench PROGRAM --site FILE ... --day NAME ... --seed N ... \
        --row NAME=REVISION[:MECHANISM,...] ... --clones FOLDER --results FILE [--jobs N] [--until S]

A row is a revision of this repository, with mechanisms of `PlacementParameters` switched off if wanted; the
first row is what the others are compared with. Each row is played in a clone of its own below FOLDER (outside
the system's folder for temporary files), whose deploy file has `--without MECHANISM` in the data plane's
command. Every play is appended to FILE as one line of JSON when it ends, and a play that FILE holds is not
repeated: a run that was stopped goes on where it was. Entries that the bench writes to the clones' journals
are copied to this repository's. At the end, and with `--table` alone, a table of differences is printed:
means over paired plays, with their standard deviation."""

import argparse
import json
import shutil
import subprocess
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path
from statistics import fmean, stdev
from threading import Lock

REPOSITORY = Path(__file__).resolve().parent.parent
COMMAND = 'run = "python3 -B -m hopsail.dataplane'  # in the deploy file
PLAY_LIMIT = 1200  # s
WHY_LIMIT = 119  # characters


@dataclass(frozen=True)
class Row:
    """A version of the program."""

    name: str
    revision: str
    without: tuple[str, ...] = ()

    @classmethod
    def parse(cls, text: str) -> "Row":
        """From NAME=REVISION[:MECHANISM,...]."""
        name, _, version = text.partition("=")
        revision, _, mechanisms = version.partition(":")
        return cls(name, revision or "HEAD", tuple(filter(None, mechanisms.split(","))))


@dataclass(frozen=True)
class Play:
    """One play's figures."""

    row: str
    commit: str
    without: tuple[str, ...]
    site: str
    day: str
    seed: int
    until: str
    worth: float
    late: dict[str, float]  # share of each kind of request that came late, was refused or failed
    parts: dict[str, float]
    prices: dict[str, float]
    broken: dict

    @property
    def pair(self) -> tuple:
        """What it has in common with the plays that it is compared with."""
        return self.site, self.day, self.seed, self.until


def read_report(report: dict) -> dict:
    """The figures of a play from the bench's report."""
    late = {}
    for kind in report["classes"]:
        owed = max(1, kind["n"] - kind["not_owed"])
        late[kind["name"]] = (kind["late"] + kind["refused"] + kind["failed"]) / owed
    return {
        "worth": report["G"],
        "late": late,
        "parts": {name: value for name, _, value in report["parts"]},
        "prices": {name: price for name, _, price in report["prices"] if price},
        "broken": report["breaks"],
    }


class Clones:
    """A working copy of each row."""

    def __init__(self, folder: Path):
        self.folder = folder

    def make(self, row: Row) -> tuple[Path, str]:
        """The row's folder, made if need be, and its commit."""
        commit = _git(REPOSITORY, "rev-parse", row.revision)
        clone = self.folder / "-".join([commit[:12], *row.without])
        if not clone.exists():
            self.folder.mkdir(parents=True, exist_ok=True)
            _git(self.folder, "clone", "-q", "--shared", str(REPOSITORY), str(clone))
            _git(clone, "checkout", "-q", "--detach", commit)
            self._switch_off(clone, row.without)
        return clone, commit

    def _switch_off(self, clone: Path, mechanisms: Iterable[str]) -> None:
        deploy = clone / "deploy" / "system.toml"
        text = deploy.read_text()
        options = "".join(f" --without {mechanism}" for mechanism in mechanisms)
        if COMMAND not in text:
            raise SystemExit(f"{deploy} does not start the data plane by: {COMMAND}")
        deploy.write_text(text.replace(COMMAND, COMMAND + options))


def _git(folder: Path, *arguments: str) -> str:
    done = subprocess.run(["git", *arguments], cwd=folder, check=True, capture_output=True, text=True)
    return done.stdout.strip()


class Runner:
    """Plays what is missing in the file of results."""

    def __init__(self, asked: argparse.Namespace):
        self.asked = asked
        self.lock = Lock()
        self.results = Path(asked.results)
        self.clones = Clones(Path(asked.clones))

    def known(self) -> list[Play]:
        """The plays in the file."""
        if not self.results.exists():
            return []
        return [Play(**json.loads(line)) for line in self.results.read_text().splitlines()]

    def run(self, rows: list[Row]) -> None:
        """Plays all rows, days and seeds; rows of one day and seed follow each other."""
        made = {row: self.clones.make(row) for row in rows}
        done = {(play.commit, tuple(play.without), play.pair) for play in self.known()}
        with ThreadPoolExecutor(self.asked.jobs) as pool:
            for seed, (site, day), row in product(self.asked.seed, self._days(), rows):
                clone, commit = made[row]
                pair = (Path(site).stem, day, seed, self.asked.until or "")
                if (commit, row.without, pair) not in done:
                    pool.submit(self._play, row, clone, commit, site, day, seed)

    def _days(self) -> Iterator[tuple[str, str]]:
        return product(self.asked.site, self.asked.day)

    def _play(self, row: Row, clone: Path, commit: str, site: str, day: str, seed: int) -> None:
        name = "-".join([commit[:12], *row.without, Path(site).stem, day, str(seed)])
        report = self.results.with_name(f"{name}.json")
        why = f"Row {row.name}: {day}, seed {seed}, without {', '.join(row.without) or 'nothing'}"
        command = [self.asked.bench, "run", site, day, "--seed", str(seed), "--report", str(report)]
        command += ["--jobs", str(self.asked.cores), "--why", why[:WHY_LIMIT]]
        if self.asked.until:
            command += ["--until", self.asked.until]
        done = subprocess.run(command, cwd=clone, capture_output=True, text=True, timeout=PLAY_LIMIT)
        if not report.exists():
            print(f"no result: {row.name}, {day}, seed {seed}: {done.stderr[-300:]}", file=sys.stderr)
            return
        figures = read_report(json.loads(report.read_text()))
        report.unlink()
        until = self.asked.until or ""
        play = Play(row.name, commit, row.without, Path(site).stem, day, seed, until, **figures)
        with self.lock:
            with self.results.open("a") as results:
                results.write(json.dumps(asdict(play)) + "\n")
            self._keep_journal(clone)
        print(f"{play.site} {day} {seed} {row.name}: {play.worth:.3f} {play.broken or ''}", flush=True)

    def _keep_journal(self, clone: Path) -> None:
        for name in _git(clone, "status", "--short", "journal").splitlines():
            entry = clone / name.split()[-1]
            if entry.is_file() and not (REPOSITORY / "journal" / entry.name).exists():
                shutil.copy(entry, REPOSITORY / "journal" / entry.name)


def table(plays: list[Play], rows: list[Row]) -> Iterator[str]:
    """Differences of each row to the first, by site and day."""
    yield "| site, day | row | plays | worth | difference | late by kind | read again |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for site, day in sorted({(play.site, play.day) for play in plays}):
        here = [play for play in plays if (play.site, play.day) == (site, day)]
        base = {play.pair: play for play in here if play.row == rows[0].name}
        for row in rows:
            those = [play for play in here if play.row == row.name]
            if those:
                yield f"| {site} {day} | {row.name} | {_figures(those, base)} |"


def _figures(those: list[Play], base: dict[tuple, Play]) -> str:
    differences = [play.worth - base[play.pair].worth for play in those if play.pair in base]
    spread = stdev(differences) if len(differences) > 1 else 0.0
    kinds = sorted({kind for play in those for kind in play.late})
    late = ", ".join(f"{kind} {fmean(play.late.get(kind, 0.0) for play in those):.3f}" for kind in kinds)
    again = fmean(play.prices.get("1,000 tokens of shared parts read again", 0.0) for play in those)
    difference = f"{fmean(differences):+.3f} +- {spread:.3f}" if differences else ""
    worth = fmean(play.worth for play in those)
    return f"{len(those)} | {worth:.3f} | {difference} | {late} | {again:.3f}"


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--bench")
    parser.add_argument("--site", nargs="+", default=[])
    parser.add_argument("--day", nargs="+", default=[])
    parser.add_argument("--seed", nargs="+", type=int, default=[])
    parser.add_argument("--row", nargs="+", type=Row.parse, required=True)
    parser.add_argument("--clones", default="clones")
    parser.add_argument("--results", required=True)
    parser.add_argument("--jobs", type=int, default=2, help="plays at a time")
    parser.add_argument("--cores", type=int, default=2, help="of each play")
    parser.add_argument("--until", help="seconds of a day that are played; all if left out")
    parser.add_argument("--table", action="store_true", help="only print the table")
    asked = parser.parse_args()
    runner = Runner(asked)
    if not asked.table:
        runner.run(asked.row)
    for line in table(runner.known(), asked.row):
        print(line)


if __name__ == "__main__":
    main()
