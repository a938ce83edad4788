"""All state of a replica in one place: each field with its type, its meaning and the module that it serves.

The module named above a field has the rules for it. All modules of the replica may read the field, and some
fields are still set by others as well: `core.py` resets most of them when the role or the term changes. Times
are nanoseconds of the steady clock of this process, `NEVER` where something has not happened.
"""

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from .durability import Durability
from .log import Log
from .message_chunks import ChunkReceiver
from .messages import RestartReply
from .progress import Progress
from .state import DurableState, Members, ReplicaConfig, Snapshot
from .structs import Struct

INCARNATION_BITS = 62


class Role(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class PendingAcknowledgement(NamedTuple):
    """What the leader is to be answered once it is synced."""

    leader: str
    heartbeat_round: int
    sent_at: int


@dataclass(slots=True)
class RestartCheck:
    """One round of queries; `incarnations`: the replies of the first round, None while that is under way."""

    number: int
    incarnations: dict[str, int] | None = None
    replies: dict[str, RestartReply] = field(default_factory=dict)


class ReplicaState:
    """The fields of a replica."""

    # core.py: identity, time, term and role.
    config: ReplicaConfig
    identity: str
    random: Random
    now: int  # the time of the call under way
    incarnation: int  # a random number, drawn at the start
    term: int
    voted_for: str | None  # in `term`
    role: Role
    leader: str | None  # of `term`, as far as it is known
    log: Log
    durability: Durability
    commit_index: int
    applied_index: int
    _initial_members: Members  # of a bootstrapped log, before its first entry
    _outgoing: list[tuple[str, Struct]]  # receiver and message, in the order of sending

    # follower_role.py: recovery, and replication from the leader.
    recovering: bool  # may have forgotten votes and entries, until the end of that is synced
    _recovery_recorded: bool  # the end of recovering is in the hard state, synced or not
    _verified_index: int  # the log agrees with that of the term's leader up to there
    _acknowledgement: PendingAcknowledgement | None
    _chunk_receiver: ChunkReceiver
    _installed: Snapshot | None  # for the state machine, not handed to the driver yet

    # election.py
    _election_at: int  # when it stands for election if no leader is in contact
    _votes: set[str]  # given to this candidate or pre-candidate, its own included
    _last_leader_contact_at: int  # until an election timeout after it no other leader is elected

    # restart_checks.py
    _no_leader_seen: bool  # has neither led nor received from a leader since the start
    _restart_check: RestartCheck | None  # under way
    _restart_query_at: int  # when queries are sent next
    _known_incarnations: dict[str, int]  # of members that have all restarted

    # leader_role.py, log_sender.py and membership_changes.py; empty while it does not lead.
    _progress: dict[str, Progress]  # of each other member
    _former_progress: dict[str, Progress]  # of members that were removed in this term
    _heartbeat_round: int  # the number of the last broadcast
    _heartbeat_wanted: bool  # a broadcast is to follow at once
    _heartbeat_at: int  # when the next broadcast is due
    _first_of_term: int  # the index of the first entry of its term
    _leading_since: int

    # leadership_transfers.py
    _successor: str | None  # who is to lead once it has all of the log
    _transfer_until: int  # when the transfer is given up

    # member_requests.py, as a leader: who sent a request, and when.
    _applicants: dict[str, int]
    _leaving: dict[str, int]

    # member_requests.py, as a member that is to end.
    _leaving_since: int | None
    _leave_request_at: int  # when the leader is asked next
    _leave_granted: bool
    _acknowledgement_limit: int | None  # no index beyond it is acknowledged any more

    # replica.py
    _retry_storage_at: int  # when a write that has failed is offered again

    def __init__(self, config: ReplicaConfig, random: Random, now: int, durable: DurableState) -> None:
        """Begin with what the disk holds; the owners of the other fields set those."""
        self.config = config
        self.identity = config.identity
        self.random = random
        self.now = now
        self.incarnation = random.getrandbits(INCARNATION_BITS) + 1
        self.term = durable.term
        self.voted_for = durable.voted_for
        self.role = Role.FOLLOWER
        self.leader = None
        self.log = Log(durable.snapshot, durable.entries, durable.members)
        self.durability = Durability(self.log, durable.term)
        self.commit_index = self.applied_index = self.log.snapshot_index
        self._initial_members = durable.members
        self._outgoing = []
