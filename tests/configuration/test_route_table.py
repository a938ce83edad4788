"""Look-ups in the route table."""

import random

import pytest

from example_configuration import ABSENT, VALID, changed, route, take
from hopsail.configuration.route_table import RouteTable


def table(*routes):
    return RouteTable(take(changed("Routes", list(routes))))


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("one.example", "/a/", "short"),
        ("one.example", "/a/x", "short"),
        ("one.example", "/a/b/", "long"),
        ("one.example", "/a/b/c/d", "long"),
        ("one.example", "/a/b", "short"),
        ("one.example", "/a/bc/d", "short"),
        ("one.example", "/a", None),
        ("one.example", "/", None),
        ("one.example", "", None),
        ("one.example", "/b/a/b/", None),
        ("one.example", "/a?/b/", None),
        ("one.example", "/a/x?/a/b/", "short"),
        ("one.example", "/a/b/?x=/", "long"),
        ("ONE.Example", "/a/b/", "long"),
        ("one.example:8080", "/a/b/", "long"),
        ("One.example:8080", "/a/b/", "long"),
        ("two.example", "/zzz", "root"),
        ("two.example", "/", "root"),
        ("three.example", "/a/", None),
        ("", "/a/", None),
        ("one.example", "/" * 100_000, None),
    ],
)
def test_route_of_the_longest_prefix_is_found(host, path, name):
    routes = table(
        route("short", PathPrefix="/a/"),
        route("long", PathPrefix="/a/b/"),
        route("root", Hostname="Two.example", PathPrefix="/"),
    )
    found = routes.find(host, path)
    assert (found and found["Name"]) == name


def test_prefix_is_not_looked_for_in_the_query():
    assert table(route("r-a", PathPrefix="/a?/")).find("one.example", "/a?/b") is None


def test_drawn_paths_find_the_same_as_a_plain_search():
    drawn = random.Random(3)
    prefixes = sorted(
        {"/" + "".join(drawn.choices(["a/", "b/"], k=drawn.randrange(5))) for _ in range(20)} - {"/"}
    )
    routes = table(*(route(prefix, PathPrefix=prefix) for prefix in prefixes))
    for _ in range(2000):
        path = "/" + "".join(drawn.choices(["a", "b", "/"], k=drawn.randrange(12)))
        expected = max(filter(path.startswith, prefixes), key=len, default=None)
        found = routes.find("one.example", path)
        assert (found and found["PathPrefix"]) == expected


def test_tenants_are_found_by_any_key():
    routes = RouteTable(VALID)
    assert routes.needs_key
    assert [routes.tenant(key)["Name"] for key in ("k-1", "k-2", "k-3")] == ["t-a", "t-a", "t-b"]
    assert routes.tenant("k-4") is None


def test_no_key_is_needed_without_tenants():
    assert not RouteTable(changed("Tenants", ABSENT)).needs_key


def test_services_and_models_are_found_by_name():
    routes = RouteTable(VALID)
    assert routes.service("s-a") == VALID["Services"][0]
    assert routes.service("s-x") is None
    assert routes.models_of(VALID["Services"][0]) == routes.models_of("s-a") == ("m-a", "m-b")
    assert routes.models_of("s-b") == ()


def test_services_of_a_route_carry_their_weights():
    routes = RouteTable(VALID)
    assert routes.services_of(VALID["Routes"][0]) == [("s-a", 1)]
    assert routes.services_of(VALID["Routes"][1]) == [("s-a", 90), ("s-b", 10)]


def test_service_of_weight_zero_is_left_out():
    configuration = changed("Routes", 1, "TrafficSplit", 1, "Share", 0)
    assert RouteTable(configuration).services_of(configuration["Routes"][1]) == [("s-a", 90)]


def test_store_is_taken_from_the_zone_if_it_has_one():
    other = {"Name": "store-b", "StoreAddr": "172.20.0.3:8165", "Zone": "z-b"}
    routes = RouteTable(changed("Services", "+", other))
    assert routes.store_for()["Name"] == "store"
    assert routes.store_for("z-b")["Name"] == "store-b"
    assert routes.store_for("z-c")["Name"] == "store"
    assert RouteTable(changed("Services", VALID["Services"][:2])).store_for() is None


def test_table_carries_revision_and_limits():
    routes = RouteTable(VALID)
    assert (routes.revision, routes.limits) == (7, VALID["Limits"])
    assert RouteTable(changed("Limits", ABSENT)).limits == {}
