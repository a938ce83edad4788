"""The control plane's messages, stored forms, answers and seeded histories are the recorded ones."""

import hashlib
import json
from pathlib import Path
from random import Random

import pytest
from controlplane_simulation import ControlSimulation, Operators, OperatorSchedule

from hopsail.configuration.codes import ResultCode
from hopsail.controlplane.commands import Command, CommandKind, Result, decode_command, decode_result
from hopsail.controlplane.configuration_state import ConfigurationState
from hopsail.controlplane.contact import ConfirmCall, ConfirmReply
from hopsail.controlplane.messages import CommandCall, CommandReply, ReadCall, ReadReply, ReplicaMessage
from hopsail.controlplane.operator import OperatorCalls
from hopsail.controlplane.service_state import ServiceState
from hopsail.http.message import Request
from hopsail.net.counters import Counters
from hopsail.replication.schedule import CALM, DEFAULT_WEIGHTS, ROUGH
from hopsail.rpc.structs import decode, encode

DATA = Path(__file__).parent.parent / "data/golden/controlplane"
CONFIG, VERSION = "/-/config", "/-/version-put"


def recorded(name: str) -> dict:
    return json.loads((DATA / name).read_text())


# Bytes between own processes and on disk.


def route(name: str, number: int) -> dict:
    return {
        "Name": name,
        "Hostname": f"host-{number}.example",
        "PathPrefix": f"/{number}/",
        "RouteKind": "idempotent",
        "DeadlineMs": 4000 + number,
        "Service": "s-a",
    }


def configuration(revision: int, routes: int) -> dict:
    return {
        "Revision": revision,
        "Routes": [route(f"r-{number}", number) for number in range(routes)],
        "Services": [{"Name": "s-a", "HealthPath": "/healthz"}, {"Name": "s-b"}],
        "Limits": {"MaxBodyBytes": 4096},
        "Tenants": [{"Name": "t-a", "ApiKeys": ["key-a", "kéy"]}],
    }


def put(base: int, content: dict) -> Command:
    return Command(CommandKind(1), base, "", 0, "", json.dumps(content).encode())


def patch(base: int, content: dict) -> Command:
    return Command(CommandKind(2), base, "", 0, "", json.dumps(content).encode())


def commands() -> dict[str, Command]:
    return {
        "put": put(0, configuration(3, 2)),
        "patch": patch(3, {"Revision": 4, "Remove": {"Routes": ["r-1"]}}),
        "name": Command(CommandKind(3), 0, "mödel \n", 9, "", b""),
        "acquire": Command(CommandKind(4), 0, "s-a", 0, "node-1", b""),
        "release": Command(CommandKind(5), 0, "s-a", 17, "node-1", b""),
        "bytes": Command(CommandKind(2), 7, "", 0, "", b'{"a":\n"b"}\n\x00\xff'),
    }


def results() -> dict[str, Result]:
    return {
        "ok": Result(200, value=12),
        "refused": Result(412, 2005, "", 9),
        "item": Result(400, 2003, 'Routes["x"]', 0),
        "status alone": Result(200),
    }


def messages() -> dict:
    command, result = commands()["patch"].encode(), results()["refused"].encode()
    return {
        "replica": ReplicaMessage(shard=2, sender="127.0.0.1:7000", body=b"\x00\x01body"),
        "command call": CommandCall(shard=0, command=command),
        "command reply": CommandReply(decided=True, result=result),
        "command reply undecided": CommandReply(decided=False, result=b""),
        "read call": ReadCall(shard=0),
        "read reply": ReadReply(decided=True, body=b'{"Revision":1}'),
        "read reply undecided": ReadReply(decided=False, body=b""),
        "confirm call": ConfirmCall(),
        "confirm reply": ConfirmReply(confirmed=True, commit_index=1 << 40),
        "confirm reply without": ConfirmReply(confirmed=False, commit_index=0),
    }


def configuration_states() -> dict[str, ConfigurationState]:
    small, large = ConfigurationState(), ConfigurationState()
    small.apply(commands()["put"])
    small.apply(commands()["patch"])
    large.apply(put(0, configuration(2, 200)))
    large.apply(patch(2, {"Revision": 5, "Upsert": {"Tenants": [{"Name": "t-z", "ApiKeys": ["k"]}]}}))
    return {"empty": ConfigurationState(), "small": small, "large": large}


def service_states() -> dict[str, ServiceState]:
    state = ServiceState()
    state.apply(4, commands()["name"])
    state.apply(5, commands()["acquire"])
    state.apply(17, Command(CommandKind(4), 0, "s-a", 0, "node-2", b""))
    state.apply(18, Command(CommandKind(5), 0, "s-a", 17, "node-2", b""))
    return {"empty": ServiceState(), "duties": state}


def encoded() -> dict[str, bytes]:
    found = {f"message {name}": encode(message) for name, message in messages().items()}
    found |= {f"command {name}": command.encode() for name, command in commands().items()}
    found |= {f"result {name}": result.encode() for name, result in results().items()}
    found |= {f"configuration {name}": state.encode() for name, state in configuration_states().items()}
    found |= {f"service {name}": state.encode() for name, state in service_states().items()}
    return found


ENCODED = recorded("bytes.json")


def test_the_recorded_names_are_those_that_are_built():
    assert list(encoded()) == list(ENCODED)


@pytest.mark.parametrize("name", ENCODED)
def test_what_is_encoded_is_what_was_recorded(name):
    assert encoded()[name].hex() == ENCODED[name]


@pytest.mark.parametrize("name", ENCODED)
def test_recorded_bytes_are_read_and_written_again_unchanged(name):
    data, (kind, _, item) = bytes.fromhex(ENCODED[name]), name.partition(" ")
    if kind == "message":
        again = encode(decode(type(messages()[item]), data))
    elif kind == "command":
        again = decode_command(data).encode()
    elif kind == "result":
        again = decode_result(data).encode()
    else:
        again = (ConfigurationState if kind == "configuration" else ServiceState).decode(data).encode()
    assert again == data


# Answers to operators.


class RecordedControl:
    """Answers each call with the same result, and notes what was submitted."""

    def __init__(self, result: Result | None, body: bytes | None):
        self.result, self.body, self.submitted = result, body, []

    def submit(self, number, command, done):
        self.submitted.append([number, command.encode().hex()])
        done(self.result)

    def read_configuration(self, done):
        done(self.body)

    def service_of_model(self, model):
        return f"service-of-{model}"


class RecordedExchange:
    def __init__(self):
        self.answers = []

    def respond(self, status, body=b"", headers=()):
        self.answers.append([status, body.decode(), [list(header) for header in headers]])


CALLS = {
    "get": ("GET", CONFIG, "", b""),
    "put": ("PUT", CONFIG, "0", json.dumps(configuration(1, 1)).encode()),
    "put quoted": ("PUT", CONFIG, '"7"', json.dumps(configuration(8, 1)).encode()),
    "put without base": ("PUT", CONFIG, "", json.dumps(configuration(1, 1)).encode()),
    "put unreadable": ("PUT", CONFIG, "0", b"{"),
    "put type": ("PUT", CONFIG, "0", b'{"Revision": "x"}'),
    "put lacks": ("PUT", CONFIG, "0", b"{}"),
    "patch": ("PATCH", CONFIG, "3", b'{"Revision": 4, "Remove": {"Routes": ["r-1"]}}'),
    "patch bad base": ("PATCH", CONFIG, "-1", b'{"Revision": 4}'),
    "name": ("POST", VERSION, "", b'{"Model": "m-1", "Revision": 2}'),
    "name unreadable": ("POST", VERSION, "", b"["),
    "name number": ("POST", VERSION, "", b'{"Model": "m-1", "Revision": 0}'),
    "name text": ("POST", VERSION, "", b'{"Model": "", "Revision": 2}'),
    "method": ("DELETE", CONFIG, "", b""),
    "version method": ("GET", VERSION, "", b""),
    "path": ("GET", "/-/other", "", b""),
}
OUTCOMES = {
    "decided": (Result(200, value=4), b'{"Revision":4}'),
    "refused": (Result(412, 2005, "", 9), b""),
    "item": (Result(400, 2008, 'Routes["é"]', 0), b""),
    "forgotten": (Result(503, 4012, "", 9), b""),
    "unknown": (None, None),
}


def answers() -> dict[str, list]:
    found = {}
    for outcome, (result, body) in OUTCOMES.items():
        for name, (method, path, base, content) in CALLS.items():
            control, exchange = RecordedControl(result, body), RecordedExchange()
            headers = [("if-match", base)] if base else []
            request = Request(method, path, headers, content)
            OperatorCalls(control, Counters("test")).handle(request, exchange)
            found[f"{outcome}: {name}"] = [exchange.answers, control.submitted]
    exchange = RecordedExchange()
    OperatorCalls(RecordedControl(None, None), Counters("test")).refuse(exchange)
    found["ending"] = [exchange.answers, []]
    return found


def test_each_answer_to_an_operator_is_the_recorded_one():
    assert answers() == recorded("answers.json")


def test_each_result_code_has_its_recorded_number_and_status():
    assert [[int(code), code.status] for code in ResultCode] == recorded("codes.json")


# Histories.


def draw_patch(random: Random, revision: int) -> dict:
    numbers = random.sample(range(12), 3)
    upsert = {"Routes": [route(f"r-{number}", number + 100) for number in numbers[:2]]}
    if random.random() < 0.4:
        upsert["Tenants"] = [{"Name": f"t-{numbers[2]}", "ApiKeys": [f"key-{revision}"]}]
    content = {"Revision": revision, "Upsert": upsert}
    if random.random() < 0.4:
        content["Remove"] = {"Routes": [f"r-{numbers[2]}"]}
    return content


def configuration_history(seed: int) -> str:
    random, digest, state = Random(f"configuration/{seed}"), hashlib.sha256(), ConfigurationState()
    sent: list[Command] = []
    for _ in range(600):
        revision = state.revision + random.choice((0, 1, 1, 1, 3))
        base = state.revision if random.random() < 0.8 else random.randrange(state.revision + 2)
        draw = random.random()
        if draw < 0.15 and sent:
            command = random.choice(sent)
        elif draw < 0.4:
            content = configuration(revision, random.randrange(12))
            if random.random() < 0.2:
                content["Routes"].append(route("r-0", 3))
            command = put(base, content)
        elif draw < 0.95:
            command = patch(base, draw_patch(random, revision))
        else:
            body = json.dumps(configuration(revision, 1)).encode()
            command = Command(CommandKind(1), base, "", 0, "", body[: random.randrange(len(body))])
        sent.append(command)
        digest.update(state.apply(command).encode() + b"\n")
        if random.random() < 0.1:
            state = ConfigurationState.decode(state.encode())
            digest.update(state.encode() + b"\n")
    digest.update(state.encode())
    return digest.hexdigest()


def service_history(seed: int) -> str:
    random, digest, state = Random(f"service/{seed}"), hashlib.sha256(), ServiceState()
    for index in range(1, 1500):
        kind, subject = CommandKind(random.choice((3, 4, 5))), f"s-{random.randrange(4)}"
        number = random.randrange(max(1, index - 6), index + 1)
        command = Command(kind, 0, subject, number, f"node-{random.randrange(3)}", b"")
        digest.update(state.apply(index, command).encode() + state.encode() + b"\n")
        if random.random() < 0.1:
            state = ServiceState.decode(state.encode())
    return digest.hexdigest()


def cluster_history(seed: int) -> str:
    """Three control processes with operators and faults: entries, answers and reads."""
    random = Random(f"golden/{seed}")
    simulation = ControlSimulation(random.getrandbits(32), snapshot_after=8)
    simulation.run_until(simulation.settled_leader)
    simulation.network = (CALM, ROUGH)[seed % 2]
    operators = Operators(simulation, seed)
    OperatorSchedule(simulation, random, DEFAULT_WEIGHTS, operators).play(20, 200_000_000)
    operators.check_end()
    digest = hashlib.sha256()
    for index, entry in sorted(simulation.entries.items()):
        digest.update(b"%d " % index + entry + b"\n")
    for revision, change in operators.changes.items():
        digest.update(b"%d %d " % (revision, change.attempts) + change.result.encode() + b"\n")
    digest.update(b"%d %d" % (operators.reads, simulation.now))
    return digest.hexdigest()


HISTORIES = {"configuration": configuration_history, "service": service_history, "cluster": cluster_history}
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", HISTORIES)
def test_a_seeded_history_is_the_recorded_one(name, seed):
    assert HISTORIES[name](seed) == recorded("histories.json")[f"{name} {seed}"]
