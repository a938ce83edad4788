"""The steps of a schedule: typed, drawn first and played later, so that any of them can be left out.

`at` is in ms from the beginning of the schedule. A fault ends by itself after its time (`lasts`, ms). `who`
names a machine of the control side when the step is played: a seat's number, or -1 - N for the leader of
shard N at that moment. A step that would lose more machines than may be lost at once does nothing."""

from dataclasses import dataclass
from enum import Enum


class Order(Enum):
    """What an operator may be told was taken."""

    CONFIGURATION = "configuration"
    PATCH = "patch"
    REVISION = "revision"  # of a model's weights


@dataclass(frozen=True)
class Step:
    """Something that happens at a time."""

    at: int


@dataclass(frozen=True)
class Changes(Step):
    """Operators change the configuration: `rivals` under one number, each sent to `copies` at once.

    `back`: how many acknowledged revisions before the newest one the change builds on."""

    rivals: int = 1
    copies: int = 1
    patch: bool = False
    back: int = 0


@dataclass(frozen=True)
class Resend(Step):
    """An operator sends an acknowledged change again, the newest or one `back` before it."""

    back: int = 0


@dataclass(frozen=True)
class NameWeights(Step):
    """An operator names new weights of a model."""

    model: int = 0


@dataclass(frozen=True)
class ReadBack(Step):
    """An operator reads at every process."""


@dataclass(frozen=True)
class KeepReading(Step):
    """Operators read at every process, each `every` ms for a while."""

    every: int
    lasts: int


@dataclass(frozen=True)
class LoseAnswers(Step):
    """The next answers to operators are lost on their way."""

    count: int = 1


@dataclass(frozen=True)
class Kill(Step):
    """A process ends at once; `power`: its machine loses power; `wipe`: its disk is lost with it.

    `after_ack`: as soon as the next change is acknowledged."""

    who: int
    power: bool
    wipe: bool
    lasts: int
    after_ack: bool = False


@dataclass(frozen=True)
class Freeze(Step):
    """A process is stopped, inside of what it does, after so many readings of its clock.

    `in_call`: when the next call comes to it."""

    who: int
    stale_reads: int
    lasts: int
    in_call: bool = False


@dataclass(frozen=True)
class CutOff(Step):
    """A machine's messages are lost; `scope`: all, core, edge or hosts, the others that it cannot reach."""

    who: int
    scope: str
    outward: bool
    inward: bool
    lasts: int


@dataclass(frozen=True)
class CutLink(Step):
    """The messages between two machines of the control side are lost."""

    who: int
    other: int
    outward: bool
    inward: bool
    lasts: int


@dataclass(frozen=True)
class CutHalves(Step):
    """The seats of one side and all others of the control side do not reach each other.

    All others reach both sides. It comes whatever is lost; the smaller side counts as lost."""

    side: tuple[int, ...]
    lasts: int


@dataclass(frozen=True)
class Lure(Step):
    """A control process is cut off from the others, and a data plane begins anew that reaches only this one.

    The data plane begins `gap` ms after the cut."""

    who: int
    edge: int
    gap: int
    lasts: int


@dataclass(frozen=True)
class SlowDisks(Step):
    """All disks take up to `delay` ms for a write."""

    delay: int
    lasts: int


@dataclass(frozen=True)
class DiskTrouble(Step):
    """A disk is slow (`delay` in ms), full or stalled."""

    who: int
    condition: str
    delay: int
    lasts: int


@dataclass(frozen=True)
class StepClock(Step):
    """A machine's time of day is set by so many ms; it shows when a process starts."""

    who: int
    by: int


@dataclass(frozen=True)
class Replace(Step):
    """A machine is replaced by another at a new address, with an empty disk.

    `planned`: the new one starts first, and the old one gets SIGTERM after `gap` ms. Else the old one loses
    power at once, and the new one starts after `gap`; if `returns` is not 0, the old one then comes back with
    its disk after so many ms, for a while; `wiped`: with an empty disk. `same_name`: the new one has the name
    of the old one."""

    who: int
    planned: bool
    gap: int
    returns: int = 0
    wiped: bool = False
    same_name: bool = False


@dataclass(frozen=True)
class CoreDown(Step):
    """All control processes end at once, by a kill or a loss of power; `wiped` seats lose their disks.

    No disk is lost while another machine counts as lost."""

    power: bool
    wiped: tuple[int, ...]
    lasts: int
    after_ack: bool = False


@dataclass(frozen=True)
class AllDown(Step):
    """Power is lost everywhere, of data planes too, as soon as the next order of a kind is acknowledged.

    `wiped`: seats, as in `who`, whose disks are lost then, as many as the budget has left."""

    after: Order
    wiped: tuple[int, ...]
    lasts: int


@dataclass(frozen=True)
class RestartEdge(Step):
    """A data plane ends, and begins anew after a while."""

    edge: int
    lasts: int


@dataclass(frozen=True)
class TroubleList(Step):
    """The platform's list lags, stands still, answers 429 or 500 or not at all, or is empty once."""

    how: str
    lasts: int


@dataclass(frozen=True)
class LeaveHost(Step):
    """A host drains, goes, and after `lasts` ms another one comes, without the weights named since.

    `same_address`: it comes at the address of the one that went."""

    host: int
    drains: int
    lasts: int
    same_address: bool


@dataclass(frozen=True)
class Tamper(Step):
    """One message after this moment, the so-manieth, is lost, doubled or late, or its connection is reset.

    `of`: a kind of messages, among which it is counted; empty: among all. Kinds are a method of a call, and
    it with " reply"; operator and hosts, and both with " answer"."""

    number: int
    how: str
    of: str = ""


@dataclass(frozen=True)
class RoughNetwork(Step):
    """For a while messages are lost, doubled and late, and connections are reset, by chance."""

    lasts: int
