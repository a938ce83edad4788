"""Which host a request goes to, and what the host is told: salt, expected version, where parts are."""

from collections.abc import Callable
from typing import NamedTuple

from ..configuration.process import ProcessSettings
from ..hosts.instance import Instance, Phase, parse_address
from ..prompts.reuse import WallReuse
from ..prompts.salt import cache_salt
from ..routing.choice import ChoiceParameters, HostState
from ..routing.lanes import Lane, lane_of
from ..weights.eligibility import Eligibility, EligibilityBounds, eligible, held_revision
from .prompt import GENERATED_WEIGHT, Prompt
from .service_hosts import ServiceHosts, UsableHosts
from .view import FleetView

MILLISECOND = 1_000_000
LEAST_FETCHED = 512  # tokens of a part that is worth a move
SAVE_EXPECTED = 2500 * MILLISECOND  # a part that was to be saved and is not told of by then is saved anew
MOST_PRIORITY = 9


class Placed(NamedTuple):
    """A host for one attempt, with what is told to it."""

    host: HostState
    revision: int | None
    work: float  # tokens that the prompt is expected to cost there
    headers: list[tuple[str, str]]


class Placement:
    """Hosts of all services, kept up with the view."""

    def __init__(self, settings: ProcessSettings, view: FleetView, random, parameters=None):
        self.view, self.random = view, random
        self.parameters = parameters or ChoiceParameters()
        self.services: dict[str, ServiceHosts] = {}
        self.zone = settings.zone
        self.reuse = WallReuse()
        bounds = settings.bounds
        self.bounds = EligibilityBounds(apply_one_ns=int(bounds.apply_one_ms * MILLISECOND))
        self.on_age_judged: Callable[[HostState], None] = lambda state: None

    def renew(self) -> list[tuple[str, int]]:
        """Takes over changes of the view's instances; the addresses of hosts that are gone."""
        gone = []
        live: dict[str, list[Instance]] = {}
        for instance in self.view.instances.values():
            if instance.phase is not Phase.GONE:
                live.setdefault(instance.service, []).append(instance)
        for name in set(self.services) | set(live):
            service = self.services.get(name)
            if service is None:
                service = self.services[name] = ServiceHosts(self.random, self.parameters)
            gone += service.renew(live.get(name, []))
        return gone

    def capacity(self, name: str) -> int:
        """Places of a service's hosts that are not draining."""
        service = self.services.get(name)
        return service.capacity if service is not None else 0

    def _judge(self, now: int, model: str | None, state: HostState) -> bool:
        """Whether the host serves and its weights are such that it may be sent the model's requests."""
        instance = self.view.instances.get(state.identifier)
        if instance is None or instance.phase is not Phase.SERVING:
            return False
        if not model or not instance.models:
            return True
        listed = instance.model_revision(model)
        if listed is None:
            return False
        load, named = self.view.loads.get(instance.load_key(model)), self.view.targets.get(model)
        state.revision = held_revision(listed, load)
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

    def place(
        self, now: int, name: str, prompt: Prompt, tenant: dict | None, priority: int, excluded: set[str]
    ) -> Placed | None:
        """A host of the service for the prompt; None when there is none that may be used."""
        service = self.services.get(name)
        if service is None:
            return None
        wall = tenant["Name"] if tenant is not None and tenant.get("Isolated") else None
        key = prompt.key(cache_salt(prompt.model or "", 0, wall))
        weight = 0.0 if excluded else 1.0  # the heat of keys counts first attempts only
        lane = lane_of(prompt.tokens)
        for paused in (False, True):  # those that are paused for their health only when there is no other
            usable = UsableHosts(
                service, now, excluded, lambda state: self._judge(now, prompt.model, state), paused
            )
            choice = self._choose(service, lane, now, key, usable, weight if not paused else 0.0)
            if choice is not None:
                break
        else:
            return None
        state = usable[choice.host]
        if lane is Lane.SHORT:
            state = service.relieved(state, usable)
        service.health.sent(now, state.identifier)
        return self._placed(now, state, prompt, wall, priority, usable)

    def _choose(self, service: ServiceHosts, lane: Lane, now: int, key, usable, weight: float):
        """A host of the prompt's lane, else of the other one."""
        other = Lane.LONG if lane is Lane.SHORT else Lane.SHORT
        choice = service.choosers[lane].choose(now, key, usable, weight=weight)
        if choice is None:
            choice = service.choosers[other].choose(now, key, usable, weight=0.0)
        return choice

    def _placed(self, now, state, prompt: Prompt, wall, priority, usable) -> Placed:
        headers = [("priority", str(min(MOST_PRIORITY, priority)))]
        if prompt.model is None:
            return Placed(state, None, prompt.size, headers)
        salt = cache_salt(prompt.model, state.revision, wall)
        headers.append(("cache-salt", salt))
        if state.revision:
            headers.append(("expect-version", str(state.revision)))
        kept = self._kept_tokens(now, state.identifier, salt, prompt.parts)
        headers += self._moves(now, state, salt, wall, prompt, usable)
        self.view.kept.expect(state.identifier, salt, prompt.parts[:-1] or prompt.parts, now)
        work = max(0, prompt.tokens - kept) + GENERATED_WEIGHT * prompt.generated
        return Placed(state, state.revision, work, headers)

    def _moves(
        self, now: int, state, salt: str, wall: str | None, prompt: Prompt, usable
    ) -> list[tuple[str, str]]:
        """Where the host is to take large shared parts from that it lacks, and where it is to save them.

        A source is always named, since the host may have dropped what it was told to keep: asking in vain
        costs a millisecond, reading the part again its whole length."""
        shared = [part for part in prompt.parts[:-1] if part.tokens >= LEAST_FETCHED]
        if not shared:
            return []
        store = self._store()
        kept = self.view.kept
        stored = store is not None and all(kept.keeps(store, salt, part, now) for part in shared)
        headers = []
        self.reuse.note(wall)
        if store is not None and not stored and self.reuse.worth_saving(wall):
            headers.append(("kv-save", store))
            kept.expect(store, salt, shared, now, SAVE_EXPECTED)
        source = store or self._peer(now, state, salt, shared, usable)
        if source is not None:
            headers.append(("kv-fetch", source))
        return headers

    def _peer(self, now: int, state, salt: str, shared, usable) -> str | None:
        """Another host that keeps the first large part, or should."""
        holders = self.view.kept.holders(salt, shared[0].identifier, now)
        for holder, tokens in holders.items():
            peer = usable.get(holder)
            if peer is not None and peer is not state and tokens >= shared[0].tokens:
                return f"{peer.address[0]}:{peer.address[1]}"
        return None

    def _kept_tokens(self, now: int, host: str, salt: str, parts) -> int:
        kept = 0
        for part in parts:
            if not self.view.kept.keeps(host, salt, part, now):
                break
            kept += part.tokens
        return kept

    def _store(self) -> str | None:
        """The address of a store that is up."""
        table = self.view.table
        store = table.store_for(self.zone) if table is not None else None
        if store is None or not self.view.store_is_up(store["Name"]):
            return None
        return str(parse_address(store["StoreAddr"]))
