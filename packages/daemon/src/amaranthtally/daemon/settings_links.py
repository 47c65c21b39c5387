"""Which sidecars a process tells of newer settings."""

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
    """How many sidecars next on the ring, and how many drawn by hash."""

    ring: int
    drawn: int


class _Place(NamedTuple):
    """An endpoint's place on the ring; neighbours are mostly of one region."""

    region: str
    rank: bytes
    id: str
    address: str


def endpoint_registrations(tree: Tree) -> dict[str, Any]:
    """Return the registrations on which the links depend, by key."""
    return {k: v for _, k, v in tree.items() if k.startswith(ENDPOINT_PREFIX)}


def choose_links(
    endpoints: Mapping[str, Any], own: str, plan: LinkPlan, beside: Iterable[str] = ()
) -> tuple[str, ...]:
    """
    Return the addresses of the sidecars that ``own`` tells.

    The ring gives every sidecar someone who tells it, so one that restarted with
    nothing is found; the drawn links make the way across the fleet short. Every
    process computes its own links from the tree: nobody has to agree on them.
    A process tells whoever comes next on the ring after any of its endpoints, those
    ``beside`` its first one too: some endpoint would have nobody otherwise.
    """
    names = (own, *beside)
    own_keys = {ENDPOINT_PREFIX + name for name in names}
    places = sorted(
        _Place(value["region"], _rank(key), key, value["address"])
        for key, value in endpoints.items()
        if key not in own_keys
    )
    chosen: list[_Place] = []
    for key in sorted(own_keys & endpoints.keys()):
        here = (endpoints[key]["region"], _rank(key))
        chosen += _next_on_ring(places, here, plan.ring)
    chosen += nsmallest(plan.drawn, places, key=lambda place: _rank(own + place.id))
    return tuple(dict.fromkeys(place.address for place in chosen))


def _next_on_ring(
    places: list[_Place], here: tuple[str, bytes], count: int
) -> list[_Place]:
    start = bisect(places, here)
    found = places[start : start + count]
    return found + places[: count - len(found)]


def _rank(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=HASH_BYTES).digest()
