"""Grids of emulator runs: scenarios with changed keys, policies and seeds, over processes; and their plots.

Results are lines of JSON, each whole when it is written, with all that is needed to make it again. A grid
that was cut off goes on where it stopped: what the file already holds is not run again."""

import json
import multiprocessing
import signal
import subprocess
from itertools import product
from pathlib import Path
from statistics import median

from .emulator import report, scenario

UNITS = {"earned": "share of benefit answered in time", "handled": "share of requests",
         "bounced": "share of requests", "scrapped": "share of requests", "p50_ms": "median time, ms",
         "p99_ms": "99th percentile of time, ms", "hits": "share of reads that caches hold",
         "fetches_per_s": "requests to the origin a second",
         "legs_per_request": "attempts for each request",
         "most_to_mean": "reads of the busiest cache / mean", "origin_falls": "falls of the origin",
         "events_per_s": "events a second", "run_s": "s of the machine's time",
         "recover_s": "s to recover from the slowest trouble",
         "ceiling": "estimate from capacity"}  # fmt: skip
MARKERS = "osD^vPX"


def value(text):
    """A word of the command line as the scenario file would have it."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def grid(vary, along):
    """Changes for each run: the product of `vary`, with each value of `along` at its place in the first."""
    keys = [key for key, _ in vary]
    for places in product(*(range(len(values)) for _, values in vary)):
        changes = {key: vary[i][1][place] for i, (key, place) in enumerate(zip(keys, places, strict=True))}
        for key, values in along:
            changes[key] = values[places[0]]
        yield changes


def commit():
    try:
        found = subprocess.run(["git", "rev-parse", "HEAD"], capture_output=True, text=True, timeout=10)
    except OSError:
        return ""
    return found.stdout.strip()


def name_of(job):
    return json.dumps([job["scenario"], job["changes"], job["policy"], job["seed"]], sort_keys=True)


def known(path):
    """The names of runs that the file holds; half a line at its end, from a run cut off, is taken out."""
    if not path.exists():
        return set()
    data = path.read_bytes()
    whole, _, rest = data.rpartition(b"\n")
    if rest:
        path.write_bytes(whole + b"\n" if whole else b"")
    return {name_of(json.loads(line)) for line in whole.splitlines() if line}


def run_one(job):
    played = report.play(scenario.load(job["scenario"], job["changes"]), job["policy"], job["seed"])
    return job | played


def ignore_interrupts():
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends the workers: their half lines never show


def run(path, jobs, processes, said=print):
    """Runs what the file lacks; how many were run."""
    path, mark = Path(path), commit()
    done = known(path)
    left = [job for job in jobs if name_of(job) not in done]
    said(f"{len(left)} of {len(jobs)} runs to do")
    if not left:
        return 0
    with multiprocessing.Pool(processes, ignore_interrupts) as pool, path.open("a") as file:
        for number, result in enumerate(pool.imap_unordered(run_one, left), 1):
            file.write(json.dumps(result | {"commit": mark}, sort_keys=True) + "\n")
            file.flush()
            said(f"{number}/{len(left)} {result['policy']} seed {result['seed']} earned {result['earned']}")
    return len(left)


def read(path):
    return [json.loads(line) for line in Path(path).read_text().splitlines() if line]


def series(rows, x, y):
    """For each policy: x, and median, least and most of y over the seeds."""
    found = {}
    for row in rows:
        if x in row["changes"] and row[y] is not None:
            found.setdefault(row["policy"], {}).setdefault(row["changes"][x], []).append(row[y])
    return {
        policy: [(at, median(values), min(values), max(values)) for at, values in sorted(points.items())]
        for policy, points in sorted(found.items())
    }


def plot(path, out, x, y, title=""):
    """A picture of y over x, a line a policy: medians over the seeds, bars from the least to the most."""
    import matplotlib  # only here: it takes a second, and no run needs it

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = read(path)
    lines = series(rows, x, y)
    if not lines:
        raise ValueError(f"no run in {path} has changed {x}")
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for (policy, points), marker in zip(lines.items(), MARKERS * len(lines), strict=False):
        at, middle, least, most = zip(*points, strict=True)
        bars = [[m - a for m, a in zip(middle, least, strict=True)],
                [b - m for m, b in zip(middle, most, strict=True)]]  # fmt: skip
        axes.errorbar(at, middle, yerr=bars, label=policy, marker=marker, capsize=3, linewidth=1.2)
    if all(isinstance(at, int | float) and at > 0 for points in lines.values() for at, *_ in points):
        ends = [at for points in lines.values() for at, *_ in points]
        if max(ends) >= 20 * min(ends):
            axes.set_xscale("log")
    axes.set_xlabel(x)
    axes.set_ylabel(UNITS.get(y, y))
    seeds = len({row["seed"] for row in rows})
    axes.set_title(title or f"medians of {seeds} seeds, bars from least to most", fontsize=10)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(out, dpi=110)
    pyplot.close(figure)
