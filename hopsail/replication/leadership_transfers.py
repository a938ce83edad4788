"""How a leader transfers the leadership to a successor."""

from .core import ReplicaCore
from .errors import NotLeaderError
from .messages import TimeoutNow
from .progress import NEVER


class LeadershipTransfers(ReplicaCore):
    """Names a successor that has the complete log, and steps down."""

    def transfer(self, now: int, successor: str | None = None) -> bool:
        """Transfer the leadership, to the most caught-up voter if none is named; return whether there is one.

        The successor is asked to stand once it has the complete log; until then proposals are refused. The
        transfer is given up after the shortest election timeout.

        Raises:
            NotLeaderError: this replica does not lead.

        """
        self.now = now
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        chosen = successor or self._best_successor()
        if chosen is None or chosen not in self.voters:
            return False
        progress = self._progress.get(chosen)
        if progress is None or progress.recovering:
            return False
        self._successor = chosen
        self._transfer_until = now + self.config.min_election_timeout_ns
        progress.send_now = True
        self._continue_transfer()
        return True

    def _continue_transfer(self) -> None:
        if self._successor is None or not self.is_leader:
            return
        if self._progress[self._successor].match >= self.log.last_index:
            self._step_down_for(self._successor)
        elif self.now >= self._transfer_until:
            self._successor = None

    def _step_down_for(self, successor: str | None) -> None:
        """Step down, which ends the lease, then ask the successor to stand."""
        self._become_follower(self.term, None)
        self._last_leader_contact_at = NEVER
        if successor is not None:
            self._send(successor, TimeoutNow(term=self.term))

    def _best_successor(self) -> str | None:
        """The voter with the longest log, of those that have replied lately."""
        candidates = [
            (progress.match, progress.last_reply_at, peer)
            for peer, progress in self._progress.items()
            if peer in self.voters
            and not progress.recovering
            and self.now - progress.last_reply_at < self.config.min_election_timeout_ns
        ]
        return max(candidates)[2] if candidates else None
