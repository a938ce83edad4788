"""Guards taken out of the programs one at a time, and the invariant by which the checker must notice it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from hopsail.configuration.replicated_configuration import REVISION, ReplicatedConfiguration
from hopsail.configuration.items import canonical
from hopsail.controlplane.forwarding import Submission
from hopsail.controlplane.commands import CommandKind, Result
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.decisions import Decisions
from hopsail.controlplane.shard import Shard
from hopsail.controlplane.shards import CONFIGURATION_SHARD
from hopsail.controlplane.rollouts import Rollouts
from hopsail.controlplane.service_state import ServiceState
from hopsail.controlplane.stopping import Ending
from hopsail.controlplane.voters import Voters
from hopsail.feed.follower import Follower
from hopsail.hosts.view import HostView
from hopsail.replication.replica import Replica
from hopsail.replication.state import Members
from hopsail.rpc.errors import DisconnectedError

from .draw import (
    draw_all_down,
    draw_all_down_apart,
    draw_election,
    draw_hand_over,
    draw_link,
    draw_halves,
    draw_leaver,
    draw_return,
    draw_hosts,
    draw_lure,
    draw_reads,
    draw_reset,
    draw_replacement,
    draw_second_loss,
    draw_strike,
    draw_strike_apart,
    draw_thaw,
    draw_two_losses,
)
from .invariants import Invariant
from .play import Schedule


class Mutation(NamedTuple):
    """`changed(original)` takes the place of a class's attribute.

    `surveys` is False where the guard matters only if not all members can tell that they have restarted."""

    name: str
    owner: type
    attribute: str
    changed: Callable[[Any], Any]
    invariant: Invariant
    draw: Callable[[int], Schedule]
    surveys: bool = True


@contextmanager
def mutated(mutation: Mutation) -> Iterator[None]:
    """The guard is out inside of the block."""
    original, may_check_restarts = getattr(mutation.owner, mutation.attribute), Replica._may_check_restarts
    setattr(mutation.owner, mutation.attribute, mutation.changed(original))
    if not mutation.surveys:
        Replica._may_check_restarts = lambda self: False
    try:
        yield
    finally:
        setattr(mutation.owner, mutation.attribute, original)
        Replica._may_check_restarts = may_check_restarts


def _forgets_what_was_taken(original):
    def apply(self, command):
        result = original(self, command)
        self.taken.clear()
        return result

    return apply


def _compares_no_base(original):
    return lambda self, command: original(self, command._replace(base=self.revision))


def _answers_before_the_entry_is_applied(original):
    def propose(self, now, command, done):
        accepted = original(self, now, command, lambda result: None)
        if accepted:
            done(Result(200, value=0))
        return accepted

    return propose


def _ignores_the_lease(original):
    return lambda self, now: self._has_committed_in_term


def _elects_beside_a_leader(original):
    return lambda self: False


def _acknowledges_before_sync(original):
    return lambda self: self._verified_index


def _sends_before_sync(original):
    return lambda self, peer, message: self._send(peer, message)


def _votes_while_recovering(original):
    return lambda self: True


def _votes_for_short_logs(original):
    return lambda self, message: True


def _reads_without_a_round(original):
    def read_ready(self, token):
        if not self.is_leader or token.term != self.term:
            return None
        return self.applied_index >= token.read_index

    return read_ready


def _any_member_answers_reads(original):
    def read_here(self, done):
        configuration = self.process.shards[CONFIGURATION_SHARD].state.configuration
        done(canonical(configuration) if configuration is not None else b"")
        return True

    return read_here


def _elects_with_a_half(original):
    return lambda self, identities: all(
        len(identities.intersection(voters)) >= len(voters) // 2 for voters in self.electorates
    )


def _refuses_when_a_call_ends(original):
    def replied(self, reply, error):
        if isinstance(error, DisconnectedError):
            self.report(Result(412))
        else:
            original(self, reply, error)

    return replied


def _trusts_an_empty_list(original):
    return lambda self, listed: False


def _gives_up_hosts_that_are_new(original):
    return lambda self, now, entry, pages: True


def _leaves_at_once(original):
    return lambda self: True


def _does_not_wait_for_the_lease(original):
    return lambda self, now, service, duty: False


def _takes_a_fence_of_its_own(original):
    """As if each holder counted for itself, from one on."""

    def apply(self, index, command):
        result = original(self, index, command)
        if command.kind is not CommandKind.ACQUIRE_ROLE:
            return result
        self.roles[command.subject] = self.roles[command.subject]._replace(fencing_token=1)
        return Result(200, value=1)

    return apply


def _takes_older_configurations(original):
    def apply(self, source, changes, value_of):
        told = value_of(REVISION)
        if self.table is not None and told is not None and int(told) < self.table.revision:
            self.table.revision = -1
        return original(self, source, changes, value_of)

    return apply


def _takes_any_first_configuration(original):
    return lambda self, longest_ago: True


def _refuses_what_it_proposes(original):
    def propose(self, now, command, done):
        accepted = original(self, now, command, lambda result: None)
        if accepted:
            done(Result(412))
        return accepted

    return propose


def _changes_no_members(original):
    return lambda self, now: None


def _fails(original):
    def handle_change(self, change):
        raise ValueError("a fault of the program")

    return handle_change


MUTATIONS = (
    Mutation(
        "digests are forgotten",
        ConfigurationState,
        "apply",
        _forgets_what_was_taken,
        Invariant.NOT_REFUSED,
        draw_thaw,
    ),
    Mutation(
        "the base is not compared",
        ConfigurationState,
        "judge",
        _compares_no_base,
        Invariant.ONE_ORDER,
        draw_strike,
    ),
    Mutation(
        "answered before the entry is applied",
        Shard,
        "propose",
        _answers_before_the_entry_is_applied,
        Invariant.KEPT,
        draw_strike,
    ),
    Mutation("the lease is ignored", Replica, "lease_valid", _ignores_the_lease, Invariant.KEPT, draw_thaw),
    Mutation(
        "elects beside a leader",
        Replica,
        "_has_recent_leader",
        _elects_beside_a_leader,
        Invariant.ONE_LEADER,
        draw_link,
    ),
    Mutation(
        "acknowledges before sync",
        Replica,
        "_acknowledged_index",
        _acknowledges_before_sync,
        Invariant.SAME_LOG,
        draw_strike,
    ),
    Mutation(
        "acknowledges before sync, power lost everywhere",
        Replica,
        "_acknowledged_index",
        _acknowledges_before_sync,
        Invariant.SAME_LOG,
        draw_all_down,
    ),
    Mutation(
        "sends before sync",
        Replica,
        "_send_when_durable",
        _sends_before_sync,
        Invariant.ONE_LEADER,
        draw_election,
    ),
    Mutation(
        "votes while recovering",
        Replica,
        "_may_vote",
        _votes_while_recovering,
        Invariant.SAME_LOG,
        draw_strike,
        surveys=False,
    ),
    Mutation(
        "votes for short logs",
        Replica,
        "_is_up_to_date",
        _votes_for_short_logs,
        Invariant.SAME_LOG,
        draw_strike_apart,
    ),
    Mutation(
        "votes for short logs, power lost everywhere",
        Replica,
        "_is_up_to_date",
        _votes_for_short_logs,
        Invariant.SAME_LOG,
        draw_all_down_apart,
    ),
    Mutation(
        "elects with a half",
        Members,
        "is_quorum",
        _elects_with_a_half,
        Invariant.ONE_LEADER,
        draw_halves,
    ),
    Mutation(
        "votes while recovering, back at its address",
        Replica,
        "_may_vote",
        _votes_while_recovering,
        Invariant.SAME_LOG,
        draw_return,
    ),
    Mutation("leaves at once", Ending, "may_end", _leaves_at_once, Invariant.AVAILABLE, draw_leaver),
    Mutation(
        "reads without a round", Replica, "read_ready", _reads_without_a_round, Invariant.READS, draw_thaw
    ),
    Mutation(
        "any member answers reads",
        Decisions,
        "read_here",
        _any_member_answers_reads,
        Invariant.READS,
        draw_reads,
    ),
    Mutation(
        "refuses when a call ends",
        Submission,
        "_replied",
        _refuses_when_a_call_ends,
        Invariant.TRUE_REFUSAL,
        draw_reset,
    ),
    Mutation(
        "does not wait for the lease",
        Rollouts,
        "_must_wait",
        _does_not_wait_for_the_lease,
        Invariant.ONE_HOLDER,
        draw_hand_over,
    ),
    Mutation(
        "does not wait for the lease while hosts come and go",
        Rollouts,
        "_must_wait",
        _does_not_wait_for_the_lease,
        Invariant.ONE_HOLDER,
        draw_hosts,
    ),
    Mutation(
        "trusts an empty list",
        HostView,
        "_is_untrusted",
        _trusts_an_empty_list,
        Invariant.RECOVERS,
        draw_hosts,
    ),
    Mutation(
        "gives up hosts that are new",
        HostView,
        "_is_missing",
        _gives_up_hosts_that_are_new,
        Invariant.RECOVERS,
        draw_hosts,
    ),
    Mutation(
        "fence not from the log",
        ServiceState,
        "apply",
        _takes_a_fence_of_its_own,
        Invariant.FENCES_RISE,
        draw_hand_over,
    ),
    Mutation(
        "takes older configurations",
        ReplicatedConfiguration,
        "apply",
        _takes_older_configurations,
        Invariant.NEVER_BACK,
        draw_thaw,
    ),
    Mutation(
        "any first configuration is taken",
        Follower,
        "is_confirmed",
        _takes_any_first_configuration,
        Invariant.FRESH,
        draw_lure,
    ),
    Mutation(
        "refuses what it proposes",
        Shard,
        "propose",
        _refuses_what_it_proposes,
        Invariant.TRUE_REFUSAL,
        draw_strike,
    ),
    Mutation(
        "members are not changed", Voters, "check", _changes_no_members, Invariant.RECOVERS, draw_replacement
    ),
    Mutation(
        "members are not changed in time",
        Voters,
        "check",
        _changes_no_members,
        Invariant.AVAILABLE,
        draw_second_loss,
    ),
    Mutation(
        "members are not changed in time, of five",
        Voters,
        "check",
        _changes_no_members,
        Invariant.AVAILABLE,
        draw_two_losses,
    ),
    Mutation("a callback fails", Rollouts, "handle_change", _fails, Invariant.NO_FAULT, draw_hand_over),
)
