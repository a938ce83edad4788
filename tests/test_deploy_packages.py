"""What a clean build calls, against the system packages that deploy/system.toml lists."""

import os
import re
import subprocess
import tomllib
from importlib.metadata import distribution
from pathlib import Path

import pytest
from paths import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

# Package -> the programs, modules of `python3 -m` and shared libraries that it brings.
PROVIDED = {
    "python3": {"python3"},
    "python3-pip": {"pip"},
    "ca-certificates": {"certificates"},
    "libstdc++6": {"libstdc++.so.6"},
    "libgcc-s1": {"libgcc_s.so.1"},
    "diffutils": {"cmp", "diff"},
    "coreutils": {"cat", "cp", "mkdir", "mv", "rm", "stat", "touch"},
    "git": {"git"},
    "gcc": {"gcc", "cc"},
    "make": {"make"},
}
# Part of every shell; `sh` is there, since `build` is handed to it.
BUILT_IN = {"[", "]", ":", "{", "}", "(", ")", "!", "test", "if", "then", "else", "fi", "true", "false"}
# Shared libraries that python3 itself links against.
OF_PYTHON = {"libc.so.6", "libm.so.6", "libpthread.so.0", "libdl.so.2", "ld-linux-x86-64.so.2"}
# What the modules in the wheels of requirements-system.txt link against (their dynamic sections).
LINKED = {"libstdc++.so.6", "libgcc_s.so.1", "libm.so.6", "libpthread.so.0", "libc.so.6"}
COMPILED = ["httptools", "msgpack", "picologging", "thrift"]


def commands(line):
    """The first word of each simple command of a shell line, without what is quoted."""
    plain = re.sub(r"\"(\\.|[^\"\\])*\"|'[^']*'", "QUOTED", line)
    parts = re.split(r"&&|\|\||[;|&\n{}()]", plain)
    words = [part.split() for part in parts]
    return {each[0] for each in words if each and not each[0].startswith(">")}


def modules(line):
    """The modules that `python3 -m` runs in a shell line."""
    return set(re.findall(r"python3 (?:-\w+ )*-m (\w+)", line))


def needed(deploy):
    """All that a clean build and a start need of the machine, by the names that `PROVIDED` has."""
    roles = [role["run"] for role in deploy["roles"].values()]
    lines = [deploy["build"], *roles]
    called = set().union(*map(commands, lines)) - BUILT_IN
    run = set().union(*map(modules, lines)) - {"hopsail"}
    fetched = {"certificates"} if "pip" in run else set()
    return called | run | fetched | LINKED - OF_PYTHON


def provided(packages):
    return set().union(*(PROVIDED[package] for package in packages))


def test_each_program_and_library_that_a_clean_build_needs_comes_with_a_listed_package():
    assert needed(DEPLOY) - provided(DEPLOY["packages"]) == set()


def test_no_package_is_listed_that_nothing_needs():
    idle = [package for package in DEPLOY["packages"] if not PROVIDED[package] & needed(DEPLOY)]
    assert idle == []


@pytest.mark.parametrize("package", DEPLOY["packages"])
def test_a_package_left_out_is_noticed(package):
    rest = [each for each in DEPLOY["packages"] if each != package]
    assert needed(DEPLOY) - provided(rest)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("cmp -s a b || (rm -rf c && mkdir c)", {"cmp", "rm", "mkdir"}),
        ("[ a -nt b ] || python3 -c 'x; rm && cp'", {"[", "python3"}),
        ('{ python3 -m pip install -r "a;b" && : > c; }', {"python3", ":"}),
    ],
)
def test_the_commands_of_a_shell_line_are_found(line, expected):
    assert commands(line) == expected


def test_only_wheels_are_taken_so_that_no_compiler_is_needed():
    assert "--only-binary=:all:" in DEPLOY["build"]


@pytest.mark.parametrize("library", COMPILED)
def test_a_compiled_library_links_against_nothing_that_is_not_in_the_table(library):
    files = [file.locate() for file in distribution(library).files if ".so" in file.name]
    named = {name for file in files for name in re.findall(rb"lib[\w+]+\.so\.\d+", Path(file).read_bytes())}
    assert files
    assert {name.decode() for name in named} <= LINKED


def fake_python(folder):
    """A `python3` that writes its arguments down and makes what pip would have made."""
    folder.mkdir()
    script = folder / "python3"
    script.write_text('#!/bin/sh\necho "$*" >> calls\ncase "$*" in *pip*) mkdir -p target/deps;; esac\n')
    script.chmod(0o755)
    return folder


def build(checkout, programs):
    path = f"{programs}:/usr/bin:/bin"
    subprocess.run(["sh", "-c", DEPLOY["build"]], cwd=checkout, env={"PATH": path}, check=True)
    return (checkout / "calls").read_text().count("-m pip install")


def test_a_build_installs_once_and_again_when_a_requirement_changes(tmp_path):
    checkout = tmp_path / "checkout"
    checkout.mkdir()
    programs = fake_python(tmp_path / "programs")
    requirements = [checkout / "requirements.txt", checkout / "requirements-system.txt"]
    for path in requirements:
        path.write_text("h11==0.16.0\n")
        age(path)
    assert build(checkout, programs) == 1
    assert build(checkout, programs) == 1
    for count, path in enumerate(requirements, start=2):
        age(checkout / "target" / "ready")
        path.write_text("h11==0.16.1\n")
        assert build(checkout, programs) == count
        age(path)


def age(path):
    """Set a file's time of change back to the start of time."""
    os.utime(path, (0, 0))
