"""Entries of the platform's list: parsing, encoding, the join of two states."""

import random
from dataclasses import replace

import pytest
from listed_hosts import ENTRY, instance

from hopsail.hosts.instance import (
    Address,
    Instance,
    InstanceError,
    ModelRevision,
    Phase,
    decode,
    encode,
    merge,
    parse_instance,
)


def test_entry_of_the_list_is_parsed():
    assert parse_instance(ENTRY) == Instance(
        identifier="i-7f3a91c2",
        service="huvo11a",
        address=Address("10.128.0.9", 8080),
        zone="hal-roskilde",
        capacity=24,
        phase=Phase.SERVING,
        warmup_left_ms=0,
        models=(ModelRevision("daka510000", 1),),
        revision="v1",
    )


def test_unknown_fields_are_ignored():
    assert parse_instance({**ENTRY, "Colour": {"x": 1}}) == parse_instance(ENTRY)


@pytest.mark.parametrize(
    "field, value",
    [
        ("InstanceId", None),
        ("InstanceId", ""),
        ("Service", 5),
        ("Address", "10.0.0.1"),
        ("Address", "10.0.0.1:0"),
        ("Address", "10.0.0.1:65536"),
        ("Address", "10.0.0.1:8x"),
        ("Address", ":80"),
        ("Zone", []),
        ("Capacity", "24"),
        ("Capacity", -1),
        ("Capacity", True),
        ("Capacity", float("nan")),
        ("WarmupLeftMs", None),
        ("Phase", "asleep"),
        ("Phase", []),
        ("Models", {}),
        ("Models", [5]),
        ("Models", [{"Name": "m"}]),
        ("Models", [{"Name": "m", "Revision": "1"}]),
    ],
)
def test_entry_of_the_wrong_shape_is_rejected(field, value):
    with pytest.raises(InstanceError):
        parse_instance({**ENTRY, field: value})


@pytest.mark.parametrize("entry", [None, [], "x", {}])
def test_other_json_than_an_entry_is_rejected(entry):
    with pytest.raises(InstanceError):
        parse_instance(entry)


@pytest.mark.parametrize("phase", list(Phase))
def test_encode_and_decode_are_inverse(phase):
    one = replace(parse_instance(ENTRY), phase=phase)
    assert decode(encode(one)) == one


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_bytes_of_no_instance_are_rejected(data):
    with pytest.raises(InstanceError):
        decode(data)


def random_state(rng):
    models = tuple(
        ModelRevision(name, rng.randint(1, 4))
        for name in sorted(rng.sample(["a", "b", "c"], rng.randint(0, 3)))
    )
    return Instance(
        "i-1",
        rng.choice(["s", "t"]),
        Address(rng.choice(["10.0.0.1", "10.0.0.2"]), rng.choice([80, 81])),
        rng.choice(["z1", "z2"]),
        rng.randint(1, 3),
        rng.choice(list(Phase)),
        rng.randint(0, 3),
        models,
        rng.choice(["v1", "v2"]),
        rng.randint(0, 2),
    )


def test_merge_is_a_join():
    rng = random.Random(7)
    for _ in range(500):
        a, b, c = (random_state(rng) for _ in range(3))
        assert merge(a, a) == a
        assert merge(a, b) == merge(b, a)
        assert merge(merge(a, b), c) == merge(a, merge(b, c))
        assert merge(merge(a, b), a) == merge(a, b)
        joined = merge(a, b)
        assert joined.phase == max(a.phase, b.phase)
        assert joined.warmup_round == max(a.warmup_round, b.warmup_round)
        last = [one.warmup_left_ms for one in (a, b) if one.warmup_round == joined.warmup_round]
        assert joined.warmup_left_ms == min(last)
        for name, revision in a.models + b.models:
            assert joined.model_revision(name) >= revision


def test_different_instances_are_not_merged():
    with pytest.raises(InstanceError):
        merge(instance("i-1"), instance("i-2"))


def test_a_round_of_warming_up_is_encoded_only_when_there_has_been_one():
    assert b"WarmupRound" not in encode(instance("i-1", warmup=500))
    again = instance("i-1", warmup=500).with_warmup(2, 3000)
    assert decode(encode(again)) == again
    with pytest.raises(InstanceError, match="WarmupRound"):
        parse_instance({**ENTRY, "WarmupRound": -1})
