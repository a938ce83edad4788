"""docs/architecture.md and docs/glossary.md name modules that exist, and answer a newcomer's questions."""

import re

import pytest
from paths import ROOT

PAGES = ("architecture.md", "glossary.md")
ELSEWHERE = ("docs/", "tests/", "deploy/", "benchmarks/")
PACKAGE = re.compile(r"`hopsail\.(\w+)`")


def text_of(page):
    return (ROOT / "docs" / page).read_text()


def named_paths(page):
    """Each path in backquotes that ends in .py or .md or .toml."""
    return sorted(set(re.findall(r"`([\w/-]+\.(?:py|md|toml))`", text_of(page))))


@pytest.mark.parametrize("page", PAGES)
def test_each_path_that_a_page_names_exists(page):
    paths = [name if name.startswith(ELSEWHERE) else f"hopsail/{name}" for name in named_paths(page)]
    assert [path for path in paths if not (ROOT / path).is_file()] == []


@pytest.mark.parametrize("page", PAGES)
def test_each_package_that_a_page_names_is_one(page):
    assert [name for name in PACKAGE.findall(text_of(page)) if not (ROOT / "hopsail" / name).is_dir()] == []


def test_the_pages_name_enough_modules_to_be_read_right():
    assert len(named_paths("architecture.md")) > 40 and len(named_paths("glossary.md")) > 35


def test_each_row_of_the_glossary_has_its_four_columns_and_a_module():
    table = text_of("glossary.md").partition("## ")[0]
    rows = [line for line in table.splitlines() if line.startswith("| ")][2:]
    assert len(rows) > 40
    assert [row for row in rows if row.count(" | ") != 3 or not row.endswith("` |")] == []


def test_the_figure_of_the_packages_names_packages_that_exist():
    figure = text_of("architecture.md").split("```")[1]
    names = re.findall(r"[a-z_]+", figure.replace("event_log", ""))
    packages = {
        "dataplane",
        "controlplane",
        "process",
        "commands",
        "replication",
        "membership",
        "swim",
        "feed",
    }
    packages |= {"http", "rpc", "net", "routing", "prompts", "weights", "hosts", "configuration"}
    assert packages <= set(names)
    for name in packages:
        assert (ROOT / "hopsail" / name).is_dir() or (ROOT / "hopsail" / f"{name}.py").is_file()


@pytest.mark.parametrize(
    "question",
    [
        "Who may change a route, and where is it refused?",
        "What is lost when a control process dies between sync and answer?",
        "Which module decides that a host gets no new requests?",
        "Where is the retry budget spent?",
        "What does a data plane do while no control process answers?",
    ],
)
def test_each_question_of_a_newcomer_is_answered_with_a_module(question):
    answer = text_of("architecture.md").partition(f"**{question}**")[2].partition("- **")[0]
    assert re.search(r"`\w+/\w+\.py`", answer)
