"""Bytes of announcements, orders and targets, and seeded roll-outs, compared to those first recorded.

`python tests/golden/test_golden_weights.py` records a data file that does not exist yet.
"""

import hashlib
import heapq
import itertools
import json
import random

from hopsail.hosts.instance import Address, Phase
from hopsail.weights.actions import Announce, HostInfo, SendOrder, order_body
from hopsail.weights.eligibility import EligibilityBounds, SeenLoad, eligible, loaded_revision
from hopsail.weights.load import HostLoad, LoadPhase, decode_load, encode_load, merge_load
from hopsail.weights.named_revisions import NamedRevisions
from hopsail.weights.rollout import Rollout, RolloutRules
from hopsail.weights.target import WeightTargets
from paths import DATA

GOLDEN_FILE = DATA / "golden/weights/golden.json"
MS = 1_000_000
MODEL = "m-a"


def compact(value):
    return json.dumps(value, separators=(",", ":")).encode()


def load_bytes():
    return {
        f"load {number}": encode_load(HostLoad(LoadPhase(number), 5 + number, 1 << 40, 7 * number)).hex()
        for number in range(4)
    }


def order_bytes():
    """An order's body as the control process sends it."""
    return {"order": compact(order_body("m-\u00e4", 3, "node-1", 12)).hex()}


def built_targets():
    targets = WeightTargets()
    for model, revision in (("m-b", 4), ("m-\u00e4", 2), ("m-b", 9)):
        targets.name(model, revision)
    return targets


class HostModel:
    """A host that takes orders, loads for a time and reports late; some answers are lost or faulty."""

    def __init__(self, number, draw):
        self.number = number
        self.draw = draw
        self.revision = 1
        self.loading_until = None
        self.loading_revision = 1
        self.fencing_token = 0

    def update(self, now):
        if self.loading_until is not None and now >= self.loading_until:
            self.revision = self.loading_revision
            self.loading_until = None

    def answer_order(self, now, body):
        self.update(now)
        if self.draw.random() < 0.1:
            return self.draw.choice((400, 429, 500, 421))
        if body["FenceToken"] < self.fencing_token:
            return 412
        self.fencing_token = body["FenceToken"]
        if self.loading_until is not None:
            return 409
        if body["Revision"] <= self.revision:
            return 200
        self.loading_until = now + self.draw.randrange(400, 2_500) * MS
        self.loading_revision = body["Revision"]
        return 202

    def report(self, now):
        self.update(now)
        if self.draw.random() < 0.1:
            return self.draw.choice((None, [], {"Saturated": 1}, {"Saturated": False, "Models": [5]}))
        models = [{"Name": "other", "Revision": 1}, {"Name": MODEL, "Revision": self.revision}]
        return {"Saturated": self.loading_until is not None, "Models": models}


class RolloutHistory:
    """One roll-out over hosts on simulated time, with losses, repeats, restarts and changes of owner."""

    def __init__(self, seed, host_count):
        self.draw = random.Random(seed)
        self.digest = hashlib.sha256()
        self.now = 0
        self.rollout = Rollout("node-1", RolloutRules(), MODEL)
        self.hosts = {f"i-{number}": HostModel(number, self.draw) for number in range(host_count)}
        self.named = NamedRevisions()
        self.answers = []
        self.numbers = itertools.count()
        self.fencing_token = 1

    def run(self, until):
        self.rollout.acquire(0, self.fencing_token, False)
        self.named.name(0, 2)
        self.update()
        while self.now < until:
            self.now += 10 * MS
            self.chance()
            self.deliver()
            if self.rollout.due <= self.now:
                self.step()
        return self.digest.hexdigest()

    def chance(self):
        chance = self.draw.random()
        if chance < 0.02:
            self.update()
        elif chance < 0.0215:
            self.named.name(self.now, self.named.newest + 1)
            self.update()
        elif chance < 0.0225:
            self.fencing_token += 1
            self.rollout.release(self.now)
            self.rollout.acquire(self.now, self.fencing_token, self.draw.random() < 0.5)
        elif chance < 0.023:
            host = self.draw.choice(list(self.hosts.values()))
            host.revision, host.loading_until = 1, None

    def update(self):
        infos = []
        for identifier, host in self.hosts.items():
            if self.draw.random() < 0.02:
                continue
            phase = Phase(1 if self.draw.random() < 0.02 else 0)
            address = Address("10.0.0.1", 80 + host.number)
            in_flight, loading = self.draw.randrange(4), self.draw.random() < 0.1
            group = f"g-{host.number % 3}" if host.number % 4 else ""
            infos.append(HostInfo(identifier, address, host.revision, phase, in_flight, loading, group))
        self.rollout.update(self.now, infos, self.named)

    def step(self):
        for action in self.rollout.step(self.now, self.draw.random() < 0.98):
            if isinstance(action, Announce):
                self.record("announce", action.host, encode_load(action.load).decode())
            elif isinstance(action, SendOrder):
                self.record("order", action.host, str(action.address), action.serial, action.body)
                self.order(action)
            else:
                self.record("report", action.host, str(action.address), action.serial)
                self.report(action)
        loading = {host: int(phase) for host, phase in self.rollout.loading.items()}
        self.record("state", self.rollout.due, self.rollout.behind, loading)

    def order(self, action):
        if self.draw.random() < 0.08:
            self.later(lambda: self.rollout.receive_order_status(self.now, action.host, None, action.serial))
            return
        status = self.hosts[action.host].answer_order(self.now, action.body)
        for _ in range(self.draw.choice((0, 1, 1, 1, 1, 2))):
            self.later(
                lambda: self.rollout.receive_order_status(self.now, action.host, status, action.serial)
            )

    def report(self, action):
        report = self.hosts[action.host].report(self.now)
        for _ in range(self.draw.choice((0, 1, 1, 1, 1, 2))):
            self.later(lambda: self.rollout.receive_report(self.now, action.host, report, action.serial))

    def later(self, call):
        at = self.now + self.draw.randrange(5, 500) * MS
        heapq.heappush(self.answers, (at, next(self.numbers), call))

    def deliver(self):
        while self.answers and self.answers[0][0] <= self.now:
            heapq.heappop(self.answers)[2]()

    def record(self, *values):
        self.digest.update(compact([self.now, *values]))


def rollout_history(seed):
    return RolloutHistory(seed, 3 + 5 * seed).run(60_000 * MS)


def eligibility_history(seed):
    """Verdicts on drawn hosts, with the revisions that count as held and required."""
    draw = random.Random(seed)
    named, bounds = NamedRevisions(), EligibilityBounds()
    digest = hashlib.sha256()
    now, load = 0, None
    for _ in range(3_000):
        now += draw.randrange(400) * MS
        if draw.random() < 0.1:
            named.name(now, named.newest + draw.randrange(3))
        if draw.random() < 0.01:
            named.require(max(0, named.newest - 1))
        if draw.random() < 0.3:
            fresh = HostLoad(
                LoadPhase(draw.randrange(4)),
                max(0, named.newest - draw.randrange(3)),
                draw.randrange(3),
                draw.randrange(99),
            )
            load = SeenLoad(merge_load(fresh, load.load) if load and draw.random() < 0.8 else fresh, now)
        revision = max(0, named.newest - draw.randrange(3))
        verdict = eligible(now, revision, load, named, bounds).value
        required = named.required(now, bounds.send_ns)
        digest.update(
            compact([verdict, loaded_revision(revision, load), required, named.superseded_at(revision)])
        )
        digest.update(encode_load(load.load) if load else b"")
    return digest.hexdigest()


def recorded():
    return {
        "loads": load_bytes(),
        "orders": order_bytes(),
        "targets": {"targets": built_targets().encode().hex()},
        "rollout histories": [rollout_history(seed) for seed in range(4)],
        "eligibility histories": [eligibility_history(seed) for seed in range(3)],
    }


def golden(name):
    return json.loads(GOLDEN_FILE.read_text())[name]


def test_golden_announcements_are_encoded_to_the_recorded_bytes():
    assert load_bytes() == golden("loads")


def test_golden_announcements_are_read_from_the_recorded_bytes_and_written_again():
    for data in golden("loads").values():
        assert encode_load(decode_load(bytes.fromhex(data))).hex() == data


def test_golden_order_has_the_recorded_body():
    assert order_bytes() == golden("orders")


def test_golden_targets_are_encoded_to_the_recorded_bytes():
    assert built_targets().encode().hex() == golden("targets")["targets"]


def test_golden_targets_are_read_from_the_recorded_bytes_and_written_again():
    data = bytes.fromhex(golden("targets")["targets"])
    assert WeightTargets.decode(data).encode() == data
    assert WeightTargets.decode(data).all() == built_targets().all()


def test_golden_rollout_histories_are_those_recorded():
    assert [rollout_history(seed) for seed in range(4)] == golden("rollout histories")


def test_golden_eligibility_histories_are_those_recorded():
    assert [eligibility_history(seed) for seed in range(3)] == golden("eligibility histories")


if __name__ == "__main__":
    with GOLDEN_FILE.open("x") as file:
        json.dump(recorded(), file, indent=1)
