"""A member's identity: role, zone and node in one name that fits the wire's bound. No I/O.

The wire carries one name of at most `MAX_NAME_BYTES` bytes. It is written as `role|zone|node`, shortened as
follows: the system's own roles have codes of one letter, the zone's name inside the node's name becomes one
character, and a field that is still too long (or holds a separator) is replaced by a hash of itself. Role and
zone are decoded by every member as long as they were not hashed; a hashed zone is decoded by those who
have it among the zones that they know.
"""

from base64 import b32encode
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from ..swim.settings import MAX_NAME_BYTES

SEPARATOR = "|"
ZONE_PLACEHOLDER = "%"  # stands for the zone's name inside the node's name
HASH_PREFIX = "#"  # begins a field that is a hash
HASH_BYTES = 5  # 40 bits: among 4,096 members two equal ones come once in 130,000 fleets
MAX_ROLE_BYTES = 10
MAX_ZONE_BYTES = 18  # where the name as a whole is too long
ROLE_CODES = {"dataplane": "d", "controlplane": "c"}
ROLES_BY_CODE = {code: role for role, code in ROLE_CODES.items()}


class Identity(NamedTuple):
    """Who a member is. Fields that were hashed on the wire begin with `HASH_PREFIX`."""

    role: str
    zone: str
    node: str


def hash_field(text: str) -> str:
    """A short hash of a field, marked as one."""
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return HASH_PREFIX + b32encode(digest).decode().lower()


def _encode_field(text: str, max_bytes: int) -> str:
    """The field itself, or its hash where it is too long or could be taken for something else."""
    plain = text and not (set(text) & {SEPARATOR, ZONE_PLACEHOLDER}) and text[0] != HASH_PREFIX
    return text if plain and len(text.encode()) <= max_bytes else hash_field(text)


def _encode_node(node: str, zone: str, max_bytes: int) -> str:
    if set(node) & {SEPARATOR, ZONE_PLACEHOLDER} or node.startswith(HASH_PREFIX) or not node:
        return hash_field(node)
    shorter = node if zone.startswith(HASH_PREFIX) else node.replace(zone, ZONE_PLACEHOLDER)
    return shorter if len(shorter.encode()) <= max_bytes else hash_field(node)


def encode(identity: Identity) -> str:
    """The name on the wire: at most `MAX_NAME_BYTES` bytes."""
    role = ROLE_CODES.get(identity.role) or _encode_field(identity.role, MAX_ROLE_BYTES)
    if role in ROLES_BY_CODE and identity.role not in ROLE_CODES:
        role = hash_field(identity.role)
    other_bytes = len(SEPARATOR) * 2 + len(hash_field(""))
    zone = _encode_field(
        identity.zone, min(MAX_ZONE_BYTES, MAX_NAME_BYTES - other_bytes - len(role.encode()))
    )
    node_bytes = MAX_NAME_BYTES - len(SEPARATOR) * 2 - len(role.encode()) - len(zone.encode())
    return SEPARATOR.join((role, zone, _encode_node(identity.node, zone, node_bytes)))


def decode(name: str, zones: Iterable[str] = ()) -> Identity:
    """What a name on the wire says; fields that were hashed stay so, except zones that are among `zones`."""
    fields = name.split(SEPARATOR)
    if len(fields) != 3:
        return Identity("", "", name)
    role, zone, node = fields
    if zone.startswith(HASH_PREFIX):
        zone = next((known for known in zones if hash_field(known) == zone), zone)
    return Identity(ROLES_BY_CODE.get(role, role), zone, node.replace(ZONE_PLACEHOLDER, zone))
