"""The end of a data plane: what is still taken, what is refused, and how what is under way ends.

The plane is the real one, on a clock that the test sets; front, hosts and clients have no sockets."""

import signal
from itertools import product

import pytest
from data_plane_by_hand import CONFIGURATION, SETTINGS, feed, headers_of, instance
from request_journey import (
    EVENTS_HEAD,
    MILLISECOND,
    SECOND,
    ClientSide,
    Clock,
    Pool,
    answer,
    chunk,
    declined,
    events,
)

from hopsail.configuration.process import parse_settings
from hopsail.dataplane.plane import READY_PATH, DataPlane
from hopsail.dataplane.stopping import (
    ANSWERS_MARGIN_MS,
    CLOSE_MARGIN_MS,
    ENTRY_MISSES_MS,
    UNKNOWING_MS,
    LastTimes,
    Pending,
)
from hopsail.http.message import Request
from hopsail.http.server import Exchange
from hopsail.process import SETTINGS_VARIABLE
from hopsail.routing.durations import LEAST_COUNT

GRACE_MS = 8000
EARLY = ENTRY_MISSES_MS * MILLISECOND
UNKNOWING = UNKNOWING_MS * MILLISECOND  # after the SIGTERM, clients' requests come unknowingly until then
ANSWERS = (GRACE_MS - ANSWERS_MARGIN_MS) * MILLISECOND  # after the SIGTERM
DEADLINE = 4 * SECOND  # of the routes, but for the long ones

KINDS = {
    "mutating": {"RouteKind": "mutating"},
    "idempotent": {"RouteKind": "idempotent", "MaxTries": 3},
    "stream": {"RouteKind": "streaming"},
    "resumable": {"RouteKind": "streaming", "Resumable": True, "MaxTries": 3},
}
ROUTES = [
    CONFIGURATION["Routes"][0]
    | {"Name": kind + suffix, "PathPrefix": f"/{kind}{suffix}/", "Public": True, "DeadlineMs": deadline}
    | route
    for kind, route in KINDS.items()
    for suffix, deadline in (("", 4000), ("-long", 60_000))
]


class Front:
    """The server for clients: `draining` is what its connections read."""

    def __init__(self, loop):
        self.loop, self.draining = loop, False
        self.busy, self.connections = 0, []
        self.shut_at = self.refused_at = self.closed_at = None
        self.refusal = None

    def drain(self):
        self.draining = True

    def shut(self):
        assert self.shut_at is None
        self.shut_at = self.loop.now()

    def refuse_half_read(self, status, headers=()):
        self.refused_at = self.refused_at or self.loop.now()
        self.refusal = status, dict(headers)

    def close(self):
        self.closed_at = self.loop.now()

    def leave(self): ...  # as the membership


class Stage:
    """A data plane, its front, and hosts of one service."""

    def __init__(self, plane, hosts=3):
        self.plane, self.loop, self.pool = plane, plane.loop, plane.pool
        plane.may_retry = lambda now, service: True
        plane.front = plane.membership = self.front = Front(plane.loop)
        configuration = CONFIGURATION | {"Routes": ROUTES}
        feed(plane.view, configuration, [instance(f"i-{n}", port=8001 + n) for n in range(hosts)])

    def terminate(self):
        self.plane.terminate()
        self.told_at = self.loop.now()
        return self

    def until(self, after_term):
        """Sets the time to so long after the SIGTERM."""
        while self.loop.now() < self.told_at + after_term:
            left = self.told_at + after_term - self.loop.now()
            self.loop.forward(min(left, 10 * MILLISECOND))
        return self

    def ask(self, kind="mutating", headers=()):
        client = ClientSide(self.loop)
        client.server = self.front
        request = Request("POST", f"/{kind}/x", [*headers_of(key=None), *headers], b"x")
        self.exchange = client.exchange = Exchange(client, request)
        self.plane.handle(request, self.exchange)
        self.loop.settle()
        return client

    def answer(self, client, number=-1, data=None):
        self.pool.made[number].says(data or answer())
        assert client.complete and client.status == 200

    def have_taken(self, kind, duration):
        """As many requests of the kind as tell something have lately taken so long."""
        for _ in range(LEAST_COUNT):
            self.plane.attempts.durations.add(self.loop.now(), kind, 0, duration)
        return self

    def busy_after_the_first_seconds(self):
        """The last instant at which a client's request comes unknowingly."""
        self.plane.view.balancers = 3
        self.front.busy = 1  # it does not end by itself
        return self.terminate().until(UNKNOWING)

    def wait_for_a_place(self):
        """Clients that have all places, and one that waits, shortly before it is too late."""
        self.plane.view.balancers = 3
        self.front.busy = 1
        self.last_begin = ANSWERS - 2 * SECOND  # after the SIGTERM
        self.terminate().until(self.last_begin - 100 * MILLISECOND).have_taken("mutating-long", 2 * SECOND)
        taken = [self.ask("mutating-long") for _ in range(self.plane.gates.places("s"))]
        return taken, self.ask("mutating-long")


@pytest.fixture
def stage():
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
    handlers = {number: signal.getsignal(number) for number in numbers}
    plane = DataPlane(parse_settings(SETTINGS + f"Bounds.GraceS={GRACE_MS // 1000}\n"))
    loop, plane.loop = plane.loop, Clock()
    plane.gates.loop = plane.loop
    plane.pool = Pool(plane.loop)
    plane.attempts.durations._began = plane.loop.now()
    yield Stage(plane)
    loop.close()
    for number, handler in handlers.items():
        signal.signal(number, handler)


def long(kind):
    """The route of the kind whose deadline is later than any grace."""
    return f"{kind}-long"


def is_refused(client):
    """Whether the client was told at once that nothing has run, and to go elsewhere."""
    promised = client.status == 503 and client.header("hopsail-not-executed") is not None
    return promised and float(client.header("retry-after")) == 0 and client.header("connection") == "close"


# The bound

TOLD = 100 * SECOND
TIMES = LastTimes.of(TOLD, GRACE_MS)
LATE = TIMES.unknowing_until + 1


def may_begin(now, arrived=None, deadline=DEADLINE, lately=None, streaming=False):
    arrived = now if arrived is None else arrived
    return TIMES.may_begin(now, Pending(arrived, arrived + deadline, lately, streaming))


def test_the_instants_of_an_end_follow_the_grace():
    assert TIMES == (
        TOLD,
        TOLD + UNKNOWING_MS * MILLISECOND,
        TOLD + ENTRY_MISSES_MS * MILLISECOND,
        TOLD + (GRACE_MS - ANSWERS_MARGIN_MS) * MILLISECOND,
        TOLD + (GRACE_MS - CLOSE_MARGIN_MS) * MILLISECOND,
    )


def test_a_grace_shorter_than_the_margins_is_over_at_once():
    times = LastTimes.of(TOLD, 100)
    assert times.answers_until == times.closed_by == TOLD
    assert not times.may_begin(TOLD, Pending(TOLD, TOLD + 1, 1, False))


def test_a_request_of_which_nothing_is_known_is_taken_while_its_whole_deadline_fits():
    assert may_begin(TIMES.answers_until - DEADLINE - 1, deadline=DEADLINE)
    assert not may_begin(LATE, deadline=TIMES.answers_until - LATE)
    assert may_begin(LATE, deadline=TIMES.answers_until - LATE - 1)


@pytest.mark.parametrize("streaming", [False, True])
def test_until_clients_can_know_all_are_taken_that_may_fit(streaming):
    now = TIMES.unknowing_until
    assert may_begin(now, deadline=60 * SECOND, streaming=streaming)
    left = TIMES.answers_until - now
    assert may_begin(now, deadline=60 * SECOND, lately=left - 1, streaming=streaming)
    assert not may_begin(now, deadline=60 * SECOND, lately=left, streaming=streaming)


def test_clients_know_before_the_pages_excuse_ends():
    """A request sent 3 s after the SIGTERM is not excused; the signal may be heard a little late."""
    assert TIMES.told_at + 100 * MILLISECOND < TIMES.unknowing_until
    assert TIMES.unknowing_until + 100 * MILLISECOND <= TIMES.told_at + 3 * SECOND


def test_one_that_came_early_may_begin_later():
    assert may_begin(LATE, arrived=TIMES.unknowing_until, deadline=60 * SECOND, streaming=True)


def test_what_such_requests_have_taken_lately_has_to_fit():
    lately = 700 * MILLISECOND
    last = TIMES.answers_until - lately
    assert may_begin(last - 1, lately=lately)
    assert not may_begin(last, lately=lately)


def test_what_streams_have_taken_lately_says_nothing_of_one_that_comes_late():
    """Found on the bench: such streams had taken less than a second; this one waited and ran for 4.07 s."""
    now, lately = TOLD + 3341 * MILLISECOND, 600 * MILLISECOND
    assert may_begin(now, deadline=6 * SECOND, lately=lately)
    assert not may_begin(now, deadline=6 * SECOND, lately=lately, streaming=True)
    last = TIMES.answers_until - DEADLINE
    assert may_begin(last - 1, lately=lately, streaming=True)
    assert not may_begin(last, lately=lately, streaming=True)


ARRIVALS = [0, 1500, UNKNOWING_MS, UNKNOWING_MS + 1, 3341, 5000, 7000, GRACE_MS - ANSWERS_MARGIN_MS]  # ms
WAITS = [0, 400, 3000]  # ms from the arrival until a host could be asked
LATELY = [None, 100, 900, 5000]  # ms
DEADLINES = [300, 4000, 60_000]  # ms


@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("arrived", ARRIVALS)
def test_each_cell_of_what_is_taken(arrived, streaming):
    """Arrival x wait x what such ones took x deadline: the rule as the page on endings has it, in ms."""
    last = GRACE_MS - ANSWERS_MARGIN_MS
    for wait, lately, deadline in product(WAITS, LATELY, DEADLINES):
        begins, ends = arrived + wait, arrived + deadline
        fits_surely = max(begins, ends) < last
        fits_probably = lately is not None and min(begins + lately, max(begins, ends)) < last
        if arrived <= UNKNOWING_MS:
            taken = begins < last and (lately is None or fits_probably or fits_surely)
        else:
            taken = fits_surely or (fits_probably and not streaming)
        known = None if lately is None else lately * MILLISECOND
        came = TOLD + arrived * MILLISECOND
        pending = Pending(came, came + deadline * MILLISECOND, known, streaming)
        if wait <= deadline:
            now = TOLD + begins * MILLISECOND
            assert TIMES.may_begin(now, pending) == taken, (wait, lately, deadline)


def test_the_deadline_bounds_what_is_needed():
    assert may_begin(TIMES.answers_until - SECOND - 1, deadline=SECOND, lately=50 * SECOND, streaming=True)


@pytest.mark.parametrize("arrived", [TOLD, LATE])
def test_nothing_begins_once_answers_are_ended(arrived):
    assert not may_begin(TIMES.answers_until, arrived=arrived, deadline=60 * SECOND, lately=1)


# What is still taken


def test_a_process_that_ends_is_not_ready_at_once(stage):
    stage.terminate()
    assert not stage.plane.ready
    client = ClientSide(stage.loop)
    exchange = Exchange(client, Request("GET", READY_PATH, [("host", "h")], b""))
    stage.plane.handle(exchange.request, exchange)
    assert client.status == 503


@pytest.mark.parametrize("kind", KINDS)
def test_requests_are_taken_while_clients_cannot_know(stage, kind):
    stage.terminate().until(UNKNOWING)
    client = stage.ask(kind)
    assert len(stage.pool.made) == 1
    stage.answer(client)
    assert client.status == 200 and client.header("connection") == "close"


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_that_may_outlast_the_grace_is_refused_at_once(stage, kind):
    stage.terminate().until(ANSWERS - DEADLINE + MILLISECOND)
    client = stage.ask(kind)
    assert is_refused(client) and not stage.pool.made and not stage.plane.in_flight
    assert stage.plane.counters.counts["refused.ending"] == 1


@pytest.mark.parametrize("kind", ["mutating", "idempotent"])
def test_a_request_that_such_ones_have_shown_to_fit_is_served_late(stage, kind):
    stage.terminate()
    stage.until(ANSWERS - SECOND).have_taken(kind, 400 * MILLISECOND)
    client = stage.ask(kind)
    stage.answer(client)
    assert client.status == 200


@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_stream_that_comes_late_is_refused_though_such_ones_were_quick(stage, kind):
    stage.terminate()
    stage.until(ANSWERS - DEADLINE + MILLISECOND).have_taken(kind, 400 * MILLISECOND)
    assert is_refused(stage.ask(kind)) and not stage.pool.made


@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_stream_whose_deadline_fits_is_served_late(stage, kind):
    stage.terminate().until(ANSWERS - 501 * MILLISECOND)
    client = stage.ask(kind, headers=[("hopsail-deadline-ms", "500")])
    stage.answer(client)
    assert client.status == 200


def test_how_long_requests_take_is_learned_from_attempts(stage):
    for _ in range(LEAST_COUNT):
        client = stage.ask()
        stage.loop.forward(300 * MILLISECOND)
        stage.answer(client)
    stage.terminate().until(ANSWERS - 301 * MILLISECOND)
    stage.answer(stage.ask())
    stage.until(ANSWERS - 300 * MILLISECOND)
    assert is_refused(stage.ask())


def test_a_request_that_its_client_gives_little_time_is_served_late(stage):
    stage.terminate().until(ANSWERS - 501 * MILLISECOND)
    client = stage.ask(headers=[("hopsail-deadline-ms", "500")])
    stage.answer(client)
    assert client.status == 200


def test_a_request_that_waits_for_a_place_is_refused_once_it_is_too_late(stage):
    taken, waiting = stage.wait_for_a_place()
    places = len(taken)
    assert places and len(stage.pool.made) == places and not waiting.bytes
    stage.until(stage.last_begin + 50 * MILLISECOND)
    assert is_refused(waiting)
    stage.answer(taken[0], 0)
    assert len(stage.pool.made) == places  # nobody has the place that it left


def test_one_that_comes_too_late_does_not_wait_for_a_place(stage):
    stage.wait_for_a_place()
    stage.loop.time = stage.told_at + stage.last_begin
    assert is_refused(stage.ask("mutating-long"))


def test_a_place_that_comes_too_late_is_not_used(stage):
    taken, waiting = stage.wait_for_a_place()
    places = len(taken)
    stage.loop.time = stage.told_at + stage.last_begin  # before the next look at those that wait
    stage.answer(taken[0], 0)
    assert is_refused(waiting) and len(stage.pool.made) == places


@pytest.mark.parametrize("kind", KINDS)
def test_a_connection_that_comes_up_too_late_is_not_waited_for(stage, kind):
    stage.busy_after_the_first_seconds().have_taken(long(kind), SECOND)
    stage.pool.manners.append("silent")
    client = stage.ask(long(kind))
    late = ANSWERS - SECOND
    stage.until(late - MILLISECOND)
    assert not client.bytes and stage.pool.made[0].dialing
    stage.until(late + 50 * MILLISECOND)
    assert is_refused(client) and not stage.pool.made[0].open and not stage.pool.made[0].sent


def test_a_stream_that_is_taken_up_waits_for_its_connection(stage):
    stage.busy_after_the_first_seconds().have_taken("resumable-long", SECOND)
    client = stage.ask("resumable-long")
    stage.pool.made[0].says(EVENTS_HEAD + chunk(events(1, 3)))
    stage.pool.manners.append("silent")
    stage.pool.made[0].ends()
    stage.until(ANSWERS - 500 * MILLISECOND)
    assert client.end is None and stage.pool.made[1].open
    stage.pool.made[1].up()
    stage.pool.made[1].says(EVENTS_HEAD + chunk(events(4, 6)) + b"0\r\n\r\n")
    assert client.complete and bytes(client.body) == events(1, 6)


@pytest.mark.parametrize("kind", ["idempotent", "resumable"])
def test_no_second_attempt_begins_too_late(stage, kind):
    stage.busy_after_the_first_seconds().have_taken(long(kind), SECOND)
    client = stage.ask(long(kind))
    stage.until(ANSWERS - 500 * MILLISECOND)
    stage.pool.made[0].says(declined())
    assert is_refused(client) and len(stage.pool.made) == 1


def test_a_retry_that_is_too_late_after_a_break_promises_nothing(stage):
    stage.busy_after_the_first_seconds().have_taken("idempotent-long", SECOND)
    client = stage.ask("idempotent-long")
    stage.until(ANSWERS - 500 * MILLISECOND)
    stage.pool.made[0].ends()
    assert client.status == 502 and len(stage.pool.made) == 1


def test_a_stream_that_has_begun_is_taken_up_however_late(stage):
    stage.busy_after_the_first_seconds().have_taken("resumable-long", SECOND)
    client = stage.ask("resumable-long")
    stage.pool.made[0].says(EVENTS_HEAD + chunk(events(1, 3)))
    stage.until(ANSWERS - 500 * MILLISECOND)
    stage.pool.made[0].ends()
    assert len(stage.pool.made) == 2
    stage.pool.made[1].says(EVENTS_HEAD + chunk(events(4, 6)) + b"0\r\n\r\n")
    assert client.complete and bytes(client.body) == events(1, 6)


# How the process ends


def test_a_process_under_load_stays_until_nothing_is_under_way(stage):
    stage.terminate()
    client = stage.ask()
    stage.until(EARLY + 500 * MILLISECOND)
    assert stage.front.shut_at is None
    stage.answer(client)
    stage.until(EARLY + 600 * MILLISECOND)
    assert stage.front.shut_at is not None and stage.loop.stopped


def test_a_process_without_requests_ends_when_the_entry_has_noticed(stage):
    stage.terminate().until(EARLY - MILLISECOND)
    assert stage.front.shut_at is None
    stage.until(EARLY + 100 * MILLISECOND)
    assert stage.front.closed_at is not None and stage.loop.stopped


def test_a_process_that_refuses_what_comes_late_takes_no_new_connections(stage):
    stage.front.connections = ["one"]
    stage.busy_after_the_first_seconds().until(EARLY + SECOND)
    assert stage.front.shut_at is None
    assert is_refused(stage.ask("mutating-long"))
    stage.until(EARLY + SECOND + 100 * MILLISECOND)
    assert stage.front.shut_at is not None and not stage.loop.stopped


def test_a_refusal_before_the_entry_has_noticed_does_not_shut_the_front(stage):
    stage.front.busy, stage.front.connections = 1, ["one"]
    stage.have_taken("mutating-long", 60 * SECOND).terminate()
    assert is_refused(stage.ask("mutating-long"))
    stage.until(EARLY - MILLISECOND)
    assert stage.front.shut_at is None
    stage.until(EARLY + 100 * MILLISECOND)
    assert stage.front.shut_at is not None and not stage.loop.stopped


def test_connections_that_were_in_the_queue_are_served_before_the_end(stage):
    stage.front.connections = ["one"]
    stage.terminate().until(EARLY + 100 * MILLISECOND)
    assert stage.front.shut_at is not None and not stage.loop.stopped
    client = stage.ask(headers=[("hopsail-deadline-ms", "1000")])
    stage.front.connections = []
    stage.until(EARLY + 300 * MILLISECOND)
    assert not stage.loop.stopped
    stage.answer(client)
    stage.until(EARLY + 400 * MILLISECOND)
    assert client.status == 200 and stage.loop.stopped


@pytest.mark.parametrize("kind", KINDS)
def test_a_host_is_left_to_its_work_until_the_grace_is_nearly_over(stage, kind):
    stage.terminate().until(UNKNOWING)
    client = stage.ask(long(kind))
    stage.until(ANSWERS - MILLISECOND)
    assert not client.bytes and stage.pool.made[0].open
    stage.answer(client)
    assert client.status == 200


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_at_work_when_answers_end_gets_an_answer_without_a_promise(stage, kind):
    stage.terminate().until(UNKNOWING)
    client = stage.ask(long(kind))
    stage.until(ANSWERS + 50 * MILLISECOND)
    assert client.status == 502 and client.complete and not stage.pool.made[0].open
    assert not stage.plane.in_flight


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_that_was_never_written_when_answers_end_is_promised_not_to_have_run(stage, kind):
    stage.terminate().until(UNKNOWING)
    stage.pool.manners.append("silent")
    client = stage.ask(long(kind))
    stage.until(ANSWERS + 50 * MILLISECOND)
    assert is_refused(client) and not stage.pool.made[0].sent and not stage.plane.in_flight


@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_stream_that_has_begun_is_cut_when_answers_end_and_looks_cut(stage, kind):
    stage.terminate().until(UNKNOWING)
    client = stage.ask(long(kind))
    stage.pool.made[0].says(EVENTS_HEAD + chunk(events(1, 3)))
    stage.until(ANSWERS - MILLISECOND)
    assert bytes(client.body) == events(1, 3) and client.end is None
    stage.until(ANSWERS + 50 * MILLISECOND)
    assert not client.complete and client.end is not None and not stage.plane.in_flight


def test_half_read_requests_are_refused_when_answers_end(stage):
    stage.front.busy, stage.front.connections = 1, ["half read"]
    stage.terminate().until(ANSWERS - MILLISECOND)
    assert stage.front.refused_at is None and stage.front.shut_at is None
    stage.until(ANSWERS + 50 * MILLISECOND)
    status, headers = stage.front.refusal
    assert status == 503 and "hopsail-not-executed" in headers and float(headers["retry-after"]) == 0


def test_a_process_ends_before_it_is_killed(stage):
    stage.front.busy, stage.front.connections = 1, ["one that takes nothing"]
    stage.terminate().until(GRACE_MS * MILLISECOND - CLOSE_MARGIN_MS * MILLISECOND - MILLISECOND)
    assert stage.front.closed_at is None
    stage.until((GRACE_MS - CLOSE_MARGIN_MS + 100) * MILLISECOND)
    assert stage.front.closed_at is not None and stage.loop.stopped


def test_a_second_signal_changes_nothing(stage):
    stage.terminate()
    ending = stage.plane.ending
    stage.until(SECOND)
    stage.plane.terminate()
    assert stage.plane.ending is ending


def test_a_grace_that_is_set_anew_holds_from_the_next_end_on(stage):
    stage.terminate()
    times = stage.plane.ending.times
    stage.plane.settings = parse_settings(SETTINGS + "Bounds.GraceS=3\n")
    stage.until(EARLY)
    assert stage.plane.ending.times == times


# SIGHUP


@pytest.fixture
def settings_file(tmp_path, monkeypatch):
    path = tmp_path / "settings.conf"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


@pytest.mark.parametrize("text", [SETTINGS + "SeedNodes=127.0.0.9:8169\n", "NodeName=n1\n", "", None])
@pytest.mark.parametrize("stopping", [False, True])
def test_a_signal_to_read_the_settings_again_cuts_nothing(stage, settings_file, text, stopping):
    stage.front.renew_seeds = lambda seeds: None
    stage.front.replace_seeds = lambda seeds: None
    if stopping:
        stage.terminate()
    plane, before = stage.plane, stage.plane.settings
    client, events_of = stage.ask(), stage.ask("stream")
    stage.pool.made[1].says(EVENTS_HEAD + chunk(events(1, 3)))
    if text is not None:
        settings_file.write_text(text)
    plane._reload()
    assert (plane.settings is before) == ("SeedNodes" not in (text or ""))
    assert plane.ready != stopping and len(plane.in_flight) == 2
    assert all(connection.open for connection in stage.pool.made)
    stage.answer(client, 0)
    stage.pool.made[1].says(chunk(events(4, 6)) + b"0\r\n\r\n")
    assert events_of.complete and bytes(events_of.body) == events(1, 6)
