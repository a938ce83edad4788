"""A replica of the tallies: takes adds on its side of any partition and merges with the others.

An add becomes the next record of the own origin, which is new in each life of a process. It is acknowledged
once its record is synced on enough disks. Replicas push new records to each other and compare positions at
intervals (anti-entropy). Pure: the driver passes the time in, and does the writes and calls.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..rpc.link_sign import LinkSign
from .acknowledgement import Acknowledgements
from .messages import ExchangeCall, ExchangeReply, OriginRun, PushCall, PushReply
from .own_disk import OwnDisk, load
from .peers import EXCHANGE_INTERVAL_NS, Peer, PeerState
from .records import Positions, RecordSet, check_add, covers, ends, from_positions, to_positions
from .startup import may_read
from .types import Add, AddDone, AddOutcome, PeerCall, PeerReply, TallyWrite

MAX_ADDS = 100_000  # records; beyond it an add is rejected
MAX_MERGED_ADDS = 150_000  # records; beyond it those of others are not taken in either
MAX_MESSAGE_BYTES = 256 * 1024  # bytes of the records in one call or reply
PUSH_WAIT_NS = 300_000_000  # ns that a push waits for the own disk
STANDSTILL_NS = 100_000_000  # ns by which a tick is late when the whole process has stood still

PushDone = Callable[[PushReply], None]


class TallyConfig(NamedTuple):
    """Settings of a replica: what it is called, and how many disks may be lost at once."""

    identity: str
    disk_losses: int
    max_adds: int = MAX_ADDS
    max_merged_adds: int = MAX_MERGED_ADDS


class _PushWaiting(NamedTuple):
    positions: Positions
    time_out: int
    respond: PushDone


class TallyReplica:
    """One process's tallies."""

    def __init__(
        self, config: TallyConfig, origin: str, now: int, stored: Iterable[bytes], bootstrapping: bool
    ) -> None:
        """A process starts, as the origin, with what its disk has; TallyError when that can't be read."""
        self._config = config
        self._origin = origin
        self._now = now
        self._records = RecordSet()
        found = load(stored, self._records, config.max_merged_adds)
        self._disk = OwnDisk(dict(self._records.positions), found)
        self._peers: dict[str, Peer] | None = None
        self._disk_was_lost = found.catching_up or (found.is_empty and not bootstrapping)
        self._ready = bootstrapping
        self._own_sequences: dict[str, dict[str, int]] = {}
        self._waiting = Acknowledgements()
        self._pushes_waiting: list[_PushWaiting] = []
        self._last_call = 0
        self._rejected = 0
        self._merged = 0

    def add(self, now: int, add: Add, done: AddDone) -> None:
        """A caller's add; `done` is called once. TallyError for one that does not fit a record."""
        self._advance(now)
        check_add(add)
        sequence = self._own_sequences.get(add.tally, {}).get(add.identifier)
        if sequence is None or add.amount < self._records.get(self._origin, sequence).amount:
            if not self._admits():
                self._refuse(add, done)
                return
            sequence = self._records.append(self._origin, add)
            self._own_sequences.setdefault(add.tally, {})[add.identifier] = sequence
        self._waiting.wait(now, sequence, done)
        self._settle()

    def total(self, now: int, tally: str) -> int | None:
        """The tally's total; None as long as a process that has started may lack what others hold."""
        self._advance(now)
        self._check_ready()
        return self._records.fold.total(tally) if self._ready else None

    def set_peers(self, now: int, peers: frozenset[str]) -> None:
        """The other replicas that are known. No add is taken before it is called for the first time."""
        self._advance(now)
        before = self._peers or {}
        self._peers = {name: before.get(name) or Peer(name, now) for name in sorted(peers)}
        self._settle()

    def tick(self, now: int) -> None:
        """Time has passed."""
        self._advance(now)
        for peer in self._each_peer():
            for number in peer.overdue(now):
                peer.ended(number)
                peer.failed(now, LinkSign.NONE)
        self._check_ready()
        self._settle()

    def due(self) -> int:
        """When the next tick has something to do, ns."""
        times = [self._now + EXCHANGE_INTERVAL_NS]
        times += (time for peer in self._each_peer() for time in peer.due(self._now))
        times += (push.time_out for push in self._pushes_waiting)
        times += (time for time in (self._waiting.due(), self._disk.due(self._now)) if time is not None)
        return min(times)

    def take_write(self) -> TallyWrite | None:
        """Bytes for the disk; one at a time, until `written` or `write_failed`."""
        return self._disk.take_write(self._now, self._records, self._origin, not self._is_intact())

    def written(self, now: int, serial: int) -> None:
        """The write is synced."""
        self._advance(now)
        self._disk.written(serial)
        self._answer_pushes(failed=False)
        self._settle()

    def write_failed(self, now: int, serial: int) -> None:
        """The write may or may not be on the disk."""
        self._advance(now)
        self._disk.write_failed(now, serial)
        self._answer_pushes(failed=True)
        self._settle()

    def take_calls(self) -> list[PeerCall]:
        """Calls that are to be made now."""
        calls = []
        for peer in self._each_peer():
            if peer.exchange_due <= self._now and not peer.exchanging:
                peer.exchange_due = self._now + EXCHANGE_INTERVAL_NS
                calls.append(self._call(peer, ExchangeCall(known=from_positions(self._records.positions))))
            if peer.pushable(self._now) and (runs := self._runs_for(peer)):
                calls.append(self._call(peer, PushCall(runs=runs)))
        return calls

    def replied(self, now: int, number: int, reply: PeerReply) -> None:
        """A call has ended with a reply."""
        self._end(now, number, lambda peer, call: self._take_reply(peer, call, reply))

    def failed(self, now: int, number: int, sign: LinkSign) -> None:
        """A call has ended without a reply; the sign is what its channel then showed of the link."""
        self._end(now, number, lambda peer, _call: peer.failed(now, sign))

    def peers_to_ask_for(self) -> list[str]:
        """The peers whose zones should be asked whether they can be reached, as it decides something."""
        silent = [peer.name for peer in self._each_peer() if peer.link.is_silent]
        others = 1 + len(self._peers or {}) - len(silent)
        return silent if others <= self._config.disk_losses or not self._ready else []

    def zone_answered(self, now: int, name: str, asked_at: int) -> None:
        """A process in a peer's zone has answered what it was asked at this time."""
        self._advance(now)
        peer = (self._peers or {}).get(name)
        if peer is not None:
            peer.link.zone_answered(asked_at)
            self._settle()

    def _end(self, now: int, number: int, take: Callable[[Peer, PeerCall], None]) -> None:
        self._advance(now)
        for peer in self._each_peer():
            call = peer.ended(number)
            if call is not None:
                take(peer, call)
                break
        self._check_ready()
        self._settle()

    def receive_push(self, now: int, call: PushCall, respond: PushDone) -> None:
        """Records from another replica; responds once they are synced, or with what is if that takes long."""
        self._advance(now)
        self._merge(call.runs)
        known = self._records.positions
        wanted = {origin: min(end, known.get(origin, 0)) for origin, end in ends(call.runs).items()}
        self._pushes_waiting.append(_PushWaiting(wanted, now + PUSH_WAIT_NS, respond))
        self._answer_pushes(failed=False)

    def receive_exchange(self, now: int, call: ExchangeCall) -> ExchangeReply:
        """What the caller lacks, and the own positions."""
        self._advance(now)
        return ExchangeReply(
            runs=self._records.runs_beyond(to_positions(call.known), MAX_MESSAGE_BYTES),
            known=from_positions(self._records.positions),
            durable=from_positions(self._disk.durable),
            origin=self._origin,
            intact=self._is_intact(),
        )

    def compact(self) -> None:
        """The next write stands for all that was written before."""
        self._disk.replace_all()

    def needed_disks(self) -> int:
        """On how many disks an add has to be, whether or not the processes on this side of a cut run."""
        on_this_side = 1 + sum(not peer.cut_off(self._now) for peer in self._each_peer())
        return min(self._config.disk_losses + 1, on_this_side)

    def peer_states(self) -> list[PeerState]:
        """What is held of each other replica now."""
        return [peer.state(self._now) for peer in self._each_peer()]

    def figures(self) -> dict[str, int]:
        """Counters for operators."""
        return {
            "adds": self._records.size,
            "origins": len(self._records.positions),
            "tallies": len(self._records.fold),
            "acknowledged": self._waiting.acknowledged,
            "unknown": self._waiting.unknown,
            "rejected": self._rejected,
            "cut_off": sum(peer.cut_off(self._now) for peer in self._each_peer()),
            "merged": self._merged,
        }

    def _each_peer(self) -> Iterable[Peer]:
        return (self._peers or {}).values()

    def _advance(self, now: int) -> None:
        """Sets the time. That this process stood still is not the silence of its peers."""
        late = now - self._now - EXCHANGE_INTERVAL_NS
        if late > STANDSTILL_NS:
            for peer in self._each_peer():
                peer.shift(late)
        self._now = now

    def _admits(self) -> bool:
        """Whether an add can be taken and may reach enough disks."""
        if self._peers is None or self._records.size >= self._config.max_adds:
            return False
        disks = (not self._disk.failing) + sum(peer.reachable(self._now) for peer in self._each_peer())
        return disks >= self.needed_disks()

    def _refuse(self, add: Add, done: AddDone) -> None:
        """No record is made. A former attempt may have made one, here or elsewhere."""
        if self._records.fold.has(add.tally, add.identifier):
            self._waiting.unknown += 1
            done(AddOutcome.UNKNOWN)
        else:
            self._rejected += 1
            done(AddOutcome.REJECTED)

    def _settle(self) -> None:
        """Answers the callers whose adds are on enough disks, and those that have waited for too long."""
        by_life = {peer.life: peer.durable.get(self._origin, 0) for peer in self._each_peer()}
        by_life[self._origin] = self._disk.durable.get(self._origin, 0)
        sequences = sorted(by_life.values(), reverse=True)
        needed = self.needed_disks()
        self._waiting.settle(self._now, sequences[needed - 1] if needed <= len(sequences) else 0)
        self._answer_pushes(failed=False)

    def _answer_pushes(self, failed: bool) -> None:
        """Responds to pushes whose records are synced, and to those that should not wait for longer."""
        if not self._pushes_waiting:
            return
        waiting, self._pushes_waiting = self._pushes_waiting, []
        for push in waiting:
            if failed or push.time_out <= self._now or covers(self._disk.durable, push.positions):
                push.respond(self._push_reply())
            else:
                self._pushes_waiting.append(push)

    def _push_reply(self) -> PushReply:
        return PushReply(
            known=from_positions(self._records.positions),
            durable=from_positions(self._disk.durable),
            origin=self._origin,
        )

    def _runs_for(self, peer: Peer) -> list[OriginRun]:
        """What to push: all own records, others as far as the peer lacked them at an exchange.

        An empty run asks for the sync of own records that the peer has fetched by an exchange.
        """
        own = self._records.positions.get(self._origin, 0)
        limits = {**peer.push_limits, self._origin: own}
        runs = self._records.runs_beyond(peer.known, MAX_MESSAGE_BYTES, limits)
        if not runs and peer.durable.get(self._origin, 0) < own:
            runs = [OriginRun(origin=self._origin, first_sequence=own + 1, adds=[])]
        return runs

    def _call(self, peer: Peer, message: PushCall | ExchangeCall) -> PeerCall:
        self._last_call += 1
        call = PeerCall(peer.name, self._last_call, message)
        peer.called(call, self._now)
        return call

    def _take_reply(self, peer: Peer, call: PeerCall, reply: PeerReply) -> None:
        """Merges what came, and sees what the peer lacks."""
        life = peer.life
        merged = self._merge(reply.runs) if isinstance(reply, ExchangeReply) else 0
        if not peer.answered(self._now, reply):
            return
        if isinstance(call.message, ExchangeCall) and isinstance(reply, ExchangeReply):
            peer.push_limits = to_positions(call.message.known)
            full = self._records.size >= self._config.max_merged_adds
            if full or covers(self._records.positions, peer.known):
                peer.complete = True
                peer.intact = reply.intact
            elif merged:
                peer.exchange_due = self._now
        elif peer.life == life and not peer.took(call.message.runs):
            peer.push_due = self._now + EXCHANGE_INTERVAL_NS

    def _merge(self, runs: Iterable[OriginRun]) -> int:
        merged = self._records.merge(runs, self._config.max_merged_adds)
        self._merged += merged
        return merged

    def _is_intact(self) -> bool:
        """Whether it holds all that it has ever confirmed."""
        return self._ready or not self._disk_was_lost

    def _check_ready(self) -> None:
        if not self._ready and self._peers is not None:
            peers = self._peers.values()
            self._ready = may_read(self._now, peers, self._disk_was_lost, self._config.disk_losses)
