"""Keys derived from the shared key of the hosts."""

import hashlib
import hmac


def operator_key(shared_key: str) -> str:
    """Return the bearer key of operator requests."""
    return hmac.new(shared_key.encode(), b"operator", hashlib.sha256).hexdigest()
