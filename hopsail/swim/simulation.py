"""A fleet of the protocol on a simulated network, seeded: for thousands of schedules, and large fleets."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Protocol

from ..model import MS, SECOND
from .errors import MessageStormError
from .faults import corrupt
from .protocol import SwimProtocol, ViewSnapshot
from .settings import DEFAULT_DATAGRAM_BYTES, Address, SwimSettings, time_bounds

KEY = bytes(range(32))
FLEET = "sim"
# Datagrams a member each period, on average, from which on it is a storm: calm fleets send less than ten.
STORM_DATAGRAMS = 100
MAX_STOPPED_DATAGRAMS = 200  # that wait for a stopped process, as in a socket's buffer
MIN_DELAY_MS, MAX_DELAY_MS = 0.2, 2.0
LATE_RATE = 0.02  # of the datagrams, which others overtake
MAX_LATE_PERIODS = 0.25


class ProtocolFactory(Protocol):
    """Makes one member's protocol, as the class SwimProtocol does."""

    def __call__(self, settings: SwimSettings, random: Random, now: int, incarnation: int) -> SwimProtocol:
        """A member that has just started."""


class SimulatedProcess:
    """One process of a simulated fleet; `is_running` is false once it has been killed."""

    def __init__(self, name: str, address: Address, protocol: SwimProtocol) -> None:
        """Starts running."""
        self.name = name
        self.address = address
        self.protocol = protocol
        self.next_tick_ns = protocol.next_tick_ns
        self.is_running = True
        self.is_stopped = False
        self.waiting: list[bytes] = []  # datagrams, while it is stopped
        self.sent_datagrams = 0
        self.sent_bytes = 0


class SimulatedFleet:
    """A fleet of so many members that faults can be played on. Times are seconds outside, ns inside."""

    def __init__(  # noqa: PLR0913 - the keywords of a trial
        self,
        members: int,
        *,
        seed: int = 1,
        period: float = 1.0,
        max_datagram_bytes: int = DEFAULT_DATAGRAM_BYTES,
        loss: float = 0.0,
        lease_servers: int = 0,
        protocol: ProtocolFactory = SwimProtocol,
    ) -> None:
        """Starts all members; `loss` is the rate of datagrams that are lost."""
        self.names = [f"b{i}" for i in range(members)]
        self.seeds = self.names[: 2 if members > 3 else 1]
        self.period = period
        self.clock_ns = 0
        self.processes: dict[str, SimulatedProcess] = {}
        self._protocol = protocol
        self._random = Random(f"sim/{seed}")
        self._max_datagram_bytes = max_datagram_bytes
        self._lease_servers = tuple(self.names[:lease_servers])
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = count()
        self._hosts = count(1)
        self._by_address: dict[Address, SimulatedProcess] = {}
        self._blocked: set[tuple[str, str]] = set()
        self._saved: dict[
            str, tuple[int, tuple[Address, ...]]
        ] = {}  # incarnation and addresses, as on a disk
        self._loss_rate = loss
        self._corruption_rate = 0.0
        self._changed_at_ns: dict[str, int] = {}
        self._carried_datagrams = 0
        self.addresses = {name: self._new_address() for name in self.names}
        for name in self.names:
            self.start(name)
        settings = self._settings(self.names[0], self.addresses[self.names[0]])
        self.convergence_bound = time_bounds(settings, members).convergence_ns / SECOND

    def _new_address(self) -> Address:
        host = next(self._hosts)
        return f"10.{host >> 16}.{host >> 8 & 255}.{host & 255}", 7000

    def _settings(self, name: str, address: Address) -> SwimSettings:
        return SwimSettings(
            name=name,
            fleet=FLEET,
            listen_address=address,
            advertised_address=address,
            keys=(KEY,),
            seeds=tuple(self.addresses[seed] for seed in self.seeds if seed != name),
            lease_servers=self._lease_servers,
            period_ns=int(self.period * SECOND),
            max_datagram_bytes=self._max_datagram_bytes,
        )

    # What a fleet can be told to do.

    def start(self, name: str, moved: bool = False) -> None:
        """Starts a process under this name, at a new address if it has moved."""
        if moved:
            self.addresses[name] = self._new_address()
        process = self._make_process(name, self.addresses[name])
        self.processes[name] = process
        self._changed_at_ns[name] = self.clock_ns
        self._run_process(process)

    def _make_process(self, name: str, address: Address) -> SimulatedProcess:
        # On the disk is the last incarnation: the new one is later, also when the clock stood still.
        last_incarnation, earlier_addresses = self._saved.get(name, (0, ()))
        incarnation = max(last_incarnation + 1, self.clock_ns // MS)
        self._saved[name] = (incarnation, earlier_addresses)
        settings = self._settings(name, address)
        random = Random(f"{self._random.random()}")
        protocol = self._protocol(settings, random, self.clock_ns, incarnation)
        protocol.reconnector.earlier_addresses = earlier_addresses
        protocol.lease_client.balancers = len(self.names)
        process = SimulatedProcess(name, address, protocol)
        self._by_address[address] = process
        return process

    def _save(self, process: SimulatedProcess) -> None:
        protocol = process.protocol
        self._saved[process.name] = (protocol.incarnation, tuple(protocol.live_addresses()))

    def kill(self, name: str) -> None:
        """Ends a process without a goodbye."""
        process = self.processes.pop(name)
        self._save(process)
        self._end(process)
        self._changed_at_ns[name] = self.clock_ns

    def _end(self, process: SimulatedProcess) -> None:
        self._by_address.pop(process.address, None)
        process.is_running = False

    def leave(self, name: str) -> None:
        """Has a process announce that it leaves."""
        process = self.processes[name]
        process.protocol.leave(self.clock_ns)
        self._send_datagrams(process)
        self._save(process)
        self._changed_at_ns[name] = self.clock_ns

    def stop(self, name: str) -> None:
        """Stops a process, as SIGSTOP does."""
        self.processes[name].is_stopped = True
        self._changed_at_ns[name] = self.clock_ns

    def resume(self, name: str) -> None:
        """Has a stopped process go on."""
        process = self.processes[name]
        process.is_stopped = False
        self._changed_at_ns[name] = self.clock_ns
        waiting, process.waiting = process.waiting, []
        for data in waiting:
            process.protocol.receive(self.clock_ns, data)
        self._run_process(process)

    def start_duplicate(self, name: str) -> SimulatedProcess:
        """Starts another process under a name that lives, at an address of its own."""
        process = self._make_process(name, self._new_address())
        self._run_process(process)
        return process

    def end_duplicate(self, process: SimulatedProcess) -> None:
        """Ends such a process."""
        self._end(process)

    def block(self, sender: str, receiver: str) -> None:
        """Has datagrams from one to the other lost."""
        self._blocked.add((sender, receiver))

    def heal(self) -> None:
        """Has all reach each other again."""
        self._blocked.clear()

    def set_loss(self, rate: float) -> None:
        """Has so many of the datagrams lost, 0 to 1."""
        self._loss_rate = rate

    def set_corruption(self, rate: float) -> None:
        """Has so many of the datagrams duplicated or changed, 0 to 1."""
        self._corruption_rate = rate

    # What can be seen of it.

    def now(self) -> float:
        """Seconds since the start."""
        return self.clock_ns / SECOND

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Whether both run and datagrams from one to the other arrive."""
        if sender not in self.processes or receiver not in self.processes:
            return False
        stopped = self.processes[sender].is_stopped or self.processes[receiver].is_stopped
        return not stopped and (sender, receiver) not in self._blocked

    def unchanged_for(self, name: str) -> float:
        """Seconds since a process was started, ended, stopped or resumed."""
        return (self.clock_ns - self._changed_at_ns[name]) / SECOND

    def snapshots(self) -> dict[str, ViewSnapshot]:
        """The view of each process that can be asked."""
        return {
            name: process.protocol.snapshot(self.clock_ns)
            for name, process in self.processes.items()
            if not process.is_stopped and not process.protocol.is_leaving
        }

    # How it goes on.

    def run(self, seconds: float) -> None:
        """Lets so much time pass."""
        end_ns = self.clock_ns + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end_ns:
            self.clock_ns, _, act = heappop(self._events)
            act()
        self.clock_ns = end_ns

    def _schedule(self, at_ns: int, act: Callable[[], None]) -> None:
        heappush(self._events, (at_ns, next(self._serial), act))

    def _run_process(self, process: SimulatedProcess) -> None:
        if not process.is_running or process.is_stopped:
            return
        process.protocol.tick(self.clock_ns)
        self._send_datagrams(process)
        due_ns = process.next_tick_ns = process.protocol.next_tick_ns
        self._schedule(due_ns, lambda: self._run_if_due(process, due_ns))

    def _run_if_due(self, process: SimulatedProcess, due_ns: int) -> None:
        if process.next_tick_ns == due_ns:
            self._run_process(process)

    def _send_datagrams(self, process: SimulatedProcess) -> None:
        for address, data in process.protocol.take_datagrams():
            process.sent_datagrams += 1
            process.sent_bytes += len(data)
            self._carry(process, address, data)

    def _carry(self, process: SimulatedProcess, address: Address, data: bytes) -> None:
        self._check_storm()
        target, random = self._by_address.get(address), self._random
        if target is None or (process.name, target.name) in self._blocked:
            return
        if random.random() < self._loss_rate:
            return
        data, copies = corrupt(data, random, self._corruption_rate)
        for _ in range(copies):
            delay = random.uniform(MIN_DELAY_MS, MAX_DELAY_MS) * MS
            if random.random() < LATE_RATE:
                delay += random.random() * self.period * SECOND * MAX_LATE_PERIODS
            self._deliver_later(target, data, self.clock_ns + int(delay))

    def _deliver_later(self, target: SimulatedProcess, data: bytes, at_ns: int) -> None:
        self._schedule(at_ns, lambda: self._deliver(target, data))

    def _check_storm(self) -> None:
        self._carried_datagrams += 1
        periods = 50 + self.now() / self.period
        if self._carried_datagrams > STORM_DATAGRAMS * len(self.names) * periods:
            raise MessageStormError("the members send each other more and more")

    def _deliver(self, target: SimulatedProcess, data: bytes) -> None:
        if not target.is_running:
            return
        if not target.is_stopped:
            target.protocol.receive(self.clock_ns, data)
            self._send_datagrams(target)
        elif len(target.waiting) < MAX_STOPPED_DATAGRAMS:
            target.waiting.append(data)
