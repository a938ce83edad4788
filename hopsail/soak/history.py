"""What a soak has done to its processes and hosts, and when: typed records that its checks read. No I/O.

All times are ns of the soak's clock."""

from collections import defaultdict
from dataclasses import dataclass, field

from ..load.standstills import Standstill


@dataclass(frozen=True)
class Span:
    """A time in which something was in trouble; `end` 0 while it goes on."""

    begin: int
    end: int = 0

    def meets(self, begin: int, end: int) -> bool:
        """Whether any of it lies within these two."""
        return self.begin <= end and (not self.end or self.end >= begin)


@dataclass(frozen=True)
class Reading:
    """One process's answer to a read of the configuration."""

    address: str
    sent_at: int
    revision: int


@dataclass
class History:
    """Planned work and troubles by the address of the process, and what operators were told."""

    ends: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # SIGTERMs
    reloads: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # SIGHUPs
    starts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    troubles: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # killed or stopped
    control_troubles: list[Span] = field(default_factory=list)
    versions: dict[int, int] = field(default_factory=dict)  # version of weights -> acknowledged at
    configurations: dict[int, int] = field(default_factory=dict)  # revision -> acknowledged at
    readings: list[Reading] = field(default_factory=list)
    standstills: list[Standstill] = field(default_factory=list)  # of the soak's own process

    def begin_trouble(self, address: str, at: int, *, control: bool) -> None:
        """A process is killed or stopped."""
        (self.control_troubles if control else self.troubles[address]).append(Span(at))

    def end_trouble(self, address: str, at: int, *, control: bool) -> None:
        """It runs again; its last trouble is over."""
        spans = self.control_troubles if control else self.troubles[address]
        if spans and not spans[-1].end:
            spans[-1] = Span(spans[-1].begin, at)
