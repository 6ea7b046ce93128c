"""Split a prompt into fixed-size blocks with chained hashes.

A block's hash covers the block, all text before it and the scope (client account,
model, adapter, weights version). Two hashes match only if both the prefix and the scope
are equal.
"""

import hashlib

from attrs import frozen

BLOCK_BYTES = 64
BLOCK_TOKENS = 16
HASH_BYTES = 16

Chain = list[bytes]


@frozen
class Scope:
    """Attributes that must be equal for cached blocks to be interchangeable."""

    account: str
    model: str
    weights: str
    adapter: str = ""

    def salt(self) -> bytes:
        """Return the initial hash of every chain in this scope."""
        digest = hashlib.blake2b(digest_size=HASH_BYTES)
        for part in (self.account, self.model, self.weights, self.adapter):
            raw = part.encode()
            digest.update(len(raw).to_bytes(4, "big"))
            digest.update(raw)
        return digest.digest()


def hash_blocks(scope: Scope, prompt: str) -> Chain:
    """Return the hashes of the prompt's complete blocks, in prompt order."""
    raw = prompt.encode()
    parent_hash = scope.salt()
    chain = []
    for start in range(0, len(raw) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = raw[start : start + BLOCK_BYTES]
        parent_hash = hashlib.blake2b(
            block, digest_size=HASH_BYTES, key=parent_hash
        ).digest()
        chain.append(parent_hash)
    return chain


def count_tokens(prompt: str) -> int:
    """Return the estimated number of tokens in a prompt, from its length in bytes."""
    return -(-len(prompt.encode()) * BLOCK_TOKENS // BLOCK_BYTES)
