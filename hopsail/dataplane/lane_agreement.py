"""How data planes agree on one division of each service's hosts into lanes.

Each service has a data plane as its registrar, found as those of hosts are (`work_directory`). All senders
tell it sums of what their requests asked of the hosts; it decides the division and numbers it, tells all at
once, and answers each report whose sender holds an older one. A sender holds what it was told last: while
the registrar is lost, cut off or new, nothing moves. Reports carry the division that their sender holds, so a
new registrar goes on from the newest. No I/O: datagrams go by the directory."""

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from ..event_log import get_logger
from ..model import SECOND
from ..routing.lane_demand import NAMES, LaneMeter, LaneSums
from ..routing.lane_division import HALF_NS, Division, DivisionRegistrar
from ..routing.lane_sizing import HostPool
from ..routing.lanes import Lane, short_hosts
from .service_hosts import ServiceHosts
from .work_directory import Address, WorkDirectory
from .work_messages import LaneReport, LaneTotals, ToldDivision, WorkDatagram

log = get_logger("lanes")

LEAST_INTERVAL_NS = SECOND  # between a sender's reports
DECIDE_EVERY_NS = SECOND  # a decision takes some milliseconds
REPORTS_PER_S = 40  # that a registrar gets of a service, whatever the number of senders
FIRST_REPORTS_PER_S = 300  # while there is no division yet: 100 KB/s, for a second or two
MOST_SENDERS = 4096  # whose last report's number is remembered; the one heard of the longest ago goes first


def report_interval(senders: int) -> int:
    """Time (ns) between the reports of one sender among so many."""
    return max(LEAST_INTERVAL_NS, SECOND * senders // REPORTS_PER_S)


def first_interval(senders: int) -> int:
    """The same while the sender holds no division: the first one is to come soon, for many reports once."""
    return SECOND * senders // FIRST_REPORTS_PER_S


@dataclass(slots=True)
class _Service:
    """One service as its senders and its registrar see it."""

    division: Division = Division()
    meters: dict[Lane, LaneMeter] = field(default_factory=lambda: {lane: LaneMeter() for lane in Lane})
    registrar: DivisionRegistrar | None = None  # while this process is the service's registrar
    report_due: int = 0  # ns
    asked_at: int = -LEAST_INTERVAL_NS  # ns, when the registrar was told last
    decision_due: int = 0  # ns


class LaneAgreement:
    """One data plane's part: sender of reports for all services, registrar of some.

    `services` are the hosts of each service, `rate()` tells how many tokens a host reads in a ms, None while
    that is not known, and `candidates` is how many hosts a long prompt is compared over."""

    def __init__(
        self,
        directory: WorkDirectory,
        services: Mapping[str, ServiceHosts],
        rate: Callable[[], float | None],
        candidates: int,
        counters,
    ):
        self.directory, self.services, self.rate = directory, services, rate
        self.candidates, self.counters = candidates, counters
        self._known: dict[str, _Service] = {}
        self._last_reports: OrderedDict[tuple[Address, str], int] = OrderedDict()
        directory.on_lanes = self.received

    def division(self, service: str) -> Division:
        """The one that is held."""
        return self._of(service).division

    # A sender's side.

    def began(self, service: str, lane: Lane, tokens: float, aim_ms: float) -> None:
        """A request is sent to a host of the service; see `LaneMeter.began`."""
        if service in self.services:
            self._of(service).meters[lane].began(tokens, aim_ms)

    def answered(self, service: str, lane: Lane, tokens: float, first_ms: float, whole_ms: float) -> None:
        """The answer of a host of the service is over; see `LaneMeter.answered`."""
        if service in self.services:
            self._of(service).meters[lane].answered(tokens, first_ms, whole_ms, self.rate())

    def tick(self) -> None:
        """Reports and decides when it is time to; to be called several times a second."""
        now = self.directory.loop.now()
        senders = len(self.directory.addresses())
        for service in self._divided():
            known = self._of(service)
            if now >= known.decision_due:
                known.decision_due = now + DECIDE_EVERY_NS if known.division.number else now
                self._decide(now, service)
            if now >= known.report_due:
                interval = report_interval if known.division.number else first_interval
                known.report_due = now + interval(senders)
                self._report(now, service)

    def _divided(self) -> Iterator[str]:
        return (name for name, hosts in self.services.items() if hosts.has_models)

    def _of(self, service: str) -> _Service:
        known = self._known.get(service)
        if known is None:
            known = self._known[service] = _Service()
        return known

    def _report(self, now: int, service: str) -> None:
        """Tells the registrar what was measured since the last report, or asks it for the first division."""
        known = self._of(service)
        sums = {lane: meter.take() for lane, meter in known.meters.items()}
        address = self.directory.registrar(registrar_key(service))
        rate = self.rate() or 0.0
        if address is None:
            self._take_sums(now, service, sums, rate)
            return
        is_idle = not any(one.requests or one.answered for one in sums.values())
        if is_idle and (known.division.number or now < known.asked_at + LEAST_INTERVAL_NS):
            return
        known.asked_at = now
        held = known.division
        report = LaneReport(
            service=service,
            number=self.directory.next_number(),
            division=held.number,
            short_share=held.short_share,
            totals=[_totals(lane, one) for lane, one in sums.items() if one.requests or one.answered],
            rate=rate,
        )
        self.directory.send_datagram(address, WorkDatagram(lane_reports=[report]))

    # A registrar's side.

    def _take_sums(self, now: int, service: str, sums: dict[Lane, LaneSums], rate: float) -> None:
        known = self._of(service)
        if known.registrar is None:
            # What is summed has to outlast the time between reports.
            interval = report_interval(len(self.directory.addresses()))
            known.registrar = DivisionRegistrar(max(HALF_NS, 2 * interval))
        known.registrar.told_rate(rate)
        for lane, one in sums.items():
            known.registrar.told(now, lane, one)

    def _decide(self, now: int, service: str) -> None:
        known = self._of(service)
        if known.registrar is None:
            return
        if self.directory.registrar(registrar_key(service)) is not None:
            known.registrar = None  # another data plane is it now
            return
        hosts = self.services[service]
        number = len(hosts.names)
        pool = HostPool(number, hosts.capacity // number if number else 0)
        decided = known.registrar.decide(now, known.division, pool, self.candidates)
        if decided is None:
            return
        self.counters.add("lanes.decided")
        count = short_hosts(number, decided.short_share)
        log.info("division decided", service=service, number=decided.number, short_hosts=count, hosts=number)
        self._hold(service, decided)
        for address in self.directory.addresses():
            if address != self.directory.address:
                self._tell(address, service)

    def _tell(self, address: Address, service: str) -> None:
        held = self._of(service).division
        told = ToldDivision(service=service, number=held.number, short_share=held.short_share)
        self.directory.send_datagram(address, WorkDatagram(divisions=[told]))

    # Both.

    def received(self, sender: Address, datagram: WorkDatagram) -> None:
        """Takes in reports and divisions; of services that are not known here, nothing."""
        for report in datagram.lane_reports:
            if report.service in self.services:
                self._take_report(sender, report)
        for told in datagram.divisions:
            # Only the registrar's own word counts.
            known = told.service in self.services
            if known and sender == self.directory.registrar(registrar_key(told.service)):
                self._hold(told.service, Division(told.number, told.short_share))

    def _take_report(self, sender: Address, report: LaneReport) -> None:
        if self.directory.registrar(registrar_key(report.service)) is not None:
            return  # the sender's view differs; its next report goes elsewhere
        if self._is_double(sender, report):
            return
        told = Division(report.division, report.short_share)
        self._hold(report.service, told)
        sums = {lane: one for totals in report.totals for lane, one in _sums(totals)}
        self._take_sums(self.directory.loop.now(), report.service, sums, report.rate)
        held = self._of(report.service).division
        if held.number and held != told:
            self._tell(sender, report.service)

    def _is_double(self, sender: Address, report: LaneReport) -> bool:
        key = (sender, report.service)
        is_double = self._last_reports.get(key) == report.number
        self._last_reports[key] = report.number
        self._last_reports.move_to_end(key)
        if len(self._last_reports) > MOST_SENDERS:
            self._last_reports.popitem(last=False)
        return is_double

    def _hold(self, service: str, division: Division) -> None:
        known = self._of(service)
        if not division.is_sound() or not division.is_newer_than(known.division):
            return
        known.division = division
        known.registrar = None  # what was measured under the last one does not count for this one
        self.counters.add("lanes.taken")
        self.services[service].set_division(division.short_share)


def registrar_key(service: str) -> str:
    """What a service's registrar is found by."""
    return f"service {service}"


def _totals(lane: Lane, sums: LaneSums) -> LaneTotals:
    return LaneTotals(lane=lane.value, **{name: getattr(sums, name) for name in NAMES})


def _sums(totals: LaneTotals) -> Iterator[tuple[Lane, LaneSums]]:
    """The lane and its sums, nothing where they can't be true."""
    sums = LaneSums(**{name: getattr(totals, name) for name in NAMES})
    lane = next((lane for lane in Lane if lane.value == totals.lane), None)
    if lane is not None and sums.is_sound():
        yield lane, sums
