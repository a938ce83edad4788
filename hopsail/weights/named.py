"""The revisions of one model's weights that were named, and since when each is known to this process.

Every revision has a time of its own, from its naming until no host without it may be used. A newer revision
begins a time for itself and leaves those of earlier ones as they are.
"""

from bisect import bisect_right
from itertools import pairwise
from typing import NamedTuple

NS_PER_MS = 1_000_000
KEPT_NS = 8_000 * NS_PER_MS
MOST_NAMED = 64  # within the time kept; beyond it, those named closest together share the earlier instant
LONG_AGO = -(1 << 62)  # ns, the instant of a revision that was named before this process learned of it


class Named(NamedTuple):
    """A revision and when this process learned of it (ns)."""

    revision: int
    known_at: int


class NamedRevisions:
    """Revisions only rise; `kept_ns` is the longest time after a naming that is ever asked for."""

    def __init__(self, kept_ns: int = KEPT_NS) -> None:
        self._kept_ns = kept_ns
        self._named: list[Named] = []
        self._required = 0  # whatever happens, hosts below it are too old

    def __len__(self) -> int:
        return len(self._named)

    @property
    def newest(self) -> int:
        """The newest revision, 0 when none has been named."""
        return self._named[-1].revision if self._named else self._required

    def name(self, now: int, revision: int) -> bool:
        """Take a named revision; return whether it is newer than all before."""
        if revision <= self.newest:
            return False
        self._named.append(Named(revision, now))
        self._prune(now)
        return True

    def require(self, revision: int) -> None:
        """Take from another process that the time of a revision is over."""
        if revision <= self._required:
            return
        self._required = revision
        self._named = [named for named in self._named if named.revision > revision]

    def required(self, now: int, allowed_ns: int) -> int:
        """Return the newest revision whose time is over, 0 when there is none."""
        over = [named.revision for named in self._named if now > named.known_at + allowed_ns]
        return max(over, default=self._required)

    def is_overdue(self, now: int, held: int, allowed_ns: int) -> bool:
        """Return whether the time of any revision above the one held is over."""
        superseded_at = self.superseded_at(held)
        return superseded_at is not None and now > superseded_at + allowed_ns

    def superseded_at(self, held: int) -> int | None:
        """Return when the first revision above the one held was named, None when there is none."""
        if held < self._required:
            return LONG_AGO
        index = bisect_right(self._named, held, key=lambda named: named.revision)
        return self._named[index].known_at if index < len(self._named) else None

    def _prune(self, now: int) -> None:
        over = self.required(now, self._kept_ns)
        if over > self._required:
            self.require(over)
        if len(self._named) > MOST_NAMED:
            self._join_closest()

    def _join_closest(self) -> None:
        gaps = [later.known_at - earlier.known_at for earlier, later in pairwise(self._named)]
        index = gaps.index(min(gaps))
        joined = Named(self._named[index + 1].revision, self._named[index].known_at)
        self._named[index : index + 2] = [joined]
