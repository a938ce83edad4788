"""Evidence about hosts from the outcomes of this balancer's own requests.

A host that fails is paused for a short time, twice as long with each further failure of a probe, and gets
one request as a probe when the pause ends. Failures of requests sent before a pause began add nothing: many
at one moment are one event. Evidence lapses, and when all hosts of a service are paused none is.
"""

from collections.abc import Iterable
from enum import Enum

from ..model import MS, SECOND

FIRST_PAUSE_NS, LONGEST_PAUSE_NS = 200 * MS, 2 * SECOND
EVIDENCE_NS = 10 * SECOND  # a failure tells nothing after that
PROBE_NS = 2 * SECOND  # a probe without outcome counts as not sent after that
SILENCES = 2  # in a row before a pause: one may be the request's own slowness
MOST_HOSTS = 16_384  # with evidence against them; the oldest evidence goes first


class Failure(Enum):
    """How a request failed without an answer of the host that it was for."""

    CONNECTION = "connection"  # refused, reset, or closed
    SILENCE = "silence"  # nothing came for longer than it should have
    REPLACED = "replaced"  # another instance answers at its address: it has ended for good


class Evidence:
    """What is held against one host."""

    __slots__ = ("failures", "silences", "pause_began", "pause_ns", "last_failure", "probe_sent")

    def __init__(self):
        self.failures = 0  # pauses in a row
        self.silences = 0  # in a row, without a pause
        self.pause_began = 0
        self.pause_ns = 0
        self.last_failure = 0
        self.probe_sent: int | None = None

    @property
    def pause_until(self) -> int:
        """When a probe may be sent (ns)."""
        return self.pause_began + self.pause_ns


class HostHealth:
    """Pauses of hosts, by instance id."""

    def __init__(
        self,
        first_pause_ns: int = FIRST_PAUSE_NS,
        longest_pause_ns: int = LONGEST_PAUSE_NS,
        evidence_ns: int = EVIDENCE_NS,
        most_hosts: int = MOST_HOSTS,
    ):
        self.first_pause_ns = first_pause_ns
        self.longest_pause_ns = longest_pause_ns
        self.evidence_ns = evidence_ns
        self.most_hosts = most_hosts
        self._evidence: dict[str, Evidence] = {}

    def failed(self, now: int, host: str, failure: Failure, sent: int | None = None) -> None:
        """Takes in a failure of a request that was sent at `sent` (ns; now when None)."""
        evidence = self._current(now, host) or self._begin(host)
        sent = now if sent is None else sent
        evidence.last_failure = now
        if failure is Failure.REPLACED:
            self._pause(now, evidence, self.longest_pause_ns)
            return
        if failure is Failure.SILENCE and not evidence.failures:
            evidence.silences += 1
            if evidence.silences < SILENCES:
                return
        if evidence.failures and sent <= evidence.pause_began:
            return
        self._pause(now, evidence)

    def succeeded(self, now: int, host: str) -> None:
        """Takes in any answer of the host itself: nothing is held against it any more."""
        self._evidence.pop(host, None)

    def sent(self, now: int, host: str) -> None:
        """Takes in that a request goes to the host: after a pause it is the probe."""
        evidence = self._current(now, host)
        if evidence is not None and evidence.failures and now >= evidence.pause_until:
            evidence.probe_sent = now

    def may_send(self, now: int, host: str) -> bool:
        """Whether the host is neither paused nor waiting for the outcome of a probe."""
        evidence = self._current(now, host)
        if evidence is None or not evidence.failures:
            return True
        if now < evidence.pause_until:
            return False
        return evidence.probe_sent is None or now - evidence.probe_sent >= PROBE_NS

    def eligible(self, now: int, hosts: Iterable[str]) -> frozenset[str]:
        """The hosts of a service that may be sent to; all of them when none may."""
        everyone = frozenset(hosts)
        return frozenset(host for host in everyone if self.may_send(now, host)) or everyone

    def penalty_until(self, now: int, host: str) -> int:
        """The end of the host's pause (ns), 0 when nothing is held against it."""
        evidence = self._current(now, host)
        return evidence.pause_until if evidence is not None and evidence.failures else 0

    def forget(self, host: str) -> None:
        """Drops all evidence about a host that has gone."""
        self._evidence.pop(host, None)

    def _current(self, now, host):
        evidence = self._evidence.get(host)
        if evidence is not None and now - evidence.last_failure > self.evidence_ns:
            del self._evidence[host]
            return None
        return evidence

    def _begin(self, host):
        while len(self._evidence) >= self.most_hosts:
            del self._evidence[next(iter(self._evidence))]
        evidence = self._evidence[host] = Evidence()
        return evidence

    def _pause(self, now, evidence, least_ns=0):
        longer = max(least_ns, self.first_pause_ns << min(evidence.failures, 16))
        evidence.failures += 1
        evidence.silences = 0
        evidence.pause_began = now
        evidence.pause_ns = min(longer, self.longest_pause_ns)
        evidence.probe_sent = None
