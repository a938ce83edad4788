"""What happens before the loop runs: the process's start, and signals that come while it is being imported.

Unheard, each of them would end the process, which is a crash. What has come is kept, and acted on as soon as
the loop takes signals over."""

import signal
from time import monotonic_ns

started_at = monotonic_ns()  # by the steady clock; a program that needs it imports this module first
KEPT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
heard: set[int] = set()


def listen():
    """From now on these signals are kept. Called by the program itself, never upon an import."""
    for number in KEPT:
        signal.signal(number, lambda number, _: heard.add(number))


def take(number) -> bool:
    """Whether the signal has come meanwhile; it is told once."""
    try:
        heard.remove(number)
    except KeyError:
        return False
    return True
