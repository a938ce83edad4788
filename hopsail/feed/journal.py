"""A keyed store that remembers in which order its keys last changed. Pure.

Only a key's last change is kept, so memory is bounded by the keys, and by how many removed ones are
remembered. Every change has a sequence number of its own; a batch's are committed together."""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ..errors import HopsailError

MAX_REMOVED = 16_384  # removed keys that are remembered
ENTRY_OVERHEAD = 32  # bytes that an entry costs in a reply besides its key and value, about

Name = tuple[int, str]  # topic and key


class JournalFullError(HopsailError):
    """A key more than the journal may hold; the batch it belongs to is not committed."""


class Change(NamedTuple):
    """A key's value, None once it is removed."""

    topic: int
    key: str
    value: bytes | None


class Page(NamedTuple):
    """Changes up to `sequence`; `more` follow after it. Only all pages together are a consistent state."""

    changes: list[Change]
    sequence: int
    more: bool


class _Entry(NamedTuple):
    sequence: int
    value: bytes | None


class Journal:
    """One incarnation of a store: sequence numbers of another one mean nothing here.

    `incarnation` is above 0, which followers that hold nothing tell."""

    def __init__(self, incarnation: int, max_entries: int, max_removed: int = MAX_REMOVED) -> None:
        """An empty store. Raises ValueError when the incarnation is not above 0."""
        if incarnation <= 0:
            raise ValueError("an incarnation is above 0")
        self.incarnation, self.max_entries, self.max_removed = incarnation, max_entries, max_removed
        self.sequence = 0  # of the last committed change
        self._entries: OrderedDict[Name, _Entry] = OrderedDict()  # by last change, removed ones among them
        self._removed: OrderedDict[Name, None] = OrderedDict()  # by removal
        self._forgotten = 0  # sequence of the last removal that is no longer remembered
        self._topic_sequences: dict[int, int] = {}
        self._batch: dict[Name, bytes | None] | None = None
        self._added = 0  # keys that the open batch adds
        self._callbacks: list[Callable[[], None]] = []

    def __len__(self) -> int:
        """The number of committed keys."""
        return len(self._entries) - len(self._removed)

    def get(self, topic: int, key: str) -> bytes | None:
        """The key's value, also that set in the open batch."""
        name = (topic, key)
        if self._batch is not None and name in self._batch:
            return self._batch[name]
        return self._committed(name)

    def set(self, topic: int, key: str, value: bytes) -> bool:
        """Whether the value is another than before; outside of a batch it is a batch of its own."""
        return self._put((topic, key), value)

    def remove(self, topic: int, key: str) -> bool:
        """Whether there was such a key."""
        return self._put((topic, key), None)

    def topic_sequence(self, topic: int) -> int:
        """The sequence of the topic's last change, 0 when it never had any."""
        return self._topic_sequences.get(topic, 0)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after every batch that has changed anything."""
        self._callbacks.append(callback)

    @contextmanager
    def batch(self) -> Iterator[None]:
        """Commits the changes made inside together, or none of them when an exception leaves the block.

        A batch inside of a batch is part of it."""
        if self._batch is not None:
            yield
            return
        self._batch, self._added = {}, 0
        try:
            yield
        except BaseException:
            self._batch = None
            raise
        batch, self._batch = self._batch, None
        self._commit(batch)

    def changes_since(self, sequence: int, topics: Collection[int] | None = None) -> list[Change] | None:
        """The keys changed after the sequence, in order; None when that is not known: take a snapshot."""
        page = self.page_since(sequence, topics)
        return None if page is None else page.changes

    def snapshot(self, topics: Collection[int] | None = None) -> list[Change]:
        """All keys, in order of their last changes."""
        return self.page_of_snapshot(topics).changes

    def page_since(
        self,
        sequence: int,
        topics: Collection[int] | None = None,
        max_bytes: int | None = None,
        base: int = 0,
    ) -> Page | None:
        """As `changes_since`, as much of it as fits in about so many bytes.

        `base` is the journal's sequence when a snapshot began that is being continued: removals up to it do
        not matter, the snapshot does not hold those keys."""
        if sequence > self.sequence or max(sequence, base) < self._forgotten:
            return None
        names: list[Name] = []
        for name in reversed(self._entries):
            if self._entries[name].sequence <= sequence:
                break
            if topics is None or name[0] in topics:
                names.append(name)
        names.reverse()
        return self._page(names, max_bytes)

    def page_of_snapshot(self, topics: Collection[int] | None = None, max_bytes: int | None = None) -> Page:
        """As `snapshot`, as much of it as fits in about so many bytes; continued by `page_since`."""
        names = [
            name
            for name, entry in self._entries.items()
            if entry.value is not None and (topics is None or name[0] in topics)
        ]
        return self._page(names, max_bytes)

    def _page(self, names: list[Name], max_bytes: int | None) -> Page:
        changes: list[Change] = []
        remaining = max_bytes
        for name in names:
            entry = self._entries[name]
            if remaining is not None:
                remaining -= ENTRY_OVERHEAD + len(name[1]) + len(entry.value or b"")
                if remaining < 0 and changes:
                    return Page(changes, self._entries[names[len(changes) - 1]].sequence, True)
            changes.append(Change(name[0], name[1], entry.value))
        return Page(changes, self.sequence, False)

    def _committed(self, name: Name) -> bytes | None:
        entry = self._entries.get(name)
        return None if entry is None else entry.value

    def _put(self, name: Name, value: bytes | None) -> bool:
        before = self.get(*name)
        if value == before:
            return False
        self._check_capacity(before, value)
        if self._batch is None:
            self._commit({name: value})
        else:
            self._added += (before is None) - (value is None)
            self._batch[name] = value
        return True

    def _check_capacity(self, before: bytes | None, value: bytes | None) -> None:
        added = self._added if self._batch is not None else 0
        if before is None and value is not None and len(self) + added >= self.max_entries:
            raise JournalFullError(f"a key beyond the {self.max_entries} that the journal may hold")

    def _commit(self, batch: dict[Name, bytes | None]) -> None:
        changed = False
        for name, value in batch.items():
            if value != self._committed(name):
                self._change(name, value)
                changed = True
        self._forget_removed()
        if changed:
            for callback in self._callbacks:
                callback()

    def _change(self, name: Name, value: bytes | None) -> None:
        self.sequence += 1
        self._entries[name] = _Entry(self.sequence, value)
        self._entries.move_to_end(name)
        self._topic_sequences[name[0]] = self.sequence
        self._removed.pop(name, None)
        if value is None:
            self._removed[name] = None

    def _forget_removed(self) -> None:
        while len(self._removed) > self.max_removed:
            name, _ = self._removed.popitem(last=False)
            self._forgotten = self._entries.pop(name).sequence
