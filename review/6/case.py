"""ORDER: a stream that was broken off in the middle of an event is ended as complete.

The hosts' answers have no length and end with their connections. The host of a stream crashes (SIGKILL) while it writes an
event. The stream may be resumed, and other hosts are well.
"""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))
from fleet import Answer, CannotRun, play, route  # noqa: E402

EVENTS, GAP_MS = 16, 200


def case(make, record, is_troubled: bool) -> bool:
    fleet = make(edges=1, cores=3)
    for _ in range(7):  # one of seven is within `srv_crash`, share (.15)
        fleet.add_host(events=EVENTS, gap_ms=GAP_MS, framing="none")
    fleet.start([route("r-stream", "/stream/", "streaming", resumable=True)])
    time.sleep(2)
    answer = Answer(fleet, fleet.edges[0], "/stream/1")
    until = time.monotonic() + 3
    while not (serving := [host for host in fleet.hosts if host.records()]):
        if time.monotonic() > until:
            raise CannotRun("no host runs the request")
        time.sleep(0.005)
    host = serving[0]
    began = host.records()[0]["at"]
    record.say(f"{host.identifier} runs the request")
    if is_troubled:
        # In the second quarter of the gap after the seventh event: the first half of the eighth is out.
        time.sleep(max(0.0, began + (7 * GAP_MS + GAP_MS / 4) / 1000 - time.monotonic()))
        host.end()
        fleet.listed.remove(host.entry())
        record.say(f"{host.identifier} has crashed")
    answer.thread.join()
    events, _, rest = answer.body.rpartition(b"\n\n")
    count = events.count(b"\n\n") + bool(events)
    record.say(f"client: {answer.status}, {count} of {EVENTS} events, then {rest!r}, {'complete' if answer.is_whole else 'cut'}")
    for one in fleet.hosts:
        record.say(f"{one.identifier}: {[(line['what'], line['run']) for line in one.records()]}")
    return answer.status == 200 and answer.is_whole and count < EVENTS


sys.exit(play(HERE, case))
