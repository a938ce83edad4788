"""How a leader changes the members of the log, and what a driver asks for that.

Voters change by joint consensus: Ongaro, Ousterhout (2014), section 6; Ongaro (2014), section 4.3. The joint
entry names the voters before and after the change. From when a replica has it in its log, committed or not,
elections, commits, leases, reads, the check of the quorum and the barrier of those recovering need a majority
of both sets. Once it is committed the leader, or the next one, appends the final entry, which names the new
voters only. Any number of voters may so be exchanged in one agreed step, and there is never a voter too many
whose loss counts.

A leader that is no voter any more counts in no majority from the final entry on, and leads until that is
committed.
"""

from dataclasses import replace

from .errors import BusyError
from .leadership_transfers import LeadershipTransfers
from .leases import Leases
from .messages import EntryKind
from .progress import NEVER, Progress
from .state import Members

MAX_CAUGHT_UP_LAG_ENTRIES = 16  # entries
MAX_FORMER_MEMBERS = 64  # members that were removed in this term, whose incarnations are known


class MembershipChanges(Leases, LeadershipTransfers):
    """Proposes changes of members, one at a time, and finishes those that it finds."""

    def _update_member_progress(self) -> None:
        """Have a Progress for each other member, and for nobody else.

        That of a member which is removed is kept for its return in this term: without its incarnations, a
        late reply of the one before a lost disk would be taken for the newest, and the present one be
        ignored.
        """
        others = [identity for identity in self.members.all if identity != self.identity]
        for identity, progress in self._progress.items():
            if identity not in others:
                progress.chunk_sender = None  # of a snapshot that is not needed any more
                self._former_progress[identity] = progress
        self._progress = {identity: self._progress_of(identity) for identity in others}
        while len(self._former_progress) > MAX_FORMER_MEMBERS:
            del self._former_progress[next(iter(self._former_progress))]

    def _progress_of(self, identity: str) -> Progress:
        progress = self._progress.get(identity)
        if progress is None and (progress := self._former_progress.pop(identity, None)):
            progress.reset_contact(self.log.last_index)
        return progress or Progress(self.log.last_index)

    def propose_members(self, now: int, voters: tuple[str, ...], learners: tuple[str, ...] = ()) -> int:
        """Append a change of members and return its index.

        The final entry of a change of voters follows once this one is committed.

        Raises:
            NotLeaderError: this replica does not lead.
            BusyError: another change is under way, or nothing of this term is committed.
            ValueError: no voter would be left, or one is named twice.

        """
        self._check_proposal(now)
        if self._is_changing or not self._has_committed_in_term:
            raise BusyError("a change of members is under way")
        members = Members(tuple(voters), tuple(one for one in learners if one not in voters))
        if not members.voters or len(set(members.voters)) != len(members.voters):
            raise ValueError("the voters must be some, and different")
        if set(members.voters) != set(self.voters):
            members = replace(members, outgoing=self.voters)
        return self._append_members(members)

    @property
    def _is_changing(self) -> bool:
        """Whether a change of members is under way."""
        return self.log.members_index > self.commit_index or self.members.is_joint

    def _append_members(self, members: Members) -> int:
        index = self._append_entry(EntryKind.MEMBERS, members.encode())
        self._update_member_progress()
        return index

    def _finish_change(self) -> None:
        """End a joint state, once both sets of voters have committed it."""
        if self.members.is_joint and self.log.members_index <= self.commit_index:
            self._append_members(self.members.final())

    def _is_removed(self) -> bool:
        """Whether this leader is no voter any more, by a change that is committed."""
        return self.log.members_index <= self.commit_index and self.identity not in self.members.electors

    def peer_match(self, identity: str) -> int:
        """The index up to which a member is known to have this leader's log; 0 if not known."""
        progress = self._progress.get(identity)
        return progress.match if progress else 0

    def last_reply_time(self, identity: str) -> int | None:
        """When a member last answered this leader in its term; None if it has not."""
        progress = self._progress.get(identity)
        return progress.last_reply_at if progress and progress.last_reply_at != NEVER else None

    def is_caught_up(self, identity: str) -> bool:
        """Whether a member may become a voter: has replied lately, is not recovering, few entries behind."""
        progress = self._progress.get(identity)
        if progress is None or progress.recovering or not self._has_committed_in_term:
            return False
        recent = self.now - progress.last_reply_at < self.config.min_election_timeout_ns
        return (
            recent and progress.match + MAX_CAUGHT_UP_LAG_ENTRIES >= self.log.last_index >= progress.match > 0
        )
