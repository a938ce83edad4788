"""The number of a process's life, later than that of any life before: a small file where there is a disk."""

import json
import os
from hashlib import blake2b
from pathlib import Path

from .settings import MOST_SEEDS
from .wire import MOST

FORM = 1
MOST_BYTES = 1 << 16


def _sum(text):
    return blake2b(text.encode(), digest_size=8).hexdigest()


class Life:
    """`number` is this life's; `places`: where members were in the last one; `fault`: what is wrong."""

    def __init__(self, folder: str | None, name: str, unix_ms: int):
        self.path = Path(folder) / f"hopsail-life-{name.encode().hex()}" if folder else None
        self.number, self.places, self.fault = unix_ms, [], ""
        if self.path is None:
            return
        try:
            self._read(unix_ms)
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as fault:
            # A start time is later than any life that began on the same clock; the file is made anew.
            self.fault = f"{self.path.name} cannot be used, a new one begins: {type(fault).__name__}"
        self.keep(self.number, self.places)

    def _read(self, unix_ms):
        with self.path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
        text, _, check = data.decode().rstrip("\n").rpartition(" ")
        if len(data) > MOST_BYTES or _sum(text) != check:
            raise ValueError("the sum is wrong")
        tree = json.loads(text)
        if tree["form"] != FORM or type(tree["life"]) is not int or not 0 <= tree["life"] < MOST:
            raise ValueError("not of this form")
        self.number = max(unix_ms, tree["life"] + 1)
        self.places = [(str(host), int(port)) for host, port in tree["places"]][:MOST_SEEDS]

    def keep(self, number, places):
        """Written whole or not at all: killed at any point, the last file that was whole is there."""
        self.number = number
        if self.path is None:
            return
        text = json.dumps({"form": FORM, "life": number, "places": list(places)[:MOST_SEEDS]})
        new = self.path.with_suffix(".new")
        try:
            with new.open("w") as file:
                file.write(f"{text} {_sum(text)}\n")
                file.flush()
                os.fsync(file.fileno())
            os.replace(new, self.path)
        except OSError as fault:
            self.fault = f"{self.path.name} cannot be kept: {fault.strerror}"
