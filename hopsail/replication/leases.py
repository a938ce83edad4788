"""A leader's majorities: the check of its quorum, leases, and linearizable reads."""

from .core import ReplicaCore
from .errors import NotLeaderError
from .state import ReadToken


class Leases(ReplicaCore):
    """Decides whether a majority follows this leader."""

    def _check_quorum(self) -> None:
        """Step down when no majority has replied for the shortest election timeout."""
        if self.now - self._last_quorum_contact_at() >= self.config.min_election_timeout_ns:
            self._become_follower(self.term, None)

    def _last_quorum_contact_at(self) -> int:
        replied = self._majority(self.now, lambda progress: progress.last_reply_at)
        return max(replied, self._leading_since)

    @property
    def _has_committed_in_term(self) -> bool:
        return self.is_leader and self.commit_index >= self._first_of_term

    def lease_valid(self, now: int) -> bool:
        """Whether a majority has answered what was sent within the lease; no other can be elected in it."""
        if not self._has_committed_in_term or self.durability.failing:
            return False
        sent_at = self._majority(now, lambda progress: progress.acknowledged_sent_at)
        return now - sent_at < self.config.lease_duration_ns

    def read_index(self, now: int) -> ReadToken:
        """Begin a linearizable read; `read_ready` tells for the token when it may be answered.

        Raises:
            NotLeaderError: this replica does not lead.

        """
        self.now = now
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        self._heartbeat_wanted = True
        index = max(self.commit_index, self._first_of_term)
        return ReadToken(term=self.term, heartbeat_round=self._heartbeat_round + 1, read_index=index)

    def read_ready(self, token: ReadToken) -> bool | None:
        """Whether the read may use the state applied so far; None if the leadership was lost meanwhile."""
        if not self.is_leader or token.term != self.term:
            return None
        confirmed_round = self._majority(self._heartbeat_round, lambda progress: progress.acknowledged_round)
        return confirmed_round >= token.heartbeat_round and self.applied_index >= token.read_index
