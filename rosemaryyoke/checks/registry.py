"""Registers checks and runs them."""

from typing import Callable, Iterator

from attrs import frozen

from rosemaryyoke.checks.declared import DeclaredConfiguration
from rosemaryyoke.checks.findings import Finding, Place
from rosemaryyoke.core.registry import Registry
from rosemaryyoke.rules import RuleSet

Findings = Iterator[tuple[Place, str]]


@frozen
class Check:
    """A check and the severity of its findings."""

    severity: str
    find: Callable[..., Findings]


configuration_checks: Registry[Check] = Registry("configuration check")
rule_checks: Registry[Check] = Registry("rule check")


def configuration_check(code: str, severity: str) -> Callable:
    """Return a decorator that registers a check of a ``DeclaredConfiguration``."""
    return _decorate(configuration_checks, code, severity)


def rule_check(code: str, severity: str) -> Callable:
    """Return a decorator that registers a check of a ``RuleSet``."""
    return _decorate(rule_checks, code, severity)


def _decorate(checks: Registry[Check], code: str, severity: str) -> Callable:
    def decorate(find: Callable[..., Findings]) -> Callable[..., Findings]:
        checks.register(code)(Check(severity, find))
        return find

    return decorate


def check_configuration(declared: DeclaredConfiguration) -> list[Finding]:
    """Run all checks of a configuration; places have the catalog's names."""
    return _run(configuration_checks, declared)


def check_rule_set(rules: RuleSet) -> list[Finding]:
    """Run all checks of a rule set; places are ``("rules", index)``."""
    return _run(rule_checks, rules)


def _run(checks: Registry[Check], subject: object) -> list[Finding]:
    return [
        Finding(check.severity, code, place, message)
        for code, check in ((code, checks.get(code)) for code in checks.names())
        for place, message in check.find(subject)
    ]
