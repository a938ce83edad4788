"""A leader's messages to the other members: entries, heartbeats, and in chunks what is too long for those."""

from collections.abc import Iterator

from .core import ReplicaCore
from .message_chunks import ChunkSender, EncodedMessage
from .messages import AppendEntries, Entry, InstallSnapshot, MessageChunk, encode
from .progress import Progress
from .state import Snapshot

MAX_OUTSTANDING_ENTRIES = 1024  # entries sent to a member and not yet acknowledged
MAX_OUTSTANDING_BYTES = 128 << 10  # beyond which no further batch is sent; 210 ms on 5 Mbit/s


class LogSender(ReplicaCore):
    """Sends each member what it lacks."""

    def _flush(self) -> None:
        """Send what the members lack."""
        if self.now >= self._heartbeat_at:
            self._heartbeat_wanted = True
        broadcast = self._heartbeat_wanted
        if broadcast:
            self._heartbeat_round += 1
            self._heartbeat_wanted = False
            self._heartbeat_at = self.now + self.config.heartbeat_interval_ns
        for peer, progress in self._progress.items():
            self._flush_to(peer, progress, broadcast)

    def _flush_to(self, peer: str, progress: Progress, broadcast: bool) -> None:
        if self.log.term_at(progress.next - 1) is None:
            self._send_snapshot(peer, progress, broadcast)
            return
        if progress.needs_snapshot:
            progress.chunk_sender = None  # the log has reached the member meanwhile
        sent = False
        if not progress.probing or progress.send_now:
            for first in self._batches(progress):
                self._send_entries(peer, progress, first)
                sent = True
            self._send_long_entry(peer, progress)
        late = progress.sent_commit < self.commit_index and not progress.probing
        if not sent and (broadcast or progress.send_now or late):
            self._send_entries(peer, progress, None)
        progress.send_now = False

    def _batches(self, progress: Progress) -> Iterator[int]:
        """The first index of each batch to send now; one only while it is not known what the member has."""
        while self._may_send_more(progress) and not self._is_long(progress.next):
            yield progress.next
            if progress.probing:
                return

    def _may_send_more(self, progress: Progress) -> bool:
        """Whether there are entries to send, and not too many under way."""
        if progress.next > min(self.log.last_index, progress.match + MAX_OUTSTANDING_ENTRIES):
            return False
        return self.log.size_between(progress.match, progress.next - 1) < MAX_OUTSTANDING_BYTES

    def _is_long(self, index: int) -> bool:
        """Whether the entry is sent in chunks."""
        return self.log.size_between(index - 1, index) > self.config.max_batch_bytes

    def _send_entries(self, peer: str, progress: Progress, first: int | None) -> None:
        """Send a batch from `first` on, or a heartbeat if that is None."""
        entries = (
            [] if first is None else self.log.slice(first, self.log.last_index, self.config.max_batch_bytes)
        )
        message = self._entries_after(progress.next - 1, entries)
        if self._may_recover(progress):
            message.recover_incarnation = progress.incarnation
            message.recover_index = progress.barrier_index
        progress.next += len(entries)
        progress.sent_commit = self.commit_index
        self._send(peer, message)

    def _entries_after(self, prev_index: int, entries: list[Entry]) -> AppendEntries:
        """Make the message that brings entries, or none, to a member that has those up to `prev_index`."""
        return AppendEntries(
            term=self.term,
            prev_index=prev_index,
            prev_term=self.log.known_term_at(prev_index),
            commit=self.commit_index,
            heartbeat_round=self._heartbeat_round,
            sent_at=self.now,
            recover_incarnation=0,
            recover_index=0,
            entries=entries,
        )

    # In chunks.

    def _send_long_entry(self, peer: str, progress: Progress) -> None:
        """Send the next entry in chunks, if it is long and the member is known to have those before it."""
        index = progress.next
        if progress.probing or index > self.log.last_index or not self._is_long(index):
            return
        if progress.chunk_sender is None or progress.chunk_sender.payload.last_index != index:
            progress.chunk_sender = self._transfer(
                self._find_entry_in_transfer(index) or self._encode_entry(index)
            )
        self._send_chunks(peer, progress.chunk_sender)

    def _encode_entry(self, index: int) -> EncodedMessage:
        """Encode the message that brings one entry."""
        entries = self.log.slice(index, index)
        message = self._entries_after(index - 1, entries)
        return EncodedMessage.create(index, entries[0].term, encode(message))

    def _find_entry_in_transfer(self, index: int) -> EncodedMessage | None:
        """Find the same entry, where it is on its way to another member."""
        for payload in self._payloads_in_transfer():
            if payload.snapshot is None and payload.last_index == index:
                return payload
        return None

    def _payloads_in_transfer(self) -> Iterator[EncodedMessage]:
        """Iterate over what is on its way to members in chunks."""
        for progress in self._progress.values():
            if progress.chunk_sender is not None:
                yield progress.chunk_sender.payload

    def _send_snapshot(self, peer: str, progress: Progress, broadcast: bool) -> None:
        sender = progress.chunk_sender
        if sender is None or not progress.needs_snapshot or not self._log_continues(sender.payload):
            sender = progress.chunk_sender = self._transfer(self._choose_snapshot())
        self._send_chunks(peer, sender)
        if broadcast:
            self._send(peer, self._heartbeat_without_log())

    def _heartbeat_without_log(self) -> AppendEntries:
        """Make a heartbeat for a member that has nothing of what is in the log."""
        return AppendEntries(
            term=self.term,
            prev_index=0,
            prev_term=0,
            commit=0,
            heartbeat_round=self._heartbeat_round,
            sent_at=self.now,
            recover_incarnation=0,
            recover_index=0,
            entries=[],
        )

    def _log_continues(self, payload: EncodedMessage) -> bool:
        """Whether the log still has all entries after a snapshot; else a newer one is needed after it."""
        return payload.last_index >= self.log.base_index

    def _choose_snapshot(self) -> EncodedMessage:
        """Choose the snapshot on its way to another member, so at most one older stays, or the newest."""
        for payload in self._payloads_in_transfer():
            if payload.snapshot is not None and self._log_continues(payload):
                return payload
        if self.log.snapshot is None:
            raise LookupError("entries are gone from the log, and there is no snapshot")
        return self._encode_snapshot(self.log.snapshot)

    def _encode_snapshot(self, snapshot: Snapshot) -> EncodedMessage:
        message = InstallSnapshot(
            term=self.term,
            index=snapshot.index,
            entry_term=snapshot.term,
            heartbeat_round=self._heartbeat_round,
            sent_at=self.now,
            members=snapshot.members.to_record(),
            data=snapshot.data,
        )
        return EncodedMessage.create(snapshot.index, snapshot.term, encode(message), snapshot)

    def _transfer(self, payload: EncodedMessage) -> ChunkSender:
        return ChunkSender(
            payload,
            self.now,
            fast_reply_time=self.config.heartbeat_interval_ns // 2,
            progress_timeout=self.config.max_election_timeout_ns,
        )

    def _send_chunks(self, peer: str, sender: ChunkSender) -> None:
        payload = sender.payload
        for offset, data in sender.take_chunks(self.now):
            chunk = MessageChunk(
                term=self.term,
                index=payload.last_index,
                entry_term=payload.entry_term,
                heartbeat_round=self._heartbeat_round,
                sent_at=self.now,
                total=len(payload.data),
                checksum=payload.checksum,
                offset=offset,
                data=data,
            )
            self._send(peer, chunk)

    def _may_recover(self, progress: Progress) -> bool:
        """Whether the member has the barrier, and a majority of others does."""
        return progress.recovering and 0 < progress.barrier_index <= min(self.commit_index, progress.match)
