"""State shared by the parts of a replica, and how its messages, terms and roles change."""

from enum import Enum
from random import Random

from .durability import Durability
from .log import Log
from .messages import Entry, EntryKind
from .progress import NEVER, Progress, majority_value
from .state import DurableState, HardState, Members, ReplicaRules, Snapshot
from .structs import Struct

MOST_OUTGOING = 4096
INCARNATION_BITS = 62


class Role(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaCore:
    """Fields of a replica; `now` is the time of the call under way."""

    def __init__(
        self,
        rules: ReplicaRules,
        random: Random,
        now: int,
        durable: DurableState,
        recovering: bool,
        started_at: int | None = None,
    ):
        self.rules = rules
        self.identity = rules.identity
        self.random = random
        self.now = now
        self.incarnation = random.getrandbits(INCARNATION_BITS) + 1
        self.term = durable.term
        self.voted_for = durable.voted_for
        self.recovering = recovering or not durable.recovered
        self.log = Log(durable.snapshot, durable.entries, durable.members)
        self.durability = Durability(self.log, durable.term)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = self.applied_index = self.log.snapshot_index
        self._initial_members = durable.members
        self._recovered_marked = not self.recovering
        self._installed: Snapshot | None = durable.snapshot
        self._outgoing: list[tuple[str, Struct]] = []
        self._retry_storage_at = now
        self._leaves_since: int | None = None
        self._ask_at = 0
        self._held_index: int | None = None
        self._let_go = False
        self._start_follower_state(now if started_at is None else min(now, started_at))
        self._start_leader_state()
        self._is_fresh = True  # it has neither led nor heard a leader in this life
        self._survey = None
        self._survey_at = now
        self._known_lives: dict[str, int] = {}
        if durable.term == 0 and not self.recovering:
            self._leader_heard_at = NEVER  # it has answered nobody yet: nobody relies on its silence
            self._election_at = now + random.randint(rules.heartbeat, rules.election_least)
            self._change_hard_state()

    def _start_follower_state(self, started_at: int) -> None:
        self._leader_heard_at = self._promise_at_start(started_at)
        self._verified_index = 0
        self._acknowledgement: tuple[str, int, int] | None = None
        self._votes: set[str] = set()
        self._election_at = self._first_election_at()

    def _promise_at_start(self, started_at: int) -> int:
        """When a leader was last heard of, at the latest: an earlier life may have promised not to vote.

        That one had ended when this process started."""
        return started_at

    def _first_election_at(self) -> int:
        """Soon after the promise is over: where all have restarted, nobody leads."""
        over = max(self.now, self._leader_heard_at + self.rules.election_least)
        spread = (self.rules.election_most - self.rules.election_least) // 2
        return over + self.random.randint(0, spread)

    def _start_leader_state(self) -> None:
        self._progress: dict[str, Progress] = {}
        self._former: dict[str, Progress] = {}
        self._round = 0
        self._round_wanted = False
        self._heartbeat_at = 0
        self._first_of_term = 0
        self._successor: str | None = None
        self._transfer_until = 0
        self._applicants: dict[str, int] = {}
        self._leaving: dict[str, int] = {}

    @property
    def members(self) -> Members:
        """The members by the last change in the log, committed or not."""
        return self.log.members

    @property
    def voters(self) -> tuple[str, ...]:
        """Those of the members who vote, or will after the change under way."""
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
            self.term, self.voted_for, self._recovered_marked, self._initial_members
        )

    @property
    def _term_is_durable(self) -> bool:
        return self.durability.durable_term == self.term

    def _send(self, peer: str, message: Struct) -> None:
        """Send at once, or handle a message to itself."""
        if peer == self.identity:
            self._handle(peer, message)
        elif len(self._outgoing) < MOST_OUTGOING:
            self._outgoing.append((peer, message))

    def _send_when_durable(self, peer: str, message: Struct) -> None:
        """Send once all that was changed until now is synced."""
        if self.durability.is_clean(self.log):
            self._send(peer, message)
        elif len(self.durability.held) < MOST_OUTGOING:
            self.durability.held.append((peer, message))

    def _handle(self, sender: str, message: Struct) -> None:
        raise NotImplementedError

    # Terms and roles.

    def _reset_election_timer(self) -> None:
        self._election_at = self.now + self.random.randint(
            self.rules.election_least, self.rules.election_most
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

    def _hear_leader(self, term: int, leader: str) -> None:
        self._become_follower(term, leader)
        self._leader_heard_at = self.now
        self._end_freshness()
        self._reset_election_timer()

    def _end_freshness(self) -> None:
        """It leads, or has heard a leader: what it knew of a restart of all is over."""
        self._is_fresh = False
        self._known_lives = {}

    def _majority(self, own: int, of_peer) -> int:
        """The highest value that a majority of each set of voters has; those recovering have none."""
        return min(self._majority_of(voters, own, of_peer) for voters in self.members.electorates)

    def _majority_of(self, voters: tuple[str, ...], own: int, of_peer) -> int:
        values = []
        for voter in voters:
            if voter == self.identity:
                values.append(own)
                continue
            progress = self._progress.get(voter)
            values.append(of_peer(progress) if progress and self._counts(progress) else NEVER)
        return majority_value(values)

    def _counts(self, progress: Progress) -> bool:
        return not progress.recovering

    def _append_entry(self, kind: EntryKind, data: bytes) -> int:
        index = self.log.last_index + 1
        self.log.append([Entry(self.term, index, int(kind), data)])
        return index
