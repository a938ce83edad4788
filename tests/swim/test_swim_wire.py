"""The size of datagrams."""

import pytest
from swim_builders import make_update

from hopsail.swim.simulation import KEY
from hopsail.swim.wire import HEADER_BYTES, Codec, PingRequest, ViewChunk, decode_address


@pytest.mark.parametrize("size", [256, 512, 1400])
def test_every_message_fits_its_size_and_a_view_goes_in_chunks(size):
    long = [
        make_update(f"{i:032}", address=("10.9.9.9", 65535), incarnation=2**62, refutations=2**40)
        for i in range(60)
    ]
    codec, cursor, seen = Codec("sim", (KEY,), size), "", []
    for _ in range(60):
        some = [one for one in long if one.name > cursor]
        data, taken = codec.encode(long[0], 2**60, ViewChunk("", some))
        assert len(data) <= size and taken
        chunk = codec.decode(data).payload
        cursor = chunk.next_cursor
        seen += chunk.members
        if not cursor:
            break
    assert seen == long
    request = PingRequest(2**60, decode_address(b"123456"))
    data = codec.encode(long[0], 2**60, request, long).data
    assert HEADER_BYTES < len(data) <= size
