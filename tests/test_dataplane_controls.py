"""Which control processes a data plane follows: lists with versions, seeds, hints, a majority's word."""

import pytest

from hopsail.dataplane.controls import (
    HINT_TIME,
    MOST_KNOWN,
    SILENT_TIME,
    UNCONFIRMED_TIME,
    ControlLinks,
)

SECOND = 1_000_000_000
TICK = SECOND // 5


def address(name: str) -> tuple[str, int]:
    return name, 1


def listed(*names: str) -> list[str]:
    return [f"{name}:1" for name in names]


class Follower:
    def __init__(self, address):
        self.address, self.last_reply_at, self.confirmed_at, self.stopped = address, 0, None, False

    def stop(self):
        self.stopped = True


class Fleet:
    """Links, and control processes: those that answer, and those of them with a majority's word."""

    def __init__(self, seeds, answering=(), confirmed=(), losses=1):
        self.clock, self.made, self.left = SECOND, [], []
        self.answering, self.confirmed = set(answering), set(confirmed)
        self.links = ControlLinks(self, losses, self._make, self.left.append)
        self.links.renew_seeds([address(seed) for seed in seeds])

    def now(self):
        return self.clock

    def _make(self, address):
        self.made.append(address[0])
        return Follower(address)

    @property
    def followed(self) -> set[str]:
        return {name for name, _ in self.links.followers}

    def run(self, span: int) -> None:
        """Lets time pass, with ticks, and with the replies of those that answer."""
        for _ in range(max(1, span // TICK)):
            self.clock += TICK
            for (name, _), follower in self.links.followers.items():
                if name in self.answering:
                    follower.last_reply_at = self.clock
                    follower.confirmed_at = self.clock if name in self.confirmed else follower.confirmed_at
            self.links.choose()


def test_two_lists_in_turn_do_not_change_whom_it_follows():
    fleet = Fleet("abc", answering="abcdef", confirmed="def")
    fleet.links.tell(listed("d", "e", "f"), 40)
    fleet.run(SECOND)
    assert fleet.followed == set("def")
    made = list(fleet.made)
    for _ in range(20):
        fleet.links.tell(listed("a", "b", "c"), 7)
        fleet.run(TICK)
        fleet.links.tell(listed("d", "e", "f"), 40)
        fleet.run(TICK)
    assert fleet.made == made and fleet.followed == set("def")


def test_a_member_that_was_removed_is_not_brought_back_by_an_older_list():
    fleet = Fleet("abc", answering="abcd", confirmed="abcd")
    fleet.links.tell(listed("a", "b", "c"), 7)
    fleet.links.tell(listed("a", "b", "d"), 9)
    assert list(fleet.links.told) == [address(name) for name in "abd"]
    fleet.links.tell(listed("a", "b", "c"), 8)
    assert list(fleet.links.told) == [address(name) for name in "abd"]
    assert fleet.links.told_as_of == 9


@pytest.mark.parametrize("as_of", [7, 8])
def test_a_list_that_is_not_older_is_taken(as_of):
    fleet = Fleet("a")
    fleet.links.tell(listed("a", "b"), 7)
    fleet.links.tell(listed("b", "c"), as_of)
    assert list(fleet.links.told) == [address("b"), address("c")]


def test_no_list_and_what_can_not_be_read_change_nothing():
    fleet = Fleet("a")
    fleet.links.tell(listed("a", "b"), 7)
    fleet.links.tell([], 9)
    fleet.links.tell(["nonsense", "b:x", ":"], 10)
    assert list(fleet.links.told) == [address("a"), address("b")]
    assert fleet.links.told_as_of == 7


def test_who_knows_no_list_is_a_pointer_to_the_others():
    fleet = Fleet("x", answering="xabc", confirmed="abc")
    fleet.run(TICK)
    fleet.links.tell([], -1, listed("x", "a", "b", "c"))
    fleet.run(3 * SECOND)
    assert fleet.followed >= set("abc")


def test_an_old_list_is_a_pointer_while_others_are_missing():
    fleet = Fleet("x", answering="xc", confirmed="c")
    fleet.links.tell(listed("d", "e"), 9)
    fleet.links.tell(listed("c"), 8)
    fleet.run(SECOND)
    assert "c" in fleet.followed


def test_hints_are_not_followed_while_members_and_seeds_are_enough():
    fleet = Fleet("abc", answering="abcxyz", confirmed="abc")
    fleet.links.tell(listed("a", "b", "c"), 7, listed("x", "y", "z"))
    fleet.run(30 * SECOND)
    assert fleet.followed == set("abc") and fleet.made == ["a", "b", "c"]


def test_hints_are_forgotten_and_bounded():
    fleet = Fleet("abc")
    fleet.links.tell([], -1, listed(*(f"h{number}" for number in range(200))))
    assert len(fleet.links.hints) <= MOST_KNOWN
    fleet.run(HINT_TIME + SECOND)
    assert not fleet.links.hints


def test_when_all_members_are_silent_the_seeds_lead_back():
    fleet = Fleet("abc", answering="def", confirmed="def")
    fleet.links.tell(listed("x", "y", "z"), 7)
    fleet.run(SILENT_TIME + TICK)
    assert fleet.followed == set("xyz")
    fleet.links.renew_seeds([address(name) for name in "def"])
    fleet.run(2 * SILENT_TIME)
    assert fleet.followed == set("def")


def test_besides_those_without_a_majority_others_are_followed_until_enough_have_it():
    fleet = Fleet("abc", answering="abcdef")
    fleet.run(SECOND)
    assert fleet.followed == set("abc")
    fleet.links.tell(listed("a", "b", "c"), 7, listed("d", "e", "f"))
    fleet.run(SECOND)
    assert fleet.followed == set("abcdef")
    fleet.confirmed = set("bde")
    fleet.run(SECOND)
    assert fleet.followed == set("bde")
    assert {follower.address[0] for follower in fleet.left} == set("acf")


def test_no_more_than_twice_as_many_are_followed():
    fleet = Fleet("abcdefghijkl", answering="abcdefghijkl")
    fleet.run(10 * SECOND)
    assert len(fleet.followed) == 6


def test_a_short_time_without_a_majority_costs_no_further_feeds():
    fleet = Fleet("abcdef", answering="abcdef", confirmed="abcdef")
    fleet.run(SECOND)
    fleet.confirmed = set()
    fleet.run(UNCONFIRMED_TIME - SECOND)
    assert fleet.made == ["a", "b", "c"]
    fleet.run(3 * SECOND)
    assert len(fleet.followed) == 6 and not fleet.left


def test_a_silent_one_is_exchanged():
    fleet = Fleet("abcd", answering="abd", confirmed="abd")
    fleet.run(SILENT_TIME + SECOND)
    assert fleet.followed == set("abd")
