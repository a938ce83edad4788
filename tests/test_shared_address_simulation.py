"""The callers' simulation with hosts that share an address: a connection may have carried an earlier try."""

import pytest
from test_callers_simulation import HOSTS, World

from hopsail.routing.choice import HostState

SEEDS = range(150)


class SharedAddress(World):
    """The list names three hosts, all at the address of the first."""

    def __init__(self, seed):
        super().__init__(seed)
        address = self.plane.hosts[0].address
        self.plane.hosts = [HostState(f"i-{number}", address) for number in range(HOSTS)]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_answer_to_an_earlier_try_counts_for_a_later_one(seed):
    world = SharedAddress(seed)
    world.time.run()
    for identifier in world.clients:
        world.judge(identifier)
