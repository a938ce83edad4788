"""Bytes of a listed host and seeded histories of the platform's list, compared to those first recorded.

`python tests/golden/test_golden_hosts.py` records a data file that does not exist yet.
"""

import hashlib
import json
import random

from hopsail.hosts.instance import (
    Address,
    Instance,
    InstanceError,
    ModelRevision,
    Phase,
    decode,
    encode,
    merge,
    parse_instance,
)
from hopsail.hosts.listing import ListingReader
from hopsail.hosts.polling import ListingSchedule
from hopsail.hosts.view import HostView
from paths import DATA

GOLDEN_FILE = DATA / "golden/hosts/golden.json"
MS = 1_000_000
PHASE_NUMBERS = (0, 1, 2)

ENTRY = {
    "Service": "s-a",
    "Address": "10.128.0.9:8080",
    "Zone": "z-a",
    "Revision": "v1",
    "Capacity": 24,
    "Phase": "serving",
    "WarmupLeftMs": 0,
    "Models": [{"Name": "m-a", "Revision": 1, "Adapters": []}],
    "InstanceId": "i-1",
}
FAULTS = [
    {"InstanceId": ""},
    {"Address": "10.0.0.1"},
    {"Address": "10.0.0.1:0"},
    {"Capacity": -1},
    {"Capacity": True},
    {"Phase": "asleep"},
    {"Models": {}},
    {"Models": [{"Name": "m"}]},
    {"WarmupLeftMs": None},
]


def built_instances():
    address = Address("10.0.0.1", 8080)
    instances = {}
    for number in PHASE_NUMBERS:
        models = tuple(ModelRevision(f"m-{index}", index + 1) for index in range(number))
        name = f"phase {number}"
        instances[name] = Instance(
            f"i-{number}", "s-\u00e4", address, "z", 8, Phase(number), number * 50, models, "v1"
        )
    return instances


def instance_bytes():
    return {name: encode(one).hex() for name, one in built_instances().items()}


def message_of_fault(change):
    try:
        parse_instance({**ENTRY, **change})
    except InstanceError as error:
        return str(error)
    return ""


def drawn_instance(draw):
    number = draw.randrange(12)
    models = tuple(
        ModelRevision(f"m-{index}", draw.randrange(1, 5)) for index in range(draw.choice((1, 1, 2)))
    )
    return Instance(
        f"i-{number}",
        f"s-{number % 2 if draw.random() < 0.95 else 2}",
        Address("10.0.0.1", 80 + number % 9),
        f"z-{number % 3}",
        8,
        Phase(draw.choice((0, 0, 0, 0, 1, 2) if draw.random() < 0.3 else (0,))),
        draw.randrange(200),
        models,
        f"v{draw.randrange(2)}",
    )


def view_history(seed):
    """What a view of drawn readings and updates has changed and holds after each."""
    draw = random.Random(seed)
    view = HostView(max_instances=10, tombstone_ttl_ns=20_000 * MS)
    digest = hashlib.sha256()
    now = 0
    for _ in range(400):
        now += draw.randrange(1_500) * MS
        if draw.random() < 0.6:
            listed = [drawn_instance(draw) for _ in range(draw.choice((0, 3, 8, 14)))]
            changed = view.apply_listing(now, listed, draw.choice((1, 1, 2)))
        else:
            changed = view.apply_instance(now, drawn_instance(draw))
        for one in [*changed, *view.by_service("s-0"), *view.by_service("s-1")]:
            digest.update(encode(one))
        for identifier in view.instances:
            digest.update(encode(view.get(identifier)))
    return digest.hexdigest()


def merge_history(seed):
    """Joins of drawn accounts of one instance."""
    draw = random.Random(seed)
    digest = hashlib.sha256()
    latest = {}
    for _ in range(1_000):
        one = drawn_instance(draw)
        latest[one.identifier] = merge(latest.get(one.identifier, one), one)
        digest.update(encode(latest[one.identifier]))
    return digest.hexdigest()


def drawn_page(draw, number):
    """Status and body of a page's answer, sometimes faulty."""
    entries = [
        {**ENTRY, "InstanceId": f"i-{draw.randrange(9)}", "Capacity": draw.randrange(9)} for _ in range(3)
    ]
    page = {"Instances": entries, "NextToken": f"t/{number}" if draw.random() < 0.7 else None}
    fault = draw.random()
    if fault < 0.05:
        entries[0].update(draw.choice(FAULTS))
    elif fault < 0.08:
        page["NextToken"] = "t/0"
    elif fault < 0.11:
        del page["NextToken"]
    status = draw.choice((429, 500)) if draw.random() < 0.05 else 200
    return status, json.dumps(page).encode()


def listing_history(seed):
    """What a reader of pages asks for, and what it makes of the answers."""
    draw = random.Random(seed)
    reader = ListingReader(max_pages=6)
    digest = hashlib.sha256()
    for _ in range(200):
        path = reader.start()
        for number in range(10):
            digest.update(path.encode())
            step = reader.receive_page(*drawn_page(draw, number))
            if hasattr(step, "path"):
                path = step.path
                continue
            if hasattr(step, "instances"):
                digest.update(b"".join(encode(one) for one in step.instances) + b"%d" % step.pages)
            else:
                digest.update(step.reason.value.encode())
            break
    return digest.hexdigest()


def schedule_history(seed):
    """When readings are due, for a process that is the designated reader now and then."""
    draw = random.Random(seed)
    schedule = ListingSchedule(5, random.Random(seed + 1))
    digest = hashlib.sha256()
    now, freshest = 0, None
    for _ in range(2_000):
        now += draw.randrange(300) * MS
        is_reader = draw.random() < 0.4
        due = schedule.next_due(now, is_reader, freshest)
        digest.update(b"%d,%d;" % (due, schedule.page_interval_ns(is_reader)))
        if draw.random() < 0.05:
            schedule.set_processes(draw.randrange(9))
        if due > now:
            continue
        schedule.record_start(now)
        if draw.random() < 0.7:
            schedule.record_success(now, draw.randrange(4))
            freshest = now
        else:
            schedule.record_failure(now)
    return digest.hexdigest()


def recorded():
    return {
        "instances": instance_bytes(),
        "faults": {json.dumps(change): message_of_fault(change) for change in FAULTS},
        "view histories": [view_history(seed) for seed in range(5)],
        "merge histories": [merge_history(seed) for seed in range(3)],
        "listing histories": [listing_history(seed) for seed in range(3)],
        "schedule histories": [schedule_history(seed) for seed in range(3)],
    }


def golden(name):
    return json.loads(GOLDEN_FILE.read_text())[name]


def test_golden_instances_are_encoded_to_the_recorded_bytes():
    assert instance_bytes() == golden("instances")


def test_golden_instances_are_read_from_the_recorded_bytes_and_written_again():
    built = built_instances()
    for name, data in golden("instances").items():
        assert decode(bytes.fromhex(data)) == built[name]
        assert encode(decode(bytes.fromhex(data))).hex() == data


def test_golden_faults_of_an_entry_have_the_recorded_messages():
    assert recorded()["faults"] == golden("faults")


def test_golden_view_histories_are_those_recorded():
    assert [view_history(seed) for seed in range(5)] == golden("view histories")


def test_golden_merge_histories_are_those_recorded():
    assert [merge_history(seed) for seed in range(3)] == golden("merge histories")


def test_golden_listing_histories_are_those_recorded():
    assert [listing_history(seed) for seed in range(3)] == golden("listing histories")


def test_golden_schedule_histories_are_those_recorded():
    assert [schedule_history(seed) for seed in range(3)] == golden("schedule histories")


if __name__ == "__main__":
    with GOLDEN_FILE.open("x") as file:
        json.dump(recorded(), file, indent=1)
