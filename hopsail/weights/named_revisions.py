"""The named revisions of one model's weights, and when this process learned of each.

Every revision has a deadline of its own, after which no host without it may be used. A newer revision does
not extend the deadlines of earlier ones.
"""

from bisect import bisect_right
from itertools import pairwise
from typing import NamedTuple

NS_PER_MS = 1_000_000
RETENTION_NS = 8_000 * NS_PER_MS
MAX_NAMED = 64  # within the retention; beyond it, the two named closest together share the earlier instant
LONG_AGO = -(1 << 62)  # ns, the instant of a revision that was named before this process learned of it


class NamedRevision(NamedTuple):
    """A revision and when this process learned of it (ns)."""

    revision: int
    known_at: int


class NamedRevisions:
    """Revisions only rise; `retention_ns` is the longest allowed time that is ever asked for."""

    def __init__(self, retention_ns: int = RETENTION_NS) -> None:
        """Create an empty history."""
        self._retention_ns = retention_ns
        self._named: list[NamedRevision] = []
        self._required = 0  # whatever happens, hosts below it are too old

    def __len__(self) -> int:
        """Return how many revisions have an instant of their own."""
        return len(self._named)

    @property
    def newest(self) -> int:
        """The newest revision, 0 when none has been named."""
        return self._named[-1].revision if self._named else self._required

    def name(self, now: int, revision: int) -> bool:
        """Add a named revision; return whether it is newer than all before."""
        if revision <= self.newest:
            return False
        self._named.append(NamedRevision(revision, now))
        self._prune(now)
        return True

    def require(self, revision: int) -> None:
        """Record that the deadline of a revision has passed, as another process reports."""
        if revision <= self._required:
            return
        self._required = revision
        self._named = [named for named in self._named if named.revision > revision]

    def required(self, now: int, allowed_ns: int) -> int:
        """Return the newest revision named more than `allowed_ns` ago, 0 when there is none."""
        overdue = [named.revision for named in self._named if now > named.known_at + allowed_ns]
        return max(overdue, default=self._required)

    def is_overdue(self, now: int, loaded: int, allowed_ns: int) -> bool:
        """Return whether a revision above the loaded one was named more than `allowed_ns` ago."""
        superseded_at = self.superseded_at(loaded)
        return superseded_at is not None and now > superseded_at + allowed_ns

    def superseded_at(self, loaded: int) -> int | None:
        """Return when the first revision above the loaded one was named, None when there is none."""
        if loaded < self._required:
            return LONG_AGO
        index = bisect_right(self._named, loaded, key=lambda named: named.revision)
        return self._named[index].known_at if index < len(self._named) else None

    def _prune(self, now: int) -> None:
        overdue = self.required(now, self._retention_ns)
        if overdue > self._required:
            self.require(overdue)
        if len(self._named) > MAX_NAMED:
            self._join_closest()

    def _join_closest(self) -> None:
        gaps = [later.known_at - earlier.known_at for earlier, later in pairwise(self._named)]
        index = gaps.index(min(gaps))
        joined = NamedRevision(self._named[index + 1].revision, self._named[index].known_at)
        self._named[index : index + 2] = [joined]
