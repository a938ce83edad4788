"""The ring that balancers of an emulated fleet share, against one of its own; and whole runs on both."""

from random import Random

import pytest

from hopsail.decide import Host
from hopsail.emulator import scenario, world
from hopsail.emulator.rings import Shared
from hopsail.model import SECOND, Listing, Settings, State
from hopsail.tables import Ring

SETTINGS = Settings(origin_kind=9)


def host(name, size=1.0):
    return Host(Listing(name, 0, 0, 0, State.READY, size, 0), size, SETTINGS, SECOND)


def walks(ring, random, most):
    return [[h.name for h in ring.walk(random.getrandbits(64), most)] for _ in range(12)]


@pytest.mark.parametrize("seed", range(6))
def test_views_that_come_and_go_apart_walk_as_rings_of_their_own(seed):
    random, shared = Random(seed), Shared()
    hosts = [host(i, random.choice((0.5, 1.0, 3.0))) for i in range(1, 14)]
    pairs = [(Ring(), shared.ring(), set()) for _ in range(3)]
    for _ in range(60):
        own, view, members = random.choice(pairs)
        if members and random.random() < 0.45:
            one = random.choice(sorted(members, key=lambda h: h.name))
            members.discard(one)
            own.leave(one, 1.0)
            view.leave(one, 1.0)
        else:
            some = [h for h in random.sample(hosts, 3) if h not in members]
            members.update(some)
            own.join(some, 1.0)
            view.join(some, 1.0)
        draws = random.getrandbits(32)
        for most in (1, 2, 5, 99):
            assert walks(own, Random(draws), most) == walks(view, Random(draws), most)


def test_another_size_of_the_same_name_has_the_places_of_that_size():
    shared, small, large = Shared(), host(1, 0.2), host(1, 4.0)
    first, second, own = shared.ring(), shared.ring(), Ring()
    first.join([small, host(2)], 1.0)
    second.join([large, host(2)], 1.0)
    own.join([large, host(2)], 1.0)
    assert walks(second, Random(1), 1) == walks(own, Random(1), 1) != walks(first, Random(1), 1)


def test_a_run_on_the_shared_ring_has_the_trace_of_one_without(monkeypatch):
    tree = {
        "fleet": {"balancers": 5, "caches": 8, "zones": 2}, "cache": {"service": "5 ms", "keeps": 300},
        "origin": {"service": "20 ms", "cores": 16}, "load": {"rate": "300/s", "lasts": "6 s", "keys": 500},
        "track": [{"name": "read", "part": "100%", "promised": "200 ms"}],
        "trouble": [{"what": "zone", "at": "1 s", "lasts": "2 s"},
                    {"what": "restart", "at": "2 s", "lasts": "1 s", "part": "60%"}],
    }  # fmt: skip
    played = scenario.read(tree)
    shared = world.World(played, "hopsail", 4).run().trace
    monkeypatch.setattr(Shared, "ring", staticmethod(Ring))
    assert repr(world.World(played, "hopsail", 4).run().trace) == repr(shared)
