"""The operators' door: a second listener; one line to a connection, one answer, and its end.

A caller waits 1 s, however busy the balancer is: callers come before clients in a round of the loop, and
those that connect and say nothing are few, short-lived, and make room for the next."""

import socket

from ..model import SECOND
from .loop import FIRST, READ
from .stream import Stream, listening

BACKLOG = 64  # connections that the system holds until they are taken in
MOST_CALLERS = 16  # connections held at once, out of the reserve of descriptors; the oldest makes room
CALL_TIME = 5 * SECOND  # for a call to come whole and its answer to be read: some finish none for 4 s
MOST_LINE = 1024  # bytes of a call: a word and an id


class CallFault(Exception):
    """A call that cannot be obeyed; the text is the answer."""


class Caller(Stream):
    rank = FIRST

    def __init__(self, loop, sock, operator):
        self.operator, self.line, self.asked = operator, bytearray(), False
        self.until = loop.now() + CALL_TIME
        super().__init__(loop, sock)

    def received(self, data):
        if self.asked:
            return  # one line to a connection
        self.line += data
        if b"\n" in self.line:
            self.asked = True
            self.operator.called(self, bytes(self.line.partition(b"\n")[0]))
        elif len(self.line) > MOST_LINE:
            self.asked = True
            self.answer("error the line is too long")

    def answer(self, text):
        self.write(text.encode() + b"\n")

    def written(self):
        # Closing at once, with bytes unread, may destroy the answer: the caller's end is waited for.
        if self.asked:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def released(self):
        self.operator.callers.pop(self, None)


class Operator:
    """Takes callers in, at most so many, and answers from `calls`: a word -> a function of its arguments.

    A function gives the answer's text and the ns after which it is in force, or raises CallFault."""

    def __init__(self, loop, counters, address, calls):
        self.loop, self.counters, self.calls, self.callers = loop, counters, calls, {}
        self.sock = listening(address, BACKLOG)
        self.address = self.sock.getsockname()
        loop.watch(self.sock, READ, self._take_in, FIRST)

    def _take_in(self, _mask):
        for _ in range(MOST_CALLERS):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return  # none left, or no descriptor for it: the next round tries again
            if len(self.callers) >= MOST_CALLERS:
                next(iter(self.callers)).close()
            self.callers[Caller(self.loop, sock, self)] = None

    def called(self, caller, line):
        self.counters.add("operators.calls")
        try:
            text, after = self._obey(line)
        except CallFault as fault:
            self.counters.add("operators.refused")
            text, after = f"error {fault}", 0
        if after:
            self.loop.at(self.loop.now() + after, lambda: caller.answer(text))
        else:
            caller.answer(text)

    def _obey(self, line):
        try:
            word, *rest = line.decode("ascii").split()
        except (UnicodeDecodeError, ValueError):
            raise CallFault("no call") from None
        if word not in self.calls:
            raise CallFault(f"no such call; there are {', '.join(self.calls)}")
        act, needs = self.calls[word]
        if len(rest) != needs:
            raise CallFault(f"{word} takes {needs or 'no'} argument{'' if needs == 1 else 's'}")
        return act(*rest)

    def sweep(self, now):
        for caller in [caller for caller in self.callers if now > caller.until]:
            caller.close()

    def close(self):
        self.loop.unwatch(self.sock)
        self.sock.close()
        for caller in list(self.callers):
            caller.close()


class Desk:
    """The calls themselves: what each does to the balancer, and its answer."""

    def __init__(self, node):
        self.node = node
        self.calls = {
            "ready": (self.ready, 0),
            "show-stat": (self.show_stat, 0),
            "disable-server": (self.disable, 1),
            "enable-server": (self.enable, 1),
            "drain": (self.drain, 0),
            "resume": (self.resume, 0),
            "show-fleet": (self.show_fleet, 0),
            "remove-peer": (self.remove_peer, 1),
            "admit-peer": (self.admit_peer, 1),
        }

    def ready(self):
        if not self.node.ready():
            raise CallFault("not ready to serve")
        return "done", 0

    def show_stat(self):
        return self.node.figures() + "end", 0

    def disable(self, name):
        if not self.node.door.members.has(name) and name not in self.node.handover.standing.out:
            raise CallFault("no cache host has this id")
        return self._order(lambda standing: standing.without(name))

    def enable(self, name):
        if not self.node.door.members.has(name) and name not in self.node.handover.standing.out:
            raise CallFault("no cache host has this id")
        now = self.node.loop.now()
        return self._order(lambda standing: standing.returned(name, now))

    def drain(self):
        return self._order(lambda standing: standing.draining(True))

    def resume(self):
        return self._order(lambda standing: standing.draining(False))

    def _fleet(self):
        if self.node.peers is None:
            raise CallFault("peers are off")
        return self.node.peers

    def show_fleet(self):
        return self._fleet().view_json(), 0

    def remove_peer(self, name):
        return self._peer(self._fleet().remove(name))

    def admit_peer(self, name):
        return self._peer(self._fleet().admit(name))

    def _peer(self, known):
        if not known:
            raise CallFault("no other balancer has this name")
        return "done", 0

    def _order(self, make):
        """Puts a standing order in force here and at the other process, if there is one; then the yes."""
        try:
            after = self.node.order(make)
        except OSError as fault:
            raise CallFault(f"this cannot be kept in TMPDIR: {fault.strerror}") from None
        except OverflowError as fault:
            raise CallFault(str(fault)) from None
        return "done", after
