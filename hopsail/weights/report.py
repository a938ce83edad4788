"""Parser of a host's report, as far as the roll-out needs it."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """The loaded revision, and whether an order is in progress; some hundred milliseconds old."""

    revision: int
    saturated: bool


def parse_report(report: object, model: str) -> LoadReport | None:
    """Return what a report, as parsed JSON, says about `model`; None when it says nothing usable."""
    if not isinstance(report, dict):
        return None
    saturated = report.get("Saturated")
    models = report.get("Models")
    if not isinstance(saturated, bool) or not isinstance(models, list):
        return None
    for entry in models:
        if isinstance(entry, dict) and entry.get("Name") == model:
            revision = entry.get("Revision")
            return LoadReport(revision, saturated) if type(revision) is int else None
    return None
