"""What each kind of end proves of a host's answer: by a length, a last chunk, a close in order, a reset.

Played through a whole request with the stand-ins of `test_dataplane_forward`."""

import pytest
from test_dataplane_forward import (
    EVENTS_HEAD,
    LAST_CHUNK,
    answer,
    ask,
    chunk,
    events,
    feed,
    headers_of,
    instance,
    plane,
)

__all__ = ["plane"]  # a fixture

NO_LENGTH = EVENTS_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")


@pytest.mark.parametrize(
    ("said", "closes", "counter"),
    [
        (answer(), False, "attempts.end.length"),
        (EVENTS_HEAD + chunk(events(1, 2)) + LAST_CHUNK, False, "attempts.end.last_chunk"),
        (NO_LENGTH + events(1, 2), True, "attempts.end.close"),
    ],
    ids=["length", "last chunk", "close"],
)
def test_what_told_the_end_of_an_answer_is_counted(plane, said, closes, counter):  # noqa: F811
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of())
    (host,) = plane.pool.made
    host.says(said)
    if closes:
        host.ends(in_order=True)
    counted = {name: count for name, count in plane.counters.counts.items() if "attempts.end" in name}
    assert counted == {counter: 1}


def test_no_end_is_counted_of_an_answer_that_was_reset(plane):  # noqa: F811
    feed(plane.view, instances=[instance()])
    ask(plane, headers_of())
    plane.pool.made[0].says(NO_LENGTH + events(1, 2)).ends()
    assert not [name for name in plane.counters.counts if "attempts.end" in name]
