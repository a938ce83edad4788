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
    ("zone_cut", "drop"),
    ("zone_cut", "reset"),
    ("bridge_cut", ""),
    ("one_way", ""),
    ("one_way", "all"),
    ("zone_loss", ""),
    ("cold_return", ""),
    ("cold_return", "dark"),
    ("evacuate", ""),
    ("evacuate", "warm"),
]
HUNDREDS = 300
LONG_CUT = 20  # s
MERGE_S = 3  # in which tallies of two sides become one


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


def ends(one):
    return one["at"] + one.get("for_s", 5)


def within(instant, one):
    return one["at"] <= instant < ends(one)


def day(path):
    return tomllib.loads(path.read_text())


def test_some_day_asks_for_an_evacuation_and_withdraws_it_with_a_leader_cut_off_and_answers_lost():
    def troubled(path, instant):
        cuts, lost = chosen(path, "core_cut", "leader"), chosen(path, "ack_lost")
        return all(any(within(instant, one) for one in kind) for kind in (cuts, lost))

    def both(path):
        return any(
            troubled(path, one["at"]) and troubled(path, ends(one)) for one in chosen(path, "evacuate")
        )

    assert any(map(both, FILES))


def test_some_day_loses_its_oldest_disks_while_an_evacuation_is_in_force():
    def in_force(path):
        last = [one for one in chosen(path, "evacuate") if ends(one) > day(path).get("length_s", ends(one))]
        return last and day(path)["closing"].get("how") == "oldest"

    assert any(map(in_force, FILES))


def test_some_day_loses_disks_in_a_long_cut_of_a_zone_and_changes_at_its_healing():
    def both(path):
        return any(
            cut["for_s"] >= LONG_CUT
            and any(within(one["at"], cut) for one in chosen(path, "after_ack_wipe"))
            and any(0 <= one["at"] - ends(cut) <= 1 for one in chosen(path, "config_change"))
            for cut in chosen(path, "zone_cut")
        )

    assert any(map(both, FILES))


def test_some_day_restarts_and_wipes_a_machine_in_the_cut_of_its_zone():
    def both(path):
        return any(
            all(
                any(within(one["at"], cut) and one.get("zone") == cut["zone"] for one in chosen(path, kind))
                for kind in ("node_kill", "after_ack_wipe")
            )
            for cut in chosen(path, "zone_cut")
            if "zone" in cut
        )

    assert any(map(both, FILES))


def test_some_day_heals_halves_shortly_before_disks_are_lost():
    def late(path):
        return any(
            0 < day(path).get("length_s", 0) - ends(cut) <= MERGE_S and cut["for_s"] >= LONG_CUT
            for cut in chosen(path, "core_cut", "split")
            if day(path)["closing"]["kind"] == "wipe_after_ack"
        )

    assert any(map(late, FILES))


def test_some_day_loses_a_disk_just_after_a_zone():
    def both(path):
        return any(
            0 <= wipe["at"] - ends(loss) <= 1
            for loss in chosen(path, "zone_loss")
            for wipe in chosen(path, "after_ack_wipe")
        )

    assert any(map(both, FILES))
