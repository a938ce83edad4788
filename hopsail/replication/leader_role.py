"""A leader's side: its term, the members' replies, commits and proposals.

A member that is recovering has forgotten votes and entries. It counts in no majority. The leader ends that
only when an entry that it proposed after the first reply of the member's present incarnation (the barrier)
is committed without the member, and the member has it.

A confirmed round would not do: a candidate of a later term that holds a forgotten vote may still be waiting
for other votes, and the member could vote again in that term. With the barrier, such a candidate stood for
election before the barrier was proposed, so it does not have it. Those who have synced the barrier refuse
it their vote; had one voted for it earlier, it would not have taken the barrier. Forgotten entries are safe
likewise: who led a later term, in which the member synced them, was elected by one of those who have synced
the barrier.
"""

from .errors import BusyError, NotLeaderError
from .log_sender import LogSender
from .membership_changes import MembershipChanges
from .messages import AppendEntriesReply, EntryKind, InstallSnapshotReply, MessageChunkReply
from .progress import Progress
from .replica_state import Role


class LeaderRole(LogSender, MembershipChanges):
    """Leads a term."""

    def _become_leader(self) -> None:
        self._start_leader_state()
        self.role = Role.LEADER
        self._record_leader_seen()
        self.leader = self.identity
        self._leading_since = self.now
        self._update_member_progress()
        bootstrapping = self.log.last_index == 0
        kind = EntryKind.MEMBERS if bootstrapping else EntryKind.NOOP
        data = self.members.encode() if bootstrapping else b""
        self._first_of_term = self._append_entry(kind, data)
        self._heartbeat_wanted = True

    # Replies.

    def _on_append_entries_reply(self, peer: str, reply: AppendEntriesReply) -> None:
        progress = self._process_reply(peer, reply)
        if progress is None:
            return
        if reply.success:
            progress.record_match(reply.match)
            if not progress.needs_snapshot:
                progress.probing = False
            self._after_match(progress)
        elif not progress.needs_snapshot:
            progress.chunk_sender = None
            progress.next = max(progress.match, min(reply.hint, progress.next - 1)) + 1
            progress.probing = progress.send_now = True

    def _on_install_snapshot_reply(self, peer: str, reply: InstallSnapshotReply) -> None:
        progress = self._process_reply(peer, reply)
        if progress is None:
            return
        progress.record_match(reply.match)
        if not progress.needs_snapshot:
            progress.probing = False
        self._after_match(progress)

    def _on_message_chunk_reply(self, peer: str, reply: MessageChunkReply) -> None:
        progress = self._process_reply(peer, reply)
        if progress is not None and progress.chunk_sender is not None:
            progress.chunk_sender.record_reply(reply, self.now)

    def _process_reply(
        self, peer: str, reply: AppendEntriesReply | InstallSnapshotReply | MessageChunkReply
    ) -> Progress | None:
        """The progress of a member that has answered this leader in its term."""
        if reply.term > self.term:
            self._become_follower(reply.term, None)
            return None
        progress = self._progress.get(peer)
        if reply.term < self.term or not self.is_leader or progress is None:
            return None
        if not progress.accept_incarnation(
            reply.incarnation, reply.recovering, self.log.last_index, reply.sent_at
        ):
            return None
        if progress.recovering and not progress.barrier_index:
            progress.barrier_index = self._append_entry(EntryKind.NOOP, b"")
        progress.last_reply_at = self.now
        progress.acknowledged_round = max(progress.acknowledged_round, reply.heartbeat_round)
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
            self._step_down_for(self._best_successor())

    def _may_commit(self, index: int) -> bool:
        """Whether counting suffices: entries of earlier terms need one of this term after them."""
        return self.log.term_at(index) == self.term

    # Proposals.

    def propose(self, now: int, data: bytes) -> int:
        """Append an entry and return its index.

        Raises:
            NotLeaderError: this replica does not lead.
            BusyError: the leadership is being transferred, or too many entries are not committed yet.

        """
        self._check_proposal(now)
        return self._append_entry(EntryKind.DATA, data)

    def _check_proposal(self, now: int) -> None:
        self.now = now
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        if self._successor is not None:
            raise BusyError("the leadership is being transferred")
        if self.log.last_index - self.commit_index >= self.config.max_uncommitted_entries:
            raise BusyError("too many entries are not committed yet")
