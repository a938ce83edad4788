"""Plays many schedules of the simulation of the whole control side, and prints the shortest one that fails.

    PYTHONPATH=.:tests python benchmarks/control_schedules.py --seeds 0..2000 --jobs 4 [--steps 16]
        [--profile NAME]

`--shrink N`: of how many failing seeds the shortest schedule is looked for. Prints a line for each failing
seed, and figures of all. The order in which the programs go through sets of names is part of a play: it comes
from PYTHONHASHSEED, 0 unless it is set, so that a seed plays alike in each run of this script."""

import argparse
import os
import sys
from collections import Counter
from functools import partial
from multiprocessing import Pool
from time import monotonic, process_time
from typing import NamedTuple

from simulation.draw import PROFILES, draw
from simulation.invariants import Invariant, Violation
from simulation.play import play
from simulation.shrink import breaks, shrink


HASH_SEED = "PYTHONHASHSEED"


def fix_hash_seed() -> None:
    """Begins this process anew with a hash seed, unless it has one: it can't be set in a running one."""
    if not os.environ.get(HASH_SEED, "random").isdigit():
        os.execve(sys.executable, [sys.executable, *sys.argv], os.environ | {HASH_SEED: "0"})


class Played(NamedTuple):
    """What came of a seed."""

    seed: int
    invariant: str
    text: str
    figures: dict[str, int]
    seconds: float


def play_seed(seed: int, length: int, profile: str) -> Played:
    """Plays one schedule."""
    began = process_time()
    invariant = text = ""
    figures: dict[str, int] = {}
    try:
        figures = play(draw(seed, length, profile)).checker.figures
    except Violation as violation:
        invariant, text = violation.invariant.name, str(violation)
    except Exception as error:  # a fault of a program or of the simulation: told like a violation
        invariant, text = type(error).__name__, str(error)
    return Played(seed, invariant, text, figures, process_time() - began)


def print_shortest(failed: Played, length: int, profile: str) -> None:
    """Looks for a shortest schedule that breaks the same invariant."""
    schedule = draw(failed.seed, length, profile)
    if failed.invariant in Invariant.__members__:
        schedule = shrink(schedule, breaks(Invariant[failed.invariant]))
    print(f"shortest of seed {failed.seed}: {schedule}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="0..200", help="FIRST..LAST, the last one left out")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--steps", type=int, default=16)
    parser.add_argument("--shrink", type=int, default=1)
    parser.add_argument("--profile", default="", choices=["", *PROFILES])
    chosen = parser.parse_args()
    first, _, last = chosen.seeds.partition("..")
    seeds = range(int(first), int(last or int(first) + 1))
    began, failed, figures, cost = monotonic(), [], Counter(), 0.0
    with Pool(chosen.jobs) as pool:
        work = partial(play_seed, length=chosen.steps, profile=chosen.profile)
        for played in pool.imap_unordered(work, seeds, chunksize=4):
            cost += played.seconds
            figures.update(played.figures)
            if played.invariant:
                failed.append(played)
                print(f"seed {played.seed}: {played.text}", flush=True)
    for played in sorted(failed)[: chosen.shrink]:
        print_shortest(played, chosen.steps, chosen.profile)
    kinds = Counter(played.invariant for played in failed)
    print(f"{len(seeds)} schedules, {len(failed)} failed: {dict(kinds)}; {dict(figures)}")
    print(f"{monotonic() - began:.1f} s, {1000 * cost / len(seeds):.0f} ms of processor time each")
    return 1 if failed else 0


if __name__ == "__main__":
    fix_hash_seed()
    sys.exit(main())
