"""How many processes and hosts a soak has, and whether the machine bears them."""

from dataclasses import dataclass
from pathlib import Path

from ..standins.fleet import MOST_EDGES

PROCESS_MB = 64  # of one process of the system under a soak's load, and some to spare
FEWEST_PROCESSES = 5  # three control planes and two data planes
CONTROL_PLANES = 3
MOST_PROCESSES = MOST_EDGES + CONTROL_PLANES
FEWEST_HOSTS = 3
DATA_PLANES_PER_HOST = 3
MEMORY = Path("/proc/meminfo")


class ShapeError(ValueError):
    """A soak of this size can't be run here; the text says why."""


@dataclass(frozen=True)
class Shape:
    """Processes by their kind, and hosts, which are stand-ins of the soak's own process."""

    data_planes: int
    control_planes: int
    hosts: int

    @property
    def processes(self) -> int:
        return self.data_planes + self.control_planes


def shape_of(processes: int) -> Shape:
    """The shape with so many processes."""
    if not FEWEST_PROCESSES <= processes <= MOST_PROCESSES:
        raise ShapeError(f"{processes} processes: {FEWEST_PROCESSES} to {MOST_PROCESSES} can be run")
    data_planes = processes - CONTROL_PLANES
    return Shape(data_planes, CONTROL_PLANES, max(FEWEST_HOSTS, data_planes // DATA_PLANES_PER_HOST))


def memory_mb(path: Path = MEMORY) -> int:
    """The machine's memory."""
    for line in path.read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "MemTotal":
            return int(value.split()[0]) // 1024
    raise ShapeError(f"{path} does not tell the machine's memory")


def check_memory(shape: Shape, total_mb: int) -> None:
    """ShapeError when the processes may need more than half of the memory."""
    needed = shape.processes * PROCESS_MB
    if needed > total_mb // 2:
        raise ShapeError(
            f"{shape.processes} processes may need {needed} MB, more than half of the machine's {total_mb} MB"
        )
