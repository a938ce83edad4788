"""What all roles of a replica share: its durable state, sending, terms, roles, and majorities."""

from collections.abc import Callable
from random import Random

from .message_chunks import ChunkReceiver
from .messages import Entry, EntryKind
from .progress import NEVER, Progress, majority_value
from .replica_state import ReplicaState, Role
from .state import DurableState, HardState, Members, ReplicaConfig
from .structs import Struct

MAX_OUTGOING_MESSAGES = 4096


class ReplicaCore(ReplicaState):
    """How the fields of a replica begin, and how its term and role change."""

    def __init__(  # noqa: PLR0913  # what a process knows when it makes a replica; all of it is needed
        self,
        config: ReplicaConfig,
        random: Random,
        now: int,
        durable: DurableState,
        recovering: bool,
        started_at: int | None = None,
    ) -> None:
        """Start a replica.

        Args:
            config: constants of the replica.
            random: source of election timeouts and incarnations.
            now: the time.
            durable: what its disk holds.
            recovering: whether it may have lost its disk, and so have forgotten votes and entries.
            started_at: when its process started, if that is known.

        """
        super().__init__(config, random, now, durable)
        self.recovering = recovering or not durable.recovered
        self._recovery_recorded = not self.recovering
        self._installed = durable.snapshot
        self._retry_storage_at = now
        self._leaving_since = None
        self._leave_request_at = 0
        self._acknowledgement_limit = None
        self._leave_granted = False
        self._start_follower_state(now if started_at is None else min(now, started_at))
        self._start_leader_state()
        self._no_leader_seen = True
        self._restart_check = None
        self._restart_query_at = now
        self._known_incarnations = {}
        if durable.term == 0 and not self.recovering:
            self._last_leader_contact_at = NEVER  # it has answered nobody yet, so no leader relies on it
            self._election_at = now + random.randint(
                config.heartbeat_interval_ns, config.min_election_timeout_ns
            )
            self._change_hard_state()

    def _start_follower_state(self, started_at: int) -> None:
        self._last_leader_contact_at = self._leader_contact_at_start(started_at)
        self._verified_index = 0
        self._acknowledgement = None
        self._chunk_receiver = ChunkReceiver(self.config.max_snapshot_bytes)
        self._votes = set()
        self._election_at = self._first_election_at()

    def _leader_contact_at_start(self, started_at: int) -> int:
        """When a leader was last in contact, at the latest.

        An earlier incarnation may have answered one, which relies on its vote; it had ended when this process
        started.
        """
        return started_at

    def _first_election_at(self) -> int:
        """Soon after no leader can rely on an earlier incarnation: where all have restarted, nobody leads."""
        over = max(self.now, self._last_leader_contact_at + self.config.min_election_timeout_ns)
        spread = (self.config.max_election_timeout_ns - self.config.min_election_timeout_ns) // 2
        return over + self.random.randint(0, spread)

    def _start_leader_state(self) -> None:
        self._progress = {}
        self._former_progress = {}
        self._heartbeat_round = 0
        self._heartbeat_wanted = False
        self._heartbeat_at = 0
        self._first_of_term = 0
        self._successor = None
        self._transfer_until = 0
        self._applicants = {}
        self._leaving = {}

    @property
    def members(self) -> Members:
        """The members by the last change in the log, committed or not."""
        return self.log.members

    @property
    def voters(self) -> tuple[str, ...]:
        """The members who vote, or will after the change under way."""
        return self.log.members.voters

    @property
    def last_index(self) -> int:
        """The index of the last entry in the log."""
        return self.log.last_index

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads in its term, as far as it knows."""
        return self.role is Role.LEADER

    # Durable state.

    def _change_hard_state(self) -> None:
        self.durability.hard_state = HardState(
            self.term, self.voted_for, self._recovery_recorded, self._initial_members
        )

    @property
    def _term_is_durable(self) -> bool:
        return self.durability.durable_term == self.term

    def _send(self, peer: str, message: Struct) -> None:
        """Send at once, or handle a message to itself."""
        if peer == self.identity:
            self._handle(peer, message)
        elif len(self._outgoing) < MAX_OUTGOING_MESSAGES:
            self._outgoing.append((peer, message))

    def _send_when_durable(self, peer: str, message: Struct) -> None:
        """Send once all that was changed until now is synced."""
        if self.durability.is_clean(self.log):
            self._send(peer, message)
        elif len(self.durability.pending_messages) < MAX_OUTGOING_MESSAGES:
            self.durability.pending_messages.append((peer, message))

    # Defined by the roles, and called by others of them.

    def _handle(self, sender: str, message: Struct) -> None:
        """See `replica.py`."""
        raise NotImplementedError

    def _acknowledged_index(self) -> int:
        """See `follower_role.py` and `member_requests.py`."""
        raise NotImplementedError

    def _may_stand(self) -> bool:
        """See `election.py`."""
        raise NotImplementedError

    def _campaign(self, transfer: bool) -> None:
        """See `election.py`."""
        raise NotImplementedError

    def _become_leader(self) -> None:
        """See `leader_role.py`."""
        raise NotImplementedError

    def _check_proposal(self, now: int) -> None:
        """See `leader_role.py`."""
        raise NotImplementedError

    @property
    def _is_changing(self) -> bool:
        """See `membership_changes.py`."""
        raise NotImplementedError

    # Terms and roles.

    def _reset_election_timer(self) -> None:
        self._election_at = self.now + self.random.randint(
            self.config.min_election_timeout_ns, self.config.max_election_timeout_ns
        )

    def _become_follower(self, term: int, leader: str | None) -> None:
        """Follow in `term`, the present one or a later one."""
        if term > self.term:
            self.term = term
            self.voted_for = None
            self._verified_index = 0
            self._acknowledgement = None
            self._change_hard_state()
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._start_leader_state()
            self._reset_election_timer()
        self.leader = leader

    def _follow_leader(self, term: int, leader: str) -> None:
        self._become_follower(term, leader)
        self._last_leader_contact_at = self.now
        self._record_leader_seen()
        self._reset_election_timer()

    def _record_leader_seen(self) -> None:
        """It leads, or has received from a leader: what it knew of a restart of all is outdated."""
        self._no_leader_seen = False
        self._known_incarnations = {}

    def _majority(self, own: int, of_peer: Callable[[Progress], int]) -> int:
        """The highest value that a majority of each set of voters has; those recovering have none."""
        return min(self._majority_of(voters, own, of_peer) for voters in self.members.electorates)

    def _majority_of(self, voters: tuple[str, ...], own: int, of_peer: Callable[[Progress], int]) -> int:
        values = []
        for voter in voters:
            if voter == self.identity:
                values.append(own)
                continue
            progress = self._progress.get(voter)
            values.append(of_peer(progress) if progress and self._counts(progress) else NEVER)
        return majority_value(values)

    def _counts(self, progress: Progress) -> bool:
        """Whether a member counts in majorities."""
        return not progress.recovering

    def _append_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry to the own log and return its index."""
        index = self.log.last_index + 1
        self.log.append([Entry(term=self.term, index=index, kind=int(kind), data=data)])
        return index
