"""`Voters` over the replicas of the simulation, with membership as it is told."""

from types import SimpleNamespace

from hopsail.controlplane.voters import Voters
from hopsail.net.counters import Counters
from hopsail.replication.simulation import Simulation
from hopsail.replication.state import MILLISECOND

CHECK_EVERY = 100 * MILLISECOND
SYNC_S = 4
SECOND = 1000 * MILLISECOND


class SimulatedShard:
    """A shard's replica in the simulation, as its process has it."""

    def __init__(self, simulation: Simulation, name: str):
        self.simulation, self.node = simulation, simulation.nodes[name]

    @property
    def replica(self):
        return self.node.replica

    @property
    def leads(self) -> bool:
        return self.replica is not None and self.replica.is_leader

    def pump(self) -> None:
        self.simulation._work(self.node)


class NamedVoters(Voters):
    """The simulation's replicas have names in place of addresses."""

    def _alive(self) -> set[str]:
        return {identity.rpartition(":")[0] or identity for identity in super()._alive()}


class Fleet:
    """Replicas `r0`... and the `Voters` of each of their processes.

    `news`: ns after which the membership tells that a process has come or gone; its log answers before."""

    voters_class = NamedVoters

    def __init__(
        self, voters: int = 3, spares: int = 0, losses: int = 1, seed: int = 7, news: int = 0, **options
    ):
        self.simulation = Simulation(seed, voters=voters, spares=spares, **options)
        self.news = news
        self.up = {name: True for name in self.simulation.nodes}
        self.told = dict(self.up)
        self.voters, self.planes, self.history = {}, {}, []
        for name in self.simulation.nodes:
            self._make(name, losses)
        self.simulation.run_until(self.simulation.settled_leader)

    def _make(self, name: str, losses: int) -> None:
        plane = SimpleNamespace(
            settings=SimpleNamespace(machine_losses=losses, bounds=SimpleNamespace(sync_s=SYNC_S)),
            membership=SimpleNamespace(alive=self._members),
            identity=name,
            shards=[SimulatedShard(self.simulation, name)],
            counters=Counters("test"),
            stopping=False,
        )
        self.planes[name], self.voters[name] = plane, self.voters_class(plane)

    def _members(self, role: str):
        assert role == "controlplane"
        return [SimpleNamespace(address=(name, 7640)) for name, up in self.told.items() if up]

    @property
    def leader(self) -> str | None:
        """The leader that holds a lease."""
        return self.simulation.settled_leader()

    @property
    def members(self):
        """The members as the leader has them."""
        return self.simulation.nodes[self.leader].replica.members

    def followers(self) -> list[str]:
        """The voters but for the leader."""
        leader = self.leader
        return [name for name in self.members.voters if name != leader]

    def run(self, duration: int) -> None:
        """Lets time pass; each live process checks its voters, and asks to be a member."""
        end = self.simulation.now + duration
        while self.simulation.now < end:
            self.simulation.run(min(CHECK_EVERY, end - self.simulation.now))
            for name, node in self.simulation.nodes.items():
                if node.replica is not None and node.frozen_until <= self.simulation.now:
                    self._check(name, node)
            if self.simulation.settled_leader():
                self.history.append(self.members)

    def _check(self, name: str, node) -> None:
        now = self.simulation.now
        self.voters[name].check(now)
        node.replica.ask_to_join(now, self.simulation.nodes)
        self.simulation._work(node)

    def run_until(self, condition, most: int) -> int:
        """Lets time pass until the condition holds; how long that took."""
        began = self.simulation.now
        while not condition():
            assert self.simulation.now - began < most, "the condition is not reached"
            self.run(CHECK_EVERY)
        return self.simulation.now - began

    def kill(self, name: str, wipe: bool = False) -> None:
        """A machine loses power, and its disk if wanted."""
        self.simulation.crash(name, wipe=wipe)
        self._came_or_went(name, False)

    def start(self, name: str) -> None:
        """A process starts."""
        self.simulation.start(name)
        self._came_or_went(name, True)

    def absent(self, *names: str) -> None:
        """These have not been started yet, and no one has heard of them."""
        for name in names:
            self.simulation.crash(name, wipe=True)
            self.up[name] = self.told[name] = False

    def terminate(self, name: str) -> None:
        """SIGTERM: what the control process does about its shards then."""
        self.planes[name].stopping = True
        self.simulation.nodes[name].replica.leave(self.simulation.now)
        self._came_or_went(name, False)

    def may_leave(self, name: str) -> bool:
        """Whether a process that was terminated may end; it hands over what it leads."""
        replica = self.simulation.nodes[name].replica
        if replica.is_leader:
            self.simulation.transfer(name)
        return replica.may_leave(self.simulation.now)

    def _came_or_went(self, name: str, up: bool) -> None:
        self.up[name] = up

        def tell() -> None:
            self.told[name] = self.up[name]

        if self.news:
            self.simulation.at(self.simulation.now + self.news, tell)
        else:
            tell()

    def acknowledge(self, within: int) -> int:
        """Has a value acknowledged; how long that took."""
        before = len(self.simulation.checker.acknowledged)

        def acknowledged() -> bool:
            if self.leader and not self.simulation.nodes[self.leader].waiting:
                self.simulation.propose(self.leader)
            return len(self.simulation.checker.acknowledged) > before

        return self.run_until(acknowledged, within)
