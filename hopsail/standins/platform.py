"""The platform stand-in: its lagging list of hosts, in pages, within a rate."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from ..http.message import Request
from ..http.server import Exchange, HttpServer
from .fabric import Address
from .kept import JSON_HEADERS, MILLISECOND

SECOND = 1000 * MILLISECOND
PAGE = 50
PAGE_MARK = "p-"


class RateLimit:
    """So many calls a second, with at most one second's worth at once."""

    def __init__(self, rate_per_s: float, now: int):
        self.rate, self.left, self.at = rate_per_s, rate_per_s, now

    def allows(self, now: int) -> bool:
        """Takes one call, False when there is none left."""
        self.left = min(self.rate, self.left + (now - self.at) / SECOND * self.rate)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Platform:
    """Serves `GET /instances`. `shown_draining` tells when an instance was first listed as draining."""

    def __init__(
        self, loop, address: Address, *, rate_per_s: float = 47.0, lag_ms: int = 800, page: int = PAGE
    ):
        self.loop, self.address, self.lag, self.page = loop, address, lag_ms * MILLISECOND, page
        self.entries: dict[str, dict] = {}  # by InstanceId, as the list shows them now
        self.shown_draining: dict[str, int] = {}
        self.calls = self.refused = 0
        self.limit = RateLimit(rate_per_s, loop.now())
        self.server = HttpServer(loop, address, self._handle)

    def changed(self, entry: dict, at_once: bool = False) -> None:
        """An instance has started or changed; the list shows it after the lag."""
        self._later(lambda: self._show(entry), at_once)

    def removed(self, identifier: str, at_once: bool = False) -> None:
        """An instance has ended; the list forgets it after the lag."""
        self._later(lambda: self._hide(identifier), at_once)

    def _later(self, act: Callable[[], None], at_once: bool) -> None:
        if at_once:
            act()
        else:
            self.loop.at(self.loop.now() + self.lag, act)

    def _show(self, entry: dict) -> None:
        self.entries[entry["InstanceId"]] = entry
        if entry["Phase"] == "draining":
            self.shown_draining.setdefault(entry["InstanceId"], self.loop.now())

    def _hide(self, identifier: str) -> None:
        self.entries.pop(identifier, None)
        self.shown_draining.setdefault(identifier, self.loop.now())

    def _handle(self, request: Request, exchange: Exchange) -> None:
        url = urlsplit(request.target)
        if request.method != "GET" or url.path != "/instances":
            exchange.respond(404)
            return
        self.calls += 1
        if not self.limit.allows(self.loop.now()):
            self.refused += 1
            exchange.respond(429)
            return
        query = parse_qs(url.query)
        start = query.get("PageToken", [PAGE_MARK + "0"])[0].removeprefix(PAGE_MARK)
        if not start.isdigit():
            exchange.respond(400)
            return
        exchange.respond(200, self._page(query.get("Zone", [None])[0], int(start)), JSON_HEADERS)

    def _page(self, zone: str | None, start: int) -> bytes:
        listed = [entry for entry in self.entries.values() if zone in (None, entry["Zone"])]
        following = start + self.page
        token = f"{PAGE_MARK}{following}" if following < len(listed) else None
        return json.dumps({"Instances": listed[start:following], "NextToken": token}).encode()

    def close(self) -> None:
        self.server.close()
