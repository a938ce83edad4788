"""Operators' calls on their way to the leader of a shard, from whichever control process took them."""

from collections.abc import Callable

from ..process import MILLISECOND
from ..rpc.channel import Channel
from .commands import Command, Result, decode_result
from .evacuations import is_superseded
from .messages import COMMAND, READ, CommandCall, CommandReply, ReadCall, ReadReply
from .shards import CONFIGURATION_SHARD

ANSWER_TIMEOUT_NS = 850 * MILLISECOND  # the operator moves on after a second of silence
RETRY_INTERVAL_MS = 40  # until a command is offered again while no leader takes it
CALL_TIMEOUT_NS = 700 * MILLISECOND
CALLER_CHECK_MS = 20  # after which the end of a connection that the caller has given up has come, too


class RetriedCall:
    """Asks this process or the leader, again and again until something is known or the time is over."""

    def __init__(self, decisions, done):
        self.decisions, self.process, self.done = decisions, decisions.process, done
        self.until = self.process.loop.now() + ANSWER_TIMEOUT_NS
        self.timer = self.process.loop.at(self.until, lambda: self.finish(None))

    number = CONFIGURATION_SHARD

    def attempt(self) -> None:
        if self.done is None:
            return
        if self.process.loop.now() >= self.until:  # frozen meanwhile: whoever asked has moved on
            self.finish(None)
            return
        if self.attempt_here():
            return
        replica = self.process.shards[self.number].replica
        leader = replica.leader
        if leader is None and self.process.identity not in replica.members.all:
            leader = self.process.any_other()  # no member hears of a leader, but others do
        if leader is None or leader == self.process.identity:
            self.retry_later()
        else:
            self.forward(self.process.command_channel(leader), max(1, self.until - self.process.loop.now()))

    def attempt_here(self) -> bool:
        raise NotImplementedError

    def forward(self, channel: Channel, timeout: int) -> None:
        raise NotImplementedError

    def retry_later(self) -> None:
        self.process.after(RETRY_INTERVAL_MS, self.attempt)

    def report(self, answer) -> None:
        """None: not known yet."""
        if answer is None:
            self.retry_later()
        else:
            self.finish(answer)

    def finish(self, answer) -> None:
        done, self.done = self.done, None
        if done is not None:
            self.timer.cancel()
            done(answer)


class Submission(RetriedCall):
    """A command on its way; sent again it does no harm, as each shard knows what it has taken."""

    def __init__(self, decisions, number: int, command: Command, done):
        super().__init__(decisions, done)
        self.number, self.command = number, command

    def attempt_here(self) -> bool:
        return self.decisions.decide(self.number, self.command, self.report)

    def forward(self, channel: Channel, timeout: int) -> None:
        call = CommandCall(shard=self.number, command=self.command.encode())
        channel.call(COMMAND, call, CommandReply, self._replied, min(timeout, CALL_TIMEOUT_NS))

    def _replied(self, reply: CommandReply | None, error) -> None:
        self.report(decode_result(reply.result) if reply is not None and reply.decided else None)


class ZoneOrder(Submission):
    """An order on a zone on its way, offered only while its caller is known to wait.

    A pause of this process, or a broken link, may bring the call long after its caller has turned elsewhere.
    So it begins after `CALLER_CHECK_MS`, with the number of the order that was the newest when it came. One
    that another order came before is offered again on that one's number, within the call's time."""

    def __init__(self, decisions, number: int, command: Command, is_awaited: Callable[[], bool], done):
        super().__init__(decisions, number, command, done)
        self.is_awaited = is_awaited

    def begin(self) -> None:
        """Offers the order a moment from now."""
        self.process.after(CALLER_CHECK_MS, self.attempt)

    def attempt(self) -> None:
        if self.is_awaited():
            super().attempt()
        else:
            self.finish(None)

    def report(self, answer: Result | None) -> None:
        if is_superseded(answer):
            self.command = self.command._replace(base=answer.value)
            answer = None
        super().report(answer)


class ConfigurationRead(RetriedCall):
    """A read of the configuration on its way."""

    def attempt_here(self) -> bool:
        return self.decisions.read_here(self.report)

    def forward(self, channel: Channel, timeout: int) -> None:
        call = ReadCall(shard=self.number)
        channel.call(READ, call, ReadReply, self._replied, min(timeout, CALL_TIMEOUT_NS))

    def _replied(self, reply: ReadReply | None, error) -> None:
        self.report(reply.body if reply is not None and reply.decided else None)
