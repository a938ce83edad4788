"""The codec, with the wire page's sample frames, and the process loop."""

import subprocess
import sys
from io import BytesIO
from struct import pack

import pytest

from hopsail.benchlink.codec import Link, WireError, read_batch, read_settings
from hopsail.model import Report

SAMPLE = bytes.fromhex(
    "90000000 5a5c800000000000 03000000"
    "32 03000000 c4913a5d 01 00000000 e02e0000 0000 640ad2557c3bf091 80a90300 0000" + "00" * 14 +
    "14 03000000 4d00000000000000" + "00" * 35 +
    "64 05000000 192b6f0e" + "00" * 39
)  # fmt: skip
ENTRIES = bytes.fromhex(
    "074a1203 00 0000 0000 01 0000803f 0000000000000000 f211902c 01 0000 0000 01 0000c03f 20145d0000000000"
)
SETTINGS = """balancers=2
discovery=automatic
limits.mostLegs=4
rules.startCapacity=0.31
rules.warmWithinUs=9000000
rules.fallMultiple=2.5
rules.fallUs=1000000
unheard.of=1
tracks.count=1
tracks.0.effect=repeatable
tracks.0.promisedTimeUs=1500000"""


def batch(*records, tail=b"", clock=8412250):
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return pack("<IQI", len(body), clock, len(records)) + body


def start(settings=SETTINGS, instance=3):
    text = settings.encode()
    return batch(
        pack("<BIQII", 40, instance, 9, len(ENTRIES), len(text)),
        pack("<BIBQII", 70, instance, 1, 41, 0, 2),
        tail=ENTRIES + text,
    )


def answers(*frames):
    link, stream, replies = Link(), BytesIO(b"".join(frames)), []
    while (read := read_batch(stream)) is not None:
        replies.append(link.answer(read))
    return replies


def test_sample_frames():
    empty = bytes.fromhex("00000000 5a5c800000000000 00000000")
    assert answers(empty) == [bytes(8)]
    assert answers(start(), SAMPLE)[1][8:13] in (bytes.fromhex("50 03000000"), bytes.fromhex("5a 03000000"))
    assert answers(SAMPLE) == [bytes(8)]  # instances not here (a killed one's last events) are passed over


def test_a_retrieval_from_arrival_to_answer_and_a_rebirth():
    outcome = pack("<BIIIIIHHB", 80, 3, 0x5D3A91C4, 0, 9000, 0x03124A07, 0, 302, 0)
    stop = pack("<BI", 10, 3)
    replies = answers(start(), SAMPLE, batch(outcome), batch(outcome), batch(stop), SAMPLE, start())
    assert b"\x5a\x03\x00\x00\x00\xc4\x91\x3a\x5d" in replies[1]
    assert replies[4:] == [bytes(8)] * 3


@pytest.mark.parametrize(
    "count, values, taken",
    [
        (2, (3.0, 0.5, 0.0, 0.0), True), (0, (3.0, 0.5, 0.0, 0.0), False), (1, (3.0, 0.5, 0.0, 0.0), False),
        (4, (3.0, 0.5, 0.0, 0.0), False), (255, (3.0, 0.5, 0.0, 0.0), False),
        (2, (float("nan"), 0.5, 0.0, 0.0), False), (2, (-3.0, 0.5, 0.0, 0.0), False),
    ],
)  # fmt: skip
def test_reports_and_hints_come_as_typed_values_and_odd_reports_are_ignored(count, values, taken):
    settings = SETTINGS + "\nfeedback.via=answers\nfeedback.columns=waiting,cpu"
    link = Link()
    link.answer(read_batch(BytesIO(start(settings))))
    link.answer(read_batch(BytesIO(SAMPLE)))
    door = link.doors[3]
    retrieval = door.held[0x5D3A91C4]
    (leg,) = retrieval.legs
    assert retrieval.work == 12_000_000  # ns
    outcome = pack("<BIIIIIHHBB4f", 80, 3, 0x5D3A91C4, 0, 9000, leg.host.name, 0, 100, 1, count, *values)
    link.answer(read_batch(BytesIO(batch(outcome))))
    assert leg.host.report == (Report(waiting=3.0, busy=0.5) if taken else None)


@pytest.mark.parametrize("line", ["limits.mostLegs=4", "tracks.count=1", "tracks.0.promisedTimeUs=1500000"])
def test_missing_setting_is_named(line):
    with pytest.raises(WireError, match=line.split("=")[0]):
        read_settings(SETTINGS.replace(line, ""))


@pytest.mark.parametrize(
    "data, code, says",
    [
        (b"", 0, ""),
        (SAMPLE[:10], 1, "header"),
        (SAMPLE[:40], 1, "within a batch"),
        (batch(b"\x07"), 1, "unknown event code 7"),
        (pack("<IQI", 0, 0, 5), 1, "do not fit"),
        (start().replace(b"balancers=2", b"balancers=x"), 1, "balancers"),
        (batch(pack("<BIBQII", 70, 3, 1, 1, 5, 9)), 0, ""),
    ],
)
def test_process(data, code, says):
    command = [sys.executable, "-m", "hopsail.benchlink"]
    run = subprocess.run(command, input=data, capture_output=True, timeout=60)
    assert run.returncode == code and says in run.stderr.decode() and "Traceback" not in run.stderr.decode()
    assert bool(run.stderr) is bool(code)


def test_fault_in_the_module_is_reported_with_instance_and_cause(monkeypatch):
    from hopsail.benchlink import codec

    def fail(*_):
        raise RuntimeError("no such luck")

    monkeypatch.setattr(codec.Balancer, "arrived", fail)
    reply = answers(start(), SAMPLE)[1]
    assert reply[8] == 100 and b"instance 3: RuntimeError: no such luck" in reply
