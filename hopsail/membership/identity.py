"""A member's identity: role, zone and node in one name that fits the wire's bound. No I/O.

The wire carries one name of at most `MAX_NAME_BYTES` bytes. It is written as `role|zone|node`, shortened as
follows: the system's own roles have codes of one letter, the zone's name inside the node's name becomes one
character, and a part that is still too long (or holds a separator) is replaced by a hash of itself. Role and
zone are decoded by every member as long as they were not hashed; a hashed zone is decoded by those who
have it among the zones that they know."""

from base64 import b32encode
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from ..swim.settings import MAX_NAME_BYTES

SEPARATOR = "|"
ZONE_MARK = "%"  # stands for the zone's name inside the node's name
HASH_MARK = "#"  # begins a part that is a hash
HASH_BYTES = 5  # 40 bits: among 4,096 members two equal ones come once in 130,000 fleets
MAX_ROLE_BYTES = 10  # bytes
MAX_ZONE_BYTES = 18  # bytes, where the name as a whole is too long
ROLE_CODES = {"dataplane": "d", "controlplane": "c"}
ROLES_BY_CODE = {code: role for role, code in ROLE_CODES.items()}


class Identity(NamedTuple):
    """Who a member is."""

    role: str
    zone: str
    node: str


def hashed(text: str) -> str:
    """A short hash of a part, marked as one."""
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return HASH_MARK + b32encode(digest).decode().lower()


def _part(text: str, longest: int) -> str:
    """The part itself, or its hash where it is too long or could be taken for something else."""
    plain = text and not (set(text) & {SEPARATOR, ZONE_MARK}) and text[0] != HASH_MARK
    return text if plain and len(text.encode()) <= longest else hashed(text)


def _node_part(node: str, zone: str, longest: int) -> str:
    if set(node) & {SEPARATOR, ZONE_MARK} or node.startswith(HASH_MARK) or not node:
        return hashed(node)
    shorter = node if zone.startswith(HASH_MARK) else node.replace(zone, ZONE_MARK)
    return shorter if len(shorter.encode()) <= longest else hashed(node)


def encode(identity: Identity) -> str:
    """The name on the wire: at most `MAX_NAME_BYTES` bytes."""
    role = ROLE_CODES.get(identity.role) or _part(identity.role, MAX_ROLE_BYTES)
    if role in ROLES_BY_CODE and identity.role not in ROLE_CODES:
        role = hashed(identity.role)
    least = len(SEPARATOR) * 2 + len(hashed(""))
    zone = _part(identity.zone, min(MAX_ZONE_BYTES, MAX_NAME_BYTES - least - len(role.encode())))
    room = MAX_NAME_BYTES - len(SEPARATOR) * 2 - len(role.encode()) - len(zone.encode())
    return SEPARATOR.join((role, zone, _node_part(identity.node, zone, room)))


def decode(name: str, zones: Iterable[str] = ()) -> Identity:
    """What a name on the wire says; parts that were hashed stay so, except zones that are among `zones`."""
    parts = name.split(SEPARATOR)
    if len(parts) != 3:
        return Identity("", "", name)
    role, zone, node = parts
    if zone.startswith(HASH_MARK):
        zone = next((known for known in zones if hashed(known) == zone), zone)
    return Identity(ROLES_BY_CODE.get(role, role), zone, node.replace(ZONE_MARK, zone))
