"""Callers' requests for tallies: `POST` adds, `GET` reads, at any control process."""

import json
from typing import Protocol
from urllib.parse import unquote

from ..configuration.codes import ResultCode
from ..http.message import Request
from ..http.server import Exchange
from ..net.counters import Counters
from ..tallies.types import Add, AddDone, AddOutcome
from .commands import Result
from .json_answers import is_text, respond_json

TALLY_PREFIX = "/-/tallies/"
MAX_NAME_CHARACTERS = 256
AMOUNT_BOUND = 1 << 53  # beyond it, readers of JSON lose digits

OUTCOMES = {
    AddOutcome.REJECTED: ResultCode.CONTROL_TALLY_REJECTED,
    AddOutcome.UNKNOWN: ResultCode.CONTROL_TALLY_UNKNOWN,
}


class TallyControl(Protocol):
    """What carries the calls out."""

    def add_to_tally(self, add: Add, done: AddDone) -> None:
        """Adds; `done` is called once."""

    def tally_total(self, tally: str) -> int | None:
        """The total; None while it isn't known here."""


class _BadCallError(Exception):
    """The part of the call that can't be read."""


class TallyCalls:
    """Takes requests whose path begins with `TALLY_PREFIX`."""

    def __init__(self, control: TallyControl, counters: Counters) -> None:
        """`counters` count the answers by status, with those of the operator's other calls."""
        self.control, self.counters = control, counters

    def handle(self, request: Request, exchange: Exchange) -> None:
        """One call."""
        if request.method not in ("GET", "POST"):
            self._reject(exchange, ResultCode.CONTROL_NO_METHOD, request.method)
            return
        try:
            tally = _tally_of(request)
            add = _add_of(tally, request.body) if request.method == "POST" else None
        except _BadCallError as fault:
            self._reject(exchange, ResultCode.CONTROL_UNREADABLE, str(fault))
            return
        if add is None:
            self._read(tally, exchange)
        else:
            self.control.add_to_tally(add, lambda outcome: self._answer_add(exchange, outcome))

    def _read(self, tally: str, exchange: Exchange) -> None:
        total = self.control.tally_total(tally)
        if total is None:
            self._reject(exchange, ResultCode.CONTROL_TALLY_NOT_READ, "")
        else:
            self._respond(exchange, 200, {"Total": total})

    def _answer_add(self, exchange: Exchange, outcome: AddOutcome) -> None:
        if outcome is AddOutcome.ACKNOWLEDGED:
            self._respond(exchange, 200, {})
        else:
            self._reject(exchange, OUTCOMES[outcome], "")

    def _reject(self, exchange: Exchange, code: ResultCode, item: str) -> None:
        result = Result.rejection(code, item)
        self._respond(exchange, result.status, {"Error": {"Code": result.code, "Item": result.item}})

    def _respond(self, exchange: Exchange, status: int, body: dict[str, object]) -> None:
        respond_json(exchange, self.counters, status, json.dumps(body).encode())


def _tally_of(request: Request) -> str:
    try:
        tally = unquote(request.path.removeprefix(TALLY_PREFIX), errors="strict")
    except UnicodeDecodeError:
        raise _BadCallError("ID") from None
    if not _is_name(tally):
        raise _BadCallError("ID")
    return tally


def _add_of(tally: str, body: bytes) -> Add:
    try:
        tree = json.loads(body)
    except (ValueError, RecursionError):
        raise _BadCallError("body") from None
    if type(tree) is not dict:
        raise _BadCallError("body")
    identifier, amount = tree.get("InstanceId"), tree.get("Actor")
    if not _is_name(identifier):
        raise _BadCallError("InstanceId")
    if type(amount) is not int or not -AMOUNT_BOUND < amount < AMOUNT_BOUND:
        raise _BadCallError("Actor")
    return Add(tally, identifier, amount)


def _is_name(value: object) -> bool:
    """Whether it is text of a fair length."""
    return is_text(value) and len(value) <= MAX_NAME_CHARACTERS
