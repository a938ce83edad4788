"""Journal, publisher, fold and follower: by hand, with messages lost, doubled and cut, and on sockets."""

import random
from heapq import heappop, heappush
from itertools import count

import pytest

from hopsail.feed import publisher as publisher_module
from hopsail.feed.fold import Fold, Position
from hopsail.feed.follower import Follower, Subscription
from hopsail.feed.journal import Change, Journal, JournalFullError
from hopsail.feed.messages import POLL, ChangeStruct, PollReply, PollRequest
from hopsail.feed.publisher import Publisher
from hopsail.net.loop import Loop
from hopsail.rpc.channel import Channel
from hopsail.rpc.errors import FrameError, CallRefusedError, CallTimeoutError
from hopsail.rpc.server import RpcServer
from hopsail.rpc.structs import decode, encode

MS = 1_000_000
SECOND = 1000 * MS
HOSTS, ROUTES = 1, 2  # topics


def content(journal):
    return {(change.topic, change.key): change.value for change in journal.snapshot()}


class TestJournal:
    def test_changes_come_in_order_of_the_last_one(self):
        journal = Journal(1, 10)
        assert journal.set(HOSTS, "a", b"1") and journal.set(HOSTS, "b", b"2")
        before = journal.sequence
        assert journal.set(HOSTS, "a", b"3")
        assert journal.changes_since(0) == [Change(HOSTS, "b", b"2"), Change(HOSTS, "a", b"3")]
        assert journal.changes_since(before) == [Change(HOSTS, "a", b"3")]
        assert journal.changes_since(journal.sequence) == []

    def test_an_equal_value_is_no_change(self):
        journal = Journal(1, 10)
        journal.set(HOSTS, "a", b"1")
        sequence = journal.sequence
        assert not journal.set(HOSTS, "a", b"1")
        assert not journal.remove(HOSTS, "b")
        assert journal.sequence == sequence

    def test_an_empty_value_is_not_a_removal(self):
        journal = Journal(1, 10)
        assert journal.set(HOSTS, "a", b"")
        assert journal.snapshot() == [Change(HOSTS, "a", b"")]
        assert journal.remove(HOSTS, "a")
        assert journal.changes_since(1) == [Change(HOSTS, "a", None)]
        assert journal.snapshot() == [] and len(journal) == 0

    def test_a_removed_key_comes_back(self):
        journal = Journal(1, 10)
        journal.set(HOSTS, "a", b"1")
        journal.remove(HOSTS, "a")
        assert journal.set(HOSTS, "a", b"1")
        assert journal.changes_since(1) == [Change(HOSTS, "a", b"1")]

    def test_topics_are_apart(self):
        journal = Journal(1, 10)
        journal.set(HOSTS, "a", b"1")
        journal.set(ROUTES, "a", b"2")
        assert journal.changes_since(0, [ROUTES]) == [Change(ROUTES, "a", b"2")]
        assert journal.snapshot([HOSTS]) == [Change(HOSTS, "a", b"1")]
        assert (journal.topic_sequence(HOSTS), journal.topic_sequence(3)) == (1, 0)

    def test_a_sequence_not_reached_is_unknown(self):
        journal = Journal(1, 10)
        journal.set(HOSTS, "a", b"1")
        assert journal.changes_since(2) is None

    def test_a_batch_is_seen_whole_or_not(self):
        journal = Journal(1, 10)
        seen = []
        journal.subscribe(lambda: seen.append(journal.changes_since(0)))
        with journal.batch():
            journal.set(HOSTS, "a", b"1")
            assert journal.changes_since(0) == [] and journal.snapshot() == [] and journal.sequence == 0
            assert journal.get(HOSTS, "a") == b"1"
            with journal.batch():
                journal.set(HOSTS, "b", b"2")
            assert seen == []
        assert seen == [[Change(HOSTS, "a", b"1"), Change(HOSTS, "b", b"2")]]

    def test_a_batch_that_fails_changes_nothing(self):
        journal = Journal(1, 10)
        journal.set(HOSTS, "a", b"1")
        with pytest.raises(RuntimeError), journal.batch():
            journal.remove(HOSTS, "a")
            journal.set(HOSTS, "b", b"2")
            raise RuntimeError
        assert content(journal) == {(HOSTS, "a"): b"1"} and journal.sequence == 1
        journal.set(HOSTS, "c", b"3")
        assert journal.changes_since(1) == [Change(HOSTS, "c", b"3")]

    def test_a_batch_that_takes_itself_back_is_no_change(self):
        journal, calls = Journal(1, 10), []
        journal.set(HOSTS, "a", b"1")
        journal.subscribe(lambda: calls.append(1))
        with journal.batch():
            journal.set(HOSTS, "a", b"2")
            journal.set(HOSTS, "a", b"1")
            journal.set(HOSTS, "b", b"2")
            journal.remove(HOSTS, "b")
        assert journal.sequence == 1 and calls == []

    def test_keys_are_bounded(self):
        journal = Journal(1, 2)
        journal.set(HOSTS, "a", b"1")
        with pytest.raises(JournalFullError), journal.batch():
            journal.set(HOSTS, "b", b"2")
            journal.set(HOSTS, "c", b"3")
        assert content(journal) == {(HOSTS, "a"): b"1"}
        with journal.batch():
            journal.remove(HOSTS, "a")
            journal.set(HOSTS, "b", b"2")
            journal.set(HOSTS, "c", b"3")
        with pytest.raises(JournalFullError):
            journal.set(HOSTS, "d", b"4")
        assert journal.set(HOSTS, "c", b"5")

    def test_removed_keys_are_remembered_up_to_a_bound(self):
        journal = Journal(1, 100, max_removed=2)
        for key in "abc":
            journal.set(HOSTS, key, b"1")
        for key in "abc":
            journal.remove(HOSTS, key)
        assert len(journal._entries) == 2
        assert journal.changes_since(3) is None
        assert journal.changes_since(4) == [Change(HOSTS, "b", None), Change(HOSTS, "c", None)]

    def test_an_incarnation_is_above_zero(self):
        with pytest.raises(ValueError):
            Journal(0, 10)

    def test_changes_cost_what_they_are_many(self):
        journal = Journal(1, 100_000)
        with journal.batch():
            for number in range(50_000):
                journal.set(HOSTS, str(number), b"1")
        visited = []

        class Counting(type(journal._entries)):
            def __reversed__(self):
                for name in super().__reversed__():
                    visited.append(name)
                    yield name

        journal._entries = Counting(journal._entries)
        sequence = journal.sequence
        journal.set(HOSTS, "7", b"2")
        assert journal.changes_since(sequence) == [Change(HOSTS, "7", b"2")]
        assert len(visited) == 2

    @pytest.mark.parametrize("seed", range(5))
    def test_drawn_changes_fold_to_the_same_state(self, seed):
        draw, journal = random.Random(seed), Journal(1, 50, max_removed=5)
        held, states = {}, {0: {}}
        for _ in range(500):
            with journal.batch():
                for _ in range(draw.randrange(1, 4)):
                    name = (draw.choice((HOSTS, ROUTES)), str(draw.randrange(15)))
                    if draw.random() < 0.3:
                        journal.remove(*name)
                    else:
                        journal.set(*name, bytes([draw.randrange(3)]))
            states[journal.sequence] = content(journal)
            since = draw.choice(sorted(states))
            changes = journal.changes_since(since)
            if changes is None:
                continue
            held = dict(states[since])
            for topic, key, value in changes:
                if value is None:
                    held.pop((topic, key), None)
                else:
                    held[topic, key] = value
            assert held == content(journal)


class FakeResponder:
    """The way back to one poll."""

    def __init__(self):
        self.replies, self.callbacks = [], []

    def __call__(self, reply):
        self.replies.append(decode(PollReply, encode(reply)))

    def on_closed(self, callback):
        self.callbacks.append(callback)


class FakeClock:
    def __init__(self):
        self.now = SECOND

    def __call__(self):
        return self.now


@pytest.fixture
def journal():
    return Journal(5, 1000)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def publisher(journal, clock):
    return Publisher(journal, clock, "core-1")


def request(node="edge-1", incarnation=5, sequence=0, wait_ms=1000, topics=(HOSTS,), **more):
    return PollRequest(
        node=node, incarnation=incarnation, sequence=sequence, wait_ms=wait_ms, topics=list(topics), **more
    )


def poll(publisher, **fields):
    respond = FakeResponder()
    publisher.poll(request(**fields), respond)
    return respond.replies


class TestPublisher:
    def test_a_new_follower_has_all_entries_at_once(self, journal, publisher):
        journal.set(HOSTS, "a", b"1")
        journal.set(ROUTES, "r", b"2")
        (reply,) = poll(publisher, incarnation=0)
        assert reply.snapshot and (reply.node, reply.incarnation, reply.sequence) == ("core-1", 5, 2)
        assert reply.changes == [ChangeStruct(topic=HOSTS, key="a", value=b"1")]

    def test_another_incarnation_has_all_entries_even_when_there_are_none(self, publisher):
        (reply,) = poll(publisher, incarnation=4, sequence=7)
        assert reply.snapshot and reply.changes == [] and reply.incarnation == 5

    def test_a_sequence_ahead_of_the_journal_has_all_entries(self, journal, publisher):
        journal.set(HOSTS, "a", b"1")
        (reply,) = poll(publisher, sequence=9)
        assert reply.snapshot and reply.sequence == 1

    def test_what_has_changed_comes_at_once(self, journal, publisher):
        journal.set(HOSTS, "a", b"1")
        journal.set(HOSTS, "b", b"1")
        journal.remove(HOSTS, "a")
        (reply,) = poll(publisher, sequence=2)
        assert not reply.snapshot and (reply.since, reply.sequence) == (2, 3)
        assert reply.changes == [ChangeStruct(topic=HOSTS, key="a", value=None)]

    def test_a_poll_waits_for_a_whole_batch(self, journal, publisher):
        replies = poll(publisher)
        with journal.batch():
            journal.set(HOSTS, "a", b"1")
            journal.set(HOSTS, "b", b"1")
            assert replies == []
        (reply,) = replies
        assert [change.key for change in reply.changes] == ["a", "b"]
        assert publisher.parked == 0 and publisher.due is None
        journal.set(HOSTS, "c", b"1")
        assert len(replies) == 1

    def test_changes_of_other_topics_wake_nobody(self, journal, publisher, clock):
        replies = poll(publisher)
        journal.set(ROUTES, "r", b"1")
        assert replies == []
        assert publisher.due == clock.now + SECOND
        publisher.tick(publisher.due - 1)
        assert replies == []
        publisher.tick(publisher.due)
        (reply,) = replies
        assert (reply.snapshot, reply.changes, reply.sequence) == (False, [], 1)
        assert publisher.due is None

    def test_the_wait_is_bounded_and_may_be_none(self, publisher, clock):
        poll(publisher, wait_ms=10**9)
        assert publisher.due == clock.now + publisher_module.MAX_WAIT_MS * MS
        assert len(poll(publisher, node="edge-2", wait_ms=0)) == 1
        assert len(poll(publisher, node="edge-3", wait_ms=-5)) == 1
        assert publisher.refused_parking == 0

    def test_a_new_poll_of_a_node_answers_its_old_one_empty(self, journal, publisher):
        old = poll(publisher)
        new = poll(publisher)
        assert [reply.changes for reply in old] == [[]] and new == []
        assert publisher.parked == 1
        journal.set(HOSTS, "a", b"1")
        assert len(old) == len(new) == 1

    def test_too_many_polls_do_not_wait(self, publisher, monkeypatch):
        monkeypatch.setattr(publisher_module, "MAX_PARKED", 2)
        answers = [poll(publisher, node=f"edge-{number}") for number in range(3)]
        assert [len(replies) for replies in answers] == [0, 0, 1]
        assert publisher.parked == 2 and publisher.refused_parking == 1

    def test_a_follower_that_has_gone_is_forgotten(self, publisher):
        respond, again = FakeResponder(), FakeResponder()
        publisher.poll(request(), respond)
        publisher.poll(request(), again)
        respond.callbacks[0]()
        assert publisher.parked == 1  # its newer poll still waits
        again.callbacks[0]()
        assert publisher.parked == 0 and publisher.due is None

    def test_one_that_ends_answers_all_and_lets_none_wait(self, journal, publisher):
        waiting = [poll(publisher, node=f"edge-{number}") for number in range(3)]
        publisher.stop_parking()
        assert [[reply.changes for reply in replies] for replies in waiting] == [[[]]] * 3
        assert publisher.parked == 0 and publisher.due is None
        (reply,) = poll(publisher)
        assert reply.changes == [] and publisher.parked == 0

    def test_the_timers_are_bounded(self, publisher, monkeypatch):
        monkeypatch.setattr(publisher_module, "MAX_PARKED", 4)
        for _ in range(100):
            poll(publisher)
        assert len(publisher._timers) <= 9 and publisher.parked == 1

    def test_reports_are_handed_over(self, publisher):
        reports = []
        publisher.on_report(lambda *report: reports.append(report))
        poll(publisher, role="data", zone="z1", report=b"busy")
        assert reports == [("edge-1", "data", "z1", b"busy")]

    def test_the_decorator_fills_in_the_rest(self, publisher):
        def decorate(reply):
            reply.contact_age_ms, reply.members = 12, ["a", "b"]

        assert poll(publisher, wait_ms=0)[0].contact_age_ms == -1
        publisher.reply_decorator = decorate
        (reply,) = poll(publisher, wait_ms=0)
        assert (reply.contact_age_ms, reply.members) == (12, ["a", "b"])

    def test_all_polls_that_wait_can_be_released(self, publisher, clock):
        answers = [poll(publisher, node=f"edge-{number}") for number in range(3)]
        publisher.release()
        assert [len(replies) for replies in answers] == [1, 1, 1]
        assert publisher.parked == 0 and publisher.due is None

    def test_a_reply_without_changes_tells_how_long_its_poll_waited(self, publisher, clock):
        (waited,) = [poll(publisher)]
        clock.now += 1000 * MS
        publisher.tick(clock.now)
        assert waited[0].parked_ms == 1000

    def test_all_who_hold_the_same_have_the_same_reply(self, journal, publisher):
        answers = [poll(publisher, node=f"edge-{number}") for number in range(3)]
        journal.set(HOSTS, "a", b"1")
        assert answers[0] == answers[1] == answers[2] and len(answers[0]) == 1

    def test_a_request_and_a_reply_cut_anywhere_are_frame_errors(self):
        for struct in (request(report=b"r"), PollReply(changes=[ChangeStruct(topic=1, key="k", value=b"v")])):
            data = encode(struct)
            assert decode(type(struct), data) == struct
            for length in range(len(data)):
                with pytest.raises(FrameError):
                    decode(type(struct), data[:length])


def ask(publisher, fold, topics=(HOSTS, ROUTES)):
    """One poll from where the fold is, which does not wait."""
    position = fold.position
    replies = poll(publisher, wait_ms=0, topics=topics, **position._asdict())
    return replies[0]


def catch_up(publisher, fold):
    """Polls until a whole reply is applied; what the replies changed."""
    for _ in range(1000):
        if (folded := fold.apply(ask(publisher, fold))) is not None:
            return folded
    raise AssertionError("no end of parts")


class TestFold:
    def test_it_begins_with_nothing(self):
        assert Fold().position == Position(0, 0, 0) and Fold().state == {}

    def test_changes_are_folded_in_order(self, journal, publisher):
        fold = Fold()
        journal.set(HOSTS, "a", b"1")
        assert catch_up(publisher, fold) == (True, [Change(HOSTS, "a", b"1")])
        journal.set(HOSTS, "b", b"2")
        journal.remove(HOSTS, "a")
        assert catch_up(publisher, fold) == (False, [Change(HOSTS, "b", b"2"), Change(HOSTS, "a", None)])
        assert fold.state == {(HOSTS, "b"): b"2"}

    def test_a_key_that_came_and_went_unseen_is_not_told(self, journal, publisher):
        fold = Fold()
        catch_up(publisher, fold)
        journal.set(HOSTS, "a", b"1")
        journal.remove(HOSTS, "a")
        assert catch_up(publisher, fold) == (False, [])

    def test_a_snapshot_tells_which_keys_vanished(self, journal, publisher, clock):
        fold = Fold()
        journal.set(HOSTS, "a", b"1")
        journal.set(HOSTS, "b", b"1")
        catch_up(publisher, fold)
        other = Journal(6, 10)
        other.set(HOSTS, "b", b"2")
        folded = catch_up(Publisher(other, clock), fold)
        assert folded == (True, [Change(HOSTS, "a", None), Change(HOSTS, "b", b"2")])
        assert fold.state == content(other) and fold.position == Position(6, 1, 0)

    def test_a_lost_reply_is_made_up_for(self, journal, publisher):
        fold = Fold()
        catch_up(publisher, fold)
        journal.set(HOSTS, "a", b"1")
        ask(publisher, fold)  # lost
        journal.set(HOSTS, "b", b"1")
        catch_up(publisher, fold)
        assert fold.state == content(journal)

    def test_a_doubled_reply_changes_nothing(self, journal, publisher):
        fold = Fold()
        journal.set(HOSTS, "a", b"1")
        first = ask(publisher, fold)
        fold.apply(first)
        assert fold.apply(first) is None
        journal.remove(HOSTS, "a")
        second = ask(publisher, fold)
        fold.apply(second)
        assert fold.apply(second) is None and fold.apply(first) is None
        assert fold.state == {} and fold.ignored == 3

    def test_a_late_reply_changes_nothing(self, journal, publisher):
        fold = Fold()
        catch_up(publisher, fold)
        journal.set(HOSTS, "a", b"1")
        late = ask(publisher, fold)
        journal.set(HOSTS, "a", b"2")
        catch_up(publisher, fold)
        assert fold.apply(late) is None and fold.state == {(HOSTS, "a"): b"2"}

    def test_a_reply_of_another_incarnation_that_is_no_snapshot_is_left_out(self, journal, publisher):
        fold = Fold()
        journal.set(HOSTS, "a", b"1")
        catch_up(publisher, fold)
        journal.remove(HOSTS, "a")
        reply = ask(publisher, fold)
        reply.incarnation += 1
        assert fold.apply(reply) is None and fold.state == {(HOSTS, "a"): b"1"}
        assert catch_up(publisher, fold).changes == [Change(HOSTS, "a", None)]

    def test_a_reply_that_goes_back_is_left_out(self, journal, publisher):
        fold = Fold()
        journal.set(HOSTS, "a", b"1")
        catch_up(publisher, fold)
        reply = ask(publisher, fold)
        reply.sequence -= 1
        assert fold.apply(reply) is None and fold.position == Position(5, 1, 0)


class TestParts:
    """Replies longer than a page."""

    @pytest.fixture
    def publisher(self, journal, clock):
        return Publisher(journal, clock, "core-1", max_page=200)

    def test_a_long_snapshot_is_applied_at_its_end(self, journal, publisher):
        fold = Fold()
        fold.state[HOSTS, "gone"] = b"1"
        for number in range(20):
            journal.set(HOSTS, str(number), bytes(30))
        parts = 0
        while (folded := fold.apply(ask(publisher, fold))) is None:
            parts += 1
            assert fold.state == {(HOSTS, "gone"): b"1"}
        assert parts > 3 and fold.ignored == 0
        assert folded.snapshot and folded.changes[0] == Change(HOSTS, "gone", None)
        assert fold.state == content(journal) and fold.position == Position(5, 20, 0)

    def test_a_long_batch_is_applied_whole(self, journal, publisher):
        fold = Fold()
        catch_up(publisher, fold)
        with journal.batch():
            for number in range(20):
                journal.set(HOSTS, str(number), bytes(30))
        folded = catch_up(publisher, fold)
        assert not folded.snapshot and len(folded.changes) == 20

    def test_an_entry_longer_than_a_page_still_comes(self, journal, publisher):
        fold = Fold()
        journal.set(HOSTS, "a", bytes(1000))
        journal.set(HOSTS, "b", bytes(1000))
        catch_up(publisher, fold)
        assert fold.state == content(journal)

    def test_removals_forgotten_before_a_snapshot_do_not_begin_it_anew(self, clock):
        journal = Journal(5, 100, max_removed=1)
        for number in range(20):
            journal.set(HOSTS, str(number), bytes(30))
        for number in range(0, 20, 3):
            journal.remove(HOSTS, str(number))
        fold = Fold()
        assert catch_up(Publisher(journal, clock, max_page=100), fold).snapshot
        assert fold.state == content(journal)

    def test_removals_forgotten_during_a_snapshot_begin_it_anew(self, clock):
        journal = Journal(5, 100, max_removed=1)
        publisher, fold = Publisher(journal, clock, max_page=100), Fold()
        for number in range(20):
            journal.set(HOSTS, str(number), bytes(30))
        assert fold.apply(ask(publisher, fold)) is None
        for number in range(5):
            journal.remove(HOSTS, str(number))
        reply = ask(publisher, fold)
        assert reply.snapshot
        fold.apply(reply)
        catch_up(publisher, fold)
        assert fold.state == content(journal)

    def test_a_restart_between_parts_begins_anew(self, journal, publisher, clock):
        fold = Fold()
        for number in range(20):
            journal.set(HOSTS, str(number), bytes(30))
        assert fold.apply(ask(publisher, fold)) is None
        other = Journal(6, 10)
        other.set(HOSTS, "x", b"1")
        assert catch_up(Publisher(other, clock), fold) == (True, [Change(HOSTS, "x", b"1")])
        assert fold.state == content(other)

    @pytest.mark.parametrize("seed", range(8))
    def test_drawn_losses_and_doubles_never_show_half_a_batch(self, seed, clock):
        draw, fold, told = random.Random(seed), Fold(), {}
        journal = Journal(1, 500, max_removed=4)
        publisher = Publisher(journal, clock, max_page=150)
        earlier = []
        for step in range(600):
            if draw.random() < 0.01:
                journal = Journal(journal.incarnation + 1, 500, max_removed=4)
                publisher = Publisher(journal, clock, max_page=150)
            if draw.random() < 0.3:
                self.change(draw, journal, step)
            reply = ask(publisher, fold)
            if draw.random() < 0.2:  # lost
                continue
            earlier = earlier[-3:] + [reply]
            for each in [reply] + ([draw.choice(earlier)] if draw.random() < 0.2 else []):
                if (folded := fold.apply(each)) is not None:
                    self.tell(told, folded)
                    assert told == fold.state
                    self.check_pairs(told)
        catch_up(publisher, fold)
        assert fold.state == content(journal)

    def change(self, draw, journal, step):
        """A batch of pairs, whose two keys always have the same value."""
        with journal.batch():
            for _ in range(draw.randrange(1, 5)):
                key = str(draw.randrange(12))
                for topic in (HOSTS, ROUTES):
                    if step % 3 == 0:
                        journal.remove(topic, key)
                    else:
                        journal.set(topic, key, f"value {step}".encode())

    def tell(self, told, folded):
        for topic, key, value in folded.changes:
            if value is None:
                del told[topic, key]  # a removal is told of a key that was told of
            else:
                told[topic, key] = value

    def check_pairs(self, told):
        for topic, key in told:
            assert told[HOSTS, key] == told[ROUTES, key], topic


class FakeLoop:
    """Time and timers by hand."""

    def __init__(self):
        self.clock, self.timers, self.serial = SECOND, [], count()

    def now(self):
        return self.clock

    def at(self, when, act):
        timer = FakeTimer(act)
        heappush(self.timers, (when, next(self.serial), timer))
        return timer

    def run(self, span=0):
        """Lets so much time pass."""
        until = self.clock + span
        while self.timers and self.timers[0][0] <= until:
            when, _, timer = heappop(self.timers)
            self.clock = max(self.clock, when)
            if timer.act is not None:
                timer.act()
        self.clock = until


class FakeTimer:
    def __init__(self, act):
        self.act = act

    def cancel(self):
        self.act = None


class FakeChannel:
    """Keeps the calls, to be answered by the test."""

    def __init__(self, loop):
        self.loop, self.calls, self.times = loop, [], []

    def call(self, method, argument, reply_class, done, timeout):
        assert (method, reply_class, timeout) == (POLL, PollReply, 1700 * MS)
        self.calls.append((argument, done))
        self.times.append(self.loop.now())

    def take(self):
        (call,) = self.calls
        self.calls.clear()
        return call


class Told(list):
    """What `on_changes` was called with."""

    def __call__(self, follower, snapshot, changes, reply):
        self.append((snapshot, changes))


@pytest.fixture
def fake_loop():
    return FakeLoop()


@pytest.fixture
def fake_channel(fake_loop):
    return FakeChannel(fake_loop)


@pytest.fixture
def told():
    return Told()


@pytest.fixture
def follower(fake_loop, fake_channel, told):
    return Follower(
        fake_loop, fake_channel, Subscription("edge-1", "data", "z1", [HOSTS]), told, lambda: b"busy"
    )


class TestFollower:
    def test_it_asks_with_what_it_holds(self, fake_loop, fake_channel, follower, journal, publisher, told):
        fake_loop.run()
        asked, done = fake_channel.take()
        assert asked == request(incarnation=0, role="data", zone="z1", report=b"busy")
        journal.set(HOSTS, "a", b"1")
        respond = FakeResponder()
        publisher.reply_decorator = lambda reply: setattr(reply, "contact_age_ms", 40)
        publisher.poll(asked, respond)
        fake_loop.run(30 * MS)
        done(respond.replies[0], None)
        assert told == [(True, [Change(HOSTS, "a", b"1")])]
        assert (follower.last_reply_at, follower.confirmed_at) == (fake_loop.now(), SECOND - 40 * MS)
        assert follower.state == {(HOSTS, "a"): b"1"}
        assert fake_channel.calls == []  # never from inside the answer
        fake_loop.run()
        asked, _ = fake_channel.take()
        assert (asked.incarnation, asked.sequence) == (5, 1)

    def test_it_asks_at_most_so_often(self, fake_loop, fake_channel, follower, told):
        for _ in range(5):
            fake_loop.run(20 * MS)
            _, done = fake_channel.take()
            done(PollReply(incarnation=5, snapshot=not told), None)
        gaps = [b - a for a, b in zip(fake_channel.times, fake_channel.times[1:], strict=False)]
        assert min(gaps) >= 20 * MS
        assert len(told) == 5

    def test_after_errors_it_waits_longer_and_longer(self, fake_loop, fake_channel, follower):
        waits = []
        for _ in range(6):
            fake_loop.run(waits[-1] * MS if waits else 0)
            _, done = fake_channel.take()
            done(None, CallTimeoutError("poll"))
            waits.append((fake_loop.timers[0][0] - fake_loop.now()) // MS)
        assert waits == [50, 100, 200, 400, 500, 500]
        assert type(follower.last_error) is CallTimeoutError and follower.last_reply_at == 0
        fake_loop.run(500 * MS)
        fake_channel.take()[1](PollReply(incarnation=5, snapshot=True), None)
        assert follower.last_error is None
        fake_loop.run(20 * MS)
        fake_channel.take()[1](None, CallRefusedError("poll"))
        assert fake_loop.timers[0][0] - fake_loop.now() == 50 * MS

    @pytest.mark.parametrize(
        "age_ms, parked_ms, took_ms, ago_ms",
        [(0, 0, 30, 30), (200, 1000, 1030, 230), (0, 5000, 1000, 0), (1 << 30, 0, 0, 1 << 30)],
    )
    def test_a_word_is_as_old_as_the_poll_but_for_its_wait(
        self, fake_loop, fake_channel, follower, age_ms, parked_ms, took_ms, ago_ms
    ):
        fake_loop.run()
        _, done = fake_channel.take()
        fake_loop.run(took_ms * MS)
        done(PollReply(incarnation=5, snapshot=True, contact_age_ms=age_ms, parked_ms=parked_ms), None)
        assert fake_loop.now() - follower.confirmed_at == ago_ms * MS
        assert follower.is_confirmed(ago_ms * MS) and not follower.is_confirmed(ago_ms * MS - 1)

    def test_a_publisher_without_a_word_takes_an_earlier_one_back(self, fake_loop, fake_channel, follower):
        fake_loop.run()
        fake_channel.take()[1](PollReply(incarnation=5, snapshot=True, contact_age_ms=0), None)
        assert follower.is_confirmed(0)
        fake_loop.run(20 * MS)
        fake_channel.take()[1](PollReply(incarnation=6, snapshot=True), None)
        assert follower.confirmed_at is None and not follower.is_confirmed(SECOND)

    def test_stopped_it_asks_and_tells_nothing(self, fake_loop, fake_channel, follower, told):
        fake_loop.run()
        _, done = fake_channel.take()
        follower.stop()
        done(PollReply(incarnation=5, snapshot=True), None)
        fake_loop.run(10 * SECOND)
        assert told == [] and fake_channel.calls == [] and follower.last_reply_at == 0

    def test_stopped_between_polls_it_asks_no_more(self, fake_loop, fake_channel, follower):
        fake_loop.run()
        fake_channel.take()[1](PollReply(incarnation=5, snapshot=True), None)
        follower.stop()
        fake_loop.run(10 * SECOND)
        assert fake_channel.calls == []

    def test_a_failing_callback_or_report_does_not_stop_it(self, fake_loop, fake_channel, follower):
        def fail(*_):
            raise RuntimeError("broken")

        follower.on_changes, follower.make_report = fail, fail
        fake_loop.run()
        asked, done = fake_channel.take()
        assert asked.report == b""
        with pytest.raises(RuntimeError):
            done(PollReply(incarnation=5, snapshot=True), None)
        fake_loop.run(20 * MS)
        assert len(fake_channel.calls) == 1

    def test_a_reply_that_does_not_follow_is_not_told(self, fake_loop, fake_channel, follower, told):
        fake_loop.run()
        fake_channel.take()[1](PollReply(incarnation=5, snapshot=True, since=3), None)
        assert told == [] and follower.last_reply_at == fake_loop.now()
        fake_loop.run(20 * MS)
        assert fake_channel.take()[0].incarnation == 0


class TestOnSockets:
    @pytest.fixture
    def loop(self):
        made = Loop()
        yield made
        made.close()

    def until(self, loop, condition):
        for _ in range(400):
            if condition():
                return
            loop.round(0.025)
        raise AssertionError("it did not happen")

    def serve(self, loop, journal, address=("127.0.0.1", 0)):
        publisher = Publisher(journal, loop.now, "core-1")
        server = RpcServer(loop, address, "blue")
        server.register(POLL, PollRequest, lambda argument, respond, peer: publisher.poll(argument, respond))
        return server, publisher

    def test_changes_arrive_and_a_new_incarnation_replaces_them(self, loop, told):
        journal = Journal(1, 100)
        journal.set(HOSTS, "a", b"1")
        server, publisher = self.serve(loop, journal)
        channel = Channel(loop, server.address, "blue")
        follower = Follower(loop, channel, Subscription("edge-1", "data", "z1", [HOSTS]), told)
        try:
            self.until(loop, lambda: follower.state == {(HOSTS, "a"): b"1"})
            self.until(loop, lambda: publisher.parked)
            with journal.batch():
                journal.remove(HOSTS, "a")
                journal.set(HOSTS, "b", b"2")
            self.until(loop, lambda: len(told) == 2)
            assert told[1] == (False, [Change(HOSTS, "a", None), Change(HOSTS, "b", b"2")])
            server.close()
            again = Journal(2, 100)
            again.set(HOSTS, "c", b"3")
            server, publisher = self.serve(loop, again, server.address)
            self.until(loop, lambda: follower.state == {(HOSTS, "c"): b"3"})
            assert told[-1] == (True, [Change(HOSTS, "b", None), Change(HOSTS, "c", b"3")])
        finally:
            follower.stop()
            channel.close()
            server.close()

    def test_a_follower_that_leaves_is_no_longer_parked(self, loop, told):
        server, publisher = self.serve(loop, Journal(1, 100))
        channel = Channel(loop, server.address, "blue")
        follower = Follower(loop, channel, Subscription("edge-1", "data", "z1", [HOSTS]), told)
        try:
            self.until(loop, lambda: publisher.parked)
            follower.stop()
            channel.close()
            self.until(loop, lambda: not publisher.parked)
        finally:
            server.close()
