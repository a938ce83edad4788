"""Reads what hosts and stores keep of prompts, for the services whose part is led here, and feeds it on.

Events are read at a slow pace, since each call that does not wait is priced like a probe. After a gap all
that was known of that holder is dropped: a missing entry costs a move that finds the part elsewhere, a false
one the time of a move that finds nothing."""

import json
from typing import NamedTuple

from ..event_log import get_logger
from ..feed.store_status import StoreStatus, encode_store
from ..feed.topics import Topic
from ..hosts.instance import InstanceError, Phase, parse_address
from ..prompts.kept import KeptIndex
from ..prompts.kept_events import KeptChange
from .parts import part_of_service

log = get_logger("store")

MILLISECOND = 1_000_000
LOOK_EVERY_MS = 100
HOST_EVERY = 2500 * MILLISECOND
STORE_EVERY = 800 * MILLISECOND
CALL_TIMEOUT = 300 * MILLISECOND
LEAST_TOKENS = 512  # smaller parts are cheaper to read again than to find
MOST_PER_HOLDER = 4096  # entries that are fed on for one holder
MOST_ENTRIES = 200_000  # that are fed on for all holders together: the feed has other topics, too


class _Holder:
    """A host or a store, and what is fed on of it."""

    __slots__ = ("address", "entries", "name", "next_at", "service", "store")

    def __init__(self, name: str, service: str, address, store: bool):
        self.name, self.service, self.address, self.store = name, service, address, store
        self.next_at = 0
        self.entries: dict[str, None] = {}  # keys in the feed, the oldest first


class _Wanted(NamedTuple):
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


class KeptReader:
    """Keeps the feed's entries of kept parts up with their holders, whose events the index folds."""

    def __init__(self, plane):
        self.plane, self.journal = plane, plane.journal
        self.holders: dict[str, _Holder] = {}
        self.index = KeptIndex(MOST_ENTRIES, LEAST_TOKENS)
        self._look()

    def _look(self) -> None:
        self.plane.after(LOOK_EVERY_MS, self._look)
        if self.plane.table is None:
            return
        now = self.plane.loop.now()
        wanted = self._wanted()
        with self.journal.batch():
            for name, holder in list(self.holders.items()):
                if name not in wanted or wanted[name].service != holder.service:
                    self._forget(self.holders.pop(name))
        for name, found in wanted.items():
            holder = self.holders.get(name)
            if holder is None:
                holder = self.holders[name] = _Holder(name, *found)
            if now >= holder.next_at:
                holder.next_at = now + (STORE_EVERY if holder.store else HOST_EVERY)
                self._ask(holder)

    def _wanted(self) -> dict[str, _Wanted]:
        """Holders of the services whose part is led here, by name."""
        wanted = {}
        for service in self.plane.table.service_names:
            if not self.plane.parts[part_of_service(service)].leads:
                continue
            if self.plane.table.models_of(service):
                for instance in self.plane.platform.view.by_service(service):
                    if instance.phase is Phase.SERVING:
                        wanted[instance.identifier] = _Wanted(service, tuple(instance.address), False)
        for store in self.plane.table.stores:
            if self.plane.parts[part_of_service(store["Name"])].leads:
                try:
                    address = parse_address(store["StoreAddr"])
                    name = str(address)  # as data planes name it to hosts
                    wanted[name] = _Wanted(store["Name"], tuple(address), True)
                except InstanceError:
                    self.plane.counters.add("stores.unreadable")
        return wanted

    def _ask(self, holder: _Holder) -> None:
        self.plane.counters.add("kept.calls")
        path = f"/-/kv-events?Since={self.index.since(holder.name)}"
        self.plane.http.call(
            holder.address,
            "GET",
            path,
            timeout=CALL_TIMEOUT,
            done=lambda response: self._told(holder, response),
        )

    def _told(self, holder: _Holder, response) -> None:
        if self.holders.get(holder.name) is not holder:
            return
        events = _read(response)
        with self.journal.batch():
            if holder.store:
                self._tell_store(holder, response is not None)
            if events is not None:
                self._apply(holder, events)

    def _tell_store(self, holder: _Holder, up: bool) -> None:
        """Feeds on whether a store answers, with the term of who says so."""
        term = self.plane.parts[part_of_service(holder.service)].replica.term
        if self.journal.set(Topic.STORE, holder.service, encode_store(StoreStatus(term, up))):
            log.info("%s is %s, term %s", holder.service, "up" if up else "down", term)

    def _apply(self, holder: _Holder, events: _Events) -> None:
        known = self.index.incarnation(holder.name)
        if events.missing or events.incarnation != known:
            if known is not None:
                self.plane.counters.add("kept.gaps")
            self._drop(holder)
        applied = self.index.apply_events(holder.name, *events)
        if known not in (None, events.incarnation):
            self.index.rewind(holder.name)  # `Since` was of the earlier incarnation
        if applied.unreadable:
            self.plane.counters.add("kept.unreadable", applied.unreadable)
        for change in applied.changes:
            self._feed_on(holder, change)

    def _feed_on(self, holder: _Holder, change: KeptChange) -> None:
        """Takes one change of what a holder keeps over into the feed."""
        words = change.salt + change.identifier
        if not words.isascii():  # no header could name it
            self.plane.counters.add("kept.unreadable")
            return
        key = f"{holder.name} {change.salt} {change.identifier}"
        kind = "store" if holder.store else "host"
        self.plane.counters.add(f"kept.{kind}.{'added' if change.grown else 'dropped'}")
        if change.tokens is not None and change.salt and " " not in words:
            holder.entries.pop(key, None)
            holder.entries[key] = None
            self.journal.set(Topic.KEPT, key, str(change.tokens).encode())
            while len(holder.entries) > self._most_entries:
                self._remove(holder, next(iter(holder.entries)))
        elif key in holder.entries:
            self._remove(holder, key)

    @property
    def _most_entries(self) -> int:
        """Entries that are fed on for each holder."""
        return min(MOST_PER_HOLDER, MOST_ENTRIES // max(1, len(self.holders)))

    def _forget(self, holder: _Holder) -> None:
        """The holder has gone, or is another process's to read."""
        self._drop(holder)
        self.index.forget_host(holder.name)
        if holder.store:
            self.journal.remove(Topic.STORE, holder.service)

    def _remove(self, holder: _Holder, key: str) -> None:
        del holder.entries[key]
        self.journal.remove(Topic.KEPT, key)

    def _drop(self, holder: _Holder) -> None:
        self.index.drop_entries(holder.name)
        for key in list(holder.entries):
            self._remove(holder, key)


def _read(response) -> _Events | None:
    if response is None or response.status != 200:
        return None
    try:
        tree = json.loads(response.body)
        return _Events(
            int(tree["Incarnation"]), int(tree["NextToken"]), bool(tree["Missing"]), list(tree["EventLog"])
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
