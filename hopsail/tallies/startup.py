"""Decides when a process that has started may answer reads.

An add is acknowledged on one disk more than may be lost at once. So a process may lack it only if all these
disks are with peers that it has not heard yet, or were lost. Peers behind a cut are not waited for: each side
reads what it has.
"""

from collections.abc import Collection
from enum import Enum, auto

from .peers import Peer


class DiskAtStart(Enum):
    """What a process that starts finds on its disk."""

    NEW = auto()  # nothing, as the whole system starts for the first time
    KEPT = auto()  # all that it has ever confirmed
    LOST = auto()  # less: it was lost, and the process has not caught up since


def disk_at_start(bootstrapping: bool, is_empty: bool, catching_up: bool) -> DiskAtStart:
    """What the disk is: `catching_up` if its last write was made before the process held what others hold."""
    if bootstrapping and is_empty:
        return DiskAtStart.NEW
    return DiskAtStart.LOST if is_empty or catching_up else DiskAtStart.KEPT


def may_read(now: int, peers: Collection[Peer], disk: DiskAtStart, disk_losses: int) -> bool:
    """Whether the process holds all that was acknowledged on this side, as far as it can be known."""
    if any(peer.awaited(now) for peer in peers):
        return False
    unheard = sum(not peer.complete and not peer.cut_off(now) for peer in peers)
    lost = sum(peer.complete and not peer.intact for peer in peers) + (disk is DiskAtStart.LOST)
    return unheard == 0 or unheard + lost <= disk_losses
