"""The command line: `hopsail`, or `python -m hopsail.cli`. What `run` starts does not import it."""

import json
import os
import sys
from pathlib import Path

import click

from . import config, experiments
from . import series as figures
from .emulator import report, scenario
from .emulator.policies import NAMES


def pairs(_context, _parameter, texts):
    """KEY=VALUE,VALUE as a key and its values."""
    found = []
    for text in texts:
        key, gap, values = text.partition("=")
        if not (key and gap and values):
            raise click.BadParameter(f"{text!r} is not of the form KEY=VALUE,VALUE")
        found.append((key, [experiments.value(one) for one in values.split(",")]))
    return found


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
            click.echo(f"{config.read(os.environ).name}: the configuration can be used")
    except (scenario.ScenarioFault, config.ConfigFault) as fault:
        raise click.UsageError(str(fault)) from None


@main.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--policy", "names", default="hopsail", callback=policies, help="one or more, with commas")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--set", "changes", multiple=True, callback=pairs, help="KEY=VALUE of the scenario")
@click.option("--trace", type=click.File("w"), help="every event of the run, a line each")
@click.option("--series", type=click.Path(dir_okay=False), help="figures a second, to this file")
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
def load(path, balancers, seed, changes):
    """Plays a scenario's load on sockets, at balancers and stand-ins of its own or at those named."""
    from .load import generator

    try:
        played = scenario.load(path, {key: values[0] for key, values in changes})
        found = generator.run(played, balancers, seed)
    except scenario.ScenarioFault as fault:
        raise click.UsageError(str(fault)) from None
    except generator.LoadFault as fault:
        raise click.BadParameter(str(fault), param_hint="--at" if balancers else "PATH") from None
    click.echo(json.dumps(found))


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
