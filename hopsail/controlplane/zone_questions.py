"""Asks the zones of control processes that are silent, so that a lost machine is told from a cut."""

from ..membership.node import Membership
from ..process import MILLISECOND
from ..tallies.replica import TallyReplica

ASK_INTERVAL_NS = 200 * MILLISECOND


class ZoneQuestions:
    """Tells a replica of tallies which zones have answered."""

    def __init__(self, membership: Membership, replica: TallyReplica) -> None:
        """Nothing was asked yet."""
        self._membership, self._replica = membership, replica
        self._ask_at = 0  # ns

    def ask(self, now: int) -> None:
        """To be called often: passes answers on, and asks again when it is time to."""
        if now < self._ask_at:
            return
        self._ask_at = now + ASK_INTERVAL_NS
        for identity in self._replica.zones_to_ask():
            host, _, port = identity.rpartition(":")
            zone = self._membership.zone_of((host, int(port)))
            if zone is not None:
                self._ask_zone(now, identity, zone)

    def _ask_zone(self, now: int, identity: str, zone: str) -> None:
        answered = self._membership.zone_answered_at(zone)
        if answered is not None:
            self._replica.zone_answered(now, identity, answered)
        self._membership.ask_zone(zone)
