"""What storage writes: one value for each group commit, with checksums, and what they add up to."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from thrift.Thrift import TType

from .messages import Entry, MembersRecord, structs_of
from .state import DurableState, HardState, Members, Ready, Snapshot
from .structs import Struct, StructError, decode_struct, encode_struct, specification

LENGTH_BYTES = 4
CHECKSUM_BYTES = 8
ENTRY_OVERHEAD_BYTES = 16


class ShardWrite(NamedTuple):
    """What one part has to store."""

    shard: str
    ready: Ready


class HardStateRecord(Struct):
    """A HardState; `voted_for` is empty for nobody."""

    __slots__ = ("term", "voted_for", "recovered", "members")
    thrift_spec = specification(
        (TType.I64, "term", None),
        (TType.STRING, "voted_for", "UTF8"),
        (TType.BOOL, "recovered", None),
        (TType.STRUCT, "members", [MembersRecord, MembersRecord.thrift_spec]),
    )


class SnapshotRecord(Struct):
    """A Snapshot."""

    __slots__ = ("index", "term", "members", "data")
    thrift_spec = specification(
        (TType.I64, "index", None),
        (TType.I64, "term", None),
        (TType.STRUCT, "members", [MembersRecord, MembersRecord.thrift_spec]),
        (TType.STRING, "data", "BINARY"),
    )


class ShardRecord(Struct):
    """A PartWrite; applied in the order of the fields."""

    __slots__ = ("shard", "hard_state", "truncate_from", "snapshot", "entries")
    optional = frozenset({"hard_state", "truncate_from", "snapshot"})
    thrift_spec = specification(
        (TType.STRING, "shard", "UTF8"),
        (TType.STRUCT, "hard_state", [HardStateRecord, HardStateRecord.thrift_spec]),
        (TType.I64, "truncate_from", None),
        (TType.STRUCT, "snapshot", [SnapshotRecord, SnapshotRecord.thrift_spec]),
        (TType.LIST, "entries", structs_of(Entry)[1]),
    )


class SectionRecord(Struct):
    """Where in a group commit the record of a part is: after those before it."""

    __slots__ = ("shard", "size", "checksum")
    thrift_spec = specification(
        (TType.STRING, "shard", "UTF8"), (TType.I64, "size", None), (TType.STRING, "checksum", "BINARY")
    )


class FrameRecord(Struct):
    """What a group commit consists of."""

    __slots__ = ("sections",)
    thrift_spec = specification((TType.LIST, "sections", structs_of(SectionRecord)[1]))


def shard_record(write: ShardWrite) -> ShardRecord:
    """The record of what one part has to store."""
    ready = write.ready
    hard_state = ready.hard_state and HardStateRecord(
        term=ready.hard_state.term,
        voted_for=ready.hard_state.voted_for or "",
        recovered=ready.hard_state.recovered,
        members=ready.hard_state.members.record(),
    )
    kept = ready.snapshot_to_store
    snapshot = kept and SnapshotRecord(
        index=kept.index, term=kept.term, members=kept.members.record(), data=kept.data
    )
    return ShardRecord(
        shard=write.shard,
        hard_state=hard_state,
        truncate_from=ready.truncate_from,
        snapshot=snapshot,
        entries=ready.entries_to_store,
    )


def encode_group_commit(records: list[ShardRecord]) -> bytes:
    """The value of one group commit: its frame, with a checksum, then the records it names."""
    encoded = [encode_struct(record) for record in records]
    sections = [
        SectionRecord(shard=record.shard, size=len(data), checksum=_checksum(data))
        for record, data in zip(records, encoded, strict=True)
    ]
    frame = encode_struct(FrameRecord(sections=sections))
    return b"".join([len(frame).to_bytes(LENGTH_BYTES, "big"), _checksum(frame), frame, *encoded])


class Section(NamedTuple):
    """What a group commit has for one part; `record` is None if it is damaged."""

    shard: str
    record: ShardRecord | None


def decode_group_commit(value: bytes) -> list[Section] | None:
    """The sections of one group commit; None if it cannot be told which parts it has."""
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


def _checksum(data: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


@dataclass
class ShardState:
    """A part as its records have made it; shares entries and snapshot with the replica in memory."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    def apply(self, record: ShardRecord) -> None:
        """Take a record into account; raises StructError if it does not follow the ones before."""
        if record.hard_state:
            kept = record.hard_state
            members = Members.of(kept.members)
            self.hard_state = HardState(kept.term, kept.voted_for or None, kept.recovered, members)
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
        """Raise StructError if the entries of a record would leave a gap."""
        last = self.last_index
        if record.truncate_from is not None:
            last = min(last, record.truncate_from - 1)
        if record.snapshot:
            last = max(last, record.snapshot.index)
        for number, entry in enumerate(record.entries, last + 1):
            if entry.index != number:
                raise StructError(f"entry {entry.index} is not {number}")

    def _install_snapshot(self, kept: SnapshotRecord) -> None:
        self.snapshot = Snapshot(kept.index, kept.term, Members.of(kept.members), kept.data)
        self.entries = [entry for entry in self.entries if entry.index > kept.index]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @property
    def size(self) -> int:
        """About how many bytes the part needs on disk."""
        entries = sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in self.entries)
        return entries + (len(self.snapshot.data) if self.snapshot else 0)

    def record(self, shard: str) -> ShardRecord:
        """One record that holds the whole part."""
        whole = Ready(
            hard_state=self.hard_state, snapshot_to_store=self.snapshot, entries_to_store=self.entries
        )
        return shard_record(ShardWrite(shard, whole))

    def durable(self) -> DurableState:
        """The state to start a replica with."""
        hard_state = self.hard_state or HardState(0, None, False, Members())
        return DurableState(
            term=hard_state.term,
            voted_for=hard_state.voted_for,
            snapshot=self.snapshot,
            entries=list(self.entries),
            members=hard_state.members,
            recovered=hard_state.recovered,
        )
