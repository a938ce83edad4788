"""The control plane's process: shards of the control state, the operator's calls, the feed."""

from collections.abc import Callable
from random import Random

from ..configuration.required_settings import CONTROL_PLANE_SETTINGS
from ..configuration.process import ProcessSettings
from ..configuration.route_table import RouteTable
from ..event_log import get_logger
from ..feed.journal import Change, Journal
from ..feed.messages import POLL, PollRequest
from ..feed.topics import Topic
from ..http.client import HttpClient
from ..http.message import Request
from ..http.server import Exchange, HttpServer, ServerLimits
from ..process import FLEET, MILLISECOND, Program
from ..rpc.channel import USUAL_DIAL_TIMES, Channel, DialTimes
from ..rpc.server import RpcServer
from ..tallies.types import Add, AddDone
from .commands import Command, CommandKind
from .configuration_feed import ConfigurationFeed
from .contact import CONFIRM, ConfirmCall
from .decisions import Decisions
from .feeds import ROLE, Feeds
from .identities import address_of
from .messages import (
    COMMAND,
    REPLICATE,
    CommandCall,
    ReadCall,
    ReplicaMessage,
)
from .messages import (
    READ as READ_CALL,
)
from .operator import OperatorCalls
from .platform_list import PlatformList
from .prefix_cache_reader import PrefixCacheReader
from .replicas import Replicas
from .rollouts import Rollouts
from .shard import Done, Shard
from .shards import CONFIGURATION_SHARD
from .stopping import Ending
from .tallies import Tallies
from .voters import Voters

state_log = get_logger("state")
configuration_log = get_logger("configuration")
zones_log = get_logger("zones")

DATA_PLANE_ROLE = "dataplane"
MAX_BODY_BYTES = 6 << 20  # of an operator's call
MAX_FEED_ENTRIES = 2_000_000  # of the feed
TICK_MS = 20
SLOW_TICK_MS = 500
VOTERS_TICK_MS = 100
# Shorter than usual: dials show that a link is cut, or whole again, and callers of adds wait for that.
TALLY_DIAL_TIMES = DialTimes(up_within=300 * MILLISECOND, longest_back_off=250 * MILLISECOND)


class ControlPlane(Program):
    """One control process."""

    needed_settings = CONTROL_PLANE_SETTINGS

    def __init__(self, settings: ProcessSettings):
        super().__init__(settings)
        self.identity = f"{settings.ip}:{settings.port_first}"
        self.random = Random(f"{settings.node_name}/{self.loop.now()}")
        self.journal = Journal(self.random.getrandbits(62) + 1, MAX_FEED_ENTRIES)
        self.channels: dict[str, Channel] = {}
        self.command_channels: dict[str, Channel] = {}
        self.tally_channels: dict[str, Channel] = {}
        self.http = HttpClient(self.loop)
        self.table: RouteTable | None = None
        self.configuration_feed = ConfigurationFeed(
            self.journal,
            self.after,
            lambda: self.shards[CONFIGURATION_SHARD].state,
            self._configuration_fed,
        )
        self.decisions = Decisions(self)
        self.ending: Ending | None = None

    # Start and stop.

    def start(self) -> None:
        settings = self.settings
        self.replicas = Replicas(self, self._applied)
        self.shards, self.storage, self.disk = self.replicas.shards, self.replicas.storage, self.replicas.disk
        self.feeds = self._feeds()
        self.rpc = RpcServer(self.loop, (settings.ip, settings.port_first), FLEET)
        self.rpc.register(REPLICATE, ReplicaMessage, self.replicas.receive)
        self.rpc.register(COMMAND, CommandCall, self.decisions.answer_command)
        self.rpc.register(READ_CALL, ReadCall, self.decisions.answer_read)
        self.rpc.register(POLL, PollRequest, self.feeds.poll)
        self.rpc.register(CONFIRM, ConfirmCall, self.feeds.contact.answer)
        self.operator = OperatorCalls(self, self.counters)
        self.listener = HttpServer(
            self.loop, settings.control_plane, self._operator_call, ServerLimits(body_bytes=MAX_BODY_BYTES)
        )
        self.join(ROLE)
        self.tallies = Tallies(self, self.replicas.bootstrapping)
        self.tallies.register(self.rpc)
        self.platform = PlatformList(
            self.loop, settings, self.journal, self.http, lambda: self.shards[0].leads, self.counters
        )
        self.rollouts = Rollouts(self)
        self.voters = Voters(self)
        self.prefix_cache_reader = PrefixCacheReader(self)
        self._tick()
        self._slow_tick()
        self._voters_tick()
        state_log.info("control plane %s starts", self.identity)

    def stop(self) -> None:
        """Hands over what it leads, and ends when the others can go on without it or the grace is over."""
        self.membership.leave()
        self.ending = Ending(
            self.loop,
            self.identity,
            self.shards,
            self.listener,
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
        figures = self.replicas.figures()
        figures["feed.entries"] = len(self.journal)
        return figures | self.tallies.figures()

    # Operators' calls.

    def submit(self, number: int, command: Command, done: Done) -> None:
        """Has the shard's leader carry the command out, wherever it is; `done` is called once."""
        self.decisions.submit(number, command, done)

    def order_evacuation(
        self, kind: CommandKind, zone: str, is_awaited: Callable[[], bool], done: Done
    ) -> None:
        """Has an order on a zone carried out as long as its caller waits; `done` is called once."""
        self.decisions.order_evacuation(kind, zone, is_awaited, done)

    def read_configuration(self, done: Callable[[bytes | None], None]) -> None:
        """The newest configuration, confirmed by a majority."""
        self.decisions.read_configuration(done)

    def add_to_tally(self, add: Add, done: AddDone) -> None:
        """Adds to a tally, at this process; `done` is called once."""
        self.tallies.add(add, done)

    def tally_total(self, tally: str) -> int | None:
        """A tally's total as known here; None while this process may lack what others hold."""
        return self.tallies.total(tally)

    # Time.

    def _tick(self) -> None:
        self.after(TICK_MS, self._tick)
        now = self.loop.now()
        self.replicas.tick(now)
        self.feeds.tick()

    def _slow_tick(self) -> None:
        self.after(SLOW_TICK_MS, self._slow_tick)
        self.replicas.compact()
        self.tallies.compact()
        self.feeds.follow_others()
        self._tell_count()

    def _tell_count(self) -> None:
        """Tells how many data planes there are, once another member's view is known."""
        if self.membership.joined:
            count = self.membership.count_upper_bound(DATA_PLANE_ROLE, self.loop.now())
            self.journal.set(Topic.BALANCERS, "count", str(count).encode())

    def _voters_tick(self) -> None:
        self.after(VOTERS_TICK_MS, self._voters_tick)
        now = self.loop.now()
        self.voters.check(now)
        self.replicas.ask_to_join(now)
        self.tallies.update_peers()

    def channel(self, identity: str) -> Channel:
        """The way to another control process."""
        return self._channel_of(self.channels, identity)

    def command_channel(self, identity: str) -> Channel:
        """The way of operators' calls: apart, as acknowledgements must not wait behind a long one."""
        return self._channel_of(self.command_channels, identity)

    def tally_channel(self, identity: str) -> Channel:
        """The way of tallies: a connection that is silent for as long as they wait ends, the others stay."""
        return self._channel_of(self.tally_channels, identity, TALLY_DIAL_TIMES)

    def _channel_of(
        self, channels: dict[str, Channel], identity: str, dial_times: DialTimes = USUAL_DIAL_TIMES
    ) -> Channel:
        channel = channels.get(identity)
        if channel is None:
            channel = Channel(self.loop, address_of(identity), FLEET, dial_times=dial_times)
            channels[identity] = channel
        return channel

    # Other processes and services.

    def any_other(self) -> str | None:
        """Another control process that is alive, drawn by lot."""
        others = [identity for identity in self._alive_controls() if identity != self.identity]
        return self.random.choice(others) if others else None

    def _alive_controls(self) -> list[str]:
        return [f"{m.address[0]}:{m.address[1]}" for m in self.membership.alive(ROLE)]

    @property
    def zones(self) -> set[str]:
        """The zones that the settings name."""
        return {self.settings.zone, *self.settings.zones}

    def known_controls(self) -> set[str]:
        """The control processes that are alive or members of the configuration's log.

        Seeds stand for the members as long as those are not known: later, other machines may have taken
        their places.
        """
        members = self.shards[CONFIGURATION_SHARD].replica.members.all
        seeds = (f"{host}:{port}" for host, port in self.seeds)
        return {*self._alive_controls(), *(members or seeds)}

    def service_of_model(self, model: str) -> str:
        """The service whose hosts run the model; the model's own name while none is known."""
        if self.table is not None:
            for name in self.table.service_names:
                if model in self.table.models_of(name):
                    return name
        return model

    # The feed.

    def _applied(self, shard: Shard) -> None:
        """The shard's state has changed."""
        if shard.number == CONFIGURATION_SHARD:
            self.configuration_feed.publish()
            return
        with self.journal.batch():
            for model, revision in shard.state.revisions.items():
                known = self.journal.get(Topic.TARGET, model)
                if known is None or int(known) < revision:
                    self.journal.set(Topic.TARGET, model, str(revision).encode())
            newly_fed = shard.state.evacuations.publish(self.journal)
        for zone in newly_fed:
            order = shard.state.evacuations.newest(zone)
            verdict = "evacuated" if order.in_force else "not evacuated"
            zones_log.info("zone %s %s, order %s", zone, verdict, order.number)
        self.rollouts.wake()

    def _configuration_fed(self, table: RouteTable) -> None:
        """A revision of the configuration has been fed."""
        self.table = table
        configuration_log.info("revision %s taken", table.revision)

    def _feeds(self) -> Feeds:
        shard = self.shards[CONFIGURATION_SHARD]
        return Feeds(
            self.loop,
            self.settings,
            self.identity,
            self.journal,
            shard.replica,
            self.channel,
            lambda: shard.has_applied_all and self.configuration_feed.is_current,
            lambda: set(self._alive_controls()),
            self._handle_changes,
        )

    def _handle_changes(self, changes: list[Change]) -> None:
        """Changes from another control process."""
        with self.journal.batch():
            for change in changes:
                if change.value is None:
                    continue
                if change.topic == Topic.LOAD:
                    self.rollouts.handle_change(change)
                else:
                    self.platform.handle_change(change)
