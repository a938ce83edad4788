"""The processes of a rig: `python -m hopsail.load.child host|relay|balancer`.

Each takes its settings as the first line of its standard input, one JSON object, and orders as further
lines; it tells what it did as lines on its standard output. It ends when its input ends, and so with
the process that started it, however that one went."""

import json
import os
import shutil
import signal
import sys
from pathlib import Path
from random import Random
from time import monotonic_ns

from ..emulator.scenario import Machine
from ..net.loop import READ, Loop
from .relay import Way
from .standstills import Heartbeat
from .standins import HostStandin, Unheard

FOLDER = "hopsail-"  # how the name of a rig's folder begins
FLUSH = 5_000_000  # ns: what there is to tell goes out together
MOST_UNREAD = 64 << 20  # bytes that nobody reads: the parent is stuck, and so is the run
READS = 1 << 16


class Talk:
    """Lines from and to the process that started this one."""

    def __init__(self, loop, order):
        self.loop, self.order, self.buffer, self.out, self.due = loop, order, b"", bytearray(), False
        self.alone = False  # the process that started this one has gone
        os.set_blocking(0, False)
        os.set_blocking(1, False)
        loop.watch(0, READ, self._read)

    def _read(self, _mask):
        try:
            data = os.read(0, READS)
        except BlockingIOError:
            return
        if not data:
            self.alone = True
            self.loop.stop()
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.order(json.loads(line))

    def tell(self, *what):
        self.out += json.dumps(what).encode() + b"\n"
        if not self.due:
            self.due = True
            self.loop.at(self.loop.now() + FLUSH, self._flush)

    def standstill(self, one):
        """Tells of a span in which this process did not run."""
        self.tell("stood", one.end, one.begin)

    def _flush(self):
        self.due = False
        try:
            del self.out[: os.write(1, self.out)]
        except BlockingIOError:
            pass
        except BrokenPipeError:
            self.loop.stop()
            return
        if len(self.out) > MOST_UNREAD:
            self.loop.stop()
        elif self.out:
            self.due = True
            self.loop.at(self.loop.now() + FLUSH, self._flush)


class Told(Unheard):
    """Tells the parent what a host does; the parent knows the other hosts."""

    def __init__(self, talk):
        self.talk = talk

    def reached(self, host, connection, request):
        self.talk.tell("reached", monotonic_ns(), text(request.trace), connection.node)

    def ended(self, host, connection, request, outcome):
        self.talk.tell("ended", monotonic_ns(), text(request.trace), connection.node, outcome)

    def ran(self, host, request):
        self.talk.tell("ran", monotonic_ns(), text(request.trace))

    def fell(self, host):
        self.talk.tell("fell", monotonic_ns())

    def missed(self, trace, host):
        self.talk.tell("missed", monotonic_ns(), text(trace))

    def fetched(self, trace, key):
        self.talk.tell("fetched", monotonic_ns(), text(trace), text(key))

    def void(self, key):
        self.talk.tell("void", monotonic_ns(), text(key))


def text(data):
    return (data or b"").decode("latin-1")


def host(loop, talk, settings):
    """One cache host, or the origin."""
    warming = settings.get("warming")
    one = HostStandin(loop, settings["name"], Machine(**settings["machine"]), Told(talk), settings["origin"],
                      settings["seed"], warming and tuple(warming), proxied=True)  # fmt: skip

    def order(word, value):
        if word == "keep":
            one.memory.keep(value.encode("latin-1"))
        elif word == "void":
            one.memory.pop(value.encode("latin-1"), None)
        elif word == "manner":
            one.manner = value
        elif word == "times":
            one.times = value
        elif word == "count":
            talk.tell("counted", monotonic_ns(), len(one.connections))

    talk.tell("at", monotonic_ns(), one.place)
    return order


def relay(loop, talk, settings):
    """All ways of a fleet: `delays[node][host]` ns, `loss` of the segments."""
    random = Random(f"{settings['seed']}/relay")
    ways = [[Way(loop, node, delay, settings["loss"], random) for delay in row]
            for node, row in enumerate(settings["delays"])]  # fmt: skip

    def order(word, value):
        if word == "lead":
            number, place = value
            for row in ways:
                row[number].lead(place, lambda why: talk.tell("failed", monotonic_ns(), why))

    talk.tell("at", monotonic_ns(), [["{}:{}".format(*way.address) for way in row] for row in ways])
    return order


def balancer():
    """One balancer as `python -m hopsail` runs it, which ends with its parent."""
    from ..__main__ import Node

    node, folder = Node(os.environ), Path(os.environ["TMPDIR"])
    talk = Talk(node.loop, lambda order: None)
    talk.tell("at", monotonic_ns(), node.config.name)
    Heartbeat(node.loop, talk.standstill)
    node.run()
    if talk.alone and folder.name.startswith(FOLDER):
        shutil.rmtree(folder, ignore_errors=True)  # who would have done so was killed


def main():
    if sys.argv[1] == "balancer":
        balancer()
        return
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal's goes to the parent, which ends its children
    settings = json.loads(sys.stdin.buffer.readline())
    loop, orders = Loop(), None
    talk = Talk(loop, lambda order: orders(*order))
    Heartbeat(loop, talk.standstill)
    orders = {"host": host, "relay": relay}[sys.argv[1]](loop, talk, settings)
    loop.run()


if __name__ == "__main__":
    main()
