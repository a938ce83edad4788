"""All members have restarted: one stands before the promises of their earlier lives are over."""

from random import Random

import pytest

from hopsail.replication.messages import (
    AppendEntries,
    Entry,
    EntryKind,
    RequestVote,
    RequestVoteReply,
    RestartQuery,
    RestartReply,
    TimeoutNow,
)
from hopsail.replication.replica import Replica
from hopsail.replication.restart_checks import RESTART_QUERY_INTERVAL_NS
from hopsail.replication.schedule import Weights, play_schedule
from hopsail.replication.simulation import Simulation
from hopsail.replication.state import MILLISECOND, DurableState, Members, ReplicaConfig

CONFIG = ReplicaConfig("r0")
START = 1_000_000 * MILLISECOND
OVER = START + CONFIG.min_election_timeout_ns
VOTERS = ("r0", "r1", "r2")
LAST_TERM, LAST_INDEX = 3, 2
LOWEST, HIGHEST = 0, 1 << 62  # incarnations that lose and win where logs are the same
POWER = Weights(propose=16, read=16, wipe=0, freeze=4, cut=4, isolate=2, heal=6, disk=0, members=0, power=12)


def restarted(members: Members | None = None, entries: list[Entry] | None = None) -> Replica:
    """A replica that has restarted just now, with two entries in its log."""
    entries = entries or [Entry(term=3, index=index, kind=int(EntryKind.NOOP), data=b"") for index in (1, 2)]
    durable = DurableState(term=3, entries=entries, members=members or Members(VOTERS), recovered=True)
    return Replica(CONFIG, Random(1), START, durable, False, START)


def sent(replica: Replica, now: int) -> list:
    """All that it sends now, with what waited for its disk."""
    messages = []
    while (ready := replica.take_ready()) is not None:
        messages += ready.messages
        if ready.must_persist:
            replica.persisted(now, ready.serial)
    return messages


def of(kind: type, messages: list) -> list:
    return [(peer, message) for peer, message in messages if isinstance(message, kind)]


def answer(query: RestartQuery, incarnation: int, **other) -> RestartReply:
    fields = {"fresh": True, "may_stand": True, "last_term": LAST_TERM, "last_index": LAST_INDEX} | other
    return RestartReply(number=query.number, incarnation=incarnation, **fields)


class Asker:
    """A restarted replica whose questions are answered by hand."""

    def __init__(self, **options):
        self.replica, self.now = restarted(**options), START
        self.replica.tick(START)
        self.sent = sent(self.replica, START)

    def queries(self) -> dict[str, RestartQuery]:
        return dict(of(RestartQuery, self.sent))

    def receive(self, sender: str, message) -> None:
        self.now += MILLISECOND
        self.replica.receive(self.now, sender, message)
        self.sent = sent(self.replica, self.now)

    def answer_all(self, incarnations: dict[str, int], **other) -> None:
        """All members answer the questions sent last."""
        queries = self.queries()
        for name, incarnation in incarnations.items():
            self.receive(name, answer(queries[name], incarnation, **other))

    def again(self) -> None:
        self.now += RESTART_QUERY_INTERVAL_NS
        self.replica.tick(self.now)
        self.sent = sent(self.replica, self.now)

    def requests(self) -> dict[str, RequestVote]:
        return dict(of(RequestVote, self.sent))


INCARNATIONS = {"r1": LOWEST + 1, "r2": LOWEST + 2}


def test_it_stands_once_all_have_told_twice_that_they_have_restarted():
    asker = Asker()
    assert asker.queries().keys() == INCARNATIONS.keys()
    first = asker.queries()["r1"].number
    asker.answer_all(INCARNATIONS)
    assert not asker.requests() and asker.queries()["r1"].number != first
    asker.answer_all(INCARNATIONS)
    requests = asker.requests()
    assert {name: request.incarnation for name, request in requests.items()} == INCARNATIONS
    assert not any(request.pre_vote for request in requests.values()) and asker.now < OVER


def test_one_round_is_not_enough():
    """A member that was fresh may have led since; only the second round shows that it has not."""
    asker = Asker()
    asker.answer_all(INCARNATIONS)
    asker.answer_all(INCARNATIONS, fresh=False)
    assert not asker.requests() and asker.replica.role.value == "follower"


def test_who_was_in_another_life_at_the_first_round_is_asked_again():
    """Its promise in the life between may have been given after the others were asked."""
    asker = Asker()
    asker.answer_all(INCARNATIONS)
    asker.answer_all(INCARNATIONS | {"r2": 77})
    assert not asker.requests()
    asker.again()
    asker.answer_all(INCARNATIONS | {"r2": 77})
    assert not asker.requests()
    asker.answer_all(INCARNATIONS | {"r2": 77})
    assert asker.requests()["r2"].incarnation == 77


def test_answers_to_an_earlier_round_do_not_count():
    asker = Asker()
    queries = asker.queries()
    asker.answer_all(INCARNATIONS)
    for name, incarnation in INCARNATIONS.items():
        asker.receive(name, answer(queries[name], incarnation))
    assert not asker.requests() and asker.replica.role.value == "follower"


def test_a_member_that_does_not_answer_is_waited_for():
    asker = Asker()
    asker.receive("r1", answer(asker.queries()["r1"], 1))
    assert not asker.queries()
    asker.again()
    assert asker.queries().keys() == {"r2"}
    while asker.now < OVER - RESTART_QUERY_INTERVAL_NS:
        asker.again()
        assert not asker.requests()


def test_who_has_heard_a_leader_asks_no_more_and_does_not_stand():
    asker = Asker()
    asker.answer_all(INCARNATIONS)
    queries = asker.queries()
    asker.receive(
        "r1",
        AppendEntries(
            term=3,
            prev_index=2,
            prev_term=3,
            commit=0,
            heartbeat_round=1,
            sent_at=1,
            recover_incarnation=0,
            recover_index=0,
            entries=[],
        ),
    )
    for name, incarnation in INCARNATIONS.items():
        asker.receive(name, answer(queries[name], incarnation))
    assert not asker.requests() and asker.replica.role.value == "follower"
    asker.again()
    assert not asker.queries()


def test_who_stands_asks_no_more():
    asker = Asker()
    asker.answer_all(INCARNATIONS)
    asker.answer_all(INCARNATIONS)
    assert asker.requests()
    asker.again()
    assert not asker.queries() and not asker.requests()


def test_once_the_promise_is_over_nobody_is_asked():
    asker = Asker()
    asker.now = OVER - RESTART_QUERY_INTERVAL_NS
    asker.again()
    assert not asker.queries()


def test_a_replica_that_is_new_asks_nobody():
    durable = DurableState(members=Members(VOTERS), recovered=True)
    replica = Replica(CONFIG, Random(1), START, durable, False, START)
    replica.tick(START)
    assert not of(RestartQuery, sent(replica, START))


def test_who_may_not_stand_asks_nobody():
    durable = DurableState(term=3, members=Members(VOTERS))
    replica = Replica(CONFIG, Random(1), START, durable, True, START)
    replica.tick(START)
    assert not of(RestartQuery, sent(replica, START))
    learner = restarted(members=Members(("r1", "r2", "r3"), ("r0",)))
    learner.tick(START)
    assert not of(RestartQuery, sent(learner, START))


def test_who_has_heard_a_leader_or_led_is_not_fresh():
    query = RestartQuery(number=5)
    replica = restarted()
    replica.receive(START, "r1", query)
    ((_, reply),) = of(RestartReply, sent(replica, START))
    assert reply.fresh and reply.number == 5 and reply.incarnation == replica.incarnation
    replica.receive(
        START,
        "r1",
        AppendEntries(
            term=3,
            prev_index=2,
            prev_term=3,
            commit=0,
            heartbeat_round=1,
            sent_at=1,
            recover_incarnation=0,
            recover_index=0,
            entries=[],
        ),
    )
    replica.receive(START, "r1", query)
    ((_, reply),) = of(RestartReply, sent(replica, START))
    assert not reply.fresh
    leader = restarted()
    leader.tick(OVER + CONFIG.max_election_timeout_ns)
    leader.receive(leader.now, "r1", RequestVoteReply(term=4, granted=True, pre_vote=True))
    sent(leader, leader.now)
    leader.receive(leader.now, "r1", RequestVoteReply(term=4, granted=True, pre_vote=False))
    assert leader.is_leader
    sent(leader, leader.now)
    leader._become_follower(leader.term, None)
    leader.receive(leader.now, "r1", query)
    ((_, reply),) = of(RestartReply, sent(leader, leader.now))
    assert not reply.fresh


@pytest.mark.parametrize(
    "other", [{"last_index": LAST_INDEX + 1}, {"last_term": LAST_TERM + 1, "last_index": 1}]
)
def test_who_has_a_shorter_log_than_another_leaves_it_to_that_one(other):
    asker = Asker()
    asker.answer_all(INCARNATIONS, **other)
    asker.answer_all(INCARNATIONS, **other)
    assert not asker.requests()


def test_of_the_same_logs_one_stands():
    asker = Asker()
    incarnations = INCARNATIONS | {"r2": HIGHEST}
    asker.answer_all(incarnations)
    asker.answer_all(incarnations)
    assert not asker.requests()


def test_who_may_not_stand_is_not_left_to():
    asker = Asker()
    incarnations = INCARNATIONS | {"r2": HIGHEST}
    asker.answer_all(incarnations, may_stand=False)
    asker.answer_all(incarnations, may_stand=False)
    assert asker.requests()


def test_those_before_the_last_change_are_asked_too():
    """One that has removed itself leads until that is committed."""
    joint = Members(("r0", "r1", "r2"), (), ("r0", "r1", "r9"))
    final = Members(("r0", "r1", "r2"))
    kind = int(EntryKind.MEMBERS)
    entries = [
        Entry(term=3, index=1, kind=kind, data=joint.encode()),
        Entry(term=3, index=2, kind=kind, data=final.encode()),
    ]
    asker = Asker(members=Members(("r0", "r1", "r9")), entries=entries)
    assert asker.queries().keys() == {"r1", "r2", "r9"}
    asker.answer_all(INCARNATIONS)
    assert not asker.queries() and not asker.requests()


def grants(replica: Replica, incarnation: int | None) -> bool:
    replica.receive(
        START,
        "r1",
        RequestVote(
            term=4,
            last_index=LAST_INDEX,
            last_term=LAST_TERM,
            pre_vote=False,
            transfer=False,
            incarnation=incarnation,
        ),
    )
    replies = of(RequestVoteReply, sent(replica, START))
    return any(reply.granted and not reply.pre_vote for _, reply in replies)


def test_a_voter_leaves_its_promise_aside_in_the_life_that_is_named_only():
    replica = restarted()
    assert not grants(replica, None)
    assert not grants(replica, replica.incarnation + 1)
    assert grants(replica, replica.incarnation)


def test_a_voter_that_has_heard_a_leader_in_this_life_keeps_its_promise():
    replica = restarted()
    replica.receive(
        START,
        "r2",
        AppendEntries(
            term=3,
            prev_index=2,
            prev_term=3,
            commit=0,
            heartbeat_round=1,
            sent_at=1,
            recover_incarnation=0,
            recover_index=0,
            entries=[],
        ),
    )
    assert not grants(replica, replica.incarnation)


def test_what_was_known_of_the_others_lives_is_forgotten_with_a_leader():
    asker = Asker()
    asker.answer_all(INCARNATIONS)
    asker.answer_all(INCARNATIONS)
    asker.receive(
        "r1",
        AppendEntries(
            term=5,
            prev_index=2,
            prev_term=3,
            commit=0,
            heartbeat_round=1,
            sent_at=1,
            recover_incarnation=0,
            recover_index=0,
            entries=[],
        ),
    )
    asker.receive("r1", TimeoutNow(term=5))
    assert asker.requests() and all(request.incarnation is None for request in asker.requests().values())


@pytest.mark.parametrize("voters", [3, 5])
@pytest.mark.parametrize("seed", range(20))
def test_after_a_kill_of_all_one_leads_before_the_promises_are_over(seed, voters):
    simulation = Simulation(seed, voters=voters)
    simulation.propose(simulation.run_until(simulation.settled_leader))
    simulation.run(200 * MILLISECOND)
    for name in simulation.nodes:
        simulation.crash(name)
    simulation.run(100 * MILLISECOND)
    began = simulation.now
    for name in simulation.nodes:
        simulation.start(name)
        simulation.run(2 * MILLISECOND)
    simulation.run_until(simulation.settled_leader)
    assert simulation.now - began < 150 * MILLISECOND
    simulation.check_survival()


class AsksAMajority(Replica):
    """Does not wait for all members."""

    def _members_to_query(self):
        return super()._members_to_query()[: len(self.voters) // 2]


class AlwaysFresh(Replica):
    """Does not note that it leads, or hears a leader."""

    def _record_leader_seen(self):
        pass


def leads_beside_a_lease(seed: int, factory: type[Replica], answers: bool) -> bool:
    """Whether one of four that restart is elected while the lease of the fifth, which goes on, holds.

    None of its messages arrive, but for its answers to surveys if `answers`."""
    simulation = Simulation(seed, voters=5, factory=factory)
    leader = simulation.run_until(simulation.settled_leader)
    simulation.run(200 * MILLISECOND)
    passed = (RestartQuery, RestartReply) if answers else ()
    simulation.intercept = lambda sender, receiver, message: leader in (sender, receiver) and not isinstance(
        message, passed
    )
    for name in simulation.nodes.keys() - {leader}:
        simulation.crash(name)
        simulation.start(name)
    while simulation.nodes[leader].replica.lease_valid(simulation.now):
        if simulation.leader() != leader:
            return True
        simulation.run(MILLISECOND)
    simulation.intercept = None
    simulation.check_survival()
    return False


@pytest.mark.parametrize("answers", [False, True])
def test_while_a_leader_goes_on_restarted_members_elect_nobody(answers):
    assert not any(leads_beside_a_lease(seed, Replica, answers) for seed in range(20))


@pytest.mark.parametrize("factory, answers", [(AsksAMajority, False), (AlwaysFresh, True)])
def test_without_the_guard_two_lead_at_a_time(factory, answers):
    assert any(leads_beside_a_lease(seed, factory, answers) for seed in range(20))


def test_schedules_with_losses_of_power():
    acknowledged = 0
    for seed in range(150):
        simulation = play_schedule(seed, 25, POWER, voters=3 + 2 * (seed % 2))
        acknowledged += len(simulation.checker.acknowledged)
    assert acknowledged > 150
