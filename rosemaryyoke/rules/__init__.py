"""Operator rules: data model, verbs, parser and chunks."""

from rosemaryyoke.rules.chunks import Chunk, join_chunks, make_chunk, split_chunks
from rosemaryyoke.rules.errors import RuleFault
from rosemaryyoke.rules.model import (
    Account,
    Limit,
    Model,
    PlainService,
    Route,
    RuleSet,
    UnsafeCall,
    Upstream,
    digest_key,
)
from rosemaryyoke.rules.parser import (
    ParsedText,
    combine_texts,
    parse_rules,
    parse_text,
)

__all__ = [
    "Account",
    "Chunk",
    "Limit",
    "Model",
    "ParsedText",
    "PlainService",
    "Route",
    "RuleFault",
    "RuleSet",
    "UnsafeCall",
    "Upstream",
    "combine_texts",
    "digest_key",
    "join_chunks",
    "make_chunk",
    "parse_rules",
    "parse_text",
    "split_chunks",
]
