"""One attempt of a request at one host: what comes back, told as one of a few outcomes."""

from typing import Protocol

from ..http.client_connection import AnswerEnd, ClientConnection, Failure
from ..http.message import ResponseHead
from .completeness import AnswerProgress
from .execution import ATTEMPT_ID, Outcome, declines, is_replaced, outcome_of
from .placement import Placed
from .work_directory import Told


class Owner(Protocol):
    """Who an attempt reports to."""

    def answer_began(self, attempt: "Attempt", head: ResponseHead) -> None: ...

    def answer_data(self, attempt: "Attempt", data: bytes) -> None: ...

    def attempt_ended(self, attempt: "Attempt", outcome: Outcome) -> None: ...


class Attempt:
    """A listener of one connection's answer.

    Its owner, which has a reference to it, is reported to until the attempt ends and not kept after that."""

    def __init__(self, owner: Owner, identifier: str, placed: Placed, sent_at: int):
        self._owner: Owner | None = owner
        self.identifier, self.placed, self.sent_at = identifier, placed, sent_at
        self.host = placed.host
        self.connection: ClientConnection | None = None
        self.response: ResponseHead | None = None
        self.progress: AnswerProgress | None = None  # of that answer
        self.answer_end: AnswerEnd | None = None  # of an answer whose end was signalled
        self.told: Told | None = None  # what the host's registrar was told of it
        self.work_until: int | None = None  # ns, when the time that the host was given is over
        self.first_at: int | None = None  # ns, when its answer began
        self.is_withdrawn = False
        self.ended = False

    @property
    def written(self) -> bool:
        """Whether bytes of the request may have reached the host."""
        return self.connection is not None and self.connection.request_taken > 0

    @property
    def has_time(self) -> bool:
        """Whether the host may still be at work, by the time that it was given."""
        if self.work_until is None or self.connection is None:
            return True
        return self.connection.loop.now() < self.work_until

    @property
    def declined(self) -> bool:
        """Whether the host's answer states that the request was not run."""
        return declines(self.response)

    @property
    def is_replaced(self) -> bool:
        """Whether another instance has answered at the host's address."""
        return is_replaced(self.response, self.host.identifier)

    def head(self, head: ResponseHead) -> bool:
        told = head.header(ATTEMPT_ID)
        if told is None and self.connection is not None and self.connection.used:
            self.break_off()  # it may be one to an earlier request: neither its body nor its word counts
            return False
        if told not in (self.identifier, None):
            return False  # a surplus answer to an earlier request
        self.response, self.progress = head, AnswerProgress(head)
        if not self.declined:
            self._owner.answer_began(self, head)
        return True

    def body(self, data: bytes) -> None:
        self.progress.received(data)
        if not self.declined:
            self._owner.answer_data(self, data)

    def complete(self, end: AnswerEnd) -> None:
        self.answer_end = end
        self._end(outcome_of(True, self.response, complete=self.progress.is_complete(end, self.has_time)))

    def failed(self, failure: Failure) -> None:
        written = failure is not Failure.NOT_SENT
        self._end(outcome_of(written, self.response, complete=False))

    def abandon(self) -> None:
        """Gives the attempt up; closing its connection tells the host."""
        if not self.ended:
            self._take_owner()
            if self.connection is not None:
                self.connection.abandon()

    def break_off(self) -> None:
        """Ends the attempt, whose answer can't be gone on with; it may have run."""
        self._close_and_end(Outcome.BROKEN)

    def withdraw(self) -> None:
        """Ends an attempt that waits at its host, through no fault of the host."""
        self.is_withdrawn = True
        self._close_and_end(outcome_of(self.written, self.response, complete=False))

    def _close_and_end(self, outcome: Outcome) -> None:
        if self.connection is not None:
            self.connection.abandon()
        self._end(outcome)

    def _end(self, outcome: Outcome) -> None:
        if not self.ended:
            self._take_owner().attempt_ended(self, outcome)

    def _take_owner(self) -> Owner:
        """Marks the attempt as ended; who is reported to for the last time."""
        self.ended = True
        owner, self._owner = self._owner, None
        return owner
