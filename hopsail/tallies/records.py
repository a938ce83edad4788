"""The adds of all origins that a replica holds, and the tallies that they make.

Merging is the union by maximum for each origin, so that neither order nor repetition changes the result.
"""

from collections.abc import Iterable, Mapping
from math import inf

from .errors import TallyError
from .messages import AddRecord, OriginRun, Position
from .types import Add

MIN_AMOUNT = -(1 << 63)
MAX_AMOUNT = (1 << 63) - 1
RECORD_OVERHEAD_BYTES = 32  # of an encoded record, beside its texts

Positions = dict[str, int]  # the number of the last add of each origin


def check_add(add: Add) -> None:
    """Raises TallyError for an add that does not fit a record."""
    if not MIN_AMOUNT <= add.amount <= MAX_AMOUNT:
        raise TallyError("the amount needs more than 64 bits")
    try:
        add.tally.encode()
        add.identifier.encode()
    except UnicodeEncodeError as error:
        raise TallyError("the name or the identifier is no valid text") from error


def to_positions(listed: Iterable[Position]) -> Positions:
    """Positions by origin."""
    return {position.origin: position.sequence for position in listed}


def from_positions(positions: Mapping[str, int]) -> list[Position]:
    """Positions as they travel."""
    return [Position(origin=origin, sequence=sequence) for origin, sequence in positions.items()]


def covers(positions: Mapping[str, int], others: Mapping[str, int]) -> bool:
    """Whether these positions have all that the others have."""
    return all(positions.get(origin, 0) >= sequence for origin, sequence in others.items())


class TallyFold:
    """The totals: each identifier of a tally counts once, with the smallest amount that it came with."""

    def __init__(self) -> None:
        """No tally yet."""
        self._amounts: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}

    def __len__(self) -> int:
        """How many tallies there are."""
        return len(self._totals)

    def total(self, tally: str) -> int:
        """The total, 0 for a tally that nothing was added to."""
        return self._totals.get(tally, 0)

    def has(self, tally: str, identifier: str) -> bool:
        """Whether an add with the identifier counts."""
        return identifier in self._amounts.get(tally, ())

    def count(self, add: Add) -> None:
        """Takes in one record."""
        amounts = self._amounts.setdefault(add.tally, {})
        before = amounts.get(add.identifier)
        if before is not None and before <= add.amount:
            return
        amounts[add.identifier] = add.amount
        self._totals[add.tally] = self.total(add.tally) + add.amount - (before or 0)


class RecordSet:
    """An unbroken run of adds for each origin, and their fold."""

    def __init__(self) -> None:
        """Empty."""
        self.fold = TallyFold()
        self.size = 0  # records
        self.positions: Positions = {}
        self._adds: dict[str, list[Add]] = {}

    def append(self, origin: str, add: Add) -> int:
        """Makes the add the next one of the origin; returns its number."""
        adds = self._adds.setdefault(origin, [])
        adds.append(add)
        self.positions[origin] = len(adds)
        self.size += 1
        self.fold.count(add)
        return len(adds)

    def get(self, origin: str, sequence: int) -> Add:
        """One of the adds that are held."""
        return self._adds[origin][sequence - 1]

    def merge(self, runs: Iterable[OriginRun], most: int) -> int:
        """Takes in what is new and joins on without a gap, up to so many records in all; returns how many."""
        before = self.size
        for run in runs:
            known = self.positions.get(run.origin, 0)
            if not 1 <= run.first_sequence <= known + 1:
                continue
            for record in run.adds[known + 1 - run.first_sequence :]:
                if self.size >= most:
                    break
                self.append(run.origin, Add(record.tally, record.identifier, record.amount))
        return self.size - before

    def runs_beyond(
        self, positions: Mapping[str, int], most_bytes: int | None, limits: Mapping[str, int] | None = None
    ) -> list[OriginRun]:
        """What a holder of these positions lacks, up to the limits, in at most so many bytes (None: any)."""
        runs = []
        left: float = inf if most_bytes is None else most_bytes
        for origin, known in (self.positions if limits is None else limits).items():
            first = positions.get(origin, 0)
            if left <= 0 or first >= known:
                continue
            adds = []
            for add in self._adds[origin][first:known]:
                adds.append(AddRecord(tally=add.tally, identifier=add.identifier, amount=add.amount))
                left -= RECORD_OVERHEAD_BYTES + len(add.tally) + len(add.identifier)
                if left <= 0:
                    break
            runs.append(OriginRun(origin=origin, first_sequence=first + 1, adds=adds))
        return runs


def ends(runs: Iterable[OriginRun]) -> Positions:
    """The last number of each origin in the runs."""
    return {run.origin: run.first_sequence + len(run.adds) - 1 for run in runs}
