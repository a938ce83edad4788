"""The hosts of one service as this balancer sees them: states, lanes, health, which may be sent to now."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from ..hosts.instance import Instance, Phase
from ..routing.choice import ChoiceParameters, HostChooser, HostState
from ..routing.lanes import FIRST_SHARE, Lane, divide, undivided
from ..routing.outcomes import HostHealth
from ..routing.warmup import SenderCount, WarmupSends

RELIEF_IN_FLIGHT = 3  # own short requests at one host, from which on hosts of the other lane help out
RELIEF_FACTOR = 0.5  # how much less loaded the helping host must be
RELIEF_CANDIDATES = 16  # hosts that are looked at for help


class ServiceHosts:
    """States of the hosts by instance id, and the choosers of the lanes.

    Only hosts that run models are divided into lanes: the others read no prompts."""

    def __init__(
        self,
        random,
        parameters: ChoiceParameters,
        lanes: bool = True,
        warmup: WarmupSends | None = None,
    ):
        self.random = random
        self.warmup = warmup or WarmupSends("", SenderCount())
        self.lanes = lanes
        self.short_share = FIRST_SHARE
        self.has_models = False
        self.states: dict[str, HostState] = {}
        self.names: list[str] = []  # of those that are not draining
        self.capacity = 0  # places of those, outside evacuated zones
        self.health = HostHealth()
        self.choosers = {lane: HostChooser(random, parameters) for lane in Lane}

    def renew(
        self, live: list[Instance], evacuated: Callable[[str], bool] = lambda zone: False
    ) -> list[tuple[str, int]]:
        """Takes over the instances that are not gone; the addresses of those that are.

        Hosts of evacuated zones stay on the rings, so that they are homes again afterwards."""
        present = {instance.identifier for instance in live}
        left = [name for name in self.states if name not in present]
        gone = [self.states.pop(name).address for name in left]
        for name in left:
            self.health.forget(name)
            self.warmup.forget(name)
        for instance in live:
            self._take(instance)
        ready = {name: state for name, state in self.states.items() if not state.draining}
        self.names = list(ready)
        self.capacity = sum(state.capacity for state in ready.values() if not evacuated(state.zone))
        self.has_models = any(instance.models for instance in live)
        self._divide()
        return gone

    def set_division(self, short_share: float) -> None:
        """Short prompts have this share of the hosts from now on; 0 does not divide them."""
        self.short_share = short_share
        self._divide()

    def _divide(self) -> None:
        divided = self.lanes and self.has_models
        lanes = divide(self.names, self.short_share) if divided else undivided(self.names)
        for lane, chooser in self.choosers.items():
            chooser.update(lanes[lane])

    def _take(self, instance: Instance) -> None:
        state = self.states.get(instance.identifier)
        if state is None:
            state = self.states[instance.identifier] = HostState(
                identifier=instance.identifier,
                address=tuple(instance.address),
                zone=instance.zone,
                capacity=instance.capacity,
            )
        state.draining = instance.phase is Phase.DRAINING

    def relieved(self, state: HostState, usable: "UsableHosts") -> HostState:
        """The host for a short prompt: if its own is crowded, one of some others that has far less to do."""
        if state.in_flight < RELIEF_IN_FLIGHT:
            return state
        names = self.random.sample(self.names, min(RELIEF_CANDIDATES, len(self.names)))
        others = [other for name in names if (other := usable.get(name)) is not None]
        least = min(others, key=lambda other: other.in_flight_work, default=state)
        if least.in_flight_work < RELIEF_FACTOR * state.in_flight_work:
            return least
        return state


class UsableHosts(Mapping):
    """The hosts that may be sent one request, each judged when it is asked for and only once.

    `judge(state)` tells whether a host may be used as far as its phase and its weights are concerned. Hosts
    that are paused for their health are left out unless `paused` is true; those that warm up and have had
    their quota are always left out, by the ends of warm-ups in `warm_at`. `values` and `len` are those of all
    hosts of the service: they serve for means."""

    def __init__(
        self,
        service: ServiceHosts,
        now: int,
        excluded: set[str],
        judge,
        paused: bool = False,
        warm_at: Mapping[str, int] = MappingProxyType({}),
    ):
        self.service, self.now, self.excluded, self.judge = service, now, excluded, judge
        self.paused, self.warm_at = paused, warm_at
        self.judged: dict[str, HostState | None] = {}

    def get(self, name: str, default=None):
        if name not in self.judged:
            self.judged[name] = self._judge(name)
        state = self.judged[name]
        return default if state is None else state

    def _judge(self, name: str) -> HostState | None:
        state = self.service.states.get(name)
        if state is None or name in self.excluded or state.draining:
            return None
        if not self.paused and not self.service.health.may_send(self.now, name):
            return None
        if not self.judge(state):
            return None
        return state if self.service.warmup.may_send(self.now, name, self.warm_at.get(name, 0)) else None

    def __getitem__(self, name: str) -> HostState:
        state = self.get(name)
        if state is None:
            raise KeyError(name)
        return state

    def __iter__(self) -> Iterator[str]:
        return iter(self.service.names)

    def __len__(self) -> int:
        return len(self.service.names)

    def values(self):
        return self.service.states.values()
