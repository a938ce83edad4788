"""Control processes with their feeds, and data planes that follow them, in the simulation with faults.

What runs is the processes' own code: `Feeds`, `MajorityContact`, `ConfirmedFeeds`, `ControlLinks`, and
`DataPlane`'s calls for them. Addresses are the replicas' names with a port."""

from types import SimpleNamespace

from controlplane_simulation import ControlSimulation, Operators, Process, SimulatedChannel

from hopsail.controlplane.configuration_feed import ConfigurationFeed
from hopsail.controlplane.contact import CONFIRM
from hopsail.controlplane.feeds import Feeds
from hopsail.dataplane.controls import ControlLinks
from hopsail.dataplane.plane import DataPlane
from hopsail.dataplane.view import FleetView
from hopsail.feed.confirmed import ConfirmedFeeds
from hopsail.feed.follower import Follower, Subscription
from hopsail.feed.journal import Change, Journal
from hopsail.feed.messages import POLL
from hopsail.feed.topics import DATA_PLANE_TOPICS, Topic
from hopsail.hosts.instance import Address, Instance, Phase, encode
from hopsail.replication.simulation import Node, ViolationError
from hopsail.replication.state import MILLISECOND

CONTACT_MS = 3000
CONTACT_TIME = CONTACT_MS * MILLISECOND
TICK_MS = 20
DATA_PLANE_TICK_MS = 200
PORT = 1


def host(identifier: str, phase: Phase = Phase.SERVING) -> Instance:
    return Instance(identifier, "s", Address("10.0.0.1", 80), "z", 4, phase, 0, (), "v1")


class FeedingProcess(Process):
    """A control process with its feeds."""

    def __init__(self, simulation: "FeedSimulation", node: Node):
        super().__init__(simulation, node)
        self.journal = Journal(simulation.random.getrandbits(62) + 1, 10_000)
        self.configuration_feed = ConfigurationFeed(
            self.journal, self.after, lambda: self.shard.state, lambda table: None
        )
        settings = SimpleNamespace(
            node_name=self.identity, zone="z", bounds=SimpleNamespace(contact_ms=CONTACT_MS)
        )
        self.feeds = Feeds(
            self,
            settings,
            self.identity,
            self.journal,
            node.replica,
            self.channel,
            lambda: self.configuration_feed.is_current,
            lambda: set(simulation.gossip),
            self._told,
        )
        self.read_hosts(host("i-1"))
        self._tick()

    def read_hosts(self, *instances: Instance) -> None:
        """As read from the platform."""
        for instance in instances:
            self.journal.set(Topic.INSTANCE, instance.identifier, encode(instance))

    def _applied(self, shard) -> None:
        super()._applied(shard)
        self.configuration_feed.publish()

    def _tick(self) -> None:
        self.after(TICK_MS, self._tick)
        self.feeds.tick()

    def _told(self, changes: list[Change]) -> None:
        for topic, key, value in changes:
            if value is not None:
                self.journal.set(topic, key, value)

    def serve(self, method: str, argument, respond) -> None:
        if method == POLL:
            self.feeds.poll(argument, _Responder(respond), None)
        elif method == CONFIRM:
            self.feeds.contact.answer(argument, respond, None)
        else:
            super().serve(method, argument, respond)


class _Responder:
    """The way back of a poll; connections do not end here."""

    def __init__(self, respond):
        self._respond = respond

    def __call__(self, reply) -> None:
        self._respond(reply)

    def on_closed(self, callback) -> None:
        pass


class NamedLinks(ControlLinks):
    """Replicas have names in place of addresses."""

    def tell(self, members, as_of, others=()) -> None:
        super().tell([f"{one}:{PORT}" for one in members], as_of, [f"{one}:{PORT}" for one in others])


class SimulatedDataPlane:
    """What a data plane knows, in one life. A version that goes back is a violation."""

    _changes, _apply, _left, ready = (
        DataPlane._changes,
        DataPlane._apply,
        DataPlane._left,
        DataPlane.ready,
    )

    def __init__(self, simulation: "FeedSimulation", identity: str, seeds: list[str]):
        self.simulation, self.identity, self.stopping = simulation, identity, False
        self.loop, self.frozen_until, self.ended = self, 0, False
        self.began, self.stopped_for = simulation.now, 0
        self.revisions: list[int] = []
        self.ready_at: int | None = None
        self.view = FleetView()
        self.view.on_configuration = self._taken
        self.confirmed = ConfirmedFeeds(self.now, CONTACT_TIME, CONTACT_TIME, self._apply)
        self.controls = NamedLinks(self, 1, self._follow, self._left)
        self.controls.renew_seeds([(seed, PORT) for seed in seeds])
        self._tick()

    def _follow(self, address) -> Follower:
        channel = SimulatedChannel(self, address[0])
        channel.address = address
        return Follower(
            self,
            channel,
            Subscription(self.identity, "dataplane", "z", DATA_PLANE_TOPICS),
            self._counted_changes,
        )

    def _counted_changes(self, *told) -> None:
        self._changes(*told)
        if self.ready and self.ready_at is None:
            self.ready_at = self.now()

    def _taken(self) -> None:
        revision = self.view.table.revision
        if self.revisions and revision <= self.revisions[-1]:
            raise ViolationError(f"{self.identity} goes from {self.revisions[-1]} to {revision}")
        self.revisions.append(revision)

    def _tick(self) -> None:
        self.after(DATA_PLANE_TICK_MS, self._tick)
        self.controls.choose()
        self.confirmed.tick()
        if self.ready and self.ready_at is None:
            self.ready_at = self.now()

    @property
    def followed(self) -> set[str]:
        return {name for name, _ in self.controls.followers}

    def freeze(self, duration: int) -> None:
        """Stops the process for so many ns."""
        self.frozen_until = self.now() + duration
        self.stopped_for += duration

    def end(self) -> None:
        """Its process is killed."""
        self.ended = True

    # The loop.

    def now(self) -> int:
        return self.simulation.now

    def at(self, when: int, act):
        return Process.at(self, when, act)

    def after(self, milliseconds: float, act):
        return self.at(self.now() + int(milliseconds * MILLISECOND), act)

    def soon(self, act, *arguments) -> None:
        self.at(self.now(), lambda: act(*arguments))

    def when_awake(self, act) -> None:
        if self.ended:
            return
        if self.frozen_until > self.now():
            self.simulation.at(self.frozen_until, lambda: self.when_awake(act))
            return
        act()


class FeedSimulation(ControlSimulation):
    """Control processes with feeds; `gossip`: those that the membership of each calls alive."""

    def __init__(self, seed: int, **options):
        self.gossip: set[str] = set()
        self.planes: list[SimulatedDataPlane] = []
        super().__init__(seed, **options)
        self.gossip.update(self.nodes)

    def process(self, name: str) -> FeedingProcess | None:
        node = self.nodes.get(name)
        if node is None or node.replica is None:
            return None
        process = self.processes.get(name)
        if process is None or process.life != node.incarnation:
            process = self.processes[name] = FeedingProcess(self, node)
        return process

    def data_plane(self, seeds: list[str], identity: str = "") -> SimulatedDataPlane:
        """A data plane that starts now."""
        plane = SimulatedDataPlane(self, identity or f"edge-{len(self.planes) + 1}", seeds)
        self.planes.append(plane)
        return plane

    def cut_off(self, name: str, how: str = "both") -> None:
        """Cuts a control process off from the other control processes, not from data planes."""
        for other in self.nodes:
            if other == name:
                continue
            if how in ("both", "in"):
                self.cut(other, name)
            if how in ("both", "out"):
                self.cut(name, other)

    def cut_edge(self, plane: SimulatedDataPlane, *names: str) -> None:
        """Cuts a data plane off from control processes."""
        for name in names:
            self.cut(name, plane.identity)
            self.cut(plane.identity, name)


def started(seed: int = 3, **options) -> tuple[FeedSimulation, Operators]:
    simulation = FeedSimulation(seed, **options)
    simulation.run_until(simulation.settled_leader)
    return simulation, Operators(simulation, seed)


def acknowledged(simulation: FeedSimulation, operators: Operators, name: str | None = None) -> int:
    """The revision of a change that is acknowledged."""
    change = operators.change(name=name)
    simulation.run_until(lambda: change.result)
    assert change.result.status == 200
    return change.revision
