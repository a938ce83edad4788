"""The verdict on a rig's run: the four rules, and the worth of the requests that no standstill has met.

Both come from what hosts, discovery and clients saw, and from the spans in which processes did not run."""

from dataclasses import dataclass, replace

from ..emulator import rules
from ..model import MS
from .standstills import disturbed, earliest, merged, share

SLACK = 250 * MS  # beside the rules' own: sockets and processes of one machine take turns
BEFORE = 50 * MS  # a leg that reached a host was sent so much earlier at most, beside the way's delay
CLIENTS_NAME, RELAY_NAME = "clients", "relay"  # processes of a rig that are no hosts and no balancers


def judge(rig):
    """What the four rules' checkers find in the records of stand-ins and clients.

    A leg is known of when it has reached its host; it was sent a way's delay and what processes wait for each
    other before, which counts where it matters when it was sent: after an answer, or after a drain."""
    played = rig.played
    slack = replace(played.rules, slack=played.rules.slack + SLACK, grace=played.rules.grace + SLACK)
    seen = sorted([*rig.trace, *rig.load.trace], key=lambda event: event[1])
    sent = sorted(_as_sent(rig, _as_limited(rig, seen)), key=lambda event: event[1])
    # Both when it may have been sent and when it came, the balancer must have known: in between it was told.
    came = {text for _, text in rules.drained(seen, slack)}
    return {
        "lost": rules.lost(sent, slack), "twice": rules.twice(seen, slack),
        "drained": [one for one in rules.drained(sent, slack) if one[1] in came],
        "flooded": rules.flooded(seen, slack, played.cache),
    }  # fmt: skip


def _stood(rig, *names):
    return merged(one for name in names for one in rig.standstills.get(name, ()))


def _as_limited(rig, events):
    """The events, requests with limits that leave out the standstills just before their answers."""
    involved = [_stood(rig, balancer.name, CLIENTS_NAME) for balancer in rig.balancers]
    extended = {}
    for event in events:
        if event[0] == "answered":
            _, at, node, request, _ = event
            extended.setdefault(request, at - SLACK - earliest(at, SLACK, involved[node]))
    for event in events:
        if event[0] == "taken":
            word, at, node, request, limit, effect = event
            event = word, at, node, request, limit + extended.get(request, 0), effect
        yield event


def _as_sent(rig, events):
    """The events, legs at the earliest time at which they may have been sent."""
    network = rig.played.network
    before = 3 * max(network.same, network.cross) + BEFORE
    passed = {}  # standstills of those that a leg has passed, by balancer and host
    for event in events:
        if event[0] == "sent":
            word, at, node, request, leg, host = event
            if (node, host) not in passed:
                passed[node, host] = _stood(rig, rig.balancers[node].name, RELAY_NAME, host)
            event = word, earliest(at, before, passed[node, host]), node, request, leg, host
        yield event


@dataclass(frozen=True)
class Worth:
    """Requests, what they were worth in all, and what of it was gained by answers in time."""

    requests: int = 0
    worth: float = 0.0
    gained: float = 0.0

    def __add__(self, other):
        return Worth(self.requests + other.requests, self.worth + other.worth, self.gained + other.gained)

    @property
    def earned(self):
        """The part that was gained."""
        return self.gained / self.worth if self.worth else 0.0


def standing(rig):
    """The part of the load's time in which at least one process stood still."""
    load = rig.load
    return share(load.begin - load.loop.offset, load.end - load.loop.offset, _stood(rig, *rig.standstills))


def undisturbed(rig):
    """The requests in whose time, from when they were due to their last answer, every process ran."""
    standstills = _stood(rig, *rig.standstills)
    return [one for one in rig.load.finals if not disturbed(one.due, one.ended, standstills)]


def worth(finals):
    """What these requests were worth together."""
    return sum((Worth(1, one.benefit, one.benefit * one.in_time) for one in finals), Worth())
