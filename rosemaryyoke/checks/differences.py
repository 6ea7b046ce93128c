"""Differences between two configurations, with their effect on callers."""

from typing import Any, Callable, Iterator, TypeVar

from attrs import fields, frozen

from rosemaryyoke.catalog import (
    ClientAccount,
    Configuration,
    ConnectionLimits,
    EngineTraits,
    ExchangeRoute,
    Quota,
    ServiceTraits,
)
from rosemaryyoke.checks.findings import ERROR, Finding
from rosemaryyoke.checks.route_checks import milliseconds
from rosemaryyoke.rules import (
    Account,
    Limit,
    Model,
    PlainService,
    Route,
    RuleSet,
    Upstream,
)

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"

Entry = TypeVar("Entry")


@frozen
class Difference:
    """An added, removed or changed entry; ``effects`` are those on callers."""

    change: str
    kind: str
    name: str
    effects: tuple[str, ...]

    def format(self) -> str:
        """Return the difference as one line of text."""
        return f"{self.change} {self.kind} {self.name}: {'; '.join(self.effects)}"

    def as_dict(self) -> dict[str, Any]:
        """Return the difference as a JSON object."""
        return {
            "change": self.change,
            "kind": self.kind,
            "name": self.name,
            "effects": list(self.effects),
        }


def compare_entries(
    kind: str,
    old: dict[Any, Entry],
    new: dict[Any, Entry],
    name: Callable[[Entry], str],
    describe: Callable[[Entry | None, Entry | None], list[str]],
) -> Iterator[Difference]:
    """Yield the differences of two tables; ``describe`` returns the effects."""
    for key in [*old, *(key for key in new if key not in old)]:
        before, after = old.get(key), new.get(key)
        if before == after:
            continue
        change = ADDED if before is None else REMOVED if after is None else CHANGED
        shown = name(before if after is None else after)
        yield Difference(change, kind, shown, tuple(describe(before, after)))


def compare_configurations(old: Configuration, new: Configuration) -> list[Difference]:
    """Return the differences between two configurations.

    Routes are the same if they have the same host and prefix: callers do not see names.
    """
    return [
        *compare_entries(
            "route",
            index_routes(old),
            index_routes(new),
            show_route,
            lambda before, after: describe_route(before, after, old, new),
        ),
        *compare_entries(
            "service",
            old.services,
            new.services,
            lambda item: repr(item.name),
            lambda before, after: describe_service(before, after, new),
        ),
        *compare_entries(
            "account",
            {item.name: item for item in old.accounts},
            {item.name: item for item in new.accounts},
            lambda item: repr(item.name),
            lambda before, after: describe_account(before, after, old, new),
        ),
        *compare_entries(
            "limits",
            {"": old.limits},
            {"": new.limits},
            lambda item: "of connections",
            describe_limits,
        ),
    ]


def check_version(
    old: Configuration, new: Configuration, differences: list[Difference]
) -> list[Finding]:
    """Return an error if hosts would ignore the new configuration for its version."""
    same = old.version == new.version and not differences
    if same or new.version > old.version:
        return []
    message = (
        f"version {new.version} does not rise above {old.version}, which is in force; "
        "hosts ignore it"
    )
    return [Finding(ERROR, "version_not_risen", ("version",), message)]


def index_routes(
    configuration: Configuration,
) -> dict[tuple[str, str], ExchangeRoute]:
    """Return the effective routes by host and prefix; the first of equals is used."""
    found: dict[tuple[str, str], ExchangeRoute] = {}
    for route in configuration.routes:
        found.setdefault((route.host, route.path_prefix), route)
    return found


def show_route(route: ExchangeRoute) -> str:
    """Return the name and the address of a route."""
    return f"{route.name!r} ({route.host}{route.path_prefix})"


def show_targets(route: ExchangeRoute) -> str:
    """Return the targets of a route with their shares of the requests."""
    total = sum(target.weight for target in route.targets)
    if len(route.targets) == 1 or total <= 0:
        return route.targets[0].service
    return ", ".join(
        f"{target.weight / total:.3g} of them to {target.service}"
        for target in route.targets
    )


def describe_route(
    before: ExchangeRoute | None,
    after: ExchangeRoute | None,
    old: Configuration,
    new: Configuration,
) -> list[str]:
    """Return the effects of a difference of routes."""
    if before is None:
        previous = old.find_route(after.host, after.path_prefix)
        served = "404" if previous is None else f"served by route {previous.name!r}"
        return [f"requests go to {show_targets(after)}; before: {served}"]
    if after is None:
        following = new.find_route(before.host, before.path_prefix)
        if following is None:
            return ["callers get 404 (unknown_route)"]
        return [f"requests match route {following.name!r}: {show_targets(following)}"]
    return [
        describe(before, after)
        for name, describe in ROUTE_EFFECTS.items()
        if getattr(before, name) != getattr(after, name)
    ]


RouteEffect = Callable[[ExchangeRoute, ExchangeRoute], str]
ROUTE_EFFECTS: dict[str, RouteEffect] = {
    "name": lambda old, new: f"renamed from {old.name!r}; callers see no difference",
    "kind": lambda old, new: (
        f"handled as {new.kind}, before {old.kind}; requests "
        f"{'may' if new.repeatable else 'never'} run more than once"
    ),
    "targets": lambda old, new: (
        f"requests go to {show_targets(new)}; before: {show_targets(old)}"
    ),
    "timeout_s": lambda old, new: (
        f"requests end after {milliseconds(new.timeout_s)} at the latest, "
        f"before {milliseconds(old.timeout_s)}"
    ),
    "objective_s": lambda old, new: (
        f"latency target {milliseconds(new.objective_s)}, "
        f"before {milliseconds(old.objective_s)}"
    ),
    "priority": lambda old, new: (
        f"{'more' if new.priority < old.priority else 'less'} urgent when capacity is "
        f"short: priority {new.priority}, before {old.priority}"
    ),
    "max_attempts": lambda old, new: (
        f"at most {new.max_attempts} attempts for a failed request, "
        f"before {old.max_attempts}"
    ),
    "public": lambda old, new: (
        "callers need no key" if new.public else "callers need the key of an account"
    ),
    "resumable": lambda old, new: (
        "interrupted streams are resumed"
        if new.resumable
        else "interrupted streams are not resumed"
    ),
}


def describe_service(
    before: ServiceTraits | None, after: ServiceTraits | None, new: Configuration
) -> list[str]:
    """Return the effects of a difference of services."""
    if after is None:
        users = [
            route.name
            for route in new.routes
            if before.name in (target.service for target in route.targets)
        ]
        if users:
            names = ", ".join(map(repr, users))
            return [f"still a target of {names}, now without its limits and engines"]
        return ["its upstreams get no requests"]
    if before is None:
        return ["its upstreams may get requests"]
    return describe_fields(before, after)


def describe_fields(before: object, after: object, prefix: str = "") -> list[str]:
    """Return the old and the new value of each changed field, also of nested ones."""
    changes = []
    for item in fields(type(before)):
        old, new = getattr(before, item.name), getattr(after, item.name)
        name = prefix + item.name.replace("_", " ")
        if old == new:
            continue
        if isinstance(old, EngineTraits) and isinstance(new, EngineTraits):
            changes += describe_fields(old, new, f"{name} ")
        else:
            changes.append(f"{name} {show(new)}, before {show(old)}")
    return changes


def show(value: object) -> str:
    """Return a value of a field for messages."""
    if value is None:
        return "none"
    if isinstance(value, EngineTraits):
        return f"{value.slots} slots and {value.cache_tokens} tokens of cache"
    if isinstance(value, tuple):
        return ",".join(map(str, value)) or "none"
    return str(value)


def describe_account(
    before: ClientAccount | None,
    after: ClientAccount | None,
    old: Configuration,
    new: Configuration,
) -> list[str]:
    """Return the effects of a difference of accounts; keys are only counted."""
    effects = describe_keys(before, after, old, new)
    if after is None:
        if not new.accounts:
            effects.append("without accounts, no route requires a key")
        return effects
    if before is None:
        if not old.accounts:
            effects.append("routes that are not public require a key from now on")
        return effects + ([describe_quota(after.quota)] if after.quota else [])
    if before.priority != after.priority:
        effects.append(
            f"priority {show(after.priority)}, before {show(before.priority)}"
        )
    if before.isolated != after.isolated:
        verb = "no longer share" if after.isolated else "share"
        effects.append(f"requests {verb} cache entries with other accounts")
    if before.quota != after.quota:
        former = f"; before: {describe_quota(before.quota)}"
        effects.append(describe_quota(after.quota) + former)
    return effects or ["the same keys in another order; callers see no difference"]


def describe_keys(
    before: ClientAccount | None,
    after: ClientAccount | None,
    old: Configuration,
    new: Configuration,
) -> list[str]:
    """Return the effects of added and removed keys."""
    former = set(before.keys) if before else set()
    present = set(after.keys) if after else set()
    lost = former - present
    moved = {key for key in lost if key in new.accounts_by_key}
    gained = present - former
    known = {key for key in gained if key in old.accounts_by_key}
    unknown = len(lost - moved)
    effects = []
    if unknown:
        effects.append(f"callers with {count(unknown)} get 401 (unknown_key)")
    if moved:
        effects.append(f"{count(len(moved))} moved to another account")
    if gained - known:
        effects.append(f"{count(len(gained - known))} accepted from now on")
    if known:
        effects.append(f"{count(len(known))} moved here from another account")
    return effects or ([] if before and after else ["it has no keys"])


def count(keys: int) -> str:
    """Return a number of keys in words."""
    return f"{keys} key" if keys == 1 else f"{keys} keys"


def describe_quota(quota: Quota | None) -> str:
    """Return the effect of a quota."""
    if quota is None:
        return "requests have no quota"
    unit = "tokens" if quota.in_tokens else "requests"
    text = f"requests over {quota.rate_per_s:.12g} {unit}/s"
    text += f" (burst {quota.burst:.12g}) get 429"
    if quota.in_tokens:
        text += f"; without a size they cost {quota.cost(None):.12g}"
    return text


def describe_limits(before: ConnectionLimits, after: ConnectionLimits) -> list[str]:
    """Return the effects of changed limits of connections."""
    effects = []
    if before.head_bytes != after.head_bytes:
        effects.append(
            f"request heads over {after.head_bytes} bytes get 431, "
            f"before over {before.head_bytes}"
        )
    if before.body_bytes != after.body_bytes:
        effects.append(
            f"bodies over {after.body_bytes} bytes get 413, "
            f"before over {before.body_bytes}"
        )
    if before.head_timeout_s != after.head_timeout_s:
        effects.append(
            "callers have "
            f"{milliseconds(after.head_timeout_s)} to send a request head, "
            f"before {milliseconds(before.head_timeout_s)}"
        )
    if before.idle_timeout_s != after.idle_timeout_s:
        effects.append(
            f"connections close when idle for {milliseconds(after.idle_timeout_s)}, "
            f"before {milliseconds(before.idle_timeout_s)}"
        )
    return effects


RULE_EFFECTS: dict[type, tuple[str, str]] = {
    Account: ("callers with its key are accepted", "callers with its key get 401"),
    Model: ("callers may name the model", "callers that name the model get 404"),
    Upstream: ("it may get requests", "it gets no requests"),
    PlainService: ("callers may call the service", "callers of the service get 404"),
    Route: ("requests of the account are served", "another route or none serves them"),
    Limit: ("requests over the limit get 429", "another limit or none applies"),
}


def compare_rule_sets(old: RuleSet, new: RuleSet) -> list[Difference]:
    """Return the differences between two rule sets."""
    return [
        difference
        for rule_type in RULE_EFFECTS
        for difference in compare_entries(
            rule_type.__name__.lower(),
            index_rules(old, rule_type),
            index_rules(new, rule_type),
            rule_name,
            describe_rule,
        )
    ]


def index_rules(rules: RuleSet, rule_type: type) -> dict[str, Any]:
    """Return the rules of a type by name."""
    return {rule_name(rule): rule for rule in rules.rules if type(rule) is rule_type}


def rule_name(rule: Any) -> str:
    """Return the name of a rule, or what a route or limit is for."""
    if isinstance(rule, Route):
        return f"model={rule.model} account={rule.account}"
    if isinstance(rule, Limit):
        return f"account={rule.account}"
    return rule.name


def describe_rule(before: Any, after: Any) -> list[str]:
    """Return the effects of a difference of rules."""
    added, removed = RULE_EFFECTS[type(before if after is None else after)]
    if before is None:
        return [added]
    if after is None:
        return [removed]
    if isinstance(after, Account):
        return ["another key; callers with the former one get 401"]
    return describe_fields(before, after)
