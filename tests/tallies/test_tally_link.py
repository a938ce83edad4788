"""What the signs of a link prove, one after the other."""

import pytest

from hopsail.rpc.link_sign import LinkSign
from hopsail.tallies.link import ASKING_NS, CUT_OFF_NS, Link

MS = 1_000_000
LONG = 3_600_000 * MS  # longer than any wait


def test_a_link_is_cut_once_handshakes_have_had_no_answer_for_as_long_as_a_cut_takes():
    link = Link(0)
    link.failed(300 * MS, LinkSign.NONE)
    link.failed(900 * MS, LinkSign.UNANSWERED)
    assert not link.is_cut(900 * MS) and link.cut_at() == CUT_OFF_NS
    assert link.is_cut(CUT_OFF_NS)


# Guards against a machine that loses power while its process stands still, or is down, and is taken for cut
# off at the first dials that hang.
@pytest.mark.parametrize("sign", [LinkSign.ACCEPTED, LinkSign.REFUSED])
def test_there_is_time_to_ask_the_zone_after_a_machine_that_answered_falls_silent(sign):
    link = Link(0)
    link.failed(LONG, sign)
    link.failed(LONG, LinkSign.UNANSWERED)
    assert link.is_silent and not link.is_cut(LONG + ASKING_NS - 1)
    link.zone_answered(LONG + 1)
    assert not link.is_cut(LONG + ASKING_NS)


@pytest.mark.parametrize("sign", [LinkSign.NONE, LinkSign.ACCEPTED, LinkSign.REFUSED])
def test_neither_silence_nor_a_machine_that_answers_is_ever_a_cut(sign):
    link = Link(0)
    for now in range(0, LONG, LONG // 100):
        link.failed(now, sign)
        assert not link.is_cut(now + CUT_OFF_NS)


@pytest.mark.parametrize("sign", [LinkSign.ACCEPTED, LinkSign.REFUSED])
def test_a_machine_that_answers_a_handshake_ends_a_cut(sign):
    link = Link(0)
    link.failed(0, LinkSign.UNANSWERED)
    assert link.is_cut(2 * CUT_OFF_NS)
    link.failed(2 * CUT_OFF_NS, sign)
    assert not link.is_cut(LONG)


def test_a_connection_that_falls_silent_does_not_end_a_cut():
    link = Link(0)
    link.failed(0, LinkSign.UNANSWERED)
    link.failed(CUT_OFF_NS, LinkSign.NONE)
    assert link.is_cut(CUT_OFF_NS)


def test_a_reply_ends_a_cut_at_once():
    link = Link(0)
    link.failed(0, LinkSign.UNANSWERED)
    link.replied(2 * CUT_OFF_NS)
    assert not link.is_cut(LONG)


def test_after_the_own_standstill_a_cut_has_to_show_again():
    link = Link(0)
    link.failed(0, LinkSign.UNANSWERED)
    link.shift(LONG)
    assert not link.is_cut(LONG)
    link.failed(LONG, LinkSign.UNANSWERED)
    assert link.is_cut(LONG + CUT_OFF_NS)


def test_a_zone_that_answers_shows_that_the_machine_alone_is_silent():
    link = Link(0)
    link.failed(0, LinkSign.NONE)
    for now in range(0, 3600 * CUT_OFF_NS, CUT_OFF_NS - 1):
        link.failed(now, LinkSign.UNANSWERED)
        link.zone_answered(now)
        assert not link.is_cut(now + CUT_OFF_NS - 2)
    assert link.is_cut(now + CUT_OFF_NS)  # the zone has fallen silent, too


def test_what_a_zone_was_asked_before_the_silence_proves_nothing():
    link = Link(0)
    link.zone_answered(1)
    link.failed(400 * MS, LinkSign.NONE)
    link.zone_answered(399 * MS)
    link.failed(900 * MS, LinkSign.UNANSWERED)
    assert link.is_cut(CUT_OFF_NS)
