"""The soak: its plans, its checks, each with a breach that it notices, and a short one on real processes."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest
from processes_seen import running

from hopsail.load.standstills import Standstill
from hopsail.soak.checks import Bounds, check_history, check_in_force, check_recovery
from hopsail.soak.connections import PersistentKeeper
from hopsail.soak.findings import MOST_OF_A_RULE, findings
from hopsail.soak.history import History, Reading, Span
from hopsail.soak.plan import CONTROL_ACTIONS, Action, Plan, PlanError, Step, draw, parse, text_of
from hopsail.soak.tallies import check_totals
from hopsail.soak.shape import Shape, ShapeError, check_memory, memory_mb, shape_of
from hopsail.standins.records import Journal, Rule, Run, Try, Violation
from hopsail.standins.settings import BOUNDS
from paths import ROOT

MS, SECOND = 1_000_000, 1_000_000_000
SHAPE = Shape(3, 3, 3)
EDGE, HOST, AT = "127.0.0.100", "i-1", 100 * SECOND


# Plans.


def test_a_plan_follows_from_its_seed_alone():
    assert draw(5, 60, SHAPE) == draw(5, 60, SHAPE)
    assert draw(5, 60, SHAPE).steps != draw(6, 60, SHAPE).steps
    used = {step.action for seed in range(20) for step in draw(seed, 60, SHAPE).steps}
    assert used == set(Action)


def test_series_overlap_but_for_losses_of_control_planes():
    for seed in range(50):
        steps = draw(seed, 120, SHAPE).steps
        assert list(steps) == sorted(steps) and all(step.at_ms < 120_000 for step in steps)
        lost = [step for step in steps if step.action in CONTROL_ACTIONS]
        for one, following in zip(lost, lost[1:], strict=False):
            assert following.at_ms - one.at_ms >= one.lasts_ms + 8000


def test_a_plan_is_read_as_it_was_written_and_can_be_cut_down():
    plan = draw(7, 30, SHAPE)
    assert parse(text_of(plan)) == plan
    lines = [line for line in text_of(plan).splitlines() if "restart" not in line]
    cut = parse("\n".join(lines))
    assert 0 < len(cut.steps) < len(plan.steps) and set(cut.steps) < set(plan.steps)


GOOD = text_of(Plan(1, 10, SHAPE, (Step(10, Action.KILL, 2, 50),)))


@pytest.mark.parametrize(("old", "new", "told"), [
    ("seed = 1", "seed =", "not TOML"), ("seed = 1", "", "the plan: seed"),
    ("seed = 1", "seed = true", "seed"),
    ("seconds = 10", "seconds = 4", "seconds"), ("seconds = 10", "seconds = 8000", "8000"),
    ("hosts = 3", "hosts = 0", "hosts"), ("hosts = 3", "hosts = 3\nmore = 1", "unknown: more"),
    ("kill", "keel", "step 1: no action 'keel'"), ("target = 2", "target = 3", "step 1: target: there are 3"),
    ("at_ms = 10,", "at_ms = 10000,", "step 1: at_ms: 10000 is past the end"),
    ("lasts_ms = 50", "lasts_ms = -1", "lasts_ms"),
    ("at_ms = 10,", "at_ms = 10, after = 2,", "unknown: after"),
    ("steps = [", "steps = 5\nrest = [", "unknown: rest"),
])  # fmt: skip
def test_a_plan_that_cant_be_played_is_refused_with_its_fault(old, new, told):
    assert parse(GOOD).steps
    with pytest.raises(PlanError, match=told):
        parse(GOOD.replace(old, new, 1))


# Sizes.


def test_a_size_that_the_machine_does_not_bear_is_refused(tmp_path):
    assert shape_of(6) == SHAPE
    assert shape_of(257) == Shape(254, 3, 84)
    for processes in (4, 258, 301):
        with pytest.raises(ShapeError, match=f"{processes} processes"):
            shape_of(processes)
    check_memory(SHAPE, 768)
    with pytest.raises(ShapeError, match="more than half"):
        check_memory(SHAPE, 767)
    (tmp_path / "meminfo").write_text("MemTotal: 2048000 kB\nMemFree: 1 kB\n")
    assert memory_mb(tmp_path / "meminfo") == 2000


# Checks: each finds its breach, and passes over what is none.


def a_try(attempt, **more):
    given = {
        "sent_at": AT,
        "written_at": AT,
        "deadline": AT + 6 * SECOND,
        "taken_by": EDGE,
        "kept": True,
    } | more
    return Try(attempt, "POST", "/", "host", "", "tenant", True, True, **({"kept": True} | given))


def a_run(attempt, **more):
    given = {"began_at": AT + 10 * MS, "revision": 1} | more
    texts = {"identifier": f"{HOST}-1", "attempt": attempt, "instance": HOST, "service": "llm",
             "method": "POST", "target": "/", "hostname": "host", "body_digest": "", "tenant": "",
             "model": "m"}  # fmt: skip
    return Run(**texts, resumed_after=0, total=1, **given)


def found(tries=(), runs=(), history=None, orders=()):
    journal = Journal()
    journal.tries, journal.runs = list(tries), list(runs)
    return [one.rule for one in check_history(journal, history or History(), orders, Bounds(BOUNDS))]


def history_of(**more):
    history = History()
    for name, value in more.items():
        kept = getattr(history, name)
        kept.extend(value) if isinstance(kept, list) else kept.update(value)
    return history


CUT = AT + 2 * SECOND
ENDED = {"ends": {EDGE: [AT - SECOND]}}


def lost(more=None, run=None, **history):
    tried = a_try("a", **({"cut_at": CUT} | (more or {})))
    runs = [] if run is None else [a_run("a", **run)]
    return found([tried], runs, history_of(**(ENDED | history))) == [Rule.LOST]


def test_an_answer_that_is_cut_around_a_planned_end_is_lost():
    assert lost(run={})
    assert lost()  # never passed on, but read long before
    assert not lost({"cut_at": 0}, {})
    assert not lost({"cut_at": AT + 150 * MS})  # it may have crossed the close
    assert lost({"cut_at": AT + 150 * MS}, {})  # it was passed on
    assert not lost({"written_at": CUT - 150 * MS})  # its connection came up late
    assert not lost({"cut_at": CUT, "deadline": CUT}, {})  # its time was over
    assert lost({"cut_at": CUT, "deadline": CUT + 1}, {})
    assert not lost(run={"broken_off": True})
    assert not lost(run={}, troubles={EDGE: [Span(AT - 2 * SECOND, AT - SECOND)]})
    assert lost(run={}, troubles={EDGE: [Span(AT - 9 * SECOND, AT - 4 * SECOND)]})
    assert lost(run={}, troubles={"127.0.0.101": [Span(AT)]})
    slow = {"standstills": [Standstill(AT, AT + 200 * MS)]}
    assert not lost({"cut_at": AT + 350 * MS}, **slow)  # noticed late
    assert lost({"cut_at": AT + 401 * MS}, **slow)
    assert not lost(run={}, ends={})  # once, with no planned work


def test_a_host_that_works_to_the_end_of_the_grace_excuses_only_what_clients_sent_unknowing():
    end = {"ends": {EDGE: [AT - 2 * SECOND]}}
    late = {"cut_at": AT + 5 * SECOND}
    assert not lost(late, {}, **end)
    assert lost(late, {"complete": True}, **end)
    assert lost({"cut_at": AT + 4 * SECOND}, {}, **end)
    assert lost({"sent_at": AT + 1100 * MS} | late, {}, **end)


def test_an_answer_that_is_cut_by_a_reload_is_lost():
    assert lost(run={}, ends={}, reloads={EDGE: [AT - SECOND]})
    assert not lost(run={}, ends={}, reloads={EDGE: [AT - 3 * SECOND]})
    assert not lost(run={}, ends={}, reloads={EDGE: [CUT + 1]})


def test_cuts_with_no_planned_work_are_lost_when_there_are_more_than_three():
    tries = [a_try(f"{number}", cut_at=CUT) for number in range(4)]
    runs = [a_run(f"{number}") for number in range(4)]
    assert found(tries, runs) == [Rule.LOST] * 4
    assert not found(tries[:3], runs)
    assert not found(tries, runs[:3])  # one was not passed on
    assert not found([*tries[:3], a_try("3", cut_at=CUT, kept=False)], runs)


def old_version(began_at, **history):
    runs = [a_run("a", began_at=began_at)]
    return found([a_try("a")], runs, history_of(**({"versions": {2: AT}} | history))) == [Rule.VERSION]


def test_totals_that_lack_acknowledged_adds_or_have_too_many_are_found():
    one, other = ("127.0.0.1", 1), ("127.0.0.2", 1)

    def found(**totals):
        told = {one: totals.get("one"), other: totals.get("other")}
        told = {address: total for address, total in told.items() if total is not None}
        return [violation.rule for violation in check_totals((one, other), told, acknowledged=5, sent=7)]

    assert found(one=5, other=7) == []
    assert found(one=4, other=5) == [Rule.LOST]
    assert found(one=5) == [Rule.LOST]
    assert found(one=8, other=5) == [Rule.TWICE]


def test_a_run_on_superseded_weights_after_its_time_is_found():
    late = AT + 8001 * MS
    assert old_version(late)
    assert not old_version(AT + 7999 * MS)
    assert old_version(late, versions={2: AT, 3: late - MS})  # a newer one does not begin the time anew
    assert not old_version(late, versions={1: AT})
    assert not old_version(late, starts={EDGE: [late - 2 * SECOND]})
    assert old_version(late, starts={EDGE: [late - 4 * SECOND]})
    assert not old_version(late, troubles={EDGE: [Span(late - 2 * SECOND)]})
    assert not old_version(late, control_troubles=[Span(AT + SECOND, AT + 2 * SECOND)])
    assert not old_version(late, control_troubles=[Span(AT + SECOND)])
    assert not old_version(AT + 13_999 * MS, control_troubles=[Span(AT + SECOND, AT + 2 * SECOND)])
    assert old_version(late + 6 * SECOND, control_troubles=[Span(AT + SECOND, AT + 2 * SECOND)])


def test_a_read_of_what_is_older_than_acknowledged_is_found():
    def read(sent_at, revision, acknowledged):
        history = history_of(readings=[Reading(EDGE, sent_at, revision)], configurations=acknowledged)
        return found(history=history) == [Rule.CONFIG]

    assert read(AT + 2001 * MS, 4, {5: AT})
    assert not read(AT + 1999 * MS, 4, {5: AT})
    assert not read(AT + 2001 * MS, 5, {5: AT, 6: AT + SECOND})
    assert not read(AT + 2001 * MS, 6, {5: AT, 6: AT + SECOND})


def test_a_fence_of_two_owners_is_found():
    assert found(orders=[(AT, "a", 1, 202), (AT, "b", 1, 202)]) == [Rule.ONE]
    assert not found(orders=[(AT, "a", 1, 202), (AT, "a", 1, 200), (AT, "b", 2, 202)])


def test_a_service_that_has_not_recovered_is_found():
    served, failed = [a_try(f"{number}", status=200, complete=True) for number in range(9)], a_try("failed")

    def rules(*arguments):
        return [one.rule for one in check_recovery(*arguments)]

    assert not rules([*served, failed], 3, 3)
    assert rules([*served[1:], failed], 3, 3) == [Rule.RECOVERY]
    assert rules(served, 2, 3) == [Rule.RECOVERY]
    assert rules([], 3, 3) == [Rule.RECOVERY]


def test_a_configuration_that_was_not_acknowledged_is_found():
    def rules(whole, acknowledged):
        return [one.rule for one in check_in_force(whole, acknowledged)]

    first, second = {"Revision": 1}, {"Revision": 2}
    assert not rules(first, [first, second])
    assert rules(second, [first]) == [Rule.CONFIG]
    assert rules({"Revision": 1, "Routes": []}, [first]) == [Rule.CONFIG]
    assert rules(None, [first]) == [Rule.RECOVERY]


def test_findings_tell_what_is_known_of_a_request():
    journal = Journal()
    journal.tries, journal.runs = [a_try("a", cut_at=CUT), a_try("b")], [a_run("a"), a_run("b")]
    lost = [Violation(Rule.LOST, "a", "cut")] * (MOST_OF_A_RULE + 1)
    lines = list(findings(lost, journal, history_of(**ENDED, versions={2: AT}), AT))
    assert lines.count("LOST a: cut") == MOST_OF_A_RULE
    assert lines[1:4] == [
        f"  0.0 sent to {EDGE}, /, written at 0.0, kept connection: True",
        "  - ended: 0, whole: False, cut at 2000.0",
        f"  10.0 begins as {HOST}-1 on version 1: 0 of 1, complete: False, broken off: False",
    ]
    assert f"{EDGE} got SIGTERM at -1000.0" in lines and "version 2 acknowledged at 0.0" in lines


class OpenConnection:
    open, idle_until = True, 10 * SECOND

    def __init__(self, address):
        self.address = address


def test_open_connections_are_used_before_new_ones_are_made(monkeypatch):
    made = []
    monkeypatch.setattr(
        "hopsail.soak.connections.ClientConnection", lambda _loop, address: made.append(address)
    )
    keeper = PersistentKeeper(SimpleNamespace(now=lambda: 0), Random(1))
    for _ in range(100):
        if not keeper.idle:
            keeper.keep(OpenConnection((EDGE, 1)))
        keeper.take(("127.0.0.101", 1))
    assert 0 < len(made) < 30


# The command.


def soak(*arguments, **more):
    command = [sys.executable, "-B", "-m", "hopsail.soak", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=240, check=False, **more)


def test_a_plan_is_printed_and_nothing_is_played():
    done = soak("--plan", "--seed", 3, "--seconds", 20)
    assert done.returncode == 0 and parse(done.stdout) == draw(3, 20, SHAPE)


@pytest.mark.parametrize("arguments", [("--processes", 4), ("--seconds", 1), ("--steps", "/no/such/file")])
def test_what_cant_be_run_is_told(arguments):
    done = soak(*arguments)
    assert done.returncode == 2 and "can't be run" in done.stderr and not done.stdout


def test_a_short_soak_breaks_no_rule_and_leaves_nothing(tmp_path):
    done = soak("--seed", 1, "--seconds", 20, env=os.environ | {"TMPDIR": str(tmp_path)})
    report = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0, (report, done.stderr)
    assert report["broken"] == {} and report["requests"] > 500
    assert report["served"] > 0.5 * report["requests"]  # amid the faults; RECOVERY judges what comes after
    assert sum(report["faults"].values()) >= 15 and report["faults"]["restart"] >= 2
    assert not list(tmp_path.iterdir())


# Each action once, losses of control planes as far from each other as a drawn plan has them.
EACH_ONCE = (
    Step(1000, Action.WIPE_CONTROL, 0, 500), Step(1500, Action.RESTART, 0), Step(2000, Action.CHANGE),
    Step(2500, Action.RETURN_HOST, 0, 2000), Step(3000, Action.RELOAD, 1), Step(3500, Action.NAME_VERSION),
    Step(4000, Action.DRAIN_HOST, 1, 2000), Step(5000, Action.PAUSE, 1, 1000), Step(5500, Action.RACE),
    Step(7000, Action.KILL, 1, 500), Step(9000, Action.REPLACE_HOST, 2, 2000),
    Step(10_000, Action.KILL_CONTROL, 1, 500), Step(11_000, Action.RESTART_ALL, 0, 500),
    Step(19_000, Action.PAUSE_CONTROL, 2, 1000), Step(28_500, Action.RESTART_CONTROL, 0),
)  # fmt: skip


def test_each_action_is_played_and_breaks_no_rule(tmp_path):
    assert {step.action for step in EACH_ONCE} == set(Action)
    plan = tmp_path / "plan.toml"
    plan.write_text(text_of(Plan(1, 30, SHAPE, EACH_ONCE)))
    done = soak("--steps", plan, env=os.environ | {"TMPDIR": str(tmp_path)})
    report = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0, (report, done.stderr)
    assert report["faults"] == {action.value: 1 for action in Action} and not report["passed_over"]
    assert [path.name for path in tmp_path.iterdir()] == ["plan.toml"]


@pytest.mark.parametrize("how", ["interrupted", "one of its processes dies"])
def test_a_soak_that_cant_go_on_ends_all_its_processes(how, tmp_path):
    command = [sys.executable, "-B", "-m", "hopsail.soak", "--seconds", "20", "--folder", tmp_path / "kept"]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        assert "all data planes ready" in process.stdout.readline()
        started = [number for number, parent, _ in running() if parent == process.pid]
        assert len(started) == SHAPE.processes
        if how == "interrupted":
            process.send_signal(signal.SIGINT)
        else:
            os.kill(started[0], signal.SIGKILL)
        told, errors = process.communicate(timeout=60)
    finally:
        process.kill()
    assert process.returncode == 2 and "could not go on" in errors and "--steps" in errors
    assert json.loads(told.splitlines()[-1])["processes"] == SHAPE.processes
    assert not any(Path(f"/proc/{number}").exists() for number in started)
