"""The operator's calls, at any control process."""

import json
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote

from ..configuration.checker import parse_configuration, parse_patch
from ..configuration.codes import ConfigurationError, ResultCode
from ..http.message import Request, whole_number
from ..http.server import Exchange
from .commands import Command, CommandKind, Result
from .json_answers import JSON_TYPE, is_text, respond_json
from .shards import CONFIGURATION_SHARD, shard_of_service
from .tally_calls import TALLY_PREFIX, TallyCalls, TallyControl

CONFIGURATION_PATH, VERSION_PATH = "/-/config", "/-/version-put"
EVACUATIONS_PATH = "/-/evacuations/"  # and the zone
EVACUATION_KINDS = {"POST": CommandKind.EVACUATE_ZONE, "DELETE": CommandKind.WITHDRAW_EVACUATION}
MAX_PARSED_HERE_BYTES = 256 << 10  # a larger body is read by the leader alone, in steps


class Control(TallyControl, Protocol):
    """What carries the operator's calls out."""

    def submit(self, shard: int, command: Command, done: Callable[[Result | None], None]) -> None:
        """`done(None)` when nothing is known of it in time."""

    def order_evacuation(
        self,
        kind: CommandKind,
        zone: str,
        is_awaited: Callable[[], bool],
        done: Callable[[Result | None], None],
    ) -> None:
        """As `submit`; what the caller does not wait for any more is given up."""

    zones: set[str]

    def read_configuration(self, done: Callable[[bytes | None], None]) -> None:
        """The newest configuration as JSON, b"" before the first; None when it can't be had in time."""

    def service_of_model(self, model: str) -> str: ...


class OperatorCalls:
    """Takes HTTP requests, gives answers with numbered result codes."""

    def __init__(self, control: Control, counters):
        self.control, self.counters = control, counters
        self._tally_calls = TallyCalls(control, counters)

    def handle(self, request: Request, exchange: Exchange) -> None:
        """One call."""
        call = f"{request.method} {request.path}"
        self.counters.add(f"operator.{request.method.lower()}")
        if call == f"GET {CONFIGURATION_PATH}":
            self.control.read_configuration(lambda body: self._answer_read(exchange, body))
        elif call == f"PUT {CONFIGURATION_PATH}":
            self._change(request, exchange, CommandKind.PUT_CONFIGURATION, parse_configuration)
        elif call == f"PATCH {CONFIGURATION_PATH}":
            self._change(request, exchange, CommandKind.PATCH_CONFIGURATION, parse_patch)
        elif call == f"POST {VERSION_PATH}":
            self._name_revision(request, exchange)
        elif request.path.startswith(EVACUATIONS_PATH):
            self._order_evacuation(request, exchange)
        elif request.path.startswith(TALLY_PREFIX):
            self._tally_calls.handle(request, exchange)
        elif request.path in (CONFIGURATION_PATH, VERSION_PATH):
            self._answer(exchange, Result.rejection(ResultCode.CONTROL_NO_METHOD, request.method))
        else:
            self._answer(exchange, Result.rejection(ResultCode.CONTROL_NO_PATH, request.path))

    def refuse(self, exchange: Exchange) -> None:
        """Answers a call that can't be carried out before this process ends."""
        self._answer(exchange, None)

    def _change(self, request: Request, exchange: Exchange, kind: CommandKind, parse) -> None:
        try:
            base = _base_revision(request)
            if len(request.body) <= MAX_PARSED_HERE_BYTES:
                parse(request.body)  # what can't be read is refused here, whoever leads
        except ConfigurationError as error:
            self._answer(exchange, Result.rejection(error.code, error.item))
            return
        command = Command(kind, base, "", 0, "", request.body)
        self.control.submit(CONFIGURATION_SHARD, command, lambda result: self._answer(exchange, result))

    def _name_revision(self, request: Request, exchange: Exchange) -> None:
        try:
            tree = json.loads(request.body)
            model, revision = tree["Model"], tree["Revision"]
        except (ValueError, KeyError, TypeError, RecursionError):
            self._answer(exchange, Result.rejection(ResultCode.CONTROL_UNREADABLE, "body"))
            return
        if not is_text(model) or type(revision) is not int or revision < 1:
            self._answer(exchange, Result.rejection(ResultCode.CONTROL_UNREADABLE, "Revision"))
            return
        command = Command(CommandKind.NAME_REVISION, 0, model, revision, "", b"")
        shard = shard_of_service(self.control.service_of_model(model))
        self.control.submit(shard, command, lambda result: self._answer(exchange, result))

    def _order_evacuation(self, request: Request, exchange: Exchange) -> None:
        zone = unquote(request.path.removeprefix(EVACUATIONS_PATH))
        kind = EVACUATION_KINDS.get(request.method)
        if kind is None:
            self._answer(exchange, Result.rejection(ResultCode.CONTROL_NO_METHOD, request.method))
        elif zone not in self.control.zones:
            self._answer(exchange, Result.rejection(ResultCode.CONTROL_UNKNOWN_ZONE, zone))
        else:
            self.control.order_evacuation(
                kind, zone, lambda: not exchange.gone, lambda result: self._answer(exchange, result)
            )

    def _answer_read(self, exchange: Exchange, body: bytes | None) -> None:
        if body is None:
            self._answer(exchange, None)
        elif not body:
            self._answer(exchange, Result.rejection(ResultCode.NO_CONFIGURATION, ""))
        else:
            exchange.respond(200, body, [JSON_TYPE])

    def _answer(self, exchange: Exchange, result: Result | None) -> None:
        if result is None:
            result = Result.rejection(ResultCode.CONTROL_NO_QUORUM, "")
        respond_json(exchange, self.counters, result.status, _body(result))


def _base_revision(request: Request) -> int:
    texts = [value for name, value in request.headers if name == "if-match"]
    base = whole_number(texts[0].strip().strip('"')) if len(texts) == 1 else None
    if base is None:
        raise ConfigurationError(ResultCode.BAD_PRECONDITION, "If-Match")
    return base


def _body(result: Result) -> bytes:
    if result.status == 200:
        return json.dumps({"Revision": result.value}).encode()
    return json.dumps(
        {"Error": {"Code": result.code, "Item": result.item}, "Revision": result.value}
    ).encode()
