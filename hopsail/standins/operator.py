"""The operator stand-in: puts, patches and reads configurations, and names new weights, with the retries of
the protocol's page."""

import json
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from ..http.client import HttpClient
from ..http.message import Response
from .fabric import Address, Fabric
from .kept import JSON_HEADERS, MILLISECOND

SILENCE_MS = 1000  # after which another process is asked
MOST_REDIRECTS = 2
FIRST_PAUSE_MS, MOST_PAUSE_MS = 50, 1000
GIVE_UP_MS = 30_000
FINAL_STATUSES = (400, 409, 412, 413, 422)
OTHERS_AGAIN = (408, 429)
MOST_REFUSALS = 3  # tries that other 4xx end
CONFIGURATION = "/-/config"
TALLIES = "/-/tallies/"


class Answer(NamedTuple):
    """How a call ended: `status` 0 when there was no clear answer in time; `took_ms` from the first try."""

    status: int
    body: bytes
    tries: int
    took_ms: float

    @property
    def taken(self) -> bool:
        return 200 <= self.status < 300

    @property
    def tree(self):
        """The body read as JSON."""
        return json.loads(self.body)


class OperatorCall(NamedTuple):
    """One call, sent unchanged at each try."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _Sending:
    """One call on its way to an answer."""

    def __init__(self, operator: "Operator", call: OperatorCall, done: Callable[[Answer], None]):
        self.operator, self.call, self.done = operator, call, done
        self.loop = operator.loop
        self.began = self.loop.now()
        self.tries = self.refusals = 0
        self.pause_ms = FIRST_PAUSE_MS

    def try_next(self) -> None:
        self.tries += 1
        self._ask(self.operator.next_address(), self.call.target, 0)

    def _ask(self, address: Address, target: str, redirects: int) -> None:
        call = self.call
        silence = SILENCE_MS + len(call.body) // 1000  # more for large bodies
        self.operator.client.call(
            address,
            call.method,
            target,
            list(call.headers),
            call.body,
            timeout=silence * MILLISECOND,
            done=lambda response: self._answered(response, redirects),
        )

    def _answered(self, response: Response | None, redirects: int) -> None:
        if response is None:
            self._again()
        elif response.status == 307 and redirects < MOST_REDIRECTS:
            self._redirected(response, redirects)
        elif response.status in FINAL_STATUSES or 200 <= response.status < 300:
            self._end(response.status, response.body)
        elif 400 <= response.status < 500 and response.status not in OTHERS_AGAIN:
            self._refused(response)
        else:
            self._again()

    def _redirected(self, response: Response, redirects: int) -> None:
        location = (response.header("location") or "").removeprefix("http://")
        place, _, path = location.partition("/")
        host, _, port = place.rpartition(":")
        if not host or not port.isdigit():
            self._again()
            return
        self._ask((host, int(port)), "/" + path, redirects + 1)

    def _refused(self, response: Response) -> None:
        self.refusals += 1
        if self.refusals >= MOST_REFUSALS:
            self._end(response.status, response.body)
        else:
            self._again()

    def _again(self) -> None:
        now = self.loop.now()
        if now - self.began > GIVE_UP_MS * MILLISECOND:
            self._end(0, b"")
            return
        pause = int(self.pause_ms * (0.5 + 0.5 * self.operator.random.random()) * MILLISECOND)
        self.pause_ms = min(MOST_PAUSE_MS, self.pause_ms * 2)
        self.loop.at(now + pause, self.try_next)

    def _end(self, status: int, body: bytes) -> None:
        took = (self.loop.now() - self.began) / MILLISECOND
        self.done(Answer(status, body, self.tries, took))


class Operator:
    """Calls any of the processes that serve `control`. `sent` are all configurations that were ever sent."""

    def __init__(self, loop, addresses: Sequence[Address], fabric: Fabric, seed: str = ""):
        self.loop, self.addresses, self.fabric = loop, list(addresses), fabric
        self.client = HttpClient(loop)
        self.random = Random(f"operator/{seed}")
        self.sent: list[dict] = []
        self.acknowledged: dict[int, int] = {}  # revision -> ns of its acknowledgement
        self.versions: dict[int, int] = {}  # version of weights -> ns of its acknowledgement

    def next_address(self) -> Address:
        return self.random.choice(self.addresses)

    def put(self, configuration: dict, current: int, done: Callable[[Answer], None]) -> None:
        """A whole configuration on top of revision `current`."""
        self.sent.append(configuration)
        self._change("PUT", configuration, current, done)

    def patch(self, patch: dict, whole: dict, current: int, done: Callable[[Answer], None]) -> None:
        """A patch on top of revision `current`; `whole` is the configuration that it leads to."""
        self.sent.append(whole)
        self._change("PATCH", patch, current, done)

    def read(self, done: Callable[[Answer], None]) -> None:
        """The newest configuration in whole."""
        self._send(OperatorCall("GET", CONFIGURATION, (), b""), done)

    def name_version(self, model: str, revision: int, done: Callable[[Answer], None]) -> None:
        """Names new weights; hosts take orders for them from now on."""
        self.fabric.name_version(model, revision)
        body = json.dumps({"Model": model, "Revision": revision}).encode()
        call = OperatorCall("POST", "/-/version-put", tuple(JSON_HEADERS), body)
        self._send(call, self._noting(self.versions, revision, done))

    def add_to_tally(self, tally: str, identifier: str, amount: int, done: Callable[[Answer], None]) -> None:
        """An application's add; an identifier counts once, however often it is sent."""
        body = json.dumps({"InstanceId": identifier, "Actor": amount}).encode()
        self._send(OperatorCall("POST", TALLIES + tally, tuple(JSON_HEADERS), body), done)

    def _change(self, method: str, tree: dict, current: int, done: Callable[[Answer], None]) -> None:
        headers = (("if-match", str(current)), *JSON_HEADERS)
        call = OperatorCall(method, CONFIGURATION, headers, json.dumps(tree).encode())
        self._send(call, self._noting(self.acknowledged, tree["Revision"], done))

    def _noting(
        self, times: dict[int, int], revision: int, done: Callable[[Answer], None]
    ) -> Callable[[Answer], None]:
        """`done`, after the time of an acknowledgement is noted."""

        def ended(answer: Answer) -> None:
            if answer.taken:
                times[revision] = self.loop.now()
            done(answer)

        return ended

    def _send(self, call: OperatorCall, done: Callable[[Answer], None]) -> None:
        _Sending(self, call, done).try_next()

    def close(self) -> None:
        self.client.pool.close()
