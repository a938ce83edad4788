"""Commands and reads at a control process: offered to the shard's leader, decided and confirmed there.

No clock decides anything here. A change is acknowledged by its entry: committed, synced by a majority, and
applied. All else that is told of a configuration (a refusal, a change that was taken before, a read) is told
after a round that was begun when the call was there already, and that a majority has confirmed, on a state
that holds all that was committed when the round began. So what is told was true at a moment between the call
and its answer, however long the process is frozen in between and whatever the clocks of the machines do; a
process without a majority tells nothing."""

from collections.abc import Callable, Generator
from typing import Protocol

from ..configuration.codes import ResultCode
from ..configuration.items import canonical
from ..net.counters import Counters
from ..net.loop import Loop
from ..replication.state import ReadToken
from ..rpc.channel import Channel
from .commands import Command, CommandKind, Result, decode_command
from .forwarding import CALL_TIMEOUT_NS, ConfigurationRead, Submission, ZoneOrder
from .messages import CommandCall, CommandReply, ReadCall, ReadReply
from .shard import Done, Shard
from .shards import CONFIGURATION_SHARD, shard_of_zone

CHECK_INTERVAL_MS = 5  # whether a round is confirmed
STEP_INTERVAL_MS = 1  # between the steps of a judgement


class ControlProcess(Protocol):
    """What decisions need of the process that takes the calls."""

    identity: str
    loop: Loop
    counters: Counters
    shards: list[Shard]

    def after(self, milliseconds: float, act: Callable[[], None]) -> object:
        """Calls back once, so many ms from now."""

    def any_other(self) -> str | None:
        """Another control process that is alive."""

    def command_channel(self, identity: str) -> Channel:
        """The connection for operators' calls to another control process."""


class Decisions:
    """What a control process does with commands and reads, its own and those of other processes."""

    def __init__(self, process: ControlProcess) -> None:
        """The process's `shards` may be set later, before the first call."""
        self.process = process

    def submit(self, number: int, command: Command, done: Done) -> None:
        """Has the shard's leader carry the command out, wherever it is; `done` is called once."""
        Submission(self, number, command, done).attempt()

    def order_evacuation(
        self, kind: CommandKind, zone: str, is_awaited: Callable[[], bool], done: Done
    ) -> None:
        """Has an order on a zone carried out as long as its caller waits; `done` is called once."""
        number = shard_of_zone(zone)
        newest = self.process.shards[number].state.evacuations.newest(zone)
        command = Command(kind, newest.number, zone, 0, "", b"")
        ZoneOrder(self, number, command, is_awaited, done).begin()

    def decide(self, number: int, command: Command, done: Done) -> bool:
        """Carries the command out if this process leads; False when it does not."""
        shard = self.process.shards[number]
        if not shard.leads:
            return False
        if number == CONFIGURATION_SHARD:
            self._decide_change(shard, command, done)
            return True
        return shard.propose(self.process.loop.now(), command, done)

    def _decide_change(self, shard: Shard, command: Command, done: Done) -> None:
        """Decides a change; one that comes again meanwhile waits, so that it is in the log once."""
        waiting = shard.deciding.get(command)
        if waiting is not None:
            waiting.append(lambda: self.decide(shard.number, command, done) or done(None))
            return

        def decided(result: Result | None) -> None:
            for act in shard.deciding.pop(command):
                self.process.loop.soon(act)
            done(result)

        shard.deciding[command] = []
        Decision(self.process, shard, command, decided).begin()

    def read_configuration(self, done: Callable[[bytes | None], None]) -> None:
        """The newest configuration, confirmed by a majority."""
        ConfigurationRead(self, done).attempt()

    def read_here(self, done: Callable[[bytes | None], None]) -> bool:
        """Reads if this process leads shard 0; False when it does not."""
        shard = self.process.shards[CONFIGURATION_SHARD]
        if not shard.leads:
            return False

        def confirmed(is_confirmed: bool) -> None:
            if not is_confirmed:
                done(None)
                return
            configuration = shard.state.configuration
            done(canonical(configuration) if configuration is not None else b"")

        Confirmation(self.process, shard, confirmed).begin()
        return True

    # Calls of other control processes.

    def answer_command(
        self, argument: CommandCall, respond: Callable[[CommandReply], None], peer: object
    ) -> None:
        """Another process passes a command on."""

        def decided(result: Result | None) -> None:
            if result is None:
                respond(CommandReply(decided=False, result=b""))
            else:
                respond(CommandReply(decided=True, result=result.encode()))

        try:
            command = decode_command(argument.command)
        except (ValueError, TypeError):
            self.process.counters.add("commands.unreadable")
            decided(Result.rejection(ResultCode.CONTROL_UNREADABLE))
            return
        if not 0 <= argument.shard < len(self.process.shards) or not self.decide(
            argument.shard, command, decided
        ):
            decided(None)

    def answer_read(self, argument: ReadCall, respond: Callable[[ReadReply], None], peer: object) -> None:
        """Another process passes a read on."""

        def answer(body: bytes | None) -> None:
            respond(ReadReply(decided=body is not None, body=body or b""))

        if not self.read_here(answer):
            answer(None)


class Confirmation:
    """Tells once whether this process still led the shard after the call, with the state up to date."""

    def __init__(self, process: ControlProcess, shard: Shard, done: Callable[[bool], None]):
        self.process, self.shard, self.done = process, shard, done
        self.until = process.loop.now() + CALL_TIMEOUT_NS
        self.token: ReadToken | None = None

    def begin(self) -> None:
        """Asks the members; the shard must be led here."""
        self.token = self.shard.replica.read_index(self.process.loop.now())
        self.shard.pump()
        self._look()

    def _look(self) -> None:
        confirmed = self.shard.replica.read_ready(self.token)
        if confirmed and self.shard.applied_index >= self.token.read_index:
            self.done(True)
        elif confirmed is None or self.process.loop.now() >= self.until:
            self.done(False)
        else:
            self.process.after(CHECK_INTERVAL_MS, self._look)


class Decision:
    """A change of the configuration where its shard is led.

    One that can be taken goes into the log, where its entry decides. Any other verdict is told once it holds
    on a state that is confirmed. `done(None)`: it is not known what becomes of the change."""

    def __init__(self, process: ControlProcess, shard: Shard, command: Command, done: Done):
        self.process, self.shard, self.command, self.done = process, shard, command, done
        self.until = process.loop.now() + CALL_TIMEOUT_NS
        self.steps: Generator | None = None

    def begin(self) -> None:
        """Judges the change on the state as it is now."""
        self._judge(self._confirm)

    def _judge(self, otherwise: Callable[[Result], None]) -> None:
        """Proposes the change if it can be taken, else calls `otherwise` with the verdict."""
        self.steps = self.shard.state.judging(self.command)
        self._step(otherwise)

    def _step(self, otherwise: Callable[[Result], None]) -> None:
        try:
            next(self.steps)
        except StopIteration:
            self._judged(otherwise)
        except Exception:
            self.done(None)
            raise
        else:
            self.process.after(STEP_INTERVAL_MS, lambda: self._step(otherwise))

    def _judged(self, otherwise: Callable[[Result], None]) -> None:
        if not self.shard.leads:
            self.done(None)
            return
        result, content = self.shard.state.judge(self.command)
        if content is None:
            otherwise(result)
        elif not self.shard.propose(self.process.loop.now(), self.command, self.done):
            self.done(None)

    def _confirm(self, _: Result) -> None:
        Confirmation(self.process, self.shard, self._confirmed).begin()

    def _confirmed(self, is_confirmed: bool) -> None:
        if is_confirmed:
            self._judge(self._refuse)
        else:
            self.done(None)

    def _refuse(self, verdict: Result) -> None:
        """Tells the verdict, unless the change may build on one that came before it and is under way."""
        if self.command.base <= self.shard.state.revision or self._is_first:
            self.done(verdict)
        elif self.process.loop.now() >= self.until:
            self.done(None)
        else:
            self.process.after(CHECK_INTERVAL_MS, lambda: self._judge(self._refuse))

    @property
    def _is_first(self) -> bool:
        """Whether no change that is being decided here came before this one."""
        return next(iter(self.shard.deciding)) == self.command
