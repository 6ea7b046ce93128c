"""Checks of routes."""

import math
import re

from attrs import fields

from rosemaryyoke.catalog import ExchangeRoute
from rosemaryyoke.checks.declared import DeclaredConfiguration
from rosemaryyoke.checks.findings import ERROR, WARNING
from rosemaryyoke.checks.registry import Findings, configuration_check
from rosemaryyoke.exchanges.settings import RoutingSettings
from rosemaryyoke.fleet.budget import SAFETY_FACTOR

MS_PER_S = 1_000

# Hosts compare the Host header without its port, and the path without its query. What
# follows two slashes at the beginning of a request's target is no part of its path.
HOST_NAME = re.compile(r"[a-z0-9._-]+")
PATH_PREFIX = re.compile(r"/(?!/)[^\s?#]*")


def default_setting(name: str) -> float:
    """Return the default of a setting of routing hosts."""
    return getattr(fields(RoutingSettings), name).default


def idle_retry_budget() -> int:
    """Return the retries that all hosts together allow a lone request.

    The budget grows with the traffic, so this is what is certain at any time.
    """
    ratio, slack = default_setting("retry_ratio"), default_setting("retry_slack")
    return math.floor(SAFETY_FACTOR * (ratio + slack))


def milliseconds(seconds: float) -> str:
    """Return a time for messages."""
    return f"{seconds * MS_PER_S:g} ms"


def reached_services(declared: DeclaredConfiguration) -> set[str]:
    """Return the names of the services that routes have as targets."""
    routes = declared.configuration.routes
    return {target.service for route in routes for target in route.targets}


@configuration_check("shadowed_route", ERROR)
def find_shadowed_routes(declared: DeclaredConfiguration) -> Findings:
    """Find routes with the host and prefix of an earlier one, which takes precedence.

    Other overlaps are allowed, since the longest prefix wins.
    """
    first: dict[tuple[str, str], ExchangeRoute] = {}
    for index, route in enumerate(declared.configuration.routes):
        earlier = first.setdefault((route.host, route.path_prefix), route)
        if earlier is not route:
            message = (
                f"never matches: route {earlier.name!r} has the same host and prefix"
            )
            yield ("routes", index, "path_prefix"), message


@configuration_check("duplicate_route_name", WARNING)
def find_duplicate_route_names(declared: DeclaredConfiguration) -> Findings:
    """Find routes that have the name of an earlier one."""
    names: set[str] = set()
    for index, route in enumerate(declared.configuration.routes):
        if route.name in names:
            yield ("routes", index, "name"), f"another route is named {route.name!r}"
        names.add(route.name)


@configuration_check("unmatchable_route", ERROR)
def find_unmatchable_routes(declared: DeclaredConfiguration) -> Findings:
    """Find routes whose host or prefix equals that of no request."""
    for index, route in enumerate(declared.configuration.routes):
        if not HOST_NAME.fullmatch(route.host):
            message = "never matches: expected a host name without a port"
            yield ("routes", index, "host"), message
        if not PATH_PREFIX.fullmatch(route.path_prefix):
            message = (
                "never matches: expected a path that begins with one / and has no query"
            )
            yield ("routes", index, "path_prefix"), message


@configuration_check("open_prefix", WARNING)
def find_open_prefixes(declared: DeclaredConfiguration) -> Findings:
    """Find prefixes without a final slash, which also match longer names."""
    for index, route in enumerate(declared.configuration.routes):
        if not route.path_prefix.endswith("/"):
            prefix = route.path_prefix
            message = f"also matches {prefix + 'x'!r}: expected a final slash"
            yield ("routes", index, "path_prefix"), message


@configuration_check("timeout_below_target", WARNING)
def find_timeouts_below_target(declared: DeclaredConfiguration) -> Findings:
    """Find routes that give up before the latency target has passed."""
    for index, route in enumerate(declared.configuration.routes):
        if route.timeout_s < route.objective_s:
            message = (
                f"the timeout, {milliseconds(route.timeout_s)}, is below the latency "
                f"target, {milliseconds(route.objective_s)}"
            )
            yield ("routes", index, "timeout_s"), message


@configuration_check("attempts_beyond_budget", WARNING)
def find_attempts_beyond_budget(declared: DeclaredConfiguration) -> Findings:
    """Find routes that allow more attempts than the retry budget, at its defaults."""
    budget = idle_retry_budget()
    for index, route in enumerate(declared.configuration.routes):
        if route.repeatable and route.max_attempts - 1 > budget:
            message = (
                f"{route.max_attempts} attempts need {route.max_attempts - 1} retries; "
                f"the retry budget has {budget} without other traffic"
            )
            yield ("routes", index, "max_attempts"), message


@configuration_check("attempts_without_effect", WARNING)
def find_attempts_without_effect(declared: DeclaredConfiguration) -> Findings:
    """Find several attempts of routes whose requests run at most once.

    Attempts that have not run are repeated anyway, and are not counted.
    """
    for index, route in enumerate(declared.configuration.routes):
        if route.max_attempts > 1 and not route.repeatable:
            message = "requests of the route run at most once, whatever the attempts"
            yield ("routes", index, "max_attempts"), message


@configuration_check("unknown_service", ERROR)
def find_unknown_services(declared: DeclaredConfiguration) -> Findings:
    """Find targets that no service entry declares."""
    for index, route in enumerate(declared.configuration.routes):
        for position, target in enumerate(route.targets):
            if target.service not in declared.configuration.services:
                message = f"no service is named {target.service!r}"
                yield ("routes", index, "targets", position, "service"), message


@configuration_check("store_as_target", ERROR)
def find_store_targets(declared: DeclaredConfiguration) -> Findings:
    """Find targets that are KV cache stores, which serve no requests of callers."""
    services = declared.configuration.services
    for index, route in enumerate(declared.configuration.routes):
        for position, target in enumerate(route.targets):
            service = services.get(target.service)
            if service is not None and service.store is not None:
                message = f"{target.service!r} is a KV store, which serves no callers"
                yield ("routes", index, "targets", position, "service"), message


@configuration_check("zero_weights", ERROR)
def find_zero_weights(declared: DeclaredConfiguration) -> Findings:
    """Find splits whose weights sum to 0; hosts then use the first target alone."""
    for index, route in enumerate(declared.configuration.routes):
        weights = [target.weight for target in route.targets]
        if len(weights) > 1 and sum(weights) <= 0:
            first = route.targets[0].service
            message = f"the weights sum to 0; all requests would go to {first!r}"
            yield ("routes", index, "targets"), message


@configuration_check("repeated_target", WARNING)
def find_repeated_targets(declared: DeclaredConfiguration) -> Findings:
    """Find splits that name a service twice."""
    for index, route in enumerate(declared.configuration.routes):
        names: set[str] = set()
        for position, target in enumerate(route.targets):
            if target.service in names:
                message = f"service {target.service!r} is in the split already"
                yield ("routes", index, "targets", position, "service"), message
            names.add(target.service)
