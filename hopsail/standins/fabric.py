"""What the stand-ins of one trial know of each other: kept parts by address, and named weights."""

from .kept import KeptParts

Address = tuple[str, int]


class Fabric:
    """Shared by all hosts, the store and the operator of a trial."""

    def __init__(self):
        self.kept: dict[Address, KeptParts] = {}
        self.named: dict[str, int] = {}  # model -> the newest version that the operator has sent

    def name_version(self, model: str, revision: int) -> None:
        self.named[model] = max(revision, self.named.get(model, 1))

    def newest(self, model: str) -> int:
        return self.named.get(model, 1)


def address_of(text: str | None) -> Address | None:
    """The address in `IP:PORT`; None when there is none."""
    host, _, port = (text or "").rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None
