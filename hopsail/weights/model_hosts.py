"""What is known of a model's hosts, and which of them are behind the target."""

from collections.abc import Collection, Iterable

from hopsail.hosts.instance import Phase
from hopsail.weights.actions import HostInfo


class ModelHosts:
    """The serving hosts of one model, what was learned of them since they were listed, and the target."""

    def __init__(self) -> None:
        self.target = 0
        self.target_since = 0  # ns
        self._hosts: dict[str, HostInfo] = {}
        self._learned: dict[str, int] = {}  # revisions

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

    def update(self, hosts: Iterable[HostInfo], target: int, target_since: int) -> None:
        """Take the listed hosts and the target, named at `target_since`; a target only rises."""
        if target > self.target:
            self.target = target
            self.target_since = target_since
        self._hosts = {host.identifier: host for host in hosts if host.phase is Phase.SERVING}
        self._learned = {name: held for name, held in self._learned.items() if name in self._hosts}

    def learn(self, identifier: str, revision: int) -> None:
        """Take a revision that a host is known to hold, though the list may not show it yet."""
        self._learned[identifier] = max(revision, self._learned.get(identifier, 0))

    def is_behind(self, host: HostInfo) -> bool:
        """Whether a host does not hold the target yet."""
        return max(host.revision, self._learned.get(host.identifier, 0)) < self.target

    def behind(self, besides: Collection[str] = ()) -> list[HostInfo]:
        """Return the hosts behind the target, but for those named."""
        return [
            host
            for identifier, host in self._hosts.items()
            if identifier not in besides and self.is_behind(host)
        ]
