"""Plays the steps of a plan on a fleet of real processes and notes what it does."""

import shutil
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from ..standins.fleet import DRAIN_MS, Fleet
from ..standins.host import Host
from ..standins.kept import MILLISECOND
from ..standins.processes import Process
from ..standins.settings import BOUNDS
from .desk import Desk
from .history import History
from .plan import Action, Plan, Step

LOOK_MS = 20  # between looks whether a process has ended
GRACE_MS = int(BOUNDS["GraceS"]) * 1000
RESTART_AFTER_MS = 100  # from a process's end in order to its next start


class Conductor:
    """Sets a plan's steps on the fleet's loop. A step whose target is away is passed over and counted."""

    def __init__(self, fleet: Fleet, plan: Plan, history: History, desk: Desk):
        self.fleet, self.plan, self.history, self.desk, self.loop = fleet, plan, history, desk, fleet.loop
        self.done: Counter[str] = Counter()
        self.passed_over: Counter[str] = Counter()
        self.errors: list[Exception] = []
        self.under_way = 0  # steps that have not ended
        self.hosts: list[Host | None] = list(fleet.hosts)  # by their number; None while its address is free
        self.incarnations = [0] * len(fleet.hosts)
        self.stopped: set[str] = set()  # names of processes that SIGSTOP holds
        self.restarting: set[str] = set()
        self.acts: dict[Action, Callable[[Step], bool]] = {
            Action.RESTART: lambda step: self._restart(self._data_plane(step)),
            Action.RESTART_ALL: self._restart_all,
            Action.KILL: lambda step: self._kill(self._data_plane(step), step.lasts_ms),
            Action.RELOAD: lambda step: self._reload(self._data_plane(step)),
            Action.PAUSE: lambda step: self._pause(self._data_plane(step), step.lasts_ms),
            Action.RESTART_CONTROL: lambda step: self._restart(self._control_plane(step)),
            Action.KILL_CONTROL: lambda step: self._kill(self._control_plane(step), step.lasts_ms),
            Action.PAUSE_CONTROL: lambda step: self._pause(self._control_plane(step), step.lasts_ms),
            Action.WIPE_CONTROL: lambda step: self._wipe(self._control_plane(step), step.lasts_ms),
            Action.RETURN_HOST: lambda step: self._replace_host(step, behind=True),
            Action.REPLACE_HOST: lambda step: self._replace_host(step, behind=False),
            Action.DRAIN_HOST: self._drain_host,
            Action.NAME_VERSION: lambda step: self._operate(desk.name_version),
            Action.CHANGE: lambda step: self._operate(desk.change),
            Action.RACE: lambda step: self._operate(desk.race),
        }

    def set_out(self) -> None:
        """Sets all steps, from now on."""
        begin = self.loop.now()
        for step in self.plan.steps:
            self.loop.at(begin + step.at_ms * MILLISECOND, lambda step=step: self._guarded(self._play, step))

    def _guarded(self, act: Callable, *arguments) -> None:
        """An error of the soak's own ends it; the loop would only log it."""
        try:
            act(*arguments)
        except Exception as error:
            self.errors.append(error)

    def _later(self, milliseconds: float, act: Callable[[], None]) -> None:
        self.loop.at(self.loop.now() + int(milliseconds * MILLISECOND), lambda: self._guarded(act))

    def _play(self, step: Step) -> None:
        counter = self.done if self.acts[step.action](step) else self.passed_over
        counter[step.action.value] += 1

    def _data_plane(self, step: Step) -> Process:
        return self.fleet.edges[step.target]

    def _control_plane(self, step: Step) -> Process:
        return self.fleet.cores[step.target]

    def _is_control(self, process: Process) -> bool:
        return process in self.fleet.cores

    # Processes.

    def _start(self, process: Process) -> None:
        """Starts one that has ended; its trouble is over."""
        if process.running:
            return
        process.start()
        address, now = process.machine.address, self.loop.now()
        self.history.starts[address].append(now)
        self.history.end_trouble(address, now, control=self._is_control(process))

    def _is_away(self, process: Process) -> bool:
        name = process.machine.name
        return not process.running or name in self.restarting or name in self.stopped

    def _restart(self, process: Process) -> bool:
        if self._is_away(process):
            return False
        address, now = process.machine.address, self.loop.now()
        self.under_way += 1
        self.restarting.add(process.machine.name)
        if self._is_control(process):
            self.history.begin_trouble(address, now, control=True)
        else:
            self.history.ends[address].append(now)
        process.terminate()
        self._until_ended(process, now + GRACE_MS * MILLISECOND)
        return True

    def _until_ended(self, process: Process, kill_at: int) -> None:
        if process.running and self.loop.now() >= kill_at:
            process.kill()
        if process.running:
            self._later(LOOK_MS, lambda: self._until_ended(process, kill_at))
        else:
            self._later(RESTART_AFTER_MS, lambda: self._restarted(process))

    def _restarted(self, process: Process) -> None:
        self.restarting.discard(process.machine.name)
        self.under_way -= 1
        self._start(process)

    def _restart_all(self, step: Step) -> bool:
        for number, process in enumerate(self.fleet.edges):
            self._later(number * step.lasts_ms, lambda process=process: self._restart(process))
        return True

    def _kill(self, process: Process, lasts_ms: int) -> bool:
        if not process.running or process.machine.name in self.stopped:
            return False
        address = process.machine.address
        self.history.begin_trouble(address, self.loop.now(), control=self._is_control(process))
        process.kill()
        if process.machine.name in self.restarting:
            return True  # its restart starts it again
        self.under_way += 1

        def back() -> None:
            self.under_way -= 1
            self._start(process)

        self._later(lasts_ms, back)
        return True

    def _wipe(self, process: Process, lasts_ms: int) -> bool:
        """A process is killed, and its disk is lost."""
        if not self._kill(process, lasts_ms):
            return False
        for path in Path(process.machine.data_path).iterdir():
            shutil.rmtree(path) if path.is_dir() else path.unlink()
        return True

    def _reload(self, process: Process) -> bool:
        if self._is_away(process):
            return False
        self.history.reloads[process.machine.address].append(self.loop.now())
        process.signal(signal.SIGHUP)
        return True

    def _pause(self, process: Process, lasts_ms: int) -> bool:
        name, address, control = process.machine.name, process.machine.address, self._is_control(process)
        if not process.running or name in self.stopped or (control and name in self.restarting):
            return False
        self.under_way += 1
        self.stopped.add(name)
        self.history.begin_trouble(address, self.loop.now(), control=control)
        process.signal(signal.SIGSTOP)

        def resume() -> None:
            self.under_way -= 1
            self.stopped.discard(name)
            process.signal(signal.SIGCONT)
            self.history.end_trouble(address, self.loop.now(), control=control)

        self._later(lasts_ms, resume)
        return True

    def release(self) -> None:
        """Lets stopped processes run again, so that they can be ended in order."""
        for process in self.fleet.processes:
            process.signal(signal.SIGCONT)

    # Hosts.

    def _replace_host(self, step: Step, *, behind: bool) -> bool:
        """A host crashes, and another one has its address after a while."""
        host = self._take_host(step.target)
        if host is None:
            return False
        self._end_host(host, step, behind)
        return True

    def _take_host(self, number: int) -> Host | None:
        """The host of that number, which is to end; None if it has ended already."""
        host, self.hosts[number] = self.hosts[number], None
        self.under_way += host is not None
        return host

    def _end_host(self, host: Host, step: Step, behind: bool) -> None:
        host.crash()
        self.fleet.platform.removed(host.identifier)
        self._later(step.lasts_ms, lambda: self._host_comes(step.target, behind))

    def _host_comes(self, number: int, behind: bool) -> None:
        self.under_way -= 1
        self.incarnations[number] += 1
        incarnation = f"/{self.incarnations[number]}"
        self.hosts[number] = self.fleet.start_host(number, incarnation, behind=behind)

    def _drain_host(self, step: Step) -> bool:
        """A host leaves in order; its address is free after a while and is used again at once."""
        host = self._take_host(step.target)
        if host is None:
            return False
        host.drain()
        self._later(DRAIN_MS + step.lasts_ms, lambda: self._end_host(host, step, behind=False))
        return True

    def _operate(self, act: Callable[[], None]) -> bool:
        act()
        return True
