"""Learns how long results are stored until their consumers have read them."""

__all__ = ["HoldTimes"]

# Weight of a new sample: the last ten results make up most of the mean.
WEIGHT = 0.2


class HoldTimes:
    """Smoothed times from the storage of a result to its release, by pool."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def add(self, pool: str, held_s: float) -> None:
        """Add the time for which a result was stored, in seconds."""
        mean_s = self._means_s.get(pool, held_s)
        self._means_s[pool] = mean_s + WEIGHT * (held_s - mean_s)

    def mean_s(self, pool: str) -> float:
        """Return the smoothed time in seconds, 0 while none is known."""
        return self._means_s.get(pool, 0.0)
