"""Random changes of a configuration, as an operator makes them."""

import random

from rosemaryyoke.platform.standins.documents import make_configuration, make_route
from rosemaryyoke.platform.standins.simulated_upstreams import (
    make_targets,
    target_services,
)

SERVICES = ("llm", "llm-b")  # services of engines, between which routes move
TIMEOUTS_MS = (3_000, 4_000, 6_000)
WEIGHTS = (1, 3, 9)
ADDED_ROUTES = 8
LARGE_ROUTES = 400
LARGE_SHARE = 0.25
WITHOUT_UNUSED_SHARE = 0.5


def make_soak_configuration() -> dict:
    """Return a configuration with all services of engines."""
    document = make_configuration()
    engines = document["services"][0]
    document["services"] += [{**engines, "name": name} for name in SERVICES[1:]]
    return document


def change_configuration(document: dict, rng: random.Random) -> None:
    """Change the route to engines, add others, and at times drop an unused service."""
    routes = document["routes"]
    routes[0] |= {"timeoutMs": rng.choice(TIMEOUTS_MS), **draw_targets(rng)}
    added = rng.sample(range(ADDED_ROUTES), rng.randrange(ADDED_ROUTES))
    routes += [make_route(f"added-{number}") for number in added]
    if rng.random() < LARGE_SHARE:
        routes += [make_route(f"large-{number}") for number in range(LARGE_ROUTES)]
    if rng.random() < WITHOUT_UNUSED_SHARE:
        drop_unused_services(document)


def draw_targets(rng: random.Random) -> dict:
    """Return the fields of a route to one service, or split between two."""
    chosen = rng.choice(((SERVICES[0],), (SERVICES[1],), SERVICES))
    return make_targets({service: rng.choice(WEIGHTS) for service in chosen})


def drop_unused_services(document: dict) -> None:
    """Drop the services of engines to which no route goes."""
    used = set().union(*map(target_services, document["routes"]))
    document["services"] = [
        item
        for item in document["services"]
        if item["name"] in used or item["name"] not in SERVICES
    ]
