"""What both programs share: settings that change with and without a signal, and a start that fails."""

import os
from io import StringIO

import pytest

from hopsail import process
from hopsail.configuration.process import parse_settings
from hopsail.configuration.required_settings import (
    CONTROL_PLANE_SETTINGS,
    DATA_PLANE_SETTINGS,
    missing_settings,
)
from hopsail.event_sink import PicologgingSink
from hopsail.net import log

TEXT = "NodeName=n\nIp=127.0.0.1\nZone=z\nPortRange=7640,7655\n"
FRONT = "Listen.Frontend=127.0.0.1:1\nListen.Readiness=127.0.0.1:2\n"


class Running(process.Program):
    """A program that notes which settings it was given."""

    needed_settings = DATA_PLANE_SETTINGS

    def __init__(self, settings):
        super().__init__(settings)
        self.taken = []

    def apply_settings(self, settings):
        self.taken.append(settings.seeds)


@pytest.fixture
def file(tmp_path, monkeypatch):
    path = tmp_path / "settings.conf"
    path.write_text(TEXT + FRONT)
    monkeypatch.setenv(process.SETTINGS_VARIABLE, str(path))
    return path


@pytest.fixture
def running(file):
    program = Running(process.read_settings())
    yield program
    program.loop.close()


def change(file, text):
    before = file.stat().st_mtime_ns
    file.write_text(text)
    os.utime(file, ns=(before + 1, before + 1))


def test_a_file_that_changes_without_a_signal_is_taken_once(file, running):
    running.watch_settings()
    assert running.taken == []
    change(file, TEXT + FRONT + "SeedNodes=127.0.0.9:8169\n")
    running.watch_settings()
    running.watch_settings()
    assert running.taken == [(("127.0.0.9", 8169),)]


@pytest.mark.parametrize("text", ["", TEXT, TEXT + FRONT.replace("Listen.Readiness", "Other")])
def test_a_file_with_a_fault_changes_nothing(file, running, text):
    before = running.settings
    change(file, text)
    running.watch_settings()
    assert running.taken == [] and running.settings is before


@pytest.mark.parametrize(
    "data",
    [
        b"",
        TEXT.encode(),
        (TEXT + FRONT).encode()[:-20],
        b"\xff\xfe\x00",
        (TEXT + FRONT).encode() + b"\x80=1\n",
    ],
    ids=["empty", "a key is missing", "cut short", "no text", "no text at the end"],
)
def test_a_signal_to_read_a_file_with_a_fault_changes_nothing(file, running, monkeypatch, data):
    stream = StringIO()
    monkeypatch.setattr(log, "_logger", PicologgingSink(stream))
    before = running.settings
    file.write_bytes(data)
    running._reload()
    assert running.taken == [] and running.settings is before
    said = stream.getvalue().splitlines()
    assert len(said) == 1 and said[0].startswith("hopsail: settings: not taken: 100")
    change(file, TEXT + FRONT + "SeedNodes=127.0.0.9:8169\n")
    running._reload()
    assert running.taken == [(("127.0.0.9", 8169),)]


def test_a_file_that_is_gone_changes_nothing(file, running):
    file.unlink()
    running.watch_settings()
    assert running.taken == []


@pytest.mark.parametrize("needed", [DATA_PLANE_SETTINGS, CONTROL_PLANE_SETTINGS])
def test_each_missing_key_is_named(needed):
    faults = missing_settings(needed, parse_settings(TEXT))
    assert [fault.key for fault in faults] == list(needed.values())


@pytest.mark.parametrize("error", [OSError("address in use"), process.StartError("disk")])
def test_a_start_that_fails_ends_with_one_line(file, monkeypatch, capsys, error):
    class Failing(Running):
        def start(self):
            raise error

    monkeypatch.setattr("hopsail.event_sink.install", lambda: None)
    monkeypatch.setattr("hopsail.early.record_signals", lambda: None)
    with pytest.raises(SystemExit) as ended:
        process.main(Failing)
    assert ended.value.code == process.FAILED_START
    assert capsys.readouterr().err == f"hopsail: cannot start: {error}\n"


def test_a_start_with_a_file_that_is_no_text_ends_with_one_line(file, monkeypatch, capsys):
    file.write_bytes(b"\xff\xfe")
    monkeypatch.setattr("hopsail.early.record_signals", lambda: None)
    with pytest.raises(SystemExit) as ended:
        process.main(Running)
    assert ended.value.code == process.FAULTY_SETTINGS
    assert "1006 byte 0" in capsys.readouterr().err


def test_a_start_without_a_needed_key_names_it(file, monkeypatch, capsys):
    change(file, TEXT)
    monkeypatch.setattr("hopsail.early.record_signals", lambda: None)
    with pytest.raises(SystemExit) as ended:
        process.main(Running)
    assert ended.value.code == process.FAULTY_SETTINGS
    assert "Listen.Frontend" in capsys.readouterr().err
