"""Checks of the limits for callers' connections."""

from rosemaryyoke.checks.declared import DeclaredConfiguration
from rosemaryyoke.checks.findings import ERROR
from rosemaryyoke.checks.registry import Findings, configuration_check

# Names and short values of the ten usual header fields, and eight prompt parts of 64
# characters; the longest path, host, key and model are added.
OTHER_FIELDS_BYTES = 1_024


def needed_head_bytes(declared: DeclaredConfiguration) -> int:
    """Return the size of the largest request head that callers need."""
    configuration = declared.configuration
    routes = configuration.routes
    line = max((len(item.host) + len(item.path_prefix) for item in routes), default=0)
    keys = [len(key) for item in configuration.accounts for key in item.keys]
    engines = [item.engine for item in declared.services if item.engine is not None]
    models = [len(model) for engine in engines for model in engine.models]
    return line + max(keys, default=0) + max(models, default=0) + OTHER_FIELDS_BYTES


@configuration_check("head_limit_too_small", ERROR)
def find_small_head_limit(declared: DeclaredConfiguration) -> Findings:
    """Find a limit on request heads that refuses ordinary requests."""
    limit, needed = declared.configuration.limits.head_bytes, needed_head_bytes(
        declared
    )
    if limit < needed:
        message = f"request heads need about {needed} bytes, the limit is {limit}"
        yield ("limits", "head_bytes"), message
