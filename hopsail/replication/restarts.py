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

ASK_AGAIN_AFTER = 25 * MILLISECOND  # those that have not answered: their process may not listen yet
NUMBER_BITS = 62


@dataclass
class Survey:
    """One round of questions; `lives`: what the first round brought, None while it is the first."""

    number: int
    lives: dict[str, int] | None = None
    answers: dict[str, RestartReply] = field(default_factory=dict)


class Restarts(ReplicaCore):
    """Finds out whether all members have restarted."""

    def _may_survey(self) -> bool:
        """Whether only the promise of an earlier life keeps this replica from standing."""
        promised = self.now < self._leader_heard_at + self.rules.election_least
        return promised and self._is_fresh and self.role is Role.FOLLOWER and self._may_stand()

    def _survey_members(self) -> None:
        if self.now < self._survey_at or not self._may_survey():
            return
        self._survey_at = self.now + ASK_AGAIN_AFTER
        if self._survey is None:
            self._begin_survey(None)
        else:
            self._ask_unanswered()

    def _begin_survey(self, lives: dict[str, int] | None) -> None:
        self._survey = Survey(self.random.getrandbits(NUMBER_BITS), lives)
        self._ask_unanswered()

    def _ask_unanswered(self) -> None:
        for member in self._surveyed():
            if member not in self._survey.answers:
                self._send(member, RestartQuery(self._survey.number))

    def _surveyed(self) -> list[str]:
        """All that may have led by what the log tells, but this one."""
        known = dict.fromkeys(self.members.all + self.log.electors_before)
        return [member for member in known if member != self.identity]

    def _on_restart_query(self, sender: str, query: RestartQuery) -> None:
        last_term, last_index = self.log.last_term, self.log.last_index
        able = self._may_stand()
        reply = RestartReply(query.number, self.incarnation, self._is_fresh, able, last_term, last_index)
        self._send(sender, reply)

    def _on_restart_reply(self, member: str, reply: RestartReply) -> None:
        survey = self._survey
        if survey is None or reply.number != survey.number or not self._may_survey():
            return
        if not reply.fresh or (survey.lives is not None and survey.lives.get(member) != reply.incarnation):
            self._survey = None
            return
        survey.answers[member] = reply
        if any(asked not in survey.answers for asked in self._surveyed()):
            return
        if survey.lives is None:
            self._begin_survey({name: answer.incarnation for name, answer in survey.answers.items()})
        else:
            self._all_have_restarted(survey)

    def _all_have_restarted(self, survey: Survey) -> None:
        self._survey = None
        self._known_lives = survey.lives
        own = (self.log.last_term, self.log.last_index, self.incarnation)
        if all(own > _rank(answer) for answer in survey.answers.values() if answer.able):
            self._campaign(transfer=False)

    def _is_released(self, request: RequestVote) -> bool:
        """Whether the candidate knows that nobody relies on what this replica promised in earlier lives."""
        return self._is_fresh and request.life == self.incarnation

    def _may_stand(self) -> bool:
        raise NotImplementedError

    def _campaign(self, transfer: bool) -> None:
        raise NotImplementedError


def _rank(answer: RestartReply) -> tuple[int, int, int]:
    """By the log; where those are the same, by lot."""
    return answer.last_term, answer.last_index, answer.incarnation
