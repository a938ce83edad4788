"""`python -m hopsail.standins.fleet --seconds 20`: the real programs among stand-ins, on loopback.

Brings up data planes, control processes, hosts, a store and the platform, puts a configuration, serves
prompts, kills a control process, changes the configuration, replaces a host, names new weights, and prints
the judge's verdict. It ends only processes that it has started. Addresses are 127.A.B.x, with A and B from
its process id."""

import argparse
import os
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from ..net.loop import Loop
from .client import LoadClient, RouteLoad
from .fabric import Address, Fabric
from .host import Host, HostSettings
from .ingress import Edge, Ingress
from .judge import Verdict, judge
from .kept import MILLISECOND
from .operator import Answer, Operator
from .platform import Platform
from .processes import Process, end
from .records import Journal
from .settings import CONTROL_PORT, CORE, EDGE, FRONTEND_PORT, READINESS_PORT, Machine, Surroundings
from .store import Store

SECOND = 1000 * MILLISECOND
ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}
MODEL, SERVICE, STORE = "model-1", "llm", "store"
HOSTNAME = "fleet.example"
HOST_PORT, STORE_PORT, PLATFORM_PORT = 8080, 8165, 8161
CAPACITY, CACHE_TOKENS, STORE_TOKENS = 12, 140_644, 2_000_474
UNFRAMED_SHARE = 0.3  # of the streams of hosts
DRAIN_MS = 3000
ADDRESSES_OF_A_BLOCK = 256
BLOCKS_OF_A_TRIAL = 4  # stand-ins and control planes, data planes, hosts, and one that is free
BLOCKS_OF_A_NUMBER = 63  # trials whose addresses begin with the same two numbers
BLOCKS = 250 * BLOCKS_OF_A_NUMBER
FIRST_CORE, FIRST_EDGE, FIRST_HOST = 50, ADDRESSES_OF_A_BLOCK + 1, 2 * ADDRESSES_OF_A_BLOCK + 1
MOST_EDGES = 254  # and as many hosts
LONG_PROMPT, SHORT_PROMPT = (13_300, 3_720, 17), (92, 291, 6)  # tokens: shared, own, generated
LONG_SHARE = 0.15  # weight of a route of long prompts, beside 1 of one of short ones
READY_WITHIN = 20  # s
TAKEN_WITHIN = 15  # s
GRACE = 8  # s for a process to end in order
LAST_ANSWERS = 7  # s after the load's end, in which the last requests are answered
TENANTS = [
    {"Name": "tenant-a", "ApiKeys": ["key-a-1"], "Priority": 0, "Isolated": False},
    {"Name": "tenant-b", "ApiKeys": ["key-b-1"], "Priority": 1, "Isolated": True},
    {"Name": "tenant-c", "ApiKeys": ["key-c-1"], "Priority": 1, "Isolated": False},
]


class TrialError(RuntimeError):
    """The trial can't go on; the text says why."""


def route_item(name: str, prefix: str, *, resumable: bool) -> dict:
    """One route of the configuration."""
    return {
        "Name": name, "Hostname": HOSTNAME, "PathPrefix": prefix, "RouteKind": "streaming",
        "DeadlineMs": 6000, "TargetMs": 600, "Priority": 1, "Service": SERVICE, "MaxTries": 2,
        "Public": False, "Affine": True,
        "Resumable": resumable, "gap_aim_ms": 250,
    }  # fmt: skip


def load_of(route: dict, tenant: dict, weight: float) -> RouteLoad:
    """Requests of one tenant on a route: long prompts on resumable ones, short ones on the others."""
    shared, own, generated = LONG_PROMPT if route["Resumable"] else SHORT_PROMPT
    return RouteLoad(
        name=f"{route['Name']}/{tenant['Name']}", hostname=HOSTNAME, prefix=route["PathPrefix"],
        streaming=True, idempotent=route["Resumable"], deadline_ms=route["DeadlineMs"],
        key=tenant["ApiKeys"][0],
        tenant=tenant["Name"], model=MODEL, shared=shared, own=own, generated=generated, weight=weight,
    )  # fmt: skip


def loads_of(routes: list[dict]) -> list[RouteLoad]:
    """Requests of all tenants on some routes."""
    shares = [(route, LONG_SHARE if route["Resumable"] else 1.0) for route in routes]
    return [load_of(route, tenant, share) for route, share in shares for tenant in TENANTS]


def address_block() -> str:
    """The first three numbers of this trial's first addresses; the two blocks that follow are its too."""
    block = os.getpid() % BLOCKS
    return f"127.{1 + block // BLOCKS_OF_A_NUMBER}.{block % BLOCKS_OF_A_NUMBER * BLOCKS_OF_A_TRIAL}"


class Fleet:
    """One trial: the stand-ins on one loop, and the real programs as children."""

    def __init__(self, folder: Path, *, edges: int = 2, cores: int = 3, hosts: int = 3, seed: str = "1"):
        self.loop, self.folder, self.seed = Loop(), folder, seed
        self.block, self.zones = address_block(), list(ZONES)
        self.journal, self.fabric = Journal(), Fabric()
        self.platform = Platform(self.loop, self.place(2, PLATFORM_PORT))
        self.store = Store(self.loop, self.place(3, STORE_PORT), self.fabric, STORE_TOKENS, seed=seed)
        self.hosts: list[Host] = []
        self.next_host = 0
        for _ in range(hosts):
            self.add_host(at_once=True)
        self.processes = self._processes(edges, cores)
        self.edges = [process for process in self.processes if process.machine.machine_class == EDGE]
        self.cores = [process for process in self.processes if process.machine.machine_class == CORE]
        controls = [(process.machine.address, CONTROL_PORT) for process in self.cores]
        self.operator = Operator(self.loop, controls, self.fabric, seed)
        self.ingress: Ingress | None = None
        self.client: LoadClient | None = None
        self.said: list[str] = []

    def address(self, number: int) -> str:
        """The address of that number, counted from the trial's first one."""
        above, number = divmod(number, ADDRESSES_OF_A_BLOCK)
        head, _, last = self.block.rpartition(".")
        return f"{head}.{int(last) + above}.{number}"

    def place(self, number: int, port: int) -> Address:
        return self.address(number), port

    def _processes(self, edges: int, cores: int) -> list[Process]:
        seeds = [self.place(FIRST_CORE + number, CONTROL_PORT) for number in range(min(3, cores))]
        around = Surroundings(ZONES, seeds, self.platform.address)
        made = []
        for number in range(cores):
            folder = self.folder / f"disk-{number}"
            folder.mkdir()
            zone = self.zones[number % len(self.zones)]
            machine = Machine(
                f"core-{zone}-{number}", CORE, self.address(FIRST_CORE + number), zone, str(folder)
            )
            made.append(Process(machine, around, self.folder))
        for number in range(edges):
            zone = self.zones[number % len(self.zones)]
            machine = Machine(f"edge-{zone}-{number}", EDGE, self.address(FIRST_EDGE + number), zone)
            made.append(Process(machine, around, self.folder))
        return made

    def add_host(self, at_once: bool = False) -> Host:
        """A host that is new, at an address of its own; the platform lists it after its lag."""
        self.next_host += 1
        return self.start_host(self.next_host - 1, "", at_once=at_once)

    def start_host(
        self, number: int, incarnation: str, *, behind: bool = False, at_once: bool = False
    ) -> Host:
        """A host at the address of that number; `behind` if it starts with the first version of its model."""
        settings = HostSettings(
            SERVICE, self.place(FIRST_HOST + number, HOST_PORT), self.zones[number % len(self.zones)],
            {MODEL: 1}, capacity=CAPACITY, cache_tokens=CACHE_TOKENS, behind=behind,
            unframed_share=UNFRAMED_SHARE,
            seed=f"{self.seed}/{number}{incarnation}",
        )  # fmt: skip
        host = Host(
            self.loop, settings, self.fabric, self.journal,
            changed=lambda host: self.platform.changed(host.entry()),
            draining_shown=lambda identifier: self.platform.shown_draining.get(identifier),
        )  # fmt: skip
        self.hosts.append(host)
        self.platform.changed(host.entry(), at_once)
        return host

    def configuration(self, revision: int, routes: list[dict]) -> dict:
        """A whole configuration with these routes."""
        runtime = {
            "Capacity": CAPACITY, "CacheTokens": CACHE_TOKENS, "TokenBytes": 163840, "LinkMbps": 1100000.0,
            "stride": 7, "MaxInflight": 12, "Models": [{"Name": MODEL}],
        }  # fmt: skip
        store = "{}:{}".format(*self.store.address)
        return {
            "Revision": revision,
            "Routes": routes,
            "Services": [
                {"Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 170, "Protocol": "h1",
                 "TlsMode": False, "Runtime": runtime},
                {"Name": STORE, "StoreAddr": store, "Zone": self.zones[0], "CacheTokens": STORE_TOKENS,
                 "LinkMbps": 300000.0, "MaxInflight": 12},
            ],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderWaitMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": TENANTS,
        }  # fmt: skip

    # Steps of a trial.

    def say(self, text: str) -> None:
        self.said.append(text)
        print(text, flush=True)

    def start(self) -> None:
        """Starts all processes at once."""
        for process in self.processes:
            process.start()
        places = [process.machine.address for process in self.edges]
        edges = [Edge((place, FRONTEND_PORT), (place, READINESS_PORT)) for place in places]
        self.ingress = Ingress(self.loop, edges, self.seed)
        self.client = LoadClient(self.loop, self.ingress, self.journal, [], seed=self.seed)

    def run(self, seconds: float) -> None:
        """Goes on for so long; ends early when a process has ended by itself."""
        until = self.loop.now() + int(seconds * SECOND)
        self.run_until(lambda: self.loop.now() >= until, seconds + 1)

    def run_until(self, reached: Callable[[], bool], seconds: float) -> bool:
        """Goes on until something holds, at most so long; whether it holds."""
        until = self.loop.now() + int(seconds * SECOND)
        while not reached() and self.loop.now() < until:
            self.loop.round(0.02)
            for process in self.processes:
                if process.child is not None and not process.running and not process.killed:
                    status = process.child.returncode
                    raise TrialError(f"{process.machine.name} has ended by itself, status {status}")
        return reached()

    def answered(
        self, call: Callable[[Callable[[Answer], None]], None], seconds: float = TAKEN_WITHIN
    ) -> Answer:
        """The operator's answer to a call; TrialError when there is none in time."""
        answers: list[Answer] = []
        call(answers.append)
        if not self.run_until(lambda: bool(answers), seconds):
            raise TrialError(f"the operator has no answer after {seconds} s")
        return answers[0]

    def change(self, what: str, call: Callable[[Callable[[Answer], None]], None]) -> None:
        """A change that must be acknowledged."""
        answer = self.answered(call)
        self.say(f"{what}: {answer.status} after {answer.took_ms:.0f} ms, {answer.tries} tries")
        if not answer.taken:
            raise TrialError(f"{what} was not taken: {answer.status} {answer.body[:200]!r}")

    def wait_until_ready(self) -> None:
        """Waits for all data planes to call themselves ready."""
        began = self.loop.now()
        if not self.run_until(lambda: self.ingress.ready == len(self.edges), READY_WITHIN):
            raise TrialError(f"{self.ingress.ready} of {len(self.edges)} data planes are ready")
        self.say(f"all data planes ready after {(self.loop.now() - began) / SECOND:.1f} s")

    def served_on(self, name: str) -> int:
        """Requests served on a route, of all tenants."""
        return sum(count for key, count in self.client.served.items() if key.partition("/")[0] == name)

    def verdict(self) -> Verdict:
        """The judge's verdict on all until now."""
        isolated = [tenant["Name"] for tenant in TENANTS if tenant["Isolated"]]
        return judge(self.journal, self.operator.sent, isolated, DRAIN_MS)

    def close(self) -> None:
        """Ends the processes and gives back all sockets."""
        end(self.processes)
        for part in (self.client, self.ingress, self.operator, self.platform, self.store, *self.hosts):
            if part is not None:
                part.close()
        self.loop.close()


def trouble(fleet: Fleet) -> None:
    """A host crashes in the middle of its streams, and a data plane is stopped in order and started again."""
    fleet.run_until(lambda: max(len(host.running) for host in fleet.hosts) > 1, GRACE)
    lost = max(fleet.hosts, key=lambda host: len(host.running))
    broken = len(lost.running)
    lost.crash()
    fleet.add_host()
    fleet.say(f"host {lost.identifier} crashed with {broken} requests under way")
    fleet.run(2)
    fleet.platform.removed(lost.identifier)
    stopped = fleet.edges[-1]
    began = fleet.loop.now()
    stopped.terminate()
    if not fleet.run_until(lambda: not stopped.running, GRACE):
        raise TrialError(f"{stopped.machine.name} has not ended within {GRACE} s")
    fleet.say(f"{stopped.machine.name} ended {(fleet.loop.now() - began) / SECOND:.1f} s after its SIGTERM")
    stopped.start()
    fleet.wait_until_ready()


def play(fleet: Fleet, seconds: float, per_second: float, troubles: bool = False) -> Verdict:
    """The whole trial; the load lasts for `seconds`, with troubles some seconds more."""
    first = [
        route_item("resumable", "/resumable/", resumable=True),
        route_item("once", "/once/", resumable=False),
    ]
    added = route_item("added", "/added/", resumable=False)
    part = seconds / 6
    fleet.start()
    fleet.change(
        "put configuration 5", lambda done: fleet.operator.put(fleet.configuration(5, first), 0, done)
    )
    fleet.wait_until_ready()
    fleet.client.routes = loads_of(first)
    fleet.client.start(per_second)
    fleet.run(part)
    victim = fleet.cores[0]
    victim.kill()
    fleet.say(f"killed {victim.machine.name}")
    fleet.run(part / 2)
    whole = fleet.configuration(9, [*first, added])
    patch = {"Revision": 9, "Upsert": {"Routes": [added]}}
    fleet.change("patch to configuration 9", lambda done: fleet.operator.patch(patch, whole, 5, done))
    fleet.run(2)
    fleet.client.routes += loads_of([added])
    if troubles:
        trouble(fleet)
    fleet.run(part)
    victim.start()
    fleet.say(f"started {victim.machine.name} again")
    leaving = next(host for host in fleet.hosts if not host.gone)
    fleet.add_host()
    leaving.drain()
    fleet.say(f"host {leaving.identifier} drains, a new one has come")
    fleet.change("name version 2", lambda done: fleet.operator.name_version(MODEL, 2, done))
    fleet.run(max(part * 2, DRAIN_MS / 1000 + 2))
    fleet.platform.removed(leaving.identifier)
    leaving.crash()
    fleet.run(part)
    fleet.client.stop()
    fleet.run_until(lambda: fleet.client.open == 0, LAST_ANSWERS)
    _finish(fleet, whole)
    return fleet.verdict()


def _finish(fleet: Fleet, whole: dict) -> None:
    """What must hold at the end beside the rules."""
    answer = fleet.answered(fleet.operator.read)
    if not answer.taken or answer.tree != whole:
        raise TrialError(f"read back: {answer.status} {answer.body[:200]!r}")
    fleet.say("configuration 9 read back as it was sent")
    held = {host.identifier: host.models[MODEL] for host in fleet.hosts if not host.gone}
    fleet.say(f"versions held: {held}")
    for route in ("resumable", "once", "added"):
        asked = sum(count for key, count in fleet.client.asked.items() if key.partition("/")[0] == route)
        fleet.say(f"route {route}: {fleet.served_on(route)} of {asked} served")


def _tell(fleet: Fleet, verdict: Verdict) -> None:
    for line in verdict.lines():
        print(line)
    drawn = sum(len(run.drew_on) for run in fleet.journal.runs)
    print(f"parts drawn from memory: {drawn} in {len(fleet.journal.runs)} runs")
    print(f"platform calls: {fleet.platform.calls}, over the rate: {fleet.platform.refused}")
    for process in fleet.processes:
        for line in process.faults()[:5]:
            print(f"{process.machine.name}: {line}")


def main() -> int:
    """The command line; 0 when no rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m hopsail.standins.fleet", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0, help="how long the load lasts")
    parser.add_argument("--per-second", type=float, default=30.0, help="requests a second")
    parser.add_argument("--edges", type=int, default=2)
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--troubles", action="store_true", help="also crash a host, stop a data plane")
    parser.add_argument("--seed", default="1")
    parser.add_argument("--folder", help="where settings, disks and logs are kept; else they are removed")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="hopsail-fleet-") as temporary:
        folder = Path(given.folder or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(folder, edges=given.edges, cores=given.cores, hosts=given.hosts, seed=given.seed)
        try:
            verdict = play(fleet, given.seconds, given.per_second, given.troubles)
        except TrialError as error:
            print(f"failed: {error}")
            _tell(fleet, fleet.verdict())
            _show_logs(fleet)
            return 1
        finally:
            fleet.close()
        _tell(fleet, verdict)
    return 1 if verdict.violations or verdict.cut_off else 0


def _show_logs(fleet: Fleet, most: int = 15) -> None:
    for process in fleet.processes:
        for line in process.log_lines()[-most:]:
            print(f"{process.machine.name}: {line}")


if __name__ == "__main__":
    sys.exit(main())
