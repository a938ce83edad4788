"""The control plane's process: parts of the control state, the operator's calls, the feed."""

import os
from random import Random

from ..configuration.needs import CONTROL_PLANE_NEEDS
from ..configuration.process import ProcessSettings
from ..configuration.view import RouteTable
from ..feed.journal import Change, Journal
from ..feed.messages import POLL, PollRequest
from ..feed.topics import Topic
from ..http.client import HttpClient
from ..http.message import Request
from ..http.server import Exchange, HttpServer, ServerLimits
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
from .commands import Command, Result
from .configuration_feed import ConfigurationFeed
from .configuration_state import ConfigurationState
from .contact import CONFIRM, ConfirmCall
from .decisions import STEP_PAUSE_MS, Decisions
from .feeds import ROLE, Feeds
from .kept_reader import KeptReader
from .messages import (
    COMMAND,
    READ as READ_CALL,
    REPLICATE,
    CommandCall,
    ReadCall,
    ReplicaMessage,
)
from .operator import OperatorCalls
from .part import Part
from .parts import CONFIGURATION_PART, PART_NAMES
from .platform_list import PlatformList
from .rollouts import Rollouts
from .service_state import ServiceState
from .stopping import Ending
from .voters import Voters

DATA_PLANE_ROLE = "dataplane"
BODY_BYTES = 6 << 20  # of an operator's call
MOST_ENTRIES = 2_000_000  # of the feed
TICK_MS = 20
SLOW_TICK_MS = 500
STALL_TIME = 400 * MILLISECOND  # a write that takes longer costs the leadership


class ControlPlane(Program, Decisions):
    """One control process."""

    needed_settings = CONTROL_PLANE_NEEDS

    def __init__(self, settings: ProcessSettings):
        super().__init__(settings)
        self.identity = f"{settings.ip}:{settings.port_first}"
        self.random = Random(f"{settings.node_name}/{self.loop.now()}")
        self.journal = Journal(self.random.getrandbits(62) + 1, MOST_ENTRIES)
        self.channels: dict[str, Channel] = {}
        self.http = HttpClient(self.loop)
        self.table: RouteTable | None = None
        self.configuration_feed = ConfigurationFeed(
            self.journal,
            self.after,
            lambda: self.parts[CONFIGURATION_PART].state,
            self._configuration_fed,
        )
        self.ending: Ending | None = None

    # Start and stop.

    def start(self) -> None:
        settings = self.settings
        self._open_storage()
        self.feeds = self._feeds()
        self.rpc = RpcServer(self.loop, (settings.ip, settings.port_first), FLEET)
        self.rpc.register(REPLICATE, ReplicaMessage, self._replicate)
        self.rpc.register(COMMAND, CommandCall, self._command)
        self.rpc.register(READ_CALL, ReadCall, self._read)
        self.rpc.register(POLL, PollRequest, self.feeds.poll)
        self.rpc.register(CONFIRM, ConfirmCall, self.feeds.contact.answer)
        self.operator = OperatorCalls(self, self.counters)
        self.door = HttpServer(
            self.loop, settings.control_plane, self._operator_call, ServerLimits(body_bytes=BODY_BYTES)
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
            number,
            replica,
            state,
            decode_state,
            apply,
            self._store,
            self._send_replica,
            self._applied,
            ConfigurationState.judging if number == CONFIGURATION_PART else None,
            lambda act: self.after(STEP_PAUSE_MS, act),
        )

    def stop(self) -> None:
        """Hands over what it leads, and ends when the others can go on without it or the grace is over."""
        self.membership.leave()
        self.ending = Ending(
            self.loop,
            self.identity,
            self.parts,
            self.door,
            self.rpc,
            self.feeds.publisher,
            self.settings.bounds.grace_s * 1000,
            self.finish,
        )
        self.ending.step()

    def _operator_call(self, request: Request, exchange: Exchange) -> None:
        if self.ending is None or self.ending.takes_calls:
            self.operator.handle(request, exchange)
        else:
            self.operator.refuse(exchange)

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
        self.feeds.tick()

    def _slow_tick(self) -> None:
        self.after(SLOW_TICK_MS, self._slow_tick)
        self.voters.check(self.loop.now())
        for part in self.parts:
            part.compact()
        self.feeds.follow_others()
        count = self.membership.count_upper_bound(DATA_PLANE_ROLE, self.loop.now())
        self.journal.set(Topic.BALANCERS, "count", str(count).encode())

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

    # Other processes and services.

    def any_other(self) -> str | None:
        """Another control process that is alive, drawn by lot."""
        others = [identity for identity in self._alive_controls() if identity != self.identity]
        return self.random.choice(others) if others else None

    def _alive_controls(self) -> list[str]:
        return [f"{m.address[0]}:{m.address[1]}" for m in self.membership.alive(ROLE)]

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

    def _feeds(self) -> Feeds:
        part = self.parts[CONFIGURATION_PART]
        return Feeds(
            self.loop,
            self.settings,
            self.identity,
            self.journal,
            part.replica,
            self.channel,
            lambda: self.configuration_feed.is_current,
            lambda: set(self._alive_controls()),
            self._told,
        )

    def _told(self, changes: list[Change]) -> None:
        """News from another control process."""
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
