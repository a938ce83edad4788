"""Faults in the configuration's object `view`."""

import pytest

from hopsail.net.discovery import address
from hopsail.swim.errors import InvalidSettingsError
from hopsail.swim.settings import read_settings


@pytest.mark.parametrize("change, key", [
    ({"fleet": None}, "fleet"), ({"fleet": ""}, "fleet"), ({"listen": None}, "listen"),
    ({"listen": "x"}, "listen"),
    ({"keys": None}, "keys"), ({"keys": []}, "keys"), ({"keys": ["zz"]}, "keys"), ({"keys": ["00"]}, "keys"),
    ({"keys": 7}, "keys"), ({"seeds": ["x"]}, "seeds"), ({"period_ms": 1}, "period_ms"),
    ({"period_ms": True}, "period_ms"), ({"datagram": 255}, "datagram"),
    ({"stewards": ["a", "a"]}, "stewards"),
    ({"lease_ms": 1.5}, "lease_ms"), ({"wrong": 1}, "wrong"), ({"advertise": "x:0"}, "advertise"),
])  # fmt: skip
def test_a_fault_in_the_settings_names_its_key(change, key):
    tree = {
        "fleet": "f",
        "listen": "127.0.0.1:7000",
        "keys": ["00" * 32],
        "seeds": ["127.0.0.1:7001"],
    } | change
    tree = {k: v for k, v in tree.items() if v is not None}
    with pytest.raises(InvalidSettingsError, match=f"view.{key}"):
        read_settings(tree, "b0", None, address)
    with pytest.raises(InvalidSettingsError, match="name"):
        read_settings({"fleet": "f"}, "x" * 33, None, address)
