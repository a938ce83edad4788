"""Prompts: header parsing, salts, the routing key, and the index of kept parts under bad reports."""

from collections import Counter
from itertools import product
from random import Random

import pytest

from hopsail.model import SECOND
from hopsail.prompts.affinity import LEAST_LARGE, routing_key, shared_prefix
from hopsail.prompts.kept import EXPECTATION_NS, KeptIndex
from hopsail.prompts.kept_entries import MOST_FEEDS
from hopsail.prompts.kept_events import KeptChange
from hopsail.prompts.prefix import MOST_PARTS, Part, TokenCount, parse_prefix, parse_token_count
from hopsail.prompts.salt import LONGEST, cache_salt
from hopsail.routing.ring import HostRing

LARGE, SMALL, OWN = Part("aa", 13_300), Part("bb", 55), Part("cc", 3_720)
SALT = "m:1"


def event(number, sign, identifier, tokens, salt=SALT):
    return [number, sign, salt, identifier, tokens, "m"]


def retained(identifier, tokens, salt=SALT):
    return [salt, identifier, tokens, "m"]


def index(max_entries=100, least_tokens=256):
    return KeptIndex(max_entries, least_tokens)


def test_parses_a_prefix():
    assert parse_prefix("5c1e07a2:800,91bd3f06:410") == (Part("5c1e07a2", 800), Part("91bd3f06", 410))
    assert parse_prefix("5C:1, 9f:0") == (Part("5C", 1), Part("9f", 0))


@pytest.mark.parametrize(
    "header",
    ["", ",", "5c", "5c:", ":5", "5c:-1", "5c:1.5", "5c:1,", "5c:1,,6d:2", "xyz:3", "5c:1:2", "5c:\u0663"]
    + ["5c:99999999999", "5c:" + "9" * 5000, "5 c:1", "a" * 200 + ":1"]
    + [",".join(["5c:1"] * (MOST_PARTS + 1))],
)
def test_a_bad_prefix_tells_nothing(header):
    assert parse_prefix(header) == ()


def test_one_changed_character_is_never_an_error():
    random, good = Random(1), "5c1e07a2:800,91bd3f06:410"
    for _ in range(2000):
        at = random.randrange(len(good))
        changed = good[:at] + chr(random.choice([*range(128), 0x663, 0xB2, 0xFF])) + good[at + 1 :]
        assert all(part.tokens >= 0 and part.identifier for part in parse_prefix(changed))


def test_parses_a_token_count():
    assert parse_token_count("1460,80") == TokenCount(1460, 80)
    for bad in ("", "1460", "1460,", ",80", "a,b", "1,2,3", "-1,2"):
        assert parse_token_count(bad) == TokenCount(0, 0)


def test_salts_of_distinct_inputs_are_distinct():
    names = ["", "a", "b", ":", "a:1", "a:1:b", "%3a", "~", "é", "\udc80", "a b", "x" * 100, "x" * 101]
    inputs = list(product(names, [1, 2, 11], [None, *names]))
    salts = {cache_salt(*each) for each in inputs}
    assert len(salts) == len(inputs)
    assert all(salt.isascii() and salt.isprintable() and " " not in salt for salt in salts)
    assert all(len(salt) <= LONGEST for salt in salts)


def test_the_key_is_the_largest_shared_part():
    large, small = Part("s", LEAST_LARGE), Part("o", LEAST_LARGE - 1)
    assert shared_prefix((large, small, Part("u", 9000))) == (large,)
    assert shared_prefix((small, large, Part("u", 9000))) == (small, large)
    assert shared_prefix((LARGE, OWN)) == (LARGE,)
    assert shared_prefix((OWN,)) == (OWN,)
    assert shared_prefix(()) == ()


def test_the_key_holds_all_parts_before_the_largest():
    parts = (SMALL, LARGE, Part("dd", 200), OWN)
    assert routing_key(parts, SALT) == "m:1|bb,aa"
    assert routing_key(parts[1:], SALT) != routing_key(parts, SALT)
    assert routing_key(parts, "m:2") != routing_key(parts, SALT)
    assert routing_key((), SALT) == ""


def test_the_own_part_does_not_move_the_key():
    assert routing_key((LARGE, Part("e1", 90_000)), SALT) == routing_key((LARGE, Part("e2", 1)), SALT)


def test_events_from_the_first_on_need_no_list():
    known = index()
    assert known.needs_list("h") and known.since("h") == 0
    known.apply_events("h", 7, 2, False, [event(1, "+", "aa", 800), event(2, "+", "bb", 400)])
    assert not known.needs_list("h") and known.since("h") == 2
    assert known.holders(SALT, "aa") == {"h": 800}
    assert known.holders("m:2", "aa") == {}


def test_a_shrunk_part_counts_for_what_is_left():
    known = index()
    known.apply_events("h", 7, 2, False, [event(1, "+", "aa", 800), event(2, "-", "aa", 512)])
    assert known.kept_prefix("h", SALT, [Part("aa", 800), Part("bb", 300)]) == 512
    known.apply_events("h", 7, 3, False, [event(3, "-", "aa", 0)])
    assert known.holders(SALT, "aa") == {} and len(known) == 0


@pytest.mark.parametrize(
    "incarnation, next_token, missing, events",
    [
        (7, 3, True, [event(3, "+", "cc", 500)]),
        (7, 4, False, [event(4, "+", "cc", 500)]),  # a number is skipped
        (7, 4, False, [event(3, "+", "cc", 500)]),  # the last has not come
        (7, 5, False, []),
        (7, 3, False, [[3, "?", SALT, "cc", 500, "m"]]),
        (7, 3, False, [[3, "+", SALT, "cc"]]),
        (7, 3, False, ["+"]),
        (8, 9, False, [event(9, "+", "cc", 500)]),  # a new incarnation, not from its first event on
    ],
)
def test_a_gap_needs_a_list(incarnation, next_token, missing, events):
    known = index()
    known.apply_events("h", 7, 2, False, [event(1, "+", "aa", 800), event(2, "+", "bb", 400)])
    known.apply_events("h", incarnation, next_token, missing, events)
    assert known.needs_list("h") and known.since("h") == next_token
    known.apply_list("h", incarnation, next_token + 1, [retained("dd", 600)])
    assert not known.needs_list("h") and known.since("h") == next_token + 1
    assert known.holders(SALT, "aa") == {} and known.holders(SALT, "dd") == {"h": 600}


def test_events_seen_before_change_nothing():
    known = index()
    first = [event(1, "+", "aa", 800), event(2, "-", "aa", 0)]
    known.apply_events("h", 7, 2, False, first)
    known.apply_events("h", 7, 2, False, first[:1])
    assert known.holders(SALT, "aa") == {} and not known.needs_list("h")


def test_a_new_incarnation_keeps_nothing():
    known = index()
    known.apply_events("h", 7, 1, False, [event(1, "+", "aa", 800)])
    known.expect("h", SALT, [Part("bb", 400)], 0)
    known.apply_events("h", 8, 1, False, [event(1, "+", "cc", 300)])
    assert known.holders(SALT, "aa") == {} and known.holders(SALT, "bb") == {}
    assert known.holders(SALT, "cc") == {"h": 300} and not known.needs_list("h")


def test_a_forgotten_host_holds_nothing():
    known = index()
    for host in ("h", "g"):
        known.apply_events(host, 7, 1, False, [event(1, "+", "aa", 800)])
    known.expect("h", SALT, [Part("bb", 400)], 0)
    known.forget_host("h")
    assert known.holders(SALT, "aa") == {"g": 800} and known.holders(SALT, "bb") == {}
    assert known.kept_prefix("h", SALT, [Part("aa", 800)]) == 0 and len(known) == 1
    known.apply_events("h", 7, 2, False, [event(2, "+", "cc", 300)])
    assert known.needs_list("h") and known.holders(SALT, "aa") == {"g": 800}


def test_the_prefix_ends_at_the_first_part_that_is_not_whole():
    known = index()
    known.apply_list("h", 7, 9, [retained("aa", 800), retained("cc", 500), retained("dd", 496)])
    assert known.kept_prefix("h", SALT, [Part("aa", 800), Part("bb", 400), Part("cc", 500)]) == 800
    assert known.kept_prefix("h", SALT, [Part("aa", 800), Part("cc", 500)]) == 1300
    assert known.kept_prefix("h", SALT, [Part("dd", 500), Part("aa", 800)]) == 1296  # lacks under a block
    assert known.kept_prefix("h", SALT, [Part("dd", 512), Part("aa", 800)]) == 496
    assert known.kept_prefix("g", SALT, [Part("aa", 800)]) == 0


def test_untracked_small_parts_count_with_a_larger_one_after_them():
    known = index()
    known.apply_list("h", 7, 9, [retained("aa", 800)])
    assert known.kept_prefix("h", SALT, [SMALL, Part("aa", 800), SMALL]) == 855
    assert known.kept_prefix("h", SALT, [SMALL]) == 0


def test_an_expectation_lapses_unless_it_is_confirmed():
    known = index()
    known.expect("h", SALT, [Part("aa", 800)], 0)
    assert known.kept_prefix("h", SALT, [Part("aa", 800)], EXPECTATION_NS - 1) == 800
    assert known.holders(SALT, "aa", EXPECTATION_NS) == {}
    known.expect("h", SALT, [Part("aa", 800)], 30 * SECOND)
    known.apply_events("h", 7, 1, False, [event(1, "+", "aa", 800)])
    assert known.holders(SALT, "aa", 90 * SECOND) == {"h": 800}


def test_an_expectation_ends_with_a_removal():
    known = index()
    known.apply_list("h", 7, 0, [])
    known.expect("h", SALT, [Part("aa", 800)], 0)
    assert known.holders(SALT, "aa") == {"h": 800} and known.needs_list("g")
    known.apply_events("h", 7, 1, False, [event(1, "-", "aa", 0)])
    assert known.holders(SALT, "aa") == {}


def test_the_least_recently_touched_go_first():
    known = index(max_entries=3)
    known.apply_list("h", 7, 0, [retained(name, 300) for name in ("aa", "bb", "cc")])
    assert known.holders(SALT, "aa")
    known.apply_events("h", 7, 1, False, [event(1, "+", "dd", 300)])
    assert {name for name in ("aa", "bb", "cc", "dd") if known.holders(SALT, name)} == {"aa", "cc", "dd"}


def test_all_tables_are_bounded():
    known = KeptIndex(40, 256, max_sources=5)
    random = Random(2)
    for now in range(3000):
        host, identifier = f"h{random.randrange(9)}", f"{random.randrange(200):x}"
        known.expect(host, SALT, [Part(identifier, 300)], now)
        known.apply_events(host, random.randrange(3), now, False, [event(now, "+", identifier, 300)])
        assert len(known) <= 40 and len(known._sources) == len(known._names) <= 5
    assert len(known._expectations.pairs) <= 10 and len(known._expectations.by_part) <= 10


def recount(known):
    return sum(len(kept) if isinstance(kept, dict) else 1 for kept in known._entries.parts.values())


def test_the_index_agrees_with_a_plain_one_over_drawn_reports():
    random, known, plain, numbers = Random(3), index(max_entries=10_000), {}, {}
    for _ in range(5000):
        host, identifier = f"h{random.randrange(4)}", f"{random.randrange(12):x}"
        step = random.random()
        if step < 0.02:
            known.forget_host(host)
            plain.pop(host, None), numbers.pop(host, None)
        elif step < 0.05:
            names = random.sample("abcdef", 3)
            numbers[host] = random.randrange(50)
            known.apply_list(host, 1, numbers[host], [retained(name, 300) for name in names])
            plain[host] = dict.fromkeys(names, 300)
        else:
            number = numbers[host] = numbers.get(host, 0) + 1
            tokens = random.choice([0, 100, 300, 800])
            news = event(number, random.choice("+-"), identifier, tokens)
            known.apply_events(host, 1, number, False, [news])
            plain.setdefault(host, {})[identifier] = tokens if tokens >= 256 else 0
        expected = {h: kept[identifier] for h, kept in plain.items() if kept.get(identifier)}
        assert known.holders(SALT, identifier) == expected
        assert len(known) == recount(known)


def test_the_changes_of_events_are_handed_back_in_order():
    known = index()
    first = known.apply_events("h", 7, 3, False, [event(1, "+", "aa", 800), "?", event(3, "-", "aa", 300)])
    assert first.changes == [KeptChange(SALT, "aa", 800, True), KeptChange(SALT, "aa", 300, False)]
    assert first.unreadable == 1
    again = [event(3, "-", "aa", 300), event(4, "-", "aa", 255), event(5, "+", "aa", 256)]
    changes, unreadable = known.apply_events("h", 7, 5, False, again)
    assert changes == [KeptChange(SALT, "aa", None, False), KeptChange(SALT, "aa", 256, True)]
    assert unreadable == 0


def test_entries_that_are_dropped_after_a_gap_leave_the_place_in_the_events():
    known = index()
    known.apply_events("h", 7, 2, False, [event(1, "+", "aa", 800), event(2, "+", "bb", 400)])
    known.apply_events("g", 7, 1, False, [event(1, "+", "aa", 800)])
    known.expect("h", SALT, [Part("cc", 400)], 0)
    known.drop_entries("h")
    known.drop_entries("unknown")
    assert known.holders(SALT, "aa") == {"g": 800} and known.holders(SALT, "bb") == {}
    assert known.holders(SALT, "cc") == {"h": 400}
    assert (known.since("h"), known.incarnation("h")) == (2, 7) and known.incarnation("unknown") is None
    known.apply_events("h", 7, 3, False, [event(3, "+", "dd", 300)])
    assert known.holders(SALT, "dd") == {"h": 300}


def test_a_source_that_is_rewound_is_read_again_from_its_first_event():
    known = index()
    known.apply_events("h", 8, 9, False, [event(9, "+", "bb", 400)])
    known.rewind("h")
    assert known.since("h") == 0 and known.holders(SALT, "bb") == {"h": 400}
    known.apply_events("h", 8, 9, False, [event(1, "+", "aa", 800), event(9, "+", "bb", 400)])
    assert known.since("h") == 9 and known.holders(SALT, "aa") == {"h": 800} and len(known) == 2


def test_an_entry_goes_when_the_last_feed_that_told_it_retracts_it():
    known = index()
    for feed, tokens in (("f", 800), ("g", 700), ("f", 900)):
        known.tell(feed, "h", SALT, "aa", tokens)
    assert known.reported_holders(SALT, "aa") == {"h": 900} and len(known) == 1
    for feed in ("f", "f", "another"):
        known.retract(feed, "h", SALT, "aa")
        assert known.reported_holders(SALT, "aa") == {"h": 900}
    known.retract("g", "h", SALT, "aa")
    assert known.reported_holders(SALT, "aa") == {} and len(known) == 0


def test_what_the_source_itself_reports_is_not_a_feeds_to_retract():
    known = index()
    known.apply_events("h", 7, 1, False, [event(1, "+", "aa", 800)])
    known.tell("f", "h", SALT, "bb", 400)
    known.retract("f", "h", SALT, "aa")
    known.forget_feed("f")
    assert known.holders(SALT, "aa") == {"h": 800} and known.holders(SALT, "bb") == {}


def test_feeds_are_bounded_and_a_place_of_one_that_is_left_is_used_again():
    known = index(max_entries=1000)
    for number in range(MOST_FEEDS):
        known.tell(f"f{number}", "h", SALT, f"{number:x}", 300)
    with pytest.raises(ValueError):
        known.tell("one-more", "h", SALT, "aa", 300)
    assert known.holders(SALT, "aa") == {} and len(known) == MOST_FEEDS
    known.forget_feed("f3")
    known.tell("one-more", "h", SALT, "aa", 300)
    assert known.holders(SALT, "3") == {} and known.holders(SALT, "aa") == {"h": 300}
    known.forget_feed("one-more")
    assert len(known) == MOST_FEEDS - 1


def test_a_part_counts_as_kept_when_it_is_told_whole_or_expected():
    known, part = index(least_tokens=1), Part("aa", 800)
    known.tell("f", "h", SALT, "aa", 799)
    assert not known.keeps("h", SALT, part, 0) and not known.keeps("unknown", SALT, part, 0)
    known.expect("h", SALT, [part, Part("bb", 1)], 0)
    known.tell("f", "h", SALT, "aa", 798)
    for name, tokens in (("aa", 800), ("bb", 1)):
        assert known.keeps("h", SALT, Part(name, tokens), EXPECTATION_NS - 1)
        assert not known.keeps("h", SALT, Part(name, tokens), EXPECTATION_NS)
        assert not known.keeps("h", "m:2", Part(name, tokens), 0)
    assert known.reported_holders(SALT, "bb") == {}
    known.tell("f", "h", SALT, "aa", 800)
    assert known.keeps("h", SALT, part, EXPECTATION_NS)


def test_the_index_agrees_with_a_plain_one_over_drawn_feeds():
    random, known, plain = Random(4), index(max_entries=10_000, least_tokens=1), {}
    for _ in range(5000):
        feed, host = f"f{random.randrange(4)}", f"h{random.randrange(4)}"
        identifier, step = f"{random.randrange(12):x}", random.random()
        told, feeds = plain.get((host, identifier), (0, frozenset()))
        if step < 0.01:
            known.forget_feed(feed)
            plain = {pair: (tokens, by - {feed}) for pair, (tokens, by) in plain.items()}
        elif step < 0.02:
            known.forget_host(host)
            plain = {pair: entry for pair, entry in plain.items() if pair[0] != host}
        elif step < 0.5:
            known.retract(feed, host, SALT, identifier)
            plain[host, identifier] = (told, feeds - {feed})
        else:
            tokens = random.randrange(1, 900)
            known.tell(feed, host, SALT, identifier, tokens)
            plain[host, identifier] = (tokens, feeds | {feed})
        plain = {pair: entry for pair, entry in plain.items() if entry[1]}
        expected = {host: entry[0] for (host, name), entry in plain.items() if name == identifier}
        assert known.reported_holders(SALT, identifier) == expected
        assert len(known) == recount(known)


def test_what_feeds_tell_is_bounded():
    known = KeptIndex(40, 1, max_sources=5)
    random = Random(5)
    for _ in range(3000):
        feed, host = f"f{random.randrange(3)}", f"h{random.randrange(9)}"
        known.tell(feed, host, SALT, f"{random.randrange(200):x}", 300)
        assert len(known) == recount(known) <= 40 and len(known._sources) == len(known._names) <= 5


def test_without_a_large_part_the_key_is_all_that_is_shared():
    shared = (Part("s", 55), Part("o", LEAST_LARGE - 1))
    assert shared_prefix((*shared, Part("u", 291))) == shared
    assert routing_key((*shared, Part("u", 1)), SALT) == routing_key((*shared, Part("v", 2)), SALT)


@pytest.mark.parametrize("beginnings", [1, 2, 8, 40])
def test_small_beginnings_that_all_prompts_share_do_not_crowd_a_few_hosts(beginnings):
    ring = HostRing()
    ring.update(f"i-{number:08x}" for number in range(8))
    homes = Counter()
    for session in range(4000):
        parts = (Part(f"s{session % beginnings}", 55), Part(f"o{session}", 37), Part("u", 291))
        homes[ring.home(routing_key(parts, SALT))] += 1
    assert len(homes) == 8 and max(homes.values()) < 1.6 * 4000 / 8
