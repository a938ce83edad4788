"""Whether a data plane may send a request to a host, as far as its weights are concerned."""

from enum import Enum
from typing import NamedTuple

from hopsail.weights.load import HostLoad, LoadPhase
from hopsail.weights.named_revisions import NamedRevisions

NS_PER_MS = 1_000_000


class Eligibility(Enum):
    """OK: the host may be used. LOADING: it loads new weights. TOO_OLD: its weights have been superseded."""

    OK = "ok"
    LOADING = "loading"
    TOO_OLD = "too old"


class EligibilityBounds(NamedTuple):
    """Bounds in nanoseconds: the time allowed to apply a new version, margins, the TTL of an announcement.

    `margin_ns` is reserved for the queue at a host: a request may be sent that long before it begins to run.
    One that still waits is withdrawn `withdraw_margin_ns` before the version's time is over.
    """

    apply_one_ns: int = 8_000 * NS_PER_MS
    margin_ns: int = 1_500 * NS_PER_MS
    withdraw_margin_ns: int = 500 * NS_PER_MS
    announcement_ttl_ns: int = 5_000 * NS_PER_MS

    @property
    def send_ns(self) -> int:
        """How long after a version was named a host without it is still sent requests."""
        return self.apply_one_ns - self.margin_ns

    @property
    def wait_ns(self) -> int:
        """How long after a version was named a request may wait at a host without it."""
        return self.apply_one_ns - self.withdraw_margin_ns


class SeenLoad(NamedTuple):
    """An announcement and when this process received it (each renewal counts)."""

    load: HostLoad
    seen_at: int


def eligible(
    now: int,
    host_revision: int,
    host_load: SeenLoad | None,
    named: NamedRevisions | None,
    bounds: EligibilityBounds,
) -> Eligibility:
    """Decide whether one host may be sent requests.

    `host_revision` is what the list or the host itself has reported, `named` the versions of the model (None:
    none is known). A host behind several of them is too old once the time of the first is over.
    """
    loaded = loaded_revision(host_revision, host_load)
    if host_load is not None and _is_loading(now, loaded, host_load, bounds):
        return Eligibility.LOADING
    if named is not None and named.is_overdue(now, loaded, bounds.send_ns):
        return Eligibility.TOO_OLD
    return Eligibility.OK


def loaded_revision(host_revision: int, host_load: SeenLoad | None) -> int:
    """Return the highest revision known to be loaded on the host, by the list or by a finished load."""
    if host_load is not None and host_load.load.phase is LoadPhase.DONE:
        return max(host_revision, host_load.load.revision)
    return host_revision


def _is_loading(now: int, loaded: int, host_load: SeenLoad, bounds: EligibilityBounds) -> bool:
    if not host_load.load.blocks or loaded >= host_load.load.revision:
        return False
    return now - host_load.seen_at <= bounds.announcement_ttl_ns
