"""Lifeguard's local health multiplier: a member that is late itself waits longer for others. No I/O."""

from .settings import MAX_LOCAL_HEALTH


class LocalHealth:
    """`score` is 0 for a healthy member and at most MAX_LOCAL_HEALTH."""

    def __init__(self) -> None:
        """Starts healthy."""
        self.score = 0

    @property
    def factor(self) -> int:
        """By which timeouts and periods are longer."""
        return 1 + self.score

    def degrade(self) -> None:
        """Notes a sign that this member itself is slow."""
        self.score = min(MAX_LOCAL_HEALTH, self.score + 1)

    def recover(self) -> None:
        """Notes a probe that was answered in time."""
        self.score = max(0, self.score - 1)
