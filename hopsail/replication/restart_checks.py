"""An election that does not wait for earlier incarnations' promises, where all members have restarted.

A replica that has restarted may not vote for a while: an earlier incarnation may have answered a leader,
whose lease relies on it. Where that leader's process has ended, nobody relies on it any more. A follower
that has neither led nor received from a leader in its present incarnation (it is fresh) therefore queries
all members twice:

- in the first round each tells its incarnation, and that it is fresh;
- in the second, which begins when all have replied to the first, each must tell the same again.

At the moment between the rounds each member was in the incarnation it told, and all answers of earlier ones
had been given before it. The leader that one of them answered led before that moment. It has not led in the
incarnation that it told later, so it led in an earlier one, which had ended. One round would not do: a
member could tell that it is fresh, win an election, and be answered by another that restarts only then, and
replies last.

A leader that still has a lease has committed an entry of its term. Whoever can be elected after it has that
entry, so it knows that leader as a member, or as one that voted before the last change.

Of those who find that all have restarted, the one with the longest log stands at once. Its request names
the incarnation of each voter, and only in that incarnation, while it is fresh, does the voter vote at once.
Where a member does not reply, or has received from a leader, all is as without this: the election timeout
runs out.
"""

from .core import ReplicaCore
from .messages import RequestVote, RestartQuery, RestartReply
from .replica_state import RestartCheck, Role
from .state import MILLISECOND

RESTART_QUERY_INTERVAL_NS = 25 * MILLISECOND  # to those that have not replied: they may not listen yet
CHECK_NUMBER_BITS = 62


class RestartChecks(ReplicaCore):
    """Finds out whether all members have restarted."""

    def _may_check_restarts(self) -> bool:
        """Whether only what an earlier incarnation may have answered keeps this replica from standing."""
        must_wait = self.now < self._last_leader_contact_at + self.config.min_election_timeout_ns
        return must_wait and self._no_leader_seen and self.role is Role.FOLLOWER and self._may_stand()

    def _check_restarts(self) -> None:
        if self.now < self._restart_query_at or not self._may_check_restarts():
            return
        self._restart_query_at = self.now + RESTART_QUERY_INTERVAL_NS
        if self._restart_check is None:
            self._start_restart_check(None)
        else:
            self._query_unanswered(self._restart_check)

    def _start_restart_check(self, incarnations: dict[str, int] | None) -> None:
        check = RestartCheck(self.random.getrandbits(CHECK_NUMBER_BITS), incarnations)
        self._restart_check = check
        self._query_unanswered(check)

    def _query_unanswered(self, check: RestartCheck) -> None:
        for member in self._members_to_query():
            if member not in check.replies:
                self._send(member, RestartQuery(number=check.number))

    def _members_to_query(self) -> list[str]:
        """All members that may have led by what the log tells, except this one."""
        known = dict.fromkeys(self.members.all + self.log.previous_electors)
        return [member for member in known if member != self.identity]

    def _on_restart_query(self, sender: str, query: RestartQuery) -> None:
        last_term, last_index = self.log.last_term, self.log.last_index
        may_stand = self._may_stand()
        reply = RestartReply(
            number=query.number,
            incarnation=self.incarnation,
            fresh=self._no_leader_seen,
            may_stand=may_stand,
            last_term=last_term,
            last_index=last_index,
        )
        self._send(sender, reply)

    def _on_restart_reply(self, member: str, reply: RestartReply) -> None:
        check = self._restart_check
        if check is None or reply.number != check.number or not self._may_check_restarts():
            return
        if not reply.fresh or (
            check.incarnations is not None and check.incarnations.get(member) != reply.incarnation
        ):
            self._restart_check = None
            return
        check.replies[member] = reply
        if any(queried not in check.replies for queried in self._members_to_query()):
            return
        if check.incarnations is None:
            self._start_restart_check({name: one.incarnation for name, one in check.replies.items()})
        else:
            self._finish_restart_check(check, check.incarnations)

    def _finish_restart_check(self, check: RestartCheck, incarnations: dict[str, int]) -> None:
        self._restart_check = None
        self._known_incarnations = incarnations
        own = (self.log.last_term, self.log.last_index, self.incarnation)
        if all(own > _rank(reply) for reply in check.replies.values() if reply.may_stand):
            self._campaign(transfer=False)

    def _is_restart_confirmed(self, request: RequestVote) -> bool:
        """Whether the candidate knows that no leader relies on earlier incarnations of this replica."""
        return self._no_leader_seen and request.incarnation == self.incarnation


def _rank(reply: RestartReply) -> tuple[int, int, int]:
    """By the log; where logs are the same, by the random incarnation."""
    return reply.last_term, reply.last_index, reply.incarnation
