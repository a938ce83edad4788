"""One client's request on its way: attempts at hosts, and the one answer that the client gets."""

from enum import Enum, auto
from functools import partial

from ..http.client_connection import ClientConnection, Failure
from ..http.message import ResponseHead, encode_request, end_to_end, header_text, whole_number
from ..http.server import Exchange
from ..routing.admission import Verdict
from .attempt import Attempt
from .completeness import is_event_stream
from .events import Event, EventError, EventSplitter
from .execution import (
    ATTEMPT_ID,
    NOT_EXECUTED,
    Begun,
    Outcome,
    Told,
    decide,
    kind_of,
    passes,
    told_at_deadline,
    told_at_end,
)
from .placement import Placed, Shortlist
from .prompt import Prompt, read_prompt
from .work_directory import Answer

MILLISECOND = 1_000_000
MOST_UNSENT = 256 << 10  # bytes that a client has not taken before its host is held up
MOST_DIALS = 6  # hosts that could not be reached for one request, before it is refused
LAST_EVENT_ID = "last-event-id"
# Set by the system alone, whatever a client sends there.
OWN_HEADERS = frozenset(
    "hopsail-target-instance hopsail-tenant hopsail-deadline-ms expect-version cache-salt kv-fetch kv-save "
    "priority authorization".split()
)
ELSEWHERE_AT_ONCE = 0.0  # s, retry-after of a process that ends: others take what it does not


class Refusal(Enum):
    """Why a request was refused before it ran."""

    NO_HOST = auto()
    DECLINED = auto()
    NO_CONNECTION = auto()
    OVERLOAD = auto()
    UNNAMED_TENANT = auto()  # no header can hold its tenant's name
    ENDING = auto()  # the process ends before the request could


class Forwarding:
    """A request from its arrival to its answer."""

    def __init__(self, plane, exchange: Exchange, route: dict, tenant: dict | None, deadline: int):
        self.plane, self.exchange, self.request = plane, exchange, exchange.request
        self.route, self.tenant = route, tenant
        self.tenant_text = header_text(tenant["Name"]) if tenant is not None else None
        self.deadline = deadline  # ns, the earlier of the client's and the route's
        self.prompt: Prompt = read_prompt(self.request)
        self.identifier = self.request.header(ATTEMPT_ID) or ""
        self.kind = kind_of(route)
        self.attempt: Attempt | None = None  # under way
        self.latest: Attempt | None = None  # the last one that was made
        self.made = 0  # attempts
        self.first_asked_at = self.asked_at = 0  # ns, when a host was sought, for the first time and the last
        self.was_refused = False
        self.excluded: set[str] = set()
        self.sent = self.dials = 0
        self.may_have_run = False
        self.service: str | None = None
        self.ended = False
        self.has_place = False  # at the gate of its service
        self.splitter: EventSplitter | None = None  # of an answer that may be taken up at another host
        self.passing: Attempt | None = None  # whose answer the client is getting
        self.unnumbered = False  # the client has an event that no `Last-Event-Id` tells a host of
        self.last_event = whole_number(self.request.header(LAST_EVENT_ID))
        self.timer = plane.loop.at(deadline, self._deadline_passed)
        exchange.on_gone(self._client_gone)

    def start(self) -> None:
        """Chooses the service by the route's weights and makes the first attempt when there is a place."""
        if not self.plane.may_begin(self):
            self._give_up(Refusal.ENDING)
            return
        if self.tenant is not None and self.tenant_text is None:
            self._give_up(Refusal.UNNAMED_TENANT)
            return
        self.service = self.plane.pick_service(self.route)
        self.plane.budget.request(self.plane.loop.now(), self.service)
        verdict = self.plane.offer(self)
        if verdict is Verdict.ADMIT:
            self.admitted()
        elif verdict is Verdict.REFUSE:
            self.refused_by_gate()

    def admitted(self) -> None:
        """The gate has a place for it."""
        self.has_place = True
        if self.ended:
            self.plane.left_gate(self)  # its client went while the place was on its way
        else:
            self._try()

    def refused_by_gate(self) -> None:
        """It has waited long enough, or more urgent ones have its turn."""
        if not self.ended:
            self._give_up(Refusal.OVERLOAD)

    def refuse_if_late(self) -> None:
        """Gives up the wait for a place or a connection when the process ends before the request could."""
        attempt = self.attempt
        waits = not self.has_place or (attempt is not None and not attempt.written)
        if waits and not self.ended and self.begun is Begun.NOTHING and not self.plane.may_begin(self):
            self._abandon_attempt()
            self._give_up(Refusal.ENDING)

    def withdraw_if_superseded(self) -> None:
        """Takes the request back from a host at which it would begin on weights whose time is over."""
        attempt, model = self.attempt, self.prompt.model
        if attempt is None or attempt.response is not None or model is None or not attempt.placed.revision:
            return
        if not self.plane.may_wait(model, attempt.placed.revision):
            attempt.withdraw()

    # Attempts.

    def _try(self) -> None:
        plane = self.plane
        if plane.loop.now() >= self.deadline:
            return  # its timer is due
        if not self.exchange.started and not plane.may_begin(self):
            self._give_up(Refusal.ENDING)
            return
        self.asked_at = plane.loop.now()
        self.first_asked_at = self.first_asked_at or self.asked_at
        plane.consult(self, self._send)

    def _send(self, shortlist: Shortlist | None = None, answer: Answer | None = None) -> None:
        """Makes an attempt at the host that is best by what is known now."""
        plane = self.plane
        if self.ended or plane.loop.now() >= self.deadline:
            return
        placed = plane.place(self, shortlist, answer)
        if placed is None:
            self._give_up(Refusal.NO_HOST)
            return
        connection = self._connection_to(placed.host.address)
        attempt = Attempt(self, self.identifier, placed, plane.loop.now())
        attempt.connection = connection
        self.attempt = self.latest = attempt
        self.made += 1
        if connection is None:
            plane.loop.soon(attempt.failed, Failure.NOT_SENT)
        else:
            connection.carry(partial(self._encoded, attempt), attempt)
        plane.attempt_began(self, attempt)

    def _connection_to(self, address: tuple[str, int]) -> ClientConnection | None:
        """One on which no late answer bears this request's id: a client may use one twice, and a host may
        have the address of one that was asked before."""
        connection = self.plane.pool.take(address)
        if connection is None or connection.name_call(self.identifier):
            return connection
        connection.abandon()
        connection = self.plane.pool.take(address, fresh=True)
        if connection is not None:
            connection.name_call(self.identifier)
        return connection

    def _encoded(self, attempt: Attempt) -> bytes | None:
        """The request's bytes, made when they are written: the host is told the time that is left then.

        None after the deadline: after a pause of the process, connections come up before its timers act.
        None also when the host's zone is evacuated meanwhile, or when the host has begun to warm up and has
        had its quota: then another host is sought."""
        placed, left_ns = attempt.placed, self.deadline - self.plane.loop.now()
        if left_ns <= 0:
            return None
        if self.plane.is_evacuated(placed.host) or not self._has_quota(placed):
            self.plane.loop.soon(attempt.withdraw)
            return None
        left = max(1, left_ns // MILLISECOND)
        attempt.work_until = self.plane.loop.now() + left * MILLISECOND
        headers = [
            (name, value) for name, value in end_to_end(self.request.headers) if name not in OWN_HEADERS
        ]
        if self.kind.resumable and self.last_event is not None:
            headers = [(name, value) for name, value in headers if name != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, str(self.last_event)))
        headers.append(("hopsail-deadline-ms", str(left)))
        headers.append(("hopsail-target-instance", placed.host.identifier))
        if self.tenant_text is not None:
            headers.append(("hopsail-tenant", self.tenant_text))
        headers += placed.headers
        return encode_request(self.request.method, self.request.target, headers, self.request.body)

    def _has_quota(self, placed: Placed) -> bool:
        """Whether the host's warm-up leaves room; if so, the request counts as sent from now on."""
        return placed.reservation is None or self.plane.may_write(placed)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """The attempt's connection has told how it ended."""
        if attempt is not self.attempt:
            return
        self.attempt = None
        self.plane.attempt_over(self, attempt, outcome)
        if attempt.written:
            self.sent += 1
        passed = attempt is self.passing
        decision = decide(self.kind, outcome, passed, self.begun, self.may_have_run)
        self.may_have_run = decision.may_have_run
        if decision.told is Told.ANSWER:
            self._completed()
            return
        self.excluded.add(attempt.host.identifier)
        if outcome is Outcome.NOT_SENT:
            self._not_sent()
        elif decision.may_repeat and self._may_try_again():
            self._try()
        else:
            self._give_up(Refusal.DECLINED)

    @property
    def begun(self) -> Begun:
        """What the client has of its answer."""
        if not self.exchange.started:
            return Begun.NOTHING
        resumable = self.splitter is not None and not self.unnumbered
        return Begun.EVENTS if resumable else Begun.PART

    def _completed(self) -> None:
        if self.splitter is not None:
            self._send_events(self.splitter.end())
        self._end()
        self.exchange.finish()

    def _not_sent(self) -> None:
        self.dials += 1
        if self.dials < MOST_DIALS:
            self._try()
        else:
            self._give_up(Refusal.NO_CONNECTION)

    def _may_try_again(self) -> bool:
        if self.sent >= self.route.get("MaxTries", 1):
            return False
        now = self.plane.loop.now()
        if now >= self.deadline or not self.plane.may_retry(now, self.service):
            return False
        self.plane.budget.spend(now, self.service)
        return True

    # What a host answers.

    def answer_began(self, attempt: Attempt, head: ResponseHead) -> None:
        """A host's answer has begun, and the host does not decline."""
        if attempt is not self.attempt or not passes(head):
            return
        is_events = head.status == 200 and is_event_stream(head)
        if self.exchange.started and not is_events:
            return  # it can't go on where the first host's events ended
        self.plane.first_byte(self, attempt)
        self.passing = attempt
        if self.kind.resumable and is_events:
            self.splitter = EventSplitter()  # what an earlier host left unfinished is told anew
        if self.exchange.started:
            return
        length = None
        if self.splitter is None:
            length = whole_number(head.header("content-length"))
        self.exchange.start(head.status, end_to_end(head.headers), length)
        self.exchange.on_drained(self._drained)

    def answer_data(self, attempt: Attempt, data: bytes) -> None:
        """A piece of a host's answer."""
        if attempt is not self.attempt or attempt is not self.passing:
            return
        if self.splitter is None:
            self.exchange.send(data)
        else:
            self._pass_events(attempt, data)
        if self.exchange.unsent > MOST_UNSENT and attempt.connection is not None:
            attempt.connection.pause(True)

    def _pass_events(self, attempt: Attempt, data: bytes) -> None:
        try:
            events = self.splitter.feed(data)
        except EventError:
            attempt.break_off()
            return
        self._send_events(events)

    def _send_events(self, events: list[Event]) -> None:
        """Passes on those that the client has not had."""
        unseen = bytearray()
        for event in events:
            if event.identifier is not None:
                if self.last_event is not None and event.identifier <= self.last_event:
                    continue
                self.last_event = event.identifier
            self.unnumbered = event.identifier is None and (self.unnumbered or event.has_data)
            unseen += event.data
        self.exchange.send(bytes(unseen))

    def _drained(self) -> None:
        if self.attempt is not None and self.attempt.connection is not None:
            self.attempt.connection.pause(False)

    # Ends.

    def _give_up(self, refusal: Refusal) -> None:
        """No further attempt: the client is told at once."""
        told = told_at_end(self.begun, self.may_have_run)
        if told is Told.REFUSED:
            self.was_refused = True
            self.plane.refused(self, refusal)
            self._refuse(refusal)
        else:
            self._tell(told)

    def _tell(self, told: Told) -> None:
        """Ends a request that no promise is true of."""
        self._end()
        if told is Told.CUT:
            self.exchange.abort()
        else:
            self.exchange.respond(502 if told is Told.UNKNOWN else 504)

    def _refuse(self, refusal: Refusal) -> None:
        self._end()
        after = ELSEWHERE_AT_ONCE if refusal is Refusal.ENDING else self.plane.retry_after(self)
        self.exchange.respond(503, headers=[("retry-after", f"{after:.3f}"), (NOT_EXECUTED, "1")])

    def _deadline_passed(self) -> None:
        self.timer = None
        self._abandon_attempt()
        self._tell(told_at_deadline(self.begun))

    def process_ends(self) -> None:
        """The process ends now: an answer that has not begun is still one, and a promise where it holds."""
        attempt = self.attempt
        self.may_have_run |= attempt is not None and attempt.written
        self._abandon_attempt()
        self._give_up(Refusal.ENDING)

    def _client_gone(self) -> None:
        self._abandon_attempt()
        self._end()

    def _abandon_attempt(self) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.abandon()
            self.plane.attempt_over(self, attempt, None)

    def _end(self) -> None:
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.plane.forwarding_ended(self)
