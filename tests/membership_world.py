"""A simulated loop, clock and UDP network for the nodes of `hopsail/membership`."""

from heapq import heappop, heappush
from itertools import count

from hopsail.swim.settings import MS, SECOND

START = 1_700_000_000 * SECOND


class FakeTimer:
    def __init__(self, act):
        self.act = act

    def cancel(self):
        self.act = None


class World:
    """A steady clock, timers, UDP sockets and a time of day that can be stepped; every delay is 1 ms."""

    def __init__(self):
        self.clock, self.time_of_day, self.events, self.serial = START, START, [], count()
        self.sockets, self.cut, self.bytes = {}, set(), 0

    # What a member sees of the loop.

    def now(self):
        return self.clock

    def at(self, when, act):
        timer = FakeTimer(act)
        heappush(self.events, (when, next(self.serial), timer))
        return timer

    def watch(self, sock, _events, act):
        sock.act = act

    def unwatch(self, sock):
        sock.act = None

    # What a member sees of the sockets' module.

    def socket(self, _family, _kind):
        return FakeSocket(self)

    def run(self, seconds):
        until = self.clock + int(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            when, _, timer = heappop(self.events)
            self.time_of_day += max(0, when - self.clock)
            self.clock = max(self.clock, when)
            if timer.act is not None:
                timer.act()
        self.time_of_day += until - self.clock
        self.clock = until

    def carry(self, origin, address, data):
        self.bytes += len(data)
        if origin not in self.cut and address not in self.cut:
            self.at(self.clock + MS, lambda: self._arrive(address, data))

    def _arrive(self, address, data):
        sock = self.sockets.get(address)
        if sock is not None and sock.act is not None:
            sock.inbox.append(data)
            sock.act(1)


class FakeSocket:
    def __init__(self, world):
        self.world, self.act, self.inbox, self.address = world, None, [], None

    def setblocking(self, _):
        pass

    def bind(self, address):
        if address in self.world.sockets:
            raise OSError("address in use")
        self.world.sockets[address] = self
        self.address = address

    def recvfrom(self, most):
        if not self.inbox:
            raise BlockingIOError
        return self.inbox.pop(0)[:most], None

    def sendto(self, data, address):
        self.world.carry(self.address, address, data)

    def close(self):
        self.world.sockets.pop(self.address, None)
