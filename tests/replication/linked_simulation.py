"""The simulation of replicas on links of a bounded rate: messages queue behind each other, in order."""

from hopsail.replication.messages import encode
from hopsail.replication.simulation import Simulation

SECOND = 1_000_000_000  # ns
FRAME_BYTES = 100  # of a message besides itself


class LinkedSimulation(Simulation):
    """Each process sends all its messages through one link out; `rate` in bytes a second.

    As in a channel, a message is dropped while more than `most_unsent` bytes wait, unless none do."""

    def __init__(self, seed: int, rate: int, most_unsent: int = 4 << 20, **options):
        self.rate, self.most_unsent = rate, most_unsent
        self.free_at: dict[str, int] = {}
        self.longest_wait = 0
        self.bytes_sent = 0
        super().__init__(seed, **options)

    def deliver_after(self, delay, sender, receiver, message):
        """Deliver a message once the link has sent it and all before it."""
        size = len(encode(message)) + FRAME_BYTES
        free_at = max(self.now, self.free_at.get(sender, 0))
        waiting = (free_at - self.now) * self.rate // SECOND
        if waiting and waiting + size > self.most_unsent:
            return
        self.bytes_sent += size
        self.longest_wait = max(self.longest_wait, free_at - self.now)
        self.free_at[sender] = free_at + size * SECOND // self.rate
        super().deliver_after(
            self.free_at[sender] - self.now + self.network.min_delay, sender, receiver, message
        )
