"""Support of the golden tests: a digest of plain values, and stored bytes by name."""

import json
from hashlib import sha256
from pathlib import Path

DATA = Path(__file__).parent / "data" / "golden"
SIGNIFICANT_DIGITS = 9  # of floating-point numbers: the last ones differ between mathematics libraries


class HistoryDigest:
    """SHA-256 over the plain values that a history consists of; names of types and fields are not in it."""

    def __init__(self):
        self._digest = sha256()

    def add(self, *values):
        """Takes in numbers, text, bytes, None, and lists and tuples of them."""
        self._digest.update(json.dumps([_plain(value) for value in values]).encode())

    def hexdigest(self):
        return self._digest.hexdigest()


def _plain(value):
    if value is None or isinstance(value, (bool, str)):
        return value
    if isinstance(value, int):
        return int(value)
    if isinstance(value, float):
        return f"{value:.{SIGNIFICANT_DIGITS}g}"
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, (list, tuple)):
        return [_plain(one) for one in value]
    raise TypeError(f"no plain value: {type(value).__name__}")


def position(member):
    """The place of a member in its enumeration: what stays when its name or value changes."""
    return list(type(member)).index(member)


def stored_bytes(path):
    """The bytes by name of a file under `data/golden`."""
    return {name: bytes.fromhex(text) for name, text in json.loads((DATA / path).read_text()).items()}


def stored_digest(path, name):
    """The digest of this name in a file under `data/golden`."""
    return json.loads((DATA / path).read_text())[name]
