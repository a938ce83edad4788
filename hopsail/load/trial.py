"""`hopsail try`: a fleet to look at, on loopback, for as long as one likes; nothing is left of it."""

import json
import signal
import sys

import click

from ..model import SECOND
from .generator import Load
from .rig import Rig, summary

STATUS_INTERRUPTED = 130  # as of a program that SIGINT has ended


def curl(place, track, write):
    """A line that asks the fleet by hand, for a request that nobody has made."""
    change = "-X PUT -d value -H 'Idempotency-Key: by-hand-1' " if write else ""
    who = f"-H 'X-Trace-Id: by-hand-{track}-1' -H 'X-Customer: load' -H 'X-Expires-In: 1.000'"
    return f"curl -i {change}{who} http://{place}/{track}/k1"


def addresses(rig):
    """Where the fleet can be reached, by front."""
    return {
        "http": ["{}:{}".format(*one.place) for one in rig.balancers],
        "operator": [one.operator for one in rig.balancers],
        "discovery": [one.discovery.place for one in rig.balancers],
    }


class Line:
    """One second's figures: the same line again on a terminal, a line each elsewhere."""

    def __init__(self, stream):
        self.live, self.stream = None, stream
        if stream.isatty():
            from rich.console import Console  # only here: elsewhere nothing needs it
            from rich.live import Live
            from rich.text import Text

            self.live = Live("", console=Console(file=stream), transient=True, auto_refresh=False)
            self.text = Text
            self.live.start()

    def say(self, text):
        if self.live is not None:
            self.live.update(self.text(text), refresh=True)
        else:
            print(text, file=self.stream, flush=True)

    def close(self):
        if self.live is not None:
            self.live.stop()
            self.live = None


def second_of(load, second):
    """What one second came to, in one line. Its last requests may still be out."""
    row = load.series.at(second)
    p99 = load.lately.get_value_at_percentile(99) / 1000 if load.lately.get_total_count() else 0.0
    handled = row.handled / row.requests if row.requests else 0.0
    return (f"{second + 1:3d} s {row.requests:4d} asked {handled:6.1%} handled  p99 {p99:4.0f} ms "
            f"{row.bounces:3d} bounced {row.misses:3d} missed {row.fetches:3d} fetched")  # fmt: skip


def play(played, seed, as_json, rows=None, name="", fronts=(), peers=False):
    """Starts the fleet, plays its load, prints what is to be seen; the status to end with.

    With `as_json` the first line on standard output is the addresses, as JSON, and the lines a second go to
    standard error. The last line is always the summary, also when it was interrupted."""
    asked = []
    before = {number: signal.signal(number, lambda number, _: asked.append(number))
              for number in (signal.SIGINT, signal.SIGTERM)}  # fmt: skip
    try:
        with Rig(played, seed, halted=lambda: bool(asked), peers=peers) as rig:
            where = addresses(rig)
            shown = {front: where[front] for front in fronts or where}
            shown["pids"] = {one.name: one.child.process.pid for one in rig.balancers}
            track = next((kind for kind in played.track if not kind.write), played.track[0])
            if as_json:
                print(json.dumps(shown), flush=True)
            else:
                print(f"balancers: {', '.join(where['http'])}; operators: {', '.join(where['operator'])}")
                print("ask one:  ", curl(where["http"][0], track.name, track.write))
                operator = where["operator"][0].replace(":", " ")
                print(f"look at it: echo show-stat | nc {operator}", flush=True)
            line = Line(sys.stderr if as_json else sys.stdout)
            load = Load(rig.loop, played, [one.place for one in rig.balancers], seed)

            def tick(second):
                line.say(second_of(load, second))

            load.watchers.append(tick)
            load.halted = lambda: bool(asked)
            rig.play(load)
            try:
                found = load.run()
            finally:
                line.close()
            found |= summary(rig, load, rows, name, seed)
            found |= {"seconds": round((rig.loop.now() - load.begin) / SECOND, 1), "interrupted": bool(asked)}
            if rig.failed:
                click.echo(f"Error: {rig.failed}", err=True)
                return 1
    except InterruptedError:
        found = {"requests": 0, "handled": 0.0, "p99_ms": 0.0, "interrupted": True}
    finally:
        for number, act in before.items():
            signal.signal(number, act)
    print(json.dumps(found), flush=True)
    if asked:
        return STATUS_INTERRUPTED
    return int(any(found[key] for key in found if key.startswith("broken_")))
