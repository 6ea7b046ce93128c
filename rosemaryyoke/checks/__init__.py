"""Checks of configurations before they are sent, and their differences."""

from rosemaryyoke.checks import (  # noqa: F401, modules that register checks
    account_checks,
    limit_checks,
    route_checks,
    rule_checks,
    service_checks,
)
from rosemaryyoke.checks.declared import DeclaredConfiguration
from rosemaryyoke.checks.differences import (
    Difference,
    check_version,
    compare_configurations,
    compare_rule_sets,
)
from rosemaryyoke.checks.findings import (
    ERROR,
    WARNING,
    Finding,
    Place,
    format_place,
    sort_findings,
)
from rosemaryyoke.checks.registry import check_configuration, check_rule_set
from rosemaryyoke.checks.rule_file import RuleFile, read_rule_file

__all__ = [
    "DeclaredConfiguration",
    "Difference",
    "ERROR",
    "Finding",
    "Place",
    "RuleFile",
    "WARNING",
    "check_configuration",
    "check_rule_set",
    "check_version",
    "compare_configurations",
    "compare_rule_sets",
    "format_place",
    "read_rule_file",
    "sort_findings",
]
