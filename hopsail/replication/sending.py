"""A leader's messages to the other members: entries, heartbeats, snapshots."""

from collections.abc import Iterator

from .core import ReplicaCore
from .messages import AppendEntries, InstallSnapshot
from .progress import Progress

MOST_OUTSTANDING = 1024  # entries sent to a member and not yet acknowledged


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
        progress.snapshot_sent_at = None
        sent = False
        if not progress.probing or progress.send_now:
            for first in self._batches(progress):
                self._send_entries(peer, progress, first)
                sent = True
        late = progress.sent_commit < self.commit_index and not progress.probing
        if not sent and (heartbeat or progress.send_now or late):
            self._send_entries(peer, progress, None)
        progress.send_now = False

    def _batches(self, progress: Progress) -> Iterator[int]:
        """The first index of each batch to send now; one only while it is not known what the member holds."""
        while progress.next <= min(self.log.last_index, progress.match + MOST_OUTSTANDING):
            yield progress.next
            if progress.probing:
                return

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

    def _send_snapshot(self, peer: str, progress: Progress, heartbeat: bool) -> None:
        sent_at = progress.snapshot_sent_at
        if sent_at is None or self.now - sent_at >= 2 * self.rules.election_most:
            snapshot = self.log.snapshot
            progress.snapshot_sent_at = self.now
            record = snapshot.members.record()
            message = InstallSnapshot(
                self.term, snapshot.index, snapshot.term, self._round, self.now, record, snapshot.data
            )
            self._send(peer, message)
        elif heartbeat:
            self._send(peer, AppendEntries(self.term, 0, 0, 0, self._round, self.now, 0, 0, []))

    def _may_recover(self, progress: Progress) -> bool:
        """Whether the member holds the barrier, and a majority of others does."""
        return progress.recovering and 0 < progress.barrier_index <= min(self.commit_index, progress.match)
