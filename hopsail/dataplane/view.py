"""What a data plane knows: views folded from the feeds of control processes. No I/O."""

from collections.abc import Callable

from ..configuration.replicated_configuration import ReplicatedConfiguration
from ..configuration.route_table import RouteTable
from ..feed.evacuation import MAX_ZONES, NEVER_EVACUATED, Evacuation, decode_evacuation, may_have_ended
from ..feed.store_status import StoreStatus, decode_store
from ..feed.topics import Topic
from ..hosts.instance import Instance, Phase, decode, merge
from ..model import MS
from ..prompts.kept import KeptIndex
from ..routing.warmup import SenderCount
from ..weights.eligibility import SeenLoad
from ..weights.load import HostLoad, decode_load, merge_load
from ..weights.named_revisions import RETENTION_NS, NamedRevisions

GONE_KEPT = 4096  # instances that are gone and remembered, so that late news can't bring them back
MOST_KEPT = 262_144  # entries of kept parts; a quarter as many are expected from own requests
LEAST_KEPT = 1  # tokens: feeds tell of large parts alone, but small ones are expected, too


def _place_of(instance: Instance) -> tuple:
    """What of an instance decides whether and where it is sent requests, besides its weights."""
    return instance.service, instance.address, instance.zone, instance.capacity, instance.phase


class FleetView:
    """Folded from several feeds: the newest configuration, monotone merges of all else.

    A configuration older than the one in force is never taken, whoever tells it."""

    def __init__(self, apply_one_ns: int = RETENTION_NS):
        self.apply_one_ns = apply_one_ns  # in which a named version must be in force
        self.table: RouteTable | None = None
        self.configuration = ReplicatedConfiguration()
        self.instances: dict[str, Instance] = {}
        self.targets: dict[str, NamedRevisions] = {}  # by model
        self.told_instances: dict[str, bytes] = {}  # as last told, by whatever feed
        self.warm_at: dict[str, int] = {}  # ns, until when hosts warm up, as told
        self.gone: dict[str, None] = {}  # instances that are gone, the oldest first
        self.loads: dict[str, SeenLoad] = {}  # by `Instance.load_key`
        self.kept = KeptIndex(MOST_KEPT, LEAST_KEPT)
        self.stores: dict[str, dict[str, StoreStatus]] = {}  # service -> feed -> what it tells
        self.evacuations: dict[str, Evacuation] = {}  # by zone, the newest order told by any feed
        self.balancers: int | None = None  # as last told, by whatever feed
        self.senders = SenderCount()
        self.unreadable = 0  # entries that were passed over
        self.on_configuration: Callable[[], None] = lambda: None
        self.on_instances: Callable[[], None] = lambda: None
        self.on_evacuation_withdrawn: Callable[[str], None] = lambda zone: None
        self.on_target: Callable[[str, int], None] = lambda model, revision: None

    @property
    def ready(self) -> bool:
        """A configuration and a list of hosts are there."""
        return self.table is not None and any(i.phase is not Phase.REMOVED for i in self.instances.values())

    def apply(self, now: int, source: str, state: dict, changes) -> None:
        """Takes one batch of a feed: `state` is all that the feed holds with the batch in it."""
        touched = {change.topic for change in changes}
        hosts_changed = False
        for change in changes:
            try:
                hosts_changed |= self._entry(now, source, change)
            except ValueError:  # the others are to be taken all the same: they are not told again
                self.unreadable += 1
        if Topic.CONFIGURATION in touched:
            self._configuration(source, state, changes)
        if hosts_changed:
            self.on_instances()

    def _entry(self, now: int, source: str, change) -> bool:
        """Takes one entry but the configuration's; whether it changes what is known of hosts."""
        topic, key, value = change
        if topic == Topic.PREFIX_CACHE:
            self._kept(source, key, value)
        elif topic == Topic.STORE:
            self._store(source, key, value)
        elif value is None:
            return False
        elif topic == Topic.INSTANCE:
            return self._instance(now, key, value)
        elif topic == Topic.LOAD:
            self._load(now, key, decode_load(value))
        elif topic == Topic.TARGET:
            self._target(now, key, int(value))
        elif topic == Topic.EVACUATION:
            return self._evacuation(key, decode_evacuation(value))
        elif topic == Topic.REQUIRED:
            self._named(key).require(int(value))
        elif topic == Topic.BALANCERS:
            self.balancers = int(value)
            self.senders.note(now, self.balancers)
        return False

    def _configuration(self, source: str, state: dict, changes) -> None:
        told = [(key, value) for topic, key, value in changes if topic == Topic.CONFIGURATION]
        try:
            taken = self.configuration.apply(source, told, lambda key: state.get((Topic.CONFIGURATION, key)))
        except ValueError:
            self.unreadable += 1
            return
        if taken:
            self.table = self.configuration.table
            self.on_configuration()

    def _instance(self, now: int, key: str, value: bytes) -> bool:
        """Whether hosts come, go or change their phase; several feeds tell the same bytes."""
        if self.told_instances.get(key) == value:
            return False
        told = decode(value)
        self.told_instances[key] = value
        known = self.instances.get(told.identifier)
        merged = told if known is None else merge(known, told)
        if merged == known:
            return False
        self.instances[told.identifier] = merged
        self._note_warmup(now, known, merged)
        if merged.phase is Phase.REMOVED and told.identifier not in self.gone:
            self.kept.forget_host(told.identifier)
            self._note_gone(told.identifier)
        return known is None or _place_of(known) != _place_of(merged)

    def _evacuation(self, zone: str, told: Evacuation) -> bool:
        """Whether the zone's hosts may be sent requests has changed; a lower number is never taken."""
        known = self.evacuations.get(zone, NEVER_EVACUATED)
        if told.number <= known.number:
            return False
        if zone not in self.evacuations and len(self.evacuations) >= MAX_ZONES:
            raise ValueError("too many zones")
        self.evacuations[zone] = told
        if may_have_ended(known, told):
            self.on_evacuation_withdrawn(zone)
        return told.in_force != known.in_force

    def evacuated(self, zone: str) -> bool:
        """Whether hosts of the zone are to get no new requests."""
        return self.evacuations.get(zone, NEVER_EVACUATED).in_force

    def _note_warmup(self, now: int, known: Instance | None, merged: Instance) -> None:
        """A round of warming up that was not known has been told; the end of it stands from then on."""
        is_new = known is None or known.warmup_round != merged.warmup_round
        if is_new and merged.warmup_left_ms:
            warm_at = now + merged.warmup_left_ms * MS
            self.warm_at[merged.identifier] = max(warm_at, self.warm_at.get(merged.identifier, 0))

    def _note_gone(self, identifier: str) -> None:
        self.gone[identifier] = None
        while len(self.gone) > GONE_KEPT:
            oldest = next(iter(self.gone))
            instance = self.instances.pop(oldest)
            del self.gone[oldest]
            self.warm_at.pop(oldest, None)
            for model in instance.models:
                self.loads.pop(instance.load_key(model.name), None)
            self.told_instances.pop(oldest, None)

    def _load(self, now: int, key: str, told: HostLoad) -> None:
        known = self.loads.get(key)
        merged = told if known is None else merge_load(known.load, told)
        if known is None or merged != known.load:
            self.loads[key] = SeenLoad(merged, now)

    def _target(self, now: int, model: str, revision: int) -> None:
        if self._named(model).name(now, revision):
            self.on_target(model, revision)

    def _named(self, model: str) -> NamedRevisions:
        named = self.targets.get(model)
        if named is None:
            named = self.targets[model] = NamedRevisions(self.apply_one_ns)
        return named

    def _kept(self, source: str, key: str, value: bytes | None) -> None:
        holder, salt, part = key.split(" ")
        if value is None:
            self.kept.retract(source, holder, salt, part)
        else:
            self.kept.tell(source, holder, salt, part, int(value))

    def _store(self, source: str, service: str, value: bytes | None) -> None:
        told = self.stores.setdefault(service, {})
        if value is None:
            told.pop(source, None)
        else:
            told[source] = decode_store(value)

    def store_is_up(self, service: str) -> bool:
        """By the word of the latest term; a store of which nothing is told is up."""
        told = self.stores.get(service)
        return not told or max(told.values()).up

    def forget_source(self, source: str) -> None:
        """A feed is not followed any more: what only it told is forgotten."""
        self.configuration.forget(source)
        for told in self.stores.values():
            told.pop(source, None)
        self.kept.forget_feed(source)
