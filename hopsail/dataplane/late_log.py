"""Log lines on requests for prompts that missed their aim: what was known when hosts were chosen, what came.

Off unless asked for on the command line (`--log-late`), and bounded like all lines: one line for each
request, a JSON object under the topic `late-request`, with the fields of `LateRequest`. The program
`benchmarks/late_causes.py` folds the lines of many processes into a table of causes."""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

from ..event_log import get_logger
from ..model import MS
from .attempt import Attempt
from .execution import target_ms
from .placement import ComparedHost, Placed
from .view import FleetView


log = get_logger("late-request")
DIGITS = 1  # after the point, of figures in lines


class LateEnd(StrEnum):
    """How a request missed its aim."""

    LATE = "late"  # its answer began after it
    REFUSED = "refused"
    UNANSWERED = "unanswered"  # ended without the beginning of an answer


@dataclass(frozen=True, slots=True)
class LateRequest:
    """One request that missed its aim. Times are in ms, work is in tokens."""

    end: LateEnd
    route: str
    aim: float
    took: float  # from its arrival to the first byte of its answer, or to its end
    tokens: int  # of its prompt
    own_tokens: int  # of these, those of its last part, which no other prompt shares
    attempts: int
    gate: float  # waiting for a place at the service's gate
    earlier: float  # in attempts before the last one
    asking: float  # for the word of registrars, before the last attempt
    host: str | None
    in_flight: int  # own requests at the host, this one among them
    waiting: float | None  # what stood before it by the registrar's word; None where nothing was told
    reading: float  # what it was expected to have to read itself
    kept: int  # what the host was expected to keep or to be brought
    reported: int  # of its shared parts, what the host itself reports to keep, when its answer has begun
    rate: float | None  # tokens that the host reads in a ms
    load_age: float | None  # since the latest news of a load of weights at the host
    compared: tuple[ComparedHost, ...]  # hosts that were compared, where some were


class LateLog:
    """Writes a line for each request that missed its aim."""

    def __init__(self, now, view: FleetView, counters):
        self.now, self.view, self.counters = now, view, counters

    def answered(self, forwarding, attempt: Attempt) -> None:
        """A request's answer has begun."""
        if not forwarding.exchange.started:
            self._note(forwarding, attempt, LateEnd.LATE)

    def refused(self, forwarding) -> None:
        """A request has been refused."""
        self._note(forwarding, forwarding.latest, LateEnd.REFUSED)

    def ended(self, forwarding) -> None:
        """A request is over."""
        if not forwarding.exchange.started and not forwarding.was_refused:
            self._note(forwarding, forwarding.latest, LateEnd.UNANSWERED)

    def _note(self, forwarding, attempt: Attempt | None, end: LateEnd) -> None:
        if forwarding.prompt.model is None:
            return
        took = (self.now() - forwarding.exchange.began) / MS
        aim = target_ms(forwarding.route)
        if took <= aim and end is LateEnd.LATE:
            return
        self.counters.add(f"late.{end.value}")
        record = self._record(forwarding, attempt, end, aim, took)
        log.info("%s", json.dumps(rounded(asdict(record))))

    def _record(self, forwarding, attempt: Attempt | None, end: LateEnd, aim, took) -> LateRequest:
        prompt, began = forwarding.prompt, forwarding.exchange.began
        first_asked = forwarding.first_asked_at or self.now()
        asked = forwarding.asked_at or first_asked
        placed = attempt.placed if attempt is not None else None
        host = attempt.host if attempt is not None else None
        compared = placed.compared if placed is not None else ()
        chosen = next((one for one in compared if one.host == host.identifier), None)
        return LateRequest(
            end=end,
            route=forwarding.route["Name"],
            aim=aim,
            took=took,
            tokens=prompt.tokens,
            own_tokens=prompt.parts[-1].tokens if prompt.parts else prompt.tokens,
            attempts=forwarding.made,
            gate=(first_asked - began) / MS,
            earlier=(asked - first_asked) / MS,
            asking=(attempt.sent_at - asked) / MS if attempt is not None else 0.0,
            host=host.identifier if host is not None else None,
            in_flight=host.in_flight if host is not None else 0,
            waiting=chosen.waiting if chosen is not None else None,
            reading=placed.reading if placed is not None else 0.0,
            kept=prompt.tokens - int(placed.reading) if placed is not None else 0,
            reported=self._reported(prompt, host, placed) if placed is not None else 0,
            rate=chosen.rate if chosen is not None else None,
            load_age=self._load_age(prompt.model, host),
            compared=compared,
        )

    def _reported(self, prompt, host, placed: Placed) -> int:
        salt = dict(placed.headers).get("cache-salt", "")
        kept = self.view.kept
        return sum(
            part.tokens
            for part in prompt.parts[:-1]
            if kept.reported_holders(salt, part.identifier).get(host.identifier, 0) >= part.tokens
        )

    def _load_age(self, model: str, host) -> float | None:
        instance = self.view.instances.get(host.identifier) if host is not None else None
        seen = self.view.loads.get(instance.load_key(model)) if instance is not None else None
        return (self.now() - seen.seen_at) / MS if seen is not None else None


def rounded(value):
    """The same with fewer digits, as JSON takes it."""
    if isinstance(value, float):
        return round(value, DIGITS)
    if isinstance(value, dict):
        return {name: rounded(one) for name, one in value.items()}
    if isinstance(value, list | tuple):
        return [rounded(one) for one in value]
    return value
