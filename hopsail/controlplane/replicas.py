"""The replicas of a control process: their storage, their messages to other processes, and their time."""

import os
from collections.abc import Callable

from ..net.loop import READ
from ..process import MILLISECOND, StartError
from ..replication.disk_thread import DiskThread
from ..replication.messages import MessageError, decode, encode
from ..replication.replica import Replica
from ..replication.state import DurableState, Members, Ready, ReplicaRules
from ..replication.storage import PartWrite, Storage, StorageError
from .commands import Command, Result
from .configuration_state import ConfigurationState
from .decisions import STEP_PAUSE_MS
from .feeds import ROLE
from .messages import REPLICATE, ReplicaMessage
from .part import Part
from .parts import CONFIGURATION_PART, PART_NAMES
from .service_state import ServiceState

STALL_TIME = 400 * MILLISECOND  # a write that takes longer costs the leadership


class Replicas:
    """All parts, each with its replica; `applied(part)` tells that a part's state has changed.

    Raises StartError when the disk cannot be read."""

    def __init__(self, plane, applied: Callable[[Part], None]):
        self.plane, self.loop, self._applied = plane, plane.loop, applied
        self.storage = self._opened(plane.settings.data_path)
        bootstrapping = plane.settings.bootstrap and self.storage.empty
        self.parts = [self._part(number, bootstrapping) for number in range(len(PART_NAMES))]
        self.disk = DiskThread(self.storage, self.loop.now)
        self.loop.watch(self.disk.descriptor, READ, self._written)

    @staticmethod
    def _opened(folder: str) -> Storage:
        os.makedirs(folder, exist_ok=True)
        try:
            return Storage.open(folder, PART_NAMES)
        except StorageError as error:
            raise StartError(f"{folder}: {error}") from error

    def _part(self, number: int, bootstrapping: bool) -> Part:
        durable = self.storage.load(PART_NAMES[number])
        recovering = durable is None and not bootstrapping
        if durable is None:
            members = Members(tuple(sorted(f"{host}:{port}" for host, port in self.plane.seeds)))
            durable = DurableState(members=members if bootstrapping else Members(), recovered=bootstrapping)
        rules = ReplicaRules(self.plane.identity)
        now, started_at = self.loop.now(), self.plane.started_at
        replica = Replica(rules, self.plane.random, now, durable, recovering, started_at)
        if number == CONFIGURATION_PART:
            state, decoding = ConfigurationState(), ConfigurationState.decoding
            apply = _apply_configuration
        else:
            state, decoding = ServiceState(), ServiceState.decoding
            apply = _apply_service
        return Part(
            number,
            replica,
            state,
            decoding,
            apply,
            self._store,
            self._send,
            self._applied,
            ConfigurationState.judging if number == CONFIGURATION_PART else None,
            lambda act: self.plane.after(STEP_PAUSE_MS, act),
        )

    # Time.

    def tick(self, now: int) -> None:
        """What is due; a disk that stalls costs the leadership."""
        for part in self.parts:
            if part.replica.due <= now:
                part.replica.tick(now)
            part.pump()
        if self.disk.oldest_age(now) > STALL_TIME:
            for part in self.parts:
                if part.leads:
                    part.replica.storage_stalled(now)
                    part.pump()

    def compact(self) -> None:
        """Snapshots where they are due."""
        for part in self.parts:
            part.compact()

    def ask_to_join(self, now: int) -> None:
        """Ask the control processes that are known for the log of each part that isn't received."""
        others = {f"{m.address[0]}:{m.address[1]}" for m in self.plane.membership.alive(ROLE)}
        others |= {f"{host}:{port}" for host, port in self.plane.seeds}
        for part in self.parts:
            part.replica.ask_to_join(now, others - {self.plane.identity})
            part.pump()

    # The disk.

    def _store(self, part: Part, ready: Ready) -> None:
        self.disk.submit([PartWrite(PART_NAMES[part.number], ready)], (part, ready.serial))

    def _written(self, _mask) -> None:
        now = self.loop.now()
        for (part, serial), error in self.disk.collect():
            if error is None:
                part.replica.persisted(now, serial)
            else:
                self.plane.counters.add("disk.failures")
                part.replica.storage_failed(now)
            part.pump()

    # Messages.

    def _send(self, part: Part, peer: str, message) -> None:
        body = ReplicaMessage(part=part.number, sender=self.plane.identity, body=encode(message))
        self.plane.channel(peer).send(REPLICATE, body)

    def receive(self, argument: ReplicaMessage, respond, peer) -> None:
        """Take a message of another process's replica."""
        if not 0 <= argument.part < len(self.parts):
            return
        try:
            message = decode(argument.body)
        except MessageError:
            self.plane.counters.add("replication.unreadable")
            return
        part = self.parts[argument.part]
        part.replica.receive(self.loop.now(), argument.sender, message)
        part.pump()

    def figures(self) -> dict[str, int]:
        """Names and numbers for staff."""
        figures = {f"part.{part.number}.index": part.replica.commit_index for part in self.parts}
        figures["log.unreadable"] = sum(part.dropped_entries for part in self.parts)
        figures["disk.torn"] = self.storage.torn_records
        figures["disk.damaged"] = self.storage.damaged_records
        figures["disk.compaction_failures"] = self.disk.compaction_errors
        return figures


def _apply_configuration(state: ConfigurationState, index: int, command: Command) -> Result:
    return state.apply(command)


def _apply_service(state: ServiceState, index: int, command: Command) -> Result:
    return state.apply(index, command)
