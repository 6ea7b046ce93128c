"""Checks of services."""

from typing import Callable

from rosemaryyoke.catalog import ServiceTraits
from rosemaryyoke.checks.declared import DeclaredConfiguration
from rosemaryyoke.checks.findings import ERROR, WARNING
from rosemaryyoke.checks.registry import Findings, configuration_check
from rosemaryyoke.checks.route_checks import reached_services


def is_engine(service: ServiceTraits) -> bool:
    """Return whether the upstreams of a service are model engines."""
    return service.engine is not None and service.store is None


def is_plain(service: ServiceTraits) -> bool:
    """Return whether the upstreams of a service are neither engines nor KV stores."""
    return service.engine is None and service.store is None


KINDS: dict[str, Callable[[ServiceTraits], bool]] = {
    "model engines": is_engine,
    "plain services": is_plain,
}


@configuration_check("duplicate_service", ERROR)
def find_duplicate_services(declared: DeclaredConfiguration) -> Findings:
    """Find services that replace an earlier one of the same name."""
    names: set[str] = set()
    for index, service in enumerate(declared.services):
        if service.name in names:
            message = f"replaces the earlier service {service.name!r}"
            yield ("services", index, "name"), message
        names.add(service.name)


@configuration_check("unreached_service", WARNING)
def find_unreached_services(declared: DeclaredConfiguration) -> Findings:
    """Find engines and plain services without a route; KV stores need none."""
    reached = reached_services(declared)
    for index, service in enumerate(declared.services):
        if service.store is None and service.name not in reached:
            message = f"no route leads to service {service.name!r}"
            yield ("services", index), message


@configuration_check("unreached_kind", WARNING)
def find_unreached_kinds(declared: DeclaredConfiguration) -> Findings:
    """Find kinds of upstreams of which no route reaches any service.

    KV stores are reached by way of engines.
    """
    reached = reached_services(declared)
    for name, belongs in KINDS.items():
        members = [item for item in declared.services if belongs(item)]
        if members and not any(item.name in reached for item in members):
            yield ("services",), f"no route leads to any of the {name}"
    has_stores = any(item.store is not None for item in declared.services)
    engines = {item.name for item in declared.services if is_engine(item)}
    if has_stores and not engines & reached:
        message = "no route leads to model engines, so that KV stores are not used"
        yield ("services",), message
