"""Names that stay as operators' pages, dashboards and deployments use them, whatever the code calls things.

The data files were written before the code's names were revised; a name that is missing here or new is a
change of what operators see.
"""

import ast
import json
import os
import re
import subprocess
import sys
import tomllib
from functools import cache

import pytest

from hopsail.configuration.codes import ResultCode
from paths import DATA, ROOT

GOLDEN = json.loads((DATA / "golden" / "public_names" / "names.json").read_text())
HELP_DEADLINE_S = 60
HEADER = re.compile(r"hopsail(-[a-z]+)+", re.IGNORECASE)
PATH = re.compile(r"/(-|v1|healthz|readyz)(/[a-zA-Z0-9_{}./-]*)?")
ENVIRONMENT_VARIABLE = re.compile(r"(HOPSAIL|NODE)_[A-Z_]+")


@cache
def string_constants() -> frozenset[str]:
    """Each string constant of the package that is not a docstring."""
    found = set()
    for path in sorted((ROOT / "hopsail").rglob("*.py")):
        tree = ast.parse(path.read_text())
        docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and id(node) not in docstrings:
                value = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
                if isinstance(value, str):
                    found.add(value)
    return frozenset(found)


def constants_like(pattern: re.Pattern[str]) -> list[str]:
    return sorted(value for value in string_constants() if pattern.fullmatch(value))


def counter_names() -> list[str]:
    """The names that are given to `add` of an object that is called counters, or to a method that counts."""
    names = set()
    for path in sorted((ROOT / "hopsail").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
                continue
            target = ast.unparse(node.func.value)
            if node.func.attr == "add" and "counters" in target:
                names |= {
                    constant.value
                    for constant in ast.walk(node.args[0])
                    if isinstance(constant, ast.Constant) and isinstance(constant.value, str)
                }
    return sorted(names)


def help_of(module: str, *arguments: str) -> str:
    environment = {**os.environ, "COLUMNS": "100", "NO_COLOR": "1", "TERM": "dumb"}
    ran = subprocess.run(
        [sys.executable, "-B", "-m", module, *arguments, "--help"],
        cwd=ROOT, env=environment, capture_output=True, text=True, timeout=HELP_DEADLINE_S,
    )  # fmt: skip
    return ran.stdout


def command_words(text: str) -> list[str]:
    """The options and the commands of a help text, in order."""
    options = re.findall(r"(?<![\w-])--?[a-z][a-z-]*", text)
    commands = re.findall(r"^  ([a-z][a-z-]+)  ", text, re.MULTILINE)
    return sorted(set(options)) + sorted(set(commands))


HELPS = {
    "dataplane": ("hopsail.dataplane",),
    "controlplane": ("hopsail.controlplane",),
    "cli": ("hopsail.cli",),
    "fleet": ("hopsail.standins.fleet",),
    "soak": ("hopsail.soak",),
}


def current_names() -> dict[str, object]:
    return {
        "result codes": [[int(code), code.status, code.meaning] for code in ResultCode],
        "headers": sorted({value.lower() for value in constants_like(HEADER)}),
        "paths": constants_like(PATH),
        "environment variables": constants_like(ENVIRONMENT_VARIABLE),
        "counters": counter_names(),
        "system.toml": tomllib.loads((ROOT / "deploy" / "system.toml").read_text()),
        "openapi paths": sorted(
            json.loads((ROOT / "hopsail/configuration/openapi.json").read_text())["paths"]
        ),
    } | {f"help of {name}": command_words(help_of(*module)) for name, module in HELPS.items()}


@pytest.fixture(scope="module")
def names() -> dict[str, object]:
    return current_names()


@pytest.mark.parametrize("kind", sorted(GOLDEN))
def test_public_names_stay(names, kind):
    assert names[kind] == GOLDEN[kind]


def test_each_kind_of_name_is_compared(names):
    assert sorted(names) == sorted(GOLDEN) and all(GOLDEN.values())
