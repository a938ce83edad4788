"""Feeds of which only what a majority has confirmed comes into force at first.

A publisher's snapshot is all that it knew until now, however long ago it lost touch with the others. It is
held back, together with the changes after it, until a reply tells that a majority stood behind the
publisher lately. A change after that is news, wherever it comes from, and is passed on at once: committed
configurations are taken in order of their revisions only, hosts and weights are merged monotonically.

While no feed is confirmed for long, all are passed on as they are: a process that finds no majority within
the time in which it should have is not in touch, and what was in force once is better than nothing."""

from collections.abc import Callable

from ..configuration.process import Bounds
from .follower import Follower
from .journal import Change, Name
from .messages import PollReply

MS = 1_000_000  # ns
MIN_CONTACT_MS = 2000  # of the times below: a poll may wait for a second, elections take almost as long
MAX_TICK_STEP_NS = 500_000_000  # ns between two ticks that are counted: longer ones, the process did not run

Apply = Callable[[Follower, list[Change]], None]


def contact_time(bounds: Bounds) -> int:
    """The age in ns up to which a majority's confirmation counts, and the time to wait for one."""
    return int(max(bounds.contact_ms, MIN_CONTACT_MS) * MS)


class Gate:
    """Holds the names that one feed has changed and that were not passed on."""

    def __init__(self) -> None:
        """A closed gate with nothing pending."""
        self.is_open = False
        self.pending: dict[Name, None] = {}

    def take(self, snapshot: bool, changes: list[Change], confirmed: bool) -> list[Change] | None:
        """The changes to pass on now; None when the pending ones go with them."""
        self.is_open = confirmed or (self.is_open and not snapshot)
        if self.is_open and not self.pending:
            return changes
        for topic, key, _ in changes:
            self.pending.pop((topic, key), None)  # the order of last changes is kept
            self.pending[topic, key] = None
        return None if self.is_open else []

    def release(self, state: dict[Name, bytes]) -> list[Change]:
        """Opens; what was pending, as it stands now."""
        self.is_open = True
        pending, self.pending = self.pending, {}
        return [Change(*name, state.get(name)) for name in pending]


class ConfirmedFeeds:
    """A gate for each follower; `apply(follower, changes)` takes what is passed on.

    `max_age_ns`: the age of a confirmation that is enough for a snapshot; `patience`: after so much running
    time without any confirmed feed, all are passed on (ns)."""

    def __init__(self, clock: Callable[[], int], max_age_ns: int, patience: int, apply: Apply) -> None:
        """Counts the patience from now on, by `clock` (ns)."""
        self._clock, self._apply = clock, apply
        self._longest_ago, self._patience = max_age_ns, patience
        self._gates: dict[Follower, Gate] = {}
        self._waited = 0  # ns of running time
        self._ticked_at = clock()

    def changed(self, follower: Follower, snapshot: bool, changes: list[Change], reply: PollReply) -> None:
        """A follower's `on_changes`."""
        gate = self._gates.setdefault(follower, Gate())
        passed = gate.take(snapshot, changes, follower.is_confirmed(self._longest_ago))
        if passed is None:
            passed = gate.release(follower.state)
        if passed:
            self._apply(follower, passed)

    def forget(self, follower: Follower) -> None:
        """The feed is not followed any more."""
        self._gates.pop(follower, None)

    def tick(self) -> None:
        """To be called regularly: passes on what is held once the patience is over."""
        now = self._clock()
        step, self._ticked_at = now - self._ticked_at, now
        if not any(gate.pending for gate in self._gates.values()) or self._has_confirmed_feed:
            self._waited = 0
            return
        self._waited += min(step, MAX_TICK_STEP_NS)
        if self._waited < self._patience:
            return
        for follower, gate in list(self._gates.items()):
            if gate.pending:
                self._apply(follower, gate.release(follower.state))

    @property
    def _has_confirmed_feed(self) -> bool:
        return any(follower.is_confirmed(self._patience) for follower in self._gates)
