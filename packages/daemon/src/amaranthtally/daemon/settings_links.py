"""Which sidecars a process tells of newer settings."""

from bisect import bisect
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest

from amaranthtally.settings import Tree
from amaranthtally.settings.catalogue import ENDPOINT_PREFIX

__all__ = ["LinkPlan", "choose_links"]

HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """How many sidecars next on the ring, and how many drawn by hash."""

    ring: int
    drawn: int


@dataclass(frozen=True, slots=True, order=True)
class _Place:
    """An endpoint's place on the ring; neighbours are mostly of one region."""

    region: str
    rank: bytes
    id: str
    address: str


def choose_links(tree: Tree, own: str, plan: LinkPlan) -> tuple[str, ...]:
    """
    Return the addresses of the sidecars that ``own`` tells.

    The ring gives every sidecar someone who tells it, so one that restarted with
    nothing is found; the drawn links make the way across the fleet short. Every
    process computes its own links from the tree: nobody has to agree on them.
    """
    places = sorted(
        _Place(value["region"], _rank(key), key, value["address"])
        for _, key, value in tree.items()
        if key.startswith(ENDPOINT_PREFIX)
    )
    own_key = ENDPOINT_PREFIX + own
    here = next((place for place in places if place.id == own_key), None)
    others = [place for place in places if place.id != own_key]
    chosen = [] if here is None else _next_on_ring(others, here, plan.ring)
    chosen += nsmallest(plan.drawn, others, key=lambda place: _rank(own + place.id))
    return tuple(dict.fromkeys(place.address for place in chosen))


def _next_on_ring(others: list[_Place], here: _Place, count: int) -> list[_Place]:
    start = bisect(others, here)
    turned = others[start:] + others[:start]
    return turned[:count]


def _rank(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=HASH_BYTES).digest()
