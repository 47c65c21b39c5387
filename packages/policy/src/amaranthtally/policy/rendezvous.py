"""Rendezvous hashing: processes rank candidates alike without communicating."""

from hashlib import blake2b

__all__ = ["rendezvous_weight"]

WEIGHT_BYTES = 8


def rendezvous_weight(name: str, key: str) -> bytes:
    """Return the weight of a candidate for a key; the least weight ranks first."""
    return blake2b(f"{name}/{key}".encode(), digest_size=WEIGHT_BYTES).digest()
