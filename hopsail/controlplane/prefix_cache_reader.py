"""Reads what hosts and stores keep of prompts, for the services whose part is led here, and feeds it on.

Events are read at a slow pace, since each call that does not wait is priced like a probe. After a gap all
that was known of that source is dropped: a missing entry costs a move that finds the part elsewhere, a false
one the time of a move that finds nothing."""

import json
from typing import NamedTuple

from ..event_log import get_logger
from ..feed.store_status import StoreStatus, encode_store
from ..feed.topics import Topic
from ..hosts.instance import InstanceError, Phase, parse_address
from ..prompts.kept import KeptIndex
from ..prompts.kept_events import KeptChange
from .host_caller import HostCaller
from .shards import shard_of_service

log = get_logger("store")

MILLISECOND = 1_000_000
CHECK_INTERVAL_MS = 100
HOST_INTERVAL_NS = 2500 * MILLISECOND
STORE_INTERVAL_NS = 800 * MILLISECOND
CALL_TIMEOUT_NS = 300 * MILLISECOND
MIN_TOKENS = 512  # smaller parts are cheaper to read again than to find
MAX_ENTRIES_PER_SOURCE = 4096  # entries that are fed on for one source
MAX_ENTRIES = 200_000  # that are fed on for all sources together: the feed has other topics, too


class _Source:
    """A host or a store, and what is fed on of it."""

    __slots__ = ("address", "entries", "name", "next_at", "service", "store")

    def __init__(self, name: str, service: str, address, store: bool):
        self.name, self.service, self.address, self.store = name, service, address, store
        self.next_at = 0
        self.entries: dict[str, None] = {}  # keys in the feed, the oldest first


class _Desired(NamedTuple):
    """Who is to be read."""

    service: str
    address: tuple[str, int]
    store: bool


class _Events(NamedTuple):
    """One answer."""

    incarnation: int
    next_token: int
    missing: bool
    log: list


class PrefixCacheReader:
    """Keeps the feed's entries of cached prefixes up with their sources, whose events the index folds."""

    def __init__(self, process: HostCaller) -> None:
        """Begins at once."""
        self.process, self.journal = process, process.journal
        self.sources: dict[str, _Source] = {}
        self.index = KeptIndex(MAX_ENTRIES, MIN_TOKENS)
        self._check()

    def _check(self) -> None:
        self.process.after(CHECK_INTERVAL_MS, self._check)
        if self.process.table is None:
            return
        now = self.process.loop.now()
        desired = self._desired_sources()
        with self.journal.batch():
            for name, source in list(self.sources.items()):
                if name not in desired or desired[name].service != source.service:
                    self._forget(self.sources.pop(name))
        for name, found in desired.items():
            source = self.sources.get(name)
            if source is None:
                source = self.sources[name] = _Source(name, *found)
            if now >= source.next_at:
                source.next_at = now + (STORE_INTERVAL_NS if source.store else HOST_INTERVAL_NS)
                self._ask(source)

    def _desired_sources(self) -> dict[str, _Desired]:
        """Holders of the services whose part is led here, by name."""
        desired = {}
        for service in self.process.table.service_names:
            if not self.process.shards[shard_of_service(service)].leads:
                continue
            if self.process.table.models_of(service):
                for instance in self.process.platform.view.by_service(service):
                    if instance.phase is Phase.SERVING:
                        desired[instance.identifier] = _Desired(service, tuple(instance.address), False)
        for store in self.process.table.stores:
            if self.process.shards[shard_of_service(store["Name"])].leads:
                try:
                    address = parse_address(store["StoreAddr"])
                    name = str(address)  # as data planes name it to hosts
                    desired[name] = _Desired(store["Name"], tuple(address), True)
                except InstanceError:
                    self.process.counters.add("stores.unreadable")
        return desired

    def _ask(self, source: _Source) -> None:
        self.process.counters.add("kept.calls")
        path = f"/-/kv-events?Since={self.index.since(source.name)}"
        self.process.http.call(
            source.address,
            "GET",
            path,
            timeout=CALL_TIMEOUT_NS,
            done=lambda response: self._answered(source, response),
        )

    def _answered(self, source: _Source, response) -> None:
        if self.sources.get(source.name) is not source:
            return
        events = _decode_events(response)
        with self.journal.batch():
            if source.store:
                self._publish_store_status(source, response is not None)
            if events is not None:
                self._apply(source, events)

    def _publish_store_status(self, source: _Source, up: bool) -> None:
        """Feeds on whether a store answers, with the term of who says so."""
        term = self.process.shards[shard_of_service(source.service)].replica.term
        if self.journal.set(Topic.STORE, source.service, encode_store(StoreStatus(term, up))):
            log.info("%s is %s, term %s", source.service, "up" if up else "down", term)

    def _apply(self, source: _Source, events: _Events) -> None:
        known = self.index.incarnation(source.name)
        if events.missing or events.incarnation != known:
            if known is not None:
                self.process.counters.add("kept.gaps")
            self._drop(source)
        applied = self.index.apply_events(source.name, *events)
        if known not in (None, events.incarnation):
            self.index.rewind(source.name)  # `Since` was of the earlier incarnation
        if applied.unreadable:
            self.process.counters.add("kept.unreadable", applied.unreadable)
        for change in applied.changes:
            self._publish(source, change)

    def _publish(self, source: _Source, change: KeptChange) -> None:
        """Takes one change of what a source keeps over into the feed."""
        name_text = change.salt + change.identifier
        if not name_text.isascii():  # no header could name it
            self.process.counters.add("kept.unreadable")
            return
        key = f"{source.name} {change.salt} {change.identifier}"
        kind = "store" if source.store else "host"
        self.process.counters.add(f"kept.{kind}.{'added' if change.grown else 'dropped'}")
        if change.tokens is not None and change.salt and " " not in name_text:
            source.entries.pop(key, None)
            source.entries[key] = None
            self.journal.set(Topic.PREFIX_CACHE, key, str(change.tokens).encode())
            while len(source.entries) > self._most_entries:
                self._remove(source, next(iter(source.entries)))
        elif key in source.entries:
            self._remove(source, key)

    @property
    def _most_entries(self) -> int:
        """Entries that are fed on for each source."""
        return min(MAX_ENTRIES_PER_SOURCE, MAX_ENTRIES // max(1, len(self.sources)))

    def _forget(self, source: _Source) -> None:
        """The source has gone, or is another process's to read."""
        self._drop(source)
        self.index.forget_host(source.name)
        if source.store:
            self.journal.remove(Topic.STORE, source.service)

    def _remove(self, source: _Source, key: str) -> None:
        del source.entries[key]
        self.journal.remove(Topic.PREFIX_CACHE, key)

    def _drop(self, source: _Source) -> None:
        self.index.drop_entries(source.name)
        for key in list(source.entries):
            self._remove(source, key)


def _decode_events(response) -> _Events | None:
    if response is None or response.status != 200:
        return None
    try:
        tree = json.loads(response.body)
        return _Events(
            int(tree["Incarnation"]), int(tree["NextToken"]), bool(tree["Missing"]), list(tree["EventLog"])
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
