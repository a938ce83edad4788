"""ORDER: a stream that was broken off in the middle of an event is ended as complete.

The hosts' answers have no length and end with their connections. The host of a stream crashes (SIGKILL) while
it writes an event. The stream may be resumed, and other hosts are well.
"""

import sys
import time
from collections.abc import Callable
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))
from fleet import Answer, CannotRunError, Fleet, HostProcess, Record, play, route  # noqa: E402

HOSTS = 7  # one of them is within `srv_crash`, share (.15)
EVENTS, GAP_MS = 16, 200
WHOLE_EVENTS = 7  # before the crash


def serving(fleet: Fleet) -> HostProcess:
    """Wait for the host that runs the request."""
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for host in fleet.hosts:
            if host.records():
                return host
        time.sleep(0.005)
    raise CannotRunError("no host runs the request")


def case(make: Callable[..., Fleet], record: Record, is_troubled: bool) -> bool:
    """Play it; whether the rule was broken."""
    fleet = make(edges=1, cores=3)
    for _ in range(HOSTS):
        fleet.add_host(events=EVENTS, gap_ms=GAP_MS, framing="none")
    fleet.start([route("r-stream", "/stream/", "streaming", resumable=True)])
    time.sleep(2)
    answer = Answer(fleet, fleet.edges[0], "/stream/1")
    host = serving(fleet)
    record.say(f"{host.identifier} runs the request")
    if is_troubled:
        # A quarter of a gap after the last whole event: the first half of the next one is out.
        crashes_at = host.records()[0]["at"] + (WHOLE_EVENTS + 0.25) * GAP_MS / 1000
        time.sleep(max(0.0, crashes_at - time.monotonic()))
        host.end()
        fleet.listed.remove(host.entry())
        record.say(f"{host.identifier} has crashed")
    answer.thread.join()
    count = answer.body.count(b"\n\n")
    rest = answer.body.rpartition(b"\n\n")[2]
    end = "complete" if answer.is_whole else "cut"
    record.say(f"client: {answer.status}, {count} of {EVENTS} events, then {rest!r}, {end}")
    for one in fleet.hosts:
        record.say(f"{one.identifier}: {[(line['what'], line['run']) for line in one.records()]}")
    return answer.status == 200 and answer.is_whole and count < EVENTS


sys.exit(play(HERE, case))
