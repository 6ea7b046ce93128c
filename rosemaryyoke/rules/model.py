"""Data model of rules, and indexed rule sets."""

import hashlib
import hmac
from functools import cached_property

from attrs import define, field, frozen

ANY = "*"
SERVICE_KIND = "service"
ENGINE_KIND = "engine"
STORE_KIND = "kv-store"


@frozen
class Account:
    """A client account and the digest of its API key."""

    name: str
    key_sha256: bytes


@frozen
class Model:
    """A model, its wanted weights version, and its loading parameters."""

    name: str
    weights: str
    adapters: tuple[str, ...] = ()
    load_concurrency: int = 1
    floor: int = 1


@frozen
class Upstream:
    """An engine, an instance of a plain service, or a KV cache store."""

    name: str
    kind: str
    address: str
    data_centre: str
    serves: str = ""
    fencing: bool = False
    slots: int = 64


@frozen
class UnsafeCall:
    """The method and path prefix of non-idempotent calls."""

    method: str
    path: str


@frozen
class PlainService:
    """A plain service and its non-idempotent calls."""

    name: str
    unsafe: tuple[UnsafeCall, ...] = ()
    lookup: str = ""

    def is_unsafe(self, method: str, path: str) -> bool:
        """Return whether a call must be executed at most once."""
        return any(
            call.method == method and path.startswith(call.path) for call in self.unsafe
        )


@frozen
class Route:
    """The engines that serve an account's requests for a model."""

    model: str
    account: str = ANY
    upstreams: tuple[str, ...] = (ANY,)
    priority: int = 1
    ttft_ms: int = 1200


@frozen
class Limit:
    """Usage limits of a client account; 0 means unlimited."""

    account: str
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


Rule = Account | Model | Upstream | PlainService | Route | Limit


def digest_key(api_key: str) -> str:
    """Return the hexadecimal digest that identifies an API key in rules."""
    return hashlib.sha256(api_key.encode()).hexdigest()


@define(slots=False)
class RuleSet:
    """All rules of one revision, indexed for lookups."""

    rules: tuple[Rule, ...] = ()
    revision: int = 0
    accounts: dict[str, Account] = field(init=False, factory=dict)
    models: dict[str, Model] = field(init=False, factory=dict)
    upstreams: dict[str, Upstream] = field(init=False, factory=dict)
    services: dict[str, PlainService] = field(init=False, factory=dict)
    limits: dict[str, Limit] = field(init=False, factory=dict)
    routes: dict[str, list[Route]] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for rule in self.rules:
            if isinstance(rule, Route):
                self.routes.setdefault(rule.model, []).append(rule)
            elif isinstance(rule, Limit):
                self.limits[rule.account] = rule
            else:
                self._table(rule)[rule.name] = rule

    def _table(self, rule: Rule) -> dict[str, Rule]:
        tables = {
            Account: self.accounts,
            Model: self.models,
            Upstream: self.upstreams,
            PlainService: self.services,
        }
        return tables[type(rule)]

    @cached_property
    def account_by_key(self) -> dict[bytes, Account]:
        """Return the accounts indexed by key digest."""
        return {account.key_sha256: account for account in self.accounts.values()}

    def find_account(self, api_key: str) -> Account | None:
        """Return the account of an API key; digests are compared in constant time."""
        digest = hashlib.sha256(api_key.encode("utf-8", "replace")).digest()
        account = self.account_by_key.get(digest)
        if account is None or not hmac.compare_digest(digest, account.key_sha256):
            return None
        return account

    def find_route(self, model: str, account: str) -> Route | None:
        """Return the route of an account, or the route for any account."""
        routes = self.routes.get(model, [])
        for wanted in (account, ANY):
            for route in routes:
                if route.account == wanted:
                    return route
        return None

    def find_limit(self, account: str) -> Limit:
        """Return the account's limit, or the limit for any account."""
        return self.limits.get(account) or self.limits.get(ANY) or Limit(account)

    def engines_of(self, route: Route) -> list[Upstream]:
        """Return the engines eligible for a route."""
        return [
            upstream
            for upstream in self.upstreams_of(ENGINE_KIND, route.model)
            if ANY in route.upstreams or upstream.name in route.upstreams
        ]

    def upstreams_of(self, kind: str, serves: str = "") -> list[Upstream]:
        """Return the upstreams of a kind, optionally for one model or service."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.kind == kind and serves in ("", upstream.serves)
        ]
