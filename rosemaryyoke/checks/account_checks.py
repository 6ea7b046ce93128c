"""Checks of client accounts and their quotas.

API keys are secrets: messages name the place of a key, never a part of it.
"""

from rosemaryyoke.catalog import Quota
from rosemaryyoke.checks.declared import DeclaredConfiguration
from rosemaryyoke.checks.findings import ERROR, WARNING
from rosemaryyoke.checks.registry import Findings, configuration_check
from rosemaryyoke.checks.route_checks import default_setting

USUAL_REQUEST_TOKENS = 9_200  # the larger of the usual sizes in today's traffic


@configuration_check("duplicate_account", ERROR)
def find_duplicate_accounts(declared: DeclaredConfiguration) -> Findings:
    """Find accounts with the name of an earlier one."""
    names: set[str] = set()
    for index, account in enumerate(declared.configuration.accounts):
        if account.name in names:
            message = f"another account is named {account.name!r}"
            yield ("accounts", index, "name"), message
        names.add(account.name)


@configuration_check("duplicate_key", ERROR)
def find_shared_keys(declared: DeclaredConfiguration) -> Findings:
    """Find keys that belong to two accounts; only the last one is charged."""
    owners: dict[str, int] = {}
    accounts = declared.configuration.accounts
    for index, account in enumerate(accounts):
        for position, key in enumerate(account.keys):
            owner = owners.setdefault(key, index)
            if owner != index:
                message = f"account {accounts[owner].name!r} has the same key"
                yield ("accounts", index, "keys", position), message


@configuration_check("repeated_key", WARNING)
def find_repeated_keys(declared: DeclaredConfiguration) -> Findings:
    """Find keys that an account has twice."""
    for index, account in enumerate(declared.configuration.accounts):
        for position, key in enumerate(account.keys):
            if key in account.keys[:position]:
                message = "the account has this key already"
                yield ("accounts", index, "keys", position), message


@configuration_check("unusable_key", ERROR)
def find_unusable_keys(declared: DeclaredConfiguration) -> Findings:
    """Find keys that no request header can carry unchanged."""
    for index, account in enumerate(declared.configuration.accounts):
        for position, key in enumerate(account.keys):
            if key != key.strip() or not (key.isascii() and key.isprintable()):
                message = "no header can carry this key: spaces or special characters"
                yield ("accounts", index, "keys", position), message


@configuration_check("account_without_key", WARNING)
def find_accounts_without_key(declared: DeclaredConfiguration) -> Findings:
    """Find accounts that no caller can use."""
    for index, account in enumerate(declared.configuration.accounts):
        if not account.keys:
            yield ("accounts", index), f"account {account.name!r} has no key"


@configuration_check("burst_without_rate", WARNING)
def find_bursts_without_rate(declared: DeclaredConfiguration) -> Findings:
    """Find quotas with a burst and no rate, which limit nothing."""
    for index, quota in enumerate(declared.quotas):
        if quota is not None and quota.burst and not quota.rate_per_s:
            message = "without a rate there is no quota, so that the burst is ignored"
            yield ("accounts", index, "burst"), message


@configuration_check("burst_below_request", WARNING)
def find_bursts_below_request(declared: DeclaredConfiguration) -> Findings:
    """Find bursts that are smaller than the least request, also missing ones.

    Hosts admit requests nevertheless, but fewer at once than the quota seems to say.
    """
    for index, quota in enumerate(declared.quotas):
        if quota is None or not quota.rate_per_s:
            continue
        cost = quota.cost(None)
        if quota.burst < cost:
            message = f"a burst of {amount(quota, quota.burst)} is below one request"
            if quota.in_tokens:
                message += f", which costs {cost:.12g}"
            yield ("accounts", index, "burst"), message


@configuration_check("quota_below_request", WARNING)
def find_quotas_below_request(declared: DeclaredConfiguration) -> Findings:
    """Find quotas that one request of usual size exceeds in a whole window."""
    window_s = default_setting("quota_window_s")
    for index, quota in enumerate(declared.quotas):
        if quota is None or not quota.rate_per_s:
            continue
        allowed = quota.rate_per_s * window_s + quota.burst
        usual = USUAL_REQUEST_TOKENS if quota.in_tokens else 1
        if allowed < usual:
            message = (
                f"{window_s:g} s allow {amount(quota, allowed)}; "
                f"one request of usual size costs {amount(quota, usual)}"
            )
            yield ("accounts", index, "rate_per_s"), message


def amount(quota: Quota, value: float) -> str:
    """Return an amount with the unit of a quota."""
    unit = "tokens" if quota.in_tokens else "requests"
    return f"{value:.12g} {unit}"
