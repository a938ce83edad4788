"""The command line, experiments that go on, and plots."""

import json

import pytest
from click.testing import CliRunner

from hopsail import experiments
from hopsail.cli import main
from hopsail.load.scripted import SETTINGS

TEXT = """
[fleet]
balancers = 2
caches = 4
[cache]
service = "5 ms"
[origin]
service = "20 ms"
cores = 16
[load]
rate = "200/s"
lasts = "3 s"
keys = 500
[[track]]
name = "read"
part = "100%"
promised = "200 ms"
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(TEXT)
    return str(path)


def run(*args):
    return CliRunner().invoke(main, args)


@pytest.mark.parametrize(
    "args, word",
    [
        (["emulate", "nowhere.toml"], "nowhere.toml"),
        (["emulate", "PATH", "--policy", "best"], "--policy"),
        (["emulate", "PATH", "--seed", "-1"], "--seed"),
        (["emulate", "PATH", "--set", "fleet.caches"], "--set"),
        (["emulate", "PATH", "--set", "fleet.caches=none"], "fleet.caches"),
        (["emulate", "PATH", "--set", "sea.depth=3"], "sea.depth"),
        (["emulate", "PATH", "--set", "trouble.0.what=hot"], "trouble.0.what"),
        (["emulate", "PATH", "--set", "track.x.part=3%"], "track.x.part"),
        (["emulate", "PATH", "--set", "track.0.part=3%"], "100%"),
        (["emulate", "PATH", "--series", "/nowhere/rows"], "--series"),
        (["load", "PATH", "--series", "/nowhere/rows"], "--series"),
        (["compare", "HEAD"], "SCENARIOS"),
        (["compare", "HEAD", "nowhere.toml"], "nowhere.toml"),
        (["experiment", "PATH"], "--out"),
        (["experiment", "PATH", "--out", "x", "--seeds", "0"], "--seeds"),
        (["experiment", "PATH", "--out", "x", "--along", "fleet.caches=2,4"], "--along"),
        (["experiment", "PATH", "--out", "x", "--vary", "fleet.caches=2,0"], "fleet.caches"),
        (["plot", "PATH", "--x", "a", "--y", "beauty", "--out", "x.png"], "--y"),
        (["sail"], "sail"),
    ],
)
def test_bad_arguments_end_with_status_2_and_their_name(path, args, word):
    found = run(*[path if arg == "PATH" else arg for arg in args])
    assert found.exit_code == 2 and word in found.output


def test_a_scenario_is_checked_and_played(path, tmp_path):
    assert run("check", path).exit_code == 0
    trace = tmp_path / "trace"
    more = ["--policy", "hopsail,hash", "--set", "load.rate=100/s", "--trace", str(trace)]
    found = run("emulate", path, *more)
    rows = [json.loads(line) for line in found.output.splitlines()]
    assert found.exit_code == 0 and [row["policy"] for row in rows] == ["hopsail", "hash"]
    assert all(200 < row["requests"] < 400 and row["broken_lost"] == 0 for row in rows)
    assert trace.read_text().startswith("told ")
    (tmp_path / "bad.toml").write_text(TEXT.replace('"200/s"', "200"))
    found = run("check", str(tmp_path / "bad.toml"))
    assert found.exit_code == 2 and "bad.toml:11: load.rate" in found.output


def test_without_scenarios_the_balancers_configuration_is_checked(monkeypatch):
    monkeypatch.delenv("NODE_CONFIG", raising=False)
    found = run("check")
    assert found.exit_code == 2 and "NODE_CONFIG" in found.output


GRID = ["--policy", "hopsail,hash", "--seeds", "2", "--vary", "fleet.caches=2,4", "--along",
        "load.rate=100/s,200/s", "--processes", "2"]  # fmt: skip


def test_a_grid_goes_on_where_it_was_cut_off_and_is_drawn(path, tmp_path):
    out = tmp_path / "out.jsonl"
    found = run("experiment", path, "--out", str(out), *GRID)
    assert found.exit_code == 0 and "8 of 8 runs to do" in found.output
    rows = experiments.read(out)
    assert {(row["changes"]["fleet.caches"], row["changes"]["load.rate"]) for row in rows} == {
        (2, "100/s"), (4, "200/s")
    }  # fmt: skip
    assert all({"commit", "seed", "policy", "scenario", "earned"} <= row.keys() for row in rows)
    lines = out.read_bytes().splitlines(keepends=True)
    out.write_bytes(b"".join(lines[:5]) + lines[5][:40])  # killed while it wrote the sixth
    assert "3 of 8 runs to do" in run("experiment", path, "--out", str(out), *GRID).output
    again = experiments.read(out)
    name = lambda row: (row["policy"], row["seed"], row["changes"]["fleet.caches"])  # noqa: E731
    assert {name(row): row["earned"] for row in again} == {name(row): row["earned"] for row in rows}
    picture = tmp_path / "p.png"
    found = run("plot", str(out), "--x", "fleet.caches", "--y", "p99_ms", "--out", str(picture))
    assert found.exit_code == 0 and picture.read_bytes().startswith(b"\x89PNG")
    found = run("plot", str(out), "--x", "fleet.zones", "--out", str(picture))
    assert found.exit_code == 2 and "fleet.zones" in found.output


def test_series_have_the_median_and_the_ends():
    rows = [{"policy": "a", "changes": {"x": 1}, "y": value} for value in (5, 1, 9)]
    assert experiments.series(rows, "x", "y") == {"a": [(1, 5, 1, 9)]}


def test_check_prints_the_bounds_that_follow_from_the_view(tmp_path):
    tree = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "settings": SETTINGS | {"balancers": 40},
            "view": {"fleet": "f", "listen": "127.0.0.1:7946", "keys": ["00" * 32],
                     "stewards": ["n1"]}}  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    found = CliRunner().invoke(main, ["check"], env={"NODE_CONFIG": str(path)})
    assert found.exit_code == 0 and "a crash is seen within" in found.output and "dealt anew" in found.output
    path.write_text(json.dumps(tree | {"view": {"fleet": "f"}}))
    found = CliRunner().invoke(main, ["check"], env={"NODE_CONFIG": str(path)})
    assert found.exit_code == 2 and "view.keys" in found.output
