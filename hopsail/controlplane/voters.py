"""Keeps the voters of the shards led here up with the control processes that live.

There are never more voters than wanted: a new process receives the log as a learner, and votes when a voter
has gone or is about to. Both happen in one agreed change, so that no loss in between counts against one voter
more.
"""

from typing import NamedTuple, Protocol

from ..configuration.process import ProcessSettings
from ..event_log import get_logger
from ..membership.node import Membership
from ..net.counters import Counters
from ..replication.errors import BusyError, NotLeaderError
from ..replication.replica import Replica
from ..replication.state import Members
from .shard import Shard

log = get_logger("members")

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
DEAD_TIME_DIVISOR = 3  # a voter is dead after this part of the time until the next loss may come
MIN_DEAD_TIME_NS = 1 * SECOND  # longer than an election, and than freezes and stalls usually last
MAX_MEMBERS = 9


class Watch(NamedTuple):
    """Since when each member of a shard is one while this process leads it, in one term."""

    term: int
    since: dict[str, int]

    def look(self, now: int, members: tuple[str, ...]) -> None:
        """Take note of those that are new, and forget those that have gone."""
        for identity in members:
            self.since.setdefault(identity, now)
        for identity in self.since.keys() - set(members):
            del self.since[identity]


class VotersProcess(Protocol):
    """What the choice of voters needs of its process."""

    identity: str
    settings: ProcessSettings
    membership: Membership
    shards: list[Shard]
    counters: Counters
    stopping: bool


class Voters:
    """Learners take the place of voters that are dead or leave; nobody goes while nobody can come."""

    def __init__(self, process: VotersProcess) -> None:
        """Wants one voter more than twice the machines that may be lost."""
        self.process = process
        self.target = 2 * max(1, process.settings.machine_losses) + 1
        self._watches: dict[int, Watch] = {}  # of the shards led here

    @property
    def dead_time(self) -> int:
        """ns of silence in the log after which a voter is dead: well inside the time between two losses."""
        return max(MIN_DEAD_TIME_NS, int(self.process.settings.bounds.sync_s * SECOND) // DEAD_TIME_DIVISOR)

    def check(self, now: int) -> None:
        """At most one change for each shard led here."""
        alive = self._alive()
        for number, shard in enumerate(self.process.shards):
            if shard.leads and not self.process.stopping:
                self._check_shard(now, number, shard, alive)
            else:
                self._watches.pop(number, None)

    def _alive(self) -> set[str]:
        members = self.process.membership.alive("controlplane")
        return {f"{m.address[0]}:{m.address[1]}" for m in members} | {self.process.identity}

    def _check_shard(self, now: int, number: int, shard: Shard, alive: set[str]) -> None:
        replica = shard.replica
        replica.tick(now)  # after a freeze of this process the silence of the others says nothing
        if not shard.leads:
            return
        members = replica.members
        watch = self._watches.get(number)
        if watch is None or watch.term != replica.term:
            watch = self._watches[number] = Watch(replica.term, {})
        watch.look(now, members.all)
        desired = self._desired_members(now, watch, replica, alive)
        if members.is_joint or desired == members:
            return
        try:
            replica.propose_members(now, desired.voters, desired.learners)
        except (BusyError, NotLeaderError):
            return
        self.process.counters.add("members.changed")
        voters, learners = _named(desired.voters), _named(desired.learners)
        log.info("part %s: voters %s, learners %s", number, voters, learners)
        shard.pump()

    def _is_timed_out(self, now: int, watch: Watch, replica: Replica, identity: str) -> bool:
        """Whether this leader has had nothing from a member for long while both have their roles."""
        if identity == self.process.identity:
            return False
        received_at = replica.last_reply_time(identity)
        since = watch.since[identity]
        return now - (since if received_at is None else max(received_at, since)) > self.dead_time

    def _desired_members(self, now: int, watch: Watch, replica: Replica, alive: set[str]) -> Members:
        """The members as they should be."""
        members = replica.members
        timed_out = {name for name in members.all if self._is_timed_out(now, watch, replica, name)}
        leaving = {name for name in members.all if replica.is_leaving(name)}
        leavers = [name for name in members.voters if name in timed_out]
        leavers += [name for name in members.voters if name in leaving - timed_out]
        coming = self._coming(replica, leavers, timed_out | leaving)
        going = set(leavers[: max(0, len(members.voters) + len(coming) - self.target)])
        voters = (*(name for name in members.voters if name not in going), *coming)
        learners = [name for name in members.learners if name not in voters]
        learners = [name for name in learners if name in alive or name not in timed_out]
        learners += [name for name in members.voters if name in going and (name in alive or name in leaving)]
        known = {*voters, *learners}
        learners += [name for name in sorted(alive | set(replica.applicants)) if name not in known]
        return Members(voters, tuple(learners[: max(0, MAX_MEMBERS - len(voters))]))

    def _coming(self, replica: Replica, leavers: list[str], absent: set[str]) -> list[str]:
        """Learners that are to vote now: as many as are desired, and have caught up."""
        members = replica.members
        needed = max(0, self.target - (len(members.voters) - len(leavers)))
        ready = [name for name in members.learners if name not in absent and replica.is_caught_up(name)]
        return ready[:needed]


def _named(identities: tuple[str, ...]) -> str:
    return " ".join(identities) or "none"
