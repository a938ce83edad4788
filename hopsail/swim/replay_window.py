"""Protection against datagrams that arrive twice or from an earlier incarnation. No I/O."""

from collections import OrderedDict

from .errors import DatagramRejectedError, RejectReason
from .settings import MAX_MEMBERS, Address

WINDOW_MESSAGES = 256  # of one incarnation that may overtake each other
MAX_WINDOWS = 2 * MAX_MEMBERS


class ReplayWindow:
    """Accepts each sequence number of an incarnation once, and no older incarnation."""

    __slots__ = ("highest_sequence", "incarnation", "seen")

    def __init__(self) -> None:
        """Starts before any incarnation."""
        self.incarnation = -1
        self.highest_sequence = 0
        self.seen = 0  # bit n: the sequence number `highest_sequence` - n has been accepted

    def accept(self, incarnation: int, sequence: int) -> None:
        """Notes a sequence number. Raises DatagramRejectedError when it is old or was accepted before."""
        if incarnation < self.incarnation:
            raise DatagramRejectedError(RejectReason.OLD_INCARNATION)
        if incarnation > self.incarnation:
            self.incarnation, self.highest_sequence, self.seen = incarnation, 0, 0
        if sequence > self.highest_sequence:
            shift = min(WINDOW_MESSAGES, sequence - self.highest_sequence)
            self.seen = (self.seen << shift | 1) & ((1 << WINDOW_MESSAGES) - 1)
            self.highest_sequence = sequence
            return
        age = self.highest_sequence - sequence
        if age >= WINDOW_MESSAGES or self.seen & (1 << age):
            raise DatagramRejectedError(RejectReason.REPLAY)
        self.seen |= 1 << age


class ReplayGuard:
    """The replay windows of all senders; the least recently used one is dropped first."""

    def __init__(self) -> None:
        """Starts with no sender."""
        self._windows: OrderedDict[tuple[str, Address], ReplayWindow] = OrderedDict()

    def accept(self, name: str, address: Address, incarnation: int, sequence: int) -> None:
        """Notes a sender's sequence number. Raises DatagramRejectedError as ReplayWindow.accept does."""
        sender = (name, address)
        window = self._windows.setdefault(sender, ReplayWindow())
        self._windows.move_to_end(sender)
        while len(self._windows) > MAX_WINDOWS:
            self._windows.popitem(last=False)
        window.accept(incarnation, sequence)
