"""The errors of the replicated logs."""

from ..errors import HopsailError


class ReplicationError(HopsailError):
    """Base of the errors of this package."""


class StructError(ReplicationError):
    """The bytes do not hold a complete struct of the wanted type."""


class MessageError(ReplicationError):
    """Bytes that are no message."""


class StorageError(ReplicationError):
    """The disk refused a write or a sync; what was being written may or may not be there."""


class NotLeaderError(ReplicationError):
    """The replica does not lead; `leader` is who does, or None if that is not known."""

    def __init__(self, leader: str | None) -> None:
        """Make the error of a replica that knows this leader, or none."""
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")
        self.leader = leader


class BusyError(ReplicationError):
    """The replica takes no proposal now.

    A bound on uncommitted entries is reached, or a change of members or a transfer of leadership is under
    way.
    """
