"""What follows from each answer to an order, and from none: never a second order before a report."""

import pytest

from hopsail.hosts.instance import Address, Phase
from hopsail.weights.actions import Announce, HostInfo, RequestReport, SendOrder
from hopsail.weights.load import LoadPhase
from hopsail.weights.named_revisions import NamedRevisions
from hopsail.weights.rollout import Rollout, RolloutRules

MODEL = "m"
MS = 1_000_000
STEP = 10 * MS
HOST = HostInfo("i-1", Address("10.0.0.1", 80), 1, Phase.SERVING)
NO_ANSWER = None
UNCLEAR = (NO_ANSWER, 408, 421, 429, 500, 502, 503, 504, 201, 204, 302, 404)


class Order:
    """A roll-out that has sent its first order, with what it does afterwards."""

    def __init__(self):
        self.rollout = Rollout("node-1", RolloutRules(), MODEL)
        self.rollout.acquire(0, 7, False)
        named = NamedRevisions()
        named.name(0, 2)
        self.rollout.update(0, [HOST], named)
        self.rollout.step(0, True)
        self.now = 150 * MS
        (self.order,) = self.rollout.step(self.now, True)

    def answered(self, status):
        self.now += 5 * MS
        self.rollout.receive_order_status(self.now, "i-1", status, self.order.serial)
        return self

    def next(self, kind, within=3000 * MS):
        """The next report or order that it asks for, with announcements passed over."""
        until = self.now + within
        while self.now < until:
            self.now += STEP
            for action in self.rollout.step(self.now, True):
                if isinstance(action, kind):
                    return action
        return None

    def reported(self, revision, saturated=False):
        ask = self.next(RequestReport)
        report = {"Saturated": saturated, "CallSeq": 1, "Models": [{"Name": MODEL, "Revision": revision}]}
        self.rollout.receive_report(self.now, "i-1", report, ask.serial)
        return self


def test_an_order_names_its_host_owner_and_fencing_token():
    order = Order().order
    assert order.host == "i-1"
    assert (order.body["Owner"], order.body["FenceToken"], order.body["Revision"]) == ("node-1", 7, 2)


@pytest.mark.parametrize("status", [202, 409, *UNCLEAR])
def test_an_order_that_may_have_been_taken_is_followed_by_a_request_for_the_report_before_another_is_sent(
    status,
):
    order = Order().answered(status)
    asked = order.next((RequestReport, SendOrder))
    assert isinstance(asked, RequestReport) and asked.host == "i-1"
    expected = LoadPhase.LOADING if status in (202, 409) else LoadPhase.PREPARING
    assert order.rollout.loading == {"i-1": expected}


@pytest.mark.parametrize("status", [202, 409, *UNCLEAR])
def test_an_order_that_was_taken_is_not_sent_again(status):
    order = Order().answered(status)
    order.reported(1, saturated=True).reported(2)
    assert order.rollout.behind == 0 and not order.rollout.loading
    assert order.next(SendOrder) is None


@pytest.mark.parametrize("status", [409, *UNCLEAR])
def test_an_order_that_was_not_taken_is_sent_again_under_the_same_fencing_token(status):
    order = Order().answered(status)
    again = None
    for _ in range(8):
        ask = order.next((RequestReport, SendOrder))
        if isinstance(ask, SendOrder):
            again = ask
            break
        report = {"Saturated": False, "CallSeq": 0, "Models": [{"Name": MODEL, "Revision": 1}]}
        order.rollout.receive_report(order.now, "i-1", report, ask.serial)
    assert again.body == order.order.body and again.serial != order.order.serial
    assert order.now - 150 * MS >= RolloutRules().report_age_ns


def test_host_that_has_loaded_the_version_is_done():
    order = Order().answered(200)
    assert order.rollout.behind == 0 and not order.rollout.loading
    (done,) = order.rollout.step(order.now, True)
    assert isinstance(done, Announce) and done.load.phase is LoadPhase.DONE and done.load.revision == 2


def test_a_version_that_is_not_named_yet_is_ordered_later():
    order = Order().answered(400)
    assert not order.rollout.loading
    again = order.next(SendOrder)
    assert again.body == order.order.body
    assert order.now - 155 * MS >= RolloutRules().unnamed_retry_ns


def test_a_higher_fencing_token_at_a_host_stops_all_orders():
    order = Order().answered(412)
    assert order.rollout.is_fenced and order.next((RequestReport, SendOrder)) is None
    order.rollout.acquire(order.now, 9, False)
    order.reported(1)
    assert order.next(SendOrder).body["FenceToken"] == 9


@pytest.mark.parametrize("late", [200, 202, 400, 409, 412])
def test_an_answer_that_comes_after_its_order_was_given_up_counts_no_more(late):
    order = Order()
    order.now += RolloutRules().order_timeout_ns + STEP
    order.rollout.step(order.now, True)  # given up
    order.answered(late)
    assert order.rollout.behind == 1 and not order.rollout.is_fenced
    assert isinstance(order.next((RequestReport, SendOrder)), RequestReport)


@pytest.mark.parametrize("late", [200, 202, 400, 409, 412])
def test_an_answer_to_an_earlier_order_is_not_taken_for_the_next_ones(late):
    order = Order().answered(NO_ANSWER)
    for _ in range(8):
        ask = order.next((RequestReport, SendOrder))
        if isinstance(ask, SendOrder):
            break
        report = {"Saturated": False, "CallSeq": 0, "Models": [{"Name": MODEL, "Revision": 1}]}
        order.rollout.receive_report(order.now, "i-1", report, ask.serial)
    assert isinstance(ask, SendOrder)
    order.rollout.receive_order_status(order.now, "i-1", late, order.order.serial)
    assert order.rollout.behind == 1 and not order.rollout.is_fenced
    order.rollout.receive_order_status(order.now, "i-1", 200, ask.serial)
    assert order.rollout.behind == 0
