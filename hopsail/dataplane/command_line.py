"""The data plane's command line: checks as those of both programs, and starts for studies.

Loaded only when there are arguments; a deployment's start has none."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import Annotated

import cappa

from ..commands import Check, run_command
from ..process import main
from .placement import PlacementParameters
from .plane import DataPlane


class Mechanism(StrEnum):
    """What can be switched off to see what it is worth."""

    LANES = "lanes"
    DEMAND = "follow_demand"
    RELIEF = "relief"
    SHARED_WORK = "shared_work"
    SHARED_PARTS = "shared_parts"
    HOST_SPEEDS = "host_speeds"
    FETCH = "fetch"
    SAVE = "save"
    EXPECT = "expect"
    HOT_KEYS = "hot_keys"
    SPILL = "spill"
    COMPARE_WORK = "compare_work"


@dataclass
class DataPlaneCommand(Check):
    """The options of both programs, and the data plane's own."""

    without: Annotated[
        list[Mechanism],
        cappa.Arg(long="--without", value_name="MECHANISM", help="Start with a mechanism switched off."),
    ] = field(default_factory=list)
    log_late: Annotated[
        bool, cappa.Arg(long="--log-late", help="Start, and log requests for prompts that miss their aim.")
    ] = False

    def __call__(self) -> int:
        """Starts the program, or checks files; the exit status."""
        if not self.without and not self.log_late:
            return super().__call__()
        parameters = PlacementParameters().without(one.value for one in self.without)
        main(DataPlane, partial(DataPlane, parameters=parameters, log_late=self.log_late))
        return 0


def run(arguments: list[str]) -> None:
    """Runs the command line; ends the process with an exit status of `commands.ExitStatus`."""
    run_command(DataPlaneCommand, arguments)
