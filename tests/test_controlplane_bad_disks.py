"""Disks that are full or stall, under whole control processes: no acknowledgement, no lie, no restart."""

import errno
import os
import threading

import pytest
from test_controlplane_cluster import acknowledged, others, started
from test_controlplane_processes import Cluster, put

from hopsail.net.loop import Loop
from hopsail.replication.generation import Generation
from hopsail.replication.state import MILLISECOND


class Disks:
    """Disks of processes by number, to be spoilt and mended."""

    def __init__(self, cluster: Cluster, monkeypatch):
        self.cluster = cluster
        self.full: set[str] = set()
        self.stalled: dict[str, threading.Event] = {}
        self.hanging: set[str] = set()
        original = Generation.append

        def append(generation, *arguments):
            folder = os.path.dirname(generation._path)
            if folder in self.full:
                raise OSError(errno.ENOSPC, "no space left on device")
            if folder in self.stalled:
                self.hanging.add(folder)
                assert self.stalled[folder].wait(60)
            return original(generation, *arguments)

        monkeypatch.setattr(Generation, "append", append)

    def folder(self, number: int) -> str:
        return str(self.cluster.folder / str(number))

    def fill(self, *numbers: int) -> None:
        self.full.update(map(self.folder, numbers))

    def stall(self, *numbers: int) -> None:
        for number in numbers:
            self.stalled[self.folder(number)] = threading.Event()

    def mend(self) -> None:
        self.full.clear()
        while self.stalled:
            self.stalled.popitem()[1].set()


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    monkeypatch.setattr(Loop, "on_signal", lambda self, number, act: None)  # tests keep their signals
    made = Cluster(tmp_path)
    made.settled()
    yield made
    made.close()


@pytest.fixture
def disks(cluster, monkeypatch):
    made = Disks(cluster, monkeypatch)
    yield made
    made.mend()


def restart_all(cluster: Cluster) -> None:
    for number in (1, 2, 3):
        cluster.kill(number)
    for number in (1, 2, 3):
        cluster.start(number)


KINDS = ["fill", "stall"]


@pytest.mark.parametrize("kind", KINDS)
def test_no_majority_of_disks_no_acknowledgement(cluster, disks, kind):
    """Two of three: what is sent meanwhile has no clear answer, and a clear one once they work again."""
    assert cluster.submit(1, put(0, 1)).status == 200
    leader = cluster.settled()
    getattr(disks, kind)(leader, leader % 3 + 1)
    change = put(1, 2)
    for number in (1, 2, 3, leader):
        assert cluster.try_submit(number, change) is None
    disks.mend()
    for number in (1, 2, 3):
        assert cluster.submit(number, change).status == 200
        assert cluster.read(number) == 2
    assert cluster.submit(1, put(1, 3)).status == 412
    restart_all(cluster)
    assert [cluster.read(number) for number in (1, 2, 3)] == [2, 2, 2]


@pytest.mark.parametrize("kind", KINDS)
def test_a_leader_whose_disk_fails_leaves_the_lead_and_serves_on(cluster, disks, kind):
    assert cluster.submit(1, put(0, 1)).status == 200
    leader = cluster.settled()
    getattr(disks, kind)(leader)
    assert cluster.submit(leader, put(1, 2)).status == 200  # by another one
    cluster.until(lambda: cluster.leader() not in (None, leader), 1500)
    assert cluster.submit(leader, put(1, 2)).status == 200
    assert cluster.submit(leader, put(1, 3)).status == 412
    assert [cluster.read(number) for number in (1, 2, 3)] == [2, 2, 2]
    disks.mend()
    replica = cluster.planes[leader].shards[0].replica
    cluster.until(lambda: not replica.durability.failing and replica.durability.is_clean(replica.log))
    assert replica.durability.durable_index == replica.last_index
    restart_all(cluster)
    assert [cluster.read(number) for number in (1, 2, 3)] == [2, 2, 2]


@pytest.mark.parametrize("kind", KINDS)
def test_a_follower_whose_disk_fails_holds_nothing_up_and_catches_up(cluster, disks, kind):
    leader = cluster.settled()
    follower = leader % 3 + 1
    getattr(disks, kind)(follower)
    for revision in (1, 2, 3):
        assert cluster.submit(leader, put(revision - 1, revision)).status == 200
    disks.mend()
    replica = cluster.planes[follower].shards[0].replica
    wanted = max(plane.shards[0].replica.commit_index for plane in cluster.planes.values())
    cluster.until(lambda: replica.durability.durable_index >= wanted)
    other = ({1, 2, 3} - {leader, follower}).pop()
    cluster.kill(other)
    assert cluster.read(follower) == 3


def test_a_full_disk_counts_for_no_majority(cluster, disks):
    """The two others hold what is acknowledged: it survives the loss of the leader that acknowledged it."""
    leader = cluster.settled()
    full = leader % 3 + 1
    disks.fill(full)
    assert cluster.submit(leader, put(0, 1)).status == 200
    assert cluster.planes[full].shards[0].replica.durability.durable_index < 2
    cluster.kill(leader)
    assert cluster.try_submit(full, put(1, 2)) is None
    disks.mend()
    assert cluster.submit(full, put(1, 2)).status == 200
    assert cluster.read(full) == 2


def test_an_old_call_with_a_full_disk_gets_no_refusal_it_does_not_deserve(cluster, disks):
    """A change that was stored by the leader alone, before its disk and one more filled up."""
    assert cluster.submit(1, put(0, 1)).status == 200
    leader = cluster.settled()
    disks.fill(*({1, 2, 3} - {leader}))
    change, rival = put(1, 2), put(1, 4)
    assert cluster.try_submit(leader, change) is None
    assert cluster.try_submit(leader, rival) is None
    disks.mend()
    statuses = [cluster.submit(number, change).status for number in (1, 2, 3)]
    rivals = [cluster.submit(number, rival).status for number in (1, 2, 3)]
    assert sorted([set(statuses), set(rivals)], key=min) == [{200}, {412}]


@pytest.mark.parametrize("kind", KINDS)
def test_a_followers_disk_costs_nobody_the_leadership(kind):
    """By a simulated clock: processes that share a busy machine may lose it for being late."""
    simulation, operators = started()
    leader = simulation.settled_leader()
    term, disk = simulation.nodes[leader].replica.term, simulation.nodes[others(simulation, leader)[0]].disk
    disk.refuses, disk.delay = kind == "fill", 5 * MILLISECOND if kind == "fill" else 20_000 * MILLISECOND
    for _ in range(5):
        acknowledged(simulation, operators, name=leader)
        simulation.run(1000 * MILLISECOND)
        assert (simulation.settled_leader(), simulation.nodes[leader].replica.term) == (leader, term)
    operators.check_end()
