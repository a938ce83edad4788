"""Salts under which hosts keep parts of prompts: the wall between models, weight versions and tenants.

Neither hosts nor stores check tenant or version when a part is fetched, so both are part of the salt.
"""

from hashlib import blake2b

SEPARATOR = ":"
PLAIN = frozenset("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.")
LONGEST = 64  # characters; a longer salt is replaced by its digest
DIGEST_MARK = "~"  # begins no other salt
DIGEST_BYTES = 16


def cache_salt(model: str, revision: int, tenant: str | None) -> str:
    """A short ASCII salt that differs whenever model, revision or tenant do.

    `tenant` is the name of an isolated tenant, None for requests that may share parts.
    """
    salt = _escape(model) + SEPARATOR + str(revision)
    if tenant is not None:
        salt += SEPARATOR + _escape(tenant)
    if len(salt) <= LONGEST:
        return salt
    return DIGEST_MARK + blake2b(salt.encode("ascii"), digest_size=DIGEST_BYTES).hexdigest()


def _escape(name):
    if PLAIN.issuperset(name):
        return name
    return "".join(
        chr(byte) if chr(byte) in PLAIN else f"%{byte:02x}" for byte in name.encode("utf-8", "surrogatepass")
    )
