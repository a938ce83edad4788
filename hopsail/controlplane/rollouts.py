"""Roll-outs of new weights for the services whose shard is led here: orders, reports, announcements."""

import json

from ..event_log import get_logger
from ..feed.topics import Topic
from ..hosts.instance import Phase
from ..http.client import CLOSE
from ..routing.lanes import neighbours
from ..weights.eligibility import SeenLoad, loaded_revision
from ..weights.load import HostLoadError, decode_load, encode_load, merge_load
from ..weights.named_revisions import NamedRevisions
from ..weights.rollout import Announce, HostInfo, Rollout, RolloutRules, SendOrder
from .commands import Command, CommandKind
from .host_caller import HostCaller
from .shards import shard_of_service

log = get_logger("weights")

MILLISECOND = 1_000_000
CHECK_INTERVAL_MS = 40
CALL_TIMEOUT_NS = 380 * MILLISECOND
ORDER_PATH, REPORT_PATH = "/-/order", "/-/report"
TARGET = "hopsail-target-instance"  # an address may have passed to another host
DEADLINE_MARGIN_MS = 1500  # of the time that a version may take


class _Running:
    """The roll-out of one model of a service."""

    def __init__(self, rollout: Rollout, fencing_token: int):
        self.rollout, self.fencing_token = rollout, fencing_token


class Rollouts:
    """One core for each model that has hosts behind its target."""

    def __init__(self, process: HostCaller) -> None:
        """Begins at once."""
        self.process = process
        bounds = process.settings.bounds
        self.rules = RolloutRules(
            deadline_ns=int((bounds.apply_one_ms - DEADLINE_MARGIN_MS) * MILLISECOND),
            lease_ns=int((bounds.lease_ms + bounds.unfreeze_ms) * MILLISECOND),
        )
        self.running: dict[tuple[str, str], _Running] = {}
        self.acquiring: set[str] = set()  # services
        self.up_to_date: dict[tuple[str, str], tuple[int, int]] = {}  # target, feed's sequence
        self.targets: dict[str, NamedRevisions] = {}  # by model
        self.released: dict[tuple[str, int], int] = {}  # (service, fencing token) -> ns
        self._check()

    def wake(self) -> None:
        """A shard's state has changed: targets and releases are looked at."""
        now = self.process.loop.now()
        for shard in self.process.shards[1:]:
            for model, revision in shard.state.revisions.items():
                named = self.targets.setdefault(model, NamedRevisions(self.rules.deadline_ns))
                if named.name(now, revision):
                    log.info("model %s: revision %s named", model, revision)
            for service, role in shard.state.roles.items():
                if role.released:
                    self.released.setdefault((service, role.fencing_token), now)
        while len(self.released) > 1024:
            del self.released[next(iter(self.released))]

    def handle_change(self, change) -> None:
        """An announcement from another control process."""
        try:
            self._announce(change.key, decode_load(change.value))
        except HostLoadError:
            self.process.counters.add("feed.unreadable")

    def _check(self) -> None:
        self.process.after(CHECK_INTERVAL_MS, self._check)
        self._publish_required()
        if self.process.table is None:
            return
        led = set()
        for service in self.process.table.service_names:
            shard = self.process.shards[shard_of_service(service)]
            if shard.leads:
                for model in self.process.table.models_of(service):
                    led.add((service, model))
                    self._step(shard, service, model)
        for key in [key for key in self.running if key not in led]:
            del self.running[key]
        for key in [key for key in self.up_to_date if key not in led]:
            del self.up_to_date[key]

    def _publish_required(self) -> None:
        """Tells which revisions' time is over: a data plane that has just started can't know it."""
        now, journal = self.process.loop.now(), self.process.journal
        for model, named in self.targets.items():
            required = named.required(now, self.rules.deadline_ns)
            known = journal.get(Topic.REQUIRED, model)
            if required and (known is None or int(known) < required):
                journal.set(Topic.REQUIRED, model, str(required).encode())

    def _hosts(self, service: str, model: str) -> list[HostInfo]:
        instances = self.process.platform.view.by_service(service)
        serving = [one.identifier for one in instances if one.phase is Phase.SERVING]
        groups = neighbours(serving)
        hosts = []
        for instance in instances:
            listed = instance.model_revision(model)
            if listed is None or instance.phase is not Phase.SERVING:
                continue
            load = self._seen_load(instance.load_key(model))
            held = loaded_revision(listed, load)
            loading = load is not None and load.load.blocks and held < load.load.revision
            hosts.append(
                HostInfo(
                    instance.identifier,
                    instance.address,
                    held,
                    instance.phase,
                    loading=loading,
                    group=str(groups[instance.identifier]),
                )
            )
        return hosts

    def _seen_load(self, key: str) -> SeenLoad | None:
        value = self.process.journal.get(Topic.LOAD, key)
        return SeenLoad(decode_load(value), 0) if value is not None else None

    def _step(self, shard, service: str, model: str) -> None:
        named = self.targets.get(model)
        if named is None:
            return  # none has been named
        target = named.newest
        running = self.running.get((service, model))
        seen = (target, self.process.journal.topic_sequence(Topic.INSTANCE))
        if running is None and self.up_to_date.get((service, model)) == seen:
            return  # nothing has come since all hosts held the target
        hosts = self._hosts(service, model)
        behind = any(host.revision < target for host in hosts)
        if running is None:
            if behind:
                self._acquire(shard, service, model)
            else:
                self.up_to_date[(service, model)] = seen
            return
        role = shard.state.roles.get(service)
        if role is None or role.fencing_token != running.fencing_token:
            del self.running[(service, model)]  # another process has held the role since the last look
            return
        now = self.process.loop.now()
        running.rollout.update(now, hosts, named)
        if not behind and not running.rollout.loading:
            self._release(shard, service, model)
            return
        if self._end_superseded(service):
            return
        for action in running.rollout.step(now, shard.replica.lease_valid(now)):
            self._act(running.rollout, action)

    def _end_superseded(self, service: str) -> bool:
        """Ends the roll-outs of a service once a host of any has seen a higher token: they share theirs."""
        ours = [key for key in self.running if key[0] == service]
        lost = any(self.running[key].rollout.is_fenced for key in ours)
        for key in ours if lost else ():
            del self.running[key]
        return lost

    # The role.

    def _acquire(self, shard, service: str, model: str) -> None:
        if service in self.acquiring:
            return
        fencing_token = next(
            (running.fencing_token for key, running in self.running.items() if key[0] == service), None
        )
        if fencing_token is not None:
            self._acquired(shard, service, model, fencing_token)  # one token for all models of a service
            return

        def acquired(result) -> None:
            self.acquiring.discard(service)
            if result is not None and shard.leads:
                self._acquired(shard, service, model, result.value)

        self.acquiring.add(service)
        owner = self.process.settings.node_name
        command = Command(CommandKind.ACQUIRE_ROLE, 0, service, 0, owner, b"")
        if not shard.propose(self.process.loop.now(), command, acquired):
            self.acquiring.discard(service)

    def _acquired(self, shard, service: str, model: str, fencing_token: int) -> None:
        role = shard.state.roles[service]
        if role.fencing_token != fencing_token:
            return
        now = self.process.loop.now()
        rollout = Rollout(role.owner, self.rules, model)
        rollout.acquire(now, fencing_token, self._must_wait(now, service, role))
        self.running[(service, model)] = _Running(rollout, fencing_token)
        self.process.counters.add("duties.acquired")

    def _must_wait(self, now: int, service: str, role) -> bool:
        """Whether another owner may have sent an order within the lease."""
        if not role.previous_fencing_token:
            return False
        released = self.released.get((service, role.previous_fencing_token))
        return released is None or now - released < self.rules.lease_ns

    def _release(self, shard, service: str, model: str) -> None:
        running = self.running.pop((service, model))
        if any(key[0] == service for key in self.running):
            return
        owner = self.process.settings.node_name
        command = Command(CommandKind.RELEASE_ROLE, 0, service, running.fencing_token, owner, b"")
        shard.propose(self.process.loop.now(), command, lambda result: None)

    # Actions.

    def _act(self, rollout: Rollout, action) -> None:
        if isinstance(action, Announce):
            instance = self.process.platform.view.get(action.host)
            if instance is not None:
                self._announce(instance.load_key(rollout.model), action.load)
        elif isinstance(action, SendOrder):
            self._order(rollout, action)
        else:
            self._ask(rollout, action)

    def _announce(self, key: str, load) -> None:
        known = self.process.journal.get(Topic.LOAD, key)
        if known is not None:
            load = merge_load(decode_load(known), load)
        self.process.journal.set(Topic.LOAD, key, encode_load(load))

    def _order(self, rollout: Rollout, action: SendOrder) -> None:
        def answered(response) -> None:
            status = response.status if response is not None else None
            self.process.counters.add(f"orders.{status}")
            revision = action.body["Revision"]
            log.info("host %s ordered to revision %s: %s", action.host, revision, status)
            rollout.receive_order_status(self.process.loop.now(), action.host, status, action.serial)

        self.process.counters.add("orders")
        self.process.http.call(
            tuple(action.address),
            "POST",
            ORDER_PATH,
            [("content-type", "application/json"), (TARGET, action.host)],
            json.dumps(action.body).encode(),
            CALL_TIMEOUT_NS,
            answered,
        )

    def _ask(self, rollout: Rollout, action) -> None:
        def answered(response) -> None:
            report = None
            if response is not None and response.status == 200:
                try:
                    report = json.loads(response.body)
                except ValueError:
                    self.process.counters.add("reports.unreadable")
            rollout.receive_report(self.process.loop.now(), action.host, report, action.serial)

        self.process.counters.add("reports")
        headers = [(TARGET, action.host), CLOSE]  # an earlier report sent twice is not taken for this one
        self.process.http.call(
            tuple(action.address), "GET", REPORT_PATH, headers, b"", CALL_TIMEOUT_NS, answered
        )
