"""Backoff of hosts whose load failed."""

from collections.abc import Container

from hopsail.weights.rules import RolloutRules


class _Retry:
    __slots__ = ("failures", "not_before")

    def __init__(self) -> None:
        self.not_before = 0  # ns
        self.failures = 0  # in a row


class Retries:
    """Backoff by host, which grows with the failures in a row."""

    def __init__(self, rules: RolloutRules) -> None:
        """Create an empty record of failures."""
        self._rules = rules
        self._retries: dict[str, _Retry] = {}

    def record_failure(self, now: int, identifier: str, backoff_ns: int) -> None:
        """Count a failure; the backoff is `backoff_ns` times the failures, up to a bound."""
        retry = self._retries.setdefault(identifier, _Retry())
        retry.failures += 1
        retry.not_before = now + min(backoff_ns * retry.failures, max(backoff_ns, self._rules.retry_max_ns))

    def not_before(self, identifier: str) -> int:
        """Return when a load of the host may begin again (ns), 0 when it has not failed."""
        retry = self._retries.get(identifier)
        return retry.not_before if retry else 0

    def failures(self, identifier: str) -> int:
        """Return how often in a row a host has failed."""
        retry = self._retries.get(identifier)
        return retry.failures if retry else 0

    def record_success(self, identifier: str) -> None:
        """Reset the backoff of a host."""
        self._retries.pop(identifier, None)

    def retain(self, known: Container[str]) -> None:
        """Drop the hosts that are not known any more."""
        self._retries = {name: retry for name, retry in self._retries.items() if name in known}

    def clear(self) -> None:
        """Drop all hosts."""
        self._retries = {}
