"""Announcements of the loads of hosts: encoding and the newer of two."""

import random

import pytest

from hopsail.weights.load import HostLoad, HostLoadError, LoadPhase, decode_load, encode_load, merge_load


def random_load(rng):
    return HostLoad(rng.choice(list(LoadPhase)), rng.randint(1, 3), rng.randint(1, 3), rng.randint(1, 3))


def test_merge_of_announcements_is_a_join():
    rng = random.Random(5)
    for _ in range(500):
        a, b, c = (random_load(rng) for _ in range(3))
        assert merge_load(a, a) == a
        assert merge_load(a, b) == merge_load(b, a)
        assert merge_load(merge_load(a, b), c) == merge_load(a, merge_load(b, c))
        joined = merge_load(a, b)
        assert (joined.fencing_token, joined.serial) == max(
            (a.fencing_token, a.serial), (b.fencing_token, b.serial)
        )
        assert decode_load(encode_load(a)) == a


@pytest.mark.parametrize(
    "data", [b"", b"{}", b"[1,2,3]", b"[9,1,1,1]", b'[1,"2",1,1]', b"[true,1,1,1]", b"7"]
)
def test_bytes_that_are_no_announcement_are_refused(data):
    with pytest.raises(HostLoadError):
        decode_load(data)
