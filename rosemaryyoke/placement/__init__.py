"""Choice of an engine for a prompt, by cached prefixes and predicted latency."""

from rosemaryyoke.placement.blocks import Chain, Scope, count_tokens, hash_blocks
from rosemaryyoke.placement.fleet import Choice, EngineView, Fleet
from rosemaryyoke.placement.policies import PlacementRequest, Policy, policies
from rosemaryyoke.placement.prefixes import PrefixIndex
from rosemaryyoke.placement.rendezvous import rank

__all__ = [
    "Chain",
    "Choice",
    "EngineView",
    "Fleet",
    "PlacementRequest",
    "Policy",
    "PrefixIndex",
    "Scope",
    "count_tokens",
    "hash_blocks",
    "policies",
    "rank",
]
