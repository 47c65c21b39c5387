"""
The bytes that a process holds for callers, by owner.

Workload: callers that read slowly on all entries, and a thousand of them on one entry.
"""

from collections.abc import Hashable
from math import inf

__all__ = ["MemoryBudget", "build_memory_budget", "usable_bytes"]

# New work may fill this share of the limit. The rest is for the responses to work in
# progress, so that an entry refuses new work before it ends a stream.
ADMITTED_SHARE = 0.9
# The same for work that is expected to hold much, so that small work beside it is not
# refused, and how much that is, in bytes.
LARGE_ADMITTED_SHARE = 0.75
LARGE_BYTES = 65_536
# The share of a process's memory that is left to what is not counted: the buffers of
# sockets, and blocks that the allocator cannot use again.
UNCOUNTED_SHARE = 0.125
# The least share of the memory that callers may use. Memory that was used and is kept
# by the allocator looks like the process's own need.
LEAST_SHARE = 0.125


class MemoryBudget:
    """
    Totals of held bytes, under a limit in bytes.

    ``hold`` never refuses, as what is held has arrived already. The caller of it ends
    the work of ``largest`` while ``used`` is above ``limit``.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._used = 0
        self._held: dict[Hashable, int] = {}

    @property
    def limit(self) -> float:
        """The limit in bytes; infinite if there is none."""
        return self._limit

    @property
    def used(self) -> int:
        """The bytes that all owners hold together."""
        return self._used

    def set_limit(self, limit: float) -> None:
        """Replace the limit; what is held stays."""
        self._limit = limit

    def admits(self, size: int) -> bool:
        """Whether new work of this size fits beside what is held."""
        share = LARGE_ADMITTED_SHARE if size > LARGE_BYTES else ADMITTED_SHARE
        return self._used + size <= share * self._limit

    def held(self, owner: Hashable) -> int:
        """Return the bytes that an owner holds."""
        return self._held.get(owner, 0)

    def hold(self, owner: Hashable, size: int) -> None:
        """Add bytes that an owner holds."""
        self._used += size
        self._held[owner] = self._held.get(owner, 0) + size

    def release(self, owner: Hashable, size: int) -> None:
        """Remove bytes that an owner no longer holds; at most what it does hold."""
        left = self._held.get(owner, 0) - size
        self._used -= size + min(left, 0)
        if left > 0:
            self._held[owner] = left
        else:
            self._held.pop(owner, None)

    def largest(self) -> Hashable | None:
        """Return the owner that holds the most; ``None`` if nothing is held."""
        return max(self._held, key=self._held.__getitem__, default=None)


def build_memory_budget(limit: float = inf) -> MemoryBudget:
    """Return an empty budget with a limit in bytes."""
    return MemoryBudget(limit)


def usable_bytes(memory: float, own: float) -> float:
    """Return the limit for a process of some memory that needs ``own`` for itself."""
    return max((1 - UNCOUNTED_SHARE) * memory - own, LEAST_SHARE * memory)
