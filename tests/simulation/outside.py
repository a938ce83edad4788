"""What stands around the fleet: the platform's list, and hosts that take orders for new weights."""

import json
from dataclasses import dataclass, field
from random import Random

from hopsail.controlplane.rollouts import ORDER_PATH, REPORT_PATH, TARGET

from .clock import MILLISECOND

PLATFORM = ("10.9.0.1", 9000)
LOAD_TIME = 500 * MILLISECOND
HOSTS_EACH = 2
SERVICES = ("s-a", "s-c")  # of two parts
MODELS = ("m-a", "m-c")
LAGGING, STOPPED, BUSY, FAILING, SILENT, EMPTY = "lagging", "stopped", "busy", "failing", "silent", "empty"
STATUSES = {BUSY: 429, FAILING: 500, SILENT: 0}
LAG_MOST = 1500 * MILLISECOND
HISTORY = 64  # lists that are remembered
SERVING, DRAINING, GONE = "serving", "draining", "gone"


@dataclass
class Host:
    """Holds one model; judges fences if the rules say so."""

    identifier: str
    address: tuple[str, int]
    service: str
    model: str
    revision: int = 1
    loading: int = 0
    loaded_at: int = 0
    fence: int = 0
    phase: str = SERVING


@dataclass
class Platform:
    """What is wrong with the list, since when, and the lists that it gave before."""

    trouble: str = ""
    since: int = 0
    empty_answers: int = 0  # which are still to come
    history: list[tuple[int, list[dict]]] = field(default_factory=list)


class Outside:
    """Answers the calls of control processes; `hosts` are those that are there, by address."""

    def __init__(self, world, random: Random):
        self.world, self.random = world, random
        self.platform = Platform()
        self.hosts: dict[tuple[str, int], Host] = {}
        self._away: list[Host] = []
        self._numbers = 0
        for service, model in zip(SERVICES, MODELS, strict=True):
            for _ in range(HOSTS_EACH):
                self._come(service, model)

    def _come(self, service: str, model: str, address: tuple[str, int] | None = None) -> None:
        self._numbers += 1
        address = address or (f"10.8.0.{self._numbers}", 8080)
        self.hosts[address] = Host(f"i-{self._numbers}", address, service, model)

    # What befalls hosts and the list.

    def leave(self, number: int, drains: int, lasts: int, same_address: bool) -> None:
        """A host drains and goes; another one comes in its place later, with the weights of old (ms)."""
        serving = [host for host in self.hosts.values() if host.phase == SERVING]
        if not serving:
            return
        host = serving[number % len(serving)]
        host.phase = DRAINING
        self._note()

        def go() -> None:
            host.phase = GONE
            del self.hosts[host.address]
            self._away.append(host)
            self._note()

        def come() -> None:
            if host in self._away:
                self._away.remove(host)
                self._come(host.service, host.model, host.address if same_address else None)
                self._note()

        self.world.after(drains, go)
        self.world.after(drains + lasts, come)

    def trouble_list(self, how: str, lasts: int) -> None:
        """The list lags, stands still, or is refused; or its next answer is empty."""
        if how == EMPTY:
            self.platform.empty_answers = 1
            return
        self._note()
        self.platform.trouble, self.platform.since = how, self.world.clock.now
        since = self.platform.since

        def mend() -> None:
            if self.platform.since == since:
                self.platform.trouble = ""

        self.world.after(lasts, mend)

    def heal(self) -> None:
        """All is well; hosts that are away stay so until their successors come."""
        self.platform.trouble, self.platform.empty_answers = "", 0

    @property
    def is_whole(self) -> bool:
        """Whether all hosts that are to be there are, and none leaves."""
        return not self._away and all(host.phase == SERVING for host in self.hosts.values())

    # Calls.

    def called(self, machine, address, target, headers, body) -> None:
        """A control process makes a call; orders are judged by when they are sent."""
        host = self.hosts.get(address)
        if host is not None and target == ORDER_PATH:
            named = dict(headers).get(TARGET, host.identifier)
            self.world.checker.ordered(machine, named, host.service, json.loads(body))

    def call(self, address, target, headers, body) -> tuple[int, bytes]:
        """Status and body; 0 when there is no answer."""
        if address == PLATFORM:
            return self._list()
        host = self.hosts.get(address)
        if host is None:
            return 0, b""
        if dict(headers).get(TARGET, host.identifier) != host.identifier:
            return 421, b""
        self._load(host)
        if target == ORDER_PATH:
            return self._order(host, json.loads(body)), b""
        if target == REPORT_PATH:
            models = [{"Name": host.model, "Revision": host.revision}]
            return 200, json.dumps({"Saturated": host.loading > 0, "Models": models}).encode()
        return 404, b""

    def _list(self) -> tuple[int, bytes]:
        self._note()
        platform = self.platform
        status = STATUSES.get(platform.trouble, 200)
        if status != 200:
            return status, b""
        entries = self._entries_as_of(self._told_time())
        if platform.empty_answers:
            platform.empty_answers -= 1
            entries = []
        return 200, json.dumps({"Instances": entries, "NextToken": None}).encode()

    def _told_time(self) -> int:
        """As of when the list is told."""
        now = self.world.clock.now
        if self.platform.trouble == LAGGING:
            return now - self.random.randint(0, LAG_MOST)
        return self.platform.since if self.platform.trouble == STOPPED else now

    def _entries_as_of(self, time: int) -> list[dict]:
        history = self.platform.history
        return next((entries for noted, entries in reversed(history) if noted <= time), history[0][1])

    def _note(self) -> None:
        """Remembers the list as it is now."""
        history = self.platform.history
        history.append((self.world.clock.now, self._entries()))
        del history[:-HISTORY]

    def _entries(self) -> list[dict]:
        entries = []
        for host in self.hosts.values():
            self._load(host)
            entries.append(
                {
                    "InstanceId": host.identifier,
                    "Service": host.service,
                    "Address": "{}:{}".format(*host.address),
                    "Zone": "z1",
                    "Capacity": 8,
                    "Phase": host.phase,
                    "WarmupLeftMs": 0,
                    "Models": [{"Name": host.model, "Revision": host.revision}],
                    "Revision": "v1",
                }
            )
        return entries

    def _order(self, host: Host, order: dict) -> int:
        if self.world.rules.fence_checked and order["FenceToken"] < host.fence:
            return 412
        host.fence = max(host.fence, order["FenceToken"])
        if order["Revision"] <= host.revision:
            return 200
        if host.loading:
            return 409
        host.loading, host.loaded_at = order["Revision"], self.world.clock.now + LOAD_TIME
        return 202

    def _load(self, host: Host) -> None:
        if host.loading and self.world.clock.now >= host.loaded_at:
            host.revision, host.loading = host.loading, 0
