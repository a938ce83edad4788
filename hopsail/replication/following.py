"""A follower's side of replication: entries, snapshots, acknowledgements, and the end of recovering."""

from .core import ReplicaCore, Role
from .messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    MessageError,
    Piece,
    PieceReply,
    decode,
)
from .pieces import PieceReceiver
from .state import Members, Snapshot


class Following(ReplicaCore):
    """Takes the log from the leader of the term."""

    def _start_follower_state(self, started_at: int) -> None:
        super()._start_follower_state(started_at)
        self._pieces = PieceReceiver(self.rules.most_snapshot_bytes)

    def _on_append_entries(self, leader: str, message: AppendEntries) -> None:
        if not self._accept_leader(leader, message.term):
            return
        if message.prev_index > self.log.base_index and not self._agrees(message):
            self._refuse(leader, message)
            return
        self._store_entries(message)
        last = message.prev_index + len(message.entries)
        self._verified_index = max(self._verified_index, last)
        self.commit_index = max(self.commit_index, min(message.commit, self._verified_index))
        self._end_recovering(leader, message)
        self._acknowledgement = (leader, message.round, message.sent_at)
        self._acknowledge()

    def _accept_leader(self, leader: str, term: int) -> bool:
        """Whether the sender leads this term or a later one; if not, it is told the later term."""
        if term < self.term:
            self._send_when_durable(leader, self._reply(False, 0, 0, 0, 0))
            return False
        if term == self.term and self.role is Role.LEADER:
            return False
        self._hear_leader(term, leader)
        return True

    def _agrees(self, message: AppendEntries) -> bool:
        return self.log.term_at(message.prev_index) == message.prev_term

    def _refuse(self, leader: str, message: AppendEntries) -> None:
        if not self._term_is_durable:
            return
        if message.prev_index > self.log.last_index:
            hint = self.log.last_index
        else:
            hint = max(self.log.first_of_term(message.prev_index) - 1, self.commit_index)
        self._send(leader, self._reply(False, 0, hint, message.round, message.sent_at))

    def _store_entries(self, message: AppendEntries) -> None:
        for position, entry in enumerate(message.entries):
            if entry.index <= self.log.base_index or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
                self.durability.truncated(entry.index)
            self.log.append(message.entries[position:])
            return

    def _acknowledge(self) -> None:
        """Answer the leader, if the term is synced: what it has sent counts up to where the disk has it."""
        if self._acknowledgement is None or not self._term_is_durable:
            return
        leader, number, sent_at = self._acknowledgement
        match = self._acknowledged_index()
        if match >= self._verified_index:
            self._acknowledgement = None
        self._send(leader, self._reply(True, match, 0, number, sent_at))

    def _acknowledged_index(self) -> int:
        return min(self._verified_index, self.durability.durable_index)

    def _reply(self, success: bool, match: int, hint: int, number: int, sent_at: int) -> AppendEntriesReply:
        return AppendEntriesReply(
            self.term, success, match, hint, number, sent_at, self.incarnation, self.recovering
        )

    def _end_recovering(self, leader: str, message: AppendEntries) -> None:
        """Take the leader's word that a majority of others stands behind it; vote in later terms only."""
        if self._recovered_marked or message.recover_incarnation != self.incarnation:
            return
        if self._verified_index < message.recover_index:
            return
        self.voted_for = leader
        self._recovered_marked = True
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
            self.term, message.index, message.round, message.sent_at, self.incarnation, self.recovering
        )
        self._send_when_durable(leader, reply)

    def _replace_log(self, message: InstallSnapshot) -> None:
        snapshot = Snapshot(message.index, message.entry_term, Members.of(message.members), message.data)
        self.log.reset(snapshot)
        self.durability.reset(snapshot)
        self.commit_index = self.applied_index = snapshot.index
        self._installed = snapshot

    def _on_piece(self, leader: str, piece: Piece) -> None:
        if not self._accept_leader(leader, piece.term):
            return
        if self._has_what_it_brings(piece):
            self._verified_index = max(self._verified_index, piece.index)
            received, whole = piece.total, None
        else:
            received, whole = self._pieces.take(piece)
        self._answer_piece(leader, piece, received)
        if whole is not None:
            self._take_whole(leader, piece, whole)

    def _has_what_it_brings(self, piece: Piece) -> bool:
        """Whether the log agrees with the leader's up to there: it is committed, or of the same term."""
        return piece.index <= self.commit_index or self.log.term_at(piece.index) == piece.entry_term

    def _answer_piece(self, leader: str, piece: Piece, received: int) -> None:
        reply = PieceReply(
            self.term,
            piece.checksum,
            piece.offset,
            received,
            piece.round,
            piece.sent_at,
            self.incarnation,
            self.recovering,
        )
        if self._term_is_durable:
            self._send(leader, reply)
        else:
            self._send_when_durable(leader, reply)

    def _take_whole(self, leader: str, piece: Piece, data: bytes) -> None:
        """Handle the message that the pieces add up to."""
        try:
            message = decode(data)
        except MessageError:
            return
        if isinstance(message, InstallSnapshot | AppendEntries) and message.term == piece.term:
            self._handle(leader, message)
