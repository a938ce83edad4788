"""`hopsail study membership`: what the fleet's view does through faults, on processes of the program.

In full also in simulation, where plain all-to-all heartbeats stand beside it.
"""

from concurrent.futures import ProcessPoolExecutor
from time import monotonic
from typing import Any, NamedTuple

from . import faults
from .heartbeat import HeartbeatProtocol
from .protocol import SwimProtocol
from .simulation import SimulatedFleet

QUICK_SECONDS, FULL_SECONDS = 30.0, 240.0  # of faults on processes
LOSS_RATES = (0.0, 0.05, 0.2)
SCHEDULES = 2000
FAULTS_PER_SCHEDULE = 6
MAX_DETECTION_SECONDS = 120

Row = dict[str, Any]  # an object of the line of JSON that the study prints


def play_on_processes(seed: int, members: int, seconds: float) -> Row:
    """Faults drawn from the seed on real processes, one after the other, until the time is up."""
    from ..load.mesh import Mesh  # it starts processes: only here

    end = monotonic() + seconds
    with Mesh(members, seed=seed, stewards=3) as mesh:
        judge = faults.Judge(mesh)
        played: list[str] = []
        for fault in faults.draw(seed, mesh.names, 200):
            if monotonic() > end or judge.violations:
                break
            faults.play(mesh, [fault], judge)
            played.append(str(fault))
            mesh.failed()
        return {**judge.figures(), "played": played}


def play_schedule(seed: int) -> Row:
    """One simulated schedule: its judge's figures, shrunk if it fails."""
    members = 3 + seed % 7
    size = (256, 512, 1400)[seed % 3]

    def make_fleet() -> SimulatedFleet:
        return SimulatedFleet(members, seed=seed, max_datagram_bytes=size)

    drawn = faults.draw(seed, make_fleet().names, FAULTS_PER_SCHEDULE)
    row: Row = {**faults.play(make_fleet(), drawn).figures(), "seed": seed}
    if row["violations"]:
        fewer = faults.shrink(drawn, lambda some: faults.play(make_fleet(), some).figures()["violations"])
        row["shrunk"] = faults.to_json(fewer)
    return row


class Trial(NamedTuple):
    """A fleet to be measured."""

    members: int
    loss: float
    plain_heartbeats: bool
    seed: int


def measure(trial: Trial) -> Row:
    """How a fleet does: when a crash is noticed, bytes, and who is called gone but lives."""
    protocol = HeartbeatProtocol if trial.plain_heartbeats else SwimProtocol
    fleet = SimulatedFleet(trial.members, seed=trial.seed, loss=trial.loss, protocol=protocol)
    judge = faults.Judge(fleet)
    while len({view["view"] for view in fleet.snapshots().values()}) > 1 and fleet.now() < 60:
        fleet.run(1.0)
    fleet.run(10.0)
    bytes_per_second = _measure_bytes(fleet, judge) / trial.members
    first, last = _measure_detection(fleet)
    return {
        "members": trial.members,
        "loss": trial.loss,
        "plain": trial.plain_heartbeats,
        "bytes_a_member_s": round(bytes_per_second),
        "first_s": first,
        "all_s": last,
        "false_gone": judge.false_gone,
    }


def _measure_bytes(fleet: SimulatedFleet, judge: faults.Judge) -> float:
    """Bytes a second that all members of a calm fleet send."""
    sent, started = _sent_bytes(fleet), fleet.now()
    for _ in range(30):
        fleet.run(1.0)
        judge.observe()
    return (_sent_bytes(fleet) - sent) / (fleet.now() - started)


def _sent_bytes(fleet: SimulatedFleet) -> int:
    return sum(process.sent_bytes for process in fleet.processes.values())


def _measure_detection(fleet: SimulatedFleet) -> tuple[float | None, float | None]:
    """Seconds until the first one, and all, have noticed that a member was killed; None if not in time."""
    lost = fleet.names[-1]
    fleet.kill(lost)
    killed = fleet.now()
    first: float | None = None
    while fleet.now() - killed < MAX_DETECTION_SECONDS:
        fleet.run(0.25)
        noticed = [lost in view["gone"] for view in fleet.snapshots().values()]
        if first is None and any(noticed):
            first = fleet.now() - killed
        if all(noticed):
            return first, fleet.now() - killed
    return first, None


def run_study(seed: int, quick: bool, workers: int | None = None) -> Row:
    """The figures; whether one is broken is told by `violations`."""
    found = play_on_processes(seed, 5 if quick else 7, QUICK_SECONDS if quick else FULL_SECONDS)
    if quick:
        return found
    trials = [
        Trial(members, loss, plain, seed)
        for members in (10, 100)
        for loss in LOSS_RATES
        for plain in (False, True)
    ]
    trials.append(Trial(1000, 0.0, False, seed))
    with ProcessPoolExecutor(workers) as pool:
        sizes = list(pool.map(measure, trials))
        runs = list(pool.map(play_schedule, range(seed, seed + SCHEDULES), chunksize=20))
    broken = [run for run in runs if run["violations"]]
    found["simulated"] = {
        "schedules": len(runs),
        "faults": sum(run["faults"] for run in runs),
        "false_gone_runs": sum(run["false_gone"] > 0 for run in runs),
        "worst_of_bound": round(max(run["settle_s"]["worst"] / run["bound_s"] for run in runs), 3),
        "violations": len(broken),
        "broken": broken[:3],
    }
    found["violations"] += len(broken)
    return found | {"sizes": sizes}
