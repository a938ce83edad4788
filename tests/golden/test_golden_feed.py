"""The feed's messages, entries and seeded histories are the recorded ones."""

import hashlib
import json
from pathlib import Path
from random import Random

import pytest

from hopsail.feed.confirmed import ConfirmedFeeds
from hopsail.feed.fold import Fold
from hopsail.feed.journal import Change, Journal
from hopsail.feed.messages import ChangeStruct, PollReply, PollRequest
from hopsail.feed.packing import ChangeList, Packer, unpack
from hopsail.feed.publisher import Publisher
from hopsail.feed.store_status import StoreStatus, decode_store, encode_store
from hopsail.feed.topics import Topic
from hopsail.rpc.structs import decode, encode

DATA = Path(__file__).parent.parent / "data/golden/feed"


def recorded(name: str) -> dict:
    return json.loads((DATA / name).read_text())


def change(topic: int, key: str, value: bytes | None) -> ChangeStruct:
    return ChangeStruct(topic=topic, key=key, value=value)


def reply(changes: list[ChangeStruct], **more) -> PollReply:
    return PollReply(node="core-1", incarnation=77, sequence=9, snapshot=True, changes=changes, **more)


def messages() -> dict:
    few = [change(1, "route/é", b"{}"), change(6, "store", None), change(2, "h", b"")]
    many = [change(1, f"route/{number}", b"value %d" % (number % 3)) for number in range(40)]
    request = PollRequest(
        node="edge-1",
        role="dataplane",
        zone="zone-a",
        incarnation=1 << 60,
        sequence=12,
        wait_ms=1000,
        topics=[1, 2, 9],
        report=b"report\x00",
        base=11,
    )
    full = reply(
        few,
        contact_age_ms=20,
        members=["a:1", "b:2"],
        more=True,
        base=8,
        since=3,
        members_as_of=5,
        others=["c:3"],
        parked_ms=250,
    )
    return {
        "change": few[0],
        "change removed": few[1],
        "request": request,
        "reply": full,
        "reply defaults": reply([]),
        "reply many": reply(many, since=2),
        "reply packed": Packer().pack(reply(many, since=2, parked_ms=4)),
        "changes": ChangeList(changes=many),
    }


def encoded() -> dict[str, bytes]:
    found = {f"message {name}": encode(message) for name, message in messages().items()}
    for term, up in ((0, False), (7, True), (1 << 40, False)):
        found[f"store {term} {up}"] = encode_store(StoreStatus(term, up))
    return found


ENCODED = recorded("bytes.json")


def test_the_recorded_names_are_those_that_are_built():
    assert list(encoded()) == list(ENCODED)


@pytest.mark.parametrize("name", ENCODED)
def test_what_is_encoded_is_what_was_recorded(name):
    assert encoded()[name].hex() == ENCODED[name]


@pytest.mark.parametrize("name", ENCODED)
def test_recorded_bytes_are_read_and_written_again_unchanged(name):
    data, (kind, _, item) = bytes.fromhex(ENCODED[name]), name.partition(" ")
    if kind == "store":
        again = encode_store(decode_store(data))
    else:
        again = encode(decode(type(messages()[item]), data))
    assert again == data


def test_recorded_packed_changes_are_unpacked_to_the_recorded_ones():
    packed = decode(PollReply, bytes.fromhex(ENCODED["message reply packed"]))
    changes = ChangeList(changes=unpack(packed).changes)
    assert encode(changes).hex() == ENCODED["message changes"]


def test_each_topic_has_its_recorded_number():
    assert [int(topic) for topic in Topic] == recorded("topics.json")


# Histories.


class History:
    """One journal, its publisher and three followers' folds; all that is sent and held is hashed."""

    def __init__(self, seed: int):
        self.random, self.digest, self.now = Random(f"feed/{seed}"), hashlib.sha256(), 0
        self.journals = 0
        self.folds = {f"edge-{number}": Fold() for number in range(3)}
        self.asking: set[str] = set()
        self.restart()

    def restart(self) -> None:
        self.journals += 1
        self.asking.clear()
        self.journal = Journal(self.journals, max_entries=60, max_removed=6)
        self.publisher = Publisher(self.journal, lambda: self.now, "core", max_page=300)
        self.publisher.reply_decorator = self.decorate

    def decorate(self, answer: PollReply) -> None:
        answer.contact_age_ms, answer.members = self.now // 1_000_000 % 500, ["a:1", "b:2"]

    def note(self, data: bytes) -> None:
        self.digest.update(b"%d " % len(data) + data)

    def poll(self, node: str) -> None:
        fold, journals = self.folds[node], self.journals
        position = fold.position
        request = PollRequest(
            node=node,
            role="dataplane",
            zone="z",
            incarnation=position.incarnation,
            sequence=position.sequence,
            base=position.base,
            wait_ms=self.random.choice((0, 100, 1000)),
            topics=[1, 2] if node == "edge-2" else [1, 2, 3],
            report=b"",
        )
        self.asking.add(node)

        def respond(answer: PollReply) -> None:
            data = encode(answer)
            self.note(node.encode() + data)
            if journals != self.journals:
                return
            self.asking.discard(node)
            self.fold(fold, decode(PollReply, data))

        respond.on_closed = lambda callback: None
        self.publisher.poll(request, respond)

    def fold(self, fold: Fold, answer: PollReply) -> None:
        folded = fold.apply(answer)
        if folded is None:
            self.note(b"nothing")
            return
        plain = [
            bool(folded[0]),
            [[int(c[0]), c[1], None if c[2] is None else c[2].hex()] for c in folded[1]],
        ]
        self.note(json.dumps(plain).encode())

    def change(self) -> None:
        for _ in range(self.random.choice((1, 1, 2, 8))):
            topic, key = self.random.randint(1, 4), f"key-{self.random.randrange(14)}"
            if self.random.random() < 0.3:
                changed = self.journal.remove(topic, key)
            else:
                changed = self.journal.set(topic, key, b"v" * self.random.randrange(40))
            self.note(b"%d" % changed)

    def step(self) -> None:
        self.now += self.random.randrange(50_000_000)
        due = self.publisher.due
        if due is not None and due <= self.now:
            self.publisher.tick(self.now)
        draw = self.random.random()
        if draw < 0.01:
            self.restart()
        elif draw < 0.05:
            self.publisher.release()
        elif draw < 0.4:
            self.change()
        elif draw < 0.5:
            with self.journal.batch():
                self.change()
        else:
            node = self.random.choice(sorted(self.folds))
            if node not in self.asking:
                self.poll(node)

    def finish(self) -> str:
        for fold in self.folds.values():
            state = [[int(topic), key, value.hex()] for (topic, key), value in fold.state.items()]
            self.note(json.dumps([list(fold.position), state]).encode())
        snapshot = [[int(c[0]), c[1], c[2].hex()] for c in self.journal.snapshot()]
        self.note(json.dumps([self.journal.sequence, len(self.journal), snapshot]).encode())
        return self.digest.hexdigest()


def journal_history(seed: int) -> str:
    history = History(seed)
    for _ in range(3000):
        history.step()
    return history.finish()


class RecordedFollower:
    """What a gate asks of a follower."""

    def __init__(self, name: str, clock: list[int]):
        self.name, self.clock, self.state, self.confirmed_at = name, clock, {}, None

    def is_confirmed(self, max_age_ns: int) -> bool:
        return self.confirmed_at is not None and self.clock[0] - self.confirmed_at <= max_age_ns


def confirmed_history(seed: int) -> str:
    """Feeds of which some are confirmed at times: what is passed on, and when."""
    random, digest, clock = Random(f"confirmed/{seed}"), hashlib.sha256(), [0]

    def passed(follower, changes) -> None:
        digest.update(json.dumps([follower.name, clock[0], [list(c) for c in changes]]).encode())

    feeds = ConfirmedFeeds(lambda: clock[0], 2_000_000_000, 2_500_000_000, passed)
    followers = []
    for number in range(3):
        followers.append(RecordedFollower(f"core-{number}", clock))
    for _ in range(3000):
        clock[0] += random.choice((1, 20, 20, 50, 700)) * 1_000_000
        follower = random.choice(followers)
        draw = random.random()
        if draw < 0.05:
            follower.confirmed_at = clock[0] - random.randrange(3_000_000_000)
        elif draw < 0.08:
            feeds.forget(follower)
        elif draw < 0.5:
            topic, key, value = random.randint(1, 3), f"k-{random.randrange(9)}", f"{random.random()}"
            follower.state[topic, key] = value
            feeds.changed(follower, random.random() < 0.1, [Change(topic, key, value)], None)
        feeds.tick()
    return digest.hexdigest()


HISTORIES = {"journal": journal_history, "confirmed": confirmed_history}
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", HISTORIES)
def test_a_seeded_history_is_the_recorded_one(name, seed):
    assert HISTORIES[name](seed) == recorded("histories.json")[f"{name} {seed}"]
