"""Parts of prompts that a host or the store keeps, with their numbered events; and the two calls for them."""

import json
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from ..http.message import Request
from ..http.server import Exchange
from .records import Maker

MILLISECOND = 1_000_000
MOST_EVENTS = 4096  # kept; older ones are missing
MOST_WAIT_MS = 1000
JSON_HEADERS = [("content-type", "application/json")]


class PromptPart(NamedTuple):
    """One part of a prompt: its id in hex and its tokens."""

    identifier: str
    tokens: int


class KeptPart(NamedTuple):
    """One part that is kept."""

    tokens: int
    model: str
    maker: Maker


class KeptParts:
    """Kept parts by (salt, id), the least recently used first; at most `room` tokens beside what runs."""

    def __init__(self, room: int, incarnation: int):
        self.room, self.incarnation = room, incarnation
        self.parts: OrderedDict[tuple[str, str], KeptPart] = OrderedDict()
        self.tokens = self.in_use = 0  # of kept parts; of running requests
        self.number = 0
        self.events: deque[list] = deque(maxlen=MOST_EVENTS)
        self.waiters: dict[Callable[[], None], None] = {}

    def matching(self, salt: str, parts: list[PromptPart]) -> list[KeptPart]:
        """The parts kept from the prompt's beginning on, touched."""
        found = []
        for part in parts:
            kept = self.parts.get((salt, part.identifier))
            if kept is None:
                break
            self.parts.move_to_end((salt, part.identifier))
            found.append(kept)
        return found

    def keep(self, salt: str, part: PromptPart, model: str, maker: Maker) -> bool:
        """Keeps a part as it was first made; False when there is no room."""
        key = (salt, part.identifier)
        if key in self.parts:
            self.parts.move_to_end(key)
            return True
        if not self._make_room(part.tokens):
            return False
        self.parts[key] = KeptPart(part.tokens, model, maker)
        self.tokens += part.tokens
        self._tell("+", key, part.tokens, model)
        return True

    def take(self, tokens: int) -> bool:
        """Takes memory for a running request; False when even without kept parts there is none."""
        if self.in_use + tokens > self.room or not self._make_room(tokens):
            return False
        self.in_use += tokens
        return True

    def give_back(self, tokens: int) -> None:
        self.in_use -= tokens

    def drop(self, model: str) -> None:
        """Forgets all parts of a model."""
        for key in [key for key, kept in self.parts.items() if kept.model == model]:
            self._drop(key)

    def _make_room(self, tokens: int) -> bool:
        if tokens > self.room - self.in_use:
            return False
        while self.tokens + self.in_use + tokens > self.room:
            self._drop(next(iter(self.parts)))
        return True

    def _drop(self, key: tuple[str, str]) -> None:
        kept = self.parts.pop(key)
        self.tokens -= kept.tokens
        self._tell("-", key, 0, kept.model)

    def _tell(self, sign: str, key: tuple[str, str], tokens: int, model: str) -> None:
        self.number += 1
        self.events.append([self.number, sign, *key, tokens, model])
        waiters, self.waiters = self.waiters, {}
        for wake in waiters:
            wake()

    def events_since(self, since: int) -> tuple[bool, list[list]]:
        """Whether events are missing, and those after a number."""
        oldest = self.events[0][0] if self.events else self.number + 1
        missing = since > self.number or since + 1 < oldest
        return missing, [event for event in self.events if event[0] > since]


class KeptCalls:
    """Answers `/-/kv-events` and `/-/kv-list`; at most `most_inflight` of them at once."""

    def __init__(self, loop, kept: Callable[[], KeptParts], most_inflight: int):
        self.loop, self.kept, self.most_inflight = loop, kept, most_inflight
        self.inflight = 0

    def handles(self, request: Request, exchange: Exchange) -> bool:
        """Whether the request was one of these calls."""
        path = urlsplit(request.target).path
        if request.method != "GET" or path not in ("/-/kv-events", "/-/kv-list"):
            return False
        if self.inflight >= self.most_inflight:
            exchange.respond(429, headers=[("hopsail-not-executed", "1")])
        elif path == "/-/kv-list":
            self._list(exchange)
        else:
            self._events(request, exchange)
        return True

    def _list(self, exchange: Exchange) -> None:
        kept = self.kept()
        retained = [[*key, part.tokens, part.model] for key, part in kept.parts.items()]
        tree = {"Incarnation": kept.incarnation, "NextToken": kept.number, "Retained": retained}
        exchange.respond(200, json.dumps(tree).encode(), JSON_HEADERS)

    def _events(self, request: Request, exchange: Exchange) -> None:
        since = parse_qs(urlsplit(request.target).query).get("Since", ["0"])[0]
        wait = request.header("wait-ms") or "0"
        if not since.isdigit() or not wait.isdigit():
            exchange.respond(400)
            return
        kept = self.kept()
        if kept.events_since(int(since)) != (False, []) or int(wait) == 0:
            self._tell(exchange, kept, int(since))
            return
        self._hold(exchange, kept, int(since), min(MOST_WAIT_MS, int(wait)))

    def _hold(self, exchange: Exchange, kept: KeptParts, since: int, wait_ms: int) -> None:
        self.inflight += 1
        held = [True]

        def end(answer: bool = True) -> None:
            if held[0]:
                held[0] = False
                self.inflight -= 1
                timer.cancel()
                kept.waiters.pop(wake, None)
                if answer:
                    self._tell(exchange, kept, since)

        def wake() -> None:
            self.loop.soon(end)

        timer = self.loop.at(self.loop.now() + wait_ms * MILLISECOND, end)
        kept.waiters[wake] = None
        exchange.on_gone(lambda: end(False))

    def _tell(self, exchange: Exchange, kept: KeptParts, since: int) -> None:
        missing, events = kept.events_since(since)
        tree = {
            "Incarnation": kept.incarnation,
            "NextToken": kept.number,
            "Missing": missing,
            "EventLog": events,
        }
        exchange.respond(200, json.dumps(tree).encode(), JSON_HEADERS)
