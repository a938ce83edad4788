"""Settings that a program requires beyond those that every process does."""

from collections.abc import Mapping

from .codes import ResultCode, SettingsError
from .process import ProcessSettings

DATA_PLANE_SETTINGS = {"frontend": "Listen.Frontend", "readiness": "Listen.Readiness"}
CONTROL_PLANE_SETTINGS = {"control_plane": "Listen.ControlPlane", "data_path": "DataPath"}
REQUIRED_SETTINGS = {"hopsail.dataplane": DATA_PLANE_SETTINGS, "hopsail.controlplane": CONTROL_PLANE_SETTINGS}


def missing_settings(required: Mapping[str, str], settings: ProcessSettings) -> list[SettingsError]:
    """Return an error for each required key that is missing; `required` maps fields to keys."""
    missing = [key for field, key in required.items() if getattr(settings, field) is None]
    return [SettingsError(ResultCode.SETTING_MISSING, key) for key in missing]
