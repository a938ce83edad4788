"""Control processes in the simulation of the replicated log: shards, submissions, reads, and operators.

What runs is the processes' own code: `Decisions`, `Shard`, the states.
"""

import json
from random import Random
from types import SimpleNamespace

from hopsail.controlplane import decisions
from hopsail.controlplane.commands import Command, CommandKind, Result
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.decisions import Decisions
from hopsail.controlplane.messages import COMMAND, CommandCall, ReadCall
from hopsail.controlplane.shard import Shard
from hopsail.net.counters import Counters
from hopsail.replication.schedule import Schedule
from hopsail.replication.simulation import Network, Node, Simulation, ViolationError
from hopsail.replication.state import MILLISECOND
from hopsail.rpc.errors import CallTimeoutError
from hopsail.rpc.structs import decode, encode

OPERATOR_WAITS = 1000 * MILLISECOND  # until it sends a call again, elsewhere
OPERATOR_PAUSE = 100 * MILLISECOND
CLEAR = (200, 400, 412)


class SimulatedTimer:
    """As the loop's."""

    def __init__(self, act):
        self.act = act

    def cancel(self):
        self.act = None


class Process:
    """What `ControlPlane` is for its calls, in one life of a simulated node."""

    def __init__(self, simulation: "ControlSimulation", node: Node):
        self.simulation, self.node, self.life = simulation, node, node.incarnation
        self.identity, self.stopping = node.identity, False
        self.loop, self.counters = self, Counters("test")
        self.published = [0]  # revisions, in order
        self.shard = Shard(
            0,
            node.replica,
            ConfigurationState(),
            ConfigurationState.decoding,
            self._apply,
            lambda _, ready: simulation._store(node, ready),
            lambda _, peer, message: simulation.send(node.identity, peer, message),
            self._applied,
            ConfigurationState.judging,
            lambda act: self.after(decisions.STEP_INTERVAL_MS, act),
        )
        self.shards = [self.shard]
        self.decisions = Decisions(self)
        self.submit, self.read_configuration = self.decisions.submit, self.decisions.read_configuration

    def _apply(self, state: ConfigurationState, index: int, command: Command) -> Result:
        self.simulation.check_entry(index, command)
        return state.apply(command)

    def _applied(self, shard: Shard) -> None:
        self.published.append(shard.state.revision)
        if self.published[-1] < self.published[-2]:
            raise ViolationError(f"{self.identity} goes back: {self.published[-2:]}")

    # The loop.

    def now(self) -> int:
        return self.simulation.now

    def at(self, when: int, act) -> SimulatedTimer:
        timer = SimulatedTimer(act)
        self.simulation.at(when, lambda: self.when_awake(lambda: timer.act and timer.act()))
        return timer

    def after(self, milliseconds: float, act) -> SimulatedTimer:
        return self.at(self.now() + int(milliseconds * MILLISECOND), act)

    def soon(self, act, *arguments) -> None:
        self.at(self.now(), lambda: act(*arguments))

    def when_awake(self, act) -> None:
        self.simulation._when_awake(self.node, self.life, act)

    # Calls between processes.

    def any_other(self) -> str:
        """As the membership would name one."""
        return self.simulation.random.choice(
            [name for name in self.simulation.nodes if name != self.identity]
        )

    def channel(self, identity: str) -> "SimulatedChannel":
        return self.simulation.channel(self, identity, "replicas")

    def command_channel(self, identity: str) -> "SimulatedChannel":
        return self.simulation.channel(self, identity, "commands")

    def serve(self, method: str, argument, respond) -> None:
        handler = self.decisions.answer_command if method == COMMAND else self.decisions.answer_read
        handler(decode(type(argument), encode(argument)), respond, None)


class SimulatedChannel:
    """Calls another process; cuts and deaths lose calls and replies."""

    def __init__(self, process: Process, identity: str):
        self.process, self.identity = process, identity
        self.simulation = process.simulation

    def call(self, method: str, argument: CommandCall | ReadCall, reply_class, done, timeout: int) -> None:
        over = []

        def finish(reply, error) -> None:
            if not over:
                over.append(True)
                done(reply, error)

        def reach() -> None:
            if (self.process.identity, self.identity) not in self.simulation.cuts:
                other = self.simulation.process(self.identity)
                if other is not None:
                    other.when_awake(lambda: other.serve(method, argument, respond))

        def respond(reply) -> None:
            data = encode(reply)
            self._later(lambda: back(decode(reply_class, data)))

        def back(reply) -> None:
            if (self.identity, self.process.identity) not in self.simulation.cuts:
                self.process.when_awake(lambda: finish(reply, None))

        self.process.at(self.simulation.now + timeout, lambda: finish(None, CallTimeoutError(method)))
        self._later(reach)

    def _later(self, act) -> None:
        self.simulation.at(self.simulation.now + self.simulation._delay(), act)


class ControlSimulation(Simulation):
    """Processes in place of bare replicas."""

    def __init__(self, seed: int, **options):
        self.processes: dict[str, Process] = {}
        self.entries: dict[int, bytes] = {}
        super().__init__(seed, **options)

    def process(self, name: str) -> Process | None:
        """The running process of a node."""
        node = self.nodes.get(name)
        if node is None or node.replica is None:
            return None
        process = self.processes.get(name)
        if process is None or process.life != node.incarnation:
            process = self.processes[name] = Process(self, node)
        return process

    def channel(self, process: Process, identity: str, connection: str) -> SimulatedChannel:
        """One process's channel to another; each has a connection of its own."""
        return SimulatedChannel(process, identity)

    def check_entry(self, index: int, command: Command) -> None:
        """The same entry everywhere."""
        if self.entries.setdefault(index, command.encode()) != command.encode():
            raise ViolationError(f"two entries at {index}")

    def _work(self, node: Node) -> None:
        process = self.process(node.identity)
        if process is None:
            return
        process.shard.pump()
        if node.replica.is_leader:
            self.checker.leads(node.identity, node.replica.term)
        process.shard.compact()
        self._wake_at(node, node.replica.due)

    def restore(self) -> None:
        """Ends all faults and starts all processes."""
        self.heal()
        self.network = Network()
        for name, node in self.nodes.items():
            node.disk.delay, node.disk.refuses = 5 * MILLISECOND, False
            node.frozen_until = min(node.frozen_until, self.now)
            if node.replica is None:
                self.start(name)


class Change:
    """One change of an operator, sent again unchanged until there is a clear answer."""

    def __init__(self, revision: int, base: int, body: bytes, patch: bool):
        kind = CommandKind.PATCH_CONFIGURATION if patch else CommandKind.PUT_CONFIGURATION
        self.revision, self.base = revision, base
        self.command = Command(kind, base, "", 0, "", body)
        self.result: Result | None = None
        self.attempts = 0


class Operators:
    """Send changes and read; each answer is checked at once, all of them at the end."""

    def __init__(self, simulation: ControlSimulation, seed: int):
        self.simulation, self.random = simulation, Random(seed)
        self.changes: dict[int, Change] = {}
        self.reads = 0
        self._number = 0

    @property
    def acknowledged(self) -> list[Change]:
        return [change for change in self.changes.values() if change.result and change.result.status == 200]

    @property
    def newest(self) -> int:
        """The newest acknowledged revision."""
        return max((change.revision for change in self.acknowledged), default=0)

    # Calls.

    def change(self, base: int | None = None, name: str | None = None) -> Change:
        """Begins a change on the newest acknowledged revision or another one, at a process or any."""
        self._number += self.random.randint(1, 3)
        base = self.newest if base is None else base
        patch = self.random.random() < 0.4
        if patch:
            tenants = [{"Name": f"t-{self._number}", "ApiKeys": [f"k-{self._number}"]}]
            content = {"Revision": self._number, "Upsert": {"Tenants": tenants}}
        else:
            content = {"Revision": self._number, "Routes": [], "Services": [], "From": base}
        change = Change(self._number, base, json.dumps(content).encode(), patch)
        self.changes[change.revision] = change
        self._send(change, name)
        return change

    def race(self, base: int | None = None) -> tuple[Change, Change]:
        """Two changes on one revision at once, at two processes."""
        return self.change(base), self.change(base)

    def _send(self, change: Change, name: str | None = None) -> None:
        if change.result is not None:
            return
        change.attempts += 1
        simulation = self.simulation
        process = simulation.process(name or self.random.choice(list(simulation.nodes)))
        answer = SimpleNamespace(open=True)

        def told(result: Result | None) -> None:
            if not answer.open:
                return
            answer.open = False
            if result is not None and result.status in CLEAR:
                self._clear(change, result)
            else:
                simulation.at(simulation.now + OPERATOR_PAUSE, lambda: self._send(change))

        if process is not None:
            process.when_awake(lambda: process.submit(0, change.command, told))
        simulation.at(simulation.now + OPERATOR_WAITS, lambda: told(None))

    def _clear(self, change: Change, result: Result) -> None:
        if change.result is not None:
            return
        change.result = result
        if result.status == 200:
            for other in self.acknowledged:
                if other is not change and other.base == change.base:
                    raise ViolationError(
                        f"{change.revision} and {other.revision} both build on {change.base}"
                    )

    def read(self, name: str) -> list[bytes | None]:
        """Reads at a process; what comes must hold all that was acknowledged before."""
        answers: list[bytes | None] = []
        must_have = self.newest

        def told(body: bytes | None) -> None:
            answers.append(body)
            if body is not None:
                self._check_read(body, must_have)

        process = self.simulation.process(name)
        if process is not None:
            process.when_awake(lambda: process.read_configuration(told))
        return answers

    def read_until_known(self, name: str) -> bytes:
        """Reads at a process until there is an answer."""
        while True:
            answers = self.read(name)
            self.simulation.run_until(lambda answers=answers: answers)
            if answers[0] is not None:
                return answers[0]

    def _check_read(self, body: bytes, must_have: int) -> None:
        self.reads += 1
        configuration = json.loads(body) if body else {"Revision": 0}
        if configuration["Revision"] < must_have:
            raise ViolationError(f"{configuration['Revision']} is read after {must_have} was acknowledged")
        self._check_content(configuration)

    def _check_content(self, configuration: dict) -> None:
        """A configuration is what the chain of changes up to its revision makes of nothing."""
        state = ConfigurationState()
        for change in self.chain(configuration["Revision"]):
            if state.apply(change.command).status != 200:
                raise ViolationError(f"{change.revision} could not be taken")
        if configuration["Revision"] and state.configuration != configuration:
            raise ViolationError(f"{configuration['Revision']} is not what was sent")

    def chain(self, revision: int) -> list[Change]:
        """The changes that led to a revision, the first one first."""
        found: list[Change] = []
        while revision:
            found.append(self.changes[revision])
            revision = self.changes[revision].base
        return found[::-1]

    # The end.

    def check_end(self) -> None:
        """All is healed: every call gets a clear answer, every member reads the same, nothing is lost."""
        simulation = self.simulation
        simulation.restore()
        simulation.run_until(simulation.settled_leader)
        simulation.run_until(lambda: all(change.result for change in self.changes.values()))
        leader = simulation.run_until(simulation.settled_leader)
        answers = {name: self.read_until_known(name) for name in simulation.nodes[leader].replica.members.all}
        bodies = set(answers.values())
        if len(bodies) != 1:
            raise ViolationError(f"{answers} are read")
        (body,) = bodies
        taken = {change.revision for change in self.chain(json.loads(body)["Revision"] if body else 0)}
        for change in self.changes.values():
            if (change.result.status == 200) != (change.revision in taken):
                raise ViolationError(f"{change.revision}: {change.result}, but taken: {sorted(taken)}")


class OperatorSchedule(Schedule):
    """The replication's schedule of faults, with operators as its clients."""

    def __init__(self, simulation: ControlSimulation, random: Random, weights, operators: Operators):
        self.operators = operators
        super().__init__(simulation, random, weights)

    def _propose(self) -> None:
        draw = self.random.random()
        if draw < 0.5:
            self.operators.change()
        elif draw < 0.8:
            self.operators.race()
        else:
            known = [0, *self.operators.changes]
            self.operators.change(base=self.random.choice(known[-4:]))

    def _read(self) -> None:
        for name in self.simulation.nodes:
            self.operators.read(name)
