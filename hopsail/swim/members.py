"""The table of members: what this member knows of each, and a digest of it. No I/O."""

from dataclasses import dataclass, field
from zlib import crc32

from .settings import Address
from .wire import MemberStatus, MemberUpdate


def name_checksum(name: str) -> int:
    """What stands for a member's name where a suspicion tells who suspects."""
    return crc32(name.encode())


@dataclass(slots=True, eq=False)
class Member:
    """What is known of one member."""

    name: str
    address: Address
    incarnation: int
    refutations: int
    status: MemberStatus
    removal_version: int
    status_since_ns: int
    suspicion_deadline_ns: int = 0  # while it is suspected
    suspected_by: set[int] = field(default_factory=set)  # checksums of names
    transmissions: int = 0  # of the latest update about it

    @classmethod
    def from_update(cls, update: MemberUpdate, now: int) -> "Member":
        """A member as an update tells of it."""
        return cls(
            name=update.name,
            address=update.address,
            incarnation=update.incarnation,
            refutations=update.refutations,
            status=update.status,
            removal_version=update.removal_version,
            status_since_ns=now,
        )

    def to_update(self, suspected_by: int = 0) -> MemberUpdate:
        """The update that tells others of this member."""
        return MemberUpdate(
            self.name,
            self.address,
            self.incarnation,
            self.refutations,
            self.status,
            self.removal_version,
            suspected_by,
        )

    @property
    def is_live(self) -> bool:
        """Whether it is a member, also while it is suspected."""
        return self.status <= MemberStatus.SUSPECT

    @property
    def is_removed(self) -> bool:
        """Whether operators have removed it."""
        return self.removal_version % 2 == 1


class MemberTable:
    """All members that are known, this one among them, also those that are dead for a while."""

    def __init__(self, own: Member, now: int) -> None:
        """Starts with this member alone."""
        self.own = own
        self.by_name = {own.name: own}
        self.version = 0  # counts changes of the view
        self.changed_at_ns = now
        self._digest: int | None = None

    def others(self) -> list[Member]:
        """The live members except this one."""
        return [member for member in self.by_name.values() if member is not self.own and member.is_live]

    def sorted(self) -> list[Member]:
        """All members by name."""
        return [self.by_name[name] for name in sorted(self.by_name)]

    def live_count(self) -> int:
        """The number of live members, this one among them."""
        return sum(member.is_live for member in self.by_name.values())

    def record_change(self, now: int) -> None:
        """Notes that the view is another one now."""
        self.version += 1
        self.changed_at_ns = now
        self._digest = None

    def digest(self) -> int:
        """A number that is the same for equal views."""
        if self._digest is None:
            lines = [
                f"{member.name} {member.incarnation} {member.removal_version}"
                for member in self.sorted()
                if member.is_live or member.is_removed
            ]
            self._digest = crc32("\n".join(lines).encode())
        return self._digest
