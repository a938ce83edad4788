"""A follower's side of replication: entries, snapshots, acknowledgements, and the end of recovering."""

from .core import ReplicaCore
from .errors import MessageError
from .messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    MessageChunk,
    MessageChunkReply,
    decode,
)
from .replica_state import PendingAcknowledgement, Role
from .state import Members, Snapshot


class FollowerRole(ReplicaCore):
    """Takes the log from the leader of the term."""

    def _on_append_entries(self, leader: str, message: AppendEntries) -> None:
        if not self._accept_leader(leader, message.term):
            return
        if message.prev_index > self.log.base_index and not self._agrees(message):
            self._reject_entries(leader, message)
            return
        self._store_entries(message)
        last = message.prev_index + len(message.entries)
        self._verified_index = max(self._verified_index, last)
        self.commit_index = max(self.commit_index, min(message.commit, self._verified_index))
        self._end_recovering(leader, message)
        self._acknowledgement = PendingAcknowledgement(leader, message.heartbeat_round, message.sent_at)
        self._acknowledge()

    def _accept_leader(self, leader: str, term: int) -> bool:
        """Whether the sender leads this term or a later one; if not, it is sent the later term."""
        if term < self.term:
            self._send_when_durable(leader, self._reply(False, 0, 0, 0, 0))
            return False
        if term == self.term and self.role is Role.LEADER:
            return False
        self._follow_leader(term, leader)
        return True

    def _agrees(self, message: AppendEntries) -> bool:
        return self.log.term_at(message.prev_index) == message.prev_term

    def _reject_entries(self, leader: str, message: AppendEntries) -> None:
        if not self._term_is_durable:
            return
        if message.prev_index > self.log.last_index:
            hint = self.log.last_index
        else:
            hint = max(self.log.first_of_term(message.prev_index) - 1, self.commit_index)
        self._send(leader, self._reply(False, 0, hint, message.heartbeat_round, message.sent_at))

    def _store_entries(self, message: AppendEntries) -> None:
        for position, entry in enumerate(message.entries):
            if entry.index <= self.log.base_index or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
                self.durability.record_truncation(entry.index)
            self.log.append(message.entries[position:])
            return

    def _acknowledge(self) -> None:
        """Acknowledge to the leader, if the term is synced, what it has sent and the disk has."""
        if self._acknowledgement is None or not self._term_is_durable:
            return
        leader, number, sent_at = self._acknowledgement
        match = self._acknowledged_index()
        if match >= self._verified_index:
            self._acknowledgement = None
        self._send(leader, self._reply(True, match, 0, number, sent_at))

    def _acknowledged_index(self) -> int:
        """The index up to which the log is synced, and agrees with the leader's."""
        return min(self._verified_index, self.durability.durable_index)

    def _reply(self, success: bool, match: int, hint: int, number: int, sent_at: int) -> AppendEntriesReply:
        return AppendEntriesReply(
            term=self.term,
            success=success,
            match=match,
            hint=hint,
            heartbeat_round=number,
            sent_at=sent_at,
            incarnation=self.incarnation,
            recovering=self.recovering,
        )

    def _end_recovering(self, leader: str, message: AppendEntries) -> None:
        """End recovering, as a majority of others confirms the leader; vote in later terms only."""
        if self._recovery_recorded or message.recover_incarnation != self.incarnation:
            return
        if self._verified_index < message.recover_index:
            return
        self.voted_for = leader
        self._recovery_recorded = True
        self._change_hard_state()

    def _on_install_snapshot(self, leader: str, message: InstallSnapshot) -> None:
        if not self._accept_leader(leader, message.term):
            return
        if message.index > self.commit_index:
            if self.log.term_at(message.index) == message.entry_term:
                self.commit_index = message.index
            else:
                self._replace_log(message)
        self._verified_index = max(self._verified_index, message.index)
        reply = InstallSnapshotReply(
            term=self.term,
            match=message.index,
            heartbeat_round=message.heartbeat_round,
            sent_at=message.sent_at,
            incarnation=self.incarnation,
            recovering=self.recovering,
        )
        self._send_when_durable(leader, reply)

    def _replace_log(self, message: InstallSnapshot) -> None:
        snapshot = Snapshot(
            message.index, message.entry_term, Members.from_record(message.members), message.data
        )
        self.log.reset(snapshot)
        self.durability.record_reset(snapshot)
        self.commit_index = self.applied_index = snapshot.index
        self._installed = snapshot

    def _on_message_chunk(self, leader: str, chunk: MessageChunk) -> None:
        if not self._accept_leader(leader, chunk.term):
            return
        if self._has_what_it_brings(chunk):
            self._verified_index = max(self._verified_index, chunk.index)
            received, payload = chunk.total, None
        else:
            received, payload = self._chunk_receiver.add(chunk)
        self._acknowledge_chunk(leader, chunk, received)
        if payload is not None:
            self._handle_payload(leader, chunk, payload)

    def _has_what_it_brings(self, chunk: MessageChunk) -> bool:
        """Whether the log agrees with the leader's up to there: it is committed, or of the same term."""
        return chunk.index <= self.commit_index or self.log.term_at(chunk.index) == chunk.entry_term

    def _acknowledge_chunk(self, leader: str, chunk: MessageChunk, received: int) -> None:
        reply = MessageChunkReply(
            term=self.term,
            checksum=chunk.checksum,
            offset=chunk.offset,
            received=received,
            heartbeat_round=chunk.heartbeat_round,
            sent_at=chunk.sent_at,
            incarnation=self.incarnation,
            recovering=self.recovering,
        )
        if self._term_is_durable:
            self._send(leader, reply)
        else:
            self._send_when_durable(leader, reply)

    def _handle_payload(self, leader: str, chunk: MessageChunk, data: bytes) -> None:
        """Handle the message that the chunks add up to."""
        try:
            message = decode(data)
        except MessageError:
            return
        if isinstance(message, InstallSnapshot | AppendEntries) and message.term == chunk.term:
            self._handle(leader, message)
