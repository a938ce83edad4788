"""`python -m hopsail.standins.two_versions PATH`: two versions of the programs in one fleet, on loopback.

PATH is a checkout of another version. The fleet starts with one version; then the data planes and each
control process in turn are restarted as the other version, control processes on the same disk. After each
such restart a change of the configuration must be acknowledged, and that process must return it. Both orders
are played: from the other version to this one, and back.
"""

import argparse
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from .fleet import GRACE, MODEL, Fleet, TrialError, loads_of, route_item
from .judge import Verdict
from .processes import ROOT, Process
from .settings import CONTROL_PORT

REQUESTS_PER_SECOND = 20
FIRST_REVISION = 5
CAUGHT_UP_SECONDS = 15.0
SERVED_SECONDS = 15.0
MIXED_SECONDS = 2.0  # how long each mixture of versions serves
SERVED_REQUESTS = 5
BASE_ROUTES = [
    route_item("resumable", "/resumable/", resumable=True),
    route_item("once", "/once/", resumable=False),
]


@dataclass(frozen=True, slots=True)
class Version:
    """One version of the programs: a name for the report, and the folder that holds its `hopsail` package."""

    name: str
    root: Path


class UpgradeTrial:
    """One fleet that moves from one version to another, process by process."""

    def __init__(self, fleet: Fleet, before: Version, after: Version):
        self.fleet, self.before, self.after = fleet, before, after
        self.routes = list(BASE_ROUTES)
        self.revision = FIRST_REVISION

    def play(self) -> Verdict:
        """The whole move under load; raises TrialError when a step fails."""
        self._start()
        self._restart(self.fleet.edges[-1])
        self.fleet.wait_until_ready()
        for number, process in enumerate(self.fleet.cores):
            self._restart(process, in_order=number % 2 == 0)
            self._add_route(f"added-{number}")
            self._expect_configuration(process)
            self.fleet.run(MIXED_SECONDS)
            if number == 0:
                self.fleet.change(
                    "name version 2", lambda done: self.fleet.operator.name_version(MODEL, 2, done)
                )
        self._restart(self.fleet.edges[0])
        self.fleet.wait_until_ready()
        self._finish()
        return self.fleet.verdict()

    def _start(self) -> None:
        for process in self.fleet.processes:
            process.root = self.before.root
        self.fleet.start()
        first = self.fleet.configuration(self.revision, self.routes)
        self.fleet.change("put the first configuration", lambda done: self.fleet.operator.put(first, 0, done))
        self.fleet.wait_until_ready()
        self.fleet.client.routes = loads_of(self.routes)
        self.fleet.client.start(REQUESTS_PER_SECOND)
        self.fleet.run(MIXED_SECONDS)

    def _restart(self, process: Process, *, in_order: bool = True) -> None:
        """Restarts a process as the new version, after SIGTERM or after it was killed."""
        if in_order:
            process.terminate()
        else:
            process.kill()
        if not self.fleet.run_until(lambda: not process.running, GRACE):
            raise TrialError(f"{process.machine.name} has not ended within {GRACE} s")
        process.root = self.after.root
        process.start()
        self.fleet.say(f"{process.machine.name} restarted as {self.after.name}")

    def _add_route(self, name: str) -> None:
        """Adds a route, and waits until it is served."""
        route = route_item(name, f"/{name}/", resumable=False)
        current, self.revision = self.revision, self.revision + 1
        self.routes.append(route)
        complete = self.fleet.configuration(self.revision, self.routes)
        patch = {"Revision": self.revision, "Upsert": {"Routes": [route]}}
        self.fleet.change(
            f"patch to configuration {self.revision}",
            lambda done: self.fleet.operator.patch(patch, complete, current, done),
        )
        self.fleet.client.routes = self.fleet.client.routes + loads_of([route])
        if not self.fleet.run_until(lambda: self.fleet.served_on(name) >= SERVED_REQUESTS, SERVED_SECONDS):
            raise TrialError(f"route {name} is not served")

    def _expect_configuration(self, process: Process) -> None:
        """The restarted process returns the configuration that was acknowledged last."""
        operator, addresses = self.fleet.operator, self.fleet.operator.addresses
        operator.addresses = [(process.machine.address, CONTROL_PORT)]
        expected = self.fleet.configuration(self.revision, self.routes)
        answer = self.fleet.answered(operator.read, CAUGHT_UP_SECONDS)
        operator.addresses = addresses
        if answer.tree != expected:
            raise TrialError(f"{process.machine.name} returns {answer.status} {answer.body[:200]!r}")

    def _finish(self) -> None:
        hosts = self.fleet.hosts
        if not self.fleet.run_until(lambda: all(host.models[MODEL] == 2 for host in hosts), SERVED_SECONDS):
            raise TrialError("not all hosts have the named version")
        self.fleet.client.stop()
        if not self.fleet.run_until(lambda: self.fleet.client.open == 0, SERVED_SECONDS):
            raise TrialError("requests are still open")


def play(before: Version, after: Version) -> bool:
    """Plays one order and prints what was seen; whether it went well."""
    print(f"from {before.name} to {after.name}")
    with tempfile.TemporaryDirectory(prefix="hopsail-versions-") as folder:
        fleet = Fleet(Path(folder))
        try:
            verdict = UpgradeTrial(fleet, before, after).play()
            faults = [
                f"{process.machine.name}: {line}" for process in fleet.processes for line in process.faults()
            ]
        except TrialError as error:
            print(f"failed: {error}")
            return False
        finally:
            fleet.close()
    for line in [*verdict.lines(), *faults]:
        print(line)
    return not (verdict.violations or verdict.cut_off or faults)


def main() -> int:
    """The command line; 0 when both orders went well."""
    parser = argparse.ArgumentParser(prog="python -m hopsail.standins.two_versions", description=__doc__)
    parser.add_argument("path", type=Path, help="a checkout of the other version")
    given = parser.parse_args()
    other = Version("the other version", given.path.resolve())
    this = Version("this version", ROOT)
    results = [play(other, this), play(this, other)]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
