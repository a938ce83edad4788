"""The hosts of one model, and which of them are behind the target revision."""

from collections.abc import Collection, Iterable

from hopsail.hosts.instance import Phase
from hopsail.weights.actions import HostInfo
from hopsail.weights.named_revisions import LONG_AGO, NamedRevisions


class ModelHosts:
    """The serving hosts of one model, the revisions reported since they were listed, and those named."""

    def __init__(self) -> None:
        """Create an empty set of hosts without a target."""
        self._named = NamedRevisions()
        self._hosts: dict[str, HostInfo] = {}
        self._reported: dict[str, int] = {}  # revisions

    @property
    def target(self) -> int:
        """The revision that all hosts are to load."""
        return self._named.newest

    def __len__(self) -> int:
        """Return how many hosts serve."""
        return len(self._hosts)

    def __contains__(self, identifier: object) -> bool:
        """Whether a host with this identifier serves."""
        return identifier in self._hosts

    def get(self, identifier: str) -> HostInfo | None:
        """Return a host by its identifier, None when it does not serve."""
        return self._hosts.get(identifier)

    def group(self, name: str) -> list[HostInfo]:
        """Return the hosts of a group."""
        return [host for host in self._hosts.values() if host.group == name]

    def update(self, hosts: Iterable[HostInfo], named: NamedRevisions) -> None:
        """Replace the listed hosts and the named revisions."""
        self._named = named
        self._hosts = {host.identifier: host for host in hosts if host.phase is Phase.SERVING}
        self._reported = {name: revision for name, revision in self._reported.items() if name in self._hosts}

    def record_loaded(self, identifier: str, revision: int) -> None:
        """Record a revision that a host has loaded, though the list may not show it yet."""
        self._reported[identifier] = max(revision, self._reported.get(identifier, 0))

    def is_behind(self, host: HostInfo) -> bool:
        """Whether a host has not loaded the target yet."""
        return self._loaded(host) < self.target

    def superseded_at(self, host: HostInfo) -> int:
        """Return when the first revision that a host lacks was named (ns)."""
        superseded_at = self._named.superseded_at(self._loaded(host))
        return LONG_AGO if superseded_at is None else superseded_at

    def _loaded(self, host: HostInfo) -> int:
        return max(host.revision, self._reported.get(host.identifier, 0))

    def behind(self, except_for: Collection[str] = ()) -> list[HostInfo]:
        """Return the hosts behind the target, except for these identifiers."""
        return [
            host
            for identifier, host in self._hosts.items()
            if identifier not in except_for and self.is_behind(host)
        ]
