"""Runs the programs with simulated doors, clocks and disks in place of the real ones.

Whichever module has imported a real class by its name gets the simulated one for as long as a play lasts."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from os import urandom

from hopsail import process
from hopsail.controlplane import plane, tallies
from hopsail.controlplane.shard import Shard
from hopsail.dataplane import plane as data_plane
from hopsail.http.client import HttpClient
from hopsail.http.server import HttpServer
from hopsail.membership import node
from hopsail.net import log
from hopsail.net.loop import Loop
from hopsail.net.udp import DatagramSocket
from hopsail.replication.disk_thread import DiskThread
from hopsail.replication.storage import Storage
from hopsail.rpc.channel import Channel
from hopsail.rpc.server import RpcServer

from .clock import SimulatedLoop
from .disk import SimulatedDiskThread, SimulatedStorage
from .doors import (
    SimulatedChannel,
    SimulatedHttpClient,
    SimulatedHttpServer,
    SimulatedRpcServer,
    SimulatedSocket,
)
from .invariants import CheckedShard
from .running import running

USERS = (process, plane, data_plane, node)  # loaded, with all that they import, before names are looked up
PREFIX = "hopsail."


class _Storage(Storage):
    @classmethod
    def open(cls, folder, shard_names):
        disk = running.machine.disk
        return SimulatedStorage(disk.folder(tallies.FOLDER) if folder.endswith(tallies.FOLDER) else disk)


def _disk_thread(storage, clock) -> SimulatedDiskThread:
    return SimulatedDiskThread(storage, clock, running.machine)


def _drawn_bytes(count: int) -> bytes:
    """The same in each play of a seed, and new for each life."""
    machine = running.machine
    return f"{machine.name}/{machine.life}".encode().ljust(count, b"/")


class _SimulatedDatagramSocket(DatagramSocket):
    def _bind(self, address):
        return SimulatedSocket(self._loop, address)


SUBSTITUTES: list[tuple[object, object]] = [
    (Loop, lambda: SimulatedLoop(running.machine)),
    (RpcServer, SimulatedRpcServer),
    (Channel, SimulatedChannel),
    (HttpServer, SimulatedHttpServer),
    (HttpClient, SimulatedHttpClient),
    (Storage, _Storage),
    (DiskThread, _disk_thread),
    (Shard, CheckedShard),
]


class _Sink:
    """Takes the programs' log lines; a fault that the programs catch is told to the checker."""

    def __init__(self, tell_fault: Callable[[str], None]):
        self.tell_fault = tell_fault

    def info(self, text: str, *arguments, extra: dict) -> None:
        """Nobody reads it."""

    def warning(self, text: str, *arguments, extra: dict) -> None:
        """Nobody reads it."""

    def error(self, text: str, *arguments, extra: dict) -> None:
        self.tell_fault(str(arguments[0]) if arguments else text)


def _names() -> list[tuple[object, str, object]]:
    """Module, name and substitute of each name that is to be replaced."""
    found = []
    for name, module in list(sys.modules.items()):
        if not name.startswith(PREFIX):
            continue
        for attribute, value in vars(module).items():
            for real, substitute in SUBSTITUTES:
                if value is real:
                    found.append((module, attribute, substitute))
    return found


@contextmanager
def substituted(tell_fault: Callable[[str], None]) -> Iterator[None]:
    """Simulated doors are in place inside of the block."""
    changed = [(module, name, vars(module)[name], substitute) for module, name, substitute in _names()]
    changed.append((node, "time_ns", node.time_ns, lambda: running.machine.time_of_day()))
    changed.append((tallies, "urandom", urandom, _drawn_bytes))
    changed.append((node, "DatagramSocket", DatagramSocket, _SimulatedDatagramSocket))
    sink = log._logger
    for module, name, _, substitute in changed:
        setattr(module, name, substitute)
    log.adopt(_Sink(tell_fault))
    try:
        yield
    finally:
        log.adopt(sink)
        for module, name, original, _ in changed:
            setattr(module, name, original)
        running.machine = None
