"""A data plane and the directory of long prompts: what it tells, when, and how it does without."""

import socket

import pytest
from data_plane_by_hand import SETTINGS, ask, feed, headers_of, instance
from request_journey import answer

from hopsail.configuration.process import parse_settings
from hopsail.dataplane.plane import DIRECTORY_PORT
from hopsail.dataplane.work_directory import ANSWER_NS, Answer, Told
from hopsail.routing.host_work import Backlog


def prompt(tokens, parts):
    return [
        ("hopsail-model", "m"),
        ("hopsail-token-count", f"{tokens},20"),
        ("hopsail-prompt-prefix", parts),
    ]


LONG, SHORT = prompt(12_000, "aa:9000,bb:3000"), prompt(300, "aa:200,bb:100")


class Directory:
    """Notes what the data plane tells; answers when the test says."""

    def __init__(self):
        self.questions, self.begun, self.ended, self.parts = [], [], [], []

    def ask(self, hosts, parts, then):
        self.questions.append((list(hosts), list(parts), then))

    def begin(self, host, tokens, lasting_ns):
        self.begun.append((host, tokens))
        return Told(None, host, len(self.begun))

    def end(self, told, is_sample):
        self.ended.append((told.host, is_sample))

    def sent(self, host, parts):
        self.parts += [(host, part) for part in parts]


@pytest.fixture
def plane(data_plane):
    data_plane.attempts.directory = Directory()
    feed(data_plane.view, instances=[instance(f"i-{number}", port=8000 + number) for number in range(6)])
    return data_plane


def test_a_long_prompt_waits_for_the_word_and_goes_to_the_least_loaded(plane):
    client = ask(plane, headers_of() + LONG)
    assert not plane.pool.made
    ((hosts, parts, then),) = plane.directory.questions
    assert len(hosts) > 1 and len(parts) == 1
    then(Answer({host: Backlog(50_000.0) for host in hosts} | {hosts[-1]: Backlog()}))
    plane.loop.settle()
    (host,) = plane.pool.made
    assert host.told("hopsail-target-instance") == hosts[-1]
    assert plane.directory.begun == [(hosts[-1], 12_000)]
    assert plane.directory.parts == [(hosts[-1], parts[0])]
    assert client.status is None


def test_a_short_prompt_is_sent_at_once(plane):
    ask(plane, headers_of() + SHORT)
    assert len(plane.pool.made) == 1
    assert not plane.directory.questions and not plane.directory.begun


def test_the_end_of_reading_is_told_with_the_first_byte_and_once(plane):
    ask(plane, headers_of() + LONG)
    ((hosts, _, then),) = plane.directory.questions
    then(Answer({host: Backlog() for host in hosts}))
    (host,) = plane.pool.made
    assert not plane.directory.ended
    plane.loop.time += ANSWER_NS
    plane.loop.settle()
    host.says(answer())
    assert plane.directory.ended == [(hosts[0], True)]


def test_the_end_is_told_when_the_client_leaves(plane):
    client = ask(plane, headers_of() + LONG)
    ((hosts, _, then),) = plane.directory.questions
    then(Answer({host: Backlog() for host in hosts}))
    for forwarding in list(plane.in_flight):
        forwarding._client_gone()
    assert plane.directory.ended == [(hosts[0], False)] and client.status is None


def test_a_client_that_leaves_before_the_word_comes_is_sent_nowhere(plane):
    ask(plane, headers_of() + LONG)
    ((hosts, _, then),) = plane.directory.questions
    for forwarding in list(plane.in_flight):
        forwarding._client_gone()
    then(Answer({host: Backlog() for host in hosts}))
    assert not plane.pool.made and not plane.in_flight


def test_after_the_deadline_the_word_comes_too_late(plane):
    client = ask(plane, headers_of() + LONG + [("hopsail-deadline-ms", "10")])
    ((hosts, _, then),) = plane.directory.questions
    plane.loop.forward(11_000_000)
    assert client.status == 504
    then(Answer({host: Backlog() for host in hosts}))
    assert not plane.pool.made


def settings(first, last):
    return parse_settings(SETTINGS.replace("PortRange=9000,9010", f"PortRange={first},{last}"))


def test_a_data_plane_with_a_range_of_one_port_goes_by_its_own_requests(plane):
    plane.settings = settings(9000, 9000)
    plane.attempts.directory = None
    plane._open_directory()
    assert plane.directory is None and plane.lanes is None


def test_a_data_plane_whose_port_is_taken_goes_by_its_own_requests(plane):
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        taken.bind((plane.settings.ip, 0))
        port = taken.getsockname()[1]
        plane.settings = settings(port - DIRECTORY_PORT, port)
        plane.attempts.directory = None
        plane._open_directory()
        assert plane.directory is None and plane.lanes is None
    finally:
        taken.close()
    plane.attempts.directory = None
    ask(plane, headers_of() + LONG)
    assert len(plane.pool.made) == 1
