"""Real processes of the system as children, each ended by its own id."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from time import monotonic, sleep

from .settings import EDGE, Machine, Surroundings, settings_text

ROOT = Path(__file__).resolve().parents[2]
PROGRAMS = {True: "hopsail.dataplane", False: "hopsail.controlplane"}  # by whether it is an edge
ENDS_WITHIN = 10.0  # s after which a process that was asked to end is killed


class Process:
    """One process of the system; its settings and its log are in `folder`, its program's text in `root`."""

    def __init__(self, machine: Machine, around: Surroundings, folder: Path):
        self.machine, self.around = machine, around
        self.root = ROOT
        self.settings = folder / f"{machine.name}.conf"
        self.log = folder / f"{machine.name}.log"
        self.child: subprocess.Popen | None = None
        self.killed = False  # by the trial

    def start(self) -> None:
        """Starts it with the settings of this moment; `Bootstrap` is true only the first time."""
        self.settings.write_text(settings_text(self.machine, self.around))
        self.machine.bootstrap, self.killed = False, False
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(self.root),
            "HOPSAIL_CONFIG": str(self.settings),
        }
        program = PROGRAMS[self.machine.machine_class == EDGE]
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-m", program],
                cwd=self.root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # a terminal's interrupt goes to the trial, which ends its children
            )

    @property
    def running(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """Ends it with no notice."""
        self.killed = True
        if self.running:
            self.child.kill()
            self.child.wait()

    def terminate(self) -> None:
        """Asks it to end."""
        self.killed = True
        self.signal(signal.SIGTERM)

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal, if it runs."""
        if self.running:
            self.child.send_signal(number)

    def log_lines(self) -> list[str]:
        return self.log.read_text(errors="replace").splitlines() if self.log.exists() else []

    def faults(self) -> list[str]:
        """Lines of its log that tell of an exception."""
        lines = self.log_lines()
        return [line for line in lines if "Error" in line or "Traceback" in line or "Exception" in line]


def end(processes: list[Process]) -> None:
    """Ends all of them: asked first, killed when they will not."""
    for process in processes:
        process.terminate()
    until = monotonic() + ENDS_WITHIN
    while any(process.running for process in processes) and monotonic() < until:
        sleep(0.02)
    for process in processes:
        process.kill()
