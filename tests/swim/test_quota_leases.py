"""Leased shares of a quota: their sum never exceeds it."""

from random import Random

from swim_builders import make_settings

from hopsail.swim.quota_leases import WHOLE, QuotaLeaseClient, QuotaLeaseServer
from hopsail.swim.settings import MAX_CLOCK_DRIFT, SECOND
from hopsail.swim.simulation import SimulatedFleet


def test_shares_never_exceed_the_quota_whatever_is_lost_late_doubled_partitioned_or_restarted():
    """The law, over arbitrary schedules: who lives and what anyone believes of it is drawn at random."""
    gained = 0
    for seed in range(60):
        random = Random(seed)
        n, names = random.randint(2, 9), tuple(f"b{i}" for i in range(random.randint(1, 3)))
        settings = make_settings(lease_servers=names[:n], lease_ns=2 * SECOND)
        rate = {f"b{i}": 1 + random.uniform(-MAX_CLOCK_DRIFT / 2.1, MAX_CLOCK_DRIFT / 2.1) for i in range(n)}
        clock = lambda name, now: int(now * rate[name])  # noqa: B023, E731
        clients, servers, in_flight, live = {}, {}, [], set(rate)
        for name in rate:
            clients[name] = QuotaLeaseClient(settings, 0)
            clients[name].balancers = n
            if name in settings.lease_servers:
                servers[name] = QuotaLeaseServer(settings, 0)
        for now in range(0, 20 * SECOND, SECOND // 20):
            for name in sorted(live):
                for server, number in clients[name].requests_due(clock(name, now)):
                    for _ in range(random.choice((0, 1, 1, 2))):
                        in_flight.append((now + random.randrange(3 * SECOND), server, name, number, None))
            for message in [one for one in in_flight if one[0] <= now]:
                in_flight.remove(message)
                _, receiver, sender, number, grant = message
                if receiver not in live:
                    continue
                if grant is not None:
                    clients[receiver].handle_grant(sender, number, grant)
                elif receiver in servers:
                    answer = servers[receiver].grant(clock(receiver, now), sender)
                    for _ in range(random.choice((0, 1, 1, 2))):
                        in_flight.append(
                            (now + random.randrange(2 * SECOND), sender, receiver, number, answer)
                        )
            if random.random() < 0.02:  # dies, or comes back knowing nothing
                name = random.choice(sorted(rate))
                if name in live and len(live) > 1:
                    live.discard(name)
                else:
                    live.add(name)
                    clients[name] = QuotaLeaseClient(settings, clock(name, now))
                    clients[name].balancers = n
                    if name in servers:
                        servers[name] = QuotaLeaseServer(settings, clock(name, now))
            shares = [clients[name].share(clock(name, now)) for name in live]
            assert sum(shares) <= 1 + 1e-9, (seed, now, shares)
            for server in servers.values():
                assert server.outstanding(0) <= WHOLE // 2
            gained += any(share > 1.01 / n for share in shares)
    assert gained  # and it is of use: with some dead, others have more than an equal share


def test_shares_grow_when_half_of_a_fleet_is_lost_and_shrink_again():
    fleet = SimulatedFleet(8, seed=4, lease_servers=3)
    fleet.run(20)
    assert all(abs(row["part"] - 1 / 8) < 1e-6 for row in fleet.snapshots().values())
    for name in fleet.names[4:]:
        fleet.kill(name)
    fleet.run(20)
    assert all(abs(row["part"] - (0.5 / 8 + 0.5 / 4)) < 1e-6 for row in fleet.snapshots().values())
    for name in fleet.names[4:]:
        fleet.start(name)
    for _ in range(80):
        fleet.run(0.25)
        assert sum(row["part"] for row in fleet.snapshots().values()) <= 1 + 1e-6
    assert all(abs(row["part"] - 1 / 8) < 1e-6 for row in fleet.snapshots().values())


def test_without_a_lease_server_each_has_its_equal_share():
    fleet = SimulatedFleet(4, seed=1)
    fleet.run(5)
    assert {row["part"] for row in fleet.snapshots().values()} == {0.25}
