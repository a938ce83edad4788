"""Long messages in pieces: each piece or answer lost, doubled, late or of another whole, one at a time."""

import random

import pytest

from hopsail.replication import message_chunks
from hopsail.replication.messages import MessageChunk, MessageChunkReply
from hopsail.replication.message_chunks import (
    MAX_WINDOW_CHUNKS,
    CHUNK_BYTES,
    ChunkReceiver,
    ChunkSender,
    EncodedMessage,
)

FAST_REPLY_TIME, PROGRESS_TIMEOUT = 50, 800
BOUND = 1 << 20
FAULTS = ["lost", "doubled", "late"]


def payload_of(count, seed=0, index=9):
    data = random.Random(seed).randbytes(count * CHUNK_BYTES - 7)
    return EncodedMessage.create(index, 2, data)


def chunk_of(payload, offset, data, sent_at=0):
    return MessageChunk(
        term=3,
        index=payload.last_index,
        entry_term=payload.entry_term,
        heartbeat_round=1,
        sent_at=sent_at,
        total=len(payload.data),
        checksum=payload.checksum,
        offset=offset,
        data=data,
    )


def reply_of(payload, received, sent_at, offset=0, checksum=None):
    return MessageChunkReply(
        term=3,
        checksum=checksum or payload.checksum,
        offset=offset,
        received=received,
        heartbeat_round=1,
        sent_at=sent_at,
        incarnation=5,
        recovering=False,
    )


class Exchange:
    """A sender and a receiver; `fault(number, kind)` says what becomes of each message in turn."""

    def __init__(self, payload, fault=lambda number, message: "passes"):
        self.payload, self.fault = payload, fault
        self.now, self.sent_bytes, self.number = 1, 0, 0
        self.sender = ChunkSender(payload, self.now, FAST_REPLY_TIME, PROGRESS_TIMEOUT)
        self.receiver = ChunkReceiver(BOUND)
        self.under_way = []  # time, order, action
        self.found = []
        self.most_outstanding = 0

    def run(self, until):
        while self.now < until and not (self.found and self.sender.received == len(self.payload.data)):
            sent = self.sender.take_chunks(self.now)
            self.most_outstanding = max(self.most_outstanding, len(sent))
            for offset, data in sent:
                self.sent_bytes += len(data)
                chunk = chunk_of(self.payload, offset, data, self.now)
                self._pass(lambda chunk=chunk: self._take(chunk))
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

    def _take(self, chunk):
        received, payload = self.receiver.add(chunk)
        if payload is not None:
            self.found.append(payload)
        reply = reply_of(self.payload, received, chunk.sent_at, chunk.offset)
        self._pass(lambda: self.sender.record_reply(reply, self.now))


@pytest.mark.parametrize("fault", FAULTS)
def test_one_message_at_a_time(fault):
    payload = payload_of(6)
    for chosen in range(1, 13):
        exchange = Exchange(payload, lambda number, _, chosen=chosen: fault if number == chosen else "passes")
        assert exchange.run(20_000), chosen
        assert set(exchange.found) == {payload.data}
        assert exchange.sent_bytes <= len(payload.data) + 3 * CHUNK_BYTES * MAX_WINDOW_CHUNKS
        assert exchange.receiver.buffered_bytes <= len(payload.data)


@pytest.mark.parametrize("share", [0.05, 0.2, 0.4])
def test_many_messages_lost_doubled_and_late(share):
    for seed in range(20):
        chance = random.Random(seed)
        exchange = Exchange(
            payload_of(10, seed),
            lambda number, _, chance=chance: chance.choice(FAULTS) if chance.random() < share else "passes",
        )
        assert exchange.run(400_000)
        assert set(exchange.found) == {exchange.payload.data}


def test_goes_on_where_it_stopped_after_a_silence():
    cut = [False]
    exchange = Exchange(payload_of(20), lambda number, _: "lost" if cut[0] else "passes")
    exchange.run(20)
    pending_messages = exchange.receiver.buffered_bytes
    assert 0 < pending_messages < len(exchange.payload.data)
    cut[0] = True
    before = exchange.sent_bytes
    exchange.run(20_000)
    assert exchange.sent_bytes - before <= 2 * MAX_WINDOW_CHUNKS * CHUNK_BYTES  # a silent one is not flooded
    cut[0] = False
    before = exchange.sent_bytes
    assert exchange.run(40_000)
    assert exchange.sent_bytes - before <= len(exchange.payload.data) - pending_messages + 2 * CHUNK_BYTES


def test_pause_before_sending_again_grows_up_to_a_bound():
    sender = ChunkSender(payload_of(3), 0, FAST_REPLY_TIME, PROGRESS_TIMEOUT)
    times = [now for now in range(0, 30_000, 10) if sender.take_chunks(now)]
    pauses = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
    assert pauses[:5] == [800, 1600, 3200, 6400, 6400]


def test_window_follows_how_quickly_answers_come():
    payload = payload_of(60)
    sender = ChunkSender(payload, 0, FAST_REPLY_TIME, PROGRESS_TIMEOUT)
    assert len(sender.take_chunks(0)) == 2
    received = 0
    for now in range(10, 300, 10):
        received += CHUNK_BYTES
        sender.record_reply(reply_of(payload, received, now - 5), now)
        sender.take_chunks(now)
    assert sender.window == MAX_WINDOW_CHUNKS
    sender.record_reply(reply_of(payload, received + CHUNK_BYTES, 300), 300 + FAST_REPLY_TIME + 1)
    assert sender.window == MAX_WINDOW_CHUNKS // 2


def test_receiver_that_has_dropped_what_it_had_is_sent_all():
    exchange = Exchange(payload_of(20))
    exchange.run(20)
    assert exchange.receiver.buffered_bytes
    exchange.receiver.drop()
    assert exchange.run(PROGRESS_TIMEOUT // 2) and set(exchange.found) == {exchange.payload.data}


def test_sender_goes_back_to_what_the_receiver_says_it_holds():
    payload = payload_of(6)
    sender = ChunkSender(payload, 0, FAST_REPLY_TIME, PROGRESS_TIMEOUT)
    sender.take_chunks(5)
    sender.record_reply(reply_of(payload, 2 * CHUNK_BYTES, 5), 10)
    sender.take_chunks(10)
    sender.record_reply(reply_of(payload, 0, 10), 15)
    assert [offset for offset, _ in sender.take_chunks(15)][0] == 0


def test_whole_that_led_to_nothing_is_sent_again():
    exchange = Exchange(payload_of(3))
    assert exchange.run(5000)
    exchange.now += 10_000
    assert exchange.sender.take_chunks(exchange.now)[0][0] == 0


def test_late_answer_takes_nothing_back():
    payload = payload_of(4)
    sender = ChunkSender(payload, 0, FAST_REPLY_TIME, PROGRESS_TIMEOUT)
    sender.take_chunks(5)
    sender.record_reply(reply_of(payload, 2 * CHUNK_BYTES, 5), 10)
    sender.record_reply(reply_of(payload, CHUNK_BYTES, 5), 11)
    sender.record_reply(reply_of(payload, 0, 4), 12)
    sender.record_reply(reply_of(payload, 0, 20, checksum=b"another"), 21)
    sender.record_reply(reply_of(payload, len(payload.data) + 1, 20), 21)
    sender.record_reply(reply_of(payload, -1, 20), 21)
    assert sender.received == 2 * CHUNK_BYTES


def test_gap_is_filled_at_once_but_only_once():
    payload = payload_of(6)
    sender = ChunkSender(payload, 0, FAST_REPLY_TIME, PROGRESS_TIMEOUT)
    sender.take_chunks(5)
    sender.record_reply(reply_of(payload, 0, 5, offset=CHUNK_BYTES), 10)
    assert [offset for offset, _ in sender.take_chunks(10)] == [0, CHUNK_BYTES]
    sender.record_reply(reply_of(payload, 0, 10, offset=CHUNK_BYTES), 15)
    assert sender.take_chunks(15) == []


def test_pieces_of_different_wholes_are_never_joined():
    old, new = payload_of(2, seed=1), payload_of(2, seed=2)
    receiver = ChunkReceiver(BOUND)
    first, second = slice(0, CHUNK_BYTES), slice(CHUNK_BYTES, None)
    assert receiver.add(chunk_of(old, 0, old.data[first])) == (CHUNK_BYTES, None)
    assert receiver.add(chunk_of(new, CHUNK_BYTES, new.data[second])) == (0, None)
    assert receiver.add(chunk_of(new, 0, new.data[first])) == (CHUNK_BYTES, None)
    assert receiver.add(chunk_of(old, CHUNK_BYTES, old.data[second])) == (0, None)
    assert receiver.add(chunk_of(new, CHUNK_BYTES, new.data[second])) == (len(new.data), new.data)
    assert receiver.buffered_bytes == 0


def test_damaged_whole_is_dropped():
    payload = payload_of(2)
    receiver = ChunkReceiver(BOUND)
    receiver.add(chunk_of(payload, 0, payload.data[:CHUNK_BYTES]))
    damaged = bytes(len(payload.data) - CHUNK_BYTES)
    assert receiver.add(chunk_of(payload, CHUNK_BYTES, damaged)) == (0, None)
    assert receiver.buffered_bytes == 0


def test_what_a_receiver_collects_is_bounded():
    receiver = ChunkReceiver(3 * CHUNK_BYTES)
    large = payload_of(4)
    assert receiver.add(chunk_of(large, 0, large.data[:CHUNK_BYTES])) == (0, None)
    payload = payload_of(2)
    receiver.add(chunk_of(payload, 0, payload.data[:CHUNK_BYTES]))
    assert receiver.add(chunk_of(payload, CHUNK_BYTES, bytes(CHUNK_BYTES))) == (CHUNK_BYTES, None)
    assert receiver.buffered_bytes == CHUNK_BYTES
    receiver.drop_up_to(payload.last_index - 1)
    assert receiver.buffered_bytes == CHUNK_BYTES
    receiver.drop_up_to(payload.last_index)
    assert receiver.buffered_bytes == 0


def test_a_piece_is_a_tenth_of_a_second_at_most_on_the_slowest_link():
    assert message_chunks.CHUNK_BYTES * 8 / 5e6 < 0.1
