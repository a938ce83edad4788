"""Settings of a process, read from the text of its settings file. No I/O.

Each field of the settings names its key in the file and its default, so that one table defines both.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any, NamedTuple

from hopsail.configuration.codes import ResultCode, SettingsError

MAX_PORT = 65535

Number = int | float
"""A whole number where the setting is one, else a fraction."""


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `HOST:PORT`."""
        return f"{self.host}:{self.port}"


_Metadata = Mapping[str, Callable[["_Values"], object]]
"""Metadata of a dataclass field: under `_READ`, how to read the field from the file."""

_READ = "read"


def _required(key: str) -> _Metadata:
    return {_READ: lambda values: values.required(key)}


def _text(key: str, default: str) -> _Metadata:
    return {_READ: lambda values: values.text(key, default)}


def _optional_text(key: str) -> _Metadata:
    return {_READ: lambda values: values.text(key, "") or None}


def _names(key: str) -> _Metadata:
    return {_READ: lambda values: values.names(key)}


def _name_set(key: str) -> _Metadata:
    return {_READ: lambda values: frozenset(values.names(key))}


def _flag(key: str, default: bool) -> _Metadata:
    return {_READ: lambda values: values.flag(key, default)}


def _number(key: str, default: Number) -> _Metadata:
    return {_READ: lambda values: values.number(key, default)}


def _integer(key: str, default: int) -> _Metadata:
    return {_READ: lambda values: values.integer(key, default)}


def _address(key: str) -> _Metadata:
    return {_READ: lambda values: values.address(key)}


def _addresses(key: str) -> _Metadata:
    return {_READ: lambda values: values.addresses(key)}


@dataclass(frozen=True)
class Bounds:
    """Figures of the rules; units are in the names."""

    contact_ms: Number = field(metadata=_number("Bounds.ContactMs", 3000))
    order_ack_ms: Number = field(metadata=_number("Bounds.OrderAckMs", 4000))
    sync_s: Number = field(metadata=_number("Bounds.SyncS", 4))
    drain_ms: Number = field(metadata=_number("Bounds.DrainMs", 3000))
    grace_s: Number = field(metadata=_number("Bounds.GraceS", 8))
    loss_slack_ms: Number = field(metadata=_number("Bounds.LossSlackMs", 200))
    apply_ms: Number = field(metadata=_number("Bounds.ApplyMs", 2000))
    revert_slack_ms: Number = field(metadata=_number("Bounds.RevertSlackMs", 250))
    stretch_ms: Number = field(metadata=_number("Bounds.StretchMs", 5000))
    revoke_ms: Number = field(metadata=_number("Bounds.RevokeMs", 5000))
    retry_ratio: Number = field(metadata=_number("Bounds.RetryRatio", 0.2))
    retry_window_s: Number = field(metadata=_number("Bounds.RetryWindowS", 10))
    retry_slack: Number = field(metadata=_number("Bounds.RetrySlack", 58))
    warmup_excess: Number = field(metadata=_number("Bounds.WarmupExcess", 1.5))
    warmup_margin: Number = field(metadata=_number("Bounds.WarmupMargin", 5))
    recovery_s: Number = field(metadata=_number("Bounds.RecoveryS", 12))
    transit_ms: Number = field(metadata=_number("Bounds.TransitMs", 120))
    fence_checked: bool = field(metadata=_flag("Bounds.FenceChecked", True))
    lease_ms: Number = field(metadata=_number("Bounds.LeaseMs", 3000))
    unfreeze_ms: Number = field(metadata=_number("Bounds.UnfreezeMs", 300))
    apply_one_ms: Number = field(metadata=_number("Bounds.ApplyOneMs", 8000))
    seed_delay_s: Number = field(metadata=_number("Bounds.SeedDelayS", 3))
    addr_reuse_s: Number = field(metadata=_number("Bounds.AddrReuseS", 2))


@dataclass(frozen=True)
class ProcessSettings:
    """Settings of one process; `zones` maps each zone to its region, `core_count` is a speed factor."""

    node_name: str = field(metadata=_required("NodeName"))
    role: str = field(metadata=_text("Role", ""))
    machine_class: str = field(metadata=_text("MachineClass", ""))
    serves: tuple[str, ...] = field(metadata=_names("Serves"))
    ip: str = field(metadata=_required("Ip"))
    zone: str
    region: str
    zones: Mapping[str, str]
    frontend: Address | None = field(metadata=_address("Listen.Frontend"))
    readiness: Address | None = field(metadata=_address("Listen.Readiness"))
    control_plane: Address | None = field(metadata=_address("Listen.ControlPlane"))
    port_first: int
    port_last: int
    seeds: tuple[Address, ...] = field(metadata=_addresses("SeedNodes"))
    bootstrap: bool = field(metadata=_flag("Bootstrap", False))
    quorum_member: bool = field(metadata=_flag("QuorumMember", False))
    cpu_fraction: Number = field(metadata=_number("Limits.CpuFraction", 0.537))
    core_count: Number = field(metadata=_number("Limits.CoreCount", 2))
    memory_mb: Number = field(metadata=_number("Limits.MemoryMb", 300))
    fd_limit: int = field(metadata=_integer("Limits.FdLimit", 4100))
    link_mbps: Number = field(metadata=_number("Limits.LinkMbps", 1000.0))
    disk_mb: Number = field(metadata=_number("Limits.DiskMb", 0))
    data_path: str | None = field(metadata=_optional_text("DataPath"))
    discovery: str = field(metadata=_text("Discovery", "platform"))
    ingress: str = field(metadata=_text("Ingress", "virtual_ip"))
    heartbeat_ms: Number = field(metadata=_number("HeartbeatMs", 1200))
    invariants: frozenset[str] = field(metadata=_name_set("Invariants"))
    machine_losses: int = field(metadata=_integer("FaultBudget.MachineLosses", 1))
    zone_losses: int = field(metadata=_integer("FaultBudget.Zones", 0))
    region_losses: int = field(metadata=_integer("FaultBudget.RegionLosses", 0))
    platform: Address | None = field(metadata=_address("CloudApi.Address"))
    platform_rate: Number = field(metadata=_number("CloudApi.RatePerS", 47.0))
    platform_lag_ms: Number = field(metadata=_number("CloudApi.MaxLagMs", 800))
    bounds: Bounds = field(metadata={_READ: lambda values: _read(Bounds, values)})


def parse_settings(text: str) -> ProcessSettings:
    """Return the settings in the text of a settings file.

    Unknown keys are ignored; of a key given twice the last counts; an empty value counts as missing.

    Raises:
        SettingsError: a required key is missing, or a value has the wrong form; names the key.
    """
    values = _Values(_parse_lines(text))
    zones = values.with_prefix("Zones.")
    zone = values.required("Zone")
    port_first, port_last = values.port_range("PortRange")
    settings: ProcessSettings = _read(
        ProcessSettings,
        values,
        zone=zone,
        region=values.text("Region", zones.get(zone, "")),
        zones=zones,
        port_first=port_first,
        port_last=port_last,
    )
    return settings


def _read(settings: type[Any], values: "_Values", **known: object) -> Any:  # noqa: ANN401 - either dataclass
    """Create one of the dataclasses of settings; fields that are not `known` are read from the file."""
    read = {item.name: item.metadata[_READ](values) for item in fields(settings) if item.name not in known}
    return settings(**known, **read)


def _parse_lines(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals or not key.strip():
            raise SettingsError(ResultCode.SETTING_NOT_A_LINE, line)
        values[key.strip()] = value.strip()
    return values


def _split_list(value: str) -> list[str]:
    """Return the items of a list separated by commas, without empty ones."""
    return [item.strip() for item in value.split(",") if item.strip()]


class _Values:
    """The lines of a settings file by key, read as the types they should have."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def required(self, key: str) -> str:
        value = self._values.get(key)
        if not value:
            raise SettingsError(ResultCode.SETTING_MISSING, key)
        return value

    def text(self, key: str, default: str) -> str:
        return self._values.get(key) or default

    def names(self, key: str) -> tuple[str, ...]:
        return tuple(_split_list(self._values.get(key, "")))

    def with_prefix(self, prefix: str) -> dict[str, str]:
        size = len(prefix)
        return {key[size:]: value for key, value in self._values.items() if key.startswith(prefix)}

    def flag(self, key: str, default: bool) -> bool:
        value = self._values.get(key)
        if not value:
            return default
        if value.lower() not in ("true", "false"):
            raise SettingsError(ResultCode.SETTING_NOT_A_BOOLEAN, key)
        return value.lower() == "true"

    def number(self, key: str, default: Number) -> Number:
        value = self._values.get(key)
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            raise SettingsError(ResultCode.SETTING_NOT_A_NUMBER, key) from None
        if not math.isfinite(number) or number < 0:
            raise SettingsError(ResultCode.SETTING_NOT_A_NUMBER, key)
        return int(number) if number.is_integer() else number

    def integer(self, key: str, default: int) -> int:
        number = self.number(key, default)
        if not isinstance(number, int):
            raise SettingsError(ResultCode.SETTING_NOT_A_NUMBER, key)
        return number

    def address(self, key: str) -> Address | None:
        value = self._values.get(key)
        return _parse_address(key, value) if value else None

    def addresses(self, key: str) -> tuple[Address, ...]:
        return tuple(_parse_address(key, item) for item in _split_list(self._values.get(key, "")))

    def port_range(self, key: str) -> tuple[int, int]:
        ports = _split_list(self.required(key))
        if len(ports) != 2 or not all(_is_port(port) for port in ports):
            raise SettingsError(ResultCode.SETTING_NOT_A_PORT_RANGE, key)
        first, last = int(ports[0]), int(ports[1])
        if first > last:
            raise SettingsError(ResultCode.SETTING_NOT_A_PORT_RANGE, key)
        return first, last


def _parse_address(key: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise SettingsError(ResultCode.SETTING_NOT_AN_ADDRESS, key)
    return Address(host, int(port))


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) <= MAX_PORT
