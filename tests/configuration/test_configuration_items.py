"""A configuration split into keyed items and joined again."""

import json
import random

import pytest

from example_configuration import VALID, changed, route
from hopsail.configuration.checker import (
    apply_patch,
)
from hopsail.configuration.items import ItemJoiner, ItemSplitter, canonical, join_items, split_items


def test_items_have_keys_by_kind_and_name():
    items = split_items(changed("NewField", 1))
    assert set(items) == {
        *("revision", "limits", "extra/NewField"),
        *(
            "route/r-a",
            "route/r-b",
            "service/s-a",
            "service/s-b",
            "service/store",
            "tenant/t-a",
            "tenant/t-b",
        ),
    }


def test_items_join_to_the_configuration_in_any_order():
    configuration = changed("Routes", [route(f"r-{index}") for index in range(50)])
    keys = list(split_items(configuration).items())
    random.Random(1).shuffle(keys)
    assert join_items(dict(keys)) == configuration


def difference(before, after):
    items = split_items(before)
    changes = split_items(after, items)
    assert join_items(changes) == after
    return {key for key in items.keys() | changes.keys() if items.get(key) != changes.get(key)}


def many_routes():
    return changed("Routes", [route(f"r-{index}") for index in range(100)])


def test_replaced_route_costs_one_item():
    after = many_routes()
    after["Routes"][40] = route("r-40", DeadlineMs=1)
    assert difference(many_routes(), after) == {"route/r-40"}


def test_removed_route_costs_one_item():
    after = many_routes()
    del after["Routes"][40]
    assert difference(many_routes(), after) == {"route/r-40"}


@pytest.mark.parametrize("place", [0, 40, 100])
def test_inserted_route_costs_one_item(place):
    after = many_routes()
    after["Routes"].insert(place, route("r-new"))
    assert difference(many_routes(), after) == {"route/r-new"}


@pytest.mark.parametrize(("place", "new_place"), [(0, 99), (99, 0), (60, 20)])
def test_moved_route_costs_one_item(place, new_place):
    after = many_routes()
    after["Routes"].insert(new_place, after["Routes"].pop(place))
    assert difference(many_routes(), after) == {f"route/r-{place}"}


def test_drawn_changes_keep_the_order_of_lists():
    drawn = random.Random(7)
    routes = [route(f"r-{index}") for index in range(30)]
    items = {}
    for step in range(300):
        routes.insert(drawn.randrange(len(routes) + 1), route(f"r-new-{step}"))
        routes.insert(drawn.randrange(len(routes)), routes.pop(drawn.randrange(len(routes))))
        routes.pop(drawn.randrange(len(routes)))
        items = split_items(changed("Routes", list(routes)), items)
        assert join_items(items)["Routes"] == routes


def test_changes_folded_one_after_another_give_each_configuration():
    drawn = random.Random(11)
    splitter = ItemSplitter()
    joiner = ItemJoiner()
    configuration = many_routes()
    held = {}
    for step in range(100):
        name = f"r-{drawn.randrange(120)}"
        revision = configuration["Revision"] + 1
        patch = {"Upsert": {"Routes": [route(name, DeadlineMs=step + 1)]}}
        if drawn.random() < 0.5:
            patch = {"Remove": {"Routes": [name], "Tenants": ["t-a"]}}
        configuration = apply_patch(configuration, {"Revision": revision, **patch})
        items = splitter.split(configuration)
        assert join_items(items) == configuration
        joiner.fold(
            {key: items.get(key) for key in held.keys() | items.keys() if items.get(key) != held.get(key)}
        )
        held = items
        assert joiner.configuration() == configuration


def test_splitter_gives_the_same_bytes_as_a_split_with_previous_items():
    splitter = ItemSplitter()
    items = splitter.split(VALID)
    after = apply_patch(VALID, {"Revision": 9, "Upsert": {"Routes": [route("r-a", DeadlineMs=1)]}})
    assert splitter.split(after) == split_items(after, items)


def test_splitter_sees_that_an_item_moved():
    configuration = many_routes()
    splitter = ItemSplitter()
    splitter.split(configuration)
    moved = {**configuration, "Routes": configuration["Routes"][1:] + configuration["Routes"][:1]}
    assert join_items(splitter.split(moved)) == moved


def test_emptied_list_stays_a_list():
    items = split_items(changed("Tenants", []), split_items(VALID))
    assert join_items(items) == changed("Tenants", [])


def test_canonical_bytes_ignore_spaces_and_the_order_of_fields():
    fields = list(VALID.items())
    fields.reverse()
    assert canonical(dict(fields)) == canonical(json.loads(json.dumps(VALID, indent=4)))
    assert canonical(VALID) != canonical(changed("Routes", 0, "DeadlineMs", 4001))
