"""A bounded table of parts that sources should keep since they have read them, until reports confirm it."""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple


class Expectation(NamedTuple):
    """A part that a source should keep since it has read it."""

    life: int
    tokens: int
    until: int  # ns


class Expectations:
    """At most `most` pairs of a part (by its hash) and a source; the oldest go first."""

    def __init__(self, most: int):
        self.most = most
        self.pairs: OrderedDict[tuple[int, str], Expectation] = OrderedDict()
        self.by_part: dict[int, set[str]] = {}  # sources with an expectation

    def set(self, part: int, host: str, expectation: Expectation) -> None:
        """Note an expectation in place of an earlier one."""
        pair = (part, host)
        if pair in self.pairs:
            self.pairs.move_to_end(pair)
        else:
            self.by_part.setdefault(part, set()).add(host)
        self.pairs[pair] = expectation
        if len(self.pairs) > self.most:
            self.drop(*next(iter(self.pairs)))

    def get(self, part: int, host: str) -> Expectation | None:
        """The expectation of one pair, also one that has lapsed."""
        return self.pairs.get((part, host))

    def hosts(self, part: int) -> Collection[str]:
        """Sources that should keep a part, also those whose expectation has lapsed."""
        return self.by_part.get(part, ())

    def drop(self, part: int, host: str) -> None:
        """Forget the expectation of one pair, if there is one."""
        if self.pairs.pop((part, host), None) is None:
            return
        hosts = self.by_part[part]
        hosts.discard(host)
        if not hosts:
            del self.by_part[part]
