"""A simulated machine: one process at a time, a disk, a clock reading, and what is done to them."""

import traceback
from collections.abc import Callable
from random import Random
from signal import SIGTERM
from typing import NamedTuple

from hopsail.configuration.process import parse_settings
from hopsail.controlplane.plane import ControlPlane
from hopsail.dataplane.plane import DataPlane

from .clock import SECOND, Timer
from .disk import WORKING, SimulatedDisk
from .invariants import Violation
from .running import running

EPOCH = 1_760_000_000 * SECOND
FLEET_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 7000, 7100, 7200, 7300


class _Deferred(NamedTuple):
    """What waits for a process to thaw."""

    act: Callable[[], None]
    life: int
    is_call: bool

    @property
    def is_timer(self) -> bool:
        """Whether it is one of the loop's timers."""
        return isinstance(getattr(self.act, "__self__", None), Timer)


class Machine:
    """`kind` is core or edge. A process's life number changes with each start and each end."""

    def __init__(self, world, host: str, name: str, kind: str, random: Random):
        self.world, self.host, self.name, self.kind = world, host, name, kind
        self.disk = SimulatedDisk(world.clock, random)
        self._random = random
        self.life = 0
        self.runs = self.frozen = self.gone = False  # gone: it never starts again
        self._freezes_in_call = False
        self.time_of_day_offset = EPOCH + random.randint(-200, 200) * 1_000_000
        self.program = None
        self.trouble_at = self.thawed_at = -(1 << 60)
        self._stale: tuple[int, int] | None = None  # a clock reading, and how many more calls get it
        self._deferred: list[_Deferred] = []
        self._deferred_since = self._stale_reads = 0
        self._forget_process()

    def _forget_process(self) -> None:
        self.rpc = self.socket = self.program = None
        self.doors: dict[int, object] = {}
        self.seen_revision, self.seen_targets = 0, {}
        self.was_ready = False
        self._deferred = []
        self._stale = None

    @property
    def acts(self) -> bool:
        """Whether its process runs and is not frozen."""
        return self.runs and not self.frozen

    @property
    def troubled(self) -> bool:
        """Whether something is wrong with it now."""
        cut = any(cut.host == self.host for cut in self.world.network.cuts)
        return not self.acts or self.disk.condition != WORKING or cut

    # Time.

    def clock_reading(self) -> int:
        """The steady clock, as the process reads it; stale where it was frozen after the reading."""
        if self._stale is not None:
            value, left = self._stale
            self._stale = (value, left - 1) if left > 1 else None
            return value
        return self.world.clock.now

    @property
    def loop_time(self) -> int:
        """What its loop would read now; as a reading of the clock by the process it does not count."""
        return self.world.clock.now + self.program.loop.offset

    def time_of_day(self) -> int:
        """Unix time."""
        return self.world.clock.now + self.time_of_day_offset

    # Processes.

    def start(self, bootstrap: bool = False) -> None:
        """Starts its process with what the disk holds."""
        if self.runs or self.gone:
            return
        self._forget_process()
        self.life += 1
        self.runs, self.frozen = True, False
        settings = parse_settings(self.world.settings_of(self, bootstrap))

        def begin() -> None:
            self.program = (ControlPlane if self.kind == "core" else DataPlane)(settings)
            self.program.start()

        self.execute(begin)

    def stop_in_order(self) -> None:
        """SIGTERM."""
        if self.program is not None:
            self.have(lambda: self.program.loop.signals[SIGTERM]())

    def kill(self, power: bool) -> None:
        """The process ends at once, by a signal or because power is lost."""
        if not self.runs:
            return
        self.disk.lose_power() if power else self.disk.end_process()
        self.life += 1
        self.runs = self.frozen = self._freezes_in_call = False
        self._forget_process()

    def ended(self, life: int) -> None:
        """The process has ended by itself."""
        if life == self.life:
            self.kill(power=False)

    def freeze(self, stale_reads: int, in_call: bool) -> None:
        """Stops the process inside of what it does next, or in a call, after so many clock readings."""
        if self.acts:
            self.frozen, self._stale_reads, self._freezes_in_call = not in_call, stale_reads, in_call

    def thaw(self) -> None:
        """Lets it go on."""
        self._freezes_in_call = False
        if not self.frozen:
            return
        self.frozen = False
        self.thawed_at = self.world.clock.now
        deferred, self._deferred = self._deferred, []
        if not deferred:
            return
        if self._stale_reads:
            self._stale = (self._deferred_since, self._stale_reads)
        self.have(deferred[0].act, deferred[0].life)
        self._stale = None
        for one in self._in_order_of_a_round(deferred[1:]):
            self.have(one.act, one.life)

    def _in_order_of_a_round(self, deferred: list["_Deferred"]) -> list["_Deferred"]:
        """As the real loop takes what has come meanwhile: from sockets first, in any order, then timers."""
        timers = [one for one in deferred if one.is_timer]
        others = [one for one in deferred if not one.is_timer]
        draw = self._random.random()
        if draw < 1 / 3:
            self._random.shuffle(others)
        elif draw < 2 / 3:
            others.sort(key=lambda one: not one.is_call)
        return others + timers

    def have_call(self, act: Callable[[], None]) -> None:
        """A call comes from outside."""
        self.frozen |= self.runs and self._freezes_in_call
        self._freezes_in_call = False
        self.have(act, is_call=True)

    def have(self, act: Callable[[], None], life: int | None = None, is_call: bool = False) -> None:
        """Has the process do something, when it is not frozen and if it has not ended."""
        if not self.runs or (life is not None and life != self.life):
            return
        if self.frozen:
            if not self._deferred:
                self._deferred_since = self.world.clock.now
            self._deferred.append(_Deferred(act, self.life, is_call))
            return
        self.execute(act)

    def execute(self, act: Callable[[], None]) -> None:
        """The process does something; what fails in it is told and ends nothing else, as in its loop."""
        running.machine = self
        try:
            act()
        except Violation:
            raise
        except Exception:
            self.world.checker.fault(traceback.format_exc())
        self.world.checker.after(self)
