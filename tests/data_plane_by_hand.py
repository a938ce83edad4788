"""A data plane without sockets, whose configuration and hosts the test tells it."""

import signal
from contextlib import contextmanager

from request_journey import IDENTIFIER, ClientSide, Clock, Pool

from hopsail.configuration.items import split_items
from hopsail.configuration.process import parse_settings
from hopsail.dataplane.plane import DataPlane
from hopsail.feed.journal import Change
from hopsail.feed.topics import Topic
from hopsail.hosts.instance import Address, Instance, Phase, encode
from hopsail.http.message import Request
from hopsail.http.server import Exchange

SETTINGS = """
NodeName=n1
Zone=z1
Ip=127.0.0.1
PortRange=9000,9010
Listen.Frontend=127.0.0.1:9001
Listen.Readiness=127.0.0.1:9002
"""
CONFIGURATION = {
    "Revision": 3,
    "Routes": [
        {"Name": "r", "Hostname": "h.example", "PathPrefix": "/a/", "DeadlineMs": 4000, "Service": "s"}
        | {"RouteKind": "mutating", "MaxTries": 2},
        {"Name": "p", "Hostname": "h.example", "PathPrefix": "/p/", "DeadlineMs": 4000, "Service": "s"}
        | {"RouteKind": "mutating", "MaxTries": 2, "Public": True},
    ],
    "Services": [{"Name": "s", "HealthPath": "/healthz"}],
    "Limits": {"MaxHeaderBytes": 9999, "MaxBodyBytes": 5555, "HeaderWaitMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "acme", "ApiKeys": ["key-1"], "Priority": 1, "Isolated": True}],
}


def instance(identifier="i-1", phase=Phase.SERVING, service="s", port=8001, models=()):
    return Instance(identifier, service, Address("10.0.0.1", port), "z1", 4, phase, 0, models, "v1")


def feed(view, configuration=CONFIGURATION, instances=(), now=0, source="c1"):
    changes = [Change(Topic.CONFIGURATION, key, value) for key, value in split_items(configuration).items()]
    changes += [Change(Topic.INSTANCE, one.identifier, encode(one)) for one in instances]
    state = {(change.topic, change.key): change.value for change in changes}
    view.apply(now, source, state, changes)


@contextmanager
def data_plane_with_stand_ins():
    """A data plane with a clock and connections that the test drives."""
    handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    handlers |= {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGUSR1)}
    one = DataPlane(parse_settings(SETTINGS))
    loop, one.loop = one.loop, Clock()
    one.pool = Pool(one.loop)
    yield one
    loop.close()
    for number, handler in handlers.items():
        signal.signal(number, handler)


def ask(plane, headers, target="/a/b", method="POST"):
    client = ClientSide(plane.loop)
    exchange = Exchange(client, Request(method, target, headers, b"x"))
    plane.handle(exchange.request, exchange)
    plane.loop.settle()
    return client


def headers_of(host="h.example", identifiers=(IDENTIFIER,), key="key-1"):
    headers = [("host", host)] + [("hopsail-attempt-id", one) for one in identifiers]
    return headers + ([("authorization", f"Bearer {key}")] if key else [])
