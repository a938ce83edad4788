"""Runs one balancer in the foreground until SIGTERM: `python -m hopsail`."""

import argparse
import gc
import os
import signal
import sys
from collections.abc import Mapping

from . import config
from .model import MS, SECOND
from .net.clients import Listener
from .net.counters import Counters
from .net.door import Door
from .net.log import say
from .net.loop import Loop

# After SIGTERM clients are served as before: the front deals out connections for up to 0.4 s more, and those
# that are there go on being used. SIGKILL comes no sooner than the longest limit and 0.7 s after SIGTERM.
ACCEPT_TIME = 650 * MS
LAST_TIME = 3500 * MS  # after SIGTERM all is answered: SIGKILL comes 0.2 s later at the earliest
END_TIME = 3600 * MS  # and the process ends, whoever has not read its answer yet
SWEEP_EVERY = SECOND // 4
COLLECT_EVERY = 40  # sweeps between collections: retrievals leave no rings behind, faults may


class Node:
    """One balancer: its parts, and its way from start to end."""

    def __init__(self, environment: Mapping[str, str]):
        self.environment, self.config = environment, config.read(environment)
        self.loop, self.sweeps, settings = Loop(), 0, self.config
        self.counters = Counters(settings.name)
        self.door = Door(self.loop, self.counters, settings)
        self.listener = Listener(self.loop, self.counters, self.door, settings)
        self.loop.on_signal(signal.SIGTERM, self.stop)
        self.loop.on_signal(signal.SIGINT, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)  # unheard, it would end the process
        self.loop.on_signal(signal.SIGUSR1, lambda: self.print("asked"))
        self._sweep()

    def run(self):
        host, port = self.listener.address
        say("start", f"{self.config.name} listens on {host}:{port}")
        # Collections come at set times and leave out what stays: one of their own could stop the loop.
        gc.collect()
        gc.freeze()
        gc.disable()
        self.loop.run()
        self.print("end")
        self.close()

    def close(self):
        """Gives back all sockets."""
        self.listener.close()
        self.door.close()
        self.loop.close()

    def print(self, why):
        clients, hosts = len(self.listener.clients), len(self.door.pool.connections)
        self.counters.print(why, open=self.door.open, clients=clients, hosts=hosts)

    def _sweep(self):
        now = self.loop.now()
        self.listener.sweep(now)
        self.door.pool.sweep(now)
        self.sweeps += 1
        if self.sweeps % COLLECT_EVERY == 0:
            gc.collect()
        self.loop.at(now + SWEEP_EVERY, self._sweep)

    def reload(self):
        """Takes the file's new configuration over, or, when it cannot be used, stays with the old one."""
        self.counters.add("configuration.asked")
        try:
            new = config.read(self.environment, again=True)
        except config.ConfigFault as fault:
            say("reload", f"the old configuration stays: {fault}")
            return
        self.config, left = config.renewed(self.config, new)
        self.listener.configure(self.config)
        self.door.configure(self.config)
        self.counters.add("configuration.taken")
        say("reload", "discovery at {}:{}".format(*self.config.discovery))
        if left:
            say("reload", f"only a new start changes {', '.join(left)}")

    def stop(self):
        if self.door.ends is not None:
            return
        say("stop", f"{self.door.open} retrievals in hand")
        now = self.loop.now()
        self.door.stop(self.listener.clients, now + LAST_TIME)
        self.loop.at(now + ACCEPT_TIME, self._shut)
        self.loop.at(now + END_TIME, self.loop.stop)

    def _shut(self):
        """All that has come is answered; then the end."""
        self.listener.shut()
        if not self.listener.clients:
            self.loop.stop()
        self.loop.at(self.loop.now() + 10 * MS, self._shut)


def main() -> int:
    parser = argparse.ArgumentParser(prog="hopsail", description="One balancer, set up by NODE_CONFIG.")
    parser.add_argument("--check", action="store_true", help="check the configuration and exit")
    options = parser.parse_args()
    try:
        if options.check:
            print(f"{config.read(os.environ).name}: the configuration can be used")
            return 0
        node = Node(os.environ)
    except config.ConfigFault as fault:
        print(f"hopsail: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"hopsail: listen: {fault}", file=sys.stderr)
        return 2
    node.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
