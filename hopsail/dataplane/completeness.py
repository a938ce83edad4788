"""Whether a host's answer is complete, by how its end was signalled: the one place where that is decided.

A stated length and a last chunk are the host's own word. A connection that is closed in order proves less:
that is also how the system ends those of a process that has crashed. A reset proves nothing and is never
asked about (`Listener.failed`)."""

from ..http.client_connection import AnswerEnd
from ..http.message import Framing, ResponseHead
from .events import EventBoundary

EVENT_STREAM = "text/event-stream"


def is_event_stream(head: ResponseHead) -> bool:
    """Whether an answer's media type is that of a stream of events; types have no case (RFC 9110, 8.3.1)."""
    media_type, _, _ = (head.header("content-type") or "").partition(";")
    return media_type.strip().lower() == EVENT_STREAM


class AnswerProgress:
    """What has come of one answer, as far as its end is judged by it."""

    def __init__(self, head: ResponseHead):
        """`head` is the answer's."""
        follows_events = head.framing is Framing.CONNECTION and is_event_stream(head)
        self._boundary = EventBoundary() if follows_events else None

    def received(self, data: bytes) -> None:
        """A piece of the body has come."""
        if self._boundary is not None:
            self._boundary.feed(data)

    def is_complete(self, end: AnswerEnd, has_time: bool) -> bool:
        """Whether all of the answer has come, now that `end` has signalled its end.

        `has_time`: the time that the host was given is not over. Once it is, the host ends its work, so its
        close tells nothing. A stream that is closed before its first event, or within one, was broken off.
        Other answers do not show where they end: a close in order is taken at its word."""
        if end is not AnswerEnd.CLOSE:
            return True
        if not has_time:
            return False
        return self._boundary is None or self._boundary.is_after_event
