"""When hosts whose load failed may be begun again."""

from collections.abc import Container

from hopsail.weights.rules import RolloutRules


class _Retry:
    __slots__ = ("not_before", "failures")

    def __init__(self) -> None:
        self.not_before = 0  # ns
        self.failures = 0  # in a row


class Retries:
    """Pauses by host, which grow with the failures in a row."""

    def __init__(self, rules: RolloutRules) -> None:
        self._rules = rules
        self._retries: dict[str, _Retry] = {}

    def failed(self, now: int, identifier: str, pause_ns: int) -> None:
        """Take a failure; the pause is as many times as long as there were failures, up to a bound."""
        retry = self._retries.setdefault(identifier, _Retry())
        retry.failures += 1
        retry.not_before = now + min(pause_ns * retry.failures, max(pause_ns, self._rules.retry_max_ns))

    def not_before(self, identifier: str) -> int:
        """Return when a host may be begun again, 0 when it has not failed."""
        retry = self._retries.get(identifier)
        return retry.not_before if retry else 0

    def failures(self, identifier: str) -> int:
        """Return how often in a row a host has failed."""
        retry = self._retries.get(identifier)
        return retry.failures if retry else 0

    def forget(self, identifier: str) -> None:
        """Take a success."""
        self._retries.pop(identifier, None)

    def keep(self, known: Container[str]) -> None:
        """Forget the hosts that are not known any more."""
        self._retries = {name: retry for name, retry in self._retries.items() if name in known}

    def clear(self) -> None:
        """Forget all."""
        self._retries = {}
