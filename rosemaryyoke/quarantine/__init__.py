"""Quarantine of requests and prompt parts that crash the engines that run them."""

from rosemaryyoke.quarantine.bans import Ban
from rosemaryyoke.quarantine.fingerprints import fingerprint
from rosemaryyoke.quarantine.outcomes import (
    NO_FINGERPRINT,
    PromptOutcome,
    part_key,
    prompt_keys,
    request_key,
)
from rosemaryyoke.quarantine.prefixes import prefix_keys
from rosemaryyoke.quarantine.quarantine import (
    Quarantine,
    Refusal,
    format_key,
    format_keys,
)

__all__ = [
    "Ban",
    "NO_FINGERPRINT",
    "PromptOutcome",
    "Quarantine",
    "Refusal",
    "fingerprint",
    "format_key",
    "format_keys",
    "part_key",
    "prefix_keys",
    "prompt_keys",
    "request_key",
]
