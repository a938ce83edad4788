"""Fixtures that several test files share."""

import gc

import pytest
from data_plane_by_hand import data_plane_with_stand_ins

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


@pytest.fixture
def collector_off():
    """The cyclic collector is off: what outlives its last use is kept by a reference or a cycle."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def data_plane():
    """A data plane without sockets."""
    with data_plane_with_stand_ins() as one:
        yield one


@pytest.fixture
def plane(data_plane):
    """The same; test files that tell it more have a fixture of this name."""
    return data_plane
