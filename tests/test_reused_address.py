"""The address of a host that has ended belongs to another one: its quick refusals must not draw requests."""

import pytest
from request_journey import MILLISECOND, answer, declined
from data_plane_by_hand import ask, feed, headers_of, instance

from hopsail.dataplane.execution import is_replaced
from hopsail.http.message import ResponseHead
from hopsail.routing.outcomes import LONGEST_PAUSE_NS, Failure, HostHealth

NAMES = ("i-1", "i-2", "i-3")
TAKEN_OVER = declined(421, ("Hopsail-Instance-Id: i-of-another-service",))


PROMPT = [("hopsail-prompt-prefix", "aa:60,bb:10")]  # of one shared part, so with one home


def asked(plane):
    """The name of the host that the next request goes to first, and its connection."""
    ask(plane, headers_of() + PROMPT)
    host = plane.pool.made[-1]
    return host.told("hopsail-target-instance"), host


def first_home(plane):
    feed(plane.view, instances=[instance(name, port=8000 + number) for number, name in enumerate(NAMES)])
    return asked(plane)


def test_a_host_whose_address_another_has_is_passed_over(plane):
    ended, host = first_home(plane)
    host.says(TAKEN_OVER)
    for _ in range(100):
        name, host = asked(plane)
        assert name != ended
        host.says(answer())
        plane.loop.forward(LONGEST_PAUSE_NS // 200)


@pytest.mark.parametrize("own_name", [False, True])
def test_a_host_that_only_declines_is_not(plane, own_name):
    name, host = first_home(plane)
    host.says(declined(421, (f"Hopsail-Instance-Id: {name}",) if own_name else ()))
    assert plane.placement.services["s"].health.may_send(plane.loop.now(), name)


def test_one_request_after_the_pause_tells_whether_it_is_still_so(plane):
    ended, host = first_home(plane)
    host.says(TAKEN_OVER)
    plane.loop.forward(LONGEST_PAUSE_NS + MILLISECOND)
    name, host = asked(plane)
    assert name == ended
    assert asked(plane)[0] != ended
    host.says(answer())
    assert asked(plane)[0] == ended


def test_who_has_an_address_is_told_by_421_alone():
    def head(status, *named):
        return ResponseHead(status, [("hopsail-instance-id", name) for name in named], True)

    assert is_replaced(head(421, "i-9"), "i-1")
    assert not is_replaced(head(421, "i-1"), "i-1") and not is_replaced(head(421), "i-1")
    assert not is_replaced(head(503, "i-9"), "i-1") and not is_replaced(None, "i-1")


def test_the_pause_is_the_longest_at_once_and_does_not_grow():
    health = HostHealth()
    for now in (0, 100 * MILLISECOND):
        health.failed(now, "i-1", Failure.REPLACED)
        assert health.penalty_until(now, "i-1") == now + LONGEST_PAUSE_NS
