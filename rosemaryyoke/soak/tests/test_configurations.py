"""Random changes leave a configuration that hosts can decode and follow."""

import random

import pytest

from rosemaryyoke.platform.documents import PlatformSource
from rosemaryyoke.platform.standins.documents import store_object
from rosemaryyoke.platform.standins.simulated_upstreams import target_services
from rosemaryyoke.soak.configurations import (
    change_configuration,
    make_soak_configuration,
)

SEEDS = range(40)


def make_changed(seed):
    document = make_soak_configuration()
    change_configuration(document, random.Random(seed))
    return document


@pytest.mark.parametrize("seed", SEEDS)
def test_changed_configuration_is_valid(seed):
    document = make_changed(seed)
    decoded = PlatformSource(None).decode_configuration(store_object(document))
    names = [route.name for route in decoded.unwrap().routes]
    assert {"chat", "issue", "read"} <= set(names) and len(names) == len(set(names))
    declared = {item["name"] for item in document["services"]}
    assert all(target_services(route) <= declared for route in document["routes"])


def test_changes_cover_all_that_operators_do():
    changed = [make_changed(seed) for seed in SEEDS]
    chat = [document["routes"][0] for document in changed]
    assert {len(target_services(route)) for route in chat} == {1, 2}
    assert len({route["timeoutMs"] for route in chat}) == 3
    assert {len(document["services"]) for document in changed} == {3, 4}
    assert max(len(document["routes"]) for document in changed) > 400
