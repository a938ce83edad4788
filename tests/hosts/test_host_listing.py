"""Pagination through the platform's list."""

import json

import pytest
from listed_hosts import ENTRY

from hopsail.hosts.instance import (
    Phase,
)
from hopsail.hosts.listing import (
    Complete,
    Failed,
    FailureReason,
    ListingReader,
    NextPage,
)


def page(entries, token):
    return json.dumps({"Instances": entries, "NextToken": token}).encode()


def entry(identifier, **more):
    return {**ENTRY, "InstanceId": identifier, **more}


def test_all_pages_are_requested():
    reader = ListingReader()
    assert reader.start() == "/instances"
    assert reader.receive_page(200, page([entry("i-1")], "p-5 &")) == NextPage(
        "/instances?PageToken=p-5%20%26"
    )
    complete = reader.receive_page(200, page([entry("i-2")], None))
    assert isinstance(complete, Complete)
    assert complete.pages == 2
    assert [one.identifier for one in complete.instances] == ["i-1", "i-2"]
    assert not reader.in_progress


def test_an_instance_on_two_pages_is_merged():
    reader = ListingReader()
    reader.start()
    reader.receive_page(200, page([entry("i-1", Phase="draining")], "p-1"))
    complete = reader.receive_page(200, page([entry("i-1")], None))
    assert [one.phase for one in complete.instances] == [Phase.DRAINING]


@pytest.mark.parametrize(
    "status, body, reason",
    [
        (429, b"", FailureReason.RATE_EXCEEDED),
        (500, page([], None), FailureReason.STATUS),
        (200, b"{", FailureReason.SHAPE),
        (200, b"[]", FailureReason.SHAPE),
        (200, b'{"Instances":{},"NextToken":null}', FailureReason.SHAPE),
        (200, b'{"Instances":[]}', FailureReason.SHAPE),
        (200, b'{"Instances":[],"NextToken":7}', FailureReason.SHAPE),
        (200, page([entry("i-2", Capacity=None)], None), FailureReason.SHAPE),
    ],
)
def test_faulty_page_fails_only_its_listing(status, body, reason):
    reader = ListingReader()
    reader.start()
    reader.receive_page(200, page([entry("i-1")], "p-1"))
    assert reader.receive_page(status, body) == Failed(reason)
    with pytest.raises(RuntimeError):
        reader.receive_page(200, page([], None))
    reader.start()
    complete = reader.receive_page(200, page([entry("i-3")], None))
    assert [one.identifier for one in complete.instances] == ["i-3"]


def test_pages_are_bounded():
    reader = ListingReader(max_pages=3)
    reader.start()
    assert isinstance(reader.receive_page(200, page([], "1")), NextPage)
    assert isinstance(reader.receive_page(200, page([], "2")), NextPage)
    assert reader.receive_page(200, page([], "3")) == Failed(FailureReason.PAGES)


def test_repeated_token_fails_the_listing():
    reader = ListingReader()
    reader.start()
    reader.receive_page(200, page([], "1"))
    assert reader.receive_page(200, page([], "1")) == Failed(FailureReason.PAGES)
