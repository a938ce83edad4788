"""What is known of a model's hosts, and which of them are behind the target."""

from collections.abc import Collection, Iterable

from hopsail.hosts.instance import Phase
from hopsail.weights.actions import HostInfo
from hopsail.weights.named import LONG_AGO, NamedRevisions


class ModelHosts:
    """The serving hosts of one model, what was learned of them since they were listed, and what was named."""

    def __init__(self) -> None:
        self._named = NamedRevisions()
        self._hosts: dict[str, HostInfo] = {}
        self._learned: dict[str, int] = {}  # revisions

    @property
    def target(self) -> int:
        """The revision that all are to hold."""
        return self._named.newest

    def __len__(self) -> int:
        return len(self._hosts)

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._hosts

    def get(self, identifier: str) -> HostInfo | None:
        """Return a host by its identifier, None when it does not serve."""
        return self._hosts.get(identifier)

    def group(self, name: str) -> list[HostInfo]:
        """Return the hosts of a group."""
        return [host for host in self._hosts.values() if host.group == name]

    def update(self, hosts: Iterable[HostInfo], named: NamedRevisions) -> None:
        """Take the listed hosts and the named revisions."""
        self._named = named
        self._hosts = {host.identifier: host for host in hosts if host.phase is Phase.SERVING}
        self._learned = {name: held for name, held in self._learned.items() if name in self._hosts}

    def learn(self, identifier: str, revision: int) -> None:
        """Take a revision that a host is known to hold, though the list may not show it yet."""
        self._learned[identifier] = max(revision, self._learned.get(identifier, 0))

    def is_behind(self, host: HostInfo) -> bool:
        """Whether a host does not hold the target yet."""
        return self._held(host) < self.target

    def superseded_at(self, host: HostInfo) -> int:
        """Return when the first revision that a host lacks was named (ns)."""
        superseded_at = self._named.superseded_at(self._held(host))
        return LONG_AGO if superseded_at is None else superseded_at

    def _held(self, host: HostInfo) -> int:
        return max(host.revision, self._learned.get(host.identifier, 0))

    def behind(self, besides: Collection[str] = ()) -> list[HostInfo]:
        """Return the hosts behind the target, but for those named."""
        return [
            host
            for identifier, host in self._hosts.items()
            if identifier not in besides and self.is_behind(host)
        ]
