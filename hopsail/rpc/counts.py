"""Counters of one server or channel, or of all that share them."""

from dataclasses import dataclass


@dataclass(slots=True)
class RpcCounts:
    """Numbers since the start; all but `connections` count what was dropped or failed."""

    connections: int = 0  # came up and were greeted
    malformed_frames: int = 0  # each closed its connection
    foreign_fleets: int = 0
    other_versions: int = 0
    silent_peers: int = 0  # said no hello in time, or nothing during a call
    excess_connections: int = 0  # beyond the server's bound
    failed_dials: int = 0
    timed_out_calls: int = 0
    late_replies: int = 0  # for calls that are over
    dropped_sends: int = 0  # one-way messages not sent
    overflows: int = 0  # calls refused, or connections closed, because a bound was reached
    unknown_methods: int = 0
    failed_handlers: int = 0
