"""The incarnation of a process, later than that of any earlier start: a small file where there is a disk."""

import json
import os
from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path

from .errors import IncarnationFileError
from .settings import MAX_SEEDS, Address
from .wire import MAX_NUMBER

FILE_FORMAT = 1
MAX_FILE_BYTES = 1 << 16
CHECKSUM_BYTES = 8


def _checksum(text: str) -> str:
    return blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


class IncarnationStore:
    """Keeps the incarnation, and where other members were, across restarts.

    `incarnation` is that of this start, `addresses` are those of members at the end of the last one, `error`
    says what is wrong with the file, if anything is.
    """

    def __init__(self, folder: str | None, name: str, unix_ms: int) -> None:
        """Reads and renews the file of this member; without a folder the time alone is the incarnation."""
        self.incarnation = unix_ms
        self.addresses: list[Address] = []
        self.error = ""
        self._path = Path(folder) / f"hopsail-life-{name.encode().hex()}" if folder else None
        if self._path is None:
            return
        try:
            self._read(self._path, unix_ms)
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            # A start time is later than any incarnation that began on the same clock; the file is made anew.
            self.error = f"{self._path.name} cannot be used, a new one begins: {type(error).__name__}"
        self.save(self.incarnation, self.addresses)

    def _read(self, path: Path, unix_ms: int) -> None:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text, _, checksum = data.decode().rstrip("\n").rpartition(" ")
        if len(data) > MAX_FILE_BYTES or _checksum(text) != checksum:
            raise IncarnationFileError("the checksum is wrong")
        tree = json.loads(text)
        stored = tree["life"]
        if tree["form"] != FILE_FORMAT or type(stored) is not int or not 0 <= stored < MAX_NUMBER:
            raise IncarnationFileError("the format is unknown")
        self.incarnation = max(unix_ms, stored + 1)
        self.addresses = [(str(host), int(port)) for host, port in tree["places"]][:MAX_SEEDS]

    def save(self, incarnation: int, addresses: Iterable[Address]) -> None:
        """Replaces the file as a whole: after a crash at any point a complete one is there."""
        self.incarnation = incarnation
        if self._path is None:
            return
        text = json.dumps({"form": FILE_FORMAT, "life": incarnation, "places": list(addresses)[:MAX_SEEDS]})
        new_path = self._path.with_suffix(".new")
        try:
            with new_path.open("w") as file:
                file.write(f"{text} {_checksum(text)}\n")
                file.flush()
                os.fsync(file.fileno())
            os.replace(new_path, self._path)
        except OSError as error:
            self.error = f"{self._path.name} cannot be kept: {error.strerror}"
