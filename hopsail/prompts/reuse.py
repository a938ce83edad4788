"""Whose parts are worth a place in a store: those behind walls with enough requests to be read again in time.

A store drops what was used least recently. Parts behind the wall of a tenant with few requests come back only
after they were dropped, and on their way push out those that are asked for often."""

SAVED_SHARE = 0.25  # of the requests behind the busiest wall
LEAST_COUNTED = 16  # requests before which all parts are saved
MOST_WALLS = 1024
HALF_LIFE = 512  # requests after which older ones count half


class WallReuse:
    """Decaying counts of this balancer's long prompts by wall: an isolated tenant, or None for all others."""

    def __init__(self):
        self.counts: dict[str | None, float] = {}
        self.counted = 0

    def note(self, wall: str | None) -> None:
        """Counts a request behind the wall."""
        self.counted += 1
        if self.counted % HALF_LIFE == 0:
            self.counts = {name: count / 2 for name, count in self.counts.items()}
        if wall not in self.counts and len(self.counts) >= MOST_WALLS:
            del self.counts[min(self.counts, key=self.counts.__getitem__)]
        self.counts[wall] = self.counts.get(wall, 0.0) + 1.0

    def worth_saving(self, wall: str | None) -> bool:
        """Whether parts behind the wall are likely to be read again before a store drops them."""
        if self.counted < LEAST_COUNTED:
            return True
        return self.counts.get(wall, 0.0) >= SAVED_SHARE * max(self.counts.values())
