"""Settings, updates and datagrams for tests of the package swim."""

import msgpack

from hopsail.swim.settings import SwimSettings
from hopsail.swim.simulation import KEY
from hopsail.swim.wire import Codec, MemberStatus, MemberUpdate, Ping

ADDRESS, OTHER_ADDRESS = ("10.0.0.1", 7000), ("10.0.0.1", 7001)
MAX_BYTES = 512


def make_settings(name="b0", address=ADDRESS, fleet="sim", **more):
    return SwimSettings(
        name=name, fleet=fleet, listen_address=address, advertised_address=address, keys=(KEY,), **more
    )


def make_update(
    name="b1",
    address=("10.0.0.2", 7000),
    incarnation=5,
    refutations=0,
    status=MemberStatus.ALIVE,
    removal_version=0,
    suspected_by=0,
):
    return MemberUpdate(name, address, incarnation, refutations, status, removal_version, suspected_by)


def make_datagram(sender=None, sequence=1, payload=None, updates=(), key=KEY, fleet="sim"):
    codec = Codec(fleet, (key,), MAX_BYTES)
    return codec.encode(sender or make_update(), sequence, payload or Ping(1, 0), list(updates)).data


def signed_datagram(tree):
    """A datagram signed by the right key, with this body."""
    codec = Codec("sim", (KEY,), MAX_BYTES)
    body = msgpack.packb(tree)
    return make_datagram()[:5] + codec.sign(KEY, body) + body


BODY = ["b1", bytes(4) + b"\x1b\x58", 5, 0, 0, 1, 0, [1, 0, b""], []]


def datagram_with(position, value):
    """A datagram whose body has this value at one position."""
    return signed_datagram([*BODY[:position], value, *BODY[position + 1 :]])
