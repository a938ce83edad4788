"""Hosts that load weights, owners of the roll-out and their network, on simulated time."""

import heapq
import itertools

from hopsail.hosts.instance import Address, Phase
from hopsail.weights.load import LoadPhase, merge_load
from hopsail.weights.named_revisions import NamedRevisions
from hopsail.weights.rollout import (
    Announce,
    HostInfo,
    Rollout,
    RolloutRules,
    SendOrder,
)

MS = 1_000_000
S = 1_000 * MS
MODEL = "daka510000"
LATENCY = 5 * MS
LIST_LAG = 800 * MS
LIST_PERIOD = 700 * MS
ANSWER_WAIT = 400 * MS
DEADLINE = 6_500 * MS
BLOCKED = (LoadPhase.PREPARING, LoadPhase.LOADING)


class SimulatedHost:
    """A host that loads by `defer`, reports what was some time ago, and can be restarted."""

    def __init__(self, number, runs_ns=600 * MS, load_ns=400 * MS, report_lag=250 * MS, named_from=0):
        self.number = number
        self.incarnation = 0
        self.runs_ns = runs_ns
        self.load_ns = load_ns
        self.report_lag = report_lag
        self.named_from = named_from
        self.history = [(-S, 1, False)]
        self.highest_fencing_token = 0
        self.loading_until = None
        self.loading_revision = 0
        self.call_sequence = 0
        self.hung = False
        self.loads = 0

    @property
    def identifier(self):
        return f"i-{self.number}-{self.incarnation}"

    @property
    def address(self):
        return Address("10.0.0.1", self.number + 1)

    @property
    def revision(self):
        return self.history[-1][1]

    def finish_load(self, now):
        if self.loading_until is not None and now >= self.loading_until:
            self.history.append((self.loading_until, self.loading_revision, False))
            self.loading_until = None

    def order(self, now, identifier, body):
        self.finish_load(now)
        if self.hung:
            return None
        if identifier != self.identifier:
            return 421
        if body["FenceToken"] < self.highest_fencing_token:
            return 412
        self.highest_fencing_token = body["FenceToken"]
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
        self.finish_load(now)
        if self.hung:
            return None
        as_of = now - self.report_lag
        _, revision, saturated = [one for one in self.history if one[0] <= as_of][-1]
        models = [{"Name": MODEL, "Revision": revision, "Adapters": []}]
        return {"Models": models, "Saturated": saturated, "CallSeq": self.call_sequence}

    def restart(self, now):
        self.finish_load(now)
        self.incarnation += 1
        self.loading_until = None
        self.highest_fencing_token = 0
        self.call_sequence = 0
        self.history = [(now - S, self.revision, False)]


class Sent:
    """An order that reached the network."""

    def __init__(self, at, owner, fencing_token, host):
        self.at = at
        self.owner = owner
        self.fencing_token = fencing_token
        self.host = host


class LeaseOwner:
    """A process that may run the roll-out, with a lease that ends at `lease_until`."""

    def __init__(self, name, model=MODEL, rules=None):
        self.rollout = Rollout(name, rules or RolloutRules(), model)
        self.name = name
        self.lease_until = 1 << 62
        self.acquired_at = None


class Simulation:
    """Owners, hosts and a network on simulated time; `fault(number)` names the fault of a message."""

    def __init__(self, hosts, fault=lambda number: None):
        self.now = 0
        self.hosts = {host.number: host for host in hosts}
        self.events = []
        self.order_of_events = itertools.count()
        self.message_count = 0
        self.fault = fault
        self.owners = []
        self.sent = []
        self.reports_asked = 0
        self.loads = {}
        self.most_blocked = 0
        self.most_loading = 0
        self.named = NamedRevisions()
        self.cut = set()

    def at(self, when, call):
        heapq.heappush(self.events, (when, next(self.order_of_events), call))

    def add(self, owner):
        self.owners.append(owner)
        self.list_hosts(owner)
        return owner

    def restart_at(self, when, number):
        self.at(when, lambda: self.hosts[number].restart(self.now))

    def name(self, revision):
        self.named.name(self.now, revision)
        for owner in self.owners:
            self.update(owner)

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
        host.finish_load(self.now)
        known = [one for one in host.history if one[0] <= self.now - LIST_LAG]
        return (known or host.history)[-1][1]

    def update(self, owner):
        owner.rollout.update(self.now, self.listed(), self.named)

    def list_hosts(self, owner):
        self.update(owner)
        self.at(self.now + LIST_PERIOD, lambda: self.list_hosts(owner))

    def run(self, until):
        while True:
            due = min((owner.rollout.due for owner in self.owners), default=until)
            event = self.events[0][0] if self.events else until
            following = max(self.now, min(due, event))
            if following >= until:
                self.now = until
                return
            self.now = following
            if event <= following:
                heapq.heappop(self.events)[2]()
                continue
            for owner in self.owners:
                if owner.rollout.due <= self.now:
                    self.step(owner)

    def step(self, owner):
        for action in owner.rollout.step(self.now, self.now < owner.lease_until):
            if isinstance(action, Announce):
                self.announce(action)
            elif isinstance(action, SendOrder):
                self.send_order(owner, action)
            else:
                self.ask_report(owner, action)
        assert owner.rollout.due > self.now

    def announce(self, action):
        earlier = self.loads.get(action.host)
        if earlier is not None and earlier.fencing_token == action.load.fencing_token:
            assert action.load.serial > earlier.serial
        self.loads[action.host] = merge_load(earlier, action.load) if earlier else action.load
        live = {host.identifier for host in self.hosts.values()}
        blocked = [name for name, load in self.loads.items() if load.blocks and name in live]
        self.most_blocked = max(self.most_blocked, len(blocked))

    def send_order(self, owner, action):
        self.sent.append(Sent(self.now, owner.name, action.body["FenceToken"], action.host))
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
            owner.rollout.receive_order_status(self.now, action.host, status, action.serial)

        self.exchange(owner, at_host, answer)

    def ask_report(self, owner, action):
        self.reports_asked += 1
        host = self.hosts[action.address.port - 1]

        def answer(report):
            owner.rollout.receive_report(self.now, action.host, report, action.serial)

        self.exchange(owner, lambda: host.report(self.now), answer)

    def exchange(self, owner, at_host, answer):
        """Carry a call; each call is one message there and one back."""
        asked_at = self.now

        def arrive():
            result = at_host()
            if result is not None and owner.name not in self.cut:
                self.carry(lambda: answer(result))

        self.at(asked_at + ANSWER_WAIT, lambda: answer(None))
        if owner.name not in self.cut:
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
    owner = simulation.add(LeaseOwner("node-1"))
    owner.rollout.acquire(0, 1, False)
    return simulation


def assert_fences_rise(simulation):
    for host in {order.host for order in simulation.sent}:
        fencing_tokens = [order.fencing_token for order in simulation.sent if order.host == host]
        assert fencing_tokens == sorted(fencing_tokens)


def named_at(when, *revisions):
    named = NamedRevisions()
    for revision in revisions:
        named.name(when, revision)
    return named
