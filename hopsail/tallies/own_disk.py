"""What of the records is on the own disk: one write at a time, which takes all that has gathered."""

from collections.abc import Iterable

from ..rpc.structs import FrameError, decode, encode
from .errors import TallyError
from .messages import StoredRuns
from .records import Positions, RecordSet, ends
from .types import TallyWrite

MAX_WRITE_BYTES = 1 << 20  # bytes of one write, but for one that replaces all
WRITE_RETRY_NS = 100_000_000  # ns after a write that failed


def load(stored: Iterable[bytes], records: RecordSet, most: int) -> None:
    """Takes in what was written, oldest first; TallyError for bytes that can't be read."""
    for data in stored:
        try:
            runs = decode(StoredRuns, data).runs
        except FrameError as error:
            raise TallyError(f"stored adds can't be read: {error}") from error
        records.merge(runs, most)


class OwnDisk:
    """Which records are synced, which are being written and which come next."""

    def __init__(self, durable: Positions) -> None:
        """The disk of a process that starts has these."""
        self.durable = durable
        self.failing = False
        self._serial = 0
        self._writing: Positions | None = None
        self._replacing = False
        self._replace_all = False
        self._not_before = 0

    def replace_all(self) -> None:
        """The next write stands for all before it."""
        self._replace_all = True

    def take_write(self, now: int, records: RecordSet, first: str) -> TallyWrite | None:
        """The next write, if none is under way; records of the first origin come before others."""
        if self._writing is not None or now < self._not_before:
            return None
        positions = records.positions
        if self._replace_all:
            runs = records.runs_beyond({}, None)
        elif self.durable == positions:
            return None
        else:
            limits = {first: positions[first], **positions} if first in positions else positions
            runs = records.runs_beyond(self.durable, MAX_WRITE_BYTES, limits)
        self._writing, self._replacing, self._replace_all = ends(runs), self._replace_all, False
        self._serial += 1
        return TallyWrite(self._serial, encode(StoredRuns(runs=runs)), self._replacing)

    def written(self, serial: int) -> None:
        """The write is synced."""
        if serial == self._serial and self._writing is not None:
            self.durable |= self._writing
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
