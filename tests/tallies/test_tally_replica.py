"""A replica's answers, in a network that does what each test says."""

import pytest
from tallies_simulation import MS, Shape, Simulation

from hopsail.tallies import own_disk
from hopsail.tallies.errors import TallyError
from hopsail.tallies.messages import AddRecord, ExchangeCall, ExchangeReply, OriginRun, Position, PushReply
from hopsail.tallies.replica import TallyConfig, TallyReplica
from hopsail.tallies.types import Add, AddOutcome

ADD = Add("t0", "i", 4)


@pytest.fixture
def simulation():
    simulation = Simulation(1, Shape())
    simulation.smooth = True
    simulation.run_for(1_500 * MS)  # calls that were lost at the start have timed out
    return simulation


def cut(simulation, side):
    others = set(simulation.machines) - side
    simulation.block({pair for a in side for b in others for pair in ((a, b), (b, a))})


def copies(simulation):
    return sum(machine.replica.total(simulation.now, "t0") == 4 for machine in simulation.machines.values())


def test_add_is_acknowledged_within_two_syncs_and_is_everywhere(simulation):
    caller = simulation.call(ADD, "m0")
    simulation.run_for(30 * MS)
    assert caller.outcome is AddOutcome.ACKNOWLEDGED
    assert copies(simulation) == 5


@pytest.mark.parametrize("side", [{"m0"}, {"m0", "m1"}])
def test_side_with_fewer_machines_takes_adds_and_merges_after_healing(simulation, side):
    cut(simulation, side)
    simulation.run_for(2_000 * MS)
    caller = simulation.call(ADD, "m0")
    simulation.run_for(50 * MS)
    assert caller.outcome is AddOutcome.ACKNOWLEDGED
    assert caller.attempts == 1
    assert copies(simulation) == len(side)
    simulation.heal()
    simulation.run_for(1_500 * MS)
    assert copies(simulation) == 5


def test_merges_travel_through_a_bridge(simulation):
    simulation.block(
        {pair for a in ("m0", "m1") for b in ("m3", "m4") for pair in ((a, b), (b, a))}
    )  # m2 reaches both
    simulation.call(ADD, "m0")
    simulation.run_for(1_000 * MS)
    assert copies(simulation) == 5


def test_add_at_the_beginning_of_a_cut_is_answered_in_time_and_never_rejected(simulation):
    cut(simulation, {"m0"})
    simulation.call(ADD, "m0", most_attempts=1)
    simulation.run_for(900 * MS)
    counts = simulation.counts
    assert counts[AddOutcome.REJECTED] == 0
    assert counts[AddOutcome.UNKNOWN] + counts[AddOutcome.ACKNOWLEDGED] == 1


def test_add_is_rejected_while_all_others_restart_and_nothing_is_done(simulation):
    for name in ("m1", "m2", "m3", "m4"):
        simulation.stop(simulation.machines[name])
    simulation.run_for(1_500 * MS)
    outcomes = []
    replica = simulation.machines["m0"].replica
    replica.add(simulation.now, ADD, outcomes.append)
    assert outcomes == [AddOutcome.REJECTED]
    assert replica.total(simulation.now, "t0") == 0


def test_disk_that_fails_costs_no_acknowledgement(simulation):
    simulation.machines["m0"].disk_slow = simulation.machines["m0"].disk_failing = True
    callers = [simulation.call(Add("t0", f"i{number}", 1), "m0") for number in range(20)]
    simulation.run_for(50 * MS)
    assert all(caller.outcome is AddOutcome.ACKNOWLEDGED for caller in callers)


def test_own_standstill_is_not_taken_for_silence_of_the_peers():
    replica = TallyReplica(TallyConfig("a", 1), "a/1", 0, [], bootstrapping=True)
    replica.set_peers(0, frozenset({"b"}))
    assert len(replica.take_calls()) == 1
    replica.tick(3_000 * MS)
    assert replica.figures()["cut_off"] == 0


def test_disk_of_a_peer_that_came_back_empty_is_not_counted():
    replica = TallyReplica(TallyConfig("a", 1), "a/1", 0, [], bootstrapping=True)
    replica.set_peers(0, frozenset({"b"}))
    (exchange,) = replica.take_calls()
    reply = ExchangeReply(runs=[], known=[], durable=[], origin="b/1")
    replica.replied(MS, exchange.number, reply)
    outcomes = []
    replica.add(MS, ADD, outcomes.append)
    (push,) = replica.take_calls()
    position = [Position(origin="a/1", sequence=1)]
    synced = PushReply(known=position, durable=position, origin="b/1")
    replica.replied(2 * MS, push.number, synced)
    replica.tick(300 * MS)
    (exchange,) = replica.take_calls()
    reply = ExchangeReply(runs=[], known=[], durable=[], origin="b/2")
    replica.replied(301 * MS, exchange.number, reply)
    (push,) = replica.take_calls()
    replica.replied(302 * MS, push.number, synced)  # late, of the former life
    replica.written(303 * MS, replica.take_write().serial)
    assert outcomes == []


def test_compaction_keeps_everything(simulation):
    machine = simulation.machines["m0"]
    for number in range(3):
        simulation.call(Add("t0", f"i{number}", 1), "m0")
        simulation.run_for(20 * MS)
    machine.replica.compact()
    simulation.call(Add("t0", "last", 1), "m0")
    simulation.run_for(50 * MS)
    assert len(machine.disk) == 1
    config = TallyConfig("m0", 0)
    again = TallyReplica(config, "m0/again", 0, machine.disk, bootstrapping=True)
    assert again.total(0, "t0") == 4


# Guards against a process in a crash loop that takes a disk it has just begun to fill for a whole one.
def test_disk_that_was_lost_is_whole_only_once_all_of_the_others_is_written_again():
    write_of = own_disk.MAX_WRITE_BYTES
    adds = [AddRecord(tally="t0", identifier=f"{number}" + "i" * 250, amount=1) for number in range(5000)]
    runs = [OriginRun(origin="b/1", first_sequence=1, adds=adds)]
    assert sum(len(add.identifier) for add in adds) > write_of
    position = [Position(origin="b/1", sequence=len(adds))]
    reply = ExchangeReply(runs=runs, known=position, durable=position, origin="b/1", intact=True)
    config = TallyConfig("a", 1)
    replica = TallyReplica(config, "a/2", 0, [], bootstrapping=False)
    replica.set_peers(0, frozenset({"b"}))
    disk, told = [], []
    for now in range(0, 5 * MS, MS):
        write = replica.take_write()
        if write is not None:
            disk.append(write.data)
            replica.written(now, write.serial)
        again = TallyReplica(config, "a/3", 0, disk, bootstrapping=False)
        told.append(again.receive_exchange(0, ExchangeCall(known=[])).intact)
        if now == MS:
            (exchange,) = replica.take_calls()
            replica.replied(now, exchange.number, reply)
    assert replica.total(now, "t0") == len(adds)
    assert told == [False, False, False, True, True]


# Guards against totals in an older state than acknowledged, told by a process that has started.
def test_process_that_started_waits_for_a_peer_that_may_alone_hold_an_add(simulation):
    simulation.shape = simulation.shape._replace(cuts=False)
    machines = simulation.machines
    for name in ("m2", "m3"):
        simulation.stop(machines[name])
    caller = simulation.call(ADD, "m4")  # on the disks of m0, m1 and m4
    simulation.run_for(1_000 * MS)
    assert caller.outcome is AddOutcome.ACKNOWLEDGED
    for name in ("m0", "m1", "m4"):
        simulation.stop(machines[name])
    for name in ("m0", "m4"):
        simulation.wipe(machines[name])
    for name in ("m0", "m2", "m3", "m4"):
        simulation.start(machines[name])
    simulation.run_for(20_000 * MS)  # longer than any wait
    assert all(simulation.read(machine) is None for machine in machines.values())
    simulation.start(machines["m1"])
    simulation.run_for(3_000 * MS)
    assert copies(simulation) == 5


def test_adds_beyond_the_bound_are_rejected():
    replica = TallyReplica(TallyConfig("a", 0, max_adds=1), "a/1", 0, [], bootstrapping=True)
    replica.set_peers(0, frozenset())
    outcomes = []
    replica.add(0, ADD, outcomes.append)
    replica.add(0, ADD._replace(identifier="j"), outcomes.append)
    write = replica.take_write()
    replica.written(5 * MS, write.serial)
    assert outcomes == [AddOutcome.REJECTED, AddOutcome.ACKNOWLEDGED]
    assert replica.total(5 * MS, "t0") == 4


def test_no_add_is_taken_before_the_peers_are_known():
    replica = TallyReplica(TallyConfig("a", 2), "a/1", 0, [], bootstrapping=True)
    outcomes = []
    replica.add(0, ADD, outcomes.append)
    assert outcomes == [AddOutcome.REJECTED]


def test_unreadable_stored_bytes_raise():
    with pytest.raises(TallyError):
        TallyReplica(TallyConfig("a", 0), "a/1", 0, [b"\x0f\x00"], bootstrapping=False)
