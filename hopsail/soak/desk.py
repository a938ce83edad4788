"""The operators of a soak: changes of the configuration in turn, races, and reads at every process."""

import json
from collections import deque
from collections.abc import Callable

from ..http.client import HttpClient
from ..http.message import Response
from ..standins.fleet import MODEL, Fleet, route_item
from ..standins.kept import MILLISECOND
from ..standins.operator import CONFIGURATION, Answer
from ..standins.records import Rule, Violation
from .history import History, Reading

ROUTES = [
    route_item("resumable", "/resumable/", resumable=True),
    route_item("once", "/once/", resumable=False),
]
MOST_ADDED = 6  # further routes of a configuration, which come and go
READ_EVERY_MS, READ_WITHIN_MS = 500, 900


class Desk:
    """Knows which configuration is in force, as far as operators were told."""

    def __init__(self, fleet: Fleet, history: History):
        self.fleet, self.history, self.loop = fleet, history, fleet.loop
        self.revision = self.written = 0  # in force, and the highest that was ever sent
        self.may_be_in_force: list[dict] = []  # the last one that was acknowledged, and what is unclear since
        self.violations: list[Violation] = []
        self.version = 1
        self.waiting: deque[Callable[[Callable[[], None]], None]] = deque()
        self.busy = False
        self.client = HttpClient(self.loop)
        self.reader = 0

    @property
    def idle(self) -> bool:
        """Whether no change is under way."""
        return not self.busy and not self.waiting

    # Changes.

    def change(self) -> None:
        """A newer configuration on top of the one in force."""
        self._queue(lambda over: self._put(1, over))

    def race(self) -> None:
        """Two newer ones on top of the same one."""
        self._queue(lambda over: self._put(2, over))

    def name_version(self) -> None:
        """Newer weights of the model."""
        self.version += 1
        self.fleet.operator.name_version(MODEL, self.version, lambda answer: None)

    def _queue(self, change: Callable[[Callable[[], None]], None]) -> None:
        self.waiting.append(change)
        self._next()

    def _next(self) -> None:
        if self.busy or not self.waiting:
            return
        self.busy = True
        self.waiting.popleft()(self._over)

    def _over(self) -> None:
        self.busy = False
        self._next()

    def _put(self, count: int, over: Callable[[], None]) -> None:
        answers: list[Answer] = []
        base = self.revision
        for _ in range(count):
            self.written += 1
            whole = self._configuration(self.written)

            def answered(answer: Answer, whole=whole) -> None:
                self._answered(answer, whole)
                answers.append(answer)
                if len(answers) == count:
                    self._settle(sum(one.taken for one in answers), base, over)

            self.fleet.operator.put(whole, base, answered)

    def _configuration(self, revision: int) -> dict:
        added = [
            route_item(f"added-{number}", f"/added-{number}/", resumable=bool(number & 1))
            for number in range(revision % MOST_ADDED)
        ]
        return self.fleet.configuration(revision, [*ROUTES, *added])

    def _answered(self, answer: Answer, whole: dict) -> None:
        if answer.taken:
            self.revision = whole["Revision"]
            self.may_be_in_force = [whole]
        elif not answer.status:
            self.may_be_in_force.append(whole)

    def _settle(self, taken: int, base: int, over: Callable[[], None]) -> None:
        """All have been answered; reads what is in force, if that is not known."""
        if taken > 1:
            text = f"{taken} changes on revision {base} were acknowledged"
            self.violations.append(Violation(Rule.CONFIG, "", text))
        if taken == 1 and len(self.may_be_in_force) == 1:
            over()
            return

        def read(answer: Answer) -> None:
            if answer.taken:
                self.revision = answer.tree["Revision"]
            over()

        self.fleet.operator.read(read)

    # Reads.

    def read_in_turn(self) -> None:
        """Reads at one control plane after the other, until the soak ends."""
        self.loop.at(self.loop.now() + READ_EVERY_MS * MILLISECOND, self.read_in_turn)
        address = self.fleet.operator.addresses[self.reader % len(self.fleet.operator.addresses)]
        self.reader += 1
        sent = self.loop.now()

        def done(response: Response | None) -> None:
            if response is not None and response.status == 200:
                revision = json.loads(response.body)["Revision"]
                self.history.readings.append(Reading(address[0], sent, revision))

        self.client.call(address, "GET", CONFIGURATION, timeout=READ_WITHIN_MS * MILLISECOND, done=done)

    def close(self) -> None:
        """Gives back its sockets."""
        self.client.pool.close()
