"""Rendezvous hashing: processes rank candidates alike without communicating."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rendezvous_weight", "ring_successor"]

WEIGHT_BYTES = 8
RING_KEY = "ring"


def rendezvous_weight(name: str, key: str) -> bytes:
    """Return the weight of a candidate for a key; the least weight ranks first."""
    return blake2b(f"{name}/{key}".encode(), digest_size=WEIGHT_BYTES).digest()


def ring_successor(name: str, others: Iterable[str]) -> str:
    """Return the member that follows a name in a ring by hash; "" without others."""
    own = rendezvous_weight(name, RING_KEY)
    weights = {other: rendezvous_weight(other, RING_KEY) for other in others}
    return min(weights, key=lambda o: (weights[o] <= own, weights[o]), default="")
