"""What replicas send, store and decide, byte for byte as an earlier version of the program did.

The data files are never written again: they stand for the processes and disks of that version.
"""

import json
import shutil
from hashlib import sha256
from pathlib import Path

import pytest

from hopsail.replication import record_chunks, messages, records
from hopsail.replication.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    LeaveReply,
    MemberRequest,
    MembersRecord,
    MessageChunk,
    MessageChunkReply,
    RequestVote,
    RequestVoteReply,
    RestartQuery,
    RestartReply,
    TimeoutNow,
)
from hopsail.replication.records import ShardWrite, decode_group_commit, encode_group_commit, shard_record
from hopsail.replication.replica import Replica
from hopsail.replication.schedule import play_schedule
from hopsail.replication.simulation import Simulation
from hopsail.replication.state import MILLISECOND, HardState, Members, Ready, Snapshot
from hopsail.replication.storage import Storage
from hopsail.replication.structs import decode_struct, encode_struct

DATA = Path(__file__).parents[1] / "data" / "golden" / "replication"
MEMBERS = Members(("a", "b", "ü"), ("d",))
JOINT = Members(("a", "b", "e"), ("d",), ("a", "b", "c"))
SHARDS = ("p0", "p1", "p2")
LARGE = (1 << 62) - 7


def entry(index, data=b"x", term=3, kind=EntryKind.DATA):
    return Entry(term=term, index=index, kind=int(kind), data=data)


def all_messages():
    entries = [
        entry(8, b"", kind=EntryKind.NOOP),
        entry(9, bytes(range(256))),
        entry(10, JOINT.encode(), 4, EntryKind.MEMBERS),
    ]
    return {
        "vote": RequestVote(
            term=5, last_index=9, last_term=4, pre_vote=False, transfer=False, incarnation=LARGE
        ),
        "pre-vote, incarnation not known": RequestVote(
            term=6, last_index=LARGE, last_term=4, pre_vote=True, transfer=False, incarnation=None
        ),
        "vote after transfer": RequestVote(
            term=6, last_index=0, last_term=0, pre_vote=False, transfer=True, incarnation=None
        ),
        "vote given": RequestVoteReply(term=5, granted=True, pre_vote=False),
        "pre-vote refused": RequestVoteReply(term=7, granted=False, pre_vote=True),
        "heartbeat": AppendEntries(
            term=5,
            prev_index=9,
            prev_term=4,
            commit=8,
            heartbeat_round=77,
            sent_at=123_456_789_012,
            recover_incarnation=0,
            recover_index=0,
            entries=[],
        ),
        "entries": AppendEntries(
            term=5,
            prev_index=7,
            prev_term=4,
            commit=6,
            heartbeat_round=78,
            sent_at=123_456_789_013,
            recover_incarnation=LARGE,
            recover_index=8,
            entries=entries,
        ),
        "entries taken": AppendEntriesReply(
            term=5,
            success=True,
            match=10,
            hint=0,
            heartbeat_round=78,
            sent_at=123_456_789_013,
            incarnation=LARGE,
            recovering=False,
        ),
        "entries refused": AppendEntriesReply(
            term=5,
            success=False,
            match=0,
            hint=3,
            heartbeat_round=78,
            sent_at=123_456_789_013,
            incarnation=LARGE,
            recovering=True,
        ),
        "snapshot": InstallSnapshot(
            term=5,
            index=300,
            entry_term=4,
            heartbeat_round=79,
            sent_at=5_000,
            members=MEMBERS.to_record(),
            data=b"state\0\xff" * 30,
        ),
        "snapshot, joint": InstallSnapshot(
            term=5,
            index=300,
            entry_term=4,
            heartbeat_round=79,
            sent_at=5_000,
            members=JOINT.to_record(),
            data=b"",
        ),
        "snapshot taken": InstallSnapshotReply(
            term=5, match=300, heartbeat_round=79, sent_at=5_000, incarnation=LARGE, recovering=True
        ),
        "timeout now": TimeoutNow(term=5),
        "chunk": MessageChunk(
            term=5,
            index=300,
            entry_term=4,
            heartbeat_round=80,
            sent_at=6_000,
            total=70_000,
            checksum=b"0123456789abcdef",
            offset=32_768,
            data=b"chunk" * 9,
        ),
        "chunk taken": MessageChunkReply(
            term=5,
            checksum=b"0123456789abcdef",
            offset=32_768,
            received=32_813,
            heartbeat_round=80,
            sent_at=6_000,
            incarnation=LARGE,
            recovering=False,
        ),
        "join": MemberRequest(leaving=False),
        "leave": MemberRequest(leaving=True),
        "may leave": LeaveReply(term=5, index=300),
        "restart query": RestartQuery(number=LARGE),
        "restart reply": RestartReply(
            number=LARGE, incarnation=LARGE - 1, fresh=True, may_stand=False, last_term=4, last_index=300
        ),
        "restart reply, not fresh": RestartReply(
            number=1, incarnation=2, fresh=False, may_stand=True, last_term=0, last_index=0
        ),
    }


def all_records():
    hard_state = HardState(7, "a", True, MEMBERS)
    writes = {
        "hard state": Ready(1, hard_state),
        "hard state, no vote": Ready(1, HardState(0, None, False, JOINT)),
        "entries": Ready(1, None, [entry(4), entry(5, b"y" * 600)]),
        "truncation": Ready(1, None, [entry(4, b"other", 4)], 4),
        "snapshot": Ready(1, None, [], None, Snapshot(300, 4, MEMBERS, b"state\0\xff")),
        "everything": Ready(9, hard_state, [entry(301)], 300, Snapshot(300, 4, JOINT, b"")),
    }
    return {name: shard_record(ShardWrite("p0", ready)) for name, ready in writes.items()}


def all_group_commits():
    made = all_records()
    other = shard_record(ShardWrite("controls/1", Ready(1, None, [entry(1)])))
    return {
        "one shard": [made["entries"]],
        "two shards": [made["everything"], other],
        "none": [],
    }


def stored(name):
    return json.loads((DATA / name).read_text())


def encoded_messages():
    return {name: messages.encode(one).hex() for name, one in all_messages().items()}


def encoded_records():
    made = {name: encode_struct(one).hex() for name, one in all_records().items()}
    members = {"members": MEMBERS.encode().hex(), "joint members": JOINT.encode().hex()}
    commits = {f"commit, {name}": encode_group_commit(one).hex() for name, one in all_group_commits().items()}
    long_value = bytes(range(256)) * 4
    message_chunks = {f"chunk {number}": one.hex() for number, one in enumerate(small_chunks(long_value))}
    return made | members | commits | message_chunks


def small_chunks(value):
    """Chunks as of a value that is too long for one record, with a smaller bound."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(record_chunks, "MAX_CHUNK_BYTES", 300)
        return list(record_chunks.split(value))


def write_folder(folder):
    """Group commits, a new generation, and a value that is cut into chunks."""
    store = Storage.open(str(folder), SHARDS)
    store.write([ShardWrite("p0", Ready(1, HardState(1, "a", True, MEMBERS), [entry(1, term=1)]))])
    store.write(
        [
            ShardWrite("p0", Ready(2, None, [entry(2, b"two" * 300, 1), entry(3, b"three", 1)])),
            ShardWrite("p1", Ready(1, HardState(4, None, False, JOINT), [entry(1), entry(2)])),
        ]
    )
    store._must_compact = True
    store.write([ShardWrite("p0", Ready(3, None, [entry(3, b"other", 2)], 3))])
    store.write([ShardWrite("p1", Ready(2, None, [], None, Snapshot(2, 3, MEMBERS, b"state\0\xff")))])
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(record_chunks, "MAX_CHUNK_BYTES", 300)
        store.write([ShardWrite("p1", Ready(3, HardState(5, "ü", True, JOINT), [entry(3, b"z" * 1000)]))])
    store.write([ShardWrite("p0", Ready(4, None, [entry(4, b"last", 2)]))])
    store.close()


def files(folder):
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


class History:
    """A digest over everything that the replicas of a simulation give to their drivers."""

    def __init__(self):
        self.digest = sha256()
        self.count = 0

    def add(self, *values):
        for value in values:
            data = value if isinstance(value, bytes) else str(value).encode()
            self.digest.update(b"%d:" % len(data) + data)
            self.count += 1

    def add_ready(self, replica, ready):
        self.add(replica.identity, replica.now, ready.serial)
        for peer, message in ready.messages:
            self.add(peer, messages.encode(message))
        if ready.must_persist:
            self.add(encode_struct(shard_record(ShardWrite("part", ready))))
        for committed in ready.committed:
            self.add(encode_struct(committed))
        if ready.installed:
            self.add(ready.installed.index, ready.installed.term, ready.installed.data)
        self.add_status(replica.status(replica.now))

    def add_status(self, status):
        self.add(status.identity, status.role, status.term, status.leader or "", status.last_index)
        self.add(status.commit_index, status.applied_index, status.durable_index)
        self.add(int(status.recovering), int(status.storage_failing), int(status.lease_valid))
        self.add(status.members.encode())
        for peer, known in status.peers.items():
            self.add(peer, known.match, int(known.recovering))


def recording(history):
    """A class of replicas that add to a history what they have ready."""

    class Recorded(Replica):
        def take_ready(self):
            ready = super().take_ready()
            if ready is not None:
                history.add_ready(self, ready)
            return ready

    return Recorded


SCHEDULES = [
    (1, 15, 3, 0),
    (2, 25, 3, 0),
    (3, 25, 5, 0),
    (4, 40, 3, 3),
    (5, 40, 3, 2),
    (6, 30, 5, 2),
    (7, 60, 3, 3),
    (8, 30, 3, 2),
    (9, 200, 3, 3),
    (10, 300, 5, 3),
    (11, 200, 4, 2),
    (12, 100, 1, 3),
]


def schedule_history(seed, steps, voters, spares):
    history = History()
    options = {"voters": voters, "spares": spares, "snapshot_after": 30}
    simulation = play_schedule(seed, steps, factory=recording(history), **options)
    history.add(simulation.sent, simulation.now, simulation.checker.reads)
    history.add(*simulation.checker.acknowledged)
    return [history.count, history.digest.hexdigest()]


def long_values_history():
    """Entries and snapshots that are sent in chunks, to members that restart empty, and one that leaves."""
    history = History()
    simulation = Simulation(11, voters=3, spares=1, factory=recording(history), snapshot_after=6)
    for number in range(12):
        leader = simulation.run_until(simulation.settled_leader)
        value = bytes([65 + number]) * (50_000 * (number % 4) + 10)
        simulation.nodes[leader].replica.propose(simulation.now, value)
        simulation._work(simulation.nodes[leader])
        simulation.run(300 * MILLISECOND)
        follower = next(name for name in simulation.nodes if name not in (leader, "r3"))
        if number == 5:
            simulation.crash(follower, wipe=True)
        if number == 8:
            for name in ("r0", "r1", "r2"):
                simulation.crash(name)
                simulation.start(name)
        if number == 10:
            simulation.nodes[follower].replica.leave(simulation.now)
        for name, node in simulation.nodes.items():
            if node.replica is None:
                simulation.start(name)
    simulation.run(2000 * MILLISECOND)
    history.add(simulation.sent, simulation.now, *simulation.checker.acknowledged)
    return [history.count, history.digest.hexdigest()]


def test_messages_have_the_bytes_of_the_earlier_version():
    assert encoded_messages() == stored("messages.json")


def test_every_type_of_message_is_among_them():
    assert {type(one) for one in all_messages().values()} == set(messages.MESSAGE_TYPES)


@pytest.mark.parametrize("name", sorted(all_messages()))
def test_message_of_the_earlier_version_is_read(name):
    data = bytes.fromhex(stored("messages.json")[name])
    assert messages.decode(data) == all_messages()[name]
    assert messages.encode(messages.decode(data)) == data


def test_records_have_the_bytes_of_the_earlier_version():
    assert encoded_records() == stored("records.json")


def test_records_of_the_earlier_version_are_read():
    found = {name: bytes.fromhex(text) for name, text in stored("records.json").items()}
    for name, record in all_records().items():
        assert decode_struct(records.ShardRecord, found[name]) == record
        assert encode_struct(decode_struct(records.ShardRecord, found[name])) == found[name]
    for name, commit in all_group_commits().items():
        sections = decode_group_commit(found[f"commit, {name}"])
        assert [section.record for section in sections] == commit
        assert [section.shard for section in sections] == [record.shard for record in commit]
    for name, members in (("members", MEMBERS), ("joint members", JOINT)):
        assert Members.decode(found[name]) == members
        assert encode_struct(decode_struct(MembersRecord, found[name])) == found[name]


def test_chunks_of_the_earlier_version_are_joined():
    found = stored("records.json")
    joiner = record_chunks.Joiner()
    taken = [joiner.add(bytes.fromhex(found[f"chunk {number}"])) for number in range(4)]
    assert taken == [None, None, None, bytes(range(256)) * 4]


def test_folder_has_the_files_of_the_earlier_version(tmp_path):
    write_folder(tmp_path)
    assert files(tmp_path) == files(DATA / "storage")


def test_folder_of_the_earlier_version_is_read_and_written_on(tmp_path):
    folder = tmp_path / "data"
    shutil.copytree(DATA / "storage", folder)
    store = Storage.open(str(folder), SHARDS)
    assert not store.corrupt and store.damaged_records == 0 and store.torn_records == 0
    first, second = store.load("p0"), store.load("p1")
    assert (first.term, first.voted_for, first.recovered, first.members) == (1, "a", True, MEMBERS)
    assert first.snapshot is None
    assert first.entries == [
        entry(1, term=1),
        entry(2, b"two" * 300, 1),
        entry(3, b"other", 2),
        entry(4, b"last", 2),
    ]
    assert (second.term, second.voted_for, second.recovered, second.members) == (5, "ü", True, JOINT)
    assert second.snapshot == Snapshot(2, 3, MEMBERS, b"state\0\xff")
    assert second.entries == [entry(3, b"z" * 1000)]
    assert store.load("p2") is None
    assert files(folder) == files(DATA / "storage")
    store.write([ShardWrite("p0", Ready(5, None, [entry(5, b"new", 2)]))])
    store.close()
    again = Storage.open(str(folder), SHARDS)
    assert again.load("p0").entries[-1] == entry(5, b"new", 2) and again.load("p1").term == 5
    again.close()


@pytest.mark.parametrize("seed, steps, voters, spares", SCHEDULES)
def test_history_of_a_schedule_of_faults(seed, steps, voters, spares):
    assert schedule_history(seed, steps, voters, spares) == stored("histories.json")[f"schedule {seed}"]


def test_history_with_long_values():
    assert long_values_history() == stored("histories.json")["long values"]
