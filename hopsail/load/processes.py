"""Child processes of a rig, each ended by its own id; and the descriptors that a rig needs."""

import json
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from time import monotonic, sleep

from ..net.loop import READ

ENDS_WITHIN = 5.0  # seconds after which a child that was asked to end is killed
STARTS_WITHIN = 20.0  # seconds for a child to say where it is
SPARE = 64  # descriptors beside those that are counted
ROOT = str(Path(__file__).resolve().parents[2])


class RigFault(ValueError):
    """The rig cannot be built, or a part of it has failed; the text says which."""


def descriptors(needed):
    """Makes room for so many descriptors in this process and those it starts, or says how many there are."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = needed + SPARE
    if soft != resource.RLIM_INFINITY and soft < wanted:
        if hard != resource.RLIM_INFINITY and hard < wanted:
            raise RigFault(
                f"the scenario needs {wanted} descriptors, and a process may have {hard} (ulimit -n)"
            )
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class Child:
    """A process of `load/child.py`; `heard(word, at, *values)` gets each line that it tells."""

    def __init__(self, loop, kind, settings=None, heard=None, environment=None):
        self.loop, self.heard, self.buffer, self.kind = loop, heard, b"", kind
        self.said = None  # the first thing that it tells: where it is
        path = os.pathsep.join(filter(None, [ROOT, os.environ.get("PYTHONPATH")]))
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "hopsail.load.child", kind], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE if heard else subprocess.DEVNULL,
            stderr=subprocess.PIPE, env=os.environ | {"PYTHONPATH": path} | (environment or {}),
            start_new_session=True,  # a terminal's interrupt goes to the parent, which ends its children
        )  # fmt: skip
        os.set_blocking(self.process.stdin.fileno(), False)
        self.out = bytearray()
        if heard:
            os.set_blocking(self.process.stdout.fileno(), False)
            loop.watch(self.process.stdout, READ, self._read)
        if settings is not None:
            self.order(settings)

    def order(self, tree):
        """Sends it a line; one that has ended hears nothing any more."""
        self.out += json.dumps(tree).encode() + b"\n"
        self._flush()

    def _flush(self):
        try:
            del self.out[: os.write(self.process.stdin.fileno(), self.out)]
        except BlockingIOError:
            pass
        except (BrokenPipeError, ValueError):
            self.out.clear()
        if self.out:
            self.loop.at(self.loop.now() + 1_000_000, self._flush)

    def _read(self, _mask):
        try:
            data = os.read(self.process.stdout.fileno(), 1 << 18)
        except BlockingIOError:
            return
        if not data:
            self._unwatch()
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            words = json.loads(line)
            if self.said is None:
                self.said = words
            else:
                self.heard(*words)

    def _unwatch(self):
        if self.heard is not None:
            self.loop.unwatch(self.process.stdout)
            self.heard = None

    def first(self):
        """Where it is, as soon as it has told."""
        ends = monotonic() + STARTS_WITHIN
        while self.said is None and monotonic() < ends and self.process.poll() is None:
            self.loop.round(0.01)
        if self.said is None:
            why = (
                self.process.stderr.read().decode(errors="replace").strip()
                if self.process.poll()
                else "silent"
            )
            raise RigFault(f"the {self.kind} did not start: {why[-300:]}")
        return self.said[2]

    def kill(self):
        """Ends it with no notice, and what it would still have told is lost with it."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.release()

    def release(self):
        self._unwatch()
        for pipe in (self.process.stdin, self.process.stdout, self.process.stderr):
            if pipe is not None:
                pipe.close()


def end(children):
    """Ends them all: asked first, and killed when they will not."""
    for child in children:
        if child.process.poll() is None:
            child.process.send_signal(signal.SIGTERM if child.kind == "balancer" else signal.SIGKILL)
    ends = monotonic() + ENDS_WITHIN
    for child in children:
        while child.process.poll() is None and monotonic() < ends:
            sleep(0.01)
        if child.process.poll() is None:
            child.process.kill()
        child.process.wait()
        child.release()
