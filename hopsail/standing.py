"""Which hosts the module may use: discovery's list and what operators took out by hand, merged without I/O.

The module needs no second way to drain or to warm a host up: one that is out is shown to it as draining, and
one that is called back as started at that moment, since operators restart it meanwhile, told or untold.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from .model import Listing, Scope, State

FORM = 1  # of a stored standing; another program's file must not pass for one
MOST_NAMES = 1000  # hosts out, and hosts called back, that are remembered
LONGEST_NAME = 256  # characters of a host's id


def number(name: bytes) -> int:
    """The same number for a host's name or a key at every balancer: the ring is made of them."""
    return int.from_bytes(blake2b(name, digest_size=8).digest(), "little")


class StandingFault(ValueError):
    """What was stored is no standing."""


@dataclass(frozen=True)
class Standing:
    """What operators have asked for and no restart may forget: equal at both processes of an upgrade."""

    out: frozenset[str] = frozenset()  # hosts taken out by hand
    back: dict[str, int] = field(default_factory=dict)  # when those that were out came back, Unix ns
    drained: bool = False  # this balancer takes no clients
    newest: int = 0  # number of the process that was started last

    def without(self, name: str) -> "Standing":
        if len(self.out) >= MOST_NAMES and name not in self.out:
            raise OverflowError("too many hosts are out")
        return replace(self, out=self.out | {name})

    def returned(self, name: str, now: int) -> "Standing":
        """The host may serve again. One that was not out stays as it is: its memory is not cold."""
        if name not in self.out:
            return self
        back = {n: at for n, at in self.back.items() if n != name} | {name: now}
        for oldest in list(back)[: max(0, len(back) - MOST_NAMES)]:
            del back[oldest]
        return replace(self, out=self.out - {name}, back=back)

    def draining(self, drained: bool) -> "Standing":
        return replace(self, drained=drained)

    def as_newest(self, process: int) -> "Standing":
        return replace(self, newest=process)

    def encode(self) -> bytes:
        tree = {"form": FORM, "out": sorted(self.out), "back": self.back, "drained": self.drained,
                "newest": self.newest}  # fmt: skip
        return json.dumps(tree).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Standing":
        try:
            tree = json.loads(data)
            if tree["form"] != FORM:
                raise StandingFault(f"form {tree['form']!r:.80}")
            out, back, drained, newest = tree["out"], tree["back"], tree["drained"], tree["newest"]
            named = all(isinstance(name, str) and len(name) <= LONGEST_NAME for name in [*out, *back])
            times = all(type(at) is int and 0 <= at < 2**63 for at in [*back.values(), newest])
            if not (named and times and type(drained) is bool and type(out) is list):
                raise StandingFault("a value of the wrong kind")
            if max(len(out), len(back)) > MOST_NAMES:
                raise StandingFault("more names than there can be")
        except (KeyError, TypeError, AttributeError, ValueError, RecursionError) as fault:
            raise StandingFault(f"{type(fault).__name__} {fault}"[:200]) from None
        return cls(frozenset(out), back, drained, newest)


class Membership:
    """The list as discovery tells it, and as the module is told it."""

    def __init__(self, only_drains: bool = False):
        self.only_drains = only_drains  # what the list drops without draining is still in use
        self.listed: dict[int, Listing] = {}  # as discovery has it, without those that are gone
        self.dropped: dict[int, Listing] = {}  # what it dropped so: staff must be able to take it out, too
        self.out: set[int] = set()
        self.back: dict[int, int] = {}

    def heard(self, scope: Scope, entries: Iterable[Listing]) -> list[Listing]:
        """An update from discovery; what the module is told of it. An entry with no kind is one of which only
        the name could be read: that host, where it is known, is as it was, and drains."""
        entries = [self._known(entry) if entry.kind is None else entry for entry in entries]
        entries = [entry for entry in entries if entry is not None]
        kept = {entry.name for entry in entries if entry.state is not State.GONE}
        gone = self.listed.keys() - kept if scope is Scope.WHOLE else {entry.name for entry in entries} - kept
        for name in sorted(gone & self.listed.keys()):
            entry = self.listed.pop(name)
            if self.only_drains and entry.state is State.READY:
                self.dropped[name] = entry
        for entry in entries:
            if entry.state is not State.GONE:
                self.listed[entry.name] = entry
                self.dropped.pop(entry.name, None)
        for oldest in list(self.dropped)[: max(0, len(self.dropped) - MOST_NAMES)]:
            del self.dropped[oldest]
        return [self.shown(entry) for entry in entries]

    def _known(self, entry: Listing) -> Listing | None:
        old = self.listed.get(entry.name)
        return None if old is None else old._replace(state=State.DRAINING)

    def adopt(self, standing: Standing) -> list[Listing]:
        """What operators ask for from now on; the entries that the module must be told anew."""
        before = {name: self.shown(entry) for name, entry in (self.dropped | self.listed).items()}
        self.out = {number(name.encode()) for name in standing.out}
        self.back = {number(name.encode()): at for name, at in standing.back.items()}
        after = [self.shown(entry) for entry in self.listed.values()]
        # A dropped host that is taken out is drained like others; called back, it waits for the list.
        after += [e for e in map(self.shown, self.dropped.values()) if e.state is State.DRAINING]
        return [entry for entry in after if entry != before[entry.name]]

    def shown(self, entry: Listing) -> Listing:
        if entry.state is State.GONE:
            return entry
        # A start that discovery tells and that is later than the call back is the truth.
        entry = entry._replace(started=max(entry.started, self.back.get(entry.name, 0)))
        if entry.name in self.out and entry.state is State.READY:
            entry = entry._replace(state=State.DRAINING)
        return entry

    def has(self, name: str) -> bool:
        return number(name.encode()) in self.listed.keys() | self.dropped.keys()
