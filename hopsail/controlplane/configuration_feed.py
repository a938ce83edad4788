"""The configuration's way from the state of shard 0 into the feed. No I/O.

A change costs its items. A whole configuration is fed in slices, with heartbeats sent in between; until
its last slice the feed tells no revision, and who follows takes nothing of it."""

from collections.abc import Callable, Generator, Iterable, Mapping
from itertools import chain, islice

from ..configuration.changes import table_changes
from ..configuration.items import SINGLE_OF_FIELD, ItemSplitter
from ..configuration.types import Configuration
from ..configuration.route_table import RouteTable
from ..feed.journal import Journal
from ..feed.topics import Topic
from .configuration_state import ConfigurationState

SLICE_ITEMS = 1000
COMPARED_ITEMS = 10_000  # in one slice
PAUSE_MS = 1  # between slices
REVISION = SINGLE_OF_FIELD["Revision"]


class ConfigurationFeed:
    """Keeps the journal's items and a table of services at the newest configuration of the state.

    The table knows the services alone: nothing else is looked up here. `after(milliseconds, callback)` has
    the next slice done later; `taken(table)` tells of each revision that has been fed in whole."""

    def __init__(
        self,
        journal: Journal,
        after: Callable[[int, Callable[[], None]], object],
        state: Callable[[], ConfigurationState],
        taken: Callable[[RouteTable], None],
    ) -> None:
        self._journal, self._after, self._state, self._taken = journal, after, state, taken
        self._splitter = ItemSplitter()
        self._table: RouteTable | None = None
        self._slices: Generator[None, None, None] | None = None  # of a whole configuration under way
        self._needs_whole = True
        self._doubtful: frozenset[str] = frozenset()  # keys that a failed feeding may have left behind

    @property
    def is_current(self) -> bool:
        """Whether the journal tells the state's configuration, or there is none; also while it calls back."""
        return int(self._journal.get(Topic.CONFIGURATION, REVISION) or 0) >= self._state().revision

    def publish(self) -> None:
        """Feeds the state's configuration if it is newer than what has been fed."""
        state = self._state()
        if self._slices is not None or not state.revision:
            return
        if self._table is not None and self._table.revision >= state.revision:
            return
        if self._needs_whole or state.changes is None:
            self._needs_whole = True
            state.clear_changes()
            self._slices = self._feed_whole(state.configuration)
            self._feed_slice()
        else:
            self._feed_changes(state)

    def _feed_changes(self, state: ConfigurationState) -> None:
        changes = state.changes
        items = self._splitter.changed_items(changes)
        self._feed(items.items())
        self._splitter.fold(changes, items)
        state.clear_changes()
        self._table = self._table.with_changes(table_changes(changes)._replace(routes={}, tenants={}))
        self._taken(self._table)

    def _feed_slice(self) -> None:
        slices = self._slices
        try:
            next(slices)
        except StopIteration:
            self._slices = None
            self.publish()  # what has been applied in the meantime
        except BaseException:
            self._slices = None
            raise
        else:
            self._after(PAUSE_MS, self._feed_slice)

    def _feed_whole(self, configuration: Configuration) -> Generator[None, None, None]:
        splitter = ItemSplitter(self._splitter.items)
        yield from splitter.iter_split(configuration, SLICE_ITEMS)
        items = yield from self._changed_items(splitter.items)
        if len(items) > SLICE_ITEMS:
            yield
            self._doubtful = self._doubtful.union(items)
            yield from self._feed_in_slices(items)
        else:
            self._feed(items.items())
        table = _table_of_services(configuration)
        self._doubtful = frozenset()
        self._splitter, self._table, self._needs_whole = splitter, table, False
        self._taken(table)

    def _changed_items(self, items: Mapping[str, bytes]) -> Generator[None, None, dict[str, bytes | None]]:
        """What the journal has to change to hold the items: first what is gone, so that there is room."""
        before, doubtful = self._splitter.items, self._doubtful
        changed: dict[str, bytes | None] = {}
        for number, key in enumerate(chain(before, doubtful), 1):
            if number % COMPARED_ITEMS == 0:
                yield
            if key not in items:
                changed[key] = None
        for number, (key, value) in enumerate(items.items(), 1):
            if number % COMPARED_ITEMS == 0:
                yield
            if before.get(key) != value or key in doubtful:
                changed[key] = value
        return changed

    def _feed_in_slices(self, items: Mapping[str, bytes | None]) -> Generator[None, None, None]:
        self._journal.remove(Topic.CONFIGURATION, REVISION)
        remaining = iter([(key, value) for key, value in items.items() if key != REVISION])
        while some := list(islice(remaining, SLICE_ITEMS)):
            self._feed(some)
            yield
        self._journal.set(Topic.CONFIGURATION, REVISION, items[REVISION])

    def _feed(self, items: Iterable[tuple[str, bytes | None]]) -> None:
        """Feeds changed items in one batch, None for those that are gone."""
        with self._journal.batch():
            for key, value in items:
                if value is None:
                    self._journal.remove(Topic.CONFIGURATION, key)
                else:
                    self._journal.set(Topic.CONFIGURATION, key, value)


def _table_of_services(configuration: Configuration) -> RouteTable:
    return RouteTable(
        {"Revision": configuration["Revision"], "Routes": [], "Services": configuration["Services"]}
    )
