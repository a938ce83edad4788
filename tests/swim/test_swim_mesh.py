"""The fleet's view between processes of the program, with faults put between them."""

import json
import os
import subprocess
import sys

import pytest

from hopsail.load.mesh import Mesh
from hopsail.load.scripted import SETTINGS
from hopsail.swim import faults

KINDS = (
    "kill",
    "move",
    "bounce",
    "leave",
    "again",
    "stop",
    "cut",
    "loss",
    "garble",
    "half",
    "noseed",
    "twin",
)


@pytest.fixture(scope="module")
def fleet():
    with Mesh(5, seed=3, stewards=3) as mesh:
        judge = faults.Judge(mesh)
        settled = judge.settle(mesh.names, why="the start")
        assert not mesh.failed()  # first: a process that has ended tells why
        assert settled, judge.violations
        yield mesh, judge


@pytest.mark.parametrize("kind", KINDS)
def test_after_each_fault_all_views_are_equal_and_true_within_the_bound(fleet, kind):
    mesh, judge = fleet
    (fault,) = faults.draw(7, mesh.names, 1, (kind,))
    faults.play(mesh, [fault], judge)
    assert judge.violations == [] and judge.false_gone == 0 and not mesh.failed()


def test_a_balancer_that_is_stopped_for_long_calls_nobody_dead_and_comes_back(fleet):
    mesh, judge = fleet
    faults.play(mesh, [faults.Fault("long", ("b4",), 25.0)], judge)
    assert judge.violations == [] and judge.false_gone == 0


def test_staff_remove_a_member_that_keeps_coming_back_and_let_it_in_again(fleet):
    mesh, judge = fleet
    assert mesh.ask(b"remove-peer b3", ["b0"]) == {"b0": "done"}
    assert mesh.ask(b"remove-peer nobody", ["b0"])["b0"].startswith("error")
    rest = [name for name in mesh.names if name != "b3"]
    for _ in range(2):
        mesh.kill("b3")
        judge.forget("b3")
        mesh.start("b3")
        mesh.run(1.5)
        assert all("b3" not in row["alive"] for name, row in mesh.snapshots().items() if name in rest)
    assert mesh.snapshots()["b3"]["refused_as"] == "removed"
    assert mesh.ask(b"admit-peer b3", ["b1"]) == {"b1": "done"}
    assert judge.settle(mesh.names, why="admitted"), judge.violations


def test_parts_follow_who_lives_and_never_pass_the_whole(fleet):
    mesh, judge = fleet
    mesh.run(3)
    assert all(abs(row["part"] - 0.2) < 1e-6 for row in mesh.snapshots().values())
    for name in ("b3", "b4"):
        mesh.kill(name)
    mesh.run(3.5)
    rows = mesh.snapshots()
    assert all(abs(row["part"] - (0.1 + 0.5 / 3)) < 1e-3 for row in rows.values()), rows
    for name in ("b3", "b4"):
        judge.forget(name)
        mesh.start(name)
    for _ in range(15):
        mesh.run(0.15)
        # Each was asked at another moment: what is dealt anew between two answers may show in both.
        assert sum(row["part"] for row in mesh.snapshots().values()) <= 1.2
    assert judge.settle(mesh.names)


def test_keys_are_changed_in_a_running_fleet_with_nobody_lost(fleet):
    """Danger: one that signs with a key that another does not know yet is a stranger there."""
    mesh, judge = fleet
    (old,), new = mesh.keys, "11" * 32
    for keys in ([old, new], [new, old], [new]):
        for name in mesh.names:
            mesh.rekey(name, keys)
            mesh.run(0.1)
            assert all(len(row["alive"]) == 5 for row in judge.observe().values())
        assert judge.settle(mesh.names), judge.violations
    assert all("refused_key" not in text for text in mesh.ask(b"show-stat").values())


def test_one_with_other_keys_stays_a_stranger(fleet):
    mesh, judge = fleet
    mesh.rekey("b2", ["22" * 32])
    rest = [name for name in mesh.names if name != "b2"]
    assert judge.settle(["b2"], rest, why="another key"), judge.violations
    mesh.rekey("b2", ["11" * 32])
    assert judge.settle(mesh.names, why="the key again"), judge.violations


def test_what_is_off_is_not_imported_and_says_so(tmp_path):
    # The platform lists addresses under `peers`: that turns nothing on.
    tree = {"name": "n0", "peers": ["127.0.0.1:7946"], "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "settings": SETTINGS}  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    code = ("import sys, hopsail.__main__ as m; from hopsail.net.operator import Desk, CallFault\n"
            "node = m.Node({'NODE_CONFIG': sys.argv[1]})\n"
            "assert not [n for n in sys.modules if 'hopsail.swim' in n or 'msgpack' in n]\n"
            "try: Desk(node).show_fleet()\nexcept CallFault as fault: print(fault)\n")  # fmt: skip
    done = subprocess.run([sys.executable, "-c", code, str(path)], capture_output=True, text=True, timeout=30,
                          env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)})  # fmt: skip
    assert done.stdout == "peers are off\n", done.stderr
    path.write_text(json.dumps(tree | {"view": {"fleet": "f", "listen": "127.0.0.1:1", "keys": ["00"]}}))
    done = subprocess.run([sys.executable, "-m", "hopsail", "--check"], capture_output=True, text=True,
                          timeout=30, env=os.environ | {"NODE_CONFIG": str(path)})  # fmt: skip
    assert done.returncode == 2 and "view.keys" in done.stderr
