"""Processes as the system shows them."""

from collections.abc import Iterator
from pathlib import Path


def running() -> Iterator[tuple[int, int, list[bytes]]]:
    """Id, parent and command line of each process."""
    for path in Path("/proc").glob("[0-9]*"):
        try:
            words = (path / "cmdline").read_bytes().split(b"\0")
            parent = int((path / "stat").read_text().rpartition(")")[2].split()[1])
        except (OSError, ValueError):
            continue
        yield int(path.name), parent, words
