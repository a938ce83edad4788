"""What is packaged and declared: every package, every library that the programs import, the deploy file."""

import tomllib
from paths import ROOT


def pinned(name):
    lines = (ROOT / name).read_text().split()
    return {line for line in lines if "==" in line}


def test_every_folder_of_modules_is_a_package():
    folders = {path.parent for path in (ROOT / "hopsail").rglob("*.py")}
    assert {folder for folder in folders if not (folder / "__init__.py").exists()} == set()


def test_the_extra_and_the_requirements_of_the_system_name_the_same_versions():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    declared = set(project["dependencies"])
    for extra in ("peers", "system"):
        declared |= {one for one in project["optional-dependencies"][extra] if "==" in one}
    assert declared == pinned("requirements-system.txt") | pinned("requirements.txt")


def test_the_deploy_file_names_programs_that_exist_and_what_a_build_needs():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deploy["packages"]
    served = [kind for role in deploy["roles"].values() for kind in role["serves"]]
    assert sorted(served) == ["control", "edge"]
    for role in deploy["roles"].values():
        module = role["run"].split()[-1]
        assert (ROOT / module.replace(".", "/") / "__main__.py").exists()


def test_each_known_red_test_is_named_with_cause_and_issue():
    path = ROOT / "KNOWN-RED.txt"
    for line in path.read_text().splitlines() if path.exists() else ():
        test, cause, issue = (part.strip() for part in line.split("|"))
        file, name = test.split("::")
        assert f"def {name}(" in (ROOT / file).read_text()
        assert cause and issue.isdigit()
