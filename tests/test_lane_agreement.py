"""Data planes agree on one division of hosts: under loss, delay, doubles, restarts and false messages."""

from collections import deque
from random import Random
from types import SimpleNamespace

import pytest
from request_journey import Clock
from test_lane_division import POOL

from hopsail.dataplane.lane_agreement import (
    LEAST_INTERVAL_NS,
    REPORTS_PER_S,
    LaneAgreement,
    registrar_key,
    report_interval,
)
from hopsail.dataplane.work_directory import WorkDirectory
from hopsail.dataplane.work_messages import LaneReport, LaneTotals, ToldDivision, WorkDatagram
from hopsail.model import MS, SECOND
from hopsail.net.counters import Counters
from hopsail.routing.lane_division import NUMBERS, Division
from hopsail.routing.lanes import Lane
from hopsail.rpc.structs import encode

SERVICE, FLEET = "s", "f"
TICK = 200 * MS
ADDRESSES = {f"n{number}": (f"10.0.0.{number + 1}", 7001) for number in range(6)}


class Hosts:
    """A service's hosts, as far as their division goes."""

    has_models = True
    names = [f"i-{number}" for number in range(POOL.hosts)]
    capacity = POOL.hosts * POOL.places

    def __init__(self):
        self.shares = []  # as set, one after the other

    def set_division(self, share):
        self.shares.append(share)


class Fleet:
    """Data planes on a network that may lose, delay and double datagrams."""

    def __init__(self, seed=1, loss=0.0, doubles=0.0, delay_ns=0):
        self.clock, self.random = Clock(), Random(seed)
        self.loss, self.doubles, self.delay = loss, doubles, delay_ns
        self.flying = deque()
        self.cut = set()  # addresses that nothing reaches and that reach nothing
        self.planes = {}
        for name in ADDRESSES:
            self.start(name)

    def start(self, name):
        """A process with nothing in its memory."""
        address = ADDRESSES[name]

        def send(target, data):
            copies = (self.random.random() >= self.loss) * (1 + (self.random.random() < self.doubles))
            due = self.clock.time + self.random.randint(0, self.delay)
            self.flying.extend([(due, address, target, data)] * copies)

        counters = Counters(name)
        seed = f"{name}/{self.clock.time}"
        directory = WorkDirectory(self.clock, address, FLEET, Random(seed), counters, send)
        hosts = {SERVICE: Hosts(), "plain": SimpleNamespace(has_models=False)}
        agreement = LaneAgreement(directory, hosts, lambda: 50.0, 4, counters)
        self.planes[address] = SimpleNamespace(
            directory=directory, agreement=agreement, hosts=hosts, counters=counters
        )
        directory.renew({name: ADDRESSES[name] for name in ADDRESSES})

    def know(self, names):
        """All that run know these as members."""
        for address, plane in self.planes.items():
            members = {name: ADDRESSES[name] for name in names}
            plane.directory.renew(members | {"self": address} if address not in members.values() else members)

    def run(self, seconds, is_busy=True):
        for _ in range(int(seconds * SECOND / TICK)):
            self.clock.time += TICK
            for address, plane in self.planes.items():
                if address not in self.cut:
                    if is_busy:
                        self.load(plane)
                    plane.agreement.tick()
            self.deliver()

    def deliver(self):
        waiting, self.flying = self.flying, deque()
        for datagram in waiting:
            due, sender, target, data = datagram
            if due > self.clock.time:
                self.flying.append(datagram)
            elif target in self.planes and not {sender, target} & self.cut:
                self.planes[target].directory.received(data, sender)

    def load(self, plane):
        """A sixth of the demand in one tick."""
        for _ in range(13):
            plane.agreement.began(SERVICE, Lane.SHORT, 400.0, 300.0)
            plane.agreement.answered(SERVICE, Lane.SHORT, 400.0, 30.0, 200.0)
        if self.random.random() < 0.8:
            plane.agreement.began(SERVICE, Lane.LONG, 12_000.0, 660.0)
            plane.agreement.answered(SERVICE, Lane.LONG, 12_000.0, 350.0, 1_300.0)

    def divisions(self):
        return {
            plane.agreement.division(SERVICE)
            for address, plane in self.planes.items()
            if address not in self.cut
        }

    def registrar(self):
        for plane in self.planes.values():
            if plane.directory.registrar(registrar_key(SERVICE)) is None:
                return plane.directory.address
        return None


def other_than(fleet, address):
    return next(one for one in fleet.planes if one != address)


def test_all_hold_the_same_division_and_rarely_another():
    fleet = Fleet()
    fleet.run(60)
    assert len(fleet.divisions()) == 1
    assert 1 <= fleet.divisions().pop().number <= 3
    for plane in fleet.planes.values():
        assert plane.hosts[SERVICE].shares[-1] == fleet.divisions().pop().short_share


@pytest.mark.parametrize("seed", range(12))
def test_loss_delay_doubles_and_restarts_leave_all_with_one_division(seed):
    fleet = Fleet(seed, loss=0.25, doubles=0.2, delay_ns=200 * MS)
    draw = Random(seed)
    fleet.run(8)
    for _ in range(6):
        fleet.start(draw.choice(list(ADDRESSES)))
        fleet.run(draw.uniform(0.2, 6))
    fleet.loss = 0.0
    fleet.run(4)
    assert len(fleet.divisions()) == 1 and fleet.divisions().pop().number


def test_a_lost_registrar_moves_nothing_and_the_next_one_goes_on_from_its_number():
    fleet = Fleet()
    fleet.run(10)
    held, lost = fleet.divisions().pop(), fleet.registrar()
    fleet.cut.add(lost)
    fleet.run(5)
    assert fleet.divisions() == {held}
    del fleet.planes[lost]
    fleet.know([name for name, address in ADDRESSES.items() if address != lost])
    fleet.run(9)
    assert fleet.divisions() == {held}
    name = next(name for name, address in ADDRESSES.items() if address == lost)
    fleet.start(name)
    fleet.know(ADDRESSES)
    fleet.run(3)
    assert fleet.divisions() == {held}


def test_a_process_that_starts_learns_the_division_before_its_first_request():
    fleet = Fleet()
    fleet.run(10)
    held = fleet.divisions().pop()
    address = other_than(fleet, fleet.registrar())
    fleet.start(next(name for name, one in ADDRESSES.items() if one == address))
    fleet.run(0.4, is_busy=False)
    assert fleet.divisions() == {held}


def test_a_division_counts_from_the_registrar_alone():
    fleet = Fleet()
    fleet.run(10)
    held, registrar = fleet.divisions().pop(), fleet.registrar()
    address = other_than(fleet, registrar)
    plane = fleet.planes[address]
    told = WorkDatagram(fleet=FLEET, divisions=[ToldDivision(service=SERVICE, number=900, short_share=0.9)])
    plane.directory.received(encode(told), ("10.9.9.9", 7001))
    assert plane.agreement.division(SERVICE) == held
    plane.directory.received(encode(told), registrar)
    assert plane.agreement.division(SERVICE) == Division(900, 0.9)
    fleet.run(3)
    assert fleet.divisions() == {Division(900, 0.9)}


@pytest.mark.parametrize("number", [-1, 0, NUMBERS - 1])
@pytest.mark.parametrize("share", [-0.5, 1.5, float("nan")])
def test_false_divisions_are_not_taken(number, share):
    fleet = Fleet()
    fleet.run(10)
    held, registrar = fleet.divisions().pop(), fleet.registrar()
    plane = fleet.planes[other_than(fleet, registrar)]
    told = ToldDivision(service=SERVICE, number=number, short_share=share)
    plane.directory.received(encode(WorkDatagram(fleet=FLEET, divisions=[told])), registrar)
    assert fleet.divisions() == {held}


def report(number=1, service=SERVICE, requests=1000.0, lane=Lane.SHORT.value, division=0, share=0.0):
    totals = LaneTotals(lane=lane, requests=requests, tokens=400.0 * requests, aim_ms=300.0 * requests)
    return WorkDatagram(
        fleet=FLEET,
        lane_reports=[
            LaneReport(service=service, number=number, division=division, short_share=share, totals=[totals])
        ],
    )


def counted(fleet):
    registrar = fleet.planes[fleet.registrar()].agreement._known.get(SERVICE)
    return registrar.registrar._demand.requests if registrar and registrar.registrar else 0


def test_a_report_counts_once_and_only_where_it_can_be_true():
    fleet = Fleet()
    directory = fleet.planes[fleet.registrar()].directory
    sender = ADDRESSES["n0"] if fleet.registrar() != ADDRESSES["n0"] else ADDRESSES["n1"]
    for wrong in (report(requests=-5.0), report(2, requests=float("inf")), report(3, lane="wide")):
        directory.received(encode(wrong), sender)
    directory.received(encode(report(4, service="unknown")), sender)
    assert counted(fleet) == 0
    for _ in range(2):
        directory.received(encode(report(5)), sender)
    assert counted(fleet) == pytest.approx(1000)
    other = fleet.planes[other_than(fleet, fleet.registrar())]
    other.directory.received(encode(report(6)), sender)
    assert other.agreement._known.get(SERVICE) is None


def test_a_registrar_gets_few_reports_whatever_the_number_of_senders():
    for senders in (1, 2, 40, 73, 195, 410):
        assert senders * SECOND / report_interval(senders) <= REPORTS_PER_S
        assert report_interval(senders) >= LEAST_INTERVAL_NS
