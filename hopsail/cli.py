"""The command line: `hopsail`, or `python -m hopsail.cli`. What `run` starts does not import it."""

import json
import os
import sys
from math import isfinite
from pathlib import Path

import click

from . import config, experiments
from . import series as figures
from .emulator import report, scenario
from .emulator.policies import NAMES

TRIAL = Path(__file__).resolve().parent / "scenarios" / "try.toml"  # shipped with the package
FRONTS = ("http", "operator", "discovery")  # what `try` starts, by name


def pairs(_context, _parameter, texts):
    """KEY=VALUE,VALUE as a key and its values."""
    found = []
    for text in texts:
        key, gap, values = text.partition("=")
        if not (key and gap and values):
            raise click.BadParameter(f"{text!r} is not of the form KEY=VALUE,VALUE")
        found.append((key, [experiments.value(one) for one in values.split(",")]))
    return found


def finite(_context, _parameter, number):
    if number is not None and not isfinite(number):
        raise click.BadParameter(f"{number} is no time")
    return number


def writable(_context, _parameter, path):
    """A file's name, when it can be made; before a run, not after it."""
    if path is not None and not os.access(Path(path).resolve().parent, os.W_OK):
        raise click.BadParameter(f"{path}: no file can be made there")
    return path


def policies(_context, _parameter, text):
    names = text.split(",")
    for name in names:
        if name not in NAMES:
            raise click.BadParameter(f"{name!r} is none of {', '.join(NAMES)}")
    return names


@click.group()
@click.version_option(package_name=None, version="0.2.0", prog_name="hopsail")
def main():
    """A proxy that spreads keys over cache servers, and the tools to try it."""


@main.command()
def serve():
    """Runs one balancer in the foreground, set up by NODE_CONFIG."""
    from .__main__ import main as serve_one

    sys.argv = ["hopsail"]
    sys.exit(serve_one())


@main.command()
@click.argument("scenarios", nargs=-1, type=click.Path(exists=True, dir_okay=False))
def check(scenarios):
    """Checks scenario files, or, without any, the balancer's configuration named by NODE_CONFIG."""
    try:
        for path in scenarios:
            scenario.load(path)
            click.echo(f"{path}: can be played")
        if not scenarios:
            read = config.read(os.environ)
            click.echo(f"{read.name}: the configuration can be used")
            if read.view is not None:
                say_bounds(read)
    except (scenario.ScenarioFault, config.ConfigFault) as fault:
        raise click.UsageError(str(fault)) from None


def say_bounds(read):
    """What follows from the settings of the fleet's view, for as many balancers as the settings count."""
    from .swim.settings import time_bounds

    found = time_bounds(read.view, read.settings.balancers)
    detection_s, convergence_s = found.detection_ns / 1e9, found.convergence_ns / 1e9
    click.echo(f"peers: {read.settings.balancers} balancers; a crash is seen within {detection_s:.1f} s, "
               f"views are equal within {convergence_s:.1f} s of the last fault")  # fmt: skip
    if read.view.lease_servers:
        reissue_s = found.lease_reissue_ns / 1e9
        click.echo(f"peers: what a lost balancer had is dealt anew within {reissue_s:.1f} s")


@main.group()
def study():
    """Measurements on processes of this program and in simulation; each ends with a line of JSON."""


@study.command()
@click.option("--quick", is_flag=True, help="processes only, under 50 s")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
def membership(quick, seed):
    """Faults between balancers that keep a view of the fleet. Status 1 when a view was wrong too long."""
    from .swim import study as measure

    found = measure.run_study(seed, quick)
    click.echo(json.dumps(found))
    sys.exit(int(found["violations"] > 0))


@main.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--policy", "names", default="hopsail", callback=policies, help="one or more, with commas")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--set", "changes", multiple=True, callback=pairs, help="KEY=VALUE of the scenario")
@click.option("--trace", type=click.File("w"), help="every event of the run, a line each")
@click.option(
    "--series", callback=writable, type=click.Path(dir_okay=False), help="figures a second, to this file"
)
def emulate(path, names, seed, changes, trace, series):
    """Plays a scenario; prints a line of JSON a policy. Status 1 when hopsail breaks a rule."""
    try:
        played = scenario.load(path, {key: values[0] for key, values in changes})
    except scenario.ScenarioFault as fault:
        raise click.UsageError(str(fault)) from None
    broken = False
    for name in names:
        rows = series
        if series and len(names) > 1:
            rows = Path(series).with_stem(f"{Path(series).stem}-{name}")
        found = report.play(played, name, seed, trace, rows, path)
        broken |= name == "hopsail" and any(found[key] for key in found if key.startswith("broken_"))
        click.echo(json.dumps(found))
    sys.exit(int(broken))


@main.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="lines of JSON; goes on if there")
@click.option("--policy", "names", default="hopsail", callback=policies, help="one or more, with commas")
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1))
@click.option("--vary", multiple=True, callback=pairs, help="KEY=VALUE,VALUE; all against all")
@click.option("--along", multiple=True, callback=pairs, help="KEY=VALUE,VALUE; in step with the first --vary")
@click.option("--processes", default=os.cpu_count(), show_default=True, type=click.IntRange(1))
def experiment(path, out, names, seeds, vary, along, processes):
    """Plays a grid of changed scenarios, policies and seeds; one that was cut off goes on."""
    if along and (not vary or any(len(values) != len(vary[0][1]) for _, values in along)):
        raise click.BadParameter("it needs as many values as the first --vary", param_hint="--along")
    jobs = [
        {"scenario": path, "changes": changes, "policy": name, "seed": seed}
        for changes in experiments.grid(vary, along)
        for name in names
        for seed in range(1, seeds + 1)
    ]
    try:
        for changes in experiments.grid(vary, along):
            scenario.load(path, changes)
    except scenario.ScenarioFault as fault:
        raise click.UsageError(str(fault)) from None
    experiments.run(out, jobs, processes, click.echo)


@main.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--at", "balancers", multiple=True, help="HOST:PORT of a balancer, on loopback; else it starts some"
)
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--set", "changes", multiple=True, callback=pairs, help="KEY=VALUE of the scenario")
@click.option(
    "--series", callback=writable, type=click.Path(dir_okay=False), help="figures a second, to this file"
)
def load(path, balancers, seed, changes, series):
    """Plays a scenario on sockets, with its troubles, on processes of its own; or its load at those named.

    Status 1 when a rule was broken."""
    from .load import generator, rig

    try:
        played = scenario.load(path, {key: values[0] for key, values in changes})
        if balancers:
            found = generator.run(played, balancers, seed, rows=series, name=path)
        else:
            found = rig.run(played, seed, rows=series, name=path)
    except scenario.ScenarioFault as fault:
        raise click.UsageError(str(fault)) from None
    except (generator.LoadFault, rig.RigFault) as fault:
        raise click.BadParameter(str(fault), param_hint="--at" if balancers else "PATH") from None
    click.echo(json.dumps(found))
    sys.exit(int(any(found[key] for key in found if key.startswith("broken_"))))


@main.command("try")
@click.option("--scenario", "path", type=click.Path(exists=True, dir_okay=False), default=None,
              help="a scenario file, if not the one that ships")  # fmt: skip
@click.option(
    "--seconds", callback=finite, type=click.FloatRange(1, 600), help="how long, if not as the scenario says"
)
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--balancers", type=click.IntRange(1, 64), help="how many, if not as the scenario says")
@click.option("--peers", is_flag=True, help="they keep a view of the fleet among themselves")
@click.option(
    "--front", "fronts", multiple=True, type=click.Choice(FRONTS), help="what to show; all, if left out"
)
@click.option("--json", "as_json", is_flag=True, help="the first line is an object of addresses by front")
@click.option(
    "--series", callback=writable, type=click.Path(dir_okay=False), help="figures a second, to this file"
)
def try_it(path, seconds, seed, balancers, peers, fronts, as_json, series):
    """Starts a small fleet on loopback, with stand-ins for all around it and a steady load, and shows it.

    It says how to ask it, then figures a second, and as its last line a summary in JSON. An interrupt
    ends it and all its processes."""
    from .load import rig, trial

    try:
        changes = {"fleet.balancers": balancers} if balancers else {}
        played = scenario.lasting(scenario.load(path or TRIAL, changes), seconds)
        status = trial.play(played, seed, as_json, series, str(path or TRIAL), fronts, peers)
    except scenario.ScenarioFault as fault:
        raise click.UsageError(str(fault)) from None
    except rig.RigFault as fault:
        raise click.ClickException(str(fault)) from None
    sys.exit(status)


@main.command()
@click.argument("rev")
@click.argument("scenarios", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1))
@click.option("--vary", multiple=True, callback=pairs, help="KEY=VALUE,VALUE; all against all")
@click.option("--processes", default=os.cpu_count(), show_default=True, type=click.IntRange(1))
@click.option("--json", "as_json", is_flag=True, help="a line of JSON a figure, and nothing else")
def compare(rev, scenarios, seeds, vary, processes, as_json):
    """Plays scenarios with the decision module of an earlier revision, and with today's, on the same days.

    Prints paired differences, now less then: their mean, deviation, least and most over the seeds."""
    from . import compare as versions

    try:
        grid = list(experiments.grid(vary, ()))
        for path in scenarios:
            for changes in grid:
                scenario.load(path, changes)
        jobs = [{"scenario": path, "changes": changes, "policy": "hopsail", "seed": seed}
                for path in scenarios for changes in grid for seed in range(1, seeds + 1)]  # fmt: skip
        say = (lambda text: click.echo(text, err=True)) if as_json else click.echo
        rows = versions.differences(versions.run(rev, jobs, processes, say))
    except scenario.ScenarioFault as fault:
        raise click.UsageError(str(fault)) from None
    except versions.CompareFault as fault:
        raise click.BadParameter(str(fault), param_hint="REV") from None
    for row in rows:
        if as_json:
            click.echo(json.dumps(row))
            continue
        spread = "" if row["deviation"] is None else f" +- {row['deviation']:.4f}"
        click.echo(f"{row['scenario']:16} {row['figure']:17} {row['then']:11.4f} -> {row['now']:11.4f}  "
                   f"{row['difference']:+.4f}{spread}  [{row['least']:+.4f}, {row['most']:+.4f}]"
                   f"  {json.dumps(row['changes']) if row['changes'] else ''}".rstrip())  # fmt: skip


@main.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--x", default="second", help="a key that --vary has changed; else PATH is a series")
@click.option("--y", default="earned", show_default=True, help="the figure")
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="PNG, SVG or PDF by its ending")
@click.option("--title", default="")
def plot(path, x, y, out, title):
    """Draws a figure of an experiment over one of its keys, or of a series over its seconds."""
    kinds = figures.KINDS if x == "second" else experiments.UNITS
    if y not in kinds:
        raise click.BadParameter(f"{y!r} is none of {', '.join(kinds)}", param_hint="--y")
    try:
        if x == "second":
            figures.plot(path, out, y, title)
        else:
            experiments.plot(path, out, x, y, title)
    except ValueError as fault:
        raise click.BadParameter(str(fault)) from None


if __name__ == "__main__":
    main()
