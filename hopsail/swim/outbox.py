"""Datagrams to be sent, each with the updates that fit beside its payload. No I/O."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from .dissemination import DisseminationQueue, max_transmissions
from .members import Member, MemberTable, name_checksum
from .settings import Address
from .wire import Codec, MemberStatus, Payload, Ping, Rejected, ViewChunk


class OutgoingDatagram(NamedTuple):
    """An encoded datagram and where it goes."""

    address: Address
    data: bytes


class Outbox:
    """Encodes messages and keeps them until they are taken."""

    def __init__(
        self, codec: Codec, members: MemberTable, updates: DisseminationQueue, counts: Counter[str]
    ) -> None:
        """Sends as the table's own member; takes the updates from the queue."""
        self.codec = codec
        self.datagrams: list[OutgoingDatagram] = []
        self._members = members
        self._updates = updates
        self._counts = counts
        self._sequence = 0
        self.last_number = 0

    def next_number(self) -> int:
        """A number for a request, by which its answer is recognized."""
        self.last_number += 1
        return self.last_number

    def reset_sequence(self) -> None:
        """Counts datagrams from the start, as a new incarnation does."""
        self._sequence = 0

    def take(self) -> list[OutgoingDatagram]:
        """The datagrams to be sent now."""
        datagrams, self.datagrams = self.datagrams, []
        return datagrams

    def ping(self, address: Address, required: Sequence[Member] = (), number: int | None = None) -> int:
        """Sends a ping and returns its number, a new one unless it is given."""
        if number is None:
            number = self.next_number()
        self.send(address, Ping(number, self._members.digest()), required)
        return number

    def send(
        self,
        address: Address,
        payload: Payload,
        required: Sequence[Member] = (),
        max_bytes: int | None = None,
    ) -> None:
        """Sends one message.

        `required` are members whose updates must be in it. `max_bytes` is the size of the request that is
        answered: a longer answer is not sent, as the address of the request may be forged.
        """
        included = self._select(payload, required)
        updates = [member.to_update(self._suspected_by(member)) for member in included]
        self._sequence += 1
        own = self._members.own.to_update()
        data, count = self.codec.encode(own, self._sequence, payload, updates, max_bytes)
        if max_bytes is not None and len(data) > max_bytes:
            self._counts["unanswered"] += 1
            return
        self._updates.record_sent(included[:count], max_transmissions(self._members.live_count()))
        self.datagrams.append(OutgoingDatagram(address, data))

    def _select(self, payload: Payload, required: Sequence[Member]) -> list[Member]:
        if isinstance(payload, ViewChunk):
            return []
        if not isinstance(payload, Rejected):  # that tells of a later incarnation also while it is alive
            required = [
                member
                for member in required
                if member.status is not MemberStatus.ALIVE or member.removal_version
            ]
        return self._updates.select(required, self._members.own)

    def _suspected_by(self, member: Member) -> int:
        """Whose suspicion is passed on: this member's own, if it is one of them."""
        if member.status is not MemberStatus.SUSPECT:
            return 0
        own = name_checksum(self._members.own.name)
        if own in member.suspected_by:
            return own
        return min(member.suspected_by, default=0)
