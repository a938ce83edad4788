"""The log of a replica in memory: entries after a base, the snapshot, and the members it sets."""

from bisect import bisect_left

from .messages import Entry, EntryKind
from .state import Members, Snapshot

RETAINED_ENTRIES = 64  # entries kept in memory below the snapshot, for followers a little behind
RETAINED_BYTES = 1 << 20  # of these
MAX_RETAINED_BYTES = 8 << 20  # where a member needs them that is catching up
ENTRY_OVERHEAD_BYTES = 16  # counted for each entry besides its data


class Log:
    """Entries `base_index + 1` to `last_index`; those up to `base_index` are gone."""

    def __init__(self, snapshot: Snapshot | None, entries: list[Entry], members: Members) -> None:
        """Make a log of a snapshot, if there is one, and the entries after it.

        `members`: those before the first entry, where there is no snapshot.
        """
        self._load(snapshot, entries, members)

    def _load(self, snapshot: Snapshot | None, entries: list[Entry], members: Members) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries: list[Entry] = []
        self._ends: list[int] = [0]  # bytes of all entries up to the base, then up to each entry
        self._members: list[tuple[int, Members]] = [
            (self.base_index, snapshot.members if snapshot else members)
        ]
        self.append([entry for entry in entries if entry.index > self.base_index])

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if there is none after it."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def snapshot_index(self) -> int:
        """The index of the snapshot, or 0."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def members(self) -> Members:
        """The members by the last change in the log, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """The index of that change."""
        return self._members[-1][0]

    @property
    def previous_electors(self) -> tuple[str, ...]:
        """The members whose votes counted before that change, as far as the log still tells."""
        return self._members[-2][1].electors if len(self._members) > 1 else ()

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None if it is not there any more, or not yet."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def known_term_at(self, index: int) -> int:
        """The term of an entry that is in the log, or of its base.

        Raises:
            LookupError: the entry is not there.

        """
        term = self.term_at(index)
        if term is None:
            raise LookupError(f"entry {index} is not between {self.base_index} and {self.last_index}")
        return term

    def size_between(self, after: int, last: int) -> int:
        """About how many bytes the entries after `after`, up to `last`, have, as far as they are here."""
        first = min(max(after - self.base_index, 0), len(self._entries))
        end = min(max(last - self.base_index, first), len(self._entries))
        return self._ends[end] - self._ends[first]

    def slice(self, first: int, last: int, max_bytes: int | None = None) -> list[Entry]:
        """The entries from `first` to `last`; not more than about `max_bytes`, but at least one."""
        chosen = self._entries[first - self.base_index - 1 : last - self.base_index]
        if max_bytes is None:
            return chosen
        size = 0
        for number, entry in enumerate(chosen):
            size += len(entry.data)
            if number and size > max_bytes:
                return chosen[:number]
        return chosen

    def append(self, entries: list[Entry]) -> None:
        """Add entries that follow the last one.

        Raises:
            ValueError: they do not follow it.

        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
            self._entries.append(entry)
            self._ends.append(self._ends[-1] + len(entry.data) + ENTRY_OVERHEAD_BYTES)
            if entry.kind == EntryKind.MEMBERS:
                self._members.append((entry.index, Members.decode(entry.data)))

    def truncate(self, first: int) -> None:
        """Drop the entry at `first` and all after it."""
        del self._entries[first - self.base_index - 1 :]
        del self._ends[first - self.base_index :]
        while len(self._members) > 1 and self._members[-1][0] >= first:
            self._members.pop()

    def first_of_term(self, index: int) -> int:
        """The first index kept whose entries up to `index` have all the same term."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def members_at(self, index: int) -> Members:
        """The members after the entry at `index`."""
        return [members for changed, members in self._members if changed <= index][-1]

    def compact(self, snapshot: Snapshot, needed_after: int | None = None) -> None:
        """Set the newest snapshot, and drop the entries that it covers, except the last few.

        Those after `needed_after` stay as well, up to a bound, for a member that is catching up.
        """
        self.snapshot = snapshot
        base = self._bounded_base(max(snapshot.index - RETAINED_ENTRIES, 0), snapshot.index, RETAINED_BYTES)
        if needed_after is not None and needed_after < base:
            base = self._bounded_base(needed_after, snapshot.index, MAX_RETAINED_BYTES)
        base = max(base, self.base_index)
        term = self.known_term_at(base)
        del self._entries[: base - self.base_index]
        del self._ends[: base - self.base_index]
        self.base_index, self.base_term = base, term
        while len(self._members) > 1 and self._members[1][0] <= base:
            self._members.pop(0)

    def _bounded_base(self, base: int, last: int, max_bytes: int) -> int:
        """The least index from `base` on after which, up to `last`, there are at most so many bytes."""
        base = max(base, self.base_index)
        least = self._ends[last - self.base_index] - max_bytes
        return max(base, self.base_index + bisect_left(self._ends, least))

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the complete log by a snapshot."""
        self._load(snapshot, [], snapshot.members)
