"""Deterministic text of the stand-in engines.

Each token follows from all text before it, so that generation may go on anywhere
from the prompt and the tokens so far.
"""

import hashlib

VOCABULARY = (
    "bark cedar chain custody dune ember fern grove harbour iris juniper kelp "
    "larch maple nectar olive pine quartz rose sage thyme umber violet willow"
).split()


class TokenSource:
    """Produce the tokens that follow a text."""

    def __init__(self, text: str):
        self.state = hashlib.blake2b(text.encode(), digest_size=8)

    def next(self) -> str:
        """Return the next token."""
        number = int.from_bytes(self.state.digest(), "big")
        token = VOCABULARY[number % len(VOCABULARY)] + " "
        self.state.update(token.encode())
        return token


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that an engine answers a prompt with."""
    source = TokenSource(prompt)
    return "".join(source.next() for _ in range(tokens))
