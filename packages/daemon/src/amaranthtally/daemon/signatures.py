"""HMAC signatures with keys from the settings: two keys during a key rotation."""

import hmac
from collections.abc import Sequence

__all__ = ["KeyRing"]

DIGEST = "sha256"


class KeyRing:
    """Signs with the first key and verifies with any, so that keys can be rotated."""

    def __init__(self, keys: Sequence[str]) -> None:
        self._keys = [key.encode() for key in keys]

    def __bool__(self) -> bool:
        return bool(self._keys)

    def sign(self, body: bytes) -> bytes:
        """Return the signature of a body; raises ``IndexError`` if there is no key."""
        return hmac.digest(self._keys[0], body, DIGEST)

    def accepts(self, body: bytes, signature: bytes) -> bool:
        """Return whether ``signature`` was made from ``body`` with one of the keys."""
        # Compares with every key, in constant time, so that the time taken reveals
        # nothing about the signature.
        matches = [
            hmac.compare_digest(signature, hmac.digest(key, body, DIGEST))
            for key in self._keys
        ]
        return any(matches)
