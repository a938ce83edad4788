"""The bound on log lines: so many a second for each topic, for every program of the package."""

from time import monotonic

MAX_LINES_PER_SECOND = 5  # of one topic: enough to see what goes on, too few to hold up the loop
MAX_TOPICS = 256  # counted separately; further ones share a bound


class TopicLimiter:
    """Counts the lines of each topic in each second of the steady clock, and those that it suppressed."""

    def __init__(self) -> None:
        self._counts: dict[str, tuple[int, int, int]] = {}  # topic: second, lines in it, lines suppressed

    def admit(self, topic: str) -> int | None:
        """Counts a line.

        Returns the number of lines of the topic that were suppressed since the last one that was admitted,
        or None when this one is to be suppressed, too.
        """
        if topic not in self._counts and len(self._counts) >= MAX_TOPICS:
            topic = ""
        second = int(monotonic())
        counted_second, lines, suppressed = self._counts.get(topic, (second, 0, 0))
        if counted_second != second:
            counted_second, lines = second, 0
        if lines >= MAX_LINES_PER_SECOND:
            self._counts[topic] = (counted_second, lines, suppressed + 1)
            return None
        self._counts[topic] = (counted_second, lines + 1, 0)
        return suppressed
