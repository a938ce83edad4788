"""Versions of weights that the operator names."""

import pytest

from hopsail.weights.target import MAX_MODELS, TargetError, WeightTargets


def test_named_versions_only_rise():
    targets = WeightTargets()
    assert targets.revision("m") is None
    assert targets.name("m", 2)
    assert not targets.name("m", 2)
    assert not targets.name("m", 1)
    assert targets.revision("m") == 2
    assert targets.name("m", 5)
    assert targets.name("n", 1)
    assert targets.all() == {"m": 5, "n": 1}


def test_named_versions_are_kept():
    targets = WeightTargets()
    targets.name("n", 3)
    targets.name("m", 2)
    restored = WeightTargets.decode(targets.encode())
    assert restored.all() == targets.all()
    assert restored.encode() == targets.encode()


@pytest.mark.parametrize("model, revision", [("", 1), (5, 1), ("m", 0), ("m", -1), ("m", "2"), ("m", True)])
def test_an_improper_version_is_refused(model, revision):
    with pytest.raises(TargetError):
        WeightTargets().name(model, revision)


@pytest.mark.parametrize("data", [b"", b"[]", b'{"m":0}', b'{"m":"x"}', b"[" * 100_000])
def test_bytes_that_are_no_targets_are_refused(data):
    with pytest.raises(TargetError):
        WeightTargets.decode(data)


def test_models_are_bounded():
    targets = WeightTargets()
    for number in range(MAX_MODELS):
        targets.name(f"m-{number}", 1)
    with pytest.raises(TargetError):
        targets.name("one more", 1)
    assert targets.name("m-0", 2)
