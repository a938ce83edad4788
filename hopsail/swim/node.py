"""Membership of a balancer on its loop: one UDP socket, one timer, and the incarnation file."""

import json
import time
from collections.abc import Callable
from random import Random

from ..model import SECOND
from ..net.log import say
from ..net.loop import Loop, Timer
from ..net.udp import Address, DatagramSocket
from .incarnation import IncarnationStore
from .protocol import SwimProtocol
from .settings import MAX_DATAGRAM_BYTES, SwimSettings

SAVE_INTERVAL_NS = 10 * SECOND  # at which other members' addresses are saved for the next start
RETRY_TICK_NS = 100_000_000  # to the next tick when one has failed


class SwimNode:
    """One balancer as a member of its fleet.

    `on_quota_share(share)` is called with this balancer's quota share, 0 to 1, when it has changed. Raises
    OSError when the address cannot be bound.
    """

    def __init__(
        self,
        loop: Loop,
        settings: SwimSettings,
        *,
        balancers: int,
        seed: object,
        on_quota_share: Callable[[float], None],
    ) -> None:
        """Joins the fleet; `balancers` are those that the settings count."""
        self._loop = loop
        self._on_quota_share = on_quota_share
        self._quota_share: float | None = None
        self._store = IncarnationStore(settings.folder, settings.name, time.time_ns() // 1_000_000)
        if self._store.error:
            say("peers", self._store.error)
        now = self._clock()
        incarnation = self._store.incarnation
        self._protocol = SwimProtocol(settings, Random(f"{seed}/{incarnation}"), now, incarnation)
        self._protocol.reconnector.earlier_addresses = tuple(self._store.addresses)
        self._protocol.lease_client.balancers = max(1, balancers)
        self._socket = DatagramSocket(
            loop,
            settings.listen_address,
            max_bytes=MAX_DATAGRAM_BYTES,
            on_datagram=self._receive,
            on_batch_end=self._flush,
        )
        self._timer: Timer | None = None
        self._saved_ns = now
        self._logged_version = -1
        self._tick()

    @staticmethod
    def _clock() -> int:
        """Time in ns that counts on while the machine sleeps: a lease expires whoever sleeps."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def _receive(self, data: bytes, _sender: Address) -> None:
        self._protocol.receive(self._clock(), data)

    def _tick(self) -> None:
        now = self._clock()
        retry = self._loop.at(self._loop.now() + RETRY_TICK_NS, self._tick)  # first: no fault may end it
        self._timer = retry
        self._protocol.tick(now)
        retry.cancel()
        delay_ns = max(0, self._protocol.next_tick_ns - self._clock())
        self._timer = self._loop.at(self._loop.now() + delay_ns, self._tick)
        self._flush()
        self._report_quota_share(now)
        self._save_incarnation(now)

    def _report_quota_share(self, now: int) -> None:
        share = self._protocol.lease_client.share(now)
        if share != self._quota_share:
            self._quota_share = share
            self._on_quota_share(share)

    def _save_incarnation(self, now: int) -> None:
        protocol = self._protocol
        if protocol.incarnation != self._store.incarnation or now - self._saved_ns > SAVE_INTERVAL_NS:
            self._saved_ns = now
            self._store.save(protocol.incarnation, protocol.live_addresses())

    def _flush(self) -> None:
        for address, data in self._protocol.take_datagrams():
            if not self._socket.send(address, data):
                self._protocol.counts["unsent"] += 1
        version = self._protocol.members.version
        if version != self._logged_version:
            self._logged_version = version
            say("fleet", self.view_json())

    def replace_settings(self, settings: SwimSettings) -> None:
        """Takes over other keys while it runs; all else needs a new start."""
        self._protocol.replace_keys(settings.keys)

    def view_json(self) -> str:
        """The view as one line of JSON for operators."""
        return json.dumps(self._protocol.snapshot(self._clock()))

    def remove(self, name: str) -> bool:
        """Has all reject the member from now on; False when no other member has this name."""
        done = self._protocol.remove(name)
        self._flush()
        return done

    def admit(self, name: str) -> bool:
        """Lets a removed member come back; False when no other member has this name."""
        done = self._protocol.admit(name)
        self._flush()
        return done

    def figures(self) -> dict[str, int]:
        """Names and numbers for the operators' port."""
        protocol = self._protocol
        counts = {f"peers_{key.replace('.', '_')}": value for key, value in sorted(protocol.counts.items())}
        return {
            "peers_alive": protocol.members.live_count(),
            "peers_aware": protocol.health.score,
        } | counts

    def leave(self) -> None:
        """Announces that this balancer leaves."""
        self._protocol.leave(self._clock())
        self._flush()

    def close(self) -> None:
        """Closes socket and timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._socket.close()
