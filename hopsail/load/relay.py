"""The network between balancers and hosts on loopback: a relay with shaped delay and loss.

For each pair of a balancer and a host there is a listener; what comes there goes on to the host, later
by the delay of the way, in order. TCP hides loss from those who speak it: a lost segment comes again
after a time-out, and all behind it waits (RFC 6298, section 2.4: a second at least; common systems take
200 ms). So loss is that wait. The first line to a host says which balancer speaks (PROXY protocol,
version 1). A host that is dead has no listeners: connections to it are refused, as they would be
without a relay."""

from ..net.discovery import address
from ..net.stream import Stream, dial
from .standins import Listener

AGAIN = 200_000_000  # ns until a lost segment comes again
MOST_HELD = 1 << 20  # bytes on their way in one direction of a connection; then its sender is not read
BIND_AGAIN = 50_000_000  # ns between tries for a port that is still taken
BIND_TRIES = 40


class End(Stream):
    """One side of a relayed connection; what it receives goes to `other`."""

    def __init__(self, loop, sock, way, dialing=False):
        self.way, self.other, self.held, self.last = way, None, 0, 0
        super().__init__(loop, sock, dialing)

    def received(self, data):
        way, now = self.way, self.loop.now()
        due = now + way.delay
        if way.loss and way.random.random() < way.loss:
            due += AGAIN
        if self.fresh:
            due, self.fresh = due + 2 * way.delay, False  # the handshake's own way there and back
        self._later(max(due, self.last), lambda: self._pass(data))
        self.held += len(data)
        if self.held > MOST_HELD:
            self.pause(True)

    fresh = False

    def _later(self, due, act):
        self.last = due
        self.loop.at(due, act)

    def _pass(self, data):
        self.held -= len(data)
        if self.other is None or not self.other.open:
            return
        self.other.send(data)
        if self.paused and self.held + len(self.other.unsent) <= MOST_HELD // 2:
            self.pause(False)

    def send(self, data):
        self.write(data)

    def written(self):
        if self.other is not None and self.other.paused and self.other.held <= MOST_HELD // 2:
            self.other.pause(False)

    def ended(self):
        if self.other is not None:
            self._later(max(self.last, self.loop.now() + self.way.delay), self.other.close)

    def released(self):
        self.way.ends.pop(self, None)


class Down(End):
    """A balancer's connection."""

    fresh = True

    def __init__(self, loop, sock, way):
        super().__init__(loop, sock, way)
        try:
            self.other = Up(loop, dial(way.place), way, self)
        except OSError:
            loop.soon(self.close)
            return
        way.ends[self.other] = None


class Up(End):
    """The same, on to the host. What is sent before it has come up waits."""

    def __init__(self, loop, sock, way, down):
        source, target = down.sock.getsockname(), way.place
        # The balancer's number stands where its port would: numbers from 1.
        line = f"PROXY TCP4 {source[0]} {target[0]} {way.node + 1} {target[1]}\r\n"
        self.waiting = bytearray(line.encode())
        super().__init__(loop, sock, way, dialing=True)
        self.other = down

    def connected(self):
        data, self.waiting = bytes(self.waiting), None
        self.write(data)

    def send(self, data):
        if self.waiting is not None:
            self.waiting += data
        else:
            self.write(data)


class Way(Listener):
    """From one balancer to one host."""

    def __init__(self, loop, node, delay, loss, random):
        self.node, self.delay, self.loss, self.random, self.place = node, delay, loss, random, None
        self.tries = 0
        super().__init__(loop, Down)
        self.address, self.ends = self.sock.getsockname(), self.connections

    place = None  # of the host, None while it is dead: the listener's own is `address`

    def lead(self, place, failed):
        """To the host at this place from now on, or, with None, nowhere."""
        if self.place is None and place is not None and self.sock is None:
            self._bind(failed)
        self.place = address(place) if place else None
        if place is None and self.sock is not None:
            self.loop.unwatch(self.sock)
            self.sock.close()
            self.sock = None

    def _bind(self, failed):
        """At its old address again, where something may linger for a moment, or somebody else may be."""
        try:
            self.listen(self.address)
        except OSError as fault:
            self.tries += 1
            if self.tries > BIND_TRIES:
                failed(f"{self.address[0]}:{self.address[1]} was taken by another: {fault.strerror}")
                return
            self.loop.at(self.loop.now() + BIND_AGAIN, lambda: self.place and self._bind(failed))
            return
        self.tries = 0

    def close(self):
        if self.sock is not None:
            self.loop.unwatch(self.sock)
            self.sock.close()
        for one in list(self.ends):
            one.close()
