"""Clients' side: the listener and the connections that it took in."""

import socket

from ..model import MS, SECOND
from .flow import Flow
from .log import say
from .loop import NEXT, READ
from .messages import CONTINUE, MOST_BODY, MOST_LONG, Answer, MessageFault, RequestReader, encode_answer
from .stream import SHORT, Stream, listening

BACKLOG = 1024  # connections that the system holds until they are taken in
TAKE_IN = 64  # connections taken in at one event: the others' turn comes in between
# For a request's head, from connecting for the first: 2 s are granted, and 3 s owed to those that send none.
REQUEST_TIME = 2500 * MS
LEAST_RATE = 48_000  # bytes a second of a body beyond that: 64 kB are granted, and pieces come unevenly
ANSWER_TIME = 8 * SECOND  # in which none of an answer goes out: some take seconds to read
IDLE_TIME = 2 * SECOND  # kept with no request: some ask once and stay for good, in the place of others
FRESH_TIME = SECOND // 4  # after connecting no room is made at its cost: its request is on the way
MUTE_TIME = SECOND // 4  # for a new connection to say something, when idle ones are let go
LINGER_TIME = SECOND  # for the client to read a last answer: closing at once may destroy it
# While a body waits unread, nothing but a look tells that its client has left: a leg that begins for it 0.1 s
# later is held against a balancer.
LOOK_EVERY = 50 * MS
HUNG_UP = (7, 8)  # TCP_CLOSE and TCP_CLOSE_WAIT, as TCP_INFO begins with
LINGER_BYTES = 1 << 20  # that it may send meanwhile: a body of any length must not take the core


class Client(Stream):
    """One client's connection: reads a request, hands it to the door, writes the answer, and again."""

    rank = NEXT

    def __init__(self, loop, sock, listener):
        self.listener, self.reader = listener, RequestReader(self._flowing)
        self.upload, self.download = None, None  # the flows of a long body in hand
        self.paused_at = 0  # when it was last told to wait with its body
        self.looking = False  # a look at whether it has left meanwhile is to come
        self.counted = 0  # bytes gone out when it was last looked at
        self.request, self.retrieval = None, None  # what is being answered, and what the door made of it
        self.passing = None  # the door's own, of what is answered by a flow
        self.leaving, self.lingers = False, False  # no request after this one; only the end is waited for
        self.asked, self.dropped = 0, 0  # requests that have come whole; bytes that came after the last one
        self.since = loop.now()  # when it began what it is doing
        super().__init__(loop, sock)

    @property
    def mute(self):
        return not self.asked

    @property
    def idle(self):
        return not (self.request or self.reader.begun or self.unsent or self.lingers or self.download)

    def received(self, data):
        if self.upload is not None and not self.upload.whole:
            self._more(data)
            return
        if self.request is not None:
            if data.strip(b"\r\n"):  # more than the request's stated length: who knows where it ends
                self.listener.door.left(self)
                self.request = None
                self._refuse(400)
            return
        if self.leaving or self.download is not None:
            # Its last answer is on the way: what comes after it is not taken.
            self.leaving = True
            self.dropped += len(data)
            if self.dropped > (LINGER_BYTES if self.upload is None else MOST_LONG):
                self.close()
            return
        self.listener.once.pop(self, None)
        if not self.reader.begun and not self.mute:
            self.since = self.loop.now()
        try:
            request = self.reader.feed(data)
        except MessageFault as fault:
            self._refuse(fault.status)
            return
        if self.reader.awaited():
            self.write(CONTINUE)
        if request is not None and self.reader.more:
            self._refuse(400)  # several at once: the protocol has one at a time
        elif request is not None and self.over():
            # It waited unread, in the listener's queue or here, and its client has left meanwhile.
            self.listener.counters.add("taken.left")
            self.close()
        elif request is not None:
            self.request, self.asked = request, self.asked + 1
            self.leaving = self.leaving or not request.keep
            self.listener.door.asked(self, request)

    def _flowing(self, length):
        if self.listener.flows.full:
            return None
        self.upload = Flow(self.listener.flows, self, length)
        return self.upload

    def _more(self, data):
        """A long request goes on while it is being passed on, or after its answer has been given."""
        if self.upload.over:
            self.leaving = True
            self.dropped += len(data)
            if self.dropped > MOST_LONG:
                self.close()
            return
        try:
            self.reader.feed(data)
        except MessageFault as fault:
            self.listener.door.left(self)
            self.request = None
            self.upload.abandon()
            self._refuse(fault.status)
            return
        if self.upload.whole:
            self.listener.door.uploaded(self)

    def pause(self, paused):
        # What it waits for others is not its own slowness.
        if paused and not self.paused:
            self.paused_at = self.loop.now()
            self._look_later()
        elif self.paused and not paused:
            self.since += self.loop.now() - self.paused_at
        super().pause(paused)

    def _look_later(self):
        if not self.looking:
            self.looking = True
            self.loop.at(self.loop.now() + LOOK_EVERY, self._look)

    def _look(self):
        self.looking = False
        if not self.open or not self.paused:
            return
        if self.hung_up():
            self.close()
        else:
            self._look_later()

    def abandoned(self):
        """The rest of its long body is of no use: it is read and dropped, so that its answer can be read."""
        self.pause(False)

    def _refuse(self, status):
        """The last answer on a connection whose bytes cannot be trusted any more."""
        self.listener.counters.add("taken.malformed")
        self.leaving = True
        self._write(Answer(status))

    def answer(self, answer):
        """The one answer to the request in hand."""
        self.request = self.retrieval = None
        if self.upload is not None and not self.upload.whole:
            self.leaving = True  # it is still sending what nobody reads any more
            self.upload.abandon()
        else:
            self.upload = None
            self.reader.taken()
        self.download = answer.flow
        self._write(answer)
        if self.download is not None:
            self.download.attach(self)
        elif self.asked == 1 and not self.leaving:
            self.listener.asked_once(self)

    def feed_ended(self, whole):
        """All of a long answer has been handed over, or there will be no more of it: then it must tell."""
        self.download = None
        self.listener.door.passed_on(self, whole)
        if not whole:
            self.close()

    def _write(self, answer):
        self.leaving = self.leaving or self.listener.stopping or self.listener.draining
        self.since = self.loop.now()
        self.write(encode_answer(answer, self.leaving))

    def written(self):
        if not self.leaving or self.request is not None or self.lingers or self.download is not None:
            return
        self.lingers, self.since = True, self.loop.now()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def let_go(self):
        """Closes an idle connection, unless a request has come that is not yet read; whether it did."""
        self.ready(READ)
        if self.open and self.idle:
            self.close()
        return not self.open

    def over(self):
        """Whether the other side has ended right behind what has been read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def hung_up(self):
        """Whether the other side has ended, though not all it sent has been read: nothing else tells while a
        body that waits for its turn is left to the system."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in HUNG_UP
        except (OSError, IndexError):
            return False  # a system that does not say

    def too_short(self, exchange):
        """At the end of its time an answer that was passed on for a long one, and is still short, ends as one
        that is not whole: its client can tell. One that trickles on for ever would never be final."""
        flow = self.download
        if self.passing is exchange and flow is not None and flow.length is None and flow.came <= MOST_BODY:
            self.close()

    def released(self):
        if self.request is not None:
            # However its connection came to end, what waits for it must not be sent on any more.
            self.request = None
            self.listener.door.left(self)
        if self.upload is not None:
            self.upload.cut()
        if (flow := self.download) is not None:
            self.download = None
            flow.abandon()
            self.listener.door.passed_on(self, False)
        self.loop.soon(self.reader.forget)
        self.listener.gone(self)

    def overdue(self, now):
        if self.counted != self.gone_out:
            self.counted, self.since = self.gone_out, now if self.unsent or self.download else self.since
        stands, patience = now - self.since, REQUEST_TIME + self.reader.size * SECOND // LEAST_RATE
        if self.upload is not None and not self.upload.whole:
            # Until its body is whole, or dropped to the end after its answer, it must go on sending.
            return not self.paused and stands > patience + self.dropped * SECOND // LEAST_RATE
        if self.request is not None:
            return False  # the door answers it in time
        if self.lingers or self.unsent or self.download is not None:
            return stands > (LINGER_TIME if self.lingers else ANSWER_TIME)
        return stands > (IDLE_TIME if self.idle and not self.mute else patience)


class Listener:
    """Takes clients in, at most so many at a time, and owns their connections."""

    def __init__(self, loop, counters, door, config):
        self.loop, self.counters, self.door, address = loop, counters, door, config.listen
        self.flows = door.flows
        self.configure(config)
        self.once = {}  # those that have been answered once and no more, the longest idle first
        self.clients, self.stopping, self.paused = {}, False, True
        self.held = False  # nobody is taken in, whatever room there is
        self.draining = False  # all may connect, but no connection is kept
        if config.listener is None:
            self.sock = listening(address, BACKLOG)
        else:
            # The platform's: other processes take clients in from it too. It is never shut down here.
            self.sock = socket.socket(fileno=config.listener)
            self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self._pause(False)

    def configure(self, config):
        self.most, self.most_once = config.most_clients, config.most_asked_once

    def asked_once(self, client):
        """It may stay for good without a second request, and clients hold only so many: few may wait."""
        self.once[client] = None
        if len(self.once) > self.most_once:
            self.loop.soon(self._trim)

    def _trim(self):
        while len(self.once) > self.most_once:
            client = next(iter(self.once))
            del self.once[client]
            if client.let_go():
                self.counters.add("clients.closed after one")

    def _pause(self, pause):
        if self.sock is None or pause == self.paused or self.held and not pause:
            return
        self.paused = pause
        if pause:
            self.loop.unwatch(self.sock)
        else:
            self.loop.watch(self.sock, READ, self._take_in)

    def _take_in(self, _mask=READ, most=TAKE_IN):
        for _ in range(most):
            full = len(self.clients) >= self.most
            if len(self.clients) > self.most or full and not any(client.idle for client in self.clients):
                self._pause(True)  # until one goes: the system holds the others
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                # Out of descriptors: a loop that tries again at once would burn its core.
                say("clients", f"cannot take in a connection: {fault.strerror}")
                if fault.errno not in SHORT or not (self._make_room() or self.door.spare_connection()):
                    self._pause(True)
                return
            if full:
                self._make_room()  # only now: a look into an empty queue is worth no connection
            self.counters.add("clients.connections")
            self.door.connected()
            client = Client(self.loop, sock, self)
            self.clients[client] = None

    def _make_room(self):
        """Closes the idle connection that is missed least; False when none is idle."""
        fresh = self.loop.now() - FRESH_TIME
        # First those that said nothing: a crowd of them must not cost those that ask theirs.
        for client in sorted(self.clients, key=lambda c: (not c.mute or c.since > fresh, c.since)):
            if client.idle and client.let_go():
                self.counters.add("clients.closed for room")
                return True
        return False

    def gone(self, client):
        del self.clients[client]
        self.once.pop(client, None)
        self._pause(False)  # there is room for another

    def sweep(self, now):
        """At set times: closes what takes too long; takes in again after a lack of descriptors."""
        for client in [client for client in self.clients if client.overdue(now)]:
            if client.reader.begun and not client.lingers:
                self.counters.add("taken.slow")
            if client.idle:
                client.let_go()  # its next request may have come within this very round
            else:
                client.close()
        self._pause(False)

    def hold(self, held):
        """Leaves those that connect to the other process that has the same listening socket, or to later."""
        self.held = held
        self._pause(held)

    def _close_door(self):
        self._pause(True)
        self.sock.close()
        self.sock = None

    def close(self):
        if self.sock is not None:
            self._close_door()
        for client in list(self.clients):
            client.request = None  # the process ends: nothing is decided on any more
            client.close()

    def shut(self):
        """Ends taking in, after all that has connected; answers end their connections, idle ones go. To be
        called again until nobody is left."""
        self.stopping = True
        if self.sock is not None:
            if not self.held:
                self._take_in(most=BACKLOG)
            # With no room for all that have connected it is tried again: a closed door would end the rest.
            if self.held or not self.paused:
                self._close_door()
        self.let_idle_go(MUTE_TIME)

    def let_idle_go(self, mute_for=0):
        """Closes what is idle; one that has yet to say something is given so long to say it."""
        last = self.loop.now() - mute_for
        for client in [c for c in self.clients if c.idle and not (c.mute and c.since > last)]:
            client.let_go()
