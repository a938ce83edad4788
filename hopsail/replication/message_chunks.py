"""Long messages sent in chunks, so that heartbeats pass between them. Pure: no I/O, no clock.

A chunk names the payload that it is of by index, term, length and checksum. Chunks are accepted in order
only; each is answered with how much of the payload the receiver has, and the sender goes on from there
after whatever was lost. What has been received is kept in memory: a receiver that restarts is sent the
payload anew, which takes a bounded time, where chunks on disk would cost writes and a third state to tell
apart after a loss of power. Times are ns.
"""

from dataclasses import dataclass
from hashlib import blake2b

from .messages import MessageChunk, MessageChunkReply
from .state import Snapshot

CHUNK_BYTES = 32 << 10  # short enough for heartbeats to pass on a link of 5 Mbit/s
MIN_WINDOW_CHUNKS = 2  # sent and not yet answered
MAX_WINDOW_CHUNKS = 16
MAX_BACKOFF_DOUBLINGS = 3  # of the time without progress after which chunks are sent again
CHECKSUM_BYTES = 16


@dataclass(frozen=True)
class EncodedMessage:
    """An encoded message, to be sent in chunks. `last_index`: where a log ends that has taken it."""

    last_index: int
    entry_term: int
    data: bytes
    checksum: bytes
    snapshot: Snapshot | None = None  # that is in it, None if it brings entries

    @classmethod
    def create(
        cls, last_index: int, entry_term: int, data: bytes, snapshot: Snapshot | None = None
    ) -> "EncodedMessage":
        """Make one with its checksum."""
        return cls(last_index, entry_term, data, checksum_of(data), snapshot)


def checksum_of(data: bytes) -> bytes:
    """Compute what tells one payload from another, and a damaged one from what was sent."""
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


class ChunkSender:
    """Sends one payload to one receiver: few chunks at a time, more while the replies come quickly.

    `fast_reply_time`: a reply within it lets more chunks be in flight. `progress_timeout`: without progress
    for so long, what was sent last is sent again.
    """

    def __init__(
        self, payload: EncodedMessage, now: int, fast_reply_time: int, progress_timeout: int
    ) -> None:
        """Begin with the first chunk."""
        self.payload = payload
        self.received = 0  # bytes that the receiver has
        self.window = MIN_WINDOW_CHUNKS
        self._fast_reply_time, self._progress_timeout = fast_reply_time, progress_timeout
        self._sent = 0
        self._newest_reply_sent_at = 0  # when the chunk was sent that the newest reply is for
        self._last_progress = now
        self._backoff = 0
        self._filled_gap = -1  # the offset of the last gap that has been filled at once

    def take_chunks(self, now: int) -> list[tuple[int, bytes]]:
        """Choose what is to be sent now: the offset and data of each chunk."""
        if now - self._last_progress >= self._progress_timeout << self._backoff:
            self._resend(now)
        end = min(self.received + self.window * CHUNK_BYTES, len(self.payload.data))
        chosen = []
        while self._sent < end:
            chosen.append((self._sent, self.payload.data[self._sent : self._sent + CHUNK_BYTES]))
            self._sent += len(chosen[-1][1])
        return chosen

    def _resend(self, now: int) -> None:
        """Begin again where the receiver is; if it has all, with the first chunk, to be told so."""
        self.window = MIN_WINDOW_CHUNKS
        if self.received >= len(self.payload.data):
            self.received, self.window = 0, 1
        self._sent = self.received
        self._last_progress = now
        self._backoff = min(self._backoff + 1, MAX_BACKOFF_DOUBLINGS)

    def record_reply(self, reply: MessageChunkReply, now: int) -> None:
        """Record how much the receiver has."""
        received, sent_at = reply.received, reply.sent_at
        if reply.checksum != self.payload.checksum or not 0 <= received <= len(self.payload.data):
            return
        if sent_at < self._newest_reply_sent_at or (
            sent_at == self._newest_reply_sent_at and received < self.received
        ):
            return
        self._newest_reply_sent_at = sent_at
        if received > self.received:
            self._record_progress(received, now - sent_at, now)
        elif received < self.received:
            self._sent = received  # it has dropped what it had
        elif received < reply.offset and received != self._filled_gap:
            self._filled_gap = self._sent = (
                received  # a chunk before that one is missing: go back at once, but once only
            )
        self.received = received
        self._sent = max(self._sent, received)

    def _record_progress(self, received: int, reply_time: int, now: int) -> None:
        self._last_progress = now
        if received < len(self.payload.data):
            self._backoff = 0
        if reply_time <= self._fast_reply_time:
            self.window = min(self.window + 1, MAX_WINDOW_CHUNKS)
        else:
            self.window = max(self.window // 2, MIN_WINDOW_CHUNKS)


class ChunkReceiver:
    """Collects one payload at a time, of at most `max_bytes`, for one replica."""

    def __init__(self, max_bytes: int) -> None:
        """Begin with nothing; longer payloads than `max_bytes` are not collected."""
        self._max_bytes = max_bytes
        self._identity: tuple[int, int, int, bytes] | None = None  # index, term, length, checksum
        self._data = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """How much is kept in memory."""
        return len(self._data)

    def add(self, chunk: MessageChunk) -> tuple[int, bytes | None]:
        """Add a chunk; give how much of its payload is here now, and the payload if that is all of it."""
        if not 0 < chunk.total <= self._max_bytes:
            return 0, None
        identity = (chunk.index, chunk.entry_term, chunk.total, chunk.checksum)
        if identity != self._identity:
            if chunk.offset:
                return 0, None
            self._identity, self._data = identity, bytearray()
        if chunk.offset == len(self._data) and len(self._data) + len(chunk.data) <= chunk.total:
            self._data += chunk.data
        if len(self._data) < chunk.total:
            return len(self._data), None
        payload = bytes(self._data)
        self.drop()
        if checksum_of(payload) != chunk.checksum:
            return 0, None
        return chunk.total, payload

    def drop_up_to(self, index: int) -> None:
        """Forget a payload that ends at `index` or before."""
        if self._identity is not None and self._identity[0] <= index:
            self.drop()

    def drop(self) -> None:
        """Forget what has been received."""
        self._identity, self._data = None, bytearray()
