"""docs/control-safety.md names tests and code that exist."""

import re
from functools import cache

import pytest
from paths import ROOT, TESTS

PAGE = (ROOT / "docs" / "control-safety.md").read_text()
RULES = PAGE[PAGE.index("## The rules of both pages") :]
DEFINED = r"(?:def|class) {}\b|^{} ="


@cache
def text_of(path):
    return (ROOT / path).read_text()


def path_of_test(name):
    """The path of the one test file with this name, in whichever folder of the tests it is."""
    (found,) = TESTS.rglob(name)
    return found.relative_to(ROOT)


def named_tests():
    """(file, test) as the rules' tables name them; a test without a file is in the file named before it."""
    found, file = set(), None
    for name, test in re.findall(r"`(test_\w+\.py)?(?:::(test_\w+))?`", RULES):
        file = name or file
        if test:
            found.add((file, test))
    return sorted(found)


def named_code():
    """(file, name) as the rules' tables name them: a file in backquotes, then names up to the next mark."""
    found = set()
    for row in RULES.splitlines():
        for file, names in re.findall(r"`(?!tests/)(\w+/\w+\.py)`([^;:.`(|]*(?:\.\w+[^;:.`(|]*)*)", row):
            found.add((file, ""))
            words = re.findall(r"(?:^|[ ,])((?:[A-Z]\w+\.)?(?:\w*_\w+|[A-Z]\w+))", names)
            found |= {(file, part) for word in words for part in word.split(".")}
    return sorted(found)


@pytest.mark.parametrize(("file", "test"), named_tests())
def test_a_test_that_is_named_exists(file, test):
    assert re.search(rf"def {test}\(", text_of(path_of_test(file)))


@pytest.mark.parametrize(("file", "name"), named_code())
def test_code_that_is_named_exists(file, name):
    text = text_of(f"hopsail/{file}")
    assert not name or re.search(DEFINED.format(name, name), text, re.MULTILINE)


def test_the_tables_name_enough_to_be_read_right():
    assert len(named_tests()) > 40 and len(named_code()) > 40
