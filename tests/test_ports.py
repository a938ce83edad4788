"""Ports that are told to a process before it binds them."""

import socket

import pytest

from hopsail.load import ports
from hopsail.load.mesh import Member


def test_no_port_comes_from_the_range_that_the_system_deals_from():
    first, last = ports.dealt_range()
    given = [ports.free_port() for _ in range(50)]
    assert all(port < first or port > last for port in given)
    assert len(set(given)) == len(given)


def test_both_addresses_of_a_member_are_outside_of_that_range():
    """Danger: a socket of anybody's gets the port before the member's process has bound it."""
    first, last = ports.dealt_range()
    member = Member("b0", "b0")
    for _, port in (member.listen, member.operator):
        assert port < first or port > last


@pytest.mark.parametrize("kind", (socket.SOCK_STREAM, socket.SOCK_DGRAM))
def test_a_port_that_somebody_has_is_not_free(kind):
    port = ports.free_port()
    assert ports.is_free(port)
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ports.LOCAL, port))
        assert not ports.is_free(port)


def test_a_port_is_given_once(monkeypatch):
    monkeypatch.setattr(ports, "candidates", lambda dealt: range(20_011, 20_013))
    monkeypatch.setattr(ports, "is_free", lambda port: True)
    monkeypatch.setattr(ports, "_given", set())
    assert {ports.free_port(), ports.free_port()} == {20_011, 20_012}
    with pytest.raises(ports.NoPortLeft):
        ports.free_port()


def test_the_range_is_read_as_the_system_tells_it(tmp_path):
    path = tmp_path / "ip_local_port_range"
    path.write_text("1024\t60999\n")
    assert ports.dealt_range(path) == (1024, 60999)
    assert ports.candidates((1024, 60999)) == range(61000, 65536)
    assert ports.candidates((32768, 60999)) == range(ports.LOWEST_PORT, 32768)
    assert ports.dealt_range(tmp_path / "missing") == ports.FALLBACK_RANGE


def test_no_room_outside_of_the_range_is_told(monkeypatch):
    monkeypatch.setattr(ports, "dealt_range", lambda: (1024, 65535))
    with pytest.raises(ports.NoPortLeft):
        ports.free_port()
