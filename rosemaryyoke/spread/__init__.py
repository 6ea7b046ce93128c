"""Publishing and distribution of rules revisions."""

from rosemaryyoke.spread.exchange import RevisionExchange
from rosemaryyoke.spread.manifest import Manifest, decode_manifest, encode_manifest
from rosemaryyoke.spread.publish import Published, PublishError, publish_rules
from rosemaryyoke.spread.revisions import Revisions

__all__ = [
    "Manifest",
    "PublishError",
    "Published",
    "RevisionExchange",
    "Revisions",
    "decode_manifest",
    "encode_manifest",
    "publish_rules",
]
