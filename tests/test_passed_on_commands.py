"""Commands that a process passes on to the leader, on links of a bounded rate: no lease is lost for them."""

import json
from collections import deque

import pytest
from controlplane_simulation import ControlSimulation, SimulatedChannel
from replication.linked_simulation import FRAME_BYTES, SECOND
from test_controlplane_cluster import others
from test_controlplane_processes import make_cluster  # noqa: F401
from test_controlplane_processes import put as put_revision
from test_controlplane_state import put

from hopsail.replication.messages import encode as encode_message
from hopsail.replication.state import MILLISECOND
from hopsail.rpc.structs import encode

SLOW = 5_000_000 // 8  # bytes a second
LEAST_ON_CORE = 120_000_000 // 8
QUANTUM = 16 << 10  # bytes of one connection that a link sends before the next one's turn
BODY_BYTES = 6_000_000
LOOK_EVERY = 10 * MILLISECOND


class Link:
    """A process's link out: what is sent on one connection stays in order, connections take turns."""

    def __init__(self, simulation: "LinkedControlSimulation"):
        self.simulation = simulation
        self.waiting: dict[tuple, deque] = {}  # connection -> [bytes left, what happens when they are out]
        self.busy = False

    def put(self, connection: tuple, size: int, act) -> None:
        self.waiting.setdefault(connection, deque()).append([size + FRAME_BYTES, act])
        if not self.busy:
            self.busy = True
            self._send()

    def _send(self) -> None:
        connection, queue = next(iter(self.waiting.items()))
        size = min(queue[0][0], QUANTUM)
        duration = size * SECOND // self.simulation.rate
        self.simulation.at(self.simulation.now + duration, lambda: self._sent(connection, size))

    def _sent(self, connection: tuple, size: int) -> None:
        queue = self.waiting.pop(connection)
        queue[0][0] -= size
        if not queue[0][0]:
            queue.popleft()[1]()
        if queue:
            self.waiting[connection] = queue  # behind the others
        self.busy = bool(self.waiting)
        if self.busy:
            self._send()


class LinkedChannel(SimulatedChannel):
    """Calls whose requests go out through the link."""

    def __init__(self, process, identity: str, connection: str):
        super().__init__(process, identity)
        self.connection, self.size = connection, 0

    def call(self, method: str, argument, reply_class, done, timeout: int) -> None:
        self.size = len(encode(argument))
        super().call(method, argument, reply_class, done, timeout)

    def _later(self, act) -> None:
        size, self.size = self.size, 0
        if not size:  # a reply
            super()._later(act)
            return
        link = self.simulation.link(self.process.identity)
        link.put((self.identity, self.connection), size, lambda: super(LinkedChannel, self)._later(act))


class LinkedControlSimulation(ControlSimulation):
    """Each process has one link out, with a connection for each of its channels."""

    def __init__(self, seed: int, rate: int, **options):
        self.rate = rate
        self.links: dict[str, Link] = {}
        super().__init__(seed, **options)

    def link(self, name: str) -> Link:
        return self.links.setdefault(name, Link(self))

    def channel(self, process, identity: str, connection: str) -> LinkedChannel:
        return LinkedChannel(process, identity, connection)

    def deliver_after(self, delay: int, sender: str, receiver: str, message) -> None:
        later = super().deliver_after
        self.link(sender).put(
            (receiver, "replicas"),
            len(encode_message(message)),
            lambda: later(self.network.min_delay, sender, receiver, message),
        )


@pytest.mark.parametrize("rate", [SLOW, LEAST_ON_CORE])
@pytest.mark.parametrize("alive", [2, 3])
def test_a_large_command_that_is_passed_on_costs_no_lease(rate, alive):
    """Its sender goes on acknowledging; with a third member down the lease hangs on that."""
    simulation = LinkedControlSimulation(4, rate)
    leader = simulation.run_until(simulation.settled_leader)
    passing, third = others(simulation, leader)
    if alive == 2:
        simulation.crash(third)
    simulation.run(SECOND)
    replica = simulation.nodes[leader].replica
    term, told, lost = replica.term, [], 0
    content = {"Revision": 1, "Routes": [], "Services": [], "Filler": "x" * BODY_BYTES}
    command = put(0, content)
    assert len(json.dumps(content)) > BODY_BYTES
    process = simulation.process(passing)
    process.when_awake(lambda: process.submit(0, command, told.append))
    for _ in range(4 * SECOND // LOOK_EVERY):
        simulation.run(LOOK_EVERY)
        lost += not replica.lease_valid(simulation.now)
    assert told
    assert (lost, simulation.leader(), replica.term) == (0, leader, term)


def test_operators_calls_have_a_connection_of_their_own(make_cluster):  # noqa: F811
    cluster = make_cluster()
    leader = cluster.settled()
    plane, identity = cluster.planes[leader % 3 + 1], cluster.planes[leader].identity
    assert not plane.command_channel(identity).connected
    assert cluster.submit(leader % 3 + 1, put_revision(0, 4)).status == 200
    assert plane.command_channel(identity).connected and plane.channel(identity).connected
    assert plane.command_channel(identity) is not plane.channel(identity)
