"""Hosts of a service at a data plane: judged only when asked for, whatever their number."""

import random
from dataclasses import replace

from hopsail.dataplane.service_hosts import RELIEF_IN_FLIGHT, ServiceHosts, UsableHosts
from hopsail.hosts.instance import Address, Instance, ModelRevision, Phase
from hopsail.routing.choice import ChoiceParameters
from hopsail.routing.lanes import Lane
from hopsail.routing.outcomes import Failure
from hopsail.routing.warmup import WarmupRule

NUMBER = 2000


def instance(number, phase=Phase.SERVING):
    address = Address("10.0.0.1", 1000 + number)
    return Instance(f"i-{number}", "s", address, "z", 12, phase, 0, (ModelRevision("m", 1),), "v1")


def service(number=NUMBER):
    hosts = ServiceHosts(random.Random(1), ChoiceParameters())
    hosts.renew([instance(index) for index in range(number)])
    return hosts


def test_a_choice_judges_few_of_many_hosts():
    hosts, judged = service(), []

    def judge(state):
        judged.append(state.identifier)
        return True

    usable = UsableHosts(hosts, 0, set(), judge)
    chosen = [chooser.choose(0, "key", usable) for chooser in hosts.choosers.values()]
    assert None not in chosen and len(judged) < 10


def test_each_host_is_judged_once():
    hosts, judged = service(5), []
    usable = UsableHosts(hosts, 0, set(), lambda state: judged.append(state.identifier) or True)
    assert usable.get("i-1") is usable.get("i-1")
    assert judged == ["i-1"]


def test_excluded_draining_unknown_and_paused_hosts_are_left_out():
    hosts = service(4)
    hosts.renew([instance(0), instance(1), instance(2), instance(3, Phase.DRAINING)])
    hosts.health.failed(0, "i-2", Failure.CONNECTION)
    usable = UsableHosts(hosts, 1, {"i-1"}, lambda state: True)
    assert [usable.get(f"i-{number}") is not None for number in range(5)] == [
        True,
        False,
        False,
        False,
        False,
    ]
    assert UsableHosts(hosts, 1, {"i-1"}, lambda state: True, paused=True).get("i-2") is not None


def test_places_follow_the_hosts_that_are_there():
    hosts = service(3)
    assert hosts.capacity == 36
    gone = hosts.renew([instance(0), instance(1, Phase.DRAINING)])
    assert hosts.capacity == 12 and gone == [("10.0.0.1", 1002)]


def test_a_crowded_host_is_relieved_by_one_with_far_less_to_do():
    hosts = service(3)
    usable = UsableHosts(hosts, 0, set(), lambda state: True)
    crowded = hosts.states["i-0"]
    for state in hosts.states.values():
        state.in_flight_work = 100.0
    crowded.in_flight, crowded.in_flight_work = RELIEF_IN_FLIGHT, 150.0
    assert hosts.relieved(crowded, usable) is crowded
    hosts.states["i-2"].in_flight_work = 10.0
    assert hosts.relieved(crowded, usable) is hosts.states["i-2"]
    crowded.in_flight = RELIEF_IN_FLIGHT - 1
    assert hosts.relieved(crowded, usable) is crowded


def test_hosts_are_divided_as_told_and_stay_so_when_they_change():
    hosts = service(16)
    assert [len(hosts.choosers[lane].ring) for lane in (Lane.SHORT, Lane.LONG)] == [4, 12]
    hosts.set_division(0.5)
    assert [len(hosts.choosers[lane].ring) for lane in (Lane.SHORT, Lane.LONG)] == [8, 8]
    hosts.set_division(0.25)
    assert [len(hosts.choosers[lane].ring) for lane in (Lane.SHORT, Lane.LONG)] == [4, 12]
    hosts.renew([instance(index) for index in range(8)])
    assert [len(hosts.choosers[lane].ring) for lane in (Lane.SHORT, Lane.LONG)] == [2, 6]
    hosts.set_division(0.0)
    assert {len(chooser.ring) for chooser in hosts.choosers.values()} == {8}


def test_hosts_without_models_are_not_divided_whatever_is_told():
    hosts = ServiceHosts(random.Random(1), ChoiceParameters())
    hosts.renew([replace(instance(index), models=()) for index in range(6)])
    hosts.set_division(0.25)
    assert [len(chooser.ring) for chooser in hosts.choosers.values()] == [6, 6]


def test_what_was_sent_to_a_host_that_is_gone_is_forgotten():
    hosts = service(2)
    hosts.warmup.rule = WarmupRule(40.0, 1)
    for name in ("i-0", "i-1"):
        hosts.warmup.reserve(name)
    hosts.renew([instance(1)])
    assert set(hosts.warmup._hosts) == {"i-1"}
