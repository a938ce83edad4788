"""Membership of the fleet: names on the wire, counts, incarnations when a clock steps, and its cost."""

import subprocess
import sys
from random import Random

import pytest
from membership_world import World

from hopsail.membership import Membership, node
from hopsail.membership.identity import HASH_PREFIX, Identity, decode, encode
from hopsail.net import udp
from hopsail.swim.settings import MAX_NAME_BYTES, MS, SECOND
from hopsail.swim.simulation import SimulatedFleet

HEARTBEAT = 1200 * MS
PORT = 7640


@pytest.fixture
def world(monkeypatch):
    made = World()
    monkeypatch.setattr(udp.socket, "socket", made.socket)
    monkeypatch.setattr(node, "time_ns", lambda: made.time_of_day)
    return made


def address(number):
    return f"10.0.0.{number}", PORT


def start(world, number, role="dataplane", on_change=None, **more):
    given = {"fleet": "f", "seeds": [address(1), address(2), address(3)], "seed": f"s{number}"} | more
    identity = Identity(role, "zone-a", f"edge-zone-a-{number}")
    settings = node.MembershipSettings(identity=identity, address=address(number), **given)
    return Membership(world, settings, on_change)


def fleet(world, control=3, data=4):
    made = [start(world, number, "controlplane") for number in range(1, control + 1)]
    return made + [start(world, control + number) for number in range(1, data + 1)]


def living(member, role):
    return {one.address for one in member.alive(role)}


# Names.


@pytest.mark.parametrize(
    "role, zone, name",
    [
        ("dataplane", "sala-ciudadela", "edge-sala-ciudadela-1"),
        ("controlplane", "hal-koege", "core-hal-koege-12"),
        ("dataplane", "z", "n"),
        ("other", "hal-roskilde", "x-hal-roskilde"),
    ],
)
def test_role_zone_and_node_travel_whole_in_the_name(role, zone, name):
    identity = Identity(role, zone, name)
    assert len(encode(identity).encode()) <= MAX_NAME_BYTES and decode(encode(identity)) == identity


def test_every_identity_has_a_name_that_fits_and_is_its_own():
    random, seen = Random(4), {}
    letters = "abcdefgé|%#-0"
    for _ in range(20_000):
        parts = ("".join(random.choices(letters, k=random.randrange(0, 40))) for _ in range(3))
        identity = Identity(*parts)
        name = encode(identity)
        assert 0 < len(name.encode()) <= MAX_NAME_BYTES
        assert seen.setdefault(name, identity) == identity
        assert all(
            got == given or got.startswith(HASH_PREFIX)
            for got, given in zip(decode(name), identity, strict=True)
        )


@pytest.mark.parametrize("role", ["d", "c"])
def test_a_role_that_reads_like_a_code_is_not_taken_for_the_coded_one(role):
    assert decode(encode(Identity(role, "z", "n"))).role not in ("dataplane", "controlplane")


def test_a_long_zone_is_hashed_and_read_by_those_who_know_its_name():
    zone = "a-very-long-zone-name-indeed-and-more"
    name = encode(Identity("dataplane", zone, "n1"))
    assert decode(name).zone.startswith(HASH_PREFIX)
    assert decode(name, ["other", zone]) == Identity("dataplane", zone, "n1")


@pytest.mark.parametrize("name", ["", "x", "a|b", "a|b|c|d", "|||"])
def test_a_name_of_another_form_is_no_fault(name):
    assert decode(name) == Identity("", "", name)


# The view.


def test_all_find_each_other_from_the_seeds_whoever_starts_first(world):
    members = [start(world, number) for number in range(7, 3, -1)]  # the seeds are not up yet
    world.run(1)
    members += [start(world, number, "controlplane") for number in (3, 2, 1)]
    world.run(10)
    for member in members:
        assert living(member, "controlplane") == {address(number) for number in (1, 2, 3)}
        assert living(member, "dataplane") == {address(number) for number in (4, 5, 6, 7)}
        assert member.joined
    one = next(one for one in members[0].members if one.address == address(1))
    assert (one.name, one.role, one.zone) == ("edge-zone-a-1", "controlplane", "zone-a")
    assert one.alive and not one.suspect


def test_joining_takes_less_than_a_heartbeat_when_the_seeds_are_late(world):
    late = start(world, 4)
    world.run(0.3)
    seeds = [start(world, number, "controlplane") for number in (1, 2, 3)]
    world.run(1.2)
    assert late.joined and living(late, "controlplane") <= {address(number) for number in (1, 2, 3)}
    assert late.alive("controlplane") and all(seed.joined for seed in seeds)


def test_a_member_that_dies_is_suspected_then_gone_and_on_change_tells_it(world):
    told = []
    members = fleet(world)
    watcher = start(world, 9, on_change=lambda: told.append(world.now()))
    world.run(10)
    told.clear()
    members[-1].close()
    suspected = False
    for _ in range(200):
        world.run(0.3)
        one = next(one for one in watcher.members if one.address == members[-1].address)
        suspected |= one.suspect
        if not one.alive:
            break
    assert suspected and not one.alive and told
    assert members[-1].address not in living(watcher, "dataplane")
    before = len(told)
    world.run(30)
    assert len(told) == before  # a calm fleet changes nothing


def test_one_that_leaves_is_gone_from_every_view_at_once(world):
    members = fleet(world)
    world.run(10)
    members[-1].leave()
    members[-1].close()
    world.run(3)
    assert all(members[-1].address not in living(one, "dataplane") for one in members[:-1])


def test_a_count_keeps_members_for_sixty_seconds_and_is_never_zero(world):
    members = fleet(world)
    world.run(10)
    watcher = members[0]
    assert watcher.count_upper_bound("dataplane", world.now()) == 4
    assert watcher.count_upper_bound("none", world.now()) == 1
    for member in members[-2:]:
        member.leave()
        member.close()
    world.run(5)
    assert len(watcher.alive("dataplane")) == 2
    world.run(50)
    assert watcher.count_upper_bound("dataplane", world.now()) == 4
    world.run(15)
    assert watcher.count_upper_bound("dataplane", world.now()) == 2


def test_one_that_restarts_within_a_second_of_its_clock_stepping_back_is_accepted(world):
    """Danger: an older life number is refused, and data planes have no disk to keep the last one."""
    members = fleet(world)
    world.run(10)
    for step in (1 * MS, 3 * SECOND, 86_400 * SECOND):
        gone = members.pop()
        gone.close()
        world.time_of_day -= step + SECOND
        world.run(0.3)
        again = start(world, int(gone.address[0].rpartition(".")[2]))
        members.insert(3, again)
        world.run(1.2)
        assert again.joined and len(again.alive("controlplane")) == 3
        assert again.incarnation > gone.incarnation
        world.run(5)
        for member in members:
            assert again.address in living(member, "dataplane")
        suspects = [one for member in members for one in member.members if one.suspect]
        assert not suspects
        world.run(60)
        assert all(len(member.alive("dataplane")) == 4 for member in members)


def test_new_seeds_are_asked_when_the_old_ones_are_lost(world):
    lost = start(world, 4)
    other = start(world, 9, "controlplane", seeds=[])
    world.run(10)
    assert not lost.joined
    lost.replace_seeds([address(9), lost.address])
    world.run(2)
    assert lost.joined and living(lost, "controlplane") == {other.address}


def test_fleets_of_other_names_do_not_mix(world):
    one, other = start(world, 1, fleet="a"), start(world, 2, fleet="b")
    world.run(10)
    assert len(one.members) == len(other.members) == 1
    assert one.figures()["members_refused_fleet"] > 0


def test_a_cut_off_member_comes_back(world):
    members = fleet(world)
    world.run(10)
    world.cut.add(members[-1].address)
    world.run(60)
    assert members[-1].address not in living(members[0], "dataplane")
    assert len(members[-1].alive("dataplane")) == 1
    world.cut.clear()
    world.run(60)
    assert all(len(one.alive("dataplane")) == 4 and len(one.alive("controlplane")) == 3 for one in members)


def test_a_zone_answers_as_long_as_one_of_its_processes_does(world):
    members = [start(world, number, "controlplane") for number in (1, 2)]
    members += [start(world, number) for number in (3, 4)]
    world.run(10)
    asker, zone = members[0], "zone-a"
    assert asker.zone_of(address(2)) == zone and asker.zone_of(address(9)) is None
    world.cut |= {address(2), address(3)}
    assert asker.zone_answered_at(zone) is None  # nobody was asked
    asked_at = world.now()
    asker.ask_zone(zone)
    world.run(1)
    assert asker.zone_answered_at(zone) == asked_at
    world.cut.add(address(4))
    asker.ask_zone(zone)
    world.run(60)
    assert asker.zone_answered_at(zone) == asked_at
    assert asker.zone_answered_at("zone-b") is None
    world.cut.clear()  # now all are held to be dead, and one that is asked answers
    asked_again_at = world.now()
    asker.ask_zone(zone)
    world.run(0.1)
    assert asker.zone_answered_at(zone) == asked_again_at


def test_an_address_in_use_is_an_error_that_the_caller_sees(world):
    start(world, 1)
    with pytest.raises(OSError):
        start(world, 1)


def test_closing_twice_gives_back_socket_and_timer_once(world):
    one = start(world, 1)
    one.close()
    one.close()
    world.run(5)
    assert not world.sockets


def test_figures_are_numbers(world):
    members = fleet(world)
    world.run(10)
    found = members[0].figures()
    assert found["members_alive"] == 7 and all(type(value) is int for value in found.values())


# Its cost.


def test_a_fleet_of_73_costs_each_member_under_200_bytes_a_second():
    """The links are 5 Mbit/s: 625,000 bytes a second."""
    sim = SimulatedFleet(73, seed=3, period=1.2, max_datagram_bytes=node.MAX_DATAGRAM_BYTES)
    sim.run(12)
    assert all(len(row["alive"]) == 73 for row in sim.snapshots().values())
    assert (
        max(process.sent_bytes for process in sim.processes.values()) / 12 < 20_000
    )  # seeds, while all join
    sim.run(48)
    before = {name: process.sent_bytes for name, process in sim.processes.items()}
    sim.run(24)
    assert max(process.sent_bytes - before[name] for name, process in sim.processes.items()) / 24 < 200


def test_a_program_that_joins_imports_nothing_heavy():
    code = "import sys, hopsail.membership; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-B", "-c", code], capture_output=True, text=True, check=True)
    heavy = {"hopsail.model", "hopsail.decide", "hopsail.net.clients", "asyncio", "cappa", "ssl", "pathlib"}
    assert not heavy & set(done.stdout.split())
