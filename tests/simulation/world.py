"""The simulated world: control processes, data planes, hosts and operators, and what befalls them."""

from dataclasses import dataclass
from random import Random

from hopsail.controlplane.shards import SHARD_COUNT
from hopsail.hosts.instance import Phase

from .clock import MILLISECOND, SECOND, Clock
from .disk import USUAL_DELAY, WORKING
from .invariants import AVAILABLE_WITHIN, Checker, Invariant
from .machines import CONTROL_PORT, FLEET_PORT, FRONT_PORT, READY_PORT, Machine
from .network import CALM, Cut, Network
from .operators import HOST as OPERATOR, Operators
from .outside import PLATFORM, Outside
from .steps import Order

SYNC = 4 * SECOND  # for which a machine counts as lost after it is back
GRACE = 8 * SECOND  # after SIGTERM
ASKED_BEFORE = 100  # ms before a machine thaws or is in reach again, operators come to it
RETURNED_FOR = 2500  # ms
LOOK_EVERY = 500 * MILLISECOND
BEGIN_WITHIN = 10 * SECOND
END_WITHIN = 25 * SECOND
FAULTS_END_WITHIN = 30 * SECOND


@dataclass(frozen=True)
class WorldRules:
    """How a world is made."""

    losses: int = 1
    edges: int = 2
    fence_checked: bool = True


class Seat:
    """One of the machines that the control side is to have."""

    def __init__(self, machine: Machine):
        self.machine = machine
        self.lost = 0  # troubles that it is in now
        self.back_at = -(1 << 60)


class World:
    """Everything that there is in one play; `run` lets time pass."""

    def __init__(self, seed: int, rules: WorldRules):
        self.rules = rules
        self.random = Random(seed)
        self.clock = Clock()
        self.kinds = {OPERATOR: "operator"}
        self.network = Network(self.clock, Random(self.random.random()), self._kind_of)
        self.checker = Checker(self)
        self.outside = Outside(self, Random(self.random.random()))
        self.operators = Operators(self, Random(self.random.random()))
        self.machines: dict[str, Machine] = {}
        self.network_mended_at = self.trouble_at = -(1 << 60)
        self.began_at = 0
        self.halves = 0  # cuts of the core in two that are in force
        self._numbers = 0
        self.seats = [Seat(self._new_machine("core")) for _ in range(2 * rules.losses + 1)]
        self.leaving: list[Machine] = []
        self.edges = [self._new_machine("edge") for _ in range(rules.edges)]

    def _kind_of(self, host: str) -> str:
        return self.kinds.get(host, "hosts")

    def _new_machine(self, kind: str, name: str = "") -> Machine:
        self._numbers += 1
        host = f"10.0.0.{self._numbers}"
        self.kinds[host] = kind
        machine = Machine(self, host, name or f"{kind}-{self._numbers}", kind, Random(self.random.random()))
        self.machines[host] = machine
        return machine

    def settings_of(self, machine: Machine, bootstrap: bool) -> str:
        """The text of a machine's settings file at its start."""
        seeds = ",".join(f"{seat.machine.host}:{CONTROL_PORT}" for seat in self.seats[:3])
        lines = [
            f"NodeName={machine.name}",
            f"Ip={machine.host}",
            "Zone=z1",
            f"PortRange={FLEET_PORT},{FLEET_PORT + 15}",
            f"SeedNodes={seeds}",
            f"Bootstrap={'true' if bootstrap else 'false'}",
            f"FaultBudget.MachineLosses={self.rules.losses}",
            f"Bounds.FenceChecked={'true' if self.rules.fence_checked else 'false'}",
            "CloudApi.Address={}:{}".format(*PLATFORM),
        ]
        if machine.kind == "core":
            lines += [f"Listen.ControlPlane={machine.host}:{CONTROL_PORT}", "DataPath=/tmp"]
        else:
            lines += [
                f"Listen.Frontend={machine.host}:{FRONT_PORT}",
                f"Listen.Readiness={machine.host}:{READY_PORT}",
            ]
        return "\n".join(lines)

    # Who is there.

    @property
    def played_ms(self) -> int:
        """Since the schedule began."""
        return (self.clock.now - self.began_at) // MILLISECOND

    @property
    def core(self) -> list[Machine]:
        """The machines in the seats, running or not."""
        return [seat.machine for seat in self.seats]

    def listed_core(self) -> list[Machine]:
        """The operator's list."""
        return self.core + [machine for machine in self.leaving if machine.runs]

    def machine_at(self, host: str) -> Machine | None:
        """The machine with an address."""
        return self.machines.get(host)

    def leader(self, shard: int) -> Machine | None:
        """Who leads a shard, by the latest term."""
        found = [
            (machine.program.shards[shard].replica.term, machine)
            for machine in self.machines.values()
            if machine.kind == "core" and machine.runs and machine.program.shards[shard].leads
        ]
        return max(found, key=lambda one: one[0])[1] if found else None

    def seat_of(self, who: int) -> Seat:
        """The seat that a step names."""
        if who < 0:
            leader = self.leader(-1 - who)
            for seat in self.seats:
                if seat.machine is leader:
                    return seat
        return self.seats[abs(who) % len(self.seats)]

    # Time.

    def run(self, duration: int) -> None:
        """Lets time pass."""
        end = self.clock.now + duration
        while self.clock.next_time <= end:
            self._step()
        self.clock.now = end

    def run_until(self, condition, most: int) -> bool:
        """Lets time pass until the condition holds, looked at from time to time; False when it does not."""
        end = self.clock.now + most
        while not condition():
            if self.clock.now >= end:
                return False
            self.run(100 * MILLISECOND)
        return True

    def _step(self) -> None:
        event = self.clock.pop()
        if event.machine is None:
            event.act()
        else:
            event.machine.have(event.act, event.life)

    # The beginning.

    def begin(self) -> None:
        """Starts everything, and has a first configuration."""
        for machine in self.core:
            delay = self.random.randint(0, 300) * MILLISECOND
            self.clock.at(self.clock.now + delay, lambda machine=machine: machine.start(bootstrap=True))
        for machine in self.edges:
            self.clock.at(self.clock.now + self.random.randint(0, 300) * MILLISECOND, machine.start)
        self.run(400 * MILLISECOND)
        self.operators.change(0)
        if not self.run_until(self._has_begun, BEGIN_WITHIN):
            raise AssertionError("the world does not begin")
        self.began_at = self.clock.now
        self.clock.at(self.clock.now + LOOK_EVERY, self._look)

    def _has_begun(self) -> bool:
        return not self.operators.pending and all(edge.program.ready for edge in self.edges)

    def _look(self) -> None:
        """Whether a proper change waits although nothing has happened for long."""
        self.clock.at(self.clock.now + LOOK_EVERY, self._look)
        quiet = self.clock.now - self.trouble_at >= AVAILABLE_WITHIN and self.network.weather == CALM
        if not quiet or self.may_lack_majority():
            return
        for change in self.operators.pending:
            waits = self.clock.now - change.began
            if waits >= AVAILABLE_WITHIN and change.base == self.checker.newest:
                lost = self.machines_lost()
                self.checker.fail(
                    Invariant.AVAILABLE, f"{change} waits for {waits // SECOND} s, {lost} machines are lost"
                )

    # Losses.

    def is_lost(self, seat: Seat) -> bool:
        """Whether a machine counts as lost: in trouble, or back for a short time."""
        return seat.lost > 0 or self.clock.now < seat.back_at + SYNC

    def machines_lost(self) -> int:
        """How many machines count as lost."""
        return sum(self.is_lost(seat) for seat in self.seats)

    def may_lose(self, seat: Seat) -> bool:
        """Whether a machine may be lost now beside those that are."""
        others = sum(self.is_lost(other) for other in self.seats if other is not seat)
        return others < self.rules.losses and not seat.lost

    def may_lack_majority(self) -> bool:
        """Whether the core is in halves, and the larger one lacks machines that were lost already."""
        return self.halves > 0 and self.machines_lost() > self.rules.losses

    def lose(self, seat: Seat) -> None:
        """A machine is lost from now on."""
        seat.lost += 1
        self._trouble(seat.machine)

    def regain(self, seat: Seat) -> None:
        """A machine is back."""
        seat.lost -= 1
        seat.back_at = self.clock.now
        self._trouble(seat.machine)

    def _trouble(self, machine: Machine) -> None:
        self.trouble_at = machine.trouble_at = self.clock.now

    def after(self, milliseconds: int, act) -> None:
        """Has something done later."""
        self.clock.at(self.clock.now + milliseconds * MILLISECOND, act)

    # What befalls machines; each ends by itself.

    def kill(self, seat: Seat, power: bool, wipe: bool, lasts: int) -> None:
        """A machine's process ends, and begins anew later."""
        machine = seat.machine
        self.lose(seat)
        machine.kill(power)
        if wipe:
            machine.disk.wipe()
        self.after(lasts + self.random.randint(0, 300), lambda: self._again(seat, machine))

    def _again(self, seat: Seat, machine: Machine) -> None:
        if seat.machine is machine:
            machine.start()
        self.regain(seat)

    def freeze(self, seat: Seat, stale_reads: int, in_call: bool, lasts: int) -> None:
        """A machine's process stands still."""
        machine = seat.machine
        self.lose(seat)
        machine.freeze(stale_reads, in_call)
        if in_call:
            self._ask(machine)

        def thaw() -> None:
            machine.thaw()
            self.regain(seat)

        self.after(max(0, lasts - ASKED_BEFORE), lambda: self._ask(machine))
        self.after(lasts, thaw)

    def _ask(self, machine: Machine) -> None:
        """Operators come to a machine that may know little."""
        self.operators.read(machine)
        self.operators.resend(0, machine)
        self.operators.resend(1, machine)

    def cut_off(self, seat: Seat, cut: Cut, lasts: int) -> None:
        """A machine is cut off from others."""
        machine = seat.machine
        self.lose(seat)
        self._cut(cut, lasts)
        self.after(lasts // 2, lambda: self._ask(machine))
        self.after(max(0, lasts - ASKED_BEFORE), lambda: self._ask(machine))
        self.after(lasts, lambda: self.regain(seat))

    def cut_halves(self, side: tuple[int, ...], lasts: int) -> None:
        """The control side falls apart for a while; operators, data planes and hosts reach both sides.

        The smaller side counts as lost. If that is more than the budget together with those that are lost
        already, these count as lost to the end of it too: there may be no majority to catch up with."""
        numbers = {number % len(self.seats) for number in side}
        here = [seat for number, seat in enumerate(self.seats) if number in numbers]
        there = [seat for seat in self.seats if seat not in here]
        far = [seat.machine.host for seat in there] + [machine.host for machine in self.leaving]
        for seat in here:
            self._cut_from(seat.machine.host, far, lasts)
        smaller = min(here, there, key=len)
        lost = [seat for seat in self.seats if seat in smaller or self.is_lost(seat)]
        for seat in lost if len(lost) > self.rules.losses else smaller:
            self.lose(seat)
            self.after(lasts, lambda seat=seat: self.regain(seat))
        for seat in smaller:
            self.after(max(0, lasts - ASKED_BEFORE), lambda machine=seat.machine: self._ask(machine))
        self.halves += 1
        self.after(lasts, self._join_halves)
        self._trouble_all()

    def _join_halves(self) -> None:
        self.halves -= 1
        self._trouble_all()

    def _trouble_all(self) -> None:
        for machine in self.machines.values():
            self._trouble(machine)

    def _cut_from(self, host: str, others: list[str], lasts: int) -> None:
        for other in others:
            self._cut(Cut(host, other, True, False), lasts)
            self._cut(Cut(other, host, True, False), lasts)

    def _cut(self, cut: Cut, lasts: int) -> None:
        self.network.cuts.append(cut)

        def mend() -> None:
            self.network.mend(cut)
            self.network_mended_at = self.clock.now

        self.after(lasts, mend)

    def lure(self, seat: Seat, edge: Machine, gap: int, lasts: int) -> None:
        """A machine is cut off from the others, and a data plane begins anew that reaches only that one."""
        host = seat.machine.host
        self.cut_off(seat, Cut(host, "core", True, True), lasts)

        def begin() -> None:
            edge.kill(power=False)
            self._cut(Cut(edge.host, "core", True, True, spared=host), max(1, lasts - gap))
            edge.start()

        self.after(gap, begin)

    def slow_disks(self, delay: int, lasts: int) -> None:
        """All disks are slow."""
        for seat in self.seats:
            self._slow_disk(seat.machine, delay, lasts)

    def _slow_disk(self, machine: Machine, delay: int, lasts: int) -> None:
        machine.disk.set(machine.disk.condition, delay * MILLISECOND)
        self.after(lasts, lambda: machine.disk.set(machine.disk.condition, USUAL_DELAY))

    def when_acknowledged(self, act, *orders: Order) -> None:
        """Has something done as soon as the next order is acknowledged, of these kinds, or any change."""
        kinds = orders or (Order.CONFIGURATION, Order.PATCH)
        self.checker.when_confirmed(kinds, lambda: self.clock.at(self.clock.now, act))

    def trouble_disk(self, seat: Seat, condition: str, delay: int, lasts: int) -> None:
        """A machine's disk is not what it should be."""
        machine = seat.machine
        self.lose(seat)
        machine.disk.set(condition, delay * MILLISECOND)

        def mend() -> None:
            machine.disk.set(WORKING, USUAL_DELAY)
            self.regain(seat)

        self.after(lasts, mend)

    def replace(
        self,
        seat: Seat,
        planned: bool,
        gap: int,
        returns: int = 0,
        wiped: bool = False,
        same_name: bool = False,
    ) -> None:
        """A new machine takes the place of another one."""
        old = seat.machine
        new = self._new_machine("core", old.name if same_name else "")
        self.lose(seat)

        def arrive() -> None:
            seat.machine = new
            new.start()
            self.regain(seat)

        def leave() -> None:
            self.trouble_at = self.clock.now
            old.gone = True
            old.stop_in_order()
            self.after(GRACE // MILLISECOND, lambda: old.kill(power=False))

        if planned:
            self.leaving.append(old)
            arrive()
            self.after(gap, leave)
        else:
            old.kill(power=True)
            old.gone = True
            if wiped:
                old.disk.wipe()
            self.after(gap, arrive)
            if returns:
                self.leaving.append(old)
                self.after(returns, lambda: self._return(old))

    def _return(self, machine: Machine) -> None:
        """A machine that was replaced is there again for a while."""
        terms = self._terms()
        troubled_at = self.trouble_at
        machine.gone = False
        machine.start()

        def end() -> None:
            quiet = self.trouble_at == troubled_at and self.clock.now - troubled_at >= AVAILABLE_WITHIN
            if quiet and self.network.weather == CALM and None not in terms and terms != self._terms():
                text = f"terms {terms} become {self._terms()} while {machine.name} is back"
                self.checker.fail(Invariant.REMOVED, text)
            machine.kill(power=False)
            machine.gone = True
            self.trouble_at = self.clock.now

        self.after(RETURNED_FOR, end)

    def _terms(self) -> list[int | None]:
        """The term of each shard's leader."""
        leaders = [self.leader(shard) for shard in range(SHARD_COUNT)]
        return [
            leader.program.shards[shard].replica.term if leader is not None else None
            for shard, leader in enumerate(leaders)
        ]

    def core_down(self, power: bool, wiped: list[Seat], lasts: int) -> None:
        """All control processes end at once."""
        for machine in self.leaving:
            machine.kill(power)
            self.after(lasts, machine.start)  # unless it was told to end
        for seat in self.seats:
            self.kill(seat, power, seat in wiped, lasts)

    def all_down(self, wiped: list[Seat], lasts: int) -> None:
        """All machines lose power at once."""
        self.core_down(True, wiped, lasts)
        for machine in self.edges:
            machine.kill(power=True)
            self.after(lasts + self.random.randint(0, 300), machine.start)

    def restart_edge(self, number: int, lasts: int) -> None:
        """A data plane ends, and begins anew later."""
        machine = self.edges[number % len(self.edges)]
        machine.kill(power=False)
        self.after(lasts, machine.start)

    # The end.

    def heal(self) -> None:
        """Ends all faults."""
        self.network.mend(*self.network.cuts)
        self.network.weather = CALM
        self.checker.on_confirmed.clear()
        self.network.tamperings.clear()
        self.operators.lost_answers = 0
        self.outside.heal()
        self.network_mended_at = self.trouble_at = self.clock.now
        for machine in self.machines.values():
            machine.disk.set(WORKING, USUAL_DELAY)
            machine.thaw()
        for machine in self.core + self.edges:
            machine.start()

    def check_end(self) -> None:
        """All is healed: everybody catches up in time, and what was acknowledged is read back everywhere."""
        for order in dict.fromkeys(waiting.orders[0] for waiting in self.checker.on_confirmed):
            self.operators.order(order)
            self.run(SECOND)
        self.run_until(self._faults_are_over, FAULTS_END_WITHIN)
        self.heal()
        if not self.run_until(lambda: not self.operators.pending, END_WITHIN):
            self.checker.fail(Invariant.RECOVERS, f"no clear answer to {self.operators.pending[0]}")
        last = self.operators.change()[0]
        if not self.run_until(lambda: not self._what_lacks(last), END_WITHIN):
            self.checker.fail(Invariant.RECOVERS, self._what_lacks(last))
        self._read_everywhere()

    def _faults_are_over(self) -> bool:
        lost = any(seat.lost for seat in self.seats) or any(one.runs for one in self.leaving)
        return not lost and self.outside.is_whole

    def _what_lacks(self, last) -> str:
        """Why it is not over; empty when it is."""
        if last.status != 200:
            return f"{last} is answered {last.status}"
        if not all(naming.done for naming in self.operators.namings):
            return "weights are not named"
        return self._lacking_member() or self._lacking_edge() or self._lacking_host()

    def _lacking_member(self) -> str:
        hosts = {machine.host for machine in self.core}
        for number in range(len(self.core[0].program.shards)):
            leader = self.leader(number)
            if leader is None:
                return f"part {number} is not led"
            replica = leader.program.shards[number].replica
            voters = {identity.rpartition(":")[0] for identity in replica.voters}
            if voters != hosts:
                return f"part {number} has the voters {sorted(voters)}, not {sorted(hosts)}"
            for machine in self.core:
                other = machine.program.shards[number].replica
                if other.recovering or other.applied_index < replica.commit_index:
                    return f"{machine.name} lacks entries of shard {number}"
        return ""

    def _lacking_edge(self) -> str:
        for machine in self.edges:
            view = machine.program.view
            if not machine.program.ready or view.table.revision != self.checker.newest:
                return f"{machine.name} has not {self.checker.newest}"
            for host in self.outside.hosts.values():
                known = view.instances.get(host.identifier)
                if known is None or known.phase is not Phase.SERVING:
                    return f"{machine.name} does not know that {host.identifier} serves"
            for model, revision in self.checker.named.items():
                if view.targets[model].newest < revision if model in view.targets else True:
                    return f"{machine.name} does not know {model} {revision}"
        return ""

    def _lacking_host(self) -> str:
        for host in self.outside.hosts.values():
            if host.revision < self.checker.named.get(host.model, 0):
                return f"{host.identifier} holds {host.revision}"
        return ""

    def _read_everywhere(self) -> None:
        bodies: list[bytes] = []
        waiting = list(self.core)
        while waiting:
            machine = waiting.pop()
            before = len(bodies)
            for _ in range(20):
                self.operators.read(machine, lambda revision, body: bodies.append(body))
                if self.run_until(lambda before=before: len(bodies) > before, SECOND):
                    break
            else:
                self.checker.fail(Invariant.RECOVERS, f"{machine.name} answers no read")
        if len(set(bodies)) != 1:
            self.checker.fail(Invariant.KEPT, f"{bodies} are read")
        self.checker.at_end(bodies[0])
