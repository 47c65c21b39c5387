"""Index of the endpoints that are known to cache a prompt prefix."""

from collections import OrderedDict
from typing import NamedTuple

from amaranthtally.policy.events import CacheEvent

__all__ = ["PrefixIndex", "PrefixMatch"]

CAPACITY = 16_384
MAX_HOLDERS = 3
ENTRY_TTL_S = 60.0


class _Holder(NamedTuple):
    endpoint: str
    epoch: int
    added_at: float


class PrefixMatch(NamedTuple):
    """An endpoint and the share of a prefix that it caches, from 0 to 1."""

    endpoint: str
    share: float


class PrefixIndex:
    """
    The latest endpoints known to cache each prefix block, at most ``capacity`` blocks.

    The least recently added block is dropped first. Cache events arrive late and may
    be lost. After a gap an eviction may have been missed, and the endpoint would keep
    attracting requests for a prefix that it no longer caches. A gap therefore starts a
    new epoch of the endpoint, and entries of earlier epochs are ignored, as are
    entries older than ``ENTRY_TTL_S``.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._holders: OrderedDict[int, tuple[_Holder, ...]] = OrderedDict()
        self._epochs: dict[str, int] = {}
        self._serials: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add_run(self, now: float, endpoint: str, prefix: tuple[int, ...]) -> None:
        """Add the blocks of a request that an endpoint has just run."""
        self._add(now, endpoint, prefix)

    def apply_event(self, now: float, endpoint: str, event: CacheEvent) -> None:
        """Apply an endpoint's cache event, unless a later one was applied already."""
        last_serial = self._serials.get(endpoint)
        if last_serial is not None and event.serial <= last_serial:
            return
        if last_serial is not None and event.serial != last_serial + 1:
            self.invalidate(endpoint)
        self._serials[endpoint] = event.serial
        for block in event.removed:
            self._remove(endpoint, block)
        self._add(now, endpoint, event.stored)

    def invalidate(self, endpoint: str) -> None:
        """Ignore all present entries of an endpoint from now on."""
        self._epochs[endpoint] = self._epochs.get(endpoint, 0) + 1

    def matches(
        self, now: float, prefix: tuple[int, ...], sizes: tuple[int, ...] = ()
    ) -> list[PrefixMatch]:
        """
        Return the endpoints that cache the longest known prefix, longest first.

        ``sizes`` holds the weight of each block in the share; by default all blocks
        have the same weight.
        """
        shares: dict[str, float] = {}
        sizes = sizes or (1,) * len(prefix)
        total = max(1, sum(sizes))
        for index in range(len(prefix) - 1, -1, -1):
            for holder in self._holders.get(prefix[index], ()):
                if self._is_valid(now, holder) and holder.endpoint not in shares:
                    shares[holder.endpoint] = sum(sizes[: index + 1]) / total
            if len(shares) >= MAX_HOLDERS:
                break
        return [PrefixMatch(endpoint, share) for endpoint, share in shares.items()]

    def _is_valid(self, now: float, holder: _Holder) -> bool:
        current = holder.epoch == self._epochs.get(holder.endpoint, 0)
        return current and now - holder.added_at <= ENTRY_TTL_S

    def _add(self, now: float, endpoint: str, blocks: tuple[int, ...]) -> None:
        new = _Holder(endpoint, self._epochs.get(endpoint, 0), now)
        for block in blocks:
            old = self._holders.pop(block, ())
            others = tuple(h for h in old if h.endpoint != endpoint)
            self._holders[block] = (new, *others[: MAX_HOLDERS - 1])
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def _remove(self, endpoint: str, block: int) -> None:
        holders = self._holders.get(block)
        if holders is None:
            return
        remaining = tuple(h for h in holders if h.endpoint != endpoint)
        if remaining:
            self._holders[block] = remaining
        else:
            del self._holders[block]
