"""Parser for rules files.

Each line has the form ``verb key=value ... # requester, reason``.
"""

import re

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.rules.errors import RuleFault
from rosemaryyoke.rules.model import (
    ANY,
    ENGINE_KIND,
    SERVICE_KIND,
    Limit,
    Route,
    Rule,
    RuleSet,
    Upstream,
)
from rosemaryyoke.rules.verbs import VERBS, Verb, make_rule

WORD = re.compile(r"\S+")
COMMENT = re.compile(r"(?:^|\s)#")


@frozen
class Word:
    """A word of a line and its 1-based column."""

    text: str
    column: int


@frozen
class LocatedRule:
    """A rule and its 1-based line number in the parsed text."""

    rule: Rule
    line: int


@frozen
class ParsedText:
    """The rules and errors of a text, before checks across rules."""

    located_rules: tuple[LocatedRule, ...]
    faults: tuple[RuleFault, ...]
    lines: int


@define
class _ParserState:
    located_rules: list[LocatedRule] = field(factory=list)
    faults: list[RuleFault] = field(factory=list)

    def fault(self, line: int, column: int, message: str) -> None:
        self.faults.append(RuleFault(line, column, message))


def parse_rules(text: str, revision: int = 0) -> Result[RuleSet, list[RuleFault]]:
    """Parse a rules file; return its rules, or all errors sorted by position."""
    return combine_texts([parse_text(text)], revision)


def parse_text(text: str) -> ParsedText:
    """Parse a text, which may be a part of a file, line by line."""
    state = _ParserState()
    lines = text.split("\n")
    for number, line in enumerate(lines, start=1):
        if line.strip() and not line.lstrip().startswith("#"):
            _parse_line(state, number, line.rstrip("\r"))
    return ParsedText(tuple(state.located_rules), tuple(state.faults), len(lines) - 1)


def combine_texts(
    texts: list[ParsedText], revision: int = 0
) -> Result[RuleSet, list[RuleFault]]:
    """Combine consecutive parsed texts and check names and references across them."""
    state = _ParserState()
    before = 0
    for text in texts:
        state.located_rules += [
            LocatedRule(p.rule, p.line + before) for p in text.located_rules
        ]
        state.faults += [evolve(f, line=f.line + before) for f in text.faults]
        before += text.lines
    rules = RuleSet(tuple(item.rule for item in state.located_rules), revision)
    _check_names(state)
    _check_references(state, rules)
    if state.faults:
        return Err(sorted(state.faults, key=lambda fault: (fault.line, fault.column)))
    return Ok(rules)


def _parse_line(state: _ParserState, number: int, line: str) -> None:
    comment = COMMENT.search(line)
    body = line if comment is None else line[: comment.start()]
    _check_comment(state, number, line, comment)
    words = [Word(match.group(), match.start() + 1) for match in WORD.finditer(body)]
    if not words:
        return
    verb = VERBS.get(words[0].text)
    if verb is None:
        known = ", ".join(sorted(VERBS))
        message = f"unknown verb {words[0].text!r}; known: {known}"
        state.fault(number, words[0].column, message)
        return
    values = _parse_values(state, number, verb, words[1:])
    missing = [
        name for name, key in verb.keys.items() if key.required and name not in values
    ]
    for name in missing:
        state.fault(number, words[0].column, f"key {name!r} is missing or invalid")
    if not missing:
        state.located_rules.append(LocatedRule(make_rule(verb, values), number))


def _check_comment(
    state: _ParserState, number: int, line: str, comment: re.Match | None
) -> None:
    if comment is None:
        message = "a comment with the requester is missing, such as '# Ana, new engine'"
        state.fault(number, len(line) + 1, message)
        return
    who = line[comment.end() :].split(",")[0].strip()
    if not who:
        state.fault(number, comment.end(), "the comment does not name a requester")


def _parse_values(
    state: _ParserState, number: int, verb: Verb, words: list[Word]
) -> dict[str, object]:
    values: dict[str, object] = {}
    for word in words:
        name, equals, text = word.text.partition("=")
        if not equals:
            state.fault(number, word.column, f"expected key=value, not {name!r}")
        elif name not in verb.keys:
            known = ", ".join(verb.keys)
            message = f"unknown key {name!r}; known: {known}"
            state.fault(number, word.column, message)
        elif name in values:
            state.fault(number, word.column, f"duplicate key {name!r}")
        else:
            try:
                values[name] = verb.keys[name].parse(text)
            except ValueError as error:
                column = word.column + len(name) + 1
                state.fault(number, column, f"{name}: {error}")
    return values


def _check_names(state: _ParserState) -> None:
    first: dict[tuple[str, str], int] = {}
    for item in state.located_rules:
        identity = _rule_key(item.rule)
        if identity in first:
            message = f"already defined on line {first[identity]}"
            state.fault(item.line, 1, message)
        first.setdefault(identity, item.line)


def _rule_key(rule: Rule) -> tuple[str, str]:
    kind = type(rule).__name__
    if isinstance(rule, Route):
        return kind, f"{rule.model} {rule.account}"
    if isinstance(rule, Limit):
        return kind, rule.account
    return kind, rule.name


def _check_references(state: _ParserState, known: RuleSet) -> None:
    for item in state.located_rules:
        for message in _find_broken_references(item.rule, known):
            state.fault(item.line, 1, message)


def _find_broken_references(rule: Rule, known: RuleSet) -> list[str]:
    if isinstance(rule, Route):
        return _find_broken_route_references(rule, known)
    if isinstance(rule, Limit) and rule.account not in (ANY, *known.accounts):
        return [f"no account is named {rule.account!r}"]
    if isinstance(rule, Upstream):
        if rule.kind == ENGINE_KIND and rule.serves not in known.models:
            return [f"no model is named {rule.serves!r}"]
        if rule.kind == SERVICE_KIND and rule.serves not in known.services:
            return [f"no service is named {rule.serves!r}"]
    return []


def _find_broken_route_references(route: Route, known: RuleSet) -> list[str]:
    broken = []
    if route.model not in known.models:
        broken.append(f"no model is named {route.model!r}")
    if route.account not in (ANY, *known.accounts):
        broken.append(f"no account is named {route.account!r}")
    for name in route.upstreams:
        if name != ANY and name not in known.upstreams:
            broken.append(f"no upstream is named {name!r}")
    return broken
