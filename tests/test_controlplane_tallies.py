"""Tallies of whole control processes on loopback addresses, each with its loop and its disk."""

import json

import pytest
from test_controlplane_processes import DOOR, PORT, SECOND, make_cluster, put  # noqa: F401
from unanswered_address import UnansweredAddress

from hopsail.controlplane.tally_disk import TallyDisk
from hopsail.http.client import HttpClient
from hopsail.net.loop import Loop
from hopsail.replication.errors import StorageError
from hopsail.membership.identity import Identity
from hopsail.membership.node import Membership, MembershipSettings
from hopsail.process import FLEET
from hopsail.rpc.link_sign import LinkSign
from hopsail.tallies.types import Add, AddOutcome, TallyWrite


def add(cluster, number, identifier, amount=1):
    """Adds as callers do, who send again what has not been acknowledged."""
    for _ in range(20):
        if outcome_of_add(cluster, number, identifier, amount) is AddOutcome.ACKNOWLEDGED:
            return
    raise AssertionError("not acknowledged")


def read(cluster, number, total):
    cluster.until(lambda: cluster.planes[number].tally_total("t") == total)


@pytest.fixture
def unanswered():
    made = UnansweredAddress()
    yield made
    made.close()


def redirect(cluster, source, target, address=None):
    """The source's calls of tallies go to this address from now on, or to the target again."""
    channel = cluster.planes[source].tally_channel(f"{cluster.ip(target)}:{PORT}")
    channel.address = address or (cluster.ip(target), PORT)
    if channel._connection is not None:
        channel._connection.close()


def lose_datagrams(cluster, source, targets):
    """The source's datagrams of membership to these others are lost from now on."""
    membership_socket = cluster.planes[source].membership._socket
    send = type(membership_socket).send
    lost = {(cluster.ip(target), PORT) for target in targets}
    membership_socket.send = lambda address, data: address in lost or send(membership_socket, address, data)


def cut_off(cluster, number, unanswered):
    """Neither handshakes nor datagrams between it and the others are answered any more."""
    others = set(cluster.planes) - {number}
    lose_datagrams(cluster, number, others)
    for other in others:
        lose_datagrams(cluster, other, {number})
        redirect(cluster, number, other, unanswered.address)
        redirect(cluster, other, number, unanswered.address)


def heal(cluster):
    for source in cluster.planes:
        lose_datagrams(cluster, source, ())
        for target in set(cluster.planes) - {source}:
            redirect(cluster, source, target)


def run_for(cluster, duration):
    """Drives all for so many ns of the loops' clock."""
    clock = next(iter(cluster.planes.values())).loop
    end = clock.now() + duration
    cluster.until(lambda: clock.now() >= end)


def outcome_of_add(cluster, number, identifier, amount=1):
    """Of a single call."""
    told = []
    cluster.planes[number].add_to_tally(Add("t", identifier, amount), told.append)
    return cluster.until(lambda: told)[0]


def test_adds_at_each_process_are_read_at_all(make_cluster):  # noqa: F811
    cluster = make_cluster()
    for number in cluster.planes:
        add(cluster, number, f"i-{number}", number)
        add(cluster, number, "twice", 10)
    for number in cluster.planes:
        read(cluster, number, 16)


def test_an_add_survives_the_end_of_all_processes_and_one_disk(make_cluster):  # noqa: F811
    cluster = make_cluster()
    add(cluster, 1, "i", 5)
    for number in (1, 2, 3):
        cluster.kill(number, wipe=number == 1)
    for number in (1, 2, 3):
        cluster.start(number)
        assert cluster.planes[number].tally_total("t") is None  # before it has heard of others
    for number in (1, 2, 3):
        read(cluster, number, 5)


def test_a_process_alone_on_its_side_of_a_partition_goes_on(make_cluster, unanswered):  # noqa: F811
    cluster = make_cluster(zone="z-{number}")
    add(cluster, 1, "before", 1)
    cut_off(cluster, 1, unanswered)
    plane = cluster.planes[1]
    cluster.until(lambda: plane.tallies.replica.figures()["cut_off"] == 2)
    add(cluster, 1, "alone", 2)
    assert plane.tally_total("t") == 3
    add(cluster, 2, "on the other side", 4)
    heal(cluster)
    read(cluster, 3, 7)
    cluster.until(lambda: plane.tallies.replica.figures()["cut_off"] == 0)


# Guards against adds on one disk while the others' processes are down (docs/incidents/review-2-one-disk.md).
@pytest.mark.parametrize("leave", ["killed", "frozen"])
def test_no_add_is_acknowledged_on_one_disk_while_both_others_are_down(make_cluster, leave):  # noqa: F811
    cluster = make_cluster()
    add(cluster, 1, "before", 1)
    for number in (2, 3):
        cluster.kill(number) if leave == "killed" else cluster.frozen.add(number)
    for attempt in range(5):
        assert outcome_of_add(cluster, 1, f"alone {attempt}") is not AddOutcome.ACKNOWLEDGED
        run_for(cluster, SECOND)
    if leave == "killed":
        cluster.start(3)
    cluster.frozen.discard(3)
    outcomes = []
    while AddOutcome.ACKNOWLEDGED not in outcomes:  # adds go on with one of three away
        assert len(outcomes) < 30
        run_for(cluster, SECOND // 10)
        outcomes.append(outcome_of_add(cluster, 1, "with one of three away"))


# Guards against the same with three of five away, one by one, some frozen, while the last one starts anew.
def test_no_add_is_acknowledged_on_too_few_disks_while_three_of_five_go_one_by_one(make_cluster):  # noqa: F811
    cluster = make_cluster(count=5, losses=2)
    add(cluster, 1, "before", 1)
    for number in (2, 3, 4):
        cluster.frozen.add(number) if number == 3 else cluster.kill(number)
        run_for(cluster, SECOND)
    outcomes = []
    for attempt in range(6):
        if attempt == 3:
            cluster.kill(1)
            cluster.start(1)
        outcomes.append(outcome_of_add(cluster, 1, f"two disks {attempt}"))
        outcomes.append(outcome_of_add(cluster, 5, f"two disks {attempt}"))
        run_for(cluster, SECOND // 2)
    assert AddOutcome.ACKNOWLEDGED not in outcomes
    cluster.start(2)
    cluster.until(lambda: outcome_of_add(cluster, 1, "three disks") is AddOutcome.ACKNOWLEDGED)


# Guards against the same while both others end again and again, soon after their starts.
def test_no_add_is_lost_with_a_disk_while_both_others_are_in_a_crash_loop(make_cluster):  # noqa: F811
    cluster = make_cluster()
    add(cluster, 1, "before", 1)
    acknowledged = 0
    for attempt in range(8):
        for number in (2, 3):
            cluster.kill(number)
        for step in range(5):
            identifier = f"alone {attempt} {step}"
            acknowledged += outcome_of_add(cluster, 1, identifier) is AddOutcome.ACKNOWLEDGED
        for number in (2, 3):
            cluster.start(number)
        run_for(cluster, SECOND // 10 * (attempt % 4))
    cluster.kill(1, wipe=True)
    cluster.start(1)
    for number in (1, 2, 3):
        cluster.until(lambda number=number: cluster.planes[number].tally_total("t") is not None)
        assert cluster.planes[number].tally_total("t") >= 1 + acknowledged


# Guards against adds on one disk while the others' machines have no power, as machines next to them tell.
def test_no_add_is_acknowledged_on_one_disk_while_zones_of_silent_machines_answer(
    make_cluster,  # noqa: F811
    unanswered,
):
    cluster = make_cluster()
    add(cluster, 1, "before", 1)
    loop = Loop()
    seeds = [(cluster.ip(1), PORT)]
    settings = MembershipSettings(
        Identity("dataplane", "z-1", "edge"), (cluster.ip(100), PORT), FLEET, seeds, "edge", 200
    )
    edge = Membership(loop, settings)
    cluster.drive_also(loop)
    cluster.until(lambda: edge.joined and len(cluster.planes[1].membership.members) == 4)
    for number in (2, 3):
        cluster.kill(number)
        redirect(cluster, 1, number, unanswered.address)
    for attempt in range(6):
        assert outcome_of_add(cluster, 1, f"alone {attempt}") is not AddOutcome.ACKNOWLEDGED
        run_for(cluster, SECOND)
    assert cluster.planes[1].tallies.replica.peer_states()[0].failure is LinkSign.UNANSWERED
    edge.close()  # nobody in the zone answers any more: now it may be a cut
    cluster.until(lambda: cluster.planes[1].tallies.replica.figures()["cut_off"] == 2)
    assert outcome_of_add(cluster, 1, "behind a cut") is AddOutcome.ACKNOWLEDGED
    loop.close()


# Guards against totals in an older state, told by processes that have started while another one is down.
def test_no_total_is_read_that_may_lack_an_add_of_a_process_that_is_down(make_cluster):  # noqa: F811
    cluster = make_cluster()
    add(cluster, 1, "all have it", 1)
    cluster.kill(1)
    add(cluster, 2, "two have it", 2)
    for number in (2, 3):
        cluster.kill(number, wipe=number == 3)
    for number in (1, 3):
        cluster.start(number)
    run_for(cluster, 6 * SECOND)
    assert [cluster.planes[number].tally_total("t") for number in (1, 3)] == [None, None]
    cluster.start(2)
    for number in (1, 2, 3):
        read(cluster, number, 3)


# Guards against a process that waits for ever for a seed whose place another one has taken.
def test_a_seed_whose_place_another_one_has_taken_is_not_waited_for(make_cluster):  # noqa: F811
    cluster = make_cluster(count=4)
    add(cluster, 1, "i", 4)
    gone = f"{cluster.ip(2)}:{PORT}"
    cluster.until(lambda: len(cluster.planes[1].shards[0].replica.members.all) == 4)
    cluster.kill(2, wipe=True)
    cluster.until(lambda: gone not in cluster.planes[3].known_controls())
    cluster.kill(1, wipe=True)
    cluster.start(1)
    for number in (1, 3, 4):
        read(cluster, number, 4)


def test_reads_go_on_while_one_of_three_is_down(make_cluster):  # noqa: F811
    cluster = make_cluster()
    add(cluster, 1, "i", 4)
    for number in (1, 2, 3):
        cluster.kill(number)
    for number in (1, 2):
        cluster.start(number)
    for number in (1, 2):
        read(cluster, number, 4)


def test_a_stalled_disk_of_tallies_costs_neither_adds_nor_leadership(make_cluster, monkeypatch):  # noqa: F811
    cluster = make_cluster()
    leader = cluster.settled()
    monkeypatch.setattr(cluster.planes[leader].tallies.disk, "write", lambda write: None)
    add(cluster, leader, "i")
    assert cluster.submit(leader, put(0, 4)).status == 200 and cluster.leader() == leader


def test_a_full_disk_of_tallies_is_tried_again(make_cluster, monkeypatch):  # noqa: F811
    cluster = make_cluster()
    tallies = cluster.planes[1].tallies
    whole = tallies.disk.storage.write

    def full(batch):
        raise StorageError("no room")

    monkeypatch.setattr(tallies.disk.storage, "write", full)
    add(cluster, 1, "i")  # on the disks of the others
    cluster.until(lambda: tallies.counters.counts["tallies.disk_failures"] >= 2)
    monkeypatch.setattr(tallies.disk.storage, "write", whole)
    cluster.until(lambda: tallies.disk.storage.load("tallies") is not None)


def test_an_add_that_comes_with_the_signal_to_end_is_answered(make_cluster):  # noqa: F811
    cluster = make_cluster()
    cluster.settled()
    caller, answers = HttpClient(Loop()), []
    body = json.dumps({"InstanceId": "i", "Actor": 4}).encode()
    caller.call((cluster.ip(1), DOOR), "POST", "/-/tallies/t", [], body, 3 * SECOND, answers.append)
    for _ in range(3):
        caller.loop.round(0.001)  # sent, and not read yet
    plane = cluster.planes[1]
    plane.terminate()

    def answered():
        caller.loop.round(0.001)
        return answers

    try:
        cluster.until(answered)
        assert (answers[0].status, answers[0].body) == (200, b"{}")
        cluster.until(lambda: not plane.loop.running)
    finally:
        caller.loop.close()
    cluster.kill(1)
    read(cluster, 2, 4)


# The disk alone


class Done:
    def __init__(self):
        self.written_serials, self.failed_serials = [], []

    def written(self, serial):
        self.written_serials.append(serial)

    def write_failed(self, serial):
        self.failed_serials.append(serial)


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    loop.close()


def opened(loop, folder):
    done = Done()
    return TallyDisk(loop, str(folder), lambda: done), done


def write(loop, disk, done, serial, data, replaces_all=False):
    before = len(done.written_serials) + len(done.failed_serials)
    disk.write(TallyWrite(serial, data, replaces_all))
    while len(done.written_serials) + len(done.failed_serials) == before:
        loop.round(0.001)


def test_writes_are_read_in_order_and_from_the_last_that_replaces_all(loop, tmp_path):
    disk, done = opened(loop, tmp_path)
    for serial, data in enumerate([b"a", b"b", b"c", b"d"], 1):
        write(loop, disk, done, serial, data, replaces_all=data == b"c")
    disk.close()
    disk, done = opened(loop, tmp_path)
    assert disk.stored == [b"c", b"d"]
    write(loop, disk, done, 1, b"e")  # serials begin anew in each life
    disk.close()
    disk, _ = opened(loop, tmp_path)
    assert disk.stored == [b"c", b"d", b"e"] and not disk.storage.corrupt
    disk.close()


def test_a_write_that_failed_is_replaced_by_the_next(loop, tmp_path, monkeypatch):
    disk, done = opened(loop, tmp_path)
    write(loop, disk, done, 1, b"a")
    with monkeypatch.context() as patch:
        patch.setattr(disk.storage, "write", lambda batch: 1 / 0)
        write(loop, disk, done, 2, b"lost")
    write(loop, disk, done, 3, b"b")
    assert (done.written_serials, done.failed_serials) == ([1, 3], [2])
    disk.close()
    disk, _ = opened(loop, tmp_path)
    assert disk.stored == [b"a", b"b"]
    disk.close()


def test_a_torn_last_write_is_left_out(loop, tmp_path):
    disk, done = opened(loop, tmp_path)
    for serial, data in ((1, b"a"), (2, b"torn" * 100)):
        write(loop, disk, done, serial, data)
    disk.close()
    (file,) = tmp_path.glob("*.dat")
    file.write_bytes(file.read_bytes()[:-50])
    disk, _ = opened(loop, tmp_path)
    assert disk.stored == [b"a"] and disk.storage.torn_records == 1 and not disk.storage.corrupt
    disk.close()
