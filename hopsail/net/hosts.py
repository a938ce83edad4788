"""Cache hosts' side: connections that carry one leg at a time, and the pool that owns them."""

from ..model import MS, SECOND, Outcome
from .flow import Flow
from .log import say
from .loop import READ
from .messages import AnswerReader, MessageFault, authority, encode_request
from .stream import SHORT, Stream, dial

REUSE_PART = 0.8  # of the time after which hosts close idle connections: closed under a leg, one resets it
# A host may send a second answer some milliseconds after the first (1 to 4 ms were measured). On a connection
# that carries the next leg by then it would pass for that leg's answer, and nothing in it tells: until it can
# have come, nothing is written. The leg waits: another connection costs as long, and hosts hold only so many.
REST_TIME = 6 * MS
# For an answer of no stated length to be whole: most short ones are within a piece or two, and a long one's
# first bytes are timed. After that it is passed on, though it may yet break off with no second try.
SHORT_TIME = 50 * MS
STALL_TIME = 8 * SECOND  # for a host to take some of a long request: slow ones take seconds


class HostConnection(Stream):
    """Carries a leg: dials if need be, writes the request, reads the answer, tells the pool how it ended."""

    def __init__(self, loop, sock, pool, name, address):
        self.pool, self.name, self.host = pool, name, authority(address)
        self.reader, self.leg, self.request = AnswerReader(self._flowing), None, None
        self.sent, self.used, self.since = False, False, loop.now()
        self.barred = False  # its host must get nothing new: what breaks off half-written is not sent again
        self.fed = False  # all of the request has been written to it, at least to its buffer
        self.stood = 0, loop.now()  # bytes gone out, and since when it has been so many
        self.dial_timer, self.short_timer, self.rest_timer = None, None, None
        super().__init__(loop, sock, dialing=True)

    def carry(self, leg, request):
        self.leg, self.request, self.sent, self.fed = leg, request, False, request.flow is None
        self.barred = False
        rested = self.since + REST_TIME
        if self.used and self.loop.now() < rested:
            self.rest_timer = self.loop.at(rested, self._begin)
        elif not self.dialing:
            self._begin()

    @property
    def waits(self):
        """Nothing of its leg has been written, since it is not up yet or has yet to rest."""
        return self.dialing or self.rest_timer is not None

    def connected(self):
        self.dial_timer.cancel()
        self._begin()

    def _begin(self):
        self.rest_timer = None
        retrieval = self.leg.retrieval
        if retrieval.forgotten(self.leg, self.loop.now()):
            # Decided on in time, but its connection came up, or had rested, too late: written now, what may
            # have run would run once more. Taken back, the module decides anew.
            self.loop.soon(self.pool.never_send, self.leg)
            return
        # Its end is known once its body is whole; until then the host is told no more than the client gave:
        # it would go on working for one whose time is over.
        left = min(self.leg.sent + self.leg.limit, retrieval.ends) - self.loop.now()
        if retrieval.long:
            left = min(left, retrieval.mark.lasts)
        self.write(encode_request(self.request, self.host, max(MS, left)))
        if self.open and not self.fed:
            self.request.flow.attach(self)

    def feed_ended(self, whole):
        """The flow of a long request has ended; one that broke off leaves a request that never runs."""
        if whole:
            self.fed = True
        else:
            self.loop.soon(self._end)

    def written(self):
        # From here on the host may have run it; before, it never has.
        if self.leg is not None and self.fed and not self.sent:
            self.sent = True
            self.pool.written(self.leg)

    def received(self, data):
        if (self.leg is None or self.waits) and self.reader.flow is None:
            self._end()  # nothing was asked: what comes now would pass for the next leg's answer
            return
        try:
            answer = self.reader.feed(data)
        except MessageFault as fault:
            lack = fault.status == 503  # of room for one more long answer: no host is blamed for it
            if not lack:
                say("hosts", f"{self.name:x} sent what is no answer")
            if self.sent:
                self._broke(Outcome.CANCELLED if lack else Outcome.RESET)
            else:
                self._broke(Outcome.NEVER_SENT if lack else Outcome.NO_CONNECTION)
            return
        if answer is not None:
            self._answered(answer)
        elif self.short_timer is None and self.leg is not None and self.reader.unmeasured:
            self.short_timer = self.loop.at(self.loop.now() + SHORT_TIME, self._too_long)
        if self.reader.flow is not None and self.reader.whole:
            self._finish(self.reader.keep)

    def _too_long(self):
        self.short_timer = None
        if self.leg is not None and self.reader.unmeasured and not self.pool.flows.full:
            if (answer := self.reader.take_as_long()) is not None:
                self._answered(answer)

    def _flowing(self, length):
        # An answer to half a request is none that can be passed on while the rest goes out.
        return None if self.pool.flows.full or not self.sent else Flow(self.pool.flows, self, length)

    def abandoned(self):
        """Nobody wants the rest of the long answer."""
        self.close()

    def _broke(self, outcome):
        flow, self.reader.flow = self.reader.flow, None
        self.close()
        if flow is not None:
            flow.cut()  # what has been passed on cannot be taken back, but its reader can tell
        else:
            self.pool.ended(self, outcome, None)

    def _answered(self, answer):
        if self.short_timer is not None:
            self.short_timer.cancel()
            self.short_timer = None
        if answer.flow is not None:
            self.pool.begun(self, answer)
        else:
            self._finish(answer.keep)
            self.pool.ended(self, outcome(answer), answer)

    def _finish(self, keep):
        """All of an answer has come: the connection may carry another leg, or not."""
        streamed, self.reader.flow = self.reader.flow is not None, None
        if not (keep and self.sent) or self.reader.more:
            self.close()
            return
        self.reader.taken()
        if streamed:
            self.pool.rest(self)

    def ended(self):
        # An answer of no stated length is whole only at an end in order: cut short by a reset, it would be
        # given to the client as a whole one, which no host made.
        answer = self.reader.at_end() if self.finished else None
        if (flow := self.reader.flow) is not None:
            if answer is None:
                flow.cut()
            return
        if self.leg is None:
            return
        if self.sent and answer is not None:
            self._answered(answer)
        elif self.sent:
            self.pool.ended(self, Outcome.RESET, None)
        elif self.used and not self.barred and not (self.request.flow and self.request.flow.spent):
            self.pool.again(self)  # an idle connection that the host had closed: nothing was sent on it
        else:
            self.pool.ended(self, Outcome.NO_CONNECTION, None)

    def stalled(self, now):
        """A host that takes none of a long request holds up its client and what is held for it."""
        if self.fed or not self.unsent or self.gone_out != self.stood[0]:
            self.stood = self.gone_out, now
        return now - self.stood[1] > STALL_TIME

    def given_up(self):
        self.close()
        return Outcome.TIMED_OUT if self.sent else Outcome.NO_CONNECTION

    def released(self):
        for timer in (self.dial_timer, self.short_timer, self.rest_timer):
            if timer is not None:
                timer.cancel()
        self.loop.soon(self.reader.forget)
        if self.feeder is not None:
            self.feeder.abandon()
        self.pool.gone(self)


def outcome(answer):
    if answer.status == 200:
        return Outcome.HANDLED
    if answer.status == 404:
        return Outcome.MISS
    return Outcome.FULL if answer.never_ran else Outcome.ERROR


class Pool:
    """All connections to cache hosts, at most so many; `done(leg, outcome, answer)` tells how a leg ended and
    `written(leg)` that all of its request is out."""

    def __init__(self, loop, counters, config, flows, done, written):
        self.loop, self.counters, self.flows = loop, counters, flows
        self.done, self.written = done, written
        self.configure(config)
        self.addresses = {}  # by the host's name
        self.idle = {}  # by the host's name, the last used at the end
        self.busy = {}  # leg: (connection or None, timer of its limit)
        self.connections = {}

    def configure(self, config):
        self.most, self.dial_time = config.most_host_connections, config.dial_time
        self.reuse_time = int(REUSE_PART * config.idle_time)

    def place(self, name, address):
        """Where a host is."""
        if self.addresses.get(name) != address:
            self.close_idle(name)
        self.addresses[name] = address

    def forget(self, name):
        self.close_idle(name)
        self.addresses.pop(name, None)

    def send(self, leg, request):
        # A long request has no second leg to leave time for; while it is still coming, nothing is waited for.
        ends = leg.sent + leg.limit if request.flow is None else leg.retrieval.ends
        waits = request.flow is None or request.flow.whole
        timer = self.loop.at(ends, lambda: self.give_up(leg)) if waits else None
        self._carry(leg, request, timer, self._reuse(leg.host.name))

    def again(self, connection):
        leg, (_, timer) = connection.leg, self.busy[connection.leg]
        connection.leg = None
        self._carry(leg, connection.request, timer, None)

    def _carry(self, leg, request, timer, connection):
        if connection is None:
            connection = self._dial(leg.host.name)
        else:
            self.counters.add("hosts.reused")
        if isinstance(connection, Outcome):
            self.busy[leg] = None, timer
            self.loop.soon(self._end, leg, connection, None)
        else:
            self.busy[leg] = connection, timer
            connection.carry(leg, request)

    def _reuse(self, name):
        now = self.loop.now()
        idle = self.idle.get(name, [])
        rested = [c for c in idle if now - c.since >= REST_TIME]
        # The last used of those that have rested; else the one that will have rested first.
        for connection in rested[::-1] + idle[len(rested) :]:
            if now - connection.since <= self.reuse_time:
                connection.ready(READ)  # the host may have closed it: then it is gone now
                if connection.open:
                    self.idle[name].remove(connection)
                    return connection
            connection.close()
        return None

    def _dial(self, name):
        """A connection on its way up, or the outcome of a leg that cannot have one."""
        address = self.addresses.get(name)
        if address is None:
            return Outcome.NO_CONNECTION
        if len(self.connections) >= self.most and not self.spare():
            self.counters.add("hosts.no room")
            # A lack here: taken for the host's fault, it would set sound hosts aside.
            return Outcome.NEVER_SENT
        try:
            sock = dial(address)
        except OSError as fault:
            say("hosts", f"cannot connect to {address[0]}:{address[1]}: {fault.strerror}")
            if fault.errno not in SHORT:
                return Outcome.NO_CONNECTION
            # Out of descriptors: an idle connection's is given up, and this asks once more with one fewer.
            return self._dial(name) if self.spare() else Outcome.NEVER_SENT
        connection = HostConnection(self.loop, sock, self, name, address)
        self.counters.add("hosts.dialed")
        self.connections[connection] = None
        connection.dial_timer = self.loop.at(self.loop.now() + self.dial_time, connection._end)
        return connection

    def spare(self):
        """Closes the connection that has stood idle longest; False when none is idle."""
        firsts = [idle[0] for idle in self.idle.values() if idle]
        if firsts:
            min(firsts, key=lambda connection: connection.since).close()
        return bool(firsts)

    def ended(self, connection, outcome, answer):
        leg, connection.leg, connection.request = connection.leg, None, None
        if connection.open:
            self.rest(connection)
        self._end(leg, outcome, answer)

    def begun(self, connection, answer):
        """A long answer's first bytes are there: the leg has ended, its connection goes on with the rest."""
        leg, connection.leg, connection.request = connection.leg, None, None
        self._end(leg, outcome(answer), answer)

    def rest(self, connection):
        connection.used, connection.since = True, self.loop.now()
        self.idle.setdefault(connection.name, []).append(connection)

    def _end(self, leg, outcome, answer):
        if leg in self.busy:
            timer = self.busy.pop(leg)[1]
            if timer is not None:
                timer.cancel()
            self.done(leg, outcome, answer)

    def give_up(self, leg):
        """Stops waiting: closing the connection tells the host."""
        connection, _ = self.busy[leg]
        self._end(leg, connection.given_up() if connection else Outcome.NO_CONNECTION, None)

    def hasten(self, leg, ends):
        """Sets when a leg is given up anew: sooner, or once a long request has come whole."""
        if leg in self.busy:
            connection, timer = self.busy[leg]
            if timer is not None:
                if timer.when <= ends:
                    return  # its own limit comes first: put off, it would take the time for another leg
                timer.cancel()
            self.busy[leg] = connection, self.loop.at(ends, lambda: self.give_up(leg))

    def never_send(self, leg):
        """Takes back a leg whose request is not yet written; a written one is left to end by itself."""
        connection, _ = self.busy.get(leg, (None, None))
        if connection is not None and not connection.sent:
            connection.close()
            self._end(leg, Outcome.NEVER_SENT, None)

    def call_off(self, name):
        """Takes back legs that wait for a connection to a host that must get nothing new."""
        for leg, (connection, _) in list(self.busy.items()):
            if connection is None or connection.name != name:
                continue
            # One being written has begun before; broken off, it would be dialed for anew, after the drain.
            connection.barred = True
            if connection.waits:
                self.never_send(leg)

    def close(self):
        for connection in list(self.connections):
            connection.close()

    def close_idle(self, name):
        for connection in list(self.idle.get(name, ())):
            connection.close()

    def gone(self, connection):
        self.connections.pop(connection, None)
        idle = self.idle.get(connection.name)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.name, None)

    def sweep(self, now):
        """At set times: closes what has stood idle for too long to be used again."""
        while len(self.connections) > self.most and self.spare():
            pass  # the limit has come down, or another process needs its part of it
        for leg, (connection, _) in list(self.busy.items()):
            # Giving one up may have ended others of them.
            if leg in self.busy and connection is not None and connection.stalled(now):
                self.give_up(leg)
        for idle in list(self.idle.values()):
            for connection in [c for c in idle if now - c.since > self.reuse_time]:
                connection.close()
