"""The model-host stand-in: prompts in, event streams out, kept parts, reports and orders."""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from urllib.parse import urlsplit

from ..http.message import Request
from ..http.server import Exchange, HttpServer, ServerLimits
from .fabric import Address, Fabric, address_of
from .kept import JSON_HEADERS, MILLISECOND, KeptCalls, KeptParts, PromptPart
from .records import Arrival, Journal, Maker, Run, digest_of, event_of, plain_body, seal_of

NOT_EXECUTED = ("hopsail-not-executed", "1")
REPORT_AGE_MS = 200  # a report shows the host as it stood that long ago, at most
DEFAULT_PRIORITY = 5
MOST_DEADLINE_MS = 600_000
MISS_MS = 1  # what a fetch costs that finds nothing
METHODS = ("defer", "truncate", "retain")


@dataclass
class HostSettings:
    """One host. Rates are tokens of a prompt read in a ms, and ms for each generated token."""

    service: str
    address: Address
    zone: str
    models: dict[str, int]  # name -> version of the weights
    capacity: int = 12
    most_queued: int = 4
    cache_tokens: int = 140_644
    max_conns: int = 170
    most_inflight: int = 12
    token_bytes: int = 163_840
    link_mbps: float = 1_100_000.0
    prefill_tokens_per_ms: float = 61.2
    step_ms: float = 3.4
    load_ms: int = 400
    health_path: str = "/healthz"
    fence_checked: bool = True
    unframed_share: float = 0.0  # of streams, which have no length and end with their connections
    behind: bool = False  # whether it starts with the versions of `models` though newer ones are named
    seed: str = ""


@dataclass(eq=False)
class Work:
    """One request at the host, queued or running."""

    exchange: Exchange
    attempt: str
    model: str
    parts: list[PromptPart]
    prompt_tokens: int
    total: int
    priority: int
    salt: str
    deadline: int
    resumed_after: int
    streaming: bool
    serial: int
    run: Run | None = None
    position: int = 0
    version: int = 0  # of the weights, as the client was last told
    timers: list = field(default_factory=list)

    @property
    def memory(self) -> int:
        return self.prompt_tokens + self.total

    def end_with_connection(self) -> None:
        """Its answer is to be as one to HTTP/1.0: its end is told by the connection, a cut by a reset."""
        self.exchange.request = self.exchange.request._replace(version="1.0")

    def begin_next_event(self) -> None:
        """Sends the first half of the event that is next, if there is one."""
        if self.run is None or not self.exchange.started or self.position >= self.total:
            return
        event = event_of(self.run.identifier, self.position + 1, self.position + 1)
        self.exchange.send(event[: len(event) // 2])

    def break_off(self) -> None:
        """The host itself ends it before its answer is whole."""
        self.stop_timers()
        if self.run is not None:
            self.run.broken_off = True

    def stop_timers(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()


class Host:
    """One incarnation of a host. `changed(host)` is called when the platform's list should show news."""

    def __init__(
        self,
        loop,
        settings: HostSettings,
        fabric: Fabric,
        journal: Journal,
        *,
        changed: Callable[["Host"], None] = lambda host: None,
        draining_shown: Callable[[str], int | None] = lambda identifier: None,
    ):
        self.loop, self.settings, self.fabric, self.journal = loop, settings, fabric, journal
        self.changed, self.draining_shown = changed, draining_shown
        self.random = Random(f"host/{settings.seed}/{settings.address}")
        self.identifier = f"i-{self.random.randrange(1 << 32):08x}"
        newest = (lambda _: 0) if settings.behind else fabric.newest
        self.models = {name: max(held, newest(name)) for name, held in settings.models.items()}
        self.kept = KeptParts(settings.cache_tokens, self.random.randrange(1, 1 << 31))
        fabric.kept[settings.address] = self.kept
        self.queue: list[Work] = []
        self.running: dict[Work, None] = {}
        self.serial = self.run_number = 0
        self.draining = self.failing = self.gone = False
        self.loading: str | None = None  # the model whose weights an order replaces
        self.load_pending: Callable[[], None] | None = None
        self.call_sequence, self.highest_fence = 0, -1
        self.orders: deque[tuple[int, str, int, int]] = deque(maxlen=10_000)  # (ns, owner, fence, status)
        self._report, self._report_at = b"", None
        self.calls = KeptCalls(loop, lambda: self.kept, settings.most_inflight)
        limits = ServerLimits(connections=settings.max_conns, idle_timeout_ms=30_000)
        self.server = HttpServer(loop, settings.address, self._handle, limits)

    # What the platform shows of it, and what becomes of it.

    def entry(self) -> dict:
        """Its entry in the platform's list."""
        return {
            "InstanceId": self.identifier,
            "Service": self.settings.service,
            "Address": "{}:{}".format(*self.settings.address),
            "Zone": self.settings.zone,
            "Revision": "v1",
            "Capacity": self.settings.capacity,
            "Phase": "draining" if self.draining else "serving",
            "WarmupLeftMs": 0,
            "PhaseKind": "prefill_decode",
            "Models": self._models(),
        }

    def _models(self) -> list[dict]:
        return [{"Name": name, "Revision": held, "Adapters": []} for name, held in self.models.items()]

    def drain(self) -> None:
        """It is to leave: it goes on serving, and its answers close their connections."""
        self.draining = True
        self.server.drain()
        self.changed(self)

    def crash(self) -> None:
        """It is gone at once, within an event of each stream; its connections end in order. Once only."""
        if self.gone:
            return
        self.gone = True
        for work in self.running:
            work.begin_next_event()
        for work in [*self.queue, *self.running]:
            work.break_off()
        self.queue.clear()
        self.running.clear()
        self.fabric.kept.pop(self.settings.address, None)
        self.server.close()

    def close(self) -> None:
        """Gives back its sockets."""
        self.crash()

    # Calls.

    def _handle(self, request: Request, exchange: Exchange) -> None:
        path = urlsplit(request.target).path
        if self.calls.handles(request, exchange):
            return
        if request.method == "GET" and path == "/-/report":
            self._answer_report(exchange)
        elif request.method == "POST" and path == "/-/order":
            self._order(request, exchange)
        elif request.method == "GET" and path == self.settings.health_path:
            self._answer_health(exchange)
        else:
            self._prompt(request, exchange)

    def _answer_health(self, exchange: Exchange) -> None:
        well = not (self.draining or self.failing or self._full)
        exchange.respond(200 if well else 503, headers=[("hopsail-instance-id", self.identifier)])

    def _answer_report(self, exchange: Exchange) -> None:
        now = self.loop.now()
        if self._report_at is None or now - self._report_at > REPORT_AGE_MS * MILLISECOND:
            before, self._report, self._report_at = self._report, self._state(), now
        else:
            before = self._report
        exchange.respond(200, before or self._report, JSON_HEADERS)

    def _state(self) -> bytes:
        tree = {
            "PhaseKind": "prefill_decode",
            "Models": self._models(),
            "Saturated": self.loading is not None,
            "CallSeq": self.call_sequence,
            "Queued": len(self.queue),
            "Active": len(self.running),
            "CacheUsed": self.kept.in_use,
            "CacheTotal": self.settings.cache_tokens,
            "PrefixHandles": 0,
        }
        return json.dumps(tree).encode()

    # Prompts.

    @property
    def _full(self) -> bool:
        busy = len(self.running) >= self.settings.capacity
        return busy and len(self.queue) >= self.settings.most_queued

    def _prompt(self, request: Request, exchange: Exchange) -> None:
        attempt = request.header("hopsail-attempt-id") or ""
        status = self._declined(request, attempt)
        shown = self.draining_shown(self.identifier)
        arrival = Arrival(attempt, self.identifier, self.settings.service, self.loop.now(), status, shown)
        self.journal.add(self.journal.arrivals, arrival)
        if status:
            self._decline(exchange, attempt, status)
            return
        work = self._work(request, exchange, attempt)
        if work.memory > self.settings.cache_tokens:
            self._decline(exchange, attempt, 503)
            return
        exchange.on_gone(lambda: self._gone(work))
        work.timers.append(self.loop.at(work.deadline, lambda: self._late(work)))
        self.queue.append(work)
        self.queue.sort(key=lambda queued: (queued.priority, queued.serial))
        self._fill_slots()

    def _declined(self, request: Request, attempt: str) -> int:
        """The status with which a request is turned away, 0 if it is taken in."""
        if not attempt:
            return 400
        target = request.header("hopsail-target-instance")
        if target is not None and target != self.identifier:
            return 421
        model = request.header("hopsail-model")
        expected = request.header("expect-version")
        if expected is not None and expected != str(self.models.get(model or "", "")):
            return 421
        if self._full or (self.loading is not None and model == self.loading):
            return 503
        return 0

    def _decline(self, exchange: Exchange, attempt: str, status: int) -> None:
        exchange.respond(status, headers=[("hopsail-attempt-id", attempt), NOT_EXECUTED])

    def _work(self, request: Request, exchange: Exchange, attempt: str) -> Work:
        counts = request.header("hopsail-token-count")
        prompt_tokens, total = (int(text) for text in (counts or "0,1").split(","))
        priority = request.header("priority") or ""
        deadline_ms = request.header("hopsail-deadline-ms") or ""
        wait = int(deadline_ms) if deadline_ms.isdigit() else MOST_DEADLINE_MS
        after = request.header("last-event-id") or "0"
        self.serial += 1
        return Work(
            exchange=exchange,
            attempt=attempt,
            model=request.header("hopsail-model") or "",
            parts=read_parts(request.header("hopsail-prompt-prefix") or ""),
            prompt_tokens=prompt_tokens,
            total=total,
            priority=int(priority) if priority.isdigit() else DEFAULT_PRIORITY,
            salt=request.header("cache-salt") or "",
            deadline=self.loop.now() + min(wait, MOST_DEADLINE_MS) * MILLISECOND,
            resumed_after=int(after) if after.isdigit() else 0,
            streaming=counts is not None,
            serial=self.serial,
        )

    def _fill_slots(self) -> None:
        while self.queue and len(self.running) < self.settings.capacity:
            work = self.queue[0]
            if not self.kept.take(work.memory):
                return
            self.queue.pop(0)
            self._begin(work)

    def _begin(self, work: Work) -> None:
        """Work on a request begins: from now on it counts as run."""
        request = work.exchange.request
        self.run_number += 1
        work.position, work.version = work.resumed_after, self.models.get(work.model, 0)
        work.run = Run(
            identifier=f"{self.identifier}-{self.run_number}",
            attempt=work.attempt,
            instance=self.identifier,
            service=self.settings.service,
            method=request.method,
            target=request.target,
            hostname=request.header("host") or "",
            body_digest=digest_of(request.body),
            tenant=request.header("hopsail-tenant") or "",
            model=work.model,
            revision=work.version,
            resumed_after=work.resumed_after,
            total=work.total,
            began_at=self.loop.now(),
        )
        self.journal.add(self.journal.runs, work.run)
        self.running[work] = None
        self._after(work, self._read_ms(work), lambda: self._read(work))

    def _after(self, work: Work, milliseconds: float, act: Callable[[], None]) -> None:
        work.timers[1:] = [self.loop.at(self.loop.now() + int(milliseconds * MILLISECOND), act)]

    def _read_ms(self, work: Work) -> float:
        """How long the prompt takes, with what is kept here and what is fetched."""
        held = self.kept.matching(work.salt, work.parts)
        fetched, moving_ms = self._fetched(work, len(held))
        used = [*held, *fetched]
        work.run.drew_on += [part.maker for part in used]
        left = max(0, work.prompt_tokens - sum(part.tokens for part in used))
        return moving_ms + left / self.settings.prefill_tokens_per_ms

    def _fetched(self, work: Work, held: int) -> tuple[list, float]:
        source = self.fabric.kept.get(address_of(work.exchange.request.header("kv-fetch")) or ("", 0))
        if source is None:
            return [], 0.0
        found = source.matching(work.salt, work.parts)[held:]
        for part, kept in zip(work.parts[held:], found, strict=False):
            self.kept.keep(work.salt, part, kept.model, kept.maker)
        bits = sum(kept.tokens for kept in found) * self.settings.token_bytes * 8
        return found, bits / (self.settings.link_mbps * 1000) if found else MISS_MS

    def _read(self, work: Work) -> None:
        """The prompt is read: its parts are kept, and the first token comes."""
        maker = Maker(work.run.tenant, work.model, work.run.revision)
        store = self.fabric.kept.get(address_of(work.exchange.request.header("kv-save")) or ("", 0))
        for part in work.parts:
            self.kept.keep(work.salt, part, work.model, maker)
            if store is not None:
                store.keep(work.salt, part, work.model, maker)
        if not work.streaming:
            self._answer_plain(work)
            return
        if self.settings.unframed_share and self.random.random() < self.settings.unframed_share:
            work.end_with_connection()
        work.exchange.start(200, [*self._head(work), ("content-type", "text/event-stream")])
        self._step(work)

    def _head(self, work: Work) -> list[tuple[str, str]]:
        seal = seal_of(work.attempt, work.run.identifier, work.resumed_after + 1, work.total)
        return [
            ("hopsail-attempt-id", work.attempt),
            ("hopsail-server-seal", seal),
            ("hopsail-instance-id", self.identifier),
            ("versions", str(work.run.revision)),
        ]

    def _answer_plain(self, work: Work) -> None:
        body = plain_body(work.run.identifier, work.total)
        work.run.sent_up_to, work.run.complete = work.total, True
        work.exchange.respond(200, body, self._head(work))
        self._ended(work)

    def _step(self, work: Work) -> None:
        """One event of one to three tokens, or the stream's end."""
        if work.position >= work.total:
            work.run.complete = True
            work.exchange.finish()
            self._ended(work)
            return
        first, last = work.position + 1, min(work.total, work.position + self.random.randint(1, 3))
        versions = None
        if self.models.get(work.model, 0) != work.version:
            versions = work.version = self.models[work.model]
        work.position = work.run.sent_up_to = last
        work.exchange.send(event_of(work.run.identifier, first, last, versions))
        self._after(work, self.settings.step_ms * (last - first + 1), lambda: self._step(work))

    # Ends of a request.

    def _ended(self, work: Work) -> None:
        """Its slot and memory are free again."""
        work.stop_timers()
        if work in self.running:
            del self.running[work]
            self.kept.give_back(work.memory)
        elif work in self.queue:
            self.queue.remove(work)
        if self.load_pending is not None and not self._concerned():
            begin, self.load_pending = self.load_pending, None
            begin()
        self._fill_slots()

    def _gone(self, work: Work) -> None:
        self._ended(work)

    def _late(self, work: Work) -> None:
        """The value of `Hopsail-Deadline-Ms` is over."""
        if work.run is None:
            self._decline(work.exchange, work.attempt, 503)
        elif work.exchange.started:
            work.break_off()
            work.exchange.abort()
        else:
            work.exchange.respond(504, headers=[("hopsail-attempt-id", work.attempt)])
        self._ended(work)

    # Orders.

    def _order(self, request: Request, exchange: Exchange) -> None:
        try:
            body = json.loads(request.body)
        except ValueError:
            body = None
        status = self._order_status(request, body if isinstance(body, dict) else {})
        if isinstance(body, dict) and isinstance(body.get("FenceToken"), int):
            order = (self.loop.now(), str(body.get("Owner")), body["FenceToken"], status)
            self.orders.append(order)
        if status == 202:
            self.call_sequence += 1
            self._begin_load(body["Model"], body["Revision"], body["Method"])
        exchange.respond(status)

    def _order_status(self, request: Request, body: dict) -> int:
        target = request.header("hopsail-target-instance")
        if target is not None and target != self.identifier:
            return 421
        model, revision, fence = body.get("Model"), body.get("Revision"), body.get("FenceToken")
        known = body.get("OrderKind") == "Revision" and body.get("Method") in METHODS
        if not known or not body.get("Owner") or not isinstance(fence, int):
            return 400
        if model not in self.models or not isinstance(revision, int) or revision > self.fabric.newest(model):
            return 400
        if self.settings.fence_checked and fence < self.highest_fence:
            return 412
        self.highest_fence = max(fence, self.highest_fence)
        if self.models[model] == revision:
            return 200
        if self.loading is not None or body.get("Expected", self.call_sequence) != self.call_sequence:
            return 409
        return 202

    def _concerned(self) -> list[Work]:
        return [work for work in self.running if work.model == self.loading]

    def _begin_load(self, model: str, revision: int, method: str) -> None:
        self.loading = model
        self._decline_queued(model)
        if method == "truncate":
            for work in self._concerned():
                work.break_off()
                work.exchange.connection.reset()
                self._ended(work)
        if method == "defer" and self._concerned():
            self.load_pending = lambda: self._load(model, revision)
        else:
            self._load(model, revision)

    def _decline_queued(self, model: str) -> None:
        """Turns all away that wait for a model; none of them may begin while others are turned away."""
        declined = [work for work in self.queue if work.model == model]
        self.queue = [work for work in self.queue if work.model != model]
        for work in declined:
            work.stop_timers()
            self._decline(work.exchange, work.attempt, 503)

    def _load(self, model: str, revision: int) -> None:
        self.loop.at(
            self.loop.now() + self.settings.load_ms * MILLISECOND, lambda: self._loaded(model, revision)
        )

    def _loaded(self, model: str, revision: int) -> None:
        self.models[model] = revision
        self.kept.drop(model)
        self.loading = None
        self.changed(self)
        self._fill_slots()


def read_parts(header: str) -> list[PromptPart]:
    """The parts of a prompt, written as ID:TOKENS and separated by commas."""
    parts = []
    for text in header.split(","):
        identifier, _, tokens = text.partition(":")
        if tokens.isdigit():
            parts.append(PromptPart(identifier, int(tokens)))
    return parts
