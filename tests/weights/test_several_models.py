"""Several models on one host: each has its own roll-out, announcements and named versions."""

from dataclasses import replace

import pytest

from hopsail.configuration.route_table import RouteTable
from hopsail.controlplane.commands import Command, CommandKind
from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import ModelRevision
from hopsail.http.message import Response
from hopsail.weights.load import HostLoad, LoadPhase, encode_load
from test_controlplane_rollouts import MODEL, MS, SERVICE, Plane
from test_dataplane_placement import Fleet, instance, prompt, told

OTHER = "m-2"


class TwoModels(Plane):
    """A control process whose one host runs two models and takes one order at a time."""

    def __init__(self):
        super().__init__()
        services = [{"Name": SERVICE, "Runtime": {"Models": [{"Name": MODEL}, {"Name": OTHER}]}}]
        self.table = RouteTable({"Revision": 1, "Routes": [], "Services": services})
        self.held = {MODEL: 1, OTHER: 1}
        self._show()

    def _show(self):
        models = tuple(ModelRevision(name, held) for name, held in self.held.items())
        self.host = replace(self.host, models=models)

    def _call(self, address, method, path, headers, body, timeout, done):
        super()._call(address, method, path, headers, body, timeout, lambda answer: None)
        if method == "POST":
            order = self.orders[-1][1]
            self.held[order["Model"]] = order["Revision"]
            done(Response(202, [], b""))
        else:
            done(Response(200, [], self._report()))

    def _report(self):
        models = ",".join(f'{{"Name":"{name}","Revision":{held}}}' for name, held in self.held.items())
        return f'{{"Saturated":false,"Models":[{models}]}}'.encode()

    def name_model(self, model, revision):
        self.shard.apply(Command(CommandKind.NAME_REVISION, 0, model, revision, "", b""))
        self.rollouts.wake()


@pytest.mark.parametrize("gap", [0, 400 * MS, 3000 * MS])
def test_each_model_of_a_host_is_ordered(gap):
    plane = TwoModels()
    plane.name_model(MODEL, 7)
    plane.run(gap)
    plane.name_model(OTHER, 3)
    plane.run(4000 * MS)
    assert plane.held == {MODEL: 7, OTHER: 3}
    assert len(plane.orders) == 2


def test_a_model_named_while_the_list_is_behind_is_ordered():
    """The word that one model's load is done says nothing of the other's, whose version is lower."""
    plane = TwoModels()
    plane.name_model(MODEL, 7)
    plane.run(2000 * MS)
    plane.name_model(OTHER, 5)
    plane.run(2000 * MS)
    assert [order["Model"] for _, order in plane.orders] == [MODEL, OTHER]


def two_models(identifier, first=1, second=1):
    models = (ModelRevision("m", first), ModelRevision("n", second))
    return replace(instance(identifier), models=models)


def announced(host, model, phase, revision):
    load = encode_load(HostLoad(phase, revision, 1, 1))
    return Change(Topic.LOAD, host.load_key(model), load)


def test_a_load_of_one_model_keeps_only_its_requests_away():
    fleet, host = Fleet(hosts=0), two_models("i-0")
    fleet.list(host)
    fleet.tell(announced(host, "m", LoadPhase.LOADING, 4))
    assert fleet.host(prompt(("a", 900), model="m")) is None
    assert fleet.host(prompt(("a", 900), model="n")) == "i-0"


def test_a_finished_load_of_one_model_says_nothing_of_the_other():
    fleet, host = Fleet(hosts=0), two_models("i-0")
    fleet.list(host)
    fleet.tell(announced(host, "m", LoadPhase.DONE, 4))
    for model, expected in (("m", "4"), ("n", "1")):
        assert told(fleet.place(prompt(("a", 900), model=model)), "expect-version") == expected


def test_a_host_with_one_model_is_announced_as_ever():
    """Processes of earlier versions know no other key."""
    assert instance("i-1").load_key("m") == "i-1"
    assert two_models("i-1").load_key("m") != two_models("i-1").load_key("n")
