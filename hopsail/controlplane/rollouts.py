"""Roll-outs of new weights for the services whose part this process leads: orders, reports, announcements."""

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
from .parts import part_of_service

log = get_logger("weights")

MILLISECOND = 1_000_000
LOOK_EVERY_MS = 40
CALL_TIMEOUT = 380 * MILLISECOND
ORDER_PATH, REPORT_PATH = "/-/order", "/-/report"
TARGET = "hopsail-target-instance"  # an address may have passed to another host
MARGIN_MS = 1500  # of the time that a version may take


class _Running:
    """The roll-out of one model of a service."""

    def __init__(self, rollout: Rollout, fence: int):
        self.rollout, self.fence = rollout, fence


class Rollouts:
    """One core for each model that has hosts behind its target."""

    def __init__(self, plane):
        self.plane = plane
        bounds = plane.settings.bounds
        self.rules = RolloutRules(
            deadline_ns=int((bounds.apply_one_ms - MARGIN_MS) * MILLISECOND),
            lease_ns=int((bounds.lease_ms + bounds.unfreeze_ms) * MILLISECOND),
        )
        self.running: dict[tuple[str, str], _Running] = {}
        self.acquiring: set[str] = set()  # services
        self.settled: dict[tuple[str, str], tuple[int, int]] = {}  # target and feed's sequence without work
        self.targets: dict[str, NamedRevisions] = {}  # by model
        self.released: dict[tuple[str, int], int] = {}  # (service, fence) -> ns when its release was seen
        self._look()

    def wake(self) -> None:
        """A part's state has changed: targets and releases are looked at."""
        now = self.plane.loop.now()
        for part in self.plane.parts[1:]:
            for model, revision in part.state.revisions.items():
                named = self.targets.setdefault(model, NamedRevisions(self.rules.deadline_ns))
                if named.name(now, revision):
                    log.info("model %s: revision %s named", model, revision)
            for service, duty in part.state.duties.items():
                if duty.released:
                    self.released.setdefault((service, duty.fence), now)
        while len(self.released) > 1024:
            del self.released[next(iter(self.released))]

    def told(self, change) -> None:
        """An announcement from another control process."""
        try:
            self._announce(change.key, decode_load(change.value))
        except HostLoadError:
            self.plane.counters.add("feed.unreadable")

    def _look(self) -> None:
        self.plane.after(LOOK_EVERY_MS, self._look)
        self._publish_required()
        if self.plane.table is None:
            return
        led = set()
        for service in self.plane.table.service_names:
            part = self.plane.parts[part_of_service(service)]
            if part.leads:
                for model in self.plane.table.models_of(service):
                    led.add((service, model))
                    self._step(part, service, model)
        for key in [key for key in self.running if key not in led]:
            del self.running[key]
        for key in [key for key in self.settled if key not in led]:
            del self.settled[key]

    def _publish_required(self) -> None:
        """Tells which revisions' time is over: a data plane that has just started can't know it."""
        now, journal = self.plane.loop.now(), self.plane.journal
        for model, named in self.targets.items():
            required = named.required(now, self.rules.deadline_ns)
            told = journal.get(Topic.REQUIRED, model)
            if required and (told is None or int(told) < required):
                journal.set(Topic.REQUIRED, model, str(required).encode())

    def _hosts(self, service: str, model: str) -> list[HostInfo]:
        instances = self.plane.platform.view.by_service(service)
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
        value = self.plane.journal.get(Topic.LOAD, key)
        return SeenLoad(decode_load(value), 0) if value is not None else None

    def _step(self, part, service: str, model: str) -> None:
        named = self.targets.get(model)
        if named is None:
            return  # none has been named
        target = named.newest
        running = self.running.get((service, model))
        seen = (target, self.plane.journal.topic_sequence(Topic.INSTANCE))
        if running is None and self.settled.get((service, model)) == seen:
            return  # nothing has come since all hosts held the target
        hosts = self._hosts(service, model)
        behind = any(host.revision < target for host in hosts)
        if running is None:
            if behind:
                self._acquire(part, service, model)
            else:
                self.settled[(service, model)] = seen
            return
        duty = part.state.duties.get(service)
        if duty is None or duty.fence != running.fence:
            del self.running[(service, model)]  # another one has held the duty since the last look
            return
        now = self.plane.loop.now()
        running.rollout.update(now, hosts, named)
        if not behind and not running.rollout.loading:
            self._release(part, service, model)
            return
        if self._fence_lost(service):
            return
        for action in running.rollout.step(now, part.replica.lease_valid(now)):
            self._act(running.rollout, action)

    def _fence_lost(self, service: str) -> bool:
        """Ends the roll-outs of a service once a host of any has seen a higher fence: they share theirs."""
        ours = [key for key in self.running if key[0] == service]
        lost = any(self.running[key].rollout.is_fenced for key in ours)
        for key in ours if lost else ():
            del self.running[key]
        return lost

    # The duty.

    def _acquire(self, part, service: str, model: str) -> None:
        if service in self.acquiring:
            return
        held = next((running.fence for key, running in self.running.items() if key[0] == service), None)
        if held is not None:
            self._acquired(part, service, model, held)  # one fence for all models of a service
            return

        def acquired(result) -> None:
            self.acquiring.discard(service)
            if result is not None and part.leads:
                self._acquired(part, service, model, result.value)

        self.acquiring.add(service)
        owner = self.plane.settings.node_name
        command = Command(CommandKind.ACQUIRE_DUTY, 0, service, 0, owner, b"")
        if not part.propose(self.plane.loop.now(), command, acquired):
            self.acquiring.discard(service)

    def _acquired(self, part, service: str, model: str, fence: int) -> None:
        duty = part.state.duties[service]
        if duty.fence != fence:
            return
        now = self.plane.loop.now()
        rollout = Rollout(duty.owner, self.rules, model)
        rollout.acquire(now, fence, self._must_wait(now, service, duty))
        self.running[(service, model)] = _Running(rollout, fence)
        self.plane.counters.add("duties.acquired")

    def _must_wait(self, now: int, service: str, duty) -> bool:
        """Whether another holder may have sent an order within the lease."""
        if not duty.previous_fence:
            return False
        released = self.released.get((service, duty.previous_fence))
        return released is None or now - released < self.rules.lease_ns

    def _release(self, part, service: str, model: str) -> None:
        running = self.running.pop((service, model))
        if any(key[0] == service for key in self.running):
            return
        owner = self.plane.settings.node_name
        command = Command(CommandKind.RELEASE_DUTY, 0, service, running.fence, owner, b"")
        part.propose(self.plane.loop.now(), command, lambda result: None)

    # Actions.

    def _act(self, rollout: Rollout, action) -> None:
        if isinstance(action, Announce):
            instance = self.plane.platform.view.get(action.host)
            if instance is not None:
                self._announce(instance.load_key(rollout.model), action.load)
        elif isinstance(action, SendOrder):
            self._order(rollout, action)
        else:
            self._ask(rollout, action)

    def _announce(self, key: str, load) -> None:
        known = self.plane.journal.get(Topic.LOAD, key)
        if known is not None:
            load = merge_load(decode_load(known), load)
        self.plane.journal.set(Topic.LOAD, key, encode_load(load))

    def _order(self, rollout: Rollout, action: SendOrder) -> None:
        def answered(response) -> None:
            status = response.status if response is not None else None
            self.plane.counters.add(f"orders.{status}")
            revision = action.body["Revision"]
            log.info("host %s ordered to revision %s: %s", action.host, revision, status)
            rollout.receive_order_status(self.plane.loop.now(), action.host, status, action.serial)

        self.plane.counters.add("orders")
        self.plane.http.call(
            tuple(action.address),
            "POST",
            ORDER_PATH,
            [("content-type", "application/json"), (TARGET, action.host)],
            json.dumps(action.body).encode(),
            CALL_TIMEOUT,
            answered,
        )

    def _ask(self, rollout: Rollout, action) -> None:
        def answered(response) -> None:
            report = None
            if response is not None and response.status == 200:
                try:
                    report = json.loads(response.body)
                except ValueError:
                    self.plane.counters.add("reports.unreadable")
            rollout.receive_report(self.plane.loop.now(), action.host, report, action.serial)

        self.plane.counters.add("reports")
        headers = [(TARGET, action.host), CLOSE]  # an earlier report told twice is not taken for this one
        self.plane.http.call(tuple(action.address), "GET", REPORT_PATH, headers, b"", CALL_TIMEOUT, answered)
