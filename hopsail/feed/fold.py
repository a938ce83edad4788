"""A follower's folded state: what to ask for next, and what a reply changes. Pure."""

from collections.abc import Iterable
from typing import NamedTuple

from .journal import Change, Name
from .messages import ChangeStruct, PollReply


class Position(NamedTuple):
    """What a follower holds, as its next poll tells it; all 0 before the first reply."""

    incarnation: int = 0
    sequence: int = 0
    base: int = 0


class Folded(NamedTuple):
    """What a reply, or the last page of one, has changed; removals always name a key that was held."""

    snapshot: bool  # `changes` name all entries, and the removals of all others that were held
    changes: list[Change]


class Fold:
    """State folded out of the replies of one journal after the other."""

    def __init__(self) -> None:
        """Nothing is held; the first poll asks for a snapshot."""
        self.state: dict[Name, bytes] = {}
        self.position = Position()
        self.ignored = 0  # replies that do not follow on what is held
        self._collected: dict[Name, bytes | None] | None = None  # of a reply whose end is still to come
        self._collecting_snapshot = False

    def apply(self, reply: PollReply) -> Folded | None:
        """Takes the reply to a poll made at `position`.

        None when it changes nothing yet: it is a page that others follow, or is no answer to that poll."""
        if not self._follows(reply):
            self.ignored += 1
            return None
        collected = self._collected
        if reply.snapshot or collected is None:
            collected = self._collected = {}
            self._collecting_snapshot = reply.snapshot
        _collect(collected, reply.changes)
        self.position = Position(reply.incarnation, reply.sequence, reply.base)
        if reply.more:
            return None
        self._collected = None
        return self._replace(collected) if self._collecting_snapshot else self._update(collected)

    def _follows(self, reply: PollReply) -> bool:
        if reply.since != self.position.sequence:
            return False
        if reply.snapshot:
            return True
        return reply.incarnation == self.position.incarnation and reply.sequence >= reply.since

    def _update(self, collected: dict[Name, bytes | None]) -> Folded:
        changes = []
        for name, value in collected.items():
            if value is not None:
                self.state[name] = value
            elif self.state.pop(name, None) is None:
                continue
            changes.append(Change(*name, value))
        return Folded(False, changes)

    def _replace(self, collected: dict[Name, bytes | None]) -> Folded:
        state = {name: value for name, value in collected.items() if value is not None}
        changes = [Change(*name, None) for name in self.state if name not in state]
        changes += [Change(*name, value) for name, value in state.items()]
        self.state = state
        return Folded(True, changes)


def _collect(collected: dict[Name, bytes | None], changes: Iterable[ChangeStruct]) -> None:
    """Adds a page's changes; each key stands at the place of its last change."""
    for change in changes:
        name = (change.topic, change.key)
        collected.pop(name, None)
        collected[name] = change.value
