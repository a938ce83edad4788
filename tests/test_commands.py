"""The command line of both programs: faults of files, exit status, and starts with faulty settings."""

import json
import os
import re
import subprocess
import sys
import tomllib

import pytest

from hopsail import commands
from hopsail.configuration.codes import ResultCode
from hopsail.process import FAULTY_SETTINGS, SETTINGS_VARIABLE
from hopsail.standins.settings import CORE, EDGE, Machine, Surroundings, settings_text
from paths import ROOT

ENDS_WITHIN = 30  # s, on a busy machine
AROUND = Surroundings({"zone-a": "region-1"}, [("127.0.0.1", 8169)], ("127.0.0.1", 8161))
PROGRAMS = {"hopsail.dataplane": EDGE, "hopsail.controlplane": CORE}
WELL = {"Revision": 3, "Routes": [], "Services": []}


def settings(machine_class: str = EDGE, **changed: str | None) -> str:
    """A settings file without a fault but for what is changed; None leaves a line out."""
    data_path = "/data" if machine_class == CORE else None
    text = settings_text(Machine("node-1", machine_class, "127.0.0.1", "zone-a", data_path), AROUND)
    lines = dict(line.split("=", 1) for line in text.splitlines()) | changed
    return "".join(f"{key}={value}\n" for key, value in lines.items() if value is not None)


@pytest.fixture
def path(tmp_path):
    """Writes a file and gives its path."""

    def written(content: str | bytes, name: str = "file") -> str:
        file = tmp_path / name
        file.write_bytes(content.encode() if isinstance(content, str) else content)
        return str(file)

    return written


@pytest.fixture
def run(capfd):
    """Runs the command line in this process: exit status, standard output, standard error."""

    def ran(*arguments: str) -> tuple[int, str, str]:
        with pytest.raises(SystemExit) as ended:
            commands.check_settings(list(arguments))
        out, err = capfd.readouterr()
        return int(ended.value.code or 0), out, err

    return ran


def test_files_without_a_fault(run, path):
    given = ["--check", path(settings(), "s"), "--check-configuration", path(json.dumps(WELL), "c")]
    assert run(*given) == (0, "", "")


@pytest.mark.parametrize(
    "key, value, code",
    [
        ("Zone", None, ResultCode.SETTING_MISSING),
        ("Bounds.ContactMs", "soon", ResultCode.SETTING_NOT_A_NUMBER),
        ("Bounds.FenceChecked", "perhaps", ResultCode.SETTING_NOT_A_BOOLEAN),
        ("CloudApi.Address", "127.0.0.1", ResultCode.SETTING_NOT_AN_ADDRESS),
        ("PortRange", "7655,7640", ResultCode.SETTING_NOT_A_PORT_RANGE),
    ],
)
def test_a_fault_of_the_settings_is_told_with_file_code_and_key(run, path, key, value, code):
    file = path(settings(**{key: value}))
    assert run("--check", file) == (1, f"{file}: {code.value} {key}: {code.meaning}\n", "")


def test_each_fault_of_a_configuration_is_told(run, path):
    route = {
        "Name": "r-1", "Hostname": "a.example", "PathPrefix": "/a/", "RouteKind": "idempotent",
        "DeadlineMs": 0, "TargetMs": 100, "Priority": 0, "Service": "none", "MaxTries": 1,
    }  # fmt: skip
    file = path(json.dumps(WELL | {"Routes": [route]}))
    status, out, err = run("--check-configuration", file)
    assert (status, err) == (1, "")
    codes = {ResultCode.BAD_DEADLINE, ResultCode.UNKNOWN_SERVICE}
    lines = out.splitlines()
    assert {int(line.removeprefix(f"{file}: ").split()[0]) for line in lines} == codes
    assert all("Routes[r-1]" in line for line in lines)


def test_faults_of_both_files_are_told(run, path):
    named, configured = path(settings(Zone=None), "s"), path("{", "c")
    status, out, _ = run("--check", named, "--check-configuration", configured)
    assert status == 1
    assert [line.split(": ")[0] for line in out.splitlines()] == [named, configured]


@pytest.mark.parametrize(
    "package, machine_class, keys",
    [
        ("hopsail.dataplane", EDGE, ["Listen.Frontend", "Listen.Readiness"]),
        ("hopsail.controlplane", CORE, ["Listen.ControlPlane", "DataPath"]),
    ],
)
def test_each_key_that_a_program_needs_is_asked_for(run, path, monkeypatch, package, machine_class, keys):
    monkeypatch.setattr(commands, "program_package", lambda: package)
    assert run("--check", path(settings(machine_class), "well")) == (0, "", "")
    file = path(settings(machine_class, **dict.fromkeys(keys)))
    meaning = ResultCode.SETTING_MISSING.meaning
    assert run("--check", file) == (1, "".join(f"{file}: 1001 {key}: {meaning}\n" for key in keys), "")


@pytest.mark.parametrize("option", ["--check", "--check-configuration"])
def test_a_file_that_is_not_there_or_is_a_folder(run, tmp_path, option):
    for place in (tmp_path / "nowhere", tmp_path):
        status, out, _ = run(option, str(place))
        assert status == 1
        assert out.startswith(f"{place}: cannot be read: ")


def test_bytes_that_are_no_text(run, path):
    for option in ("--check", "--check-configuration"):
        file = path(b"\xff\xfe\x00")
        status, out, _ = run(option, file)
        assert status == 1
        assert out.startswith(f"{file}: ") and len(out.splitlines()) == 1


@pytest.mark.parametrize("arguments", [["--chek", "x"], ["--check"], ["file"], ["--"]])
def test_a_command_line_that_is_wrong(run, arguments):
    status, out, err = run(*arguments)
    assert (status, out) == (2, "")
    assert err


def test_help_names_all_options(run):
    status, out, _ = run("--help")
    assert status == 0
    for word in ("--check ", "--check-configuration", "--version", SETTINGS_VARIABLE):
        assert word in out


def test_the_version_is_the_projects(run):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert run("--version") == (0, project["version"] + "\n", "")


def test_the_version_without_the_project_file_is_the_distributions(monkeypatch, tmp_path):
    monkeypatch.setattr(commands, "PROJECT_FILE", tmp_path / "none")
    monkeypatch.setattr(commands.importlib.metadata, "version", lambda name: f"{name} 9")
    assert commands.version() == "hopsail 9"


def test_the_operators_page_names_every_counter():
    """Names that are made at run time are there by their first part, as in `answers.STATUS`."""
    page = (ROOT / "docs" / "operations.md").read_text()
    sources = [
        *(ROOT / "hopsail/dataplane").glob("*.py"),
        *(ROOT / "hopsail/controlplane").glob("*.py"),
    ]
    names = set()
    for source in sources:
        for call in re.findall(r"counters\.add\(([^\n]*)\)", source.read_text()):
            names |= set(re.findall(r'f?"([a-z_]+(?:\.[a-z_]+)*)', call))
    assert len(names) > 20
    assert [name for name in sorted(names) if f"`{name}" not in page] == []


def start(program: str, arguments: list[str], settings_file: str | None) -> subprocess.CompletedProcess:
    """A real process, to its end."""
    environment = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)}
    if settings_file is not None:
        environment[SETTINGS_VARIABLE] = settings_file
    return subprocess.run(
        [sys.executable, "-B", "-m", program, *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=ENDS_WITHIN,
    )


@pytest.mark.parametrize("program, machine_class", PROGRAMS.items())
def test_a_program_with_faulty_settings_ends_and_names_the_key(path, program, machine_class):
    ended = start(program, [], path(settings(machine_class, PortRange="7640")))
    assert ended.returncode == FAULTY_SETTINGS == 2
    assert f"{ResultCode.SETTING_NOT_A_PORT_RANGE.value} PortRange: " in ended.stderr
    assert "Traceback" not in ended.stderr


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_with_no_settings_ends_and_names_the_variable(program):
    ended = start(program, [], None)
    assert ended.returncode == FAULTY_SETTINGS
    assert SETTINGS_VARIABLE in ended.stderr
    assert "Traceback" not in ended.stderr


@pytest.mark.parametrize("program, machine_class", PROGRAMS.items())
def test_the_command_line_of_a_program(path, program, machine_class):
    file = path(settings(machine_class, NodeName=None))
    ended = start(program, ["--check", file], None)
    assert (ended.returncode, ended.stdout.partition(" NodeName")[0]) == (1, f"{file}: 1001")
    assert f"python -m {program}" in start(program, ["--help"], None).stdout
