"""The duty of rolling weights out: whose fence goes to hosts, and how long a new holder waits."""

import json
from types import SimpleNamespace

import pytest

from hopsail.configuration.route_table import RouteTable
from hopsail.controlplane.commands import Command, CommandKind
from hopsail.controlplane.shards import SHARD_COUNT, shard_of_service
from hopsail.controlplane.rollouts import Rollouts
from hopsail.controlplane.service_state import ServiceState
from hopsail.feed.journal import Journal
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase
from hopsail.http.client import CLOSE
from hopsail.http.message import Response
from hopsail.net.counters import Counters

MS = 1_000_000
LEASE_MS, UNFREEZE_MS = 3000, 300
SERVICE, MODEL = "s-a", "m-1"
STEP = 40 * MS


class FakeShard:
    """Applies what is proposed at once, at an index of its own."""

    def __init__(self):
        self.leads, self.state, self.index = True, ServiceState(), 0
        self.replica = SimpleNamespace(lease_valid=lambda now: self.leads)

    def apply(self, command: Command):
        self.index += 1
        return self.state.apply(self.index, command)

    def propose(self, now, command, done) -> bool:
        if not self.leads:
            return False
        done(self.apply(command))
        return True


class Plane:
    """A control process with one host of one service."""

    def __init__(self, name: str = "core-1", shard: FakeShard | None = None):
        self.now, self.look, self.orders = 1_000_000_000, None, []
        self.targets_named = []
        self.loop = SimpleNamespace(now=lambda: self.now)
        self.settings = SimpleNamespace(
            node_name=name,
            bounds=SimpleNamespace(apply_one_ms=8000, lease_ms=LEASE_MS, unfreeze_ms=UNFREEZE_MS),
        )
        services = [{"Name": SERVICE, "Runtime": {"Models": [{"Name": MODEL}]}}]
        self.table = RouteTable({"Revision": 1, "Routes": [], "Services": services})
        self.shard = shard or FakeShard()
        self.shards = [FakeShard() for _ in range(SHARD_COUNT)]
        self.shards[shard_of_service(SERVICE)] = self.shard
        self.host = self.listed(1)
        view = SimpleNamespace(by_service=lambda service: [self.host], get=lambda identifier: self.host)
        self.platform = SimpleNamespace(view=view)
        self.journal, self.counters = Journal(1, 1000), Counters("test")
        self.http = SimpleNamespace(call=self._call)
        self.rollouts = Rollouts(self)

    @staticmethod
    def listed(revision: int) -> Instance:
        models = (ModelRevision(MODEL, revision),)
        address = Address("10.0.0.1", 8080)
        return Instance("i-1", SERVICE, address, "z", 8, Phase.SERVING, 0, models, "v1")

    def after(self, _milliseconds, act) -> None:
        self.look = act

    def _call(self, address, method, path, headers, body, timeout, done) -> None:
        self.targets_named.append(dict(headers).get("hopsail-target-instance"))
        if method == "POST":
            self.orders.append((self.now, json.loads(body)))
            done(Response(202, [], b""))
        else:
            done(None)

    def name(self, revision: int) -> None:
        self.shard.apply(Command(CommandKind.NAME_REVISION, 0, MODEL, revision, "", b""))
        self.rollouts.wake()

    def run(self, duration: int) -> None:
        for _ in range(duration // STEP):
            self.now += STEP
            self.look()


@pytest.fixture
def plane() -> Plane:
    return Plane()


def test_a_host_behind_its_target_is_ordered_to_it(plane):
    plane.name(2)
    plane.run(4000 * MS)
    _, order = plane.orders[0]
    duty = plane.shard.state.roles[SERVICE]
    assert (order["OrderKind"], order["Model"], order["Revision"]) == ("Revision", MODEL, 2)
    assert (order["Owner"], order["FenceToken"]) == (duty.owner, duty.fencing_token)


def test_each_report_goes_on_a_connection_of_its_own(plane):
    """An earlier report that is told twice would stand for the next one on its connection."""
    closing = []
    call = plane.http.call

    def noted(address, method, path, headers, *rest):
        if method == "GET":
            closing.append(CLOSE in headers)
        call(address, method, path, headers, *rest)

    plane.http.call = noted
    plane.name(2)
    plane.run(4000 * MS)
    assert closing and all(closing)


def test_orders_and_reports_name_the_host_that_they_are_for(plane):
    """Its address may have passed to another host, or the same one may have started anew."""
    plane.name(2)
    plane.run(4000 * MS)
    assert len(plane.targets_named) > len(plane.orders) > 0
    assert set(plane.targets_named) == {"i-1"}


def test_nothing_is_ordered_while_all_hosts_hold_the_target(plane):
    plane.host = plane.listed(2)
    plane.name(2)
    plane.run(4000 * MS)
    assert (plane.orders, plane.shard.state.roles) == ([], {})


def test_the_duty_is_released_when_all_is_done(plane):
    plane.name(2)
    plane.run(1000 * MS)
    plane.host = plane.listed(2)
    plane.run(1000 * MS)
    assert plane.shard.state.roles[SERVICE].released
    assert plane.rollouts.running == {}


def test_a_process_that_does_not_lead_orders_nothing(plane):
    plane.shard.leads = False
    plane.name(2)
    plane.run(4000 * MS)
    assert plane.orders == []


def test_a_holder_after_another_waits_for_the_lease(plane):
    plane.shard.apply(Command(CommandKind.ACQUIRE_ROLE, 0, SERVICE, 0, "core-9", b""))
    plane.name(2)
    began = plane.now
    plane.run(8000 * MS)
    assert plane.orders[0][0] - began >= LEASE_MS * MS


def test_a_fence_that_has_passed_to_another_holder_orders_nothing(plane):
    """The leadership is lost and won again between two looks, and another process held the duty meanwhile."""
    plane.name(2)
    plane.run(200 * MS)
    old = plane.shard.state.roles[SERVICE].fencing_token
    plane.shard.apply(Command(CommandKind.ACQUIRE_ROLE, 0, SERVICE, 0, "core-9", b""))
    plane.orders.clear()
    plane.name(3)
    passed = plane.now
    plane.run(8000 * MS)
    assert plane.orders
    assert all(order["FenceToken"] > old + 1 for _, order in plane.orders)
    assert plane.orders[0][0] - passed >= LEASE_MS * MS


class TwoModels(Plane):
    """Its host has two models and has seen a fence that is higher than the first one given out here."""

    MODELS = (MODEL, "m-2")

    def __init__(self):
        super().__init__()
        services = [{"Name": SERVICE, "Runtime": {"Models": [{"Name": name} for name in self.MODELS]}}]
        self.table = RouteTable({"Revision": 1, "Routes": [], "Services": services})
        self.seen_fence, self.refused = None, []

    @classmethod
    def listed(cls, revision: int) -> Instance:
        models = tuple(ModelRevision(name, revision) for name in cls.MODELS)
        return Instance("i-1", SERVICE, Address("10.0.0.1", 8080), "z", 8, Phase.SERVING, 0, models, "v1")

    def _call(self, address, method, path, headers, body, timeout, done) -> None:
        if method == "GET":
            done(None)
            return
        order = json.loads(body)
        self.orders.append((self.now, order))
        self.seen_fence = self.seen_fence or order["FenceToken"] + 1
        fenced = order["FenceToken"] < self.seen_fence
        if fenced:
            self.refused.append(order["FenceToken"])
        done(Response(412 if fenced else 202, [], b""))


def test_a_lost_fence_is_lost_for_all_models_of_its_service():
    plane = TwoModels()
    for model in plane.MODELS:
        plane.shard.apply(Command(CommandKind.NAME_REVISION, 0, model, 2, "", b""))
        plane.rollouts.wake()
        plane.run(2 * STEP)
    plane.run(20_000 * MS)
    assert len(plane.refused) == 1, "an order under a fence that was known to be lost"
    ordered = {order["Model"] for _, order in plane.orders if order["FenceToken"] >= plane.seen_fence}
    assert ordered == set(plane.MODELS)
