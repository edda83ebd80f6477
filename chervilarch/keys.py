"""Hashes of secret keys, which are stored in place of the keys."""

import hashlib
import hmac


def key_digest(key: str) -> str:
    """Returns the hash of a caller's or operator's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches(key: str, digest: str) -> bool:
    """Returns whether a key has a given hash, compared in constant time."""
    return hmac.compare_digest(key_digest(key), digest)
