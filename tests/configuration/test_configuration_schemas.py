"""The schemas of openapi.json, the typed dictionaries and the result codes agree."""

import json
import re
import typing

import pytest

from hopsail.configuration import types
from hopsail.configuration.codes import ResultCode
from paths import ROOT

SCHEMAS = json.loads((ROOT / "hopsail/configuration/openapi.json").read_text())["components"]["schemas"]
MESSAGES = {name: value for name, value in vars(types).items() if typing.is_typeddict(value)}


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_schema_has_the_fields_of_the_typed_dict(name):
    schema = SCHEMAS[name]
    assert set(schema["properties"]) == set(MESSAGES[name].__annotations__)
    assert set(schema.get("required", ())) == MESSAGES[name].__required_keys__


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_schema_has_the_types_of_the_typed_dict(name):
    for field, annotation in typing.get_type_hints(MESSAGES[name]).items():
        assert_same_type(SCHEMAS[name]["properties"][field], annotation)


def assert_same_type(schema, annotation):
    names = {str: "string", int: "integer", float: "number", bool: "boolean", list: "array"}
    if typing.is_typeddict(annotation):
        assert schema == {"$ref": f"#/components/schemas/{annotation.__name__}"}
    elif typing.get_origin(annotation) is list:
        assert schema["type"] == "array"
        assert_same_type(schema["items"], typing.get_args(annotation)[0])
    elif annotation == str | None:
        assert schema["type"] == ["string", "null"]
    else:
        assert schema["type"] == names[annotation]


def test_every_schema_has_a_typed_dict():
    assert set(SCHEMAS) == set(MESSAGES)


def test_references_lead_to_schemas():
    text = (ROOT / "hopsail/configuration/openapi.json").read_text()
    assert {name for name in re.findall(r'"#/components/schemas/(\w+)"', text)} <= set(SCHEMAS)


@pytest.mark.parametrize(
    ("path", "methods"),
    [
        ("/-/config", {"get", "put", "patch"}),
        ("/-/version-put", {"post"}),
        ("/-/tallies/{ID}", {"get", "post"}),
        ("/-/readyz", {"get"}),
        ("/-/report", {"get"}),
        ("/-/order", {"post"}),
        ("/-/kv-events", {"get"}),
        ("/-/kv-list", {"get"}),
        ("/{HealthPath}", {"get"}),
        ("/instances", {"get"}),
    ],
)
def test_interface_has_the_call(path, methods):
    document = json.loads((ROOT / "hopsail/configuration/openapi.json").read_text())
    assert set(document["paths"][path]) == methods


def test_table_of_result_codes_agrees_with_the_enumeration():
    rows = re.findall(
        r"^\| (\d+) \| (\w+) \| (\d+|-) \| (.+) \|$", (ROOT / "docs/result-codes.md").read_text(), re.M
    )
    expected = [(str(code.value), code.name, str(code.status or "-"), code.meaning) for code in ResultCode]
    assert rows == expected


def test_result_codes_are_numbered_by_their_area():
    areas = {"SETTING": 1, "REQUEST": 3, "CONTROL": 4}
    for code in ResultCode:
        assert code.value // 1000 == areas.get(code.name.partition("_")[0], 2)
