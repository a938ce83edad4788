"""What hosts ran and what clients were told: typed records that the judge compares. No I/O."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

MOST_RECORDS = 1_000_000  # of each kind; a longer trial is cut off, and says so
SEAL_BYTES = 4


class Rule(Enum):
    """The rules that are checked."""

    MIXED = "MIXED"
    UNASKED = "UNASKED"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    ORDER = "ORDER"
    ROUTE = "ROUTE"
    DRAIN = "DRAIN"
    STALE = "STALE"
    WALL = "WALL"
    LOST = "LOST"
    VERSION = "VERSION"
    CONFIG = "CONFIG"
    ONE = "ONE"
    RECOVERY = "RECOVERY"


class Violation(NamedTuple):
    """One breach of a rule; `attempt` is the request's id."""

    rule: Rule
    attempt: str
    text: str


class Maker(NamedTuple):
    """Who made a kept part: tenant ("" without one), model and version of the weights."""

    tenant: str
    model: str
    revision: int


@dataclass(slots=True)
class Run:
    """One request that a host has begun to work on; times in ns, positions in generated tokens."""

    identifier: str  # of the run: instance and number
    attempt: str
    instance: str
    service: str
    method: str
    target: str
    hostname: str
    body_digest: str
    tenant: str
    model: str
    revision: int
    resumed_after: int
    total: int
    began_at: int
    sent_up_to: int = 0
    complete: bool = False
    broken_off: bool = False  # by the host itself
    drew_on: list[Maker] = field(default_factory=list)


class Arrival(NamedTuple):
    """A request that has reached a host, whatever became of it; `status` 0 if it was taken in."""

    attempt: str
    instance: str
    service: str
    at: int
    status: int
    draining_shown_at: int | None  # when the platform's list first showed the host as draining


@dataclass(slots=True)
class Try:
    """One try of a client and what it was told. `complete` says that the whole answer came."""

    attempt: str
    method: str
    target: str
    hostname: str
    body_digest: str
    tenant: str
    idempotent: bool
    streaming: bool
    sent_at: int
    deadline: int = 0
    taken_by: str = ""  # address of the data plane that it was sent to
    kept: bool = False  # sent on a connection that had been used before
    written_at: int = 0  # when its connection was up and took it, 0 if it never was
    cut_at: int = 0  # when the data plane closed the connection before the answer was whole
    ended_at: int = 0
    left: bool = False  # its client has closed the connection before the answer was whole
    status: int = 0  # 0: no answer
    complete: bool = False
    seal: str = ""
    runs: list[str] = field(default_factory=list)  # whose events came, in order
    first_event_at: int = 0
    longest_pause: int = 0
    faults: list[Violation] = field(default_factory=list)

    @property
    def served(self) -> bool:
        return 200 <= self.status < 300 and self.complete


class Journal:
    """All records of a trial."""

    def __init__(self):
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.tries: list[Try] = []
        self.cut_off = False

    def add(self, records: list, record) -> None:
        """Appends to one of the lists, within the bound."""
        if len(records) < MOST_RECORDS:
            records.append(record)
        else:
            self.cut_off = True


def digest_of(body: bytes) -> str:
    """What a body is compared by."""
    return blake2b(body, digest_size=8).hexdigest()


def seal_of(attempt: str, run: str, first: int, total: int) -> str:
    """A host's stamp: the run, the first token sent, the last one, and a sum over these and the attempt."""
    text = f"{run}.{first}.{total}"
    return f"{text}.{blake2b(f'{attempt} {text}'.encode(), digest_size=SEAL_BYTES).hexdigest()}"


class Seal(NamedTuple):
    """A stamp that has been read."""

    run: str
    first: int
    total: int


def read_seal(text: str, attempt: str) -> Seal | None:
    """The stamp, None when it is not one for this attempt."""
    parts = text.rsplit(".", 3)
    if len(parts) != 4 or not parts[1].isdigit() or not parts[2].isdigit():
        return None
    run, first, total = parts[0], int(parts[1]), int(parts[2])
    return Seal(run, first, total) if seal_of(attempt, run, first, total) == text else None


def event_of(run: str, first: int, last: int, versions: int | None = None) -> bytes:
    """One event: tokens `first` to `last` of a run; its id is the last one's number."""
    head = f"versions: {versions}\n" if versions is not None else ""
    return f"{head}id: {last}\ndata: {run} {first} {last}\n\n".encode()


def plain_body(run: str, total: int) -> bytes:
    """The body of an answer that is no stream."""
    return f"{run} {total}\n".encode() * (total + 1)
