"""Parsing and checking of complete configurations."""

import json

import pytest

from example_configuration import ABSENT, VALID, changed, route, take
from hopsail.configuration.checker import (
    MAX_FAULTS,
    check_configuration,
    parse_configuration,
)
from hopsail.configuration.codes import ConfigurationError, ResultCode
from hopsail.configuration.items import join_items, split_items
from hopsail.configuration.route_table import RouteTable


def test_valid_configuration_is_taken_unchanged():
    assert take(VALID) == VALID


@pytest.mark.parametrize("share", [0.0, 0.1, 0.5, 0.9, 0.999])
def test_body_cut_short_is_unreadable(share):
    body = json.dumps(VALID).encode()
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(body[: int(len(body) * share)])
    assert (caught.value.code, caught.value.item, caught.value.status) == (ResultCode.UNREADABLE, "body", 400)


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe{}",
        b'{"Revision": NaN}',
        b'{"Revision": 1e999}',
        b'{"a":' + b"[" * 100_000,
        b"{} {}",
        b'{"Revision": ' + b"9" * 10_000 + b"}",
    ],
)
def test_body_that_is_not_json_is_unreadable(body):
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(body)
    assert caught.value.code == ResultCode.UNREADABLE


@pytest.mark.parametrize("body", [b"[]", b"7", b"null", b'"text"'])
def test_body_that_is_not_an_object_has_the_wrong_type(body):
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(body)
    assert (caught.value.code, caught.value.item) == (ResultCode.WRONG_TYPE, "body")


MISSING = [
    (("Revision",), "Revision"),
    (("Routes",), "Routes"),
    (("Services",), "Services"),
    (("Routes", 0, "Name"), "Routes[0].Name"),
    (("Routes", 0, "Hostname"), "Routes[r-a].Hostname"),
    (("Routes", 0, "PathPrefix"), "Routes[r-a].PathPrefix"),
    (("Routes", 0, "RouteKind"), "Routes[r-a].RouteKind"),
    (("Routes", 0, "DeadlineMs"), "Routes[r-a].DeadlineMs"),
    (("Routes", 0, "Service"), "Routes[r-a].Service"),
    (("Routes", 1, "TrafficSplit"), "Routes[r-b].Service"),
    (("Routes", 1, "TrafficSplit", 0, "Service"), "Routes[r-b].TrafficSplit[0].Service"),
    (("Routes", 1, "TrafficSplit", 1, "Share"), "Routes[r-b].TrafficSplit[1].Share"),
    (("Services", 1, "Name"), "Services[1].Name"),
    (("Services", 0, "Runtime", "Models", 1, "Name"), "Services[s-a].Runtime.Models[1].Name"),
    (("Tenants", 0, "Name"), "Tenants[0].Name"),
    (("Tenants", 0, "ApiKeys"), "Tenants[t-a].ApiKeys"),
]


@pytest.mark.parametrize(("path", "item"), MISSING)
def test_missing_field_is_refused(path, item):
    assert_refused(changed(*path, ABSENT), ResultCode.FIELD_MISSING, item)


WRONG_TYPES = [
    (("Revision", "7"), "Revision"),
    (("Revision", True), "Revision"),
    (("Revision", 7.5), "Revision"),
    (("Routes", {}), "Routes"),
    (("Services", "s-a"), "Services"),
    (("Limits", []), "Limits"),
    (("Tenants", {}), "Tenants"),
    (("Routes", 0, 1), "Routes[0]"),
    (("Services", 1, "s-b"), "Services[1]"),
    (("Tenants", 1, None), "Tenants[1]"),
    (("Routes", 0, "Hostname", 1), "Routes[r-a].Hostname"),
    (("Routes", 0, "PathPrefix", ["/a/"]), "Routes[r-a].PathPrefix"),
    (("Routes", 0, "DeadlineMs", "4000"), "Routes[r-a].DeadlineMs"),
    (("Routes", 0, "DeadlineMs", True), "Routes[r-a].DeadlineMs"),
    (("Routes", 0, "Service", 1), "Routes[r-a].Service"),
    (("Routes", 0, "Public", "false"), "Routes[r-a].Public"),
    (("Routes", 1, "TrafficSplit", {}), "Routes[r-b].TrafficSplit"),
    (("Routes", 1, "TrafficSplit", 0, "s-a"), "Routes[r-b].TrafficSplit[0]"),
    (("Routes", 1, "TrafficSplit", 0, "Share", "90"), "Routes[r-b].TrafficSplit[0].Share"),
    (("Services", 0, "Runtime", []), "Services[s-a].Runtime"),
    (("Services", 0, "Runtime", "Models", "m-a"), "Services[s-a].Runtime.Models"),
    (("Services", 0, "Runtime", "Models", 0, "m-a"), "Services[s-a].Runtime.Models[0]"),
    (("Services", 2, "StoreAddr", 8165), "Services[store].StoreAddr"),
    (("Tenants", 0, "ApiKeys", "k-1"), "Tenants[t-a].ApiKeys"),
    (("Tenants", 0, "ApiKeys", 1, 2), "Tenants[t-a].ApiKeys[1]"),
    (("Tenants", 0, "Isolated", 1), "Tenants[t-a].Isolated"),
    (("Limits", "MaxBodyBytes", "4M"), "Limits.MaxBodyBytes"),
]


@pytest.mark.parametrize(("change", "item"), WRONG_TYPES)
def test_wrong_type_is_refused(change, item):
    assert_refused(changed(*change), ResultCode.WRONG_TYPE, item)


def assert_refused(configuration, code, item):
    with pytest.raises(ConfigurationError) as caught:
        take(configuration)
    assert (caught.value.code, caught.value.item) == (code, item)
    assert caught.value.status == 400
    assert caught.value.others == ()


INVALID = [
    (("Revision", 5), ResultCode.REVISION_NOT_ABOVE, "Revision"),
    (("Revision", 4), ResultCode.REVISION_NOT_ABOVE, "Revision"),
    (("Routes", 0, "Service", "s-x"), ResultCode.UNKNOWN_SERVICE, "Routes[r-a].Service"),
    (
        ("Routes", 1, "TrafficSplit", 1, "Service", "s-x"),
        ResultCode.UNKNOWN_SERVICE,
        "Routes[r-b].TrafficSplit[1].Service",
    ),
    (("Routes", 1, "PathPrefix", "/a/"), ResultCode.DUPLICATE_ROUTE, "Routes[r-b].PathPrefix"),
    (("Routes", 1, "TrafficSplit", []), ResultCode.BAD_WEIGHTS, "Routes[r-b].TrafficSplit"),
    (
        ("Routes", 1, "TrafficSplit", [{"Service": "s-a", "Share": 0}, {"Service": "s-b", "Share": 0}]),
        ResultCode.BAD_WEIGHTS,
        "Routes[r-b].TrafficSplit",
    ),
    (
        ("Routes", 1, "TrafficSplit", 1, "Share", -10),
        ResultCode.BAD_WEIGHTS,
        "Routes[r-b].TrafficSplit[1].Share",
    ),
    (("Routes", 0, "DeadlineMs", 0), ResultCode.BAD_DEADLINE, "Routes[r-a].DeadlineMs"),
    (("Routes", 0, "DeadlineMs", 0.0), ResultCode.BAD_DEADLINE, "Routes[r-a].DeadlineMs"),
    (("Routes", 0, "DeadlineMs", -1), ResultCode.BAD_DEADLINE, "Routes[r-a].DeadlineMs"),
    (("Routes", 0, "PathPrefix", "a/"), ResultCode.BAD_PREFIX, "Routes[r-a].PathPrefix"),
    (("Routes", 0, "PathPrefix", "/a"), ResultCode.BAD_PREFIX, "Routes[r-a].PathPrefix"),
    (("Routes", 0, "PathPrefix", ""), ResultCode.BAD_PREFIX, "Routes[r-a].PathPrefix"),
    (("Routes", 1, "Name", "r-a"), ResultCode.DUPLICATE_NAME, "Routes[r-a].Name"),
    (("Services", "+", {"Name": "s-b"}), ResultCode.DUPLICATE_NAME, "Services[s-b].Name"),
    (("Tenants", 1, "Name", "t-a"), ResultCode.DUPLICATE_NAME, "Tenants[t-a].Name"),
    (("Tenants", 1, "ApiKeys", ["k-4", "k-2"]), ResultCode.SHARED_KEY, "Tenants[t-b].ApiKeys"),
]


@pytest.mark.parametrize(("change", "code", "item"), INVALID)
def test_invalid_configuration_is_refused(change, code, item):
    assert_refused(changed(*change), code, item)


def test_hosts_that_differ_in_case_are_the_same_host():
    configuration = changed("Routes", "+", route("r-c", Hostname="ONE.example", PathPrefix="/a/"))
    assert_refused(configuration, ResultCode.DUPLICATE_ROUTE, "Routes[r-c].PathPrefix")


HARMLESS = [
    ("Revision", 6),
    ("Revision", 7_000_000),
    ("Routes", []),
    ("Routes", 1, "PathPrefix", "/"),
    ("Routes", 1, "PathPrefix", "/a/b/"),
    ("Routes", 1, "Hostname", "two.example"),
    ("Routes", 0, "RouteKind", "another"),
    ("Routes", 0, "DeadlineMs", 0.5),
    ("Routes", 0, "TargetMs", 0),
    ("Routes", 0, "Priority", None),
    ("Routes", 0, "TrafficSplit", []),
    ("Routes", 0, "TrafficSplit", None),
    ("Routes", 1, "Service", ""),
    ("Routes", 1, "TrafficSplit", 0, "Share", 0),
    ("Routes", 1, "TrafficSplit", 1, "Service", "s-a"),
    ("Routes", 1, "TrafficSplit", 0, "Share", 0.25),
    ("Routes", 0, "NewField", {"a": [1]}),
    ("Services", 1, "TlsMode", "off"),
    ("Services", 1, "Runtime", None),
    ("Services", "+", {"Name": "s-c"}),
    ("Limits", ABSENT),
    ("Limits", "NewField", "x"),
    ("Limits", "MaxBodyBytes", ABSENT),
    ("Tenants", ABSENT),
    ("Tenants", []),
    ("Tenants", None),
    ("Tenants", 0, "ApiKeys", []),
    ("Tenants", 0, "ApiKeys", ["k-1", "k-1"]),
    ("Tenants", 0, "Isolated", ABSENT),
    ("NewField", [{"Name": "x"}]),
    *[("Routes", 0, field, ABSENT) for field in ("MaxTries", "Public", "Affine", "Resumable")],
    *[("Routes", 0, field, ABSENT) for field in ("gap_aim_ms", "Priority", "TargetMs")],
    *[
        ("Services", 0, field, ABSENT)
        for field in ("HealthPath", "MaxConns", "Protocol", "TlsMode", "Runtime")
    ],
    *[("Services", 2, field, ABSENT) for field in ("Zone", "CacheTokens", "LinkMbps", "MaxInflight")],
]


@pytest.mark.parametrize("change", HARMLESS, ids=repr)
def test_harmless_change_is_taken_unchanged(change):
    configuration = changed(*change)
    assert take(configuration) == configuration
    assert join_items(split_items(configuration)) == configuration
    RouteTable(configuration)


def test_first_configuration_follows_revision_zero():
    check_configuration(parse_configuration(json.dumps(changed("Revision", 1)).encode()), 0)


def test_further_faults_are_listed():
    configuration = changed("Routes", 0, "DeadlineMs", 0)
    configuration["Routes"][1]["TrafficSplit"][0]["Service"] = "s-x"
    configuration["Tenants"][1]["ApiKeys"] = ["k-1"]
    with pytest.raises(ConfigurationError) as caught:
        take(configuration)
    assert caught.value.code == ResultCode.BAD_DEADLINE
    assert [other.code for other in caught.value.others] == [
        ResultCode.UNKNOWN_SERVICE,
        ResultCode.SHARED_KEY,
    ]


def test_list_of_faults_is_bounded():
    with pytest.raises(ConfigurationError) as caught:
        take(changed("Routes", [{}] * (MAX_FAULTS * 2)))
    assert len(caught.value.others) == MAX_FAULTS - 1
