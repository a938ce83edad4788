"""Datagrams between data planes: long prompts under way at hosts, and the division of hosts into lanes."""

from ..rpc.structs import Struct, boolean, double, i32, i64, list_of, spec, structs, text, TType


class Begun(Struct):
    """A long prompt has been sent to a host."""

    host: str
    number: int  # of the prompt, unique within the sender's life
    tokens: float  # that the host has to read
    lasting_ms: int  # after which it is over even if no end is told

    thrift_spec = spec(text(1, "host"), i64(2, "number"), double(3, "tokens"), i32(4, "lasting_ms"))


class Ended(Struct):
    """A prompt told of as begun is read, or given up."""

    host: str
    number: int
    is_sample: bool  # the time that it took shows the host's speed

    thrift_spec = spec(text(1, "host"), i64(2, "number"), boolean(3, "is_sample"))


class PartHosts(Struct):
    """Hosts that were lately sent a shared part, by `routing.recent_readers.part_key`."""

    part: str
    hosts: list[str]  # the latest first

    thrift_spec = spec(text(1, "part"), list_of(2, "hosts", TType.STRING, "UTF8"))


class HostBacklog(Struct):
    """What the host's registrar knows of it; see `routing.host_work.HostLoad`."""

    host: str
    waiting: float
    read: float
    read_ms: float

    thrift_spec = spec(text(1, "host"), double(2, "waiting"), double(3, "read"), double(4, "read_ms"))


class LaneTotals(Struct):
    """Sums over one sender's requests of one kind; see `routing.lane_demand.LaneSums`."""

    lane: str  # the value of a `routing.lanes.Lane`
    requests: float
    tokens: float
    tokens_squared: float
    aim_ms: float
    answered: float
    holding_ms: float
    waiting_ms: float
    least_ms: float

    thrift_spec = spec(
        text(1, "lane"),
        double(2, "requests"),
        double(3, "tokens"),
        double(4, "tokens_squared"),
        double(5, "aim_ms"),
        double(6, "answered"),
        double(7, "holding_ms"),
        double(8, "waiting_ms"),
        double(9, "least_ms"),
    )


class LaneReport(Struct):
    """What a sender's requests have asked of a service's hosts, and the division that it holds."""

    service: str
    number: int  # of the report
    division: int  # number of the division, 0 when none was told
    short_share: float
    totals: list[LaneTotals]
    rate: float  # tokens that a host reads in a ms, 0 when the sender does not know

    thrift_spec = spec(
        text(1, "service"),
        i64(2, "number"),
        i32(3, "division"),
        double(4, "short_share"),
        structs(5, "totals", LaneTotals),
        double(6, "rate"),
    )


class ToldDivision(Struct):
    """The division of a service's hosts that its registrar holds; see `routing.lane_division.Division`."""

    service: str
    number: int
    short_share: float

    thrift_spec = spec(text(1, "service"), i32(2, "number"), double(3, "short_share"))


class WorkDatagram(Struct):
    """One datagram; what does not apply is left out."""

    fleet: str
    question: int  # number of a question or of the one answered, 0 when there is none
    asked: list[str]  # hosts whose load is asked for
    backlogs: list[HostBacklog]  # the answer
    begun: list[Begun]
    ended: list[Ended]
    asked_parts: list[str]  # parts whose readers are asked for
    readers: list[PartHosts]  # the answer
    sent_parts: list[PartHosts]  # what hosts have just been sent
    lane_reports: list[LaneReport]
    divisions: list[ToldDivision]

    thrift_spec = spec(
        text(1, "fleet"),
        i64(2, "question"),
        list_of(3, "asked", TType.STRING, "UTF8"),
        structs(4, "backlogs", HostBacklog),
        structs(5, "begun", Begun),
        structs(6, "ended", Ended),
        list_of(7, "asked_parts", TType.STRING, "UTF8"),
        structs(8, "readers", PartHosts),
        structs(9, "sent_parts", PartHosts),
        structs(10, "lane_reports", LaneReport),
        structs(11, "divisions", ToldDivision),
    )
