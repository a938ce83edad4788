"""No data plane comes into service with what was in force long ago, and each comes into service in time."""

from random import Random

import pytest
from controlplane_simulation import Operators
from feeds_simulation import (
    CONTACT_TIME,
    FeedSimulation,
    acknowledged,
    host,
    started,
)

from hopsail.controlplane.contact import CONFIRM_INTERVAL_NS
from hopsail.feed.confirmed import MAX_TICK_STEP_NS
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Phase
from hopsail.replication.schedule import CALM, ROUGH
from hopsail.replication.state import MILLISECOND, ReplicaConfig

SECOND = 1000 * MILLISECOND
SOON = 600 * MILLISECOND
# A restarted voter votes no earlier, unless all have restarted.
PROMISE = ReplicaConfig("").min_election_timeout_ns
SCHEDULES = 60
REVISION = (Topic.CONFIGURATION, "revision")


def others(simulation, name):
    return [other for other in simulation.nodes if other != name]


def cut_off_with_old(simulation, operators, cut, how="both"):
    """A process that has been cut off for long, and the newest revision that it does not know."""
    acknowledged(simulation, operators)
    simulation.run(SECOND)
    simulation.cut_off(cut, how)
    simulation.run(2 * CONTACT_TIME)
    newest = acknowledged(simulation, operators, name=others(simulation, cut)[0])
    simulation.run(SECOND)
    return newest


def some_member(simulation, leads):
    leader = simulation.run_until(simulation.settled_leader)
    return leader if leads else others(simulation, leader)[0]


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("how", ["both", "in", "out"])
def test_seeds_that_begin_with_a_process_that_is_cut_off(leads, how):
    simulation, operators = started()
    cut = some_member(simulation, leads)
    newest = cut_off_with_old(simulation, operators, cut, how)
    plane = simulation.data_plane([cut, *others(simulation, cut)])
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]
    assert plane.ready_at - plane.began < SOON


@pytest.mark.parametrize("leads", [True, False])
def test_a_process_that_is_cut_off_is_a_pointer_to_the_others(leads):
    simulation, operators = started()
    cut = some_member(simulation, leads)
    newest = cut_off_with_old(simulation, operators, cut)
    plane = simulation.data_plane([cut])
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]
    assert plane.ready_at - plane.began < SOON


def test_the_slow_answer_of_the_others_does_not_bring_the_old_configuration():
    simulation, operators = started()
    cut = some_member(simulation, leads=False)
    newest = cut_off_with_old(simulation, operators, cut)
    plane = simulation.data_plane([cut])
    simulation.cut_edge(plane, *others(simulation, cut))
    simulation.run(CONTACT_TIME // 2)
    assert not plane.ready and plane.view.table is None and not plane.view.instances
    simulation.cuts = {pair for pair in simulation.cuts if plane.identity not in pair}
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]


def test_who_reaches_only_a_process_that_is_cut_off_serves_after_the_contact_time():
    simulation, operators = started()
    cut = some_member(simulation, leads=False)
    newest = cut_off_with_old(simulation, operators, cut)
    plane = simulation.data_plane([cut])
    simulation.cut_edge(plane, *others(simulation, cut))
    simulation.run_until(lambda: plane.ready)
    assert CONTACT_TIME <= plane.ready_at - plane.began < CONTACT_TIME + SECOND
    assert plane.revisions[-1] < newest
    simulation.heal()
    simulation.run_until(lambda: plane.revisions[-1] == newest)


def test_a_data_plane_in_service_keeps_what_it_has_while_nobody_has_a_majority():
    simulation, operators = started()
    newest = acknowledged(simulation, operators)
    plane = simulation.data_plane(list(simulation.nodes))
    simulation.run_until(lambda: plane.ready)
    for name in simulation.nodes:
        simulation.cut_off(name)
    simulation.run(20 * SECOND)
    assert plane.ready and plane.revisions == [newest]
    simulation.heal()
    later = acknowledged(simulation, operators)
    simulation.run_until(lambda: plane.revisions[-1] == later)


def test_a_data_plane_in_service_takes_no_old_hosts_of_a_restarted_process_that_is_cut_off():
    simulation, operators = started()
    cut = some_member(simulation, leads=False)
    acknowledged(simulation, operators)
    plane = simulation.data_plane(list(simulation.nodes))
    simulation.run_until(lambda: plane.ready)
    simulation.cut_off(cut)
    simulation.crash(cut)
    simulation.start(cut)
    simulation.process(cut).read_hosts(host("i-long-gone"))
    simulation.run(20 * SECOND)
    assert "i-long-gone" not in plane.view.instances
    simulation.process(cut).read_hosts(host("i-long-gone", Phase.REMOVED))
    simulation.heal()
    simulation.run(SECOND)
    assert plane.view.instances["i-long-gone"].phase is Phase.REMOVED


def test_news_of_hosts_go_on_while_nobody_has_a_majority():
    simulation, operators = started()
    acknowledged(simulation, operators)
    plane = simulation.data_plane(list(simulation.nodes))
    simulation.run_until(lambda: plane.ready)
    for name in simulation.nodes:
        simulation.cut_off(name)
    simulation.run(20 * SECOND)
    simulation.process("r1").read_hosts(host("i-2"))
    simulation.run(SECOND)
    assert plane.view.instances["i-2"].phase is Phase.SERVING


def test_a_process_that_thaws_does_not_count_as_in_contact():
    simulation, operators = started()
    frozen = some_member(simulation, leads=True)
    acknowledged(simulation, operators)
    simulation.run(SECOND)
    simulation.freeze(frozen, 20 * SECOND)
    simulation.run(SECOND)
    newest = acknowledged(simulation, operators, name=others(simulation, frozen)[0])
    simulation.run(18 * SECOND + 900 * MILLISECOND)
    plane = simulation.data_plane([frozen])  # its poll waits at the process that is frozen
    simulation.cut_off(frozen)
    simulation.cut_edge(plane, *others(simulation, frozen))
    simulation.run(CONTACT_TIME // 2)
    assert simulation.nodes[frozen].frozen_until < simulation.now and not plane.ready
    simulation.heal()
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]


def test_replies_that_were_under_way_while_the_data_plane_was_frozen_are_old():
    simulation, operators = started()
    cut = some_member(simulation, leads=False)
    acknowledged(simulation, operators)
    plane = simulation.data_plane([cut])
    simulation.cut_edge(plane, *others(simulation, cut))
    plane.frozen_until = simulation.now + 20 * SECOND  # the poll has left
    simulation.run(SECOND)
    simulation.cut_off(cut)
    newest = acknowledged(simulation, operators, name=others(simulation, cut)[0])
    simulation.run(19 * SECOND + 500 * MILLISECOND)
    assert plane.controls.followers and not plane.ready
    simulation.heal()
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]


def test_after_a_loss_of_power_of_all_a_data_plane_is_ready_in_time():
    simulation, operators = started()
    newest = acknowledged(simulation, operators)
    simulation.run(SECOND)
    for name in simulation.nodes:
        simulation.crash(name)
    plane = simulation.data_plane(list(simulation.nodes))
    simulation.run(SECOND)
    started_at = simulation.now
    for name in simulation.nodes:
        simulation.start(name)
    simulation.run_until(simulation.settled_leader)
    assert simulation.now - started_at < PROMISE
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]
    assert plane.ready_at - started_at < PROMISE + SOON


def test_the_leaders_word_comes_with_its_configuration():
    """After a loss of power of all, data planes whose polls wait are ready with the first reply."""
    simulation, operators = started()
    acknowledged(simulation, operators)
    simulation.run(SECOND)
    for name in simulation.nodes:
        simulation.crash(name)
    for name in simulation.nodes:
        simulation.start(name)
    plane = simulation.data_plane(list(simulation.nodes))
    processes = [simulation.process(name) for name in simulation.nodes]
    simulation.run_until(lambda: any(process.journal.get(*REVISION) for process in processes))
    fed_at = simulation.now
    simulation.run_until(lambda: plane.ready)
    assert plane.ready_at - fed_at <= 2 * simulation.network.max_delay


def test_a_loss_of_power_that_leaves_one_process_lets_data_planes_serve():
    simulation, operators = started()
    newest = acknowledged(simulation, operators)
    simulation.run(SECOND)
    for name in simulation.nodes:
        simulation.crash(name)
    simulation.start("r1")
    plane = simulation.data_plane(list(simulation.nodes))
    simulation.run(20 * SECOND)
    # A configuration of which a process alone does not know that it is committed is not told.
    assert plane.view.table is None
    simulation.start("r2")
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]


def test_a_process_that_has_caught_up_counts_at_its_first_contact():
    simulation, operators = started()
    away = some_member(simulation, leads=False)
    acknowledged(simulation, operators)
    simulation.crash(away)
    newest = acknowledged(simulation, operators)
    simulation.run(SECOND)
    simulation.start(away)
    plane = simulation.data_plane([away])
    simulation.cut_edge(plane, *others(simulation, away))
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]
    assert plane.ready_at - plane.began < SOON


def test_a_slow_start_of_feeding_does_not_bring_what_the_disk_holds(monkeypatch):
    """What is applied and not fed yet is no contact."""
    simulation, operators = started()
    acknowledged(simulation, operators)
    simulation.run(SECOND)
    name = some_member(simulation, leads=False)
    process = simulation.process(name)
    monkeypatch.setattr(process.configuration_feed, "publish", lambda: None)
    newest = acknowledged(simulation, operators)
    simulation.run(2 * CONTACT_TIME)
    plane = simulation.data_plane([name])
    simulation.cut_edge(plane, *others(simulation, name))
    simulation.run(SECOND)
    assert not plane.ready
    monkeypatch.undo()
    process.configuration_feed.publish()
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]
    assert plane.ready_at - plane.began < SECOND + SOON


def test_a_deposed_leader_in_a_minority_has_no_contact():
    simulation, operators = started(voters=5)
    leader = some_member(simulation, leads=True)
    friend = others(simulation, leader)[0]
    acknowledged(simulation, operators)
    for name in others(simulation, leader):
        if name != friend:
            for one in (leader, friend):
                simulation.cut(one, name)
                simulation.cut(name, one)
    simulation.run(5 * SECOND)
    ages = {name: simulation.process(name).feeds.contact.age_ms() for name in simulation.nodes}
    assert min(ages[leader], ages[friend]) > 4000
    assert max(age for name, age in ages.items() if name not in (leader, friend)) < 500


def test_in_calm_times_each_process_has_recent_contact():
    simulation, _ = started()
    for _ in range(50):
        simulation.run(100 * MILLISECOND)
        for name in simulation.nodes:
            assert (
                0 <= simulation.process(name).feeds.contact.age_ms() * MILLISECOND < 2 * CONFIRM_INTERVAL_NS
            )


def test_all_that_a_feed_tells_is_held_back():
    simulation, operators = started()
    cut = some_member(simulation, leads=False)
    cut_off_with_old(simulation, operators, cut)
    old = simulation.process(cut)
    old.journal.set(Topic.TARGET, "m", b"1")
    plane = simulation.data_plane([cut])
    simulation.cut_edge(plane, *others(simulation, cut))
    simulation.run(SECOND)
    view = plane.view
    assert plane.controls.followers[(cut, 1)].state  # it has come
    assert (view.table, view.instances, view.targets) == (None, {}, {})


def test_a_process_that_is_no_member_is_a_pointer_to_the_members():
    simulation, operators = started(spares=1)
    newest = acknowledged(simulation, operators, name="r0")
    plane = simulation.data_plane(["r3"])
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]
    assert {"r0", "r1", "r2"} <= plane.followed


def test_a_leader_that_is_cut_off_tells_no_list_that_is_not_committed():
    simulation, operators = started(spares=1)
    leader = some_member(simulation, leads=True)
    plane = simulation.data_plane([leader])
    simulation.run(SECOND)
    simulation.cut_off(leader)
    simulation.cut_edge(plane, *others(simulation, leader))
    simulation.propose_members(leader, simulation.nodes[leader].replica.voters, ("r3",))
    simulation.run(5 * SECOND)
    assert "r3" in simulation.nodes[leader].replica.members.all
    assert {name for name, _ in plane.controls.told} == {"r0", "r1", "r2"}


def test_a_member_that_was_removed_and_cut_off_changes_nobodys_list():
    simulation, operators = started(spares=1)
    leader = some_member(simulation, leads=True)
    removed = others(simulation, leader)[0]
    plane = simulation.data_plane(["r0", "r1", "r2"])
    acknowledged(simulation, operators, name=leader)
    lists = lists_taken(plane)
    simulation.cut_off(removed)
    kept = [name for name in ("r0", "r1", "r2") if name != removed]
    simulation.propose_members(leader, ("r0", "r1", "r2"), ("r3",))
    simulation.run_until(lambda: simulation.nodes[leader].replica.is_caught_up("r3"))
    simulation.propose_members(leader, ("r0", "r1", "r2", "r3"), ())
    simulation.run(5 * SECOND)
    assert lists == [{"r0", "r1", "r2"}, {"r0", "r1", "r2", "r3"}]
    simulation.propose_members(leader, (*kept, "r3"), ())
    simulation.run(10 * SECOND)
    assert lists[2:] == [{*kept, "r3"}]
    assert plane.followed == {*kept, "r3"}


def lists_taken(plane):
    """The lists of members that a data plane has taken, one after the other."""
    lists, tell = [], plane.controls.tell

    def noted(*told):
        tell(*told)
        members = {name for name, _ in plane.controls.told}
        if not lists or lists[-1] != members:
            lists.append(members)

    plane.controls.tell = noted
    return lists


class History:
    """What was the newest acknowledged revision, and when."""

    def __init__(self, simulation, operators):
        self.simulation, self.operators = simulation, operators
        self.noted = []  # (time, revision)
        self._note()

    def _note(self) -> None:
        simulation = self.simulation
        simulation.at(simulation.now + 10 * MILLISECOND, self._note)
        if not self.noted or self.noted[-1][1] < self.operators.newest:
            self.noted.append((simulation.now, self.operators.newest))

    def newest_at(self, time: int) -> int:
        return max((revision for when, revision in self.noted if when <= time), default=0)

    def check(self, plane) -> None:
        """A first configuration is not older than the contact time, but for one without any contact.

        Of a stop of the data plane, one step of its patience may count."""
        if plane.ready_at is None:
            return
        ran_for = plane.ready_at - plane.began - plane.stopped_for
        if ran_for + min(plane.stopped_for, MAX_TICK_STEP_NS) >= CONTACT_TIME:
            return
        bound = self.newest_at(plane.ready_at - CONTACT_TIME)
        assert plane.revisions[0] >= bound, (plane.identity, plane.revisions, bound)


def only_in_reach_of(simulation, name):
    """A data plane that starts and reaches one process alone."""
    plane = simulation.data_plane([name])
    simulation.cut_edge(plane, *others(simulation, name))
    return plane


def heal_core(simulation):
    """Ends the cuts between control processes, not those of data planes."""
    simulation.cuts = {pair for pair in simulation.cuts if not set(pair) <= simulation.nodes.keys()}


def heal_edges(simulation):
    """Ends the cuts of data planes, not those between control processes."""
    simulation.cuts = {pair for pair in simulation.cuts if set(pair) <= simulation.nodes.keys()}


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize(
    ("away", "back"), [(400, 200), (900, 400), (2500, 700), (1500, 5), (1500, 40), (3500, 100)]
)
def test_a_process_that_loses_and_regains_its_majority_again_and_again(leads, away, back):
    simulation, operators = started()
    history = History(simulation, operators)
    acknowledged(simulation, operators)
    name = some_member(simulation, leads)
    for turn in range(12):
        simulation.cut_off(name, ("both", "in", "out")[turn % 3])
        operators.change(name=others(simulation, name)[turn % 2])
        only_in_reach_of(simulation, name)
        simulation.run(away * MILLISECOND)
        heal_core(simulation)
        simulation.run(back * MILLISECOND)
        for plane in simulation.planes:
            history.check(plane)
    simulation.heal()
    newest = acknowledged(simulation, operators)
    simulation.run_until(lambda: all(plane.revisions[-1:] == [newest] for plane in simulation.planes))


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("to_plane", [True, False])
def test_a_process_that_hears_or_is_heard_by_a_data_plane_alone(leads, to_plane):
    simulation, operators = started()
    name = some_member(simulation, leads)
    newest = cut_off_with_old(simulation, operators, name)
    plane = simulation.data_plane([name, *others(simulation, name)])
    for other in others(simulation, name):
        simulation.cut(*((other, plane.identity) if to_plane else (plane.identity, other)))
    simulation.run(CONTACT_TIME // 2)
    assert not plane.ready
    heal_edges(simulation)
    simulation.run_until(lambda: plane.ready)
    assert plane.revisions == [newest]


def freeze_process(simulation, plane, name):
    simulation.freeze(name, 5 * SECOND)


def freeze_plane(simulation, plane, name):
    plane.freeze(5 * SECOND)


def freeze_both(simulation, plane, name):
    freeze_process(simulation, plane, name)
    freeze_plane(simulation, plane, name)


def cut_poll(simulation, plane, name):
    simulation.cut_edge(plane, name)


def cut_reply(simulation, plane, name):
    simulation.cut(name, plane.identity)


INSTANTS = [0, 5, 10, 20, 50, 100, 200, 400, 900, 1100]  # ms after the start of a data plane


@pytest.mark.parametrize("trouble", [freeze_process, freeze_plane, freeze_both, cut_poll, cut_reply])
@pytest.mark.parametrize("instant", INSTANTS)
def test_trouble_at_each_instant_of_a_start_brings_nothing_old(trouble, instant):
    """The process in reach is cut off at the same time, and changes are acknowledged without it."""
    simulation, operators = started()
    history = History(simulation, operators)
    name = some_member(simulation, leads=instant % 20 == 0)
    acknowledged(simulation, operators)
    simulation.run(SECOND)
    simulation.cut_off(name)
    simulation.run(CONTACT_TIME - 500 * MILLISECOND)  # its word becomes too old during the start
    acknowledged(simulation, operators, name=others(simulation, name)[0])
    plane = only_in_reach_of(simulation, name)
    simulation.run(instant * MILLISECOND)
    trouble(simulation, plane, name)
    for _ in range(4):
        acknowledged(simulation, operators, name=others(simulation, name)[1])
        simulation.run(SECOND)
        history.check(plane)
    simulation.heal()
    simulation.run_until(lambda: plane.ready)
    history.check(plane)
    simulation.run_until(lambda: plane.revisions[-1] == operators.newest)


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_an_old_version_of_weights_never_displaces_a_newer_one(order):
    """A process that has word for the configuration may be behind with the weights of a service."""
    simulation, operators = started()
    acknowledged(simulation, operators)
    simulation.run(SECOND)
    names = list(simulation.nodes)
    for name, version in zip(names, (b"1", b"2", b"2"), strict=True):
        simulation.process(name).journal.set(Topic.TARGET, "m", version)
    seeds = [names[one] for one in order]
    plane = simulation.data_plane(seeds)
    simulation.cut_edge(plane, seeds[1])
    simulation.run(200 * MILLISECOND)
    first = plane.view.targets["m"].newest
    heal_edges(simulation)
    simulation.run(2 * SECOND)
    assert plane.view.targets["m"].newest == 2 >= first
    simulation.process(names[0]).journal.set(Topic.TARGET, "m", b"0")
    simulation.crash(names[0])
    simulation.start(names[0])
    simulation.process(names[0]).journal.set(Topic.TARGET, "m", b"1")
    simulation.run(5 * SECOND)
    assert plane.view.targets["m"].newest == 2


class Days:
    """Random faults on control processes while data planes come and go."""

    def __init__(self, seed: int):
        self.random = Random(f"old/{seed}")
        self.simulation = FeedSimulation(seed, voters=self.random.choice((3, 5)))
        self.simulation.run_until(self.simulation.settled_leader)
        self.operators = Operators(self.simulation, seed)
        self.history = History(self.simulation, self.operators)
        self.simulation.network = self.random.choice((CALM, ROUGH))

    def play(self, steps: int) -> None:
        random, simulation = self.random, self.simulation
        for _ in range(steps):
            name = random.choice(list(simulation.nodes))
            step = random.randrange(9)
            if step == 0:
                simulation.cut_off(name, random.choice(("both", "in", "out")))
            elif step == 1:
                simulation.heal()
            elif step == 2:
                simulation.freeze(name, random.randint(100, 8000) * MILLISECOND)
            elif step == 3:
                simulation.crash(name)
            elif step <= 6:
                self.operators.change()
            self._start_some()
            self._check_planes()
            seeds = random.sample(list(simulation.nodes), min(3, len(simulation.nodes)))
            plane = simulation.data_plane(seeds)
            if random.random() < 0.3:
                simulation.cut_edge(plane, random.choice(list(simulation.nodes)))
            if random.random() < 0.2:
                plane.freeze(random.randint(100, 5000) * MILLISECOND)
            simulation.run(random.randint(100, 4000) * MILLISECOND)
        self._check_planes()

    def _start_some(self) -> None:
        for name, node in self.simulation.nodes.items():
            if node.replica is None and self.random.random() < 0.4:
                self.simulation.start(name)

    def _check_planes(self) -> None:
        for plane in self.simulation.planes:
            self.history.check(plane)

    def end(self) -> None:
        self.operators.check_end()
        newest = self.operators.newest
        self.simulation.run_until(
            lambda: all(plane.revisions and plane.revisions[-1] == newest for plane in self.simulation.planes)
        )


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_in_random_days_no_first_configuration_is_old_and_all_get_the_newest(seed):
    days = Days(seed)
    days.operators.change()
    days.simulation.run(2 * SECOND)
    days.play(15)
    days.end()
