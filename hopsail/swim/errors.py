"""The errors of membership; each names what was wrong."""

from enum import StrEnum

from ..errors import HopsailError


class RejectReason(StrEnum):
    """Why a datagram is dropped; the value is part of a counter's name (`refused.<value>`)."""

    FORMAT = "form"
    TOO_LONG = "long"
    OTHER_FLEET = "fleet"
    BAD_SIGNATURE = "key"
    MALFORMED = "shape"
    REPLAY = "replay"
    OLD_INCARNATION = "old"
    NAME_IN_USE = "name"
    REMOVED = "removed"


class SwimError(HopsailError):
    """Base of the errors of `hopsail.swim`."""


class DatagramRejectedError(SwimError, ValueError):
    """A datagram is dropped; `reason` says why."""

    def __init__(self, reason: RejectReason) -> None:
        """Takes the reason, which is also the message."""
        super().__init__(reason.value)
        self.reason = reason


class InvalidSettingsError(SwimError, ValueError):
    """The settings cannot be used; the message names the key."""


class IncarnationFileError(SwimError, ValueError):
    """The incarnation file is damaged or of another format."""


class MessageStormError(SwimError, RuntimeError):
    """In a simulation, messages cause further messages without end."""
