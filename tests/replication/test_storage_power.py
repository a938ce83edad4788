"""Power lost at every write of an installed snapshot, of compactions and of new generations of the files."""

import errno
import os

import pytest
from replication.power_model import PowerModel

from hopsail.replication import record_chunks, storage
from hopsail.replication.errors import StorageError
from hopsail.replication.messages import Entry, EntryKind
from hopsail.replication.records import ShardWrite
from hopsail.replication.state import HardState, Members, Ready, Snapshot
from hopsail.replication.storage import Storage

SHARDS = ("p0", "p1")
MEMBERS = Members(("a", "b", "c"))


def entries(first, last, term):
    return [
        Entry(term=term, index=index, kind=int(EntryKind.DATA), data=b"%d of %d" % (index, term))
        for index in range(first, last + 1)
    ]


def hard(term, voted_for):
    return HardState(term, voted_for, True, MEMBERS)


def snapshot(index, term):
    return Snapshot(index, term, MEMBERS, b"state %d" % index * 300)


STEPS = [
    ("p0", Ready(hard_state=hard(1, "a"), entries_to_store=entries(1, 5, 1))),
    ("p1", Ready(hard_state=hard(1, None), entries_to_store=entries(1, 2, 1))),
    ("p0", Ready(hard_state=hard(2, "b"))),
    # Installed: the log before it is gone, and with it what was never committed.
    ("p0", Ready(truncate_from=1, snapshot_to_store=snapshot(40, 2))),
    ("p0", Ready(entries_to_store=entries(41, 44, 2))),
    "new generation",
    # A new term, and at once the snapshot of its leader with the entries after it.
    (
        "p0",
        Ready(
            hard_state=hard(3, None),
            truncate_from=1,
            snapshot_to_store=snapshot(90, 3),
            entries_to_store=entries(91, 93, 3),
        ),
    ),
    ("p0", Ready(snapshot_to_store=snapshot(92, 3))),
    "new generation",
    ("p1", Ready(truncate_from=1, snapshot_to_store=snapshot(7, 1))),
    "new generation",
    "new generation",
    ("p0", Ready(hard_state=hard(4, "c"))),
]


def shown(store):
    found = {}
    for shard in SHARDS:
        state = store.load(shard)
        found[shard] = state and (state.term, state.voted_for, state.recovered, state.snapshot, state.entries)
    return found


def opened_from(copy, state):
    """What a storage shows that is opened on these files, by their names, in an empty folder."""
    copy.mkdir(exist_ok=True)
    for path in copy.iterdir():
        path.unlink()
    for name, data in state.items():
        (copy / name).write_bytes(data)
    store = Storage.open(str(copy), SHARDS)
    found = shown(store)
    store.close()
    assert not store.corrupt
    return found


@pytest.mark.parametrize("most_chunk", [record_chunks.MAX_CHUNK_BYTES, 700])
def test_power_lost_at_every_write_leaves_the_old_state_or_the_new(tmp_path, monkeypatch, most_chunk):
    monkeypatch.setattr(record_chunks, "MAX_CHUNK_BYTES", most_chunk)
    folder, copy = tmp_path / "data", tmp_path / "copy"
    allowed = []

    def lost(state):
        found = opened_from(copy, state)
        assert found in allowed, (found, allowed)

    with monkeypatch.context() as patched:
        store = Storage.open(str(folder), SHARDS)
        model = PowerModel(folder, patched, lost)
        patched.setattr(storage, "MAX_RECORDS", 0)
        allowed = [shown(store)]
        for step in STEPS:
            if step == "new generation":
                assert store.compact_if_needed()
                continue
            shard, ready = step
            before = shown(store)
            allowed = [before, after(before, shard, ready)]
            store.write([ShardWrite(shard, ready)])
            allowed = [shown(store)]
            assert allowed == [after(before, shard, ready)]
    assert model.points > 60 and model.states > 300
    assert shown(Storage.open(str(folder), SHARDS)) == allowed[0]


def after(before, shard, ready):
    """The state that a write makes, told without the storage."""
    term, voted_for, recovered, kept, log = before[shard] or (0, None, False, None, [])
    if ready.hard_state:
        term, voted_for, recovered = ready.hard_state.term, ready.hard_state.voted_for, True
    if ready.truncate_from is not None:
        log = [entry for entry in log if entry.index < ready.truncate_from]
    if ready.snapshot_to_store:
        kept = ready.snapshot_to_store
        log = [entry for entry in log if entry.index > kept.index]
    return {**before, shard: (term, voted_for, recovered, kept, log + ready.entries_to_store)}


def refuse(patched, first, calls):
    """Have the disk refuse these calls, counted from the first: it is full for a while. Returns the count."""
    made = []
    for name in ("fsync", "rename", "remove"):
        real = getattr(os, name)

        def call(*arguments, real=real):
            made.append(None)
            if first <= len(made) < first + calls:
                raise OSError(errno.ENOSPC, "full")
            return real(*arguments)

        patched.setattr(os, name, call)
    return made


@pytest.mark.parametrize("most_chunk", [record_chunks.MAX_CHUNK_BYTES, 700])
@pytest.mark.parametrize("calls", [1, 4])
def test_disk_full_in_compactions_and_then_power_lost(tmp_path, monkeypatch, calls, most_chunk):
    """From each call on (with chunks each seventh) the disk is full for a while; then power is lost later."""
    monkeypatch.setattr(record_chunks, "MAX_CHUNK_BYTES", most_chunk)
    monkeypatch.setattr(storage, "MAX_RECORDS", 0)
    monkeypatch.setattr(storage, "SKIPPED_COMPACTIONS", 0)
    first, made = 1, [None]
    while first <= len(made):
        folder, copy, allowed = tmp_path / f"data{first}", tmp_path / "copy", []

        def lost(state, copy=copy):
            found = opened_from(copy, state)
            assert found in allowed, (found, allowed)  # noqa: B023

        with monkeypatch.context() as patched:
            store = Storage.open(str(folder), SHARDS)
            allowed = [shown(store)]
            PowerModel(folder, patched, lost)
            made = refuse(patched, first, calls)
            for step in [*STEPS[3:6], "new generation", STEPS[6]]:
                before = shown(store)
                if step != "new generation":
                    allowed = [before, after(before, *step)]
                while not done(store, step):
                    assert shown(store) == before
                allowed = [shown(store)]
        first += 7 if most_chunk == 700 else 1
        store.close()
        assert shown(Storage.open(str(folder), SHARDS)) == allowed[0]


def done(store, step):
    """Whether a step of the test was carried out; it is refused while the disk is full."""
    try:
        if step == "new generation":
            return store.compact_if_needed()
        store.write([ShardWrite(*step)])
    except StorageError:
        return False
    return True
