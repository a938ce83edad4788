"""The incarnation file across restarts, clock steps and damage."""

from hopsail.swim.incarnation import IncarnationStore


def test_an_incarnation_is_later_than_any_before_it_also_when_the_clock_goes_back(tmp_path):
    first = IncarnationStore(str(tmp_path), "b0", 1000)
    assert IncarnationStore(str(tmp_path), "b0", 500).incarnation == 1001
    assert IncarnationStore(str(tmp_path), "b0", 9000).incarnation == 9000
    first.save(20000, [("10.0.0.1", 7)])
    again = IncarnationStore(str(tmp_path), "b0", 5)
    assert again.incarnation == 20001 and again.addresses == [("10.0.0.1", 7)]
    assert IncarnationStore(None, "b0", 77).incarnation == 77
    assert IncarnationStore(str(tmp_path), "b1", 5).incarnation == 5


def test_a_torn_or_foreign_file_of_the_incarnation_is_reported_and_made_anew(tmp_path):
    IncarnationStore(str(tmp_path), "b0", 1000).save(5000, [("10.0.0.1", 7)])
    path = next(tmp_path.iterdir())
    complete = path.read_bytes()
    for data in [complete[:at] for at in range(len(complete) - 1)] + [
        b"\xff" * 50,
        b"x" * (1 << 17),
        b'{"form":2} 00',
    ]:
        path.write_bytes(data)
        store = IncarnationStore(str(tmp_path), "b0", 7000)
        assert store.incarnation == 7000 and store.error and "\n" not in store.error
        assert IncarnationStore(str(tmp_path), "b0", 1).incarnation == 7001  # made anew
    store = IncarnationStore(str(tmp_path / "none"), "b0", 7)
    assert store.incarnation == 7 and "cannot be kept" in store.error
