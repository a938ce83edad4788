"""Log lines: bounded for each topic, as text or JSON, and never the end of the balancer."""

import json
import sys

import pytest

from hopsail import config
from hopsail.config import ConfigFault
from hopsail.net import log, topic_limiter
from hopsail.net.topic_limiter import MAX_LINES_PER_SECOND


@pytest.fixture(autouse=True)
def plain():
    yield
    log.form(False, "")


def clock(monkeypatch):
    at = [1000.0]
    monkeypatch.setattr(topic_limiter, "monotonic", lambda: at[0])
    return at


def test_a_topic_has_so_many_lines_a_second_and_tells_what_was_left_out(monkeypatch, capsys):
    at = clock(monkeypatch)
    for _ in range(MAX_LINES_PER_SECOND + 7):
        log.say("noise", "again")
    log.say("other", "heard")
    for _ in range(3):
        log.line("noise", "must be said")
    at[0] += 1
    log.say("noise", "again")
    lines = capsys.readouterr().err.splitlines()
    assert lines == [
        *["hopsail: noise: again"] * MAX_LINES_PER_SECOND, "hopsail: other: heard",
        *["hopsail: noise: must be said"] * 3, "hopsail: noise: again (7 more left out)",
    ]  # fmt: skip


def test_as_json_every_line_is_an_object_also_that_of_a_fault(monkeypatch, capsys):
    at = clock(monkeypatch)
    at[0] += 10
    log.form(True, "n7")
    for i in range(MAX_LINES_PER_SECOND + 2):
        log.say("start", f'line {i} "quoted"\nand broken %s')
    try:
        raise KeyError("gone")
    except KeyError:
        log.fault()
    at[0] += 1
    log.say("start", "later")
    rows = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert len(rows) == MAX_LINES_PER_SECOND + 2 and {row["name"] for row in rows} == {"n7"}
    assert rows[0]["text"] == 'line 0 "quoted"\nand broken %s' and rows[0]["level"] == "info"
    assert rows[-2]["topic"] == "fault" and rows[-2]["level"] == "error" and "KeyError" in rows[-2]["text"]
    assert rows[-1]["left_out"] == 2 and rows[-1]["at"] > 1.7e9


def test_a_log_that_cannot_be_written_ends_nothing(monkeypatch):
    class Full:
        def write(self, _):
            raise OSError(28, "No space left on device")

        def flush(self):
            raise OSError(28, "No space left on device")

    monkeypatch.setattr(sys, "stderr", Full())
    log.line("start", "unheard")
    monkeypatch.setattr(sys, "stderr", None)
    log.line("start", "unheard")


@pytest.mark.parametrize("value", ["xml", 1, None, ["json"], True])
def test_a_form_that_there_is_not_is_refused_by_check_and_left_off_in_run(rig, value, capsys):
    made = rig(log=value)
    assert "left off: log " in capsys.readouterr().err and not made.node.config.log_json
    with pytest.raises(ConfigFault, match="^log holds"):
        config.read(made.environment)


def test_the_form_follows_the_configuration(rig, capsys):
    made = rig(log="json")
    made.node.print("asked")
    assert json.loads(capsys.readouterr().err)["topic"] == "counters"
    made.path.write_text(json.dumps(made.tree | {"log": "plain"}))
    made.node.reload()
    assert capsys.readouterr().err.startswith("hopsail: reload: ")
