"""Figures a second and the time to recover: by hand-made days, by emulated ones, and as files and
pictures."""

import json

import pytest
from click.testing import CliRunner

from hopsail import series
from hopsail.cli import main
from hopsail.emulator import report, scenario
from hopsail.emulator.oracle import ceiling
from hopsail.series import Row, Span, recoveries, shares


def day(*earned, requests=200):
    return [Row(i, requests, worth=requests, gained=requests * share) for i, share in enumerate(earned)]


GOOD, BAD = 0.99, 0.6


@pytest.mark.parametrize(
    "rows, spans, expected",
    [
        (day(*[GOOD] * 5, BAD, BAD, BAD, BAD, *[GOOD] * 6), [(5, 7)], [(2.0, "recovered")]),
        (day(*[GOOD] * 5, BAD, BAD, *[GOOD] * 6), [(5, 7)], [(0.0, "recovered")]),
        # Within 0.03 of before is as before.
        (day(*[GOOD] * 5, BAD, BAD, 0.97, 0.962, GOOD), [(5, 7)], [(0.0, "recovered")]),
        (day(*[GOOD] * 5, BAD, BAD, 0.97, 0.955, GOOD), [(5, 7)], [(2.0, "recovered")]),
        # A relapse counts against the trouble that it follows.
        (day(*[GOOD] * 5, BAD, GOOD, GOOD, BAD, GOOD, GOOD), [(5, 6)], [(3.0, "recovered")]),
        (day(*[GOOD] * 5, BAD, GOOD, GOOD, BAD), [(5, 6)], [(None, "not until the day's end")]),
        # It never ends, or begins before service was steady.
        (day(*[GOOD] * 5, BAD, BAD), [(5, 7)], [(None, "it never ended")]),
        (day(BAD, BAD, *[GOOD] * 5), [(1, 2)], [(None, "service was not steady before it")]),
        # Two that end at one instant have one time each, the same; so have two that begin at once.
        (day(*[GOOD] * 4, BAD, BAD, BAD, BAD, GOOD, GOOD), [(4, 7), (5, 7)], [(1.0, "recovered")] * 2),
        (day(*[GOOD] * 4, BAD, BAD, BAD, GOOD, GOOD), [(4, 5), (4, 6)],
         [(None, "another trouble outlasted it"), (1.0, "recovered")]),
        (day(*[GOOD] * 4, BAD, BAD, BAD, BAD, GOOD), [(4, 5), (7, 8)],
         [(None, "not until the next trouble"), (0.0, "recovered")]),
        (day(*[GOOD] * 4, BAD, BAD, GOOD, GOOD), [(4, 5), (5, 6)],
         [(None, "the next trouble began at once"), (0.0, "recovered")]),
        # An end within a second: that second is not yet all after it.
        (day(*[GOOD] * 5, BAD, BAD, GOOD, GOOD), [(5, 6.4)], [(0.0, "recovered")]),
    ],
)  # fmt: skip
def test_time_to_recover(rows, spans, expected):
    found = recoveries(rows, [Span(f"t{i}", *span) for i, span in enumerate(spans)])
    assert [(one.after, one.why) for one in found] == expected


def test_what_was_before_counts_from_before_all_troubles_that_overlap_and_after_the_days_beginning():
    rows = day(BAD, BAD, *[GOOD] * 4, BAD, BAD, BAD, BAD, GOOD, GOOD)
    first, second = recoveries(rows, [Span("a", 6, 8), Span("b", 7, 9)], settled=2)
    assert first.before == second.before == pytest.approx(GOOD)
    assert recoveries(rows, [Span("a", 6, 8)], settled=4)[0].before is None  # two seconds say too little


def test_seconds_with_few_requests_are_taken_with_those_before_them():
    rows = day(1.0, 0.0, 1.0, requests=40)
    assert shares(rows) == pytest.approx([1.0, 0.5, 2 / 3])
    assert shares([Row(0)]) == [None]


TREE = {
    "fleet": {"balancers": 2, "caches": 4, "zones": 2},
    "cache": {"service": "4 ms", "cores": 2, "keeps": 400},
    "origin": {"service": "20 ms", "cores": 16, "queue": 200}, "network": {"cross": "200 us"},
    "load": {"rate": "250/s", "lasts": "12 s", "settles": "3 s", "keys": 500},
    "track": [{"name": "read", "part": "90%", "promised": "150 ms"},
              {"name": "write", "part": "10%", "promised": "300 ms", "effect": "once", "write": True}],
    "trouble": [{"what": "silence", "at": "6 s", "lasts": "2 s", "part": "75%"}],
}  # fmt: skip


def test_an_emulated_day_has_its_figures_a_second_and_the_sums_of_its_summary(tmp_path):
    path = tmp_path / "rows.jsonl"
    found = report.play(scenario.read(TREE), "hash", 1, series=path, name="day")
    head, rows = series.read(path)
    assert head["scenario"] == "day" and head["troubles"] == [{"what": "silence", "begins": 6.0, "ends": 8.0}]
    assert [row["second"] for row in rows] == list(range(12))
    counted = rows[3:]
    assert sum(row["requests"] for row in counted) == found["requests"]
    assert sum(row["fetches"] for row in counted) == pytest.approx(found["fetches_per_s"] * 9, abs=30)
    worth = sum(row["worth"] for row in counted)
    earned = sum(row["worth"] * row["earned"] for row in counted) / worth
    assert earned == pytest.approx(found["earned"], abs=0.001)
    assert min(row["earned"] for row in rows[6:8]) < 0.9 < rows[4]["earned"]
    assert {"earned.read", "earned.write"} <= rows[0].keys() and rows[5]["connections"] > 0
    assert found["recovery"][0]["what"] == "silence" and found["recover_s"] is not None


def test_the_picture_has_a_file_and_a_file_that_is_none_is_refused(tmp_path):
    rows, out = tmp_path / "rows.jsonl", tmp_path / "rows.png"
    text = tmp_path / "s.toml"
    text.write_text('[fleet]\nbalancers=1\ncaches=2\n[cache]\nservice="2 ms"\n[origin]\nservice="9 ms"\n'
                    '[load]\nrate="100/s"\nlasts="3 s"\n[[track]]\nname="r"\npart="100%"\npromised="1 s"\n'
                    '[[trouble]]\nwhat="silence"\nat="1 s"\nlasts="1 s"\npart="50%"\n')  # fmt: skip
    run = CliRunner().invoke(main, ["emulate", str(text), "--series", str(rows)])
    assert run.exit_code == 0 and json.loads(run.output)["recovery"]
    assert CliRunner().invoke(main, ["plot", str(rows), "--out", str(out)]).exit_code == 0
    assert out.read_bytes().startswith(b"\x89PNG")
    bad = [([str(text), "--out", str(out)], "no series"), ([str(rows), "--y", "p50_ms", "--out", "x"], "--y")]
    for arguments, word in bad:
        run = CliRunner().invoke(main, ["plot", *arguments])
        assert run.exit_code == 2 and word in run.output
    both = CliRunner().invoke(main, ["emulate", str(text), "--policy", "hash,two", "--series", str(rows)])
    assert both.exit_code == 0
    assert {one.name for one in tmp_path.glob("rows-*")} == {"rows-hash.jsonl", "rows-two.jsonl"}
    assert not list(tmp_path.glob("*.part"))


@pytest.mark.parametrize(
    "change, low, high",
    [
        ({}, 1.0, 1.0),
        ({"load": {"rate": "8000/s"}}, 0.3, 0.75),  # 2,000 reads a second from caches, 800 from the origin
        ({"trouble": [{"what": "storm", "at": "3 s", "lasts": "9 s", "times": 32}]}, 0.3, 0.75),
        ({"trouble": [{"what": "crash", "at": "3 s", "lasts": "9 s", "part": "100%"}],
          "load": {"rate": "1600/s"}}, 0.4, 0.8),
        ({"trouble": [{"what": "brownout", "at": "3 s", "lasts": "9 s", "times": 100},
                      {"what": "crash", "at": "3 s", "lasts": "9 s", "part": "100%"}]}, 0.0, 0.1),
    ],
)  # fmt: skip
def test_the_estimate_from_capacity(change, low, high):
    tree = {name: TREE[name] | change[name] if type(TREE[name]) is dict and name in change
            else change.get(name, TREE[name]) for name in TREE}  # fmt: skip
    if "trouble" not in change:
        tree["trouble"] = []
    assert low <= ceiling(scenario.read(tree)) <= high
