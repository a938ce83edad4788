"""Long messages in pieces: each piece or answer lost, doubled, late or of another whole, one at a time."""

import random

import pytest

from hopsail.replication import pieces
from hopsail.replication.messages import Piece, PieceReply
from hopsail.replication.pieces import MOST_WINDOW, PIECE_BYTES, PieceReceiver, PieceSender, Whole

QUICK, PATIENCE = 50, 800
BOUND = 1 << 20
FAULTS = ["lost", "doubled", "late"]


def whole_of(count, seed=0, index=9):
    data = random.Random(seed).randbytes(count * PIECE_BYTES - 7)
    return Whole.of(index, 2, data)


def piece_of(whole, offset, data, sent_at=0):
    return Piece(
        3, whole.last_index, whole.entry_term, 1, sent_at, len(whole.data), whole.checksum, offset, data
    )


def reply_of(whole, received, sent_at, offset=0, checksum=None):
    return PieceReply(3, checksum or whole.checksum, offset, received, 1, sent_at, 5, False)


class Exchange:
    """A sender and a receiver; `fault(number, kind)` says what becomes of each message in turn."""

    def __init__(self, whole, fault=lambda number, message: "passes"):
        self.whole, self.fault = whole, fault
        self.now, self.sent_bytes, self.number = 1, 0, 0
        self.sender = PieceSender(whole, self.now, QUICK, PATIENCE)
        self.receiver = PieceReceiver(BOUND)
        self.under_way = []  # time, order, action
        self.found = []
        self.most_outstanding = 0

    def run(self, until):
        while self.now < until and not (self.found and self.sender.received == len(self.whole.data)):
            sent = self.sender.pieces(self.now)
            self.most_outstanding = max(self.most_outstanding, len(sent))
            for offset, data in sent:
                self.sent_bytes += len(data)
                piece = piece_of(self.whole, offset, data, self.now)
                self._pass(lambda piece=piece: self._take(piece))
            self.now += 5
            due = sorted((one for one in self.under_way if one[0] <= self.now), key=lambda one: one[:2])
            self.under_way = [one for one in self.under_way if one[0] > self.now]
            for _, _, action in due:
                action()
        return bool(self.found)

    def _pass(self, action):
        self.number += 1
        what = self.fault(self.number, action)
        delays = {"passes": [5], "lost": [], "doubled": [5, 15], "late": [2000]}[what]
        for delay in delays:
            self.under_way.append((self.now + delay, self.number, action))

    def _take(self, piece):
        received, whole = self.receiver.take(piece)
        if whole is not None:
            self.found.append(whole)
        reply = reply_of(self.whole, received, piece.sent_at, piece.offset)
        self._pass(lambda: self.sender.answered(reply, self.now))


@pytest.mark.parametrize("fault", FAULTS)
def test_one_message_at_a_time(fault):
    whole = whole_of(6)
    for chosen in range(1, 13):
        exchange = Exchange(whole, lambda number, _, chosen=chosen: fault if number == chosen else "passes")
        assert exchange.run(20_000), chosen
        assert set(exchange.found) == {whole.data}
        assert exchange.sent_bytes <= len(whole.data) + 3 * PIECE_BYTES * MOST_WINDOW
        assert exchange.receiver.held_bytes <= len(whole.data)


@pytest.mark.parametrize("share", [0.05, 0.2, 0.4])
def test_many_messages_lost_doubled_and_late(share):
    for seed in range(20):
        chance = random.Random(seed)
        exchange = Exchange(
            whole_of(10, seed),
            lambda number, _, chance=chance: chance.choice(FAULTS) if chance.random() < share else "passes",
        )
        assert exchange.run(400_000)
        assert set(exchange.found) == {exchange.whole.data}


def test_goes_on_where_it_stopped_after_a_silence():
    cut = [False]
    exchange = Exchange(whole_of(20), lambda number, _: "lost" if cut[0] else "passes")
    exchange.run(20)
    held = exchange.receiver.held_bytes
    assert 0 < held < len(exchange.whole.data)
    cut[0] = True
    before = exchange.sent_bytes
    exchange.run(20_000)
    assert exchange.sent_bytes - before <= 2 * MOST_WINDOW * PIECE_BYTES  # a silent one is not flooded
    cut[0] = False
    before = exchange.sent_bytes
    assert exchange.run(40_000)
    assert exchange.sent_bytes - before <= len(exchange.whole.data) - held + 2 * PIECE_BYTES


def test_pause_before_sending_again_grows_up_to_a_bound():
    sender = PieceSender(whole_of(3), 0, QUICK, PATIENCE)
    times = [now for now in range(0, 30_000, 10) if sender.pieces(now)]
    pauses = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
    assert pauses[:5] == [800, 1600, 3200, 6400, 6400]


def test_window_follows_how_quickly_answers_come():
    whole = whole_of(60)
    sender = PieceSender(whole, 0, QUICK, PATIENCE)
    assert len(sender.pieces(0)) == 2
    received = 0
    for now in range(10, 300, 10):
        received += PIECE_BYTES
        sender.answered(reply_of(whole, received, now - 5), now)
        sender.pieces(now)
    assert sender.window == MOST_WINDOW
    sender.answered(reply_of(whole, received + PIECE_BYTES, 300), 300 + QUICK + 1)
    assert sender.window == MOST_WINDOW // 2


def test_receiver_that_has_dropped_what_it_had_is_sent_all():
    exchange = Exchange(whole_of(20))
    exchange.run(20)
    assert exchange.receiver.held_bytes
    exchange.receiver.drop()
    assert exchange.run(PATIENCE // 2) and set(exchange.found) == {exchange.whole.data}


def test_sender_goes_back_to_what_the_receiver_says_it_holds():
    whole = whole_of(6)
    sender = PieceSender(whole, 0, QUICK, PATIENCE)
    sender.pieces(5)
    sender.answered(reply_of(whole, 2 * PIECE_BYTES, 5), 10)
    sender.pieces(10)
    sender.answered(reply_of(whole, 0, 10), 15)
    assert [offset for offset, _ in sender.pieces(15)][0] == 0


def test_whole_that_led_to_nothing_is_sent_again():
    exchange = Exchange(whole_of(3))
    assert exchange.run(5000)
    exchange.now += 10_000
    assert exchange.sender.pieces(exchange.now)[0][0] == 0


def test_late_answer_takes_nothing_back():
    whole = whole_of(4)
    sender = PieceSender(whole, 0, QUICK, PATIENCE)
    sender.pieces(5)
    sender.answered(reply_of(whole, 2 * PIECE_BYTES, 5), 10)
    sender.answered(reply_of(whole, PIECE_BYTES, 5), 11)
    sender.answered(reply_of(whole, 0, 4), 12)
    sender.answered(reply_of(whole, 0, 20, checksum=b"another"), 21)
    sender.answered(reply_of(whole, len(whole.data) + 1, 20), 21)
    sender.answered(reply_of(whole, -1, 20), 21)
    assert sender.received == 2 * PIECE_BYTES


def test_gap_is_filled_at_once_but_only_once():
    whole = whole_of(6)
    sender = PieceSender(whole, 0, QUICK, PATIENCE)
    sender.pieces(5)
    sender.answered(reply_of(whole, 0, 5, offset=PIECE_BYTES), 10)
    assert [offset for offset, _ in sender.pieces(10)] == [0, PIECE_BYTES]
    sender.answered(reply_of(whole, 0, 10, offset=PIECE_BYTES), 15)
    assert sender.pieces(15) == []


def test_pieces_of_different_wholes_are_never_joined():
    old, new = whole_of(2, seed=1), whole_of(2, seed=2)
    receiver = PieceReceiver(BOUND)
    first, second = slice(0, PIECE_BYTES), slice(PIECE_BYTES, None)
    assert receiver.take(piece_of(old, 0, old.data[first])) == (PIECE_BYTES, None)
    assert receiver.take(piece_of(new, PIECE_BYTES, new.data[second])) == (0, None)
    assert receiver.take(piece_of(new, 0, new.data[first])) == (PIECE_BYTES, None)
    assert receiver.take(piece_of(old, PIECE_BYTES, old.data[second])) == (0, None)
    assert receiver.take(piece_of(new, PIECE_BYTES, new.data[second])) == (len(new.data), new.data)
    assert receiver.held_bytes == 0


def test_damaged_whole_is_dropped():
    whole = whole_of(2)
    receiver = PieceReceiver(BOUND)
    receiver.take(piece_of(whole, 0, whole.data[:PIECE_BYTES]))
    damaged = bytes(len(whole.data) - PIECE_BYTES)
    assert receiver.take(piece_of(whole, PIECE_BYTES, damaged)) == (0, None)
    assert receiver.held_bytes == 0


def test_what_a_receiver_collects_is_bounded():
    receiver = PieceReceiver(3 * PIECE_BYTES)
    large = whole_of(4)
    assert receiver.take(piece_of(large, 0, large.data[:PIECE_BYTES])) == (0, None)
    whole = whole_of(2)
    receiver.take(piece_of(whole, 0, whole.data[:PIECE_BYTES]))
    assert receiver.take(piece_of(whole, PIECE_BYTES, bytes(PIECE_BYTES))) == (PIECE_BYTES, None)
    assert receiver.held_bytes == PIECE_BYTES
    receiver.drop_up_to(whole.last_index - 1)
    assert receiver.held_bytes == PIECE_BYTES
    receiver.drop_up_to(whole.last_index)
    assert receiver.held_bytes == 0


def test_a_piece_is_a_tenth_of_a_second_at_most_on_the_slowest_link():
    assert pieces.PIECE_BYTES * 8 / 5e6 < 0.1
