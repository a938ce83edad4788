"""Runs one balancer in the foreground until SIGTERM: `python -m hopsail`."""

if __name__ == "__main__":
    # Before all else is imported: a restart or a reload may be told to a process that has only begun.
    from . import early

    early.record_signals()

import argparse
import gc
import os
import signal
import sys
from collections.abc import Mapping

from . import config
from .model import MS, SECOND
from .net.clients import MUTE_TIME, Listener
from .net.counters import Counters
from .net.door import Door
from .net.handover import SETTLE_TIME, Handover
from .net.ids import TABLE_BYTES, Ids
from .net.log import form, say
from .net.loop import Loop
from .net.operator import Desk, Operator

# After SIGTERM clients are served as before: the front deals out connections for up to 0.4 s more, and
# those that are there go on being used. SIGKILL comes no sooner than the settings' longest limit
# (`config.longest`, 3 s at most) and 0.7 s after SIGTERM: a balancer that waited longer would be killed
# with answers owed.
ACCEPT_TIME = 650 * MS
ACCEPT_LAST = 400 * MS  # and the longest limit: clients are taken in for no longer
LAST_TIME = 500 * MS  # and the longest limit: all is answered
END_TIME = 600 * MS  # and the longest limit: the process ends, whoever has not read its answer yet
SWEEP_EVERY = SECOND // 4
# A new process waits so long for discovery before it says that it is ready: 6 s are the platform's patience.
FRESH_WITHIN = 3 * SECOND
# Where lists are pushed, what the agent has binds a new process from its first moment, and the
# configuration's list may be older. An agent that is silent for so long, or refuses, has nothing to say.
AGENT_WITHIN = SECOND
OPEN_EVERY = 10 * MS  # looks whether it is ready
DRAIN_EVERY = 50 * MS  # closes what has become idle while operators want no clients here
COLLECT_EVERY = 40  # sweeps between collections: retrievals leave no rings behind, faults may


class Node:
    """One balancer: its parts, and its way from start to end."""

    def __init__(self, environment: Mapping[str, str]):
        self.environment, self.config = environment, config.read(environment, run=True)
        self.loop, self.sweeps, settings = Loop(), 0, self.config
        form(settings.log_json, settings.name)
        self.counters = Counters(settings.name)
        self.handover = Handover(self.loop, settings.folder, settings.name, self.adopt)
        self.door = Door(self.loop, self.counters, settings, Ids(self.handover.table(TABLE_BYTES)))
        self.listener = Listener(self.loop, self.counters, self.door, settings)
        self.operator, self.drains = None, None
        # Until when discovery is waited for before clients are taken in; another process may serve meanwhile.
        alone = 0 if settings.settings.subscribe else AGENT_WITHIN
        waits = alone if self.handover.senior else FRESH_WITHIN
        self.fresh_by = self.loop.now() + waits
        if settings.operator is not None:
            self.operator = Operator(self.loop, self.counters, settings.operator, Desk(self).calls)
        self.listener.hold(waits > 0)
        self.peers = None
        if settings.view is not None:
            from .swim.node import SwimNode  # only here: what is off costs nothing

            many, seed = settings.settings.balancers, settings.seed
            self.peers = SwimNode(
                self.loop,
                settings.view,
                balancers=many,
                seed=seed,
                on_quota_share=self.door.use_quota_share,
            )
        self._open()
        self.adopt()
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
        if self.operator is not None:
            self.operator.close()
        if self.peers is not None:
            self.peers.close()
        self.handover.close()
        self.listener.close()
        self.door.close()
        self.loop.close()

    def print(self, why):
        clients, hosts = len(self.listener.clients), len(self.door.pool.connections)
        self.counters.print(why, open=self.door.open, clients=clients, hosts=hosts)

    def ready(self):
        """Whether this process can serve, and knows as much as one that it replaces, or as its agent."""
        return self.door.ready() and self._knows()

    def _knows(self):
        discovery = self.door.discovery
        in_vain = self.handover.senior and discovery.tried
        return discovery.fresh or in_vain or self.loop.now() >= self.fresh_by

    def _open(self):
        """Takes clients in once it knows enough; one that replaces another, once it can serve, too."""
        if self.listener.held and self.door.ends is None:
            if self._knows() and (self.handover.senior or self.door.ready()):
                self.listener.hold(False)
            else:
                self.loop.at(self.loop.now() + OPEN_EVERY, self._open)

    def order(self, make):
        """A standing order of the operators'; the ns until all processes of this balancer follow it."""
        self.handover.change(make)
        self.adopt()
        return 0 if self.handover.alone else SETTLE_TIME

    def adopt(self):
        """Standing orders, or who else serves, have changed."""
        self._limit()
        standing = self.handover.standing
        self.door.adopt(standing)
        if standing.drained and self.drains is None:
            # As long as after SIGTERM clients come and are kept: the front hears of it late.
            self.drains = self.loop.at(self.loop.now() + ACCEPT_TIME, self._drain)
        elif not standing.drained and self.drains is not None:
            self.drains.cancel()
            self.drains, self.listener.draining = None, False

    def _drain(self):
        self.listener.draining = True
        self.listener.let_idle_go(MUTE_TIME)
        self.drains = self.loop.at(self.loop.now() + DRAIN_EVERY, self._drain)

    def _limit(self):
        limits = self.config if self.handover.alone else config.halved(self.config)
        self.listener.configure(limits)
        self.door.configure(limits)

    def figures(self):
        door = self.door
        return door.figures.text(
            open_requests=door.open,
            registry_entries=door.listed_caches(),
            out_of_rotation=door.out_of_rotation(),
            **door.storm(),
            **(self.peers.figures() if self.peers is not None else {}),
        )

    def _sweep(self):
        now = self.loop.now()
        self.listener.sweep(now)
        self.door.pool.sweep(now)
        if self.operator is not None:
            self.operator.sweep(now)
        self.sweeps += 1
        if self.sweeps % COLLECT_EVERY == 0:
            gc.collect()
        self.loop.at(now + SWEEP_EVERY, self._sweep)

    def reload(self):
        """Takes the file's new configuration over, or, when it cannot be used, stays with the old one."""
        self.counters.add("configuration.asked")
        try:
            new = config.read(self.environment, again=True, run=True)
        except config.ConfigFault as fault:
            say("reload", f"the old configuration stays: {fault}")
            return
        self.config, left = config.renewed(self.config, new)
        form(self.config.log_json, self.config.name)
        self._limit()
        if self.peers is not None:
            self.peers.replace_settings(self.config.view)
        self.counters.add("configuration.taken")
        say("reload", "discovery at {}:{}".format(*self.config.discovery))
        if left:
            say("reload", f"only a new start changes {', '.join(left)}")

    def stop(self):
        if self.door.ends is not None:
            return
        say("stop", f"{self.door.open} retrievals in hand")
        if self.peers is not None:
            self.peers.leave()
        now = self.loop.now()
        longest = self.config.longest
        self.door.stop(self.listener.clients, now + longest + LAST_TIME)
        if self.config.listener is not None and self.handover.succeeded:
            # The next process takes in from the same socket: nobody new for this one, and nobody to keep.
            self.listener.hold(True)
            self.listener.draining = True
        elif self.listener.held and self.config.listener is None:
            self.listener.hold(False)  # those that have connected before it was ready are owed an answer, too
        self.loop.at(now + min(ACCEPT_TIME, longest + ACCEPT_LAST), self._shut)
        self.loop.at(now + longest + END_TIME, self.loop.stop)

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
