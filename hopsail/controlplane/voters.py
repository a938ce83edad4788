"""Keeps the voters of the parts led here up with the control processes that live.

There are never more voters than wanted: a new process receives the log as a learner, and votes when a voter
has gone or is about to. Both happen in one agreed change, so that no loss in between counts against one voter
more.
"""

from typing import NamedTuple

from ..event_log import get_logger
from ..replication.state import Busy, Members, NotLeader

log = get_logger("members")

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
DEAD_SHARE = 3  # of the time until the next loss may come, one in so many passes until a silent voter is dead
DEAD_TIME_LEAST = 1 * SECOND  # longer than an election, and than freezes and stalls usually last
MOST_MEMBERS = 9


class Watch(NamedTuple):
    """Since when each member of a part is one while this process leads it, in one term."""

    term: int
    since: dict[str, int]

    def look(self, now: int, members: tuple[str, ...]) -> None:
        """Take note of those that are new, and forget those that have gone."""
        for identity in members:
            self.since.setdefault(identity, now)
        for identity in self.since.keys() - set(members):
            del self.since[identity]


class Voters:
    """Learners take the place of voters that are dead or leave; nobody goes while nobody can come."""

    def __init__(self, plane):
        self.plane = plane
        self.target = 2 * max(1, plane.settings.machine_losses) + 1
        self._watches: dict[int, Watch] = {}  # of the parts led here

    @property
    def dead_time(self) -> int:
        """ns of silence in the log after which a voter is dead: well inside the time between two losses."""
        return max(DEAD_TIME_LEAST, int(self.plane.settings.bounds.sync_s * SECOND) // DEAD_SHARE)

    def check(self, now: int) -> None:
        """At most one change for each part led here."""
        alive = self._alive()
        for number, part in enumerate(self.plane.parts):
            if part.leads and not self.plane.stopping:
                self._check_part(now, number, part, alive)
            else:
                self._watches.pop(number, None)

    def _alive(self) -> set[str]:
        members = self.plane.membership.alive("controlplane")
        return {f"{m.address[0]}:{m.address[1]}" for m in members} | {self.plane.identity}

    def _check_part(self, now: int, number: int, part, alive: set[str]) -> None:
        replica = part.replica
        replica.tick(now)  # after a freeze of this process the silence of the others says nothing
        if not part.leads:
            return
        members = replica.members
        watch = self._watches.get(number)
        if watch is None or watch.term != replica.term:
            watch = self._watches[number] = Watch(replica.term, {})
        watch.look(now, members.all)
        wanted = self._wanted(now, watch, replica, alive)
        if members.is_joint or wanted == members:
            return
        try:
            replica.propose_members(now, wanted.voters, wanted.learners)
        except (Busy, NotLeader):
            return
        self.plane.counters.add("members.changed")
        voters, learners = _named(wanted.voters), _named(wanted.learners)
        log.info("part %s: voters %s, learners %s", number, voters, learners)
        part.pump()

    def _is_silent(self, now: int, watch: Watch, replica, identity: str) -> bool:
        """Whether this leader has not heard of a member for long, since it leads and the other is one."""
        if identity == self.plane.identity:
            return False
        heard = replica.last_heard(identity)
        since = watch.since[identity]
        return now - (since if heard is None else max(heard, since)) > self.dead_time

    def _wanted(self, now: int, watch: Watch, replica, alive: set[str]) -> Members:
        """The members as they should be."""
        members = replica.members
        silent = {name for name in members.all if self._is_silent(now, watch, replica, name)}
        leaving = {name for name in members.all if replica.is_leaving(name)}
        gone = [name for name in members.voters if name in silent]
        gone += [name for name in members.voters if name in leaving - silent]
        coming = self._coming(replica, gone, silent | leaving)
        going = set(gone[: max(0, len(members.voters) + len(coming) - self.target)])
        voters = (*(name for name in members.voters if name not in going), *coming)
        kept = [name for name in members.learners if name not in voters]
        kept = [name for name in kept if name in alive or name not in silent]
        kept += [name for name in members.voters if name in going and (name in alive or name in leaving)]
        known = {*voters, *kept}
        kept += [name for name in sorted(alive | set(replica.applicants)) if name not in known]
        return Members(voters, tuple(kept[: max(0, MOST_MEMBERS - len(voters))]))

    def _coming(self, replica, gone: list[str], absent: set[str]) -> list[str]:
        """Learners that are to vote now: as many as are wanted, and have caught up."""
        members = replica.members
        needed = max(0, self.target - (len(members.voters) - len(gone)))
        ready = [name for name in members.learners if name not in absent and replica.is_caught_up(name)]
        return ready[:needed]


def _named(identities: tuple[str, ...]) -> str:
    return " ".join(identities) or "none"
