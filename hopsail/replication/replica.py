"""One replica of a replicated log, without I/O and without a clock.

Ongaro, Ousterhout, "In search of an understandable consensus algorithm" (2014), with pre-vote, check of the
quorum, leases by the steady clock, linearizable reads, transfers, changes of voters by joint consensus,
and the return of voters that have lost their disk (see `leader_role.py`).

The driver gives `receive` and `tick` the time, does what `take_ready` returns, and says `persisted` or
`storage_failed` when a write has ended. Before every call the driver reads its steady clock anew.
"""

from typing import ClassVar

from .election import Elections
from .follower_role import FollowerRole
from .leader_role import LeaderRole
from .member_requests import MemberRequests
from .messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    LeaveReply,
    MemberRequest,
    MessageChunk,
    MessageChunkReply,
    RequestVote,
    RequestVoteReply,
    RestartQuery,
    RestartReply,
    TimeoutNow,
)
from .progress import NEVER
from .replica_state import Role
from .state import MILLISECOND, PeerStatus, Ready, ReplicaStatus, Snapshot
from .structs import Struct

STORAGE_RETRY_NS = 200 * MILLISECOND
RECENT_REPLY_NS = 10_000 * MILLISECOND  # entries are kept for a member that has answered within it
MAX_APPLIED_ENTRIES = 1024  # entries in one Ready


class Replica(MemberRequests, LeaderRole, FollowerRole, Elections):
    """A replica of one log; see the module for how it is driven."""

    _HANDLERS: ClassVar[dict[type[Struct], str]] = {
        RequestVote: "_on_request_vote",
        RequestVoteReply: "_on_request_vote_reply",
        AppendEntries: "_on_append_entries",
        AppendEntriesReply: "_on_append_entries_reply",
        InstallSnapshot: "_on_install_snapshot",
        InstallSnapshotReply: "_on_install_snapshot_reply",
        TimeoutNow: "_on_timeout_now",
        MessageChunk: "_on_message_chunk",
        MessageChunkReply: "_on_message_chunk_reply",
        MemberRequest: "_on_member_request",
        LeaveReply: "_on_leave_reply",
        RestartQuery: "_on_restart_query",
        RestartReply: "_on_restart_reply",
    }

    def receive(self, now: int, sender: str, message: Struct) -> None:
        """Handle a message of another replica; `sender` is its identity."""
        self.tick(now)
        if sender != self.identity:
            self._handle(sender, message)

    def _handle(self, sender: str, message: Struct) -> None:
        getattr(self, self._HANDLERS[type(message)])(sender, message)

    @property
    def due(self) -> int:
        """When `tick` is needed next."""
        if self.is_leader:
            due = min(
                self._heartbeat_at, self._last_quorum_contact_at() + self.config.min_election_timeout_ns
            )
        else:
            due = self._election_at
            if self._may_check_restarts():
                due = min(due, self._restart_query_at)
            if self._leaving_since is not None:
                due = min(due, self._leave_request_at)
        if self.durability.failing and self.durability.in_flight is None:
            due = min(due, self._retry_storage_at)
        return due

    def tick(self, now: int) -> None:
        """Do what is due."""
        self.now = max(now, self.now)
        if self.is_leader:
            self._check_quorum()
            self._continue_transfer()
        elif now >= self._election_at:
            self._election_timeout()
        if not self.is_leader:
            self._check_restarts()
            self._request_leave()

    def take_ready(self) -> Ready | None:
        """What is to be done now; None if nothing is."""
        if self.is_leader:
            self._flush()
        waiting = self.durability.failing and self.now < self._retry_storage_at
        ready = (None if waiting else self.durability.next_write(self.log)) or Ready()
        ready.installed, self._installed = self._installed, None
        ready.committed = self._collect_committed()
        ready.messages, self._outgoing = self._outgoing, []
        if ready.must_persist or ready.installed or ready.committed or ready.messages:
            return ready
        return None

    def _collect_committed(self) -> list[Entry]:
        last = min(self.commit_index, self.applied_index + MAX_APPLIED_ENTRIES)
        entries = self.log.slice(self.applied_index + 1, last) if last > self.applied_index else []
        self.applied_index = last
        self._chunk_receiver.drop_up_to(last)
        return entries

    def persisted(self, now: int, serial: int | None = None) -> None:
        """The last Ready that had to be stored is synced; `serial`, if given, says which."""
        self.now = max(now, self.now)
        done = self.durability.complete_write(serial)
        if done is None:
            return
        if done.hard_state and done.hard_state.recovered:
            self.recovering = False
        for peer, message in done.pending_messages:
            self._send(peer, message)
        if self.is_leader:
            self._advance_commit()
        else:
            self._acknowledge()

    def storage_failed(self, now: int) -> None:
        """The write under way has failed: nothing of it counts, it is offered again after a while."""
        self.now = max(now, self.now)
        self.durability.fail_write()
        self._retry_storage_at = now + STORAGE_RETRY_NS
        self._stop_relying_on_storage()

    def storage_stalled(self, now: int) -> None:
        """The write under way takes too long: stop leading. `persisted` or `storage_failed` follows later."""
        self.now = max(now, self.now)
        self.durability.failing = True
        self._stop_relying_on_storage()

    def _stop_relying_on_storage(self) -> None:
        if self.durability.in_flight is None:
            self._change_hard_state()  # something to write, to find out when the disk works again
        if self.is_leader:
            self._step_down_for(self._best_successor())
        elif self.role is not Role.FOLLOWER:
            self._become_follower(self.term, None)

    @property
    def snapshot_due(self) -> bool:
        """Whether the driver should give a snapshot by `compact`."""
        first, last = self.log.snapshot_index, self.applied_index
        if last - first >= self.config.snapshot_after:
            return True
        return last > first and self.log.size_between(first, last) >= self.config.snapshot_after_bytes

    def compact(self, snapshot_index: int, data: bytes) -> None:
        """Compact the log by the state machine's snapshot at `snapshot_index`, which must have been applied.

        Raises:
            ValueError: it has not been applied, or there is a later snapshot.

        """
        if not self.log.snapshot_index < snapshot_index <= self.applied_index:
            raise ValueError(f"no snapshot can be taken at {snapshot_index}")
        term, members = self.log.known_term_at(snapshot_index), self.log.members_at(snapshot_index)
        snapshot = Snapshot(snapshot_index, term, members, data)
        self.log.compact(snapshot, self._lowest_needed())
        self.durability.record_snapshot(snapshot)

    def _lowest_needed(self) -> int:
        """The index after which the members that have replied lately need the entries."""
        needed = [
            progress.expected_match
            for progress in self._progress.values()
            if self.now - progress.last_reply_at < RECENT_REPLY_NS
        ]
        return min(needed, default=self.log.last_index)

    def status(self, now: int) -> ReplicaStatus:
        """The replica in figures."""
        peers = {
            peer: PeerStatus(
                progress.match,
                progress.recovering,
                None if progress.last_reply_at == NEVER else now - progress.last_reply_at,
            )
            for peer, progress in self._progress.items()
        }
        return ReplicaStatus(
            identity=self.identity,
            role=self.role.value,
            term=self.term,
            leader=self.leader,
            last_index=self.log.last_index,
            commit_index=self.commit_index,
            applied_index=self.applied_index,
            durable_index=self.durability.durable_index,
            recovering=self.recovering,
            storage_failing=self.durability.failing,
            lease_valid=self.lease_valid(now),
            members=self.members,
            peers=peers,
        )
