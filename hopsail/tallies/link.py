"""Decides whether the link to another replica's machine is cut.

On a link that is cut each side goes on by itself. A process that is down, or stands still, is no reason for
that: its machine answers handshakes, or refuses them, over a link that is whole. So silence alone proves
nothing; that several handshakes in a row had no answer does, until a later sign shows that the link is whole.
"""

import math

from ..rpc.link_sign import LinkSign

CUT_OFF_NS = 1_000_000_000  # ns without a reply before a link can count as cut


class Link:
    """What is known of one link; times are in ns."""

    def __init__(self, now: int) -> None:
        """The other replica has become known."""
        self.last_reply = now  # or when it became known
        self._unanswered_since: int | None = None  # handshakes

    def replied(self, now: int) -> None:
        """A call was replied to."""
        self.last_reply = now
        self._unanswered_since = None

    def failed(self, now: int, sign: LinkSign) -> None:
        """A call has ended without a reply, and this is the channel's newest sign."""
        match sign:
            case LinkSign.ACCEPTED | LinkSign.REFUSED:
                self._unanswered_since = None
            case LinkSign.UNANSWERED if self._unanswered_since is None:
                self._unanswered_since = now

    def is_cut(self, now: int) -> bool:
        """Whether each side has to go on by itself."""
        return self.cut_at() <= now

    def cut_at(self) -> float:
        """When it counts as cut if no other sign comes, ns."""
        if self._unanswered_since is None:
            return math.inf
        return max(self._unanswered_since, self.last_reply + CUT_OFF_NS)

    def shift(self, by: int) -> None:
        """This process stood still for so long, and the link may be whole by now."""
        self.last_reply += by
        self._unanswered_since = None
