"""Replies of a feed as they travel: packed ones are the same once unpacked, broken ones are refused."""

import pytest

from hopsail.feed.messages import ChangeStruct, PollReply
from hopsail.feed.packing import MIN_PACKED_CHANGES, PackedResponder, Packer, unpack
from hopsail.rpc.structs import FrameError, decode, encode


def reply_with(number, size=200):
    changes = [
        ChangeStruct(topic=1, key=f"route/r-{index}", value=b"x" * size if index % 3 else None)
        for index in range(number)
    ]
    return PollReply(
        node="c", incarnation=7, sequence=9, snapshot=True, changes=changes, contact_age_ms=3,
        members=["a:1"], more=True, base=4, since=2,
        members_as_of=8, others=["b:1"], parked_ms=6,
    )  # fmt: skip


def travelled(reply):
    return unpack(decode(PollReply, encode(Packer().pack(reply))))


@pytest.mark.parametrize("number", [0, 1, MIN_PACKED_CHANGES - 1, MIN_PACKED_CHANGES, 500])
def test_a_reply_arrives_as_it_was(number):
    assert travelled(reply_with(number)) == reply_with(number)


def test_alike_items_shrink_to_a_tenth():
    reply = reply_with(1000)
    assert len(encode(Packer().pack(reply))) < len(encode(reply)) / 10


def test_a_reply_for_several_followers_is_packed_once():
    packer, reply = Packer(), reply_with(50)
    assert packer.pack(reply) is packer.pack(reply)
    assert packer.pack(reply_with(50)) is not packer.pack(reply)


def test_the_packers_memory_is_bounded():
    packer = Packer()
    for _ in range(100):
        packer.pack(reply_with(20))
    assert len(packer._recent) < 10


@pytest.mark.parametrize("change", [lambda d: d[:-3], lambda d: b"no" + d, lambda d: d[:10] + b"!" + d[11:]])
def test_what_was_packed_and_can_not_be_read_is_refused(change):
    packed = Packer().pack(reply_with(50))
    packed.packed = change(packed.packed)
    with pytest.raises(FrameError):
        unpack(packed)


def test_a_responder_packs_and_passes_on_who_has_gone():
    sent, closed = [], []

    class Respond:
        def __call__(self, reply):
            sent.append(reply)

        def on_closed(self, callback):
            closed.append(callback)

    respond = PackedResponder(Packer(), Respond())
    respond.on_closed(len)
    respond(reply_with(50))
    assert closed == [len] and sent[0].changes == [] and unpack(sent[0]) == reply_with(50)
