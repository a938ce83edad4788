"""Anti-entropy: views that differ although all updates have spread are pulled as a whole. No I/O."""

from typing import NamedTuple

from .context import SwimContext
from .members import Member
from .settings import Address, dissemination_time_ns
from .view import FleetView
from .wire import HEADER_BYTES, Pull, ViewChunk

MAX_RETRIES = 2
PULL_OVERHEAD_BYTES = 120  # of a pull's fields besides cursor and padding, at most


class _PullState(NamedTuple):
    """A pull under way: the chunk after `cursor` is awaited until the deadline."""

    address: Address
    cursor: str
    deadline_ns: int
    retries: int


class AntiEntropy:
    """Pulls another member's view, chunk by chunk; also how a member joins.

    `has_joined` is false until a first view has been taken in, except for a member without seeds.
    """

    def __init__(self, context: SwimContext, view: FleetView) -> None:
        """Starts with no pull."""
        self.has_joined = not context.settings.seeds
        self._context = context
        self._view = view
        self._state: _PullState | None = None
        self._next_pull_ns = 0

    def deadlines(self) -> list[int]:
        """When something is due."""
        return [] if self._state is None else [self._state.deadline_ns]

    def tick(self, now: int) -> None:
        """Asks again for a chunk that did not arrive; gives the pull up after some attempts."""
        state = self._state
        if state is None or now < state.deadline_ns:
            return
        if state.retries < MAX_RETRIES:
            deadline = now + self._context.settings.ack_timeout_ns
            self._request(_PullState(state.address, state.cursor, deadline, state.retries + 1))
        else:
            self._state = None

    def abandon_overdue(self, now: int) -> None:
        """Gives up a pull whose chunk did not arrive in time."""
        if self._state is not None and now >= self._state.deadline_ns:
            self._state = None

    def join_through(self, address: Address, now: int) -> None:
        """Pulls the view of a member that answers, unless this one has joined or is about to."""
        if not self.has_joined and self._state is None:
            self._pull(address, now)

    def compare(self, member: Member, digest: int, now: int) -> None:
        """Pulls a member's view if it differs from the own one, although the own one is settled."""
        members = self._context.members
        spread_ns = dissemination_time_ns(self._context.settings, members.live_count())
        settled = now - members.changed_at_ns > spread_ns and now >= self._next_pull_ns
        if digest != members.digest() and settled and self._state is None:
            self._pull(member.address, now)

    def handle_chunk(self, sender: Address, chunk: ViewChunk, now: int) -> None:
        """Takes in a chunk of the view that is being pulled."""
        if self._state is None or self._state.address != sender:
            return
        for update in chunk.members:
            self._view.apply(update, now)
        self.has_joined = True
        self._state = None
        if chunk.next_cursor:
            deadline = now + self._context.settings.ack_timeout_ns
            self._request(_PullState(sender, chunk.next_cursor, deadline, retries=0))

    def answer(self, sender: Address, pull: Pull, max_bytes: int) -> None:
        """Sends the part of the own view that a pull asks for."""
        members = [
            member.to_update() for member in self._context.members.sorted() if member.name > pull.cursor
        ]
        self._context.outbox.send(sender, ViewChunk("", members), max_bytes=max_bytes)

    def _pull(self, address: Address, now: int) -> None:
        settings = self._context.settings
        live = self._context.members.live_count()
        self._next_pull_ns = now + 2 * dissemination_time_ns(settings, live)
        self._request(_PullState(address, "", now + settings.ack_timeout_ns, retries=0))

    def _request(self, state: _PullState) -> None:
        self._state = state
        # Padded: no answer is longer than its request.
        size = self._context.settings.max_datagram_bytes - HEADER_BYTES - PULL_OVERHEAD_BYTES
        padding = bytes(max(0, size - len(state.cursor)))
        self._context.outbox.send(state.address, Pull(state.cursor, padding))
