"""When a replica that was started again may vote and stand: once what an earlier life promised is over."""

from random import Random

import pytest

from hopsail.replication.messages import RequestVote, RequestVoteReply
from hopsail.replication.replica import Replica
from hopsail.replication.state import MILLISECOND, DurableState, Members, ReplicaConfig

CONFIG = ReplicaConfig("r0")
STARTED = 1_000_000 * MILLISECOND  # of the process; its replica is made later
MADE = STARTED + 250 * MILLISECOND
OVER = STARTED + CONFIG.min_election_timeout_ns


def restarted(started_at: int | None = STARTED, seed: int = 1) -> Replica:
    durable = DurableState(term=3, members=Members(("r0", "r1", "r2")), recovered=True)
    return Replica(CONFIG, Random(seed), MADE, durable, False, started_at)


def sent_of(replica: Replica, kind: type) -> list:
    """What it sends of one kind now."""
    ready = replica.take_ready()
    return [message for _, message in ready.messages if isinstance(message, kind)] if ready else []


def votes(replica: Replica, now: int) -> list:
    """What it answers to one who asks for a vote in the next term."""
    replica.receive(now, "r1", RequestVote(term=4, last_index=0, last_term=0, pre_vote=False, transfer=False))
    sent = []
    while (ready := replica.take_ready()) is not None:
        sent += ready.messages
        if ready.must_persist:
            replica.persisted(now, ready.serial)
    return [message for _, message in sent if isinstance(message, RequestVoteReply) and not message.pre_vote]


def test_no_vote_before_the_promise_of_an_earlier_life_is_over():
    assert votes(restarted(), OVER - 1) == []


def test_a_vote_once_it_is_over_counted_from_the_start_of_the_process():
    (reply,) = votes(restarted(), OVER)
    assert reply.granted and reply.term == 4


def test_who_does_not_know_its_start_counts_from_now():
    assert votes(restarted(None), MADE + CONFIG.min_election_timeout_ns - 1) == []
    (reply,) = votes(restarted(None), MADE + CONFIG.min_election_timeout_ns)
    assert reply.granted


def test_a_start_that_is_said_to_be_later_than_now_is_not_believed():
    (reply,) = votes(restarted(MADE + 10_000 * MILLISECOND), MADE + CONFIG.min_election_timeout_ns)
    assert reply.granted


@pytest.mark.parametrize("seed", range(50))
def test_it_stands_soon_after_the_promise_and_never_before(seed):
    replica = restarted(seed=seed)
    while not (asked := sent_of(replica, RequestVote)):
        now = replica.due
        replica.tick(now)
    assert OVER <= now <= OVER + (CONFIG.max_election_timeout_ns - CONFIG.min_election_timeout_ns) // 2
    assert all(message.incarnation is None for message in asked)


@pytest.mark.parametrize("seed", range(10))
def test_after_a_slow_start_it_stands_from_now_on(seed):
    replica = restarted(started_at=MADE - 60_000 * MILLISECOND, seed=seed)
    assert (
        MADE <= replica.due <= MADE + (CONFIG.max_election_timeout_ns - CONFIG.min_election_timeout_ns) // 2
    )
