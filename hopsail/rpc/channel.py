"""Makes calls: one connection to one address, made on demand and remade when it fails."""

import errno
from collections.abc import Callable
from typing import Any, NamedTuple

from ..event_log import log_exception
from ..net.loop import Loop, Timer
from ..net.stream import dial
from .connection import Connection
from .counts import RpcCounts
from .errors import (
    CallError,
    CallFailedError,
    CallOverflowError,
    CallRefusedError,
    CallTimeoutError,
    DisconnectedError,
    FrameError,
)
from .failure import NOT_RUN, Failure
from .frames import MAX_FRAME, Kind, Message
from .link_sign import LinkSign
from .structs import Struct, decode, encode

__all__ = [
    "CallError",
    "CallFailedError",
    "CallOverflowError",
    "CallRefusedError",
    "CallTimeoutError",
    "Channel",
    "DisconnectedError",
]

MS = 1_000_000  # ns
UP_WITHIN = 500 * MS
FIRST_BACK_OFF = 50 * MS
LONGEST_BACK_OFF = 1000 * MS
MAX_CALLS = 1024  # in flight
MAX_UNSENT = 2 * MAX_FRAME  # bytes, beyond which no call is taken
MAX_UNSENT_FOR_SEND = 4 * 1024 * 1024  # bytes, beyond which one-way messages are dropped
LAST_SEQID = 2**31 - 1
ANSWERED_ERRORS = (errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE)  # the other side's machine is there
UNANSWERED_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
# One opening packet may be lost, and this process may have stood still during a dial.
UNANSWERED_DIALS = 2
MAX_HEADER_BYTES = 256  # bytes of a frame that are not its body, at most

Done = Callable[[Any, CallError | None], None]


class _Call:
    __slots__ = ("argument", "done", "made", "method", "reply_class", "seqid", "taken_before", "timer")

    def __init__(
        self, seqid: int, method: str, argument: bytes, reply_class: type[Struct], done: Done
    ) -> None:
        self.seqid, self.method, self.argument = seqid, method, argument
        self.reply_class, self.done = reply_class, done
        self.made = 0  # ns
        self.taken_before: int | None = None  # bytes the system had, if it then took no more at once
        self.timer: Timer | None = None


class DialTimes(NamedTuple):
    """How long a dial may take, and how long after a failed one the next may begin at the latest, in ns."""

    up_within: int = UP_WITHIN
    longest_back_off: int = LONGEST_BACK_OFF


USUAL_DIAL_TIMES = DialTimes()


class Channel:
    """A client of the RPC server at the address `(host, port)`; the host is an IP address."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        fleet: str,
        counts: RpcCounts | None = None,
        dial_times: DialTimes = USUAL_DIAL_TIMES,
    ) -> None:
        """Makes no connection yet; `counts` may be shared with other channels and servers."""
        self.loop, self.address, self.fleet = loop, address, fleet
        self.counts = counts or RpcCounts()
        self.dial_times = dial_times
        self._connection: Connection | None = None
        self._calls: dict[int, _Call] = {}
        self._pending_bytes = 0  # of calls that wait for a connection
        self._last_seqid = 0
        self._back_off = FIRST_BACK_OFF
        self._not_before = 0  # ns: no connection is made earlier
        self._dial_timer: Timer | None = None
        self._up_timer: Timer | None = None
        self._closed = False
        self._last_sign = LinkSign.NONE  # of connections that have ended
        self._unanswered_dials = 0  # in a row

    @property
    def connected(self) -> bool:
        """Whether there is a connection on which the other side has said its hello."""
        return self._connection is not None and self._connection.is_greeted

    @property
    def link_sign(self) -> LinkSign:
        """What the connection that is coming up shows of the way to the other side, else the last one."""
        connection = self._connection
        if connection is None or not connection.came_up:
            return self._last_sign
        return LinkSign.NONE if connection.is_greeted else LinkSign.ACCEPTED

    def call(
        self, method: str, argument: Struct, reply_class: type[Struct], done: Done, timeout: int
    ) -> None:
        """Calls `done(reply, None)` or `done(None, error)` once, later; `timeout` in ns.

        While no connection can be made the call waits, until its timeout, for the next attempt."""
        body = encode(argument)
        if self._closed:
            self.loop.soon(done, None, CallRefusedError("closed"))
            return
        if self._is_full(len(body)):
            self.counts.overflows += 1
            self.loop.soon(done, None, CallOverflowError(method))
            return
        call = _Call(self._next_seqid(), method, body, reply_class, done)
        call.made = self.loop.now()
        call.timer = self.loop.at(call.made + timeout, lambda: self._time_out(call))
        self._calls[call.seqid] = call
        if self._connection is not None:
            self._write(call)
        else:
            self._pending_bytes += len(body)
            self._connect()

    def send(self, method: str, argument: Struct) -> None:
        """Sends a one-way message; dropped while too much is unsent or no connection may be made yet."""
        body = encode(argument)
        if not self._closed and self._connection is None and self.loop.now() >= self._not_before:
            self._dial()
        connection = self._connection
        room = MAX_UNSENT_FOR_SEND - len(body)
        # A message larger than the bound goes out alone: it would never, else.
        if connection is None or (connection.unsent and len(connection.unsent) > room):
            self.counts.dropped_sends += 1
            return
        connection.send(Message(method, Kind.ONEWAY, 0, body))

    def close(self) -> None:
        """Ends the connection; calls in flight are told so, later."""
        if self._closed:
            return
        self._closed = True
        if self._dial_timer is not None:
            self._dial_timer.cancel()
        if self._connection is not None:
            self._connection.close()
        self._fail_all(DisconnectedError("closed"))

    def greeted(self, connection: Connection) -> None:
        """Called by the connection: the other side is of this fleet."""
        self._back_off = FIRST_BACK_OFF

    def lost(self, connection: Connection) -> None:
        """Called by the connection: it is over."""
        if connection is not self._connection:
            return
        self._connection = None
        self._last_sign = self._sign_of(connection)
        self._cancel_up_timer()
        if connection.came_up:
            reason = "another fleet or version" if connection.mismatched else "connection lost"
        else:
            reason = "no connection"
            self.counts.failed_dials += 1
        self._delay()
        known_not_run = not connection.came_up or connection.mismatched
        self._fail_all(CallRefusedError(reason) if known_not_run else DisconnectedError(reason))

    def _sign_of(self, connection: Connection) -> LinkSign:
        """What a connection that is over has shown."""
        if not connection.came_up:
            return self._sign_of_dial(connection.error)
        self._unanswered_dials = 0
        if connection.finished or connection.mismatched or connection.error in ANSWERED_ERRORS:
            return LinkSign.REFUSED
        # Bytes that are not acknowledged in time prove nothing: a process that does not read may be why.
        is_fresh = not connection.is_greeted and not connection.error
        return LinkSign.ACCEPTED if is_fresh else LinkSign.NONE

    def _sign_of_dial(self, error: int) -> LinkSign:
        """What a dial that has failed with this error, or with none within its time, has shown."""
        if error in ANSWERED_ERRORS:
            self._unanswered_dials = 0
            return LinkSign.REFUSED
        if error and error not in UNANSWERED_ERRORS:
            return self._last_sign  # this process lacks descriptors or memory
        self._unanswered_dials += 1
        return LinkSign.UNANSWERED if self._unanswered_dials >= UNANSWERED_DIALS else self._last_sign

    def message(self, connection: Connection, message: Message) -> None:
        """Called by the connection: a reply has come."""
        if message.kind not in (Kind.REPLY, Kind.EXCEPTION):
            raise FrameError("not a reply")
        call = self._calls.get(message.seqid)
        if call is None:
            self.counts.late_replies += 1
            return
        if message.method != call.method:
            raise FrameError("a reply of another method")
        reply, error = self._read(call, message)
        self._forget(call)
        try:
            call.done(reply, error)
        except Exception:  # one caller's fault must not end the connection that others use
            log_exception()

    def _read(self, call: _Call, message: Message) -> tuple[Struct | None, CallError | None]:
        if message.kind is Kind.REPLY:
            return decode(call.reply_class, message.body), None
        failure = decode(Failure, message.body)
        kind = CallRefusedError if failure.type in NOT_RUN else CallFailedError
        return None, kind(failure.message)

    def _is_full(self, size: int) -> bool:
        unsent = self._pending_bytes if self._connection is None else len(self._connection.unsent)
        too_long = size + MAX_HEADER_BYTES > MAX_FRAME
        return too_long or len(self._calls) >= MAX_CALLS or unsent + size > MAX_UNSENT

    def _next_seqid(self) -> int:
        while True:
            self._last_seqid = self._last_seqid % LAST_SEQID + 1
            if self._last_seqid not in self._calls:
                return self._last_seqid

    def _write(self, call: _Call) -> None:
        connection = self._connection
        connection.send(Message(call.method, Kind.CALL, call.seqid, call.argument))
        call.argument = b""
        if connection.unsent and not connection.dialing:
            call.taken_before = connection.gone_out

    def _connect(self) -> None:
        """Makes a connection as soon as one may be made."""
        if self._dial_timer is not None:
            return
        if self.loop.now() >= self._not_before:
            self._dial()
        else:
            self._dial_timer = self.loop.at(self._not_before, self._redial)

    def _redial(self) -> None:
        self._dial_timer = None
        if self._calls and self._connection is None:  # else nobody waits any more, or a message was sooner
            self._dial()

    def _dial(self) -> None:
        try:
            sock = dial(self.address)
        except OSError as error:
            self._last_sign = self._sign_of_dial(error.errno or 0)
            self._fail_dial()
            return
        self._connection = Connection(self.loop, sock, self, dialing=True)
        self._up_timer = self.loop.at(self.loop.now() + self.dial_times.up_within, self._give_up)
        self._pending_bytes = 0
        for call in self._calls.values():
            self._write(call)

    def _fail_dial(self) -> None:
        self.counts.failed_dials += 1
        self._delay()
        self._fail_all(CallRefusedError("no connection"))

    def _delay(self) -> None:
        self._not_before = self.loop.now() + self._back_off
        self._back_off = min(2 * self._back_off, self.dial_times.longest_back_off)

    def _give_up(self) -> None:
        self._up_timer = None
        if self._connection is not None and not self._connection.came_up:
            self._connection.close()

    def _cancel_up_timer(self) -> None:
        if self._up_timer is not None:
            self._up_timer.cancel()
            self._up_timer = None

    def _time_out(self, call: _Call) -> None:
        self.counts.timed_out_calls += 1
        self._forget(call)
        self.loop.soon(call.done, None, CallTimeoutError(call.method))
        connection = self._connection
        if connection is None or not connection.came_up or connection.last_received >= call.made:
            return
        if call.taken_before in (None, connection.gone_out):  # else the other side takes a long call slowly
            self.counts.silent_peers += 1
            connection.close()

    def _forget(self, call: _Call) -> None:
        del self._calls[call.seqid]
        call.timer.cancel()
        if self._connection is None:
            self._pending_bytes -= len(call.argument)

    def _fail_all(self, error: CallError) -> None:
        calls, self._calls = self._calls, {}
        self._pending_bytes = 0
        for call in calls.values():
            call.timer.cancel()
            self.loop.soon(call.done, None, error)
