"""Fixtures that several test files share."""

import pytest

from hopsail.load.scripted import Rig


@pytest.fixture
def rig(tmp_path):
    made = []

    def make(*args, **more):
        made.append(Rig(tmp_path / "config.json", *args, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.fixture
def opened():
    """What is to be closed after the test, in the order of its making."""
    things = []
    yield things
    for thing in things:
        thing.close()
