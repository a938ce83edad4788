"""Load reports: the public header `endpoint-load-metrics` of an answer, read into the module's typed values.

The header is `TEXT name=value, ...` or `JSON {...}`. A report is taken whole or not at all: it must hold
exactly the columns that the settings name."""

import json
import re

from ..model import Report
from ..settings import flatten

PUBLIC = {"cpu": "cpu_utilization", "rps": "rps_fractional", "err_rps": "eps"}  # others are named metrics
NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")  # float() would take "nan", "-1" and "1_0"


def read(header: bytes, columns: tuple[str, ...]) -> Report | None:
    """The report that the header holds, None when it cannot be read."""
    kind, _, text = header.decode("latin-1").strip().partition(" ")
    try:
        pairs = _json(text) if kind == "JSON" else _text(text) if kind == "TEXT" else {}
        values = {name: float(value) for name, value in pairs.items() if NUMBER.fullmatch(value)}
    except (ValueError, RecursionError):
        return None
    names = [PUBLIC.get(column, f"named_metrics.{column}") for column in columns]
    if len(values) != len(pairs) or values.keys() != set(names):
        return None
    return Report.read(columns, [values[name] for name in names])


def _json(text):
    tree = json.loads(text)
    return flatten(tree) if isinstance(tree, dict) else {}


def _text(text):
    pairs = [item.partition("=") for item in text.split(",")]
    found = {name.strip(): value.strip() for name, _, value in pairs}
    if len(found) < len(pairs):
        raise ValueError("a name comes twice")  # which of the two holds is anyone's guess
    return found
