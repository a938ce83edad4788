"""What storage writes: one value for each group commit, with checksums, and the states that the values add
up to.

A value is a length (4 bytes, big-endian), a checksum (8 bytes) and a frame of that length, which names the
records that follow it, each with its own length and checksum.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from .errors import StructError
from .messages import Entry, MembersRecord
from .state import DurableState, HardState, Members, Ready, Snapshot
from .structs import Struct, decode_struct, encode_struct

LENGTH_BYTES = 4
CHECKSUM_BYTES = 8
ENTRY_OVERHEAD_BYTES = 16  # counted for each entry besides its data


class ShardWrite(NamedTuple):
    """What one shard's replica has to store."""

    shard: str
    ready: Ready


class HardStateRecord(Struct):
    """A HardState; `voted_for` is empty for nobody."""

    term: int
    voted_for: str
    recovered: bool
    members: MembersRecord


class SnapshotRecord(Struct):
    """A Snapshot."""

    index: int
    term: int
    members: MembersRecord
    data: bytes


class ShardRecord(Struct):
    """A ShardWrite; applied in the order of the fields."""

    shard: str
    hard_state: HardStateRecord | None
    truncate_from: int | None
    snapshot: SnapshotRecord | None
    entries: list[Entry]


class SectionRecord(Struct):
    """The shard, length (bytes) and checksum of a record in a group commit; records follow each other."""

    shard: str
    size: int
    checksum: bytes


class FrameRecord(Struct):
    """What a group commit consists of."""

    sections: list[SectionRecord]


def shard_record(write: ShardWrite) -> ShardRecord:
    """Make the record of what one shard has to store."""
    ready = write.ready
    return ShardRecord(
        shard=write.shard,
        hard_state=_hard_state_record(ready.hard_state) if ready.hard_state else None,
        truncate_from=ready.truncate_from,
        snapshot=_snapshot_record(ready.snapshot_to_store) if ready.snapshot_to_store else None,
        entries=ready.entries_to_store,
    )


def _hard_state_record(hard_state: HardState) -> HardStateRecord:
    return HardStateRecord(
        term=hard_state.term,
        voted_for=hard_state.voted_for or "",
        recovered=hard_state.recovered,
        members=hard_state.members.to_record(),
    )


def _snapshot_record(snapshot: Snapshot) -> SnapshotRecord:
    return SnapshotRecord(
        index=snapshot.index,
        term=snapshot.term,
        members=snapshot.members.to_record(),
        data=snapshot.data,
    )


def encode_group_commit(records: Sequence[ShardRecord]) -> bytes:
    """Encode one group commit: its frame, with a checksum, then the records it names."""
    encoded = [encode_struct(record) for record in records]
    sections = [
        SectionRecord(shard=record.shard, size=len(data), checksum=_checksum(data))
        for record, data in zip(records, encoded, strict=True)
    ]
    frame = encode_struct(FrameRecord(sections=sections))
    return b"".join([len(frame).to_bytes(LENGTH_BYTES, "big"), _checksum(frame), frame, *encoded])


class Section(NamedTuple):
    """What a group commit has for one shard; `record` is None if it is damaged."""

    shard: str
    record: ShardRecord | None


def decode_group_commit(value: bytes) -> list[Section] | None:
    """Decode the sections of one group commit; None if it cannot be told which shards it has."""
    start = LENGTH_BYTES + CHECKSUM_BYTES
    end = start + int.from_bytes(value[:LENGTH_BYTES], "big")
    frame = value[start:end]
    if value[LENGTH_BYTES:start] != _checksum(frame):
        return None
    try:
        sections = decode_struct(FrameRecord, frame).sections
    except StructError:
        return None
    found = []
    for section in sections:
        data = value[end : end + section.size]
        end += section.size
        found.append(Section(section.shard, _decode_shard(section, data)))
    return found


def _decode_shard(section: SectionRecord, data: bytes) -> ShardRecord | None:
    if section.checksum != _checksum(data):
        return None
    try:
        return decode_struct(ShardRecord, data)
    except StructError:
        return None


def _hard_state(record: HardStateRecord) -> HardState:
    return HardState(
        term=record.term,
        voted_for=record.voted_for or None,
        recovered=record.recovered,
        members=Members.from_record(record.members),
    )


def _checksum(data: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


@dataclass
class ShardState:
    """A shard as its records have made it; shares entries and snapshot with the replica in memory."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    def apply(self, record: ShardRecord) -> None:
        """Apply a record.

        Raises:
            StructError: the entries do not follow those of the records before.

        """
        if record.hard_state:
            self.hard_state = _hard_state(record.hard_state)
        if record.truncate_from is not None:
            while self.entries and self.entries[-1].index >= record.truncate_from:
                self.entries.pop()
        if record.snapshot:
            self._install_snapshot(record.snapshot)
        for entry in record.entries:
            if entry.index != self.last_index + 1:
                raise StructError(f"entry {entry.index} does not follow {self.last_index}")
            self.entries.append(entry)

    def check(self, record: ShardRecord) -> None:
        """Check that the entries of a record follow those that are here.

        Raises:
            StructError: they would leave a gap.

        """
        last = self.last_index
        if record.truncate_from is not None:
            last = min(last, record.truncate_from - 1)
        if record.snapshot:
            last = max(last, record.snapshot.index)
        for number, entry in enumerate(record.entries, last + 1):
            if entry.index != number:
                raise StructError(f"entry {entry.index} is not {number}")

    def _install_snapshot(self, record: SnapshotRecord) -> None:
        members = Members.from_record(record.members)
        self.snapshot = Snapshot(index=record.index, term=record.term, members=members, data=record.data)
        self.entries = [entry for entry in self.entries if entry.index > record.index]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @property
    def size(self) -> int:
        """About how many bytes the shard needs on disk."""
        entries = sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in self.entries)
        return entries + (len(self.snapshot.data) if self.snapshot else 0)

    def to_record(self, shard: str) -> ShardRecord:
        """Make one record that holds the complete shard."""
        everything = Ready(
            hard_state=self.hard_state, snapshot_to_store=self.snapshot, entries_to_store=self.entries
        )
        return shard_record(ShardWrite(shard, everything))

    def durable(self) -> DurableState:
        """Give the state to start a replica with."""
        hard_state = self.hard_state or HardState(term=0, voted_for=None, recovered=False, members=Members())
        return DurableState(
            term=hard_state.term,
            voted_for=hard_state.voted_for,
            snapshot=self.snapshot,
            entries=list(self.entries),
            members=hard_state.members,
            recovered=hard_state.recovered,
        )
