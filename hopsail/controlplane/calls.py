"""Operators' calls on their way to the leader of a part, from whichever control process took them."""

from ..process import MILLISECOND
from ..rpc.channel import Channel
from .commands import Command, decode_result
from .messages import COMMAND, READ, CommandCall, CommandReply, ReadCall, ReadReply
from .parts import CONFIGURATION_PART

ANSWER_WITHIN = 850 * MILLISECOND  # the operator moves on after a second of silence
AGAIN_AFTER_MS = 40  # until a command is offered again while no leader takes it
CALL_TIMEOUT = 700 * MILLISECOND


class RetriedCall:
    """Asks this process or the leader, again and again until something is known or the time is over."""

    def __init__(self, plane, done):
        self.plane, self.done = plane, done
        self.until = plane.loop.now() + ANSWER_WITHIN
        self.timer = plane.loop.at(self.until, lambda: self.finish(None))

    number = CONFIGURATION_PART

    def attempt(self) -> None:
        if self.done is None:
            return
        if self.plane.loop.now() >= self.until:  # frozen meanwhile: whoever asked has moved on
            self.finish(None)
            return
        if self.here():
            return
        replica = self.plane.parts[self.number].replica
        leader = replica.leader
        if leader is None and self.plane.identity not in replica.members.all:
            leader = self.plane.any_other()  # no member hears of a leader, but others do
        if leader is None or leader == self.plane.identity:
            self.again()
        else:
            self.there(self.plane.command_channel(leader), max(1, self.until - self.plane.loop.now()))

    def here(self) -> bool:
        raise NotImplementedError

    def there(self, channel: Channel, timeout: int) -> None:
        raise NotImplementedError

    def again(self) -> None:
        self.plane.after(AGAIN_AFTER_MS, self.attempt)

    def told(self, answer) -> None:
        """None: not known yet."""
        if answer is None:
            self.again()
        else:
            self.finish(answer)

    def finish(self, answer) -> None:
        done, self.done = self.done, None
        if done is not None:
            self.timer.cancel()
            done(answer)


class Submission(RetriedCall):
    """A command on its way; sent again it does no harm, as each part knows what it has taken."""

    def __init__(self, plane, number: int, command: Command, done):
        super().__init__(plane, done)
        self.number, self.command = number, command

    def here(self) -> bool:
        return self.plane.decide(self.number, self.command, self.told)

    def there(self, channel: Channel, timeout: int) -> None:
        call = CommandCall(part=self.number, command=self.command.encode())
        channel.call(COMMAND, call, CommandReply, self._replied, min(timeout, CALL_TIMEOUT))

    def _replied(self, reply: CommandReply | None, error) -> None:
        self.told(decode_result(reply.result) if reply is not None and reply.decided else None)


class Reading(RetriedCall):
    """A read of the configuration on its way."""

    def here(self) -> bool:
        return self.plane.read_here(self.told)

    def there(self, channel: Channel, timeout: int) -> None:
        call = ReadCall(part=self.number)
        channel.call(READ, call, ReadReply, self._replied, min(timeout, CALL_TIMEOUT))

    def _replied(self, reply: ReadReply | None, error) -> None:
        self.told(reply.body if reply is not None and reply.decided else None)
