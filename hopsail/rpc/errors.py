"""What can go wrong with a frame or a call."""

from ..errors import HopsailError


class FrameError(HopsailError):
    """Bytes that are not a frame, a message or a struct of the expected kind."""


class CallError(HopsailError):
    """A call that brought no reply. `str()` tells the reason."""


class CallTimeoutError(CallError):
    """No reply within the call's time. The call may have run."""


class DisconnectedError(CallError):
    """The connection ended before the reply. The call may have run."""


class CallRefusedError(CallError):
    """The call is known not to have run: no connection came up, or the server does not take it."""


class CallFailedError(CallError):
    """The server's handler failed. The call may have run in part."""


class CallOverflowError(CallError):
    """Not sent: the frame, the unsent bytes or the calls in flight would exceed their bound."""
