"""`hopsail study membership`: what the fleet's view does through faults, on processes of the program.

In full also in simulation, where the plain all-to-all heartbeat stands beside it."""

from concurrent.futures import ProcessPoolExecutor
from time import monotonic

from . import faults
from .protocol import Core
from .heartbeat import Heartbeat
from .simulation import Sim

QUICK, FULL = 30.0, 240.0  # seconds of faults on processes
LOSSES = (0.0, 0.05, 0.2)
SCHEDULES = 2000


def processes(seed, members, seconds):
    """Faults drawn from the seed on real processes, one after the other, until the time is up."""
    from ..load.mesh import Mesh  # it starts processes: only here

    ends = monotonic() + seconds
    with Mesh(members, seed=seed, stewards=3) as mesh:
        judge, played = faults.Judge(mesh), []
        for fault in faults.draw(seed, mesh.names, 200):
            if monotonic() > ends or judge.violations:
                break
            faults.play(mesh, [fault], judge)
            played.append(f"{fault.what} {','.join(fault.who)}")
            mesh.failed()
        return judge.figures() | {"played": played}


def schedule(seed):
    """One simulated schedule: its judge's figures, shrunk if it fails."""
    members = 3 + seed % 7
    make = lambda: Sim(members, seed=seed, size=(256, 512, 1400)[seed % 3])  # noqa: E731
    drawn = faults.draw(seed, make().names, 6)
    found = faults.play(make(), drawn).figures()
    if found["violations"]:
        fewer = faults.shrink(drawn, lambda some: faults.play(make(), some).figures()["violations"])
        found["shrunk"] = faults.shown(fewer)
    return found | {"seed": seed}


def measured(job):
    """How a fleet of this size and loss does: a crash noticed, bytes, and who is called gone but lives."""
    members, loss, plain, seed = job
    sim = Sim(members, seed=seed, loss=loss, core=Heartbeat if plain else Core)
    judge = faults.Judge(sim)
    while len({row["view"] for row in sim.look().values()}) > 1 and sim.now() < 60:
        sim.run(1.0)
    sim.run(10.0)
    before, began = sum(p.bytes for p in sim.processes.values()), sim.now()
    for _ in range(30):
        sim.run(1.0)
        judge.look()
    bytes_ = (sum(p.bytes for p in sim.processes.values()) - before) / members / (sim.now() - began)
    lost = sim.names[-1]
    sim.kill(lost)
    killed, first, last = sim.now(), None, None
    while last is None and sim.now() - killed < 120:
        sim.run(0.25)
        gone = [lost in row["gone"] for row in sim.look().values()]
        first = sim.now() - killed if first is None and any(gone) else first
        last = sim.now() - killed if all(gone) else None
    return {"members": members, "loss": loss, "plain": plain, "bytes_a_member_s": round(bytes_),
            "first_s": first, "all_s": last, "false_gone": judge.false_gone}  # fmt: skip


def membership(seed, quick, many=None):
    """The figures; the last word on whether one is broken is `violations`."""
    found = processes(seed, 5 if quick else 7, QUICK if quick else FULL)
    if quick:
        return found
    jobs = [
        (members, loss, plain, seed) for members in (10, 100) for loss in LOSSES for plain in (False, True)
    ]
    jobs.append((1000, 0.0, False, seed))
    with ProcessPoolExecutor(many) as pool:
        sizes = list(pool.map(measured, jobs))
        runs = list(pool.map(schedule, range(seed, seed + SCHEDULES), chunksize=20))
    broken = [run for run in runs if run["violations"]]
    found["simulated"] = {
        "schedules": len(runs), "faults": sum(run["faults"] for run in runs),
        "false_gone_runs": sum(run["false_gone"] > 0 for run in runs),
        "worst_of_bound": round(max(run["settle_s"]["worst"] / run["bound_s"] for run in runs), 3),
        "violations": len(broken), "broken": broken[:3],
    }  # fmt: skip
    found["violations"] += len(broken)
    return found | {"sizes": sizes}
