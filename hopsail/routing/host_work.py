"""Work that all senders have under way at hosts, and how fast hosts read: what a registrar knows.

A host reads prompts one after the other. The registrar of a host is told of each long prompt when it is sent
and again when its answer begins, so it knows what stands before a further one, whoever sent it. Entries lapse
by themselves, as the end of one may get lost on its way. No I/O."""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import isfinite

from ..model import MS, SECOND

RATE_HALF_NS = 10 * SECOND  # half-life of what is known of a host's speed
MOST_HOSTS = 4096  # the one told of the longest ago goes first
MOST_ENTRIES = 256  # prompts under way at one host; the oldest goes first

EntryKey = tuple[str, int]
"""A sender's address and its number for the prompt."""


@dataclass(frozen=True, slots=True)
class Backlog:
    """What a registrar tells of one host."""

    waiting: float = 0.0  # tokens that it has still to read
    read: float = 0.0  # tokens read lately, older ones decayed
    read_ms: float = 0.0  # in which it read them


def is_sound(backlog: Backlog) -> bool:
    """Whether all figures can be true: what came by a datagram may be spoilt."""
    return all(
        isfinite(figure) and figure >= 0 for figure in (backlog.waiting, backlog.read, backlog.read_ms)
    )


@dataclass(slots=True)
class _Entry:
    tokens: float
    until: int  # ns, when it lapses
    began: int  # ns, when the host can have begun to read it


@dataclass(slots=True)
class _Host:
    entries: OrderedDict[EntryKey, _Entry] = field(default_factory=OrderedDict)
    read: float = 0.0
    read_ms: float = 0.0
    as_of: int = 0  # ns of the decay of `read` and `read_ms`


class HostWork:
    """Prompts under way at the hosts that this process is the registrar of."""

    def __init__(self, most_hosts: int = MOST_HOSTS, most_entries: int = MOST_ENTRIES):
        self.most_hosts, self.most_entries = most_hosts, most_entries
        self._hosts: OrderedDict[str, _Host] = OrderedDict()

    def __len__(self) -> int:
        return len(self._hosts)

    def begin(self, now: int, host: str, key: EntryKey, tokens: float, lasting_ns: int) -> None:
        """A prompt of so many unread tokens has been sent to the host; it lapses after `lasting_ns`."""
        known = self._host(host)
        known.entries[key] = _Entry(tokens, now + lasting_ns, now)
        if len(known.entries) > self.most_entries:
            known.entries.popitem(last=False)

    def end(self, now: int, host: str, key: EntryKey, is_sample: bool) -> None:
        """The prompt is read, or given up; `is_sample` tells that its time shows the host's speed."""
        known = self._hosts.get(host)
        entry = known.entries.get(key) if known is not None else None
        if entry is None:
            return
        is_first = next(iter(known.entries)) == key
        if is_sample and is_first and now > entry.began:
            self._decay(now, known)
            known.read += entry.tokens
            known.read_ms += (now - entry.began) / MS
        del known.entries[key]
        if is_first and known.entries:
            following = next(iter(known.entries.values()))
            following.began = max(following.began, now)

    def backlog(self, now: int, host: str) -> Backlog:
        """What is known of the host; all 0 when nothing is."""
        known = self._hosts.get(host)
        if known is None:
            return Backlog()
        self._lapse(now, known)
        self._decay(now, known)
        return Backlog(self._waiting(now, known), known.read, known.read_ms)

    def _waiting(self, now: int, known: _Host) -> float:
        waiting = sum(entry.tokens for entry in known.entries.values())
        if not known.entries or known.read_ms <= 0:
            return waiting
        first = next(iter(known.entries.values()))
        done = (now - first.began) / MS * known.read / known.read_ms
        return waiting - min(first.tokens, max(0.0, done))

    def _host(self, name: str) -> _Host:
        known = self._hosts.get(name)
        if known is None:
            known = self._hosts[name] = _Host()
        self._hosts.move_to_end(name)
        if len(self._hosts) > self.most_hosts:
            self._hosts.popitem(last=False)
        return known

    def _lapse(self, now: int, known: _Host) -> None:
        lapsed = [key for key, entry in known.entries.items() if entry.until <= now]
        for key in lapsed:
            del known.entries[key]
        if lapsed and known.entries:
            first = next(iter(known.entries.values()))
            first.began = max(first.began, now)

    def _decay(self, now: int, known: _Host) -> None:
        factor = 0.5 ** (max(0, now - known.as_of) / RATE_HALF_NS)
        known.read *= factor
        known.read_ms *= factor
        known.as_of = max(now, known.as_of)


class ReadingRate:
    """How fast hosts read, as one sender has been told: what is told of one host is drawn to the mean."""

    PRIOR_MS = 500.0  # reading by the mean counts as much as so many ms of the host's own
    MOST_PLAUSIBLE = 1.5  # times the typical speed: what was faster had parts kept that nobody knew of

    def __init__(self, half_ns: int = RATE_HALF_NS):
        self.half_ns = half_ns
        self._read = self._read_ms = 0.0
        self._as_of = 0

    @property
    def typical(self) -> float | None:
        """Tokens per ms of the hosts seen, None before any was."""
        return self._read / self._read_ms if self._read_ms > 0 else None

    def note(self, now: int, backlog: Backlog) -> None:
        """Takes in what a registrar has told of a host."""
        if backlog.read_ms <= 0:
            return
        factor = 0.5 ** (max(0, now - self._as_of) / self.half_ns)
        self._read = self._read * factor + backlog.read
        self._read_ms = self._read_ms * factor + backlog.read_ms
        self._as_of = max(now, self._as_of)

    def shows_speed(self, tokens: float, took_ms: float) -> bool:
        """Whether a prompt that was answered after so long was read whole, as far as can be told."""
        typical = self.typical
        return typical is None or tokens <= self.MOST_PLAUSIBLE * typical * took_ms

    def of(self, backlog: Backlog) -> float | None:
        """Tokens per ms of one host, None when nothing is known of any."""
        typical = self.typical
        if typical is None:
            return None
        return (backlog.read + typical * self.PRIOR_MS) / (backlog.read_ms + self.PRIOR_MS)
