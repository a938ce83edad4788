"""Versions named while an earlier one's time still runs: each keeps the time that it was given when it was named."""

import pytest
from test_dataplane_placement import Fleet, instance

from hopsail.hosts.instance import Address, Phase
from hopsail.weights.actions import SendOrder
from hopsail.weights.rollout import HostInfo, Rollout, RolloutRules

MS = 1_000_000
S = 1_000 * MS
ALLOWED = 6_500 * MS  # from the naming of a version until no request goes to a host without it


def fleet_at(*revisions):
    """Hosts i-0, i-1, ... on these revisions."""
    fleet = Fleet(hosts=0)
    fleet.list(*[instance(f"i-{number}", revision=held) for number, held in enumerate(revisions)])
    return fleet


@pytest.mark.parametrize("gap", [1 * MS, 500 * MS, 4 * S, ALLOWED - MS])
def test_a_newer_version_does_not_extend_the_time_of_an_earlier_one(gap):
    fleet = fleet_at(1, 2, 3)
    named_at = fleet.now
    fleet.names(2)
    fleet.now += gap
    fleet.names(3)
    fleet.now = named_at + ALLOWED
    assert fleet.all_hosts() == {"i-0", "i-1", "i-2"}
    fleet.now = named_at + ALLOWED + MS // 2
    assert fleet.all_hosts() == {"i-1", "i-2"}
    fleet.now = named_at + gap + ALLOWED + MS // 2
    assert fleet.all_hosts() == {"i-2"}


def test_the_host_whose_time_ends_first_is_ordered_first():
    rollout = Rollout("core-1", RolloutRules(), "m")
    rollout.acquire(0, 1, False)
    address = Address("10.0.0.1", 80)
    hosts = [HostInfo(f"i-{number}", address, 2 if number < 8 else 1, Phase.SERVING) for number in range(9)]
    rollout.update(0, [host._replace(revision=1) for host in hosts[8:]], 2, 0)
    rollout.update(4 * S, hosts, 3, 4 * S)
    rollout.step(4 * S, True)
    orders = [action.host for action in rollout.step(4 * S + 200 * MS, True) if isinstance(action, SendOrder)]
    assert "i-8" in orders
