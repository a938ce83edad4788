"""The data plane's process: doors for clients, views from the control plane, hosts."""

from collections.abc import Callable
from functools import partial
from random import Random

from ..configuration.required_settings import DATA_PLANE_SETTINGS
from ..configuration.process import ProcessSettings
from ..event_log import get_logger
from ..feed.confirmed import ConfirmedFeeds, contact_time
from ..feed.follower import Follower, Subscription
from ..feed.journal import Change
from ..feed.topics import DATA_PLANE_TOPICS
from ..http.message import Headers, Request, whole_number
from ..http.pool import ConnectionPool
from ..http.server import Exchange, HttpServer, Rejection, ServerLimits
from ..process import FLEET, MILLISECOND, Program
from ..routing.admission import Verdict
from ..routing.choice import HostState
from ..routing.retries import RetryBudget
from ..rpc.channel import Channel
from .attempt import Attempt
from .attempt_records import AttemptRecords
from .controls import ControlLinks
from .execution import NOT_EXECUTED, Outcome, target_ms
from .forward import ELSEWHERE_AT_ONCE, Forwarding, Refusal
from .gates import WAIT_SHARE, Gates
from .lane_agreement import LaneAgreement
from .late_log import LateLog
from .placement import Placed, Placement, PlacementParameters, Shortlist
from .stopping import Ending, Pending
from .view import FleetView
from .work_directory import Answer, WorkDirectory
from .work_socket import WorkSocket

state_log = get_logger("state")
configuration_log = get_logger("configuration")
weights_log = get_logger("weights")
work_log = get_logger("work")

ROLE = "dataplane"
DIRECTORY_PORT = 1  # after the first of the range
READY_PATH = "/-/readyz"
TICK_MS = 200
BEARER = "bearer "
TENANT_RANKS = 2  # a tenant's priority comes before the route's, of which there are so many
LEAST_RETRY_AFTER, MOST_RETRY_AFTER = 0.05, 0.25  # s, where the hosts are there but can't take more
NO_HOST_RETRY_AFTER = 0.3  # s, where no host may be used
START_TIME = 0.8  # s after its start, in which a process has heard of configuration and hosts
FD_RESERVE = 400  # descriptors for all but clients' and hosts' connections


class DataPlane(Program):
    """One balancer."""

    needed_settings = DATA_PLANE_SETTINGS

    def __init__(
        self,
        settings: ProcessSettings,
        parameters: PlacementParameters | None = None,
        log_late: bool = False,
    ):
        super().__init__(settings)
        self.random = Random(f"{settings.node_name}/{self.loop.now()}")
        self.view = FleetView(int(settings.bounds.apply_one_ms * MILLISECOND))
        self.view.on_configuration = self._configuration_changed
        self.placement = Placement(settings, self.view, self.random, parameters)
        self.view.on_instances = self._instances_changed
        self.view.on_evacuation_withdrawn = self._zone_returns
        self.view.on_target = self._target_named
        self.placement.on_age_judged = self._age_judged
        sockets = max(64, settings.fd_limit - FD_RESERVE)
        self.pool = ConnectionPool(self.loop, most=sockets // 2)
        self.limits = ServerLimits(connections=sockets // 2)
        bounds = settings.bounds
        self.budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, int(bounds.retry_window_s * 1000 * MILLISECOND)
        )
        self.gates = Gates(self.loop, self.placement.capacity, self._data_planes)
        self.in_flight: dict[Forwarding, None] = {}
        self.channels: dict[tuple[str, int], Channel] = {}
        max_age_ns = contact_time(bounds)
        self.confirmed = ConfirmedFeeds(self.loop.now, max_age_ns, max_age_ns, self._apply)
        self.controls = ControlLinks(self.loop, settings.machine_losses, self._follow, self._left)
        self.late_log = LateLog(lambda: self.loop.now(), self.view, self.counters) if log_late else None
        self.attempts = AttemptRecords(lambda: self.loop.now(), self.placement, self.counters)
        self.ending: Ending | None = None
        self.was_ready = False
        self.began = self.loop.now()  # ns

    # Start and stop.

    def start(self) -> None:
        settings = self.settings
        self.front = self.listen(settings.frontend)
        self.readiness = HttpServer(self.loop, settings.readiness, self._answer_ready)
        self.join(ROLE)
        self._open_directory()
        self._members_changed()
        self.membership.on_change = self._members_changed
        self.controls.renew_seeds(self.seeds)
        self._tick()
        state_log.info("data plane %s starts", settings.node_name)

    def _open_directory(self) -> None:
        """On the port after membership's; there is none where there is no such port or it is taken."""
        settings = self.settings
        port = settings.port_first + DIRECTORY_PORT
        if port > settings.port_last:
            return
        try:
            opened = WorkSocket(self.loop, (settings.ip, port), FLEET, self.random, self.counters)
        except OSError as error:
            work_log.warning("no directory of work, %s:%s: %s", settings.ip, port, error)
            return
        self.attempts.directory = opened.directory
        if self.placement.parameters.follow_demand:
            rate, candidates = self.placement.rate, self.placement.parameters.candidates
            self.attempts.lanes = LaneAgreement(
                self.directory, self.placement.services, lambda: rate.typical, candidates, self.counters
            )

    @property
    def directory(self) -> WorkDirectory | None:
        """The directory of work; None where this process has none."""
        return self.attempts.directory

    @property
    def lanes(self) -> LaneAgreement | None:
        """The division of hosts; None without a directory, or where it is switched off."""
        return self.attempts.lanes

    def _members_changed(self) -> None:
        if self.directory is None:
            return
        live = self.membership.alive(ROLE)
        members = {member.name: (member.address[0], member.address[1] + DIRECTORY_PORT) for member in live}
        self.directory.renew(members)

    def listen(self, address: tuple[str, int]) -> HttpServer:
        """A server for clients."""
        return HttpServer(
            self.loop, address, self.handle, self.limits, self._refused_unread, self._beyond_limits
        )

    def apply_settings(self, settings: ProcessSettings) -> None:
        super().apply_settings(settings)
        self.controls.renew_seeds(self.seeds)

    def stop(self) -> None:
        """Not ready from now on; what is under way is ended in order."""
        self.membership.leave()
        refusal = [("retry-after", f"{ELSEWHERE_AT_ONCE:.3f}"), (NOT_EXECUTED, "1")]
        grace_ms = self.settings.bounds.grace_s * 1000
        self.ending = Ending(self.loop, self.front, self.in_flight, grace_ms, refusal, self.finish)
        self.ending.step()

    def _tick(self) -> None:
        self.after(TICK_MS, self._tick)
        self.controls.choose()
        self.confirmed.tick()
        for forwarding in list(self.in_flight):
            forwarding.withdraw_if_superseded()
        if self.lanes is not None:
            self.lanes.tick()
        if self.ready != self.was_ready:
            self.was_ready = self.ready
            state_log.info("ready" if self.ready else "not ready")

    def figures(self) -> dict[str, int]:
        return {
            "in_flight": len(self.in_flight),
            "dialed": self.pool.dialed,
            "reused": self.pool.reused,
            "feed.unreadable": self.view.unreadable,
            **self.placement.warmup_figures(),
        }

    # What the control plane tells.

    def _follow(self, address: tuple[str, int]) -> Follower:
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(self.loop, address, FLEET)
        settings = self.settings
        return Follower(
            self.loop,
            channel,
            Subscription(settings.node_name, ROLE, settings.zone, DATA_PLANE_TOPICS),
            self._changes,
        )

    def _changes(self, follower: Follower, snapshot: bool, changes, reply) -> None:
        self.confirmed.changed(follower, snapshot, changes, reply)
        self.controls.tell(reply.members, reply.members_as_of, reply.others)

    def _apply(self, follower: Follower, changes: list[Change]) -> None:
        self.view.apply(self.loop.now(), str(follower.channel.address), follower.state, changes)

    def _configuration_changed(self) -> None:
        table = self.view.table
        limits = table.limits
        self.limits.header_bytes = int(limits.get("MaxHeaderBytes", self.limits.header_bytes))
        self.limits.body_bytes = int(limits.get("MaxBodyBytes", self.limits.body_bytes))
        self.limits.header_wait_ms = int(limits.get("HeaderWaitMs", self.limits.header_wait_ms))
        self.limits.idle_timeout_ms = int(limits.get("IdleTimeoutMs", self.limits.idle_timeout_ms))
        self.counters.add("configuration.taken")
        configuration_log.info("revision %s in force", table.revision)

    def _instances_changed(self) -> None:
        for address in self.placement.renew():
            self.pool.forget(address)

    def _zone_returns(self, zone: str) -> None:
        self.placement.zone_returns(self.loop.now(), zone)

    def _target_named(self, model: str, revision: int) -> None:
        self.counters.add("targets.named")
        weights_log.info("model %s: revision %s named", model, revision)

    def _age_judged(self, state: HostState) -> None:
        verdict = "too old, not used" if state.is_too_old else "new enough, used"
        self.counters.add("hosts.too_old" if state.is_too_old else "hosts.new_enough")
        weights_log.info("host %s at revision %s: %s", state.identifier, state.revision, verdict)

    @property
    def ready(self) -> bool:
        return self.view.ready and not self.stopping

    def _answer_ready(self, request: Request, exchange: Exchange) -> None:
        exchange.respond(200 if self.ready and request.path == READY_PATH else 503)

    # Clients' requests.

    def handle(self, request: Request, exchange: Exchange) -> None:
        """A request has been read whole."""
        self.counters.add("requests")
        if request.path == READY_PATH:
            self._answer_ready(request, exchange)
            return
        table = self.view.table
        if table is None:
            self._end(exchange, 503, self._unready_headers())
            return
        host = request.header("host")
        named = [name for name, _ in request.headers if name in ("host", "hopsail-attempt-id")]
        if sorted(named) != ["hopsail-attempt-id", "host"]:  # each once: two readers must not differ
            self._end(exchange, 400)
            return
        route = table.find(host, request.target)
        if route is None:
            self._end(exchange, 404)
            return
        tenant = self._tenant(request)
        if tenant is None and table.needs_key and not route.get("Public", False):
            self._end(exchange, 401)
            return
        forwarding = Forwarding(self, exchange, route, tenant, self._deadline(request, exchange, route))
        self.in_flight[forwarding] = None
        forwarding.start()

    def _end(self, exchange: Exchange, status: int, headers=()) -> None:
        self.counters.add(f"answers.{status}")
        exchange.respond(status, headers=headers)

    def _refused_unread(self, status: int) -> None:
        self.counters.add(f"answers.{status}")

    def _beyond_limits(self, status: int) -> Rejection:
        """The answer to a request beyond the limits: without a configuration, they are not known."""
        if self.view.table is None:
            return Rejection(503, tuple(self._unready_headers()))
        return Rejection(status)

    def _tenant(self, request: Request) -> dict | None:
        value = request.header("authorization") or ""
        if not value.lower().startswith(BEARER):
            return None
        return self.view.table.tenant(value[len(BEARER) :].strip())

    def _deadline(self, request: Request, exchange: Exchange, route: dict) -> int:
        milliseconds = float(route["DeadlineMs"])
        told = whole_number(request.header("hopsail-deadline-ms"))
        if told is not None:
            milliseconds = min(milliseconds, told)
        return exchange.began + int(milliseconds * MILLISECOND)

    # What requests under way ask for.

    def pick_service(self, route: dict) -> str:
        """A service of the route by weight."""
        services = self.view.table.services_of(route)
        if len(services) == 1:
            return services[0][0]
        names, weights = zip(*services, strict=True)
        return self.random.choices(names, weights)[0]

    def offer(self, forwarding: Forwarding) -> Verdict:
        """Asks the service's gate for a place."""
        tenant, route = forwarding.tenant, forwarding.route
        priority = (int(tenant.get("Priority", 0)) if tenant else 0, int(route.get("Priority", 0)))
        return self.gates.offer(forwarding.service, priority, target_ms(route) * WAIT_SHARE, forwarding)

    def left_gate(self, forwarding: Forwarding) -> None:
        """Gives the place of a request back, or its turn."""
        if forwarding.has_place:
            forwarding.has_place = False
            self.gates.left(forwarding.service)
        elif forwarding.service is not None:
            self.gates.withdraw(forwarding.service, forwarding)

    def may_begin(self, forwarding: Forwarding) -> bool:
        """Whether a request may go to a host now: not when this process ends before it could be answered."""
        if self.ending is None:
            return True
        now, route = self.loop.now(), forwarding.route
        lately = self.attempts.durations.longest(now, route["Name"], int(forwarding.prompt.size))
        streaming = route["RouteKind"] == "streaming"
        pending = Pending(forwarding.exchange.began, forwarding.deadline, lately, streaming)
        return self.ending.times.may_begin(now, pending)

    def may_wait(self, model: str, revision: int) -> bool:
        """Whether a request that has not begun may still wait at a host that holds this revision."""
        return self.placement.may_wait(self.loop.now(), model, revision)

    def is_evacuated(self, host: HostState) -> bool:
        """Whether nothing new may be written to the host, as its zone is evacuated."""
        return self.view.evacuated(host.zone)

    def consult(self, forwarding: Forwarding, then: Callable[..., None]) -> None:
        """Calls `then` with hosts and what registrars tell in time, or at once with nothing."""
        shortlist = self.placement.shortlist(
            self.loop.now(), forwarding.service, forwarding.prompt, forwarding.tenant, forwarding.excluded
        )
        if shortlist is None or self.directory is None:
            then(shortlist)
        else:
            self.counters.add("work.questions")
            self.directory.ask(shortlist.hosts, shortlist.parts, partial(then, shortlist))

    def place(
        self, forwarding: Forwarding, shortlist: Shortlist | None, answer: Answer | None
    ) -> Placed | None:
        """A host for the next attempt."""
        return self.placement.place(
            self.loop.now(),
            forwarding.service,
            forwarding.prompt,
            forwarding.tenant,
            priority_of(forwarding.tenant, forwarding.route),
            forwarding.excluded,
            shortlist,
            answer,
        )

    def may_write(self, placed: Placed) -> bool:
        """Whether a request may be written to its host now."""
        return self.placement.may_write(self.loop.now(), placed)

    def _left(self, follower: Follower) -> None:
        """A control process is not followed any more."""
        self.confirmed.forget(follower)
        self.view.forget_source(str(follower.channel.address))

    def _data_planes(self) -> int | None:
        """At least as many as share the fleet's budgets; None while that is not known."""
        return self.placement.count_senders(self.loop.now())

    def may_retry(self, now: int, service: str) -> bool:
        """Whether the fleet's budget has room for one more arrival."""
        allowed = self.budget.may_retry(now, service, self._data_planes())
        self.counters.add("retries" if allowed else "retries.refused")
        return allowed

    def attempt_began(self, forwarding: Forwarding, attempt: Attempt) -> None:
        """A request is on its way to a host."""
        self.attempts.began(forwarding, attempt)

    def first_byte(self, forwarding: Forwarding, attempt: Attempt) -> None:
        """A host's answer has begun."""
        self.attempts.first_byte(forwarding, attempt)
        if self.late_log is not None:
            self.late_log.answered(forwarding, attempt)

    def attempt_over(self, forwarding: Forwarding, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended, or was abandoned (None)."""
        self.attempts.over(forwarding, attempt, outcome)

    def refused(self, forwarding: Forwarding, refusal: Refusal) -> None:
        self.counters.add(f"refused.{refusal.name.lower()}")
        if self.late_log is not None:
            self.late_log.refused(forwarding)
        if refusal is Refusal.ENDING:
            self.ending.has_refused()

    def retry_after(self, forwarding: Forwarding) -> float:
        """Seconds after which a refused client is to come back."""
        usable = self.placement.capacity(forwarding.service)
        if not usable:
            return self._unready_retry_after()
        crowded = self.gates.retry_after_ms(forwarding.service) / 1000
        return max(crowded, self.random.uniform(LEAST_RETRY_AFTER, MOST_RETRY_AFTER))

    def _unready_headers(self) -> Headers:
        """Of an answer that nothing has run, as this process knows no configuration."""
        return [("retry-after", f"{self._unready_retry_after():.3f}"), (NOT_EXECUTED, "1")]

    def _unready_retry_after(self) -> float:
        """Seconds until this process should know of configuration and hosts."""
        up_for = (self.loop.now() - self.began) / (1000 * MILLISECOND)
        return max(NO_HOST_RETRY_AFTER, START_TIME - up_for) + self.random.uniform(0, LEAST_RETRY_AFTER)

    def forwarding_ended(self, forwarding: Forwarding) -> None:
        self.in_flight.pop(forwarding, None)
        self.left_gate(forwarding)
        if self.late_log is not None:
            self.late_log.ended(forwarding)


def priority_of(tenant: dict | None, route: dict) -> int:
    """The rank of a request, 0 first: its tenant's, then its route's."""
    rank = int(tenant.get("Priority", 0)) if tenant is not None else 0
    return rank * TENANT_RANKS + min(TENANT_RANKS - 1, int(route.get("Priority", 0)))
