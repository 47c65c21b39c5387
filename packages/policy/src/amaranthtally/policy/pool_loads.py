"""Sums over a pool's endpoints, and how far their reports are believed."""

from amaranthtally.policy.regression import DecayingRegression

__all__ = ["PoolLoad", "other_calls_decay"]

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
        "_other_calls",
        "_other_calls_at",
        "_report_weight",
        "_response",
        "capacity",
        "outstanding",
        "pending",
        "size",
    )

    def __init__(self) -> None:
        self._response = DecayingRegression(FOLLOWING_PRIOR_VARIANCE)
        self._report_weight = 1.0
        self.capacity = 0
        self.outstanding = 0
        self.pending = 0
        self.size = 0
        self._other_calls = 0.0
        self._other_calls_at = 0.0

    @property
    def report_weight(self) -> float:
        """How far reports are taken to be of now, from 0 to 1."""
        return self._report_weight

    def note_report(self, change: float, own_change: float) -> None:
        """
        Note by how many calls two reports differ, and our own attempts between.

        Reports of now follow our own attempts one by one. Those of some time ago
        do not; entries that believed them would all send to endpoints that were
        idle then, and the next time to the others.
        """
        self._response.add(own_change, change)
        self._report_weight = min(1.0, self._response.slope(1.0))

    def mean_other_calls(self, now: float) -> float:
        """Return the calls of other entries at an average endpoint."""
        return max(0.0, self.other_calls(now)) / max(1, self.size)

    def add_other_calls(self, now: float, calls: float) -> None:
        """Add calls of other entries, or take them off when below 0."""
        self._other_calls = self.other_calls(now) + calls
        self._other_calls_at = max(self._other_calls_at, now)

    def replace_other_calls(self, now: float, old: float, new: float) -> None:
        """Count an endpoint's calls of other entries anew."""
        self._other_calls = self.other_calls(now) - old + new
        self._other_calls_at = max(self._other_calls_at, now)

    def other_calls(self, now: float) -> float:
        """Return the calls of other entries; they fade like each endpoint's."""
        return self._other_calls * other_calls_decay(now - self._other_calls_at)

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
        others = max(0.0, self.other_calls(now)) * on_the_way
        ahead = self.pending + others + 1 - self.capacity
        return max(0.0, ahead) * mean_s / self.capacity


def other_calls_decay(age_s: float) -> float:
    """Return the share left of calls of other entries that were last heard of."""
    return 0.5 ** (age_s / STALE_S) if age_s > 0 else 1.0
