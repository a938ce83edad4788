"""A leader's majorities: the check of its quorum, leases, and linearizable reads."""

from .core import ReplicaCore
from .state import NotLeader, ReadToken


class Leases(ReplicaCore):
    """Tells whether a majority stands behind this leader."""

    def _check_quorum(self) -> None:
        """Step down when no majority has answered for the least election timeout."""
        if self.now - self._last_quorum_contact_at() >= self.config.min_election_timeout_ns:
            self._become_follower(self.term, None)

    def _last_quorum_contact_at(self) -> int:
        heard = self._majority(self.now, lambda progress: progress.last_reply_at)
        return max(heard, self._leading_since)

    @property
    def _has_committed_in_term(self) -> bool:
        return self.is_leader and self.commit_index >= self._first_of_term

    def lease_valid(self, now: int) -> bool:
        """Whether a majority answered what was sent within the lease; no other can be elected in it."""
        if not self._has_committed_in_term or self.durability.failing:
            return False
        sent_at = self._majority(now, lambda progress: progress.acknowledged_sent_at)
        return now - sent_at < self.config.lease_duration_ns

    def read_index(self, now: int) -> ReadToken:
        """Begin a linearizable read; raises NotLeader. Ask `read_ready` with the token later."""
        self.now = now
        if not self.is_leader:
            raise NotLeader(self.leader)
        self._heartbeat_wanted = True
        index = max(self.commit_index, self._first_of_term)
        return ReadToken(term=self.term, heartbeat_round=self._heartbeat_round + 1, index=index)

    def read_ready(self, token: ReadToken) -> bool | None:
        """Whether the read may use the state applied so far; None if the leadership was lost before."""
        if not self.is_leader or token.term != self.term:
            return None
        number = self._majority(self._heartbeat_round, lambda progress: progress.acknowledged_heartbeat_round)
        return number >= token.heartbeat_round and self.applied_index >= token.index
