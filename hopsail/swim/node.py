"""The fleet's view on the balancer's own loop: one UDP socket, one timer."""

import json
import socket
import time
from random import Random

from ..model import SECOND
from ..net.log import say
from ..net.loop import READ
from .protocol import Core
from .incarnation import Life
from .settings import MOST_SIZE

MOST_AT_ONCE = 64  # datagrams read in a round: clients must have their turn
KEEP_EVERY = 10 * SECOND  # writes where members are, for the next life


class Peers:
    """`dealt(part)` is called when this balancer's part of a whole has changed."""

    def __init__(self, loop, rules, balancers, seed, dealt):
        self.loop, self.rules, self.dealt, self.part = loop, rules, dealt, None
        self.life = Life(rules.folder, rules.name, time.time_ns() // 1_000_000)
        if self.life.fault:
            say("peers", self.life.fault)
        now = self.clock()
        self.core = Core(rules, Random(f"{seed}/{self.life.number}"), now, self.life.number)
        self.core.earlier = tuple(self.life.places)
        self.core.holder.balancers = max(1, balancers)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            self.sock.bind(rules.listen)
        except OSError:
            self.sock.close()
            raise
        loop.watch(self.sock, READ, self._readable)
        self.timer, self.kept, self.seen = None, now, -1
        self._turn()

    def clock(self):
        """ns that count on while the machine sleeps: a lease ends whoever sleeps."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def _readable(self, _mask):
        now = self.clock()
        for _ in range(MOST_AT_ONCE):
            try:
                data, _ = self.sock.recvfrom(MOST_SIZE + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # an earlier datagram found nobody: that is told here
            self.core.received(now, data)
        self._flush()

    def _turn(self):
        now = self.clock()
        self.timer = self.loop.at(self.loop.now() + 100_000_000, self._turn)  # first: no fault may end it
        self.core.tick(now)
        self.timer.cancel()
        self.timer = self.loop.at(self.loop.now() + max(0, self.core.due - self.clock()), self._turn)
        self._flush()
        part = self.core.holder.part(now)
        if part != self.part:
            self.part = part
            self.dealt(part)
        if self.core.life != self.life.number or now - self.kept > KEEP_EVERY:
            self.kept = now
            self.life.keep(self.core.life, self.core.places())

    def _flush(self):
        out, self.core.out = self.core.out, []
        for place, data in out:
            try:
                self.sock.sendto(data, place)
            except OSError:
                self.core.counts["unsent"] += 1  # as if lost on the way
        if self.core.changed != self.seen:
            self.seen = self.core.changed
            say("fleet", json.dumps(self.core.shown(self.clock())))

    def renewed(self, rules):
        """Keys may be changed while it runs; all else needs a new start."""
        self.core.codec.keys = rules.keys

    def shown(self):
        """One line of JSON for staff."""
        return json.dumps(self.core.shown(self.clock()))

    def order(self, name, stays):
        done = self.core.admit(name) if stays else self.core.remove(name)
        self._flush()
        return done

    def figures(self):
        """Names and numbers for the operators' door."""
        core = self.core
        counts = {key.replace(".", "_"): value for key, value in sorted(core.counts.items())}
        return {"peers_alive": core.alive, "peers_aware": core.aware} | {
            f"peers_{key}": value for key, value in counts.items()
        }

    def leave(self):
        self.core.leave(self.clock())
        self._flush()

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        self.loop.unwatch(self.sock)
        self.sock.close()
