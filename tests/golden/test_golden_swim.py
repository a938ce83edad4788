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
from hopsail.swim import faults
from hopsail.swim.protocol import Core
from hopsail.swim.heartbeat import Heartbeat
from hopsail.swim.incarnation import Life
from hopsail.swim.quota_leases import Holder, Steward
from hopsail.swim.settings import MS, SECOND, Rules
from hopsail.swim.simulation import Sim
from hopsail.swim.wire import PAD, Codec, Entry, Kind, Status, packed

DATA = Path(__file__).parents[1] / "data" / "golden" / "swim"
KEY = bytes(range(32))
OWN = ("10.0.0.1", 7000)


def stored(name):
    return json.loads((DATA / name).read_text())


# Datagrams.


def member_entry(number, status=0, order=0, by=0):
    return Entry(
        f"m{number}", (f"10.0.{number}.1", 7000 + number), 5 + number, number, Status(status), order, by
    )


def messages():
    """Name -> (sender, sequence, kind, arguments, updates, bound of the size) of each kind of datagram."""
    some = [member_entry(number, number % 4, number // 2, 77 * (number % 2)) for number in range(1, 7)]
    many = [member_entry(number) for number in range(10, 80)]
    sender = member_entry(3, 0, 2)
    return {
        "ping": (sender, 1, Kind.PING, [9, 0xFFFFFFFF, PAD], []),
        "ping with updates": (sender, 2**40, Kind.PING, [2**62, 1, PAD], some),
        "ping with more updates than fit": (sender, 3, Kind.PING, [1, 1, PAD], many),
        "ack": (sender, 4, Kind.ACK, [9, 17], some[:1]),
        "ping request": (sender, 5, Kind.ASK, [9, packed(("10.9.8.7", 65535))], some[:2]),
        "pull": (sender, 6, Kind.PULL, ["m11", bytes(40)], []),
        "view whole": (sender, 7, Kind.PIECE, ["", []], some),
        "view in chunks": (sender, 8, Kind.PIECE, ["", []], many),
        "refused": (sender, 9, Kind.REFUSED, ["life"], some[:1]),
        "claim": (sender, 10, Kind.CLAIM, [3, PAD], []),
        "grant": (sender, 11, Kind.GRANT, [3, 250_000_000, 6 * SECOND], []),
    }


def encoded_messages():
    codec = Codec("golden", (KEY,), 512)
    found = {}
    for name, (sender, sequence, kind, arguments, updates) in messages().items():
        data, taken = codec.pack(sender, sequence, kind, arguments, updates)
        found[name] = [data.hex(), taken]
    return found


def test_each_kind_of_datagram_is_encoded_to_the_golden_bytes():
    assert encoded_messages() == stored("datagrams.json")
    assert {kind for _, _, kind, _, _ in messages().values()} == set(Kind)


def test_golden_datagrams_are_decoded_and_encoded_again_to_the_same_bytes():
    codec = Codec("golden", (KEY,), 512)
    for data, taken in stored("datagrams.json").values():
        message = codec.unpack(bytes.fromhex(data))
        arguments, updates = list(message.arguments), message.news
        if message.kind is Kind.ASK:
            arguments[1] = packed(arguments[1])
        elif message.kind is Kind.PIECE:
            updates = arguments[1]
            # A cursor is set by the encoder where entries are left over: one more that cannot fit.
            more = (
                [Entry("n" * 32, OWN, 2**62, 2**62, Status.ALIVE, 2**62, 2**62)] * 9 if arguments[0] else []
            )
            arguments, updates = ["", []], updates + more
        assert len(updates) >= taken
        assert codec.pack(message.sender, message.sequence, message.kind, arguments, updates)[0].hex() == data


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
    first = Life(str(tmp_path), "b0", 1_700_000_000_000)
    first.keep(1_700_000_000_009, [("10.0.0.1", 7), ("10.0.0.2", 65535)])
    (path,) = tmp_path.iterdir()
    assert [path.name, path.read_bytes().hex()] == golden["written"]
    path.write_bytes(bytes.fromhex(golden["written"][1]))
    again = Life(str(tmp_path), "b0", 5)
    assert [again.number, [list(place) for place in again.places], again.fault] == golden["read"]
    assert path.read_bytes().hex() == golden["after the next start"]


# Histories.


class Hashed:
    """A hash over all that a history sends and decides."""

    def __init__(self):
        self.hash = sha256()

    def add(self, *values):
        self.hash.update(msgpack.packb(values))


class HashedSim(Sim):
    """A simulated fleet whose datagrams are hashed as they are sent."""

    def __init__(self, *arguments, **more):
        self.history = Hashed()
        super().__init__(*arguments, **more)

    def _carry(self, process, place, data):
        self.history.add(self.clock, process.name, list(place), data)
        super()._carry(process, place, data)

    def look(self):
        rows = super().look()
        self.history.add(self.clock, json.dumps(rows, sort_keys=True))
        return rows


def simulated(core, members, seed, kinds, count, **more):
    fleet = HashedSim(members, seed=seed, core=core, **more)
    judge = faults.play(fleet, faults.draw(seed, fleet.names, count, kinds))
    fleet.history.add(json.dumps(judge.figures(), sort_keys=True))
    return fleet.history.hash.hexdigest()


def driven_core(seed):
    """A core given random messages of all kinds, some of them late, twice or damaged, and irregular ticks."""
    random, history = Random(f"golden/{seed}"), Hashed()
    rules = Rules(name="b0", fleet="golden", listen=OWN, place=OWN, keys=(KEY,), seeds=(("10.0.0.9", 7000),),
                  stewards=("b0", "m1"), size=random.choice((256, 512, 1400)))  # fmt: skip
    core, codec, now = Core(rules, Random(seed), 0, 1000), Codec("golden", (KEY,), 1400), 0
    sequence, seen = 0, []
    for step in range(600):
        now += random.choice((1 * MS, 20 * MS, 300 * MS, 1200 * MS, 9000 * MS if step % 97 == 0 else 50 * MS))
        for _ in range(random.randrange(4)):
            sequence += 1
            sender = Entry(f"m{random.randrange(8)}", (f"10.0.0.{random.choice((2, 3, 4))}", 7000),
                           random.choice((5, 5, 5, 6, 7)), random.randrange(3), Status.ALIVE,
                           random.choice((0, 0, 0, 0, 1, 2)))  # fmt: skip
            kind = random.choice(list(Kind))
            number = random.choice((core_serial(core), core_serial(core) - 1, random.randrange(50)))
            arguments = {
                Kind.PING: [max(0, number), random.randrange(9), PAD], Kind.ACK: [max(0, number), 5],
                Kind.ASK: [number, packed(("10.0.0.4", 7000))], Kind.PULL: ["m2", bytes(60)],
                Kind.PIECE: [random.choice(("", "m3")), []], Kind.REFUSED: ["removed"],
                Kind.CLAIM: [number, PAD], Kind.GRANT: [random.randrange(9), 10**8, 2 * SECOND],
            }[kind]  # fmt: skip
            updates = [
                Entry(random.choice(("b0", *(f"m{i}" for i in range(9)))),
                      (f"10.0.0.{random.choice((2, 3))}", 7000),
                      random.choice((5, 6, 1000, 1001)), random.randrange(4), Status(random.randrange(4)),
                      random.choice((0, 0, 0, 0, 1, 2)), random.randrange(5))
                for _ in range(random.randrange(5))
            ]  # fmt: skip
            seen.append(codec.pack(sender, sequence, kind, arguments, updates, rules.size)[0])
            data = random.choice((seen[-1], seen[-1], seen[-1], random.choice(seen)))
            core.received(now, faults.spoilt(data, random, 0.05)[0])
        if now >= core.due:
            core.tick(now)
        if step % 150 == 140:
            core.remove("m3")
        if step % 150 == 148:
            core.admit("m3")
        out, core.out = core.out, []
        for place, data in out:
            history.add(now, list(place), data)
        history.add(core.due, core.changed, sorted(core.counts.items()), json.dumps(core.shown(now)))
    core.leave(now)
    for place, data in core.out:
        history.add(now, list(place), data)
    return history.hash.hexdigest()


def core_serial(core):
    return max(0, core.serial)


def quota_shares(seed):
    """Steward and holders of quota shares, with answers that are lost, late or twice."""
    random, history = Random(f"shares/{seed}"), Hashed()
    names = [f"b{number}" for number in range(5)]
    rules = Rules(name="b0", fleet="golden", listen=OWN, place=OWN, keys=(KEY,), stewards=("b0", "b1"),
                  lease=2 * SECOND)  # fmt: skip
    stewards = {name: Steward(rules, 0) for name in rules.stewards}
    holders = {name: Holder(rules, 0) for name in names}
    for holder in holders.values():
        holder.balancers = len(names)
    late = []
    for now in range(0, 30 * SECOND, SECOND // 10):
        for name, holder in holders.items():
            for steward, serial in holder.claims(now):
                granted, lasts = stewards[steward].claim(now, name)
                history.add(now, name, steward, serial, granted, lasts)
                for _ in range(random.choice((0, 1, 1, 2))):
                    late.append((now + random.randrange(SECOND), name, steward, serial, granted, lasts))
        for due in [one for one in late if one[0] <= now]:
            late.remove(due)
            holders[due[1]].granted(now, *due[2:])
        if random.random() < 0.02:
            name = random.choice(names)
            holders[name] = Holder(rules, now)
            holders[name].balancers = len(names)
        for name, holder in holders.items():
            history.add(name, holder.due(now), holder.units(now), holder.part(now))
        history.add([steward.out(now) for steward in stewards.values()])
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
    monkeypatch.setattr(node.socket, "socket", world.socket)
    monkeypatch.setattr(node, "time_ns", lambda: world.time_of_day)
    seeds = [(f"10.0.0.{number}", 7640) for number in (1, 2, 3)]

    def start(number):
        role = "controlplane" if number <= 3 else "dataplane"
        return Membership(world, name=f"edge-zone-a-{number}", role=role, zone="zone-a", fleet="golden",
                          address=(f"10.0.0.{number}", 7640), seeds=seeds, seed=f"s{number}")  # fmt: skip

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

HISTORIES = {
    "every fault": lambda: simulated(Core, 5, 1, REPEATABLE, 6),
    "every fault, small datagrams": lambda: simulated(Core, 6, 2, REPEATABLE, 6, size=256),
    "every fault, with loss": lambda: simulated(Core, 4, 3, REPEATABLE, 5, loss=0.1),
    "partitions": lambda: simulated(Core, 7, 4, ("cut", "chain", "oneway"), 4),
    "duplicate names": lambda: simulated(Core, 4, 5, ("twin", "move"), 4),
    "crashes, with quota shares": lambda: simulated(Core, 6, 6, ("kill", "stop", "bounce"), 4, stewards=3),
    "large fleet": lambda: simulated(Core, 30, 7, ("kill", "leave"), 1),
    "all-to-all heartbeat": lambda: simulated(Heartbeat, 5, 8, ("kill", "loss"), 2),
    "core given random messages 1": lambda: driven_core(1),
    "core given random messages 2": lambda: driven_core(2),
    "core given random messages 3": lambda: driven_core(3),
    "quota shares 1": lambda: quota_shares(1),
    "quota shares 2": lambda: quota_shares(2),
}


@pytest.mark.parametrize("name", HISTORIES)
def test_a_seeded_history_has_its_golden_hash(name):
    assert HISTORIES[name]() == stored("histories.json")[name]


def test_the_history_of_simulated_nodes_has_its_golden_hash(monkeypatch):
    assert nodes(monkeypatch) == stored("histories.json")["nodes"]
