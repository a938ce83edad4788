"""One connection to a balancer, HTTP/1.1 by h11 (sans-I/O, no dependencies of its own); and the bounded
pool."""

import select
import socket
from threading import Condition

import h11

from .plan import SECOND, Ending

READ = 64 * 1024
MOST_BODY = 32 << 20  # bytes of an answer that are taken
DIAL = SECOND  # ns for a connection to come up, within the deadline


class Broken(Exception):
    """The exchange has no whole answer; `ending` says whether any of the request has left."""

    def __init__(self, ending: Ending, why: str):
        super().__init__(why)
        self.ending = ending


class Connection:
    def __init__(self, place, clock, deadline):
        self.place, self.clock = place, clock
        self.idle_since = clock()
        try:
            self.sock = socket.create_connection(place.address, self._left(min(deadline, clock() + DIAL)))
        except OSError as fault:
            raise Broken(Ending.UNSENT, f"connect: {fault}") from None
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ)

    def _left(self, deadline):
        left = (deadline - self.clock()) / SECOND
        if left <= 0:
            raise TimeoutError("its time is over")
        return left

    def usable(self) -> bool:
        """False when the balancer has closed it, or has sent what nobody asked for."""
        return not select.select([self.sock], [], [], 0)[0]

    def exchange(self, method, target, headers, body, deadline):
        """Status, Retry-After and body of the answer; `Broken` when there is none."""
        state, sent, read = self.state, False, 0
        try:
            head = state.send(h11.Request(method=method, target=target, headers=headers))
            data = head + (state.send(h11.Data(data=body)) if body else b"") + state.send(h11.EndOfMessage())
            view = memoryview(data)
            while view:
                self.sock.settimeout(self._left(deadline))
                number = self.sock.send(view)
                sent, view = True, view[number:]
            answer, parts = None, []
            while True:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    self.sock.settimeout(self._left(deadline))
                    state.receive_data(self.sock.recv(READ))
                elif type(event) is h11.Response:
                    answer = event
                elif type(event) is h11.Data:
                    read += len(event.data)
                    if read > MOST_BODY:
                        raise Broken(Ending.LOST, "the answer is too long")
                    parts.append(bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    break
                elif type(event) is h11.ConnectionClosed:
                    raise Broken(Ending.LOST, "closed with no answer")
        except (OSError, h11.RemoteProtocolError) as fault:
            raise Broken(Ending.LOST if sent else Ending.UNSENT, str(fault) or type(fault).__name__) from None
        except h11.LocalProtocolError as fault:
            raise ValueError(f"the request cannot be sent: {fault}") from None
        wait = next(
            (value.decode("latin-1") for name, value in answer.headers if name == b"retry-after"), None
        )
        return answer.status_code, wait, b"".join(parts)

    def again(self) -> bool:
        """Ready for another request; False when it must be closed."""
        if self.state.our_state is not h11.DONE or self.state.their_state is not h11.DONE:
            return False
        self.state.start_next_cycle()
        self.idle_since = self.clock()
        return True

    def close(self):
        self.sock.close()


class Pool:
    """At most `most` connections; idle ones are closed before the balancer would, so that no request meets
    a connection that is being closed."""

    def __init__(self, most: int, idle: int, clock):
        self.most, self.idle_time, self.clock = most, idle, clock
        self.idle, self.out, self.changed, self.closed = [], 0, Condition(), False

    def take(self, place, deadline):
        """An idle connection to the place, or None for leave to make one; TimeoutError when there is none."""
        with self.changed:
            while True:
                if self.closed:
                    raise RuntimeError("the client is closed")
                now = self.clock()
                self._sweep(now)
                for connection in reversed(self.idle):
                    if connection.place is place:
                        self.idle.remove(connection)
                        if connection.usable():
                            self.out += 1
                            return connection
                        connection.close()
                if self.out < self.most:
                    if self.out + len(self.idle) >= self.most:
                        self.idle.pop(0).close()  # the longest idle makes room
                    self.out += 1
                    return None
                left = (deadline - now) / SECOND
                if left <= 0:
                    raise TimeoutError("no connection is free")
                self.changed.wait(left)

    def has(self, place) -> bool:
        """Whether there is an idle connection to the place that can be used."""
        with self.changed:
            self._sweep(self.clock())
            return any(one.place is place and one.usable() for one in self.idle)

    def give(self, connection=None):
        """A connection comes back, to be used again; or None, one that is gone."""
        with self.changed:
            self.out -= 1
            if connection is not None:
                if self.closed or not connection.again():
                    connection.close()
                else:
                    self.idle.append(connection)
            self.changed.notify()

    def drop(self, place):
        """All idle connections to the place are closed: it is not what it was."""
        with self.changed:
            for connection in [one for one in self.idle if one.place is place]:
                self.idle.remove(connection)
                connection.close()

    def _sweep(self, now):
        while self.idle and now - self.idle[0].idle_since > self.idle_time:
            self.idle.pop(0).close()

    def close(self):
        with self.changed:
            self.closed = True
            while self.idle:
                self.idle.pop().close()
            self.changed.notify_all()
