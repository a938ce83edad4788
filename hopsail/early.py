"""What happens before the loop runs: the process's start, and signals that come while it is being imported.

Without a handler, each of these signals would end the process, which is a crash. They are recorded, and
acted on as soon as the loop takes signals over. deploy/balancer.toml lists this module by its name."""

import signal
from time import monotonic_ns

started_at = monotonic_ns()  # by the steady clock; a program that needs it imports this module first
RECORDED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_received: set[int] = set()


def record_signals() -> None:
    """Records these signals from now on. Called by the program itself, never upon an import."""
    for number in RECORDED_SIGNALS:
        signal.signal(number, lambda number, _: _received.add(number))


def take_signal(number: int) -> bool:
    """Whether the signal was recorded; it is forgotten with that."""
    try:
        _received.remove(number)
    except KeyError:
        return False
    return True
