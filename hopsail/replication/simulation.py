"""A seeded simulation of the replicas of one log, with a clock, a network and disks that fail, and a checker.

Time is simulated, in ns. Faults: messages lost, doubled, delayed, reordered, cut one way; processes killed
and frozen; power lost (what is not synced is gone); disks wiped, slow, refusing writes. Checked all the
while: one leader a term; committed prefixes agree; nothing acknowledged is lost; reads, by round and by
lease, are linearizable.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TypeVar

from .errors import BusyError, NotLeaderError
from .messages import Entry, EntryKind
from .records import ShardState, ShardWrite, shard_record
from .replica import Replica
from .state import (
    MILLISECOND,
    DurableState,
    Members,
    ReadToken,
    Ready,
    ReplicaConfig,
    Snapshot,
)
from .structs import Struct

SHARD = "shard"
MAX_ATTEMPTS = 10
T = TypeVar("T")


class ViolationError(AssertionError):
    """Something happened that must never happen."""


@dataclass(frozen=True)
class Network:
    """How messages fare; shares of all messages, times in ns."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay: int = MILLISECOND
    max_delay: int = 5 * MILLISECOND
    long_delay: float = 0.0
    max_long_delay: int = 3000 * MILLISECOND


class Disk:
    """What a replica has synced; `write` applies a Ready only when it is synced."""

    def __init__(self) -> None:
        """Begin with an empty disk."""
        self.state: ShardState | None = None
        self.delay = 5 * MILLISECOND
        self.refuses = False

    def write(self, ready: Ready) -> None:
        """Sync what is to be stored."""
        self.state = self.state or ShardState()
        self.state.apply(shard_record(ShardWrite(SHARD, ready)))

    def wipe(self) -> None:
        """Lose everything."""
        self.state = None


@dataclass
class StateMachine:
    """The values applied, in order; a snapshot is all of them."""

    index: int = 0
    values: list[bytes] = field(default_factory=list)

    def apply(self, entry: Entry) -> None:
        """Apply the next entry."""
        if entry.index != self.index + 1:
            raise ViolationError(f"entry {entry.index} applied after {self.index}")
        self.index = entry.index
        if entry.kind == EntryKind.DATA:
            self.values.append(entry.data)

    def encode(self) -> bytes:
        """The snapshot's data; values hold no line feeds."""
        return b"\n".join(self.values)

    def install(self, snapshot: Snapshot) -> None:
        """Take the state of a snapshot."""
        self.index = snapshot.index
        self.values = snapshot.data.split(b"\n") if snapshot.data else []


class Checker:
    """Collects what the replicas show, and raises ViolationError."""

    def __init__(self) -> None:
        """Begin before anything was shown."""
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, int, bytes]] = {}
        self.acknowledged: dict[bytes, int] = {}
        self.reads = 0

    def leads(self, identity: str, term: int) -> None:
        """A replica leads a term."""
        other = self.leaders.setdefault(term, identity)
        if other != identity:
            raise ViolationError(f"{other} and {identity} lead term {term}")

    def commits(self, entry: Entry) -> None:
        """A replica has applied an entry."""
        shown = (entry.term, entry.kind, entry.data)
        other = self.committed.setdefault(entry.index, shown)
        if other != shown:
            raise ViolationError(f"entry {entry.index} is {other} and {shown}")

    def acknowledges(self, value: bytes, index: int) -> None:
        """A client was told that its value is stored."""
        self.acknowledged[value] = index

    def check_read(self, must_have: int, machine: StateMachine) -> None:
        """A read was answered; `must_have`: the highest index acknowledged when it began."""
        self.reads += 1
        if machine.index < must_have:
            raise ViolationError(f"a read at {machine.index} misses {must_have}")

    @property
    def highest(self) -> int:
        """The highest index acknowledged to a client, or read."""
        return max(self.acknowledged.values(), default=0)


class Node:
    """A process with a replica, a state machine and a disk."""

    def __init__(self, identity: str) -> None:
        """Make a process that does not run yet."""
        self.identity = identity
        self.disk = Disk()
        self.replica: Replica | None = None  # while the process runs
        self.machine = StateMachine()
        self.incarnation = 0
        self.frozen_until = 0
        self.wake_at: int | None = None
        self.writing: Ready | None = None
        self.waiting: dict[int, bytes] = {}
        self.reads: list[tuple[ReadToken, int]] = []

    @property
    def running_replica(self) -> Replica:
        """The replica of a process that runs.

        Raises:
            ViolationError: it does not.

        """
        if self.replica is None:
            raise ViolationError(f"{self.identity} does not run")
        return self.replica


class Simulation:
    """Replicas `r0`, `r1`... of one log; `factory` makes them, so that tests can break one guard."""

    def __init__(  # noqa: PLR0913  # independent options, all with defaults but the seed
        self,
        seed: int,
        voters: int = 3,
        spares: int = 0,
        network: Network | None = None,
        factory: type[Replica] = Replica,
        snapshot_after: int = 200,
        lease_reads: bool = True,
    ) -> None:
        """Start the voters, bootstrapped, and the spares, with empty disks."""
        self.random = Random(seed)
        self.network = network or Network()
        self.factory = factory
        self.snapshot_after = snapshot_after
        self.lease_reads = lease_reads
        self.now = 1_000_000_000
        self.checker = Checker()
        self.cuts: set[tuple[str, str]] = set()
        self.intercept: Callable[[str, str, Struct], bool] | None = None
        self.sent = 0
        names = [f"r{number}" for number in range(voters + spares)]
        self.initial = Members(tuple(names[:voters]))
        self.nodes = {name: Node(name) for name in names}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._values = count()
        for name in names:
            self.start(name, bootstrap=name in self.initial.voters)

    # Processes.

    def start(self, name: str, bootstrap: bool = False) -> None:
        """Start a process with what its disk holds."""
        node = self.nodes[name]
        if bootstrap:
            durable = DurableState(members=self.initial, recovered=True)
        else:
            durable = node.disk.state.durable() if node.disk.state else DurableState()
        config = ReplicaConfig(name, snapshot_after=self.snapshot_after)
        recovering = not bootstrap and node.disk.state is None
        random = Random(self.random.getrandbits(64))
        node.replica = self.factory(config, random, self.now, durable, recovering)
        node.machine = StateMachine()
        node.incarnation += 1
        node.frozen_until = 0
        node.waiting, node.reads, node.wake_at = {}, [], None
        self._work(node)

    def crash(self, name: str, wipe: bool = False) -> None:
        """Lose power: what is not synced is there or gone, and with `wipe` the whole disk is."""
        node = self.nodes[name]
        if node.writing and not node.disk.refuses and self.random.random() < 0.5:
            node.disk.write(node.writing)
        node.writing = None
        node.replica = None
        node.incarnation += 1
        if wipe:
            node.disk.wipe()

    def freeze(self, name: str, duration: int) -> None:
        """Stop a process for a while; its clock goes on."""
        self.nodes[name].frozen_until = self.now + duration

    def cut(self, sender: str, receiver: str) -> None:
        """Lose all messages one way."""
        self.cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Lose all messages to and from a process."""
        for other in self.nodes:
            self.cuts.update({(name, other), (other, name)})

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    # Running.

    def at(self, time: int, action: Callable[[], None]) -> None:
        """Have something done at a time."""
        heappush(self._events, (time, next(self._order), action))

    def run(self, duration: int) -> None:
        """Let time pass."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], T], most: int = 20_000 * MILLISECOND) -> T:
        """Let time pass until the condition holds, and return its value.

        Raises:
            ViolationError: that takes too long.

        """
        end = self.now + most
        while not (value := condition()):
            if not self._events or self._events[0][0] > end:
                raise ViolationError("the condition is not reached")
            self.now, _, action = heappop(self._events)
            action()
        return value

    def leader(self) -> str | None:
        """The running leader of the highest term."""
        leading = [node.replica for node in self.nodes.values() if node.replica and node.replica.is_leader]
        best = max(leading, key=lambda replica: replica.term, default=None)
        return best.identity if best else None

    def settled_leader(self) -> str | None:
        """A leader that has committed an entry of its own term and holds a lease."""
        name = self.leader()
        return name if name and self.nodes[name].running_replica.lease_valid(self.now) else None

    # Clients.

    def propose(self, name: str) -> int | None:
        """A client proposes a new value; the index, or None if it is refused."""
        node = self.nodes[name]
        if node.replica is None or node.frozen_until > self.now:
            return None
        value = b"value-%d" % next(self._values)
        try:
            index = node.replica.propose(self.now, value)
        except (NotLeaderError, BusyError):
            return None
        node.waiting[index] = value
        self._work(node)
        return index

    def read(self, name: str) -> None:
        """A client reads: by the lease where it holds, and by a round."""
        node = self.nodes[name]
        if node.replica is None or node.frozen_until > self.now or not node.replica.is_leader:
            return
        must_have = self.checker.highest
        if self.lease_reads and node.replica.lease_valid(self.now):
            self.checker.check_read(must_have, node.machine)
        node.reads.append((node.replica.read_index(self.now), must_have))
        self._work(node)

    def transfer(self, name: str) -> None:
        """Have a leader hand over."""
        self.nodes[name].running_replica.transfer(self.now)
        self._work(self.nodes[name])

    def propose_members(self, name: str, voters: tuple[str, ...], learners: tuple[str, ...]) -> None:
        """Have a leader propose a change of members."""
        self.nodes[name].running_replica.propose_members(self.now, voters, learners)
        self._work(self.nodes[name])

    # The driver of one replica.

    def _work(self, node: Node) -> None:
        while node.replica and (ready := node.replica.take_ready()):
            self._process_ready(node, ready)
        if node.replica is None:
            return
        if node.replica.is_leader:
            self.checker.leads(node.identity, node.replica.term)
        self._answer_reads(node)
        self._compact(node)
        self._wake_at(node, node.replica.due)

    def _process_ready(self, node: Node, ready: Ready) -> None:
        for peer, message in ready.messages:
            self.send(node.identity, peer, message)
        if ready.installed:
            node.machine.install(ready.installed)
        for entry in ready.committed:
            self.checker.commits(entry)
            node.machine.apply(entry)
            self._acknowledge(node, entry)
        if ready.must_persist:
            self._store(node, ready)

    def _acknowledge(self, node: Node, entry: Entry) -> None:
        if node.waiting.pop(entry.index, None) == entry.data and entry.kind == EntryKind.DATA:
            self.checker.acknowledges(entry.data, entry.index)

    def _answer_reads(self, node: Node) -> None:
        remaining = []
        for token, must_have in node.reads:
            answer = node.running_replica.read_ready(token)
            if answer:
                self.checker.check_read(must_have, node.machine)
            elif answer is False:
                remaining.append((token, must_have))
        node.reads = remaining

    def _compact(self, node: Node) -> None:
        replica = node.running_replica
        if replica.snapshot_due:
            replica.compact(node.machine.index, node.machine.encode())
            self._work(node)

    def _wake_at(self, node: Node, due: int) -> None:
        time = max(due, self.now + MILLISECOND)
        if node.wake_at is not None and node.wake_at <= time:
            return
        node.wake_at = time
        incarnation = node.incarnation
        self.at(time, lambda: self._wake(node, incarnation))

    def _wake(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation:
            return
        node.wake_at = None
        self._when_awake(node, incarnation, lambda: node.running_replica.tick(self.now))

    def _when_awake(self, node: Node, incarnation: int, action: Callable[[], None]) -> None:
        """Do something in a process, once it is not frozen and if it has not ended."""
        if node.incarnation != incarnation or node.replica is None:
            return
        if node.frozen_until > self.now:
            self.at(node.frozen_until, lambda: self._when_awake(node, incarnation, action))
            return
        action()
        self._work(node)

    # Disk and network.

    def _store(self, node: Node, ready: Ready) -> None:
        incarnation = node.incarnation
        node.writing = ready
        self.at(self.now + node.disk.delay, lambda: self._stored(node, incarnation, ready))

    def _stored(self, node: Node, incarnation: int, ready: Ready) -> None:
        if node.incarnation != incarnation:
            return
        node.writing = None
        refused = node.disk.refuses
        if not refused:
            node.disk.write(ready)
        self._when_awake(node, incarnation, lambda: self._written(node, ready, refused))

    def _written(self, node: Node, ready: Ready, refused: bool) -> None:
        if refused:
            node.running_replica.storage_failed(self.now)
        else:
            node.running_replica.persisted(self.now, ready.serial)

    def send(self, sender: str, receiver: str, message: Struct) -> None:
        """Put a message on the network."""
        self.sent += 1
        if (sender, receiver) in self.cuts or receiver not in self.nodes:
            return
        if self.intercept and self.intercept(sender, receiver, message):
            return
        if self.random.random() < self.network.loss:
            return
        copies = 2 if self.random.random() < self.network.duplication else 1
        for _ in range(copies):
            self.deliver_after(self._delay(), sender, receiver, message)

    def _delay(self) -> int:
        network = self.network
        if self.random.random() < network.long_delay:
            return self.random.randint(network.min_delay, network.max_long_delay)
        return self.random.randint(network.min_delay, network.max_delay)

    def deliver_after(self, delay: int, sender: str, receiver: str, message: Struct) -> None:
        """Deliver a message after a while, to whatever process runs there then."""

        def deliver() -> None:
            node = self.nodes[receiver]
            self._when_awake(
                node, node.incarnation, lambda: node.running_replica.receive(self.now, sender, message)
            )

        self.at(self.now + delay, deliver)

    # The end of a schedule.

    def check_survival(self) -> None:
        """Heal everything, and see that the log goes on and holds all that was acknowledged."""
        self.heal()
        self.network = Network()
        for name, node in self.nodes.items():
            node.disk.delay, node.disk.refuses = 5 * MILLISECOND, False
            node.frozen_until = min(node.frozen_until, self.now)
            if node.replica is None:
                self.start(name)
        value = self._acknowledge_one()
        self.run_until(lambda: all(value in node.machine.values for node in self._voters()))
        self.run_until(lambda: not any(node.running_replica.recovering for node in self._voters()))
        for value in self.checker.acknowledged:
            for node in self._voters():
                if value not in node.machine.values:
                    raise ViolationError(f"{node.identity} has lost {value!r}")

    def _acknowledge_one(self) -> bytes:
        """Propose until a value is acknowledged, and return it."""
        for _ in range(MAX_ATTEMPTS):
            value = self.run_until(self._propose_somewhere)
            self.run(500 * MILLISECOND)
            if value in self.checker.acknowledged:
                return value
        raise ViolationError("nothing is acknowledged any more")

    def _propose_somewhere(self) -> bytes | None:
        leader = self.settled_leader()
        if leader is None:
            return None
        index = self.propose(leader)
        return None if index is None else self.nodes[leader].waiting.get(index)

    def _voters(self) -> list[Node]:
        """The voters as the replica that has applied most knows them."""
        best = max(self.nodes.values(), key=lambda node: node.machine.index)
        return [self.nodes[name] for name in best.running_replica.voters]
