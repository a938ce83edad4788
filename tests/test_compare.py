"""Today's module beside an earlier revision's: from a repository of the test's own, on paired days."""

import json
import subprocess

import pytest
from click.testing import CliRunner

from hopsail import compare
from hopsail.cli import main

SCENARIO = compare.TRY.replace('lasts = "1 s"', 'lasts = "4 s"').replace('"50/s"', '"150/s"')


def git(folder, *arguments):
    subprocess.run(["git", "-C", folder, "-c", "user.name=t", "-c", "user.email=t@t", *arguments],
                   check=True, capture_output=True)  # fmt: skip


@pytest.fixture
def history(tmp_path, monkeypatch):
    """A repository with today's package, one whose module always asks the origin, and some that are none."""
    package = tmp_path / "repo" / "hopsail"
    package.mkdir(parents=True)
    for path in compare.PACKAGE.glob("*.py"):
        (package / path.name).write_text(path.read_text())
    for folder in ("emulator", "swim", "storms"):
        (package / folder).mkdir()
        for path in (compare.PACKAGE / folder).glob("*.py"):
            (package / folder / path.name).write_text(path.read_text())
    repo, module = package.parent, package / "decide.py"
    git(repo, "init", "-q", "-b", "main")
    today = module.read_text()
    steps = {
        "straight": today.replace("        spread, lead, filled = self._spread(r.key), None, None\n",
                                  "        return (yield from self._write(r))\n"),
        "broken": "class Balancer:\n    pass\n", "unreadable": "def (\n", "today": today,
    }  # fmt: skip
    assert steps["straight"] != today
    for name, text in steps.items():
        module.write_text(text)
        git(repo, "add", "-A")
        git(repo, "commit", "-q", "-m", name)
        git(repo, "tag", name)
    git(repo, "rm", "-q", "-r", "--cached", "hopsail")
    git(repo, "commit", "-q", "-m", "none")
    git(repo, "tag", "none")
    monkeypatch.setattr(compare, "PACKAGE", package)
    path = tmp_path / "day.toml"
    path.write_text(SCENARIO)
    return str(path)


def rows(*arguments):
    found = CliRunner().invoke(main, ["compare", *arguments, "--json", "--seeds", "2", "--processes", "2"])
    assert found.exit_code == 0, found.output
    lines = [json.loads(line) for line in found.stdout.splitlines()]
    return {(row["figure"], json.dumps(row["changes"])): row for row in lines}


def test_the_same_module_shows_no_difference_and_another_one_its_own(history):
    same = rows("today", history)
    assert all(row["difference"] == row["least"] == row["most"] == 0 for row in same.values())
    other = rows("straight", history, "--vary", "load.keys=20,40")
    for changes in ('{"load.keys": 20}', '{"load.keys": 40}'):
        row = other["fetches_per_s", changes]
        assert row["days"] == 2 and row["then"] > 100 > row["now"] and row["most"] < 0
        assert other["hits", changes]["then"] == 0 < other["hits", changes]["now"]


@pytest.mark.parametrize(
    "rev, word",
    [("nowhere", "no revision"), ("--all", "option"), ("none", "of this shape"), ("broken", "of this shape"),
     ("unreadable", "of this shape"), ("", "no revision")],
)  # fmt: skip
def test_a_revision_that_is_none_or_has_no_module_of_this_shape_is_named(history, rev, word):
    found = CliRunner().invoke(main, ["compare", rev, history, "--seeds", "1"])
    assert found.exit_code == 2 and word in found.output
    assert "REV" in found.output or word == "option"
    assert not list(compare.PACKAGE.parent.glob("hopsail-*"))


def test_differences_are_paired_by_day():
    def day(seed, earned, recovered):
        row = dict.fromkeys(compare.FIGURES, 1.0) | {"scenario": "s.toml", "changes": {}, "seed": seed}
        return row | {"earned": earned, "recover_s": recovered, "broken_lost": 0, "broken_twice": seed}

    pairs = [(day(1, 0.5, None), day(1, 0.6, 2.0)), (day(2, 0.9, 1.0), day(2, 0.8, 4.0))]
    found = {row["figure"]: row for row in compare.differences(pairs)}
    assert found["earned"]["difference"] == 0 and found["earned"]["least"] == pytest.approx(-0.1)
    assert found["earned"]["deviation"] == pytest.approx(0.1414, abs=1e-4)
    assert found["recover_s"]["days"] == 1 and found["recover_s"]["difference"] == 3.0
    assert found["broken"]["then"] == 1.5
