"""Quarantine of prompt parts that crash the engines that answer on them."""

from rosemaryyoke.quarantine.bans import Ban
from rosemaryyoke.quarantine.outcomes import (
    PromptOutcome,
    attempt_key,
    part_key,
    prompt_keys,
)
from rosemaryyoke.quarantine.quarantine import Quarantine, format_keys

__all__ = [
    "Ban",
    "PromptOutcome",
    "Quarantine",
    "attempt_key",
    "format_keys",
    "part_key",
    "prompt_keys",
]
