"""Hosts that were lately sent a shared part."""

from hopsail.model import SECOND
from hopsail.routing.recent_readers import LASTING_NS, RecentReaders, part_key

START = 1000 * SECOND


def test_the_latest_host_comes_first_and_each_once():
    readers = RecentReaders()
    for host in ("a", "b", "a"):
        readers.note(START, "k", host)
    assert readers.of(START, "k") == ["a", "b"]
    assert readers.of(START, "other") == []


def test_what_is_noted_lapses():
    readers = RecentReaders()
    readers.note(START, "k", "a")
    readers.note(START + SECOND, "k", "b")
    assert readers.of(START + LASTING_NS - 1, "k") == ["b", "a"]
    assert readers.of(START + LASTING_NS, "k") == ["b"]


def test_parts_and_hosts_are_bounded():
    readers = RecentReaders(most_parts=3, most_hosts=2)
    for number in range(5):
        readers.note(START, f"k{number}", "a")
    assert len(readers) == 3 and readers.of(START, "k1") == [] and readers.of(START, "k4") == ["a"]
    for host in "bcd":
        readers.note(START, "k4", host)
    assert readers.of(START, "k4") == ["d", "c"]


def test_a_part_under_another_salt_is_another():
    assert part_key("s1", "p") != part_key("s2", "p") != part_key("s2", "q")
    assert part_key("s1", "p") == part_key("s1", "p")
    assert part_key("\udcff", "p")  # what a client sent need not be text
