"""Which endpoints hold which cached prefix, as far as is known."""

from collections import OrderedDict
from typing import NamedTuple

from amaranthtally.policy.events import CacheEvent

__all__ = ["PrefixIndex", "PrefixMatch"]

CAPACITY = 16_384
HOLDERS = 3
TRUSTED_S = 60.0


class _Holder(NamedTuple):
    endpoint: str
    epoch: int
    at: float


class PrefixMatch(NamedTuple):
    """An endpoint and the share of a prefix that it holds, from 0 to 1."""

    endpoint: str
    share: float


class PrefixIndex:
    """
    Prefix blocks and their latest holders, bounded, oldest dropped first.

    Cache events come late and with gaps. After a gap an eviction may have been
    missed, and the endpoint would draw requests for a prefix that it has lost;
    so a gap starts a new epoch for the endpoint, and older entries no longer
    count. Entries also stop counting after ``TRUSTED_S`` seconds.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._holders: OrderedDict[int, tuple[_Holder, ...]] = OrderedDict()
        self._epochs: dict[str, int] = {}
        self._serials: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def add_run(self, now: float, endpoint: str, prefix: tuple[int, ...]) -> None:
        """Note that an endpoint has just run a request with this prefix."""
        self._add(now, endpoint, prefix)

    def apply_event(self, now: float, endpoint: str, event: CacheEvent) -> None:
        """Take an endpoint's cache event; one older than the last is ignored."""
        last = self._serials.get(endpoint)
        if last is not None and event.serial <= last:
            return
        if last is not None and event.serial != last + 1:
            self.invalidate(endpoint)
        self._serials[endpoint] = event.serial
        for block in event.removed:
            self._remove(endpoint, block)
        self._add(now, endpoint, event.stored)

    def invalidate(self, endpoint: str) -> None:
        """Trust nothing that was known of an endpoint's cache."""
        self._epochs[endpoint] = self._epochs.get(endpoint, 0) + 1

    def matches(
        self, now: float, prefix: tuple[int, ...], sizes: tuple[int, ...] = ()
    ) -> list[PrefixMatch]:
        """
        Return the holders of the longest known prefix, longest first.

        ``sizes`` weighs its blocks; without it they count alike.
        """
        found: dict[str, float] = {}
        sizes = sizes or (1,) * len(prefix)
        whole = max(1, sum(sizes))
        for index in range(len(prefix) - 1, -1, -1):
            for holder in self._holders.get(prefix[index], ()):
                if self._trusted(now, holder) and holder.endpoint not in found:
                    found[holder.endpoint] = sum(sizes[: index + 1]) / whole
            if len(found) >= HOLDERS:
                break
        return [PrefixMatch(endpoint, share) for endpoint, share in found.items()]

    def _trusted(self, now: float, holder: _Holder) -> bool:
        current = holder.epoch == self._epochs.get(holder.endpoint, 0)
        return current and now - holder.at <= TRUSTED_S

    def _add(self, now: float, endpoint: str, blocks: tuple[int, ...]) -> None:
        new = _Holder(endpoint, self._epochs.get(endpoint, 0), now)
        for block in blocks:
            old = self._holders.pop(block, ())
            others = tuple(h for h in old if h.endpoint != endpoint)
            self._holders[block] = (new, *others[: HOLDERS - 1])
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def _remove(self, endpoint: str, block: int) -> None:
        holders = self._holders.get(block)
        if holders is None:
            return
        left = tuple(h for h in holders if h.endpoint != endpoint)
        if left:
            self._holders[block] = left
        else:
            del self._holders[block]
