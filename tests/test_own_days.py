"""The own days under deploy/days together bring about each trouble of the control side that they are for."""

import tomllib

import pytest
from paths import ROOT

FOLDER = ROOT / "deploy" / "days"
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
    ("core_cut", "split"),
    ("core_cut", "behind"),
    ("core_cut", "relieve"),
    ("ack_lost", ""),
    ("config_race", ""),
    ("replace_core", "planned"),
    ("replace_core", "oldest"),
    ("after_ack_wipe", "oldest"),
    ("after_ack_kill", "taken"),
    ("after_ack_kill", "timed"),
    ("herd_kill", "taken all"),
    ("disk_full", ""),
    ("disk_stall", ""),
    ("node_freeze", "leader"),
    ("node_slow", ""),
    ("node_cut", "all"),
    ("seed_turnover", ""),
    ("clock_step", "ahead"),
    ("clock_step", "back"),
    ("hup", ""),
    ("bad_config", ""),
    ("revoke", ""),
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


def chosen(path, kind, words="", on=None):
    """A day's entries of a kind whose `how` holds these words; `on`: the class of machines, if it matters."""
    return [
        one
        for one in entries(path)
        if one["kind"] == kind
        and set(words.split()) <= set(one.get("how", "").split())
        and on in (None, one.get("on"))
    ]


def test_some_day_has_clocks_that_go_ahead_and_back_at_once():
    def both(path):
        ahead, back = chosen(path, "clock_step", "ahead"), chosen(path, "clock_step", "back")
        return any(overlap(one, other) for one in ahead for other in back)

    assert any(map(both, FILES))


def test_some_day_has_signals_to_both_kinds_of_machines_in_the_same_seconds():
    def all_three(path):
        return any(
            abs(front["at"] - core["at"]) <= 1 and abs(front["at"] - hup["at"]) <= 1
            for front in chosen(path, "roll_term", on="front")
            for core in chosen(path, "roll_term", on="core")
            for hup in chosen(path, "hup")
        )

    assert any(map(all_three, FILES))


def test_some_day_aims_a_loss_at_a_planned_replacement():
    def aimed(path):
        return any(
            0 <= loss["at"] - replacement["at"] <= 1
            for loss in chosen(path, "herd_kill", "taken all", on="core")
            for replacement in chosen(path, "replace_core", "planned")
        )

    assert any(map(aimed, FILES))


def test_some_day_has_a_second_full_disk_right_after_the_first_while_acknowledgements_are_lost():
    def in_turn(path):
        full, lost = chosen(path, "disk_full"), chosen(path, "ack_lost")
        return changes(path) and any(
            0 <= second["at"] - first["at"] - first["for_s"] <= 1
            for first in full
            for second in full
            if any(overlap(first, one) and overlap(second, one) for one in lost)
        )

    assert any(map(in_turn, FILES))


def test_some_day_names_other_seeds_while_the_seeds_are_cut_off():
    def turned(path):
        return any(
            cut["at"] < change["at"] < cut["at"] + cut["for_s"]
            for cut in chosen(path, "core_cut", "seeds")
            for change in chosen(path, "seed_turnover")
        )

    assert any(map(turned, FILES))
