"""A leader's side: its term, the members' replies, commits and proposals.

A member that is recovering has forgotten votes and entries. It counts in no majority. The leader ends that
only when an entry that it proposed after it first heard of the member's present incarnation (the barrier)
is committed without the member, and the member holds it.

A confirmed round would not do: a candidate of a later term that holds a forgotten vote may still be waiting
for other votes, and the member could vote again in that term. With the barrier, such a candidate stood for
election before the barrier was proposed, so it does not hold it. Those who have synced the barrier refuse
it their vote; had one voted for it earlier, it would not have taken the barrier. Forgotten entries are safe
likewise: who led a later term, in which the member synced them, was elected by one of those who have synced
the barrier.
"""

from .core import Role
from .membership_changes import MembershipChanges
from .messages import AppendEntriesReply, EntryKind, InstallSnapshotReply, PieceReply
from .progress import Progress
from .sending import Sending
from .state import Busy, NotLeader


class Leading(Sending, MembershipChanges):
    """Leads a term."""

    def _become_leader(self) -> None:
        self._start_leader_state()
        self.role = Role.LEADER
        self._end_freshness()
        self.leader = self.identity
        self._heard_quorum_since = self.now
        self._meet_members()
        bootstrapping = self.log.last_index == 0
        kind = EntryKind.MEMBERS if bootstrapping else EntryKind.NOOP
        data = self.members.encode() if bootstrapping else b""
        self._first_of_term = self._append_entry(kind, data)
        self._round_wanted = True

    # Replies.

    def _on_append_entries_reply(self, peer: str, reply: AppendEntriesReply) -> None:
        progress = self._take_reply(peer, reply)
        if progress is None:
            return
        if reply.success:
            progress.matched(reply.match)
            if not progress.needs_snapshot:
                progress.probing = False
            self._after_match(progress)
        elif not progress.needs_snapshot:
            progress.transfer = None
            progress.next = max(progress.match, min(reply.hint, progress.next - 1)) + 1
            progress.probing = progress.send_now = True

    def _on_install_snapshot_reply(self, peer: str, reply: InstallSnapshotReply) -> None:
        progress = self._take_reply(peer, reply)
        if progress is None:
            return
        progress.matched(reply.match)
        if not progress.needs_snapshot:
            progress.probing = False
        self._after_match(progress)

    def _on_piece_reply(self, peer: str, reply: PieceReply) -> None:
        progress = self._take_reply(peer, reply)
        if progress is not None and progress.transfer is not None:
            progress.transfer.answered(reply, self.now)

    def _take_reply(
        self, peer: str, reply: AppendEntriesReply | InstallSnapshotReply | PieceReply
    ) -> Progress | None:
        """The progress of a member that has answered this leader in its term."""
        if reply.term > self.term:
            self._become_follower(reply.term, None)
            return None
        progress = self._progress.get(peer)
        if reply.term < self.term or not self.is_leader or progress is None:
            return None
        if not progress.meets(reply.incarnation, reply.recovering, self.log.last_index, reply.sent_at):
            return None
        if progress.recovering and not progress.barrier_index:
            progress.barrier_index = self._append_entry(EntryKind.NOOP, b"")
        progress.heard_at = self.now
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, reply.sent_at)
        return progress

    def _after_match(self, progress: Progress) -> None:
        if self._may_recover(progress):
            progress.send_now = True
        self._advance_commit()
        self._continue_transfer()

    def _advance_commit(self) -> None:
        index = self._majority(self.durability.durable_index, lambda progress: progress.match)
        if index <= self.commit_index or not self._may_commit(index):
            return
        self.commit_index = index
        for progress in self._progress.values():
            progress.send_now = progress.send_now or self._may_recover(progress)
        self._finish_change()
        if self._is_removed():
            self._hand_over(self._best_successor())

    def _may_commit(self, index: int) -> bool:
        """Whether counting suffices: entries of earlier terms need one of this term after them."""
        return self.log.term_at(index) == self.term

    # Proposals.

    def propose(self, now: int, data: bytes) -> int:
        """Append an entry and return its index; raises NotLeader and Busy."""
        self._check_proposal(now)
        return self._append_entry(EntryKind.DATA, data)

    def _check_proposal(self, now: int) -> None:
        self.now = now
        if not self.is_leader:
            raise NotLeader(self.leader)
        if self._successor is not None:
            raise Busy("the leadership is being handed over")
        if self.log.last_index - self.commit_index >= self.rules.most_uncommitted:
            raise Busy("too many entries are not committed yet")
