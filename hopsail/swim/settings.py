"""The settings of the fleet's view: checked, with the bounds that follow from them. No I/O."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import ceil, log2, log10

# Not those of `hopsail.model`, whose import would take longer than that of all the rest here.
MS = 1_000_000
SECOND = 1_000_000_000
LEAST_SIZE, MOST_SIZE = 256, 1400  # bytes of a datagram: a small fleet's news, and what no way cuts up
LONGEST_NAME = 32  # bytes: a message with two names and an entry fits into the smallest datagram
MOST_MEMBERS = 4096  # of a view; further names are refused
LEAST_KEY = 16  # bytes of a key
MOST_KEYS, MOST_SEEDS, MOST_STEWARDS = 4, 16, 9
HELPERS = 3  # members that try in the place of one whose probe failed
DOUBTS = 3  # independent doubts after which a suspicion has its shortest time
SUSPECT_TIMES = 4  # periods, times log10 of the members: the least time to defend oneself
SUSPECT_MOST = 3  # times that, for a doubt that nobody shares
AWARE_MOST = 3  # how far a member slows down that has noticed its own lateness
NEWS_TIMES = 3  # times log2 of the members that each piece of news is sent
SEARCH = 8  # periods in which some member surely probes another: all miss it with 1 in 3,000
RETRY = 2  # periods between tries to reach members that are gone
RESERVE = 0.5  # of an equal part is a balancer's own, with or without a lease
DRIFT = 0.02  # between two clocks, of the time that they measure


class RulesFault(ValueError):
    """The settings cannot be used; the text names the key."""


@dataclass(frozen=True)
class Rules:
    """Times in ns, sizes in bytes."""

    name: str
    fleet: str
    listen: tuple[str, int]
    place: tuple[str, int]  # where others reach this member
    keys: tuple[bytes, ...]  # the first signs, all are taken
    seeds: tuple[tuple[str, int], ...] = ()
    stewards: tuple[str, ...] = ()
    period: int = SECOND
    size: int = 512
    lease: int = 6 * SECOND
    remember: int = 600 * SECOND
    folder: str | None = None  # where the life is kept

    @property
    def patience(self):
        """For a probe's answer before others are asked to try."""
        return self.period * 3 // 10


def spread(rules: Rules, members: int) -> int:
    """ns in which news reaches all, of so many members, with rumours sent each period."""
    return rules.period * NEWS_TIMES * ceil(log2(members + 1))


def suspicion(rules: Rules, members: int, doubts: int = 1) -> int:
    """ns that a suspected member has to defend itself, when so many members doubt it."""
    least = SUSPECT_TIMES * max(1.0, log10(max(1, members)))
    share = min(1.0, log2(doubts) / log2(DOUBTS)) if doubts > 1 else 0.0
    return int(rules.period * least * (SUSPECT_MOST - (SUSPECT_MOST - 1) * share))


def bounds(rules: Rules, members: int) -> dict[str, int]:
    """ns within which a crash is noticed, views are equal after a fault, and a lost part is dealt anew."""
    slow = 1 + AWARE_MOST / 2  # a fault makes those next to it slow down, and they recover on the way
    detect = int(slow * rules.period * (SEARCH + 1)) + suspicion(rules, members)
    # A cut that heals: one of the lost is tried each RETRY, views are compared, each lost one defends itself.
    rounds = (RETRY + 2) * (3 + log2(members + 1))
    settle = detect + 2 * spread(rules, members) + int(slow * rules.period * rounds)
    dealt = int(rules.lease * (1 + DRIFT) * 4 / 3) + rules.period
    return {"detect": detect, "settle": settle, "dealt": dealt}


def read(tree: Mapping, name: str, folder: str | None, place: Callable) -> Rules:
    """The rules from the configuration's `view`; `place(text, least)` reads host:port."""

    def one(key, kind, default=None, needed=False):
        value = tree.get(key, default)
        if (value is None and needed) or (value is not None and not isinstance(value, kind)) or value is True:
            raise RulesFault(f"view.{key} holds {value!r:.80}" if key in tree else f"view.{key} is missing")
        return value

    def number(key, least, most, default):
        value = one(key, int, default)
        if not least <= value <= most:
            raise RulesFault(f"view.{key} holds {value}: {least} to {most} is needed")
        return value

    def places(key, least=1):
        text = one(key, str, needed=True)
        try:
            return place(text, least)
        except ValueError as fault:
            raise RulesFault(f"view.{key}: {fault}") from None

    def texts(key, most):
        values = one(key, list, [])
        if len(values) > most or not all(isinstance(value, str) for value in values):
            raise RulesFault(f"view.{key} holds {values!r:.80}: at most {most} texts are needed")
        return values

    if unknown := tree.keys() - KEYS:
        raise RulesFault(f"view.{min(unknown)} is unknown; there are {', '.join(sorted(KEYS))}")
    if not 0 < len(name.encode()) <= LONGEST_NAME:
        raise RulesFault(f"name holds {name!r:.80}: with `view`, 1 to {LONGEST_NAME} bytes are needed")
    keys = []
    for text in texts("keys", MOST_KEYS):
        try:
            keys.append(bytes.fromhex(text))
        except ValueError:
            raise RulesFault("view.keys: a key is no hexadecimal number") from None
        if not LEAST_KEY <= len(keys[-1]) <= 64:
            raise RulesFault(f"view.keys: a key has {len(keys[-1])} bytes; {LEAST_KEY} to 64 are needed")
    if not keys:
        raise RulesFault("view.keys is missing: strangers must not join")
    seeds = []
    for text in texts("seeds", MOST_SEEDS):
        try:
            seeds.append(place(text, 1))
        except ValueError as fault:
            raise RulesFault(f"view.seeds: {fault}") from None
    stewards = texts("stewards", MOST_STEWARDS)
    if len(set(stewards)) != len(stewards) or not all(0 < len(s.encode()) <= LONGEST_NAME for s in stewards):
        raise RulesFault("view.stewards: each needs another name, and one that a balancer can have")
    fleet = one("fleet", str, needed=True)
    if not fleet:
        raise RulesFault("view.fleet is empty")
    listen = places("listen")
    return Rules(
        name=name, fleet=fleet, listen=listen, place=places("advertise") if "advertise" in tree else listen,
        keys=tuple(keys), seeds=tuple(seeds), stewards=tuple(stewards),
        period=number("period_ms", 50, 60_000, 1000) * MS,
        size=number("datagram", LEAST_SIZE, MOST_SIZE, 512),
        lease=number("lease_ms", 500, 600_000, 6000) * MS,
        remember=number("remember_s", 60, 86_400, 600) * SECOND,
        folder=one("folder", str, folder),
    )  # fmt: skip


KEYS = {"fleet", "listen", "advertise", "keys", "seeds", "stewards", "period_ms", "datagram", "lease_ms",
        "remember_s", "folder"}  # fmt: skip
