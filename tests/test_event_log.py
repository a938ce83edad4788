"""Lines of the router fleet's programs: their form, and the bound of each topic."""

import gc
import io
import weakref

import pytest

from hopsail.event_log import get_logger, log_exception
from hopsail.event_sink import PicologgingSink
from hopsail.net import log
from hopsail.net.topic_limiter import MAX_LINES_PER_SECOND, MAX_TOPICS, TopicLimiter


def written(stream):
    return stream.getvalue().splitlines()


def test_a_line_has_its_topic_and_keeps_percent_signs():
    stream = io.StringIO()
    PicologgingSink(stream).info("%s", "100 % of it", extra={"topic": "state"})
    assert written(stream) == ["hopsail: state: 100 % of it"]


class Held:
    """Something that a caller has in a local variable."""


@pytest.mark.parametrize("level", ["info", "warning", "error"])
def test_a_line_keeps_nothing_of_those_who_called_for_it(level):
    """Guards against requests and configurations kept for good by a line logged while they were in hand."""
    sink = PicologgingSink(io.StringIO())

    def handle():
        held = Held()
        log_line()
        return weakref.ref(held)

    def log_line():
        getattr(sink, level)("%s", "in hand", extra={"topic": "state"})

    reference = handle()
    gc.collect()
    assert reference() is None


def test_a_topic_is_bounded_and_tells_what_was_left_out(monkeypatch):
    stream, seconds = io.StringIO(), [7.0]
    monkeypatch.setattr("hopsail.net.topic_limiter.monotonic", lambda: seconds[0])
    sink = PicologgingSink(stream)
    for number in range(MAX_LINES_PER_SECOND + 3):
        sink.info("%s", str(number), extra={"topic": "noisy"})
    sink.info("%s", "other", extra={"topic": "quiet"})
    assert len(written(stream)) == MAX_LINES_PER_SECOND + 1
    seconds[0] = 8.0
    sink.error("%s", "next", extra={"topic": "noisy"})
    assert written(stream)[-1] == "hopsail: noisy: next (3 more left out)"


def test_counters_are_never_left_out():
    stream = io.StringIO()
    sink = PicologgingSink(stream)
    for _ in range(MAX_LINES_PER_SECOND + 5):
        sink.info("%s", "{}", extra={"topic": "counters", "bounded": False})
    assert len(written(stream)) == MAX_LINES_PER_SECOND + 5


def test_lines_of_the_shared_modules_go_to_the_adopted_sink(monkeypatch):
    monkeypatch.setattr(log, "_logger", log._logger)  # put back after the test
    stream = io.StringIO()
    log.adopt(PicologgingSink(stream))
    log.say("state", "ready")
    assert written(stream) == ["hopsail: state: ready"]


@pytest.fixture
def stream(monkeypatch):
    """What the fleet's lines are written to; the sink of before is put back after the test."""
    monkeypatch.setattr(log, "_logger", log._logger)
    stream = io.StringIO()
    log.adopt(PicologgingSink(stream))
    return stream


def test_values_are_filled_into_the_text_of_an_event(stream):
    get_logger("configuration").info("revision %s in force", 4)
    get_logger("settings").warning("not taken: %s", "1005 PortRange: 100 % wrong")
    assert written(stream) == [
        "hopsail: configuration: revision 4 in force",
        "hopsail: settings: not taken: 1005 PortRange: 100 % wrong",
    ]


def test_fields_follow_the_name_of_an_event_as_key_and_value(stream):
    get_logger("part").info("recovered", part=3, term=7)
    get_logger("orders").warning("host %s refused", "i-1", status=412, reason=None)
    assert written(stream) == [
        "hopsail: part: recovered part=3 term=7",
        "hopsail: orders: host i-1 refused status=412 reason=None",
    ]


def test_an_exception_is_logged_with_its_traceback_under_the_topic_of_faults(stream):
    try:
        raise KeyError("100 %s")
    except KeyError:
        log_exception()
    lines = written(stream)
    assert lines[0] == "hopsail: fault: Traceback (most recent call last):"
    assert lines[-2:] == ["KeyError: '100 %s'", ""]


def test_topics_beyond_the_bound_share_one_count(monkeypatch):
    monkeypatch.setattr("hopsail.net.topic_limiter.monotonic", lambda: 7.0)
    limiter = TopicLimiter()
    for number in range(MAX_TOPICS):
        assert limiter.admit(f"topic {number}") == 0
    others = [limiter.admit(f"other {number}") for number in range(MAX_LINES_PER_SECOND + 2)]
    assert others[:2] == [0, 0] and others[-1] is None
    assert limiter.admit("topic 0") == 0
