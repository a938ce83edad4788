"""`python -m hopsail.soak`: plays a seeded soak of the real programs on loopback and prints its verdict.

Exit status: 0 when no rule is broken, 1 when one is, 2 when the soak could not be run."""

import shutil
import signal
import sys
import tempfile
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated

import cappa

from ..commands import version
from ..standins.fleet import TrialError
from .plan import Plan, PlanError, draw, parse, text_of
from .run import Soak
from .shape import ShapeError, check_memory, memory_mb, shape_of

COMMAND = "python -m hopsail.soak"
PER_SECOND = 40.0
DEFAULT_PROCESSES, DEFAULT_SECONDS = 6, 60


class ExitStatus(IntEnum):
    """How the command line ends."""

    WELL = 0
    BROKEN = 1
    NOT_RUN = 2


@dataclass
class Command:
    """A soak of the real programs on loopback."""

    seed: Annotated[int, cappa.Arg(long="--seed", help="What the plan is drawn from.")] = 1
    seconds: Annotated[
        int, cappa.Arg(long="--seconds", help="How long steps begin; recovery takes some 20 s more.")
    ] = DEFAULT_SECONDS
    processes: Annotated[int, cappa.Arg(long="--processes", help="Control and data planes together.")] = (
        DEFAULT_PROCESSES
    )
    per_second: Annotated[float, cappa.Arg(long="--per-second", help="Requests a second.")] = PER_SECOND
    plan: Annotated[bool, cappa.Arg(long="--plan", help="Print the plan and play nothing.")] = False
    steps: Annotated[
        Path | None, cappa.Arg(long="--steps", value_name="FILE", help="Play this file, as --plan prints it.")
    ] = None
    folder: Annotated[
        Path | None, cappa.Arg(long="--folder", help="Where settings, disks and logs are kept; a new one.")
    ] = None

    def __call__(self) -> int:
        """Plays or prints; the exit status."""
        try:
            plan = self._plan()
            check_memory(plan.shape, memory_mb())
        except (OSError, UnicodeDecodeError, PlanError, ShapeError) as error:
            print(f"can't be run: {error}", file=sys.stderr)
            return ExitStatus.NOT_RUN
        if self.plan:
            print(text_of(plan), end="")
            return ExitStatus.WELL
        return self._play(plan)

    def _plan(self) -> Plan:
        if self.steps is not None:
            return parse(self.steps.read_text())
        return draw(self.seed, self.seconds, shape_of(self.processes))

    def _play(self, plan: Plan) -> int:
        folder = self.folder or Path(tempfile.mkdtemp(prefix="hopsail-soak-"))
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "plan.toml").write_text(text_of(plan))
        soak = Soak(plan, folder, self.per_second)
        try:
            report = soak.play()
        except (TrialError, ExceptionGroup, OSError, KeyboardInterrupt) as error:
            print(f"could not go on: {error!r}", file=sys.stderr)
            self._tell_again(plan, folder)
            print(soak.report().line())
            return ExitStatus.NOT_RUN
        finally:
            soak.close()
        if report.broken:
            self._tell_again(plan, folder)
        elif self.folder is None:
            shutil.rmtree(folder)
        print(report.line())
        return ExitStatus.BROKEN if report.broken else ExitStatus.WELL

    def _tell_again(self, plan: Plan, folder: Path) -> None:
        print(f"logs are kept in {folder}; the same plan again:", file=sys.stderr)
        print(f"{COMMAND} --steps {folder}/plan.toml --per-second {self.per_second:g}", file=sys.stderr)


def main() -> int:
    """The command line."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    command = cappa.command(name=COMMAND, help="A soak of the real programs on loopback.")(Command)
    return cappa.parse(command, version=version(), completion=False)()


if __name__ == "__main__":
    sys.exit(main())
