"""Operators: they change the configuration, name weights, read, and send again what had no clear answer."""

import json
from dataclasses import dataclass
from random import Random

from hopsail.controlplane.commands import Command, CommandKind
from hopsail.controlplane.operator import CONFIGURATION_PATH, VERSION_PATH

from .clock import MILLISECOND, SECOND
from .doors import SimulatedExchange, request_of
from .invariants import Invariant
from .machines import CONTROL_PORT
from .outside import MODELS, SERVICES
from .steps import Order

HOST = "10.7.0.1"
SILENCE = SECOND
FIRST_PAUSE, LONGEST_PAUSE = 100 * MILLISECOND, 800 * MILLISECOND


@dataclass(eq=False)
class Change:
    """One change, sent unchanged until there is a clear answer."""

    revision: int
    base: int
    patch: bool
    body: bytes
    began: int
    status: int | None = None
    pause: int = FIRST_PAUSE

    @property
    def data(self) -> bytes:
        """What the log holds of it."""
        kind = CommandKind.PATCH_CONFIGURATION if self.patch else CommandKind.PUT_CONFIGURATION
        return Command(kind, self.base, "", 0, "", self.body).encode()

    def __str__(self) -> str:
        return f"change {self.revision} on {self.base} {self.body[-40:]!r}"


@dataclass(eq=False)
class Naming:
    """A version of a model's weights, named until it is acknowledged."""

    model: str
    revision: int
    pause: int = FIRST_PAUSE
    done: bool = False


class Operators:
    """All operators of a fleet; `confirmed` are the changes that any of them was told are taken."""

    def __init__(self, world, random: Random):
        self.world, self.random = world, random
        self.changes: list[Change] = []
        self.namings: list[Naming] = []
        self.confirmed: list[Change] = []
        self.lost_answers = 0
        self._number = self._mark = 0
        self._versions = dict.fromkeys(MODELS, 1)

    @property
    def pending(self) -> list[Change]:
        """Changes without a clear answer."""
        return [change for change in self.changes if change.status is None]

    # What they want.

    def change(
        self, base: int | None = None, patch: bool = False, rivals: int = 1, copies: int = 1
    ) -> list[Change]:
        """Changes under one number and on one base, each with its own content, sent to `copies` at once."""
        newest = self.world.checker.newest
        base = newest if base is None else base
        self._number = max(self._number, newest, base) + 1
        made = [self._made(base, patch and base > 0) for _ in range(rivals)]
        for change in made:
            self.changes.append(change)
            for _ in range(copies):
                self._send(change)
        return made

    def order(self, order: Order) -> None:
        """Sends a new order of a kind."""
        if order is Order.REVISION:
            self.name(MODELS[0])
        else:
            self.change(patch=order is Order.PATCH)

    def _made(self, base: int, patch: bool) -> Change:
        self._mark += 1
        tenants = [{"Name": f"t-{self._mark}", "ApiKeys": [f"k-{self._mark}"]}]
        if patch:
            content = {"Revision": self._number, "Upsert": {"Tenants": tenants}}
        else:
            services = [
                {"Name": service, "Runtime": {"Models": [{"Name": model}]}}
                for service, model in zip(SERVICES, MODELS, strict=True)
            ]
            content = {"Revision": self._number, "Routes": [], "Services": services, "Tenants": tenants}
        return Change(self._number, base, patch, json.dumps(content).encode(), self.world.clock.now)

    def resend(self, back: int, machine=None) -> None:
        """Sends a change once more that was confirmed before, to a machine or any."""
        if self.confirmed:
            change = self.confirmed[-1 - back % len(self.confirmed)]
            self._call_change(change, lambda status: None, machine)

    def name(self, model: str) -> None:
        """Names the next version of a model's weights."""
        self._versions[model] += 1
        naming = Naming(model, self._versions[model])
        self.namings.append(naming)
        self._send_name(naming)

    def read(self, machine, told=lambda revision, body: None) -> None:
        """Reads the configuration at a process; what comes must hold what was acknowledged before."""
        must_have = self.world.checker.newest

        def answered(status: int | None, body: bytes) -> None:
            if status == 200:
                revision = json.loads(body)["Revision"]
                self.world.checker.read(revision, must_have, machine.name, body)
                told(revision, body)
            elif status is not None and status not in (503, 404) and status < 500:
                self.world.checker.fail(Invariant.READS, f"{machine.name} answers {status} to a read")
            elif status == 503 and must_have and b'"Code"' not in body:
                self.world.checker.fail(Invariant.READS, f"{machine.name} answers without a code")

        self._call(machine, "GET", CONFIGURATION_PATH, None, b"", answered)

    def read_everywhere(self) -> None:
        """Reads at every process."""
        for machine in self.world.listed_core():
            self.read(machine)

    def keep_reading(self, every: int, lasts: int) -> None:
        """Reads at every process, again and again; times in ms."""
        self.read_everywhere()
        if lasts > every:
            self.world.after(every, lambda: self.keep_reading(every, lasts - every))

    # Sending.

    def _send(self, change: Change) -> None:
        if change.status is not None:
            return

        def answered(status: int | None) -> None:
            if change.status is not None:
                return
            if status is None or status >= 500 or status in (408, 429):
                self._later(change, lambda: self._send(change))
            else:
                change.status = status

        self._call_change(change, answered)

    def _call_change(self, change: Change, answered, machine=None) -> None:
        method = "PATCH" if change.patch else "PUT"
        machine = machine or self.random.choice(self.world.listed_core())
        self._call(
            machine, method, CONFIGURATION_PATH, change.base, change.body, lambda s, _: answered(s), change
        )

    def _send_name(self, naming: Naming) -> None:
        def answered(status: int | None, body: bytes) -> None:
            if naming.done:
                return
            if status == 200:
                naming.done = True
            else:
                self._later(naming, lambda: self._send_name(naming))

        body = json.dumps({"Model": naming.model, "Revision": naming.revision}).encode()
        machine = self.random.choice(self.world.listed_core())
        self._call(machine, "POST", VERSION_PATH, None, body, answered, naming=naming)

    def _later(self, sent, act) -> None:
        self.world.clock.at(self.world.clock.now + sent.pause, act)
        sent.pause = min(2 * sent.pause, LONGEST_PAUSE)

    def _call(self, machine, method, path, base, body, told, change=None, naming=None) -> None:
        over: list[bool] = []

        def finish(status: int | None, answer: bytes) -> None:
            if not over:
                over.append(True)
                told(status, answer)

        def arrived(status: int, answer: bytes) -> None:
            if self.lost_answers > 0 and not over:
                self.lost_answers -= 1
            else:
                finish(status, answer)

        exchange = SimulatedExchange(machine, HOST, arrived)
        exchange.change, exchange.naming = change, naming
        exchange.lost = lambda: finish(None, b"")

        def reach() -> None:
            def take() -> None:
                door = machine.doors.get(CONTROL_PORT)
                if door is not None:
                    door.take(request_of(method, path, base, body), exchange)

            machine.have_call(take)

        clock = self.world.clock
        clock.at(clock.now + SILENCE, lambda: finish(None, b""))
        self.world.network.send(HOST, machine.host, reach, "operator", exchange.reset)
