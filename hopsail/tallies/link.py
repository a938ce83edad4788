"""Decides whether the link to another replica's machine is cut.

On a link that is cut each side goes on by itself. A process that is down, or stands still, is no reason for
that: its machine answers handshakes, or refuses them, over a link that is whole. So silence alone proves
nothing. That several handshakes in a row had no answer is due to a cut or to a machine without power; as cuts
are between zones, a process of its zone that answers shows that there is none. Where nobody tells, it is
taken for a cut.
"""

import math

from ..rpc.link_sign import LinkSign

CUT_OFF_NS = 1_000_000_000  # ns without a reply before a link can count as cut
ASKING_NS = 600_000_000  # ns of silence, in which its zone is asked, before a link can count as cut
ZONE_ANSWER_NS = 1_000_000_000  # ns for which an answer of a process of the zone holds


class Link:
    """What is known of one link; times are in ns."""

    def __init__(self, now: int) -> None:
        """The other replica has become known."""
        self.last_reply = now  # or when it became known
        self._silent_since: int | None = None
        self._unanswered_since: int | None = None  # handshakes
        self._zone_answered_at: int | None = None

    @property
    def is_silent(self) -> bool:
        """Whether nothing has come from the other machine since the last call failed."""
        return self._silent_since is not None

    def replied(self, now: int) -> None:
        """A call was replied to."""
        self.last_reply = now
        self._end_silence()

    def _end_silence(self) -> None:
        self._silent_since = self._unanswered_since = self._zone_answered_at = None

    def failed(self, now: int, sign: LinkSign) -> None:
        """A call has ended without a reply, and this is the channel's newest sign."""
        if sign in (LinkSign.ACCEPTED, LinkSign.REFUSED):
            self._end_silence()
            return
        if self._silent_since is None:
            self._silent_since = now
        if sign is LinkSign.UNANSWERED and self._unanswered_since is None:
            self._unanswered_since = now

    def zone_answered(self, asked_at: int) -> None:
        """A process of the zone has answered what it was asked at this time."""
        if self._silent_since is not None and asked_at >= self._silent_since:
            self._zone_answered_at = max(asked_at, self._zone_answered_at or 0)

    def is_cut(self, now: int) -> bool:
        """Whether each side has to go on by itself."""
        return self.cut_at() <= now

    def cut_at(self) -> float:
        """When it counts as cut if no other sign comes, ns."""
        if self._unanswered_since is None or self._silent_since is None:
            return math.inf
        cut_at = max(self._unanswered_since, self._silent_since + ASKING_NS, self.last_reply + CUT_OFF_NS)
        if self._zone_answered_at is None:
            return cut_at
        return max(cut_at, self._zone_answered_at + ZONE_ANSWER_NS)

    def shift(self, by: int) -> None:
        """This process stood still for so long, and the link may be whole by now."""
        self.last_reply += by
        self._end_silence()
