"""What a replica asks of the leader for its own membership: to receive the log, and to leave.

One that is to end asks until the leader replies that what it has is on a majority without it. From the first
such answer on it acknowledges nothing new: the leader must not rely on it for what it would take away.
"""

from collections.abc import Iterable

from .core import ReplicaCore
from .messages import LeaveReply, MemberRequest
from .progress import NEVER
from .state import MILLISECOND

LEAVE_REQUEST_INTERVAL_NS = 100 * MILLISECOND
LEADERLESS_TIMEOUT_NS = 1500 * MILLISECOND  # a member that leaves waits no longer for a leader
MEMBER_REQUEST_TTL_NS = 2000 * MILLISECOND
NEW_LEADER_GRACE_NS = (
    300 * MILLISECOND
)  # before a new leader lets members leave: new ones ask to join meanwhile
MAX_MEMBER_REQUESTS = 64


class MemberRequests(ReplicaCore):
    """Both sides of these requests."""

    # The side that asks.

    def ask_to_join(self, now: int, peers: Iterable[str]) -> None:
        """Request from these to receive the log, unless this replica does."""
        self.now = max(now, self.now)
        has_leader = self.is_leader or self.now - self._last_leader_contact_at < LEADERLESS_TIMEOUT_NS
        if self._leaving_since is not None or (has_leader and self.identity in self.members.all):
            return
        for peer in peers:
            if peer != self.identity:
                self._send(peer, MemberRequest(leaving=False))

    def leave(self, now: int) -> None:
        """This replica is to end: ask the leader from now on. A leader should transfer first."""
        self.now = max(now, self.now)
        if self._leaving_since is None:
            self._leaving_since = self._leave_request_at = self.now

    def may_leave(self, now: int) -> bool:
        """Whether this replica is needed no more, or nobody is there to say so."""
        if self._leaving_since is None:
            return False
        if self.is_leader:
            return self.members.all == (self.identity,)
        if self._leave_granted or not self.members.all:
            return True
        return now - max(self._leaving_since, self._last_leader_contact_at) > LEADERLESS_TIMEOUT_NS

    def _request_leave(self) -> None:
        if self._leaving_since is None or self.now < self._leave_request_at:
            return
        self._leave_request_at = self.now + LEAVE_REQUEST_INTERVAL_NS
        if self.leader is not None and self.leader != self.identity and not self._leave_granted:
            self._send(self.leader, MemberRequest(leaving=True))

    def _on_leave_reply(self, leader: str, reply: LeaveReply) -> None:
        if (
            self._leaving_since is None
            or reply.term != self.term
            or leader != self.leader
            or reply.index <= 0
        ):
            return
        if self._acknowledgement_limit is None:
            self._acknowledgement_limit = self.durability.durable_index
        self._leave_granted = self._leave_granted or reply.index >= min(
            self._acknowledgement_limit, self.durability.durable_index
        )

    def _acknowledged_index(self) -> int:
        """The same as for a follower, but for one that leaves: nothing new once it may be let go."""
        index = super()._acknowledged_index()
        return index if self._acknowledgement_limit is None else min(index, self._acknowledgement_limit)

    # The leader's side.

    def _on_member_request(self, sender: str, request: MemberRequest) -> None:
        if not self.is_leader:
            return
        known = self._leaving if request.leaving else self._applicants
        if sender in known or len(known) < MAX_MEMBER_REQUESTS:
            known[sender] = self.now
        if request.leaving:
            self._send(sender, LeaveReply(term=self.term, index=self._index_without(sender)))

    @property
    def applicants(self) -> list[str]:
        """Those who have lately asked to receive the log, and are no members."""
        self._applicants = {
            name: asked
            for name, asked in self._applicants.items()
            if self.now - asked < MEMBER_REQUEST_TTL_NS
        }
        return [name for name in self._applicants if name not in self.members.all]

    def is_leaving(self, identity: str) -> bool:
        """Whether a member has said lately that it is to end."""
        return self.now - self._leaving.get(identity, NEVER) < MEMBER_REQUEST_TTL_NS

    def _index_without(self, identity: str) -> int:
        """Up to where the log is on a majority without a member; 0 while it is to be replaced."""
        if self._is_changing or (identity in self.voters and self._may_be_replaced()):
            return 0
        own = self.durability.durable_index
        left_out = self._progress.get(identity)
        return max(0, self._majority(own, lambda progress: NEVER if progress is left_out else progress.match))

    def _may_be_replaced(self) -> bool:
        """Whether a learner may take its place, or this new leader may not have all requests to join yet."""
        if self.now - self._leading_since < NEW_LEADER_GRACE_NS or self.applicants:
            return True
        return any(self._is_reachable(name) for name in self.members.learners if not self.is_leaving(name))

    def _is_reachable(self, learner: str) -> bool:
        """Whether a learner has answered lately, or asked to be one."""
        progress = self._progress.get(learner)
        last_reply_at = progress.last_reply_at if progress else NEVER
        asked_at = self._applicants.get(learner, NEVER)
        return (
            self.now - last_reply_at < self.config.min_election_timeout_ns
            or self.now - asked_at < MEMBER_REQUEST_TTL_NS
        )
