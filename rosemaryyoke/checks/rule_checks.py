"""Checks of rule sets, beyond those of the parser."""

from rosemaryyoke.checks.findings import ERROR, WARNING
from rosemaryyoke.checks.registry import Findings, rule_check
from rosemaryyoke.rules import (
    Account,
    Limit,
    Model,
    PlainService,
    Route,
    RuleSet,
    Upstream,
)
from rosemaryyoke.rules.model import ANY, SERVICE_KIND


@rule_check("duplicate_key", ERROR)
def find_shared_digests(rules: RuleSet) -> Findings:
    """Find accounts with the key of an earlier one."""
    owners: dict[bytes, str] = {}
    for index, rule in enumerate(rules.rules):
        if isinstance(rule, Account):
            owner = owners.setdefault(rule.key_sha256, rule.name)
            if owner != rule.name:
                yield ("rules", index), f"account {owner!r} has the same key"


@rule_check("duplicate_address", WARNING)
def find_shared_addresses(rules: RuleSet) -> Findings:
    """Find upstreams with the address of an earlier one."""
    owners: dict[str, str] = {}
    for index, rule in enumerate(rules.rules):
        if isinstance(rule, Upstream):
            owner = owners.setdefault(rule.address, rule.name)
            if owner != rule.name:
                yield ("rules", index), f"upstream {owner!r} has the same address"


@rule_check("unreached_model", WARNING)
def find_unreached_models(rules: RuleSet) -> Findings:
    """Find models without a route."""
    for index, rule in enumerate(rules.rules):
        if isinstance(rule, Model) and rule.name not in rules.routes:
            yield ("rules", index), f"no route leads to model {rule.name!r}"


@rule_check("route_without_engine", WARNING)
def find_routes_without_engine(rules: RuleSet) -> Findings:
    """Find routes whose requests no engine may serve."""
    for index, rule in enumerate(rules.rules):
        if isinstance(rule, Route) and not rules.engines_of(rule):
            yield ("rules", index), f"no engine of the route serves {rule.model!r}"


@rule_check("mismatched_upstream", WARNING)
def find_mismatched_upstreams(rules: RuleSet) -> Findings:
    """Find upstreams of a route that are no engines of its model."""
    for index, rule in enumerate(rules.rules):
        if not isinstance(rule, Route):
            continue
        engines = {ANY, *(engine.name for engine in rules.engines_of(rule))}
        for name in rule.upstreams:
            if name not in engines:
                message = f"upstream {name!r} is no engine of model {rule.model!r}"
                yield ("rules", index), message


@rule_check("service_without_upstream", WARNING)
def find_services_without_upstream(rules: RuleSet) -> Findings:
    """Find plain services that no upstream serves."""
    for index, rule in enumerate(rules.rules):
        if isinstance(rule, PlainService):
            if not rules.upstreams_of(SERVICE_KIND, rule.name):
                yield ("rules", index), f"no upstream serves {rule.name!r}"


@rule_check("limit_without_effect", WARNING)
def find_empty_limits(rules: RuleSet) -> Findings:
    """Find limits that limit nothing.

    A limit of an account without values exempts it from the limit of any account.
    """
    for index, rule in enumerate(rules.rules):
        if not isinstance(rule, Limit):
            continue
        exempts = rule.account != ANY and ANY in rules.limits
        has_value = rule.requests_per_s or rule.tokens_per_s or rule.concurrency
        if not (has_value or exempts):
            yield ("rules", index), "the limit has no value other than 0"
