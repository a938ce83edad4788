"""Today's decision module beside that of an earlier revision of this repository, on the same days.

The earlier module and what it imports of the package are taken from git into a copy of today's package,
so that both meet the same emulator; each side runs in processes of its own. Days are paired by
scenario, changes and seed: chance that a day has for both falls out of the difference."""

import ast
import json
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean, stdev

from . import experiments

PACKAGE = Path(__file__).resolve().parent
MODULE = "decide"
FIGURES = ("earned", "handled", "p99_ms", "hits", "fetches_per_s", "legs_per_request", "most_to_mean",
           "recover_s", "broken")  # fmt: skip
TRY = """
[fleet]
balancers = 2
caches = 3
[cache]
service = "2 ms"
[origin]
service = "5 ms"
[load]
rate = "50/s"
lasts = "1 s"
keys = 20
[[track]]
name = "read"
part = "100%"
promised = "200 ms"
"""


class CompareFault(ValueError):
    """The comparison cannot be made; the text says why."""


def git(*arguments):
    """What git prints; CompareFault when it fails, or is not there."""
    try:
        found = subprocess.run(
            ["git", "-C", str(PACKAGE.parent), *arguments], capture_output=True, timeout=60
        )
    except (OSError, subprocess.TimeoutExpired) as fault:
        raise CompareFault(f"git: {fault}") from None
    if found.returncode:
        raise CompareFault(found.stderr.decode(errors="replace").strip().splitlines()[-1])
    return found.stdout.decode(errors="replace")


def revision(text):
    """The full id of a commit."""
    if not text or text.startswith("-"):
        raise CompareFault(f"{text!r} is no revision")
    try:
        return git("rev-parse", "--verify", f"{text}^{{commit}}").strip()
    except CompareFault:
        raise CompareFault(f"{text!r} is no revision of this repository") from None


def imported(source, level=1):
    """Modules of the package that a source imports, so many levels below it."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom) and node.level == level:
            found |= {node.module.split(".")[0]} if node.module else {name.name for name in node.names}
    return found


def overlay(commit, folder):
    """Today's package in `folder`, with the decision module of `commit` and all that this one imports."""
    target = Path(folder) / PACKAGE.name
    shutil.copytree(PACKAGE, target, ignore=shutil.ignore_patterns("__pycache__"))
    left, done = [MODULE], set()
    while left:
        name = left.pop()
        if name in done:
            continue
        done.add(name)
        try:
            sources = {path: git("show", f"{commit}:{PACKAGE.name}/{path}") for path in files(commit, name)}
            for path, source in sources.items():
                left += imported(source, 1 + path.count("/"))
        except (CompareFault, SyntaxError):
            raise CompareFault(f"{commit[:12]} has no {PACKAGE.name}/{name} of this shape") from None
        shutil.rmtree(target / name, ignore_errors=True)
        for path, source in sources.items():
            (target / path).parent.mkdir(exist_ok=True)
            (target / path).write_text(source)
    return folder


def files(commit, name):
    """Paths below the package that make up one of its modules, or packages of modules, at that commit."""
    where = f"{PACKAGE.name}/{name}"
    listed = git("ls-tree", "-r", "--name-only", "--full-tree", commit, "--", f"{where}.py", where)
    found = [path.partition("/")[2] for path in listed.splitlines() if path.endswith(".py")]
    if not found:
        raise CompareFault(f"no {name}")
    return found


def worker():
    """Plays jobs, a line each on standard input; prints their results, a line each."""
    for line in sys.stdin:
        job = json.loads(line)
        print(json.dumps(experiments.run_one(job)), flush=True)


def play(folder, jobs):
    """Plays jobs with the package in this folder, in a process of its own."""
    run = subprocess.run(
        [sys.executable, "-B", "-c", "from hopsail.compare import worker; worker()"],
        input="".join(json.dumps(job) + "\n" for job in jobs), capture_output=True, text=True,
        env=os.environ | {"PYTHONPATH": str(folder)}, cwd=folder, start_new_session=True,
    )  # fmt: skip
    rows = [json.loads(line) for line in run.stdout.splitlines()]
    if run.returncode or len(rows) != len(jobs):
        raise CompareFault((run.stderr.strip().splitlines() or ["a process ended"])[-1])
    return rows


def check(folder, commit):
    """Whether the emulator can play the module there: a second of a small day says so."""
    path = Path(folder) / "try.toml"
    path.write_text(TRY)
    try:
        play(folder, [{"scenario": str(path), "changes": {}, "policy": "hopsail", "seed": 1}])
    except CompareFault as fault:
        raise CompareFault(f"{commit[:12]} has no module of this shape: {fault}") from None


def run(text, jobs, processes, said=print):
    """Pairs (then, now) of results, in the order of the jobs."""
    commit = revision(text)
    jobs = [job | {"scenario": str(Path(job["scenario"]).resolve())} for job in jobs]
    with tempfile.TemporaryDirectory(prefix="hopsail-") as folder:
        overlay(commit, folder)
        check(folder, commit)
        said(f"{len(jobs)} days with {commit[:12]} and with today's, {processes} processes")
        sides = [(place, job) for job in jobs for place in (folder, PACKAGE.parent)]
        with ThreadPoolExecutor(processes) as pool:  # threads that wait for processes
            found = list(pool.map(lambda side: play(side[0], [side[1]])[0], sides))
    return list(zip(found[::2], found[1::2], strict=True))


def figure(row, name):
    return sum(row[key] for key in row if key.startswith("broken_")) if name == "broken" else row[name]


def differences(pairs):
    """By scenario and changes: for each figure, both means and the paired difference, now less then."""
    groups = {}
    for then, now in pairs:
        key = json.dumps([Path(now["scenario"]).stem, now["changes"]], sort_keys=True)
        groups.setdefault(key, []).append((then, now))
    rows = []
    for key, group in groups.items():
        scenario, changes = json.loads(key)
        for name in FIGURES:
            both = [(figure(then, name), figure(now, name)) for then, now in group]
            both = [(then, now) for then, now in both if then is not None and now is not None]
            if not both:
                continue
            apart = [now - then for then, now in both]
            rows.append({
                "scenario": scenario, "changes": changes, "figure": name, "days": len(both),
                "then": round(mean(then for then, _ in both), 5),
                "now": round(mean(now for _, now in both), 5),
                "difference": round(mean(apart), 5),
                "deviation": round(stdev(apart), 5) if len(apart) > 1 else None,
                "least": round(min(apart), 5), "most": round(max(apart), 5),
            })  # fmt: skip
    return rows
