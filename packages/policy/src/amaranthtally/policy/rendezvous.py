"""Rendezvous hashing: processes rank candidates alike without communicating."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

__all__ = ["duty_holder", "duty_weight", "rendezvous_weight", "ring_successor"]

WEIGHT_BYTES = 8
RING_KEY = "ring"
# Weights that are kept, for a few duties of each entry of a large fleet.
MAX_KEPT_WEIGHTS = 8192


def rendezvous_weight(name: str, key: str) -> bytes:
    """Return the weight of a candidate for a key; the least weight ranks first."""
    return blake2b(f"{name}/{key}".encode(), digest_size=WEIGHT_BYTES).digest()


@lru_cache(MAX_KEPT_WEIGHTS)
def duty_weight(name: str, duty: str) -> bytes:
    """
    Return the weight of an entry for one of a few duties.

    All entries are ranked at each change of their set: while a fleet starts, hashing
    them anew each time would be most of the work.
    """
    return rendezvous_weight(name, duty)


def duty_holder(names: Iterable[str], duty: str) -> str:
    """Return the entry, of at least one, that has a duty."""
    return min(names, key=lambda name: duty_weight(name, duty))


def ring_successor(name: str, others: Iterable[str]) -> str:
    """Return the member that follows a name in a ring by hash; "" without others."""
    own = duty_weight(name, RING_KEY)
    return min(
        others,
        key=lambda other: (
            duty_weight(other, RING_KEY) <= own,
            duty_weight(other, RING_KEY),
        ),
        default="",
    )
