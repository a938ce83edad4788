"""Index of the hosts (and stores) that keep parts of prompts, from their late and gappy reports.

A source is a host by its instance id or a store by its address. Every source has a life: what was known of an
earlier one is void at once, and its entries make room as the least recently touched. Entries are keyed by a
60-bit hash of salt and identifier; a clash could only name a source that turns out not to have the part.

An index is filled by events and lists of the sources themselves (control plane), or by feeds that tell and
retract entries on behalf of the sources (data plane), besides what the sources are expected to keep.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ..model import SECOND
from .expectations import Expectation, Expectations
from .kept_entries import MOST_FEEDS, KeptEntries
from .kept_events import AppliedEvents, KeptChange, read_event, read_retained
from .prefix import Part

LEAST_TOKENS = 256  # a smaller part is not worth an entry
BLOCK_TOKENS = 16  # hosts keep whole blocks: a part that lacks less than one is kept whole
EXPECTATION_NS = 20 * SECOND  # an expectation that nothing confirms lapses
EXPECTED_SHARE = 4  # expectations are at most one for so many entries
MOST_SOURCES = 16_384
HASH_MASK = (1 << 60) - 1  # as many bits as fit the smallest integer object


class Source:
    """What is known of one host or store beside its entries."""

    __slots__ = ("life", "entries_life", "incarnation", "next_token", "needs_list")

    def __init__(self, life: int):
        self.life = life  # of expectations: changes with the incarnation
        self.entries_life = life  # of entries: also changes with each whole list
        self.incarnation: int | None = None
        self.next_token = 0
        self.needs_list = True


class KeptIndex:
    """Which sources keep which parts: at most `max_entries` pairs of a part and a source.

    Parts below `least_tokens` are not kept track of. Within a prompt they count as kept when a larger part
    after them is.
    """

    def __init__(self, max_entries: int, least_tokens: int = LEAST_TOKENS, max_sources: int = MOST_SOURCES):
        self.least_tokens = least_tokens
        self.max_sources = max_sources
        self._lives = 0
        self._sources: OrderedDict[str, Source] = OrderedDict()  # the least recently heard of first
        self._feeds: dict[str, int] = {}  # bit of each feed that tells entries
        self._names: dict[int, str] = {}  # of sources, by the life of their entries
        self._entries = KeptEntries(max_entries, self._names)
        self._expectations = Expectations(max(1, max_entries // EXPECTED_SHARE))
        self._latest = 0  # ns

    def __len__(self) -> int:
        """Pairs of a part and a source, also those of lives that are over and not yet replaced."""
        return len(self._entries)

    def apply_events(
        self, host: str, incarnation: int, next_token: int, missing: bool, events: Iterable[Sequence]
    ) -> AppliedEvents:
        """Takes in an answer to a call for the events since `since(host)`.

        Events that were seen before are passed over; after a gap what they say still counts. A new
        incarnation drops all that was known of the source, which is not listed among the changes.
        """
        changes: list[KeptChange] = []
        unreadable = 0
        source = self._source(host)
        if source.incarnation != incarnation:
            self._begin_incarnation(host, source, incarnation)
        if missing:
            source.needs_list = True
        for values in events:
            event = read_event(values)
            if event is None:
                source.needs_list = True
                unreadable += 1
            elif event.number > source.next_token:
                changes.append(self._apply_event(host, source, event))
        if next_token > source.next_token:
            source.needs_list = True
            source.next_token = next_token
        return AppliedEvents(changes, unreadable)

    def apply_list(self, host: str, incarnation: int, next_token: int, retained: Iterable[Sequence]) -> None:
        """Takes in a whole list in place of all that was known of the source's parts."""
        source = self._source(host)
        if source.incarnation not in (None, incarnation):
            source.life = self._new_life()
        self._drop_entries(host, source)
        source.incarnation = incarnation
        source.next_token = next_token
        source.needs_list = False
        for values in retained:
            part = read_retained(values)
            if part is not None:
                self._set(host, source, _hash(part.salt, part.identifier), part.tokens)

    def drop_entries(self, host: str) -> None:
        """Drops what the source was reported to keep, for instance after a gap; events go on as before."""
        source = self._sources.get(host)
        if source is not None:
            self._drop_entries(host, source)

    def rewind(self, host: str) -> None:
        """Has all events of the source's incarnation asked for again; entries stay."""
        source = self._sources.get(host)
        if source is not None:
            source.next_token = 0

    def tell(self, feed: str, host: str, salt: str, identifier: str, tokens: int) -> None:
        """A feed tells that the source keeps so many tokens of the part; the latest word counts.

        Expectations stay. ValueError when there are more feeds than can be told apart."""
        bit = self._feed_bit(feed)
        life, key = self._source(host).entries_life, _hash(salt, identifier)
        if tokens < self.least_tokens:
            self._entries.remove(life, key)
        else:
            self._entries.set(life, key, tokens, bit)

    def retract(self, feed: str, host: str, salt: str, identifier: str) -> None:
        """The feed does not tell of the entry any more, which goes unless another feed still does."""
        source = self._sources.get(host)
        bit = self._feeds.get(feed)
        if source is not None and bit is not None:
            self._entries.retract(source.entries_life, _hash(salt, identifier), bit)

    def forget_feed(self, feed: str) -> None:
        """Drops a feed, with the entries that only it told."""
        bit = self._feeds.pop(feed, None)
        if bit is not None:
            self._entries.retract_all(bit)

    def forget_host(self, host: str) -> None:
        """Drops a source that has gone."""
        source = self._sources.pop(host, None)
        if source is not None:
            self._names.pop(source.entries_life, None)

    def needs_list(self, host: str) -> bool:
        """Whether events are known to be missing, so that only a whole list can tell what it keeps."""
        source = self._sources.get(host)
        return source is None or source.needs_list

    def since(self, host: str) -> int:
        """The `Since` of the next call for its events, 0 for an unknown source."""
        source = self._sources.get(host)
        return 0 if source is None else source.next_token

    def incarnation(self, host: str) -> int | None:
        """The source's incarnation as its last events or list told it."""
        source = self._sources.get(host)
        return None if source is None else source.incarnation

    def expect(
        self, host: str, salt: str, parts: Iterable[Part], now: int, lasting_ns: int = EXPECTATION_NS
    ) -> None:
        """Notes that the source has read, and so keeps, these parts; lapses unless reports confirm it."""
        self._latest = max(self._latest, now)
        source = self._source(host)
        for part in parts:
            if part.tokens >= self.least_tokens:
                expectation = Expectation(source.life, part.tokens, self._latest + lasting_ns)
                self._expectations.set(_hash(salt, part.identifier), host, expectation)

    def holders(self, salt: str, identifier: str, now: int | None = None) -> dict[str, int]:
        """Tokens of the part by source that keeps it or should. `now` is in ns, by default that of the last
        `expect`."""
        key = _hash(salt, identifier)
        found = {host: self._expected_tokens(host, key, now) for host in self._expectations.hosts(key)}
        for host, tokens in self._entries.holders(key):
            found[host] = max(tokens, found.get(host, 0))
        return {host: tokens for host, tokens in found.items() if tokens}

    def reported_holders(self, salt: str, identifier: str) -> dict[str, int]:
        """As `holders`, without those that are only expected to keep the part."""
        return dict(self._entries.holders(_hash(salt, identifier)))

    def keeps(self, host: str, salt: str, part: Part, now: int) -> bool:
        """Whether the source is reported to keep the whole part, or expected to at `now` (ns)."""
        key = _hash(salt, part.identifier)
        source = self._sources.get(host)
        if source is None:
            return part.tokens <= 0
        if self._entries.tokens(source.entries_life, key) >= part.tokens:
            return True
        expectation = self._expectations.get(key, host)
        return expectation is not None and expectation.until > now and expectation.life == source.life

    def kept_prefix(self, host: str, salt: str, parts: Iterable[Part], now: int | None = None) -> int:
        """Tokens of the prompt's beginning that the source keeps or should.

        Ends with the first part that is not kept whole; what is kept of that one counts.
        """
        total = untracked = 0
        for part in parts:
            if part.tokens < self.least_tokens:
                untracked += part.tokens
                continue
            tokens = min(part.tokens, self._tokens(host, _hash(salt, part.identifier), now))
            if tokens == 0:
                break
            total += untracked + tokens
            untracked = 0
            if tokens + BLOCK_TOKENS <= part.tokens:
                break
        return total

    def _source(self, host):
        source = self._sources.get(host)
        if source is not None:
            self._sources.move_to_end(host)
        else:
            while len(self._sources) >= self.max_sources:
                self.forget_host(next(iter(self._sources)))
            life = self._new_life()
            source = self._sources[host] = Source(life)
            self._names[life] = host
        return source

    def _feed_bit(self, feed):
        bit = self._feeds.get(feed)
        if bit is None:
            taken = set(self._feeds.values())
            free = [1 << place for place in range(MOST_FEEDS) if 1 << place not in taken]
            if not free:
                raise ValueError(f"more than {MOST_FEEDS} feeds tell entries")
            bit = self._feeds[feed] = free[0]
        return bit

    def _new_life(self):
        self._lives += 1
        return self._lives

    def _begin_incarnation(self, host, source, incarnation):
        """A new start keeps nothing from before; its events from the first on tell all that it keeps."""
        if source.incarnation is not None:
            source.life = self._new_life()
        self._drop_entries(host, source)
        source.incarnation = incarnation
        source.next_token = 0
        source.needs_list = False

    def _drop_entries(self, host, source):
        del self._names[source.entries_life]
        source.entries_life = self._new_life()
        self._names[source.entries_life] = host

    def _apply_event(self, host, source, event):
        if event.number != source.next_token + 1:
            source.needs_list = True
        source.next_token = event.number
        key = _hash(event.salt, event.identifier)
        if event.sign == "-":
            self._expectations.drop(key, host)
        self._set(host, source, key, event.tokens)
        tokens = event.tokens if event.tokens >= self.least_tokens else None
        return KeptChange(event.salt, event.identifier, tokens, event.sign == "+")

    def _set(self, host, source, key, tokens):
        """Notes what the source keeps of a part now."""
        if tokens < self.least_tokens:
            self._entries.remove(source.entries_life, key)
            return
        self._expectations.drop(key, host)
        self._entries.set(source.entries_life, key, tokens)

    def _tokens(self, host, key, now):
        source = self._sources.get(host)
        if source is None:
            return 0
        tokens = self._entries.tokens(source.entries_life, key)
        return max(tokens, self._expected_tokens(host, key, now))

    def _expected_tokens(self, host, key, now):
        expectation = self._expectations.get(key, host)
        if expectation is None:
            return 0
        source = self._sources.get(host)
        over = expectation.until <= (self._latest if now is None else now)
        if over or source is None or source.life != expectation.life:
            return 0
        return expectation.tokens


def _hash(salt: str, identifier: str) -> int:
    return hash((salt, identifier)) & HASH_MASK
