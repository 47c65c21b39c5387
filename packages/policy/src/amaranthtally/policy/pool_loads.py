"""Sums over a pool's endpoints, and how far their reports are believed."""

from amaranthtally.policy.slopes import FadingSlope

__all__ = ["PoolLoad", "faded_by_silence"]

STALE_S = 5.0
MOST_ON_THE_WAY = 4.0
# Own attempts that come and go in a few reports outweigh the prior.
FOLLOWING_PRIOR_VARIANCE = 0.2


class PoolLoad:
    """
    Sums over the endpoints of a pool that an entry uses, kept as they change.

    ``pending`` counts this entry's requests that have yet to finish a stage in
    the pool, also those that have not reached it; ``outstanding`` only those at
    its endpoints. Reading a pool costs the same whatever its size.
    """

    __slots__ = (
        "_follows",
        "_others",
        "_others_at",
        "_trust",
        "capacity",
        "outstanding",
        "pending",
        "size",
    )

    def __init__(self) -> None:
        self._follows = FadingSlope(FOLLOWING_PRIOR_VARIANCE)
        self._trust = 1.0
        self.capacity = 0
        self.outstanding = 0
        self.pending = 0
        self.size = 0
        self._others = 0.0
        self._others_at = 0.0

    @property
    def trust(self) -> float:
        """How far reports are taken to be of now, from 0 to 1."""
        return self._trust

    def note_report(self, change: float, own_change: float) -> None:
        """
        Note by how many calls two reports differ, and our own attempts between.

        Reports of now follow our own attempts one by one. Those of some time ago
        do not; entries that believed them would all send to endpoints that were
        idle then, and the next time to the others.
        """
        self._follows.add(own_change, change)
        self._trust = min(1.0, self._follows.slope(1.0))

    def mean_others(self, now: float) -> float:
        """Return the calls of other entries at an average endpoint."""
        return max(0.0, self.others(now)) / max(1, self.size)

    def add_others(self, now: float, calls: float) -> None:
        """Add calls of other entries, or take them off when below 0."""
        self._others = self.others(now) + calls
        self._others_at = max(self._others_at, now)

    def replace_others(self, now: float, old: float, new: float) -> None:
        """Count an endpoint's calls of other entries anew."""
        self._others = self.others(now) - old + new
        self._others_at = max(self._others_at, now)

    def others(self, now: float) -> float:
        """Return the calls of other entries; they fade like each endpoint's."""
        return self._others * faded_by_silence(now - self._others_at)

    def wait_s(self, now: float, mean_s: float) -> float:
        """
        Return the predicted wait of a new request, in seconds.

        Reports tell of calls at the endpoints only. When a burst begins, most of
        it is still in earlier stages; other entries are taken to have as much on
        the way, for each call at the endpoints, as this one has.
        """
        if not self.capacity:
            return 0.0
        ratio = self.pending / max(1, self.outstanding)
        on_the_way = min(MOST_ON_THE_WAY, max(1.0, ratio))
        others = max(0.0, self.others(now)) * on_the_way
        ahead = self.pending + others + 1 - self.capacity
        return max(0.0, ahead) * mean_s / self.capacity


def faded_by_silence(age_s: float) -> float:
    """Return the share left of calls of other entries that were last heard of."""
    return 0.5 ** (age_s / STALE_S) if age_s > 0 else 1.0
