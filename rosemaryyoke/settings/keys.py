"""Keys that follow from the hosts' shared key."""

import hashlib
import hmac


def operator_key(shared_key: str) -> str:
    """Return the key that operator requests bear."""
    return hmac.new(shared_key.encode(), b"operator", hashlib.sha256).hexdigest()
