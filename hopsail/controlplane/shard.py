"""One shard of the control state in this process: its replica, its storage and the state it builds."""

from collections import deque
from collections.abc import Callable, Generator, Iterator
from typing import Protocol

from ..configuration.codes import ResultCode
from ..event_log import get_logger, log_exception
from ..replication.errors import BusyError, NotLeaderError
from ..replication.messages import Entry, EntryKind
from ..replication.replica import Replica
from ..replication.state import Ready, Snapshot
from .commands import Command, Result, decode_command
from .compaction import Compaction

log = get_logger("part")

MAX_PENDING_PROPOSALS = 1024  # proposals that wait for their entry to be applied
# The result of a command that no replica can carry out.
UNREADABLE_COMMAND = Result.rejection(ResultCode.CONTROL_UNREADABLE)

Done = Callable[[Result | None], None]


class ShardState(Protocol):
    """The state machine of a shard."""

    def encode_steps(self) -> Iterator[bytes]: ...


class Shard:
    """Drives a replica: `pump` does all that it asks for.

    `store(shard, ready)` begins a write, `send(shard, peer, message)` sends, `applied(shard)` tells that the
    state has changed. `prepare(state, command)`, if there is one, does in steps what would make `apply` long,
    `decoding(data)` makes the state of a snapshot in steps, and `later(act)` has the next step done soon:
    meanwhile entries wait, and all else goes on. Until a snapshot is decoded `state` is the one before it."""

    def __init__(
        self,
        number: int,
        replica: Replica,
        state: ShardState,
        decoding: Callable[[bytes], Generator[None, None, ShardState]],
        apply: Callable[[ShardState, int, Command], Result],
        store: Callable[["Shard", Ready], None],
        send: Callable[["Shard", str, object], None],
        applied: Callable[["Shard"], None],
        prepare: Callable[[ShardState, Command], Iterator[None]] | None = None,
        later: Callable[[Callable[[], None]], object] | None = None,
    ):
        self.number, self.replica, self.state = number, replica, state
        self._decoding, self._apply = decoding, apply
        self._store, self._send, self._applied = store, send, applied
        self._prepare, self._later = prepare, later
        self._is_installing = False  # `state` is older than the last snapshot installed
        self._unapplied: deque[Entry] = deque()  # committed
        self._steps: Iterator[None] | None = None  # of the first of them, or of a snapshot before them
        self.deciding: dict[Command, list[Callable[[], None]]] = {}  # changes under way here, who waits
        self._pending: dict[int, tuple[int, Done]] = {}  # index -> (term, who waits)
        self._was_leader = False
        self._was_recovering = replica.recovering
        self._compaction: Compaction | None = None
        self.dropped_entries = 0

    @property
    def leads(self) -> bool:
        return self.replica.is_leader

    @property
    def applied_index(self) -> int:
        """The index of the last entry that the state contains; 0 while that is being replaced."""
        if self._is_installing:
            return 0
        return self._unapplied[0].index - 1 if self._unapplied else self.replica.applied_index

    @property
    def has_applied_all(self) -> bool:
        """Whether the state contains all that is known to be committed."""
        return not self._unapplied and not self._is_installing

    def propose(self, now: int, command: Command, done: Done) -> bool:
        """Puts the command into the log; `done(None)` when it is not known what becomes of it.

        False when this process does not lead, or has too many under way."""
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            return False
        try:
            index = self.replica.propose(now, command.encode())
        except (NotLeaderError, BusyError):
            return False
        self._pending[index] = (self.replica.term, done)
        self.pump()
        return True

    def pump(self) -> None:
        """Sends, stores and applies what is ready."""
        changed = False
        self._advance_compaction()
        while (ready := self.replica.take_ready()) is not None:
            for peer, message in ready.messages:
                self._send(self, peer, message)
            if ready.must_persist:
                self._store(self, ready)
            if ready.installed is not None:
                changed |= self._install(ready.installed)
            self._unapplied.extend(ready.committed)
            changed |= self._apply_committed()
        self._drop_pending()
        if changed:
            self._notify(self._applied, self)
        if self._was_recovering and not self.replica.recovering:
            self._was_recovering = False
            log.info("recovered", part=self.number, term=self.replica.term)
        if self.leads != self._was_leader:
            self._was_leader = self.leads
            leadership = "led" if self.leads else "not led"
            log.info("part %s %s here, term %s", self.number, leadership, self.replica.term)

    def compact(self) -> None:
        """Begins to replace old entries by a snapshot when there are many; `pump` goes on with it."""
        if self._compaction is None:
            if not self.replica.snapshot_due or not self.has_applied_all:
                return
            self._compaction = Compaction(self.applied_index, self.state.encode_steps())
        self.pump()

    def _advance_compaction(self) -> None:
        if self._compaction is None:
            return
        try:
            data = self._compaction.advance()
            if data is None:
                return
            self.replica.compact(self._compaction.index, data)
        except Exception:  # the log grows until the next one, all else goes on
            log_exception()
        self._compaction = None

    def _install(self, snapshot: Snapshot) -> bool:
        """Begins to decode the snapshot's state, which takes the place of the present one at the end."""
        self._unapplied.clear()
        self._steps = None
        self._compaction = None
        self._is_installing = bool(snapshot.data)
        if not snapshot.data:
            return False
        steps = self._replacing_state(snapshot.data)
        return not self._begin(steps, self._has_replaced_state) and self._has_replaced_state()

    def _replacing_state(self, data: bytes) -> Generator[None, None, None]:
        self.state = yield from self._decoding(data)
        self._is_installing = False

    def _has_replaced_state(self) -> bool:
        """False after a fault: then nothing is applied to the old state, or told from it."""
        return not self._is_installing

    def _apply_committed(self) -> bool:
        """Applies entries in their order, as far as none has to be prepared."""
        changed = False
        while self._unapplied and self._steps is None and not self._is_installing:
            command = self._decode_entry(self._unapplied[0])
            if command is not None and self._must_prepare(command):
                break
            changed |= self._apply_first(command)
        return changed

    def _apply_first(self, command: Command | None) -> bool:
        entry = self._unapplied.popleft()
        return command is not None and self._commit(entry, command)

    def _must_prepare(self, command: Command) -> bool:
        """Begins to prepare; False when there is nothing left to do for it."""
        if self._prepare is None:
            return False
        return self._begin(self._prepare(self.state, command), lambda: self._apply_first(command))

    def _begin(self, steps: Iterator[None], end: Callable[[], bool]) -> bool:
        """Takes the first step; False when that was all, else `end` is called after the last one."""
        if not self._take_step(steps):
            return False
        self._steps = steps
        self._later(lambda: self._continue(steps, end))
        return True

    def _continue(self, steps: Iterator[None], end: Callable[[], bool]) -> None:
        if steps is not self._steps:
            return  # a snapshot has taken the place of the entry, or of an older one
        if self._take_step(steps):
            self._later(lambda: self._continue(steps, end))
            return
        self._steps = None
        changed = end()
        changed |= self._apply_committed()
        if changed:
            self._notify(self._applied, self)
        self.pump()

    def _take_step(self, steps: Iterator[None]) -> bool:
        """Whether there was one more step. A fault ends them: `apply` meets it again, as on every replica."""
        try:
            next(steps)
        except StopIteration:
            return False
        except Exception:
            log_exception()
            return False
        return True

    def _decode_entry(self, entry: Entry) -> Command | None:
        if entry.kind != EntryKind.DATA:
            return None
        try:
            return decode_command(entry.data)
        except (ValueError, TypeError):
            self.dropped_entries += 1
            return None

    def _commit(self, entry: Entry, command: Command) -> bool:
        result = self._execute(entry.index, command)
        term, done = self._pending.pop(entry.index, (0, None))
        if done is not None:
            self._notify(done, result if term == entry.term else None)
        return True

    def _execute(self, index: int, command: Command) -> Result:
        """Carries a command out. One that fails does so on every replica, and those after it go on."""
        try:
            return self._apply(self.state, index, command)
        except Exception:
            log_exception()
            self.dropped_entries += 1
            return UNREADABLE_COMMAND

    def _notify(self, callback: Callable, argument: object) -> None:
        """Calls back; a fault there must not keep the entries after this one from being applied."""
        try:
            callback(argument)
        except Exception:
            log_exception()

    def _drop_pending(self) -> None:
        """Those who wait are told that nothing is known once another leader's log takes their place."""
        if self.leads or not self._pending:
            return
        pending, self._pending = self._pending, {}
        for _, done in pending.values():
            self._notify(done, None)
