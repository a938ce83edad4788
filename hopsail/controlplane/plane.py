"""The control plane's process: parts of the control state, the operator's calls, the feed."""

import os
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
from ..net.loop import READ
from ..process import FLEET, MILLISECOND, Program, StartError
from ..replication.disk_thread import DiskThread
from ..replication.messages import MessageError, decode, encode
from ..replication.replica import Replica
from ..replication.state import DurableState, Members, Ready, ReplicaRules
from ..replication.storage import PartWrite, Storage, StorageError
from ..rpc.channel import Channel
from ..rpc.server import RpcServer
from .calls import CALL_TIMEOUT, Reading, Submission
from .commands import Command, Result, decode_command
from .configuration_feed import ConfigurationFeed
from .configuration_state import ConfigurationState
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
from .parts import CONFIGURATION_PART, PART_NAMES
from .platform_list import PlatformList
from .rollouts import Rollouts
from .service_state import ServiceState
from .voters import Voters

ROLE = "controlplane"
DATA_PLANE_ROLE = "dataplane"
BODY_BYTES = 6 << 20  # of an operator's call
MOST_ENTRIES = 2_000_000  # of the feed
TICK_MS = 20
SLOW_TICK_MS = 500
STALL_TIME = 400 * MILLISECOND  # a write that takes longer costs the leadership
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
        self._open_storage()
        self.rpc = RpcServer(self.loop, (settings.ip, settings.port_first), FLEET)
        self.rpc.register(REPLICATE, ReplicaMessage, self._replicate)
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

    def _open_storage(self) -> None:
        os.makedirs(self.settings.data_path, exist_ok=True)
        try:
            self.storage = Storage.open(self.settings.data_path, PART_NAMES)
        except StorageError as error:
            raise StartError(f"{self.settings.data_path}: {error}") from error
        bootstrapping = self.settings.bootstrap and self.storage.empty
        self.parts = [self._part(number, bootstrapping) for number in range(len(PART_NAMES))]
        self.disk = DiskThread(self.storage, self.loop.now)
        self.loop.watch(self.disk.descriptor, READ, self._written)

    def _part(self, number: int, bootstrapping: bool) -> Part:
        durable = self.storage.load(PART_NAMES[number])
        recovering = durable is None and not bootstrapping
        if durable is None:
            members = Members(tuple(sorted(f"{host}:{port}" for host, port in self.seeds)))
            durable = DurableState(members=members if bootstrapping else Members(), recovered=bootstrapping)
        replica = Replica(ReplicaRules(self.identity), self.random, self.loop.now(), durable, recovering)
        if number == CONFIGURATION_PART:
            state, decode_state = ConfigurationState(), ConfigurationState.decode
            apply = _apply_configuration
        else:
            state, decode_state = ServiceState(), ServiceState.decode
            apply = _apply_service
        return Part(
            number, replica, state, decode_state, apply, self._store, self._send_replica, self._applied
        )

    def stop(self) -> None:
        """Names successors for what it leads, and ends when they have taken over or soon."""
        self.stop_at = self.loop.now()
        self.membership.leave()
        for part in self.parts:
            part.replica.leave(self.stop_at)
        self._end_when_handed_over()

    def _hand_over(self) -> None:
        """Names a successor for each part that is led here, again if it was not possible before."""
        for part in self.parts:
            if part.leads:
                part.replica.transfer(self.loop.now(), None)
                part.pump()

    def _end_when_handed_over(self) -> None:
        self._hand_over()
        waited = (self.loop.now() - self.stop_at) // MILLISECOND
        leads = any(part.leads for part in self.parts)
        needed = not self._may_leave() and waited < self.settings.bounds.grace_s * 1000 - GRACE_MARGIN_MS
        done = not leads and waited >= 300 and not self.door.busy
        if not needed and (waited >= STOP_WITHIN_MS or done):
            self.door.close()
            self.finish()
        else:
            self.after(20, self._end_when_handed_over)

    def _may_leave(self) -> bool:
        """Whether what each part holds is on a majority without this process, or it has waited in vain."""
        now = self.loop.now()
        return all(part.replica.may_leave(now) for part in self.parts)

    def figures(self) -> dict[str, int]:
        figures = {f"part.{part.number}.index": part.replica.commit_index for part in self.parts}
        figures["log.unreadable"] = sum(part.dropped_entries for part in self.parts)
        figures["disk.torn"] = self.storage.torn_records
        figures["disk.damaged"] = self.storage.damaged_records
        figures["disk.compaction_failures"] = self.disk.compaction_errors
        figures["feed.entries"] = len(self.journal)
        return figures

    # Time.

    def _tick(self) -> None:
        self.after(TICK_MS, self._tick)
        now = self.loop.now()
        for part in self.parts:
            if part.replica.due <= now:
                part.replica.tick(now)
            part.pump()
        if self.disk.oldest_age(now) > STALL_TIME:
            for part in self.parts:
                if part.leads:
                    part.replica.storage_stalled(now)
                    part.pump()
        due = self.publisher.due
        if due is not None and due <= now:
            self.publisher.tick(now)
        if self.parts[0].replica.leader is not None:
            self.leader_heard = now

    def _slow_tick(self) -> None:
        self.after(SLOW_TICK_MS, self._slow_tick)
        for part in self.parts:
            part.compact()
        self._follow_others()
        count = self.membership.count_upper_bound(DATA_PLANE_ROLE, self.loop.now())
        self.journal.set(Topic.BALANCERS, "count", str(count).encode())

    def _voters_tick(self) -> None:
        self.after(VOTERS_TICK_MS, self._voters_tick)
        now = self.loop.now()
        self.voters.check(now)
        others = {f"{m.address[0]}:{m.address[1]}" for m in self.membership.alive(ROLE)}
        others |= {f"{host}:{port}" for host, port in self.seeds}
        for part in self.parts:
            part.replica.ask_to_join(now, others - {self.identity})
            part.pump()

    # The log.

    def _store(self, part: Part, ready: Ready) -> None:
        self.disk.submit([PartWrite(PART_NAMES[part.number], ready)], (part, ready.serial))

    def _written(self, _mask) -> None:
        now = self.loop.now()
        for (part, serial), error in self.disk.collect():
            if error is None:
                part.replica.persisted(now, serial)
            else:
                self.counters.add("disk.failures")
                part.replica.storage_failed(now)
            part.pump()

    def channel(self, identity: str) -> Channel:
        """The way to another control process."""
        channel = self.channels.get(identity)
        if channel is None:
            host, _, port = identity.rpartition(":")
            channel = self.channels[identity] = Channel(self.loop, (host, int(port)), FLEET)
        return channel

    def _send_replica(self, part: Part, peer: str, message) -> None:
        body = ReplicaMessage(part=part.number, sender=self.identity, body=encode(message))
        self.channel(peer).send(REPLICATE, body)

    def _replicate(self, argument: ReplicaMessage, respond, peer) -> None:
        if not 0 <= argument.part < len(self.parts):
            return
        try:
            message = decode(argument.body)
        except MessageError:
            self.counters.add("replication.unreadable")
            return
        part = self.parts[argument.part]
        part.replica.receive(self.loop.now(), argument.sender, message)
        part.pump()

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


def _apply_configuration(state: ConfigurationState, index: int, command: Command) -> Result:
    return state.apply(command)


def _apply_service(state: ServiceState, index: int, command: Command) -> Result:
    return state.apply(index, command)
