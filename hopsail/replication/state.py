"""Types that a replica shares with its driver: configuration, durable state, what is ready.

Times are nanoseconds of a steady clock.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import Entry, MembersRecord
from .structs import Struct, decode_struct, encode_struct

MILLISECOND = 1_000_000
MAX_LEASE_SHARE = 0.8  # of `min_election_timeout_ns`, left as room for steady clocks of different rates


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Constants of a replica; the same for all replicas of a log but for `identity`.

    Raises ValueError where they contradict each other.
    """

    identity: str
    heartbeat_interval_ns: int = 100 * MILLISECOND
    min_election_timeout_ns: int = 400 * MILLISECOND
    max_election_timeout_ns: int = 800 * MILLISECOND
    lease_duration_ns: int = 300 * MILLISECOND
    max_batch_bytes: int = 64 << 10  # of entries in one message; a longer entry goes in chunks
    snapshot_after: int = 200  # entries after the last snapshot
    snapshot_after_bytes: int = 8 << 20  # of entries after the last snapshot
    max_uncommitted_entries: int = 256
    max_snapshot_bytes: int = 64 << 20  # that a member collects in memory

    def __post_init__(self) -> None:
        """Check that the times go together."""
        if not 0 < self.heartbeat_interval_ns < self.min_election_timeout_ns <= self.max_election_timeout_ns:
            raise ValueError("the heartbeat must be shorter than the election timeout")
        if self.lease_duration_ns > MAX_LEASE_SHARE * self.min_election_timeout_ns:
            raise ValueError("the lease must be shorter than 0.8 of the shortest election timeout")


@dataclass(frozen=True, slots=True)
class Members:
    """Who votes, and who only receives the log.

    While a change of voters is under way the members are joint: `voters` are those after the change,
    `outgoing` all those before it, and whatever needs a majority needs one of both.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    outgoing: tuple[str, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Whether a change of voters is under way."""
        return bool(self.outgoing)

    @property
    def electorates(self) -> tuple[tuple[str, ...], ...]:
        """The sets of voters of each of which a majority is needed."""
        return (self.voters, self.outgoing) if self.outgoing else (self.voters,)

    @property
    def electors(self) -> tuple[str, ...]:
        """All whose votes may count: voters, then those that were voters before the change under way."""
        return tuple(dict.fromkeys(self.voters + self.outgoing))

    @property
    def all(self) -> tuple[str, ...]:
        """Electors, then learners."""
        return tuple(dict.fromkeys(self.electors + self.learners))

    def is_quorum(self, identities: set[str]) -> bool:
        """Whether these are a majority of each set of voters."""
        return all(
            len(identities.intersection(voters)) >= len(voters) // 2 + 1 for voters in self.electorates
        )

    def final(self) -> "Members":
        """Give the members after the change under way."""
        return Members(self.voters, self.learners)

    def to_record(self) -> MembersRecord:
        """Make the thrift struct of these members."""
        return MembersRecord(
            voters=list(self.voters), learners=list(self.learners), outgoing=list(self.outgoing) or None
        )

    @classmethod
    def from_record(cls, record: MembersRecord) -> "Members":
        """Make the members in a thrift struct."""
        return cls(tuple(record.voters), tuple(record.learners), tuple(record.outgoing or ()))

    def encode(self) -> bytes:
        """Encode the data of a MEMBERS entry."""
        return encode_struct(self.to_record())

    @classmethod
    def decode(cls, data: bytes) -> "Members":
        """Decode the data of a MEMBERS entry.

        Raises:
            StructError: the bytes are unreadable.

        """
        return cls.from_record(decode_struct(MembersRecord, data))


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after the entry at `index`, of `term`, and the members as of then."""

    index: int
    term: int
    members: Members
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """What a replica must never forget besides its log. `members`: the initial ones of a bootstrapped log."""

    term: int
    voted_for: str | None
    recovered: bool
    members: Members


@dataclass(slots=True)
class DurableState:
    """All that a replica has on its disk. `recovered` is False while it may have forgotten votes."""

    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    members: Members = field(default_factory=Members)
    recovered: bool = False


@dataclass(slots=True)
class Ready:
    """What is to be done: store, send, apply.

    Storing applies `truncate_from` (that index and all after it are dropped), then `snapshot_to_store` (which
    drops all entries up to its index), then appends `entries_to_store`. `messages` may leave at once.
    """

    serial: int = 0
    hard_state: HardState | None = None
    entries_to_store: list[Entry] = field(default_factory=list)
    truncate_from: int | None = None
    snapshot_to_store: Snapshot | None = None
    messages: list[tuple[str, Struct]] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    installed: Snapshot | None = None

    @property
    def must_persist(self) -> bool:
        """Whether there is something to store; `persisted` or `storage_failed` has to follow only then."""
        return self.serial != 0


class ReadToken(NamedTuple):
    """A linearizable read: of which term, confirmed by which heartbeat round, at which index or later."""

    term: int
    heartbeat_round: int
    read_index: int


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a leader knows of another member."""

    match: int
    recovering: bool
    last_reply_age: int | None


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """A replica in figures, for logs and operators."""

    identity: str
    role: str
    term: int
    leader: str | None
    last_index: int
    commit_index: int
    applied_index: int
    durable_index: int
    recovering: bool
    storage_failing: bool
    lease_valid: bool
    members: Members
    peers: dict[str, PeerStatus]
