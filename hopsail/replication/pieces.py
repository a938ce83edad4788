"""Long messages cut into pieces, so that heartbeats pass between them. Pure: no I/O, no clock.

A piece names the whole that it is of by index, term, length and checksum. Pieces are taken in order only;
each is answered with how much of the whole the receiver holds, and the sender goes on from there after
whatever was lost. What has been received is kept in memory: a receiver that restarts is sent the whole
anew, which costs a bounded time, where pieces on disk would cost writes and a third state to tell apart
after a loss of power.
"""

from dataclasses import dataclass
from hashlib import blake2b

from .messages import Piece, PieceReply

PIECE_BYTES = 32 << 10  # 52 ms on 5 Mbit/s
LEAST_WINDOW = 2  # pieces sent and not yet answered
MOST_WINDOW = 16
MOST_BACK_OFF = 3  # doublings of the time without progress after which pieces are sent again
CHECKSUM_BYTES = 16


@dataclass(frozen=True)
class Whole:
    """An encoded message, to be sent in pieces. `last_index`: where a log ends that has taken it."""

    last_index: int
    entry_term: int
    data: bytes
    checksum: bytes
    snapshot: object | None = None  # the Snapshot in it, None if it holds entries

    @classmethod
    def of(cls, last_index: int, entry_term: int, data: bytes, snapshot: object | None = None) -> "Whole":
        """With its checksum."""
        return cls(last_index, entry_term, data, checksum_of(data), snapshot)


def checksum_of(data: bytes) -> bytes:
    """What tells one whole from another, and a damaged one from what was sent."""
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


class PieceSender:
    """Sends one whole to one receiver: few pieces at a time, more while the answers come quickly."""

    def __init__(self, whole: Whole, now: int, quick: int, patience: int):
        self.whole = whole
        self.received = 0  # the receiver holds so much
        self.window = LEAST_WINDOW
        self._quick, self._patience = quick, patience
        self._sent = 0
        self._answered_at = 0  # when that was sent which the last answer taken was for
        self._last_progress = now
        self._back_off = 0
        self._missed = -1  # a gap there has been filled at once

    def pieces(self, now: int) -> list[tuple[int, bytes]]:
        """Offset and data of each piece to be sent now."""
        if now - self._last_progress >= self._patience << self._back_off:
            self._start_again(now)
        end = min(self.received + self.window * PIECE_BYTES, len(self.whole.data))
        chosen = []
        while self._sent < end:
            chosen.append((self._sent, self.whole.data[self._sent : self._sent + PIECE_BYTES]))
            self._sent += len(chosen[-1][1])
        return chosen

    def _start_again(self, now: int) -> None:
        """Nothing has come of what was sent: send what is missing, or ask with the first piece."""
        self.window = LEAST_WINDOW
        if self.received >= len(self.whole.data):
            self.received, self.window = 0, 1
        self._sent = self.received
        self._last_progress = now
        self._back_off = min(self._back_off + 1, MOST_BACK_OFF)

    def answered(self, reply: PieceReply, now: int) -> None:
        """The receiver has told how much it holds."""
        received, sent_at = reply.received, reply.sent_at
        if reply.checksum != self.whole.checksum or not 0 <= received <= len(self.whole.data):
            return
        if sent_at < self._answered_at or (sent_at == self._answered_at and received < self.received):
            return
        self._answered_at = sent_at
        if received > self.received:
            self._take_progress(received, now - sent_at, now)
        elif received < self.received:
            self._sent = received  # it has dropped what it had
        elif received < reply.offset and received != self._missed:
            self._missed = self._sent = received  # one before that piece is missing: once, go back at once
        self.received = received
        self._sent = max(self._sent, received)

    def _take_progress(self, received: int, took: int, now: int) -> None:
        self._last_progress = now
        if received < len(self.whole.data):
            self._back_off = 0
        if took <= self._quick:
            self.window = min(self.window + 1, MOST_WINDOW)
        else:
            self.window = max(self.window // 2, LEAST_WINDOW)


class PieceReceiver:
    """Collects one whole at a time, of at most `most_bytes`."""

    def __init__(self, most_bytes: int):
        self._most_bytes = most_bytes
        self._identity: tuple | None = None
        self._data = bytearray()

    @property
    def held_bytes(self) -> int:
        """How much is kept in memory."""
        return len(self._data)

    def take(self, piece: Piece) -> tuple[int, bytes | None]:
        """How much of the piece's whole is held now, and the whole if that is all of it."""
        if not 0 < piece.total <= self._most_bytes:
            return 0, None
        identity = (piece.index, piece.entry_term, piece.total, piece.checksum)
        if identity != self._identity:
            if piece.offset:
                return 0, None
            self._identity, self._data = identity, bytearray()
        if piece.offset == len(self._data) and len(self._data) + len(piece.data) <= piece.total:
            self._data += piece.data
        if len(self._data) < piece.total:
            return len(self._data), None
        whole = bytes(self._data)
        self.drop()
        if checksum_of(whole) != piece.checksum:
            return 0, None
        return piece.total, whole

    def drop_up_to(self, index: int) -> None:
        """Forget a whole that ends at `index` or before."""
        if self._identity is not None and self._identity[0] <= index:
            self.drop()

    def drop(self) -> None:
        """Forget what has been received."""
        self._identity, self._data = None, bytearray()
