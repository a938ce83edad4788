"""Which host a request goes to, and what the host is told: salt, expected version, where parts are.

Departure from the design, for long prompts: reading one takes a host so long that what other balancers have
sent it counts as much as the own requests. Among the first ring hosts of the key the one is taken at which
the prompt would be read soonest, by the work that the hosts' registrars know of (`work_directory`). Without
their answer the ordinary choice holds."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf
from typing import NamedTuple

from ..configuration.process import ProcessSettings
from ..configuration.route_table import RouteTable
from ..configuration.types import Service
from ..hosts.instance import Instance, Phase
from ..model import SECOND
from ..prompts.salt import cache_salt
from ..routing.choice import ChoiceParameters, HostState
from ..routing.host_work import Backlog, ReadingRate
from ..routing.lanes import Lane, lane_of
from ..routing.recent_readers import LASTING_NS, part_key
from ..routing.warmup import Reservation, WarmupRule, WarmupSends
from ..weights.eligibility import Eligibility, EligibilityBounds, eligible, loaded_revision
from .prompt import GENERATED_WEIGHT, Prompt
from .service_hosts import ServiceHosts, UsableHosts
from .sources import Source, Sources, large_parts
from .view import FleetView
from .work_directory import MOST_ASKED, Answer

MILLISECOND = 1_000_000
MOST_PRIORITY = 9
CANDIDATES = 4  # ring hosts that a long prompt is compared over; docs/studies/further.md weighs 2 to 8
CHOICE_MECHANISMS = {  # the values of `ChoiceParameters` with which a mechanism does nothing
    "hot_keys": {"hot_count": inf},
    "spill": {"spill_factor": inf},
    "compare_work": {"compare_work": False},
}


@dataclass(frozen=True, slots=True)
class PlacementParameters:
    """Which mechanisms are in use; tests and studies switch them off one by one."""

    choice: ChoiceParameters = ChoiceParameters()
    lanes: bool = True  # hosts of a service are divided by the size of prompts
    follow_demand: bool = True  # as all data planes agree by the demand
    relief: bool = True  # crowded hosts of the short lane are relieved
    shared_work: bool = True  # registrars are asked before a long prompt is sent
    candidates: int = CANDIDATES
    shared_parts: bool = True  # and told which hosts were lately sent its largest shared part
    host_speeds: bool = True  # hosts are told apart by how fast they read
    fetch: bool = True  # hosts take parts from others
    save: bool = True  # hosts save parts to a store
    expect: bool = True  # parts of own requests count as kept before they are told of

    def without(self, mechanisms: Iterable[str]) -> "PlacementParameters":
        """The same with these fields, or those of the choice in `CHOICE_MECHANISMS`, switched off."""
        mechanisms = list(mechanisms)
        fields = {name: False for name in mechanisms if name not in CHOICE_MECHANISMS}
        choice = {}
        for name in set(mechanisms) & set(CHOICE_MECHANISMS):
            choice |= CHOICE_MECHANISMS[name]
        return replace(self, choice=replace(self.choice, **choice), **fields)


class Placed(NamedTuple):
    """A host for one attempt, with what is told to it."""

    host: HostState
    revision: int | None
    work: float  # tokens that the prompt is expected to cost there
    headers: list[tuple[str, str]]
    reading: float = 0.0  # tokens that the host has to read before it answers
    is_whole: bool = False  # nothing of the prompt is known to be kept anywhere
    parts: tuple[str, ...] = ()  # keys of the shared parts that the host has from now on
    compared: tuple["ComparedHost", ...] = ()  # what the choice was made from
    reservation: Reservation | None = None  # counts the request while the host warms up


class ComparedHost(NamedTuple):
    """What was known of a host when a long prompt was placed."""

    host: str
    waiting: float  # tokens that it had still to read
    rate: float | None  # tokens that it reads in a ms
    reading_ms: float  # after which it would have read the prompt; in tokens while no speed is known


class Shortlist(NamedTuple):
    """Hosts among which a long prompt goes to the one that reads it soonest."""

    service: str
    hosts: tuple[str, ...]  # in ring order
    parts: dict[str, str]  # salts under which hosts may keep the largest shared part, by its key


class Placement:
    """Hosts of all services, kept up with the view."""

    def __init__(
        self,
        settings: ProcessSettings,
        view: FleetView,
        random,
        parameters: PlacementParameters | None = None,
    ):
        self.view, self.random = view, random
        self.parameters = parameters or PlacementParameters()
        self.services: dict[str, ServiceHosts] = {}
        self.sources = Sources(view, settings.zone, settings.zones)
        self.rate = ReadingRate()
        bounds = settings.bounds
        self.node = settings.node_name
        self.warmup_excess, self.warmup_margin = bounds.warmup_excess, bounds.warmup_margin
        self.senders = view.senders
        self.returned: dict[str, int] = {}  # zone -> ns, when its hosts might be sent requests again
        self.rules_of: RouteTable | None = None  # the configuration that the rules of warm-ups are of
        self.bounds = EligibilityBounds(apply_one_ns=int(bounds.apply_one_ms * MILLISECOND))
        self.on_age_judged: Callable[[HostState], None] = lambda state: None

    def renew(self) -> list[tuple[str, int]]:
        """Takes over changes of the view's instances and zones; the addresses of hosts that are gone."""
        gone = []
        live: dict[str, list[Instance]] = {}
        for instance in self.view.instances.values():
            if instance.phase is not Phase.REMOVED:
                live.setdefault(instance.service, []).append(instance)
        for name in set(self.services) | set(live):
            service = self.services.get(name)
            if service is None:
                service = self.services[name] = ServiceHosts(
                    self.random,
                    self.parameters.choice,
                    self.parameters.lanes,
                    WarmupSends(self.node, self.senders),
                )
            gone += service.renew(live.get(name, []), self.view.evacuated)
        self.rules_of = None
        return gone

    def _renew_rules(self) -> None:
        """Takes the bounds of hosts that warm up from the configuration in force."""
        if self.rules_of is self.view.table:
            return
        self.rules_of = self.view.table
        for name, service in self.services.items():
            told = self.view.table.service(name) if self.view.table is not None else None
            service.warmup.rule = self._warmup_rule(told)
            if self.returned:
                self._suspect_returned(service)

    def _suspect_returned(self, service: ServiceHosts) -> None:
        for state in service.states.values():
            if state.zone in self.returned:
                service.warmup.suspect(self.returned[state.zone], state.identifier)

    def _warmup_rule(self, told: Service | None) -> WarmupRule | None:
        per_s = told.get("WarmupPerS") if told is not None else None
        if not per_s:
            return None
        allowance = per_s * self.warmup_excess + self.warmup_margin
        return WarmupRule(allowance, int(told.get("WarmupS", 0) * SECOND))

    def zone_returns(self, now: int, zone: str) -> None:
        """The zone's hosts may be sent requests again, and may have begun to warm up shortly before."""
        self.returned[zone] = now
        self.rules_of = None

    def may_write(self, now: int, placed: Placed) -> bool:
        """Whether a request may be written to its host now; from then on it counts as sent."""
        reservation = placed.reservation
        return reservation is None or reservation.write(now, self.view.warm_at.get(placed.host.identifier, 0))

    def count_senders(self, now: int) -> int | None:
        """At least as many as there are data planes; None while that is not known."""
        self.senders.note(now, self.view.balancers)
        return self.senders.highest

    def warmup_figures(self) -> dict[str, int]:
        """What was counted at hosts that may have been warming up."""
        every = [service.warmup for service in self.services.values()]
        return {
            "warmup.sent": sum(one.sent_warming for one in every),
            "warmup.passed_over": sum(one.passed_over for one in every),
            "warmup.taken_back": sum(one.taken_back for one in every),
        }

    def capacity(self, name: str) -> int:
        """Places of a service's hosts that are not draining, outside evacuated zones."""
        service = self.services.get(name)
        return service.capacity if service is not None else 0

    def _judge(self, now: int, model: str | None, state: HostState) -> bool:
        """Whether the host serves outside evacuated zones, on weights that may have the model's requests."""
        instance = self.view.instances.get(state.identifier)
        if instance is None or instance.phase is not Phase.SERVING or self.view.evacuated(instance.zone):
            return False
        if not model or not instance.models:
            return True
        listed = instance.model_revision(model)
        if listed is None:
            return False
        load, named = self.view.loads.get(instance.load_key(model)), self.view.targets.get(model)
        state.revision = loaded_revision(listed, load)
        verdict = eligible(now, listed, load, named, self.bounds)
        self._note_age(state, verdict is Eligibility.TOO_OLD)
        return verdict is Eligibility.OK

    def _note_age(self, state: HostState, is_too_old: bool) -> None:
        if state.is_too_old != is_too_old:
            state.is_too_old = is_too_old
            self.on_age_judged(state)

    def may_wait(self, now: int, model: str, revision: int) -> bool:
        """Whether a request that has not begun may still wait at a host that holds this revision."""
        named = self.view.targets.get(model)
        return named is None or not named.is_overdue(now, revision, self.bounds.wait_ns)

    def shortlist(
        self, now: int, name: str, prompt: Prompt, tenant: dict | None, excluded: set[str]
    ) -> Shortlist | None:
        """The hosts whose load decides where the prompt goes; None where the ordinary choice does."""
        service = self.services.get(name)
        if service is None or not self.parameters.shared_work or prompt.model is None:
            return None
        if lane_of(prompt.tokens) is not Lane.LONG:
            return None
        usable = self._usable(service, now, prompt, excluded)
        key = prompt.key(cache_salt(prompt.model, 0, _wall(tenant)))
        weight = 0.0 if excluded else 1.0
        hosts = service.choosers[Lane.LONG].nearest(now, key, usable, self.parameters.candidates, weight)
        if len(hosts) < 2:
            return None
        hosts = hosts[:MOST_ASKED]
        parts = self._parts(usable, hosts, prompt, _wall(tenant)) if self.parameters.shared_parts else {}
        return Shortlist(name, tuple(hosts), parts)

    def _parts(self, usable: UsableHosts, hosts: list[str], prompt: Prompt, wall) -> dict[str, str]:
        """The salt of each key under which one of the hosts may keep the largest shared part."""
        shared = large_parts(prompt)
        if not shared:
            return {}
        largest = max(shared, key=lambda part: part.tokens).identifier
        salts = {cache_salt(prompt.model, usable[host].revision, wall) for host in hosts}
        return {part_key(salt, largest): salt for salt in salts}

    def _expect(self, now: int, service: ServiceHosts, shortlist: Shortlist, answer: Answer, prompt) -> None:
        """What other data planes have lately sent hosts is expected there, until the hosts report."""
        for key, hosts in answer.readers.items():
            salt = shortlist.parts.get(key)
            for host in hosts if salt is not None else ():
                if host in service.states:
                    self.view.kept.expect(host, salt, prompt.parts[:-1], now, LASTING_NS)

    def place(
        self,
        now: int,
        name: str,
        prompt: Prompt,
        tenant: dict | None,
        priority: int,
        excluded: set[str],
        shortlist: Shortlist | None = None,
        answer: Answer | None = None,
    ) -> Placed | None:
        """A host of the service for the prompt; None when there is none that may be used.

        With a shortlist and what registrars have told of its hosts, the one that reads the prompt soonest."""
        service = self.services.get(name)
        if service is None:
            return None
        wall = _wall(tenant)
        if shortlist is not None and answer is not None and answer.backlogs:
            self._expect(now, service, shortlist, answer, prompt)
            usable = self._usable(service, now, prompt, excluded)
            compared = self._compare(now, shortlist, answer.backlogs, prompt, wall, usable)
            if compared:
                state = usable[min(compared, key=lambda one: one.reading_ms).host]
                placed = self._placed(now, name, service, state, prompt, wall, priority, usable)
                return placed._replace(compared=tuple(compared))
        key = prompt.key(cache_salt(prompt.model or "", 0, wall))
        # The heat of keys counts first attempts only, and those once.
        weight = 0.0 if excluded or shortlist is not None else 1.0
        lane = lane_of(prompt.tokens)
        for paused in (False, True):  # those that are paused for their health only when there is no other
            usable = self._usable(service, now, prompt, excluded, paused)
            choice = self._choose(service, lane, now, key, usable, weight if not paused else 0.0)
            if choice is not None:
                break
        else:
            return None
        state = usable[choice.host]
        if lane is Lane.SHORT and self.parameters.relief:
            state = service.relieved(state, usable)
        return self._placed(now, name, service, state, prompt, wall, priority, usable)

    def _usable(self, service: ServiceHosts, now: int, prompt: Prompt, excluded, paused=False) -> UsableHosts:
        self.count_senders(now)
        self._renew_rules()
        return UsableHosts(
            service,
            now,
            excluded,
            lambda state: self._judge(now, prompt.model, state),
            paused,
            self.view.warm_at,
        )

    def _choose(self, service: ServiceHosts, lane: Lane, now: int, key, usable, weight: float):
        """A host of the prompt's lane, else of the other one."""
        other = Lane.LONG if lane is Lane.SHORT else Lane.SHORT
        choice = service.choosers[lane].choose(now, key, usable, weight=weight)
        if choice is None:
            choice = service.choosers[other].choose(now, key, usable, weight=0.0)
        return choice

    def _compare(
        self, now: int, shortlist: Shortlist, backlogs, prompt: Prompt, wall, usable
    ) -> list[ComparedHost]:
        """When each host of the shortlist would have read the prompt, in ring order.

        A host of which nothing was told counts with this balancer's own requests there."""
        for backlog in backlogs.values():
            self.rate.note(now, backlog)
        compared = []
        for name in shortlist.hosts:
            state = usable.get(name)
            if state is None:
                continue
            backlog = backlogs.get(name) or Backlog(waiting=state.in_flight_work)
            rate = self.rate.of(backlog) if self.parameters.host_speeds else self.rate.typical
            took = self._reading_ms(now, shortlist.service, state, backlog, rate, prompt, wall, usable)
            compared.append(ComparedHost(name, backlog.waiting, rate, took))
        return compared

    def _reading_ms(
        self, now: int, name: str, state, backlog: Backlog, rate: float | None, prompt: Prompt, wall, usable
    ) -> float:
        """When the host would have read the prompt (ms); in tokens while no speed is known."""
        salt = cache_salt(prompt.model, state.revision, wall)
        reading = prompt.tokens - self.sources.kept_tokens(now, state.identifier, salt, prompt.parts)
        source = self._source(now, name, state, salt, prompt, usable, rate)
        moving = 0.0
        if source is not None and source.tokens:
            reading -= source.tokens
            moving = source.move_ms
        tokens = backlog.waiting + max(0, reading)
        return tokens / rate + moving if rate else tokens

    def _source(self, now: int, name: str, state, salt: str, prompt: Prompt, usable, rate) -> Source | None:
        if not self.parameters.fetch:
            return None
        return self.sources.best(now, name, state, salt, prompt, usable, rate)

    def _placed(
        self, now: int, name: str, service: ServiceHosts, state, prompt: Prompt, wall, priority, usable
    ) -> Placed:
        service.health.sent(now, state.identifier)
        reservation = service.warmup.reserve(state.identifier)
        headers = [("priority", str(min(MOST_PRIORITY, priority)))]
        if prompt.model is None:
            return Placed(state, None, prompt.size, headers, reservation=reservation)
        salt = cache_salt(prompt.model, state.revision, wall)
        headers.append(("cache-salt", salt))
        if state.revision:
            headers.append(("expect-version", str(state.revision)))
        kept = self.sources.kept_tokens(now, state.identifier, salt, prompt.parts)
        rate = self.rate.typical
        source = self._source(now, name, state, salt, prompt, usable, rate)
        if self.parameters.save:
            store = self.sources.save_to(now, name, state, salt, wall, prompt, rate)
            if store is not None:
                headers.append(("kv-save", store))
        if source is not None:
            headers.append(("kv-fetch", source.address))
        if self.parameters.expect:
            self.view.kept.expect(state.identifier, salt, prompt.parts[:-1] or prompt.parts, now)
        reading = max(0, prompt.tokens - kept - (source.tokens if source is not None else 0))
        work = max(0, prompt.tokens - kept) + GENERATED_WEIGHT * prompt.generated
        parts = tuple(part_key(salt, part.identifier) for part in large_parts(prompt))
        return Placed(
            state,
            state.revision,
            work,
            headers,
            reading,
            reading >= prompt.tokens,
            parts,
            reservation=reservation,
        )


def _wall(tenant: dict | None) -> str | None:
    """The tenant whose parts no other may use, None where they are shared."""
    return tenant["Name"] if tenant is not None and tenant.get("Isolated") else None
