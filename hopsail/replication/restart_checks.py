"""An election before the promises of earlier lives are over, where all members have restarted.

A replica that has restarted may not vote for a while, as an earlier life may have promised that to a leader,
whose lease relies on it. Where that leader's process has ended, nobody relies on it any more. A follower
that has neither led nor heard a leader in its present life (it is fresh) therefore asks all members, twice:

- in the first round each tells its incarnation: its present life, and that it is fresh;
- in the second, which begins when all have answered the first, each must tell the same again.

At the moment between the rounds each member was in the life it told, and all promises of earlier lives had
been given before it. Who held one of them led before that moment. It has not led in the life that it told
later, so it led in an earlier one, which had ended. One round would not do: a member could tell that it is
fresh, win an election, and be promised something by another that restarts only then, and answers last.

A leader that still holds a lease has committed an entry of its term. Whoever can be elected after it holds
that entry, so it knows that leader as a member, or as one that voted before the last change.

Of those who find that all have restarted, the one with the longest log stands at once. Its request names
the life of each voter, and only in that life, while it is fresh, does the voter leave its promise aside.
Where a member does not answer, or has heard a leader, all is as without this: the promise runs out.
"""

from dataclasses import dataclass, field

from .core import ReplicaCore, Role
from .messages import RequestVote, RestartQuery, RestartReply
from .state import MILLISECOND

RESTART_QUERY_INTERVAL_NS = 25 * MILLISECOND  # those that have not answered: their process may not listen yet
CHECK_NUMBER_BITS = 62


@dataclass
class RestartCheck:
    """One round of questions; `incarnations`: what the first round brought, None while it is the first."""

    number: int
    incarnations: dict[str, int] | None = None
    answers: dict[str, RestartReply] = field(default_factory=dict)


class RestartChecks(ReplicaCore):
    """Finds out whether all members have restarted."""

    def _may_check_restarts(self) -> bool:
        """Whether only the promise of an earlier life keeps this replica from standing."""
        promised = self.now < self._last_leader_contact_at + self.config.min_election_timeout_ns
        return promised and self._no_leader_seen and self.role is Role.FOLLOWER and self._may_stand()

    def _check_restarts(self) -> None:
        if self.now < self._restart_query_at or not self._may_check_restarts():
            return
        self._restart_query_at = self.now + RESTART_QUERY_INTERVAL_NS
        if self._restart_check is None:
            self._start_restart_check(None)
        else:
            self._query_unanswered()

    def _start_restart_check(self, incarnations: dict[str, int] | None) -> None:
        self._restart_check = RestartCheck(self.random.getrandbits(CHECK_NUMBER_BITS), incarnations)
        self._query_unanswered()

    def _query_unanswered(self) -> None:
        for member in self._members_to_query():
            if member not in self._restart_check.answers:
                self._send(member, RestartQuery(number=self._restart_check.number))

    def _members_to_query(self) -> list[str]:
        """All that may have led by what the log tells, but this one."""
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
        check.answers[member] = reply
        if any(asked not in check.answers for asked in self._members_to_query()):
            return
        if check.incarnations is None:
            self._start_restart_check({name: answer.incarnation for name, answer in check.answers.items()})
        else:
            self._finish_restart_check(check)

    def _finish_restart_check(self, check: RestartCheck) -> None:
        self._restart_check = None
        self._known_incarnations = check.incarnations
        own = (self.log.last_term, self.log.last_index, self.incarnation)
        if all(own > _rank(answer) for answer in check.answers.values() if answer.may_stand):
            self._campaign(transfer=False)

    def _is_restart_confirmed(self, request: RequestVote) -> bool:
        """Whether the candidate knows that nobody relies on what this replica promised in earlier lives."""
        return self._no_leader_seen and request.incarnation == self.incarnation

    def _may_stand(self) -> bool:
        raise NotImplementedError

    def _campaign(self, transfer: bool) -> None:
        raise NotImplementedError


def _rank(answer: RestartReply) -> tuple[int, int, int]:
    """By the log; where those are the same, by lot."""
    return answer.last_term, answer.last_index, answer.incarnation
