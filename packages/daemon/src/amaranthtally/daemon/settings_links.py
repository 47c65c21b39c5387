"""Chooses the sidecars to which a process announces its settings revision."""

from bisect import bisect
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest
from typing import Any, NamedTuple

from amaranthtally.settings import Tree
from amaranthtally.settings.catalogue import ENDPOINT_PREFIX

__all__ = ["LinkPlan", "choose_links", "endpoint_registrations"]

HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """Number of sidecars taken from the ring and number selected by hash."""

    ring: int
    hashed: int


class _RingPosition(NamedTuple):
    """An endpoint on the ring; sorting by region first makes most links regional."""

    region: str
    rank: bytes
    id: str
    address: str


def endpoint_registrations(tree: Tree) -> dict[str, Any]:
    """Return the endpoint registrations, from which links are chosen, by key."""
    return {k: v for _, k, v in tree.items() if k.startswith(ENDPOINT_PREFIX)}


def choose_links(
    endpoints: Mapping[str, Any],
    process_name: str,
    plan: LinkPlan,
    other_endpoints: Iterable[str] = (),
) -> tuple[str, ...]:
    """
    Return the addresses of the sidecars to which a process announces its revision.

    ``process_name`` is the name of an entry or of a sidecar's first endpoint;
    ``other_endpoints`` holds the sidecar's other endpoints.

    Links along the ring ensure that some process announces revisions to every sidecar,
    also to one that restarted without settings. Links selected by hash keep the number
    of hops across the fleet small. Every process derives its links from the tree, so
    they need no coordination. The ring is followed from each endpoint of a process:
    from the first alone, some sidecars would have no process announcing to them.
    """
    names = (process_name, *other_endpoints)
    own_endpoint_keys = {ENDPOINT_PREFIX + name for name in names}
    positions = sorted(
        _RingPosition(value["region"], _rank(key), key, value["address"])
        for key, value in endpoints.items()
        if key not in own_endpoint_keys
    )
    chosen: list[_RingPosition] = []
    for key in sorted(own_endpoint_keys & endpoints.keys()):
        start = (endpoints[key]["region"], _rank(key))
        chosen += _successors(positions, start, plan.ring)
    chosen += nsmallest(
        plan.hashed, positions, key=lambda position: _rank(process_name + position.id)
    )
    return tuple(dict.fromkeys(position.address for position in chosen))


def _successors(
    positions: list[_RingPosition], start: tuple[str, bytes], count: int
) -> list[_RingPosition]:
    first = bisect(positions, start)
    following = positions[first : first + count]
    return following + positions[: count - len(following)]


def _rank(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=HASH_BYTES).digest()
