"""Orders on a zone in a simulation: calls, commands and replies are lost, or come late and out of order.

The takers' own code runs (`ZoneOrder`) on a log of one state, and an operator that sends one order after the
other, each again elsewhere after a second of silence, until it is acknowledged or given up."""

import heapq
from itertools import count
from random import Random
from types import SimpleNamespace

import pytest

from hopsail.controlplane.commands import Command, CommandKind, decode_command
from hopsail.controlplane.forwarding import ZoneOrder
from hopsail.controlplane.messages import CommandReply
from hopsail.controlplane.service_state import ServiceState
from hopsail.rpc.errors import CallTimeoutError

MS = 1_000_000
ZONE, LEADER = "z-1", "leader"
SILENCE, NOTICED = 1000 * MS, 10 * MS  # until the operator, and a taker, act on it
GIVEN_UP = (1000 * MS, 5000 * MS)
KINDS = (CommandKind.EVACUATE_ZONE, CommandKind.WITHDRAW_EVACUATION)


class Clock:
    def __init__(self):
        self.time, self.heap, self.serial = 0, [], count()

    def now(self):
        return self.time

    def at(self, when, act):
        timer = SimpleNamespace(act=act)
        timer.cancel = lambda: setattr(timer, "act", None)
        heapq.heappush(self.heap, (max(when, self.time), next(self.serial), timer))
        return timer

    def after(self, milliseconds, act):
        return self.at(self.time + int(milliseconds * MS), act)

    def run(self, until):
        while self.heap and not until():
            self.time, _, timer = heapq.heappop(self.heap)
            if timer.act is not None:
                timer.act()


class Fleet:
    """Takers that reach the leader over bad links; what they know of the state is old."""

    def __init__(self, seed):
        self.random, self.clock, self.state = Random(seed), Clock(), ServiceState()
        self.known = 0  # the number that takers have applied
        replica = SimpleNamespace(leader=LEADER, members=SimpleNamespace(all=("taker",)))
        self.process = SimpleNamespace(
            loop=self.clock,
            after=self.clock.after,
            identity="taker",
            shards=[SimpleNamespace(replica=replica)],
            command_channel=lambda leader: self,
        )
        self.decide = lambda number, command, done: False  # no taker leads

    def delay(self):
        return self.random.choice([1, 3, 30, 300, 900, 2500, 6000]) * MS

    def call(self, method, argument, reply_class, done, timeout):
        over = []

        def finish(reply, error):
            if not over:
                over.append(True)
                done(reply, error)

        def reached():
            result = self.state.apply(1, decode_command(argument.command))
            reply = CommandReply(decided=True, result=result.encode())
            if self.random.random() < 0.8:
                self.clock.at(self.clock.time + self.delay(), lambda: finish(reply, None))

        self.clock.at(self.clock.time + timeout, lambda: finish(None, CallTimeoutError(method)))
        if self.random.random() < 0.8:
            self.clock.at(self.clock.time + self.delay(), reached)

    def take(self, kind, call):
        """A taker reads a call, perhaps long after its caller went."""
        self.known = self.random.randint(self.known, self.state.evacuations.newest(ZONE).number)
        read_at = self.clock.time

        def is_awaited():
            gone_at = call.gone_at
            return gone_at is None or self.clock.time < max(gone_at, read_at) + NOTICED

        def done(result):
            if result is not None and result.status == 200 and call.gone_at is None:
                call.acknowledged = True

        command = Command(kind, self.known, ZONE, 0, "", b"")
        ZoneOrder(self, 0, command, is_awaited, done).begin()

    def order(self, kind):
        """Whether the operator has an acknowledgement before it gives the order up."""
        until = self.clock.time + self.random.choice(GIVEN_UP)
        while self.clock.time < until:
            call, sent = SimpleNamespace(gone_at=None, acknowledged=False), self.clock.time
            self.clock.at(sent + self.delay(), lambda call=call: self.take(kind, call))
            self.clock.at(sent + SILENCE, lambda: None)
            self.clock.run(lambda: call.acknowledged or self.clock.time >= sent + SILENCE)  # noqa: B023
            call.gone_at = self.clock.time
            if call.acknowledged:
                return True
        return False


@pytest.mark.parametrize("seed", range(60))
def test_no_late_order_undoes_one_that_was_acknowledged_after_it_was_sent(seed):
    fleet, acknowledged = Fleet(seed), 0
    for _ in range(12):
        kind = fleet.random.choice(KINDS)
        if not fleet.order(kind):
            continue
        acknowledged += 1
        quiet = fleet.clock.time + fleet.random.choice([0, 500, 9000]) * MS
        fleet.clock.at(quiet, lambda: None)
        in_force = kind is KINDS[0]
        fleet.clock.run(
            lambda quiet=quiet, in_force=in_force: fleet.state.evacuations.newest(ZONE).in_force != in_force
            or fleet.clock.time >= quiet
        )
        assert fleet.state.evacuations.newest(ZONE).in_force == in_force
    assert acknowledged
