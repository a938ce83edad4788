"""What of the records is on the own disk: one write at a time, which takes all that has gathered."""

from collections.abc import Iterable
from typing import NamedTuple

from ..rpc.structs import FrameError, decode, encode
from .errors import TallyError
from .messages import StoredRuns
from .records import Positions, RecordSet, covers, ends
from .types import TallyWrite

MAX_WRITE_BYTES = 1 << 20  # bytes of one write, but for one that replaces all
WRITE_RETRY_NS = 100_000_000  # ns after a write that failed


class Stored(NamedTuple):
    """What the disk of a process that starts has, beside the records."""

    is_empty: bool
    catching_up: bool  # as of the last write


def load(stored: Iterable[bytes], records: RecordSet, most: int) -> Stored:
    """Takes in what was written, oldest first; TallyError for bytes that can't be read."""
    found = Stored(is_empty=True, catching_up=False)
    for data in stored:
        try:
            written = decode(StoredRuns, data)
        except FrameError as error:
            raise TallyError(f"stored adds can't be read: {error}") from error
        records.merge(written.runs, most)
        found = Stored(is_empty=False, catching_up=written.catching_up)
    return found


class OwnDisk:
    """Which records are synced, which are being written and which come next.

    Each write also tells whether the process is still catching up, for its next start.
    """

    def __init__(self, durable: Positions, stored: Stored) -> None:
        """The disk of a process that starts has these."""
        self.durable = durable
        self.failing = False
        self._marked: bool | None = None if stored.is_empty else stored.catching_up
        self._marking = False
        self._serial = 0
        self._writing: Positions | None = None
        self._replacing = False
        self._replace_all = False
        self._not_before = 0

    def replace_all(self) -> None:
        """The next write stands for all before it."""
        self._replace_all = True

    def take_write(self, now: int, records: RecordSet, first: str, catching_up: bool) -> TallyWrite | None:
        """The next write, if none is under way; records of the first origin come before others."""
        if self._writing is not None or now < self._not_before:
            return None
        positions = records.positions
        if self._replace_all:
            runs = records.runs_beyond({}, None)
        elif self.durable == positions and self._marked == catching_up:
            return None
        else:
            limits = {first: positions[first], **positions} if first in positions else positions
            runs = records.runs_beyond(self.durable, MAX_WRITE_BYTES, limits)
        self._writing, self._replacing, self._replace_all = ends(runs), self._replace_all, False
        self._marking = catching_up or (self._marked is not False and not self._covers(positions))
        self._serial += 1
        data = encode(StoredRuns(runs=runs, catching_up=self._marking))
        return TallyWrite(self._serial, data, self._replacing)

    def _covers(self, positions: Positions) -> bool:
        """Whether the disk has all of these once the write under way is synced."""
        return covers({**self.durable, **(self._writing or {})}, positions)

    def written(self, serial: int) -> None:
        """The write is synced."""
        if serial == self._serial and self._writing is not None:
            self.durable |= self._writing
            self._marked = self._marking
            self.failing = False
            self._writing = None

    def write_failed(self, now: int, serial: int) -> None:
        """The write may or may not be on the disk; its records are written again."""
        if serial == self._serial and self._writing is not None:
            self._replace_all |= self._replacing
            self.failing = True
            self._writing = None
            self._not_before = now + WRITE_RETRY_NS

    def due(self, now: int) -> int | None:
        """When a write may be tried again, ns."""
        return self._not_before if self.failing and self._not_before > now else None
