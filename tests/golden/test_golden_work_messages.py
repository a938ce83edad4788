"""Datagrams between data planes are, byte for byte, what earlier versions wrote."""

import pytest
from golden_digest import stored_bytes

from hopsail.dataplane.work_messages import Begun, Ended, HostBacklog, LaneReport, LaneTotals, PartHosts
from hopsail.dataplane.work_messages import ToldDivision, WorkDatagram
from hopsail.rpc.structs import decode, encode

PATH = "dataplane/work_messages.json"

BACKLOG = HostBacklog(host="i-01", waiting=2048.5, read=1e6, read_ms=313.25)
BEGUN = Begun(host="i-01", number=2**40 + 1, tokens=4096.0, lasting_ms=30_000)
ENDED = Ended(host="i-02", number=7, is_sample=True)
READERS = PartHosts(part="9f86d081884c7d65", hosts=["i-01", "i-02"])
TOTALS = LaneTotals(
    lane="short",
    requests=10.0,
    tokens=2000.0,
    tokens_squared=5e5,
    aim_ms=8000.0,
    answered=9.0,
    holding_ms=12.5,
    waiting_ms=0.25,
    least_ms=45.0,
)
REPORT = LaneReport(
    service="chat",
    number=12,
    division=3,
    short_share=0.22,
    totals=[TOTALS, LaneTotals(lane="long")],
    rate=31.5,
)
DIVISION = ToldDivision(service="chat", number=2**31 - 1, short_share=0.3333333333333333)

STRUCTS = {
    "nothing": WorkDatagram(),
    "a question": WorkDatagram(
        fleet="fleet-1", question=5, asked=["i-01", "i-02"], asked_parts=["9f86d081884c7d65"]
    ),
    "an answer": WorkDatagram(fleet="fleet-1", question=5, backlogs=[BACKLOG], readers=[READERS]),
    "a beginning": WorkDatagram(fleet="fleet-1", begun=[BEGUN], sent_parts=[READERS, PartHosts(part="x")]),
    "an end": WorkDatagram(fleet="fleet-1", ended=[ENDED, Ended(host="i-03", number=8)]),
    "a lane report": WorkDatagram(fleet="fleet-1", lane_reports=[REPORT]),
    "a division": WorkDatagram(fleet="fleet-1", divisions=[DIVISION, ToldDivision(service="other")]),
    "all at once": WorkDatagram(
        fleet="flotte-ü",
        question=-1,
        asked=["i-01"],
        backlogs=[BACKLOG, HostBacklog()],
        begun=[BEGUN, Begun()],
        ended=[ENDED],
        asked_parts=["a", "b"],
        readers=[READERS],
        sent_parts=[READERS],
        lane_reports=[REPORT, LaneReport(service="other")],
        divisions=[DIVISION],
    ),
}


def test_all_stored_datagrams_are_written_again():
    assert {name: encode(struct) for name, struct in STRUCTS.items()} == stored_bytes(PATH)


@pytest.mark.parametrize("name", STRUCTS)
def test_a_stored_datagram_is_read_and_written_to_the_same_bytes(name):
    data = stored_bytes(PATH)[name]
    datagram = decode(WorkDatagram, data)
    assert datagram == STRUCTS[name]
    assert encode(datagram) == data
