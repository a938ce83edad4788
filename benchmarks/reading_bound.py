"""How often long prompts can be in time at best: a model with full sight of all hosts.

    python3 -m benchmarks.reading_bound --hosts 28 --per-second 17.5 --subjects 893 --aim-ms 600

Hosts read one prompt after the other; sizes are log-normal, at most three times their mean. The choice is
made among the first ring hosts of a subject by when each would have read the prompt, knowing all that is
before it, all that is kept and all speeds. A model: no failures, no generation, no loads of weights, no limit
of memory."""

import argparse
import math
from dataclasses import dataclass
from random import Random
from statistics import fmean

LATE_WORTH = 0.3
PARSED = 1024  # tokens read in one step of a host
FIXED_MS = 29.0  # network, first step and set-up
OWN_SPREAD, SHARED_SPREAD = 1.1, 0.7


@dataclass(frozen=True)
class Bound:
    """What is modelled."""

    hosts: int
    per_second: float
    subjects: int
    aim_ms: float
    shared_mean: float
    own_mean: float
    tokens_per_ms: float
    step_ms: float
    slow_factor: float  # of each third host
    skew: float
    seconds: float


@dataclass(frozen=True)
class Played:
    """Figures of one play."""

    late: float
    largest_tenth: float  # its worth


def log_normal(draw: Random, mean: float, spread: float) -> float:
    """A size with this mean."""
    return min(3 * mean, draw.lognormvariate(math.log(mean) - spread * spread / 2, spread))


def play(bound: Bound, candidates: int, parts_move: bool, seed: int) -> Played:
    """One play; with `parts_move`, what any host keeps is at hand at all of them."""
    draw = Random(seed)
    slowness = [bound.slow_factor if number % 3 == 2 else 1.0 for number in range(bound.hosts)]
    sizes = [log_normal(draw, bound.shared_mean, SHARED_SPREAD) for _ in range(bound.subjects)]
    weights = [1 / (rank + 1) ** bound.skew for rank in range(bound.subjects)]
    rings = [draw.sample(range(bound.hosts), bound.hosts) for _ in range(bound.subjects)]
    free_at = [0.0] * bound.hosts
    kept: list[set[int]] = [set() for _ in range(bound.hosts)]
    took: list[tuple[float, float]] = []
    now = 0.0
    while (now := now + draw.expovariate(bound.per_second) * 1000) < bound.seconds * 1000:
        subject = draw.choices(range(bound.subjects), weights)[0]
        own = log_normal(draw, bound.own_mean, OWN_SPREAD)

        def done(host: int, subject=subject, own=own, now=now) -> float:
            is_kept = subject in kept[host] or (parts_move and any(subject in parts for parts in kept))
            unread = own if is_kept else own + sizes[subject]
            reading = unread / PARSED * bound.step_ms + unread / bound.tokens_per_ms
            return max(free_at[host], now) + FIXED_MS + reading * slowness[host]

        host = min(rings[subject][:candidates], key=done)
        free_at[host] = done(host)
        kept[host].add(subject)
        took.append((sizes[subject] + own, free_at[host] - now))
    took.sort(reverse=True)
    largest = [milliseconds for _, milliseconds in took[: len(took) // 10]]
    worth = fmean(LATE_WORTH if milliseconds > bound.aim_ms else 1.0 for milliseconds in largest)
    return Played(fmean(milliseconds > bound.aim_ms for _, milliseconds in took), worth)


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--hosts", type=int, default=30)
    parser.add_argument("--per-second", type=float, default=15.0)
    parser.add_argument("--subjects", type=int, default=800)
    parser.add_argument("--aim-ms", type=float, default=600.0)
    parser.add_argument("--shared-mean", type=float, default=13_300.0)
    parser.add_argument("--own-mean", type=float, default=3720.0)
    parser.add_argument("--tokens-per-ms", type=float, default=56.6)
    parser.add_argument("--step-ms", type=float, default=3.8)
    parser.add_argument("--slow-factor", type=float, default=1.3)
    parser.add_argument("--skew", type=float, default=0.3)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--seeds", type=int, default=20)
    asked = vars(parser.parse_args())
    seeds = asked.pop("seeds")
    bound = Bound(**asked)
    print("| candidates | parts move | late | worth of the largest tenth |")
    print("| --- | --- | --- | --- |")
    for parts_move in (False, True):
        for candidates in (1, 2, 4, bound.hosts):
            plays = [play(bound, candidates, parts_move, seed) for seed in range(seeds)]
            late = fmean(one.late for one in plays)
            largest = fmean(one.largest_tenth for one in plays)
            print(f"| {candidates} | {'yes' if parts_move else 'no'} | {late:.3f} | {largest:.3f} |")


if __name__ == "__main__":
    main()
