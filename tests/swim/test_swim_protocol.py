"""One member given datagrams: bad input, sizes of answers, older incarnations, removals, other fleets."""

from random import Random

import pytest
from swim_builders import (
    BODY,
    OTHER_ADDRESS,
    datagram_with,
    make_datagram,
    make_settings,
    make_update,
    signed_datagram,
)

from hopsail.swim.protocol import SwimProtocol
from hopsail.swim.settings import SECOND
from hopsail.swim.simulation import SimulatedFleet
from hopsail.swim.wire import Ack, LeaseRequest, Ping, Pull


@pytest.mark.parametrize("data, why", [
    (b"", "form"), (b"\x01", "form"), (b"\x02" + make_datagram()[1:], "form"), (bytes(5000), "long"),
    (make_datagram()[:-1], "key"), (make_datagram(key=bytes(32)), "key"),
    (make_datagram(fleet="other"), "fleet"),
    (signed_datagram([]), "shape"), (signed_datagram(7), "shape"), (signed_datagram(BODY[:-1]), "shape"),
    (datagram_with(0, ""), "shape"), (datagram_with(0, "x" * 33), "shape"), (datagram_with(0, 7), "shape"),
    (datagram_with(1, b"123"), "shape"), (datagram_with(1, bytes(6)), "shape"),
    (datagram_with(2, 2**63), "shape"), (datagram_with(2, -1), "shape"), (datagram_with(2, True), "shape"),
    (datagram_with(3, 1.5), "shape"), (datagram_with(5, 0), "shape"), (datagram_with(5, 2**63), "shape"),
    (datagram_with(6, 99), "shape"), (datagram_with(6, [1]), "shape"), (datagram_with(7, []), "shape"),
    (datagram_with(7, [1, "x", b""]), "shape"), (datagram_with(7, [2**63, 0, b""]), "shape"),
    (datagram_with(8, 5), "shape"), (datagram_with(8, [[]]), "shape"),
    (datagram_with(8, [["b2", b"123456", 1, 1, 4, 0, 0]]), "shape"),
    (datagram_with(8, [["b2", b"123456", 2**63, 1, 0, 0, 0]]), "shape"),
])  # fmt: skip
def test_bad_datagrams_are_dropped_counted_and_never_answered(data, why):
    """Danger: anyone can send to a UDP port; an answer to a stranger goes wherever the stranger says."""
    protocol = SwimProtocol(make_settings(), Random(1), 0, 9)
    protocol.receive(1, data)
    assert not protocol.take_datagrams()
    assert protocol.counts == {f"refused.{why}": 1} and set(protocol.members.by_name) == {"b0"}


def test_no_byte_of_a_datagram_can_be_changed_or_missing():
    good = make_datagram(updates=[make_update("b2")])
    for at in range(len(good)):
        for data in (good[:at], good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]):
            protocol = SwimProtocol(make_settings(), Random(1), 0, 9)
            protocol.receive(1, data)
            assert not protocol.take_datagrams() and set(protocol.members.by_name) == {"b0"}


@pytest.mark.parametrize("payload", [
    Ping(1, 0), Ping(1, 0, b""), Pull("", bytes(300)), Pull("", b""), LeaseRequest(7),
])  # fmt: skip
def test_no_answer_is_larger_than_its_request(payload):
    """Danger: who answers more than it is asked multiplies what comes under a false address."""
    protocol = SwimProtocol(make_settings(lease_servers=("b0",)), Random(1), 0, 9)
    for i in range(40):
        sender = make_update(f"m{i}", address=("10.1.0.1", 1000 + i))
        protocol.receive(1, make_datagram(sender, payload=Ack(1, 0)))
    protocol.take_datagrams()
    request = make_datagram(payload=payload)
    protocol.receive(2, request)
    assert sum(len(data) for _, data in protocol.take_datagrams()) <= len(request)


def test_datagrams_of_an_older_incarnation_are_rejected():
    protocol = SwimProtocol(make_settings(), Random(1), 0, 9)
    for _ in range(2):
        protocol.receive(1, make_datagram())
    assert protocol.counts == {"refused.replay": 1}
    protocol.receive(2, make_datagram(make_update(incarnation=6)))
    protocol.receive(3, make_datagram(sequence=2))
    assert protocol.counts["refused.old"] == 1 and protocol.members.by_name["b1"].incarnation == 6


def test_a_fleet_of_one_and_two_fleets_on_one_network():
    alone = SimulatedFleet(1, seed=1)
    alone.run(30)
    assert alone.snapshots()["b0"]["alive"] == ["b0"]
    fleet = SimulatedFleet(4, seed=1)
    settings = make_settings("b1", OTHER_ADDRESS, fleet="other", seeds=(fleet.addresses["b0"],))
    stranger = SwimProtocol(settings, Random(1), 0, 5)
    fleet.run(5)
    stranger.tick(2 * SECOND)
    protocol, sent = fleet.processes["b0"].protocol, stranger.take_datagrams()
    for _, data in sent:
        protocol.receive(fleet.clock_ns, data)
    assert protocol.counts["refused.fleet"] == len(sent) > 0
    assert sorted(fleet.snapshots()["b0"]["alive"]) == fleet.names
