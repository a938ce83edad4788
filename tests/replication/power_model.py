"""Loss of power at every sync, rename and removal in a folder: what the disk may hold afterwards."""

import os
import stat
from collections.abc import Iterator


class PowerModel:
    """Follows a folder by the calls of `os`; each call yields the states a loss of power may leave before it.

    A file holds what was last synced, or what was written since, or a torn part of it. A name is there as of
    the last sync of the folder, or as it is now; each name by itself."""

    def __init__(self, folder, monkeypatch, lost):
        """`lost(state)` is called with a dict of names and bytes for each state that may be left."""
        self.folder, self._lost = str(folder), lost
        self._ids: dict[int, int] = {}  # inode -> a number that is not used again
        self._last_id = 0
        self._synced: dict[int, bytes] = {}
        self._written: dict[int, bytes] = {}
        self._names: dict[str, int] = {}  # as of the last sync of the folder
        self.points = self.states = 0
        self._real_fsync = os.fsync
        for name in ("fsync", "rename", "remove"):
            monkeypatch.setattr(os, name, self._watched(getattr(os, name)))

    def _watched(self, real):
        def call(*arguments):
            self._lose_power()
            result = real(*arguments)
            if real is self._real_fsync:
                self._note_sync(arguments[0])
            return result

        return call

    def _look(self) -> dict[str, int]:
        """The names there are now; notes what their files hold."""
        names, inodes = {}, {}
        for entry in os.scandir(self.folder):
            inode = entry.inode()
            if inode not in self._ids:
                self._last_id += 1
                self._ids[inode] = self._last_id
            names[entry.name] = inodes[inode] = self._ids[inode]
            with open(entry.path, "rb") as file:
                self._written[self._ids[inode]] = file.read()
        self._ids = inodes
        return names

    def _note_sync(self, descriptor: int) -> None:
        names, status = self._look(), os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            self._names = names
        else:
            one = self._ids[status.st_ino]
            self._synced[one] = self._written[one]

    def _lose_power(self) -> None:
        self.points += 1
        for names in _choices(self._names, self._look()):
            for state in self._contents(names):
                self.states += 1
                self._lost(state)

    def _contents(self, names: dict[str, int]) -> Iterator[dict[str, bytes]]:
        synced = {name: self._synced.get(one, b"") for name, one in names.items()}
        written = {name: self._written[one] for name, one in names.items()}
        torn = {name: _torn(synced[name], written[name]) for name in names}
        seen = []
        for later in (written, torn):
            for state in _choices(synced, later):
                if state not in seen:
                    seen.append(state)
                    yield state


def _torn(synced: bytes, written: bytes) -> bytes:
    """Half of what was written after the sync."""
    same = len(os.path.commonprefix([synced, written]))
    return written[: same + (len(written) - same) // 2]


def _choices(before: dict, now: dict) -> Iterator[dict]:
    """All as before, all as now, and each name by itself as now, or as before."""
    changed = [name for name in before.keys() | now.keys() if before.get(name) != now.get(name)]
    yield dict(before)
    if changed:
        yield dict(now)
    for name in changed:
        for base, other in ((before, now), (now, before)):
            state = {key: value for key, value in base.items() if key != name}
            if name in other:
                state[name] = other[name]
            yield state
