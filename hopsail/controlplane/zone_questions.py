"""Asks the zones of control processes that are silent, so that a lost machine is told from a cut."""

from ..membership.node import Membership
from ..process import MILLISECOND
from ..tallies.replica import TallyReplica
from .identities import address_of

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
        for zone, identities in self._silent_by_zone().items():
            asked_at = self._membership.zone_answered_at(zone)
            if asked_at is not None:
                for identity in identities:
                    self._replica.zone_answered(now, identity, asked_at)
            self._membership.ask_zone(zone)

    def _silent_by_zone(self) -> dict[str, list[str]]:
        """The processes that are silent, by their zones as far as these are known."""
        by_zone: dict[str, list[str]] = {}
        for identity in self._replica.peers_to_ask_for():
            zone = self._membership.zone_of(address_of(identity))
            if zone is not None:
                by_zone.setdefault(zone, []).append(identity)
        return by_zone
