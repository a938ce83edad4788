"""Patches: what they change, and which are rejected."""

import copy
import json

import pytest

from example_configuration import ABSENT, VALID, changed, route
from hopsail.configuration.checker import (
    apply_patch,
    check_configuration,
    parse_patch,
)
from hopsail.configuration.codes import ConfigurationError, ResultCode


def patched(current=VALID, **patch):
    before = copy.deepcopy(current)
    result = apply_patch(current, parse_patch(json.dumps({"Revision": 9, **patch}).encode()))
    assert current == before
    return result


def test_patch_replaces_in_place_and_adds_at_the_end():
    replacement = route("r-a", DeadlineMs=50)
    result = patched(Upsert={"Routes": [route("r-new"), replacement]})
    assert result == {
        **VALID,
        "Revision": 9,
        "Routes": [replacement, VALID["Routes"][1], route("r-new")],
    }


def test_patch_removes_names_and_ignores_unknown_ones():
    result = patched(Remove={"Routes": ["r-a", "r-old"], "Tenants": ["t-b"], "Unknown": ["x"]})
    assert result["Routes"] == VALID["Routes"][1:]
    assert result["Tenants"] == VALID["Tenants"][:1]


def test_patch_replaces_limits_in_whole():
    assert patched(Upsert={"Limits": {"MaxBodyBytes": 1}})["Limits"] == {"MaxBodyBytes": 1}


def test_patch_adds_tenants_where_there_were_none():
    tenants = [{"Name": "t-c", "ApiKeys": ["k-9"]}]
    assert patched(changed("Tenants", ABSENT), Upsert={"Tenants": tenants})["Tenants"] == tenants


def test_patch_merges_unknown_lists_of_named_items():
    current = changed("NewField", [{"Name": "x", "a": 1}, {"Name": "y"}])
    result = patched(current, Upsert={"NewField": [{"Name": "x", "a": 2}]}, Remove={"NewField": ["y", []]})
    assert result["NewField"] == [{"Name": "x", "a": 2}]


@pytest.mark.parametrize("patch", [{}, {"Upsert": {}, "Remove": {}}, {"Upsert": None, "Remove": None}])
def test_patch_without_changes_changes_the_revision_only(patch):
    assert patched(**patch) == {**VALID, "Revision": 9}


def test_revision_inside_upsert_does_not_count():
    assert patched(Upsert={"Revision": 99})["Revision"] == 9


BAD_PATCHES = [
    ({"Upsert": []}, ResultCode.WRONG_TYPE, "Upsert"),
    ({"Remove": []}, ResultCode.WRONG_TYPE, "Remove"),
    ({"Revision": None}, ResultCode.FIELD_MISSING, "Revision"),
    ({"Upsert": {"Routes": {}}}, ResultCode.WRONG_TYPE, "Upsert.Routes"),
    ({"Upsert": {"Limits": []}}, ResultCode.WRONG_TYPE, "Upsert.Limits"),
    (
        {"Upsert": {"Routes": [route("r-a", DeadlineMs="1")]}},
        ResultCode.WRONG_TYPE,
        "Upsert.Routes[r-a].DeadlineMs",
    ),
    ({"Upsert": {"Services": [{}]}}, ResultCode.FIELD_MISSING, "Upsert.Services[0].Name"),
    (
        {"Upsert": {"Routes": [route("r-a"), route("r-a")]}},
        ResultCode.DUPLICATE_NAME,
        "Upsert.Routes[r-a].Name",
    ),
    ({"Remove": {"Routes": "r-a"}}, ResultCode.WRONG_TYPE, "Remove.Routes"),
    ({"Remove": {"Routes": [1]}}, ResultCode.WRONG_TYPE, "Remove.Routes[0]"),
]


@pytest.mark.parametrize(("patch", "code", "item"), BAD_PATCHES)
def test_bad_patch_is_refused(patch, code, item):
    with pytest.raises(ConfigurationError) as caught:
        patched(**patch)
    assert (caught.value.code, caught.value.item, caught.value.status) == (code, item, 400)


def test_patch_cut_short_is_unreadable():
    with pytest.raises(ConfigurationError) as caught:
        parse_patch(b'{"Revision": 9, "Upsert": {')
    assert caught.value.code == ResultCode.UNREADABLE


INVALID_RESULTS = [
    ({"Remove": {"Services": ["s-b"]}}, ResultCode.UNKNOWN_SERVICE),
    ({"Upsert": {"Routes": [route("r-c", PathPrefix="/a/")]}}, ResultCode.DUPLICATE_ROUTE),
    ({"Upsert": {"Routes": [route("r-c", DeadlineMs=0)]}}, ResultCode.BAD_DEADLINE),
    ({"Upsert": {"Tenants": [{"Name": "t-c", "ApiKeys": ["k-3"]}]}}, ResultCode.SHARED_KEY),
    ({"Revision": 7}, ResultCode.REVISION_NOT_ABOVE),
]


@pytest.mark.parametrize(("patch", "code"), INVALID_RESULTS)
def test_result_of_a_patch_is_checked_as_a_whole(patch, code):
    with pytest.raises(ConfigurationError) as caught:
        check_configuration(patched(**patch), VALID["Revision"])
    assert caught.value.code == code
