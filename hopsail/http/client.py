"""One-shot HTTP/1.1 calls on the loop, with whole answers."""

from collections.abc import Callable

from .client_connection import MILLISECOND, AnswerEnd, ClientConnection, Failure
from .message import Headers, Response, ResponseHead, encode_request
from .pool import ConnectionPool

MOST_BODY = 32 << 20  # bytes of an answer
REPEATABLE_METHODS = frozenset(("GET", "HEAD"))
CLOSE = ("connection", "close")  # header of a call that shares its connection with no other


class _Call:
    """A one-shot call: collects the answer."""

    def __init__(self, repeatable: bool, done: Callable[[Response | None], None]):
        self.repeatable, self.done = repeatable, done
        self.response_head: ResponseHead | None = None
        self.data = bytearray()
        self.connection: ClientConnection | None = None
        self.timer = None

    def head(self, head: ResponseHead) -> bool:
        self.response_head = head
        return True

    def body(self, data: bytes):
        self.data += data
        if len(self.data) > MOST_BODY:
            self.give_up()

    def complete(self, end: AnswerEnd):
        head = self.response_head
        self._end(Response(head.status, head.headers, bytes(self.data)))

    def failed(self, failure: Failure):
        self._end(None)

    def give_up(self):
        """Too late or too long."""
        if self.connection is not None and self.repeatable:
            self.connection.abandon()
        elif self.connection is not None:
            self.connection.reset()
        self._end(None)

    def _end(self, response: Response | None):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        done, self.done = self.done, None
        if done is not None:
            done(response)


class HttpClient:
    """One-shot calls with whole answers; `done(None)` when there is none in time.

    The answer to a call bears no id. One that may not be repeated, or says that its connection is to be
    closed (`CLOSE`), goes on a connection that has carried nothing, where no late answer to an earlier call
    can pass for its own. What may not be repeated is not left on its way when it is given up."""

    def __init__(self, loop, pool: ConnectionPool | None = None):
        self.loop, self.pool = loop, pool or ConnectionPool(loop)

    def call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout: int = 1000 * MILLISECOND,
        done: Callable[[Response | None], None] = lambda response: None,
    ) -> None:
        """`timeout` in ns. `done` is called once, never from inside this call."""
        repeatable = method in REPEATABLE_METHODS
        call = _Call(repeatable, done)
        connection = self.pool.take(address, fresh=not repeatable or CLOSE in headers)
        if connection is None:
            self.loop.soon(call.failed, Failure.NOT_SENT)
            return
        named = list(headers)
        if not any(name == "host" for name, _ in named):
            named.insert(0, ("host", f"{address[0]}:{address[1]}"))
        call.connection = connection
        connection.carries_more = CLOSE not in headers
        until = self.loop.now() + timeout
        call.timer = self.loop.at(until, call.give_up)
        data = encode_request(method, target, named, body)
        connection.carry(lambda: data if self.loop.now() < until else None, call)
