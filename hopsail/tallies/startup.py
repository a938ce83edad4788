"""Decides when a process that has started may answer reads.

An add is acknowledged on one disk more than may be lost at once. So a process may lack it only if all these
disks are with peers that it has not heard yet, or were lost. Peers behind a cut are not waited for: each side
reads what it has.
"""

from collections.abc import Collection

from .peers import Peer


def may_read(now: int, peers: Collection[Peer], disk_was_lost: bool, disk_losses: int) -> bool:
    """Whether the process holds all that was acknowledged on this side, as far as it can be known.

    `disk_was_lost`: the own disk was, and the process has not caught up since.
    """
    if any(peer.awaited(now) for peer in peers):
        return False
    unheard = sum(not peer.complete and not peer.cut_off(now) for peer in peers)
    lost = sum(peer.complete and not peer.intact for peer in peers) + disk_was_lost
    return unheard == 0 or unheard + lost <= disk_losses
