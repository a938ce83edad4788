"""Golden nets of membership: datagrams, names on the wire, the incarnation file, and whole seeded histories.

The data files were written by the text before any rename and are never written again. Histories are hashed
over encoded datagrams and plain values, so that no name of the code is part of them."""

import json
from hashlib import sha256
from pathlib import Path
from random import Random

import msgpack
import pytest
from membership_world import World

from hopsail.membership import Membership, node
from hopsail.membership.identity import Identity, decode, encode
from hopsail.net import udp
from hopsail.swim import faults
from hopsail.swim.protocol import SwimProtocol
from hopsail.swim.heartbeat import HeartbeatProtocol
from hopsail.swim.incarnation import IncarnationStore
from hopsail.swim.quota_leases import QuotaLeaseClient, QuotaLeaseServer
from hopsail.swim.settings import MS, SECOND, SwimSettings
from hopsail.swim.simulation import SimulatedFleet
from hopsail.swim.wire import (
    KINDS,
    Ack,
    Codec,
    LeaseGrant,
    LeaseRequest,
    MemberStatus,
    MemberUpdate,
    MessageKind,
    Ping,
    PingRequest,
    Pull,
    Rejected,
    ViewChunk,
)

DATA = Path(__file__).parents[1] / "data" / "golden" / "swim"
KEY = bytes(range(32))
OWN = ("10.0.0.1", 7000)


def stored(name):
    return json.loads((DATA / name).read_text())


# Datagrams.


def member_update(number, status=0, removal_version=0, suspected_by=0):
    address = f"10.0.{number}.1", 7000 + number
    status = MemberStatus(status)
    return MemberUpdate(f"m{number}", address, 5 + number, number, status, removal_version, suspected_by)


def messages():
    """Name -> (sender, sequence, payload, updates) of each kind of datagram."""
    some = [member_update(number, number % 4, number // 2, 77 * (number % 2)) for number in range(1, 7)]
    many = [member_update(number) for number in range(10, 80)]
    sender = member_update(3, 0, 2)
    return {
        "ping": (sender, 1, Ping(9, 0xFFFFFFFF), []),
        "ping with updates": (sender, 2**40, Ping(2**62, 1), some),
        "ping with more updates than fit": (sender, 3, Ping(1, 1), many),
        "ack": (sender, 4, Ack(9, 17), some[:1]),
        "ping request": (sender, 5, PingRequest(9, ("10.9.8.7", 65535)), some[:2]),
        "pull": (sender, 6, Pull("m11", bytes(40)), []),
        "view whole": (sender, 7, ViewChunk("", some), []),
        "view in chunks": (sender, 8, ViewChunk("", many), []),
        "refused": (sender, 9, Rejected("life"), some[:1]),
        "claim": (sender, 10, LeaseRequest(3), []),
        "grant": (sender, 11, LeaseGrant(3, 250_000_000, 6 * SECOND), []),
    }


def encoded_messages():
    codec = Codec("golden", (KEY,), 512)
    found = {}
    for name, (sender, sequence, payload, updates) in messages().items():
        data, taken = codec.encode(sender, sequence, payload, updates)
        found[name] = [data.hex(), taken]
    return found


def test_each_kind_of_datagram_is_encoded_to_the_golden_bytes():
    assert encoded_messages() == stored("datagrams.json")
    assert {KINDS[type(payload)] for _, _, payload, _ in messages().values()} == set(MessageKind)


def test_golden_datagrams_are_decoded_and_encoded_again_to_the_same_bytes():
    codec = Codec("golden", (KEY,), 512)
    for data, taken in stored("datagrams.json").values():
        message = codec.decode(bytes.fromhex(data))
        payload, updates = message.payload, message.updates
        if isinstance(payload, ViewChunk):
            updates = payload.members
            # A cursor is set by the encoder where members are left over: one more that cannot fit.
            long = MemberUpdate("n" * 32, OWN, 2**62, 2**62, MemberStatus.ALIVE, 2**62, 2**62)
            payload = ViewChunk("", [*updates, *([long] * 9 if payload.next_cursor else [])])
        assert len(updates) >= taken
        assert codec.encode(message.sender, message.sequence, payload, message.updates)[0].hex() == data


# Names on the wire.


def identities():
    random = Random(71)
    letters = "abcdefgé|%#-0"
    fixed = [
        ("dataplane", "hal-koege", "edge-hal-koege-1"), ("controlplane", "z", "n"), ("other", "z", "x-z"),
        ("d", "zone", "node"), ("", "", ""), ("dataplane", "a-very-long-zone-name-indeed-and-more", "n1"),
    ]  # fmt: skip
    return fixed + [
        tuple("".join(random.choices(letters, k=random.randrange(40))) for _ in range(3)) for _ in range(200)
    ]


def encoded_identities():
    found = []
    for parts in identities():
        name = encode(Identity(*parts))
        found.append([list(parts), name, list(decode(name)), list(decode(name, [parts[1]]))])
    return found


def test_each_identity_is_encoded_to_its_golden_name_and_decoded_alike():
    assert encoded_identities() == stored("identities.json")


# The incarnation file.


def test_the_incarnation_file_has_the_golden_bytes_and_is_read_by_the_next_start(tmp_path):
    golden = stored("incarnation_file.json")
    first = IncarnationStore(str(tmp_path), "b0", 1_700_000_000_000)
    first.save(1_700_000_000_009, [("10.0.0.1", 7), ("10.0.0.2", 65535)])
    (path,) = tmp_path.iterdir()
    assert [path.name, path.read_bytes().hex()] == golden["written"]
    path.write_bytes(bytes.fromhex(golden["written"][1]))
    again = IncarnationStore(str(tmp_path), "b0", 5)
    assert [again.incarnation, [list(address) for address in again.addresses], again.error] == golden["read"]
    assert path.read_bytes().hex() == golden["after the next start"]


# Histories.


class Hashed:
    """A hash over all that a history sends and decides."""

    def __init__(self):
        self.hash = sha256()

    def add(self, *values):
        self.hash.update(msgpack.packb(values))


class HashedFleet(SimulatedFleet):
    """A simulated fleet whose datagrams are hashed as they are sent."""

    def __init__(self, *arguments, **more):
        self.history = Hashed()
        super().__init__(*arguments, **more)

    def _carry(self, process, address, data):
        self.history.add(self.clock_ns, process.name, list(address), data)
        super()._carry(process, address, data)

    def snapshots(self):
        views = super().snapshots()
        self.history.add(self.clock_ns, json.dumps(views, sort_keys=True))
        return views


def simulated(protocol, members, seed, kinds, count, **more):
    fleet = HashedFleet(members, seed=seed, protocol=protocol, **more)
    judge = faults.play(fleet, faults.draw(seed, fleet.names, count, kinds))
    fleet.history.add(json.dumps(judge.figures(), sort_keys=True))
    return fleet.history.hash.hexdigest()


def random_sender(random):
    return MemberUpdate(
        f"m{random.randrange(8)}", (f"10.0.0.{random.choice((2, 3, 4))}", 7000),
        random.choice((5, 5, 5, 6, 7)), random.randrange(3), MemberStatus.ALIVE,
        random.choice((0, 0, 0, 0, 1, 2)),
    )  # fmt: skip


def random_update(random):
    return MemberUpdate(
        random.choice(("b0", *(f"m{i}" for i in range(9)))), (f"10.0.0.{random.choice((2, 3))}", 7000),
        random.choice((5, 6, 1000, 1001)), random.randrange(4), MemberStatus(random.randrange(4)),
        random.choice((0, 0, 0, 0, 1, 2)), random.randrange(5),
    )  # fmt: skip


def driven_protocol(seed):
    """A member given random messages of all kinds, some late, twice or damaged, and irregular ticks."""
    random, history = Random(f"golden/{seed}"), Hashed()
    settings = SwimSettings(
        name="b0", fleet="golden", listen_address=OWN, advertised_address=OWN, keys=(KEY,),
        seeds=(("10.0.0.9", 7000),), lease_servers=("b0", "m1"),
        max_datagram_bytes=random.choice((256, 512, 1400)),
    )  # fmt: skip
    protocol, codec, now = SwimProtocol(settings, Random(seed), 0, 1000), Codec("golden", (KEY,), 1400), 0
    sequence, seen = 0, []
    for step in range(600):
        now += random.choice((1 * MS, 20 * MS, 300 * MS, 1200 * MS, 9000 * MS if step % 97 == 0 else 50 * MS))
        for _ in range(random.randrange(4)):
            sequence += 1
            sender = random_sender(random)
            kind = random.choice(list(MessageKind))
            last = last_request_number(protocol)
            number = random.choice((last, last - 1, random.randrange(50)))
            payload = {
                MessageKind.PING: Ping(max(0, number), random.randrange(9)),
                MessageKind.ACK: Ack(max(0, number), 5),
                MessageKind.PING_REQUEST: PingRequest(number, ("10.0.0.4", 7000)),
                MessageKind.PULL: Pull("m2", bytes(60)),
                MessageKind.VIEW_CHUNK: random.choice(("", "m3")),
                MessageKind.REJECTED: Rejected("removed"),
                MessageKind.LEASE_REQUEST: LeaseRequest(number),
                MessageKind.LEASE_GRANT: LeaseGrant(random.randrange(9), 10**8, 2 * SECOND),
            }[kind]
            updates = [random_update(random) for _ in range(random.randrange(5))]
            if kind is MessageKind.VIEW_CHUNK:
                payload = ViewChunk(payload, updates)
            seen.append(codec.encode(sender, sequence, payload, updates, settings.max_datagram_bytes)[0])
            data = random.choice((seen[-1], seen[-1], seen[-1], random.choice(seen)))
            protocol.receive(now, faults.corrupt(data, random, 0.05)[0])
        if now >= protocol.next_tick_ns:
            protocol.tick(now)
        if step % 150 == 140:
            protocol.remove("m3")
        if step % 150 == 148:
            protocol.admit("m3")
        for address, data in protocol.take_datagrams():
            history.add(now, list(address), data)
        counts = sorted(protocol.counts.items())
        view = json.dumps(protocol.snapshot(now))
        history.add(protocol.next_tick_ns, protocol.members.version, counts, view)
    protocol.leave(now)
    for address, data in protocol.take_datagrams():
        history.add(now, list(address), data)
    return history.hash.hexdigest()


def last_request_number(protocol):
    return max(0, protocol.outbox.last_number)


def quota_shares(seed):
    """Lease servers and clients of quota shares, with answers that are lost, late or twice."""
    random, history = Random(f"shares/{seed}"), Hashed()
    names = [f"b{number}" for number in range(5)]
    settings = SwimSettings(
        name="b0", fleet="golden", listen_address=OWN, advertised_address=OWN, keys=(KEY,),
        lease_servers=("b0", "b1"), lease_ns=2 * SECOND,
    )  # fmt: skip
    servers = {name: QuotaLeaseServer(settings, 0) for name in settings.lease_servers}
    clients = {name: QuotaLeaseClient(settings, 0) for name in names}
    for client in clients.values():
        client.balancers = len(names)
    late = []
    for now in range(0, 30 * SECOND, SECOND // 10):
        for name, client in clients.items():
            for server, number in client.requests_due(now):
                grant = servers[server].grant(now, name)
                history.add(now, name, server, number, grant.share, grant.duration_ns)
                for _ in range(random.choice((0, 1, 1, 2))):
                    late.append((now + random.randrange(SECOND), name, server, number, grant))
        for due in [one for one in late if one[0] <= now]:
            late.remove(due)
            clients[due[1]].handle_grant(*due[2:])
        if random.random() < 0.02:
            name = random.choice(names)
            clients[name] = QuotaLeaseClient(settings, now)
            clients[name].balancers = len(names)
        for name, client in clients.items():
            history.add(name, client.next_due(now), client.leased_units(now), client.share(now))
        history.add([server.outstanding(now) for server in servers.values()])
    return history.hash.hexdigest()


class HashedWorld(World):
    """A network of nodes whose datagrams are hashed as they are sent."""

    def __init__(self):
        super().__init__()
        self.history = Hashed()

    def carry(self, origin, address, data):
        self.history.add(self.clock, list(origin), list(address), data)
        super().carry(origin, address, data)


def nodes(monkeypatch):
    """Processes of the system that join, are cut off, restart under a clock stepped back, and leave."""
    world = HashedWorld()
    monkeypatch.setattr(udp.socket, "socket", world.socket)
    monkeypatch.setattr(node, "time_ns", lambda: world.time_of_day)
    seeds = [(f"10.0.0.{number}", 7640) for number in (1, 2, 3)]

    def start(number):
        role = "controlplane" if number <= 3 else "dataplane"
        settings = node.MembershipSettings(
            identity=Identity(role, "zone-a", f"edge-zone-a-{number}"), fleet="golden",
            address=(f"10.0.0.{number}", 7640), seeds=seeds, seed=f"s{number}",
        )  # fmt: skip
        return Membership(world, settings)

    def decided():
        for member in members:
            rows = sorted([*one[:3], list(one.address), one.alive, one.suspect] for one in member.members)
            counts = [member.count_upper_bound(role, world.now()) for role in ("dataplane", "controlplane")]
            world.history.add(rows, counts, member.joined, sorted(member.figures().items()))

    members = [start(number) for number in range(1, 9)]
    for seconds in (1, 10):
        world.run(seconds)
        decided()
    world.cut.add(members[4].address)
    world.run(30)
    decided()
    world.cut.clear()
    members.pop().close()
    world.time_of_day -= 3 * SECOND
    world.run(1)
    members.append(start(8))
    world.run(30)
    decided()
    leaving = members.pop(3)
    leaving.leave()
    leaving.close()
    world.run(5)
    decided()
    return world.history.hash.hexdigest()


# `half` starts members in the order of a set, which differs from process to process.
REPEATABLE = tuple(kind for kind in faults.KINDS if kind != "half")

SMALL, LEASED = {"max_datagram_bytes": 256}, {"lease_servers": 3}

HISTORIES = {
    "every fault": lambda: simulated(SwimProtocol, 5, 1, REPEATABLE, 6),
    "every fault, small datagrams": lambda: simulated(
        SwimProtocol, 6, 2, REPEATABLE, 6, max_datagram_bytes=256
    ),
    "every fault, with loss": lambda: simulated(SwimProtocol, 4, 3, REPEATABLE, 5, loss=0.1),
    "partitions": lambda: simulated(SwimProtocol, 7, 4, ("cut", "chain", "oneway"), 4),
    "duplicate names": lambda: simulated(SwimProtocol, 4, 5, ("twin", "move"), 4),
    "crashes, with quota shares": lambda: simulated(
        SwimProtocol, 6, 6, ("kill", "stop", "bounce"), 4, lease_servers=3
    ),
    "large fleet": lambda: simulated(SwimProtocol, 30, 7, ("kill", "leave"), 1),
    "all-to-all heartbeat": lambda: simulated(HeartbeatProtocol, 5, 8, ("kill", "loss"), 2),
    "core given random messages 1": lambda: driven_protocol(1),
    "core given random messages 2": lambda: driven_protocol(2),
    "core given random messages 3": lambda: driven_protocol(3),
    "quota shares 1": lambda: quota_shares(1),
    "quota shares 2": lambda: quota_shares(2),
}


@pytest.mark.parametrize("name", HISTORIES)
def test_a_seeded_history_has_its_golden_hash(name):
    assert HISTORIES[name]() == stored("histories.json")[name]


def test_the_history_of_simulated_nodes_has_its_golden_hash(monkeypatch):
    assert nodes(monkeypatch) == stored("histories.json")["nodes"]
