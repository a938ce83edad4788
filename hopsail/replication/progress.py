"""What a leader knows of another member, and majorities over such figures."""

from collections import deque
from collections.abc import Iterable

from .message_chunks import ChunkSender

NEVER = -(1 << 62)  # a time before all others
MAX_PAST_INCARNATIONS = 8


class Progress:
    """A member as its leader sees it in this term."""

    def __init__(self, last_index: int) -> None:
        """Begin with a member of which nothing is known; `last_index`: of the leader's log."""
        self.incarnation = 0
        self.past_incarnations: deque[int] = deque(maxlen=MAX_PAST_INCARNATIONS)
        self.answered_sent_at = NEVER  # the latest message that the present incarnation has answered
        self.reset(last_index)
        self.reset_contact(last_index)

    def reset_contact(self, last_index: int) -> None:
        """The member is one again: only its incarnations, and whether the present one recovers, are known."""
        self.last_reply_at = NEVER
        self.acknowledged_round = 0
        self.acknowledged_sent_at = NEVER
        self._probe(last_index)

    def reset(self, last_index: int) -> None:
        """Start anew: what the member has is not known."""
        self._probe(last_index)
        self.recovering = False
        self.barrier_index = 0

    def _probe(self, last_index: int) -> None:
        self.match = 0
        self.next = last_index + 1
        self.probing = True
        self.send_now = True
        self.sent_commit = 0
        self.chunk_sender: ChunkSender | None = None  # of a message under way in chunks

    def accept_incarnation(self, incarnation: int, recovering: bool, last_index: int, sent_at: int) -> bool:
        """Record a reply's incarnation; False if the reply is of an earlier one, or is outdated in this one.

        `sent_at` tells which message was answered. Messages reach a member in their order, so a later
        incarnation answers only those sent after all that an earlier one has had.
        """
        if incarnation in self.past_incarnations:
            return False
        if incarnation != self.incarnation:
            if self.incarnation and sent_at <= self.answered_sent_at:
                return False
            if self.incarnation:
                self.past_incarnations.append(self.incarnation)
                self.reset(last_index)
            self.incarnation = incarnation
            self.recovering = recovering
            self.answered_sent_at = sent_at
            return True
        self.answered_sent_at = max(self.answered_sent_at, sent_at)
        if recovering and not self.recovering:
            return False
        self.recovering = recovering
        return True

    def record_match(self, index: int) -> None:
        """The member has synced the leader's entries up to `index`."""
        self.match = max(self.match, index)
        self.next = max(self.next, index + 1)
        if self.chunk_sender and self.match >= self.chunk_sender.payload.last_index:
            self.chunk_sender = None

    @property
    def expected_match(self) -> int:
        """The index up to which the member has the log, after the snapshot that is under way to it."""
        if self.chunk_sender is not None and self.chunk_sender.payload.snapshot is not None:
            return self.chunk_sender.payload.last_index
        return self.match

    @property
    def needs_snapshot(self) -> bool:
        """Whether a snapshot is under way to the member."""
        return self.chunk_sender is not None and self.chunk_sender.payload.snapshot is not None


def majority_value(values: Iterable[int]) -> int:
    """The highest value that a majority has reached; NEVER if there is none to count."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2] if ordered else NEVER
