"""What the balancer takes in, sends and answers, counted; printed as one line of JSON."""

import json
import sys
from collections import Counter


class Counters:
    def __init__(self, name):
        self.name, self.counts = name, Counter()

    def add(self, what, number=1):
        self.counts[what] += number

    def print(self, why, **now):
        """One line: counts since the start under `area.word` names, and what stands open now."""
        line = {"name": self.name, "why": why} | now | dict(sorted(self.counts.items()))
        try:
            print(f"hopsail: counters: {json.dumps(line)}", file=sys.stderr, flush=True)
        except OSError:
            pass  # a closed log must not keep the balancer from its end
