"""The replicas of a control process: their storage, their messages to other processes, and their time."""

import os
from collections.abc import Callable

from ..net.loop import READ
from ..process import MILLISECOND, StartError
from ..replication.errors import MessageError, StorageError
from ..replication.records import ShardWrite
from ..replication.disk_thread import DiskThread
from ..replication.messages import decode, encode
from ..replication.replica import Replica
from ..replication.state import DurableState, Members, Ready, ReplicaConfig
from ..replication.storage import Storage
from .commands import Command, Result
from .configuration_state import ConfigurationState
from .decisions import STEP_INTERVAL_MS
from .feeds import ROLE
from .messages import REPLICATE, ReplicaMessage
from .service_state import ServiceState
from .shard import Shard
from .shards import CONFIGURATION_SHARD, SHARD_NAMES

MAX_SYNC_AGE_NS = 400 * MILLISECOND  # a write that takes longer costs the leadership


class Replicas:
    """All shards, each with its replica; `applied(shard)` tells that a shard's state has changed.

    Raises StartError when the disk cannot be read."""

    def __init__(self, plane, applied: Callable[[Shard], None]):
        self.plane, self.loop, self._applied = plane, plane.loop, applied
        self.storage = self._opened(plane.settings.data_path)
        self.bootstrapping = plane.settings.bootstrap and self.storage.empty
        self.shards = [self._open_shard(number, self.bootstrapping) for number in range(len(SHARD_NAMES))]
        self.disk = DiskThread(self.storage, self.loop.now)
        self.loop.watch(self.disk.descriptor, READ, self._written)

    @staticmethod
    def _opened(folder: str) -> Storage:
        os.makedirs(folder, exist_ok=True)
        try:
            return Storage.open(folder, SHARD_NAMES)
        except StorageError as error:
            raise StartError(f"{folder}: {error}") from error

    def _open_shard(self, number: int, bootstrapping: bool) -> Shard:
        durable = self.storage.load(SHARD_NAMES[number])
        recovering = durable is None and not bootstrapping
        if durable is None:
            members = Members(tuple(sorted(f"{host}:{port}" for host, port in self.plane.seeds)))
            durable = DurableState(members=members if bootstrapping else Members(), recovered=bootstrapping)
        config = ReplicaConfig(self.plane.identity)
        now, started_at = self.loop.now(), self.plane.started_at
        replica = Replica(config, self.plane.random, now, durable, recovering, started_at)
        if number == CONFIGURATION_SHARD:
            state, decoding = ConfigurationState(), ConfigurationState.decoding
            apply = _apply_configuration
        else:
            state, decoding = ServiceState(), ServiceState.decoding
            apply = _apply_service
        return Shard(
            number,
            replica,
            state,
            decoding,
            apply,
            self._store,
            self._send,
            self._applied,
            ConfigurationState.judging if number == CONFIGURATION_SHARD else None,
            lambda act: self.plane.after(STEP_INTERVAL_MS, act),
        )

    # Time.

    def tick(self, now: int) -> None:
        """What is due; a disk that stalls costs the leadership."""
        for shard in self.shards:
            if shard.replica.due <= now:
                shard.replica.tick(now)
            shard.pump()
        if self.disk.oldest_age(now) > MAX_SYNC_AGE_NS:
            for shard in self.shards:
                if shard.leads:
                    shard.replica.storage_stalled(now)
                    shard.pump()

    def compact(self) -> None:
        """Snapshots where they are due."""
        for shard in self.shards:
            shard.compact()

    def ask_to_join(self, now: int) -> None:
        """Ask the control processes that are known for the log of each shard that isn't received."""
        others = {f"{m.address[0]}:{m.address[1]}" for m in self.plane.membership.alive(ROLE)}
        others |= {f"{host}:{port}" for host, port in self.plane.seeds}
        for shard in self.shards:
            shard.replica.ask_to_join(now, others - {self.plane.identity})
            shard.pump()

    # The disk.

    def _store(self, shard: Shard, ready: Ready) -> None:
        self.disk.submit([ShardWrite(SHARD_NAMES[shard.number], ready)], (shard, ready.serial))

    def _written(self, _mask) -> None:
        now = self.loop.now()
        for (shard, serial), error in self.disk.collect():
            if error is None:
                shard.replica.persisted(now, serial)
            else:
                self.plane.counters.add("disk.failures")
                shard.replica.storage_failed(now)
            shard.pump()

    # Messages.

    def _send(self, shard: Shard, peer: str, message) -> None:
        body = ReplicaMessage(shard=shard.number, sender=self.plane.identity, body=encode(message))
        self.plane.channel(peer).send(REPLICATE, body)

    def receive(self, argument: ReplicaMessage, respond, peer) -> None:
        """Take a message of another process's replica."""
        if not 0 <= argument.shard < len(self.shards):
            return
        try:
            message = decode(argument.body)
        except MessageError:
            self.plane.counters.add("replication.unreadable")
            return
        shard = self.shards[argument.shard]
        shard.replica.receive(self.loop.now(), argument.sender, message)
        shard.pump()

    def figures(self) -> dict[str, int]:
        """Names and numbers for staff."""
        figures = {f"part.{shard.number}.index": shard.replica.commit_index for shard in self.shards}
        figures["log.unreadable"] = sum(shard.dropped_entries for shard in self.shards)
        figures["disk.torn"] = self.storage.torn_records
        figures["disk.damaged"] = self.storage.damaged_records
        figures["disk.compaction_failures"] = self.disk.compaction_errors
        return figures


def _apply_configuration(state: ConfigurationState, index: int, command: Command) -> Result:
    return state.apply(command)


def _apply_service(state: ServiceState, index: int, command: Command) -> Result:
    return state.apply(index, command)
