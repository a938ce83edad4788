"""Connections to hosts that carry one request after another: what the earlier ones may leave behind."""

from test_http import LOCAL, MILLISECOND, Host, RawPeer, runner  # noqa: F401 (the fixture)

from hopsail.http.client import HttpClient


def test_a_call_whose_connection_comes_up_too_late_is_not_written(runner):  # noqa: F811
    host, answers = Host(runner), []
    client = HttpClient(runner.loop, host.pool)
    client.call(host.address, "POST", "/-/order", [], b"{}", 380 * MILLISECOND, answers.append)
    runner.loop.offset += 400 * MILLISECOND  # a pause of the process: sockets' events come before its timers
    runner.settle()
    peer = host.accepted()
    assert peer.quiet() == b"" and answers == [None]
