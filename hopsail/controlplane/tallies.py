"""The tallies of a control process: drives their replica by the loop's clock, its disk and calls to others.

Each process takes adds and answers reads by itself, whoever leads the replicated logs, so that tallies go on
on each side of a partition.
"""

import os
from collections.abc import Iterable
from typing import Protocol

from ..configuration.process import ProcessSettings
from ..event_log import get_logger
from ..membership.node import Membership
from ..net.counters import Counters
from ..net.loop import Loop, Timer
from ..process import MILLISECOND, StartError
from ..replication.errors import StorageError
from ..rpc.channel import Channel
from ..rpc.errors import CallError, CallRefusedError, CallTimeoutError, DisconnectedError
from ..rpc.link_sign import LinkSign
from ..rpc.server import Peer, Respond, RpcServer
from ..tallies.errors import TallyError
from ..tallies.messages import EXCHANGE, PUSH, ExchangeCall, ExchangeReply, PushCall, PushReply
from ..tallies.peers import CALL_TIMEOUT_NS
from ..tallies.records import RECORD_OVERHEAD_BYTES
from ..tallies.replica import TallyConfig, TallyReplica
from ..tallies.types import Add, AddDone, AddOutcome, PeerCall
from .tally_disk import TallyDisk
from .zone_questions import ZoneQuestions

log = get_logger("tallies")

FOLDER = "tallies"
ORIGIN_BYTES = 8  # random ones, so that no life of a process takes the origin of another
MIN_TICK_NS = MILLISECOND
# Before the replica gives a call up by itself, as the channel can tell whether the other side refuses.
CHANNEL_TIMEOUT_NS = CALL_TIMEOUT_NS - 50 * MILLISECOND
JOIN_WAIT_NS = 2000 * MILLISECOND  # after a start, in which members become known that are no seeds
REPLIES = {PUSH: PushReply, EXCHANGE: ExchangeReply}
# After these it is the channel that tells what is known of the link; else a process has answered.
CONNECTION_ERRORS = (CallTimeoutError, CallRefusedError, DisconnectedError)


class TalliesProcess(Protocol):
    """What the tallies need of their process."""

    identity: str
    settings: ProcessSettings
    loop: Loop
    counters: Counters
    membership: Membership

    def tally_channel(self, identity: str) -> Channel:
        """The way to another control process's tallies."""

    def known_controls(self) -> Iterable[str]:
        """The control processes that may hold tallies; this one may be among them."""


class Tallies:
    """Takes adds, answers reads and talks to the tallies of other control processes."""

    def __init__(self, process: TalliesProcess, bootstrapping: bool) -> None:
        """Reads what is stored, and takes part at once; StartError when it can't be read."""
        self.process, self.loop, self.counters = process, process.loop, process.counters
        self.disk = self._opened()
        is_first = bootstrapping and not self.disk.stored
        self.replica = self._made(is_first)
        # At first only seeds are known, and an add may be on the disk of none of them.
        self._reads_from = self.loop.now() + (0 if is_first else JOIN_WAIT_NS)
        self._zone_questions = ZoneQuestions(process.membership, self.replica)
        self._timer: Timer | None = None
        self._is_pump_due = self._is_complete = False
        self._peers: frozenset[str] | None = None
        self._told_verdict: tuple[int, frozenset[str] | None, int] | None = None
        if self.disk.is_wasteful:
            self.replica.compact()
        self.update_peers()

    def _opened(self) -> TallyDisk:
        folder = os.path.join(self.process.settings.data_path or "", FOLDER)
        try:
            return TallyDisk(self.loop, folder, lambda: self)
        except StorageError as error:
            raise StartError(f"{folder}: {error}") from error

    def _made(self, bootstrapping: bool) -> TallyReplica:
        identity = self.process.identity
        origin = f"{identity}/{os.urandom(ORIGIN_BYTES).hex()}"
        config = TallyConfig(identity, self.process.settings.machine_losses)
        stored, self.disk.stored = self.disk.stored, []
        try:
            return TallyReplica(config, origin, self.loop.now(), stored, bootstrapping)
        except TallyError as error:
            raise StartError(f"tallies: {error}") from error

    def register(self, rpc: RpcServer) -> None:
        """Takes the calls of other control processes."""
        rpc.register(PUSH, PushCall, self._receive_push)
        rpc.register(EXCHANGE, ExchangeCall, self._receive_exchange)

    # Callers.

    def add(self, add: Add, done: AddDone) -> None:
        """Adds to a tally; `done` is called once. TallyError for an add that does not fit a record."""

        def counted(outcome: AddOutcome) -> None:
            self.counters.add(f"tallies.{outcome.name.lower()}")
            done(outcome)

        self.replica.add(self.loop.now(), add, counted)
        self._pump_soon()

    def total(self, tally: str) -> int | None:
        """The tally's total; None while this process may lack what others hold."""
        total = self.replica.total(self.loop.now(), tally)
        if total is None or self.loop.now() < self._reads_from:
            self.counters.add("tallies.reads_refused")
            return None
        return total

    # Time.

    def update_peers(self) -> None:
        """Takes over who the other control processes are, and tells of what has changed among them."""
        peers = frozenset(self.process.known_controls()) - {self.process.identity}
        if peers != self._peers:
            self._peers = peers
            self.replica.set_peers(self.loop.now(), peers)
            self._pump_soon()
        self._zone_questions.ask(self.loop.now())
        self._tell_changes()

    def compact(self) -> None:
        """Has the state written anew when much of what is on the disk repeats itself."""
        if self.disk.is_wasteful:
            self.replica.compact()
            self._pump_soon()

    def _tell_changes(self) -> None:
        peers = self.replica.peer_states()
        needed = self.replica.needed_disks()
        verdict = (needed, self._peers, sum(peer.is_cut_off for peer in peers))
        if verdict != self._told_verdict:
            self._told_verdict = verdict
            log.info("disks that an add needs: %s; others: %s", needed, "; ".join(map(str, peers)) or "none")
        if not self._is_complete and self.replica.total(self.loop.now(), "") is not None:
            self._is_complete = True
            log.info("reads are answered")

    def _tick(self) -> None:
        self._timer = None
        self.replica.tick(self.loop.now())
        self._pump()

    def _pump_soon(self) -> None:
        """Does what the replica asks for once all events of this round are taken: they share a write."""
        if not self._is_pump_due:
            self._is_pump_due = True
            self.loop.soon(self._pump)

    def _pump(self) -> None:
        self._is_pump_due = False
        for call in self.replica.take_calls():
            self._call(call)
        write = self.replica.take_write()
        if write is not None:
            self.disk.write(write)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.at(max(self.replica.due(), self.loop.now() + MIN_TICK_NS), self._tick)

    # The disk.

    def written(self, serial: int) -> None:
        """The write is synced."""
        self.replica.written(self.loop.now(), serial)
        self._pump_soon()

    def write_failed(self, serial: int) -> None:
        """The disk has refused the write."""
        self.counters.add("tallies.disk_failures")
        self.replica.write_failed(self.loop.now(), serial)
        self._pump_soon()

    # Other control processes.

    def _call(self, call: PeerCall) -> None:
        channel = self.process.tally_channel(call.peer)
        method = EXCHANGE
        if isinstance(call.message, PushCall):
            method = PUSH
            self.counters.add("tallies.pushed_bytes", _size(call.message))

        def done(reply: PushReply | ExchangeReply | None, error: CallError | None) -> None:
            if reply is not None:
                self.replica.replied(self.loop.now(), call.number, reply)
            else:
                sign = channel.link_sign if isinstance(error, CONNECTION_ERRORS) else LinkSign.REFUSED
                self.replica.failed(self.loop.now(), call.number, sign)
            self._pump_soon()

        channel.call(method, call.message, REPLIES[method], done, CHANNEL_TIMEOUT_NS)

    def _receive_push(self, call: PushCall, respond: Respond, _peer: Peer) -> None:
        self.replica.receive_push(self.loop.now(), call, respond)
        self._pump_soon()

    def _receive_exchange(self, call: ExchangeCall, respond: Respond, _peer: Peer) -> None:
        respond(self.replica.receive_exchange(self.loop.now(), call))

    def figures(self) -> dict[str, int]:
        """Names and numbers for staff: what stands now."""
        figures = self.replica.figures()
        shown = {f"tallies.{name}": figures[name] for name in ("adds", "origins", "cut_off", "merged")}
        shown["tallies.torn"] = self.disk.storage.torn_records
        shown["tallies.damaged"] = self.disk.storage.damaged_records
        return shown

    def close(self) -> None:
        """Ends the disk's thread."""
        self.disk.close()


def _size(message: PushCall) -> int:
    """About how many bytes its records are."""
    return sum(
        RECORD_OVERHEAD_BYTES + len(add.tally) + len(add.identifier)
        for run in message.runs
        for add in run.adds
    )
