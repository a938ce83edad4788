"""The own days under deploy/days together bring about each trouble of the control side that they are for."""

import tomllib
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent.parent / "deploy" / "days"
FILES = sorted(FOLDER.glob("*.toml"))
# A kind, and the words that one entry's `how` must hold together.
WANTED = [
    ("core_cut", "all"),
    ("core_cut", "near"),
    ("core_cut", "oldest"),
    ("core_cut", "one_way"),
    ("core_cut", "seeds"),
    ("core_cut", "both"),
    ("core_cut", "lure"),
    ("ack_lost", ""),
    ("config_race", ""),
    ("replace_core", "planned"),
    ("replace_core", "oldest"),
    ("after_ack_wipe", "oldest"),
    ("herd_kill", "taken all"),
    ("disk_full", ""),
    ("disk_stall", ""),
    ("node_freeze", "leader"),
    ("garble", "extra early unframed"),
]
HUNDREDS = 300


def entries(path):
    day = tomllib.loads(path.read_text())
    return day["plan"] + day["faults"]


@pytest.mark.parametrize(("kind", "words"), WANTED)
def test_some_day_brings_it_about(kind, words):
    found = [one for path in FILES for one in entries(path) if one["kind"] == kind]
    assert any(set(words.split()) <= set(one.get("how", "").split()) for one in found)


def changes(path):
    """The changes of the configuration that a day sends; a race has two."""
    return sum(2 * one.get("count", 1) for one in entries(path) if one["kind"] == "config_race")


def test_some_day_has_hundreds_of_changes():
    assert max(map(changes, FILES)) >= HUNDREDS


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_day_says_what_it_is_for(path):
    assert path.read_text().startswith("# ")
    assert tomllib.loads(path.read_text()).get("name", path.stem) == path.stem


def overlap(one, other):
    return one["at"] < other["at"] + other.get("for_s", 5) and other["at"] < one["at"] + one.get("for_s", 5)


def test_some_day_has_a_cut_while_changes_race_and_acknowledgements_are_lost():
    def all_three(path):
        cuts, lost = (
            [one for one in entries(path) if one["kind"] == kind] for kind in ("core_cut", "ack_lost")
        )
        return changes(path) and any(overlap(cut, one) for cut in cuts for one in lost)

    assert any(map(all_three, FILES))
