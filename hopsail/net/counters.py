"""What the balancer takes in, sends and answers, counted; printed as one line of JSON."""

import json
from collections import Counter

from .log import line


class Counters:
    def __init__(self, name):
        self.name, self.counts = name, Counter()

    def add(self, what, number=1):
        self.counts[what] += number

    def print(self, why, **now):
        """One line: counts since the start under `area.word` names, and what stands open now."""
        line(
            "counters", json.dumps({"name": self.name, "why": why} | now | dict(sorted(self.counts.items())))
        )
