"""What an attempt that has ended may have done, and what follows: the one place where that is decided.

Pure functions. Nothing but the host's own word (`Hopsail-Not-Executed`, or status 421) says that a request
whose first byte was written has not run: not a reset, not an end, not silence, not a body written in part."""

from enum import Enum, auto
from typing import NamedTuple

from ..http.message import ResponseHead

ATTEMPT_ID = "hopsail-attempt-id"
SEAL = "hopsail-server-seal"
NOT_EXECUTED = "hopsail-not-executed"
INSTANCE_ID = "hopsail-instance-id"
MISDIRECTED = 421
PROMISES = frozenset((408, 421, 429, 503))  # statuses that promise that a request has not run


class RequestKind(Enum):
    """What a route says of its requests."""

    IDEMPOTENT = auto()
    MUTATING = auto()
    STREAM = auto()
    RESUMABLE_STREAM = auto()

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)

    @property
    def resumable(self) -> bool:
        """Whether its answer may be taken up at another host."""
        return self is RequestKind.RESUMABLE_STREAM


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETE = auto()  # all of the host's answer has come
    NOT_SENT = auto()  # nothing was written: it can't have run
    DECLINED = auto()  # the host says that it did not run it
    BROKEN = auto()  # it may have run


class Begun(Enum):
    """What the client has of its answer."""

    NOTHING = auto()
    EVENTS = auto()  # of a stream that may be taken up at another host
    PART = auto()  # of what can only be gone on with by the host that began it


class Told(Enum):
    """What the client gets when no further attempt is made."""

    ANSWER = auto()  # the host's, as it came
    REFUSED = auto()  # 503 and the promise that the request has not run and never will
    UNKNOWN = auto()  # 502, which promises nothing
    LATE = auto()  # 504, which promises nothing
    CUT = auto()  # the end of what has begun, so that it can't look complete


class Decision(NamedTuple):
    """What follows from an attempt's end."""

    may_have_run: bool  # at this host or an earlier one
    may_repeat: bool  # as far as running twice goes: tries, budget and deadline are asked besides
    told: Told  # if it is not repeated


def target_ms(route: dict) -> float:
    """Time (ms) within which an answer earns its full worth; the deadline where the route names none."""
    return float(route.get("TargetMs") or route["DeadlineMs"])


def kind_of(route: dict) -> RequestKind:
    """By a route's `RouteKind` and `Resumable`; what is unheard of may run once."""
    if route["RouteKind"] == "idempotent":
        return RequestKind.IDEMPOTENT
    if route["RouteKind"] != "streaming":
        return RequestKind.MUTATING
    return RequestKind.RESUMABLE_STREAM if route.get("Resumable", False) else RequestKind.STREAM


def declines(head: ResponseHead | None) -> bool:
    """Whether a host's answer states that the request was not run."""
    return head is not None and (head.status == MISDIRECTED or head.header(NOT_EXECUTED) is not None)


def is_replaced(head: ResponseHead | None, instance: str) -> bool:
    """Whether an answer shows that another instance has the address of the one that was named."""
    if head is None or head.status != MISDIRECTED:
        return False
    return head.header(INSTANCE_ID) not in (None, instance)


def passes(head: ResponseHead) -> bool:
    """Whether an answer of a host that does not decline may be given to the client as it is."""
    if 200 <= head.status < 300:
        sealed = head.header(SEAL) is not None and head.header(ATTEMPT_ID) is not None
        return sealed and head.header("content-encoding") in (None, "identity")
    return head.status not in PROMISES  # it may have run: that promise can't be passed on


def outcome_of(written: bool, head: ResponseHead | None, complete: bool) -> Outcome:
    """`written`: a byte of the request has left; `complete`: all of the answer has come."""
    if declines(head):
        return Outcome.DECLINED
    if complete:
        return Outcome.COMPLETE
    return Outcome.BROKEN if written else Outcome.NOT_SENT


def decide(kind: RequestKind, outcome: Outcome, passed: bool, begun: Begun, may_have_run: bool) -> Decision:
    """What follows from an attempt's end.

    `passed`: its answer is the one that the client is getting; `may_have_run`: at an earlier host."""
    if outcome is Outcome.COMPLETE and passed:
        return Decision(True, False, Told.ANSWER)
    if outcome in (Outcome.NOT_SENT, Outcome.DECLINED):
        return Decision(may_have_run, begun is not Begun.PART, told_at_end(begun, may_have_run))
    may_repeat = kind.repeatable and begun is not Begun.PART
    return Decision(True, may_repeat, told_at_end(begun, True))


def told_at_end(begun: Begun, may_have_run: bool) -> Told:
    """What the client gets when no host is asked any more."""
    if begun is not Begun.NOTHING:
        return Told.CUT
    return Told.UNKNOWN if may_have_run else Told.REFUSED


def told_at_deadline(begun: Begun) -> Told:
    """What the client gets at its deadline."""
    return Told.LATE if begun is Begun.NOTHING else Told.CUT
