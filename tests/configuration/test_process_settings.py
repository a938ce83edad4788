import pytest

from hopsail.configuration.codes import ResultCode, SettingsError
from hopsail.configuration.process import Address, Bounds, ProcessSettings, parse_settings

VALID = """\
NodeName=edge-z-a-1
Role=my-edge
MachineClass=edge
Serves=edge,control
Ip=10.1.0.36
Zone=z-a
Region=r-a
Zones.z-a=r-a
Zones.z-b=r-b
Listen.Frontend=10.1.0.36:8167
Listen.Readiness=10.1.0.36:8162
Listen.ControlPlane=10.1.0.36:8169
PortRange=7640,7655
SeedNodes=10.1.0.39:8169,10.2.0.24:8169
Bootstrap=true
QuorumMember=true
Limits.CpuFraction=0.25
Limits.CoreCount=3
Limits.MemoryMb=301
Limits.FdLimit=4101
Limits.LinkMbps=1000.5
Limits.DiskMb=64
DataPath=/data
Discovery=other
Ingress=other_ip
HeartbeatMs=1201
Invariants=base,drain
FaultBudget.MachineLosses=2
FaultBudget.Zones=1
FaultBudget.RegionLosses=3
Bounds.SeedDelayS=31
Bounds.AddrReuseS=21
Bounds.ContactMs=3001
Bounds.OrderAckMs=4001
Bounds.SyncS=41
Bounds.DrainMs=3002
Bounds.GraceS=81
Bounds.LossSlackMs=201
Bounds.ApplyMs=2001
Bounds.RevertSlackMs=251
Bounds.StretchMs=5001
Bounds.RevocationGlobal=false
Bounds.RevokeMs=5002
Bounds.RetryRatio=0.3
Bounds.RetryWindowS=11
Bounds.RetrySlack=59
Bounds.WarmupExcess=1.75
Bounds.WarmupMargin=6
Bounds.RecoveryS=13
Bounds.TransitMs=121
Bounds.again_s=0
Bounds.FenceChecked=false
Bounds.LeaseMs=3003
Bounds.UnfreezeMs=301
Bounds.ApplyOneMs=8001
Bounds.ApplyAllMs=0
CloudApi.Address=10.200.0.56:8161
CloudApi.RatePerS=48.5
CloudApi.Duties=
CloudApi.MaxLagMs=801
"""
EXPECTED = ProcessSettings(
    node_name="edge-z-a-1",
    role="my-edge",
    machine_class="edge",
    serves=("edge", "control"),
    ip="10.1.0.36",
    zone="z-a",
    region="r-a",
    zones={"z-a": "r-a", "z-b": "r-b"},
    frontend=Address("10.1.0.36", 8167),
    readiness=Address("10.1.0.36", 8162),
    control_plane=Address("10.1.0.36", 8169),
    port_first=7640,
    port_last=7655,
    seeds=(Address("10.1.0.39", 8169), Address("10.2.0.24", 8169)),
    bootstrap=True,
    quorum_member=True,
    cpu_fraction=0.25,
    core_count=3,
    memory_mb=301,
    fd_limit=4101,
    link_mbps=1000.5,
    disk_mb=64,
    data_path="/data",
    discovery="other",
    ingress="other_ip",
    heartbeat_ms=1201,
    invariants=frozenset({"base", "drain"}),
    machine_losses=2,
    zone_losses=1,
    region_losses=3,
    platform=Address("10.200.0.56", 8161),
    platform_rate=48.5,
    platform_lag_ms=801,
    bounds=Bounds(
        contact_ms=3001,
        order_ack_ms=4001,
        sync_s=41,
        drain_ms=3002,
        grace_s=81,
        loss_slack_ms=201,
        apply_ms=2001,
        revert_slack_ms=251,
        stretch_ms=5001,
        revoke_ms=5002,
        retry_ratio=0.3,
        retry_window_s=11,
        retry_slack=59,
        warmup_excess=1.75,
        warmup_margin=6,
        recovery_s=13,
        transit_ms=121,
        fence_checked=False,
        lease_ms=3003,
        unfreeze_ms=301,
        apply_one_ms=8001,
        seed_delay_s=31,
        addr_reuse_s=21,
    ),
)
KEYS = [line.partition("=")[0] for line in VALID.splitlines()]
REQUIRED = ["NodeName", "Ip", "Zone", "PortRange"]
ADDRESSES = [
    *("Listen.Frontend", "Listen.Readiness", "Listen.ControlPlane"),
    *("CloudApi.Address", "SeedNodes"),
]
FLAGS = ["Bootstrap", "QuorumMember", "Bounds.FenceChecked"]
IGNORED = ["Bounds.RevocationGlobal", "Bounds.again_s", "Bounds.ApplyAllMs", "CloudApi.Duties"]
WHOLE = [
    *("Limits.FdLimit", "FaultBudget.MachineLosses", "FaultBudget.Zones", "FaultBudget.RegionLosses"),
]
NUMBERS = [
    key
    for key in KEYS
    if key.startswith(("Bounds.", "Limits.", "FaultBudget.", "HeartbeatMs", "CloudApi."))
    and key not in FLAGS + IGNORED + ADDRESSES
]


def replaced(key, value):
    """The valid settings with one key given another value."""
    lines = [f"{key}={value}" if line.startswith(key + "=") else line for line in VALID.splitlines()]
    return "\n".join(lines)


def without(key):
    return "\n".join(line for line in VALID.splitlines() if not line.startswith(key + "="))


def assert_refused(text, code, key):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert (caught.value.code, caught.value.key) == (code, key)


def test_every_setting_is_read():
    assert parse_settings(VALID) == EXPECTED


@pytest.mark.parametrize("key", KEYS)
def test_every_known_setting_changes_what_is_read(key):
    if key in IGNORED:
        assert parse_settings(replaced(key, "other")) == EXPECTED
        return
    value = {"PortRange": "1,2", "Bounds.FenceChecked": "true"}.get(key, "7")
    value = "false" if key in ("Bootstrap", "QuorumMember") else value
    value = "10.9.9.9:1" if key in ADDRESSES else value
    assert parse_settings(replaced(key, value)) != EXPECTED


@pytest.mark.parametrize("key", REQUIRED)
def test_missing_required_setting_is_refused(key):
    assert_refused(without(key), ResultCode.SETTING_MISSING, key)
    assert_refused(replaced(key, ""), ResultCode.SETTING_MISSING, key)


@pytest.mark.parametrize("key", [key for key in KEYS if key not in REQUIRED])
def test_missing_optional_setting_is_accepted(key):
    parse_settings(without(key))


@pytest.mark.parametrize("key", [key for key in KEYS if key not in REQUIRED and not key.startswith("Zones.")])
def test_empty_setting_counts_as_missing(key):
    assert parse_settings(replaced(key, "")) == parse_settings(without(key))


def test_zone_that_is_not_listed_is_not_known():
    assert parse_settings(without("Zones.z-b")).zones == {"z-a": "r-a"}


def test_defaults():
    settings = parse_settings("NodeName=n\nIp=10.0.0.1\nZone=z\nPortRange=1,2")
    assert (settings.frontend, settings.readiness, settings.control_plane) == (None, None, None)
    assert (settings.seeds, settings.platform, settings.data_path) == ((), None, None)
    assert (settings.bootstrap, settings.quorum_member) == (False, False)
    assert (settings.machine_losses, settings.zone_losses, settings.region_losses) == (1, 0, 0)
    assert (settings.platform_rate, settings.platform_lag_ms, settings.heartbeat_ms) == (47, 800, 1200)
    assert (settings.cpu_fraction, settings.memory_mb, settings.fd_limit) == (0.537, 300, 4100)
    assert settings.invariants == frozenset()
    assert settings.bounds == Bounds(
        contact_ms=3000,
        order_ack_ms=4000,
        sync_s=4,
        drain_ms=3000,
        grace_s=8,
        loss_slack_ms=200,
        apply_ms=2000,
        revert_slack_ms=250,
        stretch_ms=5000,
        revoke_ms=5000,
        retry_ratio=0.2,
        retry_window_s=10,
        retry_slack=58,
        warmup_excess=1.5,
        warmup_margin=5,
        recovery_s=12,
        transit_ms=120,
        fence_checked=True,
        lease_ms=3000,
        unfreeze_ms=300,
        apply_one_ms=8000,
        seed_delay_s=3,
        addr_reuse_s=2,
    )


def test_region_comes_from_the_zones_if_it_is_missing():
    assert parse_settings(without("Region")).region == "r-a"


@pytest.mark.parametrize("key", NUMBERS)
@pytest.mark.parametrize("value", ["x", "true", "-1", "nan", "inf", "1,2", "3 s"])
def test_bad_number_is_refused(key, value):
    assert_refused(replaced(key, value), ResultCode.SETTING_NOT_A_NUMBER, key)


@pytest.mark.parametrize("key", [key for key in NUMBERS if key not in WHOLE])
@pytest.mark.parametrize("value", ["0", "2.5", "3000.0"])
def test_whole_numbers_and_fractions_are_accepted(key, value):
    parse_settings(replaced(key, value))


@pytest.mark.parametrize("key", WHOLE)
def test_count_may_not_be_a_fraction(key):
    assert_refused(replaced(key, "2.5"), ResultCode.SETTING_NOT_A_NUMBER, key)
    parse_settings(replaced(key, "2.0"))


@pytest.mark.parametrize("key", FLAGS)
@pytest.mark.parametrize("value", ["1", "yes", "truee"])
def test_bad_boolean_is_refused(key, value):
    assert_refused(replaced(key, value), ResultCode.SETTING_NOT_A_BOOLEAN, key)


@pytest.mark.parametrize("key", ADDRESSES)
@pytest.mark.parametrize(
    "value", ["10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:0", "10.0.0.1:65536"]
)
def test_bad_address_is_refused(key, value):
    assert_refused(replaced(key, value), ResultCode.SETTING_NOT_AN_ADDRESS, key)


@pytest.mark.parametrize("value", ["7640", "7640,7650,7655", "7655,7640", "a,b", "0,5", "-1,5"])
def test_bad_port_range_is_refused(value):
    assert_refused(replaced("PortRange", value), ResultCode.SETTING_NOT_A_PORT_RANGE, "PortRange")


@pytest.mark.parametrize("line", ["Bootstr", "=true"])
def test_line_without_key_or_value_is_refused(line):
    assert_refused(VALID + line, ResultCode.SETTING_NOT_A_LINE, line)


@pytest.mark.parametrize(
    "extra",
    [
        *("", "\n\n", "# a remark\n", "  # a remark = x\n", "New.Field=x=y\n", "Bounds.NewMs=many\n"),
        *("NewField=\n", " Bounds.SyncS = 41 \n", "Bounds.SyncS=x\nBounds.SyncS=41\n"),
    ],
)
def test_harmless_lines_change_nothing(extra):
    assert parse_settings(VALID + extra) == EXPECTED
    assert parse_settings((VALID + extra).replace("\n", "\r\n")) == EXPECTED


def test_address_prints_as_ip_and_port():
    assert str(Address("10.0.0.1", 80)) == "10.0.0.1:80"
