"""Reads the platform's list of hosts when it is this process's turn; keeps the view of hosts in the feed."""

from random import Random
from time import time

from ..configuration.process import ProcessSettings
from ..feed.journal import Journal
from ..feed.topics import Topic
from ..hosts.instance import Instance, InstanceError, decode, encode
from ..hosts.listing import Complete, ListingReader, NextPage
from ..hosts.polling import ListingRules, ListingSchedule
from ..hosts.view import HostView
from ..http.client import HttpClient

MILLISECOND = 1_000_000
CALL_TIMEOUT_NS = 600 * MILLISECOND
CHECK_INTERVAL_MS = 50
FORGET_INTERVAL_NS = 10_000 * MILLISECOND  # also while others read the list


class PlatformList:
    """`is_reader()` tells whether this process is the one that reads at every period."""

    def __init__(
        self, loop, settings: ProcessSettings, journal: Journal, http: HttpClient, is_reader, counters
    ):
        self.loop, self.journal, self.http, self.counters = loop, journal, http, counters
        self.address, self.node = settings.platform, settings.node_name
        self.is_reader = is_reader
        self.view = HostView(first_round=int(time()))  # rounds are seconds apart
        self.listing_reader = ListingReader()
        rules = ListingRules(rate_per_s=settings.platform_rate)
        self.schedule = ListingSchedule(max(3, len(settings.seeds)), Random(settings.node_name), rules)
        self.freshest: int | None = None
        self.complete_listings = 0
        self.published: dict[str, None] = {}
        self.forgotten_at = loop.now()
        self._check()

    def _check(self) -> None:
        now = self.loop.now()
        self.loop.at(now + CHECK_INTERVAL_MS * MILLISECOND, self._check)
        if now - self.forgotten_at >= FORGET_INTERVAL_NS:
            self.forgotten_at = now
            with self.journal.batch():
                self._forget()
        if self.address is None or self.listing_reader.in_progress:
            return
        if self.schedule.next_due(now, self.is_reader(), self.freshest) <= now:
            self.schedule.record_start(now)
            self._ask(self.listing_reader.start())

    def _ask(self, path: str) -> None:
        self.counters.add("platform.calls")
        self.http.call(tuple(self.address), "GET", path, timeout=CALL_TIMEOUT_NS, done=self._answered)

    def _answered(self, response) -> None:
        now = self.loop.now()
        status, body = (response.status, response.body) if response else (0, b"")
        step = self.listing_reader.receive_page(status, body)
        if isinstance(step, NextPage):
            self._ask(step.path)
        elif isinstance(step, Complete):
            self.schedule.record_success(now, step.pages)
            self.freshest = now
            self.complete_listings += 1
            with self.journal.batch():
                self._publish(self.view.apply_listing(now, step.instances, step.pages))
                self._forget()
                self.journal.set(Topic.LISTING, self.node, str(self.complete_listings).encode())
        else:
            self.counters.add("platform.failures")
            self.schedule.record_failure(now)

    def handle_change(self, change) -> None:
        """A change from another control process."""
        now = self.loop.now()
        if change.topic == Topic.LISTING:
            if change.value is not None and change.key != self.node:
                self.freshest = now
            return
        try:
            instance = decode(change.value)
        except InstanceError:
            self.counters.add("feed.unreadable")
            return
        self._publish(self.view.apply_instance(now, instance))

    def _publish(self, changed: list[Instance]) -> None:
        for instance in changed:
            self.journal.set(Topic.INSTANCE, instance.identifier, encode(instance))
            self.published[instance.identifier] = None

    def _forget(self) -> None:
        """Drops from the feed what the view has forgotten."""
        known = self.view.instances
        for identifier in [identifier for identifier in self.published if identifier not in known]:
            del self.published[identifier]
            self.journal.remove(Topic.INSTANCE, identifier)
