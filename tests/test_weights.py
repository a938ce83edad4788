"""Named versions, their roll-out to simulated hosts, and what data planes make of the announcements."""

import heapq
import itertools
import random

import pytest

from hopsail.hosts.instance import Address, Phase
from hopsail.weights.eligibility import Eligibility, EligibilityBounds, SeenLoad, eligible, held_revision
from hopsail.weights.load import HostLoad, HostLoadError, LoadPhase, decode_load, encode_load, merge_load
from hopsail.weights.named import NamedRevisions
from hopsail.weights.rollout import (
    Announce,
    AskReport,
    FenceError,
    HostInfo,
    Rollout,
    RolloutRules,
    SendOrder,
)
from hopsail.weights.rules import third_of_hosts
from hopsail.weights.target import MAX_MODELS, TargetError, WeightTargets

MS = 1_000_000
S = 1_000 * MS
MODEL = "daka510000"
LATENCY = 5 * MS
LIST_LAG = 800 * MS
LIST_PERIOD = 700 * MS
ANSWER_WAIT = 400 * MS
DEADLINE = 6_500 * MS
BLOCKED = (LoadPhase.PREPARING, LoadPhase.LOADING)


# --- simulated hosts


class SimulatedHost:
    """A host that loads by `defer`, reports what was some time ago, and can be restarted."""

    def __init__(self, number, runs_ns=600 * MS, load_ns=400 * MS, report_lag=250 * MS, named_from=0):
        self.number = number
        self.life = 0
        self.runs_ns = runs_ns
        self.load_ns = load_ns
        self.report_lag = report_lag
        self.named_from = named_from
        self.history = [(-S, 1, False)]
        self.fence_seen = 0
        self.loading_until = None
        self.loading_revision = 0
        self.call_sequence = 0
        self.hung = False
        self.loads = 0

    @property
    def identifier(self):
        return f"i-{self.number}-{self.life}"

    @property
    def address(self):
        return Address("10.0.0.1", self.number + 1)

    @property
    def revision(self):
        return self.history[-1][1]

    def settle(self, now):
        if self.loading_until is not None and now >= self.loading_until:
            self.history.append((self.loading_until, self.loading_revision, False))
            self.loading_until = None

    def order(self, now, identifier, body):
        self.settle(now)
        if self.hung:
            return None
        if identifier != self.identifier:
            return 421
        if body["FenceToken"] < self.fence_seen:
            return 412
        self.fence_seen = body["FenceToken"]
        if body["Revision"] > 1 and now < self.named_from:
            return 400
        if self.loading_until is not None:
            return 409
        if body["Revision"] <= self.revision:
            return 200
        self.call_sequence += 1
        self.loads += 1
        self.loading_until = now + self.runs_ns + self.load_ns
        self.loading_revision = body["Revision"]
        self.history.append((now, self.revision, True))
        return 202

    def report(self, now):
        self.settle(now)
        if self.hung:
            return None
        as_of = now - self.report_lag
        _, revision, saturated = [one for one in self.history if one[0] <= as_of][-1]
        models = [{"Name": MODEL, "Revision": revision, "Adapters": []}]
        return {"Models": models, "Saturated": saturated, "CallSeq": self.call_sequence}

    def restart(self, now):
        self.settle(now)
        self.life += 1
        self.loading_until = None
        self.fence_seen = 0
        self.call_sequence = 0
        self.history = [(now - S, self.revision, False)]


class Sent:
    """An order that reached the network."""

    def __init__(self, at, owner, fence, host):
        self.at = at
        self.owner = owner
        self.fence = fence
        self.host = host


class Holder:
    """A process that may run the roll-out, with a lease that ends at `lease_until`."""

    def __init__(self, name, model=MODEL, rules=None):
        self.rollout = Rollout(name, rules or RolloutRules(), model)
        self.name = name
        self.lease_until = 1 << 62
        self.acquired_at = None


class Simulation:
    """Holders, hosts and a network on simulated time; `fault(number)` names the fault of a message."""

    def __init__(self, hosts, fault=lambda number: None):
        self.now = 0
        self.hosts = {host.number: host for host in hosts}
        self.events = []
        self.order_of_events = itertools.count()
        self.message_count = 0
        self.fault = fault
        self.holders = []
        self.sent = []
        self.reports_asked = 0
        self.loads = {}
        self.most_blocked = 0
        self.most_loading = 0
        self.named = NamedRevisions()
        self.cut = set()

    def at(self, when, call):
        heapq.heappush(self.events, (when, next(self.order_of_events), call))

    def add(self, holder):
        self.holders.append(holder)
        self.list_hosts(holder)
        return holder

    def restart_at(self, when, number):
        self.at(when, lambda: self.hosts[number].restart(self.now))

    def name(self, revision):
        self.named.name(self.now, revision)
        for holder in self.holders:
            self.update(holder)

    def listed(self):
        return [
            HostInfo(
                host.identifier,
                host.address,
                self.listed_revision(host),
                Phase.SERVING,
            )
            for host in self.hosts.values()
        ]

    def listed_revision(self, host):
        host.settle(self.now)
        known = [one for one in host.history if one[0] <= self.now - LIST_LAG]
        return (known or host.history)[-1][1]

    def update(self, holder):
        holder.rollout.update(self.now, self.listed(), self.named)

    def list_hosts(self, holder):
        self.update(holder)
        self.at(self.now + LIST_PERIOD, lambda: self.list_hosts(holder))

    def run(self, until):
        while True:
            due = min((holder.rollout.due for holder in self.holders), default=until)
            event = self.events[0][0] if self.events else until
            following = max(self.now, min(due, event))
            if following >= until:
                self.now = until
                return
            self.now = following
            if event <= following:
                heapq.heappop(self.events)[2]()
                continue
            for holder in self.holders:
                if holder.rollout.due <= self.now:
                    self.step(holder)

    def step(self, holder):
        for action in holder.rollout.step(self.now, self.now < holder.lease_until):
            if isinstance(action, Announce):
                self.announce(action)
            elif isinstance(action, SendOrder):
                self.send_order(holder, action)
            else:
                self.ask_report(holder, action)
        assert holder.rollout.due > self.now

    def announce(self, action):
        earlier = self.loads.get(action.host)
        if earlier is not None and earlier.fence == action.load.fence:
            assert action.load.serial > earlier.serial
        self.loads[action.host] = merge_load(earlier, action.load) if earlier else action.load
        live = {host.identifier for host in self.hosts.values()}
        blocked = [name for name, load in self.loads.items() if load.blocks and name in live]
        self.most_blocked = max(self.most_blocked, len(blocked))

    def send_order(self, holder, action):
        self.sent.append(Sent(self.now, holder.name, action.body["FenceToken"], action.host))
        assert self.loads[action.host].blocks
        host = self.hosts[action.address.port - 1]

        def at_host():
            status = host.order(self.now, action.host, action.body)
            loading = [one for one in self.hosts.values() if one.loading_until is not None]
            self.most_loading = max(
                self.most_loading, len([one for one in loading if self.now < one.loading_until])
            )
            return status

        def answer(status):
            holder.rollout.order_answered(self.now, action.host, status, action.serial)

        self.exchange(holder, at_host, answer)

    def ask_report(self, holder, action):
        self.reports_asked += 1
        host = self.hosts[action.address.port - 1]

        def answer(report):
            holder.rollout.report_answered(self.now, action.host, report, action.serial)

        self.exchange(holder, lambda: host.report(self.now), answer)

    def exchange(self, holder, at_host, answer):
        """Carry a call; each call is one message there and one back."""
        asked_at = self.now

        def arrive():
            result = at_host()
            if result is not None and holder.name not in self.cut:
                self.carry(lambda: answer(result))

        self.at(asked_at + ANSWER_WAIT, lambda: answer(None))
        if holder.name not in self.cut:
            self.carry(arrive)

    def carry(self, deliver):
        fault = self.fault(self.message_count)
        self.message_count += 1
        if fault == "lost":
            return
        self.at(self.now + (700 * MS if fault == "delayed" else LATENCY), deliver)
        if fault == "doubled":
            self.at(self.now + 90 * MS, deliver)

    def finished_at(self):
        """Run until all hosts hold the target and are announced as usable; return when."""
        while self.now < 60 * S:
            self.run(self.now + 50 * MS)
            held = all(host.revision >= self.named.newest for host in self.hosts.values())
            free = all(self.is_free(host) for host in self.hosts.values())
            if held and free:
                return self.now
        raise AssertionError("the roll-out does not end")

    def is_free(self, host):
        load = self.loads.get(host.identifier)
        return load is None or not load.blocks


def simulation_of(count, fault=lambda number: None, **host):
    simulation = Simulation([SimulatedHost(number, **host) for number in range(count)], fault)
    holder = simulation.add(Holder("node-1"))
    holder.rollout.acquire(0, 1, False)
    return simulation


def assert_fences_rise(simulation):
    for host in {order.host for order in simulation.sent}:
        fences = [order.fence for order in simulation.sent if order.host == host]
        assert fences == sorted(fences)


# --- named versions


def test_named_versions_only_rise():
    targets = WeightTargets()
    assert targets.revision("m") is None
    assert targets.name("m", 2)
    assert not targets.name("m", 2)
    assert not targets.name("m", 1)
    assert targets.revision("m") == 2
    assert targets.name("m", 5)
    assert targets.name("n", 1)
    assert targets.all() == {"m": 5, "n": 1}


def test_named_versions_are_kept():
    targets = WeightTargets()
    targets.name("n", 3)
    targets.name("m", 2)
    restored = WeightTargets.decode(targets.encode())
    assert restored.all() == targets.all()
    assert restored.encode() == targets.encode()


@pytest.mark.parametrize("model, revision", [("", 1), (5, 1), ("m", 0), ("m", -1), ("m", "2"), ("m", True)])
def test_an_improper_version_is_refused(model, revision):
    with pytest.raises(TargetError):
        WeightTargets().name(model, revision)


@pytest.mark.parametrize("data", [b"", b"[]", b'{"m":0}', b'{"m":"x"}', b"[" * 100_000])
def test_bytes_that_are_no_targets_are_refused(data):
    with pytest.raises(TargetError):
        WeightTargets.decode(data)


def test_models_are_bounded():
    targets = WeightTargets()
    for number in range(MAX_MODELS):
        targets.name(f"m-{number}", 1)
    with pytest.raises(TargetError):
        targets.name("one more", 1)
    assert targets.name("m-0", 2)


# --- announcements


def random_load(rng):
    return HostLoad(rng.choice(list(LoadPhase)), rng.randint(1, 3), rng.randint(1, 3), rng.randint(1, 3))


def test_merge_of_announcements_is_a_join():
    rng = random.Random(5)
    for _ in range(500):
        a, b, c = (random_load(rng) for _ in range(3))
        assert merge_load(a, a) == a
        assert merge_load(a, b) == merge_load(b, a)
        assert merge_load(merge_load(a, b), c) == merge_load(a, merge_load(b, c))
        joined = merge_load(a, b)
        assert (joined.fence, joined.serial) == max((a.fence, a.serial), (b.fence, b.serial))
        assert decode_load(encode_load(a)) == a


@pytest.mark.parametrize(
    "data", [b"", b"{}", b"[1,2,3]", b"[9,1,1,1]", b'[1,"2",1,1]', b"[true,1,1,1]", b"7"]
)
def test_bytes_that_are_no_announcement_are_refused(data):
    with pytest.raises(HostLoadError):
        decode_load(data)


# --- roll-out: one holder


@pytest.mark.parametrize("hosts, most", [(1, 1), (2, 1), (4, 2), (6, 2), (8, 3), (9, 3), (10, 4), (28, 10)])
def test_more_at_once_when_the_deadline_would_be_missed(hosts, most):
    simulation = simulation_of(hosts)
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE
    assert simulation.most_blocked == most


def test_at_most_twice_as_many_at_once_past_the_deadline():
    simulation = simulation_of(9)
    simulation.run(DEADLINE)
    simulation.named.name(0, 2)
    simulation.run(DEADLINE + 2 * S)
    simulation.finished_at()
    assert simulation.most_blocked == 6


@pytest.mark.parametrize("hosts, at_once", [(1, 1), (2, 1), (6, 2), (9, 3), (28, 9)])
def test_hosts_at_once(hosts, at_once):
    assert third_of_hosts(hosts) == at_once


def test_data_planes_are_told_before_the_order():
    simulation = simulation_of(1)
    rollout = simulation.holders[0].rollout
    simulation.name(2)
    actions = rollout.step(0, True)
    assert actions == [Announce("i-0-0", HostLoad(LoadPhase.PREPARING, 2, 1, 1))]
    assert rollout.step(149 * MS, True) == []
    assert rollout.due == 150 * MS
    (order,) = rollout.step(150 * MS, True)
    assert isinstance(order, SendOrder)
    assert order.body == {
        "OrderKind": "Revision",
        "Model": MODEL,
        "Revision": 2,
        "Method": "defer",
        "Owner": "node-1",
        "FenceToken": 1,
    }


def test_an_accepted_order_is_followed_by_reports_until_it_is_done():
    simulation = simulation_of(1)
    rollout = simulation.holders[0].rollout
    simulation.name(2)
    rollout.step(0, True)
    rollout.step(150 * MS, True)
    rollout.order_answered(160 * MS, "i-0-0", 202)
    (loading,) = rollout.step(160 * MS, True)
    assert loading.load.phase is LoadPhase.LOADING
    assert rollout.due == 510 * MS
    (ask,) = rollout.step(510 * MS, True)
    assert isinstance(ask, AskReport)
    rollout.report_answered(
        515 * MS, "i-0-0", {"Saturated": True, "Models": [{"Name": MODEL, "Revision": 1}]}
    )
    assert rollout.step(515 * MS, True) == []
    assert rollout.due == 665 * MS
    assert isinstance(rollout.step(665 * MS, True)[0], AskReport)
    rollout.report_answered(
        670 * MS, "i-0-0", {"Saturated": False, "Models": [{"Name": MODEL, "Revision": 2}]}
    )
    (done,) = rollout.step(670 * MS, True)
    assert done.load[:2] == (LoadPhase.DONE, 2)
    assert rollout.behind == 0
    assert rollout.loading == {}


def test_nothing_is_done_at_the_target():
    simulation = simulation_of(9)
    simulation.name(1)
    simulation.run(10 * S)
    assert simulation.sent == []
    assert simulation.reports_asked == 0
    assert simulation.loads == {}


@pytest.mark.parametrize("runs_ms, blocked", [(0, 3), (600, 3), (1000, 3), (1200, 6)])
def test_nine_hosts_end_within_the_deadline_three_at_once(runs_ms, blocked):
    """At 1,200 ms a host's report shows the end only past the 2 s for which it may hold its place."""
    simulation = simulation_of(9, runs_ns=runs_ms * MS)
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE
    assert simulation.most_loading <= 3
    assert simulation.most_blocked <= blocked
    assert len(simulation.sent) == 9
    assert all(host.loads == 1 for host in simulation.hosts.values())


def test_a_long_wait_for_runs_hurries_to_the_deadline():
    simulation = simulation_of(9, runs_ns=2000 * MS)
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE + 500 * MS
    assert len(simulation.sent) == 9


def test_reports_are_asked_only_of_hosts_under_order():
    simulation = simulation_of(9, runs_ns=0, report_lag=0)
    simulation.name(2)
    simulation.finished_at()
    assert simulation.reports_asked <= 2 * 9


@pytest.mark.parametrize("fault, released", [("lost", 1), ("doubled", 0), ("delayed", 1)])
def test_any_single_fault_of_a_message_is_survived(fault, released):
    """A host whose order is lost or late may take over 2 s and lose its place before it is done."""
    plain = simulation_of(9)
    plain.name(2)
    plain.finished_at()
    for faulty in range(plain.message_count):
        simulation = simulation_of(9, fault=lambda number, faulty=faulty: fault if number == faulty else None)
        simulation.name(2)
        assert simulation.finished_at() <= DEADLINE, faulty
        assert simulation.most_loading <= 3, faulty
        assert simulation.most_blocked <= 3 + released, faulty
        assert all(host.loads == 1 for host in simulation.hosts.values()), faulty
        assert len(simulation.sent) <= 9 + 2, faulty
        assert_fences_rise(simulation)


@pytest.mark.parametrize("seed", range(20))
def test_many_faults_are_survived(seed):
    rng = random.Random(seed)
    faults = {n: rng.choice(["lost", "doubled", "delayed"]) for n in range(2000) if rng.random() < 0.25}
    simulation = simulation_of(9, fault=faults.get)
    simulation.name(2)
    assert simulation.finished_at() <= 20 * S
    assert len(simulation.sent) <= 60


def test_a_host_restarted_while_loading_is_ordered_again():
    for restart_ms in range(100, 2000, 100):
        simulation = simulation_of(3)
        simulation.name(2)
        simulation.restart_at(restart_ms * MS, 0)
        assert simulation.finished_at() <= DEADLINE, restart_ms
        assert len(simulation.sent) <= 3 + 6, restart_ms


def test_a_host_that_keeps_its_name_but_lost_the_load_is_ordered_again():
    simulation = simulation_of(1)
    simulation.name(2)

    def lose():
        host = simulation.hosts[0]
        host.restart(simulation.now)
        host.life = 0

    simulation.at(500 * MS, lose)
    assert simulation.finished_at() <= DEADLINE
    assert len(simulation.sent) == 2


def test_a_hung_host_does_not_hold_up_the_others():
    simulation = simulation_of(9)
    simulation.hosts[0].hung = True
    simulation.hosts[1].hung = True
    simulation.name(2)
    simulation.run(DEADLINE)
    assert all(host.revision == 2 for host in simulation.hosts.values() if not host.hung)
    simulation.run(30 * S)
    to_hung = [order for order in simulation.sent if order.host in ("i-0-0", "i-1-0")]
    assert len(to_hung) <= 2 * 30
    simulation.hosts[0].hung = False
    simulation.hosts[1].hung = False
    assert simulation.finished_at() <= 36 * S


def test_a_hung_host_is_usable_again_while_it_waits():
    simulation = simulation_of(1)
    simulation.hosts[0].hung = True
    simulation.name(2)
    simulation.run(2100 * MS)
    assert simulation.loads["i-0-0"].phase is LoadPhase.IDLE


def test_a_host_that_never_ends_its_load_does_not_hold_up_the_others():
    simulation = simulation_of(9)
    simulation.hosts[0].runs_ns = 1000 * S
    simulation.name(2)
    simulation.run(DEADLINE)
    assert all(host.revision == 2 for host in simulation.hosts.values() if host.number)
    assert simulation.loads["i-0-0"].phase is LoadPhase.LOADING
    assert len(simulation.sent) == 9


def test_a_version_not_named_at_the_host_is_tried_again():
    simulation = simulation_of(9, named_from=1 * S, runs_ns=0)
    simulation.name(2)
    simulation.run(900 * MS)
    assert len(simulation.sent) <= 3 * 3
    assert simulation.finished_at() <= DEADLINE


def test_an_order_under_way_is_waited_for():
    simulation = simulation_of(1)
    simulation.hosts[0].order(0, "i-0-0", {"FenceToken": 1, "Revision": 2})
    simulation.name(2)
    simulation.finished_at()
    assert simulation.hosts[0].loads == 1
    assert len(simulation.sent) == 1


def test_a_target_that_rises_meanwhile_is_reached():
    for rise_ms in range(0, 2000, 100):
        simulation = simulation_of(3)
        simulation.name(2)
        simulation.at(rise_ms * MS, lambda simulation=simulation: simulation.name(3))
        simulation.run(rise_ms * MS + 1)
        simulation.finished_at()
        assert all(host.revision == 3 for host in simulation.hosts.values()), rise_ms


def test_a_target_never_falls():
    simulation = simulation_of(1)
    simulation.name(3)
    simulation.name(2)
    simulation.run(200 * MS)
    assert simulation.loads["i-0-0"].revision == 3


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.REMOVED])
def test_hosts_that_leave_are_left_out(phase):
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    rollout.update(0, [HostInfo("i-1", address, 1, phase)], named_at(0, 2))
    assert rollout.step(0, True) == []
    rollout.update(0, [HostInfo("i-1", address, 1, Phase.SERVING)], named_at(0, 2))
    assert len(rollout.step(0, True)) == 1
    rollout.update(10 * MS, [HostInfo("i-1", address, 1, phase)], named_at(0, 2))
    assert rollout.step(200 * MS, True) == []
    assert rollout.loading == {}


def test_idle_hosts_and_loads_begun_by_an_earlier_holder_come_first():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    hosts = [
        HostInfo("i-1", address, 1, Phase.SERVING, in_flight=5),
        HostInfo("i-2", address, 1, Phase.SERVING, in_flight=2),
        HostInfo("i-3", address, 1, Phase.SERVING, in_flight=9, loading=True),
        *(HostInfo(f"i-{n}", address, 1, Phase.SERVING, in_flight=9) for n in range(4, 7)),
    ]
    rollout.update(0, hosts, named_at(0, 2))
    assert [action.host for action in rollout.step(0, True)] == ["i-3", "i-2"]


def test_announcements_are_renewed_before_data_planes_drop_them():
    simulation = simulation_of(1)
    simulation.hosts[0].runs_ns = 20 * S
    simulation.name(2)
    serials = []
    for _ in range(15):
        simulation.run(simulation.now + 1 * S)
        serials.append(simulation.loads["i-0-0"].serial)
    assert len(set(serials)) >= 10


def test_answers_that_are_not_awaited_are_ignored():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    rollout.update(0, [HostInfo("i-1", Address("10.0.0.1", 80), 1, Phase.SERVING)], named_at(0, 2))
    rollout.order_answered(0, "i-1", 200)
    rollout.step(0, True)
    rollout.order_answered(1 * MS, "i-1", 200)
    rollout.report_answered(1 * MS, "i-1", {"Saturated": False, "Models": [{"Name": MODEL, "Revision": 2}]})
    (order,) = rollout.step(150 * MS, True)
    rollout.order_answered(160 * MS, "i-1", 200, order.serial + 1)
    assert rollout.behind == 1
    rollout.order_answered(160 * MS, "i-1", 200, order.serial)
    assert rollout.behind == 0


@pytest.mark.parametrize(
    "report",
    [
        None,
        [],
        {"Saturated": False},
        {"Saturated": 0, "Models": [{"Name": MODEL, "Revision": 2}]},
        {"Saturated": False, "Models": [5, {"Name": "other", "Revision": 2}]},
        {"Saturated": False, "Models": [{"Name": MODEL, "Revision": "2"}]},
    ],
)
def test_a_report_that_says_nothing_is_asked_for_again(report):
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    rollout.update(0, [HostInfo("i-1", Address("10.0.0.1", 80), 1, Phase.SERVING)], named_at(0, 2))
    rollout.step(0, True)
    rollout.step(150 * MS, True)
    rollout.order_answered(160 * MS, "i-1", 202)
    rollout.step(510 * MS, True)
    rollout.report_answered(520 * MS, "i-1", report)
    assert rollout.step(520 * MS, True) == []
    assert rollout.loading == {"i-1": LoadPhase.LOADING}
    assert isinstance(rollout.step(rollout.due, True)[0], AskReport)


# --- roll-out: fences and leases


def test_fences_only_rise():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 5, False)
    for fence in (5, 4):
        with pytest.raises(FenceError):
            rollout.acquire(0, fence, False)
    rollout.release(1)
    with pytest.raises(FenceError):
        rollout.acquire(2, 5, False)
    rollout.acquire(2, 6, False)
    assert rollout.fence == 6


def test_orders_may_be_sent_only_while_the_lease_is_held():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    assert not rollout.may_send(0, True)
    rollout.acquire(0, 1, False)
    assert rollout.may_send(0, True)
    assert not rollout.may_send(0, False)
    rollout.release(1)
    assert not rollout.may_send(1, True)


def test_the_wait_after_another_holder_is_never_shortened():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, True)
    assert not rollout.may_send(3300 * MS - 1, True)
    rollout.acquire(100 * MS, 2, False)
    assert not rollout.may_send(3300 * MS - 1, True)
    assert rollout.may_send(3300 * MS, True)


def report_of(revision, saturated):
    return {"Saturated": saturated, "Models": [{"Name": MODEL, "Revision": revision}]}


def ordered_rollout(hosts=1):
    """Return a roll-out that has sent its first orders, at 150 ms."""
    rollout = Rollout("node-1", RolloutRules(at_once=lambda count: count), MODEL)
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    rollout.update(0, [HostInfo(f"i-{n}", address, 1, Phase.SERVING) for n in range(hosts)], named_at(0, 2))
    rollout.step(0, True)
    orders = rollout.step(150 * MS, True)
    assert [type(order) for order in orders] == [SendOrder] * hosts
    return rollout


def kinds_until(rollout, until, answer):
    """Step the roll-out to a time, with reports answered at once; return when what was sent."""
    kinds = []
    while rollout.due <= until:
        now = rollout.due
        for action in rollout.step(now, True):
            if isinstance(action, AskReport):
                rollout.report_answered(now, action.host, answer)
            if not isinstance(action, Announce):
                kinds.append((now, type(action)))
    return kinds


def test_a_report_that_may_be_older_than_the_order_does_not_lead_to_another_order():
    rollout = ordered_rollout()
    rollout.order_answered(160 * MS, "i-0", 202)
    kinds = kinds_until(rollout, 1000 * MS, report_of(1, False))
    orders = [at for at, kind in kinds if kind is SendOrder]
    assert kinds[0] == (510 * MS, AskReport)
    assert orders
    assert orders[0] >= 150 * MS + 600 * MS


def test_orders_that_are_sent_again_are_spaced():
    rollout = ordered_rollout(hosts=6)
    for number in range(6):
        rollout.order_answered(160 * MS, f"i-{number}", 421)
    kinds = kinds_until(rollout, 1900 * MS, report_of(1, False))
    orders = [at for at, kind in kinds if kind is SendOrder]
    assert len(orders) >= 6
    assert all(after - before >= 50 * MS for before, after in itertools.pairwise(orders))


def test_a_host_that_lost_its_load_counts_as_not_ordered():
    rollout = ordered_rollout()
    rollout.order_answered(160 * MS, "i-0", 202)
    kinds = kinds_until(rollout, 850 * MS, report_of(1, False))
    assert kinds[-1][1] is SendOrder
    rollout.order_answered(851 * MS, "i-0", 421)
    while rollout.due < 2000 * MS:
        rollout.step(rollout.due, True)
    assert rollout.loading == {"i-0": LoadPhase.LOADING}
    (given_back,) = rollout.step(2000 * MS, True)
    assert given_back.load.phase is LoadPhase.IDLE
    assert rollout.loading == {}


def test_the_data_planes_hear_of_a_target_that_rises_before_the_order():
    rollout = Rollout("node-1", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    host = HostInfo("i-0", Address("10.0.0.1", 80), 1, Phase.SERVING)
    rollout.update(0, [host], named_at(0, 2))
    rollout.step(0, True)
    rollout.update(50 * MS, [host], named_at(50 * MS, 3))
    announce, order = rollout.step(150 * MS, True)
    assert announce.load[:2] == (LoadPhase.PREPARING, 3)
    assert order.body["Revision"] == 3


def test_a_lost_fence_stops_all_orders_until_a_higher_one():
    simulation = simulation_of(9)
    for host in simulation.hosts.values():
        host.fence_seen = 7
    rollout = simulation.holders[0].rollout
    simulation.name(2)
    simulation.run(10 * S)
    assert rollout.fence_lost
    assert len(simulation.sent) == 3
    rollout.acquire(simulation.now, 8, False)
    assert not rollout.fence_lost
    simulation.finished_at()
    assert_fences_rise(simulation)


def test_an_order_is_not_sent_once_the_lease_has_ended():
    for end_ms in range(0, 3000, 70):
        simulation = simulation_of(9)
        simulation.holders[0].lease_until = end_ms * MS
        simulation.name(2)
        simulation.run(20 * S)
        assert all(order.at < end_ms * MS for order in simulation.sent)


@pytest.mark.parametrize("cut_ms", range(0, 2500, 130))
def test_after_a_cut_the_holders_do_not_take_turns_within_the_lease(cut_ms):
    simulation = simulation_of(9)
    old = simulation.holders[0]
    new = simulation.add(Holder("node-2"))
    lease_end = cut_ms * MS + 1 * S
    old.lease_until = lease_end
    simulation.at(cut_ms * MS, lambda: simulation.cut.add(old.name))
    simulation.at(lease_end, lambda: new.rollout.acquire(simulation.now, 2, True))
    simulation.name(2)
    simulation.run(lease_end + 1)
    simulation.finished_at()
    by_old = [order.at for order in simulation.sent if order.owner == old.name]
    by_new = [order.at for order in simulation.sent if order.owner == new.name]
    assert all(at < lease_end for at in by_old)
    assert all(at >= lease_end + 3 * S for at in by_new)
    assert_fences_rise(simulation)
    assert simulation.most_loading <= 6


def test_a_named_successor_goes_on_at_once():
    simulation = simulation_of(9)
    old = simulation.holders[0]
    new = simulation.add(Holder("node-2"))

    def hand_over():
        old.rollout.release(simulation.now)
        new.rollout.acquire(simulation.now, 2, False)

    simulation.at(1 * S, hand_over)
    simulation.name(2)
    simulation.run(1 * S + 1)
    assert simulation.finished_at() <= DEADLINE + 1 * S
    assert all(order.owner == new.name for order in simulation.sent if order.at > 1 * S)
    assert_fences_rise(simulation)


def test_a_lease_that_lapses_for_a_moment_is_taken_up_again():
    simulation = simulation_of(9)
    holder = simulation.holders[0]
    holder.lease_until = 200 * MS
    simulation.at(1200 * MS, lambda: setattr(holder, "lease_until", 1 << 62))
    simulation.name(2)
    assert simulation.finished_at() <= DEADLINE + 1 * S


# --- eligibility

BOUNDS = EligibilityBounds()


def named_at(when, *revisions):
    named = NamedRevisions()
    for revision in revisions:
        named.name(when, revision)
    return named


def seen(phase, revision, at):
    return SeenLoad(HostLoad(phase, revision, 1, 1), at)


@pytest.mark.parametrize("phase", BLOCKED)
def test_a_host_is_not_used_while_it_loads(phase):
    load = seen(phase, 2, 1 * S)
    assert eligible(1 * S, 1, load, named_at(0, 2), BOUNDS) is Eligibility.LOADING
    assert eligible(6 * S, 1, load, named_at(0, 2), BOUNDS) is Eligibility.LOADING
    assert eligible(6 * S + 1, 1, load, named_at(0, 2), BOUNDS) is Eligibility.OK
    assert eligible(2 * S, 2, load, named_at(0, 2), BOUNDS) is Eligibility.OK


@pytest.mark.parametrize("phase", [LoadPhase.IDLE, LoadPhase.DONE])
def test_a_host_is_used_when_it_does_not_load(phase):
    assert eligible(1 * S, 1, seen(phase, 2, 1 * S), named_at(0, 2), BOUNDS) is Eligibility.OK


def test_an_older_version_is_not_used_past_the_bound():
    limit = 10 * S + DEADLINE
    assert eligible(limit, 1, None, named_at(10 * S, 2), BOUNDS) is Eligibility.OK
    assert eligible(limit + 1, 1, None, named_at(10 * S, 2), BOUNDS) is Eligibility.TOO_OLD
    assert eligible(limit + 1, 2, None, named_at(10 * S, 2), BOUNDS) is Eligibility.OK
    assert eligible(limit + 1, 1, None, None, BOUNDS) is Eligibility.OK
    assert (
        eligible(limit + 1, 1, seen(LoadPhase.IDLE, 2, 0), named_at(10 * S, 2), BOUNDS) is Eligibility.TOO_OLD
    )


def test_a_finished_load_counts_before_the_list_shows_it():
    done = seen(LoadPhase.DONE, 2, 0)
    assert held_revision(1, done) == 2
    assert held_revision(3, done) == 3
    assert held_revision(1, seen(LoadPhase.LOADING, 2, 0)) == 1
    assert eligible(100 * S, 1, done, named_at(0, 2), BOUNDS) is Eligibility.OK


# --- roll-out: groups of hosts that do the same work


def grouped(sizes):
    """Hosts of groups with so many members, all behind."""
    hosts = []
    for group, size in sizes.items():
        for number in range(size):
            address = Address("10.0.0.1", 1000 + len(hosts))
            hosts.append(HostInfo(f"{group}-{number}", address, 1, Phase.SERVING, group=group))
    return hosts


def started_at_once(sizes, rules=None):
    rollout = Rollout("owner", rules or RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    rollout.update(0, grouped(sizes), named_at(0, 2))
    actions = rollout.step(0, True)
    return [action.host.partition("-")[0] for action in actions if isinstance(action, Announce)]


@pytest.mark.parametrize("sizes", [{"a": 2, "b": 4}, {"a": 2, "b": 7}, {"a": 1, "b": 5}, {"a": 3, "b": 6}])
def test_at_most_half_of_a_group_loads_at_once(sizes):
    started = started_at_once(sizes)
    assert len(started) == max(1, sum(sizes.values()) // 3)
    for group, size in sizes.items():
        assert started.count(group) <= max(1, size // 2)


def test_hosts_without_a_group_are_bounded_together_only():
    assert len(started_at_once({"": 9})) == 3


def test_a_place_that_becomes_free_in_a_group_is_used():
    rollout = Rollout("owner", RolloutRules(), MODEL)
    rollout.acquire(0, 1, False)
    hosts = grouped({"a": 2, "b": 4})
    rollout.update(0, hosts, named_at(0, 2))
    first = {action.host for action in rollout.step(0, True) if isinstance(action, Announce)}
    done = [host._replace(revision=2) if host.identifier in first else host for host in hosts]
    rollout.update(MS, done, named_at(0, 2))
    started = [a for a in rollout.step(MS, True) if isinstance(a, Announce) and a.load.blocks]
    assert len(started) == 2 and not {action.host for action in started} & first


def test_in_a_hurry_the_bound_of_groups_is_given_up():
    rollout = Rollout("owner", RolloutRules(), MODEL)
    late = RolloutRules().deadline_ns
    rollout.acquire(0, 1, False)
    rollout.update(late, grouped({"a": 2, "b": 1}), named_at(0, 2))
    started = [action for action in rollout.step(late, True) if isinstance(action, Announce)]
    assert len(started) == 2
