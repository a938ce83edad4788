"""The fleet's view without sockets: bad input, identity, parts of a whole, and faults in simulation."""

import sys
import types
from pathlib import Path
from random import Random

import msgpack
import pytest

from hopsail.model import SECOND
from hopsail.net.discovery import address
from hopsail.swim import protocol as core_module
from hopsail.swim import faults
from hopsail.swim import settings as rules
from hopsail.swim.protocol import Core
from hopsail.swim.incarnation import Life
from hopsail.swim.quota_leases import WHOLE, Holder, Steward
from hopsail.swim.settings import DRIFT, Rules, RulesFault
from hopsail.swim.simulation import KEY, Sim, StormFault
from hopsail.swim.wire import HEAD, PAD, Codec, Entry, Kind, Refused, Status, Window

PLACE, ELSE = ("10.0.0.1", 7000), ("10.0.0.1", 7001)


def some_rules(name="b0", place=PLACE, **more):
    return Rules(name=name, fleet="sim", listen=place, place=place, keys=(KEY,), **more)


def entry(name="b1", place=("10.0.0.2", 7000), life=5, count=0, status=Status.ALIVE, order=0, by=0):
    return Entry(name, place, life, count, status, order, by)


def datagram(
    sender=None, sequence=1, kind=Kind.PING, arguments=(1, 0, PAD), news=(), key=KEY, fleet="sim", size=512
):
    return Codec(fleet, (key,), size).pack(sender or entry(), sequence, kind, arguments, list(news))[0]


def spoilt(tree):
    """A datagram signed by the right key, with a body that is none."""
    codec = Codec("sim", (KEY,), 512)
    body = msgpack.packb(tree)
    return datagram()[:5] + codec._sign(KEY, body) + body


BODY = ["b1", bytes(4) + b"\x1b\x58", 5, 0, 0, 1, 0, [1, 0, b""], []]


def body(at, value):
    return spoilt([*BODY[:at], value, *BODY[at + 1 :]])


@pytest.mark.parametrize("data, why", [
    (b"", "form"), (b"\x01", "form"), (b"\x02" + datagram()[1:], "form"), (bytes(5000), "long"),
    (datagram()[:-1], "key"), (datagram(key=bytes(32)), "key"), (datagram(fleet="other"), "fleet"),
    (spoilt([]), "shape"), (spoilt(7), "shape"), (spoilt(BODY[:-1]), "shape"), (body(0, ""), "shape"),
    (body(0, "x" * 33), "shape"), (body(0, 7), "shape"), (body(1, b"123"), "shape"),
    (body(1, bytes(6)), "shape"),
    (body(2, 2**63), "shape"), (body(2, -1), "shape"), (body(2, True), "shape"), (body(3, 1.5), "shape"),
    (body(5, 0), "shape"), (body(5, 2**63), "shape"), (body(6, 99), "shape"), (body(6, [1]), "shape"),
    (body(7, []), "shape"), (body(7, [1, "x", b""]), "shape"), (body(7, [2**63, 0, b""]), "shape"),
    (body(8, 5), "shape"),
    (body(8, [[]]), "shape"), (body(8, [["b2", b"123456", 1, 1, 4, 0, 0]]), "shape"),
    (body(8, [["b2", b"123456", 2**63, 1, 0, 0, 0]]), "shape"),
])  # fmt: skip
def test_bad_datagrams_are_dropped_counted_and_never_answered(data, why):
    """Danger: anyone can send to a UDP port; an answer to a stranger goes wherever the stranger says."""
    core = Core(some_rules(), Random(1), 0, 9)
    core.received(1, data)
    assert not core.out and core.counts == {f"refused.{why}": 1} and set(core.members) == {"b0"}


def test_no_byte_of_a_datagram_can_be_changed_or_missing():
    good = datagram(news=[entry("b2")])
    for at in range(len(good)):
        for data in (good[:at], good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]):
            core = Core(some_rules(), Random(1), 0, 9)
            core.received(1, data)
            assert not core.out and set(core.members) == {"b0"}


@pytest.mark.parametrize("kind, arguments", [
    (Kind.PING, (1, 0, PAD)), (Kind.PING, (1, 0, b"")), (Kind.PULL, ("", bytes(300))),
    (Kind.PULL, ("", b"")), (Kind.CLAIM, (7, PAD)),
])  # fmt: skip
def test_no_answer_is_larger_than_its_question(kind, arguments):
    """Danger: who answers more than it is asked multiplies what comes under a false address."""
    core = Core(some_rules(stewards=("b0",)), Random(1), 0, 9)
    for i in range(40):
        core.received(
            1, datagram(entry(f"m{i}", place=("10.1.0.1", 1000 + i)), kind=Kind.ACK, arguments=(1, 0))
        )
    core.out.clear()
    asked = datagram(kind=kind, arguments=arguments)
    core.received(2, asked)
    assert sum(len(data) for _, data in core.out) <= len(asked)


def test_each_datagram_is_taken_once_and_none_of_an_older_life():
    window = Window()
    for sequence in (1, 3, 2, 300):
        window.take(5, sequence)
    for life, sequence in ((5, 3), (5, 300), (5, 20), (4, 999)):
        with pytest.raises(Refused):
            window.take(life, sequence)
    window.take(6, 1)
    core = Core(some_rules(), Random(1), 0, 9)
    for _ in range(2):
        core.received(1, datagram())
    assert core.counts == {"refused.replay": 1}
    core.received(2, datagram(entry(life=6)))
    core.received(3, datagram(sequence=2))
    assert core.counts["refused.old"] == 1 and core.members["b1"].life == 6


@pytest.mark.parametrize("size", [256, 512, 1400])
def test_every_message_fits_its_size_and_a_view_goes_in_pieces(size):
    long = [entry(f"{i:032}", place=("10.9.9.9", 65535), life=2**62, count=2**40) for i in range(60)]
    codec, cursor, seen = Codec("sim", (KEY,), size), "", []
    for _ in range(60):
        some = [one for one in long if one.name > cursor]
        data, taken = codec.pack(long[0], 2**60, Kind.PIECE, ["", []], some)
        assert len(data) <= size and taken
        cursor, found = codec.unpack(data).arguments
        seen += found
        if not cursor:
            break
    assert seen == long
    asked = codec.pack(long[0], 2**60, Kind.ASK, [2**60, b"123456"], long)[0]
    assert HEAD < len(asked) <= size


# Identity.


def test_a_life_is_later_than_any_before_it_also_when_the_clock_goes_back(tmp_path):
    first = Life(str(tmp_path), "b0", 1000)
    assert Life(str(tmp_path), "b0", 500).number == 1001 and Life(str(tmp_path), "b0", 9000).number == 9000
    first.keep(20000, [("10.0.0.1", 7)])
    again = Life(str(tmp_path), "b0", 5)
    assert again.number == 20001 and again.places == [("10.0.0.1", 7)]
    assert Life(None, "b0", 77).number == 77 and Life(str(tmp_path), "b1", 5).number == 5


def test_a_torn_or_foreign_file_of_the_life_is_said_and_made_anew(tmp_path):
    Life(str(tmp_path), "b0", 1000).keep(5000, [("10.0.0.1", 7)])
    path = next(tmp_path.iterdir())
    whole = path.read_bytes()
    for data in [whole[:at] for at in range(len(whole) - 1)] + [
        b"\xff" * 50,
        b"x" * (1 << 17),
        b'{"form":2} 00',
    ]:
        path.write_bytes(data)
        life = Life(str(tmp_path), "b0", 7000)
        assert life.number == 7000 and life.fault and "\n" not in life.fault
        assert Life(str(tmp_path), "b0", 1).number == 7001  # made anew
    life = Life(str(tmp_path / "none"), "b0", 7)
    assert life.number == 7 and "cannot be kept" in life.fault


@pytest.mark.parametrize("change, key", [
    ({"fleet": None}, "fleet"), ({"fleet": ""}, "fleet"), ({"listen": None}, "listen"),
    ({"listen": "x"}, "listen"),
    ({"keys": None}, "keys"), ({"keys": []}, "keys"), ({"keys": ["zz"]}, "keys"), ({"keys": ["00"]}, "keys"),
    ({"keys": 7}, "keys"), ({"seeds": ["x"]}, "seeds"), ({"period_ms": 1}, "period_ms"),
    ({"period_ms": True}, "period_ms"), ({"datagram": 255}, "datagram"),
    ({"stewards": ["a", "a"]}, "stewards"),
    ({"lease_ms": 1.5}, "lease_ms"), ({"wrong": 1}, "wrong"), ({"advertise": "x:0"}, "advertise"),
])  # fmt: skip
def test_a_fault_in_the_settings_names_its_key(change, key):
    tree = {
        "fleet": "f",
        "listen": "127.0.0.1:7000",
        "keys": ["00" * 32],
        "seeds": ["127.0.0.1:7001"],
    } | change
    tree = {k: v for k, v in tree.items() if v is not None}
    with pytest.raises(RulesFault, match=f"view.{key}"):
        rules.read(tree, "b0", None, address)
    with pytest.raises(RulesFault, match="name"):
        rules.read({"fleet": "f"}, "x" * 33, None, address)


# Parts of a whole.


def test_parts_of_a_whole_never_pass_it_whatever_is_lost_late_doubled_cut_or_restarted():
    """The law, over arbitrary schedules: who lives and what anyone believes of it is drawn at random."""
    gained = 0
    for seed in range(60):
        random = Random(seed)
        n, stewards = random.randint(2, 9), tuple(f"b{i}" for i in range(random.randint(1, 3)))
        given = some_rules(stewards=stewards[:n], lease=2 * SECOND)
        rate = {f"b{i}": 1 + random.uniform(-DRIFT / 2.1, DRIFT / 2.1) for i in range(n)}
        clock = lambda name, now: int(now * rate[name])  # noqa: B023, E731
        holders, dealers, way, live = {}, {}, [], set(rate)
        for name in rate:
            holders[name] = Holder(given, 0)
            holders[name].balancers = n
            if name in given.stewards:
                dealers[name] = Steward(given, 0)
        for now in range(0, 20 * SECOND, SECOND // 20):
            for name in sorted(live):
                for steward, serial in holders[name].claims(clock(name, now)):
                    for _ in range(random.choice((0, 1, 1, 2))):
                        way.append((now + random.randrange(3 * SECOND), steward, name, serial, None))
            for message in [one for one in way if one[0] <= now]:
                way.remove(message)
                _, to, origin, serial, grant = message
                if to not in live:
                    continue
                if grant is not None:
                    holders[to].granted(clock(to, now), origin, serial, *grant)
                elif to in dealers:
                    found = dealers[to].claim(clock(to, now), origin)
                    for _ in range(random.choice((0, 1, 1, 2))):
                        way.append((now + random.randrange(2 * SECOND), origin, to, serial, found))
            if random.random() < 0.02:  # dies, or comes back knowing nothing
                name = random.choice(sorted(rate))
                if name in live and len(live) > 1:
                    live.discard(name)
                else:
                    live.add(name)
                    holders[name] = Holder(given, clock(name, now))
                    holders[name].balancers = n
                    if name in dealers:
                        dealers[name] = Steward(given, clock(name, now))
            parts = [holders[name].part(clock(name, now)) for name in live]
            assert sum(parts) <= 1 + 1e-9, (seed, now, parts)
            for dealer in dealers.values():
                assert dealer.out(0) <= WHOLE // 2
            gained += any(part > 1.01 / n for part in parts)
    assert gained  # and it is of use: with some dead, others have more than an equal part


def test_when_half_of_a_fleet_is_lost_the_others_parts_grow_and_shrink_again():
    sim = Sim(8, seed=4, stewards=3)
    sim.run(20)
    assert all(abs(row["part"] - 1 / 8) < 1e-6 for row in sim.look().values())
    for name in sim.names[4:]:
        sim.kill(name)
    sim.run(20)
    assert all(abs(row["part"] - (0.5 / 8 + 0.5 / 4)) < 1e-6 for row in sim.look().values())
    for name in sim.names[4:]:
        sim.start(name)
    for _ in range(80):
        sim.run(0.25)
        assert sum(row["part"] for row in sim.look().values()) <= 1 + 1e-6
    assert all(abs(row["part"] - 1 / 8) < 1e-6 for row in sim.look().values())


def test_with_no_steward_each_has_its_equal_part():
    sim = Sim(4, seed=1)
    sim.run(5)
    assert {row["part"] for row in sim.look().values()} == {0.25}


# Faults, each a check of a core: the one that ships passes them all, each changed one fails some.


def schedules(core, kinds, seeds, members=6, **more):
    wrong = []
    for seed in seeds:
        sim = Sim(members, seed=seed, core=core, **more)
        judge = faults.play(sim, faults.draw(seed, sim.names, 5, kinds))
        wrong += judge.violations
        if judge.false_gone:
            wrong.append(f"{judge.false_gone} live and reachable members called gone")
    return wrong


def of_every_kind(core):
    wrong = []
    for kind in faults.KINDS:
        wrong += schedules(core, (kind,), (1, 2), 6)
    return wrong


def mixed(core):
    return schedules(core, faults.KINDS, range(20, 32), 5, size=256)


def cuts(core):
    return schedules(core, ("cut", "chain", "oneway"), range(6), 7)


def twins(core):
    return schedules(core, ("twin", "move"), range(4), 4)


def losses(core):
    wrong = []
    for seed in range(3):
        sim = Sim(8, seed=seed, core=core, loss=0.2)
        judge = faults.Judge(sim)
        for _ in range(400):
            sim.run(0.5)
            judge.look()
        wrong += ["called gone in loss"] * (judge.false_gone > 0)
    return wrong


def stands_still(core):
    """One that was stopped while it doubted somebody calls nobody dead when it goes on."""
    sim = Sim(5, seed=3, core=core)
    sim.run(10)
    one = sim.processes["b0"].core
    sim.link("b0", "b3", False)
    sim.link("b3", "b0", False)
    for name in ("b1", "b2", "b4"):
        sim.link(name, "b3", False)
    for _ in range(600):
        if one.members["b3"].status is Status.SUSPECT:
            break
        sim.run(0.1)
    else:
        return ["one that nobody reaches is not doubted"]
    sim.heal()
    sim.stop("b0", True)
    sim.run(40)
    sim.stop("b0", False)
    sim.run(0.5)
    return [] if one.members["b3"].here and one.counts["starved"] else ["a stopped process called one dead"]


def says_goodbye(core):
    sim = Sim(40, seed=3, core=core)
    sim.run(20)
    sim.leave("b2")
    sim.kill("b2")
    sim.run(5)
    told = [row["left"] == ["b2"] for row in sim.look().values()]
    return [] if all(told) else ["not all know that one has left"]


def stays_removed(core):
    """A member that staff have removed keeps coming back, and is refused until it may again."""
    sim = Sim(5, seed=3, core=core)
    sim.run(10)
    sim.processes["b1"].core.remove("b3")
    sim.run(12)
    for _ in range(2):
        sim.kill("b3")
        sim.start("b3")
        sim.run(6)
    rows = sim.look()
    wrong = [f"{name} has it" for name, row in rows.items() if name != "b3" and "b3" in row["alive"]]
    wrong += [] if rows["b3"]["refused_as"] == "removed" else ["it was not told"]
    sim.processes["b0"].core.admit("b3")
    sim.run(40)
    return wrong + [f"{name} misses it" for name, row in sim.look().items() if "b3" not in row["alive"]]


def older_life(core):
    """News of an older life, that a member slept on, brings nobody back."""
    one = core(some_rules(), Random(1), 0, 9)
    one.received(1, datagram(entry(life=7)))
    one.received(
        2, datagram(entry("b2", ("10.0.0.3", 7)), news=[entry(life=5, count=9), entry(life=6, count=9)])
    )
    return [] if one.members["b1"].life == 7 and one.members["b1"].count == 0 else ["an older life is back"]


def order_binds(core):
    """News of a later life of a member that staff have removed brings nobody back."""
    one = core(some_rules(), Random(1), 0, 9)
    one.received(1, datagram(entry(life=7)))
    one.remove("b1")
    one.received(2, datagram(entry("b2", ("10.0.0.3", 7)), news=[entry(life=9)]))
    return [] if one.members["b1"].status is Status.GONE else ["a removed member is back"]


def helped(core):
    """Two that cannot reach each other, and that all others reach, do not doubt each other."""
    sim = Sim(6, seed=3, core=core)
    sim.run(5)
    sim.link("b0", "b3", False)
    sim.link("b3", "b0", False)
    sim.run(60)
    doubts = sum(sim.processes[name].core.counts["suspected"] for name in ("b0", "b3"))
    return [] if not doubts else [f"{doubts} doubts"]


def asks_soon(core):
    """One that is thought dead, and of which another says that it lives, is asked within the next period."""
    one = core(some_rules(), Random(1), 0, 9)
    one.received(1, datagram(entry(status=Status.ALIVE)))
    one.received(2, datagram(entry("b2", ("10.0.0.3", 7)), news=[entry(status=Status.LEFT)]))
    one.members["b1"].status = Status.GONE
    one.received(3, datagram(entry("b2", ("10.0.0.3", 7)), sequence=2, news=[entry()]))
    one.out.clear()
    one.retry_at = 1 << 60
    one.order = ["b2"]
    one.due = one.probe_at
    one.tick(one.probe_at)
    return [] if ("10.0.0.2", 7000) in [place for place, _ in one.out] else ["it was not asked"]


def fits_all(core):
    sim = Sim(40, seed=2, core=core, size=256)
    sim.run(30)
    for name in sim.names[:10]:
        sim.kill(name)
    wrong, before = [], {p: (p.sent, p.bytes) for p in sim.processes.values()}
    sim.run(20)
    for process in sim.processes.values():
        sent = process.sent - before[process][0]
        if sent > 20 * 14:
            wrong.append(f"{sent} messages in 20 periods")
    return wrong


CHECKS = [older_life, order_binds, asks_soon, helped, says_goodbye, stands_still, stays_removed, fits_all,
          twins, cuts, losses, of_every_kind, mixed]  # fmt: skip


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_the_core_stands(check):
    assert check(Core) == []


CHANGES = {
    "nobody defends itself": ("entry.count >= me.count and not self.leaving:", "entry.count < 0:"),
    "a doubt is a death": ("member.status is SUSPECT and self.now >= member.due", "member.status is SUSPECT"),
    "nobody helps to probe": ("min(HELPERS, len(others))", "0"),
    "standing still is not noticed": ("if late > LATE * self.rules.period:", "if False:"),
    "older lives are taken": ("entry.life < known.life or (", "False or ("),
    "the first news of a death is believed": ("entry.status is GONE and known.status is ALIVE:", "False:"),
    "any place may take a name": ("entry.place != known.place and known.here", "False and known.here"),
    "lost members are not tried again": ("        if lost:\n", "        return\n        if lost:\n"),
    "leaving is not told": ("self.me.status = LEFT", "pass"),
    "staff's orders do not bind": (
        "if known.barred:\n            known.life",
        "if False:\n            known.life",
    ),
    "the one that has a name is not asked": ("self.contests.pop(sender.name, None)  # it", "None  # it"),
    "those thought lost are not asked soon": (
        "def _ask_again(self, member):",
        "def _ask_again(self, member):\n        return",
    ),
    "nothing is told on": ("most = NEWS_TIMES *", "most = 0 *"),
    "news is told for ever": ("if member.told >= most:", "if False:"),
    "a helper does not pass answers on": (
        "if (asked := self.asked.pop(count, None)) is not None:",
        "if False:",
    ),
    "probes never fail": (
        "        if member.status is ALIVE:\n            member.doubts",
        "        if False:\n            member.doubts",
    ),
}


@pytest.mark.parametrize("name", CHANGES)
def test_each_change_of_the_core_is_found(name):
    """What guards the guards: a core with one of its parts taken out fails some check."""
    old, new = CHANGES[name]
    text = Path(core_module.__file__).read_text()
    assert text.count(old) == 1, "the part that this change takes out is written otherwise now"
    changed = types.ModuleType("hopsail.swim.changed")
    changed.__package__ = "hopsail.swim"
    sys.modules[changed.__name__] = changed
    exec(compile(text.replace(old, new), "changed core", "exec"), changed.__dict__)
    for check in CHECKS:
        try:
            if check(changed.Core):
                return
        except (AttributeError, KeyError, RecursionError, StormFault):
            return  # it fell over: found, too
    pytest.fail("no check finds it")


# Further hard cases.


def test_a_fleet_of_one_and_two_fleets_on_one_network():
    alone = Sim(1, seed=1)
    alone.run(30)
    assert alone.look()["b0"]["alive"] == ["b0"]
    sim = Sim(4, seed=1)
    other = Core(Rules("b1", "other", ELSE, ELSE, (KEY,), (sim.places["b0"],)), Random(1), 0, 5)
    sim.run(5)
    other.tick(2 * SECOND)
    for _, data in other.out:
        sim.processes["b0"].core.received(sim.clock, data)
    assert sim.processes["b0"].core.counts["refused.fleet"] == len(other.out) > 0
    assert sorted(sim.look()["b0"]["alive"]) == sim.names


def test_keys_are_changed_in_a_running_fleet_also_during_a_cut():
    sim = Sim(5, seed=2)
    judge = faults.Judge(sim)
    assert judge.settle(sim.names)
    new = bytes(range(1, 33))
    for one in ("b0", "b1"):
        for other in ("b2", "b3", "b4"):
            sim.link(one, other, False)
            sim.link(other, one, False)
    for name in sim.names[:2]:  # these hear of the change while they are cut off
        sim.processes[name].core.codec.keys = (new, KEY)
    assert judge.settle(sim.names[:2], sim.names[2:])
    sim.heal()
    for name in sim.names[2:]:
        sim.processes[name].core.codec.keys = (KEY, new)
    assert judge.settle(sim.names)
    for name in sim.names:
        sim.processes[name].core.codec.keys = (new,)
    sim.run(20)
    assert judge.settle(sim.names) and not judge.violations and not judge.false_gone


def test_a_member_costs_the_same_in_small_and_large_fleets():
    costs = []
    for members in (10, 80):
        sim = Sim(members, seed=1)
        sim.run(40)
        before = sum(p.bytes for p in sim.processes.values())
        sim.run(20)
        costs.append((sum(p.bytes for p in sim.processes.values()) - before) / members / 20)
    assert costs[1] < 1.3 * costs[0] < 1500


def test_a_schedule_is_the_same_for_a_seed_and_is_shrunk_to_what_fails():
    names = [f"b{i}" for i in range(5)]
    drawn = faults.draw(7, names, 12)
    assert drawn == faults.draw(7, names, 12) != faults.draw(8, names, 12)
    guilty = drawn[7]
    assert faults.shrink(drawn, lambda some: guilty in some) == [guilty]
    runs = [faults.play(Sim(5, seed=3), drawn[:4]).figures() for _ in range(2)]
    assert runs[0] == runs[1]
