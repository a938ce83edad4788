"""Random schedules of faults for the simulation: the same for a seed."""

import contextlib
from dataclasses import dataclass
from random import Random
from typing import Any

from .errors import BusyError, NotLeaderError
from .log import Log
from .replica import Replica
from .simulation import Network, Node, Simulation
from .state import MILLISECOND, Members

ROUGH = Network(loss=0.03, duplication=0.05, max_delay=20 * MILLISECOND, long_delay=0.03)
CALM = Network()
SWAPS = 0.6  # of the changes in which a learner becomes a voter: it takes the place of one


@dataclass(frozen=True)
class Weights:
    """How often each kind of step is drawn."""

    propose: int = 12
    read: int = 8
    crash: int = 3
    wipe: int = 3
    freeze: int = 2
    cut: int = 3
    isolate: int = 2
    heal: int = 3
    disk: int = 2
    transfer: int = 2
    power: int = 1
    members: int = 2


DEFAULT_WEIGHTS = Weights()


class Schedule:
    """Plays steps on a simulation; at most a minority of the voters has lost its disk at a time."""

    def __init__(self, simulation: Simulation, random: Random, weights: Weights) -> None:
        """Draw the steps of a simulation by their weights."""
        self.simulation = simulation
        self.random = random
        self._most_lost = (len(simulation.initial.voters) - 1) // 2
        names = list(vars(weights))
        self._kinds = [getattr(self, f"_{name}") for name in names]
        self._weights = [getattr(weights, name) for name in names]

    def play(self, steps: int, max_pause: int) -> None:
        """Play so many steps, with pauses (ns) between them."""
        for _ in range(steps):
            self.random.choices(self._kinds, self._weights)[0]()
            self._restart_some()
            self.simulation.run(self.random.randint(0, max_pause))

    def _any(self) -> str:
        """A replica; often the leader."""
        leader = self.simulation.leader()
        if leader and self.random.random() < 0.3:
            return leader
        return self.random.choice(list(self.simulation.nodes))

    def _propose(self) -> None:
        for name in self.simulation.nodes:
            self.simulation.propose(name)

    def _read(self) -> None:
        for name in self.simulation.nodes:
            self.simulation.read(name)

    def _crash(self) -> None:
        name = self._any()
        self.simulation.crash(name)
        if self.random.random() < 0.5:
            self.simulation.start(name)

    def _wipe(self) -> None:
        name = self._any()
        nodes = self.simulation.nodes.values()
        voters = set(self.simulation.initial.voters)
        voters.update(voter for node in nodes for voter in self._electors(node))
        others = [node for node in nodes if node.identity in voters and node.identity != name]
        if sum(map(self._has_lost_disk, others)) < self._most_lost:
            self.simulation.crash(name, wipe=True)
            if self.random.random() < 0.7:
                self.simulation.start(name)

    @staticmethod
    def _electors(node: Node) -> tuple[str, ...]:
        """Whose votes count as this replica, or its disk while it is down, has it."""
        if node.replica:
            return node.replica.members.electors
        state = node.disk.state
        return Log(state.snapshot, state.entries, Members()).members.electors if state else ()

    @staticmethod
    def _has_lost_disk(node: Node) -> bool:
        state = node.disk.state
        return state is None or state.hard_state is None or not state.hard_state.recovered

    def _power(self) -> None:
        for name in self.simulation.nodes:
            self.simulation.crash(name)
        for name in self.simulation.nodes:
            if self.random.random() < 0.8:
                self.simulation.start(name)

    def _members(self) -> None:
        name = self.simulation.leader()
        if name is None:
            return
        replica = self.simulation.nodes[name].replica
        if replica is None or not self.simulation.nodes.keys() - self.simulation.initial.voters:
            return
        voters, learners = self._changed(replica)
        with contextlib.suppress(NotLeaderError, BusyError):
            self.simulation.propose_members(name, voters, learners)

    def _changed(self, replica: Replica) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """The members after a change: voters are swapped, or a learner or a voter comes or goes."""
        voters, learners = replica.voters, replica.members.learners
        ready = [learner for learner in learners if replica.is_caught_up(learner)]
        if ready and self.random.random() < SWAPS:
            return self._swapped(voters, learners, ready)
        if ready:
            promoted = self.random.choice(ready)
            return (*voters, promoted), tuple(one for one in learners if one != promoted)
        all_caught_up = all(replica.is_caught_up(voter) for voter in voters if voter != replica.identity)
        if all_caught_up and len(voters) > len(self.simulation.initial.voters):
            removed = self.random.choice(voters)
            return tuple(one for one in voters if one != removed), learners
        spares = [name for name in self.simulation.nodes if name not in replica.members.all]
        return voters, (*learners, *spares[:1])

    def _swapped(
        self, voters: tuple[str, ...], learners: tuple[str, ...], ready: list[str]
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """As many voters as there are learners ready, or fewer, give way to them; some stay as learners."""
        number = self.random.randint(1, min(len(ready), len(voters)))
        coming, leaving = self.random.sample(ready, number), self.random.sample(voters, number)
        staying = [one for one in leaving if self.random.random() < 0.5]
        rest = [one for one in learners if one not in coming]
        return (*(one for one in voters if one not in leaving), *coming), (*rest, *staying)

    def _restart_some(self) -> None:
        for name, node in self.simulation.nodes.items():
            if node.replica is None and self.random.random() < 0.3:
                self.simulation.start(name)

    def _freeze(self) -> None:
        self.simulation.freeze(self._any(), self.random.randint(1, 1500) * MILLISECOND)

    def _cut(self) -> None:
        self.simulation.cut(self._any(), self._any())

    def _isolate(self) -> None:
        self.simulation.isolate(self._any())

    def _heal(self) -> None:
        self.simulation.heal()

    def _disk(self) -> None:
        disk = self.simulation.nodes[self._any()].disk
        disk.delay = self.random.choice((1, 5, 100, 1000)) * MILLISECOND
        disk.refuses = self.random.random() < 0.2

    def _transfer(self) -> None:
        leader = self.simulation.leader()
        if leader and self.simulation.nodes[leader].frozen_until <= self.simulation.now:
            with contextlib.suppress(NotLeaderError, BusyError):
                self.simulation.transfer(leader)


def play_schedule(
    seed: int,
    steps: int = 12,
    weights: Weights = DEFAULT_WEIGHTS,
    **options: Any,  # noqa: ANN401  # handed on
) -> Simulation:
    """Play one schedule from start to end; `options` are those of Simulation.

    Raises:
        ViolationError: something happened that must never happen.

    """
    random = Random(f"schedule/{seed}")
    max_pause = random.choice((50, 200, 500)) * MILLISECOND
    network = random.choice((CALM, ROUGH))
    simulation = Simulation(random.getrandbits(32), **options)
    simulation.run_until(simulation.settled_leader)
    simulation.run(50 * MILLISECOND)
    simulation.network = network
    Schedule(simulation, random, weights).play(steps, max_pause)
    simulation.check_survival()
    return simulation
