"""What must hold at every step of a play; each invariant has a name that a failing schedule is known by.

The checker sees every entry that any process applies, every vote, order and answer that leaves one, and each
process after each thing that it has done."""

import json
from collections.abc import Callable
from enum import Enum
from inspect import signature
from typing import NamedTuple

from hopsail.controlplane.commands import Command, CommandKind, Result
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.shard import Shard
from hopsail.controlplane.shards import CONFIGURATION_SHARD
from hopsail.replication.messages import RequestVote, RequestVoteReply

from .clock import MILLISECOND, SECOND
from .running import running
from .steps import Order

LEASE = 3 * SECOND
UNFREEZE = 300 * MILLISECOND
CONTACT = 3 * SECOND
FRESH_WITHIN = 6 * SECOND  # in which a superseded configuration may still bring a process into service
AVAILABLE_WITHIN = 8 * SECOND  # without new trouble, and with no more lost than may be


class Invariant(Enum):
    """What must hold."""

    KEPT = "what was acknowledged is in the state of every later leader, and is read back"
    ONE_ORDER = "one order a number, and one that follows on a number, is confirmed at most"
    NOT_REFUSED = "an order that was taken is never refused when it is sent again"
    TRUE_REFUSAL = "an order that was refused is not taken"
    NEVER_BACK = "versions never go back within a life"
    FRESH = "nobody comes into service with what was superseded long ago"
    FENCES_RISE = "fences come from the log and only rise"
    ONE_HOLDER = "two holders never send orders within the lease"
    ONE_LEADER = "one leader a term, and one holder of a lease"
    SAME_LOG = "the same entries are applied everywhere"
    REMOVED = "a removed member neither votes nor stands, and disturbs nobody"
    READS = "a read has what was acknowledged before it began"
    AVAILABLE = "with no more lost than may be, changes are taken"
    RECOVERS = "when all is healed, everybody catches up"
    NO_FAULT = "no callback fails"


class Violation(AssertionError):
    """Something happened that must never happen."""

    def __init__(self, invariant: Invariant, text: str):
        super().__init__(f"{invariant.name}: {invariant.value}: {text}")
        self.invariant = invariant


class CheckedShard(Shard):
    """A shard whose entries and messages the checker sees."""

    def __init__(self, *values, **named):
        bound = signature(Shard.__init__).bind(self, *values, **named)
        given, machine = bound.arguments, running.machine
        number, checker = given["number"], machine.world.checker
        apply, send, replica = given["apply"], given["send"], given["replica"]
        take_ready = replica.take_ready

        def checked_apply(state, index: int, command: Command) -> Result:
            result = apply(state, index, command)
            checker.applied(number, index, command, result)
            return result

        def checked_send(shard, peer: str, message) -> None:
            checker.sends(machine, shard, message)
            send(shard, peer, message)

        def checked_take_ready():
            ready = take_ready()
            for entry in ready.committed if ready is not None else ():
                checker.commits(number, entry)
            return ready

        replica.take_ready = checked_take_ready
        given["apply"], given["send"] = checked_apply, checked_send
        super().__init__(*bound.args[1:], **bound.kwargs)


class _Waiting(NamedTuple):
    """What is done as soon as an order of these kinds is acknowledged."""

    orders: tuple[Order, ...]
    act: Callable[[], None]


class Checker:
    """Raises Violation as soon as an invariant does not hold."""

    def __init__(self, world):
        self.world = world
        self.entries: dict[tuple[int, int], tuple] = {}  # shard and index -> what is committed there
        self.carried_out: set[tuple[int, int]] = set()
        self.model = ConfigurationState()  # what the configuration's entries make of nothing
        self.model_index = 0
        self.taken: dict[bytes, int] = {}  # change -> revision, as applied
        self.refused: dict[bytes, int] = {}  # change -> status
        self.leaders: dict[tuple[int, int], str] = {}
        self.lease_holders: dict[int, object] = {}
        self.grants: dict[tuple[str, int], str] = {}  # service and fence -> owner
        self.highest_fence: dict[str, int] = {}
        self.orders: dict[str, tuple[int, object]] = {}  # host -> when and by whom it was last sent one
        self.acknowledged: list[tuple[int, int]] = []  # when, revision; rising
        self.newest = 0  # revision acknowledged
        self.naming_parts: dict[tuple[str, int], int] = {}  # model and revision -> the shard that took it
        self.named: dict[str, int] = {}  # model -> revision acknowledged
        self.violation: Violation | None = None  # the first one
        self.faults: list[str] = []
        self.on_confirmed: list[_Waiting] = []  # what is done at the next acknowledgement
        self.read_bodies: dict[int, bytes] = {}
        self.figures = {"orders": 0, "reads": 0, "votes": 0, "ready": 0}

    def fail(self, invariant: Invariant, text: str) -> None:
        """An invariant does not hold."""
        violation = Violation(invariant, f"at {self.world.played_ms} ms: {text}")
        self.violation = self.violation or violation  # the programs catch what their callbacks raise
        raise violation

    def fault(self, text: str) -> None:
        """A program has caught an exception of its own."""
        self.faults.append(text)

    # The log.

    def commits(self, shard: int, entry) -> None:
        """A replica has a committed entry to be applied."""
        shown = entry.term, entry.kind, entry.data
        known = self.entries.setdefault((shard, entry.index), shown)
        if known != shown:
            self.fail(Invariant.SAME_LOG, f"entry {entry.index} of shard {shard} is {known} and {shown}")

    def applied(self, shard: int, index: int, command: Command, result: Result) -> None:
        """A process has applied an entry."""
        data = command.encode()
        first = (shard, index) not in self.carried_out
        self.carried_out.add((shard, index))
        if command.kind is CommandKind.NAME_REVISION:
            self.naming_parts.setdefault((command.subject, command.number), shard)
        if shard == CONFIGURATION_SHARD:
            if index > self.model_index:
                self.model_index = index
                self._change_applied(command, data, result)
        elif first and command.kind is CommandKind.ACQUIRE_ROLE:
            self._granted(command, result)

    def _change_applied(self, command: Command, data: bytes, result: Result) -> None:
        before = self.model.revision
        self.model.apply(command)
        if self.model.revision != before:
            self.taken[data] = self.model.revision
            if data in self.refused:
                self.fail(Invariant.TRUE_REFUSAL, f"{data} was refused and is revision {result.value}")

    def _granted(self, command: Command, result: Result) -> None:
        service, fence = command.subject, result.value
        highest = self.highest_fence.get(service, 0)
        if fence <= highest:
            self.fail(Invariant.FENCES_RISE, f"fence {fence} of {service} after {highest}")
        self.highest_fence[service] = fence
        self.grants[(service, fence)] = command.owner

    def sends(self, machine, shard, message) -> None:
        """A replica sends a message."""
        stands = isinstance(message, RequestVote) and not message.pre_vote
        votes = isinstance(message, RequestVoteReply) and message.granted and not message.pre_vote
        if not (stands or votes):
            return
        self.figures["votes"] += 1
        replica = shard.replica
        if replica.commit_index and replica.identity not in replica.log.members_at(replica.commit_index).all:
            what = "stands" if stands else "votes"
            self.fail(Invariant.REMOVED, f"{machine.name} {what} in part {shard.number}, term {replica.term}")

    # Calls from outside.

    def answered(self, exchange, status: int) -> None:
        """A process answers an operator."""
        naming = getattr(exchange, "naming", None)
        if naming is not None and status == 200:
            self._name_confirmed(naming.model, naming.revision)
        change = getattr(exchange, "change", None)
        if change is None:
            return
        if status == 200:
            self._confirmed(change)
        elif 400 <= status < 500 and status not in (408, 429):
            self.refused.setdefault(change.data, status)
            if change.data in self.taken:
                self.fail(
                    Invariant.NOT_REFUSED,
                    f"{exchange.machine.name} answers {status} for {change}, which was taken",
                )

    def _confirmed(self, change) -> None:
        confirmed = self.world.operators.confirmed
        if change in confirmed:
            return
        for other in confirmed:
            if other.revision == change.revision or other.base == change.base:
                self.fail(Invariant.ONE_ORDER, f"{change} and {other} are confirmed")
        if change.data not in self.taken:
            self.fail(Invariant.KEPT, f"{change} is confirmed and was not applied")
        confirmed.append(change)
        self._act_on(Order.PATCH if change.patch else Order.CONFIGURATION)
        if change.revision > self.newest:
            self.newest = change.revision
            self.acknowledged.append((self.world.clock.now, change.revision))

    def when_confirmed(self, orders: tuple[Order, ...], act: Callable[[], None]) -> None:
        """Has something done as soon as the next order of these kinds is acknowledged."""
        self.on_confirmed.append(_Waiting(orders, act))

    def _act_on(self, order: Order) -> None:
        due = [waiting for waiting in self.on_confirmed if order in waiting.orders]
        self.on_confirmed = [waiting for waiting in self.on_confirmed if waiting not in due]
        for waiting in due:
            waiting.act()

    def _name_confirmed(self, model: str, revision: int) -> None:
        """A version of weights was acknowledged."""
        if (model, revision) not in self.naming_parts:
            self.fail(Invariant.KEPT, f"{model} {revision} is confirmed and was not applied")
        if revision > self.named.get(model, 0):
            self.named[model] = revision
            self._act_on(Order.REVISION)

    def read(self, revision: int, must_have: int, where: str, body: bytes) -> None:
        """An operator has read a configuration; what is read of a revision is the same everywhere."""
        self.figures["reads"] += 1
        known = self.read_bodies.setdefault(revision, body)
        if known != body:
            self.fail(Invariant.READS, f"{body} is read at {where}, {known} elsewhere")
        if revision < must_have:
            self.fail(Invariant.READS, f"{revision} is read at {where}, {must_have} was acknowledged before")

    # Orders to hosts.

    def ordered(self, machine, host: str, service: str, body: dict) -> None:
        """A process sends an order to a host."""
        self.figures["orders"] += 1
        owner, fence = body["Owner"], body["FenceToken"]
        granted = self.grants.get((service, fence))
        if granted != owner:
            self.fail(Invariant.FENCES_RISE, f"{owner} sends {service} fence {fence}, granted to {granted}")
        now = self.world.clock.now
        last = self.orders.get(host)
        self.orders[host] = now, machine
        if last is None or last[1] is machine or now - last[0] >= LEASE:
            return
        if self._counts(machine, last[1]):
            gap = (now - last[0]) // MILLISECOND
            self.fail(Invariant.ONE_HOLDER, f"{machine.name} orders {host} {gap} ms after {last[1].name}")

    def _counts(self, machine, other) -> bool:
        """Whether turns of these two are judged."""
        now = self.world.clock.now
        if now - max(machine.thawed_at, self.world.network_mended_at) < UNFREEZE:
            return False
        if not self.world.rules.fence_checked:
            return True
        return all(now - one.trouble_at >= CONTACT and not one.troubled for one in (machine, other))

    # Processes, after each thing that they have done.

    def after(self, machine) -> None:
        """A process has done something."""
        if self.violation is not None:
            raise self.violation
        if self.faults:
            self.fail(Invariant.NO_FAULT, self.faults[0])
            self.faults.clear()
        if not machine.runs:
            return
        if machine.kind == "core":
            self._check_control_plane(machine)
        else:
            self._check_data_plane(machine)

    def _check_control_plane(self, machine) -> None:
        program = machine.program
        shards = getattr(program, "shards", None)
        if shards is None:
            return
        revision = shards[CONFIGURATION_SHARD].state.revision
        if revision < machine.seen_revision:
            self.fail(Invariant.NEVER_BACK, f"{machine.name}: {revision} after {machine.seen_revision}")
        machine.seen_revision = revision
        now = None
        for shard in shards:
            if shard.leads:
                now = machine.loop_time if now is None else now
                self._check_leader(machine, shard, now)

    def _check_leader(self, machine, shard, now: int) -> None:
        key = (shard.number, shard.replica.term)
        other = self.leaders.setdefault(key, machine.host)
        if other != machine.host:
            self.fail(Invariant.ONE_LEADER, f"{other} and {machine.host} lead part {key[0]} in term {key[1]}")
        lacks = self._lacks(shard)
        known_holder = self.lease_holders.get(shard.number) is machine
        if (known_holder and not lacks) or not shard.replica.lease_valid(now):
            return
        if lacks:
            self.fail(Invariant.KEPT, f"{machine.name} leads with {lacks}")
        self._check_lease(machine, shard)

    def _lacks(self, shard) -> str:
        """What a shard's state lacks of all that was acknowledged."""
        if shard.number == CONFIGURATION_SHARD:
            known = shard.state.revision
            return f"{known}, {self.newest} was acknowledged" if known < self.newest else ""
        for model, revision in self.named.items():
            known = shard.state.revisions.get(model, 0)
            if known < revision and self.naming_parts[(model, revision)] == shard.number:
                return f"{model} {known}, {revision} was acknowledged"
        return ""

    def _check_lease(self, machine, shard) -> None:
        holder = self.lease_holders.get(shard.number)
        self.lease_holders[shard.number] = machine
        if holder is None or holder is machine or not holder.acts:
            return
        theirs = holder.program.shards[shard.number].replica
        if theirs.is_leader and theirs.lease_valid(holder.loop_time):
            self.fail(Invariant.ONE_LEADER, f"{holder.name} and {machine.name} hold leases of {shard.number}")

    def _check_data_plane(self, machine) -> None:
        view = machine.program.view
        revision = view.table.revision if view.table is not None else 0
        if revision < machine.seen_revision:
            self.fail(Invariant.NEVER_BACK, f"{machine.name}: {revision} after {machine.seen_revision}")
        machine.seen_revision = revision
        for model, target in view.targets.items():
            if target.newest < machine.seen_targets.get(model, 0):
                self.fail(Invariant.NEVER_BACK, f"{machine.name}: {model} goes back to {target.newest}")
            machine.seen_targets[model] = target.newest
        if not machine.was_ready and machine.program.ready:
            machine.was_ready = True
            self.figures["ready"] += 1
            self._check_first(machine, revision)

    def _check_first(self, machine, revision: int) -> None:
        before = self.world.clock.now - FRESH_WITHIN
        for when, newer in self.acknowledged:
            if when < before and newer > revision:
                self.fail(Invariant.FRESH, f"{machine.name} is ready with {revision}, {newer} is in force")

    def at_end(self, body: bytes) -> None:
        """What is read when all is healed."""
        if json.loads(body) != self.model.configuration:
            self.fail(Invariant.KEPT, f"{body} is read, not {self.model.configuration}")
        for change in self.world.operators.confirmed:
            if change.data not in self.taken:
                self.fail(Invariant.KEPT, f"{change} is lost")
        for change in self.world.operators.changes:
            if change.status != 200 and change.data in self.taken:
                self.fail(Invariant.NOT_REFUSED, f"{change} was taken and answered {change.status}")
