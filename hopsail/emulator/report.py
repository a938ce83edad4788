"""One run's figures, as one flat record: times in ms by HdrHistogram, shares from 0 to 1."""

from time import perf_counter

from hdrh.histogram import HdrHistogram

from .. import series as figures
from ..model import MS, SECOND
from .oracle import ceiling
from .rules import check
from .world import ORIGIN, START, World

LEAST_TIME, MOST_TIME, DIGITS = 1, 60_000_000, 3  # microseconds that a histogram tells apart


def play(scenario, policy="hopsail", seed=1, trace=None, series=None, name=""):
    """Runs the scenario and sums it up; `trace`, a text file, gets every event as a line, and the file named
    `series` the figures a second."""
    began = perf_counter()
    world = World(scenario, policy, seed).run()
    took = perf_counter() - began
    if trace is not None:
        for event in world.trace:
            print(*(sorted(part) if isinstance(part, set) else part for part in event), file=trace)
    about = {"scenario": name, "policy": policy, "seed": seed}
    recovered = figures.recovered(figures.emulated(world), scenario, series, about)
    return summary(world) | {"recovery": recovered, "recover_s": slowest(recovered), "policy": policy,
                             "seed": seed, "run_s": round(took, 3),
                             "events_per_s": round(world.clock.done / took)}  # fmt: skip


def slowest(recovered):
    """The longest time to recover of a day's troubles; None when one was not seen to be over."""
    times = [one["recovered_s"] for one in recovered if one["why"] != "another trouble outlasted it"]
    return None if None in times else max(times, default=None)


def summary(world):
    scenario, since = world.scenario, START + world.scenario.load.settles
    times = HdrHistogram(LEAST_TIME, MOST_TIME, DIGITS)
    worth = earned = 0.0
    words = {"handled": 0, "bounced": 0, "scrapped": 0, "left": 0}
    results = [result for result in world.results if result[0] >= since]
    for _, kind, word, took, _ in results:
        track = scenario.track[kind]
        words[word if word in words else "scrapped"] += 1
        worth += track.benefit
        if word == "handled":
            times.record_value(max(LEAST_TIME, min(MOST_TIME, took // 1000)))
            earned += track.benefit * (took <= track.promised)
    count = max(1, len(results))
    legs = misses = hits = 0
    fetches = set()  # legs to the origin, which are no reads of a cache
    for what, at, *rest in world.trace:
        if at < since or what == "told":
            continue
        if what == "sent":
            legs += 1
            if rest[3] == ORIGIN:
                fetches.add((rest[1], rest[2]))
        elif what == "ended" and (rest[1], rest[2]) not in fetches:
            misses += rest[3] == "MISS"
            hits += rest[3] == "HANDLED"
    reads = [host.reads for host in world.caches]
    broken = check(world.trace, scenario)
    seconds = max(1, scenario.load.lasts - scenario.load.settles) / SECOND
    return {
        "requests": len(results),
        "earned": round(earned / worth, 4) if worth else 0.0,
        **{word: round(number / count, 4) for word, number in words.items()},
        **{f"p{p:g}_ms": round(times.get_value_at_percentile(p) * 1000 / MS, 3) for p in (50, 99)},
        "hits": round(hits / max(1, hits + misses), 4),
        "fetches_per_s": round(len(fetches) / seconds, 2),
        "legs_per_request": round(legs / count, 3),
        "most_to_mean": round(max(reads) * len(reads) / max(1, sum(reads)), 3),
        "ceiling": round(ceiling(scenario), 4),
        "origin_falls": sum(event[0] == "fell" for event in world.trace),
        **{f"broken_{rule}": len(found) for rule, found in broken.items()},
    }
