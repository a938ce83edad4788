"""The end of a control process: it ends when the others can go on without it, or when the grace is over.

From SIGTERM to SIGKILL there is a stated time, the grace. Within it the process hands over what it leads,
waits until it has heard of a leader of each shard and what it holds is on a majority without it, and answers
the calls that it has taken. Only what cannot be had in that time, such as a successor while a majority is
down, is left when it ends."""

from collections.abc import Callable, Sequence

from ..feed.messages import POLL
from ..feed.publisher import Publisher
from ..http.server import HttpServer
from ..rpc.server import RpcServer
from ..tallies.messages import EXCHANGE, PUSH
from .shard import Shard

MILLISECOND = 1_000_000
REPEATED_METHODS = (POLL, PUSH, EXCHANGE)  # there is always one under way, and their callers ask again
STEP_INTERVAL_MS = 20
MIN_DURATION_MS = 300  # meanwhile others hear that this process leaves
LAST_CALLS_MARGIN_MS = 1500  # before the platform kills: a call that is taken now is answered in time
REPLICATION_MARGIN_MS = 2000  # before the platform kills: entries without a majority are given up
ANSWERS_MARGIN_MS = 600  # before the platform kills: the operator's connections end
CLOSE_MARGIN_MS = 250  # before the platform kills: the process ends, whatever is left


class Ending:
    """Ends a control process in order; `finish` is called once."""

    def __init__(
        self,
        loop,
        identity: str,
        shards: Sequence[Shard],
        listener: HttpServer,
        rpc: RpcServer,
        publisher: Publisher,
        grace_ms: float,
        finish: Callable[[], None],
    ):
        self.loop, self.identity, self.shards = loop, identity, shards
        self.listener, self.rpc, self.publisher, self.finish = listener, rpc, publisher, finish
        self.stopping_since = loop.now()
        killed_at = self.stopping_since + int(grace_ms * MILLISECOND)
        self.calls_until = killed_at - LAST_CALLS_MARGIN_MS * MILLISECOND
        self.replication_until = killed_at - REPLICATION_MARGIN_MS * MILLISECOND
        self.answers_until = killed_at - ANSWERS_MARGIN_MS * MILLISECOND
        self.closed_by = killed_at - CLOSE_MARGIN_MS * MILLISECOND
        self.connections_shut = self.released = False
        for shard in shards:
            shard.replica.leave(self.stopping_since)
        listener.drain()

    @property
    def takes_calls(self) -> bool:
        """Whether an operator's call that comes now would be answered in time."""
        return self.loop.now() < self.calls_until

    def may_end(self) -> bool:
        """Whether the others can go on without this process, as far as it can tell."""
        now = self.loop.now()
        if now < self.replication_until and not all(shard.replica.may_leave(now) for shard in self.shards):
            return False
        return all(self._is_handed_over(shard) for shard in self.shards)

    def step(self) -> None:
        """Does what is due, now and from time to time until the end."""
        now = self.loop.now()
        self._hand_over(now)
        if not self.connections_shut and (now >= self.answers_until or self._may_close(now)):
            self.connections_shut = True
            self.listener.shut()
        if now >= self.closed_by or (self.connections_shut and self.may_end() and self._has_answered()):
            self._end(now)
        else:
            self._step_again(now)

    def _step_again(self, now: int) -> None:
        self.loop.at(now + STEP_INTERVAL_MS * MILLISECOND, self.step)

    def _hand_over(self, now: int) -> None:
        """Names a successor for each shard that is led here, again if it was not possible before."""
        for shard in self.shards:
            if shard.leads:
                shard.replica.transfer(now, None)
                shard.pump()

    def _is_handed_over(self, shard: Shard) -> bool:
        """Whether another process leads the shard, as far as is known here."""
        replica = shard.replica
        if not replica.is_voter or replica.members.voters == (self.identity,):
            return True  # nobody waits for it, or there is nobody else
        return not shard.leads and replica.leader not in (None, self.identity)

    def _may_close(self, now: int) -> bool:
        waited = now - self.stopping_since >= MIN_DURATION_MS * MILLISECOND
        return waited and self.may_end() and not self.listener.busy

    def _has_answered(self) -> bool:
        return not self.listener.connections and not self.rpc.calls_in_flight(besides=REPEATED_METHODS)

    def _end(self, now: int) -> None:
        """Lets those go that wait for changes, and ends when that is out."""
        if not self.released and now < self.closed_by:
            self.released = True
            self.publisher.stop_parking()
            self._step_again(now)
            return
        self.listener.close()
        self.rpc.close()
        self.finish()
