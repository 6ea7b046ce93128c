"""Reads a rule set from a file, and checks it."""

from attrs import evolve, frozen
from result import Err, Ok, Result

from rosemaryyoke.checks.differences import Difference, compare_rule_sets
from rosemaryyoke.checks.findings import ERROR, Finding, sort_findings
from rosemaryyoke.checks.registry import check_rule_set
from rosemaryyoke.rules import RuleSet, combine_texts, parse_text


@frozen
class RuleFile:
    """A valid rule set and the findings in it."""

    rules: RuleSet
    findings: tuple[Finding, ...]

    def compare(self, old: "RuleFile") -> list[Difference]:
        """Return the differences from the rules in force."""
        return compare_rule_sets(old.rules, self.rules)

    def check_version(
        self, old: "RuleFile", differences: list[Difference]
    ) -> list[Finding]:
        """Return no findings: a revision is given when rules are published."""
        return []


def read_rule_file(text: str) -> Result[RuleFile, list[Finding]]:
    """Read and check rules; return only errors if they cannot be parsed."""
    parsed = parse_text(text)
    rules = combine_texts([parsed])
    if isinstance(rules, Err):
        return Err(
            [
                Finding(ERROR, "invalid_rule", (), item.message, item.line, item.column)
                for item in rules.err_value
            ]
        )
    findings = [
        evolve(finding, place=(), line=parsed.located_rules[finding.place[1]].line)
        for finding in check_rule_set(rules.ok_value)
    ]
    at_line_start = (evolve(finding, column=1) for finding in findings)
    return Ok(RuleFile(rules.ok_value, tuple(sort_findings(at_line_start))))
