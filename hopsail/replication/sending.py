"""A leader's messages to the other members: entries, heartbeats, and in pieces what is too long for those."""

from collections.abc import Iterator

from .core import ReplicaCore
from .messages import AppendEntries, InstallSnapshot, Piece, encode
from .pieces import PieceSender, Whole
from .progress import Progress

MOST_OUTSTANDING = 1024  # entries sent to a member and not yet acknowledged
MOST_OUTSTANDING_BYTES = 128 << 10  # beyond which no further batch is sent; 210 ms on 5 Mbit/s


class Sending(ReplicaCore):
    """Sends each member what it lacks."""

    def _flush(self) -> None:
        """Send what the members lack."""
        if self.now >= self._heartbeat_at:
            self._round_wanted = True
        everyone = self._round_wanted
        if everyone:
            self._round += 1
            self._round_wanted = False
            self._heartbeat_at = self.now + self.rules.heartbeat
        for peer, progress in self._progress.items():
            self._flush_to(peer, progress, everyone)

    def _flush_to(self, peer: str, progress: Progress, heartbeat: bool) -> None:
        if self.log.term_at(progress.next - 1) is None:
            self._send_snapshot(peer, progress, heartbeat)
            return
        if progress.needs_snapshot:
            progress.transfer = None  # the log has reached the member meanwhile
        sent = False
        if not progress.probing or progress.send_now:
            for first in self._batches(progress):
                self._send_entries(peer, progress, first)
                sent = True
            self._send_long_entry(peer, progress)
        late = progress.sent_commit < self.commit_index and not progress.probing
        if not sent and (heartbeat or progress.send_now or late):
            self._send_entries(peer, progress, None)
        progress.send_now = False

    def _batches(self, progress: Progress) -> Iterator[int]:
        """The first index of each batch to send now; one only while it is not known what the member holds."""
        while self._may_send_more(progress) and not self._is_long(progress.next):
            yield progress.next
            if progress.probing:
                return

    def _may_send_more(self, progress: Progress) -> bool:
        """Whether there are entries to send, and not too many under way."""
        if progress.next > min(self.log.last_index, progress.match + MOST_OUTSTANDING):
            return False
        return self.log.size_between(progress.match, progress.next - 1) < MOST_OUTSTANDING_BYTES

    def _is_long(self, index: int) -> bool:
        """Whether the entry is sent in pieces."""
        return self.log.size_between(index - 1, index) > self.rules.max_batch_bytes

    def _send_entries(self, peer: str, progress: Progress, first: int | None) -> None:
        prev = progress.next - 1
        entries = (
            [] if first is None else self.log.slice(first, self.log.last_index, self.rules.max_batch_bytes)
        )
        recovers = self._may_recover(progress)
        message = AppendEntries(
            self.term,
            prev,
            self.log.term_at(prev),
            self.commit_index,
            self._round,
            self.now,
            progress.incarnation if recovers else 0,
            progress.barrier_index if recovers else 0,
            entries,
        )
        progress.next += len(entries)
        progress.sent_commit = self.commit_index
        self._send(peer, message)

    # In pieces.

    def _send_long_entry(self, peer: str, progress: Progress) -> None:
        """Send the next entry in pieces, if it is long and the member is known to hold those before it."""
        index = progress.next
        if progress.probing or index > self.log.last_index or not self._is_long(index):
            return
        if progress.transfer is None or progress.transfer.whole.last_index != index:
            progress.transfer = self._transfer(self._whole_under_way(index) or self._whole_entry(index))
        self._send_pieces(peer, progress.transfer)

    def _whole_entry(self, index: int) -> Whole:
        """The message that brings one entry."""
        prev, entries = index - 1, self.log.slice(index, index)
        message = AppendEntries(
            self.term,
            prev,
            self.log.term_at(prev),
            self.commit_index,
            self._round,
            self.now,
            0,
            0,
            entries,
        )
        return Whole.of(index, entries[0].term, encode(message))

    def _whole_under_way(self, index: int) -> Whole | None:
        """The same entry, where it is on its way to another member."""
        transfers = [progress.transfer for progress in self._progress.values() if progress.transfer]
        wholes = [one.whole for one in transfers if one.whole.snapshot is None]
        return next((whole for whole in wholes if whole.last_index == index), None)

    def _send_snapshot(self, peer: str, progress: Progress, heartbeat: bool) -> None:
        if not progress.needs_snapshot or not self._is_followed(progress.transfer.whole):
            progress.transfer = self._transfer(self._whole_snapshot())
        self._send_pieces(peer, progress.transfer)
        if heartbeat:
            self._send(peer, AppendEntries(self.term, 0, 0, 0, self._round, self.now, 0, 0, []))

    def _is_followed(self, whole: Whole) -> bool:
        """Whether the log still has all entries after a snapshot; else a newer one is needed after it."""
        return whole.last_index >= self.log.base_index

    def _whole_snapshot(self) -> Whole:
        """The snapshot on its way to another member, so that one older at most is kept, or the newest."""
        transfers = [progress.transfer for progress in self._progress.values() if progress.needs_snapshot]
        for transfer in transfers:
            if self._is_followed(transfer.whole):
                return transfer.whole
        snapshot = self.log.snapshot
        record = snapshot.members.record()
        message = InstallSnapshot(
            self.term, snapshot.index, snapshot.term, self._round, self.now, record, snapshot.data
        )
        return Whole.of(snapshot.index, snapshot.term, encode(message), snapshot)

    def _transfer(self, whole: Whole) -> PieceSender:
        return PieceSender(whole, self.now, self.rules.heartbeat // 2, self.rules.election_most)

    def _send_pieces(self, peer: str, transfer: PieceSender) -> None:
        whole = transfer.whole
        for offset, data in transfer.pieces(self.now):
            piece = Piece(
                self.term,
                whole.last_index,
                whole.entry_term,
                self._round,
                self.now,
                len(whole.data),
                whole.checksum,
                offset,
                data,
            )
            self._send(peer, piece)

    def _may_recover(self, progress: Progress) -> bool:
        """Whether the member holds the barrier, and a majority of others does."""
        return progress.recovering and 0 < progress.barrier_index <= min(self.commit_index, progress.match)
