"""What is fed of the platform's list, and what is forgotten."""

from types import SimpleNamespace

from hopsail.controlplane.platform_list import FORGET_INTERVAL_NS, PlatformList
from hopsail.feed.journal import Change, Journal
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, Instance, Phase, encode
from hopsail.hosts.view import TOMBSTONE_TTL_NS
from hopsail.net.counters import Counters


class Listing:
    """A list of a process that is never its turn to read."""

    def __init__(self):
        self.now, self.look = 1_000_000_000, None
        loop = SimpleNamespace(now=lambda: self.now, at=self._at)
        settings = SimpleNamespace(platform=None, node_name="core-1", platform_rate=47.0, seeds=())
        self.journal, self.counters = Journal(1, 1000), Counters("test")
        self.list = PlatformList(loop, settings, self.journal, None, lambda: False, self.counters)

    def _at(self, when, act) -> None:
        self.look = act

    def handle_change(self, value: bytes | None, topic: Topic = Topic.INSTANCE, key: str = "i-1") -> None:
        self.list.handle_change(Change(topic, key, value))

    def fed(self) -> list[str]:
        return [change.key for change in self.journal.snapshot([Topic.INSTANCE])]


def instance(phase: Phase, name: str = "i-1") -> bytes:
    address = Address("10.0.0.1", 8080)
    return encode(Instance(name, "s-a", address, "z", 8, phase, 0, (), "v1"))


def test_news_of_others_is_fed_on_and_never_goes_back():
    listing = Listing()
    listing.handle_change(instance(Phase.SERVING))
    listing.handle_change(instance(Phase.DRAINING))
    listing.handle_change(instance(Phase.SERVING))
    assert listing.fed() == ["i-1"]
    assert listing.list.view.get("i-1").phase is Phase.DRAINING


def test_unreadable_news_is_passed_over():
    listing = Listing()
    for value in (b"", b"{", b"null", b"[]", b"\xff", instance(Phase.SERVING)[:-2]):
        listing.handle_change(value)
    assert listing.fed() == []


def test_a_process_that_never_reads_forgets_hosts_that_have_gone():
    listing = Listing()
    listing.handle_change(instance(Phase.REMOVED))
    assert listing.fed() == ["i-1"]
    listing.now += TOMBSTONE_TTL_NS + FORGET_INTERVAL_NS
    listing.handle_change(instance(Phase.SERVING, "i-2"), key="i-2")
    listing.look()
    assert listing.fed() == ["i-2"]


def test_readings_of_others_count_as_fresh_and_own_ones_do_not_come_back():
    listing = Listing()
    listing.handle_change(b"4", Topic.LISTING, "core-1")
    assert listing.list.freshest is None
    listing.handle_change(b"4", Topic.LISTING, "core-2")
    assert listing.list.freshest == listing.now
