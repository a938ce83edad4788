"""How a leader changes the members of the log, and what a driver asks for that."""

from .hand_over import HandOver
from .leases import Leases
from .messages import EntryKind
from .progress import NEVER, Progress
from .state import Busy, Members

CAUGHT_UP_WITHIN = 16  # entries


class MembershipChanges(Leases, HandOver):
    """Proposes changes of members, one at a time."""

    def _meet_members(self) -> None:
        """Have a progress for each other member, and for nobody else."""
        others = [identity for identity in self.members.all if identity != self.identity]
        self._progress = {
            identity: self._progress.get(identity) or Progress(self.log.last_index) for identity in others
        }

    def _check_proposal(self, now: int) -> None:
        raise NotImplementedError

    def propose_members(self, now: int, voters: tuple[str, ...], learners: tuple[str, ...] = ()) -> int:
        """Append a change of members and return its index.

        Raises NotLeader; Busy while another change is under way or nothing of this term is committed;
        ValueError when more than one voter comes or goes, or none would be left.
        """
        self._check_proposal(now)
        if self.log.members_index > self.commit_index or not self._has_committed_in_term:
            raise Busy("a change of members is under way")
        members = Members(tuple(voters), tuple(one for one in learners if one not in voters))
        if not members.voters or len(set(members.voters)) != len(members.voters):
            raise ValueError("the voters must be some, and different")
        if len(set(members.voters) ^ set(self.voters)) > 1:
            raise ValueError("one voter can come or go at a time")
        index = self._append_entry(EntryKind.MEMBERS, members.encode())
        self._meet_members()
        return index

    def peer_match(self, identity: str) -> int:
        """The index up to which a member is known to hold this leader's log; 0 if not known."""
        progress = self._progress.get(identity)
        return progress.match if progress else 0

    def last_heard(self, identity: str) -> int | None:
        """When a member last answered this leader in its term; None if it has not."""
        progress = self._progress.get(identity)
        return progress.heard_at if progress and progress.heard_at != NEVER else None

    def is_caught_up(self, identity: str) -> bool:
        """Whether a member may become a voter: heard of lately, not recovering, few entries behind."""
        progress = self._progress.get(identity)
        if progress is None or progress.recovering or not self._has_committed_in_term:
            return False
        recent = self.now - progress.heard_at < self.rules.election_least
        return recent and progress.match + CAUGHT_UP_WITHIN >= self.log.last_index >= progress.match > 0
