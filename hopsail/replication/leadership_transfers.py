"""How a leader hands the leadership over to a successor."""

from .core import ReplicaCore
from .messages import TimeoutNow
from .progress import NEVER
from .state import NotLeader


class LeadershipTransfers(ReplicaCore):
    """Names a successor that holds the whole log, and steps down."""

    def transfer(self, now: int, successor: str | None = None) -> bool:
        """Hand the leadership over, to the most caught-up voter if none is named; whether there is one.

        The successor is told once it holds the whole log; until then proposals are refused. The hand-over is
        given up after the least election timeout.
        """
        self.now = now
        if not self.is_leader:
            raise NotLeader(self.leader)
        chosen = successor or self._best_successor()
        able = chosen in self._progress and chosen in self.voters
        if not able or self._progress[chosen].recovering:
            return False
        self._successor = chosen
        self._transfer_until = now + self.config.min_election_timeout_ns
        self._progress[chosen].send_now = True
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
        """Step down, so that the lease is over for good, then name the successor."""
        self._become_follower(self.term, None)
        self._last_leader_contact_at = NEVER
        if successor is not None:
            self._send(successor, TimeoutNow(term=self.term))

    def _best_successor(self) -> str | None:
        """The voter heard of lately whose log is longest."""
        able = [
            (progress.match, progress.last_reply_at, peer)
            for peer, progress in self._progress.items()
            if peer in self.voters
            and not progress.recovering
            and self.now - progress.last_reply_at < self.config.min_election_timeout_ns
        ]
        return max(able)[2] if able else None
