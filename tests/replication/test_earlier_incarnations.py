"""A late acknowledgement of a voter's earlier life, whose disk is gone, counts for nothing."""

from hopsail.replication.messages import AppendEntries, AppendEntriesReply
from hopsail.replication.progress import Progress
from hopsail.replication.simulation import Simulation
from hopsail.replication.state import MILLISECOND


def test_an_acknowledgement_of_a_lost_disk_that_comes_late_does_not_commit():
    """Of five, two hold an entry; a third had it, and its word comes after it is back with an empty disk."""
    simulation = Simulation(3, voters=5)
    leading = simulation.run_until(simulation.settled_leader)
    simulation.run(300 * MILLISECOND)
    leader = simulation.nodes[leading].replica
    _, wiped, *behind = [name for name in simulation.nodes if name != leading]
    proposed, held = [], []

    def intercept(sender, receiver, message):
        if receiver in behind and isinstance(message, AppendEntries) and message.entries:
            return True  # these hear of the leader, and get none of its entries
        late = sender == wiped and isinstance(message, AppendEntriesReply)
        if late and simulation.nodes[wiped].incarnation == 1 and proposed and message.match >= proposed[0]:
            held.append(message)
            return True
        return False

    simulation.intercept = intercept
    proposed.append(leader.propose(simulation.now, b"value"))
    simulation._work(simulation.nodes[leading])
    simulation.run_until(lambda: held)
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    assert simulation.nodes[wiped].incarnation > 1
    simulation.run(300 * MILLISECOND)
    assert leader.is_leader and leader.commit_index < proposed[0]
    for message in held:
        assert message.term == leader.term and message.success and not message.recovering
        leader.receive(simulation.now, wiped, message)
    simulation.run(300 * MILLISECOND)
    assert leader.is_leader and leader.commit_index < proposed[0]
    simulation.intercept = None
    simulation.run_until(lambda: leader.commit_index >= proposed[0])
    simulation.check_survival()


def test_once_a_later_life_has_answered_an_earlier_one_is_heard_no_more():
    progress = Progress(7)
    assert progress.accept_incarnation(1, False, 7, 10)
    assert progress.accept_incarnation(2, True, 7, 20)
    progress.record_match(3)
    assert not progress.accept_incarnation(1, False, 7, 10)
    assert progress.recovering and progress.match == 3 and progress.accept_incarnation(2, True, 7, 20)


def test_an_earlier_life_that_was_never_heard_in_the_term_does_not_take_the_place_of_a_later_one():
    progress = Progress(7)
    assert progress.accept_incarnation(2, True, 7, 20)
    progress.record_match(3)
    for sent_at in (10, 20):
        assert not progress.accept_incarnation(1, False, 7, sent_at)
    assert progress.incarnation == 2 and progress.recovering and progress.match == 3


def test_a_later_life_is_taken_at_its_first_answer_to_a_later_message():
    progress = Progress(7)
    assert progress.accept_incarnation(1, False, 7, 20)
    progress.record_match(3)
    assert progress.accept_incarnation(2, True, 7, 21)
    assert progress.incarnation == 2 and progress.recovering and progress.match == 0


def test_the_first_word_of_a_lost_disk_that_comes_after_the_next_life_does_not_commit():
    """Of five, two hold an entry; nothing of the third that had it too is heard until it is back, wiped."""
    simulation = Simulation(4, voters=5)
    leading = simulation.run_until(simulation.settled_leader)
    leader = simulation.nodes[leading].replica
    _, wiped, *behind = [name for name in simulation.nodes if name != leading]
    leader._progress[wiped] = Progress(leader.log.last_index)  # as of a leader that has not heard it yet
    proposed, held = [], []

    def intercept(sender, receiver, message):
        if receiver in behind and isinstance(message, AppendEntries) and message.entries:
            return True
        if sender == wiped and simulation.nodes[wiped].incarnation == 1 and receiver == leading:
            held.append(message)
            return True
        return False

    simulation.intercept = intercept
    proposed.append(leader.propose(simulation.now, b"value"))
    simulation._work(simulation.nodes[leading])
    simulation.run_until(lambda: [one for one in held if getattr(one, "match", 0) >= proposed[0]])
    simulation.crash(wiped, wipe=True)
    simulation.start(wiped)
    simulation.run(300 * MILLISECOND)
    assert leader.is_leader and leader.commit_index < proposed[0]
    for message in held:
        leader.receive(simulation.now, wiped, message)
    simulation.run(300 * MILLISECOND)
    assert leader.is_leader and leader.commit_index < proposed[0]
    simulation.intercept = None
    simulation.run_until(lambda: leader.commit_index >= proposed[0])
    simulation.check_survival()
