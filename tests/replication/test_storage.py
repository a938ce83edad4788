"""Storage on a database that is only appended to: torn tails, damaged records, full disks, compaction."""

import errno
import os
import random
import select
import threading

import pytest

from hopsail.replication import record_chunks, generation, storage
from hopsail.replication.errors import StorageError
from hopsail.replication.disk_thread import DiskThread
from hopsail.replication.messages import Entry, EntryKind
from hopsail.replication.records import ShardWrite
from hopsail.replication.state import HardState, Members, Ready, Snapshot
from hopsail.replication.storage import Storage

SHARDS = ("p0", "p1")
MEMBERS = Members(("a", "b", "c"), ("d",))


class RefusingSync:
    """Stands in for `os.fsync`: the sync with this number is refused, all others are made."""

    def __init__(self, number, error):
        self.number, self.error, self.calls, self.real = number, error, 0, os.fsync

    def __call__(self, descriptor):
        self.calls += 1
        if self.calls == self.number:
            raise OSError(self.error, os.strerror(self.error))
        self.real(descriptor)


def entry(index, data=b"x", term=1):
    return Entry(term=term, index=index, kind=int(EntryKind.DATA), data=data)


def hard(term=1, voted_for="a"):
    return HardState(term, voted_for, True, MEMBERS)


def write(store, shard="p0", **fields):
    store.write([ShardWrite(shard, Ready(serial=1, **fields))])


def reopened(folder):
    return Storage.open(str(folder), SHARDS)


def files(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def restore(folder, kept):
    for path in folder.iterdir():
        path.unlink()
    for name, data in kept.items():
        (folder / name).write_bytes(data)


def filled(folder, count=3):
    store = reopened(folder)
    write(store, hard_state=hard(), entries_to_store=[entry(1)])
    for index in range(2, count + 1):
        write(store, entries_to_store=[entry(index, b"value %d" % index)])
    return store


def test_nothing_there(tmp_path):
    store = reopened(tmp_path / "data")
    assert store.empty and store.load("p0") is None and not store.corrupt


def test_kept_state_comes_back(tmp_path):
    store = filled(tmp_path, 5)
    write(store, "p1", hard_state=hard(7, None), entries_to_store=[entry(1), entry(2)])
    write(store, truncate_from=4, entries_to_store=[entry(4, b"other", 2)])
    write(store, snapshot_to_store=Snapshot(2, 1, MEMBERS, b"state"))
    again = reopened(tmp_path)
    found = again.load("p0")
    assert not again.empty
    assert (found.term, found.voted_for, found.recovered, found.members) == (1, "a", True, MEMBERS)
    assert found.snapshot == Snapshot(2, 1, MEMBERS, b"state")
    assert found.entries == [entry(3, b"value 3"), entry(4, b"other", 2)]
    assert again.load("p1").voted_for is None and again.load("p1").term == 7


@pytest.mark.parametrize("suffix", [".dir", ".dat"])
def test_torn_tail_is_dropped_wherever_it_is_cut(tmp_path, suffix):
    filled(tmp_path, 2)
    before = files(tmp_path)
    write(reopened(tmp_path), entries_to_store=[entry(3, b"last" * 50)])
    after = files(tmp_path)
    name = "log-000001" + suffix
    for size in range(len(before[name]), len(after[name])):
        restore(tmp_path, {**after, name: after[name][:size]})
        store = reopened(tmp_path)
        assert [one.index for one in store.load("p0").entries] == [1, 2], size
        assert not store.corrupt
        write(store, entries_to_store=[entry(3, b"new")])
        assert reopened(tmp_path).load("p0").entries[-1] == entry(3, b"new")


def test_tail_of_other_bytes_is_dropped(tmp_path):
    filled(tmp_path, 2)
    before = files(tmp_path)
    write(reopened(tmp_path), entries_to_store=[entry(3, b"last" * 50)])
    after = files(tmp_path)
    chance = random.Random(5)
    for _ in range(100):
        damaged = dict(after)
        for name in ("log-000001.dir", "log-000001.dat"):
            start = len(before[name])
            spoilt = bytearray(after[name])
            for position in range(start, len(spoilt)):
                if chance.random() < 0.3:
                    spoilt[position] = chance.choice((0, chance.randrange(256)))
            damaged[name] = bytes(spoilt)
        restore(tmp_path, damaged)
        store = reopened(tmp_path)
        assert not store.corrupt
        assert [one.index for one in store.load("p0").entries][:2] == [1, 2]
        assert store.load("p0").entries[2:] in ([], [entry(3, b"last" * 50)])


def test_damaged_record_in_the_middle_makes_its_part_corrupt(tmp_path):
    store = filled(tmp_path, 2)
    write(store, entries_to_store=[entry(3, b"to be damaged")])
    write(store, "p1", hard_state=hard(), entries_to_store=[entry(1)])
    path = tmp_path / "log-000001.dat"
    path.write_bytes(path.read_bytes().replace(b"to be damaged", b"to be DAMAGED"))
    store = reopened(tmp_path)
    assert store.corrupt == {"p0"} and store.damaged_records == 1
    assert store.load("p0") is None and len(store.load("p1").entries) == 1
    write(store, hard_state=hard(9), entries_to_store=[entry(1)])
    store = reopened(tmp_path)
    assert not store.corrupt and store.load("p0").term == 9 and store.load("p1") is not None


def test_damaged_index_line_in_the_middle_makes_all_corrupt(tmp_path):
    filled(tmp_path, 4)
    path = tmp_path / "log-000001.dir"
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(lines[0] + b"'0000x" + lines[1][6:] + lines[2] + lines[3])
    store = reopened(tmp_path)
    assert store.corrupt == set(SHARDS) and store.load("p0") is None


def test_failed_sync_leaves_no_torn_record(tmp_path, monkeypatch):
    store = filled(tmp_path, 2)
    for failing in (1, 2):
        with monkeypatch.context() as patched:
            patched.setattr(os, "fsync", RefusingSync(failing, errno.ENOSPC))
            with pytest.raises(StorageError):
                write(store, entries_to_store=[entry(3, b"refused")])
    kept = reopened(tmp_path).load("p0").entries
    assert kept in ([entry(1), entry(2, b"value 2")], [entry(1), entry(2, b"value 2"), entry(3, b"refused")])
    write(store, entries_to_store=[entry(3, b"accepted")])
    write(store, entries_to_store=[entry(4)])
    again = reopened(tmp_path)
    assert again.load("p0").entries[2:] == [entry(3, b"accepted"), entry(4)] and not again.corrupt


def test_half_written_record_is_cut_off_before_the_next(tmp_path, monkeypatch):
    store = filled(tmp_path, 2)

    def half(self, value):
        with open(self._datfile, "ab") as file:
            file.write(value[: len(value) // 2])
        raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patched:
        patched.setattr(generation._AppendOnlyDatabase, "_addval", half)
        with pytest.raises(StorageError):
            write(store, entries_to_store=[entry(3)])
    write(store, entries_to_store=[entry(3, b"accepted")])
    assert reopened(tmp_path).load("p0").entries[-1] == entry(3, b"accepted")


def test_index_is_never_rewritten(tmp_path):
    store = filled(tmp_path, 3)
    before = files(tmp_path)
    database = store._generation._database
    database.sync()
    database.close()
    store.close()
    del store, database
    assert files(tmp_path) == before and not list(tmp_path.glob("*.bak"))


def test_compaction_bounds_the_disk(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "MAX_GARBAGE_BYTES", 20_000)
    store = filled(tmp_path, 3)
    largest = 0
    for index in range(4, 200):
        write(store, entries_to_store=[entry(index, b"z" * 300)])
        write(store, snapshot_to_store=Snapshot(index - 1, 1, MEMBERS, b"state %d" % index))
        store.compact_if_needed()
        largest = max(largest, sum(path.stat().st_size for path in tmp_path.iterdir()))
    assert largest < 30_000
    assert len(list(tmp_path.iterdir())) == 3
    found = reopened(tmp_path).load("p0")
    assert found.snapshot.data == b"state 199" and found.entries == [entry(199, b"z" * 300)]
    assert found.term == 1 and found.members == MEMBERS


def test_compaction_cut_short_at_any_step_keeps_everything(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "MAX_RECORDS", 3)
    filled(tmp_path, 5)
    kept = files(tmp_path)
    for failing in range(1, 12):
        restore(tmp_path, kept)
        store = reopened(tmp_path)
        refuse = RefusingSync(failing, errno.EIO)
        with monkeypatch.context() as patched:
            patched.setattr(os, "fsync", refuse)
            try:
                store.compact_if_needed()
            except StorageError:
                pass
        assert len(reopened(tmp_path).load("p0").entries) == 5
        write(store, entries_to_store=[entry(6)])
        again = reopened(tmp_path)
        assert len(again.load("p0").entries) == 6 and not again.corrupt
    assert failing > refuse.calls


def test_first_write_that_fails_can_be_repeated(tmp_path, monkeypatch):
    store = reopened(tmp_path)
    with monkeypatch.context() as patched:
        patched.setattr(os, "rename", lambda *names: (_ for _ in ()).throw(OSError(errno.EROFS, "no")))
        with pytest.raises(StorageError):
            write(store, hard_state=hard())
    assert reopened(tmp_path).empty
    write(store, hard_state=hard())
    assert reopened(tmp_path).load("p0").term == 1


def test_disk_thread_gives_results_in_order(tmp_path):
    now = [100]
    thread = DiskThread(reopened(tmp_path), clock=lambda: now[0])
    assert thread.oldest_age(150) == 0
    thread.submit([ShardWrite("p0", Ready(hard_state=hard(), entries_to_store=[entry(1)]))], "first")
    thread.submit([ShardWrite("p0", Ready(entries_to_store=[entry(3)]))], "gap")
    assert thread.oldest_age(150) == 50
    ended = []
    while len(ended) < 2:
        assert select.select([thread.descriptor], [], [], 30)[0]
        ended += thread.collect()
    assert [token for token, _ in ended] == ["first", "gap"]
    assert ended[0][1] is None and isinstance(ended[1][1], StorageError)
    assert thread.oldest_age(1000) == 0 and thread.collect() == []
    thread.close()
    assert reopened(tmp_path).load("p0").entries == [entry(1)]


def test_first_start_on_a_full_disk_leaves_no_files_behind(tmp_path, monkeypatch):
    store = reopened(tmp_path)

    def refuse(descriptor):
        raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", refuse)
        for _ in range(50):
            with pytest.raises(StorageError):
                write(store, hard_state=hard())
    assert len(list(tmp_path.iterdir())) <= 3
    write(store, hard_state=hard())
    assert reopened(tmp_path).load("p0").term == 1


def test_compaction_that_fails_is_not_tried_at_every_write(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "MAX_RECORDS", 3)
    store = filled(tmp_path, 5)
    attempts = []

    def refuse(generation):
        attempts.append(generation)
        raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patched:
        patched.setattr(store, "_make_current", refuse)
        for index in range(6, 106):
            write(store, entries_to_store=[entry(index)])
            try:
                store.compact_if_needed()
            except StorageError:
                assert len(list(tmp_path.iterdir())) == 3  # nothing of it fills the disk
    assert 2 <= len(attempts) <= 5
    for index in range(106, 140):
        write(store, entries_to_store=[entry(index)])
        if store.compact_if_needed():
            break
    assert len(reopened(tmp_path).load("p0").entries) == index


def test_busy_disk_thread_compacts_before_garbage_fills_the_disk(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "MAX_GARBAGE_BYTES", 20_000)
    thread = DiskThread(reopened(tmp_path))
    started, release, sizes = threading.Event(), threading.Event(), []
    real = Storage.write

    def wait_first(self, batch):
        started.set()
        release.wait(30)
        real(self, batch)
        sizes.append(sum(path.stat().st_size for path in tmp_path.glob("*.dat")))  # in the disk's thread

    monkeypatch.setattr(Storage, "write", wait_first)
    for index in range(1, 301):
        state = Snapshot(index, 1, MEMBERS, b"s" * 1000)
        thread.submit([ShardWrite("p0", Ready(snapshot_to_store=state))], index)
    assert started.wait(30)
    release.set()
    ended = []
    while len(ended) < 300:
        assert select.select([thread.descriptor], [], [], 30)[0]
        ended += thread.collect()
    thread.close()
    assert not any(error for _, error in ended)
    assert len(sizes) == 300 and max(sizes) < 150_000
    assert reopened(tmp_path).load("p0").snapshot.index == 300


def test_rename_that_was_done_though_it_failed_loses_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(storage, "MAX_RECORDS", 3)
    store = filled(tmp_path, 5)
    real = os.rename

    def done_but_failed(*names):
        real(*names)
        raise OSError(errno.EIO, "not known")

    with monkeypatch.context() as patched:
        patched.setattr(os, "rename", done_but_failed)
        with pytest.raises(StorageError):
            store.compact_if_needed()
        assert len(reopened(tmp_path).load("p0").entries) == 5
        with pytest.raises(StorageError):
            write(store, entries_to_store=[entry(6)])
        assert len(reopened(tmp_path).load("p0").entries) == 5
    write(store, entries_to_store=[entry(6)])
    again = reopened(tmp_path)
    assert len(again.load("p0").entries) == 6 and not again.corrupt
    store.compact_if_needed()
    assert len(list(tmp_path.iterdir())) == 3


def test_large_snapshot_can_be_read_back(tmp_path):
    state = Snapshot(9, 1, MEMBERS, bytes(17 << 20))
    write(reopened(tmp_path), hard_state=hard(), snapshot_to_store=state)
    again = reopened(tmp_path)
    assert not again.corrupt and again.load("p0").snapshot == state


# Long values, in chunks.

LONG = Snapshot(9, 1, Members(("a",)), bytes(range(256)) * 20)


@pytest.fixture
def short_chunks(monkeypatch):
    monkeypatch.setattr(record_chunks, "MAX_CHUNK_BYTES", 1000)


@pytest.mark.usefixtures("short_chunks")
def test_a_long_value_is_written_in_chunks_and_read_back(tmp_path):
    store = filled(tmp_path)
    before = store._generation.sizes.serial
    write(store, snapshot_to_store=LONG)
    assert store._generation.sizes.serial - before == -(-len(LONG.data) // 1000)
    write(store, entries_to_store=[entry(10)])
    again = reopened(tmp_path)
    assert again.load("p0").snapshot == LONG and again.load("p0").entries == [entry(10)]
    assert (again.corrupt, again.torn_records, again.damaged_records) == (set(), 0, 0)


@pytest.mark.parametrize("length", [999, 1000, 1001, 2000, 2001])
def test_what_is_cut_is_joined(monkeypatch, length):
    monkeypatch.setattr(record_chunks, "MAX_CHUNK_BYTES", 1000)
    joiner, value = record_chunks.Joiner(), bytes(length)
    records = list(record_chunks.split(value))
    assert len(records) == -(-length // 1000)
    assert [joiner.add(record) for record in records] == [None] * (len(records) - 1) + [value]
    assert not joiner.is_between


@pytest.mark.usefixtures("short_chunks")
@pytest.mark.parametrize("missing", range(6))
def test_chunks_without_an_end_are_dropped(tmp_path, missing):
    store = filled(tmp_path)
    kept = store.load("p0")
    write(store, snapshot_to_store=LONG)
    index = next(tmp_path.glob("*.dir"))
    lines = index.read_bytes().splitlines(keepends=True)
    index.write_bytes(b"".join(lines[: len(lines) - missing]))
    again = reopened(tmp_path)
    assert not again.corrupt and again.torn_records == (0 < missing)
    assert (again.load("p0").snapshot == LONG) == (not missing)
    if missing:
        assert again.load("p0") == kept
        write(again, entries_to_store=[entry(4)])  # takes the place of the chunks
        assert reopened(tmp_path).load("p0").entries == [*kept.entries, entry(4)]


@pytest.mark.usefixtures("short_chunks")
@pytest.mark.parametrize("number", range(6))
def test_a_damaged_chunk_before_other_records_makes_all_corrupt(tmp_path, number):
    store = filled(tmp_path)
    first = store._generation.sizes
    write(store, snapshot_to_store=LONG)
    data = next(tmp_path.glob("*.dat"))
    place = -(-first.data_bytes // 512) * 512 + number * 1024 + 100
    damaged = bytearray(data.read_bytes())
    damaged[place] ^= 1
    data.write_bytes(damaged)
    last = reopened(tmp_path)
    assert not last.corrupt and last.load("p0").snapshot is None  # as if its sync had been cut short
    write(store, entries_to_store=[entry(10)])
    assert reopened(tmp_path).corrupt == {"p0", "p1"}


def test_chunks_without_an_end_before_other_records_make_all_corrupt(tmp_path, short_chunks):
    store = filled(tmp_path)
    store._generation.append(list(record_chunks.split(bytes(3000)))[:2])
    write(store, entries_to_store=[entry(4)])
    assert reopened(tmp_path).corrupt == {"p0", "p1"}


@pytest.mark.usefixtures("short_chunks")
@pytest.mark.parametrize("refused", range(1, 13))
def test_a_disk_that_is_full_between_chunks_keeps_the_old_state_and_works_on(tmp_path, monkeypatch, refused):
    store = filled(tmp_path)
    kept = store.load("p0")
    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", RefusingSync(refused, errno.ENOSPC))
        with pytest.raises(StorageError):
            write(store, snapshot_to_store=LONG)
    assert store.load("p0") == kept
    write(store, entries_to_store=[entry(4)])
    again = reopened(tmp_path)
    assert not again.corrupt and again.load("p0").entries == [*kept.entries, entry(4)]
    write(store, snapshot_to_store=LONG)
    assert reopened(tmp_path).load("p0").snapshot == LONG


@pytest.mark.usefixtures("short_chunks")
def test_a_long_write_is_as_old_as_its_last_chunk(tmp_path):
    """A disk that goes on is not one that stalls, also for what waits behind the long write."""
    store, now, ages = reopened(tmp_path), [0], []
    thread = DiskThread(store, clock=lambda: now[0])
    note = store.on_progress

    def on_progress():
        now[0] += 100
        ages.append(thread.oldest_age(now[0]))
        note()

    store.on_progress = on_progress
    thread.submit([ShardWrite("p0", Ready(hard_state=hard(), snapshot_to_store=LONG))], "long")
    thread.submit([ShardWrite("p0", Ready(entries_to_store=[entry(10)]))], "behind")
    ended = []
    while len(ended) < 2:
        assert select.select([thread.descriptor], [], [], 30)[0]
        ended += thread.collect()
    assert ages == [100] * 7  # encoded, and six chunks
    assert [error for _, error in ended] == [None, None]
    thread.submit([ShardWrite("p0", Ready(entries_to_store=[entry(11)]))], "short")
    assert thread.oldest_age(now[0] + 500) == 500
    thread.close()
