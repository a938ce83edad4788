"""The control plane's process: parts of the control state, the operator's calls, the feed."""

from collections.abc import Callable
from random import Random

from ..configuration.codes import ResultCode
from ..configuration.items import canonical
from ..configuration.needs import CONTROL_PLANE_NEEDS
from ..configuration.process import ProcessSettings
from ..configuration.view import RouteTable
from ..feed.follower import Follower
from ..feed.journal import Journal
from ..feed.messages import POLL, PollReply, PollRequest
from ..feed.packing import PackedResponder, Packer
from ..feed.publisher import Publisher
from ..feed.topics import SOFT_TOPICS, Topic
from ..http.client import HttpClient
from ..http.server import HttpServer, ServerLimits
from ..net.log import say
from ..process import FLEET, MILLISECOND, Program
from ..rpc.channel import Channel
from ..rpc.server import RpcServer
from .calls import CALL_TIMEOUT, Reading, Submission
from .commands import Command, Result, decode_command
from .configuration_feed import ConfigurationFeed
from .kept_reader import KeptReader
from .messages import (
    COMMAND,
    READ as READ_CALL,
    REPLICATE,
    CommandCall,
    CommandReply,
    ReadCall,
    ReadReply,
    ReplicaMessage,
)
from .operator import OperatorCalls
from .part import Part
from .parts import CONFIGURATION_PART
from .platform_list import PlatformList
from .replicas import ROLE, Replicas
from .rollouts import Rollouts
from .voters import Voters

DATA_PLANE_ROLE = "dataplane"
BODY_BYTES = 6 << 20  # of an operator's call
MOST_ENTRIES = 2_000_000  # of the feed
TICK_MS = 20
SLOW_TICK_MS = 500
VOTERS_TICK_MS = 100
STOP_WITHIN_MS = 1500
GRACE_MARGIN_MS = 2000  # of the grace, for which a process that is still needed by the log doesn't wait


class ControlPlane(Program):
    """One control process."""

    needed_settings = CONTROL_PLANE_NEEDS

    def __init__(self, settings: ProcessSettings):
        super().__init__(settings)
        self.identity = f"{settings.ip}:{settings.port_first}"
        self.random = Random(f"{settings.node_name}/{self.loop.now()}")
        self.journal = Journal(self.random.getrandbits(62) + 1, MOST_ENTRIES)
        self.publisher = Publisher(self.journal, self.loop.now, settings.node_name)
        self.publisher.reply_decorator = self._decorate
        self.packer = Packer()
        self.channels: dict[str, Channel] = {}
        self.followers: dict[str, Follower] = {}
        self.http = HttpClient(self.loop)
        self.table: RouteTable | None = None
        self.configuration_feed = ConfigurationFeed(
            self.journal,
            self.after,
            lambda: self.parts[CONFIGURATION_PART].state,
            self._configuration_fed,
        )
        self.leader_heard = 0  # ns, when part 0 last had a leader

    # Start and stop.

    def start(self) -> None:
        settings = self.settings
        self.replicas = Replicas(self, self._applied)
        self.parts, self.storage, self.disk = self.replicas.parts, self.replicas.storage, self.replicas.disk
        self.rpc = RpcServer(self.loop, (settings.ip, settings.port_first), FLEET)
        self.rpc.register(REPLICATE, ReplicaMessage, self.replicas.receive)
        self.rpc.register(COMMAND, CommandCall, self._command)
        self.rpc.register(READ_CALL, ReadCall, self._read)
        self.rpc.register(POLL, PollRequest, self._poll)
        self.operator = OperatorCalls(self, self.counters)
        self.door = HttpServer(
            self.loop, settings.control_plane, self.operator.handle, ServerLimits(body_bytes=BODY_BYTES)
        )
        self.join(ROLE)
        self.platform = PlatformList(
            self.loop, settings, self.journal, self.http, lambda: self.parts[0].leads, self.counters
        )
        self.rollouts = Rollouts(self)
        self.voters = Voters(self)
        self.kept = KeptReader(self)
        self._tick()
        self._slow_tick()
        self._voters_tick()
        say("state", f"control plane {self.identity} starts")

    def stop(self) -> None:
        """Names successors for what it leads, and ends when they have taken over or soon."""
        self.stop_at = self.loop.now()
        self.membership.leave()
        self.replicas.leave(self.stop_at)
        self._end_when_handed_over()

    def _end_when_handed_over(self) -> None:
        self.replicas.hand_over()
        waited = (self.loop.now() - self.stop_at) // MILLISECOND
        leads = any(part.leads for part in self.parts)
        needed = (
            not self.replicas.may_leave() and waited < self.settings.bounds.grace_s * 1000 - GRACE_MARGIN_MS
        )
        done = not leads and waited >= 300 and not self.door.busy
        if not needed and (waited >= STOP_WITHIN_MS or done):
            self.door.close()
            self.finish()
        else:
            self.after(20, self._end_when_handed_over)

    def figures(self) -> dict[str, int]:
        figures = self.replicas.figures()
        figures["feed.entries"] = len(self.journal)
        return figures

    # Time.

    def _tick(self) -> None:
        self.after(TICK_MS, self._tick)
        now = self.loop.now()
        self.replicas.tick(now)
        due = self.publisher.due
        if due is not None and due <= now:
            self.publisher.tick(now)
        if self.parts[0].replica.leader is not None:
            self.leader_heard = now

    def _slow_tick(self) -> None:
        self.after(SLOW_TICK_MS, self._slow_tick)
        self.replicas.compact()
        self._follow_others()
        count = self.membership.count_upper_bound(DATA_PLANE_ROLE, self.loop.now())
        self.journal.set(Topic.BALANCERS, "count", str(count).encode())

    def _voters_tick(self) -> None:
        self.after(VOTERS_TICK_MS, self._voters_tick)
        now = self.loop.now()
        self.voters.check(now)
        self.replicas.ask_to_join(now)

    def channel(self, identity: str) -> Channel:
        """The way to another control process."""
        channel = self.channels.get(identity)
        if channel is None:
            host, _, port = identity.rpartition(":")
            channel = self.channels[identity] = Channel(self.loop, (host, int(port)), FLEET)
        return channel

    # Commands.

    def submit(self, number: int, command: Command, done: Callable[[Result | None], None]) -> None:
        """Has the part's leader carry the command out, wherever it is; `done` is called once."""
        Submission(self, number, command, done).attempt()

    def decide(self, number: int, command: Command, done: Callable[[Result | None], None]) -> bool:
        """Carries the command out if this process leads; False when it does not."""
        part = self.parts[number]
        if not part.leads:
            return False
        if number == CONFIGURATION_PART and part.replica.lease_valid(self.loop.now()):
            result, configuration = part.state.judge(command)
            if configuration is None and result.status != 200:
                done(result)
                return True
        return part.propose(self.loop.now(), command, done)

    def _command(self, argument: CommandCall, respond, peer) -> None:
        def decided(result: Result | None) -> None:
            if result is None:
                respond(CommandReply(decided=False, result=b""))
            else:
                respond(CommandReply(decided=True, result=result.encode()))

        try:
            command = decode_command(argument.command)
        except (ValueError, TypeError):
            self.counters.add("commands.unreadable")
            decided(Result(400, int(ResultCode.CONTROL_UNREADABLE)))
            return
        if not 0 <= argument.part < len(self.parts) or not self.decide(argument.part, command, decided):
            decided(None)

    def read_configuration(self, done: Callable[[bytes | None], None]) -> None:
        """The newest configuration, confirmed by a majority."""
        Reading(self, done).attempt()

    def read_here(self, done: Callable[[bytes | None], None]) -> bool:
        """Reads if this process leads part 0; False when it does not."""
        part = self.parts[CONFIGURATION_PART]
        if not part.leads:
            return False
        token = part.replica.read_index(self.loop.now())
        part.pump()
        self._await_read(part, token, done, self.loop.now() + CALL_TIMEOUT)
        return True

    def _await_read(self, part: Part, token, done, until: int) -> None:
        confirmed = part.replica.read_ready(token)
        if confirmed and part.replica.applied_index >= token.index:
            configuration = part.state.configuration
            done(canonical(configuration) if configuration is not None else b"")
        elif confirmed is None or self.loop.now() >= until:
            done(None)
        else:
            self.after(5, lambda: self._await_read(part, token, done, until))

    def _read(self, argument: ReadCall, respond, peer) -> None:
        def told(body: bytes | None) -> None:
            respond(ReadReply(decided=body is not None, body=body or b""))

        if not self.read_here(told):
            told(None)

    def any_other(self) -> str | None:
        """Another control process that is alive, drawn by lot."""
        alive = [f"{m.address[0]}:{m.address[1]}" for m in self.membership.alive(ROLE)]
        others = [identity for identity in alive if identity != self.identity]
        return self.random.choice(others) if others else None

    def service_of_model(self, model: str) -> str:
        """The service whose hosts run the model; the model's own name while none is known."""
        if self.table is not None:
            for name in self.table.service_names:
                if model in self.table.models_of(name):
                    return name
        return model

    # The feed.

    def _applied(self, part: Part) -> None:
        """The part's state has changed."""
        if part.number == CONFIGURATION_PART:
            self.configuration_feed.publish()
            return
        with self.journal.batch():
            for model, revision in part.state.revisions.items():
                known = self.journal.get(Topic.TARGET, model)
                if known is None or int(known) < revision:
                    self.journal.set(Topic.TARGET, model, str(revision).encode())
        self.rollouts.wake()

    def _configuration_fed(self, table: RouteTable) -> None:
        """A revision of the configuration has been fed."""
        self.table = table
        say("configuration", f"revision {table.revision} taken")

    def _decorate(self, reply: PollReply) -> None:
        age = (self.loop.now() - self.leader_heard) // MILLISECOND if self.leader_heard else -1
        reply.leader_age_ms = min(age, 1 << 30)
        reply.members = list(self.parts[0].replica.members.all) or [self.identity]

    def _follow_others(self) -> None:
        others = {peer for peer in self.parts[0].replica.members.all if peer != self.identity}
        others |= {f"{m.address[0]}:{m.address[1]}" for m in self.membership.alive(ROLE)} - {self.identity}
        for peer in others - self.followers.keys():
            settings = self.settings
            self.followers[peer] = Follower(
                self.loop,
                self.channel(peer),
                settings.node_name,
                ROLE,
                settings.zone,
                SOFT_TOPICS,
                self._told,
            )
        for peer in self.followers.keys() - others:
            self.followers.pop(peer).stop()

    def _poll(self, request: PollRequest, respond, peer) -> None:
        self.publisher.poll(request, PackedResponder(self.packer, respond))

    def _told(self, follower: Follower, snapshot: bool, changes, reply) -> None:
        with self.journal.batch():
            for change in changes:
                if change.value is None:
                    continue
                if change.topic == Topic.LOAD:
                    self.rollouts.told(change)
                else:
                    self.platform.told(change)
