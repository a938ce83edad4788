"""What stands around the fleet: the platform's list, and hosts that take orders for new weights."""

import json
from dataclasses import dataclass

from hopsail.controlplane.rollouts import ORDER_PATH, REPORT_PATH

from .clock import MILLISECOND

PLATFORM = ("10.9.0.1", 9000)
LOAD_TIME = 500 * MILLISECOND
HOSTS_EACH = 2
SERVICES = ("s-a", "s-c")  # of two parts
MODELS = ("m-a", "m-c")


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


class Outside:
    """Answers the calls of control processes."""

    def __init__(self, world):
        self.world = world
        self.hosts: dict[tuple[str, int], Host] = {}
        for service, model in zip(SERVICES, MODELS, strict=True):
            for _ in range(HOSTS_EACH):
                number = len(self.hosts) + 1
                address = (f"10.8.0.{number}", 8080)
                self.hosts[address] = Host(f"i-{number}", address, service, model)

    def called(self, machine, address, target, body) -> None:
        """A control process makes a call; orders are judged by when they are sent."""
        host = self.hosts.get(address)
        if host is not None and target == ORDER_PATH:
            self.world.checker.ordered(machine, host.identifier, host.service, json.loads(body))

    def call(self, address, target, body) -> tuple[int, bytes]:
        """Status and body; 0 when there is no answer."""
        if address == PLATFORM:
            return 200, self._list()
        host = self.hosts.get(address)
        if host is None:
            return 0, b""
        self._load(host)
        if target == ORDER_PATH:
            return self._order(host, json.loads(body)), b""
        if target == REPORT_PATH:
            models = [{"Name": host.model, "Revision": host.revision}]
            return 200, json.dumps({"Saturated": host.loading > 0, "Models": models}).encode()
        return 404, b""

    def _list(self) -> bytes:
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
                    "Phase": "serving",
                    "WarmupLeftMs": 0,
                    "Models": [{"Name": host.model, "Revision": host.revision}],
                    "Revision": "v1",
                }
            )
        return json.dumps({"Instances": entries, "NextToken": None}).encode()

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
