"""Elections: pre-votes, votes, and the transfer from a leader to its successor.

Ongaro, Ousterhout, "In search of an understandable consensus algorithm" (2014), section 5.2 and 5.4; Ongaro,
"Consensus: bridging theory and practice" (2014), sections 3.10 (transfer), 6.4 (leases) and 9.6 (pre-vote).
"""

from .messages import RequestVote, RequestVoteReply, TimeoutNow
from .replica_state import Role
from .restart_checks import RestartChecks


class Elections(RestartChecks):
    """Requests votes and gives them."""

    def _may_stand(self) -> bool:
        return self.is_voter and not self.recovering and not self.durability.failing

    @property
    def is_voter(self) -> bool:
        """Whether it votes, or did before a change that may not be committed and that others may lack."""
        if self.identity in self.members.electors:
            return True
        return self.log.members_index > self.commit_index and self.identity in self.log.previous_electors

    def _election_timeout(self) -> None:
        self._reset_election_timer()
        if not self._may_stand():
            return
        self.leader = None
        self.role = Role.PRE_CANDIDATE
        self._votes = {self.identity}
        self._request_votes(self.term + 1, pre_vote=True, transfer=False)
        self._count_pre_votes()

    def _campaign(self, transfer: bool) -> None:
        self.term += 1
        self.voted_for = self.identity
        self.role = Role.CANDIDATE
        self.leader = None
        self._votes = set()
        self._verified_index = 0
        self._acknowledgement = None
        self._change_hard_state()
        self._reset_election_timer()
        self._request_votes(self.term, pre_vote=False, transfer=transfer)
        self._send_when_durable(self.identity, RequestVoteReply(term=self.term, granted=True, pre_vote=False))

    def _request_votes(self, term: int, pre_vote: bool, transfer: bool) -> None:
        last_index, last_term = self.log.last_index, self.log.last_term
        for voter in self.members.electors:
            if voter == self.identity:
                continue
            incarnation = self._known_incarnations.get(voter)
            message = RequestVote(
                term=term,
                last_index=last_index,
                last_term=last_term,
                pre_vote=pre_vote,
                transfer=transfer,
                incarnation=incarnation,
            )
            if pre_vote:
                self._send(voter, message)
            else:
                self._send_when_durable(voter, message)

    def _on_request_vote(self, candidate: str, message: RequestVote) -> None:
        if not self._may_vote() or (self._must_refuse_vote(message) and not message.transfer):
            return
        if message.pre_vote:
            self._reply_to_pre_vote(candidate, message)
            return
        if message.term > self.term:
            self._become_follower(message.term, None)
        granted = (
            message.term == self.term
            and not self.is_leader
            and self.voted_for in (None, candidate)
            and self._is_up_to_date(message)
        )
        if granted and self.voted_for is None:
            self.voted_for = candidate
            self._change_hard_state()
        if granted:
            self._reset_election_timer()
        if granted and self.role is Role.PRE_CANDIDATE:
            self._become_follower(self.term, None)
        self._send_when_durable(candidate, RequestVoteReply(term=self.term, granted=granted, pre_vote=False))

    def _may_vote(self) -> bool:
        return not self.recovering

    def _must_refuse_vote(self, message: RequestVote) -> bool:
        return self._has_recent_leader() and not self._is_restart_confirmed(message)

    def _has_recent_leader(self) -> bool:
        """Whether this replica has lately answered a leader, which relies on it to elect no other."""
        return self.is_leader or self.now - self._last_leader_contact_at < self.config.min_election_timeout_ns

    def _is_up_to_date(self, message: RequestVote) -> bool:
        return (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)

    def _reply_to_pre_vote(self, candidate: str, message: RequestVote) -> None:
        granted = message.term > self.term and self._is_up_to_date(message)
        self._send(
            candidate,
            RequestVoteReply(term=message.term if granted else self.term, granted=granted, pre_vote=True),
        )

    def _on_request_vote_reply(self, voter: str, reply: RequestVoteReply) -> None:
        if reply.pre_vote and reply.granted:
            if self.role is Role.PRE_CANDIDATE and reply.term == self.term + 1:
                self._votes.add(voter)
                self._count_pre_votes()
            return
        if reply.term > self.term:
            self._become_follower(reply.term, None)
        elif reply.granted and self.role is Role.CANDIDATE and reply.term == self.term:
            self._votes.add(voter)
            if self._has_majority_of_votes():
                self._become_leader()

    def _count_pre_votes(self) -> None:
        if self._has_majority_of_votes():
            self._campaign(transfer=False)

    def _has_majority_of_votes(self) -> bool:
        return self.members.is_quorum(self._votes)

    def _on_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        if message.term == self.term and sender == self.leader and self._may_stand():
            self._campaign(transfer=True)
