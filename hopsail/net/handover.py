"""What two processes of one balancer share while the one replaces the other: a small file in $TMPDIR.

The file holds the operators' standing orders and outlives a process. It is changed under a lock, replaced as
a whole, and looked at again every 50 ms, so that a call at either process binds both. Further locks, held as
long as a process lives, tell each of the two when the other has gone, however it went.
"""

import fcntl
import mmap
import os
from pathlib import Path

from ..standing import Standing, StandingFault
from ..model import MS
from .log import say

LOOK_EVERY = 50 * MS  # at what the other process has changed
SETTLE_TIME = 120 * MS  # from a change until the other process has surely seen it
MOST_BYTES = 2 << 20  # of the file: a thousand names each way and room


class Handover:
    """`told()` is called when the standing orders, or who else serves, have changed elsewhere."""

    def __init__(self, loop, folder: str | None, name: str, told):
        self.loop, self.told, self.standing = loop, told, Standing()
        # Processes of one balancer may have the same id and the same seed, but not the same start.
        self.me, self.seen, self.locks = loop.now(), None, {}
        self.senior = True  # no older process of this balancer serves
        self.base = None
        if folder is None:
            return
        # Balancers of other names may share the folder; a name may hold what no file name does.
        self.base = Path(folder) / f"hopsail-{name.encode().hex()[:128]}"
        try:
            self.senior = self._take("alive")
            if not self.senior:
                # Before the older one hears of this one: it looks here whether this one still lives.
                fcntl.flock(self._open("next"), fcntl.LOCK_EX)
            self.change(lambda standing: standing.as_newest(self.me))
        except OSError as fault:
            say("handover", f"nothing can be kept in TMPDIR: {fault.strerror}")
            self.close()
            self.base = None
        self._look()

    @property
    def succeeded(self):
        """A newer process serves or is about to, in the place of this one."""
        return self.standing.newest not in (0, self.me)

    @property
    def alone(self):
        return self.senior and not self.succeeded

    def _open(self, word):
        if word not in self.locks:
            path = self.base.with_suffix(f".{word}")
            self.locks[word] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        return self.locks[word]

    def _take(self, word):
        """Whether the lock could be had: the system gives it back when its holder ends, however it ends."""
        try:
            fcntl.flock(self._open(word), fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def _give(self, word):
        os.close(self.locks.pop(word))

    def _look(self):
        if self.base is None:
            return
        self.loop.at(self.loop.now() + LOOK_EVERY, self._look)  # first: no fault below may end the looking
        before = self.standing, self.senior
        if not self.senior and self._take("alive"):
            self.senior = True
            self._give("next")
        elif self.succeeded and self._take("next"):
            # The newer one has ended before this one did: its start has failed and this one goes on.
            self._give("next")
            self.change(lambda standing: standing.as_newest(self.me))
        if self._stamp() != self.seen:
            self.seen, self.standing = self._stamp(), self._read()
        if before != (self.standing, self.senior):
            self.told()

    def _stamp(self):
        try:
            found = os.stat(self.base.with_suffix(".json"))
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def _read(self) -> Standing:
        try:
            with open(self.base.with_suffix(".json"), "rb") as file:
                return Standing.decode(file.read(MOST_BYTES))
        except FileNotFoundError:
            return Standing()
        except (OSError, StandingFault) as fault:
            # Half-written or another program's: what it said is lost, serving must go on.
            say("handover", f"what was kept in TMPDIR is left aside: {fault}")
            return Standing()

    def change(self, make) -> Standing:
        """Puts `make(the standing now)` in force for both processes; OSError when it cannot be kept."""
        if self.base is None:
            self.standing = make(self.standing)
            return self.standing
        with open(self.base.with_suffix(".lock"), "ab") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)  # held while a file is written, by two processes at most
            standing = make(self._read())
            fresh = self.base.with_suffix(f".{self.me}")
            fresh.write_bytes(standing.encode())
            fresh.replace(self.base.with_suffix(".json"))
            self.seen, self.standing = self._stamp(), standing
        return standing

    def table(self, size):
        """Bytes that both processes see at once; None when they can be kept nowhere."""
        if self.base is None:
            return None
        try:
            with open(self.base.with_suffix(".table"), "a+b") as file:
                file.truncate(size)
                return mmap.mmap(file.fileno(), size)
        except OSError as fault:
            say("handover", f"ids are not shared with another process: {fault.strerror}")
            return None

    def close(self):
        for word in list(self.locks):
            self._give(word)
