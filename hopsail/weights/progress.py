"""State of the load at one host, owned by the roll-out."""

from enum import Enum

from hopsail.weights.actions import HostInfo
from hopsail.weights.load import LoadPhase
from hopsail.weights.rules import RolloutRules

MAX_FAILURES = 5
MAX_ORDERS = 4


class Stage(Enum):
    """What is awaited at a host.

    PREPARING: the first order is due soon. REORDERING: a further order is due soon. ORDERED: an order is
    unanswered. POLLING: a request for its report is due. REPORT_REQUESTED: such a request is unanswered.
    """

    PREPARING = 0
    REORDERING = 1
    ORDERED = 2
    POLLING = 3
    REPORT_REQUESTED = 4


class Progress:
    """One host with a load in progress. Times are in nanoseconds.

    `due_at` is when the stage ends by itself, `slot_since` when the host took a slot, `accepted` whether the
    host is known to have accepted an order, `orders` how many were sent, `failures` the unclear answers in a
    row, `announced` the phase last announced and `renew_at` when to announce it again.
    """

    __slots__ = (
        "accepted",
        "announced",
        "due_at",
        "failures",
        "holds_slot",
        "host",
        "ordered_at",
        "orders",
        "renew_at",
        "revision",
        "serial",
        "slot_since",
        "stage",
    )

    def __init__(self, host: HostInfo, now: int, revision: int, rules: RolloutRules) -> None:
        """Begin the load of `revision` in the stage PREPARING."""
        self.host = host
        self.stage = Stage.PREPARING
        self.due_at = now + rules.prepare_ns
        self.revision = revision
        self.serial = 0
        self.slot_since = now
        self.holds_slot = True
        self.accepted = False
        self.ordered_at = now
        self.orders = 0
        self.failures = 0
        self.announced = LoadPhase.IDLE
        self.renew_at = now

    def enter(self, stage: Stage, due_at: int) -> None:
        """Enter a stage that ends by itself at `due_at`."""
        self.stage = stage
        self.due_at = due_at

    def await_answer(self, stage: Stage, serial: int, now: int, rules: RolloutRules) -> None:
        """Enter a stage that awaits the answer with this serial."""
        self.serial = serial
        self.enter(stage, now + rules.order_timeout_ns)

    def expects(self, stage: Stage, serial: int | None) -> bool:
        """Whether an answer belongs to what is awaited; None stands for any serial."""
        return self.stage is stage and serial in (None, self.serial)

    def fail(self, now: int, rules: RolloutRules) -> None:
        """Count an unclear answer; the report is requested after a backoff."""
        self.failures += 1
        self.enter(Stage.POLLING, now + rules.backoff_ns(self.failures))

    def slot_expires_at(self, rules: RolloutRules) -> int:
        """Return when the host loses its slot to others."""
        return self.slot_since + rules.slot_ns

    def is_hopeless(self, now: int, rules: RolloutRules) -> bool:
        """Whether to begin anew later: its slot has expired, and it accepted no order or reports nothing."""
        if now < self.slot_expires_at(rules):
            return False
        if not self.accepted or self.failures >= MAX_FAILURES:
            return True
        return self.orders >= MAX_ORDERS
