"""A TCP connection as an object with callbacks: the base of clients', cache hosts' and discovery's."""

import errno
import socket

from .log import fault
from .loop import LAST, READ, WRITE

CHUNK = 64 * 1024  # bytes read at one event: one busy connection must not hold up the others
UP_SOON = (0, errno.EINPROGRESS)
# Out of descriptors or memory: nothing is wrong with the other side.
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Stream:
    """Calls `connected`, `received`, `written` and, once and only when the other side ended it, `ended`.

    `close` is the one place where the socket is given back. `ended` is never called from inside `write`."""

    rank = LAST  # of its events in a round

    def __init__(self, loop, sock, dialing=False):
        self.loop, self.sock, self.dialing = loop, sock, dialing
        self.unsent, self.open, self.writing = bytearray(), True, dialing
        self.paused, self.chunk = False, CHUNK  # nothing is read; bytes read at one event
        self.feeder = None  # the flow that gives it a long body, while it does
        self.gone_out = 0  # bytes that the system has taken
        # The other side has ended its sending in order: no reset, no failed write, nothing closed from here.
        self.finished = False
        self.error = 0  # the error number with which the system ended it
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock, WRITE if dialing else READ, self.ready, self.rank)

    def connected(self): ...

    def received(self, data): ...

    def written(self): ...

    def ended(self): ...

    def released(self): ...

    def ready(self, mask):
        if not self.open:  # closed by an earlier event of the same round
            return
        try:
            if self.dialing:
                self._come_up()
                return
            if mask & WRITE:
                self._flush()
            if mask & READ and self.open:
                self._fill()
        except Exception:
            fault()
            self._end()

    def _come_up(self):
        self.error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self.error:
            self._end()
            return
        self.dialing = False
        self._want(False, False)
        self.connected()

    def _fill(self):
        try:
            data = self.sock.recv(self.chunk)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.error = error.errno
            self._end()
            return
        if data:
            self.received(data)
        else:
            self.finished = True
            self._end()

    def write(self, data):
        if self.open:
            self.unsent += data
            self._flush()

    def _flush(self):
        if self.unsent:
            try:
                taken = self.sock.send(self.unsent)
            except (BlockingIOError, InterruptedError):
                taken = 0
            except OSError as error:
                self.error = error.errno
                self.loop.soon(self._end)
                return
            del self.unsent[:taken]
            self.gone_out += taken
        if self.unsent:
            self._want(True, self.paused)
        else:
            self._want(False, self.paused)
            if self.feeder is None:
                self.written()
        if self.feeder is not None:
            self.feeder.eased()

    def pause(self, paused):
        """Whether what the other side sends is left to the system, whose buffers hold the other side up."""
        if self.open:
            self._want(self.writing, paused)

    def _want(self, writing, paused):
        if (writing, paused) == (self.writing, self.paused):
            return
        watched = self._events()
        self.writing, self.paused = writing, paused
        events = self._events()
        if not events:
            self.loop.unwatch(self.sock)
        elif not watched:
            self.loop.watch(self.sock, events, self.ready, self.rank)
        elif events != watched:
            self.loop.change(self.sock, events, self.ready)

    def _events(self):
        return (0 if self.paused else READ) | (WRITE if self.writing else 0)

    def _end(self):
        if self.open:
            self.close()
            self.ended()

    def close(self):
        if self.open:
            self.open = False
            if self._events():
                self.loop.unwatch(self.sock)
            self.sock.close()
            self.unsent = bytearray()  # nobody takes it any more
            self.released()


def dial(address) -> socket.socket:
    """A socket on its way to the address; OSError when that fails at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        error = sock.connect_ex(address)
        if error not in UP_SOON:
            raise OSError(error, errno.errorcode.get(error, "connect"))
    except OSError:
        sock.close()
        raise
    return sock


def listening(address, backlog) -> socket.socket:
    """A socket that takes connections at the address, also right after another process did."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    return sock
